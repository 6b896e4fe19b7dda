"""Who is alive: seeded fleets in virtual time, and what the detector must not do."""

from __future__ import annotations

import copy
import heapq
import itertools
import json
import random
import subprocess
import sys

import pytest

from tests.helpers import ROOT, SERVICES, Engine, Feed, Node, free_address, member, until
from vanerelay.fleet import messages, release
from vanerelay.fleet.failure_detector import (
    FailureDetector,
    FailureDetectorConfig,
    Member,
    MemberState,
    incarnation,
    splits,
)
from vanerelay.interface import SECOND

PACE = FailureDetectorConfig()


class Fleet:
    """Managers of one fleet under one clock: `cut(one, other)` says whether a message passes."""

    def __init__(self, count, seed=1, loss=0.0):
        self.now, self.chance, self.loss, self.messages = 0, random.Random(seed), loss, 0
        self.cut, self.down, self.due, self.serial = lambda one, other: False, set(), [], itertools.count()
        self.nodes = {}
        for number in range(count):
            self.start(f"m{number}", 1000 + number, [f"m{n}" for n in range(count)])

    def start(self, name, number, known):
        node = FailureDetector(Member(name, number, address=name), PACE, random.Random(f"{name}{number}"))
        for other in known:
            node.introduce(other, other)
        self.nodes[name] = node
        heapq.heappush(
            self.due, (self.now + self.chance.randrange(PACE.period), next(self.serial), name, node)
        )

    def reaches(self, one, other):
        """A question and its answer; frozen ones and those that are down hear nothing."""
        self.messages += 1
        lost = self.chance.random() < 1 - (1 - self.loss) ** 2
        return not (lost or self.cut(one, other) or self.cut(other, one) or {one, other} & self.down)

    def ping(self, one, other, join=False):
        if not self.reaches(one, other):
            return False
        asker, asked = self.nodes[one], self.nodes[other]
        own = asker.own
        asked.heard([own, *(asker.whole() if join else asker.news())], self.now)
        asker.heard([*(asked.whole() if join else ()), *asked.reply(own)], self.now)
        asker.joined(own.incarnation)
        asker.answered()
        return True

    def run(self, span):
        until = self.now + span
        while self.due and self.due[0][0] <= until:
            self.now, _, name, node = heapq.heappop(self.due)
            if self.nodes.get(name) is not node:
                continue  # another process goes by its name now
            heapq.heappush(self.due, (self.now + PACE.period, next(self.serial), name, node))
            if name in self.down or node.replaced:
                continue
            target = node.next(self.now)
            if target is None or self.ping(name, target.name, target.standing is MemberState.GONE):
                continue
            if target.standing is not MemberState.GONE and not any(
                self.ping(name, one.name) and self.ping(one.name, target.name)
                for one in node.helpers(target.name)
            ):
                node.unanswered(target.name, self.now)
        self.now = until

    def sees(self, standing, who=None):
        """By name: how many of the others hold it for that."""
        return {
            name: sum(
                node.members[name].standing is standing
                for other, node in self.nodes.items()
                if other != name and other not in self.down and name in node.members
            )
            for name in (who or self.nodes)
        }


@pytest.mark.parametrize("count, loss", [(2, 0.0), (3, 0.1), (20, 0.0), (20, 0.05), (60, 0.05)])
def test_all_find_each_other_and_nobody_is_given_up(count, loss):
    fleet = Fleet(count, loss=loss)
    fleet.run(30 * SECOND)
    seen = []
    for _ in range(60):
        fleet.run(SECOND)
        seen.append(sum(fleet.sees(MemberState.GONE).values()))
    assert max(seen) == 0


@pytest.mark.parametrize("count", [3, 20, 60])
def test_one_that_is_gone_is_known_everywhere_within_seconds(count):
    fleet = Fleet(count)
    fleet.run(20 * SECOND)
    fleet.down.add("m1")
    fleet.run(int(20 * SECOND))
    assert fleet.sees(MemberState.GONE, ["m1"]) == {"m1": count - 1}
    fleet.down.clear()
    fleet.run(20 * SECOND)
    assert fleet.sees(MemberState.ALIVE, ["m1"]) == {"m1": count - 1}


def test_messages_for_each_manager_do_not_grow_with_the_fleet():
    told = []
    for count in (10, 60):
        fleet = Fleet(count)
        fleet.run(10 * SECOND)
        before = fleet.messages
        fleet.run(20 * SECOND)
        told.append((fleet.messages - before) / count / 20)
        assert all(len(node.news()) <= PACE.told + 1 for node in fleet.nodes.values())
    assert told[0] <= 2.1 and told[1] <= 2.1  # a second, at a period of half a second


def test_a_link_cut_between_two_is_no_death():
    fleet = Fleet(6)
    fleet.run(10 * SECOND)
    fleet.cut = lambda one, other: {one, other} == {"m1", "m2"}
    fleet.run(60 * SECOND)
    assert sum(fleet.sees(MemberState.GONE).values()) == 0


