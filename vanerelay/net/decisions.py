"""Calls of the decisions: those under the current and earlier settings, and the handling of their errors."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import ParamSpec

import structlog

from vanerelay.clock import Clock
from vanerelay.interface import AnswerStatus, EngineEntry
from vanerelay.net.held_queries import ClientQuery
from vanerelay.net.query_answers import QueryAnswers
from vanerelay.policy.gateway import Gateway

Arguments = ParamSpec("Arguments")

log = structlog.get_logger()


class Decisions:
    """Calls the decisions, so that an exception in them fails one query at most.

    Attributes:
        now: The time that the decisions see during a call, in ticks.
    """

    def __init__(self, clock: Clock, answers: QueryAnswers) -> None:
        self._clock = clock
        self._answers = answers
        self._current: Gateway | None = None
        self._superseded = list[Gateway]()  # of earlier settings, with queries that have not ended
        self.now = clock.now()

    @property
    def current(self) -> Gateway | None:
        """The decisions under the current settings; None before the first settings are applied."""
        return self._current

    def read_clock(self) -> int:
        """Updates `now` and returns it."""
        self.now = self._clock.now()
        return self.now

    def replace(self, gateway: Gateway) -> None:
        """Replaces the decisions. Queries submitted earlier stay with the previous ones."""
        previous = self._current
        if previous is not None:
            gateway.take_over(previous)
            self._superseded.append(previous)
        self._current = gateway

    def submit(self, query: ClientQuery) -> None:
        """Submits a query to the current decisions."""

        def submit() -> None:
            if self._current is not None and query.arrival is not None:
                query.handle = self._current.submit(query.arrival)

        self.call(query, submit)

    def update_engines(self, entries: Sequence[EngineEntry], complete: bool) -> None:
        """Passes a change of the engine list to the current decisions and earlier ones with open queries."""
        self._superseded = [gateway for gateway in self._superseded if not gateway.is_finished()]
        for gateway in (self._current, *self._superseded):
            if gateway is not None:
                self.call(None, gateway.update_engines, entries, complete)

    def may_begin(self, query: ClientQuery, number: int) -> bool:
        """Returns True if the decisions still allow a planned attempt to begin."""
        self.read_clock()
        if query.ended:
            return False
        # The first attempt is planned while the query is being submitted, before its handle is set.
        return query.handle is None or query.handle.may_begin(number)

    def call(
        self,
        query: ClientQuery | None,
        method: Callable[Arguments, None],
        *arguments: Arguments.args,
        **keywords: Arguments.kwargs,
    ) -> bool:
        """Calls the decisions. An exception in them is logged, and `query` is answered as failed.

        Returns:
            True if the call raised no exception.
        """
        self.read_clock()
        try:
            method(*arguments, **keywords)
        except Exception:
            log.exception("error in the decisions")
            if query is not None and not query.ended:
                self._answers.note_rejection(query, "error in the decisions")
                self._answers.answer(query, AnswerStatus.FAILED)
            return False
        return True
