"""Rule 5: queries of an ordered class that share an order key run one at a time, in the order submitted."""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from vanerelay.policy.query import Query
from vanerelay.policy.runtime_estimator import RuntimeEstimator


class KeyTurn(NamedTuple):
    """Whose turn it is for a key (None: nobody's), and how long the key still rests."""

    query: Query | None
    rest: int


class KeyOrdering:
    """A queue for each order key, and the rests of keys after attempts that may still run."""

    def __init__(self, pause: int) -> None:
        self._pause = pause
        self._resting_until = dict[int, int]()
        self._queues: defaultdict[int, deque[Query]] = defaultdict(deque)

    def enqueue(self, key: int, query: Query) -> None:
        """Puts a query behind the others of its key."""
        self._queues[key].append(query)

    def attempt_may_still_run(self, now: int, key: int) -> None:
        """An attempt for the key ended without certainty: the key rests before the next query."""
        self._resting_until = {other: until for other, until in self._resting_until.items() if until > now}
        self._resting_until[key] = now + self._pause + 1

    def turn(self, now: int, key: int) -> KeyTurn:
        """Whose turn it is, once all that has ended is taken out."""
        queue = self._queues[key]
        rest = max(0, self._resting_until.get(key, 0) - now)
        while queue and queue[0].is_ended and not queue[0].is_in_flight():
            queue.popleft()
        if not queue:
            del self._queues[key]
        return KeyTurn(queue[0] if queue else None, rest)

    def overbooked(self, now: int, key: int, runtime: RuntimeEstimator) -> Iterator[Query]:
        """The queries of a key to give up, as not all can end within their objectives.

        The longest ones, in Moore and Hodgson's order for one machine: it leaves the most on time. Each must
        be given up before the next is taken.
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

    def under(self, new: KeyOrdering) -> KeyOrdering:
        """Goes on under the pause of an ordering for new settings; both gateways use this one."""
        self._pause = new._pause
        return self
