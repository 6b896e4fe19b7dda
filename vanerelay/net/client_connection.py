"""One client's connection: the driver that reads frames, hands on requests and writes answers."""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import Protocol as Interface

import structlog
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.clock import Clock
from vanerelay.interface import AnswerStatus
from vanerelay.net import frames
from vanerelay.net.buffers import BufferPool
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.frames import FrameKind
from vanerelay.net.rate_limited_log import RateLimitedLog

CLIENT_IDLE_TIMEOUT_S = 4.0
"""Clients close connections that are idle for this long; one that takes no bytes for as long is aborted."""
LINGER_TIMEOUT_S = 1.0
"""How long what a client sends after our end is read and dropped, until its own end comes."""
FLUSH_TIMEOUT_S = 0.1
"""The time for what has not left when a connection is closed."""
MAX_UNSENT_BYTES = 262_144
"""Bytes of answers that a client does not take, past which its further queries are rejected."""

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class RequestResult(Enum):
    """What became of a request that is not open now."""

    ANSWERED = "answered"
    UNUSABLE = "answered, and no engine could use it"


class OpenRequest(Interface):
    """A request as this driver sees it."""

    def abandon(self) -> None:
        """Its client no longer waits."""


class QueryService(Interface):
    """What the driver asks of the service."""

    def request(
        self, client: ClientConnection, frame: frames.Frame, received_after: int
    ) -> OpenRequest | RequestResult:
        """Takes a request, of which nothing had come before `received_after`."""

    def ready(self) -> bool:
        """Whether queries can be result."""

    def may_close(self, unanswered: int) -> bool:
        """Whether a connection with so many requests unanswered may be closed."""


