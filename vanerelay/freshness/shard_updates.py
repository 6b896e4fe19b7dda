"""The replica states of one shard of the engines, and how they go from gateway to gateway. Pure.

The watcher (who holds the shard's lease) numbers each changed row. A gateway that has rows gives those
that changed since a serial number, and how long ago each engine was polled. Who receives them counts that
from before its own request, so that an answer in flight for 10 s is 10 s older. Rows come in order, so
that a receiver holds all up to a serial, whichever gateway it asked; only then do its ages move on.
Updates of an earlier watcher are not taken. A new watcher may know less than others: what a gateway
believes of an engine (`ReplicationPositions`) changes only with updates from after what it knows already,
while what it gives on is the watcher's, row by row.

A row that is gone is given as such for a while; a gateway without updates for half of that begins anew.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from vanerelay.freshness.replication_positions import NEVER, ReplicaState, ReplicationPositions
from vanerelay.interface import SECOND, Duration

TOMBSTONE_LIFETIME = 600 * SECOND
"""How long a row that is gone is given as such."""

RESYNC_AFTER = TOMBSTONE_LIFETIME // 2
"""How long a gateway may be without updates before it asks for all rows: tombstones outlast it."""

MAX_ROWS_PER_UPDATE = 1000
"""Rows in one update, so that it fits into a message."""

MAX_ENGINES = 1000
"""Engines of a shard; further ones are not watched."""

RowKey = tuple[str, int]
"""An engine's name and a table group."""


@dataclass(frozen=True, slots=True)
class Row:
    """One table group at one engine; `state` None: it holds it no more."""

    engine: str
    table_group: int
    serial: int
    state: ReplicaState | None

    @property
    def key(self) -> RowKey:
        """What tells this row from others."""
        return self.engine, self.table_group


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """What a gateway holds: all rows up to a serial under a watcher's fencing token."""

    token: int = 0
    held_serial: int = 0


@dataclass(frozen=True, slots=True)
class ShardUpdate:
    """What one gateway gives to another.

    Attributes:
        token: The fencing token of the watcher's lease.
        holder: The watcher.
        complete_serial: Who takes these rows holds all rows up to this serial.
        has_more: Whether there are further rows.
        ages: By engine, how long before the update it was polled.
    """

    token: int
    holder: str
    complete_serial: int
    rows: tuple[Row, ...]
    has_more: bool
    ages: Mapping[str, Duration]


