"""Leases: seeded schedules of the served drivers in virtual time, and the tables of each pure part."""

from __future__ import annotations

import logging
from dataclasses import replace

import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from tests.histories import deeds, register
from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.interface import SECOND
from vanerelay.lab.lease_simulation import Setting, Trouble, World, drawn, play, shortest
from vanerelay.leases import assignment, messages
from vanerelay.leases import config as lease_parts
from vanerelay.leases.durable_store import DurableStore, StoreError
from vanerelay.leases.fencing import FencingGate, LeaseHolder
from vanerelay.leases.maintenance_schedule import MaintenanceSchedule, shard
from vanerelay.leases.voter import (
    ERA,
    Ballot,
    Claim,
    Grant,
    Kept,
    LeaseTerms,
    Reply,
    Stage,
    Voter,
    VoterAnswer,
    VoterMemory,
    VoterRecord,
    Voters,
)
from vanerelay.leases.voter_service import VoterService
from vanerelay.operator_config import BadOptions, read

SEEDS, EACH = 12, 8
TERMS = LeaseTerms(term=SECOND, longest=2 * SECOND, drift=0.02, linger=SECOND // 10)
THREE = Voters(1, ("a", "b", "c"))


@pytest.fixture(autouse=True)
def quiet():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def wrong(world):
    return [*deeds.wrong(world.rows), *register.wrong(world.rows), *world.together]


@pytest.mark.parametrize("first", range(0, SEEDS * EACH, EACH))
def test_schedules_of_faults_never_let_two_act(first):
    for seed in range(first, first + EACH):
        setting = Setting()
        troubles = drawn(seed, setting)
        world = play(seed, troubles, setting)
        found = wrong(world)
        if found:
            least = shortest(troubles, lambda fewer, seed=seed: bool(wrong(play(seed, fewer))))
            raise AssertionError(f"seed {seed}: {found[:3]} after {least}")
        assert sum(row["op"] == "order" and row["result"] == "ok" for row in world.rows) > 200


def test_what_is_broken_on_purpose_is_found_in_a_schedule_and_made_short(monkeypatch):
    """Holders that count too long a term, and receivers that take what comes."""
    monkeypatch.setattr("vanerelay.leases.voter.LeaseTerms.held", lambda self, term: 2 * term)
    monkeypatch.setattr(FencingGate, "refuses", lambda self, *told: None)
    extra = [*(Trouble("cut", f"m{n}", 3.0 + 2.5 * n, 2.0) for n in (1, 2, 3, 4, 5))]
    found = [seed for seed in range(2) if wrong(play(seed, extra))]
    assert found
    least = shortest(extra, lambda fewer: bool(wrong(play(found[0], fewer))))
    assert len(least) < len(extra)


CASES = {
    "the holder frozen, thawed after a successor acts": [Trouble("freeze", "m{}", 4.0, 3.0)],
    "cut one way: it hears, is not heard": [Trouble("cut", "m{}", 4.0, 4.0)],
    "cut the other way": [Trouble("deaf", "m{}", 4.0, 4.0)],
    "answers 3 s late, and doubled": [Trouble("slow", "m{}", 4.0, 4.0), Trouble("double", "m1", 3.0, 8.0)],
    "ended in mid-deed": [Trouble("end", "m{}", 4.0, 2.0)],
    "a voter killed with its disk": [Trouble("lost", "m{}", 4.0, 2.0)],
    "killed": [Trouble("kill", "m{}", 4.0, 3.0)],
}


@pytest.mark.parametrize("name", CASES)
def test_each_holder_struck_in_turn(name):
    for who in (1, 2, 3):
        told = [replace(one, who=one.who.format(who)) for one in CASES[name]]
        world = play(who, told)
        assert wrong(world) == [] and len(world.holders()) == 3, who


def test_the_fleet_halved_with_a_holder_on_each_side_believing():
    halves = [Trouble("cut", one, 4.0, 5.0, other) for one in ("m1", "m4") for other in ("m2", "m3", "m5")]
    back = [Trouble("deaf", one.who, 4.0, 5.0, one.other) for one in halves]
    world = play(3, [*halves, *back])
    assert wrong(world) == [] and len(world.holders()) == 3


def test_two_of_three_voters_lost_with_their_disks_stop_until_an_operator_says_so():
    both = [Trouble("lost", "m1", 4.0, 1.0), Trouble("lost", "m2", 4.0, 1.0)]
    world = play(1, both)
    assert wrong(world) == [] and world.holders() == {}
    before = max(row["number"] for row in world.rows if row["op"] == "order")
    world.found(2)
    world.run([], 8.0)
    assert len(world.holders()) == 3 and wrong(world) == []
    after = {row["number"] for row in world.rows if row["op"] == "acquire" and row["number"] > before}
    assert after and min(after) > 2 * ERA


def test_all_managers_at_once_lose_nothing_but_time_where_disks_last():
    world = play(2, [Trouble("kill", f"m{n}", 5.0, 1.0) for n in range(1, 6)])
    assert wrong(world) == [] and len(world.holders()) == 3


def test_sixty_tasks_and_a_third_of_the_managers_killed():
    setting = Setting(managers=12, voters=5, tasks=60, length=8.0)
    world = play(5, [Trouble("kill", f"m{n}", 4.0, 20.0) for n in (2, 7, 9, 12)], setting, settle=6.0)
    held = world.holders()
    assert wrong(world) == [] and len(held) == 60
    each = [list(held.values()).count(name) for name in set(held.values())]
    assert max(each) <= 12  # of 8 managers left: 7.5 each, and a quarter more, and what was held already


def test_messages_at_rest_do_not_grow_with_managers():
    told = {}
    for managers in (3, 12, 60):
        world = World(1, Setting(managers=managers, voters=3, tasks=6))
        world.found()
        for node in world.nodes.values():
            node.start()
        world.run([], 10.0)
        before, at = world.messages, world.clock.seconds()
        world.run([], 10.0)
        told[managers] = (world.messages - before) / (world.clock.seconds() - at)
    assert told[60] <= 1.8 * told[12] and told[60] < 200, told


def test_voters_change_by_a_joint_step_while_tasks_are_held():
    """From m1, m2, m3 to m3, m4, m5, manager by manager; then the old ones are gone with their disks."""
    world = World(4, Setting(length=60.0))
    world.found()
    for node in world.nodes.values():
        node.start()
    world.run([], 4.0)

    def restart(name, voters):
        node = world.nodes[name]
        node.kill(False)
        node.parts = replace(node.parts, voters=voters)
        node.start()
        world.run([], 2.5)

    joint = Voters(2, ("m3", "m4", "m5"), ("m1", "m2", "m3"))
    for name in ("m1", "m2", "m3", "m4", "m5"):
        restart(name, joint)
    assert {n: world.nodes[n].leases.voting.voter.memory for n in ("m4", "m5")} == dict.fromkeys(
        ("m4", "m5"), VoterMemory.KNOWS
    )
    for name in ("m3", "m4", "m5", "m1", "m2"):
        restart(name, Voters(3, ("m3", "m4", "m5")))
    world.nodes["m1"].kill(True)
    world.nodes["m2"].kill(True)
    world.run([], 6.0)
    assert wrong(world) == [] and set(world.holders().values()) <= {"m3", "m4", "m5"}
    assert len(world.holders()) == 3


def test_receivers_that_cannot_refuse_are_spared_by_waiting_but_for_a_frozen_packet():
    """Without a freeze between check and deed nothing late arrives where the next holder waits; what a frozen
    process sends at last is what stays open, and is seen."""
    setting = Setting(refuses=False)
    for seed in range(6):
        cuts = [Trouble("cut", f"m{n}", 1.0 + 2.5 * n, 2.0) for n in (1, 2, 3, 4, 5)]
        assert deeds.wrong(play(seed, cuts, setting).rows) == []
    frozen = [Trouble("freeze", f"m{n}", 1.0 + 2.9 * n + 0.001, 2.6) for n in (1, 2, 3, 4, 5)]
    slept, able = play(7, frozen, setting).rows, play(7, frozen).rows  # frozen just then, by its seed
    assert deeds.beyond(slept) and deeds.wrong(slept)
    assert deeds.beyond(able) and deeds.wrong(able) == []


# Voters.


def test_a_voter_without_memory_is_silent_then_learns_from_a_majority_of_the_others():
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.prepare(1, 1, "t", Ballot(1, "x", 1)).said is VoterAnswer.REFUSED
    assert not voter.wakes(TERMS.longest - 1) and voter.wakes(TERMS.longest)
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    told = {"b": Kept(3, 1, {"t": VoterRecord(Ballot(5, "n", 1), Grant())})}
    assert not voter.learns(30000, told)  # one of three: it may be the one that did not hear
    assert not voter.learns(30000, {**told, "a": Kept(9, 1)})  # itself counts for nothing
    assert voter.learns(30000, {**told, "c": Kept(2, 1, {"t": VoterRecord(Ballot(4, "m", 1), grant)})})
    assert voter.era == 3 and voter.slots["t"] == VoterRecord(Ballot(5, "n", 1), grant, 30000 + SECOND)


def test_a_voter_with_its_memory_counts_terms_anew():
    grant = Grant(7, "m", 1, SECOND, Ballot(4, "m", 1))
    voter = Voter("a", TERMS, THREE, Kept(1, 1, {"t": VoterRecord(grant.ballot, grant)}), 50)
    assert voter.prepare(60, 1, "t", Ballot(9, "x", 1)).said is VoterAnswer.HELD
    assert voter.prepare(50 + SECOND, 1, "t", Ballot(9, "x", 1)).said is VoterAnswer.YES


@pytest.mark.parametrize("word, heard, good", [(1, 0, True), (4, 3, True), (3, 3, False), (1, 2, False)])
def test_an_operators_word_founds_a_later_era_alone(word, heard, good):
    voter = Voter("a", TERMS, THREE, None, 0)
    assert voter.found(word, heard) == "it is silent yet"
    voter.wakes(TERMS.longest)
    assert (voter.found(word, heard) is None) == good
    assert (voter.memory is VoterMemory.KNOWS) == good


def test_a_joint_step_needs_both_majorities_and_fences_the_step_before():
    joint = Voters(2, ("c", "d", "e"), ("a", "b", "c"))
    assert not joint.enough({"a", "b"}) and not joint.enough({"d", "e"}) and joint.enough({"b", "c", "d"})
    assert joint.remembers({"a", "b"}) and not joint.remembers({"d", "e"})
    old = Voter("a", TERMS, THREE, Kept(1, 1), 0)
    assert old.fence(2) and not old.fence(2)  # a new voter has asked for its memory
    assert old.prepare(0, 1, "t", Ballot(1, "x", 1)).said is VoterAnswer.REFUSED
    assert old.prepare(0, 2, "t", Ballot(1, "x", 1)).said is VoterAnswer.YES


def test_a_promise_is_refused_while_another_holds_but_not_to_the_holder():
    voter = Voter("a", TERMS, THREE, Kept(1, 1), 0)
    first = Ballot(1, "x", 1)
    voter.prepare(0, 1, "t", first)
    voter.accept(0, 1, "t", Grant(1, "x", 1, SECOND, first))
    assert voter.prepare(5, 1, "t", Ballot(9, "y", 2)).said is VoterAnswer.HELD
    assert voter.prepare(5, 1, "t", Ballot(2, "x", 1)).said is VoterAnswer.YES
    assert voter.accept(6, 1, "t", Grant(1, "x", 1, SECOND, first)).said is VoterAnswer.LATER
    assert voter.accept(6, 1, "u", Grant(1, "x", 1, 9 * SECOND, first)).said is VoterAnswer.REFUSED


def test_a_holder_goes_past_a_later_ballot_without_a_new_number():
    claim = Claim(
        Stage.HOLDING, Ballot(1, "x", 1), 0, grant=Grant(5, "x", 1, SECOND, Ballot(1, "x", 1)), until=900
    )
    claim = replace(claim, rounds=())
    claim = claim.taken(
        "a", Ballot(1, "x", 1), 1, Reply(VoterAnswer.LATER, promised=Ballot(6, "y", 2)), THREE, TERMS
    )
    assert claim.over and claim.holds(10)
    claim = claim.ask(10, "x", 1)
    assert claim.ballot.round == 7 and claim.holds(10)
    for voter in "ab":
        grant = Grant(5, "x", 1, SECOND, Ballot(1, "x", 1))
        claim = claim.promised(20, voter, claim.ballot, Reply(VoterAnswer.YES, grant), THREE, TERMS, 0)
    assert claim.stage is Stage.TAKING and claim.grant.number == 5 and claim.holds(20)


# May I act, and what receivers make of it.


def test_a_hold_begins_nothing_that_may_end_after_its_term():
    hold, ballot = LeaseHolder("t", "x/1"), Ballot(1, "x", 1)
    claim = Claim(Stage.HOLDING, ballot, 0, grant=Grant(3, "x", 1, SECOND, ballot), until=1000, free=False)
    assert hold.settle(0, claim, TERMS) and hold.acts_from == TERMS.linger
    assert hold.begin(TERMS.linger - 1, 5) is None  # what another sent may still arrive
    at = TERMS.linger
    hold.until = at + 100
    assert hold.begin(at, 100) is None and hold.begin(at, 99) is not None
    hold.leave()
    assert hold.begin(at, 1) is None and not hold.free
    hold.out.clear()
    assert hold.free


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


def test_a_receiver_refuses_what_was_followed_late_or_doubled():
    gate = FencingGate()
    for (number, serial, holder), taken in GATE:
        assert (gate.refuses("t", number, serial, holder) is None) == taken, (number, serial, holder)
        if taken:
            gate.takes("t", number, serial, holder)
    gate.learn("t", 9, "z")
    assert gate.refuses("t", 8, 1, "x") is not None and gate.number("t") == 9
    assert gate.refuses("u", 1, 1, "x") is None


# Whose task is it.


def fleet(count, **more):
    return [assignment.Candidate(f"m{n}", **more) for n in range(count)]


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 40), st.integers(1, 12), st.integers(0, 11))
def test_tasks_are_spread_and_only_those_of_one_that_left_move_far(count, managers, gone):
    names, all_ = [f"t{n}" for n in range(count)], fleet(managers)
    before = assignment.assign(names, all_)
    assert set(before) == set(names) and assignment.assign(names[::-1], all_[::-1]) == before
    loads = [sum(order[0] == one.name for order in before.values()) for one in all_]
    assert max(loads) <= assignment.most(count, all_)["m0"]
    left = [one for one in all_ if one.name != f"m{gone}"]
    if left:
        after = assignment.assign(names, left)
        assert all(f"m{gone}" not in order for order in after.values())


