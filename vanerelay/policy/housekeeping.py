"""When the periodic work of a gateway is due."""

from __future__ import annotations

from vanerelay.interface import MILLISECOND

HOUSEKEEPING_INTERVAL = 50 * MILLISECOND
"""How often queries are given up that are due, and, but in large fleets, the engines are reviewed."""

STALL_INTERVALS = 4
"""A gateway that comes so many intervals late has itself stood still: silence is nobody else's then."""

LARGE_FLEET = 81
"""Gateways from which on reviews come at every second interval, and at every fourth with twice as many: a
review took 230 us, 20 times a second at each of 267 gateways."""

MAX_REVIEW_SHIFT = 2
"""Log2 of the most intervals between two reviews."""

SLOW_REVIEW_INTERVALS = 4
"""Intervals between two steps of what changes slowly: load shedding and the engines' baselines."""


class Housekeeping:
    """Counts intervals, and sees whether the gateway stood still meanwhile."""

    def __init__(self, now: int, gateway_count: int) -> None:
        self._last_at = now
        self._count = 0
        self._review_every = 1 << min(MAX_REVIEW_SHIFT, gateway_count // LARGE_FLEET)
        self.is_stalled = False

    def interval_ended(self, now: int) -> None:
        """One more interval has passed."""
        self.is_stalled = now - self._last_at > STALL_INTERVALS * HOUSEKEEPING_INTERVAL
        self._last_at = now
        self._count += 1

    @property
    def is_review_due(self) -> bool:
        """Whether engines, attempts and the queue are reviewed in this interval."""
        return self._count % self._review_every == 0

    @property
    def is_slow_review_due(self) -> bool:
        """Whether what changes slowly is reviewed as well."""
        return self._count % SLOW_REVIEW_INTERVALS == 0
