"""The protocol of the discovery service: a poll over HTTP/1.1, and the watch events in its answer."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from ipaddress import IPv4Address
from typing import Any

from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import EngineState
from vanerelay.net.buffers import BufferPool, ReceiveBuffer, parse_number

MAX_BODY_BYTES = 4 * 1024 * 1024
"""No list is nearly as long."""
_MAX_LINE_BYTES, _MAX_HEADERS = 8_192, 100
_MAX_STATUS, _FIRST_FINAL_STATUS = 999, 200
_STATUSES_WITHOUT_BODY = (204, 304)
_MAX_PORT = 65_535
TICKS_PER_MS = 10
STATES = {"SERVING": EngineState.UP, "DRAINING": EngineState.DRAINING, "DELETED": EngineState.GONE}
"""The states of engines by their names on the wire."""
TOO_LONG = "an answer is too long"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer; `keep` says whether the connection can be asked again."""

    status: int
    body: bytes
    keep: bool


@dataclass(frozen=True, slots=True)
class Unreadable:
    """What came is no answer that can be used."""

    why: str


def request(host: str, held: int, wait_ms: int) -> bytes:
    """A poll for the events past number `held`, that waits for one for so long."""
    return (
        f"GET /v1/events?SUB={held}&wait={wait_ms} HTTP/1.1\r\nHost: {host}\r\n"
        "Accept: application/json\r\n\r\n"
    ).encode()


class _Part(Enum):
    """The part of an answer that is read next."""

    STATUS = auto()
    HEADERS = auto()
    BODY_OF_LENGTH = auto()
    BODY_TO_END = auto()
    """The body goes on until the connection is closed."""
    CHUNK_SIZE = auto()
    CHUNK = auto()
    CHUNK_END = auto()
    TRAILER = auto()


class ReplyReader:
    """Reads one answer, fed in any pieces."""

    def __init__(self, pool: BufferPool) -> None:
        self._held = ReceiveBuffer(pool)
        self._part = _Part.STATUS
        self._status = 0
        self._headers = dict[str, str]()
        self._header_count = 0
        self._body = list[bytes]()
        self._body_bytes = 0  # as far as the parts of the body are counted one by one
        self._left = 0  # bytes of the body, or of its chunk, that are still to come

    def feed(self, data: bytes) -> Reply | Unreadable | None:
        """Reads on; the answer once it is complete, None before."""
        self._held.feed(data)
        result = self._read()
        self._held.store_unread()
        if result is not None:
            self._held.clear()
        return result

    def ended(self) -> Reply | Unreadable:
        """The connection was closed, which is the end of some answers."""
        if self._part is _Part.BODY_TO_END:
            return Reply(self._status, b"".join(self._body), False)
        return Unreadable("the connection ended within an answer")

    def drop(self) -> None:
        """Reads nothing more."""
        self._held.clear()

    def _read(self) -> Reply | Unreadable | None:
        while True:
            if self._part is _Part.BODY_TO_END:
                return self._read_to_end()
            if self._part in (_Part.BODY_OF_LENGTH, _Part.CHUNK):
                if not self._read_counted():
                    return None
                if self._part is _Part.BODY_OF_LENGTH:
                    return self._complete()
                self._part = _Part.CHUNK_END
                continue
            line = self._held.read_line(_MAX_LINE_BYTES)
            if line is None:
                return Unreadable("a line is too long") if len(self._held) >= _MAX_LINE_BYTES else None
            result = self._read_line(line.decode("latin-1"))
            if result is not None:
                return result

    def _read_to_end(self) -> Unreadable | None:
        self._body.append(self._held.read(len(self._held)) or b"")
        self._body_bytes += len(self._body[-1])
        return Unreadable(TOO_LONG) if self._body_bytes > MAX_BODY_BYTES else None

    def _read_counted(self) -> bool:
        """Reads of a body or a chunk whose length is known; whether that is complete."""
        part = self._held.read(min(self._left, len(self._held))) or b""
        self._body.append(part)
        self._left -= len(part)
        return self._left == 0

    def _read_line(self, line: str) -> Reply | Unreadable | None:
        if self._part is _Part.STATUS:
            return self._read_status(line)
        if self._part is _Part.HEADERS:
            return self._read_header(line) if line else self._begin_body()
        if self._part is _Part.CHUNK_END:
            self._part = _Part.CHUNK_SIZE
            return Unreadable("a chunk is longer than told") if line else None
        if self._part is _Part.CHUNK_SIZE:
            return self._read_chunk_size(line)
        return None if line else self._complete()  # a trailer ends with an empty line

    def _read_status(self, line: str) -> Unreadable | None:
        words = line.split(" ", 2)
        status = parse_number(words[1], _MAX_STATUS) if len(words) > 1 else None
        if status is None or not words[0].startswith("HTTP/1."):
            return Unreadable("no status line")
        self._status = status
        self._part = _Part.HEADERS
        return None

    def _read_header(self, line: str) -> Unreadable | None:
        name, colon, value = line.partition(":")
        self._header_count += 1
        if not colon or self._header_count > _MAX_HEADERS:
            return Unreadable("no header")
        self._headers[name.strip().lower()] = value.strip()
        return None

    def _read_chunk_size(self, line: str) -> Unreadable | None:
        try:
            self._left = int(line.partition(";")[0].strip(), 16)
        except ValueError:
            return Unreadable("no chunk size")
        self._body_bytes += self._left
        if self._left < 0 or self._body_bytes > MAX_BODY_BYTES:
            return Unreadable(TOO_LONG)
        self._part = _Part.CHUNK if self._left else _Part.TRAILER
        return None

    def _begin_body(self) -> Reply | Unreadable | None:
        if self._status < _FIRST_FINAL_STATUS:
            self._headers, self._part = {}, _Part.STATUS  # an interim answer: the final one follows
            return None
        length = self._headers.get("content-length")
        if self._headers.get("transfer-encoding", "").lower() == "chunked":
            self._part = _Part.CHUNK_SIZE
        elif length is None:
            if self._status in _STATUSES_WITHOUT_BODY:
                return self._complete()
            self._part = _Part.BODY_TO_END
        else:
            size = parse_number(length, MAX_BODY_BYTES)
            if size is None:
                return Unreadable("no length that can be used")
            self._left, self._part = size, _Part.BODY_OF_LENGTH
        return None

    def _complete(self) -> Reply:
        keep = self._headers.get("connection", "").lower() != "close"
        return Reply(self._status, b"".join(self._body), keep)


