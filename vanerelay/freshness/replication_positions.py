"""Which copy holds what, up to when: a bound on staleness that needs no engine's clock. Pure.

A source numbers its loads. Whoever asks it learns: *before the asking it was at s or before*. So a copy that
holds s holds all that had ended when the asking began. Nothing else counts: no news only makes a copy older,
and news that came by others counts from a time that is surely before the asking (`news.py`).

A life is a numbering: it rises when a source begins anew or another takes its place, and points of two lives
are never compared. A source that falls back within its life, or two that claim one life, leave nothing of
that life that is known to be fresh: a higher one has to be told."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MARKS = 16  # past positions of a source that are remembered with the last time that it was there
ENGINES = 20_000  # whose last asking is remembered
DOUBTS = 1_000  # past which those that are settled are let go of
MOST = 400_000  # rows that are held; what comes past it is not known, and so not fresh
POINT = re.compile(r"([0-9]{1,15}):([0-9]{1,15})")


@dataclass(frozen=True, slots=True, order=True)
class Point:
    """Up to where something holds a table group's loads: the numbering's life, and the number in it."""

    life: int
    number: int

    @staticmethod
    def read(text: str) -> Point | None:
        found = POINT.fullmatch(text)
        return Point(int(found[1]), int(found[2])) if found else None

    def __str__(self) -> str:
        return f"{self.life}:{self.number}"


@dataclass(frozen=True, slots=True)
class Told:
    """What an engine said of one table group. `source`: loads end there."""

    point: Point
    source: bool


@dataclass(slots=True)
class _Group:
    """One table group. `claims`: engines that say they are its source; `top`: the highest position that one
    of them told in this life; `marks`: positions before, each with the last time at which the source was
    known to be there or below, both rising; `broken`: nothing of this life counts any more."""

    life: int = -1
    claims: list[str] = field(default_factory=list)
    copies: dict[str, Told] = field(default_factory=dict)
    marks: list[tuple[int, int]] = field(default_factory=list)
    top: int = -1
    broken: bool = False


class Positions:
    """What one manager knows, by engines' names and its own clock."""

    def __init__(self) -> None:
        self._groups = dict[int, _Group]()
        self._asked = dict[str, int]()  # by engine: when the last whole answer was asked for
        self._doubts = dict[tuple[str, int], int]()  # since when a copy is known to have gone back
        self._rows = 0

    def __len__(self) -> int:
        return self._rows

    # What comes.

    def change(self, engine: str, group: int, told: Told | None) -> None:
        """A row is another than before, or is no more. `asked` has to follow once all rows are there."""
        if told is None:
            self._drop(engine, group)
            return
        known = self._groups.get(group)
        if known is None or engine not in known.copies:
            if self._rows >= MOST:
                return
            self._rows += 1
        known = self._groups.setdefault(group, _Group())
        was, known.copies[engine] = known.copies.get(engine), told
        if told.point.life > known.life:
            known.life, known.claims, known.marks = told.point.life, [], []
            known.top, known.broken = -1, False
        claimed, claims = engine in known.claims, told.source and told.point.life == known.life
        if claimed and was is not None and not (claims and told == was):
            self._mark(known, was.point.number, self._asked.get(engine, -1))
        if claims and not claimed:
            known.claims.append(engine)
        elif claimed and not claims:
            known.claims.remove(engine)
        if claims:
            known.broken |= len(known.claims) > 1 or told.point.number < known.top
            known.top = max(known.top, told.point.number)

    @staticmethod
    def _mark(group: _Group, number: int, at: int) -> None:
        while group.marks and group.marks[-1][0] >= number:
            at = max(at, group.marks.pop()[1])
        group.marks.append((number, at))
        del group.marks[:-MARKS]

    def _drop(self, engine: str, group: int) -> None:
        known = self._groups.get(group)
        if known is None or known.copies.pop(engine, None) is None:
            return
        self._rows -= 1
        if engine in known.claims:
            known.claims.remove(engine)
        if not known.copies:
            del self._groups[group]

    def asked_at(self, engine: str) -> int:
        return self._asked.get(engine, -1)

    def asked(self, engine: str, at: int) -> None:
        """All rows of the engine are as they were at some time after `at`."""
        self._asked[engine] = max(at, self._asked.pop(engine, -1))
        while len(self._asked) > ENGINES:  # engines come and go without end: the longest not asked goes
            del self._asked[next(iter(self._asked))]

    def doubt(self, engine: str, group: int, now: int) -> None:
        """A copy was seen to hold less than it had: it counts for nothing until it was asked again."""
        self._doubts.pop((engine, group), None)
        self._doubts[engine, group] = now
        if len(self._doubts) > DOUBTS:
            self._doubts = {key: at for key, at in self._doubts.items() if self._asked.get(key[0], -1) <= at}

    # What is known.

    def source(self, group: int) -> str | None:
        """Where loads of the group end; None where nobody, or more than one, says so."""
        known = self._groups.get(group)
        return known.claims[0] if known is not None and len(known.claims) == 1 else None

    def holders(self, group: int) -> list[str]:
        known = self._groups.get(group)
        return sorted(known.copies) if known is not None else []

    def point(self, engine: str, group: int) -> Point | None:
        """What the engine is known to hold at least."""
        known = self._groups.get(group)
        told = known.copies.get(engine) if known is not None else None
        since = self._doubts.get((engine, group))
        if told is None or since is not None and self._asked.get(engine, -1) <= since:
            return None
        return told.point

    def holds_until(self, engine: str, group: int, behind: int = 0) -> int | None:
        """Up to when the engine is known to hold all loads that had ended, but the last few; None:
        unknown."""
        known, point = self._groups.get(group), self.point(engine, group)
        if known is None or point is None or point.life != known.life or known.broken:
            return None
        source = self.source(group)
        if source is None:
            return None
        now_at = self._asked.get(source)
        if now_at is not None and (
            engine == source or known.copies[source].point.number - behind <= point.number
        ):
            return now_at
        return next(
            (at for number, at in reversed(known.marks) if number - behind <= point.number and at >= 0), None
        )