def test_two_halves_see_each_other_gone_and_find_each_other_again():
    fleet = Fleet(8)
    fleet.run(10 * SECOND)
    fleet.cut = lambda one, other: (int(one[1:]) < 4) != (int(other[1:]) < 4)
    fleet.run(30 * SECOND)
    views = {name: node.whole() for name, node in fleet.nodes.items()}
    assert {split.name for split in splits(views)} == set(fleet.nodes)
    fleet.cut = lambda one, other: False
    fleet.run(30 * SECOND)
    assert sum(fleet.sees(MemberState.GONE).values()) == 0
    assert splits({name: node.whole() for name, node in fleet.nodes.items()}) == []


def test_one_back_without_its_disk_and_with_a_slow_clock_goes_past_its_old_incarnation():
    fleet = Fleet(4)
    fleet.run(10 * SECOND)
    fleet.start("m1", 5, [f"m{n}" for n in range(4)])  # it was 1001 before
    fleet.run(10 * SECOND)
    assert fleet.nodes["m1"].own.incarnation == 1002 and not fleet.nodes["m1"].replaced
    assert fleet.sees(MemberState.ALIVE, ["m1"]) == {"m1": 3}


def test_one_that_slept_while_its_successor_started_is_silent():
    fleet = Fleet(4)
    fleet.run(10 * SECOND)
    old = fleet.nodes["m1"]
    fleet.start("m1", 2000, [f"m{n}" for n in range(4)])
    fleet.run(10 * SECOND)
    old.heard(fleet.nodes["m2"].whole(), fleet.now)
    assert old.replaced and fleet.nodes["m1"].own.incarnation == 2000


def test_our_own_standing_still_is_not_laid_on_others():
    fleet = Fleet(4)
    fleet.run(10 * SECOND)
    calm, stalled = fleet.nodes["m1"], fleet.nodes["m2"]
    stalled.stalled()
    assert stalled.patience() > calm.patience() and stalled.suspicion() > calm.suspicion()


def test_bounds_hold_whatever_is_told():
    node = FailureDetector(Member("m0", 1), FailureDetectorConfig(most=10), random.Random(1))
    node.heard([Member(f"x{n}", 1) for n in range(100)], 0)
    assert len(node.members) == 10 and len(node.news()) <= PACE.told + 1


@pytest.mark.parametrize("kept, clock, expected", [(0, 500, 500), (700, 500, 701), (400, 500, 500)])
def test_incarnations_never_go_back(kept, clock, expected):
    assert incarnation(kept, clock) == expected


def test_words_of_other_releases_are_passed_over():
    later = b"\x83\xa5fleet\xa1f\xa3own\x83\xa4name\xa2m1\xabincarnation\x07\xa6future\x01\xa6unseen\xc0"
    ping = messages.decode(later, messages.Ping)
    assert ping is not None and ping.own.name == "m1" and ping.news == []
    assert messages.decode(b"\xc1nonsense", messages.Ping) is None
    assert messages.member(messages.Row("m1", 1, standing=9)) is None


@pytest.mark.processes
def test_ordered_settings_and_the_fence_outlive_the_process_but_not_another_configuration(tmp_path):
    """A manager with options, started on what was ordered before; shown by the command line."""
    folder, listen, feed = tmp_path / "orders", free_address(), Feed()
    folder.mkdir()
    ordered = copy.deepcopy(SERVICES)
    ordered["limits"]["maxOpen"] = 500
    for own in release.OWN:
        del ordered[own]  # what is ordered is the fleet's; position and location stay each manager's
    told = {"settings": ordered, "replaces": release.settings(SERVICES)}
    (folder / "ordered.json").write_text(json.dumps(told))
    (folder / "fence").write_text("7/change")
    options = f'fleet {{\nlisten = "{listen}"\n}}\nrollout {{\nfolder = "{folder}"\n}}\n'
    engine = Engine(lambda engine, connection, ident: engine.returns(connection, ident))
    node = Node(tmp_path, feed, member(engine), options=options)

    def runs():
        words_ = [sys.executable, "-m", "vanerelay", "fleet", "show", "--address", listen, "--json"]
        done = subprocess.run(words_, cwd=ROOT, capture_output=True, text=True, check=False)
        return json.loads(done.stdout)["settings"] if done.returncode == 0 else ""

    try:
        assert until(runs, "an answer of the fleet") == release.settings(ordered)
        node.process.terminate()
        assert node.process.wait(30) == 0
        (folder / "ordered.json").write_text(json.dumps({**told, "replaces": "another"}))
        node.start()
        assert until(runs, "an answer of the fleet") == release.settings(SERVICES)
    finally:
        node.process.kill()
        node.process.wait()
        engine.close()
        feed.server.shutdown()
        feed.server.server_close()
