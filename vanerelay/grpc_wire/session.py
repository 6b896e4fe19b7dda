"""One connection, at either side: fed bytes and the time, asked for bytes. Knows no socket, clock or Twisted.

A call is a handle; what happens to it is a call on its listener. `outgoing` hands out what flow control lets
go now, a piece at a time, so that a peer that reads slowly holds up its own calls alone, and their bytes wait
here, bounded."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    DataReceived,
    Event,
    InformationalResponseReceived,
    PingAckReceived,
    RequestReceived,
    ResponseReceived,
    StreamEnded,
    StreamReset,
    TrailersReceived,
)
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame

from vanerelay.grpc_wire import status
from vanerelay.grpc_wire.frames import FRAME_MOST, Broken, Messages, Splitter, prefix
from vanerelay.grpc_wire.limits import GOAWAY, REFUSED, Limits, Meter
from vanerelay.grpc_wire.status import Code, Status

PIECE = 65_536  # bytes that `outgoing` hands out at a time, about
WINDOW = 2**20  # bytes that a peer may have under way to us on a connection
LAST = 2**31 - 1
SPARE = 1000  # calls past the limit that are refused one by one
ENCODINGS = "identity,gzip"

Headers = list[tuple[str, str]]


class Listener(Protocol):
    """What happens to a call. `message` and `half_closed` come from the peer; `gone` once, after which
    nothing does, unless the call was finished by its own side; `drained` when all that was sent has left."""

    def message(self, data: bytes) -> None: ...

    def half_closed(self) -> None: ...

    def gone(self, ended: Status) -> None: ...

    def drained(self) -> None: ...


class Call:
    """A call, at either side."""

    def __init__(
        self,
        session: Session,
        stream: int,
        path: str,
        metadata: dict[str, str],
        until: int | None,
        gzip: bool,
    ) -> None:
        self._session, self.stream, self.path, self.metadata, self.until = (
            session,
            stream,
            path,
            metadata,
            until,
        )
        self.listener: Listener | None = None
        self.messages = Messages(session.limits.message, gzip)
        self.packs = "gzip" in metadata.get("grpc-accept-encoding", "")  # the peer unpacks
        self.queue: deque[memoryview] = deque()
        self.waiting = 0  # bytes queued
        self.closing: Headers | None = None  # trailers to send after the queue; empty at a client
        self.started = self.over = self.answered = False

    def send(self, message: bytes, packed: bytes | None = None) -> bool:
        """Queues a message; `packed` is sent in its place to a peer that unpacks. False: over, or too much
        waits."""
        body, is_packed = (packed, True) if packed is not None and self.packs else (message, False)
        if self.over or self.closing is not None or self.waiting + len(body) > self._session.limits.waiting:
            return False
        self.queue.append(memoryview(prefix(len(body), is_packed)))
        if body:
            self.queue.append(memoryview(body))
        self.waiting += 5 + len(body)
        self._session.wants(self)
        return True

    def finish(self, ended: Status = status.OK) -> None:
        """A server's end of the call, after what is queued."""
        if not self.over and self.closing is None:
            self.closing = status.told(ended)
            self._session.wants(self)

    def half_close(self) -> None:
        """A client's end of its messages."""
        if not self.over and self.closing is None:
            self.closing = []
            self._session.wants(self)

    def cancel(self, code: ErrorCodes = ErrorCodes.CANCEL) -> None:
        """Ends the call at once; its listener hears no more."""
        self._session.drop(self, code)


Opener = Callable[[Call], "Listener | Status"]


