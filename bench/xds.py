"""The control service at scale: from a change of the list to the last of many proxies; CPU, bytes, memory.

python -m bench.xds [--proxies 1 --proxies 100 ...] [--engines 1000] [--rounds 5]

Starts the program itself on loopback. The proxies are this project's own sessions, many in one process, each
with a connection of its own; they acknowledge everything. Beside the shared encoding the same is measured
with a response encoded for each stream anew.
"""

from __future__ import annotations

import dataclasses
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from envoy.service.discovery.v3 import discovery_pb2
from twisted.internet import reactor as installed
from twisted.internet.endpoints import TCP4ClientEndpoint

from bench.membership import resident
from tests.helpers import ROOT, FakeDiscoveryService, GatewayProcess, free_address, member
from vanerelay.clock import Clock
from vanerelay.grpc_wire.call import Call
from vanerelay.grpc_wire.client_session import ClientSession
from vanerelay.grpc_wire.driver import GrpcClientFactory, GrpcConnection
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.status import Status
from vanerelay.xds.subscription import ResourceType

reactor: Any = installed
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
CONNECTING = 50  # proxies that connect at a time, as one process runs them all
UNSHARED_CODE = """
from vanerelay.xds import view
view.MAX_CACHED_RESPONSES = 0  # each stream's response is encoded anew
"""
SERVER_CODE = """
from vanerelay.cli import main
main()
"""


class Proxy:
    """Subscribes to everything and acknowledges what comes.

    Attributes:
        updated_at: When the last endpoints came.
        responses: How many responses came.
        bytes: Their size.
        endpoint_updates: How many of them held endpoints.
    """

    def __init__(self, number: int, incremental: bool, zone: str) -> None:
        self.number, self.incremental, self.zone = number, incremental, zone
        self.updated_at, self.responses, self.bytes, self.endpoint_updates = 0.0, 0, 0, 0
        self.call: Call | None = None

    def open(self, connection: GrpcConnection) -> None:
        """Opens its stream on a new connection."""
        method = "DeltaAggregatedResources" if self.incremental else "StreamAggregatedResources"
        session = connection.session
        assert isinstance(session, ClientSession)
        call = session.call(ADS + method, self)
        assert isinstance(call, Call)
        self.call = call
        for kind, names in (
            (ResourceType.CLUSTER, []),
            (ResourceType.ENDPOINTS, ["look", "load"]),
            (ResourceType.ROUTES, ["vanerelay"]),
        ):
            self.request(kind, names, "", "")

    def request(self, kind: ResourceType, names: list[str], nonce: str, version: str) -> None:
        """Subscribes to names of a type, or acknowledges the response of a nonce."""
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

    def message_received(self, data: bytes) -> None:
        """A response came; it is acknowledged."""
        self.responses += 1
        self.bytes += len(data)
        message_type = (
            discovery_pb2.DeltaDiscoveryResponse if self.incremental else discovery_pb2.DiscoveryResponse
        )
        answer = message_type.FromString(data)
        kind = ResourceType(answer.type_url)
        if kind is ResourceType.ENDPOINTS:
            self.updated_at = time.monotonic()
            self.endpoint_updates += 1
        names = {ResourceType.ENDPOINTS: ["look", "load"], ResourceType.ROUTES: ["vanerelay"]}.get(kind, [])
        self.request(kind, names, answer.nonce, "" if self.incremental else answer.version_info)

    def half_closed(self) -> None:
        """A server never does."""

    def ended(self, status: Status) -> None:
        """The stream is over."""
        print("gone", status)

    def send_queue_emptied(self) -> None:
        """Nothing waits here."""


