"""Tests of rolling changes: shared settings, fence, stored files, record, controller and plan."""

from __future__ import annotations

import json

import pytest
from twisted.internet import task
from twisted.internet.defer import succeed

from tests.rollout_samples import PLAN
from vanerelay import settings_validation
from vanerelay.rollout import messages, plan_reader, settings_diff
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.canary_analysis import AnalysisTerms
from vanerelay.rollout.change_log import ChangeLog
from vanerelay.rollout.controller import Controller
from vanerelay.rollout.errors import ChangeLogError
from vanerelay.rollout.events import NEW_RELEASES, Event, EventKind, Release
from vanerelay.rollout.fence import Fence, OrderId

SERVICES = {
    "classes": [{"name": "look", "aimUs": 2000000, "deadlineUs": 20000000, "semantics": "pure"}],
    "kinds": ["k"],
    "failureDomains": ["here"],
    "position": 0,
    "groupSize": 3,
    "familyInfo": {"memoryByKindMb": [1000.0], "cpuOfKind": [4]},
    "limits": {"maxAttempts": 3},
    "safety": {"fallMultiple": 4.0, "minExtra": 10},
}


def settings_with(**parts):
    """Returns the sample settings with some values replaced."""
    return {
        name: {**SERVICES[name], **value} if isinstance(value, dict) else value
        for name, value in {**SERVICES, **parts}.items()
    }


@pytest.mark.parametrize(
    "old, new, path, value",
    [
        ({"safety": {"fallMultiple": 4.0}}, {"safety": {"fallMultiple": 6.0}}, "safety.fallMultiple", 4.0),
        ({"safety": {"ratioSpanUs": 5}}, {"safety": {"ratioSpanUs": 9}}, "safety.ratioSpanUs", 9),
        ({"safety": {"minExtra": 10}}, {"safety": {"minExtra": 2}}, "safety.minExtra", 2),
        ({"groupSize": 3}, {"groupSize": 5}, "groupSize", 5),
        ({}, {"limits": {"maxAttempts": 2}}, "limits.maxAttempts", 2),
    ],
)
def test_stricter_returns_the_stricter_value_for_either_order_of_releases(old, new, path, value):
    old, new = settings_with(**old), settings_with(**new)
    for base, other in ((old, new), (new, old)):
        found = settings_diff.stricter(base, other)
        for part in path.split("."):
            found = found[part]
        assert found == value
    assert [setting.path for setting in settings_diff.differences(old, new)] in ([path], [])


@pytest.mark.parametrize(
    "change, expected",
    [
        ({"position": 3}, "position: 3"),
        ({"familyInfo": {"cpuOfKind": [0]}}, "familyInfo.cpuOfKind[0]: 0"),
        ({"familyInfo": {"memoryByKindMb": []}}, "familyInfo.memoryByKindMb: []"),
    ],
)
def test_find_suspect_setting_names_a_setting_that_no_stage_may_receive(change, expected):
    assert (
        settings_validation.find_error(SERVICES) is None
        and settings_validation.find_suspect_setting(SERVICES) is None
    )
    assert expected in (settings_validation.find_suspect_setting(settings_with(**change)) or "")


def test_fence_refuses_orders_of_lower_fences_other_changes_and_unjoined_gateways():
    fence = Fence()
    assert fence.refusal_reason(OrderId(1, "a")) is None and fence.observe("3/a")
    assert fence.refusal_reason(OrderId(3, "a")) is None and fence.refusal_reason(OrderId(4, "b")) is None
    assert "expected 3" in fence.refusal_reason(OrderId(2, "a")) and "held for a" in fence.refusal_reason(
        OrderId(3, "b")
    )
    assert fence.refusal_reason(OrderId(9, "a"), replaced=True) and fence.refusal_reason(
        OrderId(9, "a"), joined=False
    )
    assert not fence.observe("2/z") and not fence.observe("x") and fence.text == "3/a"


def test_stored_fence_and_settings_survive_a_restart_but_settings_not_a_new_configuration(tmp_path):
    store = AgentStore(str(tmp_path / "m1"))
    store.read_settings("digest")
    assert store.write_fence("7/a") is None and store.write_settings({"x": 1}) is None
    reopened = AgentStore(str(tmp_path / "m1"))
    assert Fence(reopened.read_fence()).highest == 7
    assert reopened.read_settings("digest") == {"x": 1} and reopened.read_settings("another") is None
    (tmp_path / "full").write_text("")
    assert "full" in AgentStore(str(tmp_path / "full" / "m1")).write_fence("7/a")


