"""Engines: the driver that connects to them, and the attempts that run over its connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.error import TimeoutError as ConnectTimeOut
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.net.buffers import Pool
from vanerelay.net.ends import Cause, End, Stage
from vanerelay.net.resp import Exchange, Note, Query

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

DROPPED = 2500  # engines let go of in one sweep: a list may lose ten thousand at once

log = structlog.get_logger()


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
    """One dispatch on its way. `done` fires once, with its End; it never fails."""

    __slots__ = (
        "begun",
        "done",
        "ident",
        "line",
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
        self, ident: bytes, query: Query | None, used: list[Line], words: Sequence[bytes] = ()
    ) -> None:
        """`used`: the connections that the query's attempts went over; each takes one of them only.
        `words`: the whole command, where it is an order and no query."""
        self.ident, self.query, self.used, self.words = ident, query, used, words
        self.done: Deferred[End] = Deferred()
        self.noted: Callable[[Note], None] = lambda note: None
        # Asked when it is about to be written, which may be long after it was planned.
        self.may_begin: Callable[[], bool] = lambda: True
        self.line: Line | None = None
        self.timer: Any = None
        self.sent_at = 0.0
        self.begun = self.over = False  # begun: it has a connection, or waits for one

    def end(self, end: End) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.line = None
        self.done.callback(end)

    def give_up(self, cause: Cause) -> None:
        if self.line is not None:
            self.line.give_up(self, cause)
        elif not self.begun:
            self.end(End(cause, Stage.NOT_CONNECTED))

    def withdraw(self) -> None:
        """Nobody waits for it: it is not begun, where it has not been."""
        if self.line is not None:
            self.line.withdraw(self)
        elif not self.begun:
            self.end(End(Cause.CANCELLED, Stage.NOT_CONNECTED))


@implementer(IPullProducer)
class EngineProtocol(Protocol):
    """Hands bytes over, and is told by the transport each time that all handed to it has left."""

    transport: Any

    def __init__(self, line: Line) -> None:
        self.line = line

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:
        self.line.received(data)

    def connectionLost(self, reason: Failure = GONE) -> None:
        self.line.lost(Cause.LOST)

    def resumeProducing(self) -> None:
        self.line.drained()

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


class Line:
    """One connection to an engine, from the first call on: attempts wait here until it is up.

    A dispatch given up is out at its engine until it is abandoned: by a cancel, or where none is allowed by
    the end of its connection. Its end is told only once that has left, or the batch's next dispatch could
    reach another engine first: a second copy.
    """

    def __init__(self, peer: Peer) -> None:
        self._peer, self._most = peer, peer.settings.most
        self.exchange = Exchange(peer.pool, peer.settings.most, peer.settings.may_cancel)
        self.waiting: deque[Attempt] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self._last: bytes | None = None  # its dispatch was handed over last and is not known to have left
        self._leaving: list[tuple[Attempt, End]] = []  # given up, and the word of it not known to have left
        self._awaited: tuple[int, int] | None = None  # what was begun when the patience with it began
        self._patience: Any = None
        self._called_at = self.used_at = peer.reactor.seconds()
        self._heard_at = 0.0
        self._protocol: EngineProtocol | None = None
        self.over = self._closing = False
        where = TCP4ClientEndpoint(peer.reactor, peer.host, peer.port, timeout=peer.settings.connect_s)
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
        attempt.line, attempt.begun, self.used_at = self, True, self._peer.reactor.seconds()
        if self._protocol is None or self.waiting:
            self.waiting.append(attempt)
            return
        attempt.used.append(self)
        attempt.sent_at = self.used_at
        self.attempts[attempt.ident] = attempt
        if attempt.query is None:
            self.exchange.order(attempt.ident, attempt.words)
        else:
            self.exchange.serve(attempt.ident, attempt.query)
        self._flush(attempt.ident)

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
            attempt.end(End(Cause.CANCELLED, Stage.NOT_CONNECTED))

    def give_up(self, attempt: Attempt, cause: Cause) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            # An attempt with little time says nothing of an engine that may be about to take the connection.
            early = self._peer.reactor.seconds() - self._called_at < self._peer.settings.connect_s / 2
            cause = Cause.OVER if early and cause is Cause.TIME_OUT else cause
            attempt.end(End(cause, Stage.NOT_CONNECTED))
            return
        stage = self.exchange.give_up(attempt.ident)
        del self.attempts[attempt.ident]
        attempt.line = None
        # Where nothing at all came meanwhile, nothing may come any more: nothing new goes here.
        self._closing = self._closing or cause is Cause.TIME_OUT and self._heard_at <= attempt.sent_at
        self._abandon(attempt, End(cause, stage))

    def _abandon(self, attempt: Attempt, end: End) -> None:
        if self._peer.settings.alone and end.stage is Stage.WRITTEN:
            self._leaving.append((attempt, end))
            self._abort()
        elif self.exchange.out:
            self._leaving.append((attempt, end))
            self._flush()
            self._peer.reactor.callLater(self._peer.settings.connect_s, self._stuck, attempt)
        else:
            attempt.end(end)
            self._retire()

    def _stuck(self, given_up: Attempt) -> None:
        """A connection that takes no bytes ends, so that what was given up on it does."""
        if any(attempt is given_up for attempt, _ in self._leaving):
            self._abort()

    def _abort(self) -> None:
        self._closing = True
        if self._protocol is not None and not self.over:
            self._protocol.abort()

    def probe(self, tag: bytes) -> None:
        if self._protocol is not None and not self.over:
            self.exchange.health(tag)
            self._flush()

    def received(self, data: bytes) -> None:
        if self.exchange.broken:
            return
        self._heard_at = self._peer.reactor.seconds()
        for ident, end in self.exchange.feed(data):
            self.used_at = self._peer.reactor.seconds()
            if isinstance(end, Note):
                self.attempts[ident].noted(end)
            elif end.cause is Cause.UNREADABLE:
                self._spoilt(ident, end)
            else:
                self.attempts.pop(ident).end(end)
        if self.exchange.broken:
            self._abort()
        else:
            self._flush()
            self._await()
            self._retire()

    def _spoilt(self, ident: bytes, end: End) -> None:
        """It may run on until the connection has ended: only then is its end told."""
        if not self._peer.warned:
            self._peer.warned = True
            log.warning("engine answered what cannot be read", host=self._peer.host, why=end.why)
        self._leaving.append((self.attempts.pop(ident), end))

    def _await(self) -> None:
        """Seen on sockets: a message that stopped in its middle held all else on its connection for good."""
        awaited = self.exchange.awaits
        if awaited == self._awaited:
            return
        self._awaited = awaited
        if self._patience is not None and self._patience.active():
            self._patience.cancel()
        if awaited is not None:
            self._patience = self._peer.reactor.callLater(self._peer.settings.patience_s, self._stopped_short)

    def _stopped_short(self) -> None:
        if not self.over:
            for ident, end in self.exchange.spoil("an answer stopped short"):
                self._spoilt(ident, end)
            self._abort()

    def lost(self, cause: Cause) -> None:
        if self.over:
            return
        self._end()
        for ident, stage in self.exchange.lost().items():
            # The transport did not report that all had left, so its last command did not leave whole. One
            # with a cancel or a read behind it may have: what is missing may be of those.
            partly = ident == self._last and stage is Stage.WRITTEN
            self.attempts.pop(ident).end(End(cause, Stage.PARTLY_WRITTEN if partly else stage))
        self.drained()
        self._fail_waiting(cause)

    def close(self, at_once: bool) -> None:
        """Takes nothing new; ends when the last answer is in, or now: then all that is out is lost."""
        self._closing = True
        if self._protocol is None:
            if at_once:
                self.lost(Cause.LOST)
        elif at_once:
            self._protocol.abort()
            self.lost(Cause.LOST)
        else:
            self._retire()

    def _retire(self) -> None:
        worn = self._closing or self.exchange.worn
        if worn and not self.busy and not self._leaving and not self.over and self._protocol is not None:
            self._end()
            self._protocol.close()

    def _end(self) -> None:
        self.over = True
        self._peer.lines.remove(self)
        if self._patience is not None and self._patience.active():
            self._patience.cancel()

    def _up(self, protocol: EngineProtocol) -> None:
        self._protocol = protocol
        if self.over:
            protocol.abort()
            return
        self._peer.when_fresh(self._begin)

    def _begin(self) -> None:
        """Writes what waited for the connection and may still begin: its client may have left meanwhile, its
        engine the list, and the time within which it may be repeated may be over."""
        if self.over:
            return
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            if self.over or not attempt.may_begin():
                attempt.end(End(Cause.OVER, Stage.NOT_CONNECTED))
            else:
                self.send(attempt)
        self._retire()

    def _failed(self, fault: Failure) -> None:
        if not self.over:
            self._end()
            timed_out = isinstance(fault.value, ConnectTimeOut)
            self._fail_waiting(Cause.CONNECT_TIME_OUT if timed_out else Cause.REFUSED)

    def _fail_waiting(self, cause: Cause) -> None:
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.end(End(cause, Stage.NOT_CONNECTED))

    def _flush(self, last: bytes | None = None) -> None:
        if self._protocol is not None and self.exchange.out and not self.over:
            self._last = last
            self._protocol.transport.writeSequence(self.exchange.out)
            self.exchange.out = []


class Peer:
    """One engine process at its address, and its connections.

    What befalls a connection befalls all that is open on it, and each costs time to read from: so there are
    as many as dispatches on each, the emptiest taken first, as long as the engine's part of the descriptors
    lasts. A connection for every dispatch took twice the CPU, and at 900 batches a second all there was.
    """

    def __init__(
        self,
        reactor: Any,
        pool: Pool,
        host: str,
        port: int,
        settings: ConnectionSettings,
        when_fresh: Callable[[Callable[[], None]], None],
    ) -> None:
        self.reactor, self.host, self.port, self.pool = reactor, host, port, pool
        self.settings, self.when_fresh = settings, when_fresh
        self.lines: list[Line] = []
        self.warned = False  # of what it answered, once in its life

    def line_for(self, attempt: Attempt, share: int) -> Line | None:
        """None: a new one is wanted, as none takes it, or all hold as many as there are connections."""
        now, best = self.reactor.seconds(), None
        for line in self.lines:
            if (
                line.takes(attempt.ident)
                and line not in attempt.used
                and (line.busy or now - line.used_at < self.settings.rest_s)
            ):
                if not line.busy and line.sound():
                    return line
                if not line.busy:
                    continue
                best = line if best is None or line.busy < best.busy else best
        return best if best is None or len(self.lines) >= min(share, best.busy + 1) else None

    def call(self) -> Line:
        line = Line(self)
        self.lines.append(line)
        return line

    def sweep(self) -> None:
        """Closes what has been idle so long that the engine is about to."""
        now = self.reactor.seconds()
        for line in list(self.lines):
            if not line.busy and now - line.used_at >= self.settings.rest_s:
                line.close(False)

    def probe(self, tag: bytes) -> None:
        if self.lines:
            self.lines[0].probe(tag)

    def close(self, at_once: bool) -> None:
        for line in list(self.lines):
            line.close(at_once)


class Engines:
    """All engines by the module's indices."""

    def __init__(
        self,
        reactor: Any,
        pool: Pool,
        settings: ConnectionSettings,
        connections: int,
        when_fresh: Callable[[Callable[[], None]], None],
    ) -> None:
        """`connections`: the most there may be. `when_fresh` calls back once no client that has left can be
        unnoticed for long: only then an attempt that waited for its connection begins."""
        self._reactor, self._pool, self._settings, self._when_fresh = reactor, pool, settings, when_fresh
        self._connections, self._full = connections, False
        self._gone: set[int] = set()
        self._peers: dict[int, Peer] = {}
        self._called: dict[Peer, None] = {}  # those that have connections, or had when last swept
        self._addresses: dict[str, int] = {}
        self._lives: dict[int, tuple[str, int]] = {}

    def listed(self, engine: int, address: str, started: int, gone: bool) -> None:
        """A line of the list. A connection made to one process never serves the next at its address."""
        if gone:
            # What it still runs may yet be answered.
            self._drop(engine, at_once=False)
            return
        self._gone.discard(engine)
        if self._lives.get(engine) == (address, started):
            return
        self._drop(engine, at_once=True)
        before = self._addresses.get(address)
        if before is not None:
            self._drop(before, at_once=True)
        host, _, port = address.rpartition(":")
        self._lives[engine], self._addresses[address] = (address, started), engine
        self._peers[engine] = Peer(
            self._reactor, self._pool, host, int(port), self._settings, self._when_fresh
        )

    def only(self, there: set[int]) -> None:
        """A whole list: what it does not name is gone."""
        for engine in self._peers.keys() - there:
            self._drop(engine, at_once=False)

    def _drop(self, engine: int, at_once: bool) -> None:
        peer, life = self._peers.get(engine), self._lives.get(engine)
        if peer is not None:
            peer.close(at_once)
            self._gone.add(engine)
        if at_once and life is not None:
            self._peers.pop(engine, None)
            self._gone.discard(engine)
            del self._lives[engine]
            if self._addresses.get(life[0]) == engine:
                del self._addresses[life[0]]

    def send(self, engine: int, attempt: Attempt, time_out_s: float) -> None:
        peer = self._peers.get(engine)
        if peer is None:
            self._reactor.callLater(0, attempt.end, End(Cause.REFUSED, Stage.NOT_CONNECTED))
            return
        line = peer.line_for(attempt, self._connections // len(self._peers))
        if line is None and self.connections() >= self._connections:
            # Past the descriptors left for engines: the engine is not to blame, and nothing was sent.
            if not self._full:
                log.warning("engines hold their share of the descriptors", connections=self._connections)
            self._full = True
            self._reactor.callLater(0, attempt.end, End(Cause.OVER, Stage.NOT_CONNECTED))
            return
        self._full = False
        attempt.timer = self._reactor.callLater(time_out_s, attempt.give_up, Cause.TIME_OUT)
        if line is None:
            line, self._called[peer] = peer.call(), None
        line.send(attempt)

    def order(self, engine: int, words: Sequence[bytes], ident: bytes, patience_s: float) -> Deferred[End]:
        """A command that is no batch, answered under `ident`. The Deferred never fails."""
        attempt = Attempt(ident, None, [], words)
        self.send(engine, attempt, patience_s)
        return attempt.done

    def probe(self, engine: int) -> None:
        peer = self._peers.get(engine)
        if peer is not None:
            peer.probe(b"probe")

    def sweep(self) -> None:
        for peer in list(self._called):
            peer.sweep()
            if not peer.lines:
                del self._called[peer]
        for engine in list(islice((e for e in self._gone if not self._peers[e].lines), DROPPED)):
            self._drop(engine, at_once=True)

    def addresses(self) -> dict[int, str]:
        """Where each engine is listed, by the module's index."""
        return {engine: life[0] for engine, life in self._lives.items()}

    def knows(self, engine: int) -> bool:
        return engine in self._peers

    def connections(self) -> int:
        return sum(len(peer.lines) for peer in self._called)

    def close(self) -> None:
        for peer in self._peers.values():
            peer.close(True)
