"""Ends queries for a reason other than an attempt: the client leaves, or the deadline passes."""

from __future__ import annotations

from vanerelay.interface import AnswerStatus
from vanerelay.net.decisions import Decisions
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.held_queries import ClientQuery, OpenQueries
from vanerelay.net.query_answers import QueryAnswers


class QueryEnds:
    """Ends queries whose client no longer waits or whose deadline has passed."""

    def __init__(
        self, queries: OpenQueries, decisions: Decisions, answers: QueryAnswers, events: EventLog
    ) -> None:
        self._queries = queries
        self._decisions = decisions
        self._answers = answers
        self._events = events

    def client_left(self, query: ClientQuery) -> None:
        """Abandons a query whose client no longer waits. The ends of running attempts are still handled."""
        if not query.ended:
            self._events.note(LogEventKind.REJECTION, "client left", False)
            self._answers.abandon(query)
            self._stop_attempts(query)
        self._queries.discard_if_done(query)

    def deadline_passed(self, query: ClientQuery) -> None:
        """Answers a query whose deadline has passed with a failure, whatever was decided for it."""
        self._answers.note_rejection(query, "deadline passed")
        self._answers.answer(query, AnswerStatus.FAILED)
        self._stop_attempts(query)
        self._queries.discard_if_done(query)

    def _stop_attempts(self, query: ClientQuery) -> None:
        """Notifies the decisions, and withdraws the attempts.

        An attempt that has not begun does not begin, even if the engine does not support cancels.
        """
        if query.handle is not None:
            self._decisions.call(query, query.handle.client_left)
        for attempt in query.attempts:
            if attempt is not None:
                attempt.withdraw()
