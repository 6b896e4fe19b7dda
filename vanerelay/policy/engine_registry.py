"""The engines that the gateway knows: the list, the order of preference, and the pool of all of them."""

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
"""Healthy engines that a gateway keeps to: reports from each stay fresh, and work does not grow with the
fleet."""

GATEWAYS_PER_ENGINE = 4
"""Gateways that keep to each engine, where that makes more candidates."""

TRIALS_PER_SECOND = 3
"""Trials of an ejected engine in a second, from all gateways that keep to it together."""

LARGE_QUERY_DIVISOR = 8
"""A large query's work is the largest class's latency objective on all its threads, over this."""

ANYWHERE = PlacementConstraints(None, None, None)
"""No constraints."""

UNKNOWN_KIND = MachineKind(1, 0.0)
"""Stands in for a kind that the settings do not name."""


class EngineRegistry:
    """The engines by index, and those listed in this gateway's order of preference.

    The order is scattered by engine and gateway, so that engines are kept by evenly many gateways. An engine
    that leaves the list is kept until it runs none of ours.

    Attributes:
        order: The listed engines in this gateway's order of preference.
        pool: What we hold of all listed engines together.
        awaited_reports: Load reports that were polled for and have not come. The admission queue is served
            once one comes, or with the next review.
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
        """The engine of an index, listed or not; None where it is not known."""
        return self._engines.get(index)

    def listed(self) -> list[Engine]:
        """The listed engines in order of preference."""
        return [ranked.engine for ranked in self.order.all]

    def baseline(self) -> list[Engine]:
        """The engines that show what is usual."""
        return [ranked.engine for ranked in self.order.all[:MIN_CANDIDATES]]

    def candidates(self, now: int, constraints: PlacementConstraints) -> Iterator[Engine]:
        """The first healthy engines in our order, and the unhealthy ones passed on the way.

        As many as queries run, if that is more: a busy gateway needs more engines. Engines of weight 0 get
        nothing new.
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

    def may_try(self, now: int, engine: Engine) -> bool:
        """Whether an ejected engine may get a trial query from us now: one at a time, not too often."""
        gateway_count = self._settings.position.gateway_count
        keepers = gateway_count * min(1.0, MIN_CANDIDATES / len(self.order)) / TRIALS_PER_SECOND
        interval = SECOND * max(1.0, keepers)
        return not engine.reservations.running and now - engine.health.tried_at >= interval

    # The engine list.

    def update(self, entries: Sequence[EngineEntry], is_complete: bool, accepts_new: bool) -> None:
        """Takes in entries of the engine list. `is_complete`: engines without an entry have left it."""
        if is_complete:
            for index in sorted(self._engines.keys() - {entry.index for entry in entries}):
                self._set_listed(self._engines[index], False)
        for entry in entries:
            if entry.index in self._engines or accepts_new:
                self._update_entry(entry)
        self._forget_unused()

    def inherit(self, old: EngineRegistry) -> None:
        """Takes over the listed engines of a registry under former settings, and what is known of them."""
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
            engine.health.heard(now)
        same_place = PlacementConstraints((entry.zone,), (entry.machine_kind,), entry.cell)
        if not same_place.allow(engine.entry):
            self._set_listed(engine, False)  # it moves to other lists of the order
        engine.entry = entry
        self._set_listed(engine, entry.state is EngineState.UP)

    def _new_engine(self, entry: EngineEntry) -> Engine:
        settings = self._settings
        kind = UNKNOWN_KIND
        if entry.machine_kind < len(settings.machine_kinds):
            kind = settings.machine_kinds[entry.machine_kind]
        largest = max(group.latency_objective * group.threads for group in settings.service_classes)
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
        """Lists or unlists an engine, or takes in its new weight."""
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
        """Reserves on an engine for one query."""
        self.pool.reserve(memory, threads)
        engine.reservations.reserve(memory, threads)

    def release(self, engine: Engine, memory: float, threads: float) -> None:
        """Gives back what one query held of an engine."""
        self.pool.release(memory, threads)
        engine.reservations.release(memory, threads)

    def poll_load(self, now: int) -> None:
        """Where engines report only when probed, probes the candidate that was not for the longest time.

        One probe for each query: without reports nothing is lent on a quiet day.
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
        """A probe ended; the engine, if it is still known and responded."""
        self.awaited_reports = max(0, self.awaited_reports - 1)
        engine = self._engines.get(index)
        return engine if outcome in ENGINE_RESPONDED else None

    def threads_per_query(self) -> float:
        """The threads of the usual query of ours, for reports that state numbers of queries."""
        return max(1.0, self.pool.threads / max(1, self.pool.running))
