"""Rolling changes: canary analysis on known differences, all orders of stages, supervisors."""

from __future__ import annotations

import functools
import json
from collections import deque

import pytest
from twisted.internet import task
from twisted.internet.defer import succeed

from bench.rollout import Loss, SampleGenerator
from vanerelay import settings_validation
from vanerelay.interface import SECOND
from vanerelay.rollout import messages, plan_reader, settings_diff
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.canary_analysis import AnalysisTerms, Assessment, CanaryAnalysis, Guard, Verdict
from vanerelay.rollout.canary_metrics import GatewaySample
from vanerelay.rollout.change_log import ChangeLog
from vanerelay.rollout.change_plan import AvailabilityLimits, Plan, Stage
from vanerelay.rollout.controller import Controller
from vanerelay.rollout.errors import ChangeLogError
from vanerelay.rollout.events import NEW_RELEASES, Event, EventKind, Outcome, Release
from vanerelay.rollout.fence import Fence, OrderId
from vanerelay.rollout.stage_machine import Action, GatewayStatus, StageMachine
from vanerelay.rollout.supervisor_state import SupervisorState, Timeouts

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


def generator_of(seed):
    return SampleGenerator(seed, 6, 30, classes={"look": 1.0})


def stage(seed, slices=300, before=60, watched=lambda n: {}, loss=Loss()):  # noqa: B008
    """How a stage over two of six gateways ends, and after how many slices."""
    gateways, analysis = (
        generator_of(seed),
        CanaryAnalysis({"look": Guard(0.01, 0.05)}, AnalysisTerms(settle_time=0)),
    )
    for number in range(before):
        analysis.add_baseline_slice(gateways.second(**watched(number - before)))
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, slices):
        analysis.add_stage_slice(number * SECOND, gateways.second(new, loss, **watched(number)), new, old)
        verdict = analysis.verdict(new)
        if verdict.assessment is not Assessment.WAIT:
            return verdict, number
    return verdict, slices


@pytest.mark.parametrize(
    "loss, within",
    [(Loss(late=0.2), 40), (Loss(late=0.08), 200), (Loss(failed=0.1), 60), (Loss(slower=3.0), 40)],
)
def test_a_loss_is_found_in_time(loss, within):
    for seed in range(5):
        verdict, after = stage(seed, loss=loss)
        assert verdict.assessment is Assessment.WORSE and after <= within, (seed, verdict, after)


@pytest.mark.parametrize(
    "watched",
    [
        lambda n: {},
        lambda n: {"burst": 3.0, "common": 0.3} if 10 <= n < 30 else {},
        lambda n: {"common": 0.15} if n > 5 else {},
    ],
    ids=["calm", "a burst", "a bad engine for all"],
)
def test_a_change_without_effect_passes_and_what_hits_both_sides_is_blamed_on_neither(watched):
    words = [stage(seed, watched=watched)[0].assessment for seed in range(20)]
    assert Assessment.WORSE not in words and words.count(Assessment.FINE) >= 16


def test_too_little_evidence_never_passes():
    analysis = CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    assert analysis.verdict(["m0"]).assessment is Assessment.WAIT
    gateways = generator_of(1)
    for number in range(5):
        analysis.add_stage_slice(number, gateways.second(), gateways.names[:2], gateways.names[2:])
    verdict = analysis.verdict(gateways.names[:2])
    assert verdict.assessment is Assessment.WAIT and "of 8 blocks" in verdict.reasons[0]


@pytest.mark.parametrize(
    "loss, other, assessment, says",
    [
        (Loss(), {"deaths": 1}, Assessment.WORSE, "ended by themselves"),
        (Loss(), {"memory": 0.9}, Assessment.WORSE, "memory"),
        (Loss(late=0.3), {"unreachable_engines": 3}, Assessment.WAIT, "reach"),
    ],
)
def test_processes_and_links(loss, other, assessment, says):
    gateways, analysis = generator_of(2), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=2))
    new, old = gateways.names[:2], gateways.names[2:]
    analysis.add_baseline_slice(gateways.second())
    analysis.begin_stage(0)
    analysis.add_stage_slice(1, gateways.second(), new, old)
    for number in range(3, 40):
        analysis.add_stage_slice(number, gateways.second(new, loss, **other), new, old)
    verdict = analysis.verdict(new)
    assert verdict.assessment is assessment and any(says in reason for reason in verdict.reasons), verdict