class Session:
    """What both sides share."""

    client = False

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None]) -> None:
        """`wake` is called when something waits to be sent, other than in answer to `feed`."""
        self.limits, self._wake, self._now = limits, wake, now
        self._h2 = H2Connection(H2Configuration(client_side=self.client, header_encoding="utf-8"))
        # As initial values: what is set otherwise is told only once the peer has acknowledged something.
        self._h2.local_settings = self._settings(limits.streams)
        self._splitter, self._meter = Splitter(not self.client), Meter()
        self.calls: dict[int, Call] = {}
        self._ready: dict[Call, None] = {}  # calls with something to send
        self._extra = b""  # frames of our own beside h2
        self._heard, self._pinged, self._greeted = now, 0, False
        self._latest = 0  # the peer's last call
        self.ending, self.ended = False, ""  # takes no new calls; why it is over
        self._h2.initiate_connection()
        # h2 ends a connection on a call past the limit, which a peer may open before it has heard of one:
        # what
        # it holds them to is above what was told, and those between are refused alone.
        self._h2.local_settings = self._settings(limits.streams + SPARE)
        self._h2.increment_flow_control_window(WINDOW)

    def _settings(self, streams: int) -> Settings:
        return Settings(
            client=self.client,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: streams,
                SettingCodes.MAX_HEADER_LIST_SIZE: self.limits.headers,
                SettingCodes.MAX_FRAME_SIZE: FRAME_MOST,
                SettingCodes.ENABLE_PUSH: 0,
            },
        )

    # Bytes.

    def feed(self, now: int, data: bytes) -> None:
        self._now, self._heard, self._pinged = now, now, 0
        if self.ended:
            return
        for frame in self._splitter.feed(data):
            if isinstance(frame, Broken):
                self._end(ErrorCodes.PROTOCOL_ERROR, frame.why)
            elif isinstance(frame, bytes):
                self._receive(frame)
            else:
                self._greeted = True
                costs = self._meter.costs(now, frame.kind, len(frame.data) - 9)
                if costs is not None:
                    self._end(ErrorCodes.ENHANCE_YOUR_CALM, costs)
                elif frame.kind == GOAWAY and len(frame.data) >= 17:
                    self._going_away(int.from_bytes(frame.data[9:13], "big") & LAST)
                else:
                    self._receive(frame.data)
            if self.ended:
                return

    def _receive(self, data: bytes) -> None:
        try:
            events = self._h2.receive_data(data)
            for event in events:
                self._event(event)
        except H2Error as fault:
            self._end(None, f"{type(fault).__name__}: {fault}"[:200])
        except UnicodeDecodeError:
            self._end(ErrorCodes.PROTOCOL_ERROR, "headers that are no text")

    def outgoing(self) -> bytes:
        """What may be written now, about PIECE bytes; empty when there is nothing. To be asked again until
        then."""
        left = PIECE
        if not self.ended:
            for call in list(self._ready):
                if left <= 0:
                    break
                left -= self._pump(call, left)
        data, self._extra = self._h2.data_to_send() + self._extra, b""
        return data

    def _pump(self, call: Call, most: int) -> int:
        """Sends of one call what its window allows, and lets the next one come before it goes on."""
        sent = 0
        del self._ready[call]
        try:
            if not call.started:
                self._start(call)
            while call.queue and sent < most:
                room = min(
                    self._h2.local_flow_control_window(call.stream), self._h2.max_outbound_frame_size, most
                )
                if room <= 0:
                    return sent  # woken by the peer's window
                piece = call.queue.popleft()
                if len(piece) > room:
                    call.queue.appendleft(piece[room:])
                    piece = piece[:room]
                elif len(piece) == 5 and call.queue and len(call.queue[0]) + 5 <= room:
                    # one frame for a short message
                    piece = memoryview(bytes(piece) + bytes(call.queue.popleft()))
                self._h2.send_data(call.stream, piece.tobytes())
                call.waiting -= len(piece)
                sent += len(piece)
            if call.queue:
                self._ready[call] = None
            elif call.closing is not None:
                self._close(call)
            elif call.listener is not None and sent:
                call.listener.drained()
        except H2Error as fault:
            self.drop(call, ErrorCodes.INTERNAL_ERROR)
            self._gone(call, Status(Code.INTERNAL, str(fault)))
        return sent

    def wants(self, call: Call) -> None:
        self._ready[call] = None
        self._wake()

    # Time.

    def due(self) -> int:
        """When `tick` has something to do."""
        moments = [call.until for call in self.calls.values() if call.until is not None]
        moments.append(
            self._pinged + self.limits.answer
            if self._pinged
            else self._heard + (self.limits.quiet if self._greeted else self.limits.greeting)
        )
        return min(moments)

    def tick(self, now: int) -> None:
        """Calls past their time limit end; a quiet peer is asked whether it lives, a silent one is given
        up."""
        self._now = now
        for call in [c for c in self.calls.values() if c.until is not None and c.until <= now]:
            self._late(call)
        if not self._greeted and now - self._heard >= self.limits.greeting:
            self._end(ErrorCodes.PROTOCOL_ERROR, "no HTTP/2 in time")
        elif self._pinged and now - self._pinged >= self.limits.answer:
            self._end(ErrorCodes.NO_ERROR, "silent")
        elif not self._pinged and now - self._heard >= self.limits.quiet and not self.ended:
            self._pinged = now
            self._h2.ping(b"vanerela")
            self._wake()

    # Ends.

    def drain(self) -> None:
        """No new calls from the peer; those that are open go on. h2's own GOAWAY would end them."""
        if not self.ending and not self.ended:
            self.ending = True
            frame = GoAwayFrame(0, last_stream_id=self._latest, error_code=ErrorCodes.NO_ERROR.value)
            self._extra += frame.serialize()
            self._wake()

    def lost(self, why: str) -> None:
        """The connection is gone."""
        self._over(why)

    def drop(self, call: Call, code: ErrorCodes) -> None:
        """Ends a call without a word to its listener."""
        if self.calls.pop(call.stream, None) is None:
            return
        self._forget(call)
        if not self.ended:
            try:
                self._h2.reset_stream(call.stream, code)
            except H2Error:
                return  # closed at the same moment
            self._wake()

    def _forget(self, call: Call) -> None:
        call.over = True
        call.queue.clear()
        call.waiting = 0
        self._ready.pop(call, None)
        self.calls.pop(call.stream, None)

    def _gone(self, call: Call, ended: Status) -> None:
        was = call.over
        self._forget(call)
        if call.listener is not None and not was:
            call.listener.gone(ended)

    def _end(self, code: ErrorCodes | None, why: str) -> None:
        """Ends the connection; h2 has said so itself where no code is given."""
        if self.ended:
            return
        if code is not None:
            try:
                self._h2.close_connection(code)
            except H2Error:
                pass  # it is closed already
        self._over(why)
        self._wake()

    def _over(self, why: str) -> None:
        if not self.ended:
            self.ended = why or "closed"
            for call in list(self.calls.values()):
                self._gone(call, self._lost(call, self.ended))

    def _lost(self, call: Call, why: str) -> Status:
        return Status(Code.UNAVAILABLE, why, ran=call.started and not call.queue)

    # What differs.

    def _start(self, call: Call) -> None:
        raise NotImplementedError

    def _close(self, call: Call) -> None:
        raise NotImplementedError

    def _late(self, call: Call) -> None:
        raise NotImplementedError

    def _going_away(self, last: int) -> None:
        self.ending = True

    def _event(self, event: Event) -> None:
        if isinstance(event, DataReceived):
            if event.stream_id is not None and event.flow_controlled_length:
                self._h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            call = self.calls.get(event.stream_id or 0)
            if call is not None and event.data:
                self._data(call, event.data)
        elif isinstance(event, StreamReset):
            call = self.calls.get(event.stream_id or 0)
            if call is not None:
                refused = event.error_code == ErrorCodes.REFUSED_STREAM
                code = Code.UNAVAILABLE if refused else Code.CANCELLED
                self._gone(
                    call, Status(code, f"reset by the peer, code {int(event.error_code or 0)}", not refused)
                )
        elif not isinstance(event, PingAckReceived):
            for call in self.calls.values():  # windows and settings: whoever waits may go on
                if call.queue:
                    self._ready[call] = None

    def _data(self, call: Call, data: bytes) -> None:
        for message in call.messages.feed(data):
            if call.over or call.listener is None:
                return
            if isinstance(message, Broken):
                self._wrong(
                    call,
                    Status(Code.RESOURCE_EXHAUSTED if "most" in message.why else Code.INTERNAL, message.why),
                )
                return
            call.listener.message(message)

    def _wrong(self, call: Call, ended: Status) -> None:
        """What the peer sent on a call cannot be used."""
        raise NotImplementedError


