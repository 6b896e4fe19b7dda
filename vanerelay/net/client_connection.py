"""Clients: the driver that reads frames and writes answers, and the share of descriptors they hold."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Any
from typing import Protocol as Interface

import structlog
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.clock import Clock
from vanerelay.interface import AnswerStatus
from vanerelay.net import frames
from vanerelay.net.buffers import Pool
from vanerelay.net.events import EventLog, Kind
from vanerelay.net.listener import Listener
from vanerelay.net.rate_limited_log import RateLimitedLog

IDLE_S = 4.0  # clients close connections idle for this long; one that takes nothing for as long is given up
KEPT_S = 2 * IDLE_S  # who keeps one longer without a request has forgotten it
LINGER_S = 1.0  # what a client sends after our end is read and dropped for so long, until its own end comes
FLUSH_S = 0.1  # for what has not left when a connection is closed
CLOGGED_BYTES = 262_144  # of answers that a client does not take, past which its further queries are rejected
# A client that sends nothing whole is owed an end within 3 s of connecting; each has its turn at a sweep.
WHOLE_S, SWEEP_S = 2.0, 0.25

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class RequestResult(Enum):
    """What became of a request that is not open now."""

    ANSWERED = "answered"
    UNUSABLE = "answered, and no engine could use it"


class Asked(Interface):
    """A request as this driver sees it: somebody to tell that the client has left."""

    def left(self) -> None: ...


class Served(Interface):
    """What the driver asks of the service."""

    def request(self, client: ClientConnection, frame: frames.Frame, since: int) -> Asked | RequestResult: ...

    def ready(self) -> bool: ...

    def may_close(self, unanswered: int) -> bool: ...


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection. Requests open on it go by their stream."""

    transport: Any

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients
        self._reader = frames.FrameReader(clients.pool)
        self.open: dict[int, Asked] = {}
        # What is read by this pass may have come by that moment, which is earlier than the last look.
        self._earlier, self._until_pass = 0, -1
        self._last_frame_sent = self._closing = self._deaf = self._lost = False
        self._stuck: Any = None
        self._lingers: Any = None
        self._clogged, self._unsent = False, 0  # the transport holds much that has not left; bytes since then
        self._unusable = 0
        self.used_at = clients.reactor.seconds()
        self.silent, self.ended = True, False  # whether nothing whole has come; whether it is to end now

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # What the client sent before it was accepted was there while nobody looked at its socket.
        self._may_be_older(self._clients.came_after())
        # The transport says when its buffer is over its size; nothing more is read until it has drained.
        self.transport.registerProducer(self, True)
        if not self._clients.joined(self):
            self.end("no descriptor is left")

    def dataReceived(self, data: bytes) -> None:
        since = self.since()
        if len(data) >= self.transport.bufferSize:
            self.left_behind()
        self._read(data, since)
        self._owe()

    def left_behind(self) -> None:
        """A look that took as much as it may has left more behind, that had come as early."""
        self._may_be_older(self.since())

    def _owe(self) -> None:
        waits = self.silent or self._reader.partial
        self._clients.owes(self, waits and not self._deaf)

    def _may_be_older(self, since: int) -> None:
        self._earlier, self._until_pass = since, self._clients.clock.passes + 1

    def since(self) -> int:
        """The last moment at which what is read now had not come."""
        clock = self._clients.clock
        return self._earlier if clock.passes <= self._until_pass else clock.looked

    def _read(self, data: bytes, since: int) -> None:
        for frame in () if self._deaf else self._reader.feed(data):
            if isinstance(frame, frames.Malformed):
                self.refuse(frame.why)
                return
            self._clients.owes(self, False)  # what may be owed from now on is another frame
            self.silent = False
            try:
                self._frame(frame, since)
            except Exception:
                log.exception("a client's frame met a fault")
                if frame.kind == frames.REQUEST:
                    self.answer(frame.stream, AnswerStatus.FAILED, {}, b"")

    def _frame(self, frame: frames.Frame, since: int) -> None:
        self._clients.used(self)
        if frame.kind == frames.READY:
            code = AnswerStatus.COMPLETED if self._clients.service.ready() else AnswerStatus.REJECTED
            self._write(frames.answer(frames.READINESS, frame.stream, code, {}))
        elif frame.kind == frames.LEAVE:
            asked = self.open.pop(frame.stream, None)
            if asked is not None:
                asked.left()
            self._rest()
        elif self._closing or self._clogged and self._unsent > CLOGGED_BYTES:
            self._write(frames.answer(frames.ANSWER, frame.stream, AnswerStatus.REJECTED, {}))
        elif len(self.open) >= frames.OPEN_MOST:
            self._write(frames.answer(frames.ANSWER, frame.stream, AnswerStatus.REJECTED, {}))
            self.refuse("more requests open than there may be")
        else:
            taken = self._clients.service.request(self, frame, since)
            if not isinstance(taken, RequestResult):
                self.open[frame.stream] = taken
            self._unusable = self._unusable + 1 if taken is RequestResult.UNUSABLE else 0
            if self._unusable >= frames.OPEN_MOST:
                self.refuse("one request after another that nobody can use")

    def refuse(self, why: str) -> None:
        """Ends the connection of a client that does not keep to the protocol: an error for it and for each
        query open, which nothing is done for any more. The rest cannot be told apart, and is not read."""
        if self._deaf:
            return
        self._deaf = True
        self._clients.refused.warn(why=why)
        self._fail_open()
        self._write(frames.answer(frames.ANSWER, 0, AnswerStatus.FAILED, {}))
        self.end("it does not keep to the protocol", why)

    def _fail_open(self) -> None:
        """The final answer of each query that is open here, for which nothing is done any more."""
        opened, self.open = self.open, {}
        for stream, asked in opened.items():
            self._write(frames.answer(frames.ANSWER, stream, AnswerStatus.FAILED, {}))
            self._leave(asked)

    def _leave(self, asked: Asked) -> None:
        try:
            asked.left()
        except Exception:
            log.exception("a client's leaving met a fault")

    def _write(self, data: bytes) -> None:
        """Hands bytes over and has them sent now: Twisted alone would wait for the end of its pass, which is
        long when much has come at once. What could not be sent, or the connection's end, it finds itself."""
        self._unsent = self._unsent + len(data) if self._clogged else 0
        self.transport.write(data)
        self.transport.doWrite()

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """The one answer of a request, whole; nothing where its client is gone."""
        self.open.pop(stream, None)
        if not self._lost:
            self._write(frames.answer(frames.ANSWER, stream, status, fields, body))
            self._clients.used(self)
            self._rest()

    def last(self) -> None:
        """Asks for no new request on this connection."""
        if not self._last_frame_sent and not self._lost:
            self._last_frame_sent = True
            self._write(frames.frame(frames.LAST, 0))

    def end_when_answered(self) -> None:
        """Ends once nothing is open. What had come until now is taken; what comes later is rejected at once,
        as little time may be left to answer it."""
        self.look()
        self._closing = True
        self._rest()

    def end(self, why: str, detail: str = "") -> None:
        """Ends our side once all has left. What the client still sends is read and dropped until its own end
        comes, for a while: a close over unread bytes is a reset, which takes answers along."""
        ended, self.ended, self._deaf = self.ended, True, True
        if ended or self._lost:
            return
        if not self._clients.service.may_close(len(self.open)):
            self._fail_open()
        self._clients.events.note(Kind.CLOSE, f"client, by us: {why}", detail=detail)
        self._reader.drop()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        span_s = IDLE_S if self._clogged else LINGER_S  # a slow client is owed what was answered
        self._lingers = self._clients.reactor.callLater(span_s, self.close)
        self._clients.lingers(self)

    def close(self) -> None:
        """Closes as soon as all has left, and shortly after in any case: nobody takes the rest."""
        if self._lingers is not None and self._lingers.active():
            self._lingers.cancel()
        if not self._lost:
            self.transport.loseConnection()
        if not self._lost:
            self._lingers = self._clients.reactor.callLater(FLUSH_S, self.transport.abortConnection)

    def look(self) -> None:
        """Reads what waits in its socket, before this connection is taken for one that rests."""
        if not self._deaf and not self._lost:
            self.transport.doRead()

    def _rest(self) -> None:
        if self._closing and not self.open:
            self.end("we end")

    # The transport's word on how its buffer stands.

    def pauseProducing(self) -> None:
        """Reading goes on, or it would not be noticed that the client has left; what it asks is bounded."""
        self._clogged = True
        if self._stuck is None:
            self._stuck = self._clients.reactor.callLater(IDLE_S, self._give_up)

    def resumeProducing(self) -> None:
        self._clogged, self._unsent = False, 0
        if self._stuck is not None:
            self._stuck.cancel()
            self._stuck = None

    def stopProducing(self) -> None:
        pass

    def _give_up(self) -> None:
        self._stuck = None
        log.warning("client takes no answers, its connection is ended", open=len(self.open))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = GONE) -> None:
        self._lost = True
        for timer in (self._stuck, self._lingers):
            if timer is not None and timer.active():
                timer.cancel()
        self._stuck = self._lingers = None
        self._reader.drop()
        self._clients.parted(self)
        if not self.ended:
            why = f"client, by it: {reason.type.__name__ if reason.type else 'unknown'}"
            self._clients.events.note(Kind.CLOSE, why, bool(self.open), open=len(self.open))
        gone, self.open = list(self.open.values()), {}
        for asked in gone:
            self._leave(asked)


