"""Carries out one rolling change: observes the gateways, records events and sends orders.

The decisions are made elsewhere: `stage_machine` determines the next step, `canary_analysis` assesses a
stage.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, succeed
from twisted.python.failure import Failure

from vanerelay.clock import Clock
from vanerelay.fleet.rpc import RpcNode
from vanerelay.interface import SECOND
from vanerelay.rollout import messages
from vanerelay.rollout.canary_analysis import CanaryAnalysis
from vanerelay.rollout.canary_baseline import Baseline
from vanerelay.rollout.change_log import ChangeLog, Command
from vanerelay.rollout.controller_lease import ControllerLease
from vanerelay.rollout.errors import ChangeLogError
from vanerelay.rollout.event_text import describe
from vanerelay.rollout.events import Event, EventKind, Outcome
from vanerelay.rollout.gateway_observer import GatewayObserver
from vanerelay.rollout.messages import OrderKind
from vanerelay.rollout.plan_reader import RolloutPlan
from vanerelay.rollout.stage_machine import Action, StageMachine, Step, is_quorum

CLAIM_TIMEOUT_S = 6.0
"""The time-out for a reply to a claim of the fence; links may be slow."""
ORDER_TIMEOUT_S = 10.0
"""The time-out for a gateway to apply settings."""
SUPERVISOR_ORDER_TIMEOUT_S = 60.0
"""The time-out for a supervisor, which replies only when the next program is ready or has failed."""


class ControllerEnd(StrEnum):
    """The result with which a controller ends."""

    DONE = Outcome.DONE.value
    ROLLED_BACK = Outcome.ROLLED_BACK.value
    FENCED = "fenced"
    """Another controller has taken over; this one leaves all gateways as they are."""


@dataclass(slots=True)
class ControllerResult:
    """The result of a controller.

    Attributes:
        end: A value of `ControllerEnd`.
        reason: The reason, in text for operators.
        reached: The gateways that the change had reached.
    """

    end: str
    reason: str = ""
    reached: list[str] = field(default_factory=list)


class Controller:
    """A controller of one change.

    Attributes:
        analysis: The canary analysis of the change.
        machine: The state machine of the change.
        done: Fires with a `ControllerResult` when the controller ends.
    """

    def __init__(
        self,
        reactor: Any,
        rollout_plan: RolloutPlan,
        change_log: ChangeLog,
        print_line: Callable[[str], None],
        node: RpcNode | None = None,
    ) -> None:
        """Sets up the controller without starting it.

        Args:
            reactor: The Twisted reactor.
            rollout_plan: The plan of the change.
            change_log: The record of the change.
            print_line: Called with each line of text for operators.
            node: Sends requests; by default the controller creates its own.
        """
        self._reactor, self._rollout_plan, self._change_log, self._print_line = (
            reactor,
            rollout_plan,
            change_log,
            print_line,
        )
        self._plan = rollout_plan.plan
        self._clock, self._node = Clock(), node or RpcNode(reactor)
        self._observer = GatewayObserver(self._node, self._clock, rollout_plan)
        self.analysis = CanaryAnalysis(rollout_plan.guards, rollout_plan.terms)
        self.machine = StageMachine(self._plan)
        self._gateways_with_open_order = set[str]()  # gateways that have not replied to an order yet
        self.done: Deferred[ControllerResult] = Deferred()
        self._started_at = 0
        self._last_line = ""
        self._holds_fence = self._is_stopped = False
        self._is_checking_fence = False  # whether a claim of the fence is in flight
        self._fence_was_accepted = False  # whether a majority ever accepted a fence of this process
        self._lease = self._controller_lease()

    def _controller_lease(self) -> ControllerLease | None:
        leases = self._rollout_plan.leases
        if leases is None:
            return None
        addresses = {name: gateway.address for name, gateway in self._rollout_plan.gateways.items()}
        return ControllerLease(
            self._reactor, self._node, self._plan.name, leases, addresses, self._handle_lost_lease
        )

    def start(self, resumed: bool) -> Deferred[ControllerResult]:
        """Starts the change, or continues it from its record if `resumed` is set; returns `done`."""
        if resumed:
            self._restore()
        self._started_at = self._clock.now()
        if self._lease is not None:
            self._lease.start()
        self._run_cycle()
        return self.done

    def _restore(self) -> None:
        self.machine = StageMachine.replayed(self._plan, self._change_log.events())
        self.machine.resume(self._clock.now())
        baseline = messages.decode(self._change_log.baseline(), Baseline)
        if baseline is not None:
            self.analysis.restore(baseline)
        self.analysis.begin_stage(self._clock.now())

    def _handle_lost_lease(self) -> None:
        """Stops giving orders until this controller holds the lease again: another one may act meanwhile."""
        if self._is_stopped:
            return
        self._holds_fence = False
        self._report("the lease is lost: nothing is ordered until it is held again")

    # The regular cycle.

    def _run_cycle(self) -> None:
        if self._is_stopped:
            return
        self._reactor.callLater(self._rollout_plan.terms.slice_duration / SECOND, self._run_cycle)
        self._observer.poll()
        try:
            self._apply_commands()
            if not self._holds_fence:
                self._claim_fence()
                return
            self._feed_analysis()
            if not self._is_checking_fence:
                self._record_confirmations()
                self._perform_step()
        except ChangeLogError as error:
            # A step that cannot be recorded is not taken. The gateways keep running what they run.
            self._report(f"nothing is moved: {error}")

    def _apply_commands(self) -> None:
        """Carries out the commands that operators have added to the record."""
        for command in self._change_log.take_commands():
            now = self._clock.now()
            if command == Command.ROLL_BACK and not self.machine.is_rolling_back:
                self._record_event(Event(EventKind.ROLLBACK, now, reason="ordered by an operator"))
            elif command == Command.PAUSE:
                self._record_event(Event(EventKind.PAUSED, now))
            elif command == Command.RESUME:
                self._record_event(Event(EventKind.RESUMED, now))
                self.analysis.begin_stage(now)

    def _feed_analysis(self) -> None:
        """Passes the samples since the last cycle to the canary analysis."""
        now, machine = self._clock.now(), self.machine
        samples = self._observer.take_samples()
        if machine.stage < 0:
            self.analysis.add_baseline_slice(samples)
            return
        confirmed = {name for name in samples if machine.confirmed[name]}
        new, old = confirmed & set(machine.new_gateways), machine.comparison_gateways()
        self.analysis.add_stage_slice(now, samples, new, confirmed & set(old), no_old_left=not old)

    def _record_confirmations(self) -> None:
        """Records the gateways that have come to run the release they were ordered to run."""
        machine, now = self.machine, self._clock.now()
        for name, status in self._observer.statuses().items():
            has_restarted = machine.controls.get(name) is False and not self._observer.awaits_restart(name)
            runs_ordered = status.is_serving and machine.ordered[name] in status.releases
            if not runs_ordered or not machine.has_accepted_last_order(name, status):
                continue
            if not machine.confirmed[name] or has_restarted:
                self._record_event(Event(EventKind.CONFIRMED, now, name))

    def _perform_step(self) -> None:
        """Performs the next step of the state machine."""
        now, machine, baseline_time = self._clock.now(), self.machine, self._rollout_plan.baseline_time
        is_observing = machine.stage < 0 and not machine.is_rolling_back
        if is_observing and now - self._started_at < baseline_time:
            self._report(f"watching for {baseline_time / SECOND:.0f} s before anything is changed")
            return
        step = machine.next_step(now, self._observer.statuses())
        match step.action:
            case Action.WAIT:
                self._report(step.reason)
            case Action.BEGIN_STAGE:
                self._begin_stage(now)
            case Action.UNCLEAR:
                self._record_event(machine.unclear_event(now, step.reason))
            case Action.ASSESS:
                self._assess(now, step)
            case Action.END:
                self._record_event(Event(EventKind.ENDED, now, target=step.target))
                self._finish(step.target, machine.reason)
            case Action.ORDER | Action.RESTART_CONTROL:
                self._issue_order(now, step)

    def _begin_stage(self, now: int) -> None:
        if self.machine.stage < 0:
            self._change_log.save_baseline(messages.encode(self.analysis.baseline()))
        self._record_event(Event(EventKind.STAGE, now, stage=self.machine.stage + 1))
        self.analysis.begin_stage(now)

    def _assess(self, now: int, step: Step) -> None:
        verdict = self.analysis.verdict(self.machine.new_gateways)
        event = self.machine.assessment_event(now, verdict, step.reason)
        if event is not None:
            self._record_event(event)
            return
        reason = step.reason or "; ".join(verdict.reasons) or "looked at"
        self._report(f"stage {self._stage_name()}: {reason}")

    def _stage_name(self) -> str:
        stages, stage = self._plan.stages, self.machine.stage
        return stages[stage].name if 0 <= stage < len(stages) else "before the first"

    # The fence, under which only one controller at a time can give orders.

    def _claim_fence(self) -> None:
        """Claims a fence higher than all known ones.

        The fence is recorded before it is used, and counts once a majority of gateways has accepted it.
        """
        reported_fences, gateway_count = self._observer.observed_fences(), self._observer.gateway_count
        if not is_quorum(len(reported_fences), gateway_count) or self._is_checking_fence:
            self._report(
                f"{len(reported_fences)} of {gateway_count} managers heard: waiting for more than half"
            )
            return
        highest_reported = max([self._change_log.fence, *reported_fences])
        fence = (
            highest_reported + 1 if self._lease is None else self._lease_fence(self._lease, highest_reported)
        )
        if fence is None:
            return
        self._change_log.set_fence(fence)
        self._is_checking_fence = True

        def fence_checked(accepted: int) -> None:
            self._is_checking_fence = False
            self._holds_fence = is_quorum(accepted, gateway_count)
            self._fence_was_accepted = self._fence_was_accepted or self._holds_fence
            if self._holds_fence:
                self._report(f"fence {fence} taken by {accepted} of {gateway_count} managers")

        self._check_fence(fence_checked)

    def _lease_fence(self, lease: ControllerLease, highest_reported: int) -> int | None:
        """Returns the lease's token, which exceeds those of earlier holders; None if it cannot be used."""
        token, recorded_fence = lease.fence(), self._change_log.fence
        other_held_lease = (
            highest_reported > recorded_fence or token is not None and token > recorded_fence + 1
        )
        if self._fence_was_accepted and other_held_lease:
            # Another controller has acted since, which this one must not undo. An operator may resume.
            self._finish(
                ControllerEnd.FENCED, f"another controller has held the lease after fence {recorded_fence}"
            )
            return None
        if token is None or token < highest_reported:
            self._report("waiting for the lease: another controller may hold it")
            return None
        return token

    def _check_fence(self, fence_checked: Callable[[int], None]) -> None:
        """Sends the claim of the recorded fence to all gateways.

        `fence_checked` is called with the number of gateways that accept it.
        """
        claim = messages.encode(messages.Order(self._change_log.fence, self._plan.name))

        def replied(results: list[tuple[bool, Any]]) -> None:
            if self._is_stopped:
                return
            replies = [messages.decode(body, messages.OrderReply) for succeeded, body in results if succeeded]
            higher = [
                reply for reply in replies if reply is not None and reply.fence > self._change_log.fence
            ]
            if higher and self._holds_fence:
                self._finish(ControllerEnd.FENCED, higher[0].reason)
                return
            fence_checked(sum(reply is not None and reply.accepted for reply in replies))

        gateways = self._rollout_plan.gateways.values()
        for gateway in gateways:
            if gateway.supervisor and self._plan.restarts:
                # A supervisor has to learn the fence too. It is no gateway, so its reply does not count.
                notice: Deferred[Any] = self._send_claim(gateway.supervisor, claim)
                notice.addErrback(lambda _: None)
        requests = [self._send_claim(gateway.address, claim) for gateway in gateways]
        DeferredList(requests, consumeErrors=True).addCallback(replied)

    def _send_claim(self, address: str, claim: bytes) -> Deferred[bytes]:
        return self._node.call(address, messages.ORDER_KIND, claim, CLAIM_TIMEOUT_S)

    # Orders.

    def _issue_order(self, now: int, step: Step) -> None:
        """Issues an order: records it, has the fence accepted by a majority of gateways, then sends it."""
        name = step.gateway
        if name in self._gateways_with_open_order:
            return
        if self._lease is not None and self._lease.fence() != self._change_log.fence:
            self._report(f"the lease is not held: {name} is not ordered now")
            return
        is_control, number = step.action is Action.RESTART_CONTROL, self.machine.event_count + 1
        kind = EventKind.CONTROL if is_control else EventKind.ORDERED
        fence, stage = self._change_log.fence, self.machine.stage
        self._record_event(Event(kind, now, name, fence, number, step.target, stage, step.reason))
        self._is_checking_fence = True

        def fence_checked(accepted: int) -> None:
            self._is_checking_fence = False
            if is_quorum(accepted, self._observer.gateway_count):
                self._send_order(name, step.target, is_control, number)
                return
            fence = self._change_log.fence
            self._report(f"fence {fence} affirmed by {accepted} only: {name} is not ordered now")

        self._check_fence(fence_checked)

    def _send_order(self, name: str, target: str, is_control: bool, number: int) -> None:
        restarts, gateway = self._plan.restarts, self._rollout_plan.gateways[name]
        program_kind = OrderKind.RESTART if is_control else OrderKind.PROGRAM
        kind = program_kind if restarts or is_control else OrderKind.SETTINGS
        body = self._rollout_plan.bodies[target]
        order = messages.Order(self._change_log.fence, self._plan.name, kind.value, body, number)
        self._gateways_with_open_order.add(name)
        if restarts:
            self._observer.expect_restart(name)
        address = gateway.supervisor if restarts else gateway.address
        timeout_s = SUPERVISOR_ORDER_TIMEOUT_S if restarts else ORDER_TIMEOUT_S
        reply: Deferred[Any] = self._node.call(
            address, messages.ORDER_KIND, messages.encode(order), timeout_s
        )

        def request_failed(failure: Failure) -> None:
            self._report(f"{name}: {failure.getErrorMessage()}")

        def recording_failed(failure: Failure) -> None:
            self._report(f"nothing is moved: {failure.getErrorMessage()}")

        def finished(_: Any) -> None:
            self._gateways_with_open_order.discard(name)

        reply.addCallbacks(lambda body: self._order_replied(name, body), request_failed)
        reply.addErrback(recording_failed).addBoth(finished)

    def _order_replied(self, name: str, body: bytes) -> None:
        reply = messages.decode(body, messages.OrderReply)
        if reply is None or reply.accepted or self._is_stopped:
            return
        self._observer.expect_no_restart(name)
        if reply.fence > self._change_log.fence:
            self._finish(ControllerEnd.FENCED, reply.reason)
        elif reply.failed and not self.machine.is_rolling_back:
            self._record_event(self.machine.failure_event(self._clock.now(), name, reply.reason))
        else:
            self._report(f"{name}: {reply.reason}")

    # Recording events, and reporting to operators.

    def _record_event(self, event: Event) -> None:
        """Records an event, then applies and reports it.

        Raises:
            ChangeLogError: The event cannot be recorded. It is not applied.
        """
        self._change_log.append(event)
        self.machine.apply(event)
        self._report(describe(event, self._plan))

    def _report(self, text: str) -> None:
        """Prints a line for operators unless it equals the previous one."""
        if text and text != self._last_line:
            self._last_line = text
            self._print_line(text)

    def _finish(self, end: str, reason: str = "") -> None:
        if not self._is_stopped:
            result = ControllerResult(end, reason, sorted(self.machine.ever_changed))
            self.stop().addCallback(lambda _: self.done.callback(result))

    def stop(self) -> Deferred[Any]:
        """Stops the controller; the Deferred fires once its lease is released and its node is stopped."""
        self._is_stopped = True
        released: Deferred[Any] = self._lease.stop() if self._lease is not None else succeed(None)
        return released.addCallback(lambda _: self._node.stop())