def parse(
    data: Any, zones: Mapping[str, int], machine_kinds: Mapping[str, int]
) -> list[EngineListChange] | Unreadable:
    """The events of `{"n":..,"events":[..]}`, in order.

    Args:
        data: The body of an answer, or the JSON object that it holds.
        zones: The rows of the zones by their names.
        machine_kinds: The rows of the machine kinds by their names.
    """
    try:
        answer = json.loads(data) if isinstance(data, bytes) else data
        return [_change(event, zones, machine_kinds) for event in answer["events"]]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Unreadable(f"{type(error).__name__}: {error}")


def _change(
    event: dict[str, Any], zones: Mapping[str, int], machine_kinds: Mapping[str, int]
) -> EngineListChange:
    body = event.get("members")
    if body is None:
        return EngineListChange(int(event["n"]), False, [])  # of another kind; its number counts all the same
    engines = [_listed_engine(row, zones, machine_kinds) for row in body["members"]]
    return EngineListChange(int(event["n"]), bool(body.get("complete")), engines)


def _listed_engine(row: Any, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> ListedEngine:
    return ListedEngine(
        name=str(row["id"]),
        address=_address(row["host_port"]),
        state=STATES[row["phase"]],
        # A zone that the settings do not name is none of those that a service class may be bound to.
        zone=zones.get(row.get("locality"), len(zones)),
        machine_kind=machine_kinds.get(row.get("flavor"), len(machine_kinds)),
        cell=int(row.get("cell") or 0),
        size=float(row.get("size") or 1.0),
        started_at=int(float(row.get("up_since_ms") or 0) * TICKS_PER_MS),
    )


def split(address: str) -> tuple[str, int]:
    """Host and port; a ValueError where they are none."""
    host, _, port = address.rpartition(":")
    IPv4Address(host)  # there is no DNS, and looking a name up would start threads
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"no port: {address!r}")
    return host, int(port)


def _address(text: str) -> str:
    split(text)
    return text


class EventNumbers:
    """Which events are new: each is applied once, in order, and none past a gap unless it is a complete list.

    Attributes:
        held: The number of the last event that was applied.
    """

    def __init__(self) -> None:
        self.held = 0

    def take_new(self, changes: list[EngineListChange]) -> tuple[list[EngineListChange], bool]:
        """The changes to apply now, and whether something is missing before the rest."""
        new = list[EngineListChange]()
        for change in sorted(changes, key=lambda change: change.number):
            if change.number <= self.held:
                continue
            if change.number > self.held + 1 and not change.complete:
                return new, True
            self.held = change.number
            new.append(change)
        return new, False
