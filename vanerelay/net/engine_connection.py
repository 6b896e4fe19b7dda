"""One connection to an engine: the driver that writes attempts and reads their answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import TimeoutError as ConnectTimeOut
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.attempt import Attempt
from vanerelay.net.buffers import BufferPool
from vanerelay.net.engine_protocol import EngineProtocol
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.resp_codec import Exchange, Note, QueryCommand

MAX_NAMED = 5
"""Attempts that one log line names."""
NOT_SENT = AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED)

log = structlog.get_logger()


class ConnectionOwner(Protocol):
    """The engine process that a connection leads to, as the connection sees it.

    Attributes:
        warned: Whether an answer that cannot be read was logged: once in the life of the process.
    """

    reactor: Any
    pool: BufferPool
    host: str
    port: int
    settings: ConnectionSettings
    connections: list[EngineConnection]
    events: EventLog
    warned: bool

    @property
    def after_recent_poll(self) -> Callable[[Callable[[], None]], None]:
        """Calls back once no client that has left can be unnoticed for long."""


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How connections to engines are used.

    Attributes:
        max_attempts: How many may be open on one connection.
        may_hedge: Whether an attempt may begin while an earlier one of its query is out.
        connect_s: The time until a connection that has not come up is given up.
        idle_s: The time until an engine closes a connection that nobody uses.
        stall_s: The time until an answer that was begun and does not go on counts as malformed.
    """

    max_attempts: int
    may_cancel: bool
    may_hedge: bool
    connect_s: float
    idle_s: float
    stall_s: float

    @property
    def exclusive(self) -> bool:
        """Whether each attempt has a connection to itself.

        So it is where one that was given up must be abandoned, as the next would be a hedged request, and
        only the end of its connection does that.
        """
        return not self.may_cancel and not self.may_hedge

    @property
    def max_open(self) -> int:
        """How many attempts may be open on one connection."""
        return 1 if self.exclusive else self.max_attempts

    @property
    def rest_s(self) -> float:
        """How long a connection rests until we close it: the engine must not do so first."""
        return max(self.idle_s / 2, self.idle_s - self.connect_s)


