"""The server of a gateway process: creates and runs its parts, and is the host of its extensions."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd
from vanerelay.clock import Clock
from vanerelay.estimation import stable_hash
from vanerelay.extension import DiscoveryAnswerListener, Extension, ExtensionHost, ListListener, StartupError
from vanerelay.net import startup
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_connection import CONNECTION_BYTES
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.events import EventLog
from vanerelay.net.garbage_collection import GarbageCollection
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.held_queries import InternalQuery
from vanerelay.net.memory_budget import MemoryBudget, MemoryUse
from vanerelay.net.process_memory import own_memory_bytes, return_large_allocations
from vanerelay.net.resource_log import ResourceLog
from vanerelay.net.settings_reload import SettingsReload
from vanerelay.net.shutdown import GracefulShutdown, Termination, ignore_signals
from vanerelay.net.startup import Configuration, DescriptorShares, PortOpener, SupervisorSockets
from vanerelay.policy.gateway import Gateway

ExtensionFactory = Callable[[ExtensionHost], list[Extension]]
"""Creates the extensions that the operators enabled."""

SWEEP_INTERVAL_S = 1.0
STALL_THRESHOLD_S = 0.05
"""A longer delay of an event loop pass is logged: the clients' protocol adds this much to each time limit."""

log = structlog.get_logger()


