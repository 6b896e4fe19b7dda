"""The final answers of queries: each query is answered once, and its result is logged and reported once."""

from __future__ import annotations

from collections.abc import Mapping

from vanerelay.clock import Clock
from vanerelay.interface import SECOND, AnswerStatus
from vanerelay.invariants import Invariant, InvariantGuard
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.extensions import Extensions, call_extension
from vanerelay.net.held_queries import ClientQuery, OpenQueries
from vanerelay.net.service_settings import SettingsInForce


class QueryAnswers:
    """Sends the final answers of queries."""

    def __init__(
        self,
        clock: Clock,
        settings: SettingsInForce,
        queries: OpenQueries,
        guard: InvariantGuard,
        extensions: Extensions,
        events: EventLog,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._queries = queries
        self._guard = guard
        self._extensions = extensions
        self._events = events

    def answer(
        self,
        query: ClientQuery,
        status: AnswerStatus,
        fields: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Answers a query, unless the invariant guard has recorded an answer to it already."""
        if query.guard_record is not None and not self._guard.may_answer(query.guard_record):
            self._events.note(LogEventKind.VIOLATION, Invariant.ANSWER.value, id=query.name)
            return
        self._report(query, status, client_waited=True)
        self._close(query)
        query.client.answer(query.stream, status, dict(fields or {}), body)

    def abandon(self, query: ClientQuery) -> None:
        """Ends a query without an answer, as its client no longer waits."""
        self._report(query, AnswerStatus.COMPLETED, client_waited=False)
        self._close(query)

    def report_unheld(self, service_class: str, status: AnswerStatus) -> None:
        """Reports a query that was answered at once and never held."""
        self._extensions.notify_query_answered(service_class, 0.0, status, 0, 0)

    def note_rejection(self, query: ClientQuery, why: str) -> None:
        """Logs that a query is rejected or has failed."""
        waited = (self._clock.now() - query.received_after) * 1000 // SECOND
        self._events.note(
            LogEventKind.REJECTION,
            why,
            id=query.name,
            waited_ms=waited,
            attempts=len(query.attempts),
            last=query.last_end,
        )

    def _close(self, query: ClientQuery) -> None:
        self._queries.close(query)
        if query.constraint is not None:
            call_extension(query.constraint.finished)

    def _report(self, query: ClientQuery, status: AnswerStatus, client_waited: bool) -> None:
        """Reports the result of a client's query to the extensions that use such reports."""
        if not self._extensions.has_answer_listeners or query.is_internal:
            return
        name = query.service_class.decode()
        duration = self._clock.now() - query.received_after
        earned = 0.0
        if status is AnswerStatus.COMPLETED and client_waited:
            earned = self._settings.current.value_earned(name, duration)
        self._extensions.notify_query_answered(name, earned, status, duration, len(query.attempts))
