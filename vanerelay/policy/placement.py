"""Draws the engine of an attempt among those where it fits."""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Sequence

from vanerelay.estimation import stable_hash
from vanerelay.policy.engine import Engine
from vanerelay.policy.query import Query

LOAD_SHARPNESS = 6.0
"""How fast an engine's chance falls with its load: by a factor of e for each sixth of its capacity."""

MAX_RELATIVE_LOAD = 9.0
"""Load past which the chance falls no further, beside the engine's capacity of the moment."""

MIN_CAPACITY_FACTOR = 0.05
"""Least capacity that a load is taken beside."""

SAME_ZONE_FACTOR = 1.5
"""How much likelier an engine of our own zone is drawn."""

OTHER_SIDE_FACTOR = 0.02
"""Chance of a data load, or of a query that waits for one, on the other's side of a table group."""

CACHED_FACTOR = 16.0
"""Most that an engine is preferred for a table group that it is likely to have cached."""

HASH_RANGE = 2**64
"""Number of values of a stable hash."""

MIN_CACHE_DISTANCE = 1e-9
"""Keeps the preference for a cached table group finite."""


class Placement:
    """A weighted draw: engines that are less loaded, healthier, nearer or likely to have the tables cached.

    Loads count as reported, as errors do: an engine that fails fast reports no load.
    """

    def __init__(
        self, chance: random.Random, zone: int, waits_for_data_loads: bool, engine_names: Sequence[str]
    ) -> None:
        """`engine_names`: the names of all listed engines in alphabetical order, kept up to date."""
        self._chance = chance
        self._zone = zone
        self._waits_for_data_loads = waits_for_data_loads
        self._engine_names = engine_names

    def draw(self, now: int, engines: Sequence[Engine], query: Query, usual: float) -> Engine:
        """Draws one engine. `usual`: the usual of what others hold of an engine."""
        weights = [self._weight(now, engine, query, usual) for engine in engines]
        return self._chance.choices(engines, weights)[0]

    def _weight(self, now: int, engine: Engine, query: Query, usual: float) -> float:
        weight = 1.0  # of an ejected engine, that is tried as if it were idle
        if not engine.health.is_ejected:
            held = engine.held_by_others(now, usual) + engine.reservations.used_share()
            held = held + 1.0 - engine.health.level
            relative_load = held / max(MIN_CAPACITY_FACTOR, engine.capacity_factor(now))
            weight = math.exp(-LOAD_SHARPNESS * min(relative_load, MAX_RELATIVE_LOAD))
        zone_factor = SAME_ZONE_FACTOR if engine.entry.zone == self._zone else 1.0
        weight *= zone_factor * self._table_group_factor(engine, query) * engine.entry.weight
        return engine.reservations.cores * weight

    def _table_group_factor(self, engine: Engine, query: Query) -> float:
        """Where queries wait for data loads, both keep to sides of their own; else to likely caches."""
        if self._waits_for_data_loads:
            return self._side_factor(engine, query)
        table_group = query.arrival.table_group
        if not table_group or query.service_class.is_data_load:
            return 1.0
        draw = stable_hash(engine.entry.name, table_group) / HASH_RANGE
        return min(CACHED_FACTOR, 1 / max(MIN_CACHE_DISTANCE, 1 - draw))

    def _side_factor(self, engine: Engine, query: Query) -> float:
        """A query behind a data load stands still: every other engine by name is for data loads."""
        if not query.service_class.is_involved_in_data_loads():
            return 1.0
        position = bisect_left(self._engine_names, engine.entry.name)
        is_data_load_side = (position + query.arrival.table_group) % 2 == 1
        return 1.0 if query.service_class.is_data_load == is_data_load_side else OTHER_SIDE_FACTOR
