"""Leases measured: messages at rest, time without a holder, seeded schedules, faults on real processes.

`python -m bench.leases rest|schedules|gaps|processes`.
"""

from __future__ import annotations

import logging
import random
import statistics
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass

import structlog

from bench import plays
from tests.histories import operations, register
from vanerelay.interface import SECOND
from vanerelay.lab.lease_simulation import (
    Fault,
    Simulation,
    SimulationSettings,
    draw_faults,
    minimize,
    run_schedule,
)
from vanerelay.leases.voter import LeaseTerms

SITE = plays.SCRIPTS / "lease-site.hcl"
CONCURRENT_SCENARIOS = 3
"""Scenarios of twelve processes that run at once: more would starve each other."""


def started(settings: SimulationSettings, seed: int = 1) -> Simulation:
    """A simulation whose gateways have started."""
    simulation = Simulation(seed, settings)
    simulation.start_all()
    return simulation


def rest() -> None:
    """Messages a second of the whole fleet, with terms of 10 s, by gateways and tasks."""
    print("managers  voters  tasks  messages/s  of the most loaded manager")
    for managers, voters, tasks in ((3, 3, 3), (12, 3, 12), (12, 5, 60), (200, 5, 60), (200, 5, 200)):
        terms = LeaseTerms(term=10 * SECOND, max_term=10 * SECOND)
        simulation = started(SimulationSettings(gateways=managers, voters=voters, tasks=tasks, terms=terms))
        simulation.run([], 40.0)
        before, total = requests_sent(simulation), simulation.messages
        simulation.run([], 60.0)
        after = requests_sent(simulation)
        most = max(after[name] - before[name] for name in after)
        rate = (simulation.messages - total) / 60
        print(f"{managers:8}  {voters:6}  {tasks:5}  {rate:10.1f}  {most / 60:8.2f}", flush=True)


def requests_sent(simulation: Simulation) -> dict[str, int]:
    """Requests to voters so far, by gateway."""
    return {
        name: process.leases.requests_sent
        for name, process in simulation.processes.items()
        if process.leases is not None
    }


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """One schedule: what was wrong, operations that receivers took, and those that began too late."""

    seed: int
    violations: list[str]
    taken: int
    late: int


def schedule_settings(seed: int) -> SimulationSettings:
    """The settings of a seed's schedule."""
    return SimulationSettings(gateways=random.Random(seed).choice((3, 5, 7)), faults=6)


def run_one(seed: int) -> ScheduleResult:
    """Runs and checks the schedule of a seed."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    settings = schedule_settings(seed)
    simulation = run_schedule(seed, draw_faults(seed, settings), settings)
    taken = sum(row["op"] == "order" and row["result"] == "ok" for row in simulation.rows)
    return ScheduleResult(seed, violations(simulation), taken, len(operations.outdated(simulation.rows)))


def schedules(count: int) -> None:
    """Runs many seeded schedules; one that fails is printed with the fewest faults that make it fail."""
    began, taken, late, bad = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor(5) as pool:
        for result in pool.map(run_one, range(1000, 1000 + count), chunksize=20):
            taken, late = taken + result.taken, late + result.late
            if result.violations:
                bad += 1
                print(f"seed {result.seed}: {result.violations[:3]} after {minimal_faults(result.seed)}")
    span = time.monotonic() - began
    print(f"{count} schedules in {span:.0f} s: {bad} wrong, {taken} deeds taken, {late} begun too late")


def minimal_faults(seed: int) -> list[Fault]:
    """The fewest faults of a seed's schedule with which it still fails."""
    settings = schedule_settings(seed)

    def fails(faults: Sequence[Fault]) -> bool:
        return bool(violations(run_schedule(seed, faults, settings)))

    return minimize(draw_faults(seed, settings), fails)


def violations(simulation: Simulation) -> list[str]:
    """What the checkers and the simulation itself found wrong."""
    return [
        *operations.violations(simulation.rows),
        *register.violations(simulation.rows),
        *simulation.violations,
    ]


def gaps(count: int) -> None:
    """From a holder's end to the first operation of the next, in parts of the term."""
    for what in ("kill", "freeze", "end", "cut"):
        found = list[float]()
        for seed in range(count):
            simulation = started(SimulationSettings(length=12.0), seed)
            simulation.run([], 5.0)
            holder = simulation.holders().get("t0")
            if holder is None:
                continue
            at, who = simulation.now, holder
            simulation.run([Fault(what, who, 0.0, 30.0)], 6.0)
            after = [
                row["begin"]
                for row in simulation.rows
                if row["op"] == "order"
                and row["result"] == "ok"
                and row["task"] == "t0"
                and row["begin"] > at
                and not row["holder"].startswith(f"{who}/")
            ]
            found.append((min(after) - at) / SECOND if after else float("inf"))
        worst, middle = max(found), statistics.median(found)
        print(f"{what:7} {len(found)} plays: median {middle:.2f} terms, worst {worst:.2f}", flush=True)


def scenario(seed: int, managers: int) -> str:
    """A scenario of so many gateways, with three faults at moments drawn from the seed."""
    text = SITE.read_text().replace("count     = 6", f"count     = {managers}", 1)
    text = text.replace('length = "10s"', 'length = "18s"').replace("served = 0.9", "served = 0.3")
    return text.replace("rate   = 30", "rate   = 20") + "\n" + plays.faults(seed, managers)


def processes(count: int, managers: int = 12, first: int = 0) -> None:
    """Scenarios of real processes, each with faults at other moments, checked by what was written."""
    bad = taken = refused = late = 0
    began = time.monotonic()
    with ThreadPoolExecutor(CONCURRENT_SCENARIOS) as pool:
        seeds = range(first, first + count)
        played = pool.map(lambda seed: plays.play(scenario(seed, managers), seed), seeds)
        for seed, done in zip(seeds, played, strict=True):
            found = [*operations.violations(done.rows), *register.violations(done.rows)]
            orders = [row["result"] for row in done.rows if row["op"] == "order"]
            taken, refused = taken + orders.count("ok"), refused + orders.count("refused")
            late += len(operations.outdated(done.rows))
            if found or done.findings or not orders:
                bad += 1
                print(f"seed {seed}: {found[:3]} {done.findings[:3]} {len(orders)} orders", flush=True)
    print(
        f"{count} moments, {managers} processes, {time.monotonic() - began:.0f} s: {bad} wrong, "
        f"{taken} deeds taken, {refused} refused, {late} begun after a later number's first"
    )


if __name__ == "__main__":
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    what, numbers = sys.argv[1], [int(word) for word in sys.argv[2:]]
    {"rest": rest, "schedules": schedules, "gaps": gaps, "processes": processes}[what](*numbers)  # type: ignore[operator]
