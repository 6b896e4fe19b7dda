"""Case 3: hundreds of requests at once from a bad client, and clients that ask on a resting connection meanwhile."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402
from clients import Sent  # noqa: E402
from standins import HOST, Engine, EngineLink, Feed, Gateway, Record, parse_answer, read_frame, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BURST = (80, 4)
"""Connections of the bad client, and requests at once on each."""
BURST_AT_S, FOR_S = 12.0, 12.0
"""When the burst comes, and how long clients go on asking after it."""
ALLOW_MS = 3_800
CROSSING_S = 0.05
"""PROTOCOL: a request that crosses the close of a connection within 50 ms is sent again, and is not lost."""
SLACK_S = 0.1
"""Added to that here, as the client sees the close later than the gateway makes it."""
RESTING_CLIENTS = 120
REST_S = (6.4, 7.8)

SETTINGS = {
    "classes": [
        {"name": "consulta-stock", "aimUs": 750_000, "aimStretch": 2.0, "deadlineUs": 4_000_000,
         "importance": 1, "lateWorth": 0.2, "semantics": "pure"},
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
    """A sound engine: answers each query after 20 ms."""
    await asyncio.sleep(0.02)
    engine.complete(link, ident, b"a\tb\tc\n", 20.0)


class RestingClient:
    """A client that asks, rests on the same connection, and asks again; it never closes a connection itself."""

    def __init__(self, record: Record, port: int, seed: int) -> None:
        self._record, self._port, self._random = record, port, random.Random(1000 + seed)
        self.lost: list[str] = []
        self.crossed = self.answered = self.sent = 0

    async def run(self, until: float) -> None:
        """Asks and rests until a time."""
        await asyncio.sleep(self._random.uniform(0, REST_S[1]))
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, self._port)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            stream = 0
            try:
                while time.monotonic() < until:
                    stream += 1
                    if not await self._ask(reader, writer, stream, first=stream == 1):
                        break
                    if await self._rest(reader):
                        break
            finally:
                writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stream: int, first: bool
    ) -> bool:
        """Sends one request; returns False once the connection is of no further use."""
        sent = Sent(f"{self._random.getrandbits(64):016x}", "consulta-stock", ALLOW_MS, time.monotonic())
        fields = {"service": sent.service, "ref": sent.ref, "allow": str(ALLOW_MS), "effort": "20", "space": "20"}
        writer.write(request(stream, fields, b"SELECT a, b, c FROM sales_3.stock WHERE box = 7"))
        self.sent += 1
        self._record.line(f"resting client sent {sent.ref} first={first}")
        try:
            while True:
                kind, answered, payload = await asyncio.wait_for(read_frame(reader), 10)
                if kind == 4 and answered == stream:
                    code, _, _ = parse_answer(payload)
                    took = (time.monotonic() - sent.at) * 1000
                    self._record.line(f"resting client answered {sent.ref} code={code} after_ms={took:.0f}")
                    self.answered += 1
                    return True
        except (OSError, asyncio.IncompleteReadError):
            ended_after = time.monotonic() - sent.at
        except asyncio.TimeoutError:
            ended_after = float("inf")
        # The gateway ended the connection and never answered.
        if ended_after <= CROSSING_S + SLACK_S:
            self.crossed += 1
            self._record.line(f"resting client: {sent.ref} crossed the close, {ended_after * 1000:.0f} ms")
        elif first:
            self._record.line(f"resting client: {sent.ref} was the first on its connection, not counted")
        else:
            self.lost.append(sent.ref)
            self._record.line(f"LOST {sent.ref}: connection ended {ended_after:.2f} s after it was sent, no answer")
        return False

    async def _rest(self, reader: asyncio.StreamReader) -> bool:
        """Rests; returns True if the gateway has ended the connection."""
        try:
            data = await asyncio.wait_for(reader.read(65536), self._random.uniform(*REST_S))
        except asyncio.TimeoutError:
            return False
        except OSError:
            return True
        return not data


async def run(record: Record, folder: Path) -> int:
    engines = [Engine(f"e{number}", serve, record) for number in range(4)]
    for engine in engines:
        await engine.start()
    feed = Feed([standins.member(engine) for engine in engines])
    await feed.start()
    port = standins.free_port()
    gateway = Gateway("n0", folder, standins.configuration("n0", port, feed, SETTINGS))
    gateway.start()
    resting = [RestingClient(record, port, seed) for seed in range(RESTING_CLIENTS)]
    burst: subprocess.Popen[str] | None = None
    lag = standins.Lag()
    try:
        if not await gateway.until_ready():
            record.say("the gateway did not become ready")
            return 2
        started = time.monotonic()
        until = started + BURST_AT_S + FOR_S
        asking = [asyncio.ensure_future(client.run(until)) for client in resting]
        await asyncio.sleep(BURST_AT_S)
        if TROUBLE:
            record.line("burst begins")
            burst = subprocess.Popen(
                [sys.executable, str(HERE.parent / "common" / "burst.py"), str(port), str(ALLOW_MS), *map(str, BURST)],
                stdout=subprocess.PIPE, text=True,
            )
        await asyncio.gather(*asking)
        if burst is not None:
            burst.kill()
            said = (burst.communicate()[0] or "").strip()
            record.line(said or "the burst was not sent")
            if not said.startswith("burst sent"):
                return 2
        if gateway.process is None or gateway.process.poll() is not None:
            record.say("the gateway ended by itself")
            return 1
        lag_s = lag.stop()
        if lag_s > SLACK_S:
            record.say(f"the stand-ins were late themselves, {lag_s:.3f} s")
            return 2
        lost = sum(len(client.lost) for client in resting)
        record.say(
            f"resting clients: sent={sum(client.sent for client in resting)}"
            f" answered={sum(client.answered for client in resting)}"
            f" crossed={sum(client.crossed for client in resting)} lost={lost} stand-ins late_s={lag_s:.3f}"
        )
        return 1 if lost else 0
    finally:
        if burst is not None and burst.poll() is None:
            burst.kill()
            burst.wait()
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
