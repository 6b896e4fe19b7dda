"""The frames of the client protocol: an incremental reader, and encoders."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from vanerelay.interface import AnswerStatus
from vanerelay.net.buffers import BLOCK_BYTES, BufferPool, ReceiveBuffer

MIN_LENGTH, MAX_LENGTH = 5, 262_144
"""The limits of a frame's length in bytes, which counts the kind, the stream and the payload."""
MAX_OPEN_REQUESTS = 32
"""The maximum number of open requests on one connection."""
_LENGTH_BYTES = 4
_HEADER = struct.Struct(">IBI")


class FrameKind(IntEnum):
    """The kind of a frame. The values are those on the wire."""

    REQUEST = 2
    ANSWER = 4
    CANCEL = 8
    """The client no longer waits for the answer on this stream."""
    READINESS_CHECK = 16
    READINESS = 32
    GO_AWAY = 64
    """The client should send no new request on this connection."""


_FROM_CLIENTS = {
    kind.value: kind for kind in (FrameKind.REQUEST, FrameKind.CANCEL, FrameKind.READINESS_CHECK)
}


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame from a client: its kind, stream, named fields and body."""

    kind: FrameKind
    stream: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class DiscardedRequest:
    """A request that was not kept, as there was no memory for it, and has now arrived completely.

    Attributes:
        fields: Those of its fields that had arrived when it was discarded.
    """

    stream: int
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a valid frame. Nothing after them can be decoded."""

    why: str


class FrameMemory(Protocol):
    """The memory for frames that arrive in several pieces."""

    def keep(self, reader: FrameReader, size: int) -> bool:
        """Returns True if the reader may keep a part of a frame of `size` bytes until the rest arrives."""

    def release(self, reader: FrameReader) -> None:
        """Takes back the memory of the reader's frame, if any was reserved."""


class FrameReader:
    """Decodes frames from the bytes that a client sends, however they are split.

    A frame that is neither short nor complete at once needs memory; without it, the frame is discarded.
    """

    def __init__(self, pool: BufferPool, memory: FrameMemory | None = None) -> None:
        """`memory` decides whether a part of a frame is kept; None if it always is."""
        self._buffer = ReceiveBuffer(pool)
        self._memory = memory
        self._last_stream = 0
        self._broken = False
        self._discarded: bytes | None = None  # the beginning of the frame that is discarded
        self._discarded_missing = 0  # the bytes of it that have not arrived

    def feed(self, data: bytes) -> Iterator[Frame | DiscardedRequest | Malformed]:
        """Adds received bytes. Yields each frame that is now complete, or `Malformed` as the last item."""
        if self._broken:
            return
        if self._discarded is not None:
            data = self._discard(data)
            if self._discarded_missing > 0:
                return
            yield self._end_discarding(self._discarded)
        if not self._broken:
            self._buffer.feed(data)
        while not self._broken and (frame := self._next_frame()) is not None:
            yield frame
        self._buffer.store_unread()

    @property
    def partial(self) -> bool:
        """Returns True while only a part of a frame has been received."""
        return len(self._buffer) > 0 or self._discarded is not None

    @property
    def missing(self) -> int:
        """The number of bytes that complete the present frame; 0 if its length is not known yet."""
        if self._discarded is not None:
            return self._discarded_missing
        header = self._buffer.peek(_LENGTH_BYTES)
        if header is None:
            return 0
        return max(0, _LENGTH_BYTES + int.from_bytes(header, "big") - len(self._buffer))

    def discard_partial(self) -> None:
        """Discards the part of the present frame that has arrived, and the rest of it as it arrives."""
        self._discarded = self._buffer.peek(min(len(self._buffer), BLOCK_BYTES)) or b""
        size = int.from_bytes(self._discarded[:_LENGTH_BYTES], "big")
        self._discarded_missing = _LENGTH_BYTES + size - len(self._buffer)
        self._buffer.clear()
        self._release()

    def stop(self) -> None:
        """Stops decoding and frees the buffer."""
        self._broken = True
        self._buffer.clear()
        self._discarded = None
        self._release()

    def _next_frame(self) -> Frame | Malformed | None:
        """Returns the next frame; None if no more of the input is a complete frame."""
        header = self._buffer.peek(_HEADER.size)
        if header is None:
            return None
        size, kind, stream = _HEADER.unpack(header)
        error = self._header_error(size, kind, stream)
        if error is not None:
            self.stop()
            return Malformed(error)
        if len(self._buffer) < _LENGTH_BYTES + size:
            if not self._may_keep(_LENGTH_BYTES + size):
                self.discard_partial()
            return None
        self._release()
        parsed = _parse(_FROM_CLIENTS[kind], stream, self._buffer.read(_LENGTH_BYTES + size) or b"")
        if isinstance(parsed, Malformed):
            self.stop()
        elif parsed.kind is FrameKind.REQUEST:
            self._last_stream = stream
        return parsed

    def _may_keep(self, size: int) -> bool:
        return self._memory is None or size <= BLOCK_BYTES or self._memory.keep(self, size)

    def _release(self) -> None:
        if self._memory is not None:
            self._memory.release(self)

    def _discard(self, data: bytes) -> bytes:
        """Discards input that belongs to the discarded frame, and returns the rest."""
        count = min(len(data), self._discarded_missing)
        self._discarded_missing -= count
        return data[count:]

    def _end_discarding(self, beginning: bytes) -> Frame | DiscardedRequest:
        """Returns what is known of the discarded frame, all of which has arrived."""
        self._discarded = None
        _, kind, stream = _HEADER.unpack_from(beginning)
        if kind != FrameKind.REQUEST:
            return Frame(_FROM_CLIENTS[kind], stream, {}, b"")
        self._last_stream = stream
        return DiscardedRequest(stream, _leading_fields(beginning))

    def _header_error(self, size: int, kind: int, stream: int) -> str | None:
        if not MIN_LENGTH <= size <= MAX_LENGTH:
            return f"frame length out of range: {size}"
        if kind not in _FROM_CLIENTS:
            return f"unknown frame type {kind}"
        if kind == FrameKind.REQUEST and stream <= self._last_stream:
            return f"stream {stream} is not greater than that of the previous request"
        return None


