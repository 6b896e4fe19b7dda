"""The schedule of a gateway's periodic work."""

from __future__ import annotations

from vanerelay.interface import MILLISECOND

PERIODIC_WORK_INTERVAL = 50 * MILLISECOND
"""Ticks between two runs of the periodic work, which gives up queries that are due. Except in large fleets,
each run also reviews the engines."""

STALL_INTERVALS = 4
"""A gateway whose periodic work runs more than this many intervals after the last run was itself stalled: it
received nothing in the meantime, so silence is no fault of engines or peers."""

LARGE_FLEET = 81
"""Number of gateways from which on reviews run in every second interval; from twice as many, in every fourth.
A review took 230 us, and without this rule ran 20 times a second at each of 267 gateways."""

MAX_REVIEW_SHIFT = 2
"""Log2 of the largest number of intervals between two reviews."""

SLOW_REVIEW_INTERVALS = 4
"""Intervals between two slow reviews, which adjust load shedding and the baselines of the engines."""


class PeriodicWorkSchedule:
    """Counts intervals, tells which reviews are due, and detects stalls of the gateway itself.

    Attributes:
        is_stalled: Whether the gateway was stalled before the present interval.
    """

    def __init__(self, now: int, gateway_count: int) -> None:
        self._last_at = now
        self._count = 0
        self._review_every = 1 << min(MAX_REVIEW_SHIFT, gateway_count // LARGE_FLEET)
        self.is_stalled = False

    def begin_interval(self, now: int) -> None:
        """Notes that the next interval begins now."""
        self.is_stalled = now - self._last_at > STALL_INTERVALS * PERIODIC_WORK_INTERVAL
        self._last_at = now
        self._count += 1

    @property
    def is_review_due(self) -> bool:
        """Whether engines, attempts and the admission queue are reviewed in this interval."""
        return self._count % self._review_every == 0

    @property
    def is_slow_review_due(self) -> bool:
        """Whether a review in this interval is also a slow one (see SLOW_REVIEW_INTERVALS)."""
        return self._count % SLOW_REVIEW_INTERVALS == 0