class ConnectionOwner(Interface):
    """What a connection needs of the one that has them all."""

    reactor: Any
    clock: Clock
    service: QueryService
    pool: BufferPool
    events: EventLog
    protocol_errors: RateLimitedLog

    def admit(self, connection: ClientConnection) -> bool:
        """Takes a new connection; whether it has a descriptor."""

    def connected_after(self) -> int:
        """The last moment at which a client that is accepted now had not come."""

    def mark_used(self, connection: ClientConnection) -> None:
        """The connection was of use just now."""

    def expect_frame(self, connection: ClientConnection, expected: bool) -> None:
        """Whether the client owes the rest of a frame, or its first one; said again, the time runs on."""

    def linger(self, connection: ClientConnection) -> None:
        """Our side has ended; the connection holds its descriptor until the client's end comes."""

    def remove(self, connection: ClientConnection) -> None:
        """The connection is no more."""


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection.

    Attributes:
        open: The requests open on it, by their stream.
        used_at: When it was of use last, in seconds of the reactor.
        silent: Whether no whole frame has come yet.
        ended: Whether our side has ended it.
    """

    transport: Any

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._reader = frames.FrameReader(owner.pool)
        self.open: dict[int, OpenRequest] = {}
        self.used_at = owner.reactor.seconds()
        self.silent = True
        self.ended = False
        # What is read up to this pass may have come by that moment, which is earlier than the last look.
        self._earlier_received_after = 0
        self._received_after_until_pass = -1
        self._go_away_sent = False
        self._closing_when_answered = False  # ends once nothing is open
        self._dropping_input = False
        self._lost = False
        self._abort_timer: Any = None  # runs while the client takes no bytes
        self._linger_timer: Any = None
        self._congested = False  # the transport holds much that has not left
        self._unsent = 0  # bytes written since then
        self._unusable_requests = 0  # in a row

    def connectionMade(self) -> None:
        """Asks for a place among the connections, or ends."""
        self.transport.setTcpNoDelay(True)
        # What the client sent before it was accepted was there while nobody looked at its socket.
        self._set_received_after(self._owner.connected_after())
        # The transport says when its buffer is over its size; nothing more is read until it has drained.
        self.transport.registerProducer(self, True)
        if not self._owner.admit(self):
            self.end("no descriptor is left")

    def dataReceived(self, data: bytes) -> None:
        """Reads frames, and hands on the requests among them."""
        received_after = self.received_after()
        if len(data) >= self.transport.bufferSize:
            self.read_limit_reached()
        self._read(data, received_after)
        self._expect_frame()

    def read_limit_reached(self) -> None:
        """A look that took as much as it may has left more behind, that had come as early."""
        self._set_received_after(self.received_after())

    def _expect_frame(self) -> None:
        frame_expected = self.silent or self._reader.partial
        self._owner.expect_frame(self, frame_expected and not self._dropping_input)

    def _set_received_after(self, received_after: int) -> None:
        self._earlier_received_after = received_after
        self._received_after_until_pass = self._owner.clock.loop_passes + 1

    def received_after(self) -> int:
        """The last moment at which what is read now had not come."""
        clock = self._owner.clock
        return (
            self._earlier_received_after
            if clock.loop_passes <= self._received_after_until_pass
            else clock.previous_poll_at
        )

    def _read(self, data: bytes, received_after: int) -> None:
        for frame in () if self._dropping_input else self._reader.feed(data):
            if isinstance(frame, frames.Malformed):
                self.end_with_protocol_error(frame.why)
                return
            self._owner.expect_frame(self, False)  # what is expected from now on is another frame
            self.silent = False
            try:
                self._handle(frame, received_after)
            except Exception:
                log.exception("error in a client's frame")
                if frame.kind == FrameKind.REQUEST:
                    self.answer(frame.stream, AnswerStatus.FAILED, {}, b"")

    def _handle(self, frame: frames.Frame, received_after: int) -> None:
        self._owner.mark_used(self)
        if frame.kind == FrameKind.READINESS_CHECK:
            code = AnswerStatus.COMPLETED if self._owner.service.ready() else AnswerStatus.REJECTED
            self._write(frames.encode_answer(FrameKind.READINESS, frame.stream, code, {}))
        elif frame.kind == FrameKind.CANCEL:
            request = self.open.pop(frame.stream, None)
            if request is not None:
                request.abandon()
            self._end_if_answered()
        elif self._closing_when_answered or self._congested and self._unsent > MAX_UNSENT_BYTES:
            self._write(frames.encode_answer(FrameKind.ANSWER, frame.stream, AnswerStatus.REJECTED, {}))
        elif len(self.open) >= frames.MAX_OPEN_REQUESTS:
            self._write(frames.encode_answer(FrameKind.ANSWER, frame.stream, AnswerStatus.REJECTED, {}))
            self.end_with_protocol_error("more requests open than there may be")
        else:
            self._request(frame, received_after)

    def _request(self, frame: frames.Frame, received_after: int) -> None:
        result = self._owner.service.request(self, frame, received_after)
        if not isinstance(result, RequestResult):
            self.open[frame.stream] = result
        unusable = result is RequestResult.UNUSABLE
        self._unusable_requests = self._unusable_requests + 1 if unusable else 0
        if self._unusable_requests >= frames.MAX_OPEN_REQUESTS:
            self.end_with_protocol_error("one request after another that nobody can use")

    def end_with_protocol_error(self, why: str) -> None:
        """Ends the connection of a client that does not keep to the protocol.

        It gets a failure for itself and for each query open, for which nothing is done any more. What else it
        sends cannot be told apart, and is not read.
        """
        if self._dropping_input:
            return
        self._dropping_input = True
        self._owner.protocol_errors.warn(why=why)
        self._fail_open_requests()
        self._write(frames.encode_answer(FrameKind.ANSWER, 0, AnswerStatus.FAILED, {}))
        self.end("protocol error", why)

    def _fail_open_requests(self) -> None:
        """The final answer of each query that is open here, for which nothing is done any more."""
        opened, self.open = self.open, {}
        for stream, request in opened.items():
            self._write(frames.encode_answer(FrameKind.ANSWER, stream, AnswerStatus.FAILED, {}))
            self._abandon(request)

    def _abandon(self, request: OpenRequest) -> None:
        try:
            request.abandon()
        except Exception:
            log.exception("error when a client left")

    def _write(self, data: bytes) -> None:
        """Hands bytes over and has them sent now.

        Twisted alone would wait for the end of its pass, which is long when much has come at once. What could
        not be sent, or the connection's end, it finds itself.
        """
        self._unsent = self._unsent + len(data) if self._congested else 0
        self.transport.write(data)
        self.transport.doWrite()

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Writes the one answer of a request; nothing where its client is gone."""
        self.open.pop(stream, None)
        if not self._lost:
            self._write(frames.encode_answer(FrameKind.ANSWER, stream, status, fields, body))
            self._owner.mark_used(self)
            self._end_if_answered()

    def send_go_away(self) -> None:
        """Asks for no new request on this connection."""
        if not self._go_away_sent and not self._lost:
            self._go_away_sent = True
            self._write(frames.encode_frame(FrameKind.GO_AWAY, 0))

    def end_when_answered(self) -> None:
        """Ends once nothing is open.

        What had come until now is result. What comes later is rejected at once, as little time may be left to
        answer it.
        """
        self.read_waiting()
        self._closing_when_answered = True
        self._end_if_answered()

    def end(self, why: str, detail: str = "") -> None:
        """Ends our side once all has left.

        What the client still sends is read and dropped until its own end comes, for a while: a close over
        unread bytes is a reset, which takes answers along.
        """
        ended, self.ended, self._dropping_input = self.ended, True, True
        if ended or self._lost:
            return
        if not self._owner.service.may_close(len(self.open)):
            self._fail_open_requests()
        self._owner.events.note(LogEventKind.CLOSE, f"client, by us: {why}", detail=detail)
        self._reader.stop()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        linger_timeout_s = (
            CLIENT_IDLE_TIMEOUT_S if self._congested else LINGER_TIMEOUT_S
        )  # a slow client is owed what was answered
        self._linger_timer = self._owner.reactor.callLater(linger_timeout_s, self.close)
        self._owner.linger(self)

    def close(self) -> None:
        """Closes as soon as all has left, and shortly after in any case: nobody takes the rest."""
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        if not self._lost:
            self.transport.loseConnection()
        if not self._lost:
            self._linger_timer = self._owner.reactor.callLater(
                FLUSH_TIMEOUT_S, self.transport.abortConnection
            )

    def read_waiting(self) -> None:
        """Reads what waits in its socket, before this connection is result for one that rests."""
        if not self._dropping_input and not self._lost:
            self.transport.doRead()

    def _end_if_answered(self) -> None:
        if self._closing_when_answered and not self.open:
            self.end("shutdown")

    def pauseProducing(self) -> None:
        """The transport's buffer is full.

        Reading goes on, or it would not be noticed that the client has left. What it asks is bounded.
        """
        self._congested = True
        if self._abort_timer is None:
            self._abort_timer = self._owner.reactor.callLater(CLIENT_IDLE_TIMEOUT_S, self._abort_stalled)

    def resumeProducing(self) -> None:
        """The transport's buffer has drained."""
        self._congested, self._unsent = False, 0
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None

    def stopProducing(self) -> None:
        """The transport is closed, which `connectionLost` tells as well."""

    def _abort_stalled(self) -> None:
        self._abort_timer = None
        log.warning("client takes no answers, connection aborted", open=len(self.open))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Lets go of all that is open: nobody waits for it."""
        self._lost = True
        for timer in (self._abort_timer, self._linger_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._abort_timer = self._linger_timer = None
        self._reader.stop()
        self._owner.remove(self)
        if not self.ended:
            why = f"client, by it: {reason.type.__name__ if reason.type else 'unknown'}"
            self._owner.events.note(LogEventKind.CLOSE, why, bool(self.open), open=len(self.open))
        abandoned, self.open = list(self.open.values()), {}
        for request in abandoned:
            self._abandon(request)