def test_those_behind_come_last_and_those_of_no_weight_never():
    members = [
        Member("m1", 1, state="serving", program="0.2.0-aa"),
        Member("m2", 1, state="serving", program="0.10.0-bb"),
        Member("m3", 1, state="draining", program="0.10.0-bb"),
        Member("m4", 1, standing=MemberState.GONE, state="serving", program="0.10.0-bb"),
        Member("m5", 1, state="serving", program="0.10.0-bb"),
    ]
    found = assignment.candidates(members, "m2", True, {"m5": 0.0})
    assert [one.name for one in found] == ["m1", "m2"]
    assert assignment.ranked("t", found) == ["m2", "m1"]
    assert [one.name for one in assignment.candidates(members, "m2", False)] == ["m1", "m5"]


def test_a_task_is_given_up_for_a_better_place_less_and_less_readily():
    watch = assignment.Watch()
    watch.placed(0, "m2", ("m1", "m2"))
    watch.took(0)
    assert not watch.outlived(2 * SECOND, SECOND, True) and watch.outlived(3 * SECOND, SECOND, True)
    assert not watch.outlived(3 * SECOND, SECOND, False)  # suspected to be gone: it would take nothing
    watch.gave(3 * SECOND, SECOND)
    assert not watch.wants(5 * SECOND, SECOND) and watch.wants(7 * SECOND, SECOND)
    watch.took(7 * SECOND)
    assert not watch.outlived(10 * SECOND, SECOND, True) and watch.outlived(13 * SECOND, SECOND, True)


