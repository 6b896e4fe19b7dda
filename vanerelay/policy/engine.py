"""One engine as this gateway sees it: what it reported, what we hold of it, what of it is ours to fill."""

from __future__ import annotations

import math

from vanerelay.interface import SECOND, EngineEntry, EngineStatus, LoadReport, MachineKind
from vanerelay.policy.outlier_detection import EngineHealth
from vanerelay.policy.reservations import Reservations
from vanerelay.policy.slow_start import SlowStart

NEVER = -1000 * SECOND
"""A moment before all others."""

LENT_SHARE = 0.85
"""Most of the other gateways' slices that is lent where reports show that nobody holds it."""

PROXY_REPORT_LIFETIME = 10 * SECOND
"""How long a proxy's report holds."""

REPORT_DECAY = 2 * SECOND
"""Time in which a load report's weight falls to about a third, and for which a refusal holds: reports come
seconds late."""

POLLED_TRUST = 0.5
"""Weight of a load report that was polled for: all who poll see the same figure, and would all go there."""


class Engine:
    """An engine of the list, or one that has left it and still runs some of ours.

    Attributes:
        reported_share: The part of the engine that others held, as last reported; 1 where nothing was.
        pooled_share: The part of it that counts in the pool of all engines, while it is listed.
        probed_at: When it was last probed for its load.
    """

    def __init__(
        self, entry: EngineEntry, kind: MachineKind, slow_start: SlowStart, polls_load: bool
    ) -> None:
        self.entry = entry
        self.slow_start = slow_start
        self.health = EngineHealth()
        self.reservations = Reservations(kind.memory, kind.cores)
        self.is_listed = False
        self.pooled_share = 0.0
        self.probed_at = NEVER
        self.reported_share = 1.0
        self._reported_at = NEVER
        self._report_trust = POLLED_TRUST if polls_load else 1.0
        self._refused_at = NEVER
        self._proxy_share = 0.0
        self._proxy_reported_at = NEVER

    def inherit(self, now: int, old: Engine) -> None:
        """Goes on where the same engine under former settings stood; both share their figures from now on."""
        self.slow_start.record_sent(now, old.slow_start.sent_work(now))
        old.slow_start = self.slow_start
        self.health = old.health
        if self.reservations.has_capacity_of(old.reservations):
            self.reservations = old.reservations

    def capacity_factor(self, now: int) -> float:
        """The part of its capacity that it has now: less while it warms up or is unhealthy."""
        return self.health.level * self.slow_start.ramp_share(now)

    def load_reported(self, now: int, report: LoadReport | None, threads_per_query: float) -> None:
        """The engine answered, with a load report or without one."""
        self.health.heard(now)
        query_share = self.reservations.thread_share(threads_per_query)
        shares = report.as_shares(query_share) if report else []
        if shares:
            self.reported_share = max(0.0, max(shares) - self.reservations.used_share())
            self._reported_at = now

    def proxy_reported(self, now: int, running: float, ended: float, errors: float) -> None:
        """Proxies reported what they have running here, and what ended since the last report."""
        self._proxy_share = self.reservations.thread_share(running)
        self._proxy_reported_at = now
        self.health.proxy_reported(now, ended, errors)

    def refused(self, now: int) -> None:
        """The engine rejected a query, or lets one wait for memory: others have filled it."""
        self._refused_at = now

    def is_refusing(self, now: int) -> bool:
        """Whether it refused a query lately."""
        return now - self._refused_at < REPORT_DECAY

    def held_by_others(self, now: int, usual: float) -> float:
        """The part that others hold. The older the report, the nearer to the usual of all engines."""
        decay = math.exp((self._reported_at - now) / REPORT_DECAY)
        reported = usual + (self.reported_share - usual) * self._report_trust * decay
        proxied = self._proxy_share if now - self._proxy_reported_at < PROXY_REPORT_LIFETIME else 0.0
        return max(reported, proxied, 1.0 if self.is_refusing(now) else 0.0)

    def idle_share(self) -> float:
        """The part that nobody holds, as far as it was reported."""
        return max(0.0, 1.0 - self.reported_share - self.reservations.used_share())

    def fillable_share(self, now: int, usual: float, own_slice: float, borrowable: float = 0.0) -> float:
        """The part that our queries may fill: our slice, or what others leave of theirs.

        Args:
            now: The present moment.
            usual: The usual of what others hold of an engine.
            own_slice: Our slice of every engine.
            borrowable: What we would borrow for our traffic where queries run about as fast as alone.
        """
        unheld = LENT_SHARE * (1.0 - own_slice) - self.held_by_others(now, usual)
        lent = max(unheld, borrowable * self.health.spare_capacity())
        return self.capacity_factor(now) * min(1.0, self.entry.weight) * max(own_slice, lent)

    def status(self, now: int, our_slice: float) -> EngineStatus:
        """How the engine is seen, where `our_slice` of each engine is ours and our proxies'."""
        return EngineStatus(
            entry=self.entry,
            health=self.health.level,
            usable=not self.health.is_ejected,
            warmed_up=self.slow_start.is_warmed_up(now),
            used_during_slow_start=self.slow_start.is_sender,
            ramp_share=self.slow_start.ramp_share(now),
            capacity_share=self.health.level * min(1.0, self.entry.weight) * our_slice,
            memory=self.reservations.memory,
            cores=self.reservations.cores,
        )
