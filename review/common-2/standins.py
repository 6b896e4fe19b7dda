"""Stand-ins for the cases 6 to 10: engines, a control feed, clients, and the start of real gateways.

They follow PROTOCOL: binary frames from clients, RESP arrays to engines, HTTP polls of the control feed. All
addresses are loopback addresses with free ports. Everything is in one process but the gateway, which is
started with the `run` command of the deploy file. Standard library only.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_S = 0.05
"""PROTOCOL, the rules on sockets: each time limit is 50 ms longer."""

REQUEST, ANSWER, CANCEL, READINESS_CHECK, READINESS, GO_AWAY = 2, 4, 8, 16, 32, 64
SERVED, REFUSED, FAILED = 0, 1, 2
CODES = {SERVED: "served", REFUSED: "refused", FAILED: "failed", None: "no answer"}

CROSSING_S = 0.05
"""PROTOCOL: a request that crosses the close of a connection within 50 ms is sent again by its client."""
PR_SET_PDEATHSIG = 1

Event = dict[str, Any]
RECORD: list[Event] = []


class Lateness:
    """How late the loop of the stand-ins was at most; it is added to each bound."""

    most_s = 0.0

    @classmethod
    async def watch(cls) -> None:
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            cls.most_s = max(cls.most_s, time.monotonic() - due)


def die_with_parent() -> None:
    """A gateway ends with its script, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def now() -> float:
    return time.time()


def note(kind: str, **fields: Any) -> Event:
    """Adds a line to the record."""
    event: Event = {"t": now(), "kind": kind, **fields}
    RECORD.append(event)
    return event


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def resp(*parts: str | bytes) -> bytes:
    """An array of bulk strings."""
    pieces = [b"*%d\r\n" % len(parts)]
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        pieces.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(pieces)


