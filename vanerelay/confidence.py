"""Means that may be looked at at any time: a confidence sequence over what comes one by one. Pure.

Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021, asymptotic; the normal mixture of Robbins."""

from __future__ import annotations

import math
from dataclasses import dataclass

MOST_RELATED = 0.8  # lag-1 correlation that is still allowed for


@dataclass(slots=True)
class RunningVariance:
    """Mean and variance of what came, and how much one is like the one before."""

    number: int = 0
    mean: float = 0.0
    _squares: float = 0.0
    _products: float = 0.0
    _last: float | None = None

    def add(self, one: float) -> None:
        self.number += 1
        before = self.mean
        self.mean += (one - before) / self.number
        self._squares += (one - before) * (one - self.mean)
        if self._last is not None:
            self._products += (self._last - self.mean) * (one - self.mean)
        self._last = one

    @staticmethod
    def of(number: int, mean: float, variance: float) -> RunningVariance:
        return RunningVariance(number, mean, variance * max(0, number - 1))

    @property
    def variance(self) -> float:
        """Of one block, as if blocks did not depend on each other: made larger by how far they do."""
        if self.number < 2:
            return 0.0
        variance = self._squares / (self.number - 1)
        related = min(MOST_RELATED, max(0.0, self._products / self._squares)) if self._squares > 0.0 else 0.0
        return variance * (1.0 + related) / (1.0 - related)


def half_width(number: int, variance: float, chance: float, telling: float) -> float:
    """Of the confidence sequence for a mean of so many blocks; tightest about where `telling` are seen."""
    if number < 1:
        return math.inf
    mixed = (-2.0 * math.log(chance) + math.log(-2.0 * math.log(chance)) + 1.0) / max(1.0, telling)
    grown = number * mixed + 1.0
    return math.sqrt(variance * 2.0 * grown / (number * number * mixed) * math.log(math.sqrt(grown) / chance))
