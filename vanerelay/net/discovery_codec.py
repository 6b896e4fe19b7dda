"""The protocol of the discovery service: polls over HTTP/1.1, and the events in their answers."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from ipaddress import IPv4Address
from typing import Any

from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import EngineState
from vanerelay.net.buffers import BufferPool, ReceiveBuffer, parse_number
from vanerelay.received_numbers import checked_number, checked_whole_number

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Maximum size of an answer's body; engine lists are much shorter."""
_MAX_LINE_BYTES, _MAX_HEADERS = 8_192, 100
MAX_LINES_AT_ONCE = 128
"""Maximum number of lines that are parsed in one call, as chunks may be as short as a byte."""
_CHUNK_SIZE = re.compile("[0-9a-fA-F]{1,16}")
_MAX_STATUS, _FIRST_FINAL_STATUS = 999, 200
_STATUSES_WITHOUT_BODY = (204, 304)
_MAX_PORT = 65_535
_MAX_WHOLE_NUMBER = 2**53
"""Upper bound of event numbers and cells, up to which numbers in JSON are exact."""
_MAX_SIZE, _MAX_START_MS = 1e9, 1e15
_MAX_ERROR_CHARACTERS = 200
TICKS_PER_MS = 10
STATES = {"SERVING": EngineState.UP, "DRAINING": EngineState.DRAINING, "DELETED": EngineState.GONE}
"""The states of engines by their names on the wire."""
TOO_LONG = "answer body is too long"


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer.

    Attributes:
        status: The status code.
        body: The body.
        keep_alive: Whether the connection can be used for the next request.
    """

    status: int
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Unreadable:
    """An answer that cannot be used, and the reason."""

    why: str


def request(host: str, last_applied: int, wait_ms: int) -> bytes:
    """Encodes a poll request.

    Args:
        host: The value of the Host header.
        last_applied: The number of the last event applied; the service answers with later ones.
        wait_ms: How long the service waits for an event before it answers without any, in milliseconds.
    """
    return (
        f"GET /v1/events?SUB={last_applied}&wait={wait_ms} HTTP/1.1\r\nHost: {host}\r\n"
        "Accept: application/json\r\n\r\n"
    ).encode()


class _Part(Enum):
    """The part of an answer that is parsed next."""

    STATUS = auto()
    HEADERS = auto()
    BODY_OF_LENGTH = auto()
    BODY_TO_END = auto()
    """A body that ends when the connection is closed."""
    CHUNK_SIZE = auto()
    CHUNK = auto()
    CHUNK_END = auto()
    TRAILER = auto()


class ReplyReader:
    """Parses one HTTP answer from bytes that arrive in pieces of any size.

    Attributes:
        is_paused: Whether received bytes are left that `resume` parses: one call parses `MAX_LINES_AT_ONCE`.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._buffer = ReceiveBuffer(pool)
        self._part = _Part.STATUS
        self._status = 0
        self._headers = dict[str, str]()
        self._header_count = 0
        self._body = bytearray()
        self.is_paused = False
        self._body_bytes = 0  # of a body in chunks, with the chunk that is read
        self._remaining = 0  # bytes of the body or the current chunk that are still missing

    def feed(self, data: bytes) -> Reply | Unreadable | None:
        """Parses more input; returns the answer once it is complete or found invalid, None before."""
        self._buffer.feed(data)
        return self.resume()

    def resume(self) -> Reply | Unreadable | None:
        """Parses more of the input received so far, as `feed` does."""
        result = self._read()
        if not self.is_paused:
            self._buffer.store_unread()
        if result is not None:
            self._buffer.clear()
        return result

    def connection_closed(self) -> Reply | Unreadable:
        """Returns the answer after the connection was closed, which ends a body without a length."""
        if self._part is _Part.BODY_TO_END:
            return Reply(self._status, bytes(self._body), False)
        return Unreadable("connection closed within an answer")

    def drop(self) -> None:
        """Releases the buffers; nothing more is read."""
        self._buffer.clear()

    def _read(self) -> Reply | Unreadable | None:
        self.is_paused = False
        for _ in range(MAX_LINES_AT_ONCE):
            if self._part is _Part.BODY_TO_END:
                return self._read_to_end()
            if self._part in (_Part.BODY_OF_LENGTH, _Part.CHUNK):
                if not self._read_known_length():
                    return None
                if self._part is _Part.BODY_OF_LENGTH:
                    return self._complete()
                self._part = _Part.CHUNK_END
                continue
            line = self._buffer.read_line(_MAX_LINE_BYTES)
            if line is None:
                return (
                    Unreadable("line of an answer is too long")
                    if len(self._buffer) >= _MAX_LINE_BYTES
                    else None
                )
            result = self._read_line(line.decode("latin-1"))
            if result is not None:
                return result
        self.is_paused = True
        return None

    def _read_to_end(self) -> Unreadable | None:
        self._body += self._buffer.read(len(self._buffer)) or b""
        return Unreadable(TOO_LONG) if len(self._body) > MAX_BODY_BYTES else None

    def _read_known_length(self) -> bool:
        """Reads the available part of a body or a chunk of known length; returns True if it is complete."""
        part = self._buffer.read(min(self._remaining, len(self._buffer))) or b""
        self._body += part
        self._remaining -= len(part)
        return self._remaining == 0

    def _read_line(self, line: str) -> Reply | Unreadable | None:
        if self._part is _Part.STATUS:
            return self._read_status(line)
        if self._part is _Part.HEADERS:
            return self._read_header(line) if line else self._begin_body()
        if self._part is _Part.CHUNK_END:
            self._part = _Part.CHUNK_SIZE
            return Unreadable("chunk is longer than its stated size") if line else None
        if self._part is _Part.CHUNK_SIZE:
            return self._read_chunk_size(line)
        return None if line else self._complete()  # a trailer ends with an empty line

    def _read_status(self, line: str) -> Unreadable | None:
        parts = line.split(" ", 2)
        status = parse_number(parts[1], _MAX_STATUS) if len(parts) > 1 else None
        if status is None or not parts[0].startswith("HTTP/1."):
            return Unreadable("malformed status line")
        self._status = status
        self._part = _Part.HEADERS
        return None

    def _read_header(self, line: str) -> Unreadable | None:
        name, colon, value = line.partition(":")
        self._header_count += 1
        if not colon or self._header_count > _MAX_HEADERS:
            return Unreadable("malformed header line or too many headers")
        self._headers[name.strip().lower()] = value.strip()
        return None

    def _read_chunk_size(self, line: str) -> Unreadable | None:
        digits = line.partition(";")[0].strip()
        if not _CHUNK_SIZE.fullmatch(digits):
            return Unreadable("malformed chunk size")
        self._remaining = int(digits, 16)
        self._body_bytes += self._remaining
        if self._body_bytes > MAX_BODY_BYTES:
            return Unreadable(TOO_LONG)
        self._part = _Part.CHUNK if self._remaining else _Part.TRAILER
        return None

    def _begin_body(self) -> Reply | Unreadable | None:
        if self._status < _FIRST_FINAL_STATUS:
            self._headers, self._part = {}, _Part.STATUS  # an interim answer; the final one follows
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
                return Unreadable("content-length is not a number or too large")
            self._remaining, self._part = size, _Part.BODY_OF_LENGTH
        return None

    def _complete(self) -> Reply:
        keep_alive = self._headers.get("connection", "").lower() != "close"
        return Reply(self._status, bytes(self._body), keep_alive)


