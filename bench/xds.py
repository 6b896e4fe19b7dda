"""The control service at size: from a change of the list to the last of many proxies; CPU, bytes and memory.

python -m bench.xds [--proxies 1 --proxies 100 ...] [--engines 1000] [--rounds 5]

Starts the program itself on loopback. The proxies are machines of the project's own, many in one process,
each with a connection of its own; they acknowledge everything. Beside the shared encoding the same is
measured with a response encoded for each stream anew."""

from __future__ import annotations

import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
from envoy.service.discovery.v3 import discovery_pb2
from twisted.internet import reactor as installed
from twisted.internet.endpoints import TCP4ClientEndpoint

from bench.membership import resident
from tests.helpers import ROOT, Feed, Node, free_address, member
from vanerelay.clock import Clock
from vanerelay.grpc_wire.driver import Client
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.session import Call
from vanerelay.xds.streams import Type

reactor: Any = installed
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
CALLERS = 50  # proxies that connect at a time, as one process plays them all
ALONE = """
from vanerelay.xds import service
service.ENCODED = 0  # nothing is kept: each stream's response is made anew
"""
CHILD = """
from vanerelay.cli import main
main()
"""


class Proxy:
    """Subscribes to all endpoints and acknowledges what comes; `at` is when the last came, by type the
    bytes."""

    def __init__(self, number: int, incremental: bool, zone: str) -> None:
        self.number, self.incremental, self.zone = number, incremental, zone
        self.at, self.count, self.bytes, self.drains = 0.0, 0, 0, 0
        self.call: Call | None = None

    def open(self, connection: Any) -> None:
        method = "DeltaAggregatedResources" if self.incremental else "StreamAggregatedResources"
        call = connection.session.call(ADS + method, self)
        assert isinstance(call, Call)
        self.call = call
        for kind, names in (
            (Type.CLUSTER, []),
            (Type.ENDPOINTS, ["look", "load"]),
            (Type.ROUTES, ["vanerelay"]),
        ):
            self.ask(kind, names, "", "")

    def ask(self, kind: Type, names: list[str], nonce: str, version: str) -> None:
        assert self.call is not None
        if self.incremental:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=kind.value, response_nonce=nonce)
            if not nonce:
                request.resource_names_subscribe.extend(names)
        else:
            request = discovery_pb2.DiscoveryRequest(
                type_url=kind.value, response_nonce=nonce, version_info=version, resource_names=names
            )
        request.node.id, request.node.locality.zone = f"p-{self.number}", self.zone
        self.call.send(request.SerializeToString())

    def message(self, data: bytes) -> None:
        self.count, self.bytes = self.count + 1, self.bytes + len(data)
        made = discovery_pb2.DeltaDiscoveryResponse if self.incremental else discovery_pb2.DiscoveryResponse
        answer = made.FromString(data)
        kind = Type(answer.type_url)
        if kind is Type.ENDPOINTS:
            self.at, self.drains = time.monotonic(), self.drains + 1
        names = {Type.ENDPOINTS: ["look", "load"], Type.ROUTES: ["vanerelay"]}.get(kind, [])
        self.ask(kind, names, answer.nonce, "" if self.incremental else answer.version_info)

    def half_closed(self) -> None:
        """A server never does."""

    def gone(self, ended: Any) -> None:
        print("gone", ended)

    def drained(self) -> None:
        """Nothing waits here."""


class Served(Node):
    """The program, with or without the shared encoding."""

    alone = False

    def start(self) -> None:
        code = (ALONE if self.alone else "") + CHILD
        self.process = subprocess.Popen(
            [sys.executable, "-c", code, "serve", *self.words],
            cwd=ROOT,
            stderr=self.log.open("wb"),
            env={**os.environ, "LB_CONFIG": str(self.config), "LB_NAME": "n0", "LB_LISTEN": self.listen},
        )

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ServedAlone(Served):
    alone = True


def spin(until: Any, limit_s: float = 60.0) -> bool:
    """Lets the reactor go until a condition holds."""
    end = time.monotonic() + limit_s
    while not until() and time.monotonic() < end:
        reactor.iterate(0.01)
    return bool(until())


