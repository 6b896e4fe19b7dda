"""One call on a connection, at either side, and the interface of who listens to it."""

from __future__ import annotations

from typing import Protocol

from h2.errors import ErrorCodes

from vanerelay.grpc_wire import status
from vanerelay.grpc_wire.frames import MessageDecoder
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.send_queue import SendQueue
from vanerelay.grpc_wire.status import Status

Headers = list[tuple[str, str]]


class CallListener(Protocol):
    """What happens to a call."""

    def message_received(self, data: bytes) -> None:
        """The peer has sent a message."""

    def half_closed(self) -> None:
        """The peer sends no further message."""

    def ended(self, status: Status) -> None:
        """The call is over. Called once, and not where its own side has finished or cancelled it."""

    def send_queue_emptied(self) -> None:
        """All that was sent has left."""


class CallOwner(Protocol):
    """What a call needs of its connection."""

    limits: Limits

    def schedule_send(self, call: Call) -> None:
        """The call has something to send."""

    def drop_call(self, call: Call, code: ErrorCodes) -> None:
        """Ends the call at once, without notice to its listener."""


class Call:
    """One call.

    Attributes:
        stream_id: Its HTTP/2 stream.
        metadata: The request's headers.
        deadline: When it ends at the latest, in ticks; None for never.
        accepts_gzip: Whether the peer decompresses messages.
        trailers: The trailers to send after the queued messages, empty at a client; None before the end.
        started: Whether its headers may have left.
        response_started: At a server, whether the response's headers are sent.
        end_sent: At a client, whether the end of its messages is sent.
        closed: Whether it is over.
    """

    def __init__(
        self,
        owner: CallOwner,
        stream_id: int,
        path: str,
        metadata: dict[str, str],
        deadline: int | None,
        gzip: bool,
    ) -> None:
        self._owner = owner
        self.stream_id = stream_id
        self.path = path
        self.metadata = metadata
        self.deadline = deadline
        self.listener: CallListener | None = None
        self.decoder = MessageDecoder(owner.limits.max_message_bytes, gzip)
        self.accepts_gzip = "gzip" in metadata.get("grpc-accept-encoding", "")
        self.queue = SendQueue()
        self.trailers: Headers | None = None
        self.started = False
        self.response_started = False
        self.end_sent = False
        self.closed = False

    @property
    def queued_bytes(self) -> int:
        """The bytes that wait to be sent."""
        return self.queue.queued_bytes

    @property
    def _may_send(self) -> bool:
        return not self.closed and self.trailers is None

    def send(self, message: bytes, compressed: bytes | None = None) -> bool:
        """Queues a message; False where the call is over or too much waits.

        `compressed` is sent in place of the message to a peer that decompresses.
        """
        use_gzip = compressed is not None and self.accepts_gzip
        body = compressed if compressed is not None and use_gzip else message
        if not self._may_send or self.queued_bytes + len(body) > self._owner.limits.max_queued_bytes:
            return False
        self.queue.add_message(body, use_gzip)
        self._owner.schedule_send(self)
        return True

    def finish(self, ended: Status = status.OK) -> None:
        """Ends a server's call, after what is queued."""
        if self._may_send:
            self.trailers = status.encode_trailers(ended)
            self._owner.schedule_send(self)

    def half_close(self) -> None:
        """Ends a client's messages."""
        if self._may_send:
            self.trailers = []
            self._owner.schedule_send(self)

    def cancel(self, code: ErrorCodes = ErrorCodes.CANCEL) -> None:
        """Ends the call at once; its listener hears no more."""
        self._owner.drop_call(self, code)