class Engine:
    """A sound engine: runs each statement for the time that `work_s` gives for its class.

    Attributes:
        reports: The load report of an answer, by the number of requests in hand.
        after_answer: Called with the connection's writer after each answer.
        notes_every_s: How often a note tells how far a request is; 0 for never.
        next_note: The fields of the next note, in place of the usual ones; empty for those.
    """

    def __init__(self, name: str, work_s: dict[str, float], zone: str, kind: str) -> None:
        self.name, self.work_s, self.zone, self.kind = name, work_s, zone, kind
        self.port = free_port()
        self.in_hand = 0
        self.notes_every_s, self.next_note = 0.0, ""
        self.reports: Callable[[int], str] = lambda in_hand: f"inflight:{in_hand}"
        self.after_answer: Callable[[asyncio.StreamWriter], None] = lambda writer: None
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def entry(self, phase: str = "SERVING", started_ms: int = 0) -> Event:
        """Its row in the list of engines."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": 0,
            "phase": phase,
            "size": 1,
            "up_since_ms": started_ms,
        }

    async def start(self) -> Engine:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def die(self) -> None:
        """As a dying process: resets its connections, and refuses new ones."""
        note("engine dies", engine=self.name)
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while head := await reader.readline():
                parts = []
                for _ in range(int(head[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                ident = parts[1].decode()
                if parts[0] == b"serve":
                    run = note(
                        "run begins",
                        engine=self.name,
                        id=ident,
                        fields=parts[2].decode(),
                        statement=parts[3].decode(),
                    )
                    running[ident] = asyncio.create_task(self._run(ident, run, writer))
                elif parts[0] == b"cancel" and ident in running:
                    note("cancel", engine=self.name, id=ident)
                    running[ident].cancel()
                elif parts[0] == b"health":
                    writer.write(resp(ident, "UP", "-", ""))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            for task in running.values():  # closing the connection abandons everything open on it
                task.cancel()
            writer.close()

    async def _run(self, ident: str, run: Event, writer: asyncio.StreamWriter) -> None:
        self.in_hand += 1
        work_s = self.work_s[dict(pair.split("=", 1) for pair in run["fields"].split(","))["sort"]]
        try:
            await self._work(ident, work_s, writer)
            rows = f"{ident}\t{self.name}\t1\n"
            note("run ends", engine=self.name, id=ident, rows=rows)
            fields = f"total=1,elapsed={work_s * 1000:.1f},rss=64,l={self.reports(self.in_hand)}"
            writer.write(resp(ident, "OK", fields, rows))
            self.after_answer(writer)
        except asyncio.CancelledError:
            note("run is abandoned", engine=self.name, id=ident)
            raise
        finally:
            self.in_hand -= 1

    async def _work(self, ident: str, work_s: float, writer: asyncio.StreamWriter) -> None:
        """Runs, and sends notes meanwhile."""
        done_s = 0.0
        while self.notes_every_s and done_s + self.notes_every_s < work_s:
            await asyncio.sleep(self.notes_every_s)
            done_s += self.notes_every_s
            fields, self.next_note = self.next_note or f"n=frac,datum={done_s / work_s:.2f}", ""
            note("note", engine=self.name, id=ident, fields=fields)
            writer.write(resp(ident, "NOTE", fields, ""))
        await asyncio.sleep(work_s - done_s)


class Feed:
    """The control feed: numbered events, long polls.

    Attributes:
        answer_delay_s: How long each answer is under way.
    """

    def __init__(self) -> None:
        self.port = free_port()
        self.events: list[Event] = []
        self.answer_delay_s = 0.0
        self.polls = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def add(self, members: list[Event], complete: bool = False, quiet: bool = False) -> float:
        """Adds an event; returns when it was there."""
        number = len(self.events) + 1
        self.events.append(
            {"n": number, "members": {"revision": number, "complete": complete, "members": members}}
        )
        if not quiet:
            note("event in the feed", n=number, rows=[(row["id"], row["phase"]) for row in members])
        self._changed.set()
        self._changed = asyncio.Event()
        return now()

    async def start(self) -> Feed:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def stop_accepting(self) -> None:
        assert self._server is not None
        self._server.close()

    def close_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.polls += 1
                query = head.split()[1].decode().partition("?")[2]
                values = dict(pair.split("=") for pair in query.split("&"))
                since, until = int(values["SUB"]), now() + int(values["wait"]) / 1000
                while len(self.events) <= since and now() < until:
                    try:
                        await asyncio.wait_for(self._changed.wait(), until - now())
                    except asyncio.TimeoutError:
                        break
                await asyncio.sleep(self.answer_delay_s)
                body = json.dumps({"n": len(self.events), "events": self.events[since:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Request:
    """One request of a client, with its answers."""

    def __init__(self, service: str, allow_ms: int, statement: str) -> None:
        self.ref = os.urandom(8).hex()
        self.service, self.allow_ms, self.statement = service, allow_ms, statement
        self.sent = now()
        self.answers: list[tuple[float, int]] = []
        self.is_first, self.is_written = False, True  # on its connection; to the system, at once
        self.connection_ended_at: float | None = None
        self.done: asyncio.Future[int | None] = asyncio.get_running_loop().create_future()

    @property
    def code(self) -> int | None:
        return self.answers[0][1] if self.answers else None

    def runs(self) -> list[Event]:
        """The runs of it that reached an engine."""
        return [event for event in RECORD if event["kind"] == "run begins" and event["id"] == self.ref]


class Client:
    """One connection of a client."""

    def __init__(self, requests: list[Request]) -> None:
        self._requests = requests
        self._by_stream: dict[int, Request] = {}
        self._stream = 0
        self.open: set[int] = set()
        self.closed = False
        self._ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def connect(self, port: int) -> Client:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reading = asyncio.create_task(self._read())
        return self

    def send(
        self, service: str, allow_ms: int, statement: str, tenant: str, effort: str, space: str, key: str = ""
    ) -> Request:
        request = Request(service, allow_ms, statement)
        fields = {
            "service": service,
            "ref": request.ref,
            "allow": str(allow_ms),
            "project": tenant,
            "effort": effort,
            "space": space,
        }
        if key:
            fields["lookup"] = key
        payload = bytes([len(fields)])
        for name, value in fields.items():
            payload += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        payload += statement.encode()
        self._stream += 1
        self._by_stream[self._stream] = request
        self.open.add(self._stream)
        self._requests.append(request)
        request.is_first = self._stream == 1
        note("sent", id=request.ref, service=service, allow=allow_ms, key=key, statement=statement)
        self._writer.write(struct.pack(">IBI", 5 + len(payload), REQUEST, self._stream) + payload)
        request.is_written = self._writer.transport.get_write_buffer_size() == 0
        return request

    async def ready(self) -> int:
        self._writer.write(struct.pack(">IBI", 6, READINESS_CHECK, 0) + b"\0")
        return await asyncio.wait_for(self._ready, 2)

    async def _read(self) -> None:
        try:
            while True:
                size, kind, stream = struct.unpack(">IBI", await self._reader.readexactly(9))
                payload = await self._reader.readexactly(size - 5)
                if kind == READINESS and not self._ready.done():
                    self._ready.set_result(payload[0])
                elif kind == ANSWER and stream:
                    self._answered(stream, payload)
                elif kind == ANSWER:
                    note("error on stream 0")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.closed = True
        for stream in self.open:
            note("connection ends", id=self._by_stream[stream].ref)
            self._by_stream[stream].connection_ended_at = now()
            if not self._by_stream[stream].done.done():
                self._by_stream[stream].done.set_result(None)

    def _answered(self, stream: int, payload: bytes) -> None:
        request = self._by_stream[stream]
        self.open.discard(stream)
        request.answers.append((now(), payload[0]))
        note("answered", id=request.ref, code=CODES[payload[0]], after=round(now() - request.sent, 3))
        if not request.done.done():
            request.done.set_result(payload[0])

    def close(self) -> None:
        self._writer.close()


class Gateway:
    """A real gateway, started with the `run` command of the deploy file."""

    def __init__(self, settings: Event, feed: Feed) -> None:
        self.port = free_port()
        self._folder = tempfile.mkdtemp(prefix="review-")
        self._configuration = os.path.join(self._folder, "config.json")
        self._process: subprocess.Popen[bytes] | None = None
        self.log_path = os.path.join(self._folder, "log")
        self.write(settings, feed)

    def write(self, settings: Event, feed: Feed) -> None:
        """Replaces the configuration file."""
        configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "feed": feed.address,
            "known": {"n": len(feed.events), "events": list(feed.events)},
            "settings": settings,
        }
        with open(self._configuration + ".new", "w", encoding="utf-8") as file:
            json.dump(configuration, file)
        os.replace(self._configuration + ".new", self._configuration)

    async def start(self) -> Gateway:
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": self._configuration,
            "TMPDIR": self._folder,
        }
        with open(self.log_path, "wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        note("gateway starts", pid=self._process.pid)
        for _ in range(600):
            if self._process.poll() is not None:
                break
            try:
                client = await Client([]).connect(self.port)
                code = await client.ready()
                client.close()
                if code == 0:
                    note("gateway is ready")
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateway is not ready: " + self.log()[-2000:])

    def hang_up(self) -> None:
        """SIGHUP, to the program that `run` started."""
        assert self._process is not None
        note("SIGHUP")
        self._process.send_signal(signal.SIGHUP)

    def log(self) -> str:
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    @property
    def has_crashed(self) -> bool:
        return self._process is not None and self._process.poll() is not None

    def end(self) -> None:
        """Ends the process and removes its folder."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            for line in self.log().splitlines():
                line = line.replace(f"{ROOT}/", "").replace(sys.prefix, "PREFIX").replace(sys.base_prefix, "PREFIX")
                RECORD.append({"kind": "gateway's log", "line": line[:2500]})
        shutil.rmtree(self._folder, ignore_errors=True)