class ServerSession(Session):
    """Takes calls. `open` is asked for each: its listener, or the status that it ends with at once."""

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None], opener: Opener) -> None:
        super().__init__(now, limits, wake)
        self._open = opener

    def _event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            assert event.stream_id is not None
            self._request(event.stream_id, {name: value for name, value in _text(event.headers)})
        elif isinstance(event, StreamEnded):
            call = self.calls.get(event.stream_id or 0)
            if call is not None and call.listener is not None:
                if call.messages.begun:
                    self._wrong(call, Status(Code.INTERNAL, "the call ended within a message"))
                else:
                    call.listener.half_closed()
        else:
            super()._event(event)

    def _request(self, stream: int, headers: dict[str, str]) -> None:
        # h2 holds the peer to our settings once it has acknowledged them, which it may never do.
        if self.ending or len(self.calls) >= self.limits.streams:
            self._h2.reset_stream(stream, ErrorCodes.REFUSED_STREAM)
            costs = self._meter.costs(self._now, REFUSED, 0)
            if costs is not None and not self.ending:
                self._end(ErrorCodes.ENHANCE_YOUR_CALM, costs)
            return
        if sum(len(name) + len(value) + 32 for name, value in headers.items()) > self.limits.headers:
            self._h2.send_headers(stream, [(":status", "431")], end_stream=True)
            return
        self._latest = max(self._latest, stream)
        kind = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not kind.startswith("application/grpc"):
            self._h2.send_headers(stream, [(":status", "415")], end_stream=True)
            return
        told = headers.get("grpc-timeout")
        limit = status.timeout(told) if told is not None else None
        packing = headers.get("grpc-encoding", "identity")
        call = Call(
            self,
            stream,
            headers.get(":path", ""),
            headers,
            None if limit is None else self._now + limit,
            packing == "gzip",
        )
        self.calls[stream] = call
        if packing not in ENCODINGS.split(","):
            call.finish(Status(Code.UNIMPLEMENTED, f"grpc-encoding {packing}, expected one of {ENCODINGS}"))
        elif told is not None and limit is None:
            call.finish(Status(Code.INTERNAL, "grpc-timeout that is none"))
        else:
            found = self._open(call)
            if isinstance(found, Status):
                call.finish(found)
            elif not call.over:
                call.listener = found

    def _start(self, call: Call) -> None:
        call.started = True
        if call.closing is not None and not call.queue:
            return  # trailers alone
        headers = [
            (":status", "200"),
            ("content-type", "application/grpc"),
            ("grpc-accept-encoding", ENCODINGS),
        ]
        if call.packs:
            headers.append(("grpc-encoding", "gzip"))
        self._h2.send_headers(call.stream, headers)
        call.answered = True

    def _close(self, call: Call) -> None:
        head = (
            []
            if call.answered
            else [
                (":status", "200"),
                ("content-type", "application/grpc"),
                ("grpc-accept-encoding", ENCODINGS),
            ]
        )
        self._h2.send_headers(call.stream, [*head, *(call.closing or [])], end_stream=True)
        self._forget(call)

    def _late(self, call: Call) -> None:
        call.until = None
        call.queue.clear()
        call.waiting = 0
        call.closing = None
        listener, call.listener = call.listener, None
        call.finish(Status(Code.DEADLINE_EXCEEDED))
        if listener is not None:
            listener.gone(Status(Code.DEADLINE_EXCEEDED))

    def _wrong(self, call: Call, ended: Status) -> None:
        listener, call.listener = call.listener, None
        call.finish(ended)
        if listener is not None:
            listener.gone(ended)


