"""Order keys (rule 5): queries that share a key run one at a time, in the order submitted."""

from __future__ import annotations

import heapq
from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from vanerelay.policy.query import Query
from vanerelay.policy.runtime_estimator import RuntimeEstimator

MAX_ENDED_ENTRIES = 32
"""The ended queries that may stay in the queue of a key, beyond the number of others."""


class KeyTurn(NamedTuple):
    """The next query to run for an order key, and the time until it may run.

    Attributes:
        query: The first query that has not ended or has an attempt in flight; None if there is none.
        blocked_for: The ticks for which the key is still blocked, as an earlier attempt may still run.
    """

    query: Query | None
    blocked_for: int


class KeyOrdering:
    """A queue for each order key, and the keys that are blocked after an attempt that may still run."""

    def __init__(self, pause: int) -> None:
        """`pause`: the ticks for which a key is blocked after an attempt that may still run."""
        self._pause = pause
        self._blocked_until = OrderedDict[int, int]()  # the key that is blocked for longest comes last
        self._queues: defaultdict[int, deque[Query]] = defaultdict(deque)
        self._compaction_at: dict[int, int] = {}  # the length at which the queue of a key is compacted

    def enqueue(self, key: int, query: Query) -> None:
        """Adds a query at the end of the queue of its key."""
        queue = self._queues[key]
        if len(queue) >= self._compaction_at.get(key, MAX_ENDED_ENTRIES):
            queue = self._queues[key] = deque(waiting for waiting in queue if not _is_done(waiting))
            self._compaction_at[key] = 2 * len(queue) + MAX_ENDED_ENTRIES
        queue.append(query)

    def attempt_may_still_run(self, now: int, key: int) -> None:
        """Blocks a key for the pause, as an attempt for it ended but may still run at its engine."""
        while self._blocked_until and next(iter(self._blocked_until.values())) <= now:
            self._blocked_until.popitem(last=False)
        self._blocked_until[key] = now + self._pause + 1
        self._blocked_until.move_to_end(key)

    def turn(self, now: int, key: int) -> KeyTurn:
        """Removes ended queries from the queue of a key, and returns the next query to run."""
        queue = self._queues[key]
        blocked_for = max(0, self._blocked_until.get(key, 0) - now)
        while queue and _is_done(queue[0]):
            queue.popleft()
        if not queue:
            del self._queues[key]
            self._compaction_at.pop(key, None)
        return KeyTurn(queue[0] if queue else None, blocked_for)

    def unschedulable(self, now: int, key: int, runtime: RuntimeEstimator) -> Iterator[Query]:
        """Yields the queries of a key to give up, as not all can end within their latency objectives.

        They are chosen by the Moore-Hodgson algorithm for a single machine, which drops the longest queries
        and so leaves the most on time. The caller has to give up each query before it takes the next one.
        """
        end = float(now)
        longest_first = list[tuple[float, int, Query]]()
        for query in [query for query in self._queues[key] if not query.is_ended]:
            expected = runtime.duration_of(now, query)
            if query.attempts:
                end = max(end, query.attempts[-1].sent_at + expected)
                continue
            end += expected
            heapq.heappush(longest_first, (-expected, -query.sequence, query))
            if end > query.objective_at:
                end += longest_first[0][0]
                yield heapq.heappop(longest_first)[2]

    def with_pause_of(self, new: KeyOrdering) -> KeyOrdering:
        """Adopts the pause of the ordering for new settings, and returns this ordering.

        The gateway of the previous settings and the one of the new settings share it from then on.
        """
        self._pause = new._pause
        return self


def _is_done(query: Query) -> bool:
    """Returns True if a query has ended and has no attempt in flight, so that it does not block its key."""
    return query.is_ended and not query.is_in_flight()
