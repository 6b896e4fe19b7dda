"""The watch of copies and hinted reads as a part of the served program."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from vanerelay.extension import Guide, Host, Part, Want
from vanerelay.fleet.extension import FleetPart
from vanerelay.freshness.config import Parts
from vanerelay.freshness.read_constraints import Leading
from vanerelay.freshness.service import Freshness, Watching
from vanerelay.interface import Condition, EngineState
from vanerelay.leases.config import Chore
from vanerelay.leases.extension import LeasesPart
from vanerelay.leases.maintenance_runner import Doing

if TYPE_CHECKING:
    from vanerelay.net.discovery_codec import Change

TASK = "watch"
TURN_S = 1.0


def bears(condition: Condition) -> bool:
    """Engines that are asked: those that serve, cold ones too, as a question is no work."""
    return condition.entry.state is EngineState.UP


class FreshnessPart(Part):
    def __init__(self, host: Host, parts: Parts, fleet: FleetPart, leases: LeasesPart) -> None:
        self._host, self._parts, self._fleet, self._leases = host, parts, fleet, leases
        self._doing = list[Doing]()
        self._timer: Any = None
        self._opened = False

    def open(self) -> None:
        host, leases, watch = self._host, self._leases.leases, self._parts.watch
        self.freshness = Freshness(host.reactor, self._fleet.fleet, leases, self._parts)
        self._leading = Leading(host, self.freshness, random.Random(f"{host.seed}/freshness"))
        chore = Chore(TASK, watch.words, watch.every, watch.patience, watch.shards, watch.at_once)
        for number, shard in enumerate(self.freshness.shards):
            chat = Watching(self.freshness, shard)
            self._doing.append(Doing(host, leases, chore, number, chat, bears))
        self.freshness.holds = [one.hold for one in self._doing]
        self._opened = True

    def running(self) -> None:
        self._host.reactor.callWhenRunning(self.freshness.start)
        self._host.reactor.callWhenRunning(self._turn)

    def _turn(self) -> None:
        self._timer = self._host.reactor.callLater(TURN_S, self._turn)
        self._leading.turn()

    def listed(self, change: Change) -> None:
        if not self._opened:
            return
        self._leading.again()
        gone = [member.name for member in change.members if member.state is EngineState.GONE]
        self.freshness.lost(gone)

    def guide(self, want: Want) -> Guide | str | None:
        return self._leading.guide(want)

    def stop(self) -> None:
        for one in self._doing:
            one.stop()
        self.freshness.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
