"""Demand that fades and recurs, engines that keep little cached: prefetching in virtual time. Pure.

The modules that serve (`DemandForecaster`, `PrefetchValuation`, `make_plan`, `GainExperiment`) against no
prefetching, the most popular of late, and an oracle that knows what will be read; each at the same budget
of work, on the same seeded demand. Costs are in core seconds, times in seconds.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

from vanerelay.warming.decay_shapes import Floats
from vanerelay.warming.forecast import DemandForecaster
from vanerelay.warming.gain_experiment import GainExperiment
from vanerelay.warming.plan import PrefetchBudget, PrefetchPlan, make_plan
from vanerelay.warming.popularity import GroupAtEngine
from vanerelay.warming.prefetch_value import (
    ENGINES_PER_GROUP,
    CacheModel,
    EngineCapacity,
    PrefetchCandidate,
    PrefetchValuation,
    ValueTerms,
    read_shares,
)


class DemandKind(Enum):
    """How demand for a table group goes after its publication."""

    EXPONENTIAL = "exponential"
    POWER = "power"
    WEEKLY = "weekly"
    SECOND_LIFE = "second life"
    FLASH = "flash"
    UNFORESEEABLE = "unforeseeable"


FORESEEABLE = tuple(DemandKind)[:4]
"""The kinds on which prefetching has to gain."""


class Strategy(Enum):
    """What is prefetched."""

    NONE = "none"
    POPULAR = "popular"
    """The most read of late."""
    OURS = "ours"
    ORACLE = "knowing"
    """What will be read, known beforehand."""


TABLE_GROUPS, PUBLISHERS, ENGINES, CACHE_CAPACITY, CORES = 240, 6, 6, 60, 4.0
IDLE_SHARE = 0.5
READ_COST = 1.0
"""What a read takes more where its table group is not cached."""
HORIZON, IDLE_PRICE, BUDGET_RATE, BUDGET_WINDOW = 30.0, 0.1, 2.0, 10.0
NOTICE_S = 3.0
"""The time from a publication until it is read."""
WEEK_S = 240.0
"""What stands for a week."""
BACKGROUND_RATE = 0.002
"""Reads a second of each table group, whatever is published."""
MAX_BASELINE_GROUPS = 200
"""Table groups that the strategies to compare with look at."""
MIN_EVIDENCE = 20
"""Reads from which a half-life is compared with the true one."""


@dataclass
class Demand:
    """Reads a second by second and table group, and the groups published in each second."""

    rates: Floats
    loads: list[list[int]]


@dataclass(frozen=True, slots=True)
class _Publisher:
    """How demand for a publisher's groups fades: the half-life, or the exponent of a power law."""

    half_life: float
    exponent: float


def publisher_of(table_group: int, seed: int) -> _Publisher:
    """The publisher of a table group."""
    chance = np.random.default_rng([seed, table_group % PUBLISHERS])
    return _Publisher(chance.uniform(10, 60), chance.uniform(0.9, 1.8))


class _DemandMaker:
    """Draws the demand of one kind."""

    def __init__(self, kind: DemandKind, seconds: int, seed: int) -> None:
        self._kind = kind
        self._seconds = seconds
        self._seed = seed
        self._chance = np.random.default_rng([seed, list(DemandKind).index(kind)])
        self._times = np.arange(seconds, dtype=float)
        self._rates = np.full((seconds, TABLE_GROUPS), BACKGROUND_RATE)
        self._loads = [list[int]() for _ in range(seconds)]

    def make(self) -> Demand:
        add: dict[DemandKind, Callable[[int, _Publisher, float], None]] = {
            DemandKind.WEEKLY: self._add_weekly,
            DemandKind.FLASH: self._add_flashes,
            DemandKind.UNFORESEEABLE: self._add_unforeseeable,
        }
        add_group = add.get(self._kind, self._add_publications)
        for group in range(TABLE_GROUPS):
            publisher = publisher_of(group, self._seed)
            add_group(group, publisher, 4.0 * self._chance.lognormal(0.0, 0.7))
        return Demand(self._rates, self._loads)

    def _add_publications(self, group: int, publisher: _Publisher, height: float) -> None:
        moment = self._chance.uniform(0, 400)
        while moment < self._seconds:
            age = np.maximum(0.0, self._times - moment)
            if self._kind is DemandKind.POWER:
                shape = (1 + age / 10) ** -publisher.exponent
            else:
                shape = 0.5 ** (age / publisher.half_life)
            rate = height * shape * (self._times >= moment + NOTICE_S)
            if self._kind is DemandKind.SECOND_LIFE:
                later = moment + publisher.half_life * self._chance.uniform(3, 6)
                later_age = np.maximum(0.0, self._times - later)
                rate += height / 2 * 0.5 ** (later_age / publisher.half_life) * (self._times >= later)
            self._rates[:, group] = np.where(
                self._times >= moment, BACKGROUND_RATE + rate, self._rates[:, group]
            )
            self._loads[int(moment)].append(group)
            moment += self._chance.uniform(300, 600)

    def _add_weekly(self, group: int, publisher: _Publisher, height: float) -> None:
        first, lasts = self._chance.uniform(0, WEEK_S), self._chance.uniform(10, 30)
        phase = (self._times - first - NOTICE_S) % WEEK_S
        self._rates[:, group] += height * np.exp(-phase / lasts)
        for moment in np.arange(first, self._seconds, WEEK_S):
            self._loads[int(moment)].append(group)

    def _add_flashes(self, group: int, publisher: _Publisher, height: float) -> None:
        for moment in self._chance.uniform(0, self._seconds, 3):
            age = self._times - moment
            self._rates[:, group] += 3 * height * ((age >= 0) & (age < self._chance.uniform(5, 25)))

    def _add_unforeseeable(self, group: int, publisher: _Publisher, height: float) -> None:
        moment = 0
        while moment < self._seconds:
            lasts = int(self._chance.integers(3, 12))
            if self._chance.random() < 0.03:
                self._rates[moment : moment + lasts, group] = height * self._chance.uniform(0.1, 2)
            moment += lasts


