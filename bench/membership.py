"""Membership at size: time from a change to in force, longest pass of the loop, memory an engine.

List files against the discovery service.

python -m bench.membership [--engines 10 --engines 1000 ...] [--rounds 20] [--base DIR]

Starts the program itself on loopback, with eight stand-in engines that answer and a client that keeps
sending, and the rest of the list at addresses where nobody listens, in another location. `--base`: a checkout
of an earlier state, whose start without options is shown beside this one's.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import click

from tests.helpers import (
    ROOT,
    SETTINGS,
    Client,
    FakeDiscoveryService,
    FakeEngine,
    GatewayProcess,
    free_address,
    member,
    until,
)

REAL = 8  # engines that answer
QUIET_S = 0.4  # without a further portion a change is taken to be in force as a whole

# The program, telling on its standard output when a change was handed to the module, and how late passes
# were.
CHILD = """
import json, sys, time
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.reactor import Reactor

def listed(self, change, listed=GatewayService.apply_engine_list_change):
    began = time.monotonic()
    listed(self, change)
    took = time.monotonic() - began
    print(json.dumps({"at": time.time(), "members": len(change.engines), "took": took}), flush=True)

def latest(self, latest=Reactor.take_max_delay_s):
    late = latest(self)
    print(json.dumps({"late": late}), flush=True)
    return late

GatewayService.apply_engine_list_change, Reactor.take_max_delay_s = listed, latest
from vanerelay.cli import main
main()
"""


class Watched(GatewayProcess):
    """A gateway that reports its portions and the passes of its loop."""

    def start(self) -> None:
        """Starts the program that reports."""
        self.told: list[dict[str, Any]] = []
        host, _, port = self.listen.rpartition(":")
        config = json.loads(self.config.read_text())
        settings = config["settings"]
        settings["failureDomains"], settings["groupSize"] = ["far", "here"], 200
        settings["classes"][0]["staysIn"] = [1]
        self.config.write_text(json.dumps(config))
        self.process = subprocess.Popen(
            [sys.executable, "-c", CHILD, "serve", *self.arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=self.log.open("wb"),
            env={**os.environ, "LB_CONFIG": str(self.config), "LB_NAME": "n0", "LB_LISTEN": self.listen},
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.told.append(json.loads(line))

    def memory(self) -> int:
        """In bytes."""
        return resident(self.process.pid)


def resident(pid: int) -> int:
    """The resident memory of a process, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]) * 1024


def rows(engines: list[FakeEngine], count: int, generation: int, weight: int | None) -> list[dict[str, Any]]:
    """A list: those that answer, and others whose names go by the generation."""
    found = [member(one, f"real-{n}") for n, one in enumerate(engines)]
    for n in range(max(0, count - len(engines))):
        found.append(
            {
                **member(9, f"far-{generation}-{n}"),
                "locality": "far",
                "host_port": f"127.{1 + generation % 100}.{n // 250}.{1 + n % 250}:9",
            }
        )
    if weight is not None:
        found = [{**row, "weight": 100} for row in found]
        found[0]["weight"] = weight
    else:
        for row in found:
            row.pop("weight", None)
    return found


class Load:
    """A client that sends one look-up after the other until it is stopped; the longest that one took."""

    def __init__(self, client: Client) -> None:
        self.count, self.longest, self.failed, self._ended = 0, 0.0, 0, threading.Event()
        self._client = client
        self._thread = threading.Thread(target=self._go, daemon=True)
        self._thread.start()

    def _go(self) -> None:
        while not self._ended.wait(0.004):
            self.count += 1
            began = time.monotonic()
            self._client.ask(self.count, f"{self.count:08x}"[-8:])
            self.failed += self._client.answer()[1] != 0
            self.longest = max(self.longest, time.monotonic() - began)

    def stop(self) -> None:
        """Stops sending."""
        self._ended.set()
        self._thread.join()


def measure(count: int, rounds: int, by_file: bool) -> dict[str, Any]:
    """One program, `rounds` changes of each kind."""
    feed, took = FakeDiscoveryService(), {"one": list[float](), "all": list[float]()}
    engines = [
        FakeEngine(lambda e, connection, ident: e.return_result(connection, ident)) for _ in range(REAL)
    ]
    with tempfile.TemporaryDirectory() as name:
        folder, options, revision = Path(name), None, 0
        path = folder / "engines.json"

        def tell(listed: list[dict[str, Any]], complete: bool) -> float:
            nonlocal revision
            revision += 1
            if not by_file:
                began = time.time()
                feed.publish(*listed, complete=complete)
                return began
            new = folder / "new"
            new.write_text(json.dumps({"revision": revision, "members": listed}))
            began = time.time()
            new.rename(path)
            return began

        if by_file:
            options = (
                f'membership {{\nfeed {{\nauthoritative = false\n}}\nfiles "main" {{\npaths = ["{path}"]\n'
                "complete = true\nchecks {\nmost_lost = 1.0\n}\n}\n}\n"
            )
            tell(rows(engines, count, 0, 100), True)
        known = [] if by_file else rows(engines, count, 0, None)
        node = Watched(folder, feed, *known, options=options, memory_mb=1024)
        try:
            time.sleep(2)
            memory, load = node.memory(), Load(node.client())
            node.told.clear()
            for turn in range(rounds):
                for kind in took:
                    generation = turn + 1 if kind == "all" else turn
                    listed = rows(engines, count, generation, 101 + turn if by_file else None)
                    if kind == "one" and not by_file:
                        listed = [{**listed[0], "cell": turn + 1}]
                    before = sum("at" in told for told in node.told)
                    began = tell(listed, kind == "all" or by_file)
                    until(
                        lambda before=before: sum("at" in t for t in node.told) > before,
                        "the change in force",
                    )
                    at = time.time()
                    while time.time() - at < QUIET_S:
                        at = max(told["at"] for told in node.told if "at" in told)
                        time.sleep(0.02)
                    took[kind].append(at - began)
            time.sleep(1.5)
            load.stop()
            late = max(told["late"] for told in node.told if "late" in told)
            portion = max(told["took"] for told in node.told if "took" in told)
        finally:
            node.process.kill()
            node.process.wait()
            feed.server.shutdown()
            feed.server.server_close()
            for one in engines:
                one.close()
    return {
        "took": took,
        "late": late,
        "portion": portion,
        "memory": memory,
        "sent": load.count,
        "failed": load.failed,
        "longest": load.longest,
    }


