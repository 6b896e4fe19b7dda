"""A simulated gateway process for `lease_simulation`: what the served leases need, under a virtual clock.

Each class stands in for one thing that `vanerelay.leases.service.Leases` is given: a reactor, a store, a
fleet with its failure detector and links, a history.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.interface import SECOND
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.service import Leases

if TYPE_CHECKING:
    from vanerelay.lab.lease_simulation import Simulation

OPERATION_INTERVAL_S = 0.07
"""Between operations of a holder."""
MAX_OPERATION = SECOND // 10
"""What an operation takes at most."""
MAX_CHECK_TO_SEND_S = 0.002
"""Between the check of the lease and the operation itself; a process may freeze in between."""
OPERATION_DELAY_S = (0.001, 0.02)
"""How long an operation, or its reply, is on its way."""
STORE_DELAY_S = (0.0005, 0.01)
"""How long the store takes for a commit."""
PROGRAM = "1.0-a"
"""The release that all gateways run."""


class Timer:
    """A call that waits while its process is frozen, and is lost with it."""

    def __init__(self, process: SimulatedProcess, call: Callable[[], None]) -> None:
        self._process, self._call, self._is_over = process, call, False
        self.incarnation = process.incarnation

    def active(self) -> bool:
        """Whether it has been neither called nor cancelled."""
        return not self._is_over

    def cancel(self) -> None:
        """It is not called any more."""
        self._is_over = True

    def due(self) -> None:
        """Its time has come."""
        if self._is_over or self._process.incarnation != self.incarnation:
            return
        if self._process.is_frozen:
            self._process.backlog.append(self)
            return
        self._is_over = True
        self._call()


class SimulatedReactor:
    """The reactor of one process."""

    def __init__(self, process: SimulatedProcess) -> None:
        self._process = process

    def callLater(self, delay: float, call: Callable[..., Any], *values: Any) -> Timer:
        """As of Twisted's reactors."""
        timer = Timer(self._process, lambda: call(*values))
        self._process.simulation.clock.callLater(max(0.0, delay), timer.due)
        return timer


class SimulatedStore:
    """The store of one machine: it outlives its processes. A commit takes a little while."""

    def __init__(self, process: SimulatedProcess) -> None:
        self._process = process

    def load(self, space: str) -> dict[str, bytes]:
        """As `DurableStore.load`."""
        return dict(self._process.records)

    def put(self, space: str, records: dict[str, bytes | None]) -> Deferred[None]:
        """As `DurableStore.put`."""
        done: Deferred[None] = Deferred()
        process = self._process

        def committed() -> None:
            process.records |= {key: body for key, body in records.items() if body is not None}
            done.callback(None)

        process.reactor.callLater(process.simulation.random.uniform(*STORE_DELAY_S), committed)
        return done

    def read_operator_file(self, name: str) -> str:
        """As `DurableStore.read_operator_file`."""
        return self._process.era_file

    def remove_operator_file(self, name: str) -> None:
        """As `DurableStore.remove_operator_file`."""
        self._process.era_file = ""

    def close(self) -> None:
        """As `DurableStore.close`."""


@dataclass
class SimulatedHistory:
    """The history of one party, in the simulation's memory."""

    simulation: Simulation
    party: str

    def now(self) -> int:
        """The virtual clock, for all parties the same."""
        return self.simulation.now

    def add(self, op: str, begin: int, end: int | None = None, **values: Any) -> None:
        """As `History.add`."""
        row = {"party": self.party, "op": op, "begin": begin, "end": self.now() if end is None else end}
        self.simulation.rows.append(row | values)


class SimulatedFailureDetector:
    """Who is alive, as the simulation shows it to one gateway."""

    replaced, has_joined = False, True

    def __init__(self, process: SimulatedProcess) -> None:
        self._process = process

    @property
    def own(self) -> Member:
        """The gateway itself."""
        state = "draining" if self._process.is_draining else "serving"
        return Member(self._process.name, 1, state=state, program=PROGRAM)

    @property
    def members(self) -> dict[str, Member]:
        """All gateways by name."""
        simulation = self._process.simulation
        if simulation.is_healthy:
            return simulation.all_alive
        found = {self._process.name: self.own}
        for name, other in simulation.processes.items():
            if other is not self._process:
                is_seen = simulation.sees(self._process, other)
                status = MemberState.ALIVE if is_seen else MemberState.GONE
                state = "draining" if other.is_draining else "serving"
                found[name] = Member(name, 1, status=status, state=state, program=PROGRAM)
        return found


@dataclass
class SimulatedRpcNode:
    """The handlers of requests, by kind."""

    handlers: dict[str, Callable[[bytes], Any]] = field(default_factory=dict)


