"""Which replicas may serve a read now, by what its hint demands. Pure.

All that are fresh enough may: among them load decides, so that hundreds of gateways that all want the
freshest do not fill one engine.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from vanerelay.freshness.hints import Fallback, Hint
from vanerelay.freshness.replication_positions import Position, ReplicationPositions
from vanerelay.interface import MILLISECOND

FRESHEST_TOLERANCE = 100 * MILLISECOND
"""Replicas whose bounds lie within this of the best count as the freshest: less than an update takes."""

PositionsByGroup = Mapping[int, tuple[Position, ...]]


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read has to hold, fixed when it is received: later waiting makes nothing older.

    Attributes:
        complete_until: It holds all loads that had ended by then; None: no matter.
        max_loads_behind: Except for the last few of them.
        min_positions: At least so far, by table group.
        load_ends: Positions at which loads surely ended, so that the source holds them even where that is not
            known yet, by table group.
        source_only: It has to follow a load of which nobody knows where it ended; the source alone surely
        holds
            it.
    """

    table_groups: tuple[int, ...]
    complete_until: int | None = None
    max_loads_behind: int = 0
    min_positions: PositionsByGroup = field(default_factory=dict)
    load_ends: PositionsByGroup = field(default_factory=dict)
    source_only: bool = False


def requirement(
    hint: Hint, table_groups: Sequence[int], received_at: int, source_only: bool = False
) -> ReadRequirement:
    """What a hint demands of a read."""
    complete_until = None
    if hint.max_staleness is not None:
        complete_until = received_at - hint.max_staleness
    elif hint.max_loads_behind:
        complete_until = received_at
    min_positions = {table_groups[0]: (hint.min_position,)} if hint.min_position is not None else {}
    return ReadRequirement(
        tuple(table_groups), complete_until, hint.max_loads_behind, min_positions, source_only=source_only
    )


def after_load(required: ReadRequirement, table_group: int, end: Position) -> ReadRequirement:
    """The requirement, and to hold a load that ended at a position."""
    ends = (*required.load_ends.get(table_group, ()), end)
    return replace(required, load_ends={**required.load_ends, table_group: ends})


def after_session(required: ReadRequirement, seen: Position | None) -> ReadRequirement:
    """The requirement, and to hold what the session has seen."""
    return after_load(required, required.table_groups[0], seen) if seen is not None else required


def strict(required: ReadRequirement, received_at: int) -> ReadRequirement:
    """The requirement, and to hold all there was when it was received, whatever the hint allows.

    For a session of which nobody knows what it has seen.
    """
    return replace(required, complete_until=received_at, max_loads_behind=0)


def answer_satisfies(
    answered: Position | None, known: Position | None, required: ReadRequirement, seen: Position | None
) -> bool:
    """Whether an answer held what its replica was known to, and what is required.

    Args:
        answered: The position that the engine names in its answer.
        known: What its replica was known to hold when the query was sent.
        required: What the read demands.
        seen: What its session has seen.
    """
    if answered is None:
        return False
    if known is not None and (answered.incarnation != known.incarnation or answered < known):
        return False
    group = required.table_groups[0]
    least = [*required.min_positions.get(group, ()), *required.load_ends.get(group, ())]
    if seen is not None:
        least.append(seen)
    return all(answered >= position for position in least)


def satisfies(positions: ReplicationPositions, engine: str, required: ReadRequirement) -> bool:
    """Whether one engine is known to hold all that is required."""
    return all(_holds_group(positions, engine, required, group) for group in required.table_groups)


def _holds_group(positions: ReplicationPositions, engine: str, required: ReadRequirement, group: int) -> bool:
    position = positions.position(engine, group)
    if position is None:
        return False
    is_source = positions.source(group) == engine
    if required.source_only and not is_source:
        return False
    if not all(_reaches(position, least, is_source) for least in required.min_positions.get(group, ())):
        return False
    if not all(_holds_load(position, end, is_source) for end in required.load_ends.get(group, ())):
        return False
    if required.complete_until is None:
        return True
    until = positions.complete_until(engine, group, required.max_loads_behind)
    return until is not None and until >= required.complete_until


def _reaches(position: Position, least: Position, is_source: bool) -> bool:
    """Whether a replica holds a position that a client named.

    Of an incarnation that is over nobody can tell any more; who is the source now is the best there is.
    """
    if position.incarnation == least.incarnation:
        return position >= least
    return is_source and position.incarnation > least.incarnation


def _holds_load(position: Position, end: Position, is_source: bool) -> bool:
    """Whether a replica holds a load that surely ended at a position, which its source holds in any case."""
    if is_source and position.incarnation >= end.incarnation:
        return True
    return position.incarnation == end.incarnation and position >= end


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """Who may serve a read now.

    Attributes:
        engines: By name; where there are none the read waits, or is rejected.
        satisfied: Whether they hold what is required, or stand in for it as the hint allows.
        rejected: Whether the read is rejected at once.
    """

    engines: frozenset[str] = frozenset()
    satisfied: bool = True
    rejected: bool = False


def choose_engines(
    positions: ReplicationPositions, required: ReadRequirement, fallback: Fallback, available: Collection[str]
) -> EngineChoice:
    """Who may serve a read now; `available` are the engines that may be sent anything at all."""
    replicas = [name for name in positions.replicas(required.table_groups[0]) if name in available]
    fresh = frozenset(name for name in replicas if satisfies(positions, name, required))
    if fresh:
        return EngineChoice(fresh)
    if fallback is Fallback.REJECT:
        return EngineChoice(rejected=True)
    if fallback is Fallback.SOURCE:
        return EngineChoice(_common_source(positions, required, available), satisfied=False)
    if fallback is Fallback.FRESHEST:
        return EngineChoice(_freshest(positions, required, replicas), satisfied=False)
    return EngineChoice()


def _common_source(
    positions: ReplicationPositions, required: ReadRequirement, available: Collection[str]
) -> frozenset[str]:
    sources = {positions.source(group) for group in required.table_groups}
    source = sources.pop()
    if sources or not source or source not in available:
        return frozenset()
    return frozenset({source})


def _freshest(
    positions: ReplicationPositions, required: ReadRequirement, replicas: Sequence[str]
) -> frozenset[str]:
    bounds = dict[str, int]()
    for name in replicas:
        until = complete_until(positions, name, required.table_groups)
        if until is not None:
            bounds[name] = until
    best = max(bounds.values(), default=0)
    near = frozenset(name for name, until in bounds.items() if until >= best - FRESHEST_TOLERANCE)
    return near or frozenset(replicas)


def complete_until(positions: ReplicationPositions, engine: str, table_groups: Iterable[int]) -> int | None:
    """Up to when an engine is known to hold all loads of several table groups; None: unknown."""
    bounds = [positions.complete_until(engine, group) for group in table_groups]
    known = [until for until in bounds if until is not None]
    return min(known) if known and len(known) == len(bounds) else None
