"""Rolling changes: shared settings, fences, what is stored, the record, the controller and its plan."""

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
def test_while_releases_differ_the_stricter_value_holds(old, new, path, value):
    old, new = settings_with(**old), settings_with(**new)
    for base, other in ((old, new), (new, old)):
        found = settings_diff.stricter(base, other)
        for part in path.split("."):
            found = found[part]
        assert found == value
    assert [one.path for one in settings_diff.differences(old, new)] in ([path], [])


@pytest.mark.parametrize(
    "change, says",
    [
        ({"position": 3}, "position: 3"),
        ({"familyInfo": {"cpuOfKind": [0]}}, "familyInfo.cpuOfKind[0]: 0"),
        ({"familyInfo": {"memoryByKindMb": []}}, "familyInfo.memoryByKindMb: []"),
    ],
)
def test_checks_find_what_a_stage_must_not_reach(change, says):
    assert (
        settings_validation.find_error(SERVICES) is None
        and settings_validation.find_suspect_setting(SERVICES) is None
    )
    assert says in (settings_validation.find_suspect_setting(settings_with(**change)) or "")


def test_fences():
    fence = Fence()
    assert fence.refusal(OrderId(1, "a")) is None and fence.learn("3/a")
    assert fence.refusal(OrderId(3, "a")) is None and fence.refusal(OrderId(4, "b")) is None
    assert "expected 3" in fence.refusal(OrderId(2, "a")) and "held for a" in fence.refusal(OrderId(3, "b"))
    assert fence.refusal(OrderId(9, "a"), replaced=True) and fence.refusal(OrderId(9, "a"), joined=False)
    assert not fence.learn("2/z") and not fence.learn("x") and fence.text == "3/a"


def test_what_is_stored_of_orders_outlives_a_restart_but_not_a_new_configuration(tmp_path):
    store = AgentStore(str(tmp_path / "m1"))
    store.read_settings("digest")
    assert store.write_fence("7/a") is None and store.write_settings({"x": 1}) is None
    again = AgentStore(str(tmp_path / "m1"))
    assert Fence(again.read_fence()).highest == 7
    assert again.read_settings("digest") == {"x": 1} and again.read_settings("another") is None
    (tmp_path / "full").write_text("")
    assert "full" in AgentStore(str(tmp_path / "full" / "m1")).write_fence("7/a")


def test_an_event_is_complete_in_the_record_or_not_there(tmp_path):
    record = ChangeLog(str(tmp_path / "r"))
    record.begin("c", "plan", 3)
    for event in (Event(EventKind.STAGE, 5), Event(EventKind.ORDERED, 6, "m1", target=Release.NEW)):
        record.append(event)
    record.add_command("pause")
    again = ChangeLog(str(tmp_path / "r"))
    assert (again.name, again.fence, [e.kind for e in again.events()]) == ("c", 3, ["stage", "ordered"])
    assert again.take_commands() == ["pause"] and again.take_commands() == []
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


class FakeNode:
    """Sends requests to gateways that follow every order at once."""

    def __init__(self, names):
        self.orders, self.runs, self.last_orders, self.fence = [], dict.fromkeys(names, Release.OLD), {}, 0

    def call(self, address, kind, body, timeout_s):
        name = address.split(":")[0]
        if kind == "state":
            return succeed(
                messages.encode(
                    messages.GatewayState(
                        name, "", self.runs[name], "serving", 7, self.fence, self.last_orders.get(name, 0)
                    )
                )
            )
        order = messages.decode(body, messages.Order)
        self.fence = order.fence
        if order.kind != "claim":
            self.orders.append(name)
            self.runs[name], self.last_orders[name] = order.body.decode(), order.number
        return succeed(messages.encode(messages.OrderReply(order.fence)))

    def stop(self):
        pass


def test_what_cannot_be_recorded_is_not_done_and_goes_on_when_there_is_space(tmp_path):
    names = [name for name, _ in PLAN.gateways]
    reactor, record, said = task.Clock(), FullChangeLog(str(tmp_path / "r")), []
    runs = {
        Release.NEW: Release.NEW,
        Release.OLD: Release.OLD,
        "old strict": Release.OLD,
        "new strict": Release.NEW,
    }
    loaded = plan_reader.RolloutPlan(
        PLAN,
        AnalysisTerms(stages=2, settle_time=0),
        {},
        {name: plan_reader.GatewayAddress(name, f"{name}:1") for name in names},
        plan_reader.Change(),
        {name: text.encode() for name, text in runs.items()},
        runs,
        0,
        "",
        "",
    )
    record.begin("p", "", 0)
    node = FakeNode(names)
    controller = Controller(reactor, loaded, record, said.append, node)
    ended = controller.start(False)
    for second in range(20):
        record.full = second < 10
        reactor.advance(1)
        if second == 9:
            assert node.orders == [] and any("disk is full" in line for line in said)
    reactor.pump([1] * 30)
    assert ended.called and set(node.runs.values()) == {Release.NEW}, said


TEXT = """change {
  before = "old.json"
  settings = "new.json"
}
member "m1" { address = "127.0.0.1:1" }
stage "all" { part = 1.0 }
"""


@pytest.mark.parametrize(
    "new, text, says",
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
def test_plans_are_checked_before_anything_moves(tmp_path, new, text, says):
    (tmp_path / "old.json").write_text(json.dumps({"settings": SERVICES}))
    (tmp_path / "new.json").write_text(json.dumps(new))
    (tmp_path / "p.hcl").write_text(text)
    if not says:
        loaded = plan_reader.load(str(tmp_path / "p.hcl"))
        assert set(loaded.guards) == {"look"} and loaded.digests[Release.NEW] != loaded.digests[Release.OLD]
        assert loaded.digests.keys() >= NEW_RELEASES
        return
    with pytest.raises(plan_reader.OperatorConfigError, match="line [0-9]+.*" + says):
        plan_reader.load(str(tmp_path / "p.hcl"))
