"""A transport that remembers, short ways to make a gateway and its batches, and stand-ins on sockets."""

from __future__ import annotations

import contextlib
import dataclasses
import heapq
import http.server
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.parse
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from tests.faults import Faults
from vanerelay.interface import (
    SECOND,
    AttemptResult,
    Capabilities,
    DeduplicationScope,
    EngineEntry,
    EngineState,
    FleetPosition,
    GatewaySettings,
    Idempotency,
    MachineKind,
    MemoryShortage,
    Outcome,
    QueryArrival,
    RetryBudgetTerms,
    ServiceClass,
    SlowStartTerms,
)
from vanerelay.policy.gateway import Gateway
from vanerelay.policy.query import Query

ROOT = Path(__file__).resolve().parent.parent

SERVICE_CLASS = ServiceClass(
    name="g",
    latency_objective=SECOND,
    objective_stretch=2.0,
    deadline=10 * SECOND,
    value=1.0,
    late_value=0.0,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window=5 * SECOND,
    ordered=False,
    zones=None,
    machine_kinds=None,
    threads=1,
    is_data_load=False,
    waits_for_data_loads=False,
)
CAPABILITIES = Capabilities(
    max_attempts=3,
    may_cancel=False,
    may_hedge=False,
    may_probe=False,
    may_gossip=False,
    sends_retry_after=True,
    max_retry_after=SECOND,
    sends_memory_grants=True,
    max_grant_share=0.4,
    sends_priorities=False,
    reports_cost=True,
    progress_interval=0,
    memory_shortage=MemoryShortage.WAIT,
    subscribes_to_list=False,
    polls_load=False,
)
SLOW_START = SlowStartTerms(
    initial_share=0.3, ramp_duration=10 * SECOND, overload_multiple=3.0, overload_window=2 * SECOND
)


class World:
    """The Transport of the tests around one gateway, with a clock that tests advance.

    Attributes:
        calls: All that the gateway called out, as names with values.
    """

    def __init__(
        self,
        engines: int = 3,
        gateways: int = 1,
        retry_budget: RetryBudgetTerms | None = None,
        order_key_pause: int = 0,
        capabilities: dict[str, Any] | None = None,
        index: int = 0,
        now: int = 1000 * SECOND,
        **service_class: Any,
    ) -> None:
        """`capabilities` and `service_class` override fields of the defaults above."""
        self.now = now
        self.calls: list[Any] = []
        self.timers: list[Any] = []
        self._submitted = 0
        self.service_class = dataclasses.replace(SERVICE_CLASS, **service_class)
        self.service_classes = [self.service_class, dataclasses.replace(SERVICE_CLASS, threads=4)]
        settings = GatewaySettings(
            service_classes=self.service_classes,
            machine_kinds=[MachineKind(16, 32000.0)] * 2,
            position=FleetPosition(index, gateways, 0),
            capabilities=dataclasses.replace(CAPABILITIES, **(capabilities or {})),
            slow_start=SLOW_START,
            retry_budget=retry_budget or RetryBudgetTerms(0, 0, 0.0),
            order_key_pause=order_key_pause,
            tick=50,
        )
        self.gateway = Gateway(self, 7, settings)
        self.entries = [entry(i) for i in range(engines)]
        self.gateway.update_engines(self.entries, True)

    def submit(
        self,
        cost: int = 1000,
        memory: float = 500.0,
        time_limit: int = 10 * SECOND,
        service_class: int = 0,
        order_key: int | None = None,
        table_group: int = 0,
    ) -> Query:
        """Submits a query; its handle."""
        self._submitted += 1
        deadline = self.now + time_limit
        return self.gateway.submit(
            QueryArrival(
                self._submitted, service_class, 0, order_key, deadline, cost, memory, table_group, False
            )
        )

    def end_attempt(
        self, query: Query, outcome: Outcome, memory: float = 400.0, duration: int = 1500
    ) -> None:
        """Ends the last attempt of a query that is in flight."""
        number = max(i for i, attempt in enumerate(query.attempts) if attempt.in_flight)
        completed = outcome is Outcome.COMPLETED
        result = AttemptResult(outcome, duration, 1000 if completed else 0, memory)
        query.attempt_ended(number, result, completed)

    def advance(self, span: int) -> None:
        """Lets time pass, and timers fire."""
        until = self.now + span
        while self.timers and self.timers[0][0] <= until:
            when, _, callback = heapq.heappop(self.timers)
            self.now = max(self.now, when)
            callback()
        self.now = max(self.now, until)

    def engine(self, index: int) -> Any:
        """The engine of an index, as the gateway sees it."""
        return self.gateway._engines.get(index)

    def engines(self) -> list[Any]:
        """All engines that the gateway knows, listed or not."""
        return list(self.gateway._engines._engines.values())

    def calls_of(self, name: str) -> list[Any]:
        """The values of all calls of one name."""
        return [call[1:] for call in self.calls if call[0] == name]

    def call_later(self, delay: int, callback: Any) -> None:
        heapq.heappush(self.timers, (self.now + max(1, delay), len(self.calls) + 10**6 * self.now, callback))
        self.calls.append(("later", delay))

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.calls.append((name, *values))


