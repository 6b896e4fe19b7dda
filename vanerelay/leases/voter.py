"""One voter and one asker of a lease. Pure: values in, values out, told the time by their own clocks.

PaxosLease (Trencseni, Gazso, Reinhardt 2010) on voters that remember: a ballot, its promise, its acceptance,
and a term after which a voter forgets that the lease is held. What is added: a number that only rises, kept
through the same ballots; a promise that is refused while another holds, so that nobody who looks around takes
a lease away; and the rules by which a voter that lost its memory votes again.

Why two never hold. A holder counts its term from the asking, on its own clock, and shorter than voters count
theirs from the acceptance: by the stated bound on how far two clocks' rates differ. Who takes over has
promises of a majority, each given by a voter for whom the other's term was over; every renewal of the other
was accepted by one of these before it promised, and none can be after. A voter without memory keeps silent
for the longest term, so that whatever it said before is over, then learns from a majority of the others, of
which one knows whatever a majority with it had accepted; and an asker drops a round that is older than a
term."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from vanerelay.interface import SECOND, Duration

ERA = 2**32  # numbers of one era; a later era is past all numbers of those before
MOST_TASKS = 500  # that a voter remembers; one more is refused
ROUNDS = 4  # renewals of one lease that are out at once: an answer to an older one counts for nothing


class Ballot(NamedTuple):
    """`process`: drawn anew by each process, so that no two ever use one ballot."""

    round: int = 0
    name: str = ""
    process: int = 0


class Grant(NamedTuple):
    """A lease as it was accepted. `holder` is empty where it was given back; `term` by voters' clocks."""

    number: int = 0
    holder: str = ""
    process: int = 0
    term: int = 0
    ballot: Ballot = Ballot()


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """`term`: how long a lease lasts unless renewed; `longest`: that any manager may ask for, and how long a
    voter without memory keeps silent; `drift`: how much faster one clock may run than another, at most;
    `linger`: for how long a deed may still arrive after its holder's term, at receivers that can't refuse."""

    term: Duration = 10 * SECOND
    longest: Duration = 30 * SECOND
    drift: float = 0.02
    linger: Duration = 2 * SECOND

    def held(self, term: int) -> int:
        """For how long a holder may act, by its own clock, counted from the asking."""
        return int(term / (1.0 + self.drift))


@dataclass(frozen=True, slots=True)
class Voters:
    """Who votes. In a joint step, between two sets, a majority of both is needed. `version` rises by one with
    each step: 1 (old), 2 (old and new), 3 (new)."""

    version: int = 1
    now: tuple[str, ...] = ()
    before: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*self.now, *self.before)))

    def enough(self, names: Iterable[str]) -> bool:
        told = set(names)
        return all(2 * len(told & set(one)) > len(one) for one in (self.now, self.before) if one)

    def remembers(self, names: Iterable[str]) -> bool:
        """Whether so many know all that was ever accepted: of the set before, where there is one."""
        one = self.before or self.now
        return 2 * len(set(names) & set(one)) > len(one)


class VoterAnswer(Enum):
    """What a voter answers."""

    YES = "yes"
    HELD = "held"  # by another
    LATER = "later"  # a later ballot was promised
    REFUSED = "refused"  # for a reason that is no ballot's: older voters, too long a term, too many tasks


@dataclass(frozen=True, slots=True)
class VoterRecord:
    """What a voter remembers of one task. `until`: by its own clock; it is not kept, the rest is."""

    promised: Ballot = Ballot()
    grant: Grant = Grant()
    until: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """`grant`: the last that was accepted; `left`: how long it still holds; `promised`: the highest."""

    said: VoterAnswer
    grant: Grant = Grant()
    left: int = 0
    promised: Ballot = Ballot()


def prepare(slot: VoterRecord, now: int, ballot: Ballot) -> tuple[VoterRecord, Reply]:
    """The answer to one that wants the lease under a ballot; what it changes is kept before it is said."""
    grant, left = slot.grant, max(0, slot.until - now)
    if left and grant.holder and (grant.holder, grant.process) != (ballot.name, ballot.process):
        return slot, Reply(VoterAnswer.HELD, grant, left, slot.promised)
    if ballot <= slot.promised:
        return slot, Reply(VoterAnswer.LATER, grant, left, slot.promised)
    return replace(slot, promised=ballot), Reply(VoterAnswer.YES, grant, left, ballot)


def accept(slot: VoterRecord, now: int, grant: Grant) -> tuple[VoterRecord, Reply]:
    """The answer to one that has a majority's promises, renews or gives back; kept before it is said."""
    if grant.ballot < slot.promised:
        return slot, Reply(VoterAnswer.LATER, slot.grant, max(0, slot.until - now), slot.promised)
    return VoterRecord(grant.ballot, grant, now + grant.term if grant.holder else 0), Reply(
        VoterAnswer.YES, grant
    )


