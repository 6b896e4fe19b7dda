"""The queue of queries that wait for admission, and the schedule by which they are given up."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator

from vanerelay.interface import PlacementConstraints
from vanerelay.policy.query import Query


class AdmissionQueue:
    """Queries that wait for admission, first come, first served. They have no reservations at engines.

    There is a queue for each set of placement constraints. In a single queue, a query whose engines are all
    down would block all others.
    """

    def __init__(self) -> None:
        self._queues: defaultdict[PlacementConstraints, list[Query]] = defaultdict(list)

    def enqueue(self, query: Query) -> bool:
        """Adds a query at its place in the order of submission.

        Returns:
            True if the query is at the head of its queue, so that `serve` is to be called.
        """
        queue = self._queues[query.constraints()]
        heapq.heappush(queue, query)
        return queue[0] is query

    def serve(self, admit: Callable[[Query], bool]) -> None:
        """Admits queries from the head of each queue until `admit` returns False for the head."""
        for constraints, queue in list(self._queues.items()):
            while queue and (not queue[0].is_held or admit(queue[0])):
                heapq.heappop(queue)
            if not queue:
                self._queues.pop(constraints, None)

    def head_wait(self, now: int) -> int:
        """Returns the longest wait of a head of a queue, in ticks; 0 if no query waits."""
        return max((now - queue[0].held_since for queue in self._queues.values() if queue), default=0)


class GiveUpSchedule:
    """Held queries by the time at which they are given up."""

    def __init__(self) -> None:
        self._scheduled = list[tuple[int, Query]]()

    def __len__(self) -> int:
        return len(self._scheduled)

    def add(self, query: Query) -> None:
        """Adds a held query under its present `give_up_at`."""
        heapq.heappush(self._scheduled, (query.give_up_at, query))

    def take_due(self, now: int) -> Iterator[Query]:
        """Removes and yields the queries to give up now; those admitted in the meantime are skipped."""
        while self._scheduled and self._scheduled[0][0] <= now:
            query = heapq.heappop(self._scheduled)[1]
            if query.is_held and query.give_up_at <= now:
                yield query
