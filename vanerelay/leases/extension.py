"""How leases, and the maintenance tasks that stand on them, join the served program."""

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
"""Random bytes that tell a process from all others; msgpack carries the number in 64 bits."""


class LeasesExtension(Extension):
    """The extension; `leases` is there once it was opened."""

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
            raise StoreError("a voter needs a folder in its leases block")
        return DurableStore(self._host.reactor, self._config.folder)

    def loop_starting(self) -> None:
        """Begins to request leases once the reactor runs."""
        self._host.reactor.callWhenRunning(self.leases.start)

    def stop(self) -> Deferred[Any]:
        """Gives all leases back; fires once that is done."""
        for runner in self._runners:
            runner.stop()
        return self.leases.release_all().addCallback(lambda _: self.leases.stop())
