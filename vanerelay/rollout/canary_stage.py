"""The evidence of one stage: the figures of new and old gateways in the same slices. No side effects."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from vanerelay.confidence import RunningVariance
from vanerelay.interface import Duration
from vanerelay.rollout.canary_baseline import BaselineRecorder
from vanerelay.rollout.canary_metrics import ClassCounts, GatewaySample, Measure, measure_value

REACH_SMOOTHING = 0.3
"""The weight of the last slice in the smoothed difference of reached engines."""


@dataclass(slots=True)
class MeasureSeries:
    """The values of one measure of one service class over the blocks of a stage.

    Attributes:
        differences: The value of the new gateways less that of the old ones, of each block.
        counting_noise: The variance of a block's difference that is due to its number of queries alone, as a
            mean over blocks.
    """

    differences: RunningVariance = field(default_factory=RunningVariance)
    counting_noise: float = 0.0


@dataclass(slots=True)
class Block:
    """The outcomes of one service class's queries in one block, at new and at old gateways."""

    new: ClassCounts = ClassCounts()
    old: ClassCounts = ClassCounts()


@dataclass(slots=True)
class SideCounts:
    """A count over the new gateways, and one over the old gateways."""

    new: int = 0
    old: int = 0

    def add(self, is_new: bool, amount: int) -> None:
        """Adds an amount to the count of the new or of the old gateways."""
        if is_new:
            self.new += amount
        else:
            self.old += amount


