"""Whether new gateways do worse than old ones at the same time. Pure: fed samples by slice of time.

A stage is compared block by block: a block is as many slices as it takes for enough queries on the new side,
its value the difference between what the new and the old gateways did in the very same time, less the
difference that the same gateways showed before they were changed. So a burst, a bad engine or a lost zone,
which both sides meet, is blamed on neither. The mean difference is held in a confidence sequence
(Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021, asymptotic; the normal mixture of Robbins), which may be
looked at at any time: over a whole change that changes nothing the probability of a stop is at most
`false_stop_probability`. What was weighed is in docs/design/rollout.md.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from vanerelay.confidence import half_width
from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration
from vanerelay.rollout.canary_baseline import MIN_BASELINE_BLOCKS, Baseline, BaselineRecorder
from vanerelay.rollout.canary_metrics import GatewaySample, Measure
from vanerelay.rollout.canary_stage import MeasureSeries, StageEvidence

MIN_VARIANCE_BLOCKS = 5
"""Blocks under which a variance says nothing."""
TIGHTEST_AT_BLOCKS = 30.0
"""Blocks at about which the confidence sequence is made tightest."""
MAX_REACHABILITY_GAP = 1.5
"""Engines that new gateways reach fewer, above which a loss is laid on links and not on the release."""
CROWDING_FACTOR = 1.5
"""New gateways crowd the old ones out where they hold this many times as much of the engines."""
MAX_MEMORY_GROWTH = 0.25
"""In parts of the limit: by how much more the memory of new gateways may grow."""
MIN_DEATHS = 2
"""Ends of processes under which they are chance."""
OTHER_COMPARISONS = 3
"""Comparisons beside the measures of each class: deaths, memory, crowding."""


@dataclass(frozen=True, slots=True)
class Guard:
    """What is allowed for one service class, in parts of its queries (of the attempts: in attempts).

    Attributes:
        tolerance: within which a difference is none.
        max_loss: the largest with which a stage may pass.
    """

    tolerance: float = 0.01
    max_loss: float = config_field("loss", default=0.05)


@dataclass(frozen=True, slots=True)
class AnalysisTerms:
    """How strictly, and how long, a change is analysed.

    Attributes:
        false_stop_probability: of a stop without reason, over the whole change.
        stages: how many there are.
        block_queries: queries on the new side that make a block.
        min_blocks: before anything passes.
        max_stage_time: from which on a stage is held.
        settle_time: after a change, in which nothing is counted.
        slice_duration: how often samples are taken.
    """

    false_stop_probability: float = config_field("chance", default=0.01)
    stages: int = 3
    block_queries: int = config_field("block", default=40)
    min_blocks: int = config_field("least", default=8)
    max_stage_time: Duration = config_field("longest", default=600 * SECOND)
    settle_time: Duration = config_field("settle", default=3 * SECOND)
    slice_duration: Duration = config_field("slice", default=SECOND)


class Assessment(Enum):
    """How a stage stands; the values are stored."""

    FINE = "fine"
    WORSE = "worse"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Verdict:
    """An assessment; `reasons`: of WORSE, which figure by how much; of WAIT, what is missing."""

    assessment: Assessment
    reasons: tuple[str, ...] = ()


@dataclass(slots=True)
class _Findings:
    """What speaks against the new release, and what is missing to let the stage pass."""

    worse: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


class CanaryAnalysis:
    """The analysis of one whole change.

    Call `add_baseline_slice` while nothing is changed yet, `begin_stage` with each stage, then
    `add_stage_slice` and `verdict`.
    """

    def __init__(self, guards: Mapping[str, Guard], terms: AnalysisTerms) -> None:
        """`guards` by service class, of those that are analysed."""
        self._guards, self.terms = guards, terms
        # A probability for each comparison that can stop the change.
        comparisons = terms.stages * (len(guards) * len(Measure) + OTHER_COMPARISONS)
        self._probability = terms.false_stop_probability / comparisons
        self._baseline = BaselineRecorder(guards, terms.block_queries)
        self.begin_stage(0)

    def begin_stage(self, now: int) -> None:
        """Another stage: it is assessed afresh, by its own share of the probability."""
        terms = self.terms
        self._stage = StageEvidence(now, self._guards, terms.block_queries, terms.settle_time, self._baseline)

    def add_baseline_slice(self, samples: Mapping[str, GatewaySample]) -> None:
        """A slice with nothing changed."""
        self._baseline.add_slice(samples)

    def baseline(self) -> Baseline:
        """What was seen before the change, for a controller that goes on from its record."""
        return self._baseline.snapshot()

    def restore(self, baseline: Baseline) -> None:
        """Goes on with a stored baseline."""
        self._baseline.restore(baseline)

    def add_stage_slice(
        self,
        now: int,
        samples: Mapping[str, GatewaySample],
        new: Collection[str],
        old: Collection[str],
        no_old_left: bool = False,
    ) -> None:
        """A slice of a stage.

        `old` are the gateways to compare with: only the freshly restarted, while that counts.
        """
        self._stage.add_slice(now, samples, new, old, no_old_left)

    def verdict(self, new: Collection[str]) -> Verdict:
        """How the stage stands.

        Nothing passes on too little evidence; past the longest time it is for the caller to hold the stage.
        """
        findings = _Findings()
        for class_name, guard in sorted(self._guards.items()):
            self._assess_class(class_name, guard, new, findings)
        gap = self._stage.reachability_gap
        if findings.worse and gap > MAX_REACHABILITY_GAP:
            # Not the release's doing for all that is seen: those gateways reach fewer engines.
            findings.missing.append(
                f"new managers reach {gap:.1f} engines fewer, so nothing is laid on the release"
            )
            findings.worse = []
        findings.worse += self._death_findings()
        findings.worse += self._memory_findings()
        findings.worse += self._crowding_findings()
        if findings.worse:
            return Verdict(Assessment.WORSE, tuple(findings.worse))
        if not self._stage.has_comparison:
            findings.missing.append("no figures of both sides at the same time yet")
        if findings.missing:
            return Verdict(Assessment.WAIT, tuple(findings.missing))
        return Verdict(Assessment.FINE)

    def _assess_class(self, class_name: str, guard: Guard, new: Collection[str], findings: _Findings) -> None:
        terms, stage, missing = self.terms, self._stage, findings.missing
        completed = stage.completed_blocks[class_name]
        if completed < terms.min_blocks:
            missing.append(
                f"{class_name}: {completed} of {terms.min_blocks} blocks of {terms.block_queries} batches"
            )
        if completed < MIN_VARIANCE_BLOCKS:
            return
        loss = self._loss_since_baseline(class_name)
        if stage.no_old_left and loss > guard.max_loss:
            missing.append(
                f"{class_name}: all do worse by {loss:.3f} than before, and nobody is left to compare with"
            )
        for measure in Measure:
            series = stage.series[class_name, measure]
            if series.differences.number:
                self._assess_measure(class_name, measure, series, guard, new, findings)

    def _assess_measure(
        self,
        class_name: str,
        measure: Measure,
        series: MeasureSeries,
        guard: Guard,
        new: Collection[str],
        findings: _Findings,
    ) -> None:
        mean, width = self._difference(class_name, measure, series, new)
        if mean - width > guard.tolerance:
            findings.worse.append(
                f"{class_name}: {measure} worse by {mean:.3f} (at least {mean - width:.3f})"
            )
        elif mean + width > guard.max_loss and not self._stage.no_old_left:
            findings.missing.append(
                f"{class_name}: {measure} may be worse by {mean + width:.3f}, "
                f"{guard.max_loss:.3f} is let pass"
            )

    def _difference(
        self, class_name: str, measure: Measure, series: MeasureSeries, new: Collection[str]
    ) -> tuple[float, float]:
        """The mean difference less that of before, and how far it may be off."""
        baseline_mean, baseline_variance = self._baseline.difference(class_name, measure, new)
        variance = max(series.differences.variance, series.counting_noise)
        width = half_width(series.differences.number, variance, self._probability, TIGHTEST_AT_BLOCKS)
        baseline_width = math.sqrt(-2.0 * math.log(self._probability) * baseline_variance)
        return series.differences.mean - baseline_mean, math.hypot(width, baseline_width)

    def _death_findings(self) -> list[str]:
        """Ends of processes that nobody ordered, of new beside old gateways."""
        deaths, exposure = self._stage.deaths, self._stage.exposure
        new_share = exposure.new / max(1, exposure.new + exposure.old)
        if deaths.new < MIN_DEATHS:
            return []
        if _probability_at_least(deaths.new, deaths.new + deaths.old, new_share) >= self._probability:
            return []
        return [f"processes: {deaths.new} of new managers ended by themselves, {deaths.old} of old ones"]

    def _memory_findings(self) -> list[str]:
        """Memory that grows, of new beside old gateways."""
        new_growth, old_growth = self._stage.memory_growth(True), self._stage.memory_growth(False)
        if not new_growth or not old_growth:
            return []
        excess = min(new_growth) - max(0.0, max(old_growth))
        if excess <= MAX_MEMORY_GROWTH:
            return []
        return [f"memory: every new manager grew by {excess:.0%} of its limit more than any old one"]

    def _loss_since_baseline(self, class_name: str) -> float:
        """By how much value is missed more than before the change, at least."""
        baseline, current = self._baseline.missed_value[class_name], self._stage.missed_value[class_name]
        if baseline.number < MIN_BASELINE_BLOCKS or current.number < MIN_VARIANCE_BLOCKS:
            return 0.0
        baseline_width = math.sqrt(-2.0 * math.log(self._probability) * baseline.variance / baseline.number)
        width = half_width(current.number, current.variance, self._probability, TIGHTEST_AT_BLOCKS)
        return current.mean - baseline.mean - baseline_width - width

    def _crowding_findings(self) -> list[str]:
        """New gateways hold more of the engines for the same work, and the old ones do worse than before.

        What is gained on one side is then taken from the other.
        """
        new, old = self._stage.new_engine_share, self._stage.old_engine_share
        if min(new.number, old.number) < MIN_VARIANCE_BLOCKS or new.mean < CROWDING_FACTOR * old.mean:
            return []
        for class_name, guard in sorted(self._guards.items()):
            if self._loss_since_baseline(class_name) > guard.tolerance:
                baseline = self._baseline.missed_value[class_name]
                excess = self._stage.missed_value[class_name].mean - baseline.mean
                return [
                    f"{class_name}: old managers do worse by {excess:.3f} than before the stage, while "
                    f"new ones hold {new.mean / max(1e-9, old.mean):.1f} times as much of the engines"
                ]
        return []


def _probability_at_least(hits: int, trials: int, probability: float) -> float:
    """The probability of so many hits or more, each with the given one."""
    return sum(
        math.comb(trials, k) * probability**k * (1.0 - probability) ** (trials - k)
        for k in range(hits, trials + 1)
    )
