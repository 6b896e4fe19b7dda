"""What both sides of a connection share: fed bytes and the time, asked for bytes.

Knows no socket, clock or Twisted.

A call is a handle; what happens to it is a call on its listener. `data_to_send` hands out what flow control
allows, a piece at a time: a peer that reads slowly holds up its own calls alone, and their bytes wait here,
bounded.
"""

from __future__ import annotations

import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import DataReceived, Event, PingAckReceived, StreamReset
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame

from vanerelay.grpc_wire.call import Call
from vanerelay.grpc_wire.frames import (
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameSplitter,
    Malformed,
    MessageTooLarge,
    Preface,
)
from vanerelay.grpc_wire.limits import GOAWAY, FloodMeter, Limits
from vanerelay.grpc_wire.status import Code, Status

SEND_BYTES = 65_536
"""About how much `data_to_send` hands out at a time: a socket's usual buffer."""

CONNECTION_WINDOW = 2**20
"""Bytes that a peer may send on a connection above HTTP/2's first window before we acknowledge them."""

MAX_STREAM_ID = 2**31 - 1
"""The largest stream id; also the mask that removes a frame's reserved bit."""

GOAWAY_PAYLOAD_BYTES = 8
"""The last stream id and the error code, which each GOAWAY carries."""

EXCESS_CALLS = 1000
"""Calls above the limit that are refused one by one, before h2 ends the connection for them."""

MAX_REASON_CHARACTERS = 200
"""How much of h2's description of an error is kept."""

PING_DATA = b"vanerela"
"""What a ping carries: eight bytes, with no meaning."""

ENCODINGS = "identity,gzip"
"""The message encodings that this side reads."""

SILENT = "silent"
"""The end reason of a connection whose peer did not answer a ping."""

CLOSED = "closed"
"""The end reason of a connection that was closed for none."""


