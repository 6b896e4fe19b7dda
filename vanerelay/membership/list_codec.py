"""List files: bytes into engines and back. Checks the form of one file alone; decides nothing.

A file is JSON: `{"revision": 7, "members": [...]}`, a member in the control feed's form (PROTOCOL, "The
control feed") and a `weight` from 0 to 1000, where 100 is the whole engine. `count`, if present, is the
number of members: a writer that adds it lets a reader see that rows are missing.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from vanerelay.engine_list import ListedEngine
from vanerelay.membership.errors import ListFileError
from vanerelay.net.discovery_codec import STATES

FULL_WEIGHT = 100.0
"""The weight, as written, of an engine that may be filled as a whole."""

TICKS_PER_MILLISECOND = 10
NEWLINE = ord("\n")
DIGEST_BYTES = 16
PORT_LIMIT = 65_536
PHASES = {state: phase for phase, state in STATES.items()}
UNKNOWN_NAME = "?"
"""Stands for a zone or machine kind that the settings no longer know."""

IPV4_PART = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# As net/discovery_codec.py accepts them, in a tenth of its time.
ADDRESS = re.compile(rf"(?:{IPV4_PART}\.){{3}}{IPV4_PART}:[0-9]{{1,5}}")
BYTE_POSITION = re.compile(r"\(byte (\d+)\)")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One member as written. `up_since_ms`: Unix milliseconds of a late start, else 0."""

    id: Name
    host_port: str
    locality: str
    flavor: str
    cell: Annotated[int, msgspec.Meta(ge=0, le=2**31)] = 0
    phase: Literal["SERVING", "DRAINING", "DELETED"] = "SERVING"
    size: Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 1.0
    up_since_ms: Milliseconds = 0.0
    weight: Annotated[float, msgspec.Meta(ge=0, le=1000)] = FULL_WEIGHT


class ListDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A list file as written."""

    revision: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    members: list[Row]
    count: int | None = None


class RawListDocument(msgspec.Struct, frozen=True):
    """The same with its rows not decoded, to find the one that is wrong."""

    members: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class EngineList:
    """One file as read. `digest` names its content: blake2b over the bytes, hex."""

    revision: int
    engines: dict[str, ListedEngine]
    digest: str


DECODER: msgspec.json.Decoder[ListDocument] = msgspec.json.Decoder(ListDocument)
RAW_DECODER: msgspec.json.Decoder[RawListDocument] = msgspec.json.Decoder(RawListDocument)
ROW_DECODER: msgspec.json.Decoder[Row] = msgspec.json.Decoder(Row)


def digest(data: bytes) -> str:
    """The name of a file's content."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def read(data: bytes, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> EngineList:
    """Reads one file; raises ListFileError.

    `zones` and `machine_kinds` are the names that the settings know, with their indices; where none are known
    (a check without settings) any name is accepted.
    """
    document = _decode(data)
    if document.count is not None and document.count != len(document.members):
        raise ListFileError(
            f"$.count: {document.count} members told, {len(document.members)} there: rows are missing"
        )
    engines, addresses = dict[str, ListedEngine](), dict[str, str]()
    for index, row in enumerate(document.members):
        problem = _name_problem(row, zones, machine_kinds) or _duplicate_problem(row, engines, addresses)
        if problem is not None:
            raise ListFileError(f"line {_line_of_row(data, index)}: $.members[{index}].{problem}")
        engines[row.id] = to_engine(row, zones, machine_kinds)
    return EngineList(document.revision, engines, digest(data))


