"""Tests of failure detection on simulated fleets, of the lease overview, and of a gateway in a fleet."""

from __future__ import annotations

import copy
import heapq
import itertools
import json
import random
import subprocess
import sys

import pytest

from tests.helpers import (
    ROOT,
    SETTINGS,
    FakeDiscoveryService,
    FakeEngine,
    GatewayProcess,
    free_address,
    member,
    until,
)
from vanerelay.fleet import lease_summary, messages, release
from vanerelay.fleet.failure_detector import (
    FailureDetector,
    FailureDetectorConfig,
    Member,
    MemberState,
    next_incarnation,
    view_differences,
)
from vanerelay.interface import SECOND
from vanerelay.leases.messages import LeasesStatus, TaskStatus

CONFIG = FailureDetectorConfig()


class SimulatedFleet:
    """Gateways of one fleet in virtual time; a link drops all messages while `is_cut(sender, receiver)`."""

    def __init__(self, count, seed=1, loss=0.0):
        self.now, self.random, self.loss, self.messages = 0, random.Random(seed), loss, 0
        self.is_cut, self.down, self.due, self.serial = (
            lambda sender, receiver: False,
            set(),
            [],
            itertools.count(),
        )
        self.detectors = {}
        for number in range(count):
            self.start(f"m{number}", 1000 + number, [f"m{n}" for n in range(count)])

    def start(self, name, incarnation, seeds):
        detector = FailureDetector(
            Member(name, incarnation, address=name), CONFIG, random.Random(f"{name}{incarnation}")
        )
        for other in seeds:
            detector.add_seed(other, other)
        self.detectors[name] = detector
        heapq.heappush(
            self.due,
            (self.now + self.random.randrange(CONFIG.probe_interval), next(self.serial), name, detector),
        )

    def reaches(self, sender_name, receiver_name):
        """Returns True if a request and its reply arrive; gateways that are down receive nothing."""
        self.messages += 1
        lost = self.random.random() < 1 - (1 - self.loss) ** 2
        return not (
            lost
            or self.is_cut(sender_name, receiver_name)
            or self.is_cut(receiver_name, sender_name)
            or {sender_name, receiver_name} & self.down
        )

    def ping(self, sender_name, receiver_name, join=False):
        if not self.reaches(sender_name, receiver_name):
            return False
        sender, receiver = self.detectors[sender_name], self.detectors[receiver_name]
        own = sender.own
        receiver.receive_gossip([own, *(sender.full_state() if join else sender.gossip())], self.now)
        sender.receive_gossip(
            [*(receiver.full_state() if join else ()), *receiver.gossip_reply(own)], self.now
        )
        sender.acknowledged(own.incarnation)
        sender.probe_succeeded()
        return True

    def run(self, duration):
        until = self.now + duration
        while self.due and self.due[0][0] <= until:
            self.now, _, name, detector = heapq.heappop(self.due)
            if self.detectors.get(name) is not detector:
                continue  # another process has replaced it under this name
            heapq.heappush(self.due, (self.now + CONFIG.probe_interval, next(self.serial), name, detector))
            if name in self.down or detector.replaced:
                continue
            target = detector.next_probe_target(self.now)
            if target is None or self.ping(name, target.name, target.status is MemberState.GONE):
                continue
            if target.status is not MemberState.GONE and not any(
                self.ping(name, helper.name) and self.ping(helper.name, target.name)
                for helper in detector.indirect_probe_helpers(target.name)
            ):
                detector.probe_failed(target.name, self.now)
        self.now = until

    def count_views(self, status, names=None):
        """Returns the number of other gateways that see each member in `status`, by the member's name."""
        return {
            name: sum(
                detector.members[name].status is status
                for other, detector in self.detectors.items()
                if other != name and other not in self.down and name in detector.members
            )
            for name in (names or self.detectors)
        }


@pytest.mark.parametrize("count, loss", [(2, 0.0), (3, 0.1), (20, 0.0), (20, 0.05), (60, 0.05)])
def test_no_member_is_declared_gone_in_a_healthy_fleet_despite_message_loss(count, loss):
    fleet = SimulatedFleet(count, loss=loss)
    fleet.run(30 * SECOND)
    gone_counts = []
    for _ in range(60):
        fleet.run(SECOND)
        gone_counts.append(sum(fleet.count_views(MemberState.GONE).values()))
    assert max(gone_counts) == 0


