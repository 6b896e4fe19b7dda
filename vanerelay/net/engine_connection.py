"""One connection to an engine: writes attempts and reads their answers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from functools import partial
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
from vanerelay.net.memory_budget import MemoryBudget
from vanerelay.net.resp_codec import Exchange, ProgressNote, QueryCommand
from vanerelay.net.unsent_output import held_output_bytes

MAX_LOGGED_ATTEMPTS = 5
"""Maximum number of attempt identifiers in one log line."""
CONNECTION_BYTES = 8_192
"""The memory of a connection, beside unsent output and incomplete results."""
MAX_HELD_BYTES = 16_384
"""The bytes of incomplete results that a connection may hold even if the budget is exceeded."""
NOT_SENT = AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED)

log = structlog.get_logger()


class ConnectionOwner(Protocol):
    """The engine process that a connection leads to.

    Attributes:
        reactor: The event loop.
        pool: The buffers for received bytes.
        memory: The budget that connections use.
        host: The engine's IP address.
        port: The engine's port.
        settings: How connections to engines are used.
        connections: The open connections to this engine process.
        events: The log of connection closes.
        malformed_answer_logged: Whether a malformed answer of this engine process was already logged; only
            the first one is.
    """

    reactor: Any
    pool: BufferPool
    memory: MemoryBudget
    host: str
    port: int
    settings: ConnectionSettings
    connections: list[EngineConnection]
    events: EventLog
    malformed_answer_logged: bool


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How connections to engines are used.

    Attributes:
        max_attempts: Maximum number of open attempts on one connection.
        may_cancel: Whether a running attempt may be cancelled with a command.
        may_hedge: Whether an attempt may begin while an earlier one of its query is still running.
        connect_s: Time in seconds after which an unfinished connect fails.
        idle_s: Time in seconds after which an engine closes an idle connection.
        stall_s: Time in seconds without progress after which a partly received answer counts as malformed.
    """

    max_attempts: int
    may_cancel: bool
    may_hedge: bool
    connect_s: float
    idle_s: float
    stall_s: float

    @property
    def exclusive(self) -> bool:
        """Returns True if each attempt has a connection to itself.

        That is so where attempts can neither be cancelled nor hedged: an attempt that was given up must then
        be ended before the next one begins, and only closing its connection does that.
        """
        return not self.may_cancel and not self.may_hedge

    @property
    def max_open(self) -> int:
        """Maximum number of open attempts on one connection; 1 where connections are exclusive."""
        return 1 if self.exclusive else self.max_attempts

    @property
    def max_idle_s(self) -> float:
        """Idle time in seconds after which this gateway closes a connection, before the engine does."""
        return max(self.idle_s / 2, self.idle_s - self.connect_s)


