"""Connections to engines: one driver a connection, and the attempts that run over it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any
from typing import Protocol as Interface

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.error import TimeoutError as ConnectTimeOut
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.buffers import Pool
from vanerelay.net.events import EventLog, Kind
from vanerelay.net.resp_codec import Exchange, Note, QueryCommand

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
NAMED_MOST = 5  # attempts named in one line of the log

log = structlog.get_logger()


class Owner(Interface):
    """The engine process that a connection leads to, as the connection sees it."""

    reactor: Any
    pool: Pool
    host: str
    port: int
    settings: ConnectionSettings
    connections: list[EngineConnection]
    events: EventLog
    warned: bool  # of what it answered, once in its life

    @property
    def when_fresh(self) -> Callable[[Callable[[], None]], None]: ...


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How connections to engines are used."""

    most_attempts: int  # open on one connection
    may_cancel: bool
    may_copy: bool  # whether an attempt may begin while an earlier one of its query is out
    connect_s: float  # until a connection that has not come up is given up
    idle_s: float  # until an engine closes a connection that nobody uses
    patience_s: float  # until an answer that was begun and does not go on is spoilt

    @property
    def alone(self) -> bool:
        """Whether each attempt has a connection to itself: where one that was given up must be abandoned, as
        the next would be a copy, and only the end of its connection does that."""
        return not self.may_cancel and not self.may_copy

    @property
    def most(self) -> int:
        return 1 if self.alone else self.most_attempts

    @property
    def rest_s(self) -> float:
        """How long a connection rests until we close it: the engine must not do so first."""
        return max(self.idle_s / 2, self.idle_s - self.connect_s)


class Attempt:
    """One attempt on its way. `done` fires once, with its End; it never fails."""

    __slots__ = (
        "begun",
        "done",
        "ident",
        "connection",
        "may_begin",
        "noted",
        "over",
        "query",
        "sent_at",
        "timer",
        "used",
        "words",
    )

    def __init__(
        self,
        ident: bytes,
        query: QueryCommand | None,
        used: list[EngineConnection],
        words: Sequence[bytes] = (),
    ) -> None:
        """`used`: the connections that the query's attempts went over; each takes one of them only.
        `words`: the whole command, where it is an order and no query."""
        self.ident, self.query, self.used, self.words = ident, query, used, words
        self.done: Deferred[AttemptEnd] = Deferred()
        self.noted: Callable[[Note], None] = lambda note: None
        # Asked once, when it is about to be written, which may be long after it was planned.
        self.may_begin: Callable[[], bool] = lambda: True
        self.connection: EngineConnection | None = None
        self.timer: Any = None
        self.sent_at = 0.0
        self.begun = self.over = False  # begun: it has a connection, or waits for one

    def end(self, end: AttemptEnd) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.connection = None
        self.done.callback(end)

    def give_up(self, cause: EndCause) -> None:
        if self.connection is not None:
            self.connection.give_up(self, cause)
        elif not self.begun:
            self.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))

    def withdraw(self) -> None:
        """Nobody waits for it: it is not begun, where it has not been."""
        if self.connection is not None:
            self.connection.withdraw(self)
        elif not self.begun:
            self.end(AttemptEnd(EndCause.CANCELLED, AttemptStage.NOT_CONNECTED))


