"""One voter of the lease protocol. Pure: values in, values out; the caller passes the voter's own clock.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt 2010) on voters that store what they promised: a
ballot is promised, then a grant is accepted, and after the grant's term the voter forgets that the lease is
held. Three things are added: a fencing token that only rises, carried by the same ballots; a promise that is
refused while another process holds the lease, so that a gateway which only looks around takes no lease away;
and the rules by which a voter that lost its store votes again. `claim` is the other side of the protocol.

Why two processes never hold one lease. A holder counts its term from its request, on its own clock, and
shorter than voters count theirs from the acceptance, by the stated bound on how far the rates of two clocks
differ. Its successor has the promises of a majority, each given by a voter for which the holder's term was
over. Every renewal of the holder was accepted by one of these voters before it promised, and none can be
accepted after. A voter without a store keeps silent for the longest term, so that whatever it said before has
expired, then learns from a majority of the others, one of which knows whatever a majority with it accepted.
A claimant drops a round that is older than a term.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

TOKENS_PER_ERA = 2**32
"""Fencing tokens of one era. Tokens of a later era are above all tokens of the eras before it."""

MAX_TASKS = 500
"""Tasks that a voter remembers: its store and its answers stay small. A further one is refused."""


class Ballot(NamedTuple):
    """A ballot of the protocol; ballots are ordered as tuples.

    `process` is drawn anew by each process, so that no two processes ever use the same ballot.
    """

    round: int = 0
    name: str = ""
    process: int = 0


class Grant(NamedTuple):
    """A lease as a voter accepted it.

    `token` is the fencing token, `term` counts by the voters' clocks, and `holder` is empty where the lease
    was given back. Grants travel and are stored as arrays: the order of the fields must stay.
    """

    token: int = 0
    holder: str = ""
    process: int = 0
    term: int = 0
    ballot: Ballot = Ballot()


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The durations and bounds on which the safety of leases rests.

    Attributes:
        term: how long a lease lasts unless it is renewed.
        max_term: the longest term that any gateway may ask for, and how long a voter without a store is
            silent.
        clock_drift: how much faster one clock may run than another, at most (0.02: two percent).
        takeover_delay: how long an operation may still arrive after its holder's term, at receivers that
            can't refuse it by its fencing token.
    """

    term: Duration = 10 * SECOND
    max_term: Duration = config_field("longest", default=30 * SECOND)
    clock_drift: float = config_field("drift", default=0.02)
    takeover_delay: Duration = config_field("linger", default=2 * SECOND)

    def holder_term(self, term: int) -> int:
        """How long a holder may act, by its own clock, counted from its request."""
        return int(term / (1.0 + self.clock_drift))


@dataclass(frozen=True, slots=True)
class Voters:
    """The voters of a fleet.

    While one set replaces another, a joint step needs a majority of both sets. `version` rises by one with
    each step: 1 (the old set), 2 (both sets), 3 (the new set).
    """

    version: int = 1
    current: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """All voters, each once."""
        return tuple(dict.fromkeys((*self.current, *self.previous)))

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Whether these are a majority of each set."""
        given = set(names)
        return all(2 * len(given & set(one)) > len(one) for one in (self.current, self.previous) if one)

    def is_recovery_quorum(self, names: Iterable[str]) -> bool:
        """Whether these know everything that was ever accepted: a majority of the set that voted before."""
        voted = self.previous or self.current
        return 2 * len(set(names) & set(voted)) > len(voted)


class VoterAnswer(Enum):
    """What a voter answers; the values are sent."""

    GRANTED = "yes"
    HELD = "held"
    """Another process holds the lease."""
    HIGHER_BALLOT = "later"
    """A higher ballot was promised to somebody else."""
    REFUSED = "refused"
    """For a reason that no ballot mends: outdated voters, too long a term, too many tasks, no memory."""


@dataclass(frozen=True, slots=True)
class VoterRecord:
    """What a voter remembers of one task. `expires_at`, by its own clock, is not stored; the rest is."""

    promised: Ballot = Ballot()
    grant: Grant = Grant()
    expires_at: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A voter's reply for one task.

    Attributes:
        answer: whether it promised or accepted.
        grant: the last grant that it accepted.
        remaining: for how long that grant still holds.
        promised: the highest ballot that it promised.
    """

    answer: VoterAnswer
    grant: Grant = Grant()
    remaining: int = 0
    promised: Ballot = Ballot()


def prepare(record: VoterRecord, now: int, ballot: Ballot) -> tuple[VoterRecord, Reply]:
    """Answers a claimant that wants a promise for a ballot.

    Returns the voter's new record, which has to be stored before the reply is sent, and the reply.
    """
    grant, remaining = record.grant, max(0, record.expires_at - now)
    if remaining and grant.holder and (grant.holder, grant.process) != (ballot.name, ballot.process):
        return record, Reply(VoterAnswer.HELD, grant, remaining, record.promised)
    if ballot <= record.promised:
        return record, Reply(VoterAnswer.HIGHER_BALLOT, grant, remaining, record.promised)
    return replace(record, promised=ballot), Reply(VoterAnswer.GRANTED, grant, remaining, ballot)


