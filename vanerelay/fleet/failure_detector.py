"""Who is alive: every choice of the detector. Pure: told the time in the module's unit, given its chance.

SWIM (Das, Gupta, Motivala 2002) with suspicion and with Lifeguard's slower judgement of a manager that itself
does badly (Dadgar, Phillips, Currey 2018): in a period each manager asks one other, in an order drawn anew
each round; one that does not answer is asked through a few others; one that nobody reaches is suspected, and
counts as gone only after a time in which it could have said otherwise. What is learned travels with these
messages. So a manager sends a bounded number of messages whatever the size of the fleet."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from vanerelay.interface import MILLISECOND, SECOND, Duration


class MemberState(IntEnum):
    """Of two words on the same version of a member the later one here counts."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # by its own word


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of a manager. `incarnation`: of its process, never going back; `word`: counted up by the
    member itself whenever it says something new of itself, and by nobody else."""

    name: str
    incarnation: int
    word: int = 0
    standing: MemberState = MemberState.ALIVE
    domain: str = ""
    address: str = ""
    program: str = ""
    settings: str = ""
    state: str = "starting"
    orders: str = ""  # the highest fence of operators' orders that it knows, and for which change

    @property
    def version(self) -> tuple[int, int]:
        return self.incarnation, self.word

    def newer(self, other: Member) -> bool:
        return (self.incarnation, self.word, self.standing) > (other.incarnation, other.word, other.standing)


@dataclass(frozen=True, slots=True)
class FailureDetectorConfig:
    """`period`: between questions; `patience`: until one is asked through others; `through`: how many others;
    `suspicion`: periods, times the logarithm of the fleet's size, until a suspect is gone; `told`: pieces of
    news in one message; `most`: members at all; `forget`: after which one that is gone is let go of."""

    period: Duration = 500 * MILLISECOND
    patience: Duration = 250 * MILLISECOND
    through: int = 3
    suspicion: float = 6.0
    told: int = 12
    most: int = 1000
    forget: Duration = 600 * SECOND


REPEATS = 3.0  # times the logarithm of the fleet's size that a piece of news is told on
WORST = 8  # of our own failing, in periods that everything takes longer


@dataclass(slots=True)
class _News:
    left: int
    member: Member


class FailureDetector:
    """One manager's view of the fleet."""

    def __init__(self, own: Member, pace: FailureDetectorConfig, chance: random.Random) -> None:
        self.pace, self._chance = pace, chance
        self._own = own
        self.members = {own.name: own}
        self._order = list[str]()  # whom to ask next, the last first
        self._news = dict[str, _News]()
        self._suspected = dict[str, int]()  # since when
        self._gone = dict[str, int]()
        self._joined, self.replaced = False, False  # replaced: another process goes by our name
        self._failing = 0  # our own, as Lifeguard counts it
        self.changes = list[Member]()  # taken by the driver, for log and listeners
        self._spread(own)

    @property
    def own(self) -> Member:
        return self._own

    def say(self, **changed: str) -> None:
        """Something new of ourselves: our state, release or settings."""
        new = replace(self._own, word=self._own.word + 1, **changed)  # type: ignore[arg-type]
        self._set(new)

    def leave(self) -> None:
        self._set(replace(self._own, word=self._own.word + 1, standing=MemberState.LEFT))

    def introduce(self, name: str, address: str, domain: str = "") -> None:
        """One that operators name. Nothing is known of it: it is asked, and does not count as alive
        before."""
        if name not in self.members:
            self.members[name] = Member(name, 0, 0, MemberState.GONE, domain, address)

    # In turn.

    def next(self, now: int) -> Member | None:
        """Whom to ask in this period. All in a drawn order before anybody again; those that are gone as well,
        so that two halves of a fleet find each other again."""
        self._settle(now)
        others = self.members.keys() - {self._own.name}
        if not others:
            return None
        self._order = [name for name in self._order if name in others]
        if not self._order:
            self._order = sorted(
                name for name in others if self.members[name].standing is not MemberState.LEFT
            )
            self._chance.shuffle(self._order)
        return self.members[self._order.pop()] if self._order else None

    def helpers(self, target: str) -> list[Member]:
        """Who is to ask the one that did not answer."""
        sound = sorted(
            name
            for name, member in self.members.items()
            if member.standing is MemberState.ALIVE and name not in (target, self._own.name)
        )
        return [self.members[name] for name in self._chance.sample(sound, min(self.pace.through, len(sound)))]

    def patience(self) -> int:
        """For an answer: longer while we ourselves do badly."""
        return self.pace.patience * (1 + self._failing)

    def answered(self) -> None:
        """Somebody did. That a suspect lives it says itself, in a newer word."""
        self._failing = max(0, self._failing - 1)

    def unanswered(self, name: str, now: int) -> None:
        """Neither we nor the helpers reached it."""
        self._failing = min(WORST, self._failing + 1)
        member = self.members.get(name)
        if member is not None and member.standing is MemberState.ALIVE:
            self._set(replace(member, standing=MemberState.SUSPECT))
            self._suspected[name] = now

    def stalled(self) -> None:
        """Our own process stood still: nobody else is to blame for what was late."""
        self._failing = min(WORST, self._failing + 2)

    # What others say.

    def news(self) -> list[Member]:
        """What to tell with the next message, the least told first; ourselves always."""
        least = sorted(self._news.values(), key=lambda one: (-one.left, one.member.name))[: self.pace.told]
        for one in least:
            one.left -= 1
            if one.left <= 0:
                del self._news[one.member.name]
        told = [one.member for one in least if one.member.name != self._own.name]
        return [self._own, *told]

    def whole(self) -> list[Member]:
        """All that is known, for one that has just come."""
        return [member for member in self.members.values() if member.incarnation]

    def heard(self, told: Iterable[Member], now: int) -> None:
        for member in told:
            if member.name == self._own.name:
                self._of_us(member)
                continue
            known = self.members.get(member.name)
            if (
                known is None
                and len(self.members) >= self.pace.most
                or known is not None
                and not member.newer(known)
            ):
                continue
            self._set(member)
            if member.standing is MemberState.SUSPECT:
                self._suspected.setdefault(member.name, now)
            else:
                self._suspected.pop(member.name, None)
            if member.standing in (MemberState.GONE, MemberState.LEFT):
                self._gone[member.name] = now
            else:
                self._gone.pop(member.name, None)

    def reply(self, sender: Member) -> list[Member]:
        """What to answer one that has told us of itself: with it what we hold of it, where that is newer."""
        known = self.members.get(sender.name)
        return [*self.news(), *([known] if known is not None and known.newer(sender) else [])]

    def joined(self, incarnation: int) -> None:
        """Another has answered what we said under this incarnation, and knew of no later one."""
        self._joined = self._joined or incarnation == self._own.incarnation

    @property
    def has_joined(self) -> bool:
        return self._joined

    def _of_us(self, member: Member) -> None:
        """What others say of us. A later incarnation than ours: before we have joined it is one from before a
        lost disk, or a clock that was ahead, and we go past it; later it is our successor, and we are silent.
        That we are suspect or gone is answered by a newer word."""
        own = self._own
        if member.incarnation > own.incarnation and self._joined:
            self.replaced = True
        elif member.incarnation > own.incarnation:
            self._set(replace(own, incarnation=member.incarnation + 1, word=0))
        elif member.newer(own) and own.standing is not MemberState.LEFT:
            self._failing = min(WORST, self._failing + 1)
            self._set(replace(own, word=member.word + 1))

    def _settle(self, now: int) -> None:
        """Suspects whose time is over are gone; those long gone are let go of."""
        for name, since in list(self._suspected.items()):
            if now - since >= self.suspicion():
                del self._suspected[name]
                self._gone[name] = now
                self._set(replace(self.members[name], standing=MemberState.GONE))
        for name, since in list(self._gone.items()):
            if now - since >= self.pace.forget:
                del self._gone[name]
                self.members.pop(name, None)
                self._news.pop(name, None)

    def suspicion(self) -> int:
        """How long a suspect has to say that it lives."""
        size = max(1.0, math.log10(max(1, len(self.members))))
        return int(self.pace.suspicion * size * self.pace.period) * (1 + self._failing)

    def _set(self, member: Member) -> None:
        known = self.members.get(member.name)
        self.members[member.name] = member
        if member.name == self._own.name:
            self._own = member
        if known is None or known != member:
            self.changes.append(member)
        self._spread(member)

    def _spread(self, member: Member) -> None:
        times = max(2, math.ceil(REPEATS * math.log10(len(self.members) + 1)))
        self._news[member.name] = _News(times, member)


@dataclass(frozen=True, slots=True)
class Split:
    """One member on which views differ: who says what."""

    name: str
    says: tuple[tuple[str, tuple[str, ...]], ...]


def splits(views: Mapping[str, Iterable[Member]]) -> list[Split]:
    """Members of whose life or release those asked hold different views; `views` by who was asked."""
    says = dict[str, dict[str, list[str]]]()
    for viewer in sorted(views):
        for member in views[viewer]:
            word = "alive" if member.standing in (MemberState.ALIVE, MemberState.SUSPECT) else "gone"
            says.setdefault(member.name, {}).setdefault(word, []).append(viewer)
    return [
        Split(name, tuple((word, tuple(who)) for word, who in sorted(told.items())))
        for name, told in sorted(says.items())
        if len(told) > 1
    ]


def incarnation(kept: int, clock_ms: int) -> int:
    """That of a process which starts: past what was kept, and about the time, so that it goes up without a
    disk as well; where the clock was ahead before, others know, and `_of_us` goes past it."""
    return max(kept + 1, clock_ms)
