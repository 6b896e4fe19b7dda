"""What gateways report for a canary analysis, and the measures by which they are compared. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Measure(StrEnum):
    """What is compared for each service class, 0 the best. The values are stored and printed."""

    VALUE = "utility"
    """The part of the offered value that was missed."""
    FAILED = "errored"
    REJECTED = "pushed back"
    LATE = "late"
    SLOW = "slow"
    """The part of the answers that took longer than most did before the change."""
    ATTEMPTS = "dispatches"
    """Attempts a query."""


LATENCY_BUCKETS = 48
"""Buckets of latency, from 1 ms up: the last one begins at some five seconds."""
BUCKET_WIDTH = math.log(1.2)
"""Each bucket is a fifth above the one below."""


def latency_bucket(milliseconds: float) -> int:
    """The bucket of a latency."""
    return min(LATENCY_BUCKETS - 1, max(0, int(math.log(max(1.0, milliseconds)) / BUCKET_WIDTH)))


@dataclass(frozen=True, slots=True)
class ClassCounts:
    """What became of one service class's queries at one gateway.

    Attributes:
        ended: all that ended.
        earned: the value that their answers earned, in parts of what each offered.
        failed: those that ended with an error.
        rejected: those that were rejected.
        late: those answered past their latency objective, or not at all.
        attempts: attempts at engines for them.
        latency_counts: of the completed ones, by bucket of latency.
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
    """One gateway in one slice of time.

    Attributes:
        counts: by service class.
        memory: what its process uses, in parts of its limit.
        unreachable_engines: engines that it does not reach.
        engine_share: what it holds of the engines, for each query a second.
        deaths: ends of its process that nobody ordered.
    """

    counts: Mapping[str, ClassCounts]
    memory: float = 0.0
    unreachable_engines: int = 0
    engine_share: float = 0.0
    deaths: int = 0


def measure_value(measure: Measure, counts: ClassCounts, slow_bucket: int) -> float | None:
    """A measure's value, 0 the best; None where nothing can be said.

    `slow_from` is the latency bucket past which an answer counts as slow.
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
