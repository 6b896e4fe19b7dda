"""The machine of stages: courses of a change, and all orders of crashes, losses and late orders."""

from __future__ import annotations

import functools
from collections import deque

import pytest

from tests.rollout_samples import PLAN
from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import Assessment, Verdict
from vanerelay.rollout.change_plan import AvailabilityLimits, Plan, Stage
from vanerelay.rollout.events import Event, EventKind, Outcome, Release
from vanerelay.rollout.stage_machine import Action, GatewayStatus, StageMachine


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
