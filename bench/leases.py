"""Leases measured: messages at rest and time without a holder, seeded schedules in virtual time, moments
of fault on real processes. `python -m bench.leases rest|schedules|processes|gaps`."""

from __future__ import annotations

import logging
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

import structlog

from bench import plays
from tests.histories import deeds, register
from vanerelay.interface import SECOND
from vanerelay.lab.lease_simulation import Setting, Trouble, World, drawn, play, shortest
from vanerelay.leases.voter import LeaseTerms

SITE = plays.SCRIPTS / "lease-site.hcl"
SIDE_BY_SIDE = 3  # plays of twelve processes


def started(setting: Setting, seed: int = 1) -> World:
    world = World(seed, setting)
    world.found()
    for node in world.nodes.values():
        node.start()
    return world


def rest() -> None:
    """Messages a second of the whole fleet, terms of 10 s, by managers and tasks."""
    print("managers  voters  tasks  messages/s  of the most loaded manager")
    for managers, voters, tasks in ((3, 3, 3), (12, 3, 12), (12, 5, 60), (200, 5, 60), (200, 5, 200)):
        terms = LeaseTerms(term=10 * SECOND, longest=10 * SECOND)
        world = started(Setting(managers=managers, voters=voters, tasks=tasks, terms=terms))
        world.run([], 40.0)
        before = {name: node.leases.sent for name, node in world.nodes.items()}  # type: ignore[union-attr]
        total = world.messages
        world.run([], 60.0)
        each = max(node.leases.sent - before[name] for name, node in world.nodes.items())  # type: ignore[union-attr]
        print(
            f"{managers:8}  {voters:6}  {tasks:5}  {(world.messages - total) / 60:10.1f}  {each / 60:8.2f}",
            flush=True,
        )


def one(seed: int) -> tuple[int, list[str], int, int]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    setting = Setting(managers=random.Random(seed).choice((3, 5, 7)), troubles=6)
    world = play(seed, drawn(seed, setting), setting)
    found = [*deeds.wrong(world.rows), *register.wrong(world.rows), *world.together]
    done = sum(row["op"] == "order" and row["result"] == "ok" for row in world.rows)
    return seed, found, done, len(deeds.beyond(world.rows))


def schedules(count: int) -> None:
    began, done, late, bad = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor(5) as pool:
        for seed, found, orders, beyond in pool.map(one, range(1000, 1000 + count), chunksize=20):
            done, late = done + orders, late + beyond
            if found:
                bad += 1
                setting = Setting(managers=random.Random(seed).choice((3, 5, 7)), troubles=6)
                least = shortest(drawn(seed, setting), lambda fewer, seed=seed: bool(one(seed)[1]))
                print(f"seed {seed}: {found[:3]} after {least}")
    span = time.monotonic() - began
    print(f"{count} schedules in {span:.0f} s: {bad} wrong, {done} deeds taken, {late} begun too late")


def gaps(count: int) -> None:
    """From a holder's end to the first deed of the next, in parts of the term."""
    for what in ("kill", "freeze", "end", "cut"):
        found = list[float]()
        for seed in range(count):
            world = started(Setting(length=12.0), seed)
            world.run([], 5.0)
            holder = world.holders().get("t0")
            if holder is None:
                continue
            at, who = world.now, holder
            world.run([Trouble(what, who, 0.0, 30.0)], 6.0)
            after = [
                row["begin"]
                for row in world.rows
                if row["op"] == "order"
                and row["result"] == "ok"
                and row["task"] == "t0"
                and row["begin"] > at
                and not row["holder"].startswith(f"{who}/")
            ]
            found.append((min(after) - at) / SECOND if after else float("inf"))
        worst, middle = max(found), statistics.median(found)
        print(f"{what:7} {len(found)} plays: median {middle:.2f} terms, worst {worst:.2f}", flush=True)


def script(seed: int, managers: int) -> str:
    """Twelve managers, and three faults at moments drawn from the seed."""
    text = SITE.read_text().replace("count     = 6", f"count     = {managers}", 1)
    text = text.replace('length = "10s"', 'length = "18s"').replace("served = 0.9", "served = 0.3")
    return text.replace("rate   = 30", "rate   = 20") + "\n" + plays.faults(seed, managers)


def processes(count: int, managers: int = 12, first: int = 0) -> None:
    """Each moment of fault a play of real processes, judged by what was written."""
    bad = taken = refused = late = 0
    began = time.monotonic()
    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        seeds = range(first, first + count)
        played = pool.map(lambda seed: plays.play(script(seed, managers), seed), seeds)
        for seed, done in zip(seeds, played, strict=True):
            found = [*deeds.wrong(done.rows), *register.wrong(done.rows)]
            orders = [row["result"] for row in done.rows if row["op"] == "order"]
            taken, refused = taken + orders.count("ok"), refused + orders.count("refused")
            late += len(deeds.beyond(done.rows))
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
