"""A client's side of a connection: makes calls."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Mapping

from h2.errors import ErrorCodes
from h2.events import Event, InformationalResponseReceived, ResponseReceived, StreamEnded, TrailersReceived
from h2.exceptions import H2Error

from vanerelay.grpc_wire import status
from vanerelay.grpc_wire.call import Call, CallListener, Headers
from vanerelay.grpc_wire.frames import MessageDecoder
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.session import ENCODINGS, Session, decode_headers
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.net.buffers import parse_number

MICROSECONDS_PER_TICK = 100
MAX_HTTP_STATUS = 999

MAX_TIMEOUT = 10**8 - 1
"""The largest number that `grpc-timeout` may hold."""


class ClientSession(Session):
    """A client's side of a connection, for calls to one authority."""

    is_client = True

    def __init__(self, now: int, limits: Limits, wake: Callable[[], None], authority: str) -> None:
        super().__init__(now, limits, wake)
        self._authority = authority

    def call(
        self,
        path: str,
        listener: CallListener,
        metadata: Mapping[str, str] | None = None,
        deadline: int | None = None,
    ) -> Call | Status:
        """Opens a call; a Status where none can be opened, so that nothing ran."""
        if self.end_reason or self.draining:
            reason = self.end_reason or "the peer is going away"
            return Status(Code.UNAVAILABLE, reason, may_have_run=False)
        if self._h2.open_outbound_streams >= self._h2.remote_settings.max_concurrent_streams:
            reason = "as many calls are open as the peer takes"
            return Status(Code.UNAVAILABLE, reason, may_have_run=False)
        stream_id = self._h2.get_next_available_stream_id()
        call = Call(self, stream_id, path, dict(metadata or {}), deadline, gzip=False)
        call.listener = listener
        self._h2.send_headers(stream_id, self._request_headers(call))
        call.started = True
        self.calls[stream_id] = call
        self._wake()
        return call

    def _request_headers(self, call: Call) -> Headers:
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", call.path),
            (":authority", self._authority),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-accept-encoding", ENCODINGS),
        ]
        if call.deadline is not None:
            timeout = max(1, call.deadline - self._now) * MICROSECONDS_PER_TICK
            headers.append(("grpc-timeout", f"{min(MAX_TIMEOUT, timeout)}u"))
        return [*headers, *call.metadata.items()]

    def _start_call(self, call: Call) -> None:
        call.started = True

    def _end_sending(self, call: Call) -> None:
        if call.trailers is not None and not call.end_sent:
            call.end_sent = True
            self._h2.end_stream(call.stream_id)

    def _handle(self, event: Event) -> None:
        if isinstance(event, (ResponseReceived, TrailersReceived)):
            call = self._call_of(event.stream_id)
            if call is not None:
                self._headers_received(call, decode_headers(event.headers))
        elif isinstance(event, StreamEnded):
            call = self._call_of(event.stream_id)
            if call is not None:
                self._call_ended(call, Status(Code.INTERNAL, "ended without a status"))
        elif not isinstance(event, InformationalResponseReceived):
            super()._handle(event)

    def _headers_received(self, call: Call, headers: dict[str, str]) -> None:
        if "grpc-status" in headers:
            self._call_ended(call, status.decode_trailers(headers))
            if call.trailers is None or not call.end_sent:
                with contextlib.suppress(H2Error):  # both sides have ended it
                    self._h2.reset_stream(call.stream_id, ErrorCodes.NO_ERROR)
        elif headers.get(":status") != "200":
            self._http_error_received(call, headers.get(":status"))
        else:
            gzip = headers.get("grpc-encoding") == "gzip"
            call.decoder = MessageDecoder(self.limits.max_message_bytes, gzip)

    def _http_error_received(self, call: Call, http_status: str | None) -> None:
        number = parse_number(http_status or "", MAX_HTTP_STATUS)
        code = Code.UNKNOWN if number is None else status.HTTP_CODES.get(number, Code.UNKNOWN)
        self.drop_call(call, ErrorCodes.CANCEL)
        if call.listener is not None:
            call.listener.ended(Status(code, f"HTTP status {http_status}"))

    def _deadline_passed(self, call: Call) -> None:
        self._fail_call(call, Status(Code.DEADLINE_EXCEEDED))

    def _fail_call(self, call: Call, ended: Status) -> None:
        was_closed = call.closed
        self.drop_call(call, ErrorCodes.CANCEL)
        if call.listener is not None and not was_closed:
            call.listener.ended(ended)

    def _peer_going_away(self, last_stream_id: int) -> None:
        self.draining = True
        ended = Status(Code.UNAVAILABLE, "the peer went away before it", may_have_run=False)
        for call in [call for call in self.calls.values() if call.stream_id > last_stream_id]:
            self._call_ended(call, ended)
