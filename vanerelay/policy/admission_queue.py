"""The queue of queries that wait for admission, and the schedule by which they are given up."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator

from vanerelay.interface import PlacementConstraints
from vanerelay.policy.query import Query

MAX_ENDED_ENTRIES = 100
"""The entries of queries that are not held any more which may stay in a heap, beyond the number of others.

Clients may cancel queries much faster than these entries reach the head of the heap.
"""


class AdmissionQueue:
    """Queries that wait for admission, first come, first served. They have no reservations at engines.

    There is a queue for each set of placement constraints. In a single queue, a query whose engines are all
    down would block all others.
    """

    def __init__(self) -> None:
        self._queues: defaultdict[PlacementConstraints, list[Query]] = defaultdict(list)
        self._compaction_at: dict[PlacementConstraints, int] = {}  # the length at which a queue is compacted

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def enqueue(self, query: Query) -> bool:
        """Adds a query at its place in the order of submission.

        Returns:
            True if the query is at the head of its queue, so that `serve` is to be called.
        """
        constraints = query.constraints()
        queue = self._queues[constraints]
        if len(queue) >= self._compaction_at.get(constraints, MAX_ENDED_ENTRIES):
            queue[:] = [waiting for waiting in queue if waiting.is_held]
            heapq.heapify(queue)
            self._compaction_at[constraints] = 2 * len(queue) + MAX_ENDED_ENTRIES
        heapq.heappush(queue, query)
        return queue[0] is query

    def serve(self, admit: Callable[[Query], bool]) -> None:
        """Admits queries from the head of each queue until `admit` returns False for the head."""
        for constraints, queue in list(self._queues.items()):
            while queue and (not queue[0].is_held or admit(queue[0])):
                heapq.heappop(queue)
            if not queue:
                self._queues.pop(constraints, None)
                self._compaction_at.pop(constraints, None)

    def head_wait(self, now: int) -> int:
        """Returns the longest wait of a head of a queue, in ticks; 0 if no query waits."""
        return max((now - queue[0].held_since for queue in self._queues.values() if queue), default=0)


class GiveUpSchedule:
    """Held queries by the time at which they are given up."""

    def __init__(self) -> None:
        self._scheduled = list[tuple[int, Query]]()
        self._compaction_at = MAX_ENDED_ENTRIES  # the length at which the schedule is compacted

    def __len__(self) -> int:
        return len(self._scheduled)

    def add(self, query: Query) -> None:
        """Adds a held query under its present `give_up_at`."""
        if len(self._scheduled) >= self._compaction_at:
            self._scheduled = [entry for entry in self._scheduled if _is_due_then(*entry)]
            heapq.heapify(self._scheduled)
            self._compaction_at = 2 * len(self._scheduled) + MAX_ENDED_ENTRIES
        heapq.heappush(self._scheduled, (query.give_up_at, query))

    def take_due(self, now: int) -> Iterator[Query]:
        """Removes and yields the queries to give up now; those admitted in the meantime are skipped."""
        while self._scheduled and self._scheduled[0][0] <= now:
            query = heapq.heappop(self._scheduled)[1]
            if query.is_held and query.give_up_at <= now:
                yield query


def _is_due_then(give_up_at: int, query: Query) -> bool:
    """Returns True if the query is held and still to be given up at this time."""
    return query.is_held and query.give_up_at == give_up_at
