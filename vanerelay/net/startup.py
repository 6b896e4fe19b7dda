"""The start of a gateway process: its configuration file, how its limits are divided, and its ports."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.error import CannotListenError

from vanerelay import settings, settings_validation
from vanerelay.extension import StartupError
from vanerelay.interface import SECOND
from vanerelay.net.accepting_port import is_transient
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.engine_connection import ConnectionSettings
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.events import EventLog
from vanerelay.net.memory_budget import MemoryBudget
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.service_settings import RawSettings
from vanerelay.policy.outlier_detection import MIN_SILENCE, OVERDUE_FACTOR

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_US, DEFAULT_IDLE_TIMEOUT_US = 250_000, 30_000_000
CLIENT_DESCRIPTOR_DIVISOR, RESERVED_DESCRIPTORS = 3, 16
"""Clients may use a third of the descriptors; a few are reserved for the process itself."""
STATEMENT_MEMORY_DIVISOR = 4
"""The statements of open queries may take the memory limit divided by this."""
READY_CHECK_INTERVAL_S = 0.05
LISTEN_RETRY_INTERVAL_S, LISTEN_RETRY_TIMEOUT_S = 0.05, 5.0
"""The retry interval and the total time to open a port after a transient error of the system."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The content of the configuration file.

    Attributes:
        raw: The JSON object of the file, with the platform's names as keys.
    """

    raw: dict[str, Any]

    @property
    def limits(self) -> Mapping[str, Any]:
        """The resource limits that the platform sets for this process."""
        limits: Mapping[str, Any] = self.raw["limits"]
        return limits

    @property
    def raw_settings(self) -> RawSettings:
        """The settings as the JSON object that was read."""
        raw_settings: RawSettings = self.raw["settings"]
        return raw_settings

    @property
    def discovery_address(self) -> str:
        """Host and port of the discovery service."""
        return str(self.raw["feed"])

    @property
    def initial_list(self) -> Any:
        """The initial engine list, in the form of an answer of the discovery service."""
        return self.raw["known"]

    @property
    def listen(self) -> str:
        """Host and port for clients; empty if not configured."""
        return str(self.raw.get("listen", ""))

    @property
    def name(self) -> str:
        """The name of this gateway; empty if not configured."""
        return str(self.raw.get("name", ""))

    @property
    def seed(self) -> int:
        """The seed of all random generators."""
        return int(str(self.raw.get("seed", "0")), 16)

    @property
    def descriptors(self) -> int:
        """The number of file descriptors that the process may have open."""
        return int(self.limits.get("sockets") or DEFAULT_DESCRIPTORS)

    @property
    def memory_bytes(self) -> int:
        """The memory limit of the process in bytes."""
        return int(self.limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 2**20

    def peers(self) -> PeerGossip | None:
        """Returns the gossip with other gateways; None if it is not allowed or not configured."""
        allowed = settings.capabilities(self.raw_settings).may_gossip
        listen, broadcast_address = self.raw.get("peer_listen"), self.raw.get("peers_all")
        if not allowed or not listen or not broadcast_address:
            return None
        return PeerGossip(listen, self.raw.get("peers") or [], broadcast_address)


def read_configuration(path: str) -> Configuration:
    """Reads a configuration file. Raises StartupError if it cannot be read or is not valid."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise StartupError(f"configuration {path}: {error}") from None
    required = ("limits", "feed", "known", "settings")
    missing = [name for name in required if not isinstance(raw, dict) or name not in raw]
    if missing:
        raise StartupError(f"configuration {path}: required keys are missing: {', '.join(missing)}")
    assert isinstance(raw, dict)
    why = settings_validation.find_error(raw["settings"])
    if why is not None:
        raise StartupError(f"configuration {path}: {why}")
    return Configuration(raw)


