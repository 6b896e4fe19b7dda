"""The machine of stages: what is to be done next in a rolling change. Pure.

It is told the time and which gateways are heard, and answers with one step; `change_state` holds what the
steps so far have made of the change.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import Assessment, Verdict
from vanerelay.rollout.change_plan import FailureAction
from vanerelay.rollout.change_state import ChangeState
from vanerelay.rollout.events import NEW_RELEASES, Event, EventKind, Outcome, Release

ORDER_RETRY_INTERVAL = 2 * SECOND
"""Between orders of the same to one gateway."""
RESTART_ORDER_RETRY_INTERVAL = 8 * SECOND
"""The same where an order restarts the process."""
QUORUM_DIVISOR = 2
"""More than one part in so many must be heard, or nothing is moved."""


def is_quorum(count: int, total: int) -> bool:
    """Whether so many are more than half of all."""
    return count * QUORUM_DIVISOR > total


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """A gateway as it was heard last.

    Attributes:
        releases: which releases it runs: several where they are the same, none where it runs something else.
        is_serving: it accepts queries.
        load: the part of its own cores in use.
        last_order: fence and number of the last order that it accepted.
    """

    releases: frozenset[str]
    is_serving: bool
    load: float = 0.0
    last_order: tuple[int, int] = (0, 0)


class Action(Enum):
    """What a step asks of the controller."""

    ORDER = "order"
    """Order the gateway to run the target."""
    RESTART_CONTROL = "control"
    """Order the old gateway to restart as it is."""
    BEGIN_STAGE = "stage"
    """Begin the next stage."""
    ASSESS = "judge"
    """Assess the stage; the reason says what stands against passing."""
    UNCLEAR = "unclear"
    """It can't be assessed, and nothing is gained by waiting longer."""
    WAIT = "wait"
    END = "ended"


@dataclass(frozen=True, slots=True)
class Step:
    """The one thing to do now."""

    action: Action
    gateway: str = ""
    target: str = ""
    reason: str = ""


