"""Chooses the engine of an attempt among those that can admit it."""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Sequence

from vanerelay.estimation import stable_hash
from vanerelay.policy.engine import Engine
from vanerelay.policy.query import Query

LOAD_SENSITIVITY = 6.0
"""How fast an engine's weight falls with its load: by a factor of e for each sixth of its capacity."""

MAX_RELATIVE_LOAD = 9.0
"""Load, as a multiple of the engine's present capacity, above which its weight falls no further."""

MIN_CAPACITY_FACTOR = 0.05
"""Smallest capacity factor that a load is divided by."""

SAME_ZONE_FACTOR = 1.5
"""Factor of the weight of an engine in this gateway's zone."""

DATA_LOAD_MISMATCH_FACTOR = 0.02
"""Factor of the weight of an engine that is meant for waiting queries if a data load is placed, and of one
that is meant for data loads if a waiting query is placed."""

MAX_CACHE_FACTOR = 16.0
"""Largest factor of the weight of an engine that is likely to have the query's table group cached."""

HASH_RANGE = 2**64
"""Number of values of a stable hash."""

MIN_CACHE_DISTANCE = 1e-9
"""Smallest number that the cache factor divides by, so that the factor stays finite."""


class Placement:
    """Weighted random choice of engines.

    It prefers engines that are less loaded, healthier, in this gateway's zone or likely to have the tables
    cached. A lower health level counts like reported load, as an engine that fails fast reports no load.
    """

    def __init__(
        self, rng: random.Random, zone: int, waits_for_data_loads: bool, engine_names: Sequence[str]
    ) -> None:
        """Creates the placement of a gateway.

        Args:
            rng: The random generator of the choice.
            zone: The zone of this gateway.
            waits_for_data_loads: Whether queries of some service class wait for data loads at their engine.
            engine_names: The names of all listed engines in alphabetical order. The caller updates the list.
        """
        self._rng = rng
        self._zone = zone
        self._waits_for_data_loads = waits_for_data_loads
        self._engine_names = engine_names

    def choose(self, now: int, engines: Sequence[Engine], query: Query, typical_load: float) -> Engine:
        """Returns the engine for the next attempt of a query.

        Args:
            now: The current time.
            engines: The engines that can admit the query.
            query: The query.
            typical_load: The part of an engine that other gateways and proxies typically fill.
        """
        weights = [self._weight(now, engine, query, typical_load) for engine in engines]
        total = sum(weights)
        if not (0.0 < total < math.inf):  # nothing tells the engines apart
            return self._rng.choice(engines)
        return self._rng.choices(engines, weights)[0]

    def _weight(self, now: int, engine: Engine, query: Query, typical_load: float) -> float:
        """Returns the weight of an engine in the random choice."""
        weight = 1.0  # an ejected engine gets trial queries as if it were idle
        if not engine.health.is_ejected:
            load = engine.held_by_others(now, typical_load) + engine.reservations.used_share()
            load = load + 1.0 - engine.health.level
            relative_load = load / max(MIN_CAPACITY_FACTOR, engine.capacity_factor(now))
            weight = math.exp(-LOAD_SENSITIVITY * min(relative_load, MAX_RELATIVE_LOAD))
        zone_factor = SAME_ZONE_FACTOR if engine.entry.zone == self._zone else 1.0
        weight *= zone_factor * self._table_group_factor(engine, query) * engine.entry.weight
        return engine.reservations.cores * weight

    def _table_group_factor(self, engine: Engine, query: Query) -> float:
        """Returns the factor of an engine's weight for the table group of a query.

        If queries wait for data loads, the factor separates data loads from queries that wait for them;
        otherwise it prefers engines that are likely to have the table group cached.
        """
        if self._waits_for_data_loads:
            return self._data_load_factor(engine, query)
        table_group = query.arrival.table_group
        if not table_group or query.service_class.is_data_load:
            return 1.0
        hash_fraction = stable_hash(engine.entry.name, table_group) / HASH_RANGE
        return min(MAX_CACHE_FACTOR, 1 / max(MIN_CACHE_DISTANCE, 1 - hash_fraction))

    def _data_load_factor(self, engine: Engine, query: Query) -> float:
        """Returns the factor that separates data loads from the queries that wait for them.

        A query at the same engine as a data load may be idle until that ends, so every second engine by name
        is for the data loads of a table group, and the others are for the queries.
        """
        if not query.service_class.is_involved_in_data_loads():
            return 1.0
        position = bisect_left(self._engine_names, engine.entry.name)
        is_for_data_loads = (position + query.arrival.table_group) % 2 == 1
        return 1.0 if query.service_class.is_data_load == is_for_data_loads else DATA_LOAD_MISMATCH_FACTOR