class Session(ABC):
    """One connection, at either side.

    Attributes:
        calls: The open calls, by stream id.
        draining: Whether no new calls are taken or made.
        end_reason: Why the connection is over; empty while it is not.
    """

    is_client = False

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None]) -> None:
        """Opens the connection. `wake` is called when there is data to send, other than within `feed`."""
        self.limits = limits
        self._wake = wake
        self._now = now
        self._h2 = H2Connection(H2Configuration(client_side=self.is_client, header_encoding="utf-8"))
        self._splitter = FrameSplitter(expects_preface=not self.is_client)
        self._meter = FloodMeter()
        self.calls: dict[int, Call] = {}
        self._sendable: dict[Call, None] = {}  # calls with something to send, in order
        self._own_frames = b""  # written beside h2
        self._received_at = now
        self._pinged_at = 0  # 0 while no ping is unanswered
        self._handshake_done = False
        self._last_stream_id = 0  # of the calls taken from the peer
        self.draining = False
        self.end_reason = ""
        # As initial values: h2 sends what is set otherwise only once the peer has acknowledged something.
        self._h2.local_settings = self._settings(limits.max_calls)
        self._h2.initiate_connection()
        # h2 ends a connection for a call above the limit, which a peer may open before it knows the limit.
        # So h2 is given a higher limit than the peer, and the calls between the two are refused alone.
        self._h2.local_settings = self._settings(limits.max_calls + EXCESS_CALLS)
        self._h2.increment_flow_control_window(CONNECTION_WINDOW)

    def _settings(self, max_calls: int) -> Settings:
        return Settings(
            client=self.is_client,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: max_calls,
                SettingCodes.MAX_HEADER_LIST_SIZE: self.limits.max_header_bytes,
                SettingCodes.MAX_FRAME_SIZE: MAX_FRAME_BYTES,
                SettingCodes.ENABLE_PUSH: 0,
            },
        )

    # Receiving.

    def feed(self, now: int, data: bytes) -> None:
        """Bytes came from the peer."""
        self._now, self._received_at, self._pinged_at = now, now, 0
        if self.end_reason:
            return
        for part in self._splitter.feed(data):
            if isinstance(part, Malformed):
                self._end(ErrorCodes.PROTOCOL_ERROR, part.reason)
            elif isinstance(part, Preface):
                self._feed_h2(part.data)
            else:
                self._frame_received(part)
            if self.end_reason:
                return

    def _frame_received(self, frame: Frame) -> None:
        self._handshake_done = True
        flood = self._meter.count(self._now, frame.type, frame.payload_size)
        if flood is not None:
            self._end(ErrorCodes.ENHANCE_YOUR_CALM, flood)
        elif frame.type == GOAWAY and frame.payload_size >= GOAWAY_PAYLOAD_BYTES:
            last = frame.data[FRAME_HEADER_BYTES : FRAME_HEADER_BYTES + 4]
            self._peer_going_away(int.from_bytes(last, "big") & MAX_STREAM_ID)
        else:
            self._feed_h2(frame.data)

    def _feed_h2(self, data: bytes) -> None:
        try:
            for event in self._h2.receive_data(data):
                self._handle(event)
        except H2Error as error:
            self._end(None, f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS])
        except UnicodeDecodeError:
            self._end(ErrorCodes.PROTOCOL_ERROR, "headers that are no text")

    def _handle(self, event: Event) -> None:
        """Handles what both sides treat alike."""
        if isinstance(event, DataReceived):
            self._data_received(event)
        elif isinstance(event, StreamReset):
            self._stream_reset(event)
        elif not isinstance(event, PingAckReceived):
            for call in self.calls.values():  # windows and settings: calls that wait may go on
                if call.queue:
                    self._sendable[call] = None

    def _data_received(self, event: DataReceived) -> None:
        if event.stream_id is not None and event.flow_controlled_length:
            self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        call = self._call_of(event.stream_id)
        if call is None or not event.data:
            return
        for message in call.decoder.feed(event.data):
            if call.closed or call.listener is None:
                return
            if isinstance(message, Malformed):
                too_large = isinstance(message, MessageTooLarge)
                code = Code.RESOURCE_EXHAUSTED if too_large else Code.INTERNAL
                self._fail_call(call, Status(code, message.reason))
                return
            call.listener.message_received(message)

    def _stream_reset(self, event: StreamReset) -> None:
        call = self._call_of(event.stream_id)
        if call is None:
            return
        refused = event.error_code == ErrorCodes.REFUSED_STREAM
        code = Code.UNAVAILABLE if refused else Code.CANCELLED
        reason = f"reset by the peer, code {int(event.error_code or 0)}"
        self._call_ended(call, Status(code, reason, may_have_run=not refused))

    def _call_of(self, stream_id: int | None) -> Call | None:
        return self.calls.get(stream_id or 0)

    # Sending.

    def data_to_send(self) -> bytes:
        """What may be written now, about SEND_BYTES; to be asked again until nothing is left."""
        left = SEND_BYTES
        if not self.end_reason:
            for call in list(self._sendable):
                if left <= 0:
                    break
                left -= self._send_from(call, left)
        data, self._own_frames = self._h2.data_to_send() + self._own_frames, b""
        return data

    def _send_from(self, call: Call, max_bytes: int) -> int:
        """Sends what flow control allows of one call, and returns how much; others come before it goes on."""
        sent = 0
        del self._sendable[call]
        try:
            if not call.started:
                self._start_call(call)
            while call.queue and sent < max_bytes:
                window = min(
                    self._h2.local_flow_control_window(call.stream_id),
                    self._h2.max_outbound_frame_size,
                    max_bytes,
                )
                if window <= 0:
                    return sent  # the peer's next window makes it sendable again
                data = call.queue.take(window)
                self._h2.send_data(call.stream_id, data)
                sent += len(data)
            if call.queue:
                self._sendable[call] = None
            elif call.trailers is not None:
                self._end_sending(call)
            elif call.listener is not None and sent:
                call.listener.send_queue_emptied()
        except H2Error as error:
            self.drop_call(call, ErrorCodes.INTERNAL_ERROR)
            self._call_ended(call, Status(Code.INTERNAL, str(error)))
        return sent

    def schedule_send(self, call: Call) -> None:
        """A call has something to send."""
        self._sendable[call] = None
        self._wake()

    # Time.

    def next_tick_at(self) -> int:
        """When `tick` has something to do."""
        moments = [call.deadline for call in self.calls.values() if call.deadline is not None]
        if self._pinged_at:
            moments.append(self._pinged_at + self.limits.ping_timeout)
        elif self._handshake_done:
            moments.append(self._received_at + self.limits.ping_after)
        else:
            moments.append(self._received_at + self.limits.handshake_timeout)
        return min(moments)

    def tick(self, now: int) -> None:
        """Ends calls past their deadline; pings a quiet peer, and gives a silent one up."""
        self._now = now
        for call in [c for c in self.calls.values() if c.deadline is not None and c.deadline <= now]:
            self._deadline_passed(call)
        quiet_for = now - self._received_at
        if not self._handshake_done and quiet_for >= self.limits.handshake_timeout:
            self._end(ErrorCodes.PROTOCOL_ERROR, "no HTTP/2 in time")
        elif self._pinged_at and now - self._pinged_at >= self.limits.ping_timeout:
            self._end(ErrorCodes.NO_ERROR, SILENT)
        elif not self._pinged_at and quiet_for >= self.limits.ping_after and not self.end_reason:
            self._pinged_at = now
            self._h2.ping(PING_DATA)
            self._wake()

    # Ends.

    def drain(self) -> None:
        """Takes no new calls from the peer; open ones go on. h2's own GOAWAY would end them."""
        if not self.draining and not self.end_reason:
            self.draining = True
            frame = GoAwayFrame(0, last_stream_id=self._last_stream_id, error_code=ErrorCodes.NO_ERROR.value)
            self._own_frames += frame.serialize()
            self._wake()

    def connection_lost(self, reason: str) -> None:
        """The connection is gone."""
        self._close(reason)

    def drop_call(self, call: Call, code: ErrorCodes) -> None:
        """Ends a call at once, without notice to its listener."""
        if self.calls.pop(call.stream_id, None) is None:
            return
        self._forget(call)
        if not self.end_reason:
            try:
                self._h2.reset_stream(call.stream_id, code)
            except H2Error:
                return  # the stream was closed at the same moment
            self._wake()

    def _forget(self, call: Call) -> None:
        call.closed = True
        call.queue.clear()
        self._sendable.pop(call, None)
        self.calls.pop(call.stream_id, None)

    def _call_ended(self, call: Call, ended: Status) -> None:
        was_closed = call.closed
        self._forget(call)
        if call.listener is not None and not was_closed:
            call.listener.ended(ended)

    def _end(self, code: ErrorCodes | None, reason: str) -> None:
        """Ends the connection; without a code h2 has told the peer already."""
        if self.end_reason:
            return
        if code is not None:
            with contextlib.suppress(H2Error):  # it is closed already
                self._h2.close_connection(code)
        self._close(reason)
        self._wake()

    def _close(self, reason: str) -> None:
        if self.end_reason:
            return
        self.end_reason = reason or CLOSED
        for call in list(self.calls.values()):
            left = call.started and not call.queue
            self._call_ended(call, Status(Code.UNAVAILABLE, self.end_reason, may_have_run=left))

    # What the two sides do differently.

    def _peer_going_away(self, last_stream_id: int) -> None:
        """The peer takes no new calls."""
        self.draining = True

    @abstractmethod
    def _start_call(self, call: Call) -> None:
        """A call is about to send for the first time."""

    @abstractmethod
    def _end_sending(self, call: Call) -> None:
        """A call has sent all its messages."""

    @abstractmethod
    def _deadline_passed(self, call: Call) -> None:
        """A call's deadline has passed."""

    @abstractmethod
    def _fail_call(self, call: Call, ended: Status) -> None:
        """What the peer sent on a call cannot be used."""


def decode_headers(headers: Iterable[tuple[object, object]] | None) -> dict[str, str]:
    """The headers of an h2 event, which h2 decodes to text; the last of a name counts."""
    return {str(name): str(value) for name, value in headers or ()}