def parse(
    data: Any, zones: Mapping[str, int], machine_kinds: Mapping[str, int]
) -> list[EngineListChange] | Unreadable:
    """Parses the events of an answer `{"n":..,"events":[..]}`, in order; an invalid one is `Unreadable`.

    Args:
        data: The body of an answer, or the JSON object decoded from it.
        zones: The indices of the zones by their names.
        machine_kinds: The indices of the machine kinds by their names.
    """
    try:
        answer = json.loads(data, parse_constant=_reject_constant) if isinstance(data, bytes) else data
        return [_change(event, zones, machine_kinds) for event in answer["events"]]
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Unreadable(f"{type(error).__name__}: {error}"[:_MAX_ERROR_CHARACTERS])


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def _change(
    event: dict[str, Any], zones: Mapping[str, int], machine_kinds: Mapping[str, int]
) -> EngineListChange:
    body = event.get("members")
    if body is None:
        # An event of another kind: only its number matters.
        return EngineListChange(_event_number(event), False, [])
    engines = [_listed_engine(row, zones, machine_kinds) for row in body["members"]]
    return EngineListChange(_event_number(event), bool(body.get("complete")), engines)


def _event_number(event: dict[str, Any]) -> int:
    return checked_whole_number(event["n"], _MAX_WHOLE_NUMBER)


def _listed_engine(row: Any, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> ListedEngine:
    return ListedEngine(
        name=_checked_name(row["id"]),
        address=_checked_address(row["host_port"]),
        state=STATES[row["phase"]],
        # A zone that the settings do not list gets an index that no service class can be bound to.
        zone=zones.get(row.get("locality"), len(zones)),
        machine_kind=machine_kinds.get(row.get("flavor"), len(machine_kinds)),
        cell=checked_whole_number(row.get("cell") or 0, _MAX_WHOLE_NUMBER),
        size=checked_number(row.get("size") or 1.0, _MAX_SIZE),
        started_at=int(checked_number(row.get("up_since_ms") or 0, _MAX_START_MS) * TICKS_PER_MS),
    )


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an address.

    Raises:
        ValueError: If the host is not an IPv4 address or the port is not valid.
    """
    host, _, port = address.rpartition(":")
    IPv4Address(host)  # names are not allowed: there is no DNS, and a lookup would start threads
    number = parse_number(port, _MAX_PORT)
    if not number:
        raise ValueError(f"invalid port in address: {address!r}")
    return host, number


def _checked_name(name: Any) -> str:
    """Returns the name of an engine, which has to be text that can be encoded: decisions hash it."""
    if not isinstance(name, str) or not name:
        raise ValueError("an engine without a name")
    name.encode()
    return name


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


class EventNumbers:
    """Selects the new events: each is applied once, in order, and none after a gap except a complete list.

    Attributes:
        last_applied: The number of the last event applied.
    """

    def __init__(self) -> None:
        self.last_applied = 0

    def take_new(self, changes: list[EngineListChange]) -> tuple[list[EngineListChange], bool]:
        """Returns the changes to apply now, and whether events are missing before the remaining ones."""
        new = list[EngineListChange]()
        for change in sorted(changes, key=lambda change: change.number):
            if change.number <= self.last_applied:
                continue
            if change.number > self.last_applied + 1 and not change.complete:
                return new, True
            self.last_applied = change.number
            new.append(change)
        return new, False