class ClientListener(Factory):
    """All client connections, and the port they come through."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        service: Served,
        pool: Pool,
        most: int,
        spare: Callable[[], bool],
        events: EventLog | None = None,
    ) -> None:
        """`most` connections are their share; past it one more is kept while there is a spare descriptor."""
        self.events = events or EventLog(reactor)
        self._spare = spare
        self.reactor, self.clock, self.service, self.pool, self._most = reactor, clock, service, pool, most
        self._all: OrderedDict[ClientConnection, None] = OrderedDict()  # the longest unused first
        self._lingering: OrderedDict[ClientConnection, None] = (
            OrderedDict()
        )  # ended on our side, oldest first
        self._port: Any = None
        self._kept_waiting_since: int | None = None
        # Those that owe something whole, the first to be overdue first.
        self._owing: OrderedDict[ClientConnection, float] = OrderedDict()
        self.refused = RateLimitedLog(reactor, "client does not keep to the protocol")
        self._crowded = RateLimitedLog(reactor, "clients hold their share of the descriptors")
        reactor.callLater(SWEEP_S, self._sweep)

    def buildProtocol(self, addr: object) -> ClientConnection:
        return ClientConnection(self)

    def listen(self, host: str, port: int, descriptor: int | None = None) -> None:
        """`descriptor`: a socket that listens there already and stays open when we stop."""
        factory: Any = self
        if descriptor is None:
            self._port = Listener(port, factory, self._most, host, self.reactor)
        else:
            kind: Any = Listener
            self._port = kind._fromListeningDescriptor(self.reactor, descriptor, socket.AF_INET, factory)
            self._port.backlog = self._most
        self._port.startListening()

    @property
    def number(self) -> int:
        """All that hold a descriptor."""
        return len(self._all) + len(self._lingering)

    def joined(self, connection: ClientConnection) -> bool:
        """Whether there is room: the longest idle connection goes before the share runs out."""
        self._all[connection] = None
        self.owes(connection, True)
        self._bound_lingering()
        if len(self._all) <= self._most:
            return True
        self._crowded.warn(connections=len(self._all))
        # One that never sent anything goes before one that has been of use: connections come by the hundred
        # and stay silent. Its socket is looked at once more, as its first request may wait there; and one
        # that has just come may be about to send it: it goes last (seen as first requests failed, rd6423a).
        new_since = self.reactor.seconds() - SWEEP_S
        silent = next((other for other in self._owing if other.silent), None)
        if silent is not None and silent.used_at < new_since:
            silent.look()
            if silent.silent:
                silent.end("silent, and others want its descriptor")
                return True
        idle = next(
            (
                other
                for other in self._all
                if not other.open and (not other.silent or other.used_at < new_since)
            ),
            None,
        )
        if idle is None:
            # Turned away, what it has sent already would be lost: only where no descriptor is left.
            return self._spare()
        idle.end("idle, and others want its descriptor")
        return True

    def accept_failed(self) -> None:
        """Somebody may wait to be accepted from now on, and send meanwhile."""
        if self._kept_waiting_since is None:
            self._kept_waiting_since = self.clock.looked

    def nobody_waits(self) -> None:
        """All that waited were accepted."""
        self._kept_waiting_since = None

    def came_after(self) -> int:
        """The last moment at which a client that is accepted now had not come."""
        since = self._kept_waiting_since
        return self.clock.looked if since is None else min(since, self.clock.looked)

    def all(self) -> list[ClientConnection]:
        """The connections, the longest unused first."""
        return list(self._all)

    def lingers(self, connection: ClientConnection) -> None:
        """Its end was told; it holds its descriptor until the client's own end comes."""
        self._all.pop(connection, None)
        self._owing.pop(connection, None)
        self._lingering[connection] = None
        self._bound_lingering()

    def _bound_lingering(self) -> None:
        """Those that were ended have what the others leave of the share."""
        while self._lingering and self.number > self._most:
            self._lingering.popitem(last=False)[0].close()

    def used(self, connection: ClientConnection) -> None:
        connection.used_at = self.reactor.seconds()
        if connection in self._all:
            self._all.move_to_end(connection)

    def owes(self, connection: ClientConnection, owes: bool) -> None:
        """Whether it owes the rest of what it has begun, or a beginning; told again, the time runs on."""
        if not owes:
            self._owing.pop(connection, None)
        elif connection not in self._owing and connection in self._all:
            self._owing[connection] = self.reactor.seconds() + WHOLE_S

    def _sweep(self) -> None:
        """Ends those that have owed something whole for too long, and those that nobody uses any more."""
        now = self.reactor.seconds()
        self.reactor.callLater(SWEEP_S, self._sweep)
        while self._owing and next(iter(self._owing.values())) <= now:
            connection, _ = self._owing.popitem(last=False)
            connection.refuse("nothing whole came")
        for connection in list(self._all):
            if now - connection.used_at < KEPT_S:
                break
            if not connection.open and not connection.ended:
                connection.end("idle")

    def parted(self, connection: ClientConnection) -> None:
        self._all.pop(connection, None)
        self._owing.pop(connection, None)
        self._lingering.pop(connection, None)

    def stop_listening(self) -> None:
        if self._port is not None:
            self._port.accept_last()  # the close would reset what was not accepted
            self._port.stopListening()
            self._port = None

    def each(self, call: Callable[[ClientConnection], None]) -> None:
        """Calls for every connection; a fault at one is logged and keeps none of the others."""
        for connection in list(self._all):
            try:
                call(connection)
            except Exception:
                log.exception("a client's connection met a fault")
