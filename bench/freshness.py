"""Hinted reads measured: against the source, any replica and the freshest; scenarios with faults; the cost.

Also how old shard updates are in fleets of any size, and seeded schedules of the pure modules:
`python -m bench.freshness modes|moments|news|schedules|cost`.
"""

from __future__ import annotations

import random
import re
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass, field
from types import SimpleNamespace

from bench import plays
from tests.histories import operations, reads
from vanerelay.extension import QueryInfo
from vanerelay.freshness import dissemination, messages
from vanerelay.freshness.config import FreshnessConfig, WatchConfig
from vanerelay.freshness.constraint_router import ConstraintRouter
from vanerelay.freshness.replication_positions import Position, ReplicaState, ReplicationPositions
from vanerelay.freshness.shard_updates import ShardState
from vanerelay.interface import MILLISECOND, SECOND, EngineState
from vanerelay.lab import staleness_simulation

BASE_SCENARIO = (plays.SCRIPTS / "fresh-site.hcl").read_text()
PARALLEL_SCENARIOS = 3
HINT = "stale<=1s else=wait"
FRESHNESS_BLOCK = re.compile(r"^freshness \{.*?^\}\n", re.MULTILINE | re.DOTALL)
ENGINES, TABLE_GROUPS = 80, 200
POLL_INTERVAL, UPDATE_INTERVAL = 500 * MILLISECOND, 200 * MILLISECOND
LAGS = ("0ms", "500ms", "2s", "10s", "30s")
ENGINE_FAULTS = [
    ("e2 sticks", 'engines = "e2"\n  do = "stick"'),
    ("e3 lags", 'engines = "e3"\n  do = "lag"\n  delay = "5s"'),
    ("e4 goes back", 'engines = "e4"\n  do = "restore"\n  factor = 4'),
    ("e5 leads", 'engines = "e5"\n  do = "lead"'),
    ("e6 dies", 'engines = "e6"\n  do = "crash"'),
    ("e1 stands still", 'engines = "e1"\n  do = "stall"'),
]


def scenario(mode: str, lag: str) -> str:
    """Loads go to the source by its zone; reads by the hint, to the source by its zone, or to any."""
    text = BASE_SCENARIO.replace('locations = ["east"]', 'locations = ["src"]').replace(
        'length = "10s"', 'length = "20s"'
    )
    text = re.sub(r'group "(session|own)" \{.*?\n\}\n', "", text, flags=re.DOTALL)
    text = text.replace("load   = true", 'load   = true\n  locations = ["src"]')
    text = text.replace("rate   = 25", "rate   = 160").replace(
        'work   = "30ms"\n  memory = 60\n  hint', 'work   = "60ms"\n  memory = 60\n  hint'
    )
    text = text.replace('lag       = "150ms"', f'lag       = "{lag}"').replace("served = 0.9", "served = 0.0")
    text = text.replace('since  = "3s"', 'since  = "5s"')
    if mode in ("any", "source"):
        text = FRESHNESS_BLOCK.sub("", text)
    if mode == "source":
        text = text.replace(f'hint   = "{HINT}"', f'hint   = "{HINT}"\n  locations = ["src"]')
    if mode == "freshest":
        text = text.replace(HINT, "stale<=0s else=freshest")
    return text


def modes() -> None:
    """Prints by lag: the value of the reads, how many were older than a second, what became of them."""
    cells = [(lag, mode) for lag in LAGS for mode in ("hints", "any", "source", "freshest")]
    with ThreadPoolExecutor(PARALLEL_SCENARIOS) as pool:
        found = list(pool.map(lambda cell: plays.play(scenario(cell[1], cell[0]), 1), cells))
    print("lag    mode       read  utility  older than 1 s  pushed back  asked/s of an engine")
    for (lag, mode), done in zip(cells, found, strict=True):
        rows = [dict(row, hint="stale<=1s") if row.get("hint") else row for row in done.rows]
        ended = [row["result"] for row in rows if row["op"] == "query" and row["group"] == "look"]
        asked = sum(row["op"] == "order" for row in rows) / 20 / 7
        print(
            f"{lag:6} {mode:9} {ended.count('returned'):5}  {done.told['served_since']:7.3f}  "
            f"{len(reads.older(rows)):14}  {ended.count('pushed back'):11}  {asked:5.2f}  "
            f"{done.findings[:1] or ''}"
        )


