"""Leases, and the chores that stand on them, as a part of the served program."""

from __future__ import annotations

import os
import random
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.extension import BadStart, Host, Part
from vanerelay.fleet.extension import FleetPart
from vanerelay.leases.config import Parts
from vanerelay.leases.durable_store import Disk, Unkept
from vanerelay.leases.maintenance_runner import Doing
from vanerelay.leases.service import Leases

PROCESS = 6  # bytes drawn for a process

log = structlog.get_logger()


class LeasesPart(Part):
    leases: Leases

    def __init__(self, host: Host, parts: Parts, fleet: FleetPart) -> None:
        self._host, self._parts, self._fleet = host, parts, fleet
        self._doing = list[Doing]()

    def open(self) -> None:
        host, process = self._host, int.from_bytes(os.urandom(PROCESS), "big")
        chance = random.Random(f"{host.seed}/leases")
        parts, disk = self._parts, None
        try:
            if host.name in parts.voters.all:
                if not parts.folder:
                    raise Unkept("a voter needs a folder in its leases block")
                disk = Disk(host.reactor, parts.folder)
            self.leases = Leases(host.reactor, self._fleet.fleet, parts, chance, process, disk)
        except Unkept as fault:
            raise BadStart(f"leases: {fault}") from None
        for chore in self._parts.chores:
            for shard in range(chore.shards):
                self._doing.append(Doing(host, self.leases, chore, shard))

    def running(self) -> None:
        self._host.reactor.callWhenRunning(self.leases.start)

    def stop(self) -> Deferred[Any]:
        for one in self._doing:
            one.stop()
        return self.leases.leave().addCallback(lambda _: self.leases.stop())
