"""The watch of replicas and hinted reads as an extension of the served program."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from twisted.internet.base import DelayedCall

from vanerelay.extension import Extension, ExtensionHost, QueryConstraint, QueryInfo
from vanerelay.fleet.extension import FleetExtension
from vanerelay.freshness.config import FreshnessConfig
from vanerelay.freshness.constraint_router import ConstraintRouter
from vanerelay.freshness.service import FreshnessService
from vanerelay.freshness.shard_watcher import ShardWatcher
from vanerelay.interface import EngineState, EngineStatus
from vanerelay.leases.config import MaintenanceTask
from vanerelay.leases.extension import LeasesExtension
from vanerelay.leases.maintenance_runner import MaintenanceRunner

if TYPE_CHECKING:
    from vanerelay.engine_list import EngineListChange

TASK = "watch"
"""The name of the leased task; its shards are `watch/0` and so on."""

RECONSIDER_INTERVAL_S = 1.0
"""How often queued queries are reconsidered."""


def may_be_polled(engine: EngineStatus) -> bool:
    """Whether an engine is polled: all that are up, in slow start as well, as a poll is no work."""
    return engine.entry.state is EngineState.UP


class FreshnessExtension(Extension):
    """Watches replicas and constrains reads and loads.

    Attributes:
        service: What this gateway knows of replicas; there once the extension is open.
    """

    service: FreshnessService

    def __init__(
        self, host: ExtensionHost, config: FreshnessConfig, fleet: FleetExtension, leases: LeasesExtension
    ) -> None:
        self._host = host
        self._config = config
        self._fleet = fleet
        self._leases = leases
        self._runners = list[MaintenanceRunner]()
        self._timer: DelayedCall | None = None
        self._opened = False

    def open(self) -> None:
        """Takes part in the shards' leases."""
        host, leases, watch = self._host, self._leases.leases, self._config.watch
        self.service = FreshnessService(host.reactor, self._fleet.fleet, leases, self._config)
        self._router = ConstraintRouter(host, self.service, random.Random(f"{host.seed}/freshness"))
        task = MaintenanceTask(
            TASK,
            watch.command,
            watch.poll_interval,
            watch.poll_timeout,
            watch.shards,
            watch.max_concurrent_polls,
        )
        for number, shard in enumerate(self.service.shards):
            watcher = ShardWatcher(self.service.name, shard, self.service.notify)
            self._runners.append(MaintenanceRunner(host, leases, task, number, watcher, may_be_polled))
        self.service.leases_of_shards = [runner.holder for runner in self._runners]
        self._opened = True

    def loop_starting(self) -> None:
        """Begins to fetch updates once the event loop runs."""
        self._host.reactor.callWhenRunning(self.service.start)
        self._host.reactor.callWhenRunning(self._reconsider)

    def _reconsider(self) -> None:
        self._timer = self._host.reactor.callLater(RECONSIDER_INTERVAL_S, self._reconsider)
        self._router.reconsider_queued()

    def engines_changed(self, change: EngineListChange) -> None:
        """Forgets engines that are gone."""
        if not self._opened:
            return
        self._router.engines.list_changed()
        gone = [member.name for member in change.engines if member.state is EngineState.GONE]
        self.service.engines_gone(gone)

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """The constraint of a read with a hint, or of a load."""
        return self._router.constrain(query)

    def stop(self) -> None:
        """Watches no more."""
        for runner in self._runners:
            runner.stop()
        self.service.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