def make_demand(kind: DemandKind, seconds: int, seed: int) -> Demand:
    """Draws demand for all table groups."""
    return _DemandMaker(kind, seconds, seed).make()


@dataclass
class SimulationResult:
    """What came of one strategy.

    Attributes:
        read_cost: Core seconds that reads spent on table groups that were not cached.
        prefetch_cost: Core seconds that prefetches spent.
        budget_share: The part of the budget in use at the end.
        judged: Forecast intervals that were judged.
        right: Those of them that were right.
        half_life_ratios: Half-lives that were found, in parts of the true ones.
    """

    reads: int = 0
    read_cost: float = 0.0
    prefetch_cost: float = 0.0
    budget_share: float = 1.0
    judged: int = 0
    right: int = 0
    half_life_ratios: list[float] = field(default_factory=list)

    @property
    def hit_rate(self) -> float:
        """The part of reads that found their table group cached."""
        return 1.0 - self.read_cost / READ_COST / max(1, self.reads)


@dataclass(frozen=True, slots=True)
class _Observation:
    due: float
    prefetched: bool
    candidate: PrefetchCandidate


class Simulation:
    """One strategy on one demand."""

    def __init__(self, kind: DemandKind, strategy: Strategy, seconds: int, seed: int) -> None:
        self._kind = kind
        self._strategy = strategy
        self._seconds = seconds
        self._seed = seed
        self._demand = make_demand(kind, seconds, seed)
        self._chance = random.Random(f"{seed}/{strategy.value}")
        self._read_chance = np.random.default_rng([seed, 99])
        self._result = SimulationResult()
        self._engines = [
            EngineCapacity(f"e{number}", CORES, IDLE_SHARE, CACHE_CAPACITY) for number in range(ENGINES)
        ]
        self._engines_by_name = {one.name: one for one in self._engines}
        self._shares = [read_shares(group, self._engines) for group in range(TABLE_GROUPS)]
        self._caches = {one.name: CacheModel(CACHE_CAPACITY) for one in self._engines}
        period = WEEK_S if kind is DemandKind.WEEKLY else 0.0
        self._forecaster = DemandForecaster(TABLE_GROUPS, period)
        self._experiment = GainExperiment(IDLE_PRICE)
        self._budget = PrefetchBudget(BUDGET_RATE, BUDGET_WINDOW)
        self._recent_reads = np.zeros(TABLE_GROUPS)
        self._loaded = np.zeros((seconds, TABLE_GROUPS))
        for second, groups in enumerate(self._demand.loads):
            self._loaded[second, groups] = 1.0
        self._observations = list[_Observation]()
        self._spent = defaultdict[GroupAtEngine, float](float)

    def run(self) -> SimulationResult:
        """Runs all seconds."""
        for second in range(self._seconds):
            self._load(second)
            self._read(second)
            self._conclude_observations(float(second))
            if self._strategy is not Strategy.NONE:
                self._prefetch(second)
        result, calibration = self._result, self._forecaster.calibration
        result.budget_share = self._experiment.budget_share
        result.judged, result.right = calibration.judged, calibration.right
        if self._kind is DemandKind.EXPONENTIAL and self._strategy is Strategy.OURS:
            self._compare_half_lives()
        return result

    def _load(self, second: int) -> None:
        for group in self._demand.loads[second]:
            for cache in self._caches.values():
                cache.invalidate(group)
            self._forecaster.published(float(second), group, f"owner {group % PUBLISHERS}")

    def _read(self, second: int) -> None:
        counts = self._read_chance.poisson(self._demand.rates[second])
        reads = {int(group): int(counts[group]) for group in np.nonzero(counts)[0]}
        for group, number in reads.items():
            by_engine = self._read_chance.multinomial(number, self._shares[group])
            for row, count in enumerate(by_engine):
                if count:
                    self._read_at(float(second), group, self._engines[row].name, int(count))
        self._recent_reads = 0.8 * self._recent_reads + counts
        self._forecaster.update(float(second) + 1.0, reads)

    def _read_at(self, now: float, group: int, engine: str, count: int) -> None:
        cache = self._caches[engine]
        self._result.reads += count
        if group not in cache:
            self._result.read_cost += READ_COST
            self._spent[group, engine] += READ_COST
        cache.read(now, group)

    def _conclude_observations(self, now: float) -> None:
        while self._observations and self._observations[0].due <= now:
            one = self._observations.pop(0)
            spent = self._spent.pop(one.candidate.key, 0.0)
            self._experiment.record(one.prefetched, spent, one.candidate.cost)

    def _prefetch(self, second: int) -> None:
        now, is_ours = float(second), self._strategy is Strategy.OURS
        available = self._budget.available(now, self._experiment.budget_share if is_ours else 1.0)
        plan = self._our_plan(now, available) if is_ours else self._baseline_plan(second, available)
        for candidate in plan.ordered:
            self._caches[candidate.engine].read(now, candidate.table_group)
            self._result.prefetch_cost += candidate.cost
            self._budget.spend(candidate.cost)
        if is_ours:
            self._observe(now, plan)

    def _our_plan(self, now: float, available: float) -> PrefetchPlan:
        self._forecaster.forecast(HORIZON)
        terms = ValueTerms(READ_COST, IDLE_PRICE, HORIZON)
        valuation = PrefetchValuation(now, self._forecaster, self._engines, self._caches, terms, {}, {})
        candidates = valuation.candidates(list(self._forecaster.groups))
        observed = {one.candidate.key for one in self._observations if not one.prefetched}
        return make_plan(
            candidates,
            self._engines_by_name,
            available,
            self._experiment.holdout_share,
            self._chance,
            observed,
            self._budget.threshold,
        )

    def _observe(self, now: float, plan: PrefetchPlan) -> None:
        for prefetched, candidates in ((True, plan.ordered), (False, plan.held_out)):
            for candidate in candidates:
                self._spent.pop(candidate.key, None)
                self._observations.append(_Observation(now + HORIZON, prefetched, candidate))

    def _baseline_plan(self, second: int, available: float) -> PrefetchPlan:
        baseline = self._popular() if self._strategy is Strategy.POPULAR else self._oracle(second)
        candidates = list[PrefetchCandidate]()
        for group in np.argsort(-baseline.demand)[:MAX_BASELINE_GROUPS]:
            for row in np.argsort(-self._shares[group])[:ENGINES_PER_GROUP]:
                candidate = self._baseline_candidate(float(second), baseline, int(group), int(row))
                if candidate is not None:
                    candidates.append(candidate)
        candidates.sort(key=lambda candidate: -candidate.value)
        return make_plan(candidates, self._engines_by_name, available, 0.0, self._chance)

    def _baseline_candidate(
        self, now: float, baseline: _Baseline, group: int, row: int
    ) -> PrefetchCandidate | None:
        engine = self._engines[row].name
        cache = self._caches[engine]
        if group in cache:
            return None
        duration = min(HORIZON, cache.retention(now))
        evicted = cache.next_evicted

        def read_probability(table_group: int) -> float:
            reads = baseline.reads_within(table_group, duration)
            return float(1.0 - np.exp(-reads * self._shares[table_group][row]))

        probability = read_probability(group)
        lost = read_probability(evicted) if evicted is not None else 0.0
        value = probability - IDLE_PRICE - (1.0 - probability) * lost
        if value <= 0:
            return None
        return PrefetchCandidate(group, engine, value * READ_COST, READ_COST, value)

    def _popular(self) -> _Baseline:
        """What was read of late goes on."""
        rates = self._recent_reads / 5
        return _Baseline(rates, lambda group, duration: rates[group] * duration)

    def _oracle(self, second: int) -> _Baseline:
        """What will be read is known, and when a load will make it useless."""
        ahead = slice(second + 1, second + 1 + int(HORIZON))
        valid = np.cumprod(1 - self._loaded[ahead], axis=0)
        totals = np.cumsum(self._demand.rates[ahead] * valid, axis=0)
        if not len(totals):
            return _Baseline(np.zeros(TABLE_GROUPS), lambda *_: 0.0)
        last = len(totals) - 1
        return _Baseline(totals[-1], lambda group, duration: totals[min(last, int(duration)), group])

    def _compare_half_lives(self) -> None:
        for group in range(TABLE_GROUPS):
            true = publisher_of(group, self._seed).half_life
            if group in self._forecaster.groups and self._forecaster.evidence(group) > MIN_EVIDENCE:
                self._result.half_life_ratios.append(self._forecaster.half_life(group) / true)


@dataclass(frozen=True, slots=True)
class _Baseline:
    """What a strategy to compare with expects.

    Attributes:
        demand: By table group, that by which groups are ordered.
        reads_within: The reads of a table group within a duration.
    """

    demand: Floats
    reads_within: Callable[[int, float], float]


def run_simulation(
    kind: DemandKind, strategy: Strategy, seconds: int = 1200, seed: int = 1
) -> SimulationResult:
    """Runs one strategy on one demand."""
    return Simulation(kind, strategy, seconds, seed).run()
