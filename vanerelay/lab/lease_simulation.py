"""Leases in virtual time: the served drivers of several gateways under one clock, faults drawn from a seed.

Links delay, lose, duplicate and cut in one direction; processes freeze, die, shut down and lose their disks;
clocks run at rates of their own. A schedule that fails is run again with fewer faults, until none can be left
out.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from vanerelay.fleet.failure_detector import Member
from vanerelay.fleet.rpc import NoReplyError, RequestRefusedError
from vanerelay.interface import SECOND
from vanerelay.lab.lease_process import PROGRAM, SimulatedHistory, SimulatedProcess, operation_row
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.fencing import FencingGate, LeasedOperation
from vanerelay.leases.voter import LeaseTerms, Voters

DETECTION_S = 1.0
"""Until others count a gateway that died, or is cut off, as gone."""
CHECK_INTERVAL = SECOND // 200
"""Between two checks whether two gateways hold one task: well under what an operation takes."""
RECEIVERS = 3
LINK_DELAY_S = (0.0002, 0.01)
SLOW_LINK_DELAY_S = 3.0
DUPLICATED_PART, LOST_PART = 0.5, 0.3
DRAIN_POLL_S = 0.1
FIRST_FAULT_S = 2.5
"""Until all tasks are held for the first time."""
FAULT_DURATIONS_S = (0.3, 1.2, 2.5, 4.0)


class FaultKind(StrEnum):
    """What a fault does to a gateway; the values are drawn and printed."""

    KILL = "kill"
    LOSE_DISK = "lost"
    FREEZE = "freeze"
    SHUT_DOWN = "end"
    CUT_SENDING = "cut"
    CUT_RECEIVING = "deaf"
    SLOW_LINKS = "slow"
    DUPLICATE = "double"
    LOSE_MESSAGES = "loss"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: `kind` to `gateway` (and, of a link, `other`), from `at` for `duration`, in seconds."""

    kind: str
    gateway: str
    at: float
    duration: float
    other: str = ""


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """What is simulated.

    Attributes:
        gateways: how many; the first `voters` of them vote.
        voters: how many vote.
        tasks: how many.
        length: of the part with faults, in seconds.
        faults: how many are drawn.
        receivers_refuse: whether receivers refuse operations of a holder that has a successor.
        terms: the clocks' drift is drawn up to half of `terms.clock_drift` to either side.
    """

    gateways: int = 5
    voters: int = 3
    tasks: int = 3
    length: float = 16.0
    faults: int = 5
    receivers_refuse: bool = True
    terms: LeaseTerms = LeaseTerms(term=SECOND, max_term=SECOND, clock_drift=0.02, takeover_delay=SECOND // 5)


DEFAULT_SETTINGS = SimulationSettings()


class Receiver:
    """A receiver of operations, which refuses those of a holder that has a successor."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self._simulation, self._gate = simulation, FencingGate()
        self._history = SimulatedHistory(simulation, name)

    def receive(self, operation: LeasedOperation, reply: Callable[[int], None]) -> None:
        """Replies with a newer token that it knows; 0 where it accepts the operation."""
        task, token = operation.task, operation.token
        refusal = self._gate.refusal(task, token, operation.serial, operation.holder)
        if self._simulation.settings.receivers_refuse and refusal is not None:
            self._record(operation, "refused")
            reply(self._gate.highest_token(task))
            return
        self._gate.accept(task, token, operation.serial, operation.holder)
        self._record(operation, "ok")
        reply(0)

    def _record(self, operation: LeasedOperation, result: str) -> None:
        self._history.add("order", self._simulation.now, result=result, **operation_row(operation))


class Simulation:
    """All gateways, links and receivers under one clock.

    Attributes:
        rows: the history of what everybody did.
        messages: requests that were sent.
        violations: moments at which two gateways held one task.
    """

    def __init__(self, seed: int, settings: SimulationSettings = DEFAULT_SETTINGS) -> None:
        self.random, self.settings, self.clock = random.Random(seed), settings, Clock()
        names = [f"m{number + 1}" for number in range(settings.gateways)]
        self.config = LeasesConfig(Voters(1, tuple(names[: settings.voters])), terms=settings.terms)
        max_drift = settings.terms.clock_drift / 2.1
        self.rows = list[dict[str, Any]]()
        self.processes = {
            name: SimulatedProcess(self, name, 1.0 + self.random.uniform(-max_drift, max_drift))
            for name in names
        }
        self.receivers = [Receiver(self, f"e{number + 1}") for number in range(RECEIVERS)]
        self.cut_since = dict[tuple[str, str], float]()  # by direction
        self.extra_delay = dict[str, float]()
        self.duplicated_part, self.lost_part = 0.0, 0.0
        self.messages = 0
        self.violations = list[str]()
        self._checked_at = 0
        self.all_alive = {name: Member(name, 1, state="serving", program=PROGRAM) for name in names}

    @property
    def now(self) -> int:
        """The virtual time in the unit of durations."""
        return int(self.clock.seconds() * SECOND)

    @property
    def is_healthy(self) -> bool:
        """Whether nothing keeps any gateway from seeing all others."""
        return not self.cut_since and not any(
            process.is_dead or process.is_frozen or process.is_draining for process in self.processes.values()
        )

    def sees(self, one: SimulatedProcess, other: SimulatedProcess) -> bool:
        """Whether one gateway counts another as alive."""
        since = [other.unreachable_since] if other.is_dead or other.is_frozen else []
        for direction in ((one.name, other.name), (other.name, one.name)):
            if direction in self.cut_since:
                since.append(self.cut_since[direction])
        return not since or self.clock.seconds() - min(since) < DETECTION_S

    # Links.

    def send_request(
        self, sender: SimulatedProcess, name: str, kind: str, body: bytes, timeout_s: float
    ) -> Deferred[bytes]:
        """Carries a request to the gateway `name`, and its reply back."""
        result: Deferred[bytes] = Deferred()
        receiver = self.processes[name]
        self.messages += 1

        def finish(value: Any, succeeded: bool) -> None:
            if not result.called:
                (result.callback if succeeded else result.errback)(value)

        sender.reactor.callLater(timeout_s, finish, NoReplyError(f"{name} did not answer"), False)

        def send_back(value: Any, succeeded: bool, incarnation: int) -> None:
            delay = self.link_delay(receiver, sender)
            if delay is not None and sender.incarnation == incarnation:
                for _ in range(self._copies()):
                    sender.reactor.callLater(delay, finish, value, succeeded)

        def arrived(incarnation: int) -> None:
            if receiver.fleet is None or receiver.is_dead:
                return
            handler = receiver.fleet.rpc.handlers[kind]
            reply: Deferred[bytes] = maybeDeferred(handler, body)
            reply.addCallbacks(
                lambda value: send_back(value, True, incarnation),
                lambda failure: send_back(RequestRefusedError(failure.getErrorMessage()), False, incarnation),
            )

        for _ in range(self._copies()):
            delay = self.link_delay(sender, receiver)
            if delay is not None:
                receiver.reactor.callLater(delay, arrived, sender.incarnation)
        return result

    def _copies(self) -> int:
        return 1 + (self.random.random() < self.duplicated_part)

    def link_delay(self, sender: SimulatedProcess, receiver: SimulatedProcess) -> float | None:
        """How long a message takes; None where it is lost."""
        is_cut = (sender.name, receiver.name) in self.cut_since
        if is_cut or self.random.random() < self.lost_part:
            return None
        extra = self.extra_delay.get(sender.name, 0.0) + self.extra_delay.get(receiver.name, 0.0)
        return self.random.uniform(*LINK_DELAY_S) + self.random.uniform(0.0, extra)

    # Running.

    def order_era(self, era: int = 1) -> None:
        """Puts an operator's order of an era into the folder of every voter."""
        for name in self.config.voters.names:
            self.processes[name].era_file = str(era)

    def start_all(self) -> None:
        """Starts all gateways for the first time, with an operator's order of the first era."""
        self.order_era()
        for process in self.processes.values():
            process.start()

    def run(self, faults: Sequence[Fault], length: float, settle: float = 0.0) -> None:
        """Runs with faults, and then `settle` seconds without any."""
        for fault in faults:
            self.clock.callLater(fault.at, self._inject, fault)
            self.clock.callLater(min(length, fault.at + fault.duration), self._heal, fault)
        end = self.clock.seconds() + length + settle
        while self.clock.seconds() < end:
            calls: Sequence[Any] = self.clock.getDelayedCalls()
            due = min((call.getTime() for call in calls), default=end)
            self.clock.advance(max(0.0, min(due, end) - self.clock.seconds()))
            self.check_holders()

    def check_holders(self) -> None:
        """Notes where two gateways may act on one task at this moment."""
        if self.now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = self.now
        for number in range(self.settings.tasks):
            task = f"t{number}"
            holders = [
                process.name
                for process in self.processes.values()
                if process.leases is not None and process.leases.tasks[task].holder.may_act(process.clock())
            ]
            if len(holders) > 1:
                self.violations.append(f"{task} at {self.now}: {' and '.join(holders)}")

    def holders(self) -> dict[str, str]:
        """The gateway that holds each task."""
        return {
            task.name: process.name
            for process in self.processes.values()
            if process.leases is not None
            for task in process.leases.tasks.values()
            if task.claim.is_held(process.clock())
        }

    # Faults.

    def _inject(self, fault: Fault) -> None:
        process = self.processes[fault.gateway]
        match fault.kind:
            case FaultKind.KILL | FaultKind.LOSE_DISK:
                if not process.is_dead:
                    process.kill(fault.kind == FaultKind.LOSE_DISK)
            case FaultKind.FREEZE:
                if not process.is_dead:
                    process.freeze()
            case FaultKind.SHUT_DOWN:
                self._shut_down(process)
            case FaultKind.CUT_SENDING | FaultKind.CUT_RECEIVING:
                self._cut(fault)
            case FaultKind.SLOW_LINKS:
                self.extra_delay[process.name] = SLOW_LINK_DELAY_S
            case FaultKind.DUPLICATE:
                self.duplicated_part = DUPLICATED_PART
            case FaultKind.LOSE_MESSAGES:
                self.lost_part = LOST_PART

    def _shut_down(self, process: SimulatedProcess) -> None:
        if process.leases is None:
            return
        process.is_draining = True
        incarnation = process.incarnation

        def released(_: None) -> None:
            if process.incarnation == incarnation:
                process.kill(False)

        process.leases.release_all().addCallback(released)

    def _cut(self, fault: Fault) -> None:
        name, at = fault.gateway, self.clock.seconds()
        others = [fault.other] if fault.other else [other for other in self.processes if other != name]
        for other in others:
            is_sending = fault.kind == FaultKind.CUT_SENDING
            self.cut_since.setdefault((name, other) if is_sending else (other, name), at)

    def _heal(self, fault: Fault) -> None:
        process = self.processes[fault.gateway]
        match fault.kind:
            case FaultKind.KILL | FaultKind.LOSE_DISK | FaultKind.SHUT_DOWN:
                if process.is_dead:
                    process.start()
                elif fault.kind == FaultKind.SHUT_DOWN and process.is_draining:
                    self.clock.callLater(DRAIN_POLL_S, self._heal, fault)
            case FaultKind.FREEZE:
                if process.is_frozen:
                    process.thaw()
            case FaultKind.CUT_SENDING | FaultKind.CUT_RECEIVING:
                self.cut_since.clear()
            case FaultKind.SLOW_LINKS:
                self.extra_delay.pop(process.name, None)
            case FaultKind.DUPLICATE:
                self.duplicated_part = 0.0
            case FaultKind.LOSE_MESSAGES:
                self.lost_part = 0.0


def draw_faults(seed: int, settings: SimulationSettings) -> list[Fault]:
    """The faults of a schedule. A minority of the disks is lost at most: with more, nobody holds."""
    random_source = random.Random(f"{seed}/troubles")
    names = [f"m{number + 1}" for number in range(settings.gateways)]
    faults, lost_disks = list[Fault](), 0
    for _ in range(settings.faults):
        kind, gateway = random_source.choice(tuple(FaultKind)), random_source.choice(names)
        if kind is FaultKind.LOSE_DISK:
            lost_disks += 1
            if 2 * (lost_disks + 1) > settings.voters + 1:
                kind = FaultKind.KILL
        other = random_source.choice([*(name for name in names if name != gateway), ""])
        at = random_source.uniform(FIRST_FAULT_S, settings.length - 1.0)
        faults.append(Fault(kind, gateway, at, random_source.choice(FAULT_DURATIONS_S), other))
    return faults


def run_schedule(
    seed: int, faults: Sequence[Fault], settings: SimulationSettings = DEFAULT_SETTINGS, settle: float = 8.0
) -> Simulation:
    """One schedule, from the first start on."""
    simulation = Simulation(seed, settings)
    simulation.start_all()
    simulation.run(faults, settings.length, settle)
    return simulation


def minimize(faults: Sequence[Fault], fails: Callable[[Sequence[Fault]], bool]) -> list[Fault]:
    """The same schedule without whatever can be left out so that it still fails."""
    remaining, place = list(faults), 0
    while place < len(remaining):
        fewer = remaining[:place] + remaining[place + 1 :]
        if fails(fewer):
            remaining = fewer
        else:
            place += 1
    return remaining
