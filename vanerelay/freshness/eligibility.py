"""Which copies may serve a read now, by what its hint asks. Pure.

All that are fresh enough may: among them load decides, so that hundreds of managers that all want the
freshest do not fill one engine."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from vanerelay.freshness.hints import Else, Hint
from vanerelay.freshness.replication_positions import Point, Positions
from vanerelay.interface import MILLISECOND

ALIKE = 100 * MILLISECOND  # copies whose bounds lie within this of the best count as the freshest


@dataclass(frozen=True, slots=True)
class Needs:
    """What a read has to hold, fixed when it came: later waiting makes nothing older. `since`: all that had
    ended by then, None: no matter; `points`: by table group, at least so far; `ends`: where something surely
    ended, so that the source holds it even where that is not known yet; `unknown`: it has to follow something
    of which nobody knows where it ended, which the source alone surely holds."""

    groups: tuple[int, ...]
    since: int | None = None
    behind: int = 0
    points: Mapping[int, tuple[Point, ...]] = field(default_factory=dict)
    ends: Mapping[int, tuple[Point, ...]] = field(default_factory=dict)
    unknown: bool = False


def needs(hint: Hint, groups: Sequence[int], came: int, unknown: bool = False) -> Needs:
    since = came - hint.stale if hint.stale is not None else came if hint.behind else None
    points = {groups[0]: (hint.at,)} if hint.at is not None else {}
    return Needs(tuple(groups), since, hint.behind, points, unknown=unknown)


def follows(asked: Needs, group: int, point: Point) -> Needs:
    """It has to hold what ended at a point of a table group as well."""
    return replace(asked, ends={**asked.ends, group: (*asked.ends.get(group, ()), point)})


def floored(asked: Needs, seen: Point | None) -> Needs:
    """... what its session has seen."""
    return follows(asked, asked.groups[0], seen) if seen is not None else asked


def strict(asked: Needs, came: int) -> Needs:
    """... all there was when it came, whatever the hint allows, as what its session saw is not known."""
    return replace(asked, since=came, behind=0)


def held(point: Point | None, known: Point | None, asked: Needs, seen: Point | None) -> bool:
    """Whether an engine that says it read at `point` held what it was `known` to, and what is asked."""
    if point is None:
        return False
    group = asked.groups[0]
    floors = [*asked.points.get(group, ()), *asked.ends.get(group, ()), *([seen] if seen is not None else [])]
    return (known is None or point.life == known.life and point >= known) and all(
        point >= floor for floor in floors
    )


def serves(positions: Positions, engine: str, asked: Needs) -> bool:
    """Whether one engine is known to hold all that is asked."""
    for group in asked.groups:
        point = positions.point(engine, group)
        if point is None:
            return False
        source = positions.source(group) == engine
        if asked.unknown and not source:
            return False
        # Of a numbering that is over nobody can tell any more; who is the source now is the best there is.
        for floor in asked.points.get(group, ()):
            if not (point >= floor if point.life == floor.life else source and point.life > floor.life):
                return False
        for floor in asked.ends.get(group, ()):
            if not (source and point.life >= floor.life or point.life == floor.life and point >= floor):
                return False
        if asked.since is not None:
            until = positions.holds_until(engine, group, asked.behind)
            if until is None or until < asked.since:
                return False
    return True


@dataclass(frozen=True, slots=True)
class Choice:
    """`engines` that may serve; none: it waits, or is refused where `refused`. `met`: whether they hold what
    is asked, or stand in for it as the hint allows."""

    engines: frozenset[str] = frozenset()
    met: bool = True
    refused: bool = False


def choose(positions: Positions, asked: Needs, otherwise: Else, there: Collection[str]) -> Choice:
    """`there`: engines that may be sent anything at all."""
    holders = [name for name in positions.holders(asked.groups[0]) if name in there]
    found = frozenset(name for name in holders if serves(positions, name, asked))
    if found:
        return Choice(found)
    if otherwise is Else.REFUSE:
        return Choice(refused=True)
    if otherwise is Else.SOURCE:
        sources = {positions.source(group) for group in asked.groups}
        one = sources.pop()
        return Choice(frozenset({one}) if not sources and one in there and one else frozenset(), met=False)
    if otherwise is Else.FRESHEST:
        bounds = {name: bound(positions, name, asked.groups) for name in holders}
        known = {name: at for name, at in bounds.items() if at is not None}
        best = max(known.values(), default=0)
        near = frozenset(name for name, at in known.items() if at >= best - ALIKE)
        return Choice(near or frozenset(holders), met=False)
    return Choice()


def bound(positions: Positions, engine: str, groups: Iterable[int]) -> int | None:
    """Up to when an engine is known to hold all, over several table groups."""
    found = [positions.holds_until(engine, group) for group in groups]
    known = [at for at in found if at is not None]
    return min(known) if known and len(known) == len(found) else None
