"""What is remembered of an attempt, and the table of all attempts in flight."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from vanerelay.estimation import SlidingSums
from vanerelay.interface import SECOND
from vanerelay.policy.engine import Engine
from vanerelay.policy.outlier_detection import MIN_SILENCE

if TYPE_CHECKING:
    from vanerelay.policy.query import Query

LOSS_SPAN = 10 * SECOND
"""Span over which lost answers are counted."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a query.

    Attributes:
        grant: The memory grant in MB.
        reserved: What it holds of its engine's memory, in MB.
        heard_at: When its engine last reported on it.
        may_have_run: Whether the query may have run; until an outcome proves that it never did.
        is_waiting: Whether it waits at its engine, as that reported: no progress reports are due.
        is_lost: Whether its answer is taken for lost, as reports have stopped: it holds nothing any more.
    """

    engine: Engine
    grant: float
    reserved: float
    sent_at: int
    heard_at: int
    in_flight: bool = True
    may_have_run: bool = True
    is_waiting: bool = False
    is_lost: bool = False


class AttemptReference(NamedTuple):
    """An attempt by its query and its number there, from 0."""

    query: Query
    number: int

    @property
    def attempt(self) -> Attempt:
        """The attempt's record."""
        return self.query.attempts[self.number]


class AttemptTable:
    """All attempts in flight, in the order sent, and how many answers were lost of late.

    Attempts are found by identity, and know nothing of their queries: records without reference cycles are
    freed at once, as automatic garbage collection is off.
    """

    def __init__(self) -> None:
        self._in_flight: dict[int, AttemptReference] = {}
        self._lost = SlidingSums(LOSS_SPAN, 1)
        self._progress_seen = False

    def __len__(self) -> int:
        return len(self._in_flight)

    def add(self, query: Query, attempt: Attempt) -> None:
        """Takes in the attempt that its query makes next."""
        self._in_flight[id(attempt)] = AttemptReference(query, len(query.attempts))

    def remove(self, attempt: Attempt) -> None:
        """Forgets an attempt that has ended."""
        del self._in_flight[id(attempt)]

    def progress_reported(self) -> None:
        """An engine reported progress: from now on such reports are missed where they stop."""
        self._progress_seen = True

    def silent(self, now: int, report_interval: int) -> Iterator[AttemptReference]:
        """The attempts whose progress reports have stopped."""
        if not self._progress_seen:
            return
        for reference in list(self._in_flight.values()):
            attempt = reference.attempt
            if not attempt.is_waiting and now - attempt.heard_at > report_interval + MIN_SILENCE:
                yield reference

    def answer_lost(self, now: int) -> None:
        """Counts an answer that will not come."""
        self._lost.add(now, 1)

    def lost_answers(self, now: int) -> float:
        """How many answers were lost of late."""
        return self._lost.total(now, 0)

    def inherit(self, old: AttemptTable) -> None:
        """Takes over from a table under former settings whether progress is reported at all."""
        self._progress_seen = old._progress_seen