def to_engine(row: Row, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> ListedEngine:
    """An engine out of its row."""
    return ListedEngine(
        name=row.id,
        address=row.host_port,
        state=STATES[row.phase],
        zone=zones.get(row.locality, len(zones)),
        machine_kind=machine_kinds.get(row.flavor, len(machine_kinds)),
        cell=row.cell,
        size=row.size,
        started_at=int(row.up_since_ms * TICKS_PER_MILLISECOND),
        weight=row.weight / FULL_WEIGHT,
    )


def to_row(engine: ListedEngine, zones: list[str], machine_kinds: list[str]) -> dict[str, object]:
    """An engine in the form of the files."""

    def name(names: list[str], index: int) -> str:
        return names[index] if index < len(names) else UNKNOWN_NAME

    return {
        "id": engine.name,
        "host_port": engine.address,
        "locality": name(zones, engine.zone),
        "flavor": name(machine_kinds, engine.machine_kind),
        "cell": engine.cell,
        "phase": PHASES[engine.state],
        "size": engine.size,
        "up_since_ms": engine.started_at // TICKS_PER_MILLISECOND,
        "weight": FULL_WEIGHT if engine.weight is None else engine.weight * FULL_WEIGHT,
    }


def pack(files: Mapping[str, EngineList], zones: list[str], machine_kinds: list[str]) -> bytes:
    """Accepted files, by path, as one blob for the store."""
    return msgspec.msgpack.encode(
        {
            path: (
                file.revision,
                file.digest,
                [to_row(engine, zones, machine_kinds) for engine in file.engines.values()],
            )
            for path, file in files.items()
        }
    )


def unpack(blob: bytes, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> dict[str, EngineList]:
    """The files out of a blob that `pack` made; raises ListFileError.

    Where the settings no longer know a name, nothing of the blob is used.
    """
    try:
        stored: dict[str, tuple[int, str, list[Row]]] = msgspec.msgpack.decode(
            blob, type=dict[str, tuple[int, str, list[Row]]]
        )
    except msgspec.MsgspecError as error:
        raise ListFileError(str(error)) from error
    files = dict[str, EngineList]()
    for path, (revision, content_digest, rows) in stored.items():
        for row in rows:
            problem = _name_problem(row, zones, machine_kinds)
            if problem is not None:
                raise ListFileError(problem)
        engines = {row.id: to_engine(row, zones, machine_kinds) for row in rows}
        files[path] = EngineList(revision, engines, content_digest)
    return files


def _decode(data: bytes) -> ListDocument:
    try:
        return DECODER.decode(data)
    except msgspec.ValidationError as error:
        raise ListFileError(_locate_invalid_row(data, str(error))) from error
    except msgspec.DecodeError as error:
        raise ListFileError(_locate_malformed_json(data, str(error))) from error
    except (UnicodeDecodeError, RecursionError) as error:
        raise ListFileError(f"{type(error).__name__}: expected JSON text in UTF-8") from error


def _name_problem(row: Row, zones: Mapping[str, int], machine_kinds: Mapping[str, int]) -> str | None:
    """What is wrong with the address, the zone or the machine kind of a row."""
    if ADDRESS.fullmatch(row.host_port) is None or not 0 < int(row.host_port.rpartition(":")[2]) < PORT_LIMIT:
        return f"host_port: {row.host_port!r}, expected an IPv4 literal and a port, such as 10.1.0.9:6565"
    for field, name, known in (("locality", row.locality, zones), ("flavor", row.flavor, machine_kinds)):
        if known and name not in known:
            return f"{field}: {name!r}, expected one of {', '.join(sorted(known))}"
    return None


def _duplicate_problem(
    row: Row, engines: Mapping[str, ListedEngine], addresses: dict[str, str]
) -> str | None:
    """Whether an earlier row has the same id or address; enters the address."""
    if row.id in engines:
        return f"id: a second {row.id!r}, expected each id once"
    if row.phase == "DELETED":
        return None
    owner = addresses.setdefault(row.host_port, row.id)
    if owner != row.id:
        return f"host_port: {row.host_port} is that of {owner!r} too, expected each address once"
    return None


def _locate_malformed_json(data: bytes, message: str) -> str:
    found = BYTE_POSITION.search(message)
    position = int(found.group(1)) if found else len(data)
    line = data.count(NEWLINE, 0, position) + 1
    return f"line {line}: {message.removeprefix('JSON is malformed: ')}, expected whole JSON"


def _locate_invalid_row(data: bytes, message: str) -> str:
    """Names the row that a validation error is about, whose path has no index."""
    try:
        for index, raw in enumerate(RAW_DECODER.decode(data).members):
            try:
                ROW_DECODER.decode(raw)
            except msgspec.ValidationError as row_error:
                what, _, path = str(row_error).partition(" - at `$")
                return f"line {_line_of_row(data, index)}: $.members[{index}]{path.rstrip('`')}: {what}"
    except (msgspec.MsgspecError, RecursionError):
        pass
    what, _, path = message.partition(" - at `")
    return f"{path.rstrip('`') or '$'}: {what}"


def _line_of_row(data: bytes, index: int) -> int:
    """The line on which a row begins."""
    position = 0
    for raw in RAW_DECODER.decode(data).members[: index + 1]:
        position = max(0, data.find(bytes(raw), position))
        start, position = position, position + len(raw)
    return data.count(NEWLINE, 0, start) + 1