class EngineConnection:
    """One connection to an engine, from the first call on: attempts wait here until it is up.

    An attempt given up is out at its engine until it is abandoned: by a cancel, or where none is allowed by
    the end of its connection. Its end is reported only once that has left, or the query's next attempt could
    reach another engine first, as a hedged request.

    Attributes:
        waiting: The attempts that wait until the connection is up.
        attempts: Those that were written and have not ended.
        used_at: When it was of use last, in seconds of the reactor.
        over: Whether it has ended.
    """

    def __init__(self, process: ConnectionOwner) -> None:
        settings = process.settings
        self._process = process
        self._max_open = settings.max_open
        self.exchange = Exchange(process.pool, settings.max_open, settings.may_cancel)
        self.waiting: deque[Attempt] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self.over = False
        self._last_written: bytes | None = None  # the attempt handed over last, while it may not have left
        # Attempts that were given up, with ends that are reported once their cancel has left.
        self._leaving: list[tuple[Attempt, AttemptEnd]] = []
        self._awaited: tuple[int, int] | None = None  # what had come of answers when the stall timer was set
        self._stall_timer: Any = None
        self._connecting_since = self.used_at = process.reactor.seconds()
        self._heard_at = 0.0
        self._protocol: EngineProtocol | None = None
        self._closing = False
        self._connect()

    def _connect(self) -> None:
        process = self._process
        endpoint = TCP4ClientEndpoint(
            process.reactor, process.host, process.port, timeout=process.settings.connect_s
        )
        factory: Any = Factory.forProtocol(lambda: EngineProtocol(self))
        connecting: Deferred[Any] = endpoint.connect(factory)
        connecting.addCallbacks(self._connected, self._connect_failed)
        connecting.addErrback(_log_failure)

    @property
    def busy(self) -> int:
        """The number of attempts on it."""
        return len(self.waiting) + len(self.exchange.open)

    def takes(self, ident: bytes) -> bool:
        """Whether an attempt of this identifier may go over it now."""
        if self.over or self._closing:
            return False
        if self._protocol is None or self.waiting:
            return self.busy < self._max_open and all(a.ident != ident for a in self.waiting)
        return self.exchange.takes(ident)

    def sound(self) -> bool:
        """Whether its engine has not ended it, as far as has come: asked before a resting one is used."""
        if self._protocol is not None and not self._protocol.read_waiting():
            self._closing = True  # the transport is about to report it
        return not self._closing and not self.over

    def send(self, attempt: Attempt) -> None:
        """Writes an attempt, or keeps it until the connection is up."""
        attempt.connection = self
        attempt.begun = True
        self.used_at = self._process.reactor.seconds()
        if self._protocol is None or self.waiting:
            self.waiting.append(attempt)
            return
        if not attempt.may_begin():
            attempt.connection = None
            self._process.reactor.callLater(0, attempt.end, NOT_SENT)
            return
        attempt.used_connections.append(self)
        attempt.sent_at = self.used_at
        self.attempts[attempt.ident] = attempt
        if attempt.query is None:
            self.exchange.send_command(attempt.ident, attempt.arguments)
        else:
            self.exchange.send_query(attempt.ident, self._with_time_left(attempt, attempt.query))
        self._flush(attempt.ident)

    def _with_time_left(self, attempt: Attempt, query: QueryCommand) -> QueryCommand:
        """The query with the time that is left for the attempt, which may have waited for the connection."""
        if attempt.timer is None:
            return query
        left_ms = int((attempt.timer.getTime() - self._process.reactor.seconds()) * 1000)
        return replace(query, time_limit_ms=max(1, min(query.time_limit_ms, left_ms)))

    def drained(self) -> None:
        """All that was handed to the transport has left."""
        self._last_written = None
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
        """Ends an attempt, and cancels or abandons it where it was written."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            # An attempt with little time says nothing of an engine that may be about to take the connection.
            early = (
                self._process.reactor.seconds() - self._connecting_since
                < self._process.settings.connect_s / 2
            )
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
        if self._process.settings.exclusive and end.stage is AttemptStage.WRITTEN:
            self._leaving.append((attempt, end))
            self._abort("attempt given up")
        elif self.exchange.out:
            self._leaving.append((attempt, end))
            self._flush()
            self._process.reactor.callLater(self._process.settings.connect_s, self._abort_if_stuck, attempt)
        else:
            attempt.end(end)
            self._retire()

    def _abort_if_stuck(self, given_up: Attempt) -> None:
        """A connection that takes no bytes ends, so that what was given up on it does."""
        if any(attempt is given_up for attempt, _ in self._leaving):
            self._abort("takes no bytes")

    def _abort(self, why: str) -> None:
        self._closing = True
        if self._protocol is not None and not self.over:
            self._note_close(f"aborted: {why}")
            self._protocol.abort()

    def _note_close(self, why: str) -> None:
        idents = [ident.decode() for ident in self.attempts]
        self._process.events.note(
            LogEventKind.CLOSE,
            f"engine, {why}",
            bool(idents),
            host=self._process.host,
            out=idents[:MAX_NAMED],
        )

    def probe(self, tag: bytes) -> None:
        """Writes a health check, whose answer says nothing but that the engine lives."""
        if self._protocol is not None and not self.over:
            self.exchange.send_health_check(tag)
            self._flush()

    def received(self, data: bytes) -> None:
        """Reads what the engine sent, and ends the attempts that it answers."""
        if self.exchange.broken:
            return
        self._heard_at = self._process.reactor.seconds()
        for ident, end in self.exchange.feed(data):
            self.used_at = self._process.reactor.seconds()
            if isinstance(end, Note):
                self.attempts[ident].noted(end)
            elif end.cause is EndCause.MALFORMED:
                self._end_malformed(ident, end)
            else:
                self.attempts.pop(ident).end(end)
        if self.exchange.broken:
            self._abort("unreadable answer")
        else:
            self._flush()
            self._watch_for_stall()
            self._retire()

    def _end_malformed(self, ident: bytes, end: AttemptEnd) -> None:
        """The attempt may run on until the connection has ended: only then is its end reported."""
        if not self._process.warned:
            self._process.warned = True
            log.warning("engine answer unreadable", host=self._process.host, why=end.detail)
        attempt = self.attempts.pop(ident)
        attempt.connection = None  # its end is on its way: nothing can be given up here any more
        self._leaving.append((attempt, end))

    def _watch_for_stall(self) -> None:
        """Seen on sockets: a message that stopped in its middle held all else on its connection for good."""
        awaited = self.exchange.awaits
        if awaited == self._awaited:
            return
        self._awaited = awaited
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        if awaited is not None:
            self._stall_timer = self._process.reactor.callLater(self._process.settings.stall_s, self._stalled)

    def _stalled(self) -> None:
        if not self.over:
            for ident, end in self.exchange.break_off("stalled answer"):
                self._end_malformed(ident, end)
            self._abort("stalled answer")

    def lost(self, cause: EndCause) -> None:
        """The connection has ended, and with it all that is open on it."""
        if self.over:
            return
        self._note_close(cause.value)
        self._end()
        for ident, stage in self.exchange.lost().items():
            # The transport did not report that all had left, so its last command left incompletely. One
            # with a cancel or a read behind it may have: what is missing may be of those.
            partly = ident == self._last_written and stage is AttemptStage.WRITTEN
            self.attempts.pop(ident).end(AttemptEnd(cause, AttemptStage.PARTLY_WRITTEN if partly else stage))
        self.drained()
        self._fail_waiting(cause)

    def close(self, at_once: bool) -> None:
        """Takes nothing new; ends when the last answer is in, or at once: then all that is out is lost."""
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
            self._note_close("idle or replaced")
            self._end()
            self._protocol.close()

    def _end(self) -> None:
        self.over = True
        self._process.connections.remove(self)
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()

    def _connected(self, protocol: EngineProtocol) -> None:
        self._protocol = protocol
        if self.over:
            protocol.abort()
            return
        self._process.after_recent_poll(self._begin)

    def _begin(self) -> None:
        """Writes what waited for the connection and may still begin.

        Meanwhile its client may have left, its engine may have left the list, and the time within which it
        may be retried may be over.
        """
        if self.over:
            return
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            if self.over:
                attempt.end(NOT_SENT)
            else:
                self.send(attempt)
        self._retire()

    def _connect_failed(self, failure: Failure) -> None:
        if not self.over:
            self._end()
            timed_out = isinstance(failure.value, ConnectTimeOut)
            cause = EndCause.CONNECT_TIMEOUT if timed_out else EndCause.CONNECTION_REFUSED
            self._process.events.note(
                LogEventKind.CLOSE,
                f"engine, {cause.value}",
                host=self._process.host,
                fault=type(failure.value).__name__,
            )
            self._fail_waiting(cause)

    def _fail_waiting(self, cause: EndCause) -> None:
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))

    def _flush(self, last_written: bytes | None = None) -> None:
        if self._protocol is not None and self.exchange.out and not self.over:
            self._last_written = last_written
            self._protocol.transport.writeSequence(self.exchange.out)
            self.exchange.out = []
            # Twisted alone would wait for the end of its pass: until then the client may have left, the
            # engine the list, and the time limit written may be over. Ends that wait for bytes to leave come
            # with the pass, as they call the decisions, which may be in the middle of a call of their own.
            if last_written is not None and not self._leaving:
                self._protocol.transport.doWrite()


def _log_failure(failure: Failure) -> None:
    log.error("error in an engine's connection", fault=failure.getTraceback())
