"""Plain arithmetic over what is observed: sums over time, least squares, quantiles and stable hashes.

Nothing in this module chooses anything. Times are in ticks, as everywhere in the decisions.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

REMEMBERED_PAIRS = 200
"""Pairs that count in an `EstimateCorrection`; older ones fade."""

PRIOR_PAIRS = 2.0
"""Weight of the given estimate itself, in pairs, so that the first few pairs do not overrule it."""


class SlidingSums:
    """Sums of several fields over a span of time, kept in a ring of buckets that are reused in turn."""

    def __init__(self, span: int, fields: int, buckets: int = 10) -> None:
        self._bucket_width = max(1, -(-span // buckets))
        self._newest = 0
        self._sums = [[0.0] * fields for _ in range(buckets + 1)]
        self._totals = [0.0] * fields

    def add(self, now: int, *values: float) -> None:
        """Adds one value to each field, in order; fields without a value stay."""
        bucket = self._advance(now)
        for field, value in enumerate(values):
            bucket[field] += value
            self._totals[field] += value

    def total(self, now: int, field: int, short: bool = False) -> float:
        """The sum of a field over at least the whole span; with `short`, over never more than the span."""
        self._advance(now)
        if not short:
            return self._totals[field]
        size = len(self._sums)
        oldest = (self._sums[(self._newest + step) % size][field] for step in (1, 2))
        return self._totals[field] - sum(oldest)

    def _advance(self, now: int) -> list[float]:
        """Empties the buckets that the span has left behind; returns the bucket of the moment."""
        stamp = now // self._bucket_width
        size = len(self._sums)
        if stamp > self._newest:
            for expired in range(max(self._newest + 1, stamp - size + 1), stamp + 1):
                self._sums[expired % size] = [0.0] * len(self._totals)
            self._newest = stamp
            self._totals = [sum(column) for column in zip(*self._sums, strict=True)]
        return self._sums[self._newest % size]


class EstimateCorrection:
    """Corrects clients' estimates by what was needed in the end.

    It fits the log of the actual figure to the log of the estimate by least squares, with exponential
    forgetting. Where nothing was learned yet, estimates are taken as they are.
    """

    def __init__(self) -> None:
        self.samples = 0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._yy = 0.0

    def learn(self, estimated: float, actual: float) -> None:
        """Takes in one pair of an estimate (0 where none was given) and the actual figure."""
        self.samples += 1
        part = 1.0 / min(self.samples, REMEMBERED_PAIRS)
        dx = math.log(max(estimated, 1.0)) - self._x
        dy = math.log(max(actual, 1.0)) - self._y
        self._x += part * dx
        self._y += part * dy
        self._xx += part * ((1 - part) * dx * dx - self._xx)
        self._xy += part * ((1 - part) * dx * dy - self._xy)
        self._yy += part * ((1 - part) * dy * dy - self._yy)

    def slope(self) -> float:
        """How far the actual figure follows the estimate: 1 in proportion, 0 not at all."""
        prior = PRIOR_PAIRS / (self.samples + PRIOR_PAIRS)
        return min(1.0, max(0.0, (self._xy + prior) / (self._xx + prior)))

    def expected_log(self, estimated: float) -> float:
        """The log of the figure to expect."""
        x = math.log(max(estimated, 1.0))
        if not self.samples:
            return x
        return self._y + self.slope() * (x - self._x)

    def expected(self, estimated: float) -> float:
        """The figure to expect; 0 where nothing was estimated or learned."""
        if not estimated and not self.samples:
            return 0.0
        return math.exp(self.expected_log(estimated))

    def mean(self) -> float:
        """The mean of the actual figures, as of a log-normal distribution; 0 where nothing was learned."""
        return math.exp(self._y + self._yy / 2) if self.samples else 0.0

    def spread(self) -> float:
        """The standard deviation of the log of actual figures around the expected one."""
        if self.samples <= 1:
            return 0.0
        return math.sqrt(max(0.0, self._yy - self.slope() * self._xy))


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
    """A 64-bit hash of a pair, the same in every process."""
    return int.from_bytes(hashlib.blake2b(f"{number} {name}".encode(), digest_size=8).digest(), "big")


def rank_among(name: str, number: int, count: int) -> int:
    """The rank of a number among 0 to count - 1, in an order that the name scatters (rendezvous hashing)."""
    own = stable_hash(name, number)
    return sum(stable_hash(name, other) < own for other in range(count))
