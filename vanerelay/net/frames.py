"""The frames of clients: a machine that is fed bytes and gives frames, and the making of frames."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from vanerelay.net.buffers import Gather, Pool

REQUEST, ANSWER, LEAVE, READY, READINESS, LAST = 2, 4, 8, 16, 32, 64
COMPLETED, REJECTED, FAILED = 0, 1, 2  # codes of an answer
SHORTEST, LONGEST = 5, 262_144  # what the length of a frame may be
OPEN_MOST = 32  # requests open on one connection
_HEAD = struct.Struct(">IBI")


@dataclass(frozen=True, slots=True)
class Frame:
    kind: int
    stream: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are no frame of a client: after these nothing more can be read."""

    why: str


class FrameReader:
    """Fed what a client sent, in any pieces."""

    def __init__(self, pool: Pool) -> None:
        self._held, self._last, self._broken = Gather(pool), 0, False

    def feed(self, data: bytes) -> Iterator[Frame | Malformed]:
        if self._broken:
            return
        self._held.feed(data)
        while not self._broken:
            head = self._held.peek(_HEAD.size)
            if head is None:
                break
            size, kind, stream = _HEAD.unpack(head)
            wrong = self._wrong(size, kind, stream)
            if wrong is None and len(self._held) < 4 + size:
                break
            if wrong is None:
                frame = self._held.read(4 + size) or b""
                parsed = _parse(kind, stream, frame)
                if isinstance(parsed, Frame):
                    self._last = max(self._last, stream if kind == REQUEST else 0)
                    yield parsed
                    continue
                wrong = parsed.why
            self._broken = True
            self._held.drop()
            yield Malformed(wrong)
        self._held.keep()

    @property
    def partial(self) -> bool:
        """Whether what came last is not whole."""
        return len(self._held) > 0

    def drop(self) -> None:
        self._broken = True
        self._held.drop()

    def _wrong(self, size: int, kind: int, stream: int) -> str | None:
        if not SHORTEST <= size <= LONGEST:
            return f"a frame's length is {size}"
        if kind not in (REQUEST, LEAVE, READY):
            return f"a frame's type is {kind}"
        if kind == REQUEST and stream <= self._last:
            return f"stream {stream} is not new"
        return None


def _parse(kind: int, stream: int, frame: bytes) -> Frame | Malformed:
    if kind == LEAVE:
        return Frame(kind, stream, {}, b"")
    fields: dict[str, str] = {}
    at = _HEAD.size + 1
    try:
        for _ in range(frame[_HEAD.size]):
            name_end = at + 1 + frame[at]
            value_end = name_end + 2 + int.from_bytes(frame[name_end : name_end + 2], "big")
            if value_end > len(frame):
                return Malformed("a field ends past its frame")
            fields[frame[at + 1 : name_end].decode()] = frame[name_end + 2 : value_end].decode()
            at = value_end
    except IndexError:
        return Malformed("a frame ends within its fields")
    except UnicodeDecodeError:
        return Malformed("a field is no text")
    return Frame(kind, stream, fields, frame[at:])


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return _HEAD.pack(5 + len(payload), kind, stream) + payload


def answer(kind: int, stream: int, code: int, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """An answer, or a readiness, whole."""
    told = [bytes((code, len(fields)))]
    for name, value in fields.items():
        told.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    told.append(body)
    return frame(kind, stream, b"".join(told))
