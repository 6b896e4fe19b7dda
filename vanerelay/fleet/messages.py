"""What managers say to each other, as bytes (MessagePack) and back. Pure.

A body of a later release may have more fields, which are passed over; of an earlier one fewer, which have
their defaults. What can't be read is no body at all."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from vanerelay.fleet.failure_detector import Member, MemberState

T = TypeVar("T")
MAX_MESSAGE_BYTES = 60_000  # bytes of a body: AMP carries 65,535 in one value
ROWS = 200  # members told at once


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """A member on the wire."""

    name: str
    incarnation: int
    word: int = 0
    standing: int = 0
    domain: str = ""
    address: str = ""
    program: str = ""
    settings: str = ""
    state: str = ""
    orders: str = ""


class Ping(msgspec.Struct, frozen=True):
    """`own`: the sender; `news`: what it tells on; `join`: it wants all that is known; `fleet`: of which
    fleet it is."""

    fleet: str
    own: Row
    news: list[Row] = []
    join: bool = False


class Through(msgspec.Struct, frozen=True):
    """Asks another to ask `target`, which the sender does not reach."""

    fleet: str
    target: str
    address: str = ""


class Heard(msgspec.Struct, frozen=True):
    """The answer to both: `reached` whether the target answered."""

    news: list[Row] = []
    reached: bool = True


class View(msgspec.Struct, frozen=True):
    """All that a manager knows of its fleet, for people."""

    name: str
    fleet: str
    rows: list[Row]
    replaced: bool = False
    asks: int = 0
    answers: int = 0


def row(member: Member) -> Row:
    return Row(
        member.name,
        member.incarnation,
        member.word,
        int(member.standing),
        member.domain,
        member.address,
        member.program,
        member.settings,
        member.state,
        member.orders,
    )


def member(told: Row) -> Member | None:
    """None where it is of a standing that we do not know."""
    if not told.name or not 0 <= told.standing <= max(MemberState):
        return None
    return Member(
        told.name,
        told.incarnation,
        told.word,
        MemberState(told.standing),
        told.domain,
        told.address,
        told.program,
        told.settings,
        told.state,
        told.orders,
    )


def members(rows: list[Row]) -> list[Member]:
    return [one for one in map(member, rows[:ROWS]) if one is not None]


def encode(body: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(body)


def decode(data: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