@pytest.mark.parametrize("count", [3, 20, 60])
def test_a_failed_member_is_seen_as_gone_by_all_and_as_alive_after_its_return(count):
    fleet = SimulatedFleet(count)
    fleet.run(20 * SECOND)
    fleet.down.add("m1")
    fleet.run(int(20 * SECOND))
    assert fleet.count_views(MemberState.GONE, ["m1"]) == {"m1": count - 1}
    fleet.down.clear()
    fleet.run(20 * SECOND)
    assert fleet.count_views(MemberState.ALIVE, ["m1"]) == {"m1": count - 1}


def test_messages_per_gateway_do_not_grow_with_the_size_of_the_fleet():
    rates = []
    for count in (10, 60):
        fleet = SimulatedFleet(count)
        fleet.run(10 * SECOND)
        before = fleet.messages
        fleet.run(20 * SECOND)
        rates.append((fleet.messages - before) / count / 20)
        assert all(len(detector.gossip()) <= CONFIG.gossip_limit + 1 for detector in fleet.detectors.values())
    assert rates[0] <= 2.1 and rates[1] <= 2.1  # messages per second, at a probe interval of half a second


def test_no_member_is_declared_gone_when_only_the_link_between_two_is_cut():
    fleet = SimulatedFleet(6)
    fleet.run(10 * SECOND)
    fleet.is_cut = lambda sender, receiver: {sender, receiver} == {"m1", "m2"}
    fleet.run(60 * SECOND)
    assert sum(fleet.count_views(MemberState.GONE).values()) == 0


def test_views_differ_during_a_partition_and_agree_after_it():
    fleet = SimulatedFleet(8)
    fleet.run(10 * SECOND)
    fleet.is_cut = lambda sender, receiver: (int(sender[1:]) < 4) != (int(receiver[1:]) < 4)
    fleet.run(30 * SECOND)
    views = {name: detector.full_state() for name, detector in fleet.detectors.items()}
    assert {difference.name for difference in view_differences(views)} == set(fleet.detectors)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(30 * SECOND)
    assert sum(fleet.count_views(MemberState.GONE).values()) == 0
    assert view_differences({name: detector.full_state() for name, detector in fleet.detectors.items()}) == []


def test_a_restarted_member_without_disk_and_with_a_slow_clock_exceeds_its_old_incarnation():
    fleet = SimulatedFleet(4)
    fleet.run(10 * SECOND)
    fleet.start("m1", 5, [f"m{n}" for n in range(4)])  # its previous incarnation was 1001
    fleet.run(10 * SECOND)
    assert fleet.detectors["m1"].own.incarnation == 1002 and not fleet.detectors["m1"].replaced
    assert fleet.count_views(MemberState.ALIVE, ["m1"]) == {"m1": 3}


def test_a_paused_process_is_replaced_when_its_successor_has_joined():
    fleet = SimulatedFleet(4)
    fleet.run(10 * SECOND)
    old = fleet.detectors["m1"]
    fleet.start("m1", 2000, [f"m{n}" for n in range(4)])
    fleet.run(10 * SECOND)
    old.receive_gossip(fleet.detectors["m2"].full_state(), fleet.now)
    assert old.replaced and fleet.detectors["m1"].own.incarnation == 2000


def test_timeouts_grow_after_a_stall_of_the_own_process():
    fleet = SimulatedFleet(4)
    fleet.run(10 * SECOND)
    healthy, stalled = fleet.detectors["m1"], fleet.detectors["m2"]
    stalled.process_stalled()
    assert stalled.probe_timeout() > healthy.probe_timeout()
    assert stalled.suspicion_timeout() > healthy.suspicion_timeout()


def test_members_and_gossip_stay_bounded_when_many_members_are_reported():
    detector = FailureDetector(Member("m0", 1), FailureDetectorConfig(max_members=10), random.Random(1))
    detector.receive_gossip([Member(f"x{n}", 1) for n in range(100)], 0)
    assert len(detector.members) == 10 and len(detector.gossip()) <= CONFIG.gossip_limit + 1


