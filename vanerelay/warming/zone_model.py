"""What a planner knows of its zone: demand, caches, costs, and what prefetches gained. Pure."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from vanerelay.interface import SECOND
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.forecast import DemandForecaster
from vanerelay.warming.gain_experiment import GainExperiment
from vanerelay.warming.plan import PrefetchBudget, PrefetchPlan, make_plan
from vanerelay.warming.popularity import GroupAtEngine, Popularity, ReadCount
from vanerelay.warming.prefetch_value import (
    CacheModel,
    EngineCapacity,
    PrefetchCandidate,
    PrefetchValuation,
    ValueTerms,
)

COST_DECAY = 0.1
"""By how much what a prefetch takes may fall with each one that took less."""

CACHED_COST_GROWTH = 1.01
"""By how much what a cached read takes may grow with each slice that took more."""

FORECASTS_PER_HORIZON = 50
"""Forecasts in a horizon whose intervals are judged once they are over."""

MAX_OBSERVED = 2000
"""Prefetches, ordered or held out, that are observed at a time."""


@dataclass(frozen=True, slots=True)
class _Observation:
    """A prefetch, ordered or held out, whose outcome is known at `due`."""

    due: float
    prefetched: bool
    candidate: PrefetchCandidate


class ZoneModel:
    """One zone, as its planner knows it. Times in seconds.

    Attributes:
        experiment: Whether prefetches gain anything.
        forecaster: How much of each table group will be read.
        engines: The zone's engines, by name.
    """

    def __init__(self, config: WarmingConfig) -> None:
        self._config = config
        self._horizon = config.horizon / SECOND
        self.experiment = GainExperiment(config.idle_price)
        self.forecaster = DemandForecaster(config.max_groups, config.period / SECOND)
        self.engines = dict[str, EngineCapacity]()
        self._budget = PrefetchBudget(config.budget, config.budget_window / SECOND)
        self._caches = dict[str, CacheModel]()
        self._read_costs = dict[int, float]()  # by table group: core seconds that a prefetch takes
        self._cached_costs = dict[int, float]()  # by table group: core seconds that a cached read takes
        self._spent = defaultdict[GroupAtEngine, float](float)  # core seconds beyond cached reads
        self._observations = list[_Observation]()
        self._slices_learned = 0
        slices_per_horizon = config.horizon // config.slice_duration
        self._slices_per_forecast = max(1, slices_per_horizon // FORECASTS_PER_HORIZON)

    def set_engines(self, engines: Iterable[EngineCapacity]) -> None:
        """The zone's engines as they are now; what is cached at those that just came is forgotten."""
        before, self.engines = self.engines, {one.name: one for one in engines}
        caches = dict[str, CacheModel]()
        for name, engine in self.engines.items():
            cache = self._caches.get(name)
            if cache is None or (engine.is_cold and name not in before):
                cache = CacheModel(self._config.cache_capacity)
            caches[name] = cache
        self._caches = caches

    def prefetch_completed(self, table_group: int, cost: float) -> None:
        """A prefetch has completed.

        One that found its table group cached says nothing, so the most that was seen of late counts.
        """
        known = self._read_costs.get(table_group, cost)
        self._read_costs[table_group] = max(cost, known * (1.0 - COST_DECAY))

    def learn(self, now: float, popularity: Popularity) -> None:
        """Takes what was read and written since the last time."""
        for group in popularity.loads:
            self.forecaster.published(now, group, self._config.publisher_of(group))
            for cache in self._caches.values():
                cache.invalidate(group)
        reads = defaultdict[int, int](int)
        for (group, engine), count in popularity.reads.items():
            if engine in self._caches:
                reads[group] += count.reads
                self._learn_reads(now, group, engine, count)
        self.forecaster.update(now, reads)
        self._slices_learned += 1
        if self._slices_learned % self._slices_per_forecast == 0:
            self.forecaster.forecast(self._horizon)
        self._forget_costs()
        self._conclude_observations(now)

    def _learn_reads(self, now: float, group: int, engine: str, count: ReadCount) -> None:
        self._caches[engine].read(now, group)
        each = count.work / count.reads / SECOND
        cached_cost = min(each, self._cached_costs.get(group, each) * CACHED_COST_GROWTH)
        self._cached_costs[group] = cached_cost
        self._spent[group, engine] += max(0.0, count.work / SECOND - count.reads * cached_cost)

    def _forget_costs(self) -> None:
        """Drops the costs of table groups that are no longer followed, once there are many."""
        if len(self._cached_costs) <= 2 * self._config.max_groups:
            return
        followed = self.forecaster.groups
        self._cached_costs = {group: one for group, one in self._cached_costs.items() if group in followed}
        self._read_costs = {group: one for group, one in self._read_costs.items() if group in followed}

    def _conclude_observations(self, now: float) -> None:
        while self._observations and self._observations[0].due <= now:
            one = self._observations.pop(0)
            spent = self._spent.pop(one.candidate.key, 0.0)
            self.experiment.record(one.prefetched, spent, one.candidate.cost)
        observed = {one.candidate.key for one in self._observations}
        self._spent = defaultdict(
            float, {key: spent for key, spent in self._spent.items() if key in observed}
        )

    def plan(
        self, now: float, chance: random.Random, replicas_of: Callable[[int], Sequence[str]]
    ) -> PrefetchPlan:
        """What is to be prefetched now; `replicas_of` tells the engines that hold a table group, if known."""
        groups = list(self.forecaster.groups)
        replicas: Mapping[int, Sequence[str]] = {
            group: names for group in groups if (names := replicas_of(group))
        }
        config = self._config
        terms = ValueTerms(config.default_read_cost / SECOND, config.idle_price, self._horizon)
        valuation = PrefetchValuation(
            now, self.forecaster, list(self.engines.values()), self._caches, terms, self._read_costs, replicas
        )
        return make_plan(
            valuation.candidates(groups),
            self.engines,
            self._budget.available(now, self.experiment.budget_share),
            self.experiment.holdout_share,
            chance,
            {one.candidate.key for one in self._observations if not one.prefetched},
            self._budget.threshold,
        )

    def ordered(self, now: float, candidate: PrefetchCandidate) -> None:
        """A prefetch of the plan was sent to a gateway."""
        self._budget.spend(candidate.cost)
        if candidate.engine in self._caches:
            self._caches[candidate.engine].read(now, candidate.table_group)

    def observe(self, now: float, plan: PrefetchPlan) -> None:
        """Observes from now on what becomes of a plan's prefetches, ordered and held out."""
        for prefetched, candidates in ((True, plan.ordered), (False, plan.held_out)):
            for candidate in candidates:
                if len(self._observations) < MAX_OBSERVED:
                    self._spent.pop(candidate.key, None)
                    self._observations.append(_Observation(now + self._horizon, prefetched, candidate))
