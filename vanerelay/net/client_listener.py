"""All client connections: the port they come through, and the descriptors and the time each may take."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.protocol import Factory

from vanerelay.clock import Clock
from vanerelay.net.accepting_port import AcceptingPort
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_connection import CLIENT_IDLE_TIMEOUT_S, ClientConnection, QueryService
from vanerelay.net.events import EventLog
from vanerelay.net.rate_limited_log import RateLimitedLog

UNUSED_TIMEOUT_S = 2 * CLIENT_IDLE_TIMEOUT_S
"""Who keeps a connection for longer without a request has forgotten it."""
FRAME_TIMEOUT_S, SWEEP_INTERVAL_S = 2.0, 0.25
"""The time for a whole frame, and between two sweeps: a client that sends none is ended within 3 s."""

log = structlog.get_logger()


class ClientListener(Factory):
    """All client connections, and the port they come through.

    Ordered dicts stand for ordered sets here: the longest unused connection, the oldest of those that linger,
    and the first whose frame is overdue come first.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        service: QueryService,
        pool: BufferPool,
        max_connections: int,
        has_spare_descriptor: Callable[[], bool],
        events: EventLog | None = None,
    ) -> None:
        """Past `max_connections` one more is kept while there is a spare descriptor."""
        self.reactor = reactor
        self.clock = clock
        self.service = service
        self.pool = pool
        self.events = events or EventLog(reactor)
        self._max_connections = max_connections
        self._has_spare_descriptor = has_spare_descriptor
        self._connections: OrderedDict[ClientConnection, None] = OrderedDict()
        self._lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self._frame_due: OrderedDict[ClientConnection, float] = OrderedDict()
        self._port: Any = None
        self._accept_failed_at: int | None = None
        self.protocol_errors = RateLimitedLog(reactor, "client protocol error")
        self._limit_warning = RateLimitedLog(reactor, "client connections at their limit")
        reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def buildProtocol(self, addr: object) -> ClientConnection:
        """The driver of a connection that was accepted."""
        return ClientConnection(self)

    def listen(self, host: str, port: int, descriptor: int | None = None) -> None:
        """Opens the port.

        Args:
            host: The address to listen at.
            port: The port number, 0 for any.
            descriptor: A socket that listens there already, and stays open when we stop.
        """
        factory: Any = self
        if descriptor is None:
            self._port = AcceptingPort(port, factory, self._max_connections, host, self.reactor)
        else:
            port_type: Any = AcceptingPort
            self._port = port_type._fromListeningDescriptor(self.reactor, descriptor, socket.AF_INET, factory)
            self._port.backlog = self._max_connections
        self._port.startListening()

    @property
    def descriptor_count(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self._connections) + len(self._lingering)

    def admit(self, connection: ClientConnection) -> bool:
        """Whether there is a descriptor for it: the longest idle connection goes before none is left."""
        self._connections[connection] = None
        self.expect_frame(connection, True)
        self._limit_lingering()
        if len(self._connections) <= self._max_connections:
            return True
        self._limit_warning.warn(connections=len(self._connections))
        # One that came later may be about to send its first request, and goes last (seen as first requests
        # failed, rd6423a).
        new_since = self.reactor.seconds() - SWEEP_INTERVAL_S
        if self._end_silent(new_since):
            return True
        idle = self._longest_idle(new_since)
        if idle is None:
            # What it has sent already would be lost by an end: only where no descriptor is left.
            return self._has_spare_descriptor()
        idle.end("idle, and others want its descriptor")
        return True

    def _end_silent(self, new_since: float) -> bool:
        """Ends a connection on which no request ever came, if there is one that is not new; whether it did.

        It goes before one that has been of use: connections come by the hundred and stay silent. Its socket
        is read once more, as its first request may wait there.
        """
        silent = next((other for other in self._frame_due if other.silent), None)
        if silent is None or silent.used_at >= new_since:
            return False
        silent.read_waiting()
        if not silent.silent:
            return False
        silent.end("silent, and others want its descriptor")
        return True

    def _longest_idle(self, new_since: float) -> ClientConnection | None:
        for connection in self._connections:
            if not connection.open and (not connection.silent or connection.used_at < new_since):
                return connection
        return None

    def accept_failed(self) -> None:
        """Somebody may wait to be accepted from now on, and send meanwhile."""
        if self._accept_failed_at is None:
            self._accept_failed_at = self.clock.previous_poll_at

    def backlog_emptied(self) -> None:
        """All that waited were accepted."""
        self._accept_failed_at = None

    def connected_after(self) -> int:
        """The last moment at which a client that is accepted now had not come."""
        failed_at = self._accept_failed_at
        return (
            self.clock.previous_poll_at if failed_at is None else min(failed_at, self.clock.previous_poll_at)
        )

    def connections(self) -> list[ClientConnection]:
        """The connections, the longest unused first."""
        return list(self._connections)

    def linger(self, connection: ClientConnection) -> None:
        """Our side has ended; it holds its descriptor until the client's own end comes."""
        self._connections.pop(connection, None)
        self._frame_due.pop(connection, None)
        self._lingering[connection] = None
        self._limit_lingering()

    def _limit_lingering(self) -> None:
        """Those that were ended have what the others leave of the share."""
        while self._lingering and self.descriptor_count > self._max_connections:
            self._lingering.popitem(last=False)[0].close()

    def mark_used(self, connection: ClientConnection) -> None:
        """The connection was of use just now."""
        connection.used_at = self.reactor.seconds()
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def expect_frame(self, connection: ClientConnection, expected: bool) -> None:
        """Whether it owes the rest of a frame, or its first one; said again, the time runs on."""
        if not expected:
            self._frame_due.pop(connection, None)
        elif connection not in self._frame_due and connection in self._connections:
            self._frame_due[connection] = self.reactor.seconds() + FRAME_TIMEOUT_S

    def _sweep(self) -> None:
        """Ends those whose frame is overdue, and those that nobody uses any more."""
        now = self.reactor.seconds()
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        while self._frame_due and next(iter(self._frame_due.values())) <= now:
            connection, _ = self._frame_due.popitem(last=False)
            connection.end_with_protocol_error("no complete frame came")
        for connection in list(self._connections):
            if now - connection.used_at < UNUSED_TIMEOUT_S:
                break
            if not connection.open and not connection.ended:
                connection.end("idle")

    def remove(self, connection: ClientConnection) -> None:
        """The connection is no more."""
        self._connections.pop(connection, None)
        self._frame_due.pop(connection, None)
        self._lingering.pop(connection, None)

    def stop_listening(self) -> None:
        """Closes the port, once all that wait there are accepted."""
        if self._port is not None:
            self._port.accept_remaining()  # the close would reset what was not accepted
            self._port.stopListening()
            self._port = None

    def for_each(self, call: Callable[[ClientConnection], None]) -> None:
        """Calls for every connection; a fault at one is logged and keeps none of the others."""
        for connection in list(self._connections):
            try:
                call(connection)
            except Exception:
                log.exception("error in a client's connection")
