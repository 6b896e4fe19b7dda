"""Stand-ins for the review's cases: a gateway process, a discovery service, engines and clients.

Everything listens on 127.0.0.1, on ports that the system chooses. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


class Record:
    """Writes what was sent, answered and run to `record.txt`, one line for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._zero

    def line(self, text: str) -> None:
        """Writes one line with its time."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


class Gateway:
    """One gateway process, started by the deploy file's `run`."""

    def __init__(self, name: str, folder: Path, configuration: dict[str, Any]) -> None:
        self.name, self._folder = name, folder
        self.configuration = configuration
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.port = int(configuration["listen"].rpartition(":")[2])
        self.process: subprocess.Popen[bytes] | None = None

    def write(self) -> None:
        """Replaces the configuration file as a whole."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.configuration), encoding="utf-8")
        temporary.replace(self.path)

    def start(self) -> None:
        """Starts the process."""
        self.write()
        environment = dict(os.environ)
        environment.update(
            LB_CONFIG=str(self.path), LB_LISTEN=self.configuration["listen"], LB_NAME=self.name
        )
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process that `run` started."""
        assert self.process is not None
        self.process.send_signal(number)

    async def until_ready(self, within_s: float = 30.0) -> bool:
        """Asks for readiness until the answer is yes."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(frame(16, 0, b"\0"))
                kind, _, payload = await asyncio.wait_for(read_frame(reader), 5)
                writer.close()
                if kind == 32 and payload[:1] == b"\0":
                    return True
            await asyncio.sleep(0.05)
        return False

    def end(self) -> None:
        """Kills the process, if it still runs, and waits for its end."""
        if self.process is None:
            return
        if self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        self.process.wait()


# Clients.


def frame(kind: int, stream: int, payload: bytes) -> bytes:
    """Encodes a frame."""
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request(stream: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encodes a request."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode())
        parts.append(struct.pack(">H", len(value.encode())) + value.encode())
    return frame(2, stream, b"".join(parts) + body)


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, int, bytes]:
    """Reads a frame: its type, stream and payload."""
    length, kind, stream = struct.unpack(">IBI", await reader.readexactly(9))
    return kind, stream, await reader.readexactly(length - 5)


def parse_answer(payload: bytes) -> tuple[int, dict[str, str], bytes]:
    """Returns the code, the fields and the body of an answer."""
    code, count, at = payload[0], payload[1], 2
    fields = {}
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1 : at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack(">H", payload[at : at + 2])
        fields[name] = payload[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return code, fields, payload[at:]


# Engines.

Serve = Callable[["Engine", "EngineLink", str, dict[str, str], bytes], Awaitable[None]]


class EngineLink:
    """A connection that an engine has accepted."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def answer(self, ident: str, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Writes an answer."""
        parts = [ident.encode(), word.encode(), fields.encode(), body]
        if not self.writer.is_closing():
            self.writer.write(
                b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
            )

    def reset(self) -> None:
        """Resets the connection."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Engine:
    """An engine that hands each `serve` to a coroutine."""

    def __init__(self, name: str, serve: Serve, record: Record) -> None:
        self.name, self._serve, self._record = name, serve, record
        self.port = 0
        self.links: set[EngineLink] = set()
        self.pages: dict[str, list[bytes]] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = EngineLink(reader, writer)
        self.links.add(link)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                parts = []
                for _ in range(int(line[1:])):
                    size = int((await reader.readline())[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                self._command(link, parts)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            writer.close()

    def _command(self, link: EngineLink, parts: list[bytes]) -> None:
        verb, ident = parts[0].decode(), parts[1].decode()
        if verb == "serve":
            fields = dict(pair.split("=", 1) for pair in parts[2].decode().split(",") if "=" in pair)
            self._record.line(f"engine {self.name} got {ident} {fields.get('sort')}")
            task = asyncio.ensure_future(self._serve(self, link, ident, fields, parts[3]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif verb == "read":
            page = int(parts[2])
            pages = self.pages.get(ident)
            if pages is None or page >= len(pages):
                link.answer(ident, "ERR")
            else:
                link.answer(ident, "ROWS", f"index={page}", pages[page])
        elif verb == "release":
            self.pages.pop(ident, None)
        elif verb == "health":
            link.answer(ident, "UP")

    def complete(self, link: EngineLink, ident: str, rows: bytes, work_ms: float = 5.0) -> None:
        """Completes a query with one page."""
        load = "l=queue:0;x0:0.1;x1:0.1"
        link.answer(ident, "OK", f"total=1,elapsed={work_ms},rss=20,{load}", rows)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


def member(engine: Engine, phase: str = "SERVING", up_since_ms: int = 0) -> dict[str, Any]:
    """Returns the row of an engine in the list."""
    return {
        "id": engine.name,
        "host_port": f"{HOST}:{engine.port}",
        "locality": "here",
        "flavor": "k",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": up_since_ms,
    }


# The discovery service.


class Feed:
    """The control feed: numbered events, long polls over HTTP/1.1."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        body = {"revision": 1, "complete": True, "members": members}
        self.events: list[dict[str, Any]] = [{"n": 1, "members": body}]
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        """Returns the events of the start."""
        return {"n": self.events[-1]["n"], "events": list(self.events)}

    def change(self, members: list[dict[str, Any]]) -> None:
        """Tells changes."""
        number = self.events[-1]["n"] + 1
        body = {"revision": number, "complete": False, "members": members}
        self.events.append({"n": number, "members": body})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                target = line.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
                last, wait_s = int(query["SUB"][0]), int(query["wait"][0]) / 1000
                if self.events[-1]["n"] <= last:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), wait_s)
                events = [event for event in self.events if event["n"] > last]
                body = json.dumps({"n": self.events[-1]["n"], "events": events}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, IndexError, ValueError, KeyError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def configuration(name: str, port: int, feed: Feed, settings: dict[str, Any]) -> dict[str, Any]:
    """Returns a gateway's configuration, with the limits of the scored days."""
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "feed": f"{HOST}:{feed.port}",
        "known": feed.known(),
        "settings": settings,
    }


# A case.


class Lag:
    """How late the stand-ins' own event loop was at most. The checks grant it beside their bounds."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        while True:
            due = time.monotonic() + 0.005
            await asyncio.sleep(0.005)
            self.longest_s = max(self.longest_s, time.monotonic() - due)

    def stop(self) -> float:
        """Ends the watch and returns the longest lag in seconds."""
        self._task.cancel()
        return self.longest_s


def play(here: Path, trouble: bool, run: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Runs a case, within 100 s, and returns its exit code; 2 if it could not run, whatever the error.

    SIGTERM and SIGINT end it in order, so that the processes it has started end too.
    """
    record = Record(here / "record.txt")
    record.line(f"trouble={trouble}")

    async def bounded(folder: Path) -> int:
        task = asyncio.ensure_future(run(record, folder))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 100)

    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(bounded(Path(folder)))
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            code = 2
    record.say(f"exit={code}")
    record.close()
    return code