def entry(index: int, **other: Any) -> EngineEntry:
    return dataclasses.replace(EngineEntry(index, f"e{index}", 0, 0, 0, EngineState.UP, 1.0, 0), **other)


# Stand-ins on loopback sockets for what a workload manager speaks to, and the program itself.

LONG = 30.0  # seconds that any wait may take before the test fails; no test takes them as long as it passes
PAUSE = 0.02


def until(condition: Callable[[], Any], what: str, pause: float = PAUSE) -> Any:
    """Waits for a condition, however fast the machine is."""
    end = time.monotonic() + LONG
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise AssertionError(f"did not come: {what}")


def ref(name: str) -> str:
    """A batch's id as on the wire; the short name that a test goes by is found in it again."""
    return name if len(name) in (0, 16) else name.encode().hex().zfill(16)


class Engine:
    """Answers by a script: called with each batch's connection and id. Commands are kept as they came."""

    def __init__(
        self, script: Callable[[Engine, socket.socket, str], None], port: int = 0, full: bool = False
    ) -> None:
        """`full`: nobody can connect before `open`, as its queue of connections is taken."""
        self.script, self.commands, self.pages = script, list[list[str]](), dict[str, list[bytes]]()
        self.listener = socket.create_server(("127.0.0.1", port), backlog=0 if full else 128)
        self.port, self.connections = self.listener.getsockname()[1], list[socket.socket]()
        self._filler = socket.create_connection(("127.0.0.1", self.port)) if full else None
        if not full:
            self.open()

    def open(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    def called(self) -> bool:
        """Whether somebody's connect to it is under way."""
        wanted = f":{self.port:04X}"
        with open("/proc/self/net/tcp") as file:
            rows = [line.split() for line in file][1:]
        return any(row[2].endswith(wanted) and row[3] == "02" for row in rows)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rb") as file:
            while line := file.readline():
                parts = []
                for _ in range(int(line[1:])):
                    parts.append(file.read(int(file.readline()[1:]) + 2)[:-2])
                self.commands.append([part.decode() for part in parts])
                word, ident = self.commands[-1][:2]
                if word == "serve":
                    self.script(self, connection, ident)
                elif word == "read" and ident in self.pages:
                    page = int(self.commands[-1][2])
                    self.say(connection, ident, "ROWS", f"index={page}", self.pages[ident][page])

    def say(
        self, connection: socket.socket, ident: str, word: str, told: str = "-", body: bytes = b""
    ) -> None:
        parts = [ident.encode(), word.encode(), told.encode(), body]
        connection.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts))

    def returns(
        self, connection: socket.socket, ident: str, pages: Sequence[bytes] = (b"a\tb\tc\n",)
    ) -> None:
        self.pages[ident] = list(pages)
        told = f"total={len(pages)},elapsed=5.5,rss=40,l=queue:0;x0:0.1;x1:0.1"
        self.say(connection, ident, "OK", told, pages[0])

    def served(self) -> list[str]:
        served = [command[1] for command in self.commands if command[0] == "serve"]
        return [bytes.fromhex(ident).lstrip(b"\0").decode("latin-1") for ident in served]

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        if self._filler is not None:
            self._filler.close()
        for end in (self.listener, *self.connections):
            reset(end)


