"""The state machine that decides on the next step of a rolling change. No side effects.

Its inputs are the time and the recent statuses of gateways, its output is one step. `change_state` holds the
state that results from the steps so far.
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
"""The time between repeated orders of the same release to one gateway."""
RESTART_ORDER_RETRY_INTERVAL = 8 * SECOND
"""The same time if an order restarts the process."""
QUORUM_DIVISOR = 2
"""More than 1 / `QUORUM_DIVISOR` of the gateways must have a recent status, or nothing is changed."""


def is_quorum(count: int, total: int) -> bool:
    """Returns True if `count` is more than half of `total`."""
    return count * QUORUM_DIVISOR > total


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """The last reported status of a gateway.

    Attributes:
        releases: The values of `Release` that match what it runs. Several match if their contents are equal,
            none if it runs anything else.
        is_serving: Whether it accepts queries.
        load: The fraction of its cores in use.
        last_order: The fence and number of the last order that it accepted.
    """

    releases: frozenset[str]
    is_serving: bool
    load: float = 0.0
    last_order: tuple[int, int] = (0, 0)


class Action(Enum):
    """The action that a step requires of the controller."""

    ORDER = "order"
    """Order the gateway to run the target release."""
    RESTART_CONTROL = "control"
    """Order the gateway to restart on the old release, as a control for the comparison."""
    BEGIN_STAGE = "stage"
    """Begin the next stage."""
    ASSESS = "judge"
    """Assess the stage. If a reason is given, the stage cannot pass for now."""
    UNCLEAR = "unclear"
    """End the stage as unclear: it cannot be assessed, and waiting longer will not help."""
    WAIT = "wait"
    END = "ended"


@dataclass(frozen=True, slots=True)
class Step:
    """The next step of a change.

    Attributes:
        action: The action to take.
        gateway: The gateway to order; empty for other actions.
        target: The release to order, or the outcome of the change.
        reason: The reason, in text for operators.
    """

    action: Action
    gateway: str = ""
    target: str = ""
    reason: str = ""


class StageMachine(ChangeState):
    """The state machine of one rolling change.

    `next_step` returns the next step; `assessment_event`, `unclear_event` and `failure_event` return the
    event that follows from a result. The caller records each event and applies it.
    """

    def has_accepted_last_order(self, name: str, status: GatewayStatus) -> bool:
        """Returns True if the gateway has accepted its last order, and so rejects all earlier ones.

        Running the ordered release is not enough: the gateway may have run it before the order, and would
        still accept an earlier order that is delayed in a socket buffer.
        """
        return status.last_order >= self.last_orders.get(name, (0, 0))

    def next_step(self, now: int, statuses: Mapping[str, GatewayStatus]) -> Step:
        """Returns the next step.

        Args:
            now: The current time.
            statuses: The gateways that reported within the last seconds. Any other gateway counts as neither
                good nor bad.
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
        """Returns a repeated order for a gateway that does not run its ordered release; None if none is due.

        Its order was lost, or it restarted with another release. Repeating an order never changes more
        gateways than the plan allows, because a gateway counts as changed from its first order.
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
        """Returns the next step of a change that is not paused, held or rolling back."""
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
        """Returns the step for a stage whose orders are all confirmed.

        In the first stage of a change with restarts, controls are restarted before the assessment.
        """
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
        """Returns the next step of a rollback.

        A rollback needs no assessment, and orders the reachable gateways without waiting for the others. It
        ends only when all gateways are confirmed.
        """
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
        """Returns the order for the first gateway that may become unavailable now, or a wait.

        If orders do not restart processes, a gateway only counts as unavailable until it confirms its order.
        """
        unavailable = self._unavailable_gateways(statuses)
        unavailable_by_domain = Counter(self.domains[name] for name in unavailable)
        limits = self.plan.limits
        for name in to_order:
            if name not in statuses:
                continue
            if name in unavailable:
                # It is unavailable already, so changing it does not reduce the capacity further.
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
        """Returns the gateways that do not serve queries, or may not."""
        not_serving = {
            name
            for name in self.domains
            if not self.confirmed[name] or name not in statuses or not statuses[name].is_serving
        }
        return not_serving | {name for name, has_restarted in self.controls.items() if not has_restarted}

    def _has_capacity(self, statuses: Mapping[str, GatewayStatus], unavailable: int) -> bool:
        """Returns True if the remaining gateways can carry the load with `unavailable` of them missing."""
        loads = [status.load for status in statuses.values() if status.is_serving]
        remaining = len(self.domains) - unavailable
        return remaining > 0 and sum(loads) / remaining <= self.plan.limits.max_load

    def _restart_control(self, statuses: Mapping[str, GatewayStatus]) -> Step:
        """Returns the order to restart a control: the gateway on the old release that is changed last."""
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

    # Events that follow from results.

    def assessment_event(self, now: int, verdict: Verdict, obstacle: str = "") -> Event | None:
        """Returns the event that follows from an assessment of the stage, or None if the stage continues.

        Args:
            now: The current time.
            verdict: The verdict on the stage.
            obstacle: The reason why the stage cannot pass for now; empty if it can.
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
        """Returns the event that follows if the stage cannot be assessed."""
        return self._stop_event(now, self.plan.on_unclear, reason)

    def failure_event(self, now: int, gateway: str, reason: str) -> Event:
        """Returns the event that follows if a gateway tried to apply the change and failed."""
        return self._stop_event(now, self.plan.on_worse, f"{gateway}: {reason}", gateway)

    def _stop_event(self, now: int, action: FailureAction, reason: str, gateway: str = "") -> Event:
        kind = EventKind.ROLLBACK if action is FailureAction.ROLL_BACK else EventKind.HELD
        return Event(kind, now, gateway, reason=reason, stage=self.stage)


def _wait(reason: str) -> Step:
    return Step(Action.WAIT, reason=reason)