class StageMachine(ChangeState):
    """One rolling change: `next_step` says what to do, `assessed` what follows from an assessment."""

    def has_accepted_last_order(self, name: str, status: GatewayStatus) -> bool:
        """Whether no earlier order can count any more at the gateway.

        That it runs what it was ordered is not enough: it may have run that before, and an order that lies
        in a socket would still be accepted.
        """
        return status.last_order >= self.last_orders.get(name, (0, 0))

    def next_step(self, now: int, statuses: Mapping[str, GatewayStatus]) -> Step:
        """The one thing to do now.

        `heard` are the gateways heard within the last seconds; any other counts as neither good nor bad.
        """
        if self.outcome:
            return Step(Action.END, reason=self.outcome)
        if not is_quorum(len(statuses), len(self.domains)):
            return _wait(f"{len(statuses)} of {len(self.domains)} managers heard: nothing is moved")
        corrective_order = self._corrective_order(now, statuses)
        if corrective_order is not None:
            return corrective_order
        if self.is_rolling_back:
            return self._roll_back(statuses)
        if self.is_paused or self.is_held:
            return _wait("paused" if self.is_paused else f"held: {self.reason}")
        return self._go_forward(now, statuses)

    def _corrective_order(self, now: int, statuses: Mapping[str, GatewayStatus]) -> Step | None:
        """Orders a gateway again that runs something else than it was ordered last.

        The order was lost, or the gateway came back with another release. This is never wider than the plan,
        as what it was ordered counts already.
        """
        interval = RESTART_ORDER_RETRY_INTERVAL if self.plan.restarts else ORDER_RETRY_INTERVAL
        for name, status in statuses.items():
            ordered = self.ordered.get(name)
            if ordered is None or self.is_rolling_back and ordered in NEW_RELEASES:
                continue
            if ordered in status.releases and (
                self.confirmed[name] or self.has_accepted_last_order(name, status)
            ):
                continue
            if now - self.ordered_at.get(name, -interval) >= interval:
                running = min(status.releases, default="another release")
                return Step(Action.ORDER, name, ordered, f"runs {running}")
        return None

    def _go_forward(self, now: int, statuses: Mapping[str, GatewayStatus]) -> Step:
        unconfirmed = [name for name in self.domains if not self.confirmed[name]]
        for name in unconfirmed:
            if now - self.change_started_at[name] > self.plan.max_confirmation_time:
                seconds = self.plan.max_confirmation_time / SECOND
                return Step(Action.UNCLEAR, reason=f"{name} did not take the change within {seconds:.0f} s")
        to_order = [name for name in self.domains if self.ordered[name] != self.target_release(name)]
        if to_order:
            return self._order_next(to_order, statuses)
        if unconfirmed:
            return _wait(f"waiting for {', '.join(unconfirmed)}")
        last = len(self.plan.stages) - 1
        if self.passed_stage >= last and self.stage >= last:
            return Step(Action.END, target=Outcome.DONE)
        unreachable = [name for name in self.domains if name not in statuses]
        if self.stage > self.passed_stage:
            return self._assess(statuses, unreachable)
        if unreachable:
            return _wait(f"{', '.join(unreachable)} not heard: no further stage")
        return Step(Action.BEGIN_STAGE)

    def _assess(self, statuses: Mapping[str, GatewayStatus], unreachable: list[str]) -> Step:
        """The stage is ordered and confirmed: it is compared, in the first one with controls."""
        plan = self.plan
        if len(self.controls) < plan.control_restarts and plan.restarts and self.stage == 0:
            return self._restart_control(statuses)
        restarting = [name for name, has_restarted in self.controls.items() if not has_restarted]
        if restarting:
            return _wait(f"waiting for {', '.join(restarting)}, restarted to compare with")
        if unreachable:
            return Step(Action.ASSESS, reason=f"{', '.join(unreachable)} not heard: neither good nor bad")
        return Step(Action.ASSESS)

    def _roll_back(self, statuses: Mapping[str, GatewayStatus]) -> Step:
        """Without evidence, and without waiting for those that can't be heard."""
        to_order = [
            name
            for name in self.domains
            if self.ordered[name] != self.target_release(name) and name in statuses
        ]
        if to_order:
            return self._order_next(to_order, statuses)
        unconfirmed = [name for name in self.domains if not self.confirmed[name] and name in statuses]
        if unconfirmed:
            return _wait(f"waiting for {', '.join(unconfirmed)}")
        remaining = self.unrestored_gateways()
        if remaining:
            return _wait(f"back, but for {', '.join(remaining)}: not heard")
        return Step(Action.END, target=Outcome.ROLLED_BACK)

    def _order_next(self, to_order: list[str], statuses: Mapping[str, GatewayStatus]) -> Step:
        """Orders the first gateway that may be away now.

        Where nothing restarts nobody is away, but for the time of the order itself.
        """
        unavailable = self._unavailable_gateways(statuses)
        unavailable_by_domain = Counter(self.domains[name] for name in unavailable)
        limits = self.plan.limits
        for name in to_order:
            if name not in statuses:
                continue
            if name in unavailable:
                # Away as it is: changing it costs nothing more.
                return Step(Action.ORDER, name, self.target_release(name))
            in_domain = unavailable_by_domain[self.domains[name]]
            if len(unavailable) >= limits.max_unavailable or in_domain >= limits.max_unavailable_per_domain:
                break
            needs_capacity = self.plan.restarts and not self.is_rolling_back
            if needs_capacity and not self._has_capacity(statuses, len(unavailable) + 1):
                return _wait(f"the others are too busy to do without {name}")
            return Step(Action.ORDER, name, self.target_release(name))
        if unavailable:
            return _wait(f"{len(unavailable)} away ({', '.join(sorted(unavailable))}): no more at once")
        return _wait(f"{to_order[0]} not heard")

    def _unavailable_gateways(self, statuses: Mapping[str, GatewayStatus]) -> set[str]:
        """Gateways that do not serve, or may not."""
        not_serving = {
            name
            for name in self.domains
            if not self.confirmed[name] or name not in statuses or not statuses[name].is_serving
        }
        return not_serving | {name for name, has_restarted in self.controls.items() if not has_restarted}

    def _has_capacity(self, statuses: Mapping[str, GatewayStatus], unavailable: int) -> bool:
        """Whether the rest can carry the load of all."""
        loads = [status.load for status in statuses.values() if status.is_serving]
        remaining = len(self.domains) - unavailable
        return remaining > 0 and sum(loads) / remaining <= self.plan.limits.max_load

    def _restart_control(self, statuses: Mapping[str, GatewayStatus]) -> Step:
        """Restarts an old gateway as it is: the last in the order of changing."""
        old = [
            name
            for name in reversed(list(self.domains))
            if self.ordered[name] not in NEW_RELEASES and name not in self.controls and name in statuses
        ]
        restarting = [name for name, has_restarted in self.controls.items() if not has_restarted]
        if restarting or not old:
            return _wait("waiting for controls")
        if not self._has_capacity(statuses, 1):
            return _wait("the others are too busy for a control restart")
        return Step(Action.RESTART_CONTROL, old[0], Release.OLD)

    # What follows from an assessment.

    def assessment_event(self, now: int, verdict: Verdict, obstacle: str = "") -> Event | None:
        """The event that follows; None where the stage goes on.

        `obstacle`: why nothing can be said for now.
        """
        if verdict.assessment is Assessment.WORSE:
            return self._stop_event(now, self.plan.on_worse, "; ".join(verdict.reasons))
        if verdict.assessment is Assessment.FINE and not obstacle:
            fine = Assessment.FINE.value
            return Event(EventKind.ASSESSED, now, target=fine, stage=self.stage)
        if now - self.stage_started_at > self.plan.max_stage_time:
            return self.unclear_event(now, obstacle or "too little evidence: " + "; ".join(verdict.reasons))
        return None

    def unclear_event(self, now: int, reason: str) -> Event:
        """What follows where the stage can't be assessed."""
        return self._stop_event(now, self.plan.on_unclear, reason)

    def failure_event(self, now: int, gateway: str, reason: str) -> Event:
        """What follows when a gateway tried the change and could not take it."""
        return self._stop_event(now, self.plan.on_worse, f"{gateway}: {reason}", gateway)

    def _stop_event(self, now: int, action: FailureAction, reason: str, gateway: str = "") -> Event:
        kind = EventKind.ROLLBACK if action is FailureAction.ROLL_BACK else EventKind.HELD
        return Event(kind, now, gateway, reason=reason, stage=self.stage)


def _wait(reason: str) -> Step:
    return Step(Action.WAIT, reason=reason)
