"""The lines of the control socket: requests in, replies out, one JSON object a line. Pure, fed with bytes.

A request is `{"v": 1, "op": "show", ...}`. Its reply is `{"v": 1, "ok": true}` with further keys, then rows,
each a line, then `{"end": true}`; or `{"v": 1, "ok": false, "why": "..."}` alone. Field names are keys on the
wire: one that is renamed here keeps its wire name with `msgspec.field(name=...)`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

VERSION = 1
MAX_LINE_BYTES = 4096
DEFAULT_ROW_LIMIT = 100_000


class Operation(StrEnum):
    """What operators ask of a running instance."""

    SHOW = "show"
    HISTORY = "history"
    PIN = "pin"
    UNPIN = "unpin"
    CONFIRM = "confirm"
    CHANGES = "changes"
    LIST = "list"
    PROXIES = "proxies"


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request.

    Attributes:
        engine: The name of an engine.
        source: The name of a source, if there are several.
        limit: How many rows the reply may have.
    """

    version: int = msgspec.field(name="v")
    operation: Operation = msgspec.field(name="op")
    engine: str = msgspec.field(default="", name="name")
    source: str = ""
    revision: int | None = None
    limit: int = msgspec.field(default=DEFAULT_ROW_LIMIT, name="most")


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A line that is no request, and why. `fatal`: nothing after it can be read."""

    reason: str
    fatal: bool = False


DECODER: msgspec.json.Decoder[Request] = msgspec.json.Decoder(Request)


class RequestParser:
    """Turns the bytes of one connection into requests."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Request | InvalidRequest]:
        """All requests that are complete with these bytes."""
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        requests = [_parse_line(bytes(line)) for line in lines]
        if len(rest) > MAX_LINE_BYTES:
            reason = f"a line too long, expected {MAX_LINE_BYTES} bytes at most"
            requests.append(InvalidRequest(reason, fatal=True))
            rest = bytearray()
        self._buffer = bytearray(rest)
        return requests


def _parse_line(line: bytes) -> Request | InvalidRequest:
    if len(line) > MAX_LINE_BYTES:
        return InvalidRequest("a line too long", fatal=True)
    try:
        request = DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return InvalidRequest(str(error))
    if request.version != VERSION:
        return InvalidRequest(f"version {request.version}, expected {VERSION}")
    return request


def encode_line(values: dict[str, Any]) -> bytes:
    """One line."""
    return msgspec.json.encode(values) + b"\n"


def encode_request(operation: str, **values: Any) -> bytes:
    """A request, with the keys of the wire."""
    return encode_line({"v": VERSION, "op": operation, **values})


def encode_head(**values: Any) -> bytes:
    """The first line of a reply."""
    return encode_line({"v": VERSION, "ok": True, **values})


def encode_error(reason: str) -> bytes:
    """The only line of a reply to a request that cannot be answered."""
    return encode_line({"v": VERSION, "ok": False, "why": reason})


END_ROW = {"end": True}
"""The last line of a reply."""
END_LINE = encode_line(END_ROW)
