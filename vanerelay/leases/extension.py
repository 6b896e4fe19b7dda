"""Leases, and the chores that stand on them, as a part of the served program."""

from __future__ import annotations

import os
import random
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.fleet.extension import FleetExtension
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.durable_store import DurableStore, StoreError
from vanerelay.leases.maintenance_runner import MaintenanceRunner
from vanerelay.leases.service import Leases

PROCESS = 6  # bytes drawn for a process

log = structlog.get_logger()


class LeasesExtension(Extension):
    leases: Leases

    def __init__(self, host: ExtensionHost, parts: LeasesConfig, fleet: FleetExtension) -> None:
        self._host, self._parts, self._fleet = host, parts, fleet
        self._doing = list[MaintenanceRunner]()

    def open(self) -> None:
        host, process = self._host, int.from_bytes(os.urandom(PROCESS), "big")
        chance = random.Random(f"{host.seed}/leases")
        parts, disk = self._parts, None
        try:
            if host.name in parts.voters.all:
                if not parts.folder:
                    raise StoreError("a voter needs a folder in its leases block")
                disk = DurableStore(host.reactor, parts.folder)
            self.leases = Leases(host.reactor, self._fleet.fleet, parts, chance, process, disk)
        except StoreError as fault:
            raise StartupError(f"leases: {fault}") from None
        for chore in self._parts.chores:
            for shard in range(chore.shards):
                self._doing.append(MaintenanceRunner(host, self.leases, chore, shard))

    def loop_starting(self) -> None:
        self._host.reactor.callWhenRunning(self.leases.start)

    def stop(self) -> Deferred[Any]:
        for one in self._doing:
            one.stop()
        return self.leases.leave().addCallback(lambda _: self.leases.stop())
