"""The stage machine: typical courses of a change, and all interleavings of crashes, losses and delays."""

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


def statuses_of(machine, unreachable=(), **runs):
    """Returns the statuses of gateways that run what they were ordered, except those given in `runs`."""
    return {
        name: GatewayStatus(frozenset({runs.get(name, machine.ordered[name])}), True)
        for name in machine.domains
        if name not in unreachable
    }


def event_after(machine, step, now, verdicts):
    """Returns the event that follows a step; None if none is recorded."""
    match step.action:
        case Action.ORDER:
            return Event(EventKind.ORDERED, now, step.gateway, target=step.target)
        case Action.BEGIN_STAGE:
            return Event(EventKind.STAGE, now, stage=machine.stage + 1)
        case Action.UNCLEAR:
            return machine.unclear_event(now, step.reason)
        case Action.ASSESS:
            return machine.assessment_event(now, verdicts(machine), step.reason)
        case Action.END:
            return Event(EventKind.ENDED, now, target=step.target)
    return None


def run_machine(machine, verdicts, unreachable=lambda now: (), until=400):
    """Runs a machine against gateways that follow every order; returns the events."""
    events = []

    def record(event):
        events.append(event)
        machine.apply(event)

    for now in range(0, until * SECOND, SECOND):
        statuses = statuses_of(machine, unreachable(now // SECOND))
        for name in statuses:
            if not machine.confirmed[name]:
                record(Event(EventKind.CONFIRMED, now, name))
        event = event_after(machine, machine.next_step(now, statuses), now, verdicts)
        if event is not None:
            record(event)
        if machine.outcome:
            break
    return events


def verdict(assessment):
    return lambda machine: Verdict(assessment, ("why",))


def test_change_reaches_all_gateways_when_every_stage_passes():
    machine = StageMachine(PLAN)
    events = run_machine(machine, verdict(Assessment.FINE))
    assert machine.outcome == "done" and set(machine.ordered.values()) == {Release.NEW}
    assert [e.kind for e in events].count("judged") == 2
    assert StageMachine.replayed(PLAN, events).ordered == machine.ordered


def test_change_is_rolled_back_without_waiting_for_an_unreachable_gateway_when_a_stage_is_worse():
    machine = StageMachine(PLAN)
    events = run_machine(machine, verdict(Assessment.WORSE), lambda now: ("m3",) if now > 1 else ())
    assert (
        machine.outcome == "back"
        and machine.ever_changed == {"m0"}
        and set(machine.ordered.values()) == {Release.OLD}
    )
    assert next(e for e in events if e.kind == "back").reason == "why"


def test_change_stays_in_its_stage_when_evidence_or_the_status_of_a_gateway_is_missing():
    machine = StageMachine(PLAN)
    run_machine(machine, verdict(Assessment.WAIT), until=150)
    assert machine.is_held and len(machine.ever_changed) == 1
    machine = StageMachine(PLAN)
    run_machine(machine, verdict(Assessment.FINE), lambda now: ("m3",) if now > 1 else (), until=60)
    assert len(machine.ever_changed) == 1 and not machine.outcome


def test_nothing_is_ordered_when_no_majority_of_gateways_reports():
    machine = StageMachine(PLAN)
    assert machine.next_step(0, statuses_of(machine, ("m0", "m1"))).action is Action.WAIT


def test_gateway_is_ordered_to_its_target_again_when_it_reports_another_release():
    machine = StageMachine(PLAN)
    step = machine.next_step(0, statuses_of(machine, m2="last week's"))
    assert (step.action, step.gateway, step.target) == (Action.ORDER, "m2", Release.OLD)


@functools.cache
def replayed(plan, events):
    return StageMachine.replayed(plan, events)


class Exploration:
    """Explores all interleavings of what can happen to two successive controllers, their orders and gateways.

    An order is delayed or lost. A controller dies between recording an event and acting on it. The first
    controller's last order is sent long after the second one has taken over. A state has four parts: the
    recorded events, the gateways (what each runs, and the fence and number of its last order), the orders in
    flight, and the fence of the acting controller.
    """

    MAX_EVENTS, MAX_ORDERS_IN_FLIGHT, MAX_FENCE = 9, 2, 2

    def __init__(self, plan, fenced=True, recorded_first=True):
        """Explores at once; `fenced` or `recorded_first` set to False builds in a fault."""
        self.plan, self.fenced, self.recorded_first = plan, fenced, recorded_first
        self.names = [name for name, _ in plan.gateways]
        first = ((), tuple((Release.OLD, 1, 0) for _ in self.names), (), 1)
        self.queue, self.seen, self.violations = deque([first]), {first}, set()
        while self.queue and not self.violations:
            self.explore(*self.queue.popleft())

    def push(self, *state):
        if state not in self.seen:
            self.seen.add(state)
            self.queue.append(state)

    def accepts(self, gateway, order):
        return not self.fenced or order[2:] > gateway[1:]

    def explore(self, events, gateways, in_flight, fence):
        machine = replayed(self.plan, events)
        self.check(machine, gateways, in_flight)
        self.deliver_or_lose(events, gateways, in_flight, fence)
        if machine.outcome or len(events) > self.MAX_EVENTS:
            return
        if machine.stage >= 0 and not machine.is_rolling_back:  # an operator's command
            rollback = Event(EventKind.ROLLBACK, len(events) * 3 * SECOND)
            self.push((*events, rollback), gateways, in_flight, fence)
        if fence < self.MAX_FENCE:  # it dies or is suspended, and another one resumes from the record
            last = (self.names[-1], Release.NEW, 1, 99)
            self.push(events, tuple((one[0], 2, 0) for one in gateways), (*in_flight, last), 2)
        self.take_step(machine, events, gateways, in_flight, fence)

    def check(self, machine, gateways, in_flight):
        """Adds each violated invariant of the state to `violations`."""
        runs = {name: gateway[0] for name, gateway in zip(self.names, gateways, strict=True)}
        in_flight_to_new = {
            order[0]
            for order in in_flight
            if order[1] == Release.NEW and self.accepts(gateways[self.names.index(order[0])], order)
        }
        changed = {name for name in self.names if runs[name] == Release.NEW} | in_flight_to_new
        allowed = len(machine.gateways_up_to(machine.stage)) if machine.stage >= 0 else 0
        if len(changed) > allowed and not machine.is_rolling_back:
            self.violations.add("more changed than the plan allows")
        if machine.stage > machine.passed_stage + 1:
            self.violations.add("a stage without an assessment")
        if machine.outcome:
            release = Release.NEW if machine.outcome == Outcome.DONE else Release.OLD
            if set(runs.values()) != {release}:
                self.violations.add("another release somewhere after the end")

    def deliver_or_lose(self, events, gateways, in_flight, fence):
        for index, order in enumerate(in_flight):
            rest = in_flight[:index] + in_flight[index + 1 :]
            self.push(events, gateways, rest, fence)
            row = self.names.index(order[0])
            if self.accepts(gateways[row], order):
                changed = (order[1], *max(order[2:], gateways[row][1:]))
                self.push(events, (*gateways[:row], changed, *gateways[row + 1 :]), rest, fence)

    def take_step(self, machine, events, gateways, in_flight, fence):
        statuses = {
            name: GatewayStatus(frozenset({one[0]}), True, last_order=one[1:])
            for name, one in zip(self.names, gateways, strict=True)
        }
        now, number = len(events) * 3 * SECOND, len(events) + 1
        for name in self.names:
            runs_ordered = machine.ordered[name] in statuses[name].releases
            if (
                not machine.confirmed[name]
                and runs_ordered
                and machine.has_accepted_last_order(name, statuses[name])
            ):
                self.push((*events, Event(EventKind.CONFIRMED, now, name)), gateways, in_flight, fence)
        step = machine.next_step(now, statuses)
        if step.action is Action.ORDER:
            if len(in_flight) < self.MAX_ORDERS_IN_FLIGHT:
                event = Event(EventKind.ORDERED, now, step.gateway, fence, number, step.target)
                order = (step.gateway, step.target, fence, number)
                self.push((*events, event), gateways, (*in_flight, order), fence)
                if self.recorded_first:
                    self.push((*events, event), gateways, in_flight, fence)
                else:
                    self.push(events, gateways, (*in_flight, order), fence)
        elif step.action in (Action.BEGIN_STAGE, Action.ASSESS, Action.END):
            event = event_after(machine, step, now, lambda machine: Verdict(Assessment.FINE))
            self.push((*events, event), gateways, in_flight, fence)


SMALL = Plan(
    "p",
    (("m0", "a"), ("m1", "b")),
    (Stage("one", gateways=1), Stage("all", fraction=1.0)),
    AvailabilityLimits(1, 1),
)


def test_no_invariant_is_violated_in_any_interleaving_of_crashes_losses_and_delays():
    exploration = Exploration(SMALL)
    assert len(exploration.seen) > 500 and exploration.violations == set()


def test_exploration_finds_violations_when_a_safeguard_is_removed():
    assert Exploration(SMALL, recorded_first=False).violations and Exploration(SMALL, fenced=False).violations


@pytest.mark.parametrize("clock_step", [-3600 * SECOND, 3600 * SECOND])
def test_resumed_machine_starts_its_waiting_times_again_when_the_clock_was_stepped(clock_step):
    """Recorded times are of another process's clock, which may have been stepped since."""
    machine = StageMachine(PLAN)
    name = next(iter(machine.domains))
    machine.apply(Event(EventKind.STAGE, 1000 * SECOND, stage=0))
    machine.apply(
        Event(EventKind.ORDERED, 1000 * SECOND, gateway=name, target=Release.NEW, fence=1, order_number=1)
    )
    now = 1001 * SECOND + clock_step
    machine.resume(now)
    statuses = statuses_of(machine, unreachable=(name,))
    assert machine.next_step(now, statuses).action is not Action.UNCLEAR
    assert machine.next_step(now + PLAN.max_confirmation_time + 1, statuses).action is Action.UNCLEAR