def moment(seed: int, gateways: int, hints: bool) -> plays.Played:
    """Runs one scenario with faults drawn from a seed."""
    text = BASE_SCENARIO.replace(
        'count     = 6\n  locations = ["east", "west", "north"]\n  options',
        f'count     = {gateways}\n  locations = ["east", "west", "north"]\n  options',
    )
    text = text.replace('length = "10s"', 'length = "18s"').replace("served = 0.9", "served = 0.0")
    if not hints:
        text = FRESHNESS_BLOCK.sub("", text).replace('locations = ["east"]', 'locations = ["src"]')
        text = text.replace("load   = true", 'load   = true\n  locations = ["src"]')
    return plays.play(text + plays.faults(seed, gateways, ENGINE_FAULTS), seed)


def moments(count: int, gateways: int = 12, first: int = 0, hints: int = 1) -> None:
    """Runs scenarios of real processes with five faults each; `hints` 0: the same without the block."""
    began, failed, hinted_reads, stale_runs = time.monotonic(), 0, 0, 0
    with ThreadPoolExecutor(PARALLEL_SCENARIOS) as pool:
        seeds = range(first, first + count)
        for seed, done in zip(
            seeds, pool.map(lambda seed: moment(seed, gateways, bool(hints)), seeds), strict=True
        ):
            violations = reads.violations(done.rows)
            hinted_reads += sum(
                row["op"] == "query" and row["result"] == "returned" and bool(row["hint"])
                for row in done.rows
            )
            stale_runs += bool(violations)
            found = [*(violations if hints else ()), *operations.violations(done.rows)]
            if found or done.findings:
                failed += 1
                print(f"seed {seed}: {found[:3]} {done.findings[:3]}", flush=True)
    print(
        f"{count} moments, {gateways} processes, hints {'on' if hints else 'off'}, "
        f"{time.monotonic() - began:.0f} s: {failed} wrong, {hinted_reads} hinted reads judged, "
        f"{stale_runs} plays with a read that breaks its hint"
    )


@dataclass
class SimulatedFleet:
    """A watcher of one shard and gateways that fetch its updates; pure modules, one clock.

    Attributes:
        requests: Requests that each gateway answered, by name.
        sent_bytes: What it sent, by name.
        ages: How old reports were at gateways, in the second half.
        polls: Polls of engines.
    """

    gateways: int
    requests: dict[str, int] = field(default_factory=dict)
    sent_bytes: dict[str, int] = field(default_factory=dict)
    ages: list[int] = field(default_factory=list)
    polls: int = 0

    def __post_init__(self) -> None:
        self.chance = random.Random(1)
        self.order = [f"m{number}" for number in range(self.gateways)]
        self.watcher = self.order[0]
        self.shards = {name: ShardState(ReplicationPositions()) for name in self.order}
        self.shards[self.watcher].take_over(1, self.watcher)
        self.numbers = {f"e{number}": [0] * TABLE_GROUPS for number in range(ENGINES)}
        self.requests = dict.fromkeys(self.order, 0)
        self.sent_bytes = dict.fromkeys(self.order, 0)

    def run(self, duration: int) -> None:
        """Polls engines and fetches updates for a while."""
        due = sorted((self.chance.randrange(UPDATE_INTERVAL), name) for name in self.order[1:])
        poll_at = 0
        while due and due[0][0] < duration:
            at, name = due.pop(0)
            while poll_at <= at:
                self.poll_engines(poll_at)
                poll_at += POLL_INTERVAL
            self.fetch(at, name)
            if at > duration // 2:
                self.ages += [at - polled_at for polled_at in self.shards[name].polled_at.values()]
            due.append((at + UPDATE_INTERVAL, name))
            due.sort()

    def poll_engines(self, at: int) -> None:
        """Each engine has had one load since the last poll, and reports."""
        for place, (engine, numbers) in enumerate(self.numbers.items()):
            numbers[self.chance.randrange(TABLE_GROUPS)] += 1
            states = {
                group: ReplicaState(Position(1, number), is_source=not place)
                for group, number in enumerate(numbers)
            }
            self.shards[self.watcher].engine_polled(engine, at - 20 * MILLISECOND, states)
            self.polls += 1

    def fetch(self, at: int, name: str) -> None:
        """A gateway fetches what is new; the request takes a millisecond."""
        source = dissemination.update_source(name, self.order, self.watcher, 0)
        assert source is not None
        update = self.shards[source].update_for(at, self.shards[name].next_request(at))
        body = messages.encode(messages.shard_update_message(update))
        message = messages.decode(body, messages.ShardUpdateMessage)
        assert message is not None
        received = messages.shard_update(message)
        assert received is not None
        self.shards[name].apply(at - MILLISECOND, received, 0.02)
        self.requests[source] += 1
        self.sent_bytes[source] += len(body)


