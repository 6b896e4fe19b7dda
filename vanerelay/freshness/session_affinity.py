"""Sessions that read from one replica and never go back in time, whichever gateway they come by. Pure.

Three gateways store each session, the same for all gateways: rendezvous hashing over the gateways that
operators name, not over those that seem alive, so that two gateways that see the fleet differently still
meet at one of three. A session is known where two of them answer; what was stored at two is found by
whoever asks two.

A session keeps its replica, so it goes forward as the replica does. Another replica, or a session that
nobody knows any more, first has to hold all there was when the read was received: no less than anything
it saw before.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from vanerelay.freshness.replication_positions import Position
from vanerelay.interface import Duration
from vanerelay.leases.assignment import Candidate, ranked

COPIES = 3
"""Gateways that store a session, or where a load ended: one may be lost."""


def storing_gateways(name: str, gateways: Iterable[str]) -> tuple[str, ...]:
    """The gateways that store a session, or where a load ended, by its name or reference."""
    return tuple(ranked(name, [Candidate(one) for one in gateways])[:COPIES])


def majority(count: int) -> int:
    """The least number that is more than half."""
    return count // 2 + 1


@dataclass(frozen=True, slots=True)
class SessionRecord:
    """What is stored of a session.

    Attributes:
        engine: The engine whose replica it reads.
        version: How often it has moved, from 1.
        seen: The highest position that it has read at.
    """

    engine: str
    version: int = 1
    seen: Position | None = None

    def same_placement(self, other: SessionRecord) -> bool:
        """Whether both name the same engine as of the same move."""
        return (self.engine, self.version) == (other.engine, other.version)

    def merged(self, other: SessionRecord) -> SessionRecord:
        """The later of two, with the higher of what both have seen."""
        later = max(self, other, key=lambda one: (one.version, one.engine))
        positions = [one.seen for one in (self, other) if one.seen is not None]
        return replace(later, seen=max(positions, default=None))


@dataclass(frozen=True, slots=True)
class SessionLookup:
    """What one gateway answers of a session; `certain`: whether it would surely know of one."""

    record: SessionRecord | None
    certain: bool


@dataclass(slots=True)
class _StoredSession:
    record: SessionRecord
    expires_at: int


@dataclass(slots=True)
class SessionStore:
    """The sessions that one gateway stores for all.

    Attributes:
        started_at: When it began to: a gateway that has just started may have forgotten.
        max_sessions: Sessions that are stored; above it the longest unused goes.
        max_lifetime: How long a session is stored after its last read, at most.
        evicted_at: When one was last dropped before its time.
    """

    started_at: int
    max_sessions: int
    max_lifetime: Duration
    evicted_at: int = -1
    _sessions: OrderedDict[str, _StoredSession] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._sessions)

    def lookup(self, now: int, name: str, lifetime: Duration) -> SessionLookup:
        """The session, stored for its lifetime from now."""
        stored = self._sessions.get(name)
        if stored is not None and stored.expires_at > now:
            stored.expires_at = max(stored.expires_at, now + min(lifetime, self.max_lifetime))
            self._sessions.move_to_end(name)
            return SessionLookup(stored.record, certain=True)
        remembers_since = max(self.started_at, self.evicted_at)
        return SessionLookup(None, certain=now - remembers_since > self.max_lifetime)

    def store(self, now: int, name: str, record: SessionRecord, lifetime: Duration) -> SessionRecord:
        """Stores a session; returns what is stored then: another record if that was first or moved since."""
        stored = self._sessions.get(name)
        current = stored.record if stored is not None and stored.expires_at > now else None
        result = _resolve(current, record)
        expires_at = max(
            now + min(lifetime, self.max_lifetime), stored.expires_at if stored is not None else 0
        )
        self._sessions[name] = _StoredSession(result, expires_at)
        self._sessions.move_to_end(name)
        while len(self._sessions) > self.max_sessions:
            _, oldest = self._sessions.popitem(last=False)
            if oldest.expires_at > now:
                self.evicted_at = now
        return result


def _resolve(current: SessionRecord | None, offered: SessionRecord) -> SessionRecord:
    """What is stored once a record is offered beside the current one."""
    if current is None:
        return offered
    if current.same_placement(offered) or offered.version > current.version:
        return current.merged(offered)
    return replace(current, seen=current.merged(offered).seen)


@dataclass(frozen=True, slots=True)
class SessionState:
    """What a session is, as enough gateways say; `lost`: nobody can tell."""

    record: SessionRecord | None
    lost: bool


def combine_lookups(asked: int, lookups: Sequence[SessionLookup]) -> SessionState:
    """The session, by the gateways that answered in time, of so many that were asked."""
    record: SessionRecord | None = None
    for lookup in lookups:
        if lookup.record is not None:
            record = lookup.record if record is None else record.merged(lookup.record)
    if len(lookups) < majority(asked):
        return SessionState(record, lost=True)
    certain = sum(1 for lookup in lookups if lookup.certain or lookup.record is not None)
    return SessionState(record, lost=record is None and certain < majority(asked))


def is_settled(asked: int, wanted: SessionRecord, stored: Iterable[SessionRecord]) -> bool:
    """Whether a majority of the gateways stores the session as wanted."""
    return sum(1 for record in stored if record.same_placement(wanted)) >= majority(asked)


@dataclass(frozen=True, slots=True)
class LoadEnd:
    """Where a load of a table group ended."""

    table_group: int
    position: Position


@dataclass(slots=True)
class LoadEnds:
    """Where loads ended, by their references; bounded, the oldest goes."""

    max_loads: int
    _ends: OrderedDict[str, LoadEnd] = field(default_factory=OrderedDict)

    def store(self, reference: str, end: LoadEnd) -> None:
        """A load has ended."""
        self._ends[reference] = end
        self._ends.move_to_end(reference)
        while len(self._ends) > self.max_loads:
            self._ends.popitem(last=False)

    def lookup(self, reference: str) -> LoadEnd | None:
        """Where a load ended; None where that is not known."""
        return self._ends.get(reference)
