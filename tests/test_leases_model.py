"""Model check of leases: all orders of events for three voters and two claimants.

The events include lost and duplicated messages, lost stores and a fast clock. The decisions are those of the
product's code; with a flaw built in on purpose, the check finds it. A state is a flat tuple of small numbers:
records, claims and messages are numbered as they occur, so that states compare quickly. A lost message is one
that is never delivered.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from functools import cache
from typing import NamedTuple

import pytest

from vanerelay.leases.claim import Claim, ClaimStage
from vanerelay.leases.voter import LeaseTerms, VoterRecord, Voters, accept, prepare

NAMES, CLAIMANTS = ("v0", "v1", "v2"), "ab"
VOTERS = Voters(1, NAMES)
TERM = 2  # by voters' clocks; the fast clock passes it in 1
TERMS = LeaseTerms(term=TERM, max_term=TERM, clock_drift=1.0)


@dataclass(frozen=True)
class Model:
    """Which events may happen, how often, and which flaw is built in.

    Attributes:
        horizon: the last time.
        rounds: rounds that each claimant starts.
        renewals: renewals of leases.
        store_losses: times that a voter loses its store.
        restarts: times that a voter restarts with its store, and counts terms again in full.
        has_fast_clock: the first voter's clock runs at twice the rate.
        duplicates: times that a request to accept a grant is delivered twice.
        late_replies: replies to renewals are delivered later than the requests.
        flaw: name of the flaw; empty for none.
    """

    horizon: int = 2
    rounds: tuple[int, int] = (1, 1)
    renewals: int = 0
    store_losses: int = 0
    restarts: int = 0
    has_fast_clock: bool = False
    duplicates: int = 0
    late_replies: bool = False
    flaw: str = ""


class State(NamedTuple):
    """One state of the model.

    Attributes:
        silent_until: for each voter, when it may recover by its own clock; -1 where it has its records.
        in_flight: messages in flight, one bit each.
        holdings: number of the sequence of holdings so far.
    """

    now: int
    records: tuple[int, ...]
    silent_until: tuple[int, ...]
    claims: tuple[int, ...]
    rounds: tuple[int, ...]
    renewed: int
    store_losses: int
    restarts: int
    duplicates: int
    in_flight: int
    holdings: int


class NumberedValues:
    """Values that are referred to by small numbers, in the order of their first use."""

    def __init__(self, *first):
        self.values, self.numbers = [], {}
        for value in first:
            self.number(value)

    def number(self, value):
        found = self.numbers.setdefault(value, len(self.values))
        if found == len(self.values):
            self.values.append(value)
        return found


class Exploration:
    """Breadth-first search of all states of a model, up to the first violation."""

    def __init__(self, model, max_states=3_000_000):
        self.model, self.terms = model, TERMS
        if model.flaw == "skew":
            self.terms = LeaseTerms(term=TERM, max_term=TERM, clock_drift=0.0)
        self.records, self.claims = NumberedValues(VoterRecord()), NumberedValues(Claim())
        self.messages, self.holdings = NumberedValues(), NumberedValues(())
        self.states, self.violation_found, self.reached = 0, None, set()
        for name in ("_prepare", "_accept", "_accept_replied", "_recover"):
            setattr(self, name, cache(getattr(self, name)))
        first = State(0, (0,) * 3, (-1,) * 3, (0, 0), model.rounds, 0, 0, 0, 0, 0, 0)
        seen, queue = {first}, deque([first])
        while queue and self.violation_found is None:
            for new in self.successors(queue.popleft()):
                if new in seen:
                    continue
                seen.add(new)
                queue.append(new)
                self.violation_found = self.violation(new)
                if self.violation_found is not None:
                    break
            assert len(seen) < max_states, f"more than {max_states} states"
        self.states = len(seen)

    def clock(self, voter, now):
        return 2 * now if self.model.has_fast_clock and voter == 0 else now

    def send(self, *messages):
        mask = 0
        for message in messages:
            mask |= 1 << self.messages.number(message)
        return mask

    def successors(self, state):
        """Yields all states to which one event leads."""
        model, now = self.model, state.now
        if now < model.horizon:
            yield state._replace(now=now + 1)
        for claimant in (0, 1):
            claim = self.claims.values[state.claims[claimant]]
            if state.rounds[claimant] and claim.stage is ClaimStage.IDLE and not claim.is_held(now):
                new = claim.start_round(now, CLAIMANTS[claimant], claimant)
                sent = self.send(*(("P", claimant, voter, new.ballot) for voter in range(3)))
                yield state._replace(
                    claims=with_item(state.claims, claimant, self.claims.number(new)),
                    rounds=with_item(state.rounds, claimant, state.rounds[claimant] - 1),
                    in_flight=state.in_flight | sent,
                )
            if state.renewed < model.renewals and claim.stage is ClaimStage.HOLDING and claim.is_held(now):
                new, serial = claim.renew(now)
                sent = self.send(*(("A", claimant, voter, new.grant, serial) for voter in range(3)))
                yield state._replace(
                    claims=with_item(state.claims, claimant, self.claims.number(new)),
                    renewed=state.renewed + 1,
                    in_flight=state.in_flight | sent,
                )
        for voter in range(3):
            yield from self.fault_successors(state, voter)
        in_flight, index = state.in_flight, 0
        while in_flight:
            if in_flight & 1:
                bit = 1 << index
                yield from self.deliveries(state._replace(in_flight=state.in_flight ^ bit), index)
                if state.duplicates < model.duplicates and self.messages.values[index][0] == "A":
                    yield from self.deliveries(state._replace(duplicates=state.duplicates + 1), index)
            in_flight, index = in_flight >> 1, index + 1

    def fault_successors(self, state, voter):
        model, voter_now = self.model, self.clock(voter, state.now)
        if state.store_losses < model.store_losses:
            yield state._replace(
                records=with_item(state.records, voter, 0),
                silent_until=with_item(
                    state.silent_until, voter, voter_now + (0 if model.flaw == "silence" else TERM)
                ),
                store_losses=state.store_losses + 1,
            )
        if state.restarts < model.restarts and state.silent_until[voter] < 0:
            record = self.records.values[state.records[voter]]
            kept = self.records.number(replace(record, expires_at=voter_now + record.grant.term))
            yield state._replace(records=with_item(state.records, voter, kept), restarts=state.restarts + 1)
        others = [one for one in range(3) if one != voter]
        if 0 <= state.silent_until[voter] <= voter_now and all(state.silent_until[one] < 0 for one in others):
            record = self._recover(*(state.records[one] for one in others), voter_now)
            yield state._replace(
                records=with_item(state.records, voter, record),
                silent_until=with_item(state.silent_until, voter, -1),
            )

    def _recover(self, one, other, voter_now):
        known = self.records.values[one], self.records.values[other]
        grant = max((record.grant for record in known), key=lambda grant: grant.ballot)
        until = voter_now + grant.term if grant.holder else 0
        return self.records.number(VoterRecord(max(record.promised for record in known), grant, until))

    def deliveries(self, state, index):
        kind, claimant, voter, *_ = self.messages.values[index]
        voter_now, claim = self.clock(voter, state.now), state.claims[claimant]
        if kind == "R":
            yield self.accept_replied(state, claimant, index, claim)
        elif state.silent_until[voter] >= 0:
            return
        elif kind == "P":
            record, claim, sent = self._prepare(index, state.records[voter], voter_now, claim, state.now)
            yield state._replace(
                records=with_item(state.records, voter, record),
                claims=with_item(state.claims, claimant, claim),
                in_flight=state.in_flight | sent,
            )
        else:
            record, answer = self._accept(index, state.records[voter], voter_now)
            state = state._replace(records=with_item(state.records, voter, record))
            if self.model.late_replies and self.messages.values[answer][4]:
                yield state._replace(in_flight=state.in_flight | 1 << answer)
            else:
                yield self.accept_replied(state, claimant, answer, claim)

    def _prepare(self, index, record, voter_now, claim, now):
        _, claimant, voter, ballot = self.messages.values[index]
        old = self.claims.values[claim]
        new_record, reply = prepare(self.records.values[record], voter_now, ballot)
        new, sent = old.prepare_replied(now, NAMES[voter], ballot, reply, VOTERS, self.terms, 0), 0
        if old.stage is ClaimStage.PREPARING and new.stage is ClaimStage.ACCEPTING:
            if self.model.flaw == "number":
                new = replace(new, grant=new.grant._replace(token=max(1, new.latest.token)))
            sent = self.send(*(("A", claimant, one, new.grant, 0) for one in range(3)))
        return self.records.number(new_record), self.claims.number(new), sent

    def _accept(self, index, record, voter_now):
        _, claimant, voter, grant, serial = self.messages.values[index]
        new, reply = accept(self.records.values[record], voter_now, grant)
        return self.records.number(new), self.messages.number(
            ("R", claimant, voter, grant.ballot, serial, reply)
        )

    def accept_replied(self, state, claimant, index, claim):
        claim, holdings = self._accept_replied(index, claim, state.now, claimant, state.holdings)
        return state._replace(claims=with_item(state.claims, claimant, claim), holdings=holdings)

    def _accept_replied(self, index, claim, now, claimant, holdings):
        _, _, voter, ballot, serial, reply = self.messages.values[index]
        old = self.claims.values[claim]
        new = old.accept_replied(NAMES[voter], ballot, serial, reply, VOTERS, self.terms)
        if self.model.flaw == "answer" and new.expires_at > old.expires_at:
            new = replace(new, expires_at=now + self.terms.holder_term(TERM))
        before = self.holdings.values[holdings]
        holding = new.grant.token, claimant
        if new.is_held(now) and holding not in before[-1:]:
            holdings = self.holdings.number((*before, holding))
        return self.claims.number(new), holdings

    def violation(self, state):
        """Returns the violation in a state: two holders at once or a token that does not rise, or None."""
        if all(self.claims.values[claim].is_held(state.now) for claim in state.claims):
            return "two hold"
        holdings = self.holdings.values[state.holdings]
        self.reached.add(len(holdings))
        if any(a[0] >= b[0] for a, b in zip(holdings, holdings[1:], strict=False)):
            return "a number does not rise"
        return None


def with_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


# By purpose: sound models with the number of all their states, then models with a flaw and its violation.
SOUND = {
    "two claimants": (Model(), 209_696),
    "a voter loses its store": (Model(horizon=1, store_losses=1), 234_784),
    "a voter begins its clock anew": (Model(horizon=1, restarts=1), 154_904),
    "acceptances come twice": (Model(horizon=1, duplicates=1), 220_198),
}
BROKEN = {
    "the bound on clocks' rates is left out": (
        Model(horizon=3, has_fast_clock=True, flaw="skew"),
        "two hold",
    ),
    "no silence after a lost store": (Model(horizon=1, store_losses=1, flaw="silence"), "two hold"),
    "a token is not raised": (Model(flaw="number"), "a number does not rise"),
    "a renewal counts from its reply": (Model(renewals=1, late_replies=True, flaw="answer"), "two hold"),
}


@pytest.mark.parametrize("name", SOUND)
def test_two_claimants_never_hold_one_lease_in_any_order_of_events(name):
    model, states = SOUND[name]
    found = Exploration(model)
    assert found.violation_found is None and 1 in found.reached
    assert found.states == states


@pytest.mark.parametrize("name", BROKEN)
def test_exploration_finds_each_flaw_that_is_built_in(name):
    model, violation_found = BROKEN[name]
    assert Exploration(model).violation_found == violation_found


if __name__ == "__main__":
    import sys
    import time

    for text in sys.argv[1:]:
        started_at = time.monotonic()
        found = Exploration(eval(f"Model({text})"), 20_000_000)
        print(
            text,
            found.states,
            found.violation_found,
            found.reached,
            f"{time.monotonic() - started_at:.1f} s",
            flush=True,
        )
