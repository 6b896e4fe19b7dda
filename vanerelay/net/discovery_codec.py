"""The feed's side of HTTP/1.1: a machine that is fed an answer's bytes, and the events it carries."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import EngineState
from vanerelay.net.buffers import Gather, Pool, number

_LINE_MOST, _HEADERS_MOST = 8_192, 100
BODY_MOST = 4 * 1024 * 1024  # no list is nearly as long
STATES = {"SERVING": EngineState.UP, "DRAINING": EngineState.DRAINING, "DELETED": EngineState.GONE}


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    body: bytes
    keep: bool  # whether the connection can be asked again


@dataclass(frozen=True, slots=True)
class Unreadable:
    why: str


def request(host: str, held: int, wait_ms: int) -> bytes:
    return (
        f"GET /v1/events?SUB={held}&wait={wait_ms} HTTP/1.1\r\nHost: {host}\r\n"
        "Accept: application/json\r\n\r\n"
    ).encode()


class ReplyReader:
    """Fed one answer in any pieces; `ended` says that the connection was closed."""

    def __init__(self, pool: Pool) -> None:
        self._held = Gather(pool)
        self._status, self._headers = 0, dict[str, str]()
        self._part, self._body = "status", list[bytes]()
        self._left, self._size, self._lines = 0, 0, 0

    def feed(self, data: bytes) -> Reply | Unreadable | None:
        self._held.feed(data)
        result = self._go()
        self._held.keep()
        if result is not None:
            self._held.drop()
        return result

    def ended(self) -> Reply | Unreadable:
        if self._part == "until the end":
            return Reply(self._status, b"".join(self._body), False)
        return Unreadable("the connection ended within an answer")

    def drop(self) -> None:
        self._held.drop()

    def _go(self) -> Reply | Unreadable | None:
        while True:
            if self._part in ("length", "chunk"):
                part = self._held.read(min(self._left, len(self._held))) or b""
                self._body.append(part)
                self._left -= len(part)
                if self._left:
                    return None
                if self._part == "length":
                    return self._whole()
                self._part = "chunk end"
            elif self._part == "until the end":
                self._body.append(self._held.read(len(self._held)) or b"")
                self._size += len(self._body[-1])
                return Unreadable("an answer is too long") if self._size > BODY_MOST else None
            else:
                line = self._held.line(_LINE_MOST)
                if line is None:
                    return Unreadable("a line is too long") if len(self._held) >= _LINE_MOST else None
                result = self._line(line.decode("latin-1"))
                if result is not None:
                    return result

    def _line(self, line: str) -> Reply | Unreadable | None:
        if self._part == "status":
            words = line.split(" ", 2)
            status = number(words[1], 999) if len(words) > 1 else None
            if status is None or not words[0].startswith("HTTP/1."):
                return Unreadable("no status line")
            self._status, self._part = status, "headers"
        elif self._part == "headers" and line:
            name, colon, value = line.partition(":")
            self._lines += 1
            if not colon or self._lines > _HEADERS_MOST:
                return Unreadable("no header")
            self._headers[name.strip().lower()] = value.strip()
        elif self._part == "headers":
            return self._begin()
        elif self._part == "chunk end":
            if line:
                return Unreadable("a chunk is longer than told")
            self._part = "chunk size"
        elif self._part == "chunk size":
            try:
                self._left = int(line.partition(";")[0].strip(), 16)
            except ValueError:
                return Unreadable("no chunk size")
            self._size += self._left
            if self._left < 0 or self._size > BODY_MOST:
                return Unreadable("an answer is too long")
            self._part = "chunk" if self._left else "trailer"
        elif not line:
            return self._whole()
        return None

    def _begin(self) -> Reply | Unreadable | None:
        if self._status < 200:
            self._headers, self._part = {}, "status"  # an interim answer: the real one follows
            return None
        length = self._headers.get("content-length")
        if self._headers.get("transfer-encoding", "").lower() == "chunked":
            self._part = "chunk size"
        elif length is None:
            if self._status in (204, 304):
                return self._whole()
            self._part = "until the end"
        else:
            told = number(length, BODY_MOST)
            if told is None:
                return Unreadable("no length that can be used")
            self._left, self._part = told, "length"
        return None

    def _whole(self) -> Reply:
        keep = self._headers.get("connection", "").lower() != "close"
        return Reply(self._status, b"".join(self._body), keep)


def parse(
    data: Any, locations: Mapping[str, int], kinds: Mapping[str, int]
) -> list[EngineListChange] | Unreadable:
    """The events of `{"n":..,"events":[..]}`, in order."""
    try:
        told = json.loads(data) if isinstance(data, bytes) else data
        return [_change(event, locations, kinds) for event in told["events"]]
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        return Unreadable(f"{type(fault).__name__}: {fault}")


def _change(
    event: dict[str, Any], locations: Mapping[str, int], kinds: Mapping[str, int]
) -> EngineListChange:
    body = event.get("members")
    if body is None:
        return EngineListChange(int(event["n"]), False, [])  # of another kind; its number counts all the same
    return EngineListChange(
        int(event["n"]),
        bool(body.get("complete")),
        [
            ListedEngine(
                name=str(row["id"]),
                address=_address(row["host_port"]),
                state=STATES[row["phase"]],
                # One that the settings do not name is none of those that a service group may be bound to.
                zone=locations.get(row.get("locality"), len(locations)),
                machine_kind=kinds.get(row.get("flavor"), len(kinds)),
                cell=int(row.get("cell") or 0),
                size=float(row.get("size") or 1.0),
                started_at=int(float(row.get("up_since_ms") or 0) * 10),
            )
            for row in body["members"]
        ],
    )


def split(address: str) -> tuple[str, int]:
    """Host and port; a ValueError where they are none."""
    host, _, port = address.rpartition(":")
    IPv4Address(host)  # there is no DNS, and looking a name up would start threads
    if not 0 < int(port) < 65_536:
        raise ValueError(f"no port: {address!r}")
    return host, int(port)


def _address(text: str) -> str:
    split(text)
    return text


class Numbering:
    """Which events are new: each is applied once, in order, and none past a gap unless it is a whole list."""

    def __init__(self) -> None:
        self.held = 0

    def fresh(self, changes: list[EngineListChange]) -> tuple[list[EngineListChange], bool]:
        """The changes to apply now, and whether something is missing before the rest."""
        new, gap = list[EngineListChange](), False
        for change in sorted(changes, key=lambda change: change.number):
            if change.number <= self.held:
                continue
            if change.number > self.held + 1 and not change.complete:
                gap = True
                break
            self.held = change.number
            new.append(change)
        return new, gap
