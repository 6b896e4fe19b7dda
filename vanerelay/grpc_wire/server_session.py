"""A server's side of a connection: takes calls."""

from __future__ import annotations

from collections.abc import Callable

from h2.errors import ErrorCodes
from h2.events import Event, RequestReceived, StreamEnded

from vanerelay.grpc_wire.call import Call, CallListener, Headers
from vanerelay.grpc_wire.limits import REFUSED_CALL, Limits
from vanerelay.grpc_wire.session import ENCODINGS, Session, decode_headers
from vanerelay.grpc_wire.status import Code, Status, parse_timeout

CallHandler = Callable[[Call], "CallListener | Status"]
"""Takes a new call: returns its listener, or the status that it ends with at once."""

HEADER_OVERHEAD_BYTES = 32
"""What HTTP/2 counts for a header beside its name and value."""

RESPONSE_HEADERS: Headers = [
    (":status", "200"),
    ("content-type", "application/grpc"),
    ("grpc-accept-encoding", ENCODINGS),
]


class ServerSession(Session):
    """A server's side of a connection."""

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None], handler: CallHandler) -> None:
        super().__init__(now, limits, wake)
        self._handler = handler

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            assert event.stream_id is not None
            self._request_received(event.stream_id, decode_headers(event.headers))
        elif isinstance(event, StreamEnded):
            self._half_closed(event)
        else:
            super()._handle(event)

    def _half_closed(self, event: StreamEnded) -> None:
        call = self._call_of(event.stream_id)
        if call is None or call.listener is None:
            return
        if call.decoder.has_partial:
            self._fail_call(call, Status(Code.INTERNAL, "the call ended within a message"))
        else:
            call.listener.half_closed()

    def _request_received(self, stream_id: int, headers: dict[str, str]) -> None:
        # h2 holds the peer to our settings once it has acknowledged them, which it may never do.
        if self.draining or len(self.calls) >= self.limits.max_calls:
            self._refuse_call(stream_id)
            return
        size = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers.items())
        if size > self.limits.max_header_bytes:
            self._h2.send_headers(stream_id, [(":status", "431")], end_stream=True)
            return
        self._last_stream_id = max(self._last_stream_id, stream_id)
        is_grpc = headers.get("content-type", "").startswith("application/grpc")
        if headers.get(":method") != "POST" or not is_grpc:
            self._h2.send_headers(stream_id, [(":status", "415")], end_stream=True)
            return
        self._open_call(stream_id, headers)

    def _refuse_call(self, stream_id: int) -> None:
        self._h2.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
        flood = self._meter.count(self._now, REFUSED_CALL, 0)
        if flood is not None and not self.draining:
            self._end(ErrorCodes.ENHANCE_YOUR_CALM, flood)

    def _open_call(self, stream_id: int, headers: dict[str, str]) -> None:
        timeout_text = headers.get("grpc-timeout")
        timeout = parse_timeout(timeout_text) if timeout_text is not None else None
        encoding = headers.get("grpc-encoding", "identity")
        deadline = None if timeout is None else self._now + timeout
        path = headers.get(":path", "")
        call = Call(self, stream_id, path, headers, deadline, encoding == "gzip")
        self.calls[stream_id] = call
        if encoding not in ENCODINGS.split(","):
            reason = f"grpc-encoding {encoding}, expected one of {ENCODINGS}"
            call.finish(Status(Code.UNIMPLEMENTED, reason))
        elif timeout_text is not None and timeout is None:
            call.finish(Status(Code.INTERNAL, "grpc-timeout that is none"))
        else:
            self._hand_over(call)

    def _hand_over(self, call: Call) -> None:
        taken = self._handler(call)
        if isinstance(taken, Status):
            call.finish(taken)
        elif not call.closed:
            call.listener = taken

    def _start_call(self, call: Call) -> None:
        call.started = True
        if call.trailers is not None and not call.queue:
            return  # headers and trailers go together
        headers = list(RESPONSE_HEADERS)
        if call.accepts_gzip:
            headers.append(("grpc-encoding", "gzip"))
        self._h2.send_headers(call.stream_id, headers)
        call.response_started = True

    def _end_sending(self, call: Call) -> None:
        headers = [] if call.response_started else RESPONSE_HEADERS
        self._h2.send_headers(call.stream_id, [*headers, *(call.trailers or [])], end_stream=True)
        self._forget(call)

    def _deadline_passed(self, call: Call) -> None:
        call.deadline = None
        call.queue.clear()
        call.trailers = None
        self._fail_call(call, Status(Code.DEADLINE_EXCEEDED))

    def _fail_call(self, call: Call, ended: Status) -> None:
        listener, call.listener = call.listener, None
        call.finish(ended)
        if listener is not None:
            listener.ended(ended)