def test_change_log_returns_its_events_when_reopened_and_rejects_a_file_that_is_no_database(tmp_path):
    record = ChangeLog(str(tmp_path / "r"))
    record.begin("c", "plan", 3)
    for event in (Event(EventKind.STAGE, 5), Event(EventKind.ORDERED, 6, "m1", target=Release.NEW)):
        record.append(event)
    record.add_command("pause")
    reopened = ChangeLog(str(tmp_path / "r"))
    assert (reopened.name, reopened.fence, [e.kind for e in reopened.events()]) == (
        "c",
        3,
        ["stage", "ordered"],
    )
    assert reopened.take_commands() == ["pause"] and reopened.take_commands() == []
    (tmp_path / "bad").write_text("no database, but long enough to be taken for one" * 20)
    with pytest.raises(ChangeLogError, match="bad"):
        ChangeLog(str(tmp_path / "bad"))


class FullChangeLog(ChangeLog):
    """A record whose disk is full for a while."""

    full = False

    def append(self, event):
        if self.full:
            raise ChangeLogError("record: disk is full")
        return super().append(event)


class FakeRpcNode:
    """Replaces the RPC node of a controller: the gateways carry out every order at once."""

    def __init__(self, names):
        self.orders, self.releases, self.last_orders, self.fence = (
            [],
            dict.fromkeys(names, Release.OLD),
            {},
            0,
        )

    def call(self, address, kind, body, timeout_s):
        name = address.split(":")[0]
        if kind == "state":
            return succeed(
                messages.encode(
                    messages.GatewayState(
                        name, "", self.releases[name], "serving", 7, self.fence, self.last_orders.get(name, 0)
                    )
                )
            )
        order = messages.decode(body, messages.Order)
        self.fence = order.fence
        if order.kind != "claim":
            self.orders.append(name)
            self.releases[name], self.last_orders[name] = order.body.decode(), order.number
        return succeed(messages.encode(messages.OrderReply(order.fence)))

    def stop(self):
        pass


def test_controller_orders_nothing_while_the_record_disk_is_full_and_continues_afterwards(tmp_path):
    names = [name for name, _ in PLAN.gateways]
    reactor, record, printed = task.Clock(), FullChangeLog(str(tmp_path / "r")), []
    digests = {
        Release.NEW: Release.NEW,
        Release.OLD: Release.OLD,
        "old strict": Release.OLD,
        "new strict": Release.NEW,
    }
    rollout_plan = plan_reader.RolloutPlan(
        PLAN,
        AnalysisTerms(stages=2, settle_time=0),
        {},
        {name: plan_reader.GatewayAddress(name, f"{name}:1") for name in names},
        plan_reader.Change(),
        {name: text.encode() for name, text in digests.items()},
        digests,
        0,
        "",
        "",
    )
    record.begin("p", "", 0)
    node = FakeRpcNode(names)
    controller = Controller(reactor, rollout_plan, record, printed.append, node)
    ended = controller.start(False)
    for second in range(20):
        record.full = second < 10
        reactor.advance(1)
        if second == 9:
            assert node.orders == [] and any("disk is full" in line for line in printed)
    reactor.pump([1] * 30)
    assert ended.called and set(node.releases.values()) == {Release.NEW}, printed


TEXT = """change {
  before = "old.json"
  settings = "new.json"
}
member "m1" { address = "127.0.0.1:1" }
stage "all" { part = 1.0 }
"""


@pytest.mark.parametrize(
    "new, text, expected",
    [
        (settings_with(safety={"minExtra": 5}), TEXT, ""),
        (settings_with(), TEXT, "the same as before"),
        (settings_with(position=7), TEXT, "position"),
        (settings_with(groupSize=9), TEXT, "groupSize: 9, expected 3 until a restart"),
        (settings_with(safety={"minExtra": 5}), TEXT + 'stage "b" { part = 2.0 }\n', "expected 1 at most"),
        (
            settings_with(safety={"minExtra": 5}),
            TEXT + 'guard "lok" { loss = 0.1 }\n',
            "expected one of look",
        ),
        (
            settings_with(safety={"minExtra": 5}),
            TEXT.replace("part = 1.0", ""),
            "expected one of managers, part, domain",
        ),
    ],
)
def test_plan_is_loaded_or_rejected_with_the_line_of_the_error(tmp_path, new, text, expected):
    (tmp_path / "old.json").write_text(json.dumps({"settings": SERVICES}))
    (tmp_path / "new.json").write_text(json.dumps(new))
    (tmp_path / "p.hcl").write_text(text)
    if not expected:
        rollout_plan = plan_reader.load(str(tmp_path / "p.hcl"))
        assert (
            set(rollout_plan.guards) == {"look"}
            and rollout_plan.digests[Release.NEW] != rollout_plan.digests[Release.OLD]
        )
        assert rollout_plan.digests.keys() >= NEW_RELEASES
        return
    with pytest.raises(plan_reader.OperatorConfigError, match="line [0-9]+.*" + expected):
        plan_reader.load(str(tmp_path / "p.hcl"))
