"""Clients: the driver that reads frames and writes answers, and the share of descriptors they hold."""
from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

import structlog
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.tcp import Port
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.net import frames
from vanerelay.net.buffers import Pool
from vanerelay.net.clock import Clock

IDLE_S = 4.0  # clients close connections idle for this long; one that takes nothing for as long is given up

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class Asked(Interface):
    """A request as this driver sees it: somebody to tell that the client has left."""

    def left(self) -> None: ...


class Served(Interface):
    """What the driver asks of the service."""

    def request(self, client: ClientConnection, frame: frames.Frame, since: int) -> Asked | None: ...

    def ready(self) -> bool: ...


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection. Requests open on it go by their stream."""

    transport: Any

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = frames.FrameReader(clients.pool)
        self.open: dict[int, Asked] = {}
        # What is read by this pass may have come by that moment, which is earlier than the last look.
        self._earlier, self._until_pass = 0, -1
        self._last_frame_sent = self._closing = self._deaf = self._lost = False
        self._stuck: Any = None
        self._paused_since: int | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # What the client sent before it was accepted was there while nobody looked at its socket.
        self._may_be_older(self._clients.clock.looked)
        # The transport says when its buffer is over its size; nothing more is read until it has drained.
        self.transport.registerProducer(self, True)
        if not self._clients.joined(self):
            self.end()

    def dataReceived(self, data: bytes) -> None:
        since = self._since()
        if len(data) >= self.transport.bufferSize:
            # A read that took as much as it may has left more behind, that had come as early.
            self._may_be_older(since)
        self._read(data, since)

    def _may_be_older(self, since: int) -> None:
        self._earlier, self._until_pass = since, self._clients.clock.passes + 1

    def _since(self) -> int:
        """The last moment at which what is read now had not come."""
        clock = self._clients.clock
        return self._earlier if clock.passes <= self._until_pass else clock.looked

    def _read(self, data: bytes, since: int) -> None:
        for frame in () if self._deaf else self._reader.feed(data):
            if isinstance(frame, frames.Malformed):
                log.warning("client sent what cannot be read", why=frame.why)
                # The rest of this connection cannot be told apart. What was taken on it is still answered.
                self._write(frames.answer(frames.ANSWER, 0, frames.ERRORED, {}))
                self._deaf = True
                self.end_when_answered()
                return
            try:
                self._frame(frame, since)
            except Exception:
                log.exception("a client's frame met a fault")
                if frame.kind == frames.REQUEST:
                    self.answer(frame.stream, frames.ERRORED, {}, b"")

    def _frame(self, frame: frames.Frame, since: int) -> None:
        self._clients.used(self)
        if frame.kind == frames.READY:
            code = frames.RETURNED if self._clients.service.ready() else frames.PUSHED_BACK
            self._write(frames.answer(frames.READINESS, frame.stream, code, {}))
        elif frame.kind == frames.LEAVE:
            asked = self.open.pop(frame.stream, None)
            if asked is not None:
                asked.left()
            self._rest()
        elif len(self.open) >= frames.OPEN_MOST:
            self._write(frames.answer(frames.ANSWER, frame.stream, frames.PUSHED_BACK, {}))
        else:
            asked = self._clients.service.request(self, frame, since)
            if asked is not None:
                self.open[frame.stream] = asked

    def _write(self, data: bytes) -> None:
        """Hands bytes over and has them sent now: Twisted alone would wait for the end of its pass, which is
        long when much has come at once. What could not be sent, or the connection's end, it finds itself."""
        self.transport.write(data)
        self.transport.doWrite()

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes) -> None:
        """The one answer of a request, whole; nothing where its client is gone."""
        self.open.pop(stream, None)
        if not self._lost:
            self._write(frames.answer(frames.ANSWER, stream, code, fields, body))
            self._clients.used(self)
            self._rest()

    def last(self) -> None:
        """Asks for no new request on this connection."""
        if not self._last_frame_sent and not self._lost:
            self._last_frame_sent = True
            self._write(frames.frame(frames.LAST, 0))

    def end_when_answered(self) -> None:
        """Ends once nothing is open; what still comes until then is taken and answered like all else."""
        self._closing = True
        self._rest()

    def end(self) -> None:
        self._closing = self._deaf = True
        if not self._lost:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _rest(self) -> None:
        if self._closing and not self.open:
            self.end()

    # The transport's word on how its buffer stands.

    def pauseProducing(self) -> None:
        self.transport.pauseProducing()
        if self._paused_since is None:
            self._paused_since = self._since()
        if self._stuck is None:
            self._stuck = self._clients.reactor.callLater(IDLE_S, self._give_up)

    def resumeProducing(self) -> None:
        if self._stuck is not None:
            self._stuck.cancel()
            self._stuck = None
        if self._paused_since is not None:
            self._may_be_older(self._paused_since)
            self._paused_since = None
        if not self._lost:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        pass

    def _give_up(self) -> None:
        self._stuck = None
        log.warning("client takes no answers, its connection is ended")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = GONE) -> None:
        self._lost = True
        if self._stuck is not None:
            self._stuck.cancel()
            self._stuck = None
        self._reader.drop()
        self._clients.parted(self)
        gone, self.open = list(self.open.values()), {}
        for asked in gone:
            try:
                asked.left()
            except Exception:
                log.exception("a client's leaving met a fault")


class Listener(Port):
    """Accepts all that wait in each pass. Twisted's own takes few at first, and how long the rest had waited,
    and what they had sent, would not be known."""

    @property
    def numberAccepts(self) -> int:
        return self.backlog

    @numberAccepts.setter
    def numberAccepts(self, _: int) -> None:
        pass


class Clients(Factory):
    """All client connections, and the port they come through."""

    noisy = False

    def __init__(self, reactor: Any, clock: Clock, service: Served, pool: Pool, most: int,
                 spare: Callable[[], bool]) -> None:
        """`most` connections are their share; past it one more is kept while there is a spare descriptor."""
        self._spare = spare
        self.reactor, self.clock, self.service, self.pool, self._most = reactor, clock, service, pool, most
        self._all: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest unused first
        self._port: Any = None
        self._full = False

    def buildProtocol(self, addr: object) -> ClientConnection:
        return ClientConnection(self)

    def listen(self, host: str, port: int) -> None:
        factory: Any = self
        self._port = Listener(port, factory, self._most, host, self.reactor)
        self._port.startListening()

    @property
    def number(self) -> int:
        return len(self._all)

    def joined(self, connection: ClientConnection) -> bool:
        """Whether there is room: the longest idle connection goes before the share runs out."""
        self._all[connection] = None
        if len(self._all) <= self._most:
            self._full = False
            return True
        if not self._full:
            self._full = True
            log.warning("clients hold their share of the descriptors", connections=len(self._all))
        idle = next((other for other in self._all if not other.open and other is not connection), None)
        if idle is None:
            # Turned away, what it has sent already would be lost: only where no descriptor is left.
            return self._spare()
        del self._all[idle]
        idle.end()
        return True

    def used(self, connection: ClientConnection) -> None:
        if connection in self._all:
            self._all.move_to_end(connection)

    def parted(self, connection: ClientConnection) -> None:
        self._all.pop(connection, None)

    def stop_listening(self) -> None:
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def each(self, call: Callable[[ClientConnection], None]) -> None:
        for connection in list(self._all):
            call(connection)
