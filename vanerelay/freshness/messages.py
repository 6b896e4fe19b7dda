"""Messages between gateways about replicas and sessions, and what engines report of their replicas. Codec.

The names of fields on the wire are those of the first release, set down in `msgspec.field`.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.freshness.replication_positions import Position, ReplicaState
from vanerelay.freshness.session_affinity import LoadEnd, SessionLookup, SessionRecord
from vanerelay.freshness.shard_updates import Row, ShardUpdate, UpdateRequest

SHARD_UPDATE_KIND = "fresh-news"
SESSION_LOOKUP_KIND = "fresh-pin"
SESSION_STORE_KIND = "fresh-pin-put"
LOAD_LOOKUP_KIND = "fresh-load"
LOAD_STORE_KIND = "fresh-load-put"

UNKNOWN = -1
"""The incarnation and number of a position that is not known."""

MAX_GROUP_DIGITS = 15
"""Digits of a table group's number."""

_ROLES = {"copy": False, "source": True}
"""Whether a replica is the source, by the word that engines report."""

__all__ = ["MAX_MESSAGE_BYTES", "encode", "decode"]


class Role(IntEnum):
    """What an engine is to a table group, in a row of a shard update."""

    GONE = -1
    REPLICA = 0
    SOURCE = 1


class ShardUpdateRequest(msgspec.Struct, frozen=True):
    """Asks for a shard's rows; all up to a serial under the watcher's token are held."""

    shard: int
    token: int = msgspec.field(default=0, name="number")
    held_serial: int = msgspec.field(default=0, name="upto")


class ShardUpdateMessage(msgspec.Struct, frozen=True):
    """A shard update.

    Attributes:
        engines: The names to which rows and ages refer, by their place here.
        rows: Place of the engine, table group, serial, incarnation, number, role.
        ages: Place of the engine, how long ago it was polled.
    """

    token: int = msgspec.field(default=0, name="number")
    holder: str = ""
    complete_serial: int = msgspec.field(default=0, name="upto")
    has_more: bool = msgspec.field(default=False, name="more")
    engines: list[str] = msgspec.field(default_factory=list, name="names")
    rows: list[tuple[int, int, int, int, int, int]] = []
    ages: list[tuple[int, int]] = []


class SessionLookupRequest(msgspec.Struct, frozen=True):
    """Asks what is stored of a session, and stores it for its lifetime from now."""

    name: str
    lifetime: int = msgspec.field(name="lasts")


class SessionStoreRequest(msgspec.Struct, frozen=True):
    """Stores a session; incarnation and number are those of the highest position it has read at."""

    name: str
    lifetime: int = msgspec.field(name="lasts")
    engine: str
    version: int
    incarnation: int = msgspec.field(default=UNKNOWN, name="life")
    number: int = UNKNOWN


class SessionReply(msgspec.Struct, frozen=True):
    """What is stored of a session; `engine` empty: nothing, `certain`: whether something would surely be."""

    engine: str = ""
    version: int = 0
    incarnation: int = msgspec.field(default=UNKNOWN, name="life")
    number: int = UNKNOWN
    certain: bool = msgspec.field(default=False, name="sure")


class LoadLookupRequest(msgspec.Struct, frozen=True):
    """Asks where a load ended."""

    reference: str = msgspec.field(name="ref")


class LoadStoreRequest(msgspec.Struct, frozen=True):
    """Stores where a load ended."""

    reference: str = msgspec.field(name="ref")
    table_group: int = msgspec.field(name="group")
    incarnation: int = msgspec.field(name="life")
    number: int


class LoadReply(msgspec.Struct, frozen=True):
    """Where a load ended; `incarnation` below 0: it is not known."""

    table_group: int = msgspec.field(default=0, name="group")
    incarnation: int = msgspec.field(default=UNKNOWN, name="life")
    number: int = UNKNOWN

    @property
    def known(self) -> bool:
        """Whether the load is known."""
        return self.incarnation >= 0


def shard_update_request(shard: int, request: UpdateRequest) -> ShardUpdateRequest:
    """The message that asks for an update of a shard."""
    return ShardUpdateRequest(shard, request.token, request.held_serial)


def update_request(message: ShardUpdateRequest) -> UpdateRequest:
    """What the sender of a message holds."""
    return UpdateRequest(message.token, message.held_serial)


