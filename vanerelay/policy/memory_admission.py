"""Admission by memory: sizes memory grants, and finds the engines that can admit a query."""

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
"""Largest grant as a part of an engine's memory, so that three fit at once."""

MAX_HEAD_WAIT = 2 * SECOND
"""A query that was held for this many ticks may be sent with a reduced grant."""

HEAD_WAIT_DIVISOR = 2
"""So may a query that was held for the time from its submission to its deadline, divided by this."""

MIN_REDUCED_GRANT = 0.5
"""Smallest part that a grant is reduced to. Without it, the whole queue was sent to full engines."""


class Grant(NamedTuple):
    """A memory grant.

    Attributes:
        size: The size in MB.
        reserved: The memory in MB that is reserved for it at the engine.
    """

    size: float
    reserved: float


class Admission(NamedTuple):
    """The engines that can admit a query, and the grant that it is sent with."""

    engines: Sequence[Engine]
    grant: Grant


class MemoryAdmission:
    """Sizes memory grants, and checks queries against this gateway's slices.

    There is a slice of each engine, and one of the pool of all engines.
    """

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

    def size_grant(self, now: int, query: Query, engines: Sequence[Engine]) -> Grant:
        """Returns the grant for a query that may be sent to any of these engines."""
        arrival = query.arrival
        shape = (arrival.service_class, arrival.table_group, arrival.estimated_memory)
        cap = min(engine.reservations.memory for engine in engines) * self._grant_share
        size = self._memory.size(now, *shape, cap)
        return Grant(size, self._memory.reserved(now, *shape, size))

    def check(self, now: int, query: Query, engines: Sequence[Engine], grant: Grant) -> Admission | None:
        """Returns the engines that can admit a query, or None if there is none.

        An engine can admit it if the query fits into this gateway's part of the engine. While this gateway's
        slice of the pool of all engines is not used up, an engine on which it runs nothing can admit it too.
        """
        typical_load, borrowable = self._monitor.typical_load, self._capacity.borrowable
        own_slice, pool = self._capacity.own_slice, self._engines.pool
        is_pool_free = not pool.running or pool.fits(grant.reserved, query.threads, own_slice)
        shares = [engine.fillable_share(now, typical_load, own_slice, borrowable) for engine in engines]
        admissible = [
            engine
            for share, engine in zip(shares, engines, strict=True)
            if engine.reservations.fits(grant.reserved, query.threads, share)
            or (is_pool_free and not engine.reservations.running and not engine.is_refusing(now))
        ]
        if admissible:
            return Admission(admissible, grant)
        return self._check_with_reduced_grant(now, query, engines, shares, grant)

    def _check_with_reduced_grant(
        self, now: int, query: Query, engines: Sequence[Engine], shares: Sequence[float], grant: Grant
    ) -> Admission | None:
        """Admits a query that was held for long to the engine with most free memory, with a reduced grant.

        Returns None if the query was not held for long, or even the reduced grant does not fit.
        """
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
        return Admission([engine], Grant(min(grant.size, reduced), reduced))
