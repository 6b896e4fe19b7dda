"""Order keys (rule 5): queries that share a key run one at a time, in the order submitted."""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from vanerelay.policy.query import Query
from vanerelay.policy.runtime_estimator import RuntimeEstimator


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
        self._blocked_until = dict[int, int]()
        self._queues: defaultdict[int, deque[Query]] = defaultdict(deque)

    def enqueue(self, key: int, query: Query) -> None:
        """Adds a query at the end of the queue of its key."""
        self._queues[key].append(query)

    def attempt_may_still_run(self, now: int, key: int) -> None:
        """Blocks a key for the pause, as an attempt for it ended but may still run at its engine."""
        self._blocked_until = {other: until for other, until in self._blocked_until.items() if until > now}
        self._blocked_until[key] = now + self._pause + 1

    def turn(self, now: int, key: int) -> KeyTurn:
        """Removes ended queries from the queue of a key, and returns the next query to run."""
        queue = self._queues[key]
        blocked_for = max(0, self._blocked_until.get(key, 0) - now)
        while queue and queue[0].is_ended and not queue[0].is_in_flight():
            queue.popleft()
        if not queue:
            del self._queues[key]
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