@pytest.mark.parametrize("stored, clock, expected", [(0, 500, 500), (700, 500, 701), (400, 500, 500)])
def test_next_incarnation_exceeds_the_stored_one_and_follows_the_clock(stored, clock, expected):
    assert next_incarnation(stored, clock) == expected


def test_messages_decode_with_unknown_fields_and_are_rejected_when_malformed():
    later_release = (
        b"\x83\xa5fleet\xa1f\xa3own\x83\xa4name\xa2m1\xabincarnation\x07\xa6future\x01\xa6unseen\xc0"
    )
    ping = messages.decode(later_release, messages.Ping)
    assert ping is not None and ping.own.name == "m1" and ping.gossip == []
    assert messages.decode(b"\xc1nonsense", messages.Ping) is None
    assert messages.to_member(messages.MemberRow("m1", 1, status=9)) is None


def test_the_lease_overview_prints_the_lines_of_earlier_releases():
    """The expected lines are output of an earlier release, as operators' tools may read them."""
    voters, token = ["m1", "m2", "m3"], (7 << 32) + 3
    held = TaskStatus("tidy", holds=True, token=token, remaining_ms=2500)
    older = TaskStatus("tidy", holds=True, token=token - 1, remaining_ms=100)
    first = LeasesStatus("m1", voters, memory="knows", era=7, tasks=[held, TaskStatus("warm")])
    second = LeasesStatus("m2", voters, memory="blank", era=6, tasks=[older], reason="no quorum")
    summary = lease_summary.summarize({"m1": first, "m2": second})
    assert not summary.healthy  # one task has no holder, and only one voter of three votes
    assert list(summary.json_lines()) == [
        '{"task": "tidy", "holder": "m1", "number": 30064771075, "left_ms": 2500}',
        '{"task": "warm", "holder": "", "number": 0, "left_ms": 0}',
        '{"voter": "m1", "memory": "knows", "era": 7, "why": ""}',
        '{"voter": "m2", "memory": "blank", "era": 6, "why": "no quorum"}',
        '{"voter": "m3", "memory": "no answer", "era": 0, "why": ""}',
    ]
    assert list(summary.text_lines()) == [
        "tidy                 m1           7.3        2.5 s left",
        "warm                 held by nobody",
        "voter m1             knows      era 7",
        "voter m2             blank      era 6  no quorum",
        "voter m3             no answer  era 0",
    ]


@pytest.mark.processes
def test_ordered_settings_apply_after_a_start_unless_the_configuration_has_changed(tmp_path):
    """A gateway starts with stored settings of a rollout only if they replace its present configuration.

    The settings in force are read with `vanerelay fleet show`.
    """
    folder, listen, feed = tmp_path / "orders", free_address(), FakeDiscoveryService()
    folder.mkdir()
    ordered = copy.deepcopy(SETTINGS)
    ordered["limits"]["maxOpen"] = 500
    for setting in release.PER_GATEWAY_SETTINGS:
        del ordered[
            setting
        ]  # a rollout orders shared settings only; position and zone stay those of each gateway
    stored = {"settings": ordered, "replaces": release.settings_digest(SETTINGS)}
    (folder / "ordered.json").write_text(json.dumps(stored))
    (folder / "fence").write_text("7/change")
    options = f'fleet {{\nlisten = "{listen}"\n}}\nrollout {{\nfolder = "{folder}"\n}}\n'
    engine = FakeEngine(lambda engine, connection, ident: engine.return_result(connection, ident))
    gateway = GatewayProcess(tmp_path, feed, member(engine), options=options)

    def settings_in_force():
        command = [sys.executable, "-m", "vanerelay", "fleet", "show", "--address", listen, "--json"]
        finished = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        return json.loads(finished.stdout)["settings"] if finished.returncode == 0 else ""

    try:
        assert until(settings_in_force, "a reply of the fleet") == release.settings_digest(ordered)
        gateway.process.terminate()
        assert gateway.process.wait(30) == 0
        (folder / "ordered.json").write_text(json.dumps({**stored, "replaces": "another"}))
        gateway.start()
        assert until(settings_in_force, "a reply of the fleet") == release.settings_digest(SETTINGS)
    finally:
        gateway.process.kill()
        gateway.process.wait()
        engine.close()
        feed.server.shutdown()
        feed.server.server_close()
