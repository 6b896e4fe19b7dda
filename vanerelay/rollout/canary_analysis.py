"""Assesses whether changed gateways do worse than unchanged ones at the same time. No side effects.

The input is one sample of each gateway per slice of time. A stage is compared block by block: a block has as
many slices as it takes for enough queries on both sides. Its value is the difference between the new and the
old gateways in the same slices, less the difference that the same gateways showed before they were changed. A
burst, a bad engine or a lost zone affects both sides and so counts against neither. The mean difference is
bounded by a confidence sequence (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021, asymptotic; with the
normal mixture of Robbins), which is valid at every look: over a whole change without any effect, the
probability of a stop is at most `false_stop_probability`. The alternatives are in docs/design/rollout.md.
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
"""The fewest blocks from which a variance is estimated."""
TIGHTEST_AT_BLOCKS = 30.0
"""The number of blocks around which the confidence sequence is narrowest."""
MAX_REACHABILITY_GAP = 1.5
"""The difference in reached engines above which a loss is attributed to links, not to the release."""
CROWDING_FACTOR = 1.5
"""New gateways crowd out the old ones if they hold at least this multiple of the old ones' engine share."""
MAX_MEMORY_GROWTH = 0.25
"""How much more the memory of new gateways may grow, as a fraction of the memory limit."""
MIN_DEATHS = 2
"""The fewest unexpected ends of new processes that can count against the release."""
OTHER_COMPARISONS = 3
"""The comparisons besides the measures of each class: process deaths, memory, crowding out."""


@dataclass(frozen=True, slots=True)
class Guard:
    """The limits for one service class, as a fraction of its queries (for attempts: in attempts per query).

    Attributes:
        tolerance: The largest difference that does not count as worse.
        max_loss: The largest loss, including its uncertainty, with which a stage may pass.
    """

    tolerance: float = 0.01
    max_loss: float = config_field("loss", default=0.05)


@dataclass(frozen=True, slots=True)
class AnalysisTerms:
    """The parameters of a canary analysis.

    Attributes:
        false_stop_probability: The probability, over the whole change, that a sound release is stopped.
        stages: The number of stages.
        block_queries: The queries that each compared side needs in a block.
        min_blocks: The blocks that a service class needs before a stage can pass.
        max_stage_time: The time after which a stage without a clear assessment ends as unclear.
        settle_time: The time after the start of a stage in which samples are not counted.
        slice_duration: The interval between samples.
    """

    false_stop_probability: float = config_field("chance", default=0.01)
    stages: int = 3
    block_queries: int = config_field("block", default=40)
    min_blocks: int = config_field("least", default=8)
    max_stage_time: Duration = config_field("longest", default=600 * SECOND)
    settle_time: Duration = config_field("settle", default=3 * SECOND)
    slice_duration: Duration = config_field("slice", default=SECOND)


class Assessment(Enum):
    """The assessment of a stage. The values are stored."""

    FINE = "fine"
    WORSE = "worse"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Verdict:
    """An assessment with its reasons.

    Attributes:
        assessment: The assessment.
        reasons: For WORSE, the figures that are worse, with the amounts; for WAIT, the missing evidence.
    """

    assessment: Assessment
    reasons: tuple[str, ...] = ()


@dataclass(slots=True)
class _Findings:
    """The findings on a stage.

    Attributes:
        worse: Findings against the new release.
        missing: Evidence that is missing before the stage can pass.
    """

    worse: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


