"""Hinted reads measured: against the source, any copy and the freshest; moments of fault on real processes,
news in fleets of any size, seeded schedules, what a hint costs.
`python -m bench.freshness modes|moments|news|schedules|cost`."""

from __future__ import annotations

import random
import re
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

from bench import plays
from tests.histories import operations, reads
from vanerelay.extension import QueryInfo
from vanerelay.freshness import dissemination, messages
from vanerelay.freshness.config import FreshnessConfig, Watch
from vanerelay.freshness.read_constraints import Leading
from vanerelay.freshness.replication_positions import Point, Positions, Told
from vanerelay.freshness.shard_updates import Shard
from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.lab import staleness_simulation

SITE = (plays.SCRIPTS / "fresh-site.hcl").read_text()
SIDE_BY_SIDE = 3
ASKED = "stale<=1s else=wait"
OFF = re.compile(r"^freshness \{.*?^\}\n", re.MULTILINE | re.DOTALL)
LAGS = ("0ms", "500ms", "2s", "10s", "30s")
ENGINE_FAULTS = [
    ("e2 sticks", 'engines = "e2"\n  do = "stick"'),
    ("e3 lags", 'engines = "e3"\n  do = "lag"\n  delay = "5s"'),
    ("e4 goes back", 'engines = "e4"\n  do = "restore"\n  factor = 4'),
    ("e5 leads", 'engines = "e5"\n  do = "lead"'),
    ("e6 dies", 'engines = "e6"\n  do = "crash"'),
    ("e1 stands still", 'engines = "e1"\n  do = "stall"'),
]


