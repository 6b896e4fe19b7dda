"""Adds leases, and the maintenance tasks that rely on them, to the gateway process."""

from __future__ import annotations

import os
import random
from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.fleet.extension import FleetExtension
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.errors import StoreError
from vanerelay.leases.maintenance_runner import MaintenanceRunner
from vanerelay.leases.service import Leases

PROCESS_ID_BYTES = 6
"""Length of the random number that identifies a process; msgpack encodes integers in at most 64 bits."""


class LeasesExtension(Extension):
    """The leases extension. `leases` is set by `open`."""

    leases: Leases

    def __init__(self, host: ExtensionHost, config: LeasesConfig, fleet: FleetExtension) -> None:
        self._host, self._config, self._fleet = host, config, fleet
        self._runners = list[MaintenanceRunner]()

    def open(self) -> None:
        """Opens the voter's store and adds the maintenance tasks.

        Raises:
            StartupError: the store can't be used.
        """
        host, config = self._host, self._config
        process = int.from_bytes(os.urandom(PROCESS_ID_BYTES), "big")
        random_source = random.Random(f"{host.seed}/leases")
        try:
            store = self._open_store()
            self.leases = Leases(host.reactor, self._fleet.fleet, config, random_source, process, store)
        except StoreError as error:
            raise StartupError(f"leases: {error}") from error
        for task in config.maintenance_tasks:
            for shard in range(task.shards):
                self._runners.append(MaintenanceRunner(host, self.leases, task, shard))

    def _open_store(self) -> DurableStore | None:
        if self._host.name not in self._config.voters.names:
            return None
        if not self._config.folder:
            raise StoreError("this gateway is a voter: expected a folder in the leases block")
        return DurableStore(self._host.reactor, self._config.folder)

    def loop_starting(self) -> None:
        """Starts requesting leases once the reactor runs."""
        self._host.reactor.callWhenRunning(self.leases.start)

    def stop(self) -> Deferred[Any]:
        """Releases all leases; the returned Deferred fires once that is done."""
        for runner in self._runners:
            runner.stop()
        return self.leases.release_all().addCallback(lambda _: self.leases.stop())