def news() -> None:
    """Prints by number of gateways: how old reports are, and who is asked how often.

    One shard of 80 engines with 200 table groups each, polled every 500 ms, updates fetched every 200 ms.
    """
    print("managers  questions/s of an engine  news/s at the most asked  kB/s there  age p50 ms  p99 ms")
    duration_s = 20
    for gateways in (3, 12, 50, 200):
        fleet = SimulatedFleet(gateways)
        fleet.run(duration_s * SECOND)
        busiest = max(fleet.order, key=lambda name: fleet.requests[name])
        ages = sorted(fleet.ages)
        print(
            f"{gateways:8}  {fleet.polls / ENGINES / duration_s:24.2f}"
            f"  {fleet.requests[busiest] / duration_s:23.1f}"
            f"  {fleet.sent_bytes[busiest] / duration_s / 1000:10.1f}  {ages[len(ages) // 2] / 10:10.0f}"
            f"  {ages[len(ages) * 99 // 100] / 10:6.0f}"
        )


def hundred_schedules(first: int) -> staleness_simulation.Result:
    """Runs a hundred schedules from a seed on."""
    return staleness_simulation.run_schedules(range(first, first + 100))


def schedules(count: int) -> None:
    """Runs seeded schedules of the pure modules and prints what they found."""
    began, violated, reads_judged = time.monotonic(), 0, 0
    with ProcessPoolExecutor(6) as pool:
        for result in pool.map(hundred_schedules, range(10_000, 10_000 + count, 100)):
            violated, reads_judged = violated + result.violated, reads_judged + result.reads
            if result.shortest is not None:
                print((result.shortest.seed, result.shortest.violations))
    duration_s = time.monotonic() - began
    print(f"{count} schedules in {duration_s:.0f} s: {violated} wrong, {reads_judged} reads judged")


class UnheldQuery:
    """A query that is not there: what its constraint decides goes nowhere."""

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        """Its engines are named."""

    def reject(self, retry_after: int) -> None:
        """It is rejected."""


def make_router() -> ConstraintRouter:
    """A router over 8 engines with 100 table groups each, without a program around it."""
    positions = ReplicationPositions()
    for engine in range(8):
        for group in range(100):
            positions.update(f"e{engine}", group, ReplicaState(Position(1, 5), engine == 0))
        positions.mark_polled(f"e{engine}", 1000)
    statuses = [
        SimpleNamespace(
            entry=SimpleNamespace(index=index, name=f"e{index}", state=EngineState.UP), usable=True
        )
        for index in range(8)
    ]
    service = SimpleNamespace(
        config=FreshnessConfig(WatchConfig(("@ID@",))),
        positions=positions,
        clock=lambda: 1000,
        knows_all_shards=True,
        records=None,
        on_update=None,
    )
    reactor = SimpleNamespace(callLater=lambda *_: SimpleNamespace(active=lambda: False))
    gateway = SimpleNamespace(engine_statuses=lambda: statuses)
    host = SimpleNamespace(reactor=reactor, gateway=gateway)
    return ConstraintRouter(host, service, random.Random(1))  # type: ignore[arg-type]


def cost() -> None:
    """Prints what a constraint costs a query, in microseconds: the median of 20 rounds of 2,000."""
    router = make_router()
    query = UnheldQuery()
    plain = "SELECT a, b, c FROM sales_7.orders WHERE d = 4 -- w=1"
    for what, statement in (
        ("a read without a hint", plain),
        ("a load", "INSERT INTO sales_7.orders SELECT a, b, c FROM staged"),
        ("a read with a hint", f"/*+ vanerelay stale<=5s else=wait */ {plain}"),
    ):
        info, durations = QueryInfo("x", "g", statement, SECOND, SECOND), list[float]()
        for _ in range(20):
            began = time.perf_counter()
            for _ in range(2000):
                constraint = router.constrain(info)
                if constraint is not None:
                    assert not isinstance(constraint, str)
                    constraint.start(query)
                    constraint.finished()
            durations.append((time.perf_counter() - began) / 2000 * 1e6)
        print(f"{what}: {statistics.median(durations):.1f} us")


if __name__ == "__main__":
    command, numbers = sys.argv[1], [int(argument) for argument in sys.argv[2:]]
    commands = {"modes": modes, "moments": moments, "news": news, "schedules": schedules, "cost": cost}
    commands[command](*numbers)  # type: ignore[operator]