@implementer(IPullProducer)
class EngineProtocol(Protocol):
    """Hands bytes over, and is told by the transport each time that all handed to it has left."""

    transport: Any

    def __init__(self, connection: EngineConnection) -> None:
        self.connection = connection

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:
        self.connection.received(data)

    def connectionLost(self, reason: Failure = GONE) -> None:
        self.connection.lost(EndCause.CONNECTION_LOST)

    def resumeProducing(self) -> None:
        self.connection.drained()

    def stopProducing(self) -> None:
        pass

    def look(self) -> bool:
        """Reads what has come; whether that was not the connection's end."""
        return self.transport.doRead() is None

    def close(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        self.transport.unregisterProducer()
        self.transport.abortConnection()


class EngineConnection:
    """One connection to an engine, from the first call on: attempts wait here until it is up.

    An attempt given up is out at its engine until it is abandoned: by a cancel, or where none is allowed by
    the end of its connection. Its end is told only once that has left, or the query's next attempt could
    reach another engine first: a second copy.
    """

    def __init__(self, process: Owner) -> None:
        self._process, self._most = process, process.settings.most
        self.exchange = Exchange(process.pool, process.settings.most, process.settings.may_cancel)
        self.waiting: deque[Attempt] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self._last: bytes | None = None  # its attempt was handed over last and is not known to have left
        self._leaving: list[
            tuple[Attempt, AttemptEnd]
        ] = []  # given up, and the word of it not known to have left
        self._awaited: tuple[int, int] | None = None  # what was begun when the patience with it began
        self._patience: Any = None
        self._called_at = self.used_at = process.reactor.seconds()
        self._heard_at = 0.0
        self._protocol: EngineProtocol | None = None
        self.over = self._closing = False
        where = TCP4ClientEndpoint(
            process.reactor, process.host, process.port, timeout=process.settings.connect_s
        )
        factory: Any = Factory.forProtocol(lambda: EngineProtocol(self))
        calling: Deferred[Any] = where.connect(factory)
        calling.addCallbacks(self._up, self._failed)
        calling.addErrback(lambda fault: log.error("a connection met a fault", fault=fault.getTraceback()))

    @property
    def busy(self) -> int:
        return len(self.waiting) + len(self.exchange.open)

    def takes(self, ident: bytes) -> bool:
        if self.over or self._closing:
            return False
        if self._protocol is None or self.waiting:
            return self.busy < self._most and all(a.ident != ident for a in self.waiting)
        return self.exchange.takes(ident)

    def sound(self) -> bool:
        """Whether its engine has not ended it, as far as has come: asked before a resting one is used."""
        if self._protocol is not None and not self._protocol.look():
            self._closing = True  # the transport is about to tell
        return not self._closing and not self.over

    def send(self, attempt: Attempt) -> None:
        attempt.connection, attempt.begun, self.used_at = self, True, self._process.reactor.seconds()
        if self._protocol is None or self.waiting:
            self.waiting.append(attempt)
            return
        if not attempt.may_begin():
            attempt.connection = None
            self._process.reactor.callLater(
                0, attempt.end, AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED)
            )
            return
        attempt.used.append(self)
        attempt.sent_at = self.used_at
        self.attempts[attempt.ident] = attempt
        if attempt.query is None:
            self.exchange.order(attempt.ident, attempt.words)
        else:
            self.exchange.serve(attempt.ident, self._in_time(attempt, attempt.query))
        self._flush(attempt.ident)

    def _in_time(self, attempt: Attempt, query: QueryCommand) -> QueryCommand:
        """The query with the time that is left for the attempt, which may have waited for the connection."""
        if attempt.timer is None:
            return query
        left_ms = int((attempt.timer.getTime() - self._process.reactor.seconds()) * 1000)
        return replace(query, patience_ms=max(1, min(query.patience_ms, left_ms)))

    def drained(self) -> None:
        """All that was handed to the transport has left."""
        self._last = None
        leaving, self._leaving = self._leaving, []
        for attempt, end in leaving:
            attempt.end(end)
        self._retire()

    def withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt that waits for the connection; one that was begun goes on."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.end(AttemptEnd(EndCause.CANCELLED, AttemptStage.NOT_CONNECTED))

    def give_up(self, attempt: Attempt, cause: EndCause) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            # An attempt with little time says nothing of an engine that may be about to take the connection.
            early = self._process.reactor.seconds() - self._called_at < self._process.settings.connect_s / 2
            cause = EndCause.NOT_SENT if early and cause is EndCause.TIMEOUT else cause
            attempt.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))
            return
        stage = self.exchange.give_up(attempt.ident)
        del self.attempts[attempt.ident]
        attempt.connection = None
        # Where nothing at all came meanwhile, nothing may come any more: nothing new goes here.
        self._closing = self._closing or cause is EndCause.TIMEOUT and self._heard_at <= attempt.sent_at
        self._abandon(attempt, AttemptEnd(cause, stage))

    def _abandon(self, attempt: Attempt, end: AttemptEnd) -> None:
        if self._process.settings.alone and end.stage is AttemptStage.WRITTEN:
            self._leaving.append((attempt, end))
            self._abort("an attempt on it was given up")
        elif self.exchange.out:
            self._leaving.append((attempt, end))
            self._flush()
            self._process.reactor.callLater(self._process.settings.connect_s, self._stuck, attempt)
        else:
            attempt.end(end)
            self._retire()

    def _stuck(self, given_up: Attempt) -> None:
        """A connection that takes no bytes ends, so that what was given up on it does."""
        if any(attempt is given_up for attempt, _ in self._leaving):
            self._abort("it takes no bytes")

    def _abort(self, why: str) -> None:
        self._closing = True
        if self._protocol is not None and not self.over:
            self._note_close(f"aborted: {why}")
            self._protocol.abort()

    def _note_close(self, why: str) -> None:
        idents = [ident.decode() for ident in self.attempts]
        self._process.events.note(
            Kind.CLOSE, f"engine, {why}", bool(idents), host=self._process.host, out=idents[:NAMED_MOST]
        )

    def probe(self, tag: bytes) -> None:
        if self._protocol is not None and not self.over:
            self.exchange.health(tag)
            self._flush()

    def received(self, data: bytes) -> None:
        if self.exchange.broken:
            return
        self._heard_at = self._process.reactor.seconds()
        for ident, end in self.exchange.feed(data):
            self.used_at = self._process.reactor.seconds()
            if isinstance(end, Note):
                self.attempts[ident].noted(end)
            elif end.cause is EndCause.MALFORMED:
                self._spoilt(ident, end)
            else:
                self.attempts.pop(ident).end(end)
        if self.exchange.broken:
            self._abort("what came can't be read")
        else:
            self._flush()
            self._await()
            self._retire()

    def _spoilt(self, ident: bytes, end: AttemptEnd) -> None:
        """It may run on until the connection has ended: only then is its end told."""
        if not self._process.warned:
            self._process.warned = True
            log.warning("engine answered what cannot be read", host=self._process.host, why=end.detail)
        attempt = self.attempts.pop(ident)
        attempt.connection = None  # its end is on its way: nothing can be given up here any more
        self._leaving.append((attempt, end))

    def _await(self) -> None:
        """Seen on sockets: a message that stopped in its middle held all else on its connection for good."""
        awaited = self.exchange.awaits
        if awaited == self._awaited:
            return
        self._awaited = awaited
        if self._patience is not None and self._patience.active():
            self._patience.cancel()
        if awaited is not None:
            self._patience = self._process.reactor.callLater(
                self._process.settings.patience_s, self._stopped_short
            )

    def _stopped_short(self) -> None:
        if not self.over:
            for ident, end in self.exchange.spoil("an answer stopped short"):
                self._spoilt(ident, end)
            self._abort("an answer stopped short")

    def lost(self, cause: EndCause) -> None:
        if self.over:
            return
        self._note_close(cause.value)
        self._end()
        for ident, stage in self.exchange.lost().items():
            # The transport did not report that all had left, so its last command did not leave whole. One
            # with a cancel or a read behind it may have: what is missing may be of those.
            partly = ident == self._last and stage is AttemptStage.WRITTEN
            self.attempts.pop(ident).end(AttemptEnd(cause, AttemptStage.PARTLY_WRITTEN if partly else stage))
        self.drained()
        self._fail_waiting(cause)

    def close(self, at_once: bool) -> None:
        """Takes nothing new; ends when the last answer is in, or now: then all that is out is lost."""
        self._closing = True
        if self._protocol is None:
            if at_once:
                self.lost(EndCause.CONNECTION_LOST)
        elif at_once:
            self._protocol.abort()
            self.lost(EndCause.CONNECTION_LOST)
        else:
            self._retire()

    def _retire(self) -> None:
        worn = self._closing or self.exchange.worn
        if worn and not self.busy and not self._leaving and not self.over and self._protocol is not None:
            self._note_close("not used any more")
            self._end()
            self._protocol.close()

    def _end(self) -> None:
        self.over = True
        self._process.connections.remove(self)
        if self._patience is not None and self._patience.active():
            self._patience.cancel()

    def _up(self, protocol: EngineProtocol) -> None:
        self._protocol = protocol
        if self.over:
            protocol.abort()
            return
        self._process.when_fresh(self._begin)

    def _begin(self) -> None:
        """Writes what waited for the connection and may still begin: its client may have left meanwhile, its
        engine the list, and the time within which it may be repeated may be over."""
        if self.over:
            return
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            if self.over:
                attempt.end(AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED))
            else:
                self.send(attempt)
        self._retire()

    def _failed(self, fault: Failure) -> None:
        if not self.over:
            self._end()
            timed_out = isinstance(fault.value, ConnectTimeOut)
            cause = EndCause.CONNECT_TIMEOUT if timed_out else EndCause.CONNECTION_REFUSED
            self._process.events.note(
                Kind.CLOSE,
                f"engine, {cause.value}",
                host=self._process.host,
                fault=type(fault.value).__name__,
            )
            self._fail_waiting(cause)

    def _fail_waiting(self, cause: EndCause) -> None:
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))

    def _flush(self, last: bytes | None = None) -> None:
        if self._protocol is not None and self.exchange.out and not self.over:
            self._last = last
            self._protocol.transport.writeSequence(self.exchange.out)
            self.exchange.out = []
            # Twisted alone would wait for the end of its pass: until then the client may have left, the
            # engine the list, and the time that is told be over. Ends that wait for bytes to leave come by
            # the pass, as they call the module, which may be in the middle of its own call.
            if last is not None and not self._leaving:
                self._protocol.transport.doWrite()
