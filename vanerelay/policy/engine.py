"""The state that this gateway keeps of one engine: reported load, health, reservations and fillable share."""

from __future__ import annotations

import math

from vanerelay.interface import SECOND, EngineEntry, EngineStatus, LoadReport, MachineKind
from vanerelay.policy.outlier_detection import EngineHealth
from vanerelay.policy.reservations import Reservations
from vanerelay.policy.slow_start import SlowStart

NEVER = -1000 * SECOND
"""A time, in ticks, before any time that the clock gives."""

LENT_SHARE = 0.85
"""The most of the other gateways' slices that this gateway may use while load reports show it unused."""

PROXY_REPORT_LIFETIME = 10 * SECOND
"""The time, in ticks, for which a proxy's load report counts."""

REPORT_DECAY = 2 * SECOND
"""The time, in ticks, in which a load report's weight falls to about a third, and for which a rejection by
the engine counts. The value allows for load reports that arrive seconds late."""

MAX_REPORTED_SHARE = 10.0
"""The largest load, as a multiple of the engine's capacity, that counts of a report. More is noise, which
must not outweigh the reports of the other engines in their average."""

POLLED_REPORT_WEIGHT = 0.5
"""The weight of a load report that was polled for. All gateways that poll an idle engine see the same value,
and at full weight they would all send their queries to it."""


class Engine:
    """An engine in the engine list, or one that has left the list and still runs queries of this gateway.

    Attributes:
        is_listed: Whether the engine is in the engine list and up.
        reported_share: The part of the engine that others used, as last reported; 1 before the first report.
        pooled_share: The part of the engine that counts in the pool of all engines; 0 if it is not listed.
        probed_at: When the engine was last probed for its load.
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
        self._report_weight = POLLED_REPORT_WEIGHT if polls_load else 1.0
        self._refused_at = NEVER
        self._proxy_share = 0.0
        self._proxy_reported_at = NEVER

    def inherit(self, now: int, old: Engine) -> None:
        """Takes over the state of the same engine under the previous settings.

        Both share the slow start, the health and, if the capacity is the same, the reservations from now on.
        """
        self.slow_start.record_sent(now, old.slow_start.sent_work(now))
        old.slow_start = self.slow_start
        self.health = old.health
        if self.reservations.has_capacity_of(old.reservations):
            self.reservations = old.reservations

    def capacity_factor(self, now: int) -> float:
        """Returns the available part of the engine's capacity, reduced by slow start and poor health."""
        return self.health.level * self.slow_start.ramp_share(now)

    def load_reported(self, now: int, report: LoadReport | None, threads_per_query: float) -> None:
        """Handles a response of the engine, with or without a load report."""
        self.health.record_activity(now)
        query_share = self.reservations.thread_share(threads_per_query)
        shares = report.as_shares(query_share) if report else []
        if shares:
            reported = min(MAX_REPORTED_SHARE, max(shares))
            self.reported_share = max(0.0, reported - self.reservations.used_share())
            self._reported_at = now

    def proxy_reported(self, now: int, running: float, ended: float, errors: float) -> None:
        """Handles a load report of the proxies about this engine.

        Args:
            now: The current time.
            running: The requests that the proxies have in flight at this engine.
            ended: The requests that have ended since the last report.
            errors: Those of the ended requests that failed.
        """
        self._proxy_share = min(MAX_REPORTED_SHARE, self.reservations.thread_share(running))
        self._proxy_reported_at = now
        self.health.proxy_reported(now, ended, errors)

    def refused(self, now: int) -> None:
        """Records that the engine rejected a query or made one wait for memory, as others have filled it."""
        self._refused_at = now

    def is_refusing(self, now: int) -> bool:
        """Returns True if the engine recently rejected a query or made one wait for memory."""
        return now - self._refused_at < REPORT_DECAY

    def held_by_others(self, now: int, typical_load: float) -> float:
        """Returns the estimated part of the engine that others use.

        With the age of the last load report, the estimate moves towards `typical_load`, the part that others
        use of a typical engine.
        """
        decay = math.exp((self._reported_at - now) / REPORT_DECAY)
        reported = typical_load + (self.reported_share - typical_load) * self._report_weight * decay
        proxied = self._proxy_share if now - self._proxy_reported_at < PROXY_REPORT_LIFETIME else 0.0
        return max(reported, proxied, 1.0 if self.is_refusing(now) else 0.0)

    def idle_share(self) -> float:
        """Returns the unused part of the engine, by its last load report and the present reservations."""
        return max(0.0, 1.0 - self.reported_share - self.reservations.used_share())

    def fillable_share(
        self, now: int, typical_load: float, own_slice: float, borrowable: float = 0.0
    ) -> float:
        """Returns the part of the engine that this gateway's queries may fill.

        It is this gateway's slice, or more if the other gateways leave a part of their slices unused.

        Args:
            now: The current time.
            typical_load: The part that others use of a typical engine.
            own_slice: This gateway's slice of every engine.
            borrowable: The part of an engine that this gateway would borrow for its traffic. The more slowly
                queries run on the engine, the less of this part is borrowed.
        """
        unheld = LENT_SHARE * (1.0 - own_slice) - self.held_by_others(now, typical_load)
        lent = max(unheld, borrowable * self.health.spare_capacity())
        return self.capacity_factor(now) * min(1.0, self.entry.weight) * max(own_slice, lent)

    def status(self, now: int, shared_slice: float) -> EngineStatus:
        """Returns the engine's status.

        Args:
            now: The current time.
            shared_slice: The slice of each engine that belongs to this gateway and its proxies together.
        """
        return EngineStatus(
            entry=self.entry,
            health=self.health.level,
            usable=not self.health.is_ejected,
            warmed_up=self.slow_start.is_warmed_up(now),
            used_during_slow_start=self.slow_start.is_sender,
            ramp_share=self.slow_start.ramp_share(now),
            capacity_share=self.health.level * min(1.0, self.entry.weight) * shared_slice,
            memory=self.reservations.memory,
            cores=self.reservations.cores,
        )
