"""Confidence sequences: intervals for a mean that hold at every number of observations at once.

They are the asymptotic confidence sequences of Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas (2021), with
the normal mixture of Robbins. The functions have no side effects.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CORRELATION = 0.8
"""The largest lag-1 correlation of observations by which the variance is increased."""


@dataclass(slots=True)
class RunningVariance:
    """The mean, variance and lag-1 correlation of the observations so far.

    Attributes:
        number: The number of observations.
        mean: The mean of the observations.
    """

    number: int = 0
    mean: float = 0.0
    _squares: float = 0.0
    _products: float = 0.0
    _last: float | None = None

    def add(self, value: float) -> None:
        """Adds one observation."""
        self.number += 1
        mean_before = self.mean
        self.mean += (value - mean_before) / self.number
        self._squares += (value - mean_before) * (value - self.mean)
        if self._last is not None:
            self._products += (self._last - self.mean) * (value - self.mean)
        self._last = value

    @staticmethod
    def of(number: int, mean: float, variance: float) -> RunningVariance:
        """Returns the state after this number of uncorrelated observations with this mean and variance."""
        return RunningVariance(number, mean, variance * max(0, number - 1))

    @property
    def variance(self) -> float:
        """The variance of one observation, increased by the correlation of successive observations."""
        if self.number < 2:
            return 0.0
        variance = self._squares / (self.number - 1)
        correlation = 0.0
        if self._squares > 0.0:
            correlation = min(MAX_CORRELATION, max(0.0, self._products / self._squares))
        return variance * (1.0 + correlation) / (1.0 - correlation)


def half_width(number: int, variance: float, miss_probability: float, tightest_at: float) -> float:
    """Returns half the width of the confidence sequence for a mean.

    Args:
        number: The number of observations so far.
        variance: The variance of one observation.
        miss_probability: The probability that the mean is ever outside the interval.
        tightest_at: The number of observations at which the sequence is tightest.
    """
    if number < 1:
        return math.inf
    log_term = -2.0 * math.log(miss_probability)
    mixture = (log_term + math.log(log_term) + 1.0) / max(1.0, tightest_at)
    scaled = number * mixture + 1.0
    return math.sqrt(
        variance * 2.0 * scaled / (number * number * mixture) * math.log(math.sqrt(scaled) / miss_probability)
    )