class EngineConnection:
    """One connection to an engine; attempts wait here until it is established.

    An attempt that was given up may run on at its engine until it is cancelled or, where cancelling is not
    allowed, until its connection is closed. Its end is reported only after the cancel or the close was sent;
    otherwise the query's next attempt could reach another engine first and act as a hedged request.

    Attributes:
        exchange: The protocol state: the open attempts and the bytes to write.
        waiting: The attempts that wait for the connection to be established.
        attempts: The attempts that were written and have not ended, by identifier.
        used_at: Time of the last send or answer, in seconds of the reactor.
        ended: Whether the connection has ended.
    """

    def __init__(self, process: ConnectionOwner) -> None:
        settings = process.settings
        self._process = process
        self._max_open = settings.max_open
        self.exchange = Exchange(process.pool, settings.max_open, settings.may_cancel)
        self.waiting: deque[Attempt] = deque()
        self.attempts: dict[bytes, Attempt] = {}
        self.ended = False
        self._last_written: bytes | None = None  # the last attempt written, while it may be unsent
        # Ends to report once everything written was sent or the connection has ended.
        self._pending_ends: list[tuple[Attempt, AttemptEnd]] = []
        self._watched_progress: tuple[int, int] | None = None  # read progress when the stall timer was set
        self._stall_timer: Any = None
        self._stuck_timer: Any = None
        self._charged = 0
        self._charge(CONNECTION_BYTES)
        self._connecting_since = self.used_at = process.reactor.seconds()
        self._last_received_at = 0.0
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
    def attempt_count(self) -> int:
        """The number of waiting and open attempts."""
        return len(self.waiting) + len(self.exchange.open)

    def can_open(self, ident: bytes) -> bool:
        """Returns True if an attempt with this identifier may be sent on this connection now."""
        if self.ended or self._closing:
            return False
        if self.attempt_count >= self._max_open or any(waiting.ident == ident for waiting in self.waiting):
            return False
        return self._protocol is None or self.exchange.can_open(ident, len(self.waiting))

    def is_alive(self) -> bool:
        """Returns True if the engine has not closed the connection, after reading all pending input.

        Called before an idle connection is used again.
        """
        if self._protocol is not None and not self._protocol.read_available():
            self._closing = True  # the transport is about to report the end
        return not self._closing and not self.ended

    def send(self, attempt: Attempt) -> None:
        """Writes an attempt, or queues it until the connection is established."""
        attempt.connection = self
        attempt.is_assigned = True
        if self._protocol is None:
            self.waiting.append(attempt)
        else:
            self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        if not attempt.may_begin():
            attempt.connection = None
            self._process.reactor.callLater(0, attempt.end, NOT_SENT)
            return
        self.used_at = self._process.reactor.seconds()
        attempt.used_connections.append(self)
        attempt.sent_at = self.used_at
        self.attempts[attempt.ident] = attempt
        if attempt.query is None:
            self.exchange.send_command(attempt.ident, attempt.arguments)
        else:
            self.exchange.send_query(attempt.ident, self._with_time_left(attempt, attempt.query))
            attempt.query = None  # the statement is in the output now
        self._flush(attempt.ident)

    def _with_time_left(self, attempt: Attempt, query: QueryCommand) -> QueryCommand:
        """Returns the query with the attempt's remaining time; it may have waited for the connection."""
        if attempt.timer is None:
            return query
        left_ms = int((attempt.timer.getTime() - self._process.reactor.seconds()) * 1000)
        return replace(query, time_limit_ms=max(1, min(query.time_limit_ms, left_ms)))

    def all_sent(self) -> None:
        """Reports the pending ends of attempts; everything written to the transport was sent."""
        self._last_written = None
        self._update_charge()
        self._stop_watching_pending_ends()
        pending, self._pending_ends = self._pending_ends, []
        for attempt, end in pending:
            attempt.end(end)
        self._close_if_unused()

    def withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt that waits for the connection; one that was written continues."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.end(AttemptEnd(EndCause.CANCELLED, AttemptStage.NOT_CONNECTED))

    def give_up(self, attempt: Attempt, cause: EndCause) -> None:
        """Ends an attempt, and cancels or abandons it if it was written."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            # A short timeout early in the connect does not show that the engine is unreachable.
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
        # If nothing was received since the attempt was sent, the connection may be dead: no new attempts.
        self._closing = (
            self._closing or cause is EndCause.TIMEOUT and self._last_received_at <= attempt.sent_at
        )
        self._abandon(attempt, AttemptEnd(cause, stage))

    def _abandon(self, attempt: Attempt, end: AttemptEnd) -> None:
        if self._process.settings.exclusive and end.stage is AttemptStage.WRITTEN:
            self._pending_ends.append((attempt, end))
            self._abort("attempt given up")
        elif self.exchange.output:
            self._pending_ends.append((attempt, end))
            self._flush()
            self._watch_pending_ends()
        else:
            attempt.end(end)
            self._close_if_unused()

    def _watch_pending_ends(self) -> None:
        """Starts the timeout for sending what the first pending end waits for.

        There is one timer for all of them, as clients may cancel queries by the thousand.
        """
        if self._stuck_timer is None and self._pending_ends:
            self._stuck_timer = self._process.reactor.callLater(
                self._process.settings.connect_s, self._abort_stuck
            )

    def _abort_stuck(self) -> None:
        """Aborts the connection, as the peer has taken no bytes while the end of an attempt was pending."""
        self._stuck_timer = None
        self._abort("takes no bytes")

    def _stop_watching_pending_ends(self) -> None:
        if self._stuck_timer is not None and self._stuck_timer.active():
            self._stuck_timer.cancel()
        self._stuck_timer = None

    def _abort(self, why: str) -> None:
        self._closing = True
        if self._protocol is not None and not self.ended:
            self._note_close(f"aborted: {why}")
            self._protocol.abort()

    def _note_close(self, why: str) -> None:
        idents = [ident.decode() for ident in self.attempts]
        self._process.events.note(
            LogEventKind.CLOSE,
            f"engine, {why}",
            bool(idents),
            host=self._process.host,
            out=idents[:MAX_LOGGED_ATTEMPTS],
        )

    def probe(self, tag: bytes) -> None:
        """Writes a health check; its answer only shows that the engine responds."""
        if self._protocol is not None and not self.ended:
            self.exchange.send_health_check(tag)
            self._flush()

    def received(self, data: bytes) -> None:
        """Reads bytes from the engine, and ends the attempts that they answer."""
        if self.exchange.broken:
            return
        self._last_received_at = self._process.reactor.seconds()
        for ident, end in self.exchange.feed(data):
            self.used_at = self._process.reactor.seconds()
            if isinstance(end, ProgressNote):
                self.attempts[ident].on_progress(end)
            elif end.cause is EndCause.MALFORMED:
                self._end_malformed(ident, end)
            else:
                self.attempts.pop(ident).end(end)
        self._update_charge()
        if self.exchange.broken:
            self._abort("unreadable answer")
        elif self._process.memory.is_exceeded and self.exchange.held_bytes > MAX_HELD_BYTES:
            self._fail_all("no memory for the answer")
        else:
            self._flush()
            self._reset_stall_timer()
            self._close_if_unused()

    def _end_malformed(self, ident: bytes, end: AttemptEnd) -> None:
        """Ends an attempt as malformed; reported after the connection has ended, as it may run until then."""
        if not self._process.malformed_answer_logged:
            self._process.malformed_answer_logged = True
            log.warning("engine answer unreadable", host=self._process.host, why=end.detail)
        attempt = self.attempts.pop(ident)
        attempt.connection = None  # its end is pending, so it can no longer be given up
        self._pending_ends.append((attempt, end))

    def _reset_stall_timer(self) -> None:
        """Restarts the stall timer when the read progress has changed.

        Without the timer, a message that stops in the middle would block all other answers on the connection
        forever.
        """
        progress = self.exchange.partial_read_progress
        if progress == self._watched_progress:
            return
        self._watched_progress = progress
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        if progress is not None:
            self._stall_timer = self._process.reactor.callLater(self._process.settings.stall_s, self._stalled)

    def _stalled(self) -> None:
        if not self.ended:
            self._fail_all("stalled answer")

    def _fail_all(self, why: str) -> None:
        """Ends all open attempts as malformed, and the connection."""
        for ident, end in self.exchange.fail_all(why):
            self._end_malformed(ident, end)
        self._abort(why)

    def _charge(self, size: int) -> None:
        """Charges the budget with the memory that this connection uses now, in bytes."""
        self._process.memory.charge(size - self._charged)
        self._charged = size

    def _update_charge(self) -> None:
        if self._protocol is not None and not self.ended:
            output = held_output_bytes(self._protocol.transport)
            self._charge(CONNECTION_BYTES + output + self.exchange.held_bytes)

    def connection_lost(self, cause: EndCause) -> None:
        """Ends the connection and all attempts on it."""
        if self.ended:
            return
        self._note_close(cause.value)
        self._end()
        for ident, stage in self.exchange.connection_lost().items():
            # The transport has not reported an empty write buffer, so the last command was sent only partly.
            # After a cancel or a read, `_last_written` is None: the unsent bytes may belong to that command.
            partly = ident == self._last_written and stage is AttemptStage.WRITTEN
            self.attempts.pop(ident).end(AttemptEnd(cause, AttemptStage.PARTLY_WRITTEN if partly else stage))
        self.all_sent()
        self._fail_waiting(cause)

    def close(self, at_once: bool) -> None:
        """Closes after the last answer, taking no new attempts, or at once, ending all attempts as lost."""
        self._closing = True
        if self._protocol is None:
            if at_once:
                self.connection_lost(EndCause.CONNECTION_LOST)
        elif at_once:
            self._protocol.abort()
            self.connection_lost(EndCause.CONNECTION_LOST)
        else:
            self._close_if_unused()

    def _close_if_unused(self) -> None:
        should_close = self._closing or self.exchange.is_exhausted
        if (
            should_close
            and not self.attempt_count
            and not self._pending_ends
            and not self.ended
            and self._protocol is not None
        ):
            self._note_close("idle or replaced")
            self._end()
            self._protocol.close()

    def _end(self) -> None:
        self.ended = True
        self._charge(0)
        self._process.connections.remove(self)
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()

    def _connected(self, protocol: EngineProtocol) -> None:
        self._protocol = protocol
        if self.ended:
            protocol.abort()
            return
        for attempt in list(self.waiting):
            attempt.after_client_input(partial(self._write_waiting, attempt))
        self._close_if_unused()

    def _write_waiting(self, attempt: Attempt) -> None:
        """Writes an attempt that waited for the connection, if it may still begin.

        Meanwhile the client may have left, the engine may have been removed from the list, and the time in
        which the query may be retried may have passed.
        """
        if attempt in self.waiting:  # else it was given up, or the connection has ended
            self.waiting.remove(attempt)
            self._write(attempt)
            self._close_if_unused()

    def _connect_failed(self, failure: Failure) -> None:
        if not self.ended:
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
        if self._protocol is not None and self.exchange.output and not self.ended:
            self._last_written = last_written
            self._protocol.transport.writeSequence(self.exchange.output)
            self.exchange.output = []
            # Twisted alone would write at the end of the event loop's pass. By then the client may have left,
            # the engine may have left the list, and the time limit in the command may have passed. If ends
            # are pending, the write is left to Twisted: reporting them calls the decisions, which may be in
            # the middle of a call already.
            if last_written is not None and not self._pending_ends:
                self._protocol.transport.doWrite()
            self._update_charge()


def _log_failure(failure: Failure) -> None:
    log.error("error in an engine's connection", fault=failure.getTraceback())
