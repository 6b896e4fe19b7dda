"""Admission by memory: the engines where a query fits, and with what grant."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from vanerelay.interface import SECOND
from vanerelay.policy.capacity_slice import CapacitySlice
from vanerelay.policy.engine import Engine
from vanerelay.policy.engine_monitor import EngineMonitor
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.memory_estimator import MemoryEstimator
from vanerelay.policy.query import Query

MAX_GRANT_SHARE = 1.0 / 3.0
"""Largest grant as a part of an engine's memory, so that three fit."""

MAX_HEAD_WAIT = 2 * SECOND
"""A query that was held for longer goes with a reduced grant."""

HEAD_WAIT_DIVISOR = 2
"""So does one that was held for its time to the deadline over this."""

MIN_REDUCED_GRANT = 0.5
"""Least part of a grant that it is reduced to. Without it, the queue emptied into full engines."""


class Grant(NamedTuple):
    """A memory grant in MB, of which `reserved` counts against the engine."""

    size: float
    reserved: float


class Fit(NamedTuple):
    """Engines where a query fits with this grant."""

    engines: Sequence[Engine]
    grant: Grant


class Fitting:
    """Sizes grants, and holds queries against our slice of each engine and of the pool of all engines."""

    def __init__(
        self,
        max_grant_share: float,
        memory: MemoryEstimator,
        engines: EngineRegistry,
        capacity: CapacitySlice,
        monitor: EngineMonitor,
    ) -> None:
        self._grant_share = min(MAX_GRANT_SHARE, max_grant_share)
        self._memory = memory
        self._engines = engines
        self._capacity = capacity
        self._monitor = monitor

    def grant(self, now: int, query: Query, engines: Sequence[Engine]) -> Grant:
        """The grant for a query that may go to any of these engines."""
        arrival = query.arrival
        shape = (arrival.service_class, arrival.table_group, arrival.estimated_memory)
        cap = min(engine.reservations.memory for engine in engines) * self._grant_share
        size = self._memory.size(now, *shape, cap)
        return Grant(size, self._memory.reserved(now, *shape, size))

    def fit(self, now: int, query: Query, engines: Sequence[Engine], grant: Grant) -> Fit | None:
        """The engines where a query fits our slice; an idle one, while our slice of the pool lasts."""
        usual, borrowable = self._monitor.typical_load, self._capacity.borrowable
        own_slice, pool = self._capacity.own_slice, self._engines.pool
        is_pool_free = not pool.running or pool.fits(grant.reserved, query.threads, own_slice)
        shares = [engine.fillable_share(now, usual, own_slice, borrowable) for engine in engines]
        fitting = [
            engine
            for share, engine in zip(shares, engines, strict=True)
            if engine.reservations.fits(grant.reserved, query.threads, share)
            or (is_pool_free and not engine.reservations.running and not engine.is_refusing(now))
        ]
        if fitting:
            return Fit(fitting, grant)
        return self._reduced_fit(now, query, engines, shares, grant)

    def _reduced_fit(
        self, now: int, query: Query, engines: Sequence[Engine], shares: Sequence[float], grant: Grant
    ) -> Fit | None:
        """A query held for long goes to the engine with most free memory, its grant reduced to that."""
        max_wait = min(MAX_HEAD_WAIT, (query.arrival.deadline - query.submitted_at) // HEAD_WAIT_DIVISOR)
        if now - query.held_since < max_wait:
            return None
        share, engine = max(
            zip(shares, engines, strict=True), key=lambda pair: pair[1].reservations.free_memory(pair[0])
        )
        free_memory = engine.reservations.free_memory(share)
        reduced = max(grant.reserved * MIN_REDUCED_GRANT, min(grant.reserved, free_memory))
        if not engine.reservations.fits(reduced, query.threads, share):
            return None
        return Fit([engine], Grant(min(grant.size, reduced), reduced))