def module(count: int) -> tuple[float, float]:
    """Seconds that the decisions take for one change of one engine, and for one that comes, among many."""
    from tests.helpers import GatewayHarness, entry

    world = GatewayHarness(0, gateways=200)
    world.gateway.update_engines([entry(n) for n in range(count)], True)
    sums = [0.0, 0.0]
    for turn in range(200):
        began = time.perf_counter()
        world.gateway.update_engines([entry(turn, weight=0.5 + turn / 1000)], False)
        sums[0] += time.perf_counter() - began
        began = time.perf_counter()
        world.gateway.update_engines([entry(count + turn)], False)
        sums[1] += time.perf_counter() - began
    return sums[0] / 200, sums[1] / 200


def starts(root: Path, rounds: int) -> tuple[float, float]:
    """Medians of a program without options: of its time to the line `serving`, and of its memory."""
    times, memories = [], []
    for _ in range(rounds):
        with tempfile.TemporaryDirectory() as name:
            config, log, listen = Path(name) / "config.json", Path(name) / "log", free_address()
            config.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": listen,
                        "seed": "1",
                        "limits": {"memory_mb": 192, "sockets": 1024},
                        "feed": "127.0.0.1:9",
                        "known": {
                            "n": 1,
                            "events": [
                                {"n": 1, "members": {"revision": 1, "complete": True, "members": [member(9)]}}
                            ],
                        },
                        "settings": SETTINGS,
                    }
                )
            )
            began = time.monotonic()
            with log.open("wb") as out:
                process = subprocess.Popen(
                    [sys.executable, "-m", "vanerelay", "serve"],
                    cwd=root,
                    stderr=out,
                    env={**os.environ, "LB_CONFIG": str(config), "LB_LISTEN": listen},
                )
            while b"serving" not in log.read_bytes():
                time.sleep(0.002)
            times.append(time.monotonic() - began)
            memories.append(resident(process.pid))
            process.kill()
            process.wait()
    return statistics.median(times), statistics.median(memories)


def told_ms(seconds: list[float]) -> str:
    """Median and 99th percentile."""
    ordered = sorted(seconds)
    most = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"{statistics.median(ordered) * 1000:.0f} / {most * 1000:.0f}"


@click.command()
@click.option("--engines", multiple=True, type=int, default=(10, 1000, 10_000))
@click.option("--rounds", default=20, type=click.IntRange(1))
@click.option("--base", type=click.Path(exists=True, path_type=Path))
def main(engines: tuple[int, ...], rounds: int, base: Path | None) -> None:
    """Prints all tables."""
    print(f"{rounds} changes of each kind; times in ms, median / 99th percentile, from sockets")
    print("source   engines   one engine     all engines    longest pass  portion  memory MB  batches sent")
    smallest: dict[bool, int] = {}
    for by_file in (True, False):
        for count in engines:
            found = measure(count, rounds, by_file)
            smallest.setdefault(by_file, found["memory"])
            print(
                f"{'file' if by_file else 'feed':8} {count:7}   {told_ms(found['took']['one']):14} "
                f"{told_ms(found['took']['all']):14} {found['late'] * 1000:9.1f} "
                f"{found['portion'] * 1000:9.1f} "
                f"{found['memory'] / 2**20:10.1f}   {found['sent']} ({found['failed']}, "
                f"{found['longest'] * 1000:.0f} ms)",
                flush=True,
            )
            if count > engines[0]:
                each = (found["memory"] - smallest[by_file]) / (count - engines[0])
                print(f"{'':18}memory an engine: {each / 1024:.1f} kB", flush=True)
    for count in engines:
        change, comes = module(count)
        told = f"one change {change * 1e6:.0f} us, one engine that comes {comes * 1e6:.0f} us"
        print(f"module among {count}: {told}")
    for name, root in (("this state", ROOT), *([("the base", base)] if base else [])):
        took, memory = starts(root, 9)
        print(f"start without options, {name}: {took * 1000:.0f} ms, {memory / 2**20:.1f} MB")


if __name__ == "__main__":
    main()
