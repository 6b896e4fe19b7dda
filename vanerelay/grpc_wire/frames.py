"""HTTP/2 frames and gRPC messages out of bytes, whole ones only. Machines.

The frames go on to h2 as they came; they are looked at before, since h2 takes a GOAWAY for the end of all
calls, and tells of no frame that only costs."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_MOST = 16_384  # what we let the peer send, HTTP/2's own default


@dataclass(frozen=True, slots=True)
class Broken:
    """Why what came cannot be read on."""

    why: str


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame with its head, as it came; `payload` starts after nine bytes."""

    kind: int
    data: bytes


class Splitter:
    """Bytes into frames; at a server the preface first."""

    def __init__(self, preface: bool) -> None:
        self._begun, self._preface = bytearray(), preface

    def feed(self, data: bytes) -> list[Frame | Broken | bytes]:
        """Frames that are whole now, and the preface as bytes. A Broken is the last."""
        self._begun += data
        found: list[Frame | Broken | bytes] = []
        at, begun = 0, self._begun
        if self._preface:
            size = min(len(begun), len(PREFACE))
            if begun[:size] != PREFACE[:size]:
                return [Broken("no HTTP/2")]
            if size < len(PREFACE):
                return found
            found.append(PREFACE)
            at, self._preface = len(PREFACE), False
        while len(begun) - at >= 9:
            size = int.from_bytes(begun[at : at + 3], "big")
            if size > FRAME_MOST:
                found.append(Broken(f"a frame of {size} bytes"))
                break
            if len(begun) - at < 9 + size:
                break
            found.append(Frame(begun[at + 3], bytes(begun[at : at + 9 + size])))
            at += 9 + size
        del begun[:at]
        return found


class Messages:
    """Bytes of one call into messages: a flag, a length, that many bytes."""

    def __init__(self, most: int, gzip: bool) -> None:
        self._begun, self._most, self._gzip = bytearray(), most, gzip

    @property
    def begun(self) -> bool:
        return bool(self._begun)

    def feed(self, data: bytes) -> list[bytes | Broken]:
        """Messages that are whole now, unpacked. A Broken is the last."""
        self._begun += data
        found: list[bytes | Broken] = []
        at, begun = 0, self._begun
        while len(begun) - at >= 5:
            packed, size = begun[at], int.from_bytes(begun[at + 1 : at + 5], "big")
            if packed > 1 or packed and not self._gzip:
                found.append(Broken("a message packed in no way that was told"))
                break
            if size > self._most:
                found.append(Broken(f"a message of {size} bytes, {self._most} at most"))
                break
            if len(begun) - at < 5 + size:
                break
            message = bytes(begun[at + 5 : at + 5 + size])
            found.append(self._unpack(message) if packed else message)
            at += 5 + size
            if isinstance(found[-1], Broken):
                break
        del begun[:at]
        return found

    def _unpack(self, message: bytes) -> bytes | Broken:
        unpacker = zlib.decompressobj(wbits=31)
        try:
            data = unpacker.decompress(message, self._most + 1)
        except zlib.error as fault:
            return Broken(f"a message that cannot be unpacked: {fault}")
        if len(data) > self._most:
            return Broken(f"a message unpacked to over {self._most} bytes")
        return data if unpacker.eof else Broken("a message packed in part")


def pack(message: bytes) -> bytes:
    """A message packed by gzip, the same bytes for the same message."""
    packer = zlib.compressobj(6, wbits=31)
    return packer.compress(message) + packer.flush()


def prefix(size: int, packed: bool = False) -> bytes:
    return bytes((packed,)) + size.to_bytes(4, "big")
