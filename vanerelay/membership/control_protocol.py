"""The console's lines: requests in, answers out, one JSON object a line. A machine that is fed bytes.

A request is `{"v": 1, "op": "show", ...}`. Its answer is `{"v": 1, "ok": true}` with what there is to tell,
then rows, each a line, then `{"end": true}`; or `{"v": 1, "ok": false, "why": "..."}` alone."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

VERSION = 1
LINE_MOST = 4096  # bytes of a request
Op = Literal["show", "history", "pin", "unpin", "confirm", "changes", "list", "proxies"]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is asked. `name`: an engine; `source`: a source, if there are several; `most`: rows at the
    most."""

    v: int
    op: Op
    name: str = ""
    source: str = ""
    revision: int | None = None
    most: int = 100_000


class Wrong(msgspec.Struct, frozen=True):
    """Why a line cannot be answered. `last`: nothing after it could be read."""

    why: str
    last: bool = False


DECODER: msgspec.json.Decoder[Request] = msgspec.json.Decoder(Request)


class Lines:
    """Bytes into requests."""

    def __init__(self) -> None:
        self._begun = bytearray()

    def feed(self, data: bytes) -> list[Request | Wrong]:
        """All requests that are whole now."""
        self._begun += data
        *whole, rest = self._begun.split(b"\n")
        found = [
            Wrong("a line too long", True) if len(line) > LINE_MOST else _request(bytes(line))
            for line in whole
        ]
        if len(rest) > LINE_MOST:
            found.append(Wrong(f"a line too long, expected {LINE_MOST} bytes at most", True))
            rest = bytearray()
        self._begun = bytearray(rest)
        return found


def _request(line: bytes) -> Request | Wrong:
    try:
        request = DECODER.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        return Wrong(str(fault))
    return request if request.v == VERSION else Wrong(f"version {request.v}, expected {VERSION}")


def line(told: dict[str, Any]) -> bytes:
    return msgspec.json.encode(told) + b"\n"


def head(**told: Any) -> bytes:
    return line({"v": VERSION, "ok": True, **told})


def refusal(why: str) -> bytes:
    return line({"v": VERSION, "ok": False, "why": why})


END = line({"end": True})