@dataclass(frozen=True, slots=True)
class SupervisorSockets:
    """The descriptors that a supervisor passes on; None for each that it does not.

    Attributes:
        listen_fd: The listening socket for clients.
        ready_fd: The pipe to which the process writes once it accepts queries.
    """

    listen_fd: int | None = None
    ready_fd: int | None = None


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """The numbers of file descriptors for clients and for engines.

    Attributes:
        total: The limit of the process.
    """

    total: int
    clients: int
    engines: int

    @classmethod
    def divide(cls, total: int) -> DescriptorShares:
        """Divides the limit of the process."""
        clients = max(1, total // CLIENT_DESCRIPTOR_DIVISOR)
        return cls(total, clients, max(1, total - clients - RESERVED_DESCRIPTORS))


def connect_timeout_s(raw_settings: RawSettings) -> float:
    """Returns the timeout for connecting, in seconds."""
    limits = raw_settings.get("limits") or {}
    return settings.ticks_floor(limits.get("dialTimeoutUs") or DEFAULT_CONNECT_TIMEOUT_US) / SECOND


def connection_settings(raw_settings: RawSettings) -> ConnectionSettings:
    """Returns the settings of connections to engines."""
    limits = raw_settings.get("limits") or {}
    allowed = settings.capabilities(raw_settings)
    return ConnectionSettings(
        max_attempts=int(limits.get("multiplex") or 1),
        may_cancel=allowed.may_cancel,
        may_hedge=allowed.may_hedge,
        connect_s=connect_timeout_s(raw_settings),
        idle_s=settings.ticks_floor(limits.get("connIdleUs") or DEFAULT_IDLE_TIMEOUT_US) / SECOND,
        stall_s=MIN_SILENCE * OVERDUE_FACTOR / SECOND,
    )


def make_engine_pool(
    reactor: Any,
    pool: BufferPool,
    raw_settings: RawSettings,
    shares: DescriptorShares,
    events: EventLog,
    memory: MemoryBudget,
) -> EnginePool:
    """Returns a connection pool that knows no engines yet."""
    return EnginePool(reactor, pool, connection_settings(raw_settings), shares.engines, events, memory)


def index_by_name(names: list[Any] | None) -> dict[str, int]:
    """Returns the index of each name in a list of the settings."""
    return {name: index for index, name in enumerate(names or [])}


class PortOpener:
    """Opens the ports, and retries for a limited time after transient errors of the system."""

    def __init__(
        self,
        reactor: Any,
        clients: ClientListener,
        sockets: SupervisorSockets,
        shutting_down: Callable[[], bool],
        on_failure: Callable[[str], None],
    ) -> None:
        """`on_failure` is called with the reason if retries to open the clients' port fail too."""
        self._reactor = reactor
        self._clients = clients
        self._sockets = sockets
        self._shutting_down = shutting_down
        self._on_failure = on_failure
        self._retry_until = reactor.seconds() + LISTEN_RETRY_TIMEOUT_S

    def open(self, listen: str, peers: PeerGossip | None) -> None:
        """Opens the ports for clients and peers. Raises StartupError if that fails and is not retried."""
        host, _, port = listen.rpartition(":")
        try:
            self._open_clients(host, int(port))
            if peers is not None:
                self._open_peers(peers)
        except (CannotListenError, ValueError, OverflowError) as error:
            raise StartupError(f"cannot listen: {error}") from None

    def _open_clients(self, host: str, port: int) -> None:
        try:
            self._clients.listen(host, port, self._sockets.listen_fd)
        except CannotListenError as error:
            if not self._may_retry(error):
                raise
            self._reactor.callLater(LISTEN_RETRY_INTERVAL_S, self._retry_open_clients, host, port)

    def _retry_open_clients(self, host: str, port: int) -> None:
        if self._shutting_down():
            return
        try:
            self._open_clients(host, port)
        except CannotListenError as error:
            self._on_failure(f"cannot listen: {error}")

    def _open_peers(self, peers: PeerGossip) -> None:
        """Opens the peers' port. Under a supervisor it retries until the previous process closes it."""
        try:
            peers.open(self._reactor)
        except CannotListenError as error:
            if self._sockets.listen_fd is None and not self._may_retry(error):
                raise
            self._reactor.callLater(LISTEN_RETRY_INTERVAL_S, self._open_peers, peers)

    def _may_retry(self, error: CannotListenError) -> bool:
        if not is_transient(error) or self._reactor.seconds() >= self._retry_until:
            return False
        log.warning("opening a port failed, trying again", why=str(error))
        return True


def report_ready(reactor: Any, ready: Callable[[], bool], descriptor: int) -> None:
    """Notifies the supervisor as soon as this gateway accepts queries."""
    if not ready():
        reactor.callLater(READY_CHECK_INTERVAL_S, report_ready, reactor, ready, descriptor)
        return
    os.write(descriptor, b"ready\n")
