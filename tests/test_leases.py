"""Leases: the pure parts one by one, the store, and the configuration."""

from __future__ import annotations

import logging
from dataclasses import replace

import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.interface import SECOND
from vanerelay.leases import assignment, messages
from vanerelay.leases import config as leases_config
from vanerelay.leases.claim import Claim, ClaimStage
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.errors import StoreError
from vanerelay.leases.fencing import FencingGate, LeaseHolder
from vanerelay.leases.maintenance_schedule import MaintenanceSchedule, shard_of
from vanerelay.leases.voter import (
    Ballot,
    Grant,
    LeaseTerms,
    Reply,
    Voter,
    VoterAnswer,
    VoterMemory,
    VoterRecord,
    Voters,
    VoterState,
)
from vanerelay.leases.voter_service import VoterService
from vanerelay.operator_config import OperatorConfigError, read_file

TERMS = LeaseTerms(term=SECOND, max_term=2 * SECOND, clock_drift=0.02, takeover_delay=SECOND // 10)
THREE = Voters(1, ("a", "b", "c"))


@pytest.fixture(autouse=True)
def quiet():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


# Voters.


def test_a_voter_without_a_store_is_silent_then_recovers_from_a_majority_of_the_others():
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.prepare(1, 1, "t", Ballot(1, "x", 1)).answer is VoterAnswer.REFUSED
    assert not voter.may_recover(TERMS.max_term - 1) and voter.may_recover(TERMS.max_term)
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    states = {"b": VoterState(3, 1, {"t": VoterRecord(Ballot(5, "n", 1), Grant())})}
    assert not voter.recover(30000, states)  # one of three: it may be the one that did not hear
    assert not voter.recover(30000, {**states, "a": VoterState(9, 1)})  # itself counts for nothing
    assert voter.recover(
        30000, {**states, "c": VoterState(2, 1, {"t": VoterRecord(Ballot(4, "m", 1), grant)})}
    )
    assert voter.era == 3 and voter.records["t"] == VoterRecord(Ballot(5, "n", 1), grant, 30000 + SECOND)


def test_a_voter_with_its_store_counts_terms_anew():
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    voter = Voter("a", TERMS, THREE, VoterState(1, 1, {"t": VoterRecord(grant.ballot, grant)}), 50)
    assert voter.prepare(60, 1, "t", Ballot(9, "x", 1)).answer is VoterAnswer.HELD
    assert voter.prepare(50 + SECOND, 1, "t", Ballot(9, "x", 1)).answer is VoterAnswer.GRANTED


@pytest.mark.parametrize(
    "era, latest_era, accepted", [(1, 0, True), (4, 3, True), (3, 3, False), (1, 2, False)]
)
def test_an_operator_starts_a_later_era_only(era, latest_era, accepted):
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.start_era(era, latest_era) == "it is silent yet"
    voter.may_recover(TERMS.max_term)
    assert (voter.start_era(era, latest_era) is None) == accepted
    assert (voter.memory is VoterMemory.READY) == accepted


def test_a_joint_step_needs_both_majorities_and_fences_the_step_before():
    joint = Voters(2, ("c", "d", "e"), ("a", "b", "c"))
    assert not joint.is_quorum({"a", "b"}) and not joint.is_quorum({"d", "e"})
    assert joint.is_quorum({"b", "c", "d"})
    assert joint.is_recovery_quorum({"a", "b"}) and not joint.is_recovery_quorum({"d", "e"})
    old = Voter("a", TERMS, THREE, VoterState(1, 1), 0)
    assert old.raise_version(2) and not old.raise_version(2)  # a new voter has asked for its memory
    assert old.prepare(0, 1, "t", Ballot(1, "x", 1)).answer is VoterAnswer.REFUSED
    assert old.prepare(0, 2, "t", Ballot(1, "x", 1)).answer is VoterAnswer.GRANTED


def test_a_promise_is_refused_while_another_holds_but_not_to_the_holder():
    voter = Voter("a", TERMS, THREE, VoterState(1, 1), 0)
    first = Ballot(1, "x", 1)
    voter.prepare(0, 1, "t", first)
    voter.accept(0, 1, "t", Grant(1, "x", 1, SECOND, first))
    assert voter.prepare(5, 1, "t", Ballot(9, "y", 2)).answer is VoterAnswer.HELD
    assert voter.prepare(5, 1, "t", Ballot(2, "x", 1)).answer is VoterAnswer.GRANTED
    assert voter.accept(6, 1, "t", Grant(1, "x", 1, SECOND, first)).answer is VoterAnswer.HIGHER_BALLOT
    assert voter.accept(6, 1, "u", Grant(1, "x", 1, 9 * SECOND, first)).answer is VoterAnswer.REFUSED


def test_a_holder_goes_past_a_higher_ballot_without_a_new_token():
    claim = Claim(
        ClaimStage.HOLDING,
        Ballot(1, "x", 1),
        0,
        grant=Grant(5, "x", 1, SECOND, Ballot(1, "x", 1)),
        expires_at=900,
    )
    claim = replace(claim, accept_rounds=())
    claim = claim.accept_replied(
        "a", Ballot(1, "x", 1), 1, Reply(VoterAnswer.HIGHER_BALLOT, promised=Ballot(6, "y", 2)), THREE, TERMS
    )
    assert claim.outbid and claim.is_held(10)
    claim = claim.start_round(10, "x", 1)
    assert claim.ballot.round == 7 and claim.is_held(10)
    for voter in "ab":
        grant = Grant(5, "x", 1, SECOND, Ballot(1, "x", 1))
        claim = claim.prepare_replied(
            20, voter, claim.ballot, Reply(VoterAnswer.GRANTED, grant), THREE, TERMS, 0
        )
    assert claim.stage is ClaimStage.ACCEPTING and claim.grant.token == 5 and claim.is_held(20)


# Fencing.


def test_a_holder_begins_nothing_that_may_end_after_its_term():
    holder, ballot = LeaseHolder("t", "x/1"), Ballot(1, "x", 1)
    claim = Claim(
        ClaimStage.HOLDING,
        ballot,
        0,
        grant=Grant(3, "x", 1, SECOND, ballot),
        expires_at=1000,
        was_released=False,
    )
    assert holder.update(0, claim, TERMS) and holder.acts_from == TERMS.takeover_delay
    assert holder.begin(TERMS.takeover_delay - 1, 5) is None  # what another sent may still arrive
    at = TERMS.takeover_delay
    holder.expires_at = at + 100
    assert holder.begin(at, 100) is None and holder.begin(at, 99) is not None
    holder.start_release()
    assert holder.begin(at, 1) is None and not holder.may_release
    holder.in_flight.clear()
    assert holder.may_release


GATE = [
    ((1, 1, "x"), True),
    ((1, 2, "x"), True),
    ((1, 2, "x"), False),
    ((1, 1, "x"), False),
    ((1, 3, "y"), False),
    ((2, 1, "y"), True),
    ((1, 9, "x"), False),
    ((5, 1, "x"), True),
]


def test_a_receiver_refuses_outdated_late_and_repeated_operations():
    gate = FencingGate()
    for (number, serial, holder), taken in GATE:
        assert (gate.refusal("t", number, serial, holder) is None) == taken, (number, serial, holder)
        if taken:
            gate.accept("t", number, serial, holder)
    gate.learn("t", 9, "z")
    assert gate.refusal("t", 8, 1, "x") is not None and gate.highest_token("t") == 9
    assert gate.refusal("u", 1, 1, "x") is None


# Assignment.


def fleet(count, **more):
    return [assignment.Candidate(f"m{n}", **more) for n in range(count)]


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 40), st.integers(1, 12), st.integers(0, 11))
def test_tasks_are_spread_and_only_those_of_a_gateway_that_left_move_far(count, gateways, gone):
    names, all_ = [f"t{n}" for n in range(count)], fleet(gateways)
    before = assignment.assign(names, all_)
    assert set(before) == set(names) and assignment.assign(names[::-1], all_[::-1]) == before
    loads = [sum(order[0] == one.name for order in before.values()) for one in all_]
    assert max(loads) <= assignment.load_limits(count, all_)["m0"]
    left = [one for one in all_ if one.name != f"m{gone}"]
    if left:
        after = assignment.assign(names, left)
        assert all(f"m{gone}" not in order for order in after.values())


