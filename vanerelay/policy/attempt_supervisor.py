"""Supervises attempts in flight: cancels those that a retry would overtake, and those that fall silent."""

from __future__ import annotations

from vanerelay.interface import Capabilities, ProgressKind, Transport
from vanerelay.policy.attempt import Attempt, AttemptTable
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.query import Query
from vanerelay.policy.report_dispatcher import ReportDispatcher
from vanerelay.policy.retry_policy import RetryPolicy
from vanerelay.policy.runtime_estimator import RuntimeEstimator

OVERTAKEN_DURATIONS = 4.0
"""An attempt is cancelled if its remaining time exceeds this many expected durations, times the number of
attempts so far. A retry may be faster, as engines choose a plan for each attempt and some plans are bad."""

WAITING_FOR_MEMORY = 1.0
"""The value of a WAITING report that means that the attempt waits for memory, as the engine's is full."""


class AttemptSupervisor:
    """Handles progress reports of attempts, and attempts whose progress reports have stopped."""

    def __init__(
        self,
        transport: Transport,
        capabilities: Capabilities,
        attempts: AttemptTable,
        runtime: RuntimeEstimator,
        engines: EngineRegistry,
        retry_policy: RetryPolicy,
        report_dispatcher: ReportDispatcher,
    ) -> None:
        self._transport = transport
        self._capabilities = capabilities
        self._attempts = attempts
        self._runtime = runtime
        self._engines = engines
        self._retry_policy = retry_policy
        self._report_dispatcher = report_dispatcher

    def progress_reported(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """Handles a progress report of an engine about a running attempt."""
        now, attempt = self._transport.now, query.attempts[number]
        attempt.engine.health.record_activity(now)
        attempt.last_report_at = now
        attempt.is_waiting = kind is ProgressKind.WAITING
        if attempt.is_waiting and value == WAITING_FOR_MEMORY:
            self._move_from_full_engine(now, query, number)
        if kind is ProgressKind.SPILL:
            self._report_dispatcher.peak_observed(now, query, attempt.engine, attempt.grant + value)
        is_running = kind is ProgressKind.PROGRESS and value > 0.0 and attempt.in_flight
        if is_running and self._capabilities.progress_interval:
            self._cancel_if_slow(now, query, number, value)

    def cancel_silent(self, now: int) -> None:
        """Cancels the attempts whose progress reports have stopped.

        If the settings do not allow that, releases their reservations and counts their answers as lost.
        """
        for query, number in self._attempts.silent(now, self._capabilities.progress_interval):
            attempt = query.attempts[number]
            if self._capabilities.may_cancel:
                self._transport.cancel_attempt(query.arrival.index, number)
            elif not attempt.is_released:
                self.release(query, attempt)
                self._attempts.answer_lost(now)

    def cancel_all(self, query: Query) -> None:
        """Cancels all attempts of a query that are in flight, if the settings allow it."""
        if not self._capabilities.may_cancel:
            return
        in_flight = [number for number, attempt in enumerate(query.attempts) if attempt.in_flight]
        for number in in_flight:
            self._transport.cancel_attempt(query.arrival.index, number)

    def release(self, query: Query, attempt: Attempt) -> None:
        """Releases the reservations of an attempt at its engine, unless they were released before."""
        if not attempt.is_released:
            self._engines.release(attempt.engine, attempt.reserved, query.threads)
            attempt.is_released = True

    def _move_from_full_engine(self, now: int, query: Query, number: int) -> None:
        """Handles a report that an attempt waits for memory.

        Marks its engine as full, and cancels the attempt if a retry is allowed and another engine is not
        known to be full.
        """
        attempt = query.attempts[number]
        attempt.engine.refused(now)
        candidates = self._engines.candidates(now, query.constraints())
        has_alternative = any(not engine.is_refusing(now) for engine in candidates)
        may_move = self._capabilities.may_cancel and attempt.in_flight and has_alternative
        if may_move and self._retry_policy.should_retry(now, query):
            self._transport.cancel_attempt(query.arrival.index, number)

    def _cancel_if_slow(self, now: int, query: Query, number: int, share: float) -> None:
        """Records the progress of an attempt, and cancels it if it is too slow.

        It is too slow if a retry would overtake it by far, or if it cannot end before the deadline.
        `share` is the completed part of its work.
        """
        attempt = query.attempts[number]
        remaining = (now - attempt.sent_at) * (1.0 - share) / share
        duration = self._runtime.duration_of(now, query)
        self._attempts.progress_reported()
        self._report_dispatcher.attempt_progressed(now, query, attempt, share)
        is_slow = remaining > OVERTAKEN_DURATIONS * len(query.attempts) * duration
        is_overtaken = is_slow and self._retry_policy.should_retry(now, query)
        if self._capabilities.may_cancel and (is_overtaken or now + remaining > query.arrival.deadline):
            self._transport.cancel_attempt(query.arrival.index, number)
