"""Drives one rolling change: observes the gateways, records events, gives orders.

A thin driver: `stage_machine` decides what is to be done, `canary_analysis` how a stage does.
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
"""For a reply to a claim of the fence: links may be slow."""
ORDER_TIMEOUT_S = 10.0
"""For a gateway to apply settings."""
SUPERVISOR_ORDER_TIMEOUT_S = 60.0
"""For a supervisor: the next program has to become ready, or not, before it replies."""


class ControllerEnd(StrEnum):
    """How a controller ends."""

    DONE = Outcome.DONE.value
    ROLLED_BACK = Outcome.ROLLED_BACK.value
    FENCED = "fenced"
    """Another controller has taken over; this one undoes nothing."""


@dataclass(slots=True)
class ControllerResult:
    """How a controller ended, why, and the gateways that the change had reached."""

    end: str
    reason: str = ""
    reached: list[str] = field(default_factory=list)


class Controller:
    """One controller of one change. `done` fires with a ControllerResult."""

    def __init__(
        self,
        reactor: Any,
        rollout_plan: RolloutPlan,
        record: ChangeLog,
        say: Callable[[str], None],
        node: RpcNode | None = None,
    ) -> None:
        """`say` is called with each line for people; `node` sends requests, one of its own by default."""
        self._reactor, self._rollout_plan, self._record, self._say = reactor, rollout_plan, record, say
        self._plan = rollout_plan.plan
        self._clock, self._node = Clock(), node or RpcNode(reactor)
        self._observer = GatewayObserver(self._node, self._clock, rollout_plan)
        self.analysis = CanaryAnalysis(rollout_plan.guards, rollout_plan.terms)
        self.machine = StageMachine(self._plan)
        self._gateways_ordering = set[str]()  # that have not replied to an order yet
        self.done: Deferred[ControllerResult] = Deferred()
        self._started_at = 0
        self._last_line = ""
        self._has_claimed = self._is_stopped = False
        self._is_affirming = False  # whether gateways are asked if our fence counts
        self._gave_orders = False  # whether a fence of this process was ever accepted
        self._lease = self._controller_lease()

    def _controller_lease(self) -> ControllerLease | None:
        leases = self._rollout_plan.leases
        if leases is None:
            return None
        addresses = {name: one.address for name, one in self._rollout_plan.gateways.items()}
        return ControllerLease(
            self._reactor, self._node, self._plan.name, leases, addresses, self._lease_lost
        )

    def start(self, resumed: bool) -> Deferred[ControllerResult]:
        """Begins the change, or goes on from the record where it is resumed."""
        if resumed:
            self._restore()
        self._started_at = self._clock.now()
        if self._lease is not None:
            self._lease.start()
        self._turn()
        return self.done

    def _restore(self) -> None:
        self.machine = StageMachine.replayed(self._plan, self._record.events())
        self.machine.resume(self._clock.now())
        baseline = messages.decode(self._record.baseline(), Baseline)
        if baseline is not None:
            self.analysis.restore(baseline)
        self.analysis.begin_stage(self._clock.now())

    def _lease_lost(self) -> None:
        """Another controller may act from now on; ours waits until the lease is ours again."""
        if self._is_stopped:
            return
        self._has_claimed = False
        self._tell("the lease is lost: nothing is ordered until it is held again")

    # Regular turns.

    def _turn(self) -> None:
        if self._is_stopped:
            return
        self._reactor.callLater(self._rollout_plan.terms.slice_duration / SECOND, self._turn)
        self._observer.poll()
        try:
            self._follow_commands()
            if not self._has_claimed:
                self._claim()
                return
            self._analyse()
            if not self._is_affirming:
                self._confirm()
                self._act()
        except ChangeLogError as error:
            # What can't be recorded is not done; what is, goes on as it is.
            self._tell(f"nothing is moved: {error}")

    def _follow_commands(self) -> None:
        """Takes the commands that operators have left in the record."""
        for command in self._record.take_commands():
            now = self._clock.now()
            if command == Command.ROLL_BACK and not self.machine.is_rolling_back:
                self._note(Event(EventKind.ROLLBACK, now, reason="ordered by an operator"))
            elif command == Command.PAUSE:
                self._note(Event(EventKind.PAUSED, now))
            elif command == Command.RESUME:
                self._note(Event(EventKind.RESUMED, now))
                self.analysis.begin_stage(now)

    def _analyse(self) -> None:
        """Passes what came since the last turn to the canary analysis."""
        now, machine = self._clock.now(), self.machine
        samples = self._observer.take_samples()
        if machine.stage < 0:
            self.analysis.add_baseline_slice(samples)
            return
        confirmed = {name for name in samples if machine.confirmed[name]}
        new, old = confirmed & set(machine.new), machine.comparable()
        self.analysis.add_stage_slice(now, samples, new, confirmed & set(old), no_old_left=not old)

    def _confirm(self) -> None:
        """Records which gateways run what they were ordered."""
        machine, now = self.machine, self._clock.now()
        for name, status in self._observer.statuses().items():
            is_back = machine.controls.get(name) is False and not self._observer.awaits_restart(name)
            runs_ordered = status.is_serving and machine.ordered[name] in status.releases
            if not runs_ordered or not machine.has_last_order(name, status):
                continue
            if not machine.confirmed[name] or is_back:
                self._note(Event(EventKind.CONFIRMED, now, name))

    def _act(self) -> None:
        """Takes the one step that is due."""
        now, machine, baseline_time = self._clock.now(), self.machine, self._rollout_plan.baseline_time
        is_observing = machine.stage < 0 and not machine.is_rolling_back
        if is_observing and now - self._started_at < baseline_time:
            self._tell(f"watching for {baseline_time / SECOND:.0f} s before anything is changed")
            return
        step = machine.next_step(now, self._observer.statuses())
        match step.action:
            case Action.WAIT:
                self._tell(step.reason)
            case Action.BEGIN_STAGE:
                self._begin_stage(now)
            case Action.UNCLEAR:
                self._note(machine.unclear(now, step.reason))
            case Action.ASSESS:
                self._assess(now, step)
            case Action.END:
                self._note(Event(EventKind.ENDED, now, target=step.target))
                self._end(step.target, machine.reason)
            case Action.ORDER | Action.RESTART_CONTROL:
                self._order(now, step)

    def _begin_stage(self, now: int) -> None:
        if self.machine.stage < 0:
            self._record.save_baseline(messages.encode(self.analysis.baseline()))
        self._note(Event(EventKind.STAGE, now, stage=self.machine.stage + 1))
        self.analysis.begin_stage(now)

    def _assess(self, now: int, step: Step) -> None:
        verdict = self.analysis.verdict(self.machine.new)
        event = self.machine.assessed(now, verdict, step.reason)
        if event is not None:
            self._note(event)
            return
        reason = step.reason or "; ".join(verdict.reasons) or "looked at"
        self._tell(f"stage {self._stage_name()}: {reason}")

    def _stage_name(self) -> str:
        stages, stage = self._plan.stages, self.machine.stage
        return stages[stage].name if 0 <= stage < len(stages) else "before the first"

    # The fence: one controller at a time.

    def _claim(self) -> None:
        """Claims a fence above all that are heard of: recorded before it is used, accepted by a majority."""
        heard, count = self._observer.observed_fences(), self._observer.gateway_count
        if not is_quorum(len(heard), count) or self._is_affirming:
            self._tell(f"{len(heard)} of {count} managers heard: waiting for more than half")
            return
        highest = max([self._record.fence, *heard])
        fence = highest + 1 if self._lease is None else self._fence_of_lease(self._lease, highest)
        if fence is None:
            return
        self._record.set_fence(fence)
        self._is_affirming = True

        def affirmed(accepted: int) -> None:
            self._is_affirming = False
            self._has_claimed = is_quorum(accepted, count)
            self._gave_orders = self._gave_orders or self._has_claimed
            if self._has_claimed:
                self._tell(f"fence {fence} taken by {accepted} of {count} managers")

        self._affirm(affirmed)

    def _fence_of_lease(self, lease: ControllerLease, highest: int) -> int | None:
        """The lease's token, which is above those of all holders before; None where it can't be used."""
        token, recorded = lease.fence(), self._record.fence
        others_acted = highest > recorded or token is not None and token > recorded + 1
        if self._gave_orders and others_acted:
            # What another controller has done since is not ours to undo: an operator may resume.
            self._end(ControllerEnd.FENCED, f"another controller has held the lease after fence {recorded}")
            return None
        if token is None or token < highest:
            self._tell("waiting for the lease: another controller may hold it")
            return None
        return token

    def _affirm(self, affirmed: Callable[[int], None]) -> None:
        """Asks all gateways whether our fence still counts; `affirmed` gets how many say so."""
        claim = messages.encode(messages.Order(self._record.fence, self._plan.name))

        def replied(results: list[tuple[bool, Any]]) -> None:
            if self._is_stopped:
                return
            replies = [messages.decode(body, messages.OrderReply) for good, body in results if good]
            higher = [one for one in replies if one is not None and one.fence > self._record.fence]
            if higher and self._has_claimed:
                self._end(ControllerEnd.FENCED, higher[0].reason)
                return
            affirmed(sum(one is not None and one.accepted for one in replies))

        gateways = self._rollout_plan.gateways.values()
        for gateway in gateways:
            if gateway.supervisor and self._plan.restarts:
                # Notified as well; it is no gateway, and its reply does not count.
                notice: Deferred[Any] = self._send_claim(gateway.supervisor, claim)
                notice.addErrback(lambda _: None)
        requests = [self._send_claim(gateway.address, claim) for gateway in gateways]
        DeferredList(requests, consumeErrors=True).addCallback(replied)

    def _send_claim(self, address: str, claim: bytes) -> Deferred[bytes]:
        return self._node.call(address, messages.ORDER_KIND, claim, CLAIM_TIMEOUT_S)

    # Orders.

    def _order(self, now: int, step: Step) -> None:
        """Gives an order: recorded, then affirmed by a majority, then sent."""
        name = step.gateway
        if name in self._gateways_ordering:
            return
        if self._lease is not None and self._lease.fence() != self._record.fence:
            self._tell(f"the lease is not held: {name} is not ordered now")
            return
        is_control, number = step.action is Action.RESTART_CONTROL, self.machine.event_count + 1
        kind = EventKind.CONTROL if is_control else EventKind.ORDERED
        fence, stage = self._record.fence, self.machine.stage
        self._note(Event(kind, now, name, fence, number, step.target, stage, step.reason))
        self._is_affirming = True

        def affirmed(accepted: int) -> None:
            self._is_affirming = False
            if is_quorum(accepted, self._observer.gateway_count):
                self._send_order(name, step.target, is_control, number)
                return
            fence = self._record.fence
            self._tell(f"fence {fence} affirmed by {accepted} only: {name} is not ordered now")

        self._affirm(affirmed)

    def _send_order(self, name: str, target: str, is_control: bool, number: int) -> None:
        restarts, gateway = self._plan.restarts, self._rollout_plan.gateways[name]
        program_kind = OrderKind.RESTART if is_control else OrderKind.PROGRAM
        kind = program_kind if restarts or is_control else OrderKind.SETTINGS
        body = self._rollout_plan.bodies[target]
        order = messages.Order(self._record.fence, self._plan.name, kind.value, body, number)
        self._gateways_ordering.add(name)
        if restarts:
            self._observer.expect_restart(name)
        address = gateway.supervisor if restarts else gateway.address
        timeout_s = SUPERVISOR_ORDER_TIMEOUT_S if restarts else ORDER_TIMEOUT_S
        reply: Deferred[Any] = self._node.call(
            address, messages.ORDER_KIND, messages.encode(order), timeout_s
        )

        def no_reply(failure: Failure) -> None:
            self._tell(f"{name}: {failure.getErrorMessage()}")

        def not_recorded(failure: Failure) -> None:
            self._tell(f"nothing is moved: {failure.getErrorMessage()}")

        def finished(_: Any) -> None:
            self._gateways_ordering.discard(name)

        reply.addCallbacks(lambda body: self._order_replied(name, body), no_reply)
        reply.addErrback(not_recorded).addBoth(finished)

    def _order_replied(self, name: str, body: bytes) -> None:
        reply = messages.decode(body, messages.OrderReply)
        if reply is None or reply.accepted or self._is_stopped:
            return
        self._observer.expect_no_restart(name)
        if reply.fence > self._record.fence:
            self._end(ControllerEnd.FENCED, reply.reason)
        elif reply.failed and not self.machine.is_rolling_back:
            self._note(self.machine.failed(self._clock.now(), name, reply.reason))
        else:
            self._tell(f"{name}: {reply.reason}")

    # Records and lines for people.

    def _note(self, event: Event) -> None:
        """Records an event, then applies it.

        Raises:
            ChangeLogError: it can't be recorded, and is not applied.
        """
        self._record.append(event)
        self.machine.apply(event)
        self._tell(describe(event, self._plan))

    def _tell(self, text: str) -> None:
        """Says a line for people, but for one that was just said."""
        if text and text != self._last_line:
            self._last_line = text
            self._say(text)

    def _end(self, end: str, reason: str = "") -> None:
        if not self._is_stopped:
            result = ControllerResult(end, reason, sorted(self.machine.ever_changed))
            self.stop().addCallback(lambda _: self.done.callback(result))

    def stop(self) -> Deferred[Any]:
        """Stops; fires once what it held for itself is given back."""
        self._is_stopped = True
        released: Deferred[Any] = self._lease.stop() if self._lease is not None else succeed(None)
        return released.addCallback(lambda _: self._node.stop())
