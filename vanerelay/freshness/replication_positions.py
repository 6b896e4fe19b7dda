"""Which replica holds what, up to when: a bound on staleness that needs no engine's clock. Pure.

A source numbers its loads. Whoever polls it learns: *before the poll it was at s or below*. So a replica
that holds s holds all that had ended when the poll began. Nothing else counts: without updates a replica
only becomes older, and an update that came by other gateways counts from a time that is surely before the
poll (`shard_updates.py`).

An incarnation is one numbering: it rises when a source begins anew or another engine takes its place, and
positions of two incarnations are never compared. A source that falls back within its incarnation, or two that
claim one incarnation, leave nothing of it that is known to be fresh: a higher one has to be reported.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_PAST_POSITIONS = 16
"""Past positions of a source that are remembered, each with the last time that it was there."""

MAX_ENGINES = 20_000
"""Engines whose last poll is remembered: twice as many as a fleet has."""

MAX_DISTRUSTED = 1_000
"""Distrusted replicas above which those that are settled are let go of."""

MAX_ROWS = 400_000
"""Replicas that are held; what comes above it is not known, and so not fresh."""

NEVER = -1
"""Before all times: when an engine was polled that never was."""

_POSITION = re.compile(r"([0-9]{1,15}):([0-9]{1,15})")


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Up to where a table group's loads are held: the numbering's incarnation, and the number in it."""

    incarnation: int
    number: int

    @staticmethod
    def parse(text: str) -> Position | None:
        """The position that `INCARNATION:NUMBER` names; None for any other text."""
        match = _POSITION.fullmatch(text)
        return Position(int(match[1]), int(match[2])) if match else None

    def __str__(self) -> str:
        return f"{self.incarnation}:{self.number}"


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What an engine reported of its replica of a table group; loads end at the source."""

    position: Position
    is_source: bool


@dataclass(frozen=True, slots=True)
class _PastPosition:
    """A number that the source has left, and the last time at which it was known to be there or below."""

    number: int
    last_at: int


@dataclass(slots=True)
class _TableGroup:
    """One table group.

    Attributes:
        incarnation: The highest that was reported.
        sources: Engines that report to be its source in this incarnation.
        highest_number: The highest number that a source reported in this incarnation.
        past: Numbers before, both they and their times rising.
        inconsistent: Whether the sources contradict each other or themselves, so that nothing counts.
    """

    incarnation: int = -1
    sources: list[str] = field(default_factory=list)
    replicas: dict[str, ReplicaState] = field(default_factory=dict)
    past: list[_PastPosition] = field(default_factory=list)
    highest_number: int = -1
    inconsistent: bool = False

    def begin_incarnation(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sources, self.past = [], []
        self.highest_number, self.inconsistent = -1, False

    def remember(self, number: int, last_at: int) -> None:
        while self.past and self.past[-1].number >= number:
            last_at = max(last_at, self.past.pop().last_at)
        self.past.append(_PastPosition(number, last_at))
        del self.past[:-MAX_PAST_POSITIONS]


class ReplicationPositions:
    """What one gateway knows, by engines' names and its own clock."""

    def __init__(self) -> None:
        self._groups = dict[int, _TableGroup]()
        self._polled_at = dict[str, int]()  # by engine: when its last complete answer was asked for
        self._distrusted_since = dict[tuple[str, int], int]()  # by engine and table group
        self._rows = 0

    def __len__(self) -> int:
        return self._rows

    # Reports.

    def update(self, engine: str, table_group: int, state: ReplicaState | None) -> None:
        """A replica's state changed; None: it is gone. `mark_polled` follows once all states are there."""
        if state is None:
            self._remove(engine, table_group)
            return
        known = self._groups.get(table_group)
        if known is None or engine not in known.replicas:
            if self._rows >= MAX_ROWS:
                return
            self._rows += 1
        group = self._groups.setdefault(table_group, _TableGroup())
        before, group.replicas[engine] = group.replicas.get(engine), state
        if state.position.incarnation > group.incarnation:
            group.begin_incarnation(state.position.incarnation)
        self._update_source(group, engine, before, state)

    def _update_source(
        self, group: _TableGroup, engine: str, before: ReplicaState | None, state: ReplicaState
    ) -> None:
        was_source = engine in group.sources
        is_source = state.is_source and state.position.incarnation == group.incarnation
        if was_source and before is not None and not (is_source and state == before):
            group.remember(before.position.number, self._polled_at.get(engine, NEVER))
        if is_source and not was_source:
            group.sources.append(engine)
        elif was_source and not is_source:
            group.sources.remove(engine)
        if is_source:
            fell_back = state.position.number < group.highest_number
            group.inconsistent |= len(group.sources) > 1 or fell_back
            group.highest_number = max(group.highest_number, state.position.number)

    def _remove(self, engine: str, table_group: int) -> None:
        group = self._groups.get(table_group)
        if group is None or group.replicas.pop(engine, None) is None:
            return
        self._rows -= 1
        if engine in group.sources:
            group.sources.remove(engine)
        if not group.replicas:
            del self._groups[table_group]

    def polled_at(self, engine: str) -> int:
        """The time after which all states of the engine were as they are here."""
        return self._polled_at.get(engine, NEVER)

    def mark_polled(self, engine: str, at: int) -> None:
        """All states of the engine are as they were at some time after `at`."""
        self._polled_at[engine] = max(at, self._polled_at.pop(engine, NEVER))
        while (
            len(self._polled_at) > MAX_ENGINES
        ):  # engines come and go without end: the longest unpolled goes
            del self._polled_at[next(iter(self._polled_at))]

    def distrust(self, engine: str, table_group: int, now: int) -> None:
        """A replica was seen to hold less than it had: it counts for nothing until it was polled again."""
        self._distrusted_since.pop((engine, table_group), None)
        self._distrusted_since[engine, table_group] = now
        if len(self._distrusted_since) > MAX_DISTRUSTED:
            self._distrusted_since = {
                key: since
                for key, since in self._distrusted_since.items()
                if self._polled_at.get(key[0], NEVER) <= since
            }

    # Questions.

    def source(self, table_group: int) -> str | None:
        """Where loads of the table group end; None where not exactly one engine reports to be its source."""
        group = self._groups.get(table_group)
        return group.sources[0] if group is not None and len(group.sources) == 1 else None

    def replicas(self, table_group: int) -> list[str]:
        """The engines that hold the table group."""
        group = self._groups.get(table_group)
        return sorted(group.replicas) if group is not None else []

    def position(self, engine: str, table_group: int) -> Position | None:
        """What the engine is known to hold at least."""
        group = self._groups.get(table_group)
        state = group.replicas.get(engine) if group is not None else None
        distrusted_since = self._distrusted_since.get((engine, table_group))
        if state is None:
            return None
        if distrusted_since is not None and self._polled_at.get(engine, NEVER) <= distrusted_since:
            return None
        return state.position

    def complete_until(self, engine: str, table_group: int, loads_behind: int = 0) -> int | None:
        """Up to when the engine holds all loads that had ended, but the last few; None: unknown."""
        group, position = self._groups.get(table_group), self.position(engine, table_group)
        if group is None or position is None:
            return None
        if position.incarnation != group.incarnation or group.inconsistent:
            return None
        source = self.source(table_group)
        if source is None:
            return None
        source_number = group.replicas[source].position.number
        source_polled_at = self._polled_at.get(source)
        if source_polled_at is not None and (
            engine == source or source_number - loads_behind <= position.number
        ):
            return source_polled_at
        reached = (
            past.last_at
            for past in reversed(group.past)
            if past.number - loads_behind <= position.number and past.last_at >= 0
        )
        return next(reached, None)
