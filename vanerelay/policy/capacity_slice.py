"""This gateway's slice of every engine beside the other gateways', and what it borrows of theirs.

Where few gateways may gossip, each reports how many queries came to it, and slices follow the traffic.
Elsewhere each has an even slice, and borrows where its own queries run unhindered.
"""

from __future__ import annotations

from typing import NamedTuple

from vanerelay.estimation import SlidingSums
from vanerelay.interface import MILLISECOND, SECOND, FleetPosition
from vanerelay.policy.engine import NEVER
from vanerelay.policy.reservations import THREADS_PER_CORE

MAX_GOSSIPING_GATEWAYS = 8
"""Gateways up to which demand is gossiped."""

GOSSIP_INTERVAL = 200 * MILLISECOND
"""Time between two messages to the peers."""

PEER_TIMEOUT = SECOND
"""A peer that was silent for so long is away, and its slice is divided among the others."""

DEMAND_SPAN = 10 * SECOND
"""Span of the queries that make a gateway's demand."""

OFFERED_SPAN = 3 * SECOND
"""Span of the work that comes, which shows how much to borrow."""

THREADS_IN_USE = 2.0
"""Divisor of a fleet's threads: work that fills half of them asks for all that can be borrowed."""

DEMAND_BYTES = 4
"""Bytes of a gossip message: the demand as a big-endian integer."""


class Demand(NamedTuple):
    """What a gateway reported of its demand, and when."""

    reported_at: int
    queries: float


class CapacitySlice:
    """Our slice of each engine.

    Attributes:
        slice: The part of each engine that is ours and our proxies'.
        unproxied: The part of our slice, and of our budgets for engines that warm up, not left to proxies.
        borrowable: The part of an engine that we would borrow for the work that comes.
    """

    def __init__(self, now: int, position: FleetPosition, may_gossip: bool) -> None:
        self._position = position
        self._gossips = may_gossip and 1 < position.gateway_count <= MAX_GOSSIPING_GATEWAYS
        self._started_at = now
        self._offered = SlidingSums(OFFERED_SPAN, 1)
        self._demands = {position.index: Demand(NEVER, 0.0)}
        self.slice = 1.0 / position.gateway_count
        self.unproxied = 1.0
        self.borrowable = 0.0

    @property
    def own_slice(self) -> float:
        """The part of each engine that our own queries may fill."""
        return self.slice * self.unproxied

    def work_offered(self, now: int, work: float) -> None:
        """A query came in."""
        self._offered.add(now, work)

    def update_borrowable(self, now: int, fleet_cores: float) -> None:
        """Sets what we would borrow, by the work that came beside the cores of all engines."""
        offered = self._offered.total(now, 0) / OFFERED_SPAN
        wanted = min(1.0, offered / (fleet_cores * THREADS_PER_CORE / THREADS_IN_USE))
        self.borrowable = 0.0 if self._gossips else wanted

    def is_gossip_due(self, now: int) -> bool:
        """Whether our demand is to be reported to the peers."""
        return self._gossips and now - self._demands[self._position.index].reported_at >= GOSSIP_INTERVAL

    def gossip(self, now: int, recent_queries: float, is_stalled: bool) -> bytes:
        """Sets our slice by the demands known; the message for the peers.

        Peers never heard of count like ourselves. Where we stood still ourselves, none counts as away.
        """
        observed = min(1.0, (now - self._started_at + SECOND) / DEMAND_SPAN)
        own = 1.0 + recent_queries / observed
        self._demands[self._position.index] = Demand(now, own)
        present = [
            demand.queries
            for demand in self._demands.values()
            if is_stalled or now - demand.reported_at <= PEER_TIMEOUT
        ]
        unheard = self._position.gateway_count - len(self._demands)
        self.slice = own / (sum(present) + own * unheard)
        return int(own).to_bytes(DEMAND_BYTES, "big")

    def peer_reported(self, now: int, gateway: int, message: bytes) -> None:
        """A peer reported its demand."""
        queries = float(int.from_bytes(message[:DEMAND_BYTES], "big"))
        self._demands[gateway] = Demand(now, queries)
