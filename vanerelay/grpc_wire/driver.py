"""The sockets of gRPC connections. Thin: reads, writes and waits.

A peer that does not read is not written to.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.clock import Clock
from vanerelay.grpc_wire.client_session import ClientSession
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.server_session import CallHandler, ServerSession
from vanerelay.grpc_wire.session import CLOSED, SILENT, Session
from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.net.rate_limited_log import RateLimitedLog

CONNECTION_LOST = "the connection is gone"
"""The end reason of a connection that the peer closed or the network lost."""

ORDINARY_REASONS = frozenset({CONNECTION_LOST, SILENT, CLOSED})
"""End reasons that say nothing against the peer's protocol."""

LINGER_S = 1.0
"""How long a closing connection has to let its last bytes go: the peer may never read again."""

MIN_TICK_DELAY = 1 * MILLISECOND
"""The shortest wait between two ticks, so that an overdue session does not spin."""

log = structlog.get_logger()


@implementer(IPushProducer)
class GrpcConnection(Protocol):
    """One connection's socket, around its session."""

    transport: Any

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        make_session: Callable[[GrpcConnection], Session],
        on_lost: Callable[[GrpcConnection, str], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._on_lost = on_lost
        self._paused = False
        self._writing = False
        self._open = True
        self._write_timer: DelayedCall | None = None
        self._tick_timer: DelayedCall | None = None
        self.session = make_session(self)

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._write()

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes came."""
        try:
            self.session.feed(self._clock.now(), data)
        except Exception:
            log.exception("a gRPC connection met a fault")
            self.session.connection_lost("a fault")
        self._write()

    def wake(self) -> None:
        """The session has data to send: written once this pass of the event loop is done."""
        if self._open and self._write_timer is None and not self._writing:
            self._write_timer = self._reactor.callLater(0, self._write)

    def pauseProducing(self) -> None:
        """Twisted: the peer does not read."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Twisted: the peer reads again."""
        self._paused = False
        self._write()

    def stopProducing(self) -> None:
        """Twisted: nothing can be written any more."""
        self._paused = True

    def _write(self) -> None:
        timer, self._write_timer = self._write_timer, None
        if timer is not None and timer.active():
            timer.cancel()
        if not self._open or self.transport is None:
            return
        self._writing = True
        while not self._paused and (data := self.session.data_to_send()):
            self.transport.write(data)
        self._writing = False
        if self.session.end_reason or (self.session.draining and not self.session.calls):
            self._close()
        else:
            self._schedule_tick()

    def _close(self) -> None:
        self._open = False
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._reactor.callLater(LINGER_S, self.transport.abortConnection)

    def _schedule_tick(self) -> None:
        delay_s = max(MIN_TICK_DELAY, self.session.next_tick_at() - self._clock.now()) / SECOND
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.reset(delay_s)
        else:
            self._tick_timer = self._reactor.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        self.session.tick(self._clock.now())
        self._write()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Twisted: the connection is gone."""
        self._open = False
        for timer in (self._tick_timer, self._write_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.session.connection_lost(CONNECTION_LOST)
        self._on_lost(self, self.session.end_reason)


class GrpcServerFactory(Factory):
    """Takes connections. Above `max_connections` a new one is closed at once."""

    noisy = False

    def __init__(
        self, reactor: Any, clock: Clock, limits: Limits, max_connections: int, handler: CallHandler
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._limits = limits
        self._max_connections = max_connections
        self._handler = handler
        self._connections = set[GrpcConnection]()
        self._limit_log = RateLimitedLog(reactor, "limit of gRPC connections reached")
        self._violation_log = RateLimitedLog(reactor, "gRPC peer violated the protocol")

    def buildProtocol(self, addr: IAddress | None) -> GrpcConnection | None:
        """Twisted: a peer connects."""
        if len(self._connections) >= self._max_connections:
            self._limit_log.warn(connections=len(self._connections), peer=str(getattr(addr, "host", "")))
            return None
        connection = GrpcConnection(self._reactor, self._clock, self._make_session, self._connection_lost)
        self._connections.add(connection)
        return connection

    def _make_session(self, connection: GrpcConnection) -> Session:
        return ServerSession(self._clock.now(), self._limits, connection.wake, self._handler)

    def _connection_lost(self, connection: GrpcConnection, reason: str) -> None:
        self._connections.discard(connection)
        if reason not in ORDINARY_REASONS:
            self._violation_log.warn(reason=reason)

    def drain(self) -> None:
        """Takes no new calls on the open connections."""
        for connection in list(self._connections):
            connection.session.drain()


class GrpcClientFactory(Factory):
    """Makes one connection, for calls to one authority."""

    noisy = False

    def __init__(
        self, reactor: Any, clock: Clock, limits: Limits, authority: str, on_lost: Callable[[str], None]
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._limits = limits
        self._authority = authority
        self._on_lost = on_lost

    def buildProtocol(self, addr: IAddress | None) -> GrpcConnection:
        """Twisted: the connection is made."""
        return GrpcConnection(
            self._reactor, self._clock, self._make_session, lambda _, reason: self._on_lost(reason)
        )

    def _make_session(self, connection: GrpcConnection) -> Session:
        return ClientSession(self._clock.now(), self._limits, connection.wake, self._authority)
