"""The last guard of rule 1: whatever becomes of a query, it is answered at its deadline."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.net.held_queries import ClientQuery

SPARE = 100  # of queries answered, that are let lie before they are swept out


class Deadlines:
    """Open queries by their deadlines.

    Looked at after every event, not once a pass: seen on sockets, answers given too late by passes of 50 to
    70 ms, while the timers that had fallen due waited for the pass to end.
    """

    def __init__(self, reactor: Any, clock: Clock, expired: Callable[[ClientQuery], None]) -> None:
        """`expired` is called for each query whose deadline has come."""
        self._reactor, self._clock, self._expired = reactor, clock, expired
        self._heap: list[tuple[int, int, ClientQuery]] = []  # the first first
        self._serial = itertools.count()
        self._due_at: int | None = None
        self._timer: Any = None

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, held: ClientQuery) -> None:
        heapq.heappush(self._heap, (held.limit, next(self._serial), held))

    def look(self, still_open: int) -> None:
        """Ends what is overdue, and sees to it that the next is looked at in time."""
        now = self._clock.now()
        while self._heap and (self._heap[0][2].ended or self._heap[0][0] <= now):
            held = heapq.heappop(self._heap)[2]
            if not held.ended:
                self._expired(held)
        if len(self._heap) > 2 * still_open + SPARE:
            self._heap = [entry for entry in self._heap if not entry[2].ended]
            heapq.heapify(self._heap)
        if self._heap and (self._due_at is None or self._heap[0][0] < self._due_at):
            self._set_timer(now)

    def _set_timer(self, now: int) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._due_at = self._heap[0][0]
        self._timer = self._reactor.callLater(max(1, self._due_at - now) / SECOND, self._due)

    def _due(self) -> None:
        self._due_at = None
        self.look(len(self._heap))
