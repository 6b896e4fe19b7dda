"""Schedules of a watch of copies, drawn from a seed, under one true clock: what managers believe and what is.

The pure parts that serve (`Shard`, `Positions`, `eligible`), with answers that come late and out of order,
news that stand on their way, clocks of other rates, watchers that take over, copies that lag and go back,
sources that are replaced. `broken` turns a part wrong on purpose: the same schedules have to find it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vanerelay.freshness import eligibility
from vanerelay.freshness.hints import Hint
from vanerelay.freshness.replication_positions import Point, Positions, Told
from vanerelay.freshness.shard_updates import Given, Shard
from vanerelay.interface import SECOND
from vanerelay.lab.replication_model import Copies

BROKEN = ("answer", "arrival", "early", "life", "back")
TABLES, ENGINES, MANAGERS = 2, 4, 4
DRIFT = 0.02


@dataclass(slots=True)
class Manager:
    """One manager and its clock: `rate` and `offset` to the true one."""

    name: str
    rate: float
    offset: int
    positions: Positions = field(default_factory=Positions)
    shard: Shard = field(init=False)

    def __post_init__(self) -> None:
        self.shard = Shard(self.positions)

    def clock(self, now: int) -> int:
        return int(now * self.rate) + self.offset


@dataclass(slots=True)
class Way:
    """Something on its way: an engine's answer to its watcher, or news."""

    due: int
    to: Manager
    asked_at: int
    engine: str = ""
    told: dict[int, Told] = field(default_factory=dict)
    number: int = 0
    given: Given | None = None


@dataclass
class World:
    """`wrong`: what was found, in words."""

    seed: int
    broken: str = ""
    now: int = 0
    wrong: list[str] = field(default_factory=list)
    reads: int = 0

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        chance = self.chance
        self.copies = Copies(TABLES)
        self.engines = [f"e{number}" for number in range(ENGINES)]
        for name in self.engines:
            self.copies.join(name, "source", chance.randrange(SECOND))
        self.managers = [
            Manager(f"m{number}", 1 + chance.uniform(-0.005, 0.005), chance.randrange(10**6))
            for number in range(MANAGERS)
        ]
        self.holder, self.number = self.managers[0], 1
        self.holder.shard.begin(1, self.holder.name)
        self.ways = list[Way]()
        self.ended = dict[int, list[tuple[int, tuple[int, int]]]]({table: [] for table in range(TABLES)})

    def play(self, steps: int) -> int:
        """Steps taken: fewer where something was wrong."""
        for step in range(steps):
            self.now += self.chance.randrange(SECOND // 4)
            self._arrive()
            self._something()
            self._read()
            if self.wrong:
                return step + 1
        return steps

    def _something(self) -> None:
        draw, chance, now = self.chance.random(), self.chance, self.now
        engine = chance.choice(self.engines)
        follows = engine in self.copies.followers
        if draw < 0.25:
            table = chance.randrange(TABLES)
            self.ended[table].append((now, self.copies.load(now, table)))
        elif draw < 0.55:
            self._ask(engine)
        elif draw < 0.85:
            self._pull()
        elif draw < 0.89 and follows:
            self.copies.slow(now, engine, chance.randrange(3 * SECOND))
        elif draw < 0.92 and follows:
            self.copies.stick(now, engine, self.copies.followers[engine].stuck_at < 0)
        elif draw < 0.95 and follows:
            self.copies.restore(now, engine, chance.randrange(4))
        elif draw < 0.97 and follows:
            self.copies.lead(now, engine, chance.randrange(SECOND))
        elif draw > 0.98:
            self.number += 1
            self.holder = chance.choice(self.managers)
            self.holder.shard.begin(self.number, self.holder.name)

    def _told(self, engine: str) -> dict[int, Told]:
        source = engine == self.copies.source
        points = [self.copies.point(self.now, engine, table) for table in range(TABLES)]
        life = 1 if self.broken == "life" else 0
        return {table: Told(Point(life or at[0], at[1]), source) for table, at in enumerate(points)}

    def _ask(self, engine: str) -> None:
        """The question goes out; the engine looks a moment later, its answer comes later still."""
        asked_at, chance = self.holder.clock(self.now), self.chance
        self.now += chance.randrange(SECOND // 10)
        due = self.now + chance.randrange(2 * SECOND)
        told = self._told(engine)
        self.ways.append(Way(due, self.holder, asked_at, engine, told, self.number))

    def _pull(self) -> None:
        giver, taker = self.chance.sample(self.managers, 2)
        asked_at = taker.clock(self.now)
        number, upto = taker.shard.wants(asked_at)
        self.now += self.chance.randrange(SECOND // 10)
        given = giver.shard.give(giver.clock(self.now), number, upto)
        self.ways.append(Way(self.now + self.chance.randrange(3 * SECOND), taker, asked_at, given=given))

    def _arrive(self) -> None:
        due = sorted((way for way in self.ways if way.due <= self.now), key=lambda way: way.due)
        self.ways = [way for way in self.ways if way.due > self.now]
        for way in due:
            to, asked_at = way.to, way.asked_at
            if way.given is not None:
                at = to.clock(self.now) if self.broken == "arrival" else asked_at
                to.shard.hear(at, way.given, DRIFT)
                if self.broken == "early":
                    for row in way.given.rows:
                        to.positions.change(row.engine, row.group, row.told)
            elif to is self.holder and way.number == self.number:
                at = to.clock(self.now) if self.broken == "answer" else asked_at
                to.shard.saw(way.engine, at, way.told)

    def _read(self) -> None:
        """A read that comes to one manager now: whatever may serve it has to hold all that it asks."""
        manager, chance = self.chance.choice(self.managers), self.chance
        came, table = manager.clock(self.now), chance.randrange(TABLES)
        stale = chance.choice((0, SECOND // 2, 2 * SECOND, 10 * SECOND))
        asked = eligibility.needs(Hint(stale=stale, behind=chance.choice((0, 0, 1))), (table,), came)
        for engine in self.engines:
            if not eligibility.serves(manager.positions, engine, asked):
                continue
            known = manager.positions.point(engine, table)
            life, number = self.copies.point(self.now, engine, table)
            seen = Point(1 if self.broken == "life" else life, number)
            if self.broken != "back" and not eligibility.held(seen, known, asked, None):
                manager.positions.doubt(engine, table, came)
                continue
            self.reads += 1
            since = self.now - stale * 1.01 - 2  # its clock may run so much apart
            missed = [at for when, at in self.ended[table] if when < since and at > (life, number)]
            if len(missed) > asked.behind or missed and missed[-1][0] > life:
                self.wrong.append(
                    f"{manager.name} reads {table} at {engine}, which holds {life}:{number}, stale {stale}, "
                    f"and lacks {missed[-1]}"
                )


def schedules(seeds: range, steps: int = 200, broken: str = "") -> tuple[int, int, World | None]:
    """How many were wrong, how many reads were judged, and the world of the shortest wrong one."""
    found, reads, shortest, least = 0, 0, None, steps + 1
    for seed in seeds:
        world = World(seed, broken)
        taken = world.play(steps)
        reads += world.reads
        if world.wrong:
            found += 1
            if taken < least:
                shortest, least = world, taken
    return found, reads, shortest
