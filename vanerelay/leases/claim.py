"""One gateway's claim on a lease: the proposer's side of the protocol whose voters are in `voter`.

Pure: each step takes the claim as it stands, the gateway's own clock and perhaps a voter's reply, and returns
the claim that follows. The messages to send follow from the claim's stage.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

from vanerelay.leases.voter import Ballot, Grant, LeaseTerms, Reply, VoterAnswer, Voters

MAX_RENEWALS_IN_FLIGHT = 4
"""Renewals of one lease whose replies are counted. Older ones would not lengthen the term any more."""


class ClaimStage(Enum):
    """Where a claimant is with its round. It may hold the lease all the while (`Claim.is_held`)."""

    IDLE = "idle"
    PREPARING = "preparing"
    """It has asked for promises."""
    ACCEPTING = "accepting"
    """A majority has promised; the grant is not accepted yet."""
    HOLDING = "holding"


class AcceptRound(NamedTuple):
    """One request to accept the grant, the first or a renewal, and the voters that accepted it."""

    serial: int
    requested_at: int
    accepted_by: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Claim:
    """One gateway's claim on one task's lease. All times are by the gateway's own clock.

    Attributes:
        stage: where the round is.
        ballot: the ballot of the round.
        started_at: when the round began.
        promised_by: the voters that promised the ballot.
        refused_by: the voters that did not.
        latest: the latest grant that the voters which promised had accepted.
        grant: what is to be accepted, or is held.
        accept_rounds: requests to accept the grant whose replies count.
        expires_at: when what is held ends; 0 where nothing is held.
        was_released: whether the holder before has given the lease back.
        highest_round: the highest round of a ballot that was met.
        outbid: some voter has promised a higher ballot, so that a round above it is due.
    """

    stage: ClaimStage = ClaimStage.IDLE
    ballot: Ballot = Ballot()
    started_at: int = 0
    promised_by: frozenset[str] = frozenset()
    refused_by: frozenset[str] = frozenset()
    latest: Grant = Grant()
    grant: Grant = Grant()
    accept_rounds: tuple[AcceptRound, ...] = ()
    expires_at: int = 0
    was_released: bool = True
    highest_round: int = 0
    outbid: bool = False

    def is_held(self, now: int) -> bool:
        """Whether the lease is ours."""
        return now < self.expires_at

    def start_round(self, now: int, name: str, process: int) -> Claim:
        """Begins a round: promises are wanted for `ballot`. What is held goes on being held."""
        ballot = Ballot(self.highest_round + 1, name, process)
        held = self.is_held(now)
        return Claim(
            ClaimStage.PREPARING,
            ballot,
            now,
            grant=self.grant if held else Grant(),
            expires_at=self.expires_at if held else 0,
            highest_round=ballot.round,
        )

    def prepare_replied(
        self,
        now: int,
        voter: str,
        ballot: Ballot,
        reply: Reply,
        voters: Voters,
        terms: LeaseTerms,
        min_token: int,
    ) -> Claim:
        """Counts a voter's reply to a request for a promise.

        With the last promise that is needed, `grant` is what all voters are to accept. A new fencing token is
        above `min_token`, which is of the era and of what receivers are known to have seen.
        """
        claim = replace(self, highest_round=max(self.highest_round, reply.promised.round))
        if self.stage is not ClaimStage.PREPARING or ballot != self.ballot:
            return claim
        if reply.answer is not VoterAnswer.GRANTED:
            return replace(claim, refused_by=self.refused_by | {voter})
        if now >= self.started_at + terms.holder_term(terms.term):
            return claim.end_round(now)
        latest = max(self.latest, reply.grant, key=lambda one: one.ballot)
        claim = replace(claim, promised_by=self.promised_by | {voter}, latest=latest)
        if not voters.is_quorum(claim.promised_by):
            return claim
        return claim._accepting(now, terms, min_token)

    def _accepting(self, now: int, terms: LeaseTerms, min_token: int) -> Claim:
        """The claim once a majority has promised: its grant is to be accepted."""
        latest, ballot = self.latest, self.ballot
        is_own = (latest.holder, latest.process) == (ballot.name, ballot.process)
        # Nobody else can have held it since: it is the same holding under a higher ballot.
        is_same_holding = is_own and self.is_held(now) and latest.token == self.grant.token > min_token
        token = latest.token if is_same_holding else max(latest.token, min_token) + 1
        return replace(
            self,
            stage=ClaimStage.ACCEPTING,
            grant=Grant(token, ballot.name, ballot.process, terms.term, ballot),
            # Counted from the start of the round, on whose promises it stands.
            accept_rounds=(AcceptRound(0, self.started_at),),
            expires_at=self.expires_at if is_same_holding else 0,
            was_released=not latest.holder or is_own,
        )

    def cannot_win(self, voters: Voters) -> bool:
        """Whether so many have refused that no majority is left to promise."""
        return self.stage is ClaimStage.PREPARING and not voters.is_quorum(
            set(voters.names) - self.refused_by
        )

    def renew(self, now: int) -> tuple[Claim, int]:
        """Asks for the grant once more under the same ballot; also returns the serial of this request."""
        serial = self.accept_rounds[-1].serial + 1 if self.accept_rounds else 1
        rounds = (*self.accept_rounds, AcceptRound(serial, now))[-MAX_RENEWALS_IN_FLIGHT:]
        return replace(self, accept_rounds=rounds), serial

    def accept_replied(
        self, voter: str, ballot: Ballot, serial: int, reply: Reply, voters: Voters, terms: LeaseTerms
    ) -> Claim:
        """Counts a voter's reply to a request to accept the grant: the first, or a renewal."""
        claim = replace(self, highest_round=max(self.highest_round, reply.promised.round))
        if ballot != self.ballot or self.stage not in (ClaimStage.ACCEPTING, ClaimStage.HOLDING):
            return claim
        if reply.answer is VoterAnswer.HIGHER_BALLOT:
            return replace(claim, outbid=True)
        if reply.answer is not VoterAnswer.GRANTED:
            return claim
        rounds, expires_at, stage = list(self.accept_rounds), self.expires_at, self.stage
        for place, one in enumerate(rounds):
            if one.serial != serial:
                continue
            rounds[place] = one._replace(accepted_by=one.accepted_by | {voter})
            if voters.is_quorum(rounds[place].accepted_by):
                expires_at = max(expires_at, one.requested_at + terms.holder_term(self.grant.term))
                stage = ClaimStage.HOLDING
        return replace(claim, accept_rounds=tuple(rounds), expires_at=expires_at, stage=stage)

    def end_round(self, now: int) -> Claim:
        """The round came to nothing; what is held stays held until it expires."""
        held = self.is_held(now)
        return Claim(
            grant=self.grant if held else Grant(),
            expires_at=self.expires_at if held else 0,
            highest_round=self.highest_round,
        )

    def release(self) -> Claim:
        """Held no more from this moment; `grant`, without a holder, is to be accepted by the voters."""
        released = self.grant._replace(holder="", term=0)
        return Claim(ballot=self.ballot, grant=released, highest_round=self.highest_round)