# Chores.


def test_orders_leave_at_an_even_pace_and_never_two_to_one_engine():
    rounds, engines, sent, out = MaintenanceSchedule(10 * SECOND, 3), [f"e{n}" for n in range(40)], [], []
    rounds.begin(0)
    for tick in range(300):
        now = tick * SECOND // 10
        for name in out:
            rounds.ended(now, name, True)
        out = rounds.next(now, engines)
        assert len(out) <= 3 and not set(out) & rounds.out
        for name in out:
            rounds.sent(name)
        sent += [(now, name) for name in out]
    first = [now for now, _ in sent[:40]]
    assert {name for _, name in sent[:40]} == set(engines)
    assert 5 * SECOND <= first[-1] <= 8 * SECOND  # all were due at once, and were spread
    assert sum(name == "e7" for _, name in sent) in (3, 4, 5)


def test_every_engine_has_one_shard_whoever_asks():
    assert {shard(f"e{n}", 4) for n in range(100)} == {0, 1, 2, 3} and shard("e1", 1) == 0


# The disk.


class Now:
    """A reactor whose thread calls come at once."""

    def callFromThread(self, call, *values):
        call(*values)


def test_what_is_put_outlives_the_process_and_a_full_disk_is_said(tmp_path):
    disk = DurableStore(Now(), str(tmp_path))
    disk._pool.callInThread = lambda call, *values: call(*values)
    told = []
    disk.put("a", {"x": b"1", "y": b"2"}).addCallback(told.append)
    disk.put("a", {"y": None}).addCallback(told.append)
    disk.put("a", {}).addCallback(told.append)
    assert told == [None] * 3
    disk._base.execute("pragma max_page_count = 3")
    failed = []
    disk.put("a", {"z": b"0" * 100_000}).addErrback(lambda fault: failed.append(fault.value))
    assert isinstance(failed[0], StoreError) and disk.load("a") == {"x": b"1"}
    disk.close()
    again = DurableStore(Now(), str(tmp_path))
    assert again.load("a") == {"x": b"1"} and again.load("b") == {}
    again.close()
    with pytest.raises(StoreError):
        DurableStore(Now(), str(tmp_path / "promises.db"))
    (tmp_path / "promises.db").write_bytes(b"no database " * 1000)
    with pytest.raises(StoreError):
        DurableStore(Now(), str(tmp_path))