@dataclass(slots=True)
class ShardState:
    """One shard's replica states at one gateway.

    Attributes:
        positions: What this gateway believes; the shard's states go into it.
        token: The fencing token of the watcher whose rows these are.
        last_serial: The highest serial that was given to a row.
        complete_serial: All rows up to here are held.
        polled_at: By engine, when its last complete answer was asked for.
        synced_at: When all that another gateway had was held last.
    """

    positions: ReplicationPositions
    token: int = 0
    holder: str = ""
    last_serial: int = 0
    complete_serial: int = 0
    polled_at: dict[str, int] = field(default_factory=dict)
    synced_at: int = 0
    _groups_of: dict[str, set[int]] = field(default_factory=dict)  # table groups that each engine holds
    _pending: dict[str, dict[int, ReplicaState | None]] = field(default_factory=dict)  # not believed yet
    _rows: OrderedDict[RowKey, Row] = field(default_factory=OrderedDict)  # unconfirmed ones, then by serial
    _unconfirmed: set[RowKey] = field(default_factory=set)  # not given again under the token in force
    _removed_at: OrderedDict[RowKey, int] = field(default_factory=OrderedDict)

    # At the watcher.

    def take_over(self, token: int, holder: str) -> None:
        """The shard is this gateway's under a new token: what is known stays, numbered anew."""
        self.token, self.holder, self.last_serial = token, holder, 0
        self._unconfirmed.clear()
        for row in list(self._rows.values()):
            self._put(row.key, row.state)
        self.complete_serial = self.last_serial

    def engine_polled(self, engine: str, polled_at: int, states: Mapping[int, ReplicaState]) -> None:
        """A complete answer of an engine, asked for at `polled_at`; one that is overtaken is passed over."""
        if polled_at <= self.polled_at.get(engine, NEVER):
            return
        if engine not in self.polled_at and len(self.polled_at) >= MAX_ENGINES:
            return
        self._replace_states(engine, polled_at, states)
        self.polled_at[engine] = polled_at
        self._believe(engine, polled_at)

    def engine_gone(self, engine: str, now: int) -> None:
        """An engine is no longer listed."""
        self._replace_states(engine, now, {})
        self.polled_at.pop(engine, None)
        self._believe(engine, now)

    def _replace_states(self, engine: str, now: int, states: Mapping[int, ReplicaState]) -> None:
        for group in sorted(self._groups_of.get(engine, set()) - states.keys()):
            self._change(now, (engine, group), None)
        for group, state in states.items():
            row = self._rows.get((engine, group))
            if row is None or row.state != state:
                self._change(now, (engine, group), state)
        self._drop_old_tombstones(now)
        self.complete_serial = self.last_serial

    def _change(self, now: int, key: RowKey, state: ReplicaState | None) -> None:
        self._put(key, state)
        self._note_change(now, key, state)

    def _put(self, key: RowKey, state: ReplicaState | None) -> None:
        self.last_serial += 1
        self._rows[key] = Row(*key, self.last_serial, state)
        self._rows.move_to_end(key)

    def _note_change(self, now: int, key: RowKey, state: ReplicaState | None) -> None:
        self._expect(key, state)
        self._removed_at.pop(key, None)
        if state is None:
            self._removed_at[key] = now

    def _expect(self, key: RowKey, state: ReplicaState | None) -> None:
        """A change is believed once all rows of its engine are there."""
        engine, group = key
        self._pending.setdefault(engine, {})[group] = state
        groups = self._groups_of.setdefault(engine, set())
        if state is None:
            groups.discard(group)
        else:
            groups.add(group)
        if not groups:
            del self._groups_of[engine]

    def _believe(self, engine: str, polled_at: int) -> None:
        """The engine's rows as they are here were reported at some time after `polled_at`."""
        if polled_at > self.positions.polled_at(engine):
            for group, state in self._pending.pop(engine, {}).items():
                self.positions.update(engine, group, state)
            self.positions.mark_polled(engine, polled_at)

    def _drop_old_tombstones(self, now: int) -> None:
        while self._removed_at and now - next(iter(self._removed_at.values())) > TOMBSTONE_LIFETIME:
            key, _ = self._removed_at.popitem(last=False)
            self._rows.pop(key, None)
            self._unconfirmed.discard(key)

    # Between gateways.

    def update_for(self, now: int, request: UpdateRequest) -> ShardUpdate:
        """What a gateway that holds so much does not have."""
        newer = list[Row]()
        for key in reversed(self._rows):
            row = self._rows[key]
            held = request.token == self.token and row.serial <= request.held_serial
            if key in self._unconfirmed or held:
                break
            newer.append(row)
        newer.reverse()
        rows, has_more = newer[:MAX_ROWS_PER_UPDATE], len(newer) > MAX_ROWS_PER_UPDATE
        complete_serial = min(self.complete_serial, rows[-1].serial) if has_more else self.complete_serial
        ages = {} if has_more else {engine: now - at for engine, at in self.polled_at.items()}
        return ShardUpdate(self.token, self.holder, complete_serial, tuple(rows), has_more, ages)

    def next_request(self, now: int) -> UpdateRequest:
        """What to ask another gateway for."""
        if now - self.synced_at < RESYNC_AFTER:
            return UpdateRequest(self.token, self.complete_serial)
        return UpdateRequest(self.token, 0)

    def apply(self, requested_at: int, update: ShardUpdate, drift: float) -> bool:
        """Takes an update; whether this gateway knows more by it.

        Args:
            requested_at: When it was asked for.
            update: What another gateway gave.
            drift: How much faster one clock may run than another.
        """
        before = self._progress()
        if update.token and update.token >= self.token:
            self._apply(requested_at, update, drift)
        return before != self._progress()

    def _progress(self) -> tuple[int, int, int, int]:
        last_poll = max(self.polled_at.values(), default=0)
        return self.token, self.complete_serial, len(self._unconfirmed), last_poll

    def _apply(self, requested_at: int, update: ShardUpdate, drift: float) -> None:
        resyncs = requested_at - self.synced_at >= RESYNC_AFTER and not self._unconfirmed
        if update.token > self.token or resyncs:
            self.token, self.holder, self.complete_serial = update.token, update.holder, 0
            self._unconfirmed, self.synced_at, self.polled_at = set(self._rows), requested_at, {}
        self._merge(requested_at, update.rows)
        self.complete_serial = max(self.complete_serial, update.complete_serial)
        self.last_serial = max(self.last_serial, self.complete_serial)
        if update.has_more:
            return
        self._drop_unconfirmed()
        self._drop_old_tombstones(requested_at)
        self.synced_at = requested_at
        if (
            update.complete_serial == self.complete_serial
        ):  # else its rows, and so its ages, are older than ours
            self._apply_ages(requested_at, update.ages, drift)

    def _merge(self, requested_at: int, rows: Iterable[Row]) -> None:
        """Takes rows, and keeps all in order of their serials, after those that are unconfirmed."""
        last_serial, in_order = self._last_confirmed_serial(), True
        for row in rows:
            known = self._rows.get(row.key)
            unconfirmed = row.key in self._unconfirmed
            if known is not None and not unconfirmed and known.serial >= row.serial:
                continue
            self._unconfirmed.discard(row.key)
            self._rows[row.key] = row
            self._rows.move_to_end(row.key)
            in_order = in_order and row.serial > last_serial
            last_serial = max(last_serial, row.serial)
            if known is None or known.state != row.state or unconfirmed:
                self._note_change(requested_at, row.key, row.state)
        if not in_order:
            ordered = sorted(
                self._rows.items(), key=lambda item: (item[0] not in self._unconfirmed, item[1].serial)
            )
            self._rows = OrderedDict(ordered)

    def _last_confirmed_serial(self) -> int:
        if not self._rows:
            return 0
        key, row = next(reversed(self._rows.items()))
        return 0 if key in self._unconfirmed else row.serial

    def _drop_unconfirmed(self) -> None:
        """What was not given again is gone."""
        for key in self._unconfirmed:
            if self._rows.pop(key).state is not None:
                self._expect(key, None)
            self._removed_at.pop(key, None)
        self._unconfirmed.clear()

    def _apply_ages(self, requested_at: int, ages: Mapping[str, Duration], drift: float) -> None:
        for engine, age in ages.items():
            polled_at = requested_at - int(age * (1.0 + drift)) - 1
            if polled_at > self.polled_at.get(engine, NEVER):
                self.polled_at[engine] = polled_at
                self._believe(engine, polled_at)
        for engine in [engine for engine in self.polled_at if engine not in ages]:
            del self.polled_at[engine]
