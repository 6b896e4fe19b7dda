"""Leases, every order of events: three voters, two claimants, lost messages and stores, a fast clock.

The decisions are the served ones; broken on purpose, each flaw is found. A state is a flat tuple of small
numbers: records, claims and messages are numbered as they are met, so that states compare quickly. A message
that is never delivered is a lost one.
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
TERM = 2  # by voters' clocks; the fast one passes it in one
TERMS = LeaseTerms(term=TERM, max_term=TERM, clock_drift=1.0)


@dataclass(frozen=True)
class Model:
    """What may happen, how often, and what is broken. `rounds` that each claimant begins; `amnesia`: times
    that a voter loses its store, `restarts`: only its clock; `late`: replies to renewals are on their way."""

    horizon: int = 2
    rounds: tuple[int, int] = (1, 1)
    renewals: int = 0
    amnesia: int = 0
    restarts: int = 0
    fast: bool = False
    doubled: int = 0
    late: bool = False
    broken: str = ""


class State(NamedTuple):
    """`silent`: until when a voter without a store says nothing, -1 where it knows; `flying`: messages, a bit
    each; `held`: what came to be held, in this order."""

    now: int
    records: tuple[int, ...]
    silent: tuple[int, ...]
    claims: tuple[int, ...]
    rounds: tuple[int, ...]
    renewed: int
    amnesia: int
    restarts: int
    doubled: int
    flying: int
    held: int


class Numbered:
    """Values by small numbers."""

    def __init__(self, *first):
        self.values, self.numbers = [], {}
        for value in first:
            self.number(value)

    def number(self, value):
        found = self.numbers.setdefault(value, len(self.values))
        if found == len(self.values):
            self.values.append(value)
        return found


class Explored:
    """All that can happen under a model."""

    def __init__(self, model, most=3_000_000):
        self.model, self.terms = model, TERMS
        if model.broken == "skew":
            self.terms = LeaseTerms(term=TERM, max_term=TERM, clock_drift=0.0)
        self.records, self.claims = Numbered(VoterRecord()), Numbered(Claim())
        self.messages, self.held = Numbered(), Numbered(())
        self.states, self.wrong, self.reached = 0, None, set()
        for name in ("_prepare", "_accept", "_accept_replied", "_recover"):
            setattr(self, name, cache(getattr(self, name)))
        first = State(0, (0,) * 3, (-1,) * 3, (0, 0), model.rounds, 0, 0, 0, 0, 0, 0)
        seen, line = {first}, deque([first])
        while line and self.wrong is None:
            for new in self.after(line.popleft()):
                if new in seen:
                    continue
                seen.add(new)
                line.append(new)
                self.wrong = self.violation(new)
                if self.wrong is not None:
                    break
            assert len(seen) < most, f"more than {most} states"
        self.states = len(seen)

    def clock(self, voter, now):
        return 2 * now if self.model.fast and voter == 0 else now

    def send(self, *messages):
        mask = 0
        for message in messages:
            mask |= 1 << self.messages.number(message)
        return mask

    def after(self, state):
        """All states that one event leads to."""
        model, now = self.model, state.now
        if now < model.horizon:
            yield state._replace(now=now + 1)
        for who in (0, 1):
            claim = self.claims.values[state.claims[who]]
            if state.rounds[who] and claim.stage is ClaimStage.IDLE and not claim.is_held(now):
                new = claim.start_round(now, CLAIMANTS[who], who)
                sent = self.send(*(("P", who, voter, new.ballot) for voter in range(3)))
                yield state._replace(
                    claims=put(state.claims, who, self.claims.number(new)),
                    rounds=put(state.rounds, who, state.rounds[who] - 1),
                    flying=state.flying | sent,
                )
            if state.renewed < model.renewals and claim.stage is ClaimStage.HOLDING and claim.is_held(now):
                new, serial = claim.renew(now)
                sent = self.send(*(("A", who, voter, new.grant, serial) for voter in range(3)))
                yield state._replace(
                    claims=put(state.claims, who, self.claims.number(new)),
                    renewed=state.renewed + 1,
                    flying=state.flying | sent,
                )
        for voter in range(3):
            yield from self.faults(state, voter)
        flying, place = state.flying, 0
        while flying:
            if flying & 1:
                bit = 1 << place
                yield from self.delivered(state._replace(flying=state.flying ^ bit), place)
                if state.doubled < model.doubled and self.messages.values[place][0] == "A":
                    yield from self.delivered(state._replace(doubled=state.doubled + 1), place)
            flying, place = flying >> 1, place + 1

    def faults(self, state, voter):
        model, at = self.model, self.clock(voter, state.now)
        if state.amnesia < model.amnesia:
            yield state._replace(
                records=put(state.records, voter, 0),
                silent=put(state.silent, voter, at + (0 if model.broken == "silence" else TERM)),
                amnesia=state.amnesia + 1,
            )
        if state.restarts < model.restarts and state.silent[voter] < 0:
            record = self.records.values[state.records[voter]]
            kept = self.records.number(replace(record, expires_at=at + record.grant.term))
            yield state._replace(records=put(state.records, voter, kept), restarts=state.restarts + 1)
        others = [one for one in range(3) if one != voter]
        if 0 <= state.silent[voter] <= at and all(state.silent[one] < 0 for one in others):
            record = self._recover(*(state.records[one] for one in others), at)
            yield state._replace(
                records=put(state.records, voter, record), silent=put(state.silent, voter, -1)
            )

    def _recover(self, one, other, at):
        known = self.records.values[one], self.records.values[other]
        grant = max((record.grant for record in known), key=lambda grant: grant.ballot)
        until = at + grant.term if grant.holder else 0
        return self.records.number(VoterRecord(max(record.promised for record in known), grant, until))

    def delivered(self, state, place):
        kind, who, voter, *_ = self.messages.values[place]
        at, claim = self.clock(voter, state.now), state.claims[who]
        if kind == "R":
            yield self.accept_replied(state, who, place, claim)
        elif state.silent[voter] >= 0:
            return
        elif kind == "P":
            record, claim, sent = self._prepare(place, state.records[voter], at, claim, state.now)
            yield state._replace(
                records=put(state.records, voter, record),
                claims=put(state.claims, who, claim),
                flying=state.flying | sent,
            )
        else:
            record, answer = self._accept(place, state.records[voter], at)
            state = state._replace(records=put(state.records, voter, record))
            if self.model.late and self.messages.values[answer][4]:
                yield state._replace(flying=state.flying | 1 << answer)
            else:
                yield self.accept_replied(state, who, answer, claim)

    def _prepare(self, place, record, at, claim, now):
        _, who, voter, ballot = self.messages.values[place]
        old = self.claims.values[claim]
        new_record, reply = prepare(self.records.values[record], at, ballot)
        new, sent = old.prepare_replied(now, NAMES[voter], ballot, reply, VOTERS, self.terms, 0), 0
        if old.stage is ClaimStage.PREPARING and new.stage is ClaimStage.ACCEPTING:
            if self.model.broken == "number":
                new = replace(new, grant=new.grant._replace(token=max(1, new.latest.token)))
            sent = self.send(*(("A", who, one, new.grant, 0) for one in range(3)))
        return self.records.number(new_record), self.claims.number(new), sent

    def _accept(self, place, record, at):
        _, who, voter, grant, serial = self.messages.values[place]
        new, reply = accept(self.records.values[record], at, grant)
        return self.records.number(new), self.messages.number(("R", who, voter, grant.ballot, serial, reply))

    def accept_replied(self, state, who, place, claim):
        claim, held = self._accept_replied(place, claim, state.now, who, state.held)
        return state._replace(claims=put(state.claims, who, claim), held=held)

    def _accept_replied(self, place, claim, now, who, held):
        _, _, voter, ballot, serial, reply = self.messages.values[place]
        old = self.claims.values[claim]
        new = old.accept_replied(NAMES[voter], ballot, serial, reply, VOTERS, self.terms)
        if self.model.broken == "answer" and new.expires_at > old.expires_at:
            new = replace(new, expires_at=now + self.terms.holder_term(TERM))
        before = self.held.values[held]
        mark = new.grant.token, who
        if new.is_held(now) and mark not in before[-1:]:
            held = self.held.number((*before, mark))
        return self.claims.number(new), held

    def violation(self, state):
        """What must never be: two that hold, a number that falls or is used twice."""
        if all(self.claims.values[claim].is_held(state.now) for claim in state.claims):
            return "two hold"
        marks = self.held.values[state.held]
        self.reached.add(len(marks))
        if any(a[0] >= b[0] for a, b in zip(marks, marks[1:], strict=False)):
            return "a number does not rise"
        return None


def put(values, place, value):
    return (*values[:place], value, *values[place + 1 :])


# What each is for, how many states it has (they are all of them), and what is broken in its second half.
SOUND = {
    "two claimants": (Model(), 209_696),
    "a voter loses its store": (Model(horizon=1, amnesia=1), 234_784),
    "a voter begins its clock anew": (Model(horizon=1, restarts=1), 154_904),
    "acceptances come twice": (Model(horizon=1, doubled=1), 220_198),
}
BROKEN = {
    "the bound on clocks' rates is left out": (Model(horizon=3, fast=True, broken="skew"), "two hold"),
    "no silence after a lost store": (Model(horizon=1, amnesia=1, broken="silence"), "two hold"),
    "a token is not raised": (Model(broken="number"), "a number does not rise"),
    "a renewal counts from its reply": (Model(renewals=1, late=True, broken="answer"), "two hold"),
}


@pytest.mark.parametrize("name", SOUND)
def test_no_order_of_events_lets_two_hold(name):
    model, states = SOUND[name]
    found = Explored(model)
    assert found.wrong is None and 1 in found.reached
    assert found.states == states


@pytest.mark.parametrize("name", BROKEN)
def test_what_is_broken_on_purpose_is_found(name):
    model, wrong = BROKEN[name]
    assert Explored(model).wrong == wrong


if __name__ == "__main__":
    import sys
    import time

    for text in sys.argv[1:]:
        began = time.monotonic()
        found = Explored(eval(f"Model({text})"), 20_000_000)
        print(text, found.states, found.wrong, found.reached, f"{time.monotonic() - began:.1f} s", flush=True)
