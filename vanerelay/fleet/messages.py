"""Messages between gateways of a fleet, as bytes (MessagePack) and back. Pure.

A body of a later release may have more fields, which are ignored; one of an earlier release has fewer, and
the missing ones take their defaults. What cannot be decoded is no body at all. Field names are keys on the
wire: one that is renamed here keeps its wire name with `msgspec.field(name=...)`.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from vanerelay.fleet.failure_detector import Member, MemberState

T = TypeVar("T")

MAX_MESSAGE_BYTES = 60_000
"""Bytes of a body: AMP carries at most 65,535 in one value."""

MAX_ROWS = 200
"""Members in one message, which keeps the longest ones within `MAX_MESSAGE_BYTES`."""

PING_KIND = "ping"
INDIRECT_PING_KIND = "through"
VIEW_KIND = "view"


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """A member on the wire."""

    name: str
    incarnation: int
    sequence_number: int = msgspec.field(default=0, name="word")
    status: int = msgspec.field(default=0, name="standing")
    domain: str = ""
    address: str = ""
    program: str = ""
    settings: str = ""
    state: str = ""
    orders: str = ""


class Ping(msgspec.Struct, frozen=True):
    """A direct probe with gossip.

    Attributes:
        fleet: The fleet that the sender belongs to.
        own: The sender.
        gossip: Reports on other members.
        join: Whether the sender wants the full state in reply.
    """

    fleet: str
    own: Row
    gossip: list[Row] = msgspec.field(default_factory=list, name="news")
    join: bool = False


class IndirectPing(msgspec.Struct, frozen=True):
    """Requests that the receiver probes `target`, which the sender does not reach."""

    fleet: str
    target: str
    address: str = ""


class PingReply(msgspec.Struct, frozen=True):
    """The reply to both kinds of probe: gossip, and whether the target was reached."""

    gossip: list[Row] = msgspec.field(default_factory=list, name="news")
    reached: bool = True


class View(msgspec.Struct, frozen=True):
    """All that a gateway knows of its fleet, for operators."""

    name: str
    fleet: str
    rows: list[Row]
    replaced: bool = False
    requests_sent: int = msgspec.field(default=0, name="asks")
    requests_answered: int = msgspec.field(default=0, name="answers")


def to_row(member: Member) -> Row:
    """A member in its form on the wire."""
    return Row(
        name=member.name,
        incarnation=member.incarnation,
        sequence_number=member.sequence_number,
        status=int(member.status),
        domain=member.domain,
        address=member.address,
        program=member.program,
        settings=member.settings,
        state=member.state,
        orders=member.orders,
    )


def to_rows(members: list[Member]) -> list[Row]:
    """Members in their form on the wire."""
    return [to_row(member) for member in members]


def to_member(row: Row) -> Member | None:
    """A member out of its form on the wire; None where it has no name or a state that is not known."""
    if not row.name or not 0 <= row.status <= max(MemberState):
        return None
    return Member(
        name=row.name,
        incarnation=row.incarnation,
        sequence_number=row.sequence_number,
        status=MemberState(row.status),
        domain=row.domain,
        address=row.address,
        program=row.program,
        settings=row.settings,
        state=row.state,
        orders=row.orders,
    )


def to_members(rows: list[Row]) -> list[Member]:
    """The members out of the first `MAX_ROWS` rows, without those that are not understood."""
    return [member for member in map(to_member, rows[:MAX_ROWS]) if member is not None]


def encode(body: msgspec.Struct) -> bytes:
    """The bytes of a body."""
    return msgspec.msgpack.encode(body)


def decode(data: bytes, kind: type[T]) -> T | None:
    """The body of a kind out of its bytes; None where they cannot be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
