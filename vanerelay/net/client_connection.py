"""The protocol driver of one client connection.

It reads frames, passes requests to the service and writes the answers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
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
from vanerelay.net.client_drain import ConnectionDrain, end_after_reading
from vanerelay.net.client_end import STALLED_READ_TIMEOUT_S, ConnectionEnd
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.frames import FrameKind
from vanerelay.net.incomplete_frames import IncompleteFrames
from vanerelay.net.listener_statistics import ListenerStatistics
from vanerelay.net.memory_budget import MemoryBudget, MemoryUse
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.net.unread_input import UnreadInput

MAX_UNSENT_BYTES = 262_144
"""The unsent bytes of answers past which further queries of a client that does not read are rejected."""
MAX_UNSENT_BEFORE_PAUSE_BYTES = 2 * MAX_UNSENT_BYTES
"""The unsent bytes past which nothing more is read, as every further request adds an answer."""
CONNECTION_BYTES = 6_144
"""The memory of a connection, with a short part of a frame and beside unsent answers."""


def _do_nothing() -> None:
    """Withdraws a callback that is about to be called."""


CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class RequestResult(Enum):
    """The result of a request that needs no further answer."""

    ANSWERED = "answered"
    UNUSABLE = "answered, and no engine could use it"
    """Answered with an error, as no engine could have executed the request."""


class OpenRequest(Interface):
    """A request that has not been answered, as the connection driver uses it."""

    def abandon(self) -> None:
        """Ends the request, as its client no longer waits for the answer."""


class QueryService(Interface):
    """The part of the gateway service that the connection driver uses."""

    def request(
        self, client: ClientConnection, frame: frames.Frame, received_after: int
    ) -> OpenRequest | RequestResult:
        """Handles the request in a frame.

        Args:
            client: The connection that the request arrived on.
            frame: The frame of the request.
            received_after: A time before which no byte of the request had arrived.

        Returns:
            The open request, or the result if it has been answered already.
        """

    def rejection_status(self, fields: Mapping[str, str], are_complete: bool) -> AnswerStatus:
        """Returns the status of the answer to a request that is rejected without being looked at.

        Args:
            fields: The fields of the request, as far as they are known.
            are_complete: True if no further field is possible.
        """

    def ready(self) -> bool:
        """Returns True if queries can be accepted."""

    def may_close(self, unanswered: int) -> bool:
        """Returns True if a connection with this number of unanswered requests may be closed."""


class ConnectionOwner(Interface):
    """The part of the listener that a client connection uses."""

    reactor: Any
    clock: Clock
    service: QueryService
    pool: BufferPool
    memory: MemoryBudget
    incomplete_frames: IncompleteFrames
    events: EventLog
    statistics: ListenerStatistics
    protocol_errors: RateLimitedLog

    def next_connection_number(self) -> int:
        """Returns the number of a new connection, by which log lines name it."""

    def admit(self, connection: ClientConnection) -> bool:
        """Registers a new connection. Returns False if no descriptor can be spared for it."""

    def mark_used(self, connection: ClientConnection) -> None:
        """Records that the connection was used just now."""

    def expect_frame(self, connection: ClientConnection, expected: bool) -> None:
        """Starts or stops the timeout for the next complete frame.

        Args:
            connection: The connection.
            expected: True if the client has to send its first frame or the rest of a frame. A timeout that
                runs already is not extended.
        """

    def linger(self, connection: ClientConnection) -> None:
        """Registers that the write side is closed. The descriptor is held until the client closes too."""

    def read_soon(self, connection: ClientConnection) -> None:
        """Reads the connection soon, but not within this call."""

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that is closed."""


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client connection.

    Attributes:
        open: The open requests, by stream.
        used_at: The last use, in seconds of the reactor.
        silent: True until the first complete frame has arrived.
        number: The number of the connection in log lines.
    """

    transport: Any

    def __init__(self, owner: ConnectionOwner, connected_after: int) -> None:
        """`connected_after` is a time before which the client had not connected, in ticks."""
        self._owner = owner
        self._reader = frames.FrameReader(owner.pool, owner.incomplete_frames)
        self.open: dict[int, OpenRequest] = {}
        self.used_at = owner.reactor.seconds()
        self.silent = True
        self.number = owner.next_connection_number()
        self._end = ConnectionEnd(owner.reactor, owner.events, owner.statistics, self.number)
        self._connected_at = self.used_at
        self._answered = 0
        # The client may have sent input before it was accepted, when its socket was not yet polled.
        self._unread = UnreadInput(owner.clock, connected_after)
        self._go_away_sent = False
        self._drain = ConnectionDrain(owner.reactor, self)
        self._rejects_requests = False  # there is no descriptor for this connection
        self._dropping_input = False
        self._lost = False
        self._abort_timer: Any = None  # runs while the client reads nothing
        self._received_bytes, self._received_at = 0, self.used_at  # of the answers, when last looked at
        self._congested = False  # the write buffer of the transport is full
        self._unsent = 0  # bytes written since the write buffer became full
        self._reading_paused = False  # the client does not read, and sends further requests
        self._charged = 0  # bytes of the memory budget that this connection uses
        self._unusable_requests = 0  # consecutive

    def connectionMade(self) -> None:
        """Registers with the listener. If no descriptor can be spared, rejects what was sent and ends."""
        self.transport.setTcpNoDelay(True)
        self._charge(CONNECTION_BYTES)
        # The transport calls pauseProducing when its write buffer is full, and resumeProducing when it has
        # drained.
        self.transport.registerProducer(self, True)
        if not self._owner.admit(self):
            # Its client may have sent requests already, while it waited to be accepted.
            self._rejects_requests = True
            end_after_reading(self._owner.reactor, self, "no descriptor left for a new connection")

    def dataReceived(self, data: bytes) -> None:
        """Decodes frames and handles the requests in them."""
        if self._end.has_begun:
            self._end.input_discarded(len(data))
        received_after = self._unread.received_after
        self._unread.mark_read()
        try:
            self._read(data, received_after)
        except Exception:
            # Otherwise the event loop would close the connection over its open requests.
            log.exception("reading a client's frames failed")
            self.end_with_protocol_error("error of this gateway")
        self._expect_frame()
        self._drain.check()

    @property
    def ended(self) -> bool:
        """True once this gateway has ended the connection."""
        return self._end.has_begun

    def end_sent(self) -> None:
        """Records that the end of the write side was sent, so that the client can notice it."""
        self._end.sent()

    def read_limit_reached(self) -> None:
        """Records that a read stopped at its size limit: input may still be in the socket."""
        self._drain.read_limit_reached()

    def socket_emptied(self) -> None:
        """Records that a read found the socket empty."""
        self._unread.mark_empty()

    def after_reading(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback` once all input that has arrived by now is handled, or once the connection is lost.

        It is not called within this call.

        Returns:
            A function that withdraws the callback.
        """
        if self._lost:
            self._owner.reactor.callLater(0, callback)
            return _do_nothing
        self._owner.read_soon(self)
        return self._unread.call_when_empty(callback)

    def has_recent_input(self, now: int, max_age: int) -> bool:
        """Returns False if input that arrived more than `max_age` ticks ago may not have been handled."""
        return self._unread.is_recent(now, max_age)

    def read_once(self) -> None:
        """Reads input that is in the socket, up to the size limit of one read."""
        if self._lost or self._reading_paused:
            return
        # An error or the end of the connection is reported again by the next poll, which handles it.
        has_ended = self.transport.doRead() is not None
        if not has_ended and not self._lost and self._unread.has_waiting_callbacks:
            self._owner.read_soon(self)

    def _expect_frame(self) -> None:
        frame_expected = self.silent or self._reader.partial
        self._owner.expect_frame(self, frame_expected and not self._dropping_input)

    def received_after(self) -> int:
        """Returns a time before which the input that is read now had not arrived."""
        return self._unread.received_after

    def _read(self, data: bytes, received_after: int) -> None:
        for frame in () if self._dropping_input else self._reader.feed(data):
            if isinstance(frame, frames.Malformed):
                self.end_with_protocol_error(frame.why)
                return
            self._owner.expect_frame(self, False)  # from now on the timeout is for the next frame
            self.silent = False
            if isinstance(frame, frames.DiscardedRequest):
                self._reject_discarded(frame)
                continue
            try:
                self._handle(frame, received_after)
            except Exception:
                log.exception("handling a client's frame failed")
                if frame.kind == FrameKind.REQUEST:
                    self.answer(frame.stream, AnswerStatus.FAILED, {}, b"")
            self._drain.frame_handled()

    def _reject_discarded(self, request: frames.DiscardedRequest) -> None:
        """Rejects a request for which there was no memory."""
        self._owner.mark_used(self)
        self._owner.events.note(LogEventKind.REJECTION, "no memory for the request", stream=request.stream)
        self._write_rejection(request.stream, request.fields, False)
        self._drain.frame_handled()

    def _write_rejection(self, stream: int, fields: Mapping[str, str], are_complete: bool = True) -> None:
        """Answers a request that is not looked at."""
        self._answered += 1
        status = self._owner.service.rejection_status(fields, are_complete)
        self._write(frames.encode_answer(FrameKind.ANSWER, stream, status, {}))

    def _handle(self, frame: frames.Frame, received_after: int) -> None:
        self._owner.mark_used(self)
        if frame.kind == FrameKind.READINESS_CHECK:
            code = AnswerStatus.COMPLETED if self._owner.service.ready() else AnswerStatus.REJECTED
            self._write(frames.encode_answer(FrameKind.READINESS, frame.stream, code, {}))
        elif frame.kind == FrameKind.CANCEL:
            request = self.open.pop(frame.stream, None)
            if request is not None:
                request.abandon()
        elif self._rejects_requests or self._drain.rejects_requests or self._has_many_unsent_answers():
            self._write_rejection(frame.stream, frame.fields)
        elif len(self.open) >= frames.MAX_OPEN_REQUESTS:
            self._write_rejection(frame.stream, frame.fields)
            self.end_with_protocol_error("more open requests than allowed on a connection")
        else:
            self._request(frame, received_after)

    def _request(self, frame: frames.Frame, received_after: int) -> None:
        result = self._owner.service.request(self, frame, received_after)
        if not isinstance(result, RequestResult):
            self.open[frame.stream] = result
        unusable = result is RequestResult.UNUSABLE
        self._unusable_requests = self._unusable_requests + 1 if unusable else 0
        if self._unusable_requests >= frames.MAX_OPEN_REQUESTS:
            self.end_with_protocol_error("too many unusable requests in a row")

    def end_with_protocol_error(self, why: str) -> None:
        """Ends the connection of a client that violates the protocol.

        Every open request is abandoned and answered with a failure; a failure on stream 0 follows. Further
        input is discarded, as frame boundaries are no longer known.
        """
        if self._dropping_input:
            return
        self._dropping_input = True
        self._owner.protocol_errors.warn(why=why)
        self._fail_open_requests()
        self._write(frames.encode_answer(FrameKind.ANSWER, 0, AnswerStatus.FAILED, {}))
        self.end("protocol error", why)

    def _fail_open_requests(self) -> None:
        """Answers every open request with a failure and abandons it."""
        opened, self.open = self.open, {}
        for stream, request in opened.items():
            self._write(frames.encode_answer(FrameKind.ANSWER, stream, AnswerStatus.FAILED, {}))
            self._abandon(request)

    def _abandon(self, request: OpenRequest) -> None:
        try:
            request.abandon()
        except Exception:
            log.exception("abandoning a client's request failed")

    def _write(self, data: bytes) -> None:
        """Writes bytes and sends them immediately.

        Twisted alone would send them at the end of the event-loop pass, which is long when much input has
        arrived at once. Twisted itself handles what could not be sent, and a connection that has closed.
        """
        self._unsent = self._unsent + len(data) if self._congested else 0
        self.transport.write(data)
        self.transport.write_now()
        if self._congested and not self._reading_paused and self._has_too_much_unsent():
            self._reading_paused = True
            self.transport.pauseProducing()

    def _has_many_unsent_answers(self) -> bool:
        return self._congested and self._unsent > MAX_UNSENT_BYTES

    def _has_too_much_unsent(self) -> bool:
        return self._unsent > MAX_UNSENT_BEFORE_PAUSE_BYTES or self._owner.memory.is_exceeded

    def output_written(self, unsent_bytes: int) -> None:
        """Records how many bytes of output the transport holds, after it has written."""
        self._charge(CONNECTION_BYTES + unsent_bytes)

    def _charge(self, size: int) -> None:
        """Charges the memory budget with what this connection uses now, in bytes."""
        self._owner.memory.charge(size - self._charged)
        self._charged = size

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Writes the single answer of a request, unless its connection is closed.

        A result that could not be sent at once, and for which there is no memory, is replaced by a failure.
        """
        self.open.pop(stream, None)
        if self._lost:
            return
        self._answered += 1
        if body and not self._may_hold(len(body)):
            self._owner.events.note(LogEventKind.REJECTION, "no memory for the answer", stream=stream)
            status, fields, body = AnswerStatus.FAILED, {}, b""
        self._write(frames.encode_answer(FrameKind.ANSWER, stream, status, fields, body))
        self._owner.mark_used(self)
        self._drain.check()

    def _may_hold(self, size: int) -> bool:
        """Returns True if this many further bytes may wait until the client reads."""
        has_unsent = self._charged > CONNECTION_BYTES
        return not has_unsent or self._owner.memory.allows(MemoryUse.ANSWER, size)

    def send_go_away(self) -> None:
        """Tells the client to send no new request on this connection."""
        if not self._go_away_sent and not self._lost:
            self._go_away_sent = True
            self._write(frames.encode_frame(FrameKind.GO_AWAY, 0))

    def end_when_answered(self) -> None:
        """Ends the connection once no request is open.

        Requests in the input that has arrived by now are handled, however much it is. Later ones are rejected
        at once, as there may be too little time left to answer them.
        """
        self._drain.begin()

    def end(self, why: str, detail: str = "") -> None:
        """Closes the write side once all answers have been sent.

        Further input is discarded until the client closes its side, or for a limited time: closing a socket
        with unread input resets the connection, and the client may then lose answers.
        """
        self._dropping_input = True
        if self.ended or self._lost:
            return
        if not self._owner.service.may_close(len(self.open)):
            self._fail_open_requests()
        self._end.begin(self.transport, why)
        self._reader.stop()
        self._note_end(why, detail)
        self._owner.linger(self)

    def _note_end(self, why: str, detail: str) -> None:
        now = self._owner.reactor.seconds()
        self._owner.events.note(
            LogEventKind.CLOSE,
            f"client, by this gateway: {why}",
            detail=detail,
            connection=self.number,
            answered=self._answered,
            age_ms=round((now - self._connected_at) * 1000),
            unused_ms=round((now - self.used_at) * 1000),
        )

    def close(self) -> None:
        """Closes an ended connection, see `ConnectionEnd.close`."""
        self._end.close()

    def read_waiting(self) -> bool:
        """Reads the input in the socket for one turn. Returns True if the socket is empty.

        False also if the connection has ended or is lost.
        """
        if self._dropping_input or self._lost or self._reading_paused:
            return False
        return self.transport.doRead() is None and self._unread.is_empty

    @property
    def is_resting(self) -> bool:
        """True if no request is open or has arrived in part, on a connection that is not being ended.

        Nor while the client still receives answers: until then it cannot notice an end, and may go on to send
        requests.
        """
        is_answered = self.is_answered and not self._reader.partial
        return is_answered and not self._is_receiving()

    def _is_receiving(self) -> bool:
        """Returns True if the client has not received all answers, and has received some of late."""
        if self.transport.outstanding_bytes() == 0:
            return False
        now, received_bytes = self._owner.reactor.seconds(), self.transport.received_bytes()
        if received_bytes > self._received_bytes:
            self._received_bytes, self._received_at = received_bytes, now
        return bool(now - max(self._received_at, self.used_at) < STALLED_READ_TIMEOUT_S)

    @property
    def has_outstanding_output(self) -> bool:
        """True if the client of an ended connection has not received all answers."""
        return self._end.has_outstanding_output

    @property
    def is_answered(self) -> bool:
        """True if no request is open, on a connection that is not being ended."""
        return not self.open and not self.ended and not self._lost

    @property
    def has_partial_frame(self) -> bool:
        """True while only a part of a frame has been received."""
        return self._reader.partial

    @property
    def has_backlog(self) -> bool:
        """True if the last turn ended before the socket was empty."""
        return getattr(self.transport, "has_backlog", False) is True

    @property
    def missing_bytes(self) -> int:
        """The number of bytes that complete the present frame; 0 if that is not known."""
        return self._reader.missing

    def pauseProducing(self) -> None:
        """Called when the write buffer of the transport is full.

        Reading continues, as a disconnect would otherwise go unnoticed. `MAX_UNSENT_BYTES` bounds the queries
        that are accepted meanwhile, and `MAX_UNSENT_BEFORE_PAUSE_BYTES` the answers.
        """
        self._congested = True
        if self._abort_timer is None:
            self._watch_output()

    def resumeProducing(self) -> None:
        """Called when the write buffer of the transport has drained."""
        self._congested, self._unsent = False, 0
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None
        if self._reading_paused:
            self._reading_paused = False
            self.transport.resumeProducing()
            self._owner.read_soon(self)  # for those that wait until the socket is empty

    def stopProducing(self) -> None:
        """Called when the transport is closed; `connectionLost` handles that."""

    def _watch_output(self) -> None:
        """Checks later whether the client has taken any output since now."""
        self._abort_timer = self._owner.reactor.callLater(
            STALLED_READ_TIMEOUT_S, self._abort_if_stalled, self.transport.received_bytes()
        )

    def _abort_if_stalled(self, received_bytes: int) -> None:
        """Aborts the connection if its client has received no more than this, or if memory is short."""
        self._abort_timer = None
        progressed = self.transport.received_bytes() > received_bytes
        if progressed and self._owner.memory.allows(MemoryUse.QUERY, 0):
            self._watch_output()
            return
        log.warning("client does not read its answers, connection aborted", open=len(self.open))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Abandons all open requests, as nobody waits for their answers."""
        self._lost = True
        self._charge(0)
        self._drain.stop()
        self._end.stop()
        if self._abort_timer is not None and self._abort_timer.active():
            self._abort_timer.cancel()
        self._abort_timer = None
        self._reader.stop()
        self._owner.remove(self)
        if not self.ended:
            why = f"client, by the client: {reason.type.__name__ if reason.type else 'unknown'}"
            self._owner.events.note(
                LogEventKind.CLOSE, why, bool(self.open), open=len(self.open), connection=self.number
            )
        abandoned, self.open = list(self.open.values()), {}
        for request in abandoned:
            self._abandon(request)
        self._unread.call_waiting()
