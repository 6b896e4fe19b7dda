"""Case 1: a planned restart, and clients that send many requests at once shortly before the gateway stops taking any."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402
from standins import HOST, Engine, EngineLink, Feed, Gateway, Record, parse_answer, read_frame, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONNECT_S, SEND_S = 0.25, 0.35
"""After SIGTERM. PROTOCOL: new connections arrive for 0.2 to 0.4 s, requests on open ones for 0.2 s more."""
WRITTEN_BY_S = 0.6
"""A request counts only if its last byte was written by then."""
CLIENTS, REQUESTS_EACH = 8, 26
"""PROTOCOL: up to 32 requests may be open on one connection."""
STATEMENT_BYTES = 60_000
ALLOW_MS = 20_000
WAIT_S = 25.7
"""The longest deadline, 25 s, plus 0.7 s: SIGKILL comes no earlier in any reading of the page."""

SETTINGS = {
    "classes": [
        {"name": "reporte-semanal", "aimUs": 3_000_000, "aimStretch": 2.5, "deadlineUs": 25_000_000,
         "importance": 10, "lateWorth": 0.2, "semantics": "pure"},
    ],
    "orgs": [], "kinds": ["k"], "failureDomains": ["here"], "az": 0, "groupSize": 1, "position": 0,
    "tickUs": 5000,
    "familyInfo": {"memoryByKindMb": [32768], "cpuOfKind": [12], "parallelism": [1], "takesGrants": True,
                   "bills": True, "grantCap": 0.4, "reportX0": "share of memory granted",
                   "reportX1": "share of disks busy"},
    "report": {"columns": ["pending", "x0", "x1"], "how": "piggyback"},
    "limits": {"maxAttempts": 3, "maxOpen": 20000, "multiplex": 100, "dialTimeoutUs": 250_000,
               "connIdleUs": 15_000_000, "cancel": True, "secondCopies": True, "retryAfter": True,
               "maxRetryAfterUs": 2_000_000},
    "safety": {"coldFrom": 0.35, "coldUs": 14_000_000, "fallMultiple": 4, "overloadForUs": 2_000_000,
               "drainGraceUs": 2_000_000, "graceToAnswerUs": 20_000, "minExtra": 2, "extraRatio": 0.2,
               "ratioSpanUs": 10_000_000},
}


async def serve(engine: Engine, link: EngineLink, ident: str, fields: dict[str, str], body: bytes) -> None:
    """A sound engine: answers each query after 5 ms."""
    await asyncio.sleep(0.005)
    engine.complete(link, ident, b"a\tb\tc\n", 5.0)


def statement() -> bytes:
    """Returns a query for a long list of numbers."""
    head = b"SELECT a, b, c FROM sales_17.orders WHERE box IN ("
    numbers = b",".join(b"%d" % (number % 10) for number in range((STATEMENT_BYTES - len(head)) // 2))
    return head + numbers + b")"


class Client:
    """Sends many requests at once on a new connection, and reads their answers."""

    def __init__(self, record: Record, port: int, number: int) -> None:
        self._record, self._port, self._number = record, port, number
        self.open: dict[int, str] = {}
        self.answered = 0
        self.twice = 0
        self.written_at = 0.0

    async def run(self, connect_at: float, send_at: float, began: float) -> None:
        """Connects, sends, and reads until the gateway ends the connection."""
        await asyncio.sleep(max(0.0, connect_at - time.monotonic()))
        reader, writer = await asyncio.open_connection(HOST, self._port)
        await asyncio.sleep(max(0.0, send_at - time.monotonic()))
        body = statement()
        message = []
        for number in range(1, REQUESTS_EACH + 1):
            ref = f"{self._number:08x}{number:08x}"
            fields = {"service": "reporte-semanal", "ref": ref, "allow": str(ALLOW_MS), "effort": "5", "space": "20"}
            message.append(request(number, fields, body))
            self.open[number] = ref
            self._record.line(f"client {self._number} sends {ref}")
        writer.write(b"".join(message))
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        self.written_at = time.monotonic() - began
        self._record.line(
            f"client {self._number} has written {REQUESTS_EACH} requests, {self.written_at:.3f} s after SIGTERM"
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self.open:
                kind, stream, payload = await read_frame(reader)
                if kind == 64:
                    self._record.line(f"client {self._number} told to send no new request")
                if kind != 4:
                    continue
                code, _, _ = parse_answer(payload)
                ref = self.open.pop(stream, None)
                if ref is None:
                    self.twice += 1
                    continue
                self.answered += 1
                self._record.line(f"client {self._number} answered {ref} code={code}")
        if self.open.pop(1, None) is not None:
            self._record.line(f"client {self._number}: the first on its connection got no answer, not counted")
        for ref in self.open.values():
            ended_at = time.monotonic() - began
            self._record.line(f"LOST {ref}: connection ended {ended_at:.3f} s after SIGTERM, no answer")
        writer.close()


async def run(record: Record, folder: Path) -> int:
    engines = [Engine(f"e{number}", serve, record) for number in range(6)]
    for engine in engines:
        await engine.start()
    feed = Feed([standins.member(engine) for engine in engines])
    await feed.start()
    port = standins.free_port()
    gateway = Gateway("n0", folder, standins.configuration("n0", port, feed, SETTINGS))
    gateway.start()
    try:
        if not await gateway.until_ready():
            record.say("the gateway did not become ready")
            return 2
        await asyncio.sleep(1.0)
        began = time.monotonic()
        if TROUBLE:
            record.line("SIGTERM")
            gateway.signal(signal.SIGTERM)
        clients = [Client(record, port, number + 1) for number in range(CLIENTS)]
        reading = [
            asyncio.ensure_future(client.run(began + CONNECT_S, began + SEND_S, began)) for client in clients
        ]
        _, late = await asyncio.wait(reading, timeout=WAIT_S)
        for task in late:
            task.cancel()
        if any(task.done() and not task.cancelled() and task.exception() for task in reading):
            record.say("a client could not connect or write")
            return 2
        in_time = [client for client in clients if client.written_at <= WRITTEN_BY_S]
        if not in_time:
            record.say("no client could write its requests in time")
            return 2
        lost = sum(len(client.open) for client in in_time)
        record.say(
            f"requests={CLIENTS * REQUESTS_EACH} clients_in_time={len(in_time)} answered={sum(client.answered for client in clients)} lost={lost}"
            f" answered_twice={sum(client.twice for client in clients)}"
        )
        return 1 if lost or any(client.twice for client in clients) else 0
    finally:
        gateway.end()
        for engine in engines:
            engine.close()
        feed.close()
        for line in gateway.log_path.read_text(encoding="utf-8").splitlines():
            record.line("log " + line)


def main() -> int:
    return standins.play(HERE, TROUBLE, run)


if __name__ == "__main__":
    sys.exit(main())
