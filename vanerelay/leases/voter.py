"""One voter of the lease protocol. Pure: the caller passes the time of the voter's own clock.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt 2010) with voters that store their promises: a voter
promises a ballot, then accepts a grant, and after the grant's term no longer counts the lease as held. Three
things are added: a fencing token that only rises, carried by the same ballots; a voter refuses a promise
while another process holds the lease, so that a claimant's check does not take the lease from its holder;
and the rules by which a voter that lost its store votes again. `claim` is the other side of the protocol.

Why two processes never hold one lease: a holder counts its term from its request, on its own clock. Voters
count the term from their acceptance, and the holder's term is shorter by the bound on how far the rates of
two clocks differ. A successor needs the promises of a majority, each given by a voter for which the holder's
term was over. Every successful renewal of the holder was accepted by one of these voters before it promised,
and none can be accepted after. A voter without a store refuses all requests for the longest term, until every
lease that it may have granted has expired. It then reads the records of a majority of voters among the
others; at least one of them knows whatever a majority that included this voter accepted. A claimant drops a
round that is older than a term.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

TOKENS_PER_ERA = 2**32
"""Number of fencing tokens in one era. Tokens of a later era are above all tokens of earlier eras."""

MAX_TASKS = 500
"""Limit of tasks in a voter's records, which keeps its store and responses small. It refuses further ones."""


class Ballot(NamedTuple):
    """A ballot of the protocol; ballots are ordered as tuples.

    `process` is a random number that each process draws at start, so that no two processes use the same
    ballot.
    """

    round: int = 0
    name: str = ""
    process: int = 0


class Grant(NamedTuple):
    """A lease as a voter accepts it.

    `token` is the fencing token, `term` is measured by the voters' clocks, and `holder` is empty where the
    lease was released. Grants are sent and stored as arrays: the order of the fields must stay.
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
        term: duration of a lease that is not renewed.
        max_term: longest term that a gateway may request, and the time for which a voter without a store
            refuses all requests.
        clock_drift: bound on how much faster one clock may run than another (0.02: two percent).
        takeover_delay: time after a holder's term in which its operations may still arrive at receivers that
            can't refuse them by fencing token.
    """

    term: Duration = 10 * SECOND
    max_term: Duration = config_field("longest", default=30 * SECOND)
    clock_drift: float = config_field("drift", default=0.02)
    takeover_delay: Duration = config_field("linger", default=2 * SECOND)

    def holder_term(self, term: int) -> int:
        """Returns how long a holder may act after its request, by its own clock."""
        return int(term / (1.0 + self.clock_drift))


@dataclass(frozen=True, slots=True)
class Voters:
    """The voters of a fleet.

    While one set of voters replaces another, a joint step needs a majority of both sets. `version` rises by
    one with each step: 1 (the old set), 2 (both sets), 3 (the new set).
    """

    version: int = 1
    current: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all voters, without duplicates."""
        return tuple(dict.fromkeys((*self.current, *self.previous)))

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Returns True if `names` include a majority of each set of voters."""
        present = set(names)
        return all(
            2 * len(present & set(voter_set)) > len(voter_set)
            for voter_set in (self.current, self.previous)
            if voter_set
        )

    def is_recovery_quorum(self, names: Iterable[str]) -> bool:
        """Returns True if the voters `names` together know every grant that was accepted.

        They do if they are a majority of the older set, as every grant was accepted by a majority of it.
        """
        older_set = self.previous or self.current
        return 2 * len(set(names) & set(older_set)) > len(older_set)


class VoterAnswer(Enum):
    """A voter's answer to a request; the values are sent."""

    GRANTED = "yes"
    HELD = "held"
    """Another process holds the lease."""
    HIGHER_BALLOT = "later"
    """The voter has promised an equal or higher ballot."""
    REFUSED = "refused"
    """Refused whatever the ballot: older version of voters, term too long, too many tasks, or not READY."""


@dataclass(frozen=True, slots=True)
class VoterRecord:
    """A voter's record of one task. `expires_at`, by its own clock, is not stored; the other fields are."""

    promised: Ballot = Ballot()
    grant: Grant = Grant()
    expires_at: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """A voter's reply for one task.

    Attributes:
        answer: the voter's answer.
        grant: last grant that it accepted.
        remaining: time until that grant expires.
        promised: highest ballot that it promised.
    """

    answer: VoterAnswer
    grant: Grant = Grant()
    remaining: int = 0
    promised: Ballot = Ballot()


def prepare(record: VoterRecord, now: int, ballot: Ballot) -> tuple[VoterRecord, Reply]:
    """Answers a claimant's request to promise a ballot.

    Returns the voter's new record, which has to be stored before the reply is sent, and the reply.
    """
    grant, remaining = record.grant, max(0, record.expires_at - now)
    if remaining and grant.holder and (grant.holder, grant.process) != (ballot.name, ballot.process):
        return record, Reply(VoterAnswer.HELD, grant, remaining, record.promised)
    if ballot <= record.promised:
        return record, Reply(VoterAnswer.HIGHER_BALLOT, grant, remaining, record.promised)
    return replace(record, promised=ballot), Reply(VoterAnswer.GRANTED, grant, remaining, ballot)


