"""List files: bytes into engines and back. Checks the form of one file alone; nothing here chooses.

A file is JSON: `{"revision": 7, "members": [...]}`, a member in the control feed's form (PROTOCOL, "The
control feed") and a `weight` from 0 to 1000, where 100 is the whole engine. `count`, if told, is the number
of members: a writer that adds it lets a reader see that rows are missing."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import EngineState
from vanerelay.net.discovery_codec import STATES

WHOLE = 100.0  # the weight of an engine that may be filled as a whole
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
PHASES = {state: phase for phase, state in STATES.items()}
PART = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# as net/feed.py takes them, in a tenth of its time
ADDRESS = re.compile(rf"(?:{PART}\.){{3}}{PART}:[0-9]{{1,5}}")
BYTE = re.compile(r"\(byte (\d+)\)")


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One member as written. `up_since_ms`: Unix milliseconds of a late start, else 0."""

    id: Name
    host_port: str
    locality: str
    flavor: str
    cell: Annotated[int, msgspec.Meta(ge=0, le=2**31)] = 0
    phase: Literal["SERVING", "DRAINING", "DELETED"] = "SERVING"
    size: Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 1.0
    up_since_ms: Figure = 0.0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1000)] = WHOLE


class Written(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    revision: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    members: list[Row]
    count: int | None = None


class Rough(msgspec.Struct, frozen=True):
    """The same with its rows unread, to find the one at fault."""

    members: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class Unusable:
    """Why a file cannot be used, in one line: where, and what was expected."""

    why: str


@dataclass(frozen=True, slots=True)
class EngineList:
    """One file as read. `digest` names its content: blake2b over the bytes, hex."""

    revision: int
    members: dict[str, ListedEngine]
    digest: str


DECODER: msgspec.json.Decoder[Written] = msgspec.json.Decoder(Written)
ROUGH: msgspec.json.Decoder[Rough] = msgspec.json.Decoder(Rough)
ROW: msgspec.json.Decoder[Row] = msgspec.json.Decoder(Row)


def digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def read(data: bytes, locations: Mapping[str, int], kinds: Mapping[str, int]) -> EngineList | Unusable:
    """Reads one file. `locations` and `kinds`: the names that the settings know, against their indices; with
    none known (a check without settings) any name goes."""
    try:
        written = DECODER.decode(data)
    except msgspec.ValidationError as fault:
        return Unusable(_which(data, str(fault)))
    except msgspec.DecodeError as fault:
        return Unusable(_where(data, str(fault)))
    except (UnicodeDecodeError, RecursionError) as fault:
        return Unusable(f"{type(fault).__name__}: expected JSON text in UTF-8")
    if written.count is not None and written.count != len(written.members):
        return Unusable(
            f"$.count: {written.count} members told, {len(written.members)} there: rows are missing"
        )
    members, addresses = dict[str, ListedEngine](), dict[str, str]()
    for place, row in enumerate(written.members):
        wrong = _check(row, locations, kinds)
        if wrong is None and row.id in members:
            wrong = f"id: a second {row.id!r}, expected each id once"
        if wrong is None and row.phase != "DELETED":
            other = addresses.setdefault(row.host_port, row.id)
            if other != row.id:
                wrong = f"host_port: {row.host_port} is that of {other!r} too, expected each address once"
        if wrong is not None:
            return Unusable(f"line {_line(data, place)}: $.members[{place}].{wrong}")
        members[row.id] = member(row, locations, kinds)
    return EngineList(written.revision, members, digest(data))


def member(row: Row, locations: Mapping[str, int], kinds: Mapping[str, int]) -> ListedEngine:
    return ListedEngine(
        name=row.id,
        address=row.host_port,
        state=STATES[row.phase],
        zone=locations.get(row.locality, len(locations)),
        machine_kind=kinds.get(row.flavor, len(kinds)),
        cell=row.cell,
        size=row.size,
        started_at=int(row.up_since_ms * 10),
        weight=row.weight / WHOLE,
    )


def told(one: ListedEngine, locations: list[str], kinds: list[str]) -> dict[str, object]:
    """A member in the form of the files, to be read by people and programs."""

    def name(names: list[str], index: int) -> str:
        return names[index] if index < len(names) else "?"

    return {
        "id": one.name,
        "host_port": one.address,
        "locality": name(locations, one.zone),
        "flavor": name(kinds, one.machine_kind),
        "cell": one.cell,
        "phase": PHASES[one.state],
        "size": one.size,
        "up_since_ms": one.started_at // 10,
        "weight": WHOLE if one.weight is None else one.weight * WHOLE,
    }


def _check(row: Row, locations: Mapping[str, int], kinds: Mapping[str, int]) -> str | None:
    if ADDRESS.fullmatch(row.host_port) is None or not 0 < int(row.host_port.rpartition(":")[2]) < 65_536:
        return f"host_port: {row.host_port!r}, expected an IPv4 literal and a port, such as 10.1.0.9:6565"
    for field, name, known in (("locality", row.locality, locations), ("flavor", row.flavor, kinds)):
        if known and name not in known:
            return f"{field}: {name!r}, expected one of {', '.join(sorted(known))}"
    return None


def _where(data: bytes, fault: str) -> str:
    found = BYTE.search(fault)
    at = int(found.group(1)) if found else len(data)
    return (
        f"line {data.count(10, 0, at) + 1}: {fault.removeprefix('JSON is malformed: ')}, expected whole JSON"
    )


def _which(data: bytes, fault: str) -> str:
    """The row that a validation error speaks of, whose path names no index."""
    try:
        for place, raw in enumerate(ROUGH.decode(data).members):
            try:
                ROW.decode(raw)
            except msgspec.ValidationError as closer:
                what, _, path = str(closer).partition(" - at `$")
                return f"line {_line(data, place)}: $.members[{place}]{path.rstrip('`')}: {what}"
    except (msgspec.MsgspecError, RecursionError):
        pass
    what, _, path = fault.partition(" - at `")
    return f"{path.rstrip('`') or '$'}: {what}"


def _line(data: bytes, place: int) -> int:
    """The line on which a member's row begins."""
    at = 0
    for raw in ROUGH.decode(data).members[: place + 1]:
        at = max(0, data.find(bytes(raw), at))
        start, at = at, at + len(raw)
    return data.count(10, 0, start) + 1


def pack(files: Mapping[str, EngineList], locations: list[str], kinds: list[str]) -> bytes:
    """Accepted files, by path, as one blob."""
    return msgspec.msgpack.encode(
        {
            path: (one.revision, one.digest, [told(m, locations, kinds) for m in one.members.values()])
            for path, one in files.items()
        }
    )


def unpack(
    blob: bytes, locations: Mapping[str, int], kinds: Mapping[str, int]
) -> dict[str, EngineList] | Unusable:
    """What `pack` made. Names that the settings no longer know are refused with the whole."""
    try:
        kept: dict[str, tuple[int, str, list[Row]]] = msgspec.msgpack.decode(
            blob, type=dict[str, tuple[int, str, list[Row]]]
        )
    except msgspec.MsgspecError as fault:
        return Unusable(str(fault))
    files = dict[str, EngineList]()
    for path, (revision, known_by, rows) in kept.items():
        wrong = next((w for w in (_check(row, locations, kinds) for row in rows) if w is not None), None)
        if wrong is not None:
            return Unusable(wrong)
        files[path] = EngineList(revision, {row.id: member(row, locations, kinds) for row in rows}, known_by)
    return files


def removed(one: ListedEngine) -> ListedEngine:
    """The word that an engine is gone."""
    return ListedEngine(
        one.name,
        one.address,
        EngineState.GONE,
        one.zone,
        one.machine_kind,
        one.cell,
        one.size,
        one.started_at,
        one.weight,
    )