def test_outdated_gateways_rank_last_and_those_of_no_weight_never():
    members = [
        Member("m1", 1, state="serving", program="0.2.0-aa"),
        Member("m2", 1, state="serving", program="0.10.0-bb"),
        Member("m3", 1, state="draining", program="0.10.0-bb"),
        Member("m4", 1, status=MemberState.GONE, state="serving", program="0.10.0-bb"),
        Member("m5", 1, state="serving", program="0.10.0-bb"),
    ]
    found = assignment.eligible_candidates(members, "m2", True, {"m5": 0.0})
    assert [one.name for one in found] == ["m1", "m2"]
    assert assignment.ranked("t", found) == ["m2", "m1"]
    assert [one.name for one in assignment.eligible_candidates(members, "m2", False)] == ["m1", "m5"]


def test_a_task_is_handed_over_to_a_preferred_gateway_less_and_less_readily():
    watch = assignment.TaskWatch()
    watch.set_order(0, "m2", ("m1", "m2"))
    watch.acquired(0)
    assert not watch.should_hand_over(2 * SECOND, SECOND, True) and watch.should_hand_over(
        3 * SECOND, SECOND, True
    )
    assert not watch.should_hand_over(
        3 * SECOND, SECOND, False
    )  # suspected to be gone: it would take nothing
    watch.released(3 * SECOND, SECOND)
    assert not watch.wants_lease(5 * SECOND, SECOND) and watch.wants_lease(7 * SECOND, SECOND)
    watch.acquired(7 * SECOND)
    assert not watch.should_hand_over(10 * SECOND, SECOND, True) and watch.should_hand_over(
        13 * SECOND, SECOND, True
    )


