"""Plain arithmetic over what is observed: sums over time and least squares. Nothing here chooses."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable


class SlidingSums:
    """Sums over a span of time, in fixed buckets that are used again in turn."""

    def __init__(self, span: int, fields: int, buckets: int = 10) -> None:
        self._width, self._newest = max(1, -(-span // buckets)), 0
        self._sums = [[0.0] * fields for _ in range(buckets + 1)]
        self._totals = [0.0] * fields

    def _turn(self, now: int) -> list[float]:
        """Empties what the span has left behind; the bucket of now."""
        stamp, size = now // self._width, len(self._sums)
        if stamp > self._newest:
            for old in range(max(self._newest + 1, stamp - size + 1), stamp + 1):
                self._sums[old % size] = [0.0] * len(self._totals)
            self._newest = stamp
            self._totals = [sum(column) for column in zip(*self._sums, strict=True)]
        return self._sums[self._newest % size]

    def add(self, now: int, *values: float) -> None:
        bucket = self._turn(now)
        for field, value in enumerate(values):
            bucket[field] += value
            self._totals[field] += value

    def total(self, now: int, field: int, short: bool = False) -> float:
        """At least the whole span is summed; with `short`, never more than the span."""
        self._turn(now)
        oldest = (self._sums[(self._newest + step) % len(self._sums)][field] for step in (1, 2))
        return self._totals[field] - sum(oldest) if short else self._totals[field]


class Estimate:
    """Mends told figures: least squares of the log of what was needed on the log of what was told."""

    def __init__(self, memory: int, faith: float) -> None:
        """About the last `memory` pairs count; `faith` pairs' worth of trust goes to the told figure."""
        self._memory, self._faith, self.seen = memory, faith, 0
        self._x = self._y = self._xx = self._xy = self._yy = 0.0

    def learn(self, told: float, real: float) -> None:
        self.seen += 1
        part = 1.0 / min(self.seen, self._memory)
        dx, dy = math.log(max(told, 1.0)) - self._x, math.log(max(real, 1.0)) - self._y
        self._x, self._y = self._x + part * dx, self._y + part * dy
        self._xx += part * ((1 - part) * dx * dx - self._xx)
        self._xy += part * ((1 - part) * dx * dy - self._xy)
        self._yy += part * ((1 - part) * dy * dy - self._yy)

    def slope(self) -> float:
        faith = self._faith / (self.seen + self._faith)
        return min(1.0, max(0.0, (self._xy + faith) / (self._xx + faith)))

    def log(self, told: float) -> float:
        """The log of the figure to expect; of the told one where nothing was learned."""
        x = math.log(max(told, 1.0))
        return self._y + self.slope() * (x - self._x) if self.seen else x

    def value(self, told: float) -> float:
        """The figure to expect; 0 where nothing was told or learned."""
        return math.exp(self.log(told)) if told or self.seen else 0.0

    def mean(self) -> float:
        return math.exp(self._y + self._yy / 2) if self.seen else 0.0

    def spread(self) -> float:
        return math.sqrt(max(0.0, self._yy - self.slope() * self._xy)) if self.seen > 1 else 0.0


def quantile(pairs: Iterable[tuple[float, float]], part: float) -> float:
    """The value of (value, weight) pairs under which this part of the whole weight lies."""
    ranked = sorted(pairs)
    left = part * sum(weight for _, weight in ranked)
    for value, weight in ranked:
        left -= weight
        if left < 0:
            return value
    return ranked[-1][0] if ranked else 0.0


def stable_hash(name: str, number: int) -> int:
    """A figure of a pair, spread as if at random and the same in every process."""
    return int.from_bytes(hashlib.blake2b(f"{number} {name}".encode(), digest_size=8).digest(), "big")


def rank_among(name: str, number: int, count: int) -> int:
    """The place of a number among 0 to count - 1, in an order that the name scatters."""
    own = stable_hash(name, number)
    return sum(stable_hash(name, other) < own for other in range(count))
