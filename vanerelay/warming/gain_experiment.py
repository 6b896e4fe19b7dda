"""Whether prefetches gain anything: what was ordered against what was held out by draw. Pure.

Both were worth ordering and differ in nothing but the draw. Of each it is observed, until its time is
over, how many core seconds the reads there spent beyond what reads of cached table groups take. The
difference of the means is what a prefetch spares; it is held in a confidence sequence that may be looked
at at any time. Where prefetches are not shown to spare what they cost, the budget shrinks by itself, to
small trials; where they are, it grows back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from vanerelay.confidence import RunningVariance, half_width

MIN_OUTCOMES = 12
"""Outcomes of each side before anything is concluded."""

ERROR_PROBABILITY = 0.05
"""The probability that the confidence sequence is ever wrong."""

TIGHTEST_AT = 60.0
"""Outcomes of each side at which the confidence sequence is tightest."""

MIN_BUDGET_SHARE, MAX_BUDGET_SHARE = 0.05, 1.0
"""The budget is never given up: small trials show when demand can be foreseen again."""

INITIAL_BUDGET_SHARE = 0.5

HOLDOUT_SHARE = 0.15
"""The part of plans that is held out."""

PROVEN_HOLDOUT_FACTOR = 3.0
"""How many times less is held out once a gain is proven."""

BUDGET_GROWTH, BUDGET_SHRINKAGE = 1.5, 0.5
"""By which factors the budget changes."""

OUTCOMES_PER_CHANGE = 10
"""Outcomes between two changes of the budget."""

MAX_OUTCOMES = 400
"""Outcomes after which earlier ones lose half of their weight: demand changes."""


@dataclass(frozen=True, slots=True)
class GainEstimate:
    """Core seconds that a prefetch spares, and how far that may be off."""

    mean: float
    half_width: float


@dataclass(slots=True)
class GainExperiment:
    """The experiment of one zone.

    Attributes:
        idle_price: The price of an idle core second, in parts of one that somebody waits for.
        budget_share: The part of the budget that may be spent.
        gain_proven: Whether prefetches are shown to spare more than they cost.
    """

    idle_price: float
    budget_share: float = INITIAL_BUDGET_SHARE
    gain_proven: bool = False
    _prefetched: RunningVariance = field(default_factory=RunningVariance)
    _held_out: RunningVariance = field(default_factory=RunningVariance)
    _costs: RunningVariance = field(default_factory=RunningVariance)
    _since_change: int = 0

    def record(self, prefetched: bool, read_cost: float, prefetch_cost: float) -> None:
        """An outcome is known.

        Args:
            prefetched: Whether it was ordered, or held out.
            read_cost: Core seconds that reads there spent beyond those of cached table groups.
            prefetch_cost: What ordering it costs.
        """
        (self._prefetched if prefetched else self._held_out).add(read_cost)
        self._costs.add(prefetch_cost)
        self._since_change += 1
        fewest = min(self._prefetched.number, self._held_out.number)
        if self._since_change >= OUTCOMES_PER_CHANGE and fewest >= MIN_OUTCOMES:
            self._since_change = 0
            self._adjust_budget()
        if self._prefetched.number + self._held_out.number >= MAX_OUTCOMES:
            self._prefetched = _halved(self._prefetched)
            self._held_out = _halved(self._held_out)
            self._costs = _halved(self._costs)

    @property
    def holdout_share(self) -> float:
        """The part of plans that is held out now."""
        return HOLDOUT_SHARE / PROVEN_HOLDOUT_FACTOR if self.gain_proven else HOLDOUT_SHARE

    @property
    def gain(self) -> GainEstimate:
        """What a prefetch spares."""
        if min(self._prefetched.number, self._held_out.number) < 2:
            return GainEstimate(0.0, math.inf)
        off = math.hypot(_half_width(self._prefetched), _half_width(self._held_out))
        return GainEstimate(self._held_out.mean - self._prefetched.mean, off)

    def _adjust_budget(self) -> None:
        gain = self.gain
        cost = self.idle_price * self._costs.mean
        self.gain_proven = gain.mean - gain.half_width > cost
        if self.gain_proven:
            self.budget_share = min(MAX_BUDGET_SHARE, self.budget_share * BUDGET_GROWTH)
        elif gain.mean < cost or gain.mean + gain.half_width < cost:
            self.budget_share = max(MIN_BUDGET_SHARE, self.budget_share * BUDGET_SHRINKAGE)


def _half_width(outcomes: RunningVariance) -> float:
    return half_width(outcomes.number, outcomes.variance, ERROR_PROBABILITY / 2, TIGHTEST_AT)


def _halved(outcomes: RunningVariance) -> RunningVariance:
    return RunningVariance.of(outcomes.number // 2, outcomes.mean, outcomes.variance)
