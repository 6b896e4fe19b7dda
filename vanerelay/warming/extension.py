"""Cache warming as an extension of the served program.

Every gateway counts reads and carries out prefetches; one gateway plans for each zone.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from vanerelay.extension import EngineRun, Extension, ExtensionHost, StartupError
from vanerelay.fleet.extension import FleetExtension
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.freshness.extension import FreshnessExtension
from vanerelay.leases.extension import LeasesExtension
from vanerelay.warming import messages
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.executor import PrefetchExecutor, PrefetchResult
from vanerelay.warming.planner import PrefetchPlanner
from vanerelay.warming.popularity import PopularityCounter

MAX_RESULTS_IN_LARGE_REPLY = 100
"""Results of prefetches in a reply that had to be shortened to fit into a message."""


class WarmingExtension(Extension):
    """Counts reads, carries out prefetches, and takes part in the leases of the zones' planners."""

    def __init__(
        self,
        host: ExtensionHost,
        config: WarmingConfig,
        fleet: FleetExtension,
        leases: LeasesExtension,
        freshness: FreshnessExtension | None,
    ) -> None:
        self._host = host
        self._config = config
        self._fleet = fleet
        self._leases = leases
        self._freshness = freshness
        self._planners = list[PrefetchPlanner]()
        self._engine_names = dict[int, str]()

    def open(self) -> None:
        """Takes part in the planners' leases. Raises StartupError."""
        host, config, leases = self._host, self._config, self._leases.leases
        if config.service_class not in [one["name"] for one in host.settings["classes"]]:
            raise StartupError(
                f"warming: no service group {config.service_class} in the settings, expected one"
            )
        self._counter = PopularityCounter(config.slice_duration)
        self._executor = PrefetchExecutor(host, config, leases.clock)
        for zone in host.zones:
            chance = random.Random(f"{host.seed}/warming/{zone}")
            planner = PrefetchPlanner(
                host, self._fleet.fleet, leases, config, zone, chance, self._replicas_of
            )
            self._planners.append(planner)
        self._fleet.fleet.rpc.handlers |= {
            messages.POPULARITY_KIND: self._popularity_requested,
            messages.PREFETCH_KIND: self._prefetch_requested,
        }

    def loop_starting(self) -> None:
        """Begins to carry out prefetches once the event loop runs."""
        self._host.reactor.callWhenRunning(self._executor.run)

    def _replicas_of(self, table_group: int) -> Sequence[str]:
        if self._freshness is None:
            return ()
        return self._freshness.service.positions.replicas(table_group)

    def engine_ran(self, run: EngineRun) -> None:
        """Counts a read or load of a client, or keeps the result of a prefetch."""
        engine = self._engine_name(run.engine)
        if engine is None or not run.table_group:
            return
        now = self._leases.leases.clock()
        if run.writes:
            self._counter.load_completed(now, run.table_group)
        elif run.internal:
            self._executor.results.append(PrefetchResult(run.table_group, engine, run.work))
        else:
            self._counter.read_completed(now, run.table_group, engine, run.work)

    def _engine_name(self, engine: int) -> str | None:
        if engine not in self._engine_names:
            statuses = self._host.gateway.engine_statuses()
            self._engine_names = {one.entry.index: one.entry.name for one in statuses}
        return self._engine_names.get(engine)

    def _popularity_requested(self, body: bytes) -> bytes:
        request = messages.decode(body, messages.PopularityRequest)
        if request is None:
            raise RequestRefusedError("unreadable")
        now = self._leases.leases.clock()
        slices = messages.slice_messages(self._counter.slices_since(now, request.from_slice))
        results = [(one.table_group, one.engine, one.work) for one in self._executor.results]
        self._executor.results.clear()
        current_slice = self._counter.current_slice
        reply = messages.encode(messages.PopularityReply(slices, current_slice, results))
        while len(reply) > messages.MAX_MESSAGE_BYTES and slices:
            slices = slices[1:]  # the oldest is left out
            fewer = results[:MAX_RESULTS_IN_LARGE_REPLY]
            reply = messages.encode(messages.PopularityReply(slices, current_slice, fewer))
        return reply

    def _prefetch_requested(self, body: bytes) -> bytes:
        request = messages.decode(body, messages.PrefetchRequest)
        if request is None:
            raise RequestRefusedError("unreadable")
        if self._executor.is_stopped:
            raise RequestRefusedError("ending")
        return messages.encode(self._executor.accept(request))

    def draining(self) -> None:
        """Carries out no more prefetches."""
        self._executor.stop()

    def stop(self) -> None:
        """Plans no more."""
        for planner in self._planners:
            planner.stop()
        self._executor.stop()
