"""The frames of the client protocol: an incremental reader, and encoders."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum

from vanerelay.interface import AnswerStatus
from vanerelay.net.buffers import BufferPool, ReceiveBuffer

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
class Malformed:
    """Bytes that are not a valid frame. Nothing after them can be decoded."""

    why: str


class FrameReader:
    """Decodes frames from the bytes that a client sends, however they are split."""

    def __init__(self, pool: BufferPool) -> None:
        self._buffer = ReceiveBuffer(pool)
        self._last_stream = 0
        self._broken = False

    def feed(self, data: bytes) -> Iterator[Frame | Malformed]:
        """Adds received bytes. Yields each frame that is now complete, or `Malformed` as the last item."""
        if self._broken:
            return
        self._buffer.feed(data)
        while not self._broken:
            header = self._buffer.peek(_HEADER.size)
            if header is None:
                break
            size, kind, stream = _HEADER.unpack(header)
            error = self._header_error(size, kind, stream)
            if error is None and len(self._buffer) < _LENGTH_BYTES + size:
                break
            if error is None:
                frame = self._buffer.read(_LENGTH_BYTES + size) or b""
                parsed = _parse(_FROM_CLIENTS[kind], stream, frame)
                if isinstance(parsed, Frame):
                    if parsed.kind is FrameKind.REQUEST:
                        self._last_stream = stream
                    yield parsed
                    continue
                error = parsed.why
            self._broken = True
            self._buffer.clear()
            yield Malformed(error)
        self._buffer.store_unread()

    @property
    def partial(self) -> bool:
        """Returns True while only a part of a frame has been received."""
        return len(self._buffer) > 0

    def stop(self) -> None:
        """Stops decoding and frees the buffer."""
        self._broken = True
        self._buffer.clear()

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
