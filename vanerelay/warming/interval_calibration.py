"""Forecast intervals that are right as often as they say, whatever the demand is. Pure.

Intervals are widened or narrowed as they turn out (Gibbs and Candes 2021).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from vanerelay.warming.decay_shapes import Floats, Rows

COVERAGE = 0.9
"""The share of intervals that are to be right."""

INITIAL_WIDTH = 1.64
"""Deviations at each side of an interval: those of a normal distribution for the stated coverage."""

MIN_WIDTH, MAX_WIDTH = 0.3, 6.0

LEARNING_RATE = 0.02
"""Tenths of a deviation by which the width changes for each part that is wrong beyond the stated one."""

MIN_JUDGED_READS = 5.0
"""Reads expected at least where an interval is judged: below, whole numbers decide."""

MAX_ISSUED = 100
"""Forecasts that wait to be judged."""


@dataclass(frozen=True, slots=True)
class IssuedForecast:
    """Intervals that were issued together.

    Attributes:
        due: When they can be judged, in seconds.
        rows: The rows that they are of.
        total_reads: The reads of each row until they were issued.
        restarts: How often each row had begun anew by then.
        low: The lower bounds.
        high: The upper bounds.
    """

    due: float
    rows: Rows
    total_reads: Floats
    restarts: Rows
    low: Floats
    high: Floats


class IntervalCalibration:
    """The width of intervals, and how often they were right.

    Attributes:
        width: Deviations at each side of an interval.
        judged: Intervals that were judged.
        right: Those of them that were right.
    """

    def __init__(self) -> None:
        self.width = INITIAL_WIDTH
        self.judged = 0
        self.right = 0
        self._issued = deque[IssuedForecast](maxlen=MAX_ISSUED)

    def issue(self, forecast: IssuedForecast) -> None:
        """Remembers a forecast until it can be judged."""
        self._issued.append(forecast)

    def judge(self, now: float, total_reads: Floats, restarts: Rows) -> None:
        """Judges the forecasts that are due by what was read until now; rows that began anew do not count."""
        while self._issued and self._issued[0].due <= now:
            one = self._issued.popleft()
            reads = total_reads[one.rows] - one.total_reads
            expected = (one.high >= MIN_JUDGED_READS) & (one.low + one.high >= 2 * MIN_JUDGED_READS)
            counts = (restarts[one.rows] == one.restarts) & expected
            right = (reads >= one.low) & (reads <= one.high)
            self.judged += int(counts.sum())
            self.right += int((right & counts).sum())
            if counts.any():
                self._adjust(1.0 - float(right[counts].mean()))

    def _adjust(self, missed: float) -> None:
        change = LEARNING_RATE * (missed - (1.0 - COVERAGE)) * 10.0
        self.width = min(MAX_WIDTH, max(MIN_WIDTH, self.width + change))
