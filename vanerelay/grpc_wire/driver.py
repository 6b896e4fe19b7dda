"""The sockets of gRPC connections. Thin: reads, writes and waits; a peer that does not read is not written
to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.clock import Clock
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.session import ClientSession, Opener, ServerSession, Session
from vanerelay.interface import SECOND
from vanerelay.net.rate_limited_log import RateLimitedLog

log = structlog.get_logger()

Make = Callable[["Connection"], Session]


@implementer(IPushProducer)
class Connection(Protocol):
    """One connection."""

    transport: Any

    def __init__(
        self, reactor: Any, clock: Clock, make: Make, over: Callable[[Connection, str], None]
    ) -> None:
        self._reactor, self._clock, self._over = reactor, clock, over
        self._paused = self._writing = False
        self._woken: Any = None
        self._timer: Any = None
        self._up = True
        self.session = make(self)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._write()

    def dataReceived(self, data: bytes) -> None:
        try:
            self.session.feed(self._clock.now(), data)
        except Exception:
            log.exception("a gRPC connection met a fault")
            self.session.lost("a fault")
        self._write()

    def wake(self) -> None:
        """Something waits to be sent: once this pass is done."""
        if self._up and self._woken is None and not self._writing:
            self._woken = self._reactor.callLater(0, self._write)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        self._write()

    def stopProducing(self) -> None:
        self._paused = True

    def _write(self) -> None:
        woken, self._woken = self._woken, None
        if woken is not None and woken.active():
            woken.cancel()
        if not self._up or self.transport is None:
            return
        self._writing = True
        while not self._paused and (data := self.session.outgoing()):
            self.transport.write(data)
        self._writing = False
        if self.session.ended or self.session.ending and not self.session.calls:
            self._up = False
            self.transport.unregisterProducer()
            # What it is told with is let go, but not for ever: it may never read again.
            self.transport.loseConnection()
            self._reactor.callLater(1.0, self.transport.abortConnection)
            return
        self._wait()

    def _wait(self) -> None:
        delay = max(10, self.session.due() - self._clock.now()) / SECOND
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self._reactor.callLater(delay, self._tick)

    def _tick(self) -> None:
        self.session.tick(self._clock.now())
        self._write()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._up = False
        for timer in (self._timer, self._woken):
            if timer is not None and timer.active():
                timer.cancel()
        self.session.lost("the connection is gone")
        self._over(self, self.session.ended)


class Server(Factory):
    """Listens. Past `most` connections a new one is closed at once."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, limits: Limits, most: int, opener: Opener) -> None:
        self._reactor, self._clock, self._limits, self._most, self._opener = (
            reactor,
            clock,
            limits,
            most,
            opener,
        )
        self.open = set[Connection]()
        self._full = RateLimitedLog(reactor, "as many gRPC connections as are allowed")
        self._bad = RateLimitedLog(reactor, "a gRPC peer does not keep to the protocol")

    def buildProtocol(self, addr: Any) -> Connection | None:
        if len(self.open) >= self._most:
            self._full.warn(connections=len(self.open), peer=str(getattr(addr, "host", "")))
            return None
        connection = Connection(self._reactor, self._clock, self._session, self._over)
        self.open.add(connection)
        return connection

    def _session(self, connection: Connection) -> Session:
        return ServerSession(self._clock.now(), self._limits, connection.wake, self._opener)

    def _over(self, connection: Connection, why: str) -> None:
        self.open.discard(connection)
        if why not in ("the connection is gone", "silent", "closed"):
            self._bad.warn(why=why)

    def drain(self) -> None:
        for connection in list(self.open):
            connection.session.drain()


class Client(Factory):
    """Makes one connection, for calls to one authority."""

    noisy = False

    def __init__(
        self, reactor: Any, clock: Clock, limits: Limits, authority: str, over: Callable[[str], None]
    ) -> None:
        self._reactor, self._clock, self._limits, self._authority = reactor, clock, limits, authority
        self._over = over

    def buildProtocol(self, addr: Any) -> Connection:
        return Connection(
            self._reactor,
            self._clock,
            lambda connection: ClientSession(
                self._clock.now(), self._limits, connection.wake, self._authority
            ),
            lambda _, why: self._over(why),
        )