def test_a_release_that_crowds_the_others_out_is_found():
    gateways, analysis = generator_of(4), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    for _ in range(40):
        analysis.add_baseline_slice(
            {name: GatewaySample(one.counts, engine_share=0.1) for name, one in gateways.second().items()}
        )
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, 60):
        seen = {
            name: GatewaySample(one.counts, engine_share=0.4 if name in new else 0.1)
            for name, one in gateways.second(old, Loss(late=0.15)).items()
        }
        analysis.add_stage_slice(number, seen, new, old)
    verdict = analysis.verdict(new)
    assert verdict.assessment is Assessment.WORSE and "of the engines" in verdict.reasons[-1], verdict


def test_a_baseline_outlives_its_controller():
    gateways, one, other = (
        generator_of(1),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
    )
    for _ in range(40):
        one.add_baseline_slice(gateways.second())
    other.restore(one.baseline())
    assert other.baseline().latency_counts == one.baseline().latency_counts
    assert (
        [row[4:] for row in other.baseline().differences]
        == [pytest.approx(row[4:]) for row in one.baseline().differences]
        != []
    )


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
        settings_validation.find_error(SERVICES) is None and settings_validation.find_doubt(SERVICES) is None
    )
    assert says in (settings_validation.find_doubt(settings_with(**change)) or "")


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


PLAN = Plan(
    "p",
    tuple((f"m{n}", "ab"[n % 2]) for n in range(4)),
    (Stage("one", gateways=1), Stage("all", fraction=1.0)),
    AvailabilityLimits(2, 1),
    max_stage_time=100 * SECOND,
    max_away_time=20 * SECOND,
)


def heard(machine, down=(), **runs):
    return {
        name: GatewayStatus(frozenset({runs.get(name, machine.ordered[name])}), True)
        for name in machine.domains
        if name not in down
    }


def follow(machine, step, now, verdicts):
    """The event that follows a step; None where nothing is recorded."""
    match step.action:
        case Action.ORDER:
            return Event(EventKind.ORDERED, now, step.gateway, target=step.target)
        case Action.BEGIN_STAGE:
            return Event(EventKind.STAGE, now, stage=machine.stage + 1)
        case Action.UNCLEAR:
            return machine.unclear(now, step.reason)
        case Action.ASSESS:
            return machine.assessed(now, verdicts(machine), step.reason)
        case Action.END:
            return Event(EventKind.ENDED, now, target=step.target)
    return None