class ClientSession(Session):
    """Makes calls."""

    client = True

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None], authority: str) -> None:
        super().__init__(now, limits, wake)
        self._authority = authority

    def call(
        self,
        path: str,
        listener: Listener,
        metadata: Mapping[str, str] | None = None,
        until: int | None = None,
    ) -> Call | Status:
        """Opens a call; a Status where none can be opened, so that nothing ran."""
        if self.ended or self.ending:
            return Status(Code.UNAVAILABLE, self.ended or "the peer is going away", ran=False)
        if self._h2.open_outbound_streams >= self._h2.remote_settings.max_concurrent_streams:
            return Status(Code.UNAVAILABLE, "as many calls are open as the peer takes", ran=False)
        call = Call(self, self._h2.get_next_available_stream_id(), path, dict(metadata or {}), until, False)
        call.listener = listener
        self._h2.send_headers(call.stream, self._head(call))
        call.started = True
        self.calls[call.stream] = call
        self._wake()
        return call

    def _head(self, call: Call) -> Headers:
        head = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", call.path),
            (":authority", self._authority),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-accept-encoding", ENCODINGS),
        ]
        if call.until is not None:
            head.append(("grpc-timeout", f"{min(10**8 - 1, max(1, call.until - self._now) * 100)}u"))
        return [*head, *call.metadata.items()]

    def _start(self, call: Call) -> None:
        call.started = True

    def _close(self, call: Call) -> None:
        if call.closing is not None and not call.answered:
            call.answered = True  # no further end of ours
            self._h2.end_stream(call.stream)

    def _event(self, event: Event) -> None:
        if isinstance(event, (ResponseReceived, TrailersReceived)):
            call = self.calls.get(event.stream_id or 0)
            if call is not None:
                self._answer(call, {name: value for name, value in _text(event.headers)})
        elif isinstance(event, StreamEnded):
            call = self.calls.get(event.stream_id or 0)
            if call is not None:
                self._gone(call, Status(Code.INTERNAL, "ended without a status"))
        elif not isinstance(event, InformationalResponseReceived):
            super()._event(event)

    def _answer(self, call: Call, headers: dict[str, str]) -> None:
        if "grpc-status" in headers:
            self._gone(call, status.heard(headers))
            if call.closing is None or not call.answered:
                try:
                    self._h2.reset_stream(call.stream, ErrorCodes.NO_ERROR)
                except H2Error:
                    return  # both sides have ended it
        elif headers.get(":status") != "200":
            code = status.HTTP.get(int(headers.get(":status", "0")), Code.UNKNOWN)
            self.drop(call, ErrorCodes.CANCEL) if call.listener is None else self._refused(
                call, code, headers
            )
        else:
            call.messages = Messages(self.limits.message, headers.get("grpc-encoding") == "gzip")

    def _refused(self, call: Call, code: Code, headers: dict[str, str]) -> None:
        listener = call.listener
        self.drop(call, ErrorCodes.CANCEL)
        if listener is not None:
            listener.gone(Status(code, f"HTTP status {headers.get(':status')}"))

    def _late(self, call: Call) -> None:
        self._wrong(call, Status(Code.DEADLINE_EXCEEDED))

    def _wrong(self, call: Call, ended: Status) -> None:
        listener, was = call.listener, call.over
        self.drop(call, ErrorCodes.CANCEL)
        if listener is not None and not was:
            listener.gone(ended)

    def _going_away(self, last: int) -> None:
        self.ending = True
        for call in [call for call in self.calls.values() if call.stream > last]:
            self._gone(call, Status(Code.UNAVAILABLE, "the peer went away before it", ran=False))


def _text(headers: object) -> list[tuple[str, str]]:
    return [(str(name), str(value)) for name, value in headers]  # type: ignore[attr-defined]