class Server:
    """A gateway process with all its parts."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        configuration: Configuration,
        listen: str,
        name: str = "",
        sockets: SupervisorSockets | None = None,
        make_extensions: ExtensionFactory | None = None,
    ) -> None:
        """Creates all parts and opens the ports.

        Args:
            reactor: The event loop.
            clock: The clock of the process.
            configuration: The configuration file.
            listen: Host and port for clients.
            name: The name of this gateway.
            sockets: The descriptors that a supervisor passes on; None without a supervisor.
            make_extensions: Creates the extensions; None if none is enabled.

        Raises:
            StartupError: A part cannot be created or a port cannot be opened.
        """
        self.reactor = reactor
        self.clock = clock
        self.name = name
        self.limits: Mapping[str, Any] = configuration.limits
        self._sockets = sockets or SupervisorSockets()
        self.supervised = self._sockets.listen_fd is not None
        self._internal_query_number = int(clock.now())  # makes each reference unique
        self._failure: str | None = None  # an error found while running that ends the process
        self._make_memory_budget(configuration.memory_bytes)
        self.events = EventLog(reactor)
        self._shares = DescriptorShares.divide(configuration.descriptors)
        self._make_service(configuration)
        self.seed = configuration.seed
        self.zones = startup.index_by_name(configuration.raw_settings.get("failureDomains"))
        self.machine_kinds = startup.index_by_name(configuration.raw_settings.get("kinds"))
        self._extensions: Sequence[Extension] = make_extensions(self) if make_extensions is not None else []
        self._apply_initial_settings(configuration)
        self.clients: ClientListener = self._make_clients()
        self._garbage = GarbageCollection(configuration.memory_bytes)
        self._termination = Termination(reactor)
        self._shutdown = GracefulShutdown(
            reactor, self.service, self.clients, self.discovery, self._engines, self._extensions
        )
        self._apply_initial_list(configuration)
        self._open_extensions()
        self._open_ports(listen)

    def _make_memory_budget(self, limit: int) -> None:
        """Creates the budget within the memory limit, in bytes, and the log of its use."""
        self._memory_limit = limit
        self._memory = MemoryBudget.of_process(limit, own_memory_bytes)
        self._resources = ResourceLog(
            self.reactor, self._memory, limit, own_memory_bytes, self._resource_counts
        )

    def _make_service(self, configuration: Configuration) -> None:
        """Creates the connections to engines and peers, and the service that uses them."""
        self._pool = BufferPool()
        self._engines = startup.make_engine_pool(
            self.reactor, self._pool, configuration.raw_settings, self._shares, self.events, self._memory
        )
        self._peers = configuration.peers()
        self.service = GatewayService(
            self.reactor,
            self.clock,
            configuration.raw_settings,
            self._engines,
            self._peers,
            configuration.memory_bytes // startup.STATEMENT_MEMORY_DIVISOR,
            self.events,
            self._memory,
        )

    def _open_ports(self, listen: str) -> None:
        opener = PortOpener(
            self.reactor, self.clients, self._sockets, lambda: self.service.draining, self._fail
        )
        opener.open(listen, self._peers)

    def _apply_initial_settings(self, configuration: Configuration) -> None:
        """Applies the initial settings and creates the client of the discovery service."""
        raw_settings = configuration.raw_settings
        for extension in self._extensions:
            raw_settings = extension.initial_settings(raw_settings)
        self._reload = SettingsReload(
            self.service,
            lambda address: self.discovery.change_address(address),
            self._extensions,
            self.seed,
            raw_settings,
        )
        self.service.add_extensions(self._extensions)
        self.service.apply_settings(self.seed, raw_settings)
        self.discovery = self._make_discovery(configuration)

    def _make_discovery(self, configuration: Configuration) -> DiscoveryClient:
        on_change: ListListener = self.service.apply_engine_list_change
        on_answer: DiscoveryAnswerListener | None = None
        for extension in self._extensions:
            on_change, on_answer = extension.wrap_discovery(on_change, on_answer)
        return DiscoveryClient(
            self.reactor,
            self._pool,
            configuration.discovery_address,
            self.zones,
            self.machine_kinds,
            startup.connect_timeout_s(configuration.raw_settings),
            random.Random(self.seed),
            on_change,
            on_answer,
        )

    def _make_clients(self) -> ClientListener:
        return ClientListener(
            self.reactor,
            self.clock,
            self.service,
            self._pool,
            self._shares.clients,
            self._has_spare_descriptor,
            self.events,
            self._memory,
        )

    def _has_spare_descriptor(self) -> bool:
        used = self.clients.descriptor_count + self._engines.connection_count() + startup.RESERVED_DESCRIPTORS
        return used < self._shares.total and self._memory.allows(MemoryUse.ANSWER, CONNECTION_BYTES)

    def _resource_counts(self) -> dict[str, int]:
        return {
            "clients": self.clients.descriptor_count,
            "engine_connections": self._engines.connection_count(),
            "open": self.service.queries.open_count,
            "held": self.service.queries.held_count,
            **self.clients.statistics.values(),
        }

    def _apply_initial_list(self, configuration: Configuration) -> None:
        error = self.discovery.apply(configuration.initial_list)
        if error is not None:
            raise StartupError(f"initial engine list in the configuration cannot be used: {error}")

    def _open_extensions(self) -> None:
        for extension in self._extensions:
            extension.open()
        for extension in self._extensions:
            extension.start()

    def run(self) -> None:
        """Runs until a signal ends the process. Raises StartupError if retries to open a port failed."""
        self.discovery.start()
        self._sweep()
        self.reactor.addSystemEventTrigger("before", "shutdown", self._shutdown.begin)
        log.info("serving")
        self._garbage.disable_automatic()
        return_large_allocations()
        self._memory.calibrate(self._memory_limit)
        for extension in self._extensions:
            extension.loop_starting()
        self.reactor.callWhenRunning(self._termination.handle_signals)
        if self._sockets.listen_fd is not None:
            self._termination.end_with_parent()
        if self._sockets.ready_fd is not None:
            self.reactor.callWhenRunning(
                startup.report_ready, self.reactor, self.service.ready, self._sockets.ready_fd
            )
        self.reactor.run()
        ignore_signals()
        self.events.write_counts()
        self._resources.write()
        log.info("ended", broken=self.service.guard.violations())
        if self._failure is not None:
            raise StartupError(self._failure)

    def reload(self, path: str) -> None:
        """Reloads the configuration file, as SIGHUP requests."""
        self._reload.reload_file(path)

    def _fail(self, why: str) -> None:
        self._failure = why
        self._termination.request()

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)  # first, so that sweeps go on after an error
        self.service.sweep()
        if self.events.sweep():
            self._resources.write()
        self._resources.warn_if_nearly_full()
        delay_s = self.reactor.take_max_delay_s()
        if delay_s > STALL_THRESHOLD_S:
            log.warning("event loop stalled", ms=round(delay_s * 1000))
        busy = any(extension.busy for extension in self._extensions)
        self._garbage.sweep(self.service.queries.open_count, bool(self._extensions), busy)

    # The rest implements `ExtensionHost`.

    @property
    def settings(self) -> dict[str, Any]:
        """See `ExtensionHost.settings`."""
        return self._reload.settings

    @property
    def gateway(self) -> Gateway:
        """See `ExtensionHost.gateway`."""
        return self.service.gateway

    def engine_addresses(self) -> dict[int, str]:
        """See `ExtensionHost.engine_addresses`."""
        return self._engines.addresses()

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        """See `ExtensionHost.send_command`."""
        return self._engines.send_command(engine, arguments, command_id, timeout_s)

    def submit_internal(
        self, service_class: str, statement: str, engine: int, memory: float, max_duration: int
    ) -> InternalQuery | None:
        """See `ExtensionHost.submit_internal`."""
        self._internal_query_number += 1
        reference = f"{stable_hash(self.name, self._internal_query_number):016x}"
        return self.service.submit_internal(reference, service_class, statement, engine, memory, max_duration)

    def apply_settings(self, settings: dict[str, Any]) -> str | None:
        """See `ExtensionHost.apply_settings`."""
        return self._reload.apply(settings)

    def large_list_applied(self) -> None:
        """See `ExtensionHost.large_list_applied`."""
        self._garbage.freeze_existing()
