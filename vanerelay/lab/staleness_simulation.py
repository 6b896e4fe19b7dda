"""Seeded schedules of a watch of replicas, under one true clock: what gateways believe, and what is.

The pure modules that serve (`ShardState`, `ReplicationPositions`, `eligibility`), with answers that come
late and out of order, updates that are delayed, clocks of other rates, watchers that take over, replicas
that lag and are restored, sources that are replaced. A `Flaw` breaks one module on purpose: the same
schedules have to find it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from vanerelay.freshness import eligibility
from vanerelay.freshness.hints import Hint
from vanerelay.freshness.replication_positions import Position, ReplicaState, ReplicationPositions
from vanerelay.freshness.shard_updates import ShardState, ShardUpdate
from vanerelay.interface import SECOND
from vanerelay.lab.replication_model import Copies

TABLE_GROUPS, ENGINES, GATEWAYS = 2, 4, 4

MAX_DRIFT = 0.02
"""The bound on clocks' rates that gateways are configured with."""

TRUE_DRIFT = 0.005
"""How far a gateway's clock may run from the true one."""

JUDGED_DRIFT = 1.01
"""By how much a duration on a gateway's clock may differ from the true one, as reads are judged."""

FLAWED_INCARNATION = 1
"""The one incarnation that the flaw ONE_INCARNATION reports."""


class Flaw(Enum):
    """What is broken on purpose."""

    COUNT_FROM_ANSWER = "answer"
    """A report counts from when its answer came, not from when it was asked for."""
    COUNT_FROM_ARRIVAL = "arrival"
    """An update counts from when it came, not from when it was asked for."""
    BELIEVE_EARLY = "early"
    """Rows are believed before all rows of their engine are there."""
    ONE_INCARNATION = "life"
    """All numberings are reported as one."""
    TRUST_ANSWERS = "back"
    """Answers are not compared with what their replica was known to hold."""


@dataclass(slots=True)
class SimulatedGateway:
    """One gateway and its clock: `rate` and `offset` to the true one."""

    name: str
    rate: float
    offset: int
    positions: ReplicationPositions = field(default_factory=ReplicationPositions)
    shard: ShardState = field(init=False)

    def __post_init__(self) -> None:
        self.shard = ShardState(self.positions)

    def clock(self, now: int) -> int:
        """The time on its clock."""
        return int(now * self.rate) + self.offset


@dataclass(slots=True)
class InFlight:
    """Something in flight: an engine's report to its watcher, or an update."""

    due: int
    receiver: SimulatedGateway
    asked_at: int
    engine: str = ""
    states: dict[int, ReplicaState] = field(default_factory=dict)
    token: int = 0
    update: ShardUpdate | None = None


@dataclass(frozen=True, slots=True)
class EndedLoad:
    """A load: when it ended, and the incarnation and number that it ended at."""

    ended_at: int
    end: tuple[int, int]


