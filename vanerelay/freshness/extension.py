"""The watch of copies and hinted reads as a part of the served program."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from vanerelay.extension import Extension, ExtensionHost, QueryConstraint, QueryInfo
from vanerelay.fleet.extension import FleetExtension
from vanerelay.freshness.config import FreshnessConfig
from vanerelay.freshness.read_constraints import Leading
from vanerelay.freshness.service import Freshness, Watching
from vanerelay.interface import EngineState, EngineStatus
from vanerelay.leases.config import MaintenanceTask
from vanerelay.leases.extension import LeasesExtension
from vanerelay.leases.maintenance_runner import MaintenanceRunner

if TYPE_CHECKING:
    from vanerelay.engine_list import EngineListChange

TASK = "watch"
TURN_S = 1.0


def bears(condition: EngineStatus) -> bool:
    """Engines that are asked: those that serve, cold ones too, as a question is no work."""
    return condition.entry.state is EngineState.UP


class FreshnessExtension(Extension):
    def __init__(
        self, host: ExtensionHost, parts: FreshnessConfig, fleet: FleetExtension, leases: LeasesExtension
    ) -> None:
        self._host, self._parts, self._fleet, self._leases = host, parts, fleet, leases
        self._doing = list[MaintenanceRunner]()
        self._timer: Any = None
        self._opened = False

    def open(self) -> None:
        host, leases, watch = self._host, self._leases.leases, self._parts.watch
        self.freshness = Freshness(host.reactor, self._fleet.fleet, leases, self._parts)
        self._leading = Leading(host, self.freshness, random.Random(f"{host.seed}/freshness"))
        chore = MaintenanceTask(TASK, watch.words, watch.every, watch.patience, watch.shards, watch.at_once)
        for number, shard in enumerate(self.freshness.shards):
            chat = Watching(self.freshness, shard)
            self._doing.append(MaintenanceRunner(host, leases, chore, number, chat, bears))
        self.freshness.holds = [one.holder for one in self._doing]
        self._opened = True

    def loop_starting(self) -> None:
        self._host.reactor.callWhenRunning(self.freshness.start)
        self._host.reactor.callWhenRunning(self._turn)

    def _turn(self) -> None:
        self._timer = self._host.reactor.callLater(TURN_S, self._turn)
        self._leading.turn()

    def engines_changed(self, change: EngineListChange) -> None:
        if not self._opened:
            return
        self._leading.again()
        gone = [member.name for member in change.engines if member.state is EngineState.GONE]
        self.freshness.lost(gone)

    def constrain(self, want: QueryInfo) -> QueryConstraint | str | None:
        return self._leading.guide(want)

    def stop(self) -> None:
        for one in self._doing:
            one.stop()
        self.freshness.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
