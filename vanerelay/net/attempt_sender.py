"""Sends attempts to engines, and checks before each whether it may begin."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.python.failure import Failure

from vanerelay.clock import MAX_POLL_AGE, Clock
from vanerelay.interface import SECOND
from vanerelay.invariants import InvariantGuard
from vanerelay.net.attempt import Attempt
from vanerelay.net.attempt_results import AttemptResults
from vanerelay.net.decisions import Decisions
from vanerelay.net.engine_connection import NOT_SENT
from vanerelay.net.engine_list_updates import EngineListUpdates
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.extensions import call_extension
from vanerelay.net.held_queries import ClientQuery
from vanerelay.net.resp_codec import QueryCommand
from vanerelay.net.service_settings import SettingsInForce

TICKS_PER_MS = SECOND // 1000

log = structlog.get_logger()


class AttemptSender:
    """Sends the attempts that the decisions request."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: SettingsInForce,
        guard: InvariantGuard,
        decisions: Decisions,
        results: AttemptResults,
        engines: EnginePool,
        engine_list: EngineListUpdates,
        events: EventLog,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._settings = settings
        self._guard = guard
        self._decisions = decisions
        self._results = results
        self._engines = engines
        self._engine_list = engine_list
        self._events = events

    def send(self, query: ClientQuery, engine: int, timeout: int) -> None:
        """Sends an attempt of a query to an engine.

        Args:
            query: The query.
            engine: The index of the engine.
            timeout: The timeout of the attempt in ticks; 0 for the time until the query's deadline.
        """
        now = self._decisions.now
        time_left = query.deadline - now
        wait = time_left if timeout == 0 else min(timeout, time_left)
        number = len(query.attempts)
        attempt = self._prepare(query, engine, wait)
        if number:
            self._events.note(
                LogEventKind.RETRY,
                query.last_end or "no attempt ended",
                id=query.name,
                attempt=number,
                engine=self._engine_list.name_of(engine),
            )
        if query.ended or wait <= 0 or number >= self._settings.current.max_attempts:
            self._reactor.callLater(0, attempt.end, NOT_SENT)
        elif query.is_internal or not self._client_may_have_left(query):
            self._begin(query, attempt, engine, wait)
        else:
            until = now + wait
            attempt.withdraw_wait = query.client.after_reading(
                lambda: self._begin_after_reading(query, number, attempt, engine, until)
            )

    def _prepare(self, query: ClientQuery, engine: int, wait: int) -> Attempt:
        """Creates the next attempt of a query, which counts as in flight from now on."""
        number = len(query.attempts)
        command = QueryCommand(
            service_class=query.service_class,
            time_limit_ms=max(1, wait // TICKS_PER_MS),
            statement=query.body,
            memory_grant_mb=query.memory_grant,
            priority=query.priority,
            idempotency_key=query.idempotency_key,
        )
        attempt = Attempt(query.name.encode(), command, query.used_connections)
        query.attempts.append(attempt)
        query.in_flight += 1
        attempt.on_progress = lambda note: self._results.progressed(query, number, note)
        attempt.done.addCallback(self._results.ended, query, number, self._decisions.now, engine)
        attempt.done.addErrback(_log_failure)
        attempt.may_begin = lambda: self._may_begin(query, number, engine)
        attempt.after_client_input = lambda callback: self._after_client_input(query, attempt, callback)
        return attempt

    def _client_may_have_left(self, query: ClientQuery) -> bool:
        """Returns True if the client may have left some time ago without this gateway having read that.

        Its cancellation, or the end of its connection, may still be unread after the process was suspended,
        during a long pass of the event loop, or behind other input of the client.
        """
        now = self._clock.now()
        return not self._clock.has_recent_poll or not query.client.has_recent_input(now, MAX_POLL_AGE)

    def _after_client_input(self, query: ClientQuery, attempt: Attempt, callback: Callable[[], None]) -> None:
        """Calls `callback` once it is certain that the client has not left some time ago."""
        if self._client_may_have_left(query):
            attempt.withdraw_wait = query.client.after_reading(callback)
        else:
            callback()

    def _begin(self, query: ClientQuery, attempt: Attempt, engine: int, wait: int) -> None:
        if query.constraint is not None:
            call_extension(query.constraint.attempt_sent, engine)
        self._engines.send(engine, attempt, wait / SECOND)

    def _begin_after_reading(
        self, query: ClientQuery, number: int, attempt: Attempt, engine: int, until: int
    ) -> None:
        """Begins an attempt that had to wait until the input of its client was read."""
        if attempt.ended:
            return
        time_left = until - self._clock.now()
        if time_left > 0 and self._decisions.may_begin(query, number):
            self._begin(query, attempt, engine, time_left)
        else:
            attempt.end(NOT_SENT)

    def _may_begin(self, query: ClientQuery, number: int, engine: int) -> bool:
        """Returns True if an attempt may be written. Called for every attempt right before it is written."""
        if query.guard_record is None or not self._decisions.may_begin(query, number):
            return False
        violation = self._guard.begin_attempt(self._decisions.now, query.guard_record, number, engine)
        if violation is not None:
            self._events.note(
                LogEventKind.VIOLATION,
                violation.value,
                id=query.name,
                engine=self._engine_list.name_of(engine),
            )
        return violation is None


def _log_failure(failure: Failure) -> None:
    log.error("error at the end of an attempt", fault=failure.getTraceback())