class VoterMemory(Enum):
    """How it stands with what a voter remembers."""

    SILENT = "silent"  # it lost its memory: it waits until whatever it said is over
    BLANK = "blank"  # it asks the others
    KNOWS = "knows"


@dataclass(frozen=True, slots=True)
class Kept:
    """What outlives a voter's process."""

    era: int = 0
    version: int = 0
    slots: Mapping[str, VoterRecord] = field(default_factory=dict)


class Voter:
    """One voter's part in all leases. `fresh` names what has to be on disk before the answer leaves."""

    def __init__(self, name: str, terms: LeaseTerms, voters: Voters, kept: Kept | None, now: int) -> None:
        """`kept`: of before; None where there is nothing, and it keeps silent first."""
        self.name, self.terms, self.voters = name, terms, voters
        self.memory = VoterMemory.KNOWS if kept is not None else VoterMemory.SILENT
        self.era, self.version = (kept.era, kept.version) if kept is not None else (0, 0)
        self._silent_until = now + terms.longest
        # A clock that began anew says nothing of terms that ran: they begin again.
        told = kept.slots if kept is not None else {}
        self.slots = {task: replace(slot, until=now + slot.grant.term) for task, slot in told.items()}
        self.fresh = set[str]()

    def prepare(self, now: int, version: int, task: str, ballot: Ballot) -> Reply:
        return self._ask(version, task, lambda slot: prepare(slot, now, ballot), 0)

    def accept(self, now: int, version: int, task: str, grant: Grant) -> Reply:
        return self._ask(version, task, lambda slot: accept(slot, now, grant), grant.term)

    def read(self, now: int, task: str) -> Reply:
        """What it knows, for those who only look."""
        slot = self.slots.get(task, VoterRecord())
        return Reply(VoterAnswer.YES, slot.grant, max(0, slot.until - now), slot.promised)

    def _ask(
        self, version: int, task: str, of: Callable[[VoterRecord], tuple[VoterRecord, Reply]], term: int
    ) -> Reply:
        if (
            self.memory is not VoterMemory.KNOWS
            or version < self.version
            or term > self.terms.longest
            or task not in self.slots
            and len(self.slots) >= MOST_TASKS
        ):
            return Reply(VoterAnswer.REFUSED)
        slot, reply = of(self.slots.get(task, VoterRecord()))
        if slot != self.slots.get(task):
            self.slots[task] = slot
            self.fresh.add(task)
        return reply

    def fence(self, version: int) -> bool:
        """Asks under older voters are refused from now on; whether that is news, to be kept first."""
        news = version > self.version
        self.version = max(self.version, version)
        return news

    # After its memory was lost.

    def wakes(self, now: int) -> bool:
        """Whether it is time to ask the others."""
        if self.memory is VoterMemory.SILENT and now >= self._silent_until:
            self.memory = VoterMemory.BLANK
        return self.memory is VoterMemory.BLANK

    def learns(self, now: int, told: Mapping[str, Kept]) -> bool:
        """What others that know remember, by their names; whether it is enough to vote again."""
        others = {name: kept for name, kept in told.items() if name != self.name}
        if self.memory is not VoterMemory.BLANK or not self.voters.remembers(others):
            return False
        for kept in others.values():
            self.era, self.version = max(self.era, kept.era), max(self.version, kept.version)
            for task, slot in kept.slots.items():
                self.slots[task] = _later(self.slots.get(task, VoterRecord()), slot, now)
        self._know()
        return True

    def found(self, era: int, heard: int) -> str | None:
        """An operator says that nobody remembers, and numbers go on in a later era; why not. `heard`: the
        latest era that anybody tells of."""
        if self.memory is not VoterMemory.BLANK:
            return "it is silent yet" if self.memory is VoterMemory.SILENT else "it knows"
        if era <= max(heard, self.era):
            return f"era {era}, expected one after {max(heard, self.era)}"
        self.era = era
        self._know()
        return None

    def _know(self) -> None:
        self.memory = VoterMemory.KNOWS
        self.version = max(self.version, self.voters.version)
        self.fresh |= set(self.slots)


def _later(mine: VoterRecord, theirs: VoterRecord, now: int) -> VoterRecord:
    """The later of what two remember; held, as far as is known, from now on."""
    grant = max(mine.grant, theirs.grant, key=lambda one: one.ballot)
    return VoterRecord(max(mine.promised, theirs.promised), grant, now + grant.term if grant.holder else 0)


class Stage(Enum):
    """Where an asker is with its round of one task. It may hold the task all the while (`Claim.holds`)."""

    IDLE = "idle"
    ASKING = "asking"  # for promises
    TAKING = "taking"  # promised by a majority, not accepted yet
    HOLDING = "holding"