@dataclass
class World:
    """One schedule.

    Attributes:
        violations: Reads that lacked what they demanded, in words.
        reads: Reads that were judged.
    """

    seed: int
    flaw: Flaw | None = None
    now: int = 0
    violations: list[str] = field(default_factory=list)
    reads: int = 0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        chance = self.chance
        self.replicas = Copies(TABLE_GROUPS)
        self.engines = [f"e{number}" for number in range(ENGINES)]
        for name in self.engines:
            self.replicas.join(name, "source", chance.randrange(SECOND))
        self.gateways = [
            SimulatedGateway(
                f"m{number}", 1 + chance.uniform(-TRUE_DRIFT, TRUE_DRIFT), chance.randrange(10**6)
            )
            for number in range(GATEWAYS)
        ]
        self.watcher, self.token = self.gateways[0], 1
        self.watcher.shard.take_over(1, self.watcher.name)
        self.in_flight = list[InFlight]()
        self.ended_loads: dict[int, list[EndedLoad]] = {group: [] for group in range(TABLE_GROUPS)}

    def run(self, steps: int) -> int:
        """Runs the schedule until a violation; returns the steps taken."""
        for step in range(steps):
            self.now += self.chance.randrange(SECOND // 4)
            self._deliver()
            self._take_step()
            self._read()
            if self.violations:
                return step + 1
        return steps

    def _take_step(self) -> None:
        draw, chance, now = self.chance.random(), self.chance, self.now
        engine = chance.choice(self.engines)
        if draw < 0.25:
            group = chance.randrange(TABLE_GROUPS)
            self.ended_loads[group].append(EndedLoad(now, self.replicas.load(now, group)))
        elif draw < 0.55:
            self._poll(engine)
        elif draw < 0.85:
            self._fetch_update()
        elif draw < 0.97 and engine in self.replicas.followers:
            self._disturb(engine, draw)
        elif draw > 0.98:
            self.token += 1
            self.watcher = chance.choice(self.gateways)
            self.watcher.shard.take_over(self.token, self.watcher.name)

    def _disturb(self, engine: str, draw: float) -> None:
        """Something happens to an engine that follows the source."""
        chance, now = self.chance, self.now
        if draw < 0.89:
            self.replicas.slow(now, engine, chance.randrange(3 * SECOND))
        elif draw < 0.92:
            self.replicas.stick(now, engine, self.replicas.followers[engine].stuck_at < 0)
        elif draw < 0.95:
            self.replicas.restore(now, engine, chance.randrange(4))
        else:
            self.replicas.lead(now, engine, chance.randrange(SECOND))

    def _reported_incarnation(self, incarnation: int) -> int:
        return FLAWED_INCARNATION if self.flaw is Flaw.ONE_INCARNATION else incarnation

    def _report(self, engine: str) -> dict[int, ReplicaState]:
        is_source = engine == self.replicas.source
        states = dict[int, ReplicaState]()
        for group in range(TABLE_GROUPS):
            incarnation, number = self.replicas.point(self.now, engine, group)
            position = Position(self._reported_incarnation(incarnation), number)
            states[group] = ReplicaState(position, is_source)
        return states

    def _poll(self, engine: str) -> None:
        """A poll goes out; the engine reads its state a moment later, its answer comes later still."""
        asked_at, chance = self.watcher.clock(self.now), self.chance
        self.now += chance.randrange(SECOND // 10)
        due = self.now + chance.randrange(2 * SECOND)
        states = self._report(engine)
        self.in_flight.append(InFlight(due, self.watcher, asked_at, engine, states, self.token))

    def _fetch_update(self) -> None:
        giver, receiver = self.chance.sample(self.gateways, 2)
        asked_at = receiver.clock(self.now)
        request = receiver.shard.next_request(asked_at)
        self.now += self.chance.randrange(SECOND // 10)
        update = giver.shard.update_for(giver.clock(self.now), request)
        due = self.now + self.chance.randrange(3 * SECOND)
        self.in_flight.append(InFlight(due, receiver, asked_at, update=update))

    def _deliver(self) -> None:
        due = sorted((one for one in self.in_flight if one.due <= self.now), key=lambda one: one.due)
        self.in_flight = [one for one in self.in_flight if one.due > self.now]
        for one in due:
            if one.update is not None:
                self._deliver_update(one, one.update)
            elif one.receiver is self.watcher and one.token == self.token:
                late = self.flaw is Flaw.COUNT_FROM_ANSWER
                polled_at = one.receiver.clock(self.now) if late else one.asked_at
                one.receiver.shard.engine_polled(one.engine, polled_at, one.states)

    def _deliver_update(self, delivery: InFlight, update: ShardUpdate) -> None:
        receiver = delivery.receiver
        late = self.flaw is Flaw.COUNT_FROM_ARRIVAL
        requested_at = receiver.clock(self.now) if late else delivery.asked_at
        receiver.shard.apply(requested_at, update, MAX_DRIFT)
        if self.flaw is Flaw.BELIEVE_EARLY:
            for row in update.rows:
                receiver.positions.update(row.engine, row.table_group, row.state)

    def _read(self) -> None:
        """A read is received by one gateway now: whatever may serve it has to hold all that it demands."""
        gateway, chance = self.chance.choice(self.gateways), self.chance
        received_at, group = gateway.clock(self.now), chance.randrange(TABLE_GROUPS)
        staleness = chance.choice((0, SECOND // 2, 2 * SECOND, 10 * SECOND))
        hint = Hint(max_staleness=staleness, max_loads_behind=chance.choice((0, 0, 1)))
        required = eligibility.requirement(hint, (group,), received_at)
        for engine in self.engines:
            if not eligibility.satisfies(gateway.positions, engine, required):
                continue
            known = gateway.positions.position(engine, group)
            incarnation, number = self.replicas.point(self.now, engine, group)
            answered = Position(self._reported_incarnation(incarnation), number)
            trusted = self.flaw is Flaw.TRUST_ANSWERS
            if not trusted and not eligibility.answer_satisfies(answered, known, required, None):
                gateway.positions.distrust(engine, group, received_at)
                continue
            self.reads += 1
            self._judge(gateway, engine, group, required, staleness)

    def _judge(
        self,
        gateway: SimulatedGateway,
        engine: str,
        group: int,
        required: eligibility.ReadRequirement,
        staleness: int,
    ) -> None:
        incarnation, number = held = self.replicas.point(self.now, engine, group)
        since = self.now - staleness * JUDGED_DRIFT - 2
        missed = [load.end for load in self.ended_loads[group] if load.ended_at < since and load.end > held]
        too_many = len(missed) > required.max_loads_behind
        if too_many or (missed and missed[-1][0] > incarnation):
            self.violations.append(
                f"{gateway.name} reads {group} at {engine}, which holds {incarnation}:{number}, "
                f"stale {staleness}, and lacks {missed[-1]}"
            )


@dataclass(frozen=True, slots=True)
class Result:
    """What several schedules found.

    Attributes:
        violated: Schedules with a violation.
        reads: Reads that were judged.
        shortest: The world of the shortest schedule with a violation.
    """

    violated: int
    reads: int
    shortest: World | None


def run_schedules(seeds: range, steps: int = 200, flaw: Flaw | None = None) -> Result:
    """Runs one schedule for each seed."""
    violated, reads, shortest, fewest_steps = 0, 0, None, steps + 1
    for seed in seeds:
        world = World(seed, flaw)
        taken = world.run(steps)
        reads += world.reads
        if world.violations:
            violated += 1
            if taken < fewest_steps:
                shortest, fewest_steps = world, taken
    return Result(violated, reads, shortest)