def reset(connection: socket.socket) -> None:
    """Ends a connection as a dying process does."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()


class Feed:
    """The control feed: a long poll over a list of events. `spoil` holds answers to give first."""

    def __init__(self) -> None:
        self.events, self.spoil, self.asked, feed = list[dict[str, Any]](), list[bytes](), list[int](), self
        self.news, self.hangs = threading.Condition(), 0
        self.stop_short = 0  # answers that break off in their middle, on a connection that stays open

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
                held, wait = int(query["SUB"][0]), int(query["wait"][0]) / 1000
                with feed.news:
                    feed.asked.append(held)
                    if feed.hangs:
                        feed.hangs -= 1
                        feed.news.wait_for(lambda: False, LONG)  # its connection stays open and silent
                        return
                    if feed.spoil:
                        self.wfile.write(feed.spoil.pop(0))
                        self.close_connection = True
                        return
                    feed.news.wait_for(lambda: len(feed.events) > held, wait)
                    told = json.dumps({"n": len(feed.events), "events": feed.events[held:]}).encode()
                    if feed.stop_short and len(feed.events) > held:
                        feed.stop_short -= 1
                        self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + told[:9])
                        feed.news.wait_for(lambda: False, LONG)
                        return
                self.send_response(200)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for part in (told[:7], told[7:]):
                    self.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
                self.wfile.write(b"0\r\n\r\n")

            def log_message(self, *_: Any) -> None:
                pass

        class Server(http.server.ThreadingHTTPServer):
            def handle_error(self, *_: Any) -> None:
                pass  # the program went while its poll was out

        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, args=(PAUSE,), daemon=True).start()

    def tell(self, *rows: dict[str, Any], complete: bool = False) -> int:
        with self.news:
            number = len(self.events) + 1
            self.events.append(
                {"n": number, "members": {"revision": number, "complete": complete, "members": list(rows)}}
            )
            self.news.notify_all()
        return number

    def heard(self, number: int) -> None:
        """Waits until the workload manager asks for what comes after this event."""
        until(lambda: number in self.asked, f"a poll past event {number}")


def member(
    engine: Engine | int, name: str = "s-1", phase: str = "SERVING", started: int = 0
) -> dict[str, Any]:
    port = engine if isinstance(engine, int) else engine.port
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "here",
        "flavor": "k",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": started,
    }


class Client:
    """Speaks frames over one connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, LONG)
        self.file = self.socket.makefile("rb")

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def ask(
        self,
        stream: int,
        name: str,
        service: str = "look",
        allow: str = "20000",
        body: str = "SELECT 1",
        **other: str,
    ) -> None:
        told = {
            "service": service,
            "ref": ref(name),
            "allow": allow,
            "project": "acme",
            "effort": "50",
            "space": "40",
            **other,
        }
        fields = b"".join(
            bytes((len(n),)) + n.encode() + len(v).to_bytes(2, "big") + v.encode() for n, v in told.items()
        )
        payload = bytes((len(told),)) + fields + body.encode(errors="surrogateescape")
        self.send(struct.pack(">IBI", 5 + len(payload), 2, stream) + payload)

    def read(self) -> tuple[int, int, bytes] | None:
        """Type, stream and payload of the next frame; None once the connection ended."""
        with contextlib.suppress(ConnectionError):
            head = self.file.read(9)
            if len(head) == 9:
                size, kind, stream = struct.unpack(">IBI", head)
                return kind, stream, self.file.read(size - 5)
        return None

    def answer(self) -> tuple[int, int, dict[str, str], bytes]:
        """Stream, code, fields and body of the next answer."""
        frame = self.read()
        assert frame is not None and frame[0] == 4, frame
        _, stream, payload = frame
        fields, at = {}, 2
        for _ in range(payload[1]):
            end = at + 1 + payload[at]
            size = int.from_bytes(payload[end : end + 2], "big")
            fields[payload[at + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
            at = end + 2 + size
        return stream, payload[0], fields, payload[at:]


SERVICES = {
    "classes": [
        {"name": "look", "aimUs": 2000000, "deadlineUs": 20000000, "importance": 1, "semantics": "pure"},
        {
            "name": "load",
            "aimUs": 2000000,
            "deadlineUs": 20000000,
            "importance": 1,
            "semantics": "side_effect",
        },
    ],
    "orgs": [{"name": "acme", "share": 1.0, "quotaPerS": 1000}],
    "kinds": ["k"],
    "failureDomains": ["here"],
    "az": 0,
    "groupSize": 1,
    "position": 0,
    "tickUs": 5000,
    "familyInfo": {
        "memoryByKindMb": [32768.0],
        "cpuOfKind": [16],
        "parallelism": [1, 1],
        "grantCap": 0.4,
        "takesGrants": True,
        "reportX0": "share of memory granted",
        "bills": True,
    },
    "limits": {
        "maxAttempts": 3,
        "maxOpen": 1000,
        "multiplex": 32,
        "dialTimeoutUs": 250000,
        "connIdleUs": 30000000,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
    },
    "safety": {"coldFrom": 0.3, "coldUs": 1000, "fallMultiple": 4.0, "overloadForUs": 2000000},
}


def free_address() -> str:
    """A loopback address that hardly anybody else asks for, with a port that the system chose."""
    host = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.{random.randint(1, 254)}"
    with socket.create_server((host, 0)) as listener:
        return f"{host}:{listener.getsockname()[1]}"


class Node:
    """The program, started as operators start it."""

    def __init__(
        self,
        folder: Path,
        feed: Feed,
        *rows: dict[str, Any],
        limits: dict[str, Any] | None = None,
        options: str | None = None,
        settings: dict[str, Any] | None = None,
        faults: Faults | None = None,
        environment: dict[str, str] | None = None,
        **limits_told: Any,
    ) -> None:
        """`options`: the operators' file, as HCL; `settings`: in place of those of SERVICES; `faults`: what
        befalls the process from within."""
        self.environment = {**(faults.environment if faults is not None else {}), **(environment or {})}
        self.listen = free_address()
        host, _, port = self.listen.rpartition(":")
        self.address, self.feed = (host, int(port)), feed
        feed.tell(*rows, complete=True)
        told = {
            "name": "n0",
            "listen": self.listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits_told},
            "feed": f"127.0.0.1:{feed.server.server_address[1]}",
            "known": {"n": len(feed.events), "events": list(feed.events)},
            "settings": {**SERVICES, "limits": {**SERVICES["limits"], **(limits or {})}, **(settings or {})},
        }
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(told))
        self.log, self.words = folder / "log", list[str]()
        if options is not None:
            (folder / "operator.hcl").write_text(options)
            self.words = ["--options", str(folder / "operator.hcl")]
        self.start()

    def start(self) -> None:
        environment = {"LB_NAME": "n0", "LB_LISTEN": self.listen}
        self.process = start(self.config, self.log, *self.words, **environment, **self.environment)
        until(self._ready, "readiness")

    def _ready(self) -> bool:
        assert self.process.poll() is None, self.log.read_text()
        with contextlib.suppress(OSError):
            client = self.client()
            client.send(struct.pack(">IBI", 6, 16, 0) + b"\0")
            return client.read() == (32, 0, b"\0\0")
        return False

    def client(self) -> Client:
        return Client(self.address)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.feed.server.shutdown()
        self.feed.server.server_close()


def stand_still(node: Node, meanwhile: Callable[[], Any], span: float) -> None:
    """The process stands still while something happens, and for at least so many seconds."""
    node.process.send_signal(signal.SIGSTOP)
    state = Path(f"/proc/{node.process.pid}/stat")
    until(lambda: state.read_text().rpartition(")")[2].split()[0] == "T", "the stop")
    meanwhile()
    end = time.monotonic() + span
    until(lambda: time.monotonic() > end, "the time to pass")
    node.process.send_signal(signal.SIGCONT)


def start(config: Path, log: Path, *words: str, **environment: str) -> subprocess.Popen[bytes]:
    with log.open("wb") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "vanerelay", "serve", *words],
            cwd=ROOT,
            stdout=out,
            stderr=out,
            env={**os.environ, "LB_CONFIG": str(config), **environment},
        )