class Round(NamedTuple):
    """Acceptances that are out under one asking."""

    serial: int
    asked: int
    by: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Claim:
    """One asker's place in one task. `until`: when what it holds is over, by its own clock, 0 where it holds
    nothing; `asked`: when the round began; `free`: whether who held it before has given it back; `seen`: the
    highest round that it met; `over`: some voter met a later ballot, so a round is due above that."""

    stage: Stage = Stage.IDLE
    ballot: Ballot = Ballot()
    asked: int = 0
    by: frozenset[str] = frozenset()
    no: frozenset[str] = frozenset()
    best: Grant = Grant()
    grant: Grant = Grant()
    rounds: tuple[Round, ...] = ()
    until: int = 0
    free: bool = True
    seen: int = 0
    over: bool = False

    def holds(self, now: int) -> bool:
        return now < self.until

    def ask(self, now: int, name: str, process: int) -> Claim:
        """Begins a round: promises are wanted for `ballot`. What is held goes on being held."""
        ballot = Ballot(self.seen + 1, name, process)
        held = self.holds(now)
        return Claim(
            Stage.ASKING,
            ballot,
            now,
            grant=self.grant if held else Grant(),
            until=self.until if held else 0,
            seen=ballot.round,
        )

    def promised(
        self,
        now: int,
        voter: str,
        ballot: Ballot,
        reply: Reply,
        voters: Voters,
        terms: LeaseTerms,
        floor: int,
    ) -> Claim:
        """A voter's answer. With the last that is wanted `grant` is to be accepted by all. `floor`: a number
        that a new one has to be past, of the era and of what receivers are known to have seen."""
        claim = replace(self, seen=max(self.seen, reply.promised.round))
        if self.stage is not Stage.ASKING or ballot != self.ballot:
            return claim
        if reply.said is not VoterAnswer.YES:
            return replace(claim, no=self.no | {voter})
        if now >= self.asked + terms.held(terms.term):
            return claim.ended(now)
        best = max(self.best, reply.grant, key=lambda one: one.ballot)
        claim = replace(claim, by=self.by | {voter}, best=best)
        if not voters.enough(claim.by):
            return claim
        ours = (best.holder, best.process) == (ballot.name, ballot.process)
        # Nobody else can have held it since: it is the same holding under a later ballot.
        same = ours and self.holds(now) and best.number == self.grant.number > floor
        number = best.number if same else max(best.number, floor) + 1
        grant = Grant(number, ballot.name, ballot.process, terms.term, ballot)
        # Counted from the first asking, whose promises it stands on.
        return replace(
            claim,
            stage=Stage.TAKING,
            grant=grant,
            rounds=(Round(0, self.asked),),
            until=self.until if same else 0,
            free=not best.holder or ours,
        )

    def vain(self, voters: Voters) -> bool:
        """Whether so many have refused that no majority is left to promise."""
        return self.stage is Stage.ASKING and not voters.enough(set(voters.all) - self.no)

    def renew(self, now: int) -> tuple[Claim, int]:
        """Once more under the same ballot; with the serial of this asking."""
        serial = self.rounds[-1].serial + 1 if self.rounds else 1
        return replace(self, rounds=(*self.rounds, Round(serial, now))[-ROUNDS:]), serial

    def taken(
        self, voter: str, ballot: Ballot, serial: int, reply: Reply, voters: Voters, terms: LeaseTerms
    ) -> Claim:
        """A voter's answer to an acceptance: the first, or a renewal."""
        claim = replace(self, seen=max(self.seen, reply.promised.round))
        if ballot != self.ballot or self.stage not in (Stage.TAKING, Stage.HOLDING):
            return claim
        if reply.said is VoterAnswer.LATER:
            return replace(claim, over=True)
        if reply.said is not VoterAnswer.YES:
            return claim
        rounds, until, stage = list(self.rounds), self.until, self.stage
        for place, one in enumerate(rounds):
            if one.serial == serial:
                rounds[place] = one._replace(by=one.by | {voter})
                if voters.enough(rounds[place].by):
                    until = max(until, one.asked + terms.held(self.grant.term))
                    stage = Stage.HOLDING
        return replace(claim, rounds=tuple(rounds), until=until, stage=stage)

    def ended(self, now: int) -> Claim:
        """The round came to nothing; what is held is held until it is over."""
        held = self.holds(now)
        return Claim(grant=self.grant if held else Grant(), until=self.until if held else 0, seen=self.seen)

    def given_back(self) -> Claim:
        """Held no more from this moment; `grant` without a holder is to be accepted."""
        free = self.grant._replace(holder="", term=0)
        return Claim(ballot=self.ballot, grant=free, seen=self.seen)
