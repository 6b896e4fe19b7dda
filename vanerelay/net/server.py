"""The served program: joins its parts, runs them, and is what its extensions see of it."""

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
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.events import EventLog
from vanerelay.net.garbage_collection import GarbageCollection
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.held_queries import InternalQuery
from vanerelay.net.settings_reload import SettingsReload
from vanerelay.net.shutdown import GracefulShutdown, Termination, ignore_signals
from vanerelay.net.startup import Configuration, DescriptorShares, PortOpener, SupervisorSockets
from vanerelay.policy.gateway import Gateway

JoinExtensions = Callable[[ExtensionHost], list[Extension]]
"""Makes the extensions that the operators switched on."""

SWEEP_S = 1.0
STALL_S = 0.05
"""A pass that is later than this is logged: as much as the clients' protocol adds to each time limit."""

log = structlog.get_logger()


class Server:
    """The parts of one gateway process, each made with its own few settings."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        configuration: Configuration,
        listen: str,
        name: str = "",
        sockets: SupervisorSockets | None = None,
        join: JoinExtensions | None = None,
    ) -> None:
        """Makes all parts and opens the ports. Raises StartupError.

        Args:
            reactor: The event loop.
            clock: The clock of the process.
            configuration: The configuration file.
            listen: Host and port for clients.
            name: The name of this gateway.
            sockets: What a supervisor hands down; None without one.
            join: Makes the extensions; None where none is switched on.
        """
        self.reactor = reactor
        self.clock = clock
        self.name = name
        self.limits: Mapping[str, Any] = configuration.limits
        self._sockets = sockets or SupervisorSockets()
        self.supervised = self._sockets.listen_fd is not None
        self._internal_queries = int(clock.now())  # a number for the next reference
        self._failure: str | None = None  # found while running, which ends the program
        self._pool = BufferPool()
        self.events = EventLog(reactor)
        self._shares = DescriptorShares.divide(configuration.descriptors)
        self._make_service(configuration)
        self.seed = configuration.seed
        self.zones = startup.rows(configuration.raw_settings.get("failureDomains"))
        self.machine_kinds = startup.rows(configuration.raw_settings.get("kinds"))
        self._extensions: Sequence[Extension] = join(self) if join is not None else []
        self._put_settings_in_force(configuration)
        self.clients: ClientListener = self._make_clients()
        self._garbage = GarbageCollection(configuration.memory_bytes)
        self._termination = Termination(reactor)
        self._shutdown = GracefulShutdown(
            reactor, self.service, self.clients, self.discovery, self._engines, self._extensions
        )
        self._apply_known_list(configuration)
        self._open_extensions()
        self._open_ports(listen)

    def _make_service(self, configuration: Configuration) -> None:
        """The connections to engines and peers, and what joins them to the decisions."""
        self._engines = startup.make_engine_pool(
            self.reactor, self.clock, self._pool, configuration.raw_settings, self._shares, self.events
        )
        self._peers = configuration.peers()
        self.service = GatewayService(
            self.reactor,
            self.clock,
            configuration.raw_settings,
            self._engines,
            self._peers,
            configuration.memory_bytes // startup.STATEMENT_SHARE,
            self.events,
        )

    def _open_ports(self, listen: str) -> None:
        opener = PortOpener(
            self.reactor, self.clients, self._sockets, lambda: self.service.draining, self._fail
        )
        opener.open(listen, self._peers)

    def _put_settings_in_force(self, configuration: Configuration) -> None:
        """The settings to start with, and what follows the discovery service under them."""
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
        self.service.join(self._extensions)
        self.service.apply_settings(self.seed, raw_settings)
        self.discovery = self._make_discovery(configuration)

    def _make_discovery(self, configuration: Configuration) -> DiscoveryClient:
        on_change: ListListener = self.service.listed
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
        )

    def _has_spare_descriptor(self) -> bool:
        used = self.clients.descriptor_count + self._engines.connection_count() + startup.OWN_DESCRIPTORS
        return used < self._shares.total

    def _apply_known_list(self, configuration: Configuration) -> None:
        error = self.discovery.apply(configuration.known_list)
        if error is not None:
            raise StartupError(f"the list known at the start: {error}")

    def _open_extensions(self) -> None:
        for extension in self._extensions:
            extension.open()
        for extension in self._extensions:
            extension.start()

    def run(self) -> None:
        """Serves until a signal ends the program. Raises StartupError where a port could not be opened."""
        self.discovery.start()
        self._sweep()
        self.reactor.addSystemEventTrigger("before", "shutdown", self._shutdown.begin)
        log.info("serving")
        self._garbage.take_over()
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
        log.info("ended", broken=self.service.guard.violations())
        if self._failure is not None:
            raise StartupError(self._failure)

    def reload(self, path: str) -> None:
        """Reads the configuration again, for SIGHUP."""
        self._reload.read_again(path)

    def _fail(self, why: str) -> None:
        self._failure = why
        self._termination.request()

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self._sweep)  # first: an error below must not be the last sweep
        self.service.sweep()
        self.events.sweep()
        late_s = self.reactor.latest()
        if late_s > STALL_S:
            log.warning("event loop stalled", ms=round(late_s * 1000))
        busy = any(extension.busy for extension in self._extensions)
        self._garbage.sweep(self.service.queries.open_count, bool(self._extensions), busy)

    # What extensions see: see `ExtensionHost`.

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
        self._internal_queries += 1
        reference = f"{stable_hash(self.name, self._internal_queries):016x}"
        return self.service.submit_internal(reference, service_class, statement, engine, memory, max_duration)

    def apply_settings(self, settings: dict[str, Any]) -> str | None:
        """See `ExtensionHost.apply_settings`."""
        return self._reload.apply(settings)

    def large_list_applied(self) -> None:
        """See `ExtensionHost.large_list_applied`."""
        self._garbage.leave_out_present()
