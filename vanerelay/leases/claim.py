"""One gateway's claim on a lease: the proposer's side of the protocol. The voters' side is in `voter`.

Pure: each step takes the current claim, the gateway's clock and, where there is one, a voter's reply, and
returns the next claim. The claim's stage determines which messages the caller sends.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

from vanerelay.leases.voter import Ballot, Grant, LeaseTerms, Reply, VoterAnswer, Voters

MAX_RENEWALS_IN_FLIGHT = 4
"""Latest renewals of one lease whose replies are counted; older ones would no longer extend the lease."""


class ClaimStage(Enum):
    """Stage of a claimant's round. The lease may be held in any stage (see `Claim.is_held`)."""

    IDLE = "idle"
    PREPARING = "preparing"
    """The claimant has asked the voters for promises."""
    ACCEPTING = "accepting"
    """A majority has promised; no majority has accepted the grant yet."""
    HOLDING = "holding"
    """A majority has accepted the grant."""


class AcceptRound(NamedTuple):
    """One request to accept the grant, and the voters that accepted it: serial 0 first, then renewals."""

    serial: int
    requested_at: int
    accepted_by: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Claim:
    """One gateway's claim on one task's lease. All times are by the gateway's own clock.

    Attributes:
        stage: stage of the round.
        ballot: ballot of the round.
        started_at: when the round started.
        promised_by: voters that promised the ballot.
        refused_by: voters that refused to promise it.
        latest: the grant with the highest ballot that the promising voters had accepted.
        grant: the grant that voters are asked to accept, or that is held.
        accept_rounds: requests to accept the grant whose replies count.
        expires_at: when the held lease expires; 0 where no lease is held.
        predecessor_released: the previous holder has released the lease, or there was none.
        highest_round: the highest ballot round seen so far.
        saw_higher_ballot: some voter has promised a higher ballot, so that a round above it is due.
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
    predecessor_released: bool = True
    highest_round: int = 0
    saw_higher_ballot: bool = False

    def is_held(self, now: int) -> bool:
        """Returns True if this gateway holds the lease."""
        return now < self.expires_at

    def start_round(self, now: int, name: str, process: int) -> Claim:
        """Starts a round that asks for promises of a new ballot. A held lease stays held meanwhile."""
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

        The promise that completes a majority sets `grant`, which the caller then asks all voters to accept. A
        new fencing token is above `min_token`, which covers the tokens of earlier eras and those that
        receivers have reported.
        """
        claim = replace(self, highest_round=max(self.highest_round, reply.promised.round))
        if self.stage is not ClaimStage.PREPARING or ballot != self.ballot:
            return claim
        if reply.answer is not VoterAnswer.GRANTED:
            return replace(claim, refused_by=self.refused_by | {voter})
        if now >= self.started_at + terms.holder_term(terms.term):
            return claim.end_round(now)
        latest = max(self.latest, reply.grant, key=lambda accepted: accepted.ballot)
        claim = replace(claim, promised_by=self.promised_by | {voter}, latest=latest)
        if not voters.is_quorum(claim.promised_by):
            return claim
        return claim._start_accepting(now, terms, min_token)

    def _start_accepting(self, now: int, terms: LeaseTerms, min_token: int) -> Claim:
        """Returns the claim after a majority has promised, with the grant that voters are to accept."""
        latest, ballot = self.latest, self.ballot
        is_own = (latest.holder, latest.process) == (ballot.name, ballot.process)
        # No other process can have held the lease meanwhile, so the token stays under the higher ballot.
        is_same_holding = is_own and self.is_held(now) and latest.token == self.grant.token > min_token
        token = latest.token if is_same_holding else max(latest.token, min_token) + 1
        return replace(
            self,
            stage=ClaimStage.ACCEPTING,
            grant=Grant(token, ballot.name, ballot.process, terms.term, ballot),
            # The term counts from the start of the round, as the grant relies on promises given since then.
            accept_rounds=(AcceptRound(0, self.started_at),),
            expires_at=self.expires_at if is_same_holding else 0,
            predecessor_released=not latest.holder or is_own,
        )

    def cannot_win(self, voters: Voters) -> bool:
        """Returns True if so many voters have refused that no majority can promise any more."""
        return self.stage is ClaimStage.PREPARING and not voters.is_quorum(
            set(voters.names) - self.refused_by
        )

    def renew(self, now: int) -> tuple[Claim, int]:
        """Starts a renewal of the grant under the same ballot; also returns the serial of this request."""
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
            return replace(claim, saw_higher_ballot=True)
        if reply.answer is not VoterAnswer.GRANTED:
            return claim
        rounds, expires_at, stage = list(self.accept_rounds), self.expires_at, self.stage
        for index, accept_round in enumerate(rounds):
            if accept_round.serial != serial:
                continue
            rounds[index] = accept_round._replace(accepted_by=accept_round.accepted_by | {voter})
            if voters.is_quorum(rounds[index].accepted_by):
                expires_at = max(expires_at, accept_round.requested_at + terms.holder_term(self.grant.term))
                stage = ClaimStage.HOLDING
        return replace(claim, accept_rounds=tuple(rounds), expires_at=expires_at, stage=stage)

    def end_round(self, now: int) -> Claim:
        """Ends a round that failed. A held lease stays held until it expires."""
        held = self.is_held(now)
        return Claim(
            grant=self.grant if held else Grant(),
            expires_at=self.expires_at if held else 0,
            highest_round=self.highest_round,
        )

    def release(self) -> Claim:
        """Ends the holding at once. The returned `grant` names no holder; voters are asked to accept it."""
        released = self.grant._replace(holder="", term=0)
        return Claim(ballot=self.ballot, grant=released, highest_round=self.highest_round)
