"""The baseline of a canary analysis: how gateways differed from each other before a change.

No side effects.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping

import msgspec

from vanerelay.confidence import RunningVariance
from vanerelay.rollout.canary_metrics import (
    LATENCY_BUCKETS,
    ClassCounts,
    GatewaySample,
    Measure,
    measure_value,
)

SLOW_QUANTILE = 0.95
"""The quantile of latency in the baseline above which an answer counts as slow."""
MIN_BASELINE_BLOCKS = 3
"""The fewest baseline blocks from which a gateway's difference, or a class's missed value, is used."""


class Baseline(msgspec.Struct, frozen=True):
    """The baseline, as the controller's record stores it.

    Attributes:
        differences: A row for each gateway, service class and measure, with the number, mean and variance of
            the gateway's difference from all gateways.
        latency_counts: The completed queries of each service class, by latency bucket.
        values: The number, mean and variance of each service class's missed value.
    """

    differences: list[tuple[str, str, str, int, float, float]] = msgspec.field(
        default_factory=list, name="beside"
    )
    latency_counts: dict[str, tuple[int, ...]] = msgspec.field(default_factory=dict, name="times")
    values: dict[str, tuple[int, float, float]] = msgspec.field(default_factory=dict, name="utility")


class BaselineRecorder:
    """Collects the baseline, slice by slice, before the first gateway is changed.

    Attributes:
        missed_value: The missed value of each block, by service class.
    """

    def __init__(self, classes: Collection[str], block_queries: int) -> None:
        """Sets up the recorder.

        Args:
            classes: The service classes to record.
            block_queries: The mean number of queries that each gateway needs in a block.
        """
        self._classes, self._block_queries = classes, block_queries
        # The difference of each gateway from all gateways, by gateway, service class and measure.
        self._differences = defaultdict[tuple[str, str, str], RunningVariance](RunningVariance)
        self._totals = defaultdict[str, ClassCounts](ClassCounts)  # by service class
        self.missed_value = defaultdict[str, RunningVariance](RunningVariance)  # by service class
        self._open_blocks = defaultdict[str, dict[str, ClassCounts]](dict)  # by gateway and service class

    def add_slice(self, samples: Mapping[str, GatewaySample]) -> None:
        """Adds the samples of one slice of time."""
        for name, sample in samples.items():
            block = self._open_blocks[name]
            for class_name in self._classes:
                counts = sample.counts.get(class_name, ClassCounts())
                self._totals[class_name] = self._totals[class_name] + counts
                block[class_name] = block.get(class_name, ClassCounts()) + counts
        ended = [self._block_total(class_name).ended for class_name in self._classes]
        if not ended or min(ended) < self._block_queries * max(2, len(samples)):
            return
        for class_name in self._classes:
            self._close_block(class_name)
        self._open_blocks.clear()

    def _block_total(self, class_name: str) -> ClassCounts:
        empty = ClassCounts()
        return sum((block.get(class_name, empty) for block in self._open_blocks.values()), empty)

    def _close_block(self, class_name: str) -> None:
        slow_bucket, total = self.slow_bucket(class_name), self._block_total(class_name)
        for measure in Measure:
            fleet_value = measure_value(measure, total, slow_bucket)
            for name, block in self._open_blocks.items():
                gateway_value = measure_value(measure, block.get(class_name, ClassCounts()), slow_bucket)
                if gateway_value is not None and fleet_value is not None:
                    self._differences[name, class_name, measure].add(gateway_value - fleet_value)
        missed = measure_value(Measure.VALUE, total, slow_bucket)
        if missed is not None:
            self.missed_value[class_name].add(missed)

    def snapshot(self) -> Baseline:
        """Returns the baseline, to be stored for a controller that resumes the change."""
        return Baseline(
            [
                (name, class_name, str(measure), statistics.number, statistics.mean, statistics.variance)
                for (name, class_name, measure), statistics in self._differences.items()
            ],
            {class_name: counts.latency_counts for class_name, counts in self._totals.items()},
            {
                class_name: (statistics.number, statistics.mean, statistics.variance)
                for class_name, statistics in self.missed_value.items()
            },
        )

    def restore(self, baseline: Baseline) -> None:
        """Restores a baseline that another process has stored."""
        for name, class_name, measure, number, mean, variance in baseline.differences:
            self._differences[name, class_name, measure] = RunningVariance.of(number, mean, variance)
        for class_name, counts in baseline.latency_counts.items():
            self._totals[class_name] = ClassCounts(sum(counts), latency_counts=tuple(counts))
        for class_name, stored in baseline.values.items():
            self.missed_value[class_name] = RunningVariance.of(*stored)

    def slow_bucket(self, class_name: str) -> int:
        """Returns the latency bucket above which an answer of the class counts as slow."""
        counts, cumulative = self._totals[class_name].latency_counts, 0
        total = sum(counts)
        for bucket, count in enumerate(counts):
            cumulative += count
            if cumulative >= SLOW_QUANTILE * total:
                return bucket
        return LATENCY_BUCKETS - 1

    def difference(self, class_name: str, measure: Measure, new: Collection[str]) -> tuple[float, float]:
        """Returns the mean baseline difference of the new gateways from all, and its variance.

        The mean is shrunk towards 0 according to how much of the differences between gateways the noise of
        few queries explains.
        """
        recorded = {
            name: statistics
            for (name, recorded_class, recorded_measure), statistics in self._differences.items()
            if (recorded_class, recorded_measure) == (class_name, measure)
            and statistics.number >= MIN_BASELINE_BLOCKS
        }
        new_stats = [recorded[name] for name in new if name in recorded]
        if len(recorded) < 2 or not new_stats:
            return 0.0, 0.0
        mean = sum(item.mean for item in recorded.values()) / len(recorded)
        mean_noise = sum(item.variance / item.number for item in recorded.values()) / len(recorded)
        variance_of_means = sum((item.mean - mean) ** 2 for item in recorded.values()) / (len(recorded) - 1)
        real_variance = max(0.0, variance_of_means - mean_noise) / len(new_stats)
        error_variance = sum(item.variance / item.number for item in new_stats) / len(new_stats) ** 2
        if real_variance + error_variance <= 0.0:
            return 0.0, 0.0
        shrinkage_factor = real_variance / (real_variance + error_variance)
        return sum(item.mean for item in new_stats) / len(
            new_stats
        ) * shrinkage_factor, error_variance * shrinkage_factor