def _parse(kind: FrameKind, stream: int, frame: bytes) -> Frame | Malformed:
    if kind is FrameKind.CANCEL:
        return Frame(kind, stream, {}, b"")
    fields: dict[str, str] = {}
    position = _HEADER.size + 1
    try:
        for _ in range(frame[_HEADER.size]):
            name_end = position + 1 + frame[position]
            value_end = name_end + 2 + int.from_bytes(frame[name_end : name_end + 2], "big")
            if value_end > len(frame):
                return Malformed("a field extends past the end of its frame")
            fields[frame[position + 1 : name_end].decode()] = frame[name_end + 2 : value_end].decode()
            position = value_end
    except IndexError:
        return Malformed("frame truncated within its fields")
    except UnicodeDecodeError:
        return Malformed("a field is not valid UTF-8 text")
    return Frame(kind, stream, fields, frame[position:])


def _leading_fields(beginning: bytes) -> dict[str, str]:
    """Returns the fields that are complete in the beginning of a frame."""
    fields: dict[str, str] = {}
    position = _HEADER.size + 1
    while position < len(beginning):
        name_end = position + 1 + beginning[position]
        value_start = name_end + 2
        value_end = value_start + int.from_bytes(beginning[name_end:value_start], "big")
        if value_start > len(beginning) or value_end > len(beginning):
            break
        name = beginning[position + 1 : name_end].decode(errors="replace")
        fields[name] = beginning[value_start:value_end].decode(errors="replace")
        position = value_end
    return fields


def encode_frame(kind: FrameKind, stream: int, payload: bytes = b"") -> bytes:
    """Returns the bytes of a frame."""
    return _HEADER.pack(MIN_LENGTH + len(payload), kind, stream) + payload


def encode_answer(
    kind: FrameKind, stream: int, status: AnswerStatus, fields: Mapping[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer or readiness frame."""
    parts = [bytes((status, len(fields)))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    parts.append(body)
    return encode_frame(kind, stream, b"".join(parts))
