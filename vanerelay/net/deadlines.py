"""The deadlines of open queries: every query is answered when its deadline has passed, whatever its state."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.net.held_queries import ClientQuery

MAX_ANSWERED_ENTRIES = 100
"""The answered queries that may stay in the heap, beyond the number of open ones, before it is compacted."""


class Deadlines:
    """Open queries, ordered by deadline.

    Deadlines are checked after every event, not once per event-loop pass: during passes of 50 to 70 ms timers
    that were due waited for the end of the pass, and answers were too late.
    """

    def __init__(self, reactor: Any, clock: Clock, on_expired: Callable[[ClientQuery], None]) -> None:
        """`on_expired` is called for each open query whose deadline has passed."""
        self._reactor = reactor
        self._clock = clock
        self._on_expired = on_expired
        self._heap: list[tuple[int, int, ClientQuery]] = []  # ordered by deadline, then by insertion
        self._serials = itertools.count()
        self._due_at: int | None = None
        self._timer: Any = None

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, query: ClientQuery) -> None:
        """Adds a query; its deadline is watched from the next `check` on."""
        heapq.heappush(self._heap, (query.deadline, next(self._serials), query))

    def check(self, open_count: int) -> None:
        """Expires the overdue queries, and sets the timer for the next deadline.

        Args:
            open_count: The number of open queries.
        """
        now = self._clock.now()
        while self._heap and (self._heap[0][2].ended or self._heap[0][0] <= now):
            query = heapq.heappop(self._heap)[2]
            if not query.ended:
                self._on_expired(query)
        if len(self._heap) > 2 * open_count + MAX_ANSWERED_ENTRIES:
            self._heap = [entry for entry in self._heap if not entry[2].ended]
            heapq.heapify(self._heap)
        if self._heap and (self._due_at is None or self._heap[0][0] < self._due_at):
            self._set_timer(now)

    def _set_timer(self, now: int) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._due_at = self._heap[0][0]
        self._timer = self._reactor.callLater(max(1, self._due_at - now) / SECOND, self._timer_fired)

    def _timer_fired(self) -> None:
        self._due_at = None
        self.check(len(self._heap))