def check_answers(requests: list[Request]) -> list[str]:
    """The rule on lost requests: one whole answer, half a second after the time allowed at the latest.

    Excused are, if the gateway ended their connection, the first request on it (LATER) and one that crossed the end
    by up to 50 ms (PROTOCOL). Not judged is one whose last byte the system had not taken at once.
    """
    breaks, excused, unwritten = [], 0, 0
    for request in requests:
        until = request.sent + request.allow_ms / 1000 + 0.5 + SLACK_S + Lateness.most_s
        if len(request.answers) == 1 and request.answers[0][0] <= until:
            continue
        if not request.is_written:
            unwritten += 1
        elif not request.answers and is_excused(request):
            excused += 1
        elif not request.answers:
            ended = " and its connection was ended" if request.connection_ended_at else ""
            breaks.append(f"lost: {request.service} {request.ref} has no answer{ended}")
        elif len(request.answers) > 1:
            breaks.append(f"lost: {request.service} {request.ref} has {len(request.answers)} answers")
        else:
            after = request.answers[0][0] - request.sent
            breaks.append(f"lost: {request.service} {request.ref} is answered after {after:.2f} s")
    note("answers checked", excused=excused, not_judged=unwritten, stand_ins_late_s=round(Lateness.most_s, 3))
    return breaks


def is_excused(request: Request) -> bool:
    """Whether the end of its connection excuses a request without an answer."""
    ended_at = request.connection_ended_at
    if ended_at is None:
        return False
    return request.is_first or ended_at - request.sent <= CROSSING_S + Lateness.most_s


def run_case(folder: str, play: Callable[[list[Gateway]], Awaitable[list[str]]], limit_s: float) -> None:
    """Plays a case, writes its record, and exits with 1 if a rule was broken, 0 if not, 2 if it could not run.

    `play` returns the breaks as sentences, and adds the gateways that it starts to its argument.
    """
    gateways: list[Gateway] = []
    code, lines = 2, list[str]()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, _give_up)
    try:
        breaks = asyncio.run(_limited(play, gateways, limit_s))
        code, lines = (1, breaks) if breaks else (0, ["no rule was broken"])
    except Exception as error:  # the case could not run
        lines = [f"could not run: {type(error).__name__}: {error}"]
    finally:
        for gateway in gateways:
            gateway.end()
        started = next((event["t"] for event in RECORD if "t" in event), now())
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write(f"TROUBLE={int(TROUBLE)}\n")
            for event in RECORD:
                shown = {name: value for name, value in event.items() if name != "t"}
                at = f"{event['t'] - started:9.3f} " if "t" in event else " " * 10
                file.write(at + json.dumps(shown) + "\n")
            file.writelines(line + "\n" for line in lines)
        print("\n".join(lines[:20]))
        sys.stdout.flush()
    os._exit(code)  # at once: streams of a loop that has ended complain when they are collected


def _give_up(*_: object) -> None:
    """Ends a case that is broken off, with its processes."""
    raise SystemExit(2)


async def _limited(
    play: Callable[[list[Gateway]], Awaitable[list[str]]], gateways: list[Gateway], limit_s: float
) -> list[str]:
    watching = asyncio.create_task(Lateness.watch())
    try:
        return await asyncio.wait_for(play(gateways), limit_s)
    finally:
        watching.cancel()
