"""Under overload, rejects the queries whose value is least for their work."""

from __future__ import annotations

from collections import deque

from vanerelay.estimation import quantile

SHEDDING_STARTS = 0.1
"""Wait of the queue's head, in shortest objectives, from which on queries are shed."""

SHEDDING_RANGE = 0.5
"""Further wait, in the same unit, at which `MAX_SHED_SHARE` would be reached or passed."""

MAX_SHED_SHARE = 0.95
"""Most of the traffic that is shed, however long the wait."""

SMOOTHING = 0.0963
"""Part of the way to the wanted share that one step goes, or it swings between all and nothing."""

REMEMBERED_ARRIVALS = 200
"""Arrivals that stand for the traffic."""

MIN_SHED_SHARE = 0.01
"""Least share that is shed."""


class LoadShedder:
    """Sheds a share of the work that comes: the longer the queue's head waits, the more.

    First come, first served would starve light queries under overload, whose objectives are the shortest.
    """

    def __init__(self, shortest_objective: int) -> None:
        self._shortest_objective = shortest_objective
        self._arrivals: deque[tuple[float, float]] = deque(maxlen=REMEMBERED_ARRIVALS)  # value density, work
        self._share = 0.0
        self._threshold = 0.0

    def admits(self, value: float, work: float) -> bool:
        """Whether an arriving query is admitted."""
        density = value / max(1.0, work)
        self._arrivals.append((density, work))
        return density >= self._threshold

    def shed_share(self, value: float, work: float) -> float:
        """The part of the traffic that is shed, for queries like this; 0 where they are admitted."""
        return self._share if value / max(1.0, work) < self._threshold else 0.0

    def adjust(self, wait: int) -> None:
        """Takes one step towards the share that a wait of the queue's head asks for."""
        excess = (wait / self._shortest_objective - SHEDDING_STARTS) / SHEDDING_RANGE
        wanted = min(MAX_SHED_SHARE, max(0.0, excess))
        self._share += (wanted - self._share) * SMOOTHING
        self._threshold = 0.0
        if self._share >= MIN_SHED_SHARE:
            self._threshold = quantile(self._arrivals, self._share)
