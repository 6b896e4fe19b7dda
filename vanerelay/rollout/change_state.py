"""The state of a rolling change, computed from its recorded events alone. No side effects.

Because every change of state is an event, a controller that was killed at any point continues from its
record. An event is recorded before the action that it describes. A gateway counts as changed once it was
ordered to run the new release, whether or not the order arrived.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Self

from vanerelay.rollout.canary_analysis import Assessment
from vanerelay.rollout.change_plan import Plan
from vanerelay.rollout.events import NEW_RELEASES, Event, EventKind, Release

ROUNDING_SLACK = 1e-9
"""Corrects floating-point errors, so that for example 0.3 of 10 gateways is 3."""
BEFORE_FIRST_STAGE = -1


class ChangeState:
    """The state of one rolling change.

    Attributes:
        plan: The plan of the change.
        domains: The failure domain of each gateway, in the order in which they are changed.
        ordered: The release in each gateway's last order.
        confirmed: Whether each gateway was seen to run the release in `ordered`.
        ordered_at: The time of each gateway's last order.
        change_started_at: The time at which each gateway was first ordered the release in `ordered`.
        last_orders: The fence and number of each gateway's last order.
        controls: Whether the restart is complete, for each gateway restarted on the old release as a control.
        ever_changed: The gateways that were ever ordered to run the new release.
        stage: The index of the current stage; `BEFORE_FIRST_STAGE` before the first.
        stage_started_at: The time from which the current stage is counted.
        passed_stage: The index of the last stage that passed; `BEFORE_FIRST_STAGE` if none did.
        is_paused: Whether an operator has paused the change.
        is_rolling_back: Whether the change is being rolled back.
        is_held: Whether the change is held after a stage that did worse or was unclear.
        outcome: The outcome of the change; empty until it ends.
        reason: The reason why the change is held, rolled back or ended.
        event_count: The number of events, by which orders are numbered.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.domains = dict(plan.gateways)
        self.ordered: dict[str, str] = dict.fromkeys(self.domains, Release.OLD)
        self.confirmed = dict.fromkeys(self.domains, True)
        self.ordered_at = dict[str, int]()
        self.change_started_at = dict[str, int]()
        self.last_orders = dict[str, tuple[int, int]]()
        self.controls = dict[str, bool]()
        self.ever_changed = set[str]()
        self.stage, self.stage_started_at = BEFORE_FIRST_STAGE, 0
        self.passed_stage = BEFORE_FIRST_STAGE
        self.is_paused = self.is_rolling_back = self.is_held = False
        self.outcome, self.reason = "", ""
        self.event_count = 0
        self._appliers: dict[str, Callable[[Event], None]] = {
            EventKind.ORDERED: self._apply_ordered,
            EventKind.CONFIRMED: self._apply_confirmed,
            EventKind.CONTROL: self._apply_control,
            EventKind.STAGE: self._apply_stage,
            EventKind.ASSESSED: self._apply_assessed,
            EventKind.PAUSED: self._apply_paused,
            EventKind.RESUMED: self._apply_resumed,
            EventKind.HELD: self._apply_held,
            EventKind.ROLLBACK: self._apply_rollback,
            EventKind.ENDED: self._apply_ended,
        }

    # Applying events.

    @classmethod
    def replayed(cls, plan: Plan, events: Iterable[Event]) -> Self:
        """Returns the state after these events."""
        state = cls(plan)
        for event in events:
            state.apply(event)
        return state

    def resume(self, now: int) -> None:
        """Adjusts the state for a new controller process; call it once, after `replayed`.

        Recorded times are of the previous process's clock and cannot be compared with this one's.
        Waiting times therefore start again at `now`.
        """
        self.change_started_at = dict.fromkeys(self.change_started_at, now)
        self.ordered_at = {name: min(at, now) for name, at in self.ordered_at.items()}
        self.stage_started_at = now

    def apply(self, event: Event) -> None:
        """Applies a new or replayed event. Unknown kinds only increase `event_count`."""
        self.event_count += 1
        applier = self._appliers.get(event.kind)
        if applier is not None:
            applier(event)

    def _apply_ordered(self, event: Event) -> None:
        name = event.gateway
        if self.confirmed[name] or self.ordered[name] != event.target:
            self.change_started_at[name] = event.at
        self.ordered[name], self.confirmed[name] = event.target, False
        self.ordered_at[name] = event.at
        self.last_orders[name] = event.fence, event.order_number
        if event.target in NEW_RELEASES:
            self.ever_changed.add(name)

    def _apply_confirmed(self, event: Event) -> None:
        if event.gateway in self.controls:
            self.controls[event.gateway] = True
        self.confirmed[event.gateway] = True

    def _apply_control(self, event: Event) -> None:
        self.controls[event.gateway] = False
        self.last_orders[event.gateway] = event.fence, event.order_number
        self.ordered_at[event.gateway] = event.at

    def _apply_stage(self, event: Event) -> None:
        self.stage, self.stage_started_at = event.stage, event.at

    def _apply_assessed(self, event: Event) -> None:
        if event.target == Assessment.FINE.value:
            self.passed_stage = event.stage

    def _apply_paused(self, _: Event) -> None:
        self.is_paused = True

    def _apply_resumed(self, event: Event) -> None:
        self.is_paused = self.is_held = False
        self.stage_started_at, self.reason = event.at, ""

    def _apply_held(self, event: Event) -> None:
        self.is_held, self.reason = True, event.reason

    def _apply_rollback(self, event: Event) -> None:
        self.is_rolling_back = True
        self.is_held = self.is_paused = False
        self.reason = event.reason

    def _apply_ended(self, event: Event) -> None:
        self.outcome = event.target
        self.reason = event.reason or self.reason

    # Target releases.

    @property
    def new_gateways(self) -> list[str]:
        """The gateways whose last order was for the new release, whether or not it arrived."""
        return [name for name in self.domains if self.ordered[name] in NEW_RELEASES]

    def gateways_up_to(self, stage: int) -> list[str]:
        """Returns the gateways that may be changed by the end of a stage, in the order of selection."""
        names, selected = list(self.domains), dict[str, None]()
        for planned_stage in self.plan.stages[: stage + 1]:
            if planned_stage.domain:
                selected |= dict.fromkeys(
                    name for name in names if self.domains[name] == planned_stage.domain
                )
            count = max(planned_stage.gateways, int(planned_stage.fraction * len(names) + ROUNDING_SLACK))
            for name in self._alternate_domains(names):
                if len(selected) >= count:
                    break
                selected[name] = None
        return list(selected)

    def _alternate_domains(self, names: list[str]) -> list[str]:
        """Returns the names, one of each failure domain in turn, so that the first few are not all in one."""
        by_domain = dict[str, list[str]]()
        for name in names:
            by_domain.setdefault(self.domains[name], []).append(name)
        domains = list(by_domain.values())
        largest = max(map(len, domains), default=0)
        return [domain[index] for index in range(largest) for domain in domains if index < len(domain)]

    def target_release(self, name: str) -> str:
        """Returns the release that a gateway is to run in the present state."""
        uses_stricter, last_stage = self.plan.uses_stricter_settings, len(self.plan.stages) - 1
        if self.is_rolling_back:
            return Release.OLD_STRICT if uses_stricter and self._others_may_run_new(name) else Release.OLD
        if self.passed_stage >= last_stage and self.stage >= last_stage:
            return Release.NEW
        if self.stage >= 0 and name in self.gateways_up_to(self.stage):
            return Release.NEW_STRICT if uses_stricter else Release.NEW
        return Release.OLD_STRICT if uses_stricter else Release.OLD

    def _others_may_run_new(self, name: str) -> bool:
        return any(
            self.ordered[other] in NEW_RELEASES or not self.confirmed[other]
            for other in self.domains
            if other != name and other in self.ever_changed
        )

    def comparison_gateways(self) -> list[str]:
        """Returns the gateways on the old release to compare with: only the controls, if there are any."""
        old = [name for name in self.domains if self.ordered[name] not in NEW_RELEASES]
        return [name for name in old if name in self.controls] or old

    def unrestored_gateways(self) -> list[str]:
        """Returns the gateways that are not confirmed to run their target release of the rollback."""
        return [
            name
            for name in self.domains
            if self.ordered[name] != self.target_release(name) or not self.confirmed[name]
        ]