def shard_update_message(update: ShardUpdate) -> ShardUpdateMessage:
    """The message that carries an update."""
    engines = list(dict.fromkeys([*update.ages, *(row.engine for row in update.rows)]))
    place = {name: index for index, name in enumerate(engines)}
    rows = [_encode_row(place[row.engine], row) for row in update.rows]
    ages = [(place[name], age) for name, age in update.ages.items()]
    return ShardUpdateMessage(
        update.token, update.holder, update.complete_serial, update.has_more, engines, rows, ages
    )


def _encode_row(place: int, row: Row) -> tuple[int, int, int, int, int, int]:
    if row.state is None:
        return place, row.table_group, row.serial, UNKNOWN, UNKNOWN, Role.GONE.value
    role = Role.SOURCE if row.state.is_source else Role.REPLICA
    position = row.state.position
    return place, row.table_group, row.serial, position.incarnation, position.number, role.value


def shard_update(message: ShardUpdateMessage) -> ShardUpdate | None:
    """The update that a message carries; None where no gateway can have sent it."""
    engines = message.engines
    if any(not 0 <= row[0] < len(engines) for row in (*message.rows, *message.ages)):
        return None
    rows = tuple(
        Row(engines[place], group, serial, _decode_state(incarnation, number, role))
        for place, group, serial, incarnation, number, role in message.rows
    )
    ages = {engines[place]: age for place, age in message.ages if age >= 0}
    return ShardUpdate(message.token, message.holder, message.complete_serial, rows, message.has_more, ages)


def _decode_state(incarnation: int, number: int, role: int) -> ReplicaState | None:
    if role == Role.GONE:
        return None
    return ReplicaState(Position(incarnation, number), role == Role.SOURCE)


def session_record(message: SessionReply | SessionStoreRequest) -> SessionRecord | None:
    """The session that a message carries; None where it carries none."""
    if not message.engine:
        return None
    seen = Position(message.incarnation, message.number) if message.incarnation >= 0 else None
    return SessionRecord(message.engine, message.version, seen)


def session_lookup(message: SessionReply) -> SessionLookup:
    """What a gateway answers of a session."""
    return SessionLookup(session_record(message), message.certain)


def session_reply(lookup: SessionLookup) -> SessionReply:
    """The message that answers a session."""
    record = lookup.record
    if record is None:
        return SessionReply(certain=lookup.certain)
    seen = record.seen or Position(UNKNOWN, UNKNOWN)
    return SessionReply(record.engine, record.version, seen.incarnation, seen.number, lookup.certain)


def session_store_request(name: str, lifetime: int, record: SessionRecord) -> SessionStoreRequest:
    """The message that stores a session."""
    seen = record.seen or Position(UNKNOWN, UNKNOWN)
    return SessionStoreRequest(name, lifetime, record.engine, record.version, seen.incarnation, seen.number)


def load_store_request(reference: str, end: LoadEnd) -> LoadStoreRequest:
    """The message that stores where a load ended."""
    return LoadStoreRequest(reference, end.table_group, end.position.incarnation, end.position.number)


def load_reply(end: LoadEnd | None) -> LoadReply:
    """The message that answers where a load ended."""
    if end is None:
        return LoadReply()
    return LoadReply(end.table_group, end.position.incarnation, end.position.number)


def load_end(message: LoadStoreRequest | LoadReply) -> LoadEnd:
    """Where a message says that a load ended."""
    return LoadEnd(message.table_group, Position(message.incarnation, message.number))


def parse_replica_rows(text: bytes, max_rows: int) -> dict[int, ReplicaState] | None:
    """What an engine reports of its replicas, by table group; None where the report is malformed.

    Each row has three columns between tabs: table group, position, role.
    """
    states = dict[int, ReplicaState]()
    for line in text.decode(errors="replace").splitlines():
        columns = line.split("\t")
        if len(columns) != 3:
            return None
        group, position, role = columns[0], Position.parse(columns[1]), columns[2]
        if position is None or not group.isdecimal() or len(group) > MAX_GROUP_DIGITS or role not in _ROLES:
            return None
        states[int(group)] = ReplicaState(position, _ROLES[role])
    return states if len(states) <= max_rows else None