class Failing:
    """A disk that is full for a while."""

    def __init__(self):
        self.full, self.records = False, {}

    def load(self, space):
        return {"meta": b"\x92\x01\x01"}

    def put(self, space, records):
        if self.full:
            return fail(StoreError("full"))
        self.records |= records
        return succeed(None)

    def used(self, name):
        pass


def test_what_a_full_disk_did_not_keep_is_kept_before_anything_else_is_said():
    disk = Failing()
    voting = VoterService(Clock(), "a", TERMS, THREE, disk, lambda: 0, None)
    ask = messages.Ask(1, [("t", Ballot(1, "x", 1))])
    disk.full, refused, told = True, [], []
    voting.answer(ask).addErrback(lambda fault: refused.append(fault.value))
    assert isinstance(refused[0], RequestRefusedError) and disk.records == {} and voting.why == "full"
    disk.full = False
    voting.answer(messages.Ask(1, [("u", Ballot(1, "x", 1))])).addCallback(told.append)
    assert (
        set(disk.records) == {"t", "u"} and told[0].prepares[0].said is VoterAnswer.YES and voting.why == ""
    )


# What operators write.

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
    return lease_parts.read_config(read(str(path)).only("leases"))


def test_the_block_is_read(tmp_path):
    found = filled(tmp_path, GOOD)
    assert found.voters == Voters(1, ("m1", "m2", "m3")) and found.terms.term == 4 * SECOND
    assert found.chores[0].shards == 2 and found.weights == {"m9": 0}


@pytest.mark.parametrize("change", BAD)
def test_what_is_wrong_is_said_in_one_line(tmp_path, change):
    old, new = change.split("|")
    assert old in GOOD
    with pytest.raises(BadOptions) as told:
        filled(tmp_path, GOOD.replace(old, new))
    assert BAD[change] in str(told.value) and "\n" not in str(told.value)
