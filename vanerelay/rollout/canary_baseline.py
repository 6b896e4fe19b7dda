"""How gateways did beside each other before a change: what a canary analysis compares with. Pure."""

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
"""The quantile of latency before the change past which an answer counts as slow."""
MIN_BASELINE_BLOCKS = 3
"""Blocks before the change under which a gateway's difference, or a class's value, says nothing."""


class Baseline(msgspec.Struct, frozen=True):
    """What was seen before the change, as the controller's record stores it.

    Attributes:
        differences: by gateway, service class and measure: number, mean and variance of the gateway's
            difference from all.
        latency_counts: by service class.
        values: by service class: number, mean and variance of the missed value.
    """

    differences: list[tuple[str, str, str, int, float, float]] = msgspec.field(
        default_factory=list, name="beside"
    )
    latency_counts: dict[str, tuple[int, ...]] = msgspec.field(default_factory=dict, name="times")
    values: dict[str, tuple[int, float, float]] = msgspec.field(default_factory=dict, name="utility")


class BaselineRecorder:
    """Collects the baseline, slice by slice, while nothing is changed yet."""

    def __init__(self, classes: Collection[str], block_queries: int) -> None:
        """`block_queries`: queries that make a block of one gateway."""
        self._classes, self._block_queries = classes, block_queries
        # By gateway, service class and measure: the gateway's difference from all.
        self._differences = defaultdict[tuple[str, str, str], RunningVariance](RunningVariance)
        self._totals = defaultdict[str, ClassCounts](ClassCounts)  # by service class
        self.missed_value = defaultdict[str, RunningVariance](RunningVariance)  # by service class
        self._open_blocks = defaultdict[str, dict[str, ClassCounts]](
            dict
        )  # by gateway: the block in the making

    def add_slice(self, samples: Mapping[str, GatewaySample]) -> None:
        """A slice of time: how each gateway does beside the rest, of itself."""
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
        """What was seen, for a controller that goes on from its record."""
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
        """Goes on with what another process has stored."""
        for name, class_name, measure, number, mean, variance in baseline.differences:
            self._differences[name, class_name, measure] = RunningVariance.of(number, mean, variance)
        for class_name, counts in baseline.latency_counts.items():
            self._totals[class_name] = ClassCounts(sum(counts), latency_counts=tuple(counts))
        for class_name, stored in baseline.values.items():
            self.missed_value[class_name] = RunningVariance.of(*stored)

    def slow_bucket(self, class_name: str) -> int:
        """The latency bucket past which answers of the class were slow before."""
        counts, cumulative = self._totals[class_name].latency_counts, 0
        total = sum(counts)
        for bucket, count in enumerate(counts):
            cumulative += count
            if cumulative >= SLOW_QUANTILE * total:
                return bucket
        return LATENCY_BUCKETS - 1

    def difference(self, class_name: str, measure: Measure, new: Collection[str]) -> tuple[float, float]:
        """How far the new gateways stood from all before, and the variance of that.

        What was seen is drawn towards 0 as far as gateways did not differ by more than the noise of so few
        queries.
        """
        by_gateway = {
            name: statistics
            for (name, recorded_class, recorded_measure), statistics in self._differences.items()
            if (recorded_class, recorded_measure) == (class_name, measure)
            and statistics.number >= MIN_BASELINE_BLOCKS
        }
        new_statistics = [by_gateway[name] for name in new if name in by_gateway]
        if len(by_gateway) < 2 or not new_statistics:
            return 0.0, 0.0
        mean = sum(item.mean for item in by_gateway.values()) / len(by_gateway)
        mean_noise = sum(item.variance / item.number for item in by_gateway.values()) / len(by_gateway)
        variance_of_means = sum((item.mean - mean) ** 2 for item in by_gateway.values()) / (
            len(by_gateway) - 1
        )
        real_variance = max(0.0, variance_of_means - mean_noise) / len(new_statistics)
        error_variance = (
            sum(item.variance / item.number for item in new_statistics) / len(new_statistics) ** 2
        )
        if real_variance + error_variance <= 0.0:
            return 0.0, 0.0
        shrinkage_factor = real_variance / (real_variance + error_variance)
        return sum(item.mean for item in new_statistics) / len(
            new_statistics
        ) * shrinkage_factor, error_variance * shrinkage_factor
