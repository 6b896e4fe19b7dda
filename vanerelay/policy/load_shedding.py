"""Load shedding: under overload, rejects the queries with the least value for their work."""

from __future__ import annotations

from collections import deque

from vanerelay.estimation import quantile

SHEDDING_START_WAIT = 0.1
"""Wait of the head of the admission queue above which queries are shed, as a multiple of the shortest latency
objective."""

SHEDDING_WAIT_RANGE = 0.5
"""Further wait, in the same unit, at which the target share would reach 1, but for `MAX_SHED_SHARE`."""

MAX_SHED_SHARE = 0.95
"""Largest part of the traffic that is shed, however long the wait."""

SHARE_SMOOTHING = 0.0963
"""Part of the difference to the target share that each step adds. Without smoothing, shedding oscillates
between all and nothing."""

SAMPLED_ARRIVALS = 200
"""Number of latest arrivals from which the threshold is computed."""

MIN_SHED_SHARE = 0.01
"""Share below which nothing is shed."""


class LoadShedder:
    """Sheds a part of the arriving work, which grows with the wait at the head of the admission queue.

    Under overload, first come, first served alone would starve light queries, as their objectives are the
    shortest.
    """

    def __init__(self, shortest_objective: int) -> None:
        """`shortest_objective`: the shortest latency objective of all service classes, in ticks."""
        self._shortest_objective = shortest_objective
        self._arrivals: deque[tuple[float, float]] = deque(maxlen=SAMPLED_ARRIVALS)  # value per work, work
        self._share = 0.0
        self._threshold = 0.0

    def admits(self, value: float, work: float) -> bool:
        """Returns True if an arriving query is not shed."""
        density = value / max(1.0, work)
        self._arrivals.append((density, work))
        return density >= self._threshold

    def shed_share(self, value: float, work: float) -> float:
        """Returns the part of the traffic that is shed; 0 if queries of this value and work are admitted."""
        return self._share if value / max(1.0, work) < self._threshold else 0.0

    def adjust(self, wait: int) -> None:
        """Moves the shed share one step towards the target for a wait of the queue's head, given in ticks."""
        excess = (wait / self._shortest_objective - SHEDDING_START_WAIT) / SHEDDING_WAIT_RANGE
        target = min(MAX_SHED_SHARE, max(0.0, excess))
        self._share += (target - self._share) * SHARE_SMOOTHING
        self._threshold = 0.0
        if self._share >= MIN_SHED_SHARE:
            self._threshold = quantile(self._arrivals, self._share)