class Gateway(GatewayProcess):
    """The program, with or without the shared encoding."""

    unshared = False

    def start(self) -> None:
        """Starts the process."""
        code = (UNSHARED_CODE if self.unshared else "") + SERVER_CODE
        self.process = subprocess.Popen(
            [sys.executable, "-c", code, "serve", *self.arguments],
            cwd=ROOT,
            stderr=self.log.open("wb"),
            env={**os.environ, "LB_CONFIG": str(self.config), "LB_NAME": "n0", "LB_LISTEN": self.listen},
        )

    def cpu(self) -> float:
        """The CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class UnsharedGateway(Gateway):
    """The program, with each response encoded anew."""

    unshared = True


@dataclass(frozen=True, slots=True)
class Measurement:
    """What one number of proxies cost.

    Attributes:
        drain_s: Seconds from a drain to the last proxy, each round.
        cpu_s: CPU seconds of the gateway with the second after, each round.
        bytes_per_proxy: Bytes that each proxy received, each round.
        memory_per_stream: Bytes of memory that a stream takes.
        lost: Connections that were lost.
    """

    drain_s: list[float]
    cpu_s: list[float]
    bytes_per_proxy: list[float]
    memory_per_stream: float
    lost: int


def spin(until: Callable[[], bool], limit_s: float = 60.0) -> bool:
    """Lets the reactor go until a condition holds."""
    end = time.monotonic() + limit_s
    while not until() and time.monotonic() < end:
        reactor.iterate(0.01)
    return until()


def measure(count: int, engines: int, rounds: int, incremental: bool, gateway: type[Gateway]) -> Measurement:
    """Drains one engine after the other and measures what reaches the proxies."""
    feed, listen = FakeDiscoveryService(), free_address()
    rows = [{**member(9, f"e-{n}"), "host_port": f"127.1.{n // 250}.{1 + n % 250}:9"} for n in range(engines)]
    with tempfile.TemporaryDirectory() as name:
        text = f'xds {{\nlisten = "{listen}"\nmost = 2000\nproxies = {count}\n}}\n'
        node = gateway(Path(name), feed, *rows, options=text, memory_mb=1024, sockets=4096)
        proxies = [Proxy(n, incremental, "here") for n in range(count)]
        host, _, port = listen.rpartition(":")
        try:
            time.sleep(1.0)
            before = resident(node.process.pid)
            lost: list[str] = []
            for first in range(0, count, CONNECTING):
                batch = proxies[first : first + CONNECTING]
                for proxy in batch:
                    client = GrpcClientFactory(reactor, Clock(), Limits(), "x", lost.append)
                    TCP4ClientEndpoint(reactor, host, int(port)).connect(client).addCallback(proxy.open)
                assert spin(lambda batch=batch: all(p.responses >= 3 for p in batch)), (
                    "proxies have their first responses"
                )
            assert spin(lambda: all(p.responses >= 3 for p in proxies)), (
                "all proxies have their first responses"
            )
            spin(lambda: False, 12.0)  # the time in which the expected number counts, and what follows
            memory = (resident(node.process.pid) - before) / count
            took, cpu, sent = [], [], []
            for number in range(rounds):
                updates, cpu_before = [p.endpoint_updates for p in proxies], node.cpu()
                bytes_before = sum(p.bytes for p in proxies)
                began = time.monotonic()
                feed.publish({**rows[number], "phase": "DRAINING"})

                def updated(before: list[int] = updates) -> bool:
                    return all(p.endpoint_updates > n for p, n in zip(proxies, before, strict=True))

                assert spin(updated), "a drain at all proxies"
                took.append(max(p.updated_at for p in proxies) - began)
                spin(lambda: False, 1.0)
                cpu.append(node.cpu() - cpu_before)
                sent.append((sum(p.bytes for p in proxies) - bytes_before) / count)
            return Measurement(took, cpu, sent, memory, len(lost))
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
    """Measures each number of proxies in a process of its own and prints a table."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    if one is not None:
        count, incremental, unshared = json.loads(one)
        gateway = UnsharedGateway if unshared else Gateway
        print(json.dumps(dataclasses.asdict(measure(count, engines, rounds, incremental, gateway))))
        return
    print(
        f"a drain among {engines} engines, {rounds} times; medians, from sockets; CPU with the second after"
    )
    print(
        "proxies  protocol     encoding  last, ms  worst, ms  CPU, ms  kB a proxy  memory a stream, kB  lost"
    )
    for count in proxies:
        for incremental in (False, True):
            for unshared in (False, True):
                run = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "bench.xds",
                        "--engines",
                        str(engines),
                        "--rounds",
                        str(rounds),
                        "--one",
                        json.dumps([count, incremental, unshared]),
                    ],
                    capture_output=True,
                    text=True,
                    check=False,
                )
                if run.returncode:
                    print(count, incremental, unshared, run.stderr.splitlines()[-1:])
                    continue
                found = Measurement(**json.loads(run.stdout.splitlines()[-1]))
                print(
                    f"{count:7}  {'incremental' if incremental else 'world':11}  "
                    f"{'each' if unshared else 'shared':8} "
                    f"{statistics.median(found.drain_s) * 1000:9.0f} {max(found.drain_s) * 1000:10.0f} "
                    f"{statistics.median(found.cpu_s) * 1000:8.0f} "
                    f"{statistics.median(found.bytes_per_proxy) / 1024:11.1f} "
                    f"{found.memory_per_stream / 1024:15.1f} {found.lost:9}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