def drive(machine, verdicts, down=lambda now: (), until=400):
    """Runs a machine against gateways that do as they are ordered; the events."""
    events = []

    def record(event):
        events.append(event)
        machine.apply(event)

    for now in range(0, until * SECOND, SECOND):
        there = heard(machine, down(now // SECOND))
        for name in there:
            if not machine.confirmed[name]:
                record(Event(EventKind.CONFIRMED, now, name))
        event = follow(machine, machine.next_step(now, there), now, verdicts)
        if event is not None:
            record(event)
        if machine.outcome:
            break
    return events


def verdict(assessment):
    return lambda machine: Verdict(assessment, ("why",))


def test_a_good_change_goes_through_all_stages():
    machine = StageMachine(PLAN)
    events = drive(machine, verdict(Assessment.FINE))
    assert machine.outcome == "done" and set(machine.ordered.values()) == {Release.NEW}
    assert [e.kind for e in events].count("judged") == 2
    assert StageMachine.replayed(PLAN, events).ordered == machine.ordered


def test_a_worse_change_is_rolled_back_and_does_not_wait_for_the_unreachable():
    machine = StageMachine(PLAN)
    events = drive(machine, verdict(Assessment.WORSE), lambda now: ("m3",) if now > 1 else ())
    assert (
        machine.outcome == "back"
        and machine.ever_changed == {"m0"}
        and set(machine.ordered.values()) == {Release.OLD}
    )
    assert next(e for e in events if e.kind == "back").reason == "why"


def test_without_evidence_it_holds_and_a_gateway_that_is_not_heard_stops_the_next_stage():
    machine = StageMachine(PLAN)
    drive(machine, verdict(Assessment.WAIT), until=150)
    assert machine.is_held and len(machine.ever_changed) == 1
    machine = StageMachine(PLAN)
    drive(machine, verdict(Assessment.FINE), lambda now: ("m3",) if now > 1 else (), until=60)
    assert len(machine.ever_changed) == 1 and not machine.outcome


def test_less_than_half_heard_moves_nothing():
    machine = StageMachine(PLAN)
    assert machine.next_step(0, heard(machine, ("m0", "m1"))).action is Action.WAIT


def test_a_gateway_that_comes_back_with_another_release_is_ordered_to_its_own():
    machine = StageMachine(PLAN)
    step = machine.next_step(0, heard(machine, m2="last week's"))
    assert (step.action, step.gateway, step.target) == (Action.ORDER, "m2", Release.OLD)


@functools.cache
def replayed(plan, events):
    return StageMachine.replayed(plan, events)


class Exploration:
    """All orders of what can happen to two controllers in turn, to their orders, and to gateways.

    An order arrives late or never; a controller dies between record and action; the first one's last order is
    sent when it wakes up long after. A state is: the events on record, the gateways (what each runs, fence
    and number of its last order), the orders on their way, and the fence of the controller that acts.
    """

    MAX_EVENTS, MAX_ORDERS_IN_FLIGHT, MAX_FENCE = 9, 2, 2

    def __init__(self, plan, fenced=True, recorded_first=True):
        """`fenced`, `recorded_first`: what may be broken on purpose."""
        self.plan, self.fenced, self.recorded_first = plan, fenced, recorded_first
        self.names = [name for name, _ in plan.gateways]
        first = ((), tuple((Release.OLD, 1, 0) for _ in self.names), (), 1)
        self.queue, self.seen, self.wrong = deque([first]), {first}, set()
        while self.queue and not self.wrong:
            self.explore(*self.queue.popleft())

    def push(self, *state):
        if state not in self.seen:
            self.seen.add(state)
            self.queue.append(state)

    def accepts(self, gateway, order):
        return not self.fenced or order[2:] > gateway[1:]

    def explore(self, events, gateways, flying, fence):
        machine = replayed(self.plan, events)
        self.check(machine, gateways, flying)
        self.deliver_or_lose(events, gateways, flying, fence)
        if machine.outcome or len(events) > self.MAX_EVENTS:
            return
        if machine.stage >= 0 and not machine.is_rolling_back:  # an operator's command
            rollback = Event(EventKind.ROLLBACK, len(events) * 3 * SECOND)
            self.push((*events, rollback), gateways, flying, fence)
        if fence < self.MAX_FENCE:  # it dies or sleeps, and another goes on from the record
            last = (self.names[-1], Release.NEW, 1, 99)
            self.push(events, tuple((one[0], 2, 0) for one in gateways), (*flying, last), 2)
        self.act(machine, events, gateways, flying, fence)

    def check(self, machine, gateways, flying):
        """What must never be."""
        runs = {name: gateway[0] for name, gateway in zip(self.names, gateways, strict=True)}
        coming = {
            order[0]
            for order in flying
            if order[1] == Release.NEW and self.accepts(gateways[self.names.index(order[0])], order)
        }
        changed = {name for name in self.names if runs[name] == Release.NEW} | coming
        allowed = len(machine.gateways_up_to(machine.stage)) if machine.stage >= 0 else 0
        if len(changed) > allowed and not machine.is_rolling_back:
            self.wrong.add("more changed than the plan allows")
        if machine.stage > machine.passed_stage + 1:
            self.wrong.add("a stage without an assessment")
        if machine.outcome:
            release = Release.NEW if machine.outcome == Outcome.DONE else Release.OLD
            if set(runs.values()) != {release}:
                self.wrong.add("another release somewhere after the end")

    def deliver_or_lose(self, events, gateways, flying, fence):
        for place, order in enumerate(flying):
            rest = flying[:place] + flying[place + 1 :]
            self.push(events, gateways, rest, fence)
            row = self.names.index(order[0])
            if self.accepts(gateways[row], order):
                changed = (order[1], *max(order[2:], gateways[row][1:]))
                self.push(events, (*gateways[:row], changed, *gateways[row + 1 :]), rest, fence)

    def act(self, machine, events, gateways, flying, fence):
        there = {
            name: GatewayStatus(frozenset({one[0]}), True, last_order=one[1:])
            for name, one in zip(self.names, gateways, strict=True)
        }
        now, number = len(events) * 3 * SECOND, len(events) + 1
        for name in self.names:
            runs_ordered = machine.ordered[name] in there[name].releases
            if not machine.confirmed[name] and runs_ordered and machine.has_last_order(name, there[name]):
                self.push((*events, Event(EventKind.CONFIRMED, now, name)), gateways, flying, fence)
        step = machine.next_step(now, there)
        if step.action is Action.ORDER:
            if len(flying) < self.MAX_ORDERS_IN_FLIGHT:
                event = Event(EventKind.ORDERED, now, step.gateway, fence, number, step.target)
                order = (step.gateway, step.target, fence, number)
                self.push((*events, event), gateways, (*flying, order), fence)
                if self.recorded_first:
                    self.push((*events, event), gateways, flying, fence)
                else:
                    self.push(events, gateways, (*flying, order), fence)
        elif step.action in (Action.BEGIN_STAGE, Action.ASSESS, Action.END):
            event = follow(machine, step, now, lambda machine: Verdict(Assessment.FINE))
            self.push((*events, event), gateways, flying, fence)


SMALL = Plan(
    "p",
    (("m0", "a"), ("m1", "b")),
    (Stage("one", gateways=1), Stage("all", fraction=1.0)),
    AvailabilityLimits(1, 1),
)


def test_all_orders_of_crashes_losses_and_late_orders():
    exploration = Exploration(SMALL)
    assert len(exploration.seen) > 500 and exploration.wrong == set()


def test_the_model_finds_faults_that_are_built_in_on_purpose():
    assert Exploration(SMALL, recorded_first=False).wrong and Exploration(SMALL, fenced=False).wrong


class RecordingControl:
    """A process control that records its calls; `replies` to orders."""

    def __init__(self, first="old"):
        self.calls, self.replies, self.now, self.children = [], [], 0, []
        self.state = SupervisorState(self, Timeouts(), frozenset({"old", "new"}), first)
        self.state.begin(0)

    def start(self, child):
        self.calls.append(("start", child.release))
        self.children.append(child)

    def terminate(self, child):
        self.calls.append(("end", child.release))

    def kill(self, child):
        self.calls.append(("kill", child.release))

    def save_release(self, release):
        self.calls.append(("keep", release))

    def order(self, release="new"):
        self.state.order(self.now, release, self.replies.append)
        return self.children[-1]

    def ends(self, child, after=SECOND):
        self.now += after
        self.state.process_ended(self.now, child, "code 9")
        self.now += 6 * SECOND
        self.state.check_timeouts(self.now)
        return self.children[-1]


def test_the_next_release_takes_over_once_it_is_ready():
    control = RecordingControl()
    control.state.process_ready(0, control.children[0])
    new = control.order()
    assert control.calls == [("start", "old"), ("start", "new")] and control.replies == []
    control.state.process_ready(10, new)
    assert control.calls[2:] == [("keep", "new"), ("end", "old")] and control.replies == [None]


@pytest.mark.parametrize("ends", [True, False], ids=["it ends", "it hangs"])
def test_a_successor_that_does_not_become_ready_leaves_the_old_process_in_place(ends):
    control = RecordingControl()
    new = control.order()
    if ends:
        control.state.process_ended(SECOND, new, "code 2")
    else:
        control.state.check_timeouts(60 * SECOND)
        assert control.calls[-1] == ("kill", "new")
    assert (
        len(control.replies) == 1
        and control.state.serving.release == "old"
        and control.state.current == "old"
    )


def test_a_single_end_is_chance_and_two_soon_after_bring_the_old_release_back():
    control = RecordingControl()
    control.state.process_ready(0, control.children[0])
    control.state.process_ready(0, control.order())
    again = control.ends(control.state.serving)
    assert again.release == "new"
    assert control.ends(again).release == "old" and control.calls[-2:] == [("keep", "old"), ("start", "old")]
    control.order()
    assert "ended by itself" in control.replies[-1] and control.calls[-1] == ("start", "old")
    control.state.forget_failures()
    assert control.order().release == "new"


def test_a_process_that_ended_long_after_is_started_again_as_it_is():
    control = RecordingControl()
    control.state.process_ready(0, control.order())
    for _ in range(4):
        assert control.ends(control.state.serving, 100 * SECOND).release == "new"


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


@pytest.mark.parametrize("span", [-3600 * SECOND, 3600 * SECOND])
def test_a_controller_that_resumes_from_its_record_waits_anew(span):
    """The moments on record are of another process's clock, which may have been stepped since."""
    machine = StageMachine(PLAN)
    name = next(iter(machine.domains))
    machine.apply(Event(EventKind.STAGE, 1000 * SECOND, stage=0))
    machine.apply(
        Event(EventKind.ORDERED, 1000 * SECOND, gateway=name, target=Release.NEW, fence=1, order_number=1)
    )
    now = 1001 * SECOND + span
    machine.resume(now)
    there = heard(machine, down=(name,))
    assert machine.next_step(now, there).action is not Action.UNCLEAR
    assert machine.next_step(now + PLAN.max_away_time + 1, there).action is Action.UNCLEAR
