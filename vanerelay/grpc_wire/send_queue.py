"""Bytes of one call that wait to be sent. Pure."""

from __future__ import annotations

from collections import deque

from vanerelay.grpc_wire.frames import MESSAGE_PREFIX_BYTES, message_prefix


class SendQueue:
    """The messages of one call that wait for the peer's flow control, in order."""

    def __init__(self) -> None:
        self._chunks: deque[memoryview] = deque()
        self.queued_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._chunks)

    def add_message(self, body: bytes, compressed: bool) -> None:
        """Queues a message with its prefix."""
        self._chunks.append(memoryview(message_prefix(len(body), compressed)))
        if body:
            self._chunks.append(memoryview(body))
        self.queued_bytes += MESSAGE_PREFIX_BYTES + len(body)

    def take(self, max_bytes: int) -> bytes:
        """The bytes of the next frame; a short message goes into one frame with its prefix."""
        chunk = self._chunks.popleft()
        if len(chunk) > max_bytes:
            self._chunks.appendleft(chunk[max_bytes:])
            data = bytes(chunk[:max_bytes])
        elif self._is_prefix_of_short_message(chunk, max_bytes):
            data = bytes(chunk) + bytes(self._chunks.popleft())
        else:
            data = bytes(chunk)
        self.queued_bytes -= len(data)
        return data

    def _is_prefix_of_short_message(self, chunk: memoryview, max_bytes: int) -> bool:
        return (
            len(chunk) == MESSAGE_PREFIX_BYTES
            and bool(self._chunks)
            and len(self._chunks[0]) + MESSAGE_PREFIX_BYTES <= max_bytes
        )

    def clear(self) -> None:
        """Drops what waits."""
        self._chunks.clear()
        self.queued_bytes = 0
