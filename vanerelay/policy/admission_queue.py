"""Queries that are held until they fit somewhere, and the moments when they are given up."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator

from vanerelay.interface import PlacementConstraints
from vanerelay.policy.query import Query


class AdmissionQueue:
    """Held queries, first come first served; they hold nothing.

    Queries under different placement constraints wait in queues of their own: one whose engines are all down
    would stand before all others.
    """

    def __init__(self) -> None:
        self._queues: defaultdict[PlacementConstraints, list[Query]] = defaultdict(list)

    def join(self, query: Query) -> bool:
        """Takes in a query by its order of arrival; whether it is first, and the queue is to be served."""
        queue = self._queues[query.constraints()]
        heapq.heappush(queue, query)
        return queue[0] is query

    def serve(self, admit: Callable[[Query], bool]) -> None:
        """Admits from the head of each queue for as long as heads fit somewhere."""
        for constraints, queue in list(self._queues.items()):
            while queue and (not queue[0].is_held or admit(queue[0])):
                heapq.heappop(queue)
            if not queue:
                self._queues.pop(constraints, None)

    def head_wait(self, now: int) -> int:
        """How long the head that was held first has waited; 0 where none waits."""
        return max((now - queue[0].held_since for queue in self._queues.values() if queue), default=0)


class GiveUpSchedule:
    """Held queries by the moment when they are given up."""

    def __init__(self) -> None:
        self._scheduled = list[tuple[int, Query]]()

    def __len__(self) -> int:
        return len(self._scheduled)

    def add(self, query: Query) -> None:
        """Takes in a query with its present moment."""
        heapq.heappush(self._scheduled, (query.give_up_at, query))

    def due(self, now: int) -> Iterator[Query]:
        """Takes out the queries that are to be given up now; those admitted since are passed over."""
        while self._scheduled and self._scheduled[0][0] <= now:
            query = heapq.heappop(self._scheduled)[1]
            if query.is_held and query.give_up_at <= now:
                yield query
