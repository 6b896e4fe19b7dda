"""The merged view of all sources: which engines exist, in what state, and why. Pure, with every choice.

Each source tells what it lists (`tell`), or that it still stands by it (`heard`). `step` hands on what of the
merged view has changed, removals first, so many engines at a time. What is merged depends only on the last
word of each source on each engine, not on the order in which sources spoke; but for returns that are held
back (Flapping).

- Presence goes by precedence: the first source that lists an engine says where it is and what. One that is
  stale comes after all that are not. A complete source is the last asked: what it does not list is not there.
- Removal and drain take the strictest word of any authoritative source, stale or not: an engine that one of
  them has taken off is gone until that source lists it again, or the word is older than `KEPT`.
- The latest start told of an address counts, since a cold engine must not be taken for a warm one.
- Two ids at one address: the later start wins, then precedence, then the name.

Times are whole tenths of a millisecond."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain, islice

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, Duration, EngineState

PORTION = 150  # engines handed on at a time: a few milliseconds of one pass of the loop
NOTED = 4  # times as many pieces of news noted at a time, which cost less
KEPT, MOST_KEPT = 3600 * SECOND, 20_000  # how long, and how many, words of removal a source is held to
FILES, FEED = 10, 20  # precedence of sources where the operators state none
FIRST = SECOND  # how long sources may take for their first word before the view is shown without them
REMEMBERED = 1000  # changes shown, for the operators


@dataclass(frozen=True, slots=True)
class Standing:
    """How much a source's word counts. `precedence`: the lowest is asked first. `authoritative`: its removals
    and drains bind. `complete`: what it does not list is not there. `stale_after`: without a sign of life for
    so long it comes last (0: never)."""

    name: str
    precedence: int
    authoritative: bool = True
    complete: bool = False
    stale_after: Duration = 0


@dataclass(frozen=True, slots=True)
class Flapping:
    """An engine that came back more than `returns` times within `span` is held off for `hold` after its last
    removal; `returns` 0: never."""

    returns: int = 3
    span: Duration = 60 * SECOND
    hold: Duration = 30 * SECOND


@dataclass(frozen=True, slots=True)
class Reason:
    """Why an engine stands as it does: the source that decided, its revision, in words."""

    source: str
    revision: int
    why: str


@dataclass(frozen=True, slots=True)
class Shown:
    """One engine of a portion, as it is from now on; gone where its state says so."""

    member: ListedEngine
    reason: Reason
    at: int


class Source:
    """What one source has said."""

    def __init__(self, standing: Standing, rank: int) -> None:
        self.standing, self.rank = standing, rank
        self.members: Mapping[str, ListedEngine] = {}
        self.gone: OrderedDict[str, int] = OrderedDict()  # names taken off, and until when that binds
        self.revision, self.heard_at, self.told, self.stale = 0, 0, False, False


class Returns:
    """How often one engine came back of late."""

    __slots__ = ("left", "times")

    def __init__(self) -> None:
        self.left, self.times = 0, deque[int]()


class View:
    """All sources merged. At the start nothing is shown until each source has spoken, or `FIRST` has
    passed."""

    def __init__(self, now: int, standings: Sequence[Standing], flapping: Flapping) -> None:
        ordered = sorted(standings, key=lambda s: (s.precedence, s.name))
        self.sources = {s.name: Source(s, rank) for rank, s in enumerate(ordered)}
        self._ranked = list(self.sources.values())
        self._flapping, self._born, self._open = flapping, now, False
        self.shown: dict[str, Shown] = {}
        # told, not yet noted: names, as they were before
        self._news = deque[tuple[Source, Mapping[str, ListedEngine], Iterator[str]]]()
        self._at: dict[str, dict[str, None]] = {}  # addresses, and the names that any source lists there
        self._strict: OrderedDict[str, None] = OrderedDict()  # to be merged anew: may be a removal
        self._other: OrderedDict[str, None] = OrderedDict()
        self._returns: OrderedDict[str, Returns] = OrderedDict()
        self._held: dict[str, int] = {}  # returns held back, and until when
        self.history: deque[Shown] = deque(maxlen=REMEMBERED)
        for source in self._ranked:
            source.heard_at = now

    # What sources say.

    def tell(
        self,
        name: str,
        now: int,
        revision: int,
        members: Mapping[str, ListedEngine],
        changed: Iterable[str],
        withdrawn: Iterable[str],
    ) -> None:
        """A source's list as it is now, and the names in which it differs from its last. None of these may
        change afterwards. A member told as gone counts as withdrawn."""
        source = self.sources[name]
        before, source.members, source.revision = source.members, members, revision
        self._news.append((source, before, chain(withdrawn, changed)))
        self.heard(name, now)
        if not source.told:
            source.told = True
            if source.standing.complete:
                self._all_anew()

    def heard(self, name: str, now: int) -> None:
        """A source stands by what it told last."""
        source = self.sources[name]
        source.heard_at = now
        if source.stale:
            source.stale = False
            self._all_anew()

    def _note(self, now: int, source: Source, name: str, old: ListedEngine | None) -> None:
        """Enters one piece of news: who is to be merged anew because of it."""
        member = source.members.get(name)
        if old is not None and (
            member is None or member.address != old.address or member.state is EngineState.GONE
        ):
            there = self._at.get(old.address, {})
            if not any(
                (m := s.members.get(name)) is not None
                and m.address == old.address
                and m.state is not EngineState.GONE
                for s in self._ranked
            ):
                there.pop(name, None)
            self._other.update(dict.fromkeys(there))
            if not there:
                self._at.pop(old.address, None)
        if member is None or member.state is EngineState.GONE:
            source.gone[name] = now + KEPT
            source.gone.move_to_end(name)
            while len(source.gone) > MOST_KEPT:
                self._touch(source.gone.popitem(last=False)[0])
        else:
            source.gone.pop(name, None)
            self._at.setdefault(member.address, {})[name] = None
        self._touch(name)
        if name in self.shown and (member is None or old is None or _tightens(old, member)):
            self._strict[name] = None

    def _touch(self, name: str) -> None:
        """An engine, and all that anyone lists where anyone lists it."""
        self._other[name] = None
        for source in self._ranked:
            member = source.members.get(name)
            there = self._at.get(member.address, {}) if member is not None else {}
            if len(there) > 1:
                for other in there:
                    (self._strict if other != name and other in self.shown else self._other)[other] = None

    def _all_anew(self) -> None:
        for source in self._ranked:
            self._other.update(dict.fromkeys(source.members))
        self._strict.update(dict.fromkeys(self.shown))

    # What comes of it.

    def look(self, now: int) -> None:
        """What time alone changes: sources that go stale, held returns, words of removal that no longer
        bind."""
        for source in self._ranked:
            after = source.standing.stale_after
            if after and not source.stale and now - source.heard_at >= after:
                source.stale = True
                self._all_anew()
            while source.gone and next(iter(source.gone.values())) <= now:
                self._touch(source.gone.popitem(last=False)[0])
        for name in [name for name, until in self._held.items() if until <= now]:
            del self._held[name]
            self._other[name] = None
        while self._returns:
            name, returns = next(iter(self._returns.items()))
            if now - returns.left < self._flapping.span + self._flapping.hold:
                break
            del self._returns[name]

    def due(self) -> int | None:
        """When `look` has something to do."""
        moments = [
            s.heard_at + s.standing.stale_after
            for s in self._ranked
            if s.standing.stale_after and not s.stale
        ]
        moments += [next(iter(s.gone.values())) for s in self._ranked if s.gone]
        moments += self._held.values()
        if not self._open:
            moments.append(self._born + FIRST)
        return min(moments, default=None)

    def open(self, now: int) -> bool:
        """Whether there is enough to show: every source has spoken, or has had its time and one has."""
        told = [source.told for source in self._ranked]
        self._open = self._open or all(told) or now - self._born >= FIRST and any(told)
        return self._open

    def pending(self) -> bool:
        return bool(self._news or self._strict or self._other)

    def step(self, now: int, most: int = PORTION) -> list[Shown]:
        """The next portion of what has changed: engines that may be worse off first, `most` looked at. A name
        looked at may turn out unchanged, so the portion may be empty while more is pending."""
        portion = list[Shown]()
        if not self.open(now):
            return portion
        if self._news:
            source, before, names = self._news[0]
            some = list(islice(names, most * NOTED))
            for name in some:
                self._note(now, source, name, before.get(name))
            if len(some) < most * NOTED:
                self._news.popleft()
            if self._news or len(some) > most:
                return portion  # nothing is merged out of half of what a source has said
        for _ in range(most):
            queue = self._strict or self._other
            if not queue:
                break
            name = queue.popitem(last=False)[0]
            self._other.pop(name, None)
            shown = self._show(now, name)
            if shown is not None:
                portion.append(shown)
                self.history.append(shown)
        return portion

    def _show(self, now: int, name: str) -> Shown | None:
        member, reason = self.merge(now, name)
        before = self.shown.get(name)
        serves = member is not None and member.state is EngineState.UP
        served = before is not None and before.member.state is EngineState.UP
        if member is not None and serves and not served:
            until = self._returning(now, name)
            if until > now:
                self._held[name] = until
                reason = Reason("", 0, "came back too often: held back")
                member = replace(before.member, state=EngineState.DRAINING) if before is not None else None
        if not serves and (self._held.pop(name, None) is not None or served):
            self._left(now, name)
        if member is None:
            if before is None:
                return None
            del self.shown[name]
            return Shown(replace(before.member, state=EngineState.GONE), reason, now)
        if before is not None and before.member == member:
            return None
        self.shown[name] = shown = Shown(member, reason, now)
        return shown

    def _left(self, now: int, name: str) -> None:
        if self._flapping.returns:
            returns = self._returns.setdefault(name, Returns())
            returns.left = now
            self._returns.move_to_end(name)
            if len(self._returns) > MOST_KEPT:
                self._returns.popitem(last=False)

    def _returning(self, now: int, name: str) -> int:
        """Counts a return; until when it is held back, if it is."""
        returns, terms = self._returns.get(name), self._flapping
        if returns is None:
            return 0
        until = returns.left + terms.hold
        while returns.times and returns.times[0] <= now - terms.span:
            returns.times.popleft()
        if len(returns.times) >= terms.returns:
            if now < until:
                return until
            returns.times.clear()
        returns.times.append(now)
        return 0

    def merge(self, now: int, name: str) -> tuple[ListedEngine | None, Reason]:
        """What all sources together make of one engine, whoever is shown at its address; and why."""
        for source in self._ranked:
            if source.standing.authoritative and name in source.gone:
                return None, Reason(source.standing.name, source.revision, "taken off this source's list")
        member, reason = self._base(name)
        if member is None:
            return None, reason
        rival = self._rival(name, member)
        if rival is not None:
            return None, Reason(reason.source, reason.revision, f"its address is that of {rival}")
        drains = self._drains(name)
        if drains is not None and member.state is EngineState.UP:
            member = replace(member, state=EngineState.DRAINING)
            reason = Reason(drains.standing.name, drains.revision, "drained by this source")
        return member, reason

    def _base(self, name: str) -> tuple[ListedEngine | None, Reason]:
        """Presence by precedence, with the latest start and the first weight that is told."""
        said = None
        for source in self._order():
            member = source.members.get(name)
            if member is not None and member.state is not EngineState.GONE:
                said = source
                break
            if source.standing.complete and source.told and not source.stale:
                return None, Reason(
                    source.standing.name, source.revision, "not on this source's complete list"
                )
        if said is None:
            return None, Reason("", 0, "on no source's list")
        member = said.members[name]
        others = [m for s in self._order() if (m := s.members.get(name)) is not None and m is not member]
        started = max([m.started_at for m in others if m.address == member.address] + [member.started_at])
        weight = next((m.weight for m in [member, *others] if m.weight is not None), None)
        if (started, weight) != (member.started_at, member.weight):
            member = replace(member, started_at=started, weight=weight)
        return member, Reason(said.standing.name, said.revision, "listed by this source")

    def _order(self) -> list[Source]:
        fresh = [source for source in self._ranked if not source.stale]
        return fresh if len(fresh) == len(self._ranked) else fresh + [s for s in self._ranked if s.stale]

    def _drains(self, name: str) -> Source | None:
        for source in self._ranked:
            member = source.members.get(name)
            if source.standing.authoritative and member is not None and member.state is EngineState.DRAINING:
                return source
        return None

    def _rival(self, name: str, member: ListedEngine) -> str | None:
        """Who has the better claim on its address."""
        names = self._at.get(member.address, {})
        if len(names) < 2:
            return None
        claims = []
        for one in names:
            if any(s.standing.authoritative and one in s.gone for s in self._ranked):
                continue
            listed, reason = self._base(one)
            if listed is not None and listed.address == member.address:
                claims.append((-listed.started_at, self.sources[reason.source].rank, one))
        best = min(claims, default=(0, 0, name))[2]
        return best if best != name else None

    # For the operators.

    def explain(self, now: int, name: str) -> tuple[ListedEngine | None, Reason, dict[str, str]]:
        """An engine as it is merged, why, and what each source says of it."""
        words = {}
        for source in self._ranked:
            member = source.members.get(name)
            if name in source.gone:
                words[source.standing.name] = "taken off"
            elif member is not None:
                words[source.standing.name] = member.state.value + (", stale" if source.stale else "")
            elif source.told:
                words[source.standing.name] = "does not list it"
        member, reason = self.merge(now, name)
        if member is not None and name in self._held:
            reason = Reason("", 0, "came back too often: held back")
        return member, reason, words


def _tightens(before: ListedEngine, after: ListedEngine) -> bool:
    """Whether a batch that depends on what an engine may be sent could be harmed by learning of it late."""
    return (
        after.state is not before.state
        or after.address != before.address
        or after.weight == 0
        or (after.zone, after.machine_kind, after.cell) != (before.zone, before.machine_kind, before.cell)
        or after.started_at > before.started_at
    )