class CanaryAnalysis:
    """The canary analysis of one change.

    Call `add_baseline_slice` before the first gateway is changed, `begin_stage` at the start of each stage,
    then `add_stage_slice` for each slice of time, and `verdict` at any time.
    """

    def __init__(self, guards: Mapping[str, Guard], terms: AnalysisTerms) -> None:
        """Sets up the analysis; `guards` has the limits of each service class to analyse."""
        self._guards, self.terms = guards, terms
        # Each comparison that can stop the change gets an equal share of the probability.
        comparisons = terms.stages * (len(guards) * len(Measure) + OTHER_COMPARISONS)
        self._probability = terms.false_stop_probability / comparisons
        self._baseline = BaselineRecorder(guards, terms.block_queries)
        self.begin_stage(0)

    def begin_stage(self, now: int) -> None:
        """Begins a stage, which is assessed on its own evidence and with its own share of the probability."""
        terms = self.terms
        self._stage = StageEvidence(now, self._guards, terms.block_queries, terms.settle_time, self._baseline)

    def add_baseline_slice(self, samples: Mapping[str, GatewaySample]) -> None:
        """Adds the samples of one slice of time before the change."""
        self._baseline.add_slice(samples)

    def baseline(self) -> Baseline:
        """Returns the baseline, to be stored for a controller that resumes the change."""
        return self._baseline.snapshot()

    def restore(self, baseline: Baseline) -> None:
        """Restores a stored baseline."""
        self._baseline.restore(baseline)

    def add_stage_slice(
        self,
        now: int,
        samples: Mapping[str, GatewaySample],
        new: Collection[str],
        old: Collection[str],
        no_old_left: bool = False,
    ) -> None:
        """Adds the samples of one slice of time in a stage.

        Args:
            now: The current time.
            samples: The samples, by gateway.
            new: The gateways on the new release.
            old: The gateways to compare them with: only the restarted controls, if there are any.
            no_old_left: Whether no gateway is left to compare with.
        """
        self._stage.add_slice(now, samples, new, old, no_old_left)

    def verdict(self, new: Collection[str]) -> Verdict:
        """Returns the verdict on the stage, with `new` as the gateways on the new release.

        A stage never passes on too little evidence. The caller enforces the maximum time of a stage.
        """
        findings = _Findings()
        for class_name, guard in sorted(self._guards.items()):
            self._assess_class(class_name, guard, new, findings)
        gap = self._stage.reachability_gap
        if findings.worse and gap > MAX_REACHABILITY_GAP:
            # The new gateways reach fewer engines, which may explain the loss without the release.
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
        """Returns the mean difference less that of the baseline, and half the width of its interval."""
        baseline_mean, baseline_variance = self._baseline.difference(class_name, measure, new)
        variance = max(series.differences.variance, series.counting_noise)
        width = half_width(series.differences.number, variance, self._probability, TIGHTEST_AT_BLOCKS)
        baseline_width = math.sqrt(-2.0 * math.log(self._probability) * baseline_variance)
        return series.differences.mean - baseline_mean, math.hypot(width, baseline_width)

    def _death_findings(self) -> list[str]:
        """Returns a finding if processes of new gateways end unexpectedly more often than old ones."""
        deaths, exposure = self._stage.deaths, self._stage.exposure
        new_share = exposure.new / max(1, exposure.new + exposure.old)
        if deaths.new < MIN_DEATHS:
            return []
        if _probability_at_least(deaths.new, deaths.new + deaths.old, new_share) >= self._probability:
            return []
        return [f"processes: {deaths.new} of new managers ended by themselves, {deaths.old} of old ones"]

    def _memory_findings(self) -> list[str]:
        """Returns a finding if the memory of every new gateway grows more than that of any old one."""
        new_growth, old_growth = self._stage.memory_growth(True), self._stage.memory_growth(False)
        if not new_growth or not old_growth:
            return []
        excess = min(new_growth) - max(0.0, max(old_growth))
        if excess <= MAX_MEMORY_GROWTH:
            return []
        return [f"memory: every new manager grew by {excess:.0%} of its limit more than any old one"]

    def _loss_since_baseline(self, class_name: str) -> float:
        """Returns a lower bound of the increase of missed value since the baseline."""
        baseline, current = self._baseline.missed_value[class_name], self._stage.missed_value[class_name]
        if baseline.number < MIN_BASELINE_BLOCKS or current.number < MIN_VARIANCE_BLOCKS:
            return 0.0
        baseline_width = math.sqrt(-2.0 * math.log(self._probability) * baseline.variance / baseline.number)
        width = half_width(current.number, current.variance, self._probability, TIGHTEST_AT_BLOCKS)
        return current.mean - baseline.mean - baseline_width - width

    def _crowding_findings(self) -> list[str]:
        """Returns a finding if the new gateways crowd out the old ones.

        The new gateways then hold more of the engines for the same work, and the old ones do worse than
        before: what one side gains is taken from the other.
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
    """Returns the probability of at least `hits` successes in `trials` independent trials."""
    return sum(
        math.comb(trials, k) * probability**k * (1.0 - probability) ** (trials - k)
        for k in range(hits, trials + 1)
    )
