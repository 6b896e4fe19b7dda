"""Means with confidence at any time: a confidence sequence over observations that come one by one. Pure.

After Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas (2021), asymptotic; the normal mixture of Robbins.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CORRELATION = 0.8
"""Lag-1 correlation of observations up to which the variance is widened for it."""


@dataclass(slots=True)
class RunningVariance:
    """Mean and variance of the observations so far, and how much each is like the one before."""

    number: int = 0
    mean: float = 0.0
    _squares: float = 0.0
    _products: float = 0.0
    _last: float | None = None

    def add(self, value: float) -> None:
        """Takes in one observation."""
        self.number += 1
        mean_before = self.mean
        self.mean += (value - mean_before) / self.number
        self._squares += (value - mean_before) * (value - self.mean)
        if self._last is not None:
            self._products += (self._last - self.mean) * (value - self.mean)
        self._last = value

    @staticmethod
    def of(number: int, mean: float, variance: float) -> RunningVariance:
        """So many uncorrelated observations of this mean and variance."""
        return RunningVariance(number, mean, variance * max(0, number - 1))

    @property
    def variance(self) -> float:
        """The variance of one observation, made larger by how far observations depend on each other."""
        if self.number < 2:
            return 0.0
        variance = self._squares / (self.number - 1)
        correlation = 0.0
        if self._squares > 0.0:
            correlation = min(MAX_CORRELATION, max(0.0, self._products / self._squares))
        return variance * (1.0 + correlation) / (1.0 - correlation)


def half_width(number: int, variance: float, chance: float, telling: float) -> float:
    """Half the width of the confidence sequence for a mean.

    Args:
        number: The observations so far.
        variance: The variance of one observation.
        chance: The probability that the sequence ever misses the mean.
        telling: The number of observations at which the sequence is tightest.
    """
    if number < 1:
        return math.inf
    log_chance = -2.0 * math.log(chance)
    mixture = (log_chance + math.log(log_chance) + 1.0) / max(1.0, telling)
    scaled = number * mixture + 1.0
    return math.sqrt(
        variance * 2.0 * scaled / (number * number * mixture) * math.log(math.sqrt(scaled) / chance)
    )
