"""What managers say to each other of copies and sessions, and what engines say of copies. Pure."""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.freshness.replication_positions import Point, Told
from vanerelay.freshness.session_affinity import Pin
from vanerelay.freshness.shard_updates import Given, Row

COPY, SOURCE, GONE = 0, 1, -1
ROLES = {"copy": False, "source": True}

__all__ = ["MAX_MESSAGE_BYTES", "encode", "decode"]


class Pull(msgspec.Struct, frozen=True):
    """News of a shard are asked for: all up to `upto` of the watcher's `number` is held."""

    shard: int
    number: int = 0
    upto: int = 0


class News(msgspec.Struct, frozen=True):
    """`rows`: place in `names`, table group, serial, life, position, role; `ages`: of engines, by place."""

    number: int = 0
    holder: str = ""
    upto: int = 0
    more: bool = False
    names: list[str] = []
    rows: list[tuple[int, int, int, int, int, int]] = []
    ages: list[tuple[int, int]] = []


class PinAsk(msgspec.Struct, frozen=True):
    name: str
    lasts: int


class PinPut(msgspec.Struct, frozen=True):
    name: str
    lasts: int
    engine: str
    version: int
    life: int = -1
    number: int = -1


class PinTold(msgspec.Struct, frozen=True):
    """`engine` empty: none is known, `sure` whether it would be."""

    engine: str = ""
    version: int = 0
    life: int = -1
    number: int = -1
    sure: bool = False


class LoadAsk(msgspec.Struct, frozen=True):
    ref: str


class LoadPut(msgspec.Struct, frozen=True):
    ref: str
    group: int
    life: int
    number: int


class LoadTold(msgspec.Struct, frozen=True):
    """`life` below 0: it is not known."""

    group: int = 0
    life: int = -1
    number: int = -1


def news(given: Given) -> News:
    names = list(dict.fromkeys([*given.ages, *(row.engine for row in given.rows)]))
    place = {name: at for at, name in enumerate(names)}
    rows = [
        (place[row.engine], row.group, row.serial, row.told.point.life, row.told.point.number,
         SOURCE if row.told.source else COPY)
        if row.told is not None
        else (place[row.engine], row.group, row.serial, -1, -1, GONE)
        for row in given.rows
    ]  # fmt: skip
    ages = [(place[name], age) for name, age in given.ages.items()]
    return News(given.number, given.holder, given.upto, given.more, names, rows, ages)


def given(told: News) -> Given | None:
    """None where it can't be what a manager says."""
    names = told.names
    if any(not 0 <= row[0] < len(names) for row in (*told.rows, *told.ages)):
        return None
    rows = tuple(
        Row(names[at], group, serial, None if role == GONE else Told(Point(life, number), role == SOURCE))
        for at, group, serial, life, number, role in told.rows
    )
    ages = {names[at]: age for at, age in told.ages if age >= 0}
    return Given(told.number, told.holder, told.upto, rows, told.more, ages)


def pin(told: PinTold | PinPut) -> Pin | None:
    if not told.engine:
        return None
    seen = Point(told.life, told.number) if told.life >= 0 else None
    return Pin(told.engine, told.version, seen)


def pin_told(found: Pin | None, sure: bool) -> PinTold:
    if found is None:
        return PinTold(sure=sure)
    seen = found.seen or Point(-1, -1)
    return PinTold(found.engine, found.version, seen.life, seen.number, sure)


def pin_put(name: str, lasts: int, one: Pin) -> PinPut:
    seen = one.seen or Point(-1, -1)
    return PinPut(name, lasts, one.engine, one.version, seen.life, seen.number)


def rows(text: bytes, most: int) -> dict[int, Told] | None:
    """What an engine says of its copies: table group, life:position and role in each row; None where that is
    not what it says."""
    found = dict[int, Told]()
    for line in text.decode(errors="replace").splitlines():
        parts = line.split("\t")
        point = Point.read(parts[1]) if len(parts) == 3 else None
        if point is None or not parts[0].isdecimal() or len(parts[0]) > 15 or parts[2] not in ROLES:
            return None
        found[int(parts[0])] = Told(point, ROLES[parts[2]])
    return found if len(found) <= most else None