# Maintenance tasks.


def test_commands_leave_at_an_even_pace_and_never_two_to_one_engine():
    schedule, engines, sent, out = MaintenanceSchedule(10 * SECOND, 3), [f"e{n}" for n in range(40)], [], []
    schedule.begin(0)
    for tick in range(300):
        now = tick * SECOND // 10
        for name in out:
            schedule.ended(now, name, True)
        out = schedule.take_due(now, engines)
        assert len(out) <= 3 and not set(out) & schedule.in_flight
        for name in out:
            schedule.sent(name)
        sent += [(now, name) for name in out]
    first = [now for now, _ in sent[:40]]
    assert {name for _, name in sent[:40]} == set(engines)
    assert 5 * SECOND <= first[-1] <= 8 * SECOND  # all were due at once, and were spread
    assert sum(name == "e7" for _, name in sent) in (3, 4, 5)


def test_every_engine_has_one_shard():
    assert {shard_of(f"e{n}", 4) for n in range(100)} == {0, 1, 2, 3} and shard_of("e1", 1) == 0


# The store.


class DirectReactor:
    """A reactor whose thread calls come at once."""

    def callFromThread(self, call, *values):
        call(*values)


def test_what_is_put_outlives_the_process_and_a_full_disk_is_reported(tmp_path):
    store = DurableStore(DirectReactor(), str(tmp_path))
    store._pool.callInThread = lambda call, *values: call(*values)
    results = []
    store.put("a", {"x": b"1", "y": b"2"}).addCallback(results.append)
    store.put("a", {"y": None}).addCallback(results.append)
    store.put("a", {}).addCallback(results.append)
    assert results == [None] * 3
    store._connection.execute("pragma max_page_count = 3")
    failed = []
    store.put("a", {"z": b"0" * 100_000}).addErrback(lambda fault: failed.append(fault.value))
    assert isinstance(failed[0], StoreError) and store.load("a") == {"x": b"1"}
    store.close()
    again = DurableStore(DirectReactor(), str(tmp_path))
    assert again.load("a") == {"x": b"1"} and again.load("b") == {}
    again.close()
    with pytest.raises(StoreError):
        DurableStore(DirectReactor(), str(tmp_path / "promises.db"))
    (tmp_path / "promises.db").write_bytes(b"no database " * 1000)
    with pytest.raises(StoreError):
        DurableStore(DirectReactor(), str(tmp_path))


