"""Messages between gateways of a fleet, and their encoding as MessagePack. Without I/O.

Messages of later releases may have more fields, which are ignored. Messages of earlier releases may have
fewer; the missing fields take their defaults. A body that cannot be decoded counts as none. Field names are
keys on the wire: a field with another name here keeps its wire name with `msgspec.field(name=...)`.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from vanerelay.fleet.failure_detector import Member, MemberState

T = TypeVar("T")

MAX_MESSAGE_BYTES = 60_000
"""Largest size of a body in bytes; AMP carries at most 65,535 bytes in one value."""

MAX_ROWS = 200
"""Largest number of members in one message, so that it stays within `MAX_MESSAGE_BYTES`."""

PING_KIND = "ping"
INDIRECT_PING_KIND = "through"
VIEW_KIND = "view"


class MemberRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A member of the fleet in its wire form; see `Member` for the fields."""

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
    """A direct probe, with gossip.

    Attributes:
        fleet: Name of the fleet that the sender belongs to.
        own: The sender's report on itself.
        gossip: Reports on other members.
        join: True if the sender asks for the full state in the reply.
    """

    fleet: str
    own: MemberRow
    gossip: list[MemberRow] = msgspec.field(default_factory=list, name="news")
    join: bool = False


class IndirectPing(msgspec.Struct, frozen=True):
    """A request to probe `target`, which the sender could not reach."""

    fleet: str
    target: str
    address: str = ""


class PingReply(msgspec.Struct, frozen=True):
    """The reply to a direct or an indirect probe.

    Attributes:
        gossip: Reports on members.
        reached: True if the target of an indirect probe replied; always True for a direct one.
    """

    gossip: list[MemberRow] = msgspec.field(default_factory=list, name="news")
    reached: bool = True


class View(msgspec.Struct, frozen=True):
    """A gateway's view of its fleet, for operators.

    Attributes:
        name: Name of the gateway.
        fleet: Name of its fleet.
        rows: The members that it knows, itself included.
        replaced: True if another process has joined under its name.
        requests_sent: Requests of failure detection that it has sent since its start.
        requests_answered: Requests of failure detection that it has answered since its start.
    """

    name: str
    fleet: str
    rows: list[MemberRow]
    replaced: bool = False
    requests_sent: int = msgspec.field(default=0, name="asks")
    requests_answered: int = msgspec.field(default=0, name="answers")


def to_row(member: Member) -> MemberRow:
    """Returns a member in its wire form."""
    return MemberRow(
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


def to_rows(members: list[Member]) -> list[MemberRow]:
    """Returns members in their wire form."""
    return [to_row(member) for member in members]


def to_member(row: MemberRow) -> Member | None:
    """Returns the member of a wire form; None if its name is empty or its state unknown."""
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


def to_members(rows: list[MemberRow]) -> list[Member]:
    """Returns the members of the first `MAX_ROWS` rows, without those that `to_member` rejects."""
    return [member for member in map(to_member, rows[:MAX_ROWS]) if member is not None]


def encode(body: msgspec.Struct) -> bytes:
    """Returns a message body encoded as MessagePack."""
    return msgspec.msgpack.encode(body)


def decode(data: bytes, body_type: type[T]) -> T | None:
    """Returns the message body of type `body_type` that `data` encodes; None if it cannot be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
