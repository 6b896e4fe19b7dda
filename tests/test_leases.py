"""Leases: unit tests of the pure modules, the store, the voter service and the configuration."""

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
    VoterRecord,
    Voters,
    VoterState,
    VoterStatus,
)
from vanerelay.leases.voter_service import VoterService
from vanerelay.operator_config import OperatorConfigError, read_file

TERMS = LeaseTerms(term=SECOND, max_term=2 * SECOND, clock_drift=0.02, takeover_delay=SECOND // 10)
THREE = Voters(1, ("a", "b", "c"))


@pytest.fixture(autouse=True)
def silence_logs():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


# Voters.


def test_voter_without_a_store_refuses_requests_then_recovers_from_a_majority_of_other_voters():
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.prepare(1, 1, "t", Ballot(1, "x", 1)).answer is VoterAnswer.REFUSED
    assert not voter.may_recover(TERMS.max_term - 1) and voter.may_recover(TERMS.max_term)
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    states = {"b": VoterState(3, 1, {"t": VoterRecord(Ballot(5, "n", 1), Grant())})}
    assert not voter.recover(30000, states)  # one of three voters may lack an accepted grant
    assert not voter.recover(30000, {**states, "a": VoterState(9, 1)})  # its own state does not count
    assert voter.recover(
        30000, {**states, "c": VoterState(2, 1, {"t": VoterRecord(Ballot(4, "m", 1), grant)})}
    )
    assert voter.era == 3 and voter.records["t"] == VoterRecord(Ballot(5, "n", 1), grant, 30000 + SECOND)


def test_voter_that_restarts_with_its_store_counts_terms_again_in_full():
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    voter = Voter("a", TERMS, THREE, VoterState(1, 1, {"t": VoterRecord(grant.ballot, grant)}), 50)
    assert voter.prepare(60, 1, "t", Ballot(9, "x", 1)).answer is VoterAnswer.HELD
    assert voter.prepare(50 + SECOND, 1, "t", Ballot(9, "x", 1)).answer is VoterAnswer.GRANTED


@pytest.mark.parametrize(
    "era, latest_era, accepted", [(1, 0, True), (4, 3, True), (3, 3, False), (1, 2, False)]
)
def test_start_era_accepts_only_a_later_era_and_only_after_the_silent_time(era, latest_era, accepted):
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.start_era(era, latest_era) == "it is silent yet"
    voter.may_recover(TERMS.max_term)
    assert (voter.start_era(era, latest_era) is None) == accepted
    assert (voter.status is VoterStatus.READY) == accepted


def test_joint_step_needs_both_majorities_and_refuses_requests_of_the_previous_version():
    joint = Voters(2, ("c", "d", "e"), ("a", "b", "c"))
    assert not joint.is_quorum({"a", "b"}) and not joint.is_quorum({"d", "e"})
    assert joint.is_quorum({"b", "c", "d"})
    assert joint.is_recovery_quorum({"a", "b"}) and not joint.is_recovery_quorum({"d", "e"})
    old = Voter("a", TERMS, THREE, VoterState(1, 1), 0)
    assert old.raise_version(2) and not old.raise_version(2)  # a new voter has read its records
    assert old.prepare(0, 1, "t", Ballot(1, "x", 1)).answer is VoterAnswer.REFUSED
    assert old.prepare(0, 2, "t", Ballot(1, "x", 1)).answer is VoterAnswer.GRANTED


def test_promise_is_refused_while_another_process_holds_the_lease_but_given_to_the_holder():
    voter = Voter("a", TERMS, THREE, VoterState(1, 1), 0)
    first = Ballot(1, "x", 1)
    voter.prepare(0, 1, "t", first)
    voter.accept(0, 1, "t", Grant(1, "x", 1, SECOND, first))
    assert voter.prepare(5, 1, "t", Ballot(9, "y", 2)).answer is VoterAnswer.HELD
    assert voter.prepare(5, 1, "t", Ballot(2, "x", 1)).answer is VoterAnswer.GRANTED
    assert voter.accept(6, 1, "t", Grant(1, "x", 1, SECOND, first)).answer is VoterAnswer.HIGHER_BALLOT
    assert voter.accept(6, 1, "u", Grant(1, "x", 1, 9 * SECOND, first)).answer is VoterAnswer.REFUSED


def test_holder_keeps_its_token_in_a_round_above_a_higher_ballot():
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
    assert claim.saw_higher_ballot and claim.is_held(10)
    claim = claim.start_round(10, "x", 1)
    assert claim.ballot.round == 7 and claim.is_held(10)
    for voter in "ab":
        grant = Grant(5, "x", 1, SECOND, Ballot(1, "x", 1))
        claim = claim.prepare_replied(
            20, voter, claim.ballot, Reply(VoterAnswer.GRANTED, grant), THREE, TERMS, 0
        )
    assert claim.stage is ClaimStage.ACCEPTING and claim.grant.token == 5 and claim.is_held(20)


# Fencing.


def test_holder_begins_no_operation_that_may_end_after_its_term():
    holder, ballot = LeaseHolder("t", "x/1"), Ballot(1, "x", 1)
    claim = Claim(
        ClaimStage.HOLDING,
        ballot,
        0,
        grant=Grant(3, "x", 1, SECOND, ballot),
        expires_at=1000,
        predecessor_released=False,
    )
    assert holder.update(0, claim, TERMS) and holder.acts_from == TERMS.takeover_delay
    assert holder.begin(TERMS.takeover_delay - 1, 5) is None  # the predecessor's may still arrive
    now = TERMS.takeover_delay
    holder.expires_at = now + 100
    assert holder.begin(now, 100) is None and holder.begin(now, 99) is not None
    holder.start_release()
    assert holder.begin(now, 1) is None and not holder.may_release
    holder.in_flight.clear()
    assert holder.may_release


GATE_CASES = [
    ((1, 1, "x"), True),
    ((1, 2, "x"), True),
    ((1, 2, "x"), False),
    ((1, 1, "x"), False),
    ((1, 3, "y"), False),
    ((2, 1, "y"), True),
    ((1, 9, "x"), False),
    ((5, 1, "x"), True),
]


def test_gate_refuses_outdated_tokens_other_holders_and_repeated_serials():
    gate = FencingGate()
    for (token, serial, holder), allowed in GATE_CASES:
        assert (gate.refusal("t", token, serial, holder) is None) == allowed, (token, serial, holder)
        if allowed:
            gate.accept("t", token, serial, holder)
    gate.learn("t", 9, "z")
    assert gate.refusal("t", 8, 1, "x") is not None and gate.highest_token("t") == 9
    assert gate.refusal("u", 1, 1, "x") is None


# Assignment.


def make_candidates(count, **attributes):
    return [assignment.Candidate(f"m{n}", **attributes) for n in range(count)]


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 40), st.integers(1, 12), st.integers(0, 11))
def test_assign_bounds_loads_ignores_input_order_and_drops_a_gateway_that_left(count, gateways, gone):
    names, candidates = [f"t{n}" for n in range(count)], make_candidates(gateways)
    before = assignment.assign(names, candidates)
    assert set(before) == set(names) and assignment.assign(names[::-1], candidates[::-1]) == before
    loads = [sum(watchers[0] == one.name for watchers in before.values()) for one in candidates]
    assert max(loads) <= assignment.load_limits(count, candidates)["m0"]
    remaining = [one for one in candidates if one.name != f"m{gone}"]
    if remaining:
        after = assignment.assign(names, remaining)
        assert all(f"m{gone}" not in watchers for watchers in after.values())


