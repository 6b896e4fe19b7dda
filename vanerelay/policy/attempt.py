"""The record of an attempt, and the table of all attempts in flight."""

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

LOST_ANSWER_WINDOW = 10 * SECOND
"""Ticks over which lost answers are counted."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a query.

    Attributes:
        grant: The memory grant in MB.
        reserved: The memory that is reserved for it at its engine, in MB.
        sent_at: When it was sent.
        last_report_at: When its engine last sent a progress report about it; at first, when it was sent.
        in_flight: Whether it has not ended yet.
        may_have_run: Whether the query may have run there: True until an outcome proves that it did not.
        is_waiting: Whether its engine reported that it waits there, so that no progress reports are due.
        is_released: Whether its reservations were released, as it has ended, or its progress reports have
            stopped and its answer is presumed lost.
    """

    engine: Engine
    grant: float
    reserved: float
    sent_at: int
    last_report_at: int
    in_flight: bool = True
    may_have_run: bool = True
    is_waiting: bool = False
    is_released: bool = False


class AttemptReference(NamedTuple):
    """A reference to an attempt: its query, and its number among the attempts of the query, from 0."""

    query: Query
    number: int

    @property
    def attempt(self) -> Attempt:
        """The attempt that is referred to."""
        return self.query.attempts[self.number]


class AttemptTable:
    """All attempts in flight, in the order in which they were sent, and a count of recently lost answers.

    Attempts are found by identity and do not refer to their queries: automatic garbage collection is off, and
    only records without reference cycles are freed at once.
    """

    def __init__(self) -> None:
        self._in_flight: dict[int, AttemptReference] = {}
        self._loss_counts = SlidingSums(LOST_ANSWER_WINDOW, 1)
        self._progress_seen = False

    def __len__(self) -> int:
        return len(self._in_flight)

    def add(self, query: Query, attempt: Attempt) -> None:
        """Adds an attempt that is about to be appended to the attempts of its query."""
        self._in_flight[id(attempt)] = AttemptReference(query, len(query.attempts))

    def remove(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        del self._in_flight[id(attempt)]

    def progress_reported(self) -> None:
        """Notes that engines report progress. From now on, attempts without reports count as silent."""
        self._progress_seen = True

    def silent(self, now: int, report_interval: int) -> Iterator[AttemptReference]:
        """Yields the attempts whose progress reports have stopped.

        Args:
            now: The current time.
            report_interval: The time between two progress reports of an attempt, in ticks.
        """
        if not self._progress_seen:
            return
        for reference in list(self._in_flight.values()):
            attempt = reference.attempt
            if not attempt.is_waiting and now - attempt.last_report_at > report_interval + MIN_SILENCE:
                yield reference

    def answer_lost(self, now: int) -> None:
        """Counts an answer that is presumed lost."""
        self._loss_counts.add(now, 1)

    def lost_answers(self, now: int) -> float:
        """Returns the number of answers lost within LOST_ANSWER_WINDOW."""
        return self._loss_counts.total(now, 0)

    def inherit(self, old: AttemptTable) -> None:
        """Takes over from the table of the previous settings whether engines report progress."""
        self._progress_seen = old._progress_seen
