"""The samples of gateways for a canary analysis, and the measures that are compared. No side effects."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Measure(StrEnum):
    """The measures compared for each service class; 0 is best. The values are stored and printed."""

    VALUE = "utility"
    """The fraction of the offered value that was missed."""
    FAILED = "errored"
    REJECTED = "pushed back"
    LATE = "late"
    SLOW = "slow"
    """The fraction of the answers that took longer than most answers of the baseline."""
    ATTEMPTS = "dispatches"
    """The attempts per query."""


LATENCY_BUCKETS = 48
"""The number of latency buckets. The first begins at 1 ms, the last at about five seconds."""
BUCKET_WIDTH = math.log(1.2)
"""The width of a bucket, as a natural logarithm: each begins 20% above the one below."""


def latency_bucket(milliseconds: float) -> int:
    """Returns the index of the bucket for a latency."""
    return min(LATENCY_BUCKETS - 1, max(0, int(math.log(max(1.0, milliseconds)) / BUCKET_WIDTH)))


@dataclass(frozen=True, slots=True)
class ClassCounts:
    """The outcomes of one service class's queries at one gateway.

    Attributes:
        ended: The number of queries that ended.
        earned: The value that their answers earned, summed as a fraction of each query's full value.
        failed: The queries that ended with an error.
        rejected: The queries that were rejected.
        late: The completed queries that were answered past their latency objective.
        attempts: The attempts at engines for these queries.
        latency_counts: The completed queries, by latency bucket.
    """

    ended: int = 0
    earned: float = 0.0
    failed: int = 0
    rejected: int = 0
    late: int = 0
    attempts: int = 0
    latency_counts: tuple[int, ...] = ()

    def __add__(self, other: ClassCounts) -> ClassCounts:
        return ClassCounts(
            self.ended + other.ended,
            self.earned + other.earned,
            self.failed + other.failed,
            self.rejected + other.rejected,
            self.late + other.late,
            self.attempts + other.attempts,
            _sum_buckets(self.latency_counts, other.latency_counts),
        )


def _sum_buckets(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    if first and second:
        return tuple(a + b for a, b in zip(first, second, strict=True))
    return first or second


@dataclass(frozen=True, slots=True)
class GatewaySample:
    """The figures of one gateway in one slice of time.

    Attributes:
        counts: The outcomes of queries, by service class.
        memory: The memory that its process uses, as a fraction of the process's limit.
        unreachable_engines: The number of engines that it cannot reach.
        engine_share: The share of the engines that it holds, for each query per second.
        deaths: The unexpected ends of its process.
    """

    counts: Mapping[str, ClassCounts]
    memory: float = 0.0
    unreachable_engines: int = 0
    engine_share: float = 0.0
    deaths: int = 0


def measure_value(measure: Measure, counts: ClassCounts, slow_bucket: int) -> float | None:
    """Returns the value of a measure, 0 being the best; None if there is nothing to measure.

    An answer counts as slow if its latency bucket is above `slow_bucket`.
    """
    if not counts.ended:
        return None
    match measure:
        case Measure.VALUE:
            return 1.0 - counts.earned / counts.ended
        case Measure.FAILED:
            return counts.failed / counts.ended
        case Measure.REJECTED:
            return counts.rejected / counts.ended
        case Measure.LATE:
            return counts.late / counts.ended
        case Measure.SLOW:
            completed = sum(counts.latency_counts)
            return sum(counts.latency_counts[slow_bucket + 1 :]) / completed if completed else None
        case Measure.ATTEMPTS:
            return counts.attempts / counts.ended
