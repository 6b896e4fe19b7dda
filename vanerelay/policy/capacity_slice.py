"""This gateway's slice of every engine, and the part that it may borrow of the other gateways' slices.

In a small fleet whose gateways may gossip, each gateway reports the number of queries that it received, and
the slices follow the traffic. Otherwise the slices are equal, and a gateway borrows capacity on engines where
its own queries run without slowdown.
"""

from __future__ import annotations

from typing import NamedTuple

from vanerelay.estimation import SlidingSums
from vanerelay.interface import MILLISECOND, SECOND, FleetPosition
from vanerelay.policy.engine import NEVER
from vanerelay.policy.reservations import THREADS_PER_CORE

MAX_GOSSIPING_GATEWAYS = 8
"""The most gateways of a fleet in which demand is gossiped."""

GOSSIP_INTERVAL = 200 * MILLISECOND
"""The time between two gossip messages to the peers, in ticks."""

PEER_TIMEOUT = SECOND
"""The silence, in ticks, after which a peer counts as absent; its slice is then divided among the others."""

DEMAND_SPAN = 10 * SECOND
"""The time span, in ticks, of the queries that count as a gateway's demand."""

OFFERED_SPAN = 3 * SECOND
"""The time span, in ticks, over which the arriving work is summed to determine how much to borrow."""

FULL_BORROWING_DIVISOR = 2.0
"""The divisor of the fleet's threads: a gateway borrows all that it can once its work fills half of them."""

DEMAND_BYTES = 4
"""The length in bytes of a gossip message, which is the demand as a big-endian integer."""


MAX_DEMAND = 2.0**32 - 1.0
"""The largest demand, in queries per `DEMAND_SPAN`, that a gossip message can state."""


class Demand(NamedTuple):
    """The demand that a gateway last reported, in queries per `DEMAND_SPAN`, and the time of the report."""

    reported_at: int
    queries: float


class CapacitySlice:
    """This gateway's slice of each engine.

    Attributes:
        slice: The part of each engine that belongs to this gateway and its proxies.
        unproxied_share: The part of the slice, and of the slow start budgets, that is not left to proxies.
        borrowable: The part of an engine that this gateway would borrow for its arriving work.
    """

    def __init__(self, now: int, position: FleetPosition, may_gossip: bool) -> None:
        self._position = position
        self._gossips = may_gossip and 1 < position.gateway_count <= MAX_GOSSIPING_GATEWAYS
        self._started_at = now
        self._offered = SlidingSums(OFFERED_SPAN, 1)
        self._demands = {position.index: Demand(NEVER, 0.0)}
        self.slice = 1.0 / position.gateway_count
        self.unproxied_share = 1.0
        self.borrowable = 0.0

    @property
    def own_slice(self) -> float:
        """The part of each engine that this gateway's own queries may fill."""
        return self.slice * self.unproxied_share

    def work_offered(self, now: int, work: float) -> None:
        """Records the estimated work, in ticks of one thread, of a query that arrived."""
        self._offered.add(now, work)

    def update_borrowable(self, now: int, fleet_cores: float) -> None:
        """Updates `borrowable` from the recently arrived work, relative to the cores of all engines."""
        offered = self._offered.total(now, 0) / OFFERED_SPAN
        wanted = min(1.0, offered / (fleet_cores * THREADS_PER_CORE / FULL_BORROWING_DIVISOR))
        self.borrowable = 0.0 if self._gossips else wanted

    def is_gossip_due(self, now: int) -> bool:
        """Returns True if it is time to report this gateway's demand to the peers."""
        return self._gossips and now - self._demands[self._position.index].reported_at >= GOSSIP_INTERVAL

    def gossip(self, now: int, recent_queries: float, is_stalled: bool) -> bytes:
        """Updates this gateway's slice by the known demands, and returns the gossip message for the peers.

        A peer that never reported is assumed to have the same demand as this gateway. After a stall of this
        gateway no peer counts as absent, as the messages of the peers may not have been read yet.

        Args:
            now: The current time.
            recent_queries: The queries that arrived within `DEMAND_SPAN`.
            is_stalled: Whether this gateway did not run for a while.
        """
        observed = min(1.0, (now - self._started_at + SECOND) / DEMAND_SPAN)
        own = min(MAX_DEMAND, 1.0 + recent_queries / observed)
        self._demands[self._position.index] = Demand(now, own)
        present = [
            demand.queries
            for demand in self._demands.values()
            if is_stalled or now - demand.reported_at <= PEER_TIMEOUT
        ]
        unreported = self._position.gateway_count - len(self._demands)
        self.slice = own / (sum(present) + own * unreported)
        return int(own).to_bytes(DEMAND_BYTES, "big")

    def peer_reported(self, now: int, gateway: int, message: bytes) -> None:
        """Records the demand that a peer reported in a gossip message; an invalid message is ignored."""
        if len(message) == DEMAND_BYTES:
            self._demands[gateway] = Demand(now, float(int.from_bytes(message, "big")))