def accept(record: VoterRecord, now: int, grant: Grant) -> tuple[VoterRecord, Reply]:
    """Answers a request to accept a grant, by which a claimant acquires, renews or releases a lease.

    Returns the voter's new record, which has to be stored before the reply is sent, and the reply.
    """
    if grant.ballot < record.promised:
        remaining = max(0, record.expires_at - now)
        return record, Reply(VoterAnswer.HIGHER_BALLOT, record.grant, remaining, record.promised)
    expires_at = now + grant.term if grant.holder else 0
    return VoterRecord(grant.ballot, grant, expires_at), Reply(VoterAnswer.GRANTED, grant)


class VoterStatus(Enum):
    """A voter's progress in recovering its records; the values are sent and shown to operators."""

    SILENT = "silent"
    """It has no stored records, and refuses requests until all leases it may have granted have expired."""
    RECOVERING = "blank"
    """It asks the other voters for their records."""
    READY = "knows"
    """It has its records, and votes."""


@dataclass(frozen=True, slots=True)
class VoterState:
    """A voter's state as it is stored, or as another voter reads it."""

    era: int = 0
    version: int = 0
    records: Mapping[str, VoterRecord] = field(default_factory=dict)


class Voter:
    """One voter, for all tasks.

    Attributes:
        status: whether it has its records; it votes only where it is READY.
        era: latest era of fencing tokens that it knows.
        version: highest version of voters under which its records were read; requests under older versions
            are refused.
        records: its records, by task.
        unsaved: tasks whose records have to be on disk before the next reply is sent.
    """

    def __init__(
        self, name: str, terms: LeaseTerms, voters: Voters, stored: VoterState | None, now: int
    ) -> None:
        """Creates a voter from its `stored` state; with None it is SILENT for the longest term first."""
        self.name, self.terms, self.voters = name, terms, voters
        self.status = VoterStatus.READY if stored is not None else VoterStatus.SILENT
        self.era, self.version = (stored.era, stored.version) if stored is not None else (0, 0)
        self._silent_until = now + terms.max_term
        # The clock may have restarted, so what is left of a term is unknown: each term starts again in full.
        records = stored.records if stored is not None else {}
        self.records = {
            task: replace(record, expires_at=now + record.grant.term) for task, record in records.items()
        }
        self.unsaved = set[str]()

    def prepare(self, now: int, version: int, task: str, ballot: Ballot) -> Reply:
        """Answers a request to promise a ballot for a task."""
        return self._answer(version, task, lambda record: prepare(record, now, ballot), 0)

    def accept(self, now: int, version: int, task: str, grant: Grant) -> Reply:
        """Answers a request to accept a grant for a task."""
        return self._answer(version, task, lambda record: accept(record, now, grant), grant.term)

    def _answer(
        self, version: int, task: str, decide: Callable[[VoterRecord], tuple[VoterRecord, Reply]], term: int
    ) -> Reply:
        if (
            self.status is not VoterStatus.READY
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
        """Refuses requests under older versions of voters from now on.

        Returns True if the version is new; it then has to be stored before the response is sent.
        """
        is_new = version > self.version
        self.version = max(self.version, version)
        return is_new

    # Recovery after a lost store.

    def may_recover(self, now: int) -> bool:
        """Returns True if the voter should ask others for records; ends SILENT after the longest term."""
        if self.status is VoterStatus.SILENT and now >= self._silent_until:
            self.status = VoterStatus.RECOVERING
        return self.status is VoterStatus.RECOVERING

    def recover(self, now: int, states: Mapping[str, VoterState]) -> bool:
        """Merges the states of other voters, by name; returns True if they suffice for it to vote again."""
        others = {name: state for name, state in states.items() if name != self.name}
        if self.status is not VoterStatus.RECOVERING or not self.voters.is_recovery_quorum(others):
            return False
        for state in others.values():
            self.era, self.version = max(self.era, state.era), max(self.version, state.version)
            for task, record in state.records.items():
                self.records[task] = _merge_records(self.records.get(task, VoterRecord()), record, now)
        self._become_ready()
        return True

    def start_era(self, era: int, latest_era: int) -> str | None:
        """Makes the voter READY on an operator's order, with fencing tokens of a later era.

        An operator gives the order when no majority of voters has its records. `latest_era` is the latest era
        that other voters report. Returns why the order is refused, None where it is followed.
        """
        if self.status is not VoterStatus.RECOVERING:
            return "it is silent yet" if self.status is VoterStatus.SILENT else "it knows"
        if era <= max(latest_era, self.era):
            return f"era {era}, expected one after {max(latest_era, self.era)}"
        self.era = era
        self._become_ready()
        return None

    def _become_ready(self) -> None:
        self.status = VoterStatus.READY
        self.version = max(self.version, self.voters.version)
        self.unsaved |= set(self.records)


def _merge_records(own: VoterRecord, other: VoterRecord, now: int) -> VoterRecord:
    """Returns the later promise and grant of two records; the start of the term is unknown, so it is now."""
    grant = max(own.grant, other.grant, key=lambda accepted: accepted.ballot)
    expires_at = now + grant.term if grant.holder else 0
    return VoterRecord(max(own.promised, other.promised), grant, expires_at)