class StageEvidence:
    """The evidence of one stage so far.

    Attributes:
        series: The compared values, by service class and measure.
        missed_value: The missed value of the old gateways, or of all gateways if no old one is left, by
            service class.
        completed_blocks: The number of completed blocks, by service class.
        deaths: The unexpected ends of processes.
        exposure: The samples of gateways, over which `deaths` are counted.
        new_engine_share: The share of the engines that each new gateway holds, for each query per second.
        old_engine_share: The same of each old gateway.
        reachability_gap: How many engines fewer the new gateways reach than the old ones, smoothed.
        has_comparison: Whether there was a slice with figures of both sides, or with no old gateway left.
        no_old_left: Whether no old gateway is left to compare with.
    """

    def __init__(
        self,
        now: int,
        classes: Collection[str],
        block_queries: int,
        settle_time: Duration,
        baseline: BaselineRecorder,
    ) -> None:
        """Begins the evidence at `now`; samples within `settle_time` from then are not counted."""
        self._started_at, self._classes, self._settle_time = now, classes, settle_time
        self._block_queries, self._baseline = block_queries, baseline
        self.series = defaultdict[tuple[str, Measure], MeasureSeries](MeasureSeries)
        self.missed_value = defaultdict[str, RunningVariance](RunningVariance)
        self._open_blocks = defaultdict[str, Block](Block)
        self.completed_blocks = defaultdict[str, int](int)
        self.deaths, self.exposure = SideCounts(), SideCounts()
        self._first_memory = dict[str, float]()
        self._memory_growth = dict[str, tuple[bool, float]]()  # by gateway: whether it is new, and its growth
        self.new_engine_share, self.old_engine_share = RunningVariance(), RunningVariance()
        self.reachability_gap = 0.0
        self.has_comparison = self.no_old_left = False

    def add_slice(
        self,
        now: int,
        samples: Mapping[str, GatewaySample],
        new: Collection[str],
        old: Collection[str],
        no_old_left: bool,
    ) -> None:
        """Adds the samples of one slice of time; `old` are the gateways to compare with."""
        if now - self._started_at < self._settle_time:
            for name in samples.keys() & (set(new) | set(old)):
                self._first_memory[name] = samples[name].memory
            return
        new_samples = [samples[name] for name in sorted(new) if name in samples]
        old_samples = [samples[name] for name in sorted(old) if name in samples]
        for name, sample in samples.items():  # also old ones outside the comparison
            self.deaths.add(name in new, sample.deaths)
            self.exposure.add(name in new, 1)
        _add_engine_shares(self.new_engine_share, new_samples)
        _add_engine_shares(self.old_engine_share, old_samples)
        self._add_memory(samples, new, old)
        self.no_old_left = no_old_left
        if no_old_left and new_samples:
            self._add_without_old(new_samples)
        if new_samples and old_samples:
            self._add_compared(new_samples, old_samples)

    def _add_memory(
        self, samples: Mapping[str, GatewaySample], new: Collection[str], old: Collection[str]
    ) -> None:
        for name, sample in samples.items():
            if name in new or name in old:
                first_memory = self._first_memory.setdefault(name, sample.memory)
                self._memory_growth[name] = name in new, sample.memory - first_memory

    def memory_growth(self, is_new: bool) -> list[float]:
        """Returns the memory growth of each new, or each old, gateway in the stage, in parts of its limit."""
        return [growth for new, growth in self._memory_growth.values() if new is is_new]

    def _add_without_old(self, new_samples: Sequence[GatewaySample]) -> None:
        """Adds a slice without old gateways, which can only be compared with the time before the change."""
        self.has_comparison = True
        for class_name in self._classes:
            new = _class_total(new_samples, class_name, self._open_blocks[class_name].new)
            if new.ended < self._block_queries:
                self._open_blocks[class_name] = Block(new)
                continue
            self._open_blocks[class_name] = Block()
            self.completed_blocks[class_name] += 1
            missed = measure_value(Measure.VALUE, new, 0)
            if missed is not None:
                self.missed_value[class_name].add(missed)

    def _add_compared(
        self, new_samples: Sequence[GatewaySample], old_samples: Sequence[GatewaySample]
    ) -> None:
        self.has_comparison = True
        gap = _mean_unreachable(new_samples) - _mean_unreachable(old_samples)
        self.reachability_gap = (1.0 - REACH_SMOOTHING) * self.reachability_gap + REACH_SMOOTHING * gap
        for class_name in self._classes:
            open_block = self._open_blocks[class_name]
            added_new = _class_total(new_samples, class_name, ClassCounts())
            added_old = _class_total(old_samples, class_name, ClassCounts())
            block = Block(open_block.new + added_new, open_block.old + added_old)
            if min(block.new.ended, block.old.ended) < self._block_queries:
                self._open_blocks[class_name] = block
                continue
            self._open_blocks[class_name] = Block()
            self.completed_blocks[class_name] += 1
            self._close_block(class_name, block)

    def _close_block(self, class_name: str, block: Block) -> None:
        slow_bucket = self._baseline.slow_bucket(class_name)
        for measure in Measure:
            new = measure_value(measure, block.new, slow_bucket)
            old = measure_value(measure, block.old, slow_bucket)
            if new is None or old is None:
                continue
            series = self.series[class_name, measure]
            series.differences.add(new - old)
            noise = _counting_noise(measure, block, slow_bucket)
            series.counting_noise += (noise - series.counting_noise) / series.differences.number
        missed = measure_value(Measure.VALUE, block.old, slow_bucket)
        if missed is not None:
            self.missed_value[class_name].add(missed)


def _counting_noise(measure: Measure, block: Block, slow_bucket: int) -> float:
    """Returns the variance of a block's difference if both sides were alike, due to its number of queries."""
    total = block.new + block.old
    proportion = min(1.0, max(0.0, measure_value(measure, total, slow_bucket) or 0.0))
    return (proportion * (1.0 - proportion) + 1.0 / total.ended) * (
        1.0 / block.new.ended + 1.0 / block.old.ended
    )


def _class_total(samples: Sequence[GatewaySample], class_name: str, start: ClassCounts) -> ClassCounts:
    return sum((sample.counts.get(class_name, ClassCounts()) for sample in samples), start)


def _mean_unreachable(samples: Sequence[GatewaySample]) -> float:
    return sum(sample.unreachable_engines for sample in samples) / len(samples)


def _add_engine_shares(shares: RunningVariance, samples: Sequence[GatewaySample]) -> None:
    for sample in samples:
        if sample.engine_share:
            shares.add(sample.engine_share)
