"""The start of the program: its configuration, the limits it divides, and the parts made from them."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.error import CannotListenError

from vanerelay import settings, settings_validation
from vanerelay.clock import Clock
from vanerelay.extension import StartupError
from vanerelay.interface import SECOND
from vanerelay.net.accepting_port import is_transient
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.engine_connection import ConnectionSettings
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.events import EventLog
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.service_settings import RawSettings
from vanerelay.policy.outlier_detection import MIN_SILENCE, OVERDUE_FACTOR

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_US, DEFAULT_IDLE_US = 250_000, 30_000_000
CLIENT_SHARE, OWN_DESCRIPTORS = 3, 16
"""Clients hold one part in three of the descriptors; the program itself a few."""
STATEMENT_SHARE = 4
"""The statements of open queries fill at most one part in so many of the memory."""
READY_AGAIN_S = 0.05
LISTEN_AGAIN_S, LISTEN_FOR_S = 0.05, 5.0
"""How often, and for how long, a port is tried again that the system refuses for a moment."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration file, under the names that the platform gives its keys."""

    raw: dict[str, Any]

    @property
    def limits(self) -> Mapping[str, Any]:
        """What the platform gives this process."""
        limits: Mapping[str, Any] = self.raw["limits"]
        return limits

    @property
    def raw_settings(self) -> RawSettings:
        """The settings, as the JSON object that was read."""
        raw_settings: RawSettings = self.raw["settings"]
        return raw_settings

    @property
    def discovery_address(self) -> str:
        """Where the discovery service listens."""
        return str(self.raw["feed"])

    @property
    def known_list(self) -> Any:
        """The answer of the discovery service to start with."""
        return self.raw["known"]

    @property
    def listen(self) -> str:
        """Host and port for clients; empty where none is configured."""
        return str(self.raw.get("listen", ""))

    @property
    def name(self) -> str:
        """The name of this gateway; empty where none is configured."""
        return str(self.raw.get("name", ""))

    @property
    def seed(self) -> int:
        """The seed of all that is drawn by chance."""
        return int(str(self.raw.get("seed", "0")), 16)

    @property
    def descriptors(self) -> int:
        """The number of descriptors that the process may hold."""
        return int(self.limits.get("sockets") or DEFAULT_DESCRIPTORS)

    @property
    def memory_bytes(self) -> int:
        """The memory that the process may take."""
        return int(self.limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 2**20

    def peers(self) -> PeerGossip | None:
        """The gossip with other gateways; None where it is not allowed or not configured."""
        allowed = settings.capabilities(self.raw_settings).may_gossip
        listen, everyone = self.raw.get("peer_listen"), self.raw.get("peers_all")
        if not allowed or not listen or not everyone:
            return None
        return PeerGossip(listen, self.raw.get("peers") or [], everyone)


def read_configuration(path: str) -> Configuration:
    """Reads a configuration file. Raises StartupError."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise StartupError(f"configuration {path}: {error}") from None
    required = ("limits", "feed", "known", "settings")
    missing = [name for name in required if not isinstance(raw, dict) or name not in raw]
    if missing:
        raise StartupError(f"configuration {path}: nothing told under {', '.join(missing)}")
    assert isinstance(raw, dict)
    why = settings_validation.find_error(raw["settings"])
    if why is not None:
        raise StartupError(f"configuration {path}: {why}")
    return Configuration(raw)


@dataclass(frozen=True, slots=True)
class SupervisorSockets:
    """What a supervisor hands down.

    Attributes:
        listen_fd: The socket that listens for clients.
        ready_fd: Where to write that queries are taken.
    """

    listen_fd: int | None = None
    ready_fd: int | None = None


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """How the descriptors of the process are divided."""

    total: int
    clients: int
    engines: int

    @classmethod
    def divide(cls, total: int) -> DescriptorShares:
        """Divides so many descriptors."""
        clients = max(1, total // CLIENT_SHARE)
        return cls(total, clients, max(1, total - clients - OWN_DESCRIPTORS))


def connect_timeout_s(raw_settings: RawSettings) -> float:
    """How long a connection may take to come up."""
    limits = raw_settings.get("limits") or {}
    return settings.ticks_floor(limits.get("dialTimeoutUs") or DEFAULT_CONNECT_US) / SECOND


def connection_settings(raw_settings: RawSettings) -> ConnectionSettings:
    """How connections to engines are used."""
    limits = raw_settings.get("limits") or {}
    allowed = settings.capabilities(raw_settings)
    return ConnectionSettings(
        max_attempts=int(limits.get("multiplex") or 1),
        may_cancel=allowed.may_cancel,
        may_hedge=allowed.may_hedge,
        connect_s=connect_timeout_s(raw_settings),
        idle_s=settings.ticks_floor(limits.get("connIdleUs") or DEFAULT_IDLE_US) / SECOND,
        stall_s=MIN_SILENCE * OVERDUE_FACTOR / SECOND,
    )


def make_engine_pool(
    reactor: Any,
    clock: Clock,
    pool: BufferPool,
    raw_settings: RawSettings,
    shares: DescriptorShares,
    events: EventLog,
) -> EnginePool:
    """The connections to engines, none of which is listed yet."""
    return EnginePool(
        reactor, pool, connection_settings(raw_settings), shares.engines, clock.after_recent_poll, events
    )


def rows(names: list[Any] | None) -> dict[str, int]:
    """The rows of what the settings list by name."""
    return {name: row for row, name in enumerate(names or [])}


class PortOpener:
    """Opens the ports, again and again for a while where the system refuses them for a moment."""

    def __init__(
        self,
        reactor: Any,
        clients: ClientListener,
        sockets: SupervisorSockets,
        shutting_down: Callable[[], bool],
        failed: Callable[[str], None],
    ) -> None:
        """`failed` is called with why the clients' port could not be opened after all."""
        self._reactor = reactor
        self._clients = clients
        self._sockets = sockets
        self._shutting_down = shutting_down
        self._failed = failed
        self._give_up_at = reactor.seconds() + LISTEN_FOR_S

    def open(self, listen: str, peers: PeerGossip | None) -> None:
        """Opens the clients' port and that of the peers. Raises StartupError."""
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
            if not self._may_try_again(error):
                raise
            self._reactor.callLater(LISTEN_AGAIN_S, self._open_clients_again, host, port)

    def _open_clients_again(self, host: str, port: int) -> None:
        if self._shutting_down():
            return
        try:
            self._open_clients(host, port)
        except CannotListenError as error:
            self._failed(f"cannot listen: {error}")

    def _open_peers(self, peers: PeerGossip) -> None:
        """Opens the peers' port. Under a supervisor it waits until the predecessor has let go of it."""
        try:
            peers.open(self._reactor)
        except CannotListenError as error:
            if self._sockets.listen_fd is None and not self._may_try_again(error):
                raise
            self._reactor.callLater(LISTEN_AGAIN_S, self._open_peers, peers)

    def _may_try_again(self, error: CannotListenError) -> bool:
        if not is_transient(error) or self._reactor.seconds() >= self._give_up_at:
            return False
        log.warning("cannot listen yet", why=str(error))
        return True


def report_ready(reactor: Any, ready: Callable[[], bool], descriptor: int) -> None:
    """Tells the supervisor, once queries are taken."""
    if not ready():
        reactor.callLater(READY_AGAIN_S, report_ready, reactor, ready, descriptor)
        return
    os.write(descriptor, b"ready\n")