def measure(count: int, engines: int, rounds: int, incremental: bool, made: type[Served]) -> dict[str, Any]:
    feed, listen = Feed(), free_address()
    rows = [{**member(9, f"e-{n}"), "host_port": f"127.1.{n // 250}.{1 + n % 250}:9"} for n in range(engines)]
    with tempfile.TemporaryDirectory() as name:
        text = f'xds {{\nlisten = "{listen}"\nmost = 2000\nproxies = {count}\n}}\n'
        node = made(Path(name), feed, *rows, options=text, memory_mb=1024, sockets=4096)
        proxies = [Proxy(n, incremental, "here") for n in range(count)]
        host, _, port = listen.rpartition(":")
        try:
            time.sleep(1.0)
            before = resident(node.process.pid)
            lost: list[str] = []
            for place in range(0, count, CALLERS):
                some = proxies[place : place + CALLERS]
                for proxy in some:
                    client = Client(reactor, Clock(), Limits(), "x", lost.append)
                    TCP4ClientEndpoint(reactor, host, int(port)).connect(client).addCallback(proxy.open)
                assert spin(lambda some=some: all(p.count >= 3 for p in some)), "proxies are told"
            assert spin(lambda: all(p.count >= 3 for p in proxies)), "all proxies are told"
            spin(lambda: False, 12.0)  # the time in which the expected number counts, and what follows
            memory = (resident(node.process.pid) - before) / count
            took, cpu, sent = [], [], []
            for turn in range(rounds):
                drains, cpu_before = [p.drains for p in proxies], node.cpu()
                bytes_before = sum(p.bytes for p in proxies)
                began = time.monotonic()
                feed.tell({**rows[turn], "phase": "DRAINING"})

                def told(before: list[int] = drains) -> bool:
                    return all(p.drains > n for p, n in zip(proxies, before, strict=True))

                assert spin(told), "a drain at all proxies"
                took.append(max(p.at for p in proxies) - began)
                spin(lambda: False, 1.0)
                cpu.append(node.cpu() - cpu_before)
                sent.append((sum(p.bytes for p in proxies) - bytes_before) / count)
            return {"took": took, "cpu": cpu, "bytes": sent, "memory": memory, "lost": len(lost)}
        finally:
            node.process.kill()
            node.process.wait()
            feed.server.shutdown()
            feed.server.server_close()


@click.command()
@click.option("--proxies", multiple=True, type=int, default=(1, 100, 1000))
@click.option("--engines", default=1000, type=click.IntRange(2))
@click.option("--rounds", default=5, type=click.IntRange(1))
@click.option("--one", help="Internal: one measurement, as JSON.")
def main(proxies: tuple[int, ...], engines: int, rounds: int, one: str | None) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    if one is not None:
        count, incremental, alone = json.loads(one)
        made = ServedAlone if alone else Served
        print(json.dumps(measure(count, engines, rounds, incremental, made)))
        return
    print(
        f"a drain among {engines} engines, {rounds} times; medians, from sockets; CPU with the second after"
    )
    print(
        "proxies  protocol     encoding  last, ms  worst, ms  CPU, ms  kB a proxy  memory a stream, kB  lost"
    )
    for count in proxies:
        for incremental in (False, True):
            for alone in (False, True):
                told = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "bench.xds",
                        "--engines",
                        str(engines),
                        "--rounds",
                        str(rounds),
                        "--one",
                        json.dumps([count, incremental, alone]),
                    ],
                    capture_output=True,
                    text=True,
                    check=False,
                )
                if told.returncode:
                    print(count, incremental, alone, told.stderr.splitlines()[-1:])
                    continue
                found = json.loads(told.stdout.splitlines()[-1])
                print(
                    f"{count:7}  {'incremental' if incremental else 'world':11}  "
                    f"{'each' if alone else 'shared':8} "
                    f"{statistics.median(found['took']) * 1000:9.0f} {max(found['took']) * 1000:10.0f} "
                    f"{statistics.median(found['cpu']) * 1000:8.0f} "
                    f"{statistics.median(found['bytes']) / 1024:11.1f} "
                    f"{found['memory'] / 1024:15.1f} {found['lost']:9}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