def accept(record: VoterRecord, now: int, grant: Grant) -> tuple[VoterRecord, Reply]:
    """Answers a claimant that has a majority's promises, renews its lease or gives it back.

    Returns the voter's new record, which has to be stored before the reply is sent, and the reply.
    """
    if grant.ballot < record.promised:
        remaining = max(0, record.expires_at - now)
        return record, Reply(VoterAnswer.HIGHER_BALLOT, record.grant, remaining, record.promised)
    expires_at = now + grant.term if grant.holder else 0
    return VoterRecord(grant.ballot, grant, expires_at), Reply(VoterAnswer.GRANTED, grant)


class VoterMemory(Enum):
    """Whether a voter remembers what it promised; the values are sent and shown to operators."""

    SILENT = "silent"
    """It lost its store, and waits until whatever it said before has expired."""
    RECOVERING = "blank"
    """It asks the other voters what they remember."""
    READY = "knows"


@dataclass(frozen=True, slots=True)
class VoterState:
    """What outlives a voter's process, or what one voter learns from another."""

    era: int = 0
    version: int = 0
    records: Mapping[str, VoterRecord] = field(default_factory=dict)


class Voter:
    """One voter's part in all leases.

    Attributes:
        memory: whether it may vote.
        era: the era of fencing tokens that it knows.
        version: the highest version of voters that asked for its memory; requests under older ones are
            refused.
        records: what it remembers, by task.
        unsaved: the tasks whose records have to be on disk before the next reply is sent.
    """

    def __init__(
        self, name: str, terms: LeaseTerms, voters: Voters, stored: VoterState | None, now: int
    ) -> None:
        """`stored`: what it remembered before; None where there is nothing, and the voter is silent first."""
        self.name, self.terms, self.voters = name, terms, voters
        self.memory = VoterMemory.READY if stored is not None else VoterMemory.SILENT
        self.era, self.version = (stored.era, stored.version) if stored is not None else (0, 0)
        self._silent_until = now + terms.max_term
        # A clock that began anew says nothing of terms that were running: they begin again.
        records = stored.records if stored is not None else {}
        self.records = {
            task: replace(record, expires_at=now + record.grant.term) for task, record in records.items()
        }
        self.unsaved = set[str]()

    def prepare(self, now: int, version: int, task: str, ballot: Ballot) -> Reply:
        """Answers a request for a promise."""
        return self._answer(version, task, lambda record: prepare(record, now, ballot), 0)

    def accept(self, now: int, version: int, task: str, grant: Grant) -> Reply:
        """Answers a request to accept a grant."""
        return self._answer(version, task, lambda record: accept(record, now, grant), grant.term)

    def _answer(
        self, version: int, task: str, decide: Callable[[VoterRecord], tuple[VoterRecord, Reply]], term: int
    ) -> Reply:
        if (
            self.memory is not VoterMemory.READY
            or version < self.version
            or term > self.terms.max_term
            or task not in self.records
            and len(self.records) >= MAX_TASKS
        ):
            return Reply(VoterAnswer.REFUSED)
        record, reply = decide(self.records.get(task, VoterRecord()))
        if record != self.records.get(task):
            self.records[task] = record
            self.unsaved.add(task)
        return reply

    def raise_version(self, version: int) -> bool:
        """Refuses requests under older voters from now on; whether this is new, and to be stored first."""
        is_new = version > self.version
        self.version = max(self.version, version)
        return is_new

    # Recovery after a lost store.

    def may_recover(self, now: int) -> bool:
        """Whether it is time to ask the other voters; ends the silence once it has lasted long enough."""
        if self.memory is VoterMemory.SILENT and now >= self._silent_until:
            self.memory = VoterMemory.RECOVERING
        return self.memory is VoterMemory.RECOVERING

    def recover(self, now: int, states: Mapping[str, VoterState]) -> bool:
        """Learns what other voters remember, by their names; whether it is enough to vote again."""
        others = {name: state for name, state in states.items() if name != self.name}
        if self.memory is not VoterMemory.RECOVERING or not self.voters.is_recovery_quorum(others):
            return False
        for state in others.values():
            self.era, self.version = max(self.era, state.era), max(self.version, state.version)
            for task, record in state.records.items():
                self.records[task] = _merged(self.records.get(task, VoterRecord()), record, now)
        self._become_ready()
        return True

    def start_era(self, era: int, latest_era: int) -> str | None:
        """Votes again on an operator's order, with fencing tokens of a later era.

        An operator gives it when no majority remembers. `latest_era` is the latest that any voter reports.
        Returns why the order is refused; None where it is followed.
        """
        if self.memory is not VoterMemory.RECOVERING:
            return "it is silent yet" if self.memory is VoterMemory.SILENT else "it knows"
        if era <= max(latest_era, self.era):
            return f"era {era}, expected one after {max(latest_era, self.era)}"
        self.era = era
        self._become_ready()
        return None

    def _become_ready(self) -> None:
        self.memory = VoterMemory.READY
        self.version = max(self.version, self.voters.version)
        self.unsaved |= set(self.records)


def _merged(own: VoterRecord, other: VoterRecord, now: int) -> VoterRecord:
    """The later of what two voters remember; as far as is known, its term begins now."""
    grant = max(own.grant, other.grant, key=lambda one: one.ballot)
    expires_at = now + grant.term if grant.holder else 0
    return VoterRecord(max(own.promised, other.promised), grant, expires_at)
