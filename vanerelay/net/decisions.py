"""The way to the decisions: the gateway in force, those of earlier settings, and what a fault in one does."""

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
    """Calls the decisions, so that a fault in them costs one query at most.

    Attributes:
        now: The present moment, as the decisions see it during a call.
    """

    def __init__(self, clock: Clock, answers: QueryAnswers) -> None:
        self._clock = clock
        self._answers = answers
        self._current: Gateway | None = None
        self._earlier = list[Gateway]()  # of earlier settings, that have not finished all they took
        self.now = clock.now()

    @property
    def current(self) -> Gateway | None:
        """The decisions in force; None before the first settings are."""
        return self._current

    def read_clock(self) -> int:
        """Brings the present moment up to date."""
        self.now = self._clock.now()
        return self.now

    def replace(self, gateway: Gateway) -> None:
        """Puts other decisions in force. Queries taken before end with those that took them."""
        former = self._current
        if former is not None:
            gateway.take_over(former)
            self._earlier.append(former)
        self._current = gateway

    def submit(self, query: ClientQuery) -> None:
        """Hands a query to the decisions in force."""

        def submit() -> None:
            if self._current is not None and query.arrival is not None:
                query.handle = self._current.submit(query.arrival)

        self.call(query, submit)

    def update_engines(self, entries: Sequence[EngineEntry], complete: bool) -> None:
        """Hands a change of the engine list to all that still have queries."""
        self._earlier = [gateway for gateway in self._earlier if not gateway.is_finished()]
        for gateway in (self._current, *self._earlier):
            if gateway is not None:
                self.call(None, gateway.update_engines, entries, complete)

    def may_begin(self, query: ClientQuery, number: int) -> bool:
        """Whether a planned attempt may still begin, as the decisions see it."""
        self.read_clock()
        if query.ended:
            return False
        # The first attempt is planned while its query is submitted, when there is no handle yet.
        return query.handle is None or query.handle.may_begin(number)

    def call(
        self,
        query: ClientQuery | None,
        method: Callable[Arguments, None],
        *arguments: Arguments.args,
        **named: Arguments.kwargs,
    ) -> bool:
        """Calls the decisions. A fault in them is logged, and the query at hand is answered all the same.

        Returns:
            Whether there was no fault.
        """
        self.read_clock()
        try:
            method(*arguments, **named)
        except Exception:
            log.exception("error in the decisions")
            if query is not None and not query.ended:
                self._answers.note_rejection(query, "error in the decisions")
                self._answers.answer(query, AnswerStatus.FAILED)
            return False
        return True
