"""Sessions that read from one copy and never go back in time, whichever manager they come by. Pure.

Three keepers for each session, the same for all managers: rendezvous over the managers that operators name,
not over those that seem alive, so that two managers that see the fleet differently still meet at one of
three. A session is known where two answer; what was put at two is found by whoever asks two.

A session keeps its copy, so it goes forward as the copy does. Another copy, or a session that nobody knows
any more, first has to hold all there was when the read came: no less than anything it saw before."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from vanerelay.freshness.replication_positions import Point
from vanerelay.interface import Duration
from vanerelay.leases.assignment import Candidate, ranked

KEEPERS = 3


def keepers(name: str, managers: Iterable[str]) -> tuple[str, ...]:
    """Who remembers a session, or where a load ended; the first of them the owner, the others its
    successors."""
    return tuple(ranked(name, [Candidate(one) for one in managers])[:KEEPERS])


def enough(asked: int) -> int:
    """Of so many keepers: a majority."""
    return asked // 2 + 1


@dataclass(frozen=True, slots=True)
class Pin:
    """A session's copy, `version` of how often it has moved, and the highest point that it was seen at."""

    engine: str
    version: int = 1
    seen: Point | None = None

    def merged(self, other: Pin) -> Pin:
        """The later of two; what was seen is the higher, wherever it was told."""
        later = max(self, other, key=lambda one: (one.version, one.engine))
        told = [one.seen for one in (self, other) if one.seen is not None]
        return replace(later, seen=max(told, default=None))


@dataclass(slots=True)
class Kept:
    pin: Pin
    until: int


@dataclass(slots=True)
class Keeper:
    """What one manager remembers for others. `since`: when it began to, as who has just started may have
    forgotten; `most`: that are remembered, the longest unused goes; `longest`: for how long at most."""

    since: int
    most: int
    longest: Duration
    forgot: int = -1  # when one was let go of before its time
    _kept: OrderedDict[str, Kept] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._kept)

    def ask(self, now: int, name: str, lasts: Duration) -> tuple[Pin | None, bool]:
        """The session, remembered for so long from now, and whether we would surely know of one."""
        kept = self._kept.get(name)
        if kept is not None and kept.until > now:
            kept.until = max(kept.until, now + min(lasts, self.longest))
            self._kept.move_to_end(name)
            return kept.pin, True
        return None, now - max(self.since, self.forgot) > self.longest

    def put(self, now: int, name: str, pin: Pin, lasts: Duration) -> Pin:
        """What is remembered then: another's where that was first, or has moved since."""
        kept = self._kept.get(name)
        held = kept.pin if kept is not None and kept.until > now else None
        found = pin
        if held is not None and (held.version, held.engine) != (pin.version, pin.engine):
            if pin.version > held.version:
                found = held.merged(pin)
            else:
                found = replace(held, seen=held.merged(pin).seen)
        elif held is not None:
            found = held.merged(pin)
        until = max(now + min(lasts, self.longest), kept.until if kept is not None else 0)
        self._kept[name] = Kept(found, until)
        self._kept.move_to_end(name)
        while len(self._kept) > self.most:
            _, oldest = self._kept.popitem(last=False)
            if oldest.until > now:
                self.forgot = now
        return found


@dataclass(frozen=True, slots=True)
class Known:
    """What a session is, as enough keepers say: `pin` None: none so far; `lost`: nobody can tell."""

    pin: Pin | None
    lost: bool


def known(asked: int, answers: Sequence[tuple[Pin | None, bool]]) -> Known:
    """`answers`: of keepers that answered in time, out of `asked`."""
    told = [pin for pin, _ in answers if pin is not None]
    found = told[0] if told else None
    for one in told[1:]:
        assert found is not None
        found = found.merged(one)
    sure = sum(1 for pin, surely in answers if surely or pin is not None)
    if len(answers) < enough(asked):
        return Known(found, True)
    return Known(found, found is None and sure < enough(asked))


def settled(asked: int, wanted: Pin, answers: Iterable[Pin]) -> bool:
    """Whether a majority of keepers remembers the pin as wanted."""
    same = [one for one in answers if (one.engine, one.version) == (wanted.engine, wanted.version)]
    return len(same) >= enough(asked)


@dataclass(slots=True)
class Loads:
    """Where loads ended, by their references; bounded, the oldest goes."""

    most: int
    _ended: OrderedDict[str, tuple[int, Point]] = field(default_factory=OrderedDict)

    def put(self, ref: str, group: int, point: Point) -> None:
        self._ended[ref] = group, point
        self._ended.move_to_end(ref)
        while len(self._ended) > self.most:
            self._ended.popitem(last=False)

    def get(self, ref: str) -> tuple[int, Point] | None:
        return self._ended.get(ref)