class SimulatedFleet:
    """What leases need of a fleet."""

    def __init__(self, process: SimulatedProcess) -> None:
        self._process, self.name = process, process.name
        self.rpc, self.detector = SimulatedRpcNode(), SimulatedFailureDetector(process)

    def call(self, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        """Sends a request to another gateway."""
        return self._process.simulation.send_request(self._process, name, kind, body, patience_s)


class SimulatedProcess:
    """One gateway over all its processes.

    Attributes:
        incarnation: counts its processes and their ends; what belongs to an earlier one is lost.
        unreachable_since: when it died or froze, in seconds.
        backlog: timers that wait for the process to thaw.
        records, era_file: what its disk holds.
    """

    def __init__(self, simulation: Simulation, name: str, rate: float) -> None:
        """`rate` is how fast its clock runs beside the virtual one."""
        self.simulation, self.name, self.rate, self.config = simulation, name, rate, simulation.config
        self.incarnation, self.is_frozen, self.is_dead, self.is_draining = 0, False, True, False
        self.unreachable_since = 0.0
        self.backlog = list[Timer]()
        self.records, self.era_file = dict[str, bytes](), ""
        self.reactor = SimulatedReactor(self)
        self.fleet: SimulatedFleet | None = None
        self.leases: Leases | None = None

    def clock(self) -> int:
        """Its machine's clock, which no start of a process resets."""
        return int(self.simulation.clock.seconds() * self.rate * SECOND)

    def start(self) -> None:
        """Starts a process with all tasks."""
        simulation = self.simulation
        self.incarnation += 1
        self.is_dead = self.is_frozen = self.is_draining = False
        self.backlog.clear()
        self.fleet = SimulatedFleet(self)
        store: Any = SimulatedStore(self) if self.name in self.config.voters.names else None
        reactor: Any = self.reactor
        fleet: Any = self.fleet
        process_id = simulation.random.getrandbits(48)
        self.leases = Leases(reactor, fleet, self.config, simulation.random, process_id, store, self.clock)
        history: Any = SimulatedHistory(simulation, self.name)
        self.leases.history = history
        for number in range(simulation.settings.tasks):
            self.leases.add_task(f"t{number}", self._acquired, _ignore)
        self.leases.start()

    def _acquired(self, holder: LeaseHolder) -> None:
        self._act(holder, holder.token)

    def _act(self, holder: LeaseHolder, token: int) -> None:
        """An operation now and then. The process may freeze between its check and the operation itself."""
        leases, simulation = self.leases, self.simulation
        if leases is None or holder.token != token or holder.is_releasing:
            return
        if self.clock() >= holder.expires_at:
            return
        operation = holder.begin(self.clock(), MAX_OPERATION)
        if operation is not None:
            delay = simulation.random.uniform(0.0, MAX_CHECK_TO_SEND_S)
            self.reactor.callLater(delay, self._send, leases, holder, operation)
        self.reactor.callLater(OPERATION_INTERVAL_S, self._act, holder, token)

    def _send(self, leases: Leases, holder: LeaseHolder, operation: LeasedOperation) -> None:
        simulation, begin = self.simulation, self.simulation.now
        receiver = simulation.receivers[simulation.random.randrange(len(simulation.receivers))]

        def replied(newer_token: int) -> None:
            holder.end(operation)
            result = "err" if newer_token else "ok"
            leases.history.add("deed", begin, result=result, **operation_row(operation))
            if newer_token:
                leases.report_newer_token(operation, newer_token)

        delay = simulation.random.uniform(*OPERATION_DELAY_S)

        def reply(newer_token: int) -> None:
            self.reactor.callLater(delay, replied, newer_token)

        simulation.clock.callLater(delay, receiver.receive, operation, reply)

    def kill(self, disk_is_lost: bool) -> None:
        """The process dies, perhaps with its disk."""
        self.incarnation += 1
        self.is_dead, self.leases = True, None
        self.unreachable_since = self.simulation.clock.seconds()
        self.backlog.clear()
        if disk_is_lost:
            self.records.clear()
            self.era_file = ""

    def freeze(self) -> None:
        """The process stands still until it is thawed."""
        self.is_frozen, self.unreachable_since = True, self.simulation.clock.seconds()

    def thaw(self) -> None:
        """The process goes on: whatever was due meanwhile is done now."""
        self.is_frozen = False
        backlog, self.backlog = self.backlog, []
        for timer in backlog:
            self.reactor.callLater(0.0, timer.due)


def _ignore(_: LeaseHolder) -> None:
    """Nothing is to be done when a lease is lost: `SimulatedProcess._act` ends by itself."""


def operation_row(operation: LeasedOperation) -> dict[str, Any]:
    """The fields of an operation in a history; checkers read these keys."""
    return {
        "task": operation.task,
        "number": operation.token,
        "serial": operation.serial,
        "holder": operation.holder,
    }
