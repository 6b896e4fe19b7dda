"""What it is worth to read a table group at an engine before it is demanded. Pure.

A read that finds its table group cached spares its cost, once, until the group falls out of the cache or
a load makes it useless. So what counts is the probability that it is read there at all in time, less the
price of the prefetch on idle cores, less what falls out of the cache for it. Values and costs are in core
seconds, times in seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

from vanerelay.estimation import stable_hash
from vanerelay.warming.decay_shapes import Floats
from vanerelay.warming.forecast import DemandForecaster

MAX_AFFINITY = 16.0
"""The most that the decisions prefer an engine for a table group (`policy/placement.py`)."""

ENGINES_PER_GROUP = 3
"""Engines of a zone at which a table group is prefetched, at most: those that the decisions prefer for it."""


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """An engine that may be warmed.

    Attributes:
        idle_share: The part of its cores that is free for prefetches now.
        cache_capacity: Table groups that it keeps cached.
        is_cold: Whether it has just come, or come back, with nothing cached.
    """

    name: str
    cores: float
    idle_share: float
    cache_capacity: int
    is_cold: bool = False


@dataclass(slots=True)
class CacheModel:
    """What an engine has cached, as far as is known: least recently read first, as it falls out first."""

    capacity: int
    read_at: OrderedDict[int, float] = field(default_factory=OrderedDict)  # by table group

    def __contains__(self, table_group: int) -> bool:
        return table_group in self.read_at

    def read(self, now: float, table_group: int) -> None:
        """A table group is read there, and cached."""
        self.read_at[table_group] = now
        self.read_at.move_to_end(table_group)
        while len(self.read_at) > self.capacity:
            self.read_at.popitem(last=False)

    def invalidate(self, table_group: int) -> None:
        """A load made what is cached useless."""
        self.read_at.pop(table_group, None)

    @property
    def next_evicted(self) -> int | None:
        """What falls out for one more; None where the cache is not full."""
        return next(iter(self.read_at)) if len(self.read_at) >= self.capacity else None

    def retention(self, now: float) -> float:
        """How long what is read now stays cached if it is not read again.

        As long as what falls out next has stayed: the characteristic time of Che and others.
        """
        group = self.next_evicted
        return now - self.read_at[group] if group is not None else math.inf


def read_shares(table_group: int, engines: Sequence[EngineCapacity]) -> Floats:
    """The part of a table group's reads that comes to each engine, as the decisions choose when idle."""
    affinities = [
        min(MAX_AFFINITY, 1.0 / max(1e-9, 1.0 - stable_hash(one.name, table_group) / 2**64))
        for one in engines
    ]
    weights = np.array([affinity * one.cores for affinity, one in zip(affinities, engines, strict=True)])
    return np.asarray(weights / weights.sum())


@dataclass(frozen=True, slots=True)
class PrefetchCandidate:
    """A table group at an engine, and the probability that it is read there while it is cached."""

    table_group: int
    engine: str
    value: float
    cost: float
    read_probability: float

    @property
    def key(self) -> tuple[int, str]:
        """What tells it from others."""
        return self.table_group, self.engine


@dataclass(frozen=True, slots=True)
class ValueTerms:
    """What values are worked out by.

    Attributes:
        default_read_cost: What a prefetch costs where that is not known.
        idle_price: The price of an idle core second, in parts of one that somebody waits for.
        horizon: How far ahead is planned.
    """

    default_read_cost: float
    idle_price: float
    horizon: float


class PrefetchValuation:
    """Values of prefetches at one moment.

    Attributes:
        read_costs: What table groups cost to read, where that is known.
        replicas: The engines that hold a table group, where that is known.
    """

    def __init__(
        self,
        now: float,
        forecaster: DemandForecaster,
        engines: Sequence[EngineCapacity],
        caches: Mapping[str, CacheModel],
        terms: ValueTerms,
        read_costs: Mapping[int, float],
        replicas: Mapping[int, Sequence[str]],
    ) -> None:
        self._forecaster = forecaster
        self._engines = engines
        self._caches = caches
        self._terms = terms
        self._read_costs = read_costs
        self._replicas = replicas
        self._retention = {one.name: min(terms.horizon, caches[one.name].retention(now)) for one in engines}

    def candidates(self, table_groups: Sequence[int]) -> list[PrefetchCandidate]:
        """All prefetches that are worth more than they cost, the best first."""
        placements = [one for group in table_groups for one in self._placements(group)]
        if not placements:
            return []
        probabilities = self._forecaster.read_probability(
            [one.table_group for one in placements],
            np.array([one.share for one in placements]),
            np.array([one.cached_for for one in placements]),
        )
        eviction_costs = self._eviction_costs()
        valued = [
            self._value(one, float(probability), eviction_costs.get(one.engine, 0.0))
            for one, probability in zip(placements, probabilities, strict=True)
        ]
        worthwhile = [one for one in valued if one.value > 0.0]
        return sorted(worthwhile, key=lambda one: (-one.value / one.cost, one.table_group, one.engine))

    def _placements(self, table_group: int) -> list[_Placement]:
        """The engines where a table group may be prefetched: preferred, holding it, without it cached."""
        shares, until_load = (
            read_shares(table_group, self._engines),
            self._forecaster.time_until_load(table_group),
        )
        holders = self._replicas.get(table_group)
        found = list[_Placement]()
        preferred = sorted(range(len(self._engines)), key=lambda row: -shares[row])
        for row in preferred[:ENGINES_PER_GROUP]:
            name = self._engines[row].name
            if holders is not None and name not in holders:
                continue
            if table_group not in self._caches[name]:
                cached_for = min(self._retention[name], until_load)
                found.append(_Placement(table_group, name, float(shares[row]), cached_for))
        return found

    def _eviction_costs(self) -> dict[str, float]:
        """What is lost at each engine, on average, by what falls out for one more."""
        costs = dict[str, float]()
        for row, engine in enumerate(self._engines):
            evicted = self._caches[engine.name].next_evicted
            if evicted is None or evicted not in self._forecaster.groups:
                continue
            share = read_shares(evicted, self._engines)[row]
            probability = self._forecaster.read_probability(
                [evicted], np.array([share]), np.array([self._retention[engine.name]])
            )[0]
            costs[engine.name] = float(probability) * self._read_cost(evicted)
        return costs

    def _value(self, placement: _Placement, probability: float, eviction_cost: float) -> PrefetchCandidate:
        """What a prefetch is worth.

        What is never read takes a place in the cache for as long as things stay, and all that fall out in
        that time do so a little earlier, together by one; what is read would have been cached anyway.
        """
        cost = self._read_cost(placement.table_group)
        price = self._terms.idle_price * cost
        value = probability * cost - price - (1.0 - probability) * eviction_cost
        return PrefetchCandidate(placement.table_group, placement.engine, value, cost, probability)

    def _read_cost(self, table_group: int) -> float:
        return self._read_costs.get(table_group, self._terms.default_read_cost)


@dataclass(frozen=True, slots=True)
class _Placement:
    """A table group at an engine: the share of its reads that comes there, how long it would stay cached."""

    table_group: int
    engine: str
    share: float
    cached_for: float