class FailingStore:
    """A store whose disk is full for a while."""

    def __init__(self):
        self.full, self.records = False, {}

    def load(self, space):
        return {"meta": b"\x92\x01\x01"}

    def put(self, space, records):
        if self.full:
            return fail(StoreError("full"))
        self.records |= records
        return succeed(None)

    def remove_operator_file(self, name):
        pass


def test_what_a_full_disk_did_not_store_is_stored_before_anything_else_is_answered():
    store = FailingStore()
    voting = VoterService(Clock(), "a", TERMS, THREE, store, lambda: 0, None)
    ask = messages.VoteRequest(1, [("t", Ballot(1, "x", 1))])
    store.full, refused, responses = True, [], []
    voting.answer(ask).addErrback(lambda fault: refused.append(fault.value))
    assert isinstance(refused[0], RequestRefusedError) and store.records == {} and voting.reason == "full"
    store.full = False
    voting.answer(messages.VoteRequest(1, [("u", Ballot(1, "x", 1))])).addCallback(responses.append)
    assert (
        set(store.records) == {"t", "u"}
        and responses[0].prepares[0].answer is VoterAnswer.GRANTED
        and voting.reason == ""
    )


# Configuration.

GOOD = """
leases {
  voters = ["m1", "m2", "m3"]
  folder = "/f"
  weights = { m9 = 0 }
  terms {
    term = "4s"
    longest = "9s"
  }
  chore "sweep" {
    words = ["order", "@ID@", "x"]
    every = "30s"
    shards = 2
  }
}
"""
BAD = {
    'voters = ["m1", "m2", "m3"]|voters = ["m1", "m2"]': "line 3: voters: m1, m2, expected 3, 5 or 7",
    'voters = ["m1", "m2", "m3"]|voters = ["m1", "m2", "m1"]': "expected 3, 5 or 7",
    'term = "4s"|term = "10s"': "not past longest",
    'longest = "9s"|drift = 2': "drift: 2.0, expected a part",
    '"@ID@"|"ID"': "words: expected 1 to 16, @ID@ one of them",
    'every = "30s"|every = "0s"': "expected more than 0",
    'chore "sweep"|chore "a/b"': "expected a name",
    'folder = "/f"|folders = "/f"': "folders in leases, expected one of",
}


def filled(tmp_path, text):
    path = tmp_path / "options.hcl"
    path.write_text(text)
    return leases_config.read_config(read_file(str(path)).find_block("leases"))


def test_the_block_is_read(tmp_path):
    found = filled(tmp_path, GOOD)
    assert found.voters == Voters(1, ("m1", "m2", "m3")) and found.terms.term == 4 * SECOND
    assert found.maintenance_tasks[0].shards == 2 and found.weights == {"m9": 0}


@pytest.mark.parametrize("change", BAD)
def test_a_faulty_block_is_reported_in_one_line(tmp_path, change):
    old, new = change.split("|")
    assert old in GOOD
    with pytest.raises(OperatorConfigError) as error:
        filled(tmp_path, GOOD.replace(old, new))
    assert BAD[change] in str(error.value) and "\n" not in str(error.value)
