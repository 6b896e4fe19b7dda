"""Table groups and their replicas, as they truly are: the loads at the source, how far each replica follows.

Pure: told the time in ticks. What gateways believe of it is checked against this.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import NamedTuple


class ReplicaPosition(NamedTuple):
    """Up to where a table group is held: so many loads of an incarnation of its source."""

    incarnation: int
    number: int


NOTHING_HELD = ReplicaPosition(0, 0)


@dataclass(slots=True)
class Replica:
    """One engine that follows the source.

    Attributes:
        lag: how far behind, in ticks.
        stuck_since: since when it follows no more; -1: it follows.
        positions: by table group, when it was asked last.
    """

    lag: int
    stuck_since: int = -1
    positions: dict[int, ReplicaPosition] = field(default_factory=dict)

    @property
    def is_stuck(self) -> bool:
        """Whether it follows no more."""
        return self.stuck_since >= 0


@dataclass(slots=True)
class ReplicationModel:
    """All table groups, each with one source and its loads.

    Attributes:
        table_count: table groups are numbered from 0 to below it.
        source: the engine where loads end.
        incarnation: of the source: another one with each new source.
        incarnation_began: when, in ticks.
        load_times: by table group: when the loads of this incarnation ended.
        replicas: by engine.
    """

    table_count: int
    source: str = ""
    incarnation: int = 1
    incarnation_began: int = 0
    load_times: dict[int, list[int]] = field(default_factory=dict)
    replicas: dict[str, Replica] = field(default_factory=dict)

    def add(self, engine: str, is_source: bool, lag: int) -> None:
        """Adds an engine; the first source is the one."""
        if is_source and not self.source:
            self.source = engine
        else:
            self.replicas[engine] = Replica(lag)

    def has(self, engine: str) -> bool:
        """Whether the engine is the source or a replica."""
        return engine == self.source or engine in self.replicas

    def end_load(self, now: int, table: int) -> ReplicaPosition:
        """A load ends at the source: the position that it ends at."""
        load_times = self.load_times.setdefault(table, [])
        load_times.append(now)
        return ReplicaPosition(self.incarnation, len(load_times))

    def position(self, now: int, engine: str, table: int) -> ReplicaPosition:
        """Up to where the engine holds a table group now."""
        load_times = self.load_times.get(table, [])
        if engine == self.source:
            return ReplicaPosition(self.incarnation, len(load_times))
        replica = self.replicas[engine]
        followed_until = (replica.stuck_since if replica.is_stuck else now) - replica.lag
        held = replica.positions.get(table, NOTHING_HELD)
        if followed_until >= self.incarnation_began:
            number = bisect_right(load_times, followed_until)
            if held.incarnation < self.incarnation or number > held.number:
                held = ReplicaPosition(self.incarnation, number)
        replica.positions[table] = held
        return held

    # What faults change.

    def set_stuck(self, now: int, engine: str, is_stuck: bool) -> None:
        """The replica answers and follows no more, or follows again."""
        self.replicas[engine].stuck_since = now if is_stuck else -1

    def set_lag(self, now: int, engine: str, lag: int) -> None:
        """The replica follows with another lag; what it holds it keeps."""
        for table in range(self.table_count):
            self.position(now, engine, table)
        self.replicas[engine].lag = lag

    def go_back(self, now: int, engine: str, loads: int) -> None:
        """The replica is as it was so many loads ago, and follows no more until it is let."""
        replica = self.replicas[engine]
        for table in range(self.table_count):
            incarnation, number = self.position(now, engine, table)
            replica.positions[table] = ReplicaPosition(incarnation, max(0, number - loads))
        replica.stuck_since = replica.stuck_since if replica.is_stuck else now
        # Nothing of before comes again while it is stuck.
        replica.lag = max(replica.lag, now)

    def promote(self, now: int, engine: str, lag_of_old_source: int) -> None:
        """The replica takes the source's place: numbers begin again, under a new incarnation."""
        self.replicas.pop(engine)
        old_source = Replica(lag_of_old_source)
        for table in range(self.table_count):
            load_count = len(self.load_times.get(table, []))
            old_source.positions[table] = ReplicaPosition(self.incarnation, load_count)
        self.replicas[self.source] = old_source
        self.source, self.incarnation, self.incarnation_began = engine, self.incarnation + 1, now
        self.load_times = {}


__all__ = ["Replica", "ReplicaPosition", "ReplicationModel"]
