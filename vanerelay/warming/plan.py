"""Which prefetches are carried out now, within a stated budget of work. Pure.

The best value for its cost first; engines that have just come with nothing cached before the others; no
engine gets more than its idle cores. A drawn part is held out, so that what prefetches gain can be
measured (`gain_experiment.py`).
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from vanerelay.warming.popularity import GroupAtEngine
from vanerelay.warming.prefetch_value import EngineCapacity, PrefetchCandidate

COLD_ENGINE_FACTOR = 1.5
"""How many times the value of a prefetch counts at an engine with nothing cached."""

MAX_PREFETCHES = 200
"""Prefetches in one plan: more would not be done before the next."""

IDLE_WINDOW_S = 2.0
"""Seconds over which an engine's idle cores are counted."""

THRESHOLD_STEP = 0.1
"""How much the threshold moves in a second for each part of the savings that is missing."""

TARGET_FILL = 0.3
"""The part of the savings towards which the threshold is moved."""

MAX_THRESHOLD = 0.4
"""The highest threshold: what a publication's prefetches are worth is well above it."""


@dataclass(frozen=True, slots=True)
class PrefetchPlan:
    """What is ordered, and what would have been and is held out, to compare."""

    ordered: tuple[PrefetchCandidate, ...] = ()
    held_out: tuple[PrefetchCandidate, ...] = ()


def make_plan(
    candidates: Iterable[PrefetchCandidate],
    engines: Mapping[str, EngineCapacity],
    budget: float,
    holdout_share: float,
    chance: random.Random,
    observed: Collection[GroupAtEngine] = (),
    threshold: float = 0.0,
) -> PrefetchPlan:
    """Chooses among candidates.

    Args:
        candidates: Prefetches that are worth more than they cost.
        engines: The engines, by name.
        budget: Core seconds that all prefetches of this plan may take.
        holdout_share: The part that is held out.
        chance: Draws what is held out.
        observed: What was held out before and is still observed.
        threshold: The least value for its cost.
    """
    idle = {name: one.idle_share * one.cores * IDLE_WINDOW_S for name, one in engines.items()}
    ordered, held_out = list[PrefetchCandidate](), list[PrefetchCandidate]()
    for candidate in sorted(candidates, key=lambda one: -_priority(one, engines)):
        if len(ordered) >= MAX_PREFETCHES:
            break
        if candidate.key in observed or candidate.value < threshold * candidate.cost:
            continue
        if candidate.cost > budget or candidate.cost > idle.get(candidate.engine, 0.0):
            continue
        idle[candidate.engine] -= candidate.cost
        budget -= candidate.cost
        (held_out if chance.random() < holdout_share else ordered).append(candidate)
    return PrefetchPlan(tuple(ordered), tuple(held_out))


def _priority(candidate: PrefetchCandidate, engines: Mapping[str, EngineCapacity]) -> float:
    factor = COLD_ENGINE_FACTOR if engines[candidate.engine].is_cold else 1.0
    return (candidate.value / candidate.cost) * factor


@dataclass(slots=True)
class PrefetchBudget:
    """Core seconds that may be spent, at a steady rate, with a little saved up for what comes at once.

    Attributes:
        rate: Core seconds a second. window: Seconds' worth that is saved at most. threshold: The value
        for its cost that a prefetch must have now: the emptier the savings the higher, so
            that poor prefetches do not use up what better ones, a publication's, will want in a moment.
    """

    rate: float
    window: float
    threshold: float = 0.0
    _saved: float = 0.0
    _updated_at: float | None = None

    def available(self, now: float, share: float) -> float:
        """What may be spent now; `share` is the part of the rate that the gain experiment allows."""
        elapsed = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        limit = self.window * self.rate * share
        self._saved = min(self._saved + elapsed * self.rate * share, limit)
        fill = self._saved / limit if limit > 0 else 0.0
        change = THRESHOLD_STEP * (TARGET_FILL - fill) * elapsed
        self.threshold = min(MAX_THRESHOLD, max(0.0, self.threshold + change))
        return self._saved

    def spend(self, cost: float) -> None:
        """A prefetch was ordered."""
        self._saved -= cost
