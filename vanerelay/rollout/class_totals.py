"""Cumulative outcomes of queries by service class, reported to the controller of a rolling change."""

from __future__ import annotations

from dataclasses import dataclass, field

from vanerelay.interface import MILLISECOND, AnswerStatus
from vanerelay.rollout.canary_metrics import LATENCY_BUCKETS, latency_bucket
from vanerelay.rollout.messages import ClassMetrics

MAX_CLASSES = 64
"""The number of service classes that are counted; queries of further classes are ignored.

Clients choose the names, and the message with the totals has to stay small.
"""


@dataclass(slots=True)
class ClassTotal:
    """The totals of one service class; the fields are those of `ClassMetrics`."""

    ended: int = 0
    earned: float = 0.0
    failed: int = 0
    rejected: int = 0
    late: int = 0
    attempts: int = 0
    latency_counts: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    def add(self, earned: float, status: int, duration: int, attempts: int) -> None:
        """Counts one answered query."""
        self.ended += 1
        self.earned += earned
        self.failed += status == AnswerStatus.FAILED
        self.rejected += status == AnswerStatus.REJECTED
        self.late += status == AnswerStatus.COMPLETED and earned < 1.0
        self.attempts += attempts
        if status == AnswerStatus.COMPLETED:
            self.latency_counts[latency_bucket(duration / MILLISECOND)] += 1

    def metrics(self) -> ClassMetrics:
        """Returns the totals as a message."""
        return ClassMetrics(
            self.ended, self.earned, self.failed, self.rejected, self.late, self.attempts, self.latency_counts
        )


class ClassTotals:
    """The totals of each service class since the process started."""

    def __init__(self) -> None:
        self._classes = dict[str, ClassTotal]()

    def query_answered(
        self, service_class: str, earned: float, status: int, duration: int, attempts: int
    ) -> None:
        """Counts one answered query.

        Args:
            service_class: The service class of the query.
            earned: The value of the answer as a fraction of the query's full value.
            status: The answer's `AnswerStatus`.
            duration: The time from the query's arrival to its answer.
            attempts: The number of attempts at engines.
        """
        total = self._classes.get(service_class)
        if total is None:
            if len(self._classes) >= MAX_CLASSES:
                return
            total = self._classes[service_class] = ClassTotal()
        total.add(earned, status, duration, attempts)

    def metrics(self) -> dict[str, ClassMetrics]:
        """Returns the totals as messages, by service class."""
        return {name: total.metrics() for name, total in self._classes.items()}
