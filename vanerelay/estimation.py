"""Arithmetic that the policy uses: sliding sums, least squares, quantiles and stable hashes.

This module decides nothing. Times are in ticks, as everywhere in the policy.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

AVERAGED_PAIRS = 200
"""The number of pairs that an `EstimateCorrection` averages; the weight of older pairs decays."""

PRIOR_PAIRS = 2.0
"""The weight, in pairs, of the assumption that estimates are proportional, so that the first few pairs do not
outweigh it."""


class SlidingSums:
    """Sums of several fields over a sliding time span, kept in a ring of buckets."""

    def __init__(self, span: int, fields: int, buckets: int = 10) -> None:
        self._bucket_width = max(1, -(-span // buckets))
        self._newest = 0
        self._sums = [[0.0] * fields for _ in range(buckets + 1)]
        self._totals = [0.0] * fields

    def add(self, now: int, *values: float) -> None:
        """Adds the values to the fields, in order; fields without a value stay unchanged."""
        bucket = self._advance(now)
        for field, value in enumerate(values):
            bucket[field] += value
            self._totals[field] += value

    def total(self, now: int, field: int, short: bool = False) -> float:
        """Returns the sum of a field over at least the whole span or, if `short`, over at most the span."""
        self._advance(now)
        if not short:
            return self._totals[field]
        size = len(self._sums)
        oldest = (self._sums[(self._newest + step) % size][field] for step in (1, 2))
        return self._totals[field] - sum(oldest)

    def _advance(self, now: int) -> list[float]:
        """Empties the buckets that are older than the span, and returns the current bucket."""
        current = now // self._bucket_width
        size = len(self._sums)
        if current > self._newest:
            for expired in range(max(self._newest + 1, current - size + 1), current + 1):
                self._sums[expired % size] = [0.0] * len(self._totals)
            self._newest = current
            self._totals = [sum(column) for column in zip(*self._sums, strict=True)]
        return self._sums[self._newest % size]


class EstimateCorrection:
    """Corrects clients' estimates by the actual values of earlier queries.

    It fits the log of the actual value to the log of the estimate by least squares, with exponentially
    decaying weights. Before the first pair, estimates are returned unchanged.

    Attributes:
        samples: The number of pairs recorded.
    """

    def __init__(self) -> None:
        self.samples = 0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._yy = 0.0

    def learn(self, estimated: float, actual: float) -> None:
        """Records one pair of an estimate (0 if there was none) and the actual value."""
        self.samples += 1
        part = 1.0 / min(self.samples, AVERAGED_PAIRS)
        dx = math.log(max(estimated, 1.0)) - self._x
        dy = math.log(max(actual, 1.0)) - self._y
        self._x += part * dx
        self._y += part * dy
        self._xx += part * ((1 - part) * dx * dx - self._xx)
        self._xy += part * ((1 - part) * dx * dy - self._xy)
        self._yy += part * ((1 - part) * dy * dy - self._yy)

    def slope(self) -> float:
        """Returns how closely actual values follow estimates: 1 if in proportion, 0 if not at all."""
        prior = PRIOR_PAIRS / (self.samples + PRIOR_PAIRS)
        return min(1.0, max(0.0, (self._xy + prior) / (self._xx + prior)))

    def expected_log(self, estimated: float) -> float:
        """Returns the log of the expected actual value."""
        x = math.log(max(estimated, 1.0))
        if not self.samples:
            return x
        return self._y + self.slope() * (x - self._x)

    def expected(self, estimated: float) -> float:
        """Returns the expected actual value; 0 if there is neither an estimate nor any recorded pair."""
        if not estimated and not self.samples:
            return 0.0
        return math.exp(self.expected_log(estimated))

    def mean(self) -> float:
        """Returns the mean actual value, assuming a log-normal distribution; 0 before the first pair."""
        return math.exp(self._y + self._yy / 2) if self.samples else 0.0

    def spread(self) -> float:
        """Returns the standard deviation of the log of the actual value around the expected log."""
        if self.samples <= 1:
            return 0.0
        return math.sqrt(max(0.0, self._yy - self.slope() * self._xy))


def quantile(pairs: Iterable[tuple[float, float]], part: float) -> float:
    """Returns the weighted quantile of (value, weight) pairs; 0 if there are none.

    Args:
        pairs: The values with their weights.
        part: The quantile, as the part of the total weight that lies below it, from 0 to 1.
    """
    ranked = sorted(pairs)
    left = part * sum(weight for _, weight in ranked)
    for value, weight in ranked:
        left -= weight
        if left < 0:
            return value
    return ranked[-1][0] if ranked else 0.0


def stable_hash(name: str, number: int) -> int:
    """Returns a 64-bit hash of a name and a number that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(f"{number} {name}".encode(), digest_size=8).digest(), "big")


def rank_among(name: str, number: int, count: int) -> int:
    """Returns the rank of a number among 0 to count - 1 by rendezvous hashing with the name."""
    own = stable_hash(name, number)
    return sum(stable_hash(name, other) < own for other in range(count))
