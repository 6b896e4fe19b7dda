"""The engines that this gateway knows, their order of preference, and the reservations in all of them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from vanerelay.estimation import stable_hash
from vanerelay.interface import (
    ENGINE_RESPONDED,
    SECOND,
    EngineEntry,
    EngineState,
    GatewaySettings,
    MachineKind,
    Outcome,
    PlacementConstraints,
    Transport,
)
from vanerelay.policy.engine import Engine
from vanerelay.policy.engine_monitor import EngineMonitor
from vanerelay.policy.preference_order import PreferenceOrder
from vanerelay.policy.reservations import Reservations
from vanerelay.policy.slow_start import SlowStart

MIN_CANDIDATES = 8
"""The least number of healthy engines among which a gateway chooses. It is small so that the load reports of
each engine stay fresh, and the work per query does not grow with the fleet."""

GATEWAYS_PER_ENGINE = 4
"""The number of gateways that use each engine, if that gives each gateway more than `MIN_CANDIDATES`."""

TRIALS_PER_SECOND = 3
"""Trial queries per second at an ejected engine, from all gateways that use it together."""

LARGE_QUERY_DIVISOR = 8
"""The work of a large query is the largest product of latency objective and threads of any service class,
divided by this."""

ANYWHERE = PlacementConstraints(None, None, None)
"""Constraints that every engine satisfies."""

UNKNOWN_KIND = MachineKind(1, 0.0)
"""The machine kind that is assumed for engines whose kind is missing in the settings."""


class EngineRegistry:
    """The known engines by index, and the listed ones in this gateway's order of preference.

    The order depends on a hash of engine and gateway, so that each engine is preferred by about as many
    gateways. An engine that leaves the list stays known until it runs no more queries of this gateway.

    Attributes:
        order: The listed engines in this gateway's order of preference.
        pool: The reservations of this gateway in all listed engines together, against their total capacity.
        awaited_reports: The number of load reports that were polled for and have not arrived. The admission
            queue is served when one arrives, or with the next review.
    """

    def __init__(self, transport: Transport, settings: GatewaySettings, monitor: EngineMonitor) -> None:
        self._transport = transport
        self._settings = settings
        self._monitor = monitor
        self._started_at = transport.now
        self._engines = dict[int, Engine]()
        self._unlisted = dict[int, Engine]()
        self._inherited = dict[str, Engine]()
        self.order = PreferenceOrder()
        self.pool = Reservations(0.0, 0)
        self.awaited_reports = 0

    def get(self, index: int) -> Engine | None:
        """Returns the engine with this index, listed or not, or None if it is unknown."""
        return self._engines.get(index)

    def listed(self) -> list[Engine]:
        """Returns the listed engines in order of preference."""
        return [ranked.engine for ranked in self.order.all]

    def baseline_engines(self) -> list[Engine]:
        """Returns the most preferred engines, from which the typical fault ratio and slowdown are taken."""
        return [ranked.engine for ranked in self.order.all[:MIN_CANDIDATES]]

    def candidates(self, now: int, constraints: PlacementConstraints) -> Iterator[Engine]:
        """Yields the engines that a query may be sent to, in order of preference.

        Ends when enough healthy engines were found; unhealthy ones that precede them are included. At least
        one healthy engine for each running query is wanted, as a busy gateway needs more engines. Engines of
        weight 0 are left out, as they get no new queries.
        """
        wanted = max(
            MIN_CANDIDATES,
            GATEWAYS_PER_ENGINE * len(self.order) / self._settings.position.gateway_count,
            self.pool.running,
        )
        healthy = 0
        for _, _, engine in self.order.allowed_by(constraints):
            if engine.entry.weight <= 0.0:
                continue
            yield engine
            if not engine.health.is_ejected and engine.slow_start.allows(now, 0.0):
                healthy += 1
            if healthy >= wanted:
                return

    def may_send_trial(self, now: int, engine: Engine) -> bool:
        """Returns True if this gateway may send a trial query to an ejected engine now.

        Only one trial runs at a time, and the rate is limited by `TRIALS_PER_SECOND`.
        """
        gateway_count = self._settings.position.gateway_count
        seconds = gateway_count * min(1.0, MIN_CANDIDATES / len(self.order)) / TRIALS_PER_SECOND
        interval = SECOND * max(1.0, seconds)
        return not engine.reservations.running and now - engine.health.last_attempt_at >= interval

    # The engine list.

    def update(self, entries: Sequence[EngineEntry], is_complete: bool, accepts_new: bool) -> None:
        """Applies entries of the engine list.

        Args:
            entries: The entries.
            is_complete: Whether `entries` is the whole list, so that engines without an entry have left it.
            accepts_new: Whether entries of unknown engines are accepted.
        """
        if is_complete:
            for index in sorted(self._engines.keys() - {entry.index for entry in entries}):
                self._set_listed(self._engines[index], False)
        for entry in entries:
            if entry.index in self._engines or accepts_new:
                self._update_entry(entry)
        self._forget_unused()

    def inherit(self, old: EngineRegistry) -> None:
        """Takes over the listed engines of the registry under the previous settings, with their state."""
        self._inherited = {engine.entry.name: engine for engine in old._engines.values()}
        entries = [engine.entry for engine in old._engines.values() if engine.is_listed]
        self.update(entries, is_complete=True, accepts_new=True)

    def _update_entry(self, entry: EngineEntry) -> None:
        now = self._transport.now
        engine = self._engines.get(entry.index)
        if engine is None:
            engine = self._engines[entry.index] = self._unlisted[entry.index] = self._new_engine(entry)
        if entry.name in self._inherited:
            engine.inherit(now, self._inherited.pop(entry.name))
            self._monitor.watch(engine)
        if engine.slow_start.engine_started(entry.started_at):
            engine.health.record_activity(now)
        unchanged_placement = PlacementConstraints((entry.zone,), (entry.machine_kind,), entry.cell)
        if not unchanged_placement.allow(engine.entry):
            self._set_listed(engine, False)  # removes it from the lists of `order` that it no longer matches
        engine.entry = entry
        self._set_listed(engine, entry.state is EngineState.UP)

    def _new_engine(self, entry: EngineEntry) -> Engine:
        settings = self._settings
        kind = UNKNOWN_KIND
        if entry.machine_kind < len(settings.machine_kinds):
            kind = settings.machine_kinds[entry.machine_kind]
        largest = max(row.latency_objective * row.threads for row in settings.service_classes)
        slow_start = SlowStart(
            settings.slow_start,
            entry.name,
            kind.cores,
            settings.position,
            largest / LARGE_QUERY_DIVISOR,
            self._started_at,
        )
        return Engine(entry, kind, slow_start, settings.capabilities.polls_load)

    def _set_listed(self, engine: Engine, is_listed: bool) -> None:
        """Lists or unlists an engine, or applies its new weight."""
        added_share = (min(1.0, engine.entry.weight) if is_listed else 0.0) - engine.pooled_share
        self.pool.resize(added_share * engine.reservations.memory, added_share * engine.reservations.cores)
        engine.pooled_share += added_share
        if engine.is_listed == is_listed:
            return
        engine.is_listed = is_listed
        rank = stable_hash(engine.entry.name, self._settings.position.index)
        if is_listed:
            self._unlisted.pop(engine.entry.index)
            self.order.add(rank, engine)
        else:
            self._unlisted[engine.entry.index] = engine
            self.order.remove(rank, engine)

    def _forget_unused(self) -> None:
        unused = [index for index, engine in self._unlisted.items() if not engine.reservations.running]
        for index in unused:
            del self._engines[index], self._unlisted[index]
            self._monitor.forget(index)

    # Reservations and load reports.

    def reserve(self, engine: Engine, memory: float, threads: float) -> None:
        """Reserves memory, in MB, and threads for one query on an engine."""
        self.pool.reserve(memory, threads)
        engine.reservations.reserve(memory, threads)

    def release(self, engine: Engine, memory: float, threads: float) -> None:
        """Releases the memory, in MB, and the threads that were reserved for one query on an engine."""
        self.pool.release(memory, threads)
        engine.reservations.release(memory, threads)

    def poll_load(self, now: int) -> None:
        """Probes the candidate engine whose last probe is the oldest, if engines report only when probed.

        Called for each query: without load reports, no unused part of other gateways' slices would be used
        while there is little traffic.
        """
        if not self._settings.capabilities.polls_load:
            return
        candidates = list(self.candidates(now, ANYWHERE))
        if not candidates:
            return
        engine = min(candidates, key=lambda candidate: candidate.probed_at)
        self.awaited_reports += 1
        engine.probed_at = now
        self._transport.probe_engine(engine.entry.index)

    def probe_completed(self, index: int, outcome: Outcome) -> Engine | None:
        """Records the end of a probe. Returns the engine if it is still known and responded, else None."""
        self.awaited_reports = max(0, self.awaited_reports - 1)
        engine = self._engines.get(index)
        return engine if outcome in ENGINE_RESPONDED else None

    def threads_per_query(self) -> float:
        """Returns the mean threads of this gateway's running queries, for load reports that count queries."""
        return max(1.0, self.pool.threads / max(1, self.pool.running))