def site(mode: str, lag: str) -> str:
    """Loads go to the source by its place; reads by the hint, to the source by its place, or to any."""
    text = SITE.replace('locations = ["east"]', 'locations = ["src"]').replace(
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
        text = OFF.sub("", text)
    if mode == "source":
        text = text.replace(f'hint   = "{ASKED}"', f'hint   = "{ASKED}"\n  locations = ["src"]')
    if mode == "freshest":
        text = text.replace(ASKED, "stale<=0s else=freshest")
    return text


def modes() -> None:
    """By lag: utility of the reads, how many were older than a second, what became of them."""
    cells = [(lag, mode) for lag in LAGS for mode in ("hints", "any", "source", "freshest")]
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        found = list(pool.map(lambda cell: plays.play(site(cell[1], cell[0]), 1), cells))
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


def moment(seed: int, managers: int, hints: bool) -> plays.Played:
    text = SITE.replace(
        'count     = 6\n  locations = ["east", "west", "north"]\n  options',
        f'count     = {managers}\n  locations = ["east", "west", "north"]\n  options',
    )
    text = text.replace('length = "10s"', 'length = "18s"').replace("served = 0.9", "served = 0.0")
    if not hints:
        text = OFF.sub("", text).replace('locations = ["east"]', 'locations = ["src"]')
        text = text.replace("load   = true", 'load   = true\n  locations = ["src"]')
    return plays.play(text + plays.faults(seed, managers, ENGINE_FAULTS), seed)


def moments(count: int, managers: int = 12, first: int = 0, hints: int = 1) -> None:
    """Each a play of real processes with five faults; `hints` 0: the same without the block."""
    began, bad, read, old = time.monotonic(), 0, 0, 0
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        seeds = range(first, first + count)
        for seed, done in zip(
            seeds, pool.map(lambda seed: moment(seed, managers, bool(hints)), seeds), strict=True
        ):
            wrong = reads.violations(done.rows)
            read += sum(
                row["op"] == "query" and row["result"] == "returned" and bool(row["hint"])
                for row in done.rows
            )
            old += bool(wrong)
            found = [*(wrong if hints else ()), *operations.violations(done.rows)]
            if found or done.findings:
                bad += 1
                print(f"seed {seed}: {found[:3]} {done.findings[:3]}", flush=True)
    print(
        f"{count} moments, {managers} processes, hints {'on' if hints else 'off'}, "
        f"{time.monotonic() - began:.0f} s: {bad} wrong, {read} hinted reads judged, "
        f"{old} plays with a read that breaks its hint"
    )


def news() -> None:
    """One shard of 80 engines with 200 table groups each, watched every 500 ms, heard every 200 ms: by
    managers, how old news are, and who asks whom. Pure parts, one clock; a question takes a millisecond."""
    print("managers  questions/s of an engine  news/s at the most asked  kB/s there  age p50 ms  p99 ms")
    for managers in (3, 12, 50, 200):
        chance = random.Random(1)
        order = [f"m{number}" for number in range(managers)]
        shards = {name: Shard(Positions()) for name in order}
        shards[order[0]].begin(1, order[0])
        engines = [f"e{number}" for number in range(80)]
        numbers = {engine: [0] * 200 for engine in engines}
        due = sorted((chance.randrange(200 * MILLISECOND), name) for name in order[1:])
        asked, bytes_, ages, questions, watch_at = (
            dict.fromkeys(order, 0),
            dict.fromkeys(order, 0),
            list[int](),
            0,
            0,
        )
        span = 20 * SECOND
        while due and due[0][0] < span:
            at, name = due.pop(0)
            while watch_at <= at:
                for place, engine in enumerate(engines):
                    numbers[engine][chance.randrange(200)] += 1
                    rows = {
                        group: Told(Point(1, number), not place)
                        for group, number in enumerate(numbers[engine])
                    }
                    shards[order[0]].saw(engine, watch_at - 20 * MILLISECOND, rows)
                    questions += 1
                watch_at += 500 * MILLISECOND
            whom = dissemination.source(name, order, order[0], 0)
            assert whom is not None
            body = messages.encode(messages.news(shards[whom].give(at, *shards[name].wants(at))))
            given = messages.given(messages.decode(body, messages.News) or messages.News())
            assert given is not None
            shards[name].hear(at - 10, given, 0.02)
            asked[whom] += 1
            bytes_[whom] += len(body)
            if at > span // 2:
                ages += [at - told for told in shards[name].asked.values()]
            due.append((at + 200 * MILLISECOND, name))
            due.sort()
        top = max(order, key=lambda name: asked[name])
        ages.sort()
        print(
            f"{managers:8}  {questions / 80 / 20:24.2f}  {asked[top] / 20:23.1f}"
            f"  {bytes_[top] / 20 / 1000:10.1f}  {ages[len(ages) // 2] / 10:10.0f}"
            f"  {ages[len(ages) * 99 // 100] / 10:6.0f}"
        )


def some(first: int) -> tuple[int, int, Any]:
    found, read, world = staleness_simulation.schedules(range(first, first + 100))
    return found, read, (world.seed, world.wrong) if world is not None else None


def schedules(count: int) -> None:
    began, bad, read = time.monotonic(), 0, 0
    with ProcessPoolExecutor(6) as pool:
        for found, judged, world in pool.map(some, range(10_000, 10_000 + count, 100)):
            bad, read = bad + found, read + judged
            if world is not None:
                print(world)
    print(f"{count} schedules in {time.monotonic() - began:.0f} s: {bad} wrong, {read} reads judged")


def cost() -> None:
    """What leading costs a batch, in microseconds: the median of 20 rounds of 2,000."""
    positions = Positions()
    for engine in range(8):
        for group in range(100):
            positions.change(f"e{engine}", group, Told(Point(1, 5), engine == 0))
        positions.asked(f"e{engine}", 1000)
    entries = [SimpleNamespace(entry=SimpleNamespace(engine=n, name=f"e{n}"), sound=True) for n in range(8)]
    freshness = SimpleNamespace(
        parts=FreshnessConfig(Watch(("@ID@",))),
        positions=positions,
        clock=lambda: 1000,
        whole=True,
        moved=None,
    )
    later = SimpleNamespace(callLater=lambda *_: SimpleNamespace(active=lambda: False))
    leading = Leading(SimpleNamespace(reactor=later), freshness, random.Random(1))  # type: ignore[arg-type]
    leading.there = lambda: {one.entry.name: one for one in entries}  # type: ignore[method-assign]
    lead = SimpleNamespace(among=lambda engines: None, refuse=lambda wait: None)
    plain = "SELECT a, b, c FROM sales_7.orders WHERE d = 4 -- w=1"
    for what, statement in (
        ("a read without a hint", plain),
        ("a load", "INSERT INTO sales_7.orders SELECT a, b, c FROM staged"),
        ("a read with a hint", f"/*+ vanerelay stale<=5s else=wait */ {plain}"),
    ):
        want, spans = QueryInfo("x", "g", statement, SECOND, SECOND), list[float]()
        for _ in range(20):
            began = time.perf_counter()
            for _ in range(2000):
                guide = leading.guide(want)
                if guide is not None:
                    assert not isinstance(guide, str)
                    guide.start(lead)
                    guide.finished()
            spans.append((time.perf_counter() - began) / 2000 * 1e6)
        print(f"{what}: {statistics.median(spans):.1f} us")


if __name__ == "__main__":
    what, numbers = sys.argv[1], [int(word) for word in sys.argv[2:]]
    {"modes": modes, "moments": moments, "news": news, "schedules": schedules, "cost": cost}[what](*numbers)  # type: ignore[operator]