def test_candidates_with_an_older_release_rank_last_and_those_of_weight_0_are_excluded():
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


def test_handover_waits_twice_as_long_after_a_handover():
    watch = assignment.TaskWatch()
    watch.update_rank(0, "m2", ("m1", "m2"))
    watch.acquired(0)
    assert not watch.should_hand_over(2 * SECOND, SECOND, True) and watch.should_hand_over(
        3 * SECOND, SECOND, True
    )
    assert not watch.should_hand_over(
        3 * SECOND, SECOND, False
    )  # suspected to have failed: it would not take the task
    watch.released(3 * SECOND, SECOND)
    assert not watch.wants_lease(5 * SECOND, SECOND) and watch.wants_lease(7 * SECOND, SECOND)
    watch.acquired(7 * SECOND)
    assert not watch.should_hand_over(10 * SECOND, SECOND, True) and watch.should_hand_over(
        13 * SECOND, SECOND, True
    )


# Maintenance tasks.


def test_take_due_spreads_commands_and_never_sends_two_at_once_to_one_engine():
    schedule, engines, sent, batch = MaintenanceSchedule(10 * SECOND, 3), [f"e{n}" for n in range(40)], [], []
    schedule.reset(0)
    for tick in range(300):
        now = tick * SECOND // 10
        for name in batch:
            schedule.mark_ended(now, name, True)
        batch = schedule.take_due(now, engines)
        assert len(batch) <= 3 and not set(batch) & schedule.in_flight
        for name in batch:
            schedule.mark_sent(name)
        sent += [(now, name) for name in batch]
    first_times = [now for now, _ in sent[:40]]
    assert {name for _, name in sent[:40]} == set(engines)
    assert 5 * SECOND <= first_times[-1] <= 8 * SECOND  # all are due at once, and are spread over time
    assert sum(name == "e7" for _, name in sent) in (3, 4, 5)


