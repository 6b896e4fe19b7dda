"""Splits bytes into HTTP/2 frames and gRPC messages. Pure; complete ones only.

Frames go on to h2 as they came. They are looked at before, since h2 takes a GOAWAY for the end of all calls,
and reports no event for some frames that only cost.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
"""What a client's connection begins with."""

MAX_FRAME_BYTES = 16_384
"""The largest frame that a peer may send: HTTP/2's own default."""

FRAME_HEADER_BYTES = 9
"""A frame's header: length (3), type, flags, stream (4)."""

MESSAGE_PREFIX_BYTES = 5
"""A message's prefix: whether it is compressed, and its length (4)."""

GZIP_WINDOW_BITS = 31
"""Tells zlib to write and read gzip's format, with the largest window."""

COMPRESSION_LEVEL = 6
"""zlib's own default: more costs time and hardly shrinks resources."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """Why what came cannot be read on."""

    reason: str


@dataclass(frozen=True, slots=True)
class MessageTooLarge(Malformed):
    """A message is larger than this side takes."""


@dataclass(frozen=True, slots=True)
class Preface:
    """The client's connection preface."""

    data: bytes = PREFACE


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame as it came, its header included."""

    type: int
    data: bytes

    @property
    def payload(self) -> bytes:
        """What follows the header."""
        return self.data[FRAME_HEADER_BYTES:]

    @property
    def payload_size(self) -> int:
        """The length of the payload."""
        return len(self.data) - FRAME_HEADER_BYTES


class FrameSplitter:
    """Bytes into frames; at a server, the preface first."""

    def __init__(self, expects_preface: bool) -> None:
        self._buffer = bytearray()
        self._expects_preface = expects_preface

    def feed(self, data: bytes) -> list[Preface | Frame | Malformed]:
        """The frames that are complete now. A Malformed is the last."""
        self._buffer += data
        found: list[Preface | Frame | Malformed] = []
        if self._expects_preface:
            size = min(len(self._buffer), len(PREFACE))
            if self._buffer[:size] != PREFACE[:size]:
                return [Malformed("no HTTP/2")]
            if size < len(PREFACE):
                return found
            found.append(Preface())
            del self._buffer[:size]
            self._expects_preface = False
        found += self._frames()
        return found

    def _frames(self) -> list[Frame | Malformed]:
        found: list[Frame | Malformed] = []
        start, buffer = 0, self._buffer
        while len(buffer) - start >= FRAME_HEADER_BYTES:
            size = int.from_bytes(buffer[start : start + 3], "big")
            end = start + FRAME_HEADER_BYTES + size
            if size > MAX_FRAME_BYTES:
                found.append(Malformed(f"a frame of {size} bytes"))
                break
            if len(buffer) < end:
                break
            found.append(Frame(buffer[start + 3], bytes(buffer[start:end])))
            start = end
        del buffer[:start]
        return found


class MessageDecoder:
    """Bytes of one call into messages."""

    def __init__(self, max_bytes: int, gzip: bool) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._gzip = gzip

    @property
    def has_partial(self) -> bool:
        """Whether a message has begun that is not complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes | Malformed]:
        """The messages that are complete now, decompressed. A Malformed is the last."""
        self._buffer += data
        found: list[bytes | Malformed] = []
        start, buffer = 0, self._buffer
        while len(buffer) - start >= MESSAGE_PREFIX_BYTES:
            body = start + MESSAGE_PREFIX_BYTES
            compressed, size = buffer[start], int.from_bytes(buffer[start + 1 : body], "big")
            malformed = self._check_prefix(compressed, size)
            if malformed is not None:
                found.append(malformed)
                break
            if len(buffer) < body + size:
                break
            message = bytes(buffer[body : body + size])
            found.append(self._decompress(message) if compressed else message)
            start = body + size
            if isinstance(found[-1], Malformed):
                break
        del buffer[:start]
        return found

    def _check_prefix(self, compressed: int, size: int) -> Malformed | None:
        if compressed > 1 or (compressed and not self._gzip):
            return Malformed("a message packed in no way that was told")
        if size > self._max_bytes:
            return MessageTooLarge(f"a message of {size} bytes, {self._max_bytes} at most")
        return None

    def _decompress(self, message: bytes) -> bytes | Malformed:
        decompressor = zlib.decompressobj(wbits=GZIP_WINDOW_BITS)
        try:
            data = decompressor.decompress(message, self._max_bytes + 1)
        except zlib.error as error:
            return Malformed(f"a message that cannot be unpacked: {error}")
        if len(data) > self._max_bytes:
            return Malformed(f"a message unpacked to over {self._max_bytes} bytes")
        return data if decompressor.eof else Malformed("a message packed in part")


def gzip_compress(message: bytes) -> bytes:
    """A message compressed by gzip, the same bytes for the same message."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL, wbits=GZIP_WINDOW_BITS)
    return compressor.compress(message) + compressor.flush()


def message_prefix(size: int, compressed: bool = False) -> bytes:
    """What goes before a message of so many bytes."""
    return bytes((compressed,)) + size.to_bytes(4, "big")
