"""Watches attempts in flight: cancels those that another attempt would overtake, and those gone silent."""

from __future__ import annotations

from vanerelay.interface import Capabilities, ProgressKind, Transport
from vanerelay.policy.attempt import Attempt, AttemptTable
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.feedback import Feedback
from vanerelay.policy.query import Query
from vanerelay.policy.retry_policy import RetryPolicy
from vanerelay.policy.runtime_estimator import RuntimeEstimator

OVERTAKEN_RUNS = 4.0
"""An attempt is cancelled whose rest would take this many expected durations, for each attempt so far: some
queries have a bad plan, drawn anew for each attempt."""

WAITS_FOR_MEMORY = 1.0
"""Value of a report of waiting that means that the engine's memory is full."""


class AttemptSupervisor:
    """Acts on progress reports of attempts, and on their absence."""

    def __init__(
        self,
        transport: Transport,
        capabilities: Capabilities,
        attempts: AttemptTable,
        runtime: RuntimeEstimator,
        engines: EngineRegistry,
        retry_policy: RetryPolicy,
        feedback: Feedback,
    ) -> None:
        self._transport = transport
        self._capabilities = capabilities
        self._attempts = attempts
        self._runtime = runtime
        self._engines = engines
        self._retry_policy = retry_policy
        self._feedback = feedback

    def progressed(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """An engine reported on a running attempt."""
        now, attempt = self._transport.now, query.attempts[number]
        attempt.engine.health.record_activity(now)
        attempt.heard_at = now
        attempt.is_waiting = kind is ProgressKind.WAITING
        if attempt.is_waiting and value == WAITS_FOR_MEMORY:
            self._memory_awaited(now, query, number)
        if kind is ProgressKind.SPILL:
            self._feedback.peak_observed(now, query, attempt.grant + value)
        is_running = kind is ProgressKind.PROGRESS and value > 0.0 and attempt.in_flight
        if is_running and self._capabilities.progress_interval:
            self._work_done(now, query, number, value)

    def end_silent(self, now: int) -> None:
        """Cancels attempts whose progress reports stopped; where that is not allowed, they hold nothing."""
        for query, number in self._attempts.silent(now, self._capabilities.progress_interval):
            attempt = query.attempts[number]
            if self._capabilities.may_cancel:
                self._transport.cancel_attempt(query.arrival.index, number)
            elif not attempt.is_lost:
                self.release(query, attempt)
                self._attempts.answer_lost(now)

    def cancel_all(self, query: Query) -> None:
        """Cancels what a query has in flight, where that is allowed."""
        if not self._capabilities.may_cancel:
            return
        in_flight = [number for number, attempt in enumerate(query.attempts) if attempt.in_flight]
        for number in in_flight:
            self._transport.cancel_attempt(query.arrival.index, number)

    def release(self, query: Query, attempt: Attempt) -> None:
        """Gives back what an attempt holds of its engine, once."""
        if not attempt.is_lost:
            self._engines.release(attempt.engine, attempt.reserved, query.threads)
            attempt.is_lost = True

    def _memory_awaited(self, now: int, query: Query, number: int) -> None:
        """An attempt waits for memory: it is cancelled where another engine is not known to be full."""
        attempt = query.attempts[number]
        attempt.engine.refused(now)
        candidates = self._engines.candidates(now, query.constraints())
        has_alternative = any(not engine.is_refusing(now) for engine in candidates)
        may_move = self._capabilities.may_cancel and attempt.in_flight and has_alternative
        if may_move and self._retry_policy.should_retry(now, query):
            self._transport.cancel_attempt(query.arrival.index, number)

    def _work_done(self, now: int, query: Query, number: int, share: float) -> None:
        """Cancels an attempt that another would overtake by far, or that cannot end before the deadline."""
        attempt = query.attempts[number]
        left = (now - attempt.sent_at) * (1.0 - share) / share
        duration = self._runtime.duration_of(now, query)
        self._attempts.progress_reported()
        self._feedback.progressed(now, query, attempt, share)
        is_slow = left > OVERTAKEN_RUNS * len(query.attempts) * duration
        is_overtaken = is_slow and self._retry_policy.should_retry(now, query)
        if self._capabilities.may_cancel and (is_overtaken or now + left > query.arrival.deadline):
            self._transport.cancel_attempt(query.arrival.index, number)
