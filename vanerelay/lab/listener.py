"""Listening ports of a scenario: where one party connects to reach another."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.protocol import Factory

from vanerelay.lab.faulty_connection import ConnectionEnd, FaultyConnection, TcpEnd

if TYPE_CHECKING:
    from vanerelay.lab.fault_network import Network


class ListenerState(Enum):
    """How a listening port meets new connections."""

    OPEN = "open"
    CLOSED = "closed"
    """Connections are refused."""
    SILENT = "silent"
    """Nobody answers: connections are neither accepted nor refused."""


class Listener(Factory):
    """Where the party `client` connects to reach the party `server`."""

    noisy = False

    def __init__(
        self,
        network: Network,
        client: str,
        server: str,
        host: str,
        accepted: Callable[[FaultyConnection], ConnectionEnd | None],
    ) -> None:
        """`accepted` returns the server's end, or None where it is attached later (by a proxy)."""
        self._network, self._client, self._server = network, client, server
        self._host, self._accepted = host, accepted
        self._port: Any = network.reactor.listenTCP(0, self, interface=host)
        self._port_number: int = self._port.getHost().port
        self._silent_sockets = list[socket.socket]()
        self._state = self._wanted_state = ListenerState.OPEN
        self._server_is_up, self._is_changing = True, False

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self._host}:{self._port_number}"

    def buildProtocol(self, addr: Any) -> TcpEnd:
        """A process has connected."""
        connection = FaultyConnection(self._network, self._client, self._server)
        end = TcpEnd(connection)
        connection.attach(client=end, server=self._accepted(connection))
        return end

    def update(self, server_is_up: bool | None = None) -> None:
        """Takes the state that the link and the server ask for; None: the server is as it was."""
        if server_is_up is not None:
            self._server_is_up = server_is_up
        self._wanted_state = self._state_by_link()
        if self._wanted_state is not self._state and not self._is_changing:
            self._is_changing = True
            self._leave_state().addCallback(self._enter_state)

    def _state_by_link(self) -> ListenerState:
        there = self._network.link(self._client, self._server)
        back = self._network.link(self._server, self._client)
        if there.is_held or there.is_dropping or back.is_held or back.is_dropping:
            return ListenerState.SILENT
        if there.is_refusing or not self._server_is_up:
            return ListenerState.CLOSED
        return ListenerState.OPEN

    def _leave_state(self) -> Deferred[Any]:
        """The port is free once this fires."""
        for silent_socket in self._silent_sockets:
            silent_socket.close()
        self._silent_sockets.clear()
        if self._state is ListenerState.OPEN:
            return maybeDeferred(self._port.stopListening)
        return succeed(None)

    def _enter_state(self, _: Any) -> None:
        self._state, self._is_changing = self._wanted_state, False
        if self._state is ListenerState.OPEN:
            self._port = self._network.reactor.listenTCP(self._port_number, self, interface=self._host)
        elif self._state is ListenerState.SILENT:
            self._listen_silently()

    def _listen_silently(self) -> None:
        """Listens without accepting, its backlog of one filled by ourselves: whatever else comes waits."""
        for _ in range(2):
            silent_socket = socket.socket()
            silent_socket.setblocking(False)
            self._silent_sockets.append(silent_socket)
        listener, filler = self._silent_sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port_number))
        listener.listen(0)
        with contextlib.suppress(BlockingIOError):
            filler.connect((self._host, self._port_number))

    def stop(self) -> None:
        """Frees the port; no later update opens it again."""
        self._is_changing = True
        self._leave_state()


__all__ = ["Listener", "ListenerState"]