def test_shard_of_covers_all_shards():
    assert {shard_of(f"e{n}", 4) for n in range(100)} == {0, 1, 2, 3} and shard_of("e1", 1) == 0


# The store.


class DirectReactor:
    """A reactor that runs calls from other threads at once."""

    def callFromThread(self, call, *arguments):
        call(*arguments)


def test_store_keeps_records_when_reopened_and_fails_on_a_full_disk_or_an_unusable_file(tmp_path):
    store = DurableStore(DirectReactor(), str(tmp_path))
    store._pool.callInThread = lambda call, *arguments: call(*arguments)
    results = []
    store.put("a", {"x": b"1", "y": b"2"}).addCallback(results.append)
    store.put("a", {"y": None}).addCallback(results.append)
    store.put("a", {}).addCallback(results.append)
    assert results == [None] * 3
    store._connection.execute("pragma max_page_count = 3")
    errors = []
    store.put("a", {"z": b"0" * 100_000}).addErrback(lambda failure: errors.append(failure.value))
    assert isinstance(errors[0], StoreError) and store.load("a") == {"x": b"1"}
    store.close()
    reopened = DurableStore(DirectReactor(), str(tmp_path))
    assert reopened.load("a") == {"x": b"1"} and reopened.load("b") == {}
    reopened.close()
    with pytest.raises(StoreError):
        DurableStore(DirectReactor(), str(tmp_path / "promises.db"))
    (tmp_path / "promises.db").write_bytes(b"no database " * 1000)
    with pytest.raises(StoreError):
        DurableStore(DirectReactor(), str(tmp_path))


class FailingStore:
    """A store that fails all writes while `is_full` is set."""

    def __init__(self):
        self.is_full, self.records = False, {}

    def load(self, space):
        return {"meta": b"\x92\x01\x01"}

    def put(self, space, records):
        if self.is_full:
            return fail(StoreError("full"))
        self.records |= records
        return succeed(None)

    def remove_operator_file(self, name):
        pass


def test_voter_service_stores_records_that_failed_to_be_stored_with_the_next_request():
    store = FailingStore()
    service = VoterService(Clock(), "a", TERMS, THREE, store, lambda: 0, None)
    request = messages.VoteRequest(1, [("t", Ballot(1, "x", 1))])
    store.is_full, errors, responses = True, [], []
    service.answer(request).addErrback(lambda failure: errors.append(failure.value))
    assert isinstance(errors[0], RequestRefusedError) and store.records == {} and service.reason == "full"
    store.is_full = False
    service.answer(messages.VoteRequest(1, [("u", Ballot(1, "x", 1))])).addCallback(responses.append)
    assert (
        set(store.records) == {"t", "u"}
        and responses[0].prepares[0].answer is VoterAnswer.GRANTED
        and service.reason == ""
    )


# Configuration.

VALID_BLOCK = """
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
BAD_CHANGES = {
    'voters = ["m1", "m2", "m3"]|voters = ["m1", "m2"]': "line 3: voters: m1, m2, expected 3, 5 or 7",
    'voters = ["m1", "m2", "m3"]|voters = ["m1", "m2", "m1"]': "expected 3, 5 or 7",
    'term = "4s"|term = "10s"': "at most the value of longest",
    'longest = "9s"|drift = 2': "drift: 2.0, expected a fraction",
    '"@ID@"|"ID"': "words: expected 1 to 16 arguments, one with @ID@",
    'every = "30s"|every = "0s"': "expected more than 0",
    'chore "sweep"|chore "a/b"': "expected a name",
    'folder = "/f"|folders = "/f"': "folders in leases, expected one of",
}


def read_block(tmp_path, text):
    path = tmp_path / "options.hcl"
    path.write_text(text)
    return leases_config.read_config(read_file(str(path)).find_block("leases"))


def test_read_config_reads_all_parts_of_the_block(tmp_path):
    config = read_block(tmp_path, VALID_BLOCK)
    assert config.voters == Voters(1, ("m1", "m2", "m3")) and config.terms.term == 4 * SECOND
    assert config.maintenance_tasks[0].shards == 2 and config.weights == {"m9": 0}


@pytest.mark.parametrize("change", BAD_CHANGES)
def test_read_config_reports_an_invalid_block_in_one_line(tmp_path, change):
    old, new = change.split("|")
    assert old in VALID_BLOCK
    with pytest.raises(OperatorConfigError) as error:
        read_block(tmp_path, VALID_BLOCK.replace(old, new))
    assert BAD_CHANGES[change] in str(error.value) and "\n" not in str(error.value)
