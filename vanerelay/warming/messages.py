"""What planners and managers say to each other. Pure."""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.warming.popularity import Slice

__all__ = ["MAX_MESSAGE_BYTES", "encode", "decode"]


class Ask(msgspec.Struct, frozen=True):
    """What was read, from that slice on."""

    since: int = 0


class SliceTold(msgspec.Struct, frozen=True):
    number: int
    age: int
    reads: bytes
    work: bytes
    loads: list[int]


class Told(msgspec.Struct, frozen=True):
    """`next`: the number of the slice that goes on; `read`: what orders took: table group, engine, work;
    since they were asked for last."""

    slices: list[SliceTold]
    next: int  # number of the slice that goes on
    read: list[tuple[int, str, int]] = []


class Do(msgspec.Struct, frozen=True):
    """Orders under a lease: table groups and engines, good for so long from now."""

    task: str
    number: int
    serial: int
    holder: str
    lasts: int
    orders: list[tuple[int, str]]


class Done(msgspec.Struct, frozen=True):
    """How many were taken; `later`: the number of a holder that has followed, where none was."""

    taken: int = 0
    later: int = 0


def slices(found: list[Slice]) -> list[SliceTold]:
    return [SliceTold(one.number, one.age, one.reads, one.work, list(one.loads)) for one in found]


def slice_(told: SliceTold) -> Slice:
    return Slice(told.number, told.age, told.reads, told.work, tuple(told.loads))
