"""Case 2: hundreds of requests at once from a bad client, and what becomes of other clients' requests."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402
from clients import LoadClient, UsualClient  # noqa: E402
from standins import Engine, EngineLink, Feed, Gateway, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLINE_MS, ALLOW_MS = 4000, 3200
"""The class's time limit, and the try of a usual client: 80% of it."""
LATE_S = 0.5 + 0.05
"""STANDING: up to half a second after its time an answer only earns nothing; PROTOCOL: each limit is 50 ms longer."""
CROSSING_S = 0.05
"""PROTOCOL: a request that crosses the close of a connection within 50 ms is sent again. LATER excuses the first one
on a connection that ends without an answer.
"""
CLIENTS, INTERVAL_S = 10, 0.5
LOAD_CLIENTS, LOAD_INTERVAL_S = 25, 1.0
LOAD_ALLOW_MS, LOAD_PATIENCE_S = 20_000, (2.0, 14.0)
"""80% of the class's 25 s; and after how long a client withdraws a load that was not answered."""
BEGIN_S, SLACK_S = 0.1, 0.05
"""STANDING: an attempt that begins more than 0.1 s after its client has gone is a break; and the 50 ms above."""
BURST_AT_S, SEND_FOR_S = 3.0, 18.0
BURST = (80, 12)
"""Connections, and requests at once on each."""

SETTINGS = {
    "classes": [
        {"name": "consulta-stock", "aimUs": 750_000, "aimStretch": 2.0, "deadlineUs": DEADLINE_MS * 1000,
         "importance": 1, "lateWorth": 0.2, "semantics": "pure"},
        {"name": "carga-pedidos", "aimUs": 3_000_000, "aimStretch": 2.5, "deadlineUs": 25_000_000,
         "importance": 6, "lateWorth": 0.2, "semantics": "side_effect"},
    ],
    "orgs": [], "kinds": ["k"], "failureDomains": ["here"], "az": 0, "groupSize": 1, "position": 0,
    "tickUs": 5000,
    "familyInfo": {"memoryByKindMb": [32768], "cpuOfKind": [12], "parallelism": [1, 2], "takesGrants": True,
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


async def run(record: Record, folder: Path) -> int:
    begun: list[tuple[str, float]] = []

    async def serve(engine: Engine, link: EngineLink, ident: str, fields: dict[str, str], body: bytes) -> None:
        """A sound engine: answers each query after 20 ms, each load after 100 ms."""
        begun.append((ident, time.monotonic()))
        is_load = fields["sort"] == "carga-pedidos"
        work_s = 0.1 if is_load else 0.02
        await asyncio.sleep(work_s)
        engine.complete(link, ident, b"a\tb\tc\n", 2000 * work_s if is_load else 1000 * work_s)

    engines = [Engine(f"e{number}", serve, record) for number in range(4)]
    for engine in engines:
        await engine.start()
    feed = Feed([standins.member(engine) for engine in engines])
    await feed.start()
    port = standins.free_port()
    gateway = Gateway("n0", folder, standins.configuration("n0", port, feed, SETTINGS))
    gateway.start()
    clients = [UsualClient(record, port, seed) for seed in range(CLIENTS)]
    loaders = [LoadClient(record, port, seed, LOAD_PATIENCE_S) for seed in range(LOAD_CLIENTS)]
    burst: subprocess.Popen[str] | None = None
    lag = standins.Lag()
    try:
        if not await gateway.until_ready():
            record.say("the gateway did not become ready")
            return 2
        started = time.monotonic()
        body = b"SELECT a, b, c FROM sales_3.stock WHERE box = 7"
        sending = [
            asyncio.ensure_future(
                client.run(started + SEND_FOR_S, INTERVAL_S, "consulta-stock", ALLOW_MS, body)
            )
            for client in clients
        ]
        load = b"INSERT INTO sales_5.orders VALUES (1, 2, 'x')"
        loading = [
            asyncio.ensure_future(
                loader.run(started + SEND_FOR_S, LOAD_INTERVAL_S, "carga-pedidos", LOAD_ALLOW_MS, load)
            )
            for loader in loaders
        ]
        await asyncio.sleep(BURST_AT_S)
        if TROUBLE:
            record.line("burst begins")
            burst = subprocess.Popen(
                [sys.executable, str(HERE.parent / "common" / "burst.py"), str(port), str(ALLOW_MS), *map(str, BURST)],
                stdout=subprocess.PIPE, text=True,
            )
        await asyncio.gather(*sending)
        # The last request may take its whole time; an answer that comes later is noted with its time.
        end = time.monotonic() + ALLOW_MS / 1000 + LATE_S + 20.0
        while time.monotonic() < end:
            if all((sent.answered_at or sent.ended_at) is not None for client in clients for sent in client.sent):
                break
            await asyncio.sleep(0.1)
        await asyncio.wait(loading, timeout=LOAD_ALLOW_MS / 1000)
        for task in loading:
            task.cancel()
        if burst is not None:
            burst.kill()
            said = (burst.communicate()[0] or "").strip()
            record.line(said or "the burst was not sent")
            if not said.startswith("burst sent"):
                return 2
        if gateway.process is None or gateway.process.poll() is not None:
            record.say("the gateway ended by itself")
            return 1
        return judge(record, clients, loaders, begun, lag.stop())
    finally:
        for client in clients:
            client.close()
        if burst is not None and burst.poll() is None:
            burst.kill()
            burst.wait()
        gateway.end()
        for engine in engines:
            engine.close()
        feed.close()
        for line in gateway.log_path.read_text(encoding="utf-8").splitlines():
            record.line("log " + line)


def judge(
    record: Record,
    clients: list[UsualClient],
    loaders: list[LoadClient],
    begun: list[tuple[str, float]],
    lag_s: float,
) -> int:
    """Counts the requests without a final answer half a second after their time, and the loads begun too late."""
    lost, excused, longest, total = 0, 0, 0.0, 0
    for client in clients:
        for sent in client.sent:
            total += 1
            took = (sent.answered_at or float("inf")) - sent.at
            if sent.answered_at is None and sent.ended_at is not None:
                if sent.is_first or sent.ended_at - sent.at <= CROSSING_S + lag_s:
                    excused += 1
                    continue
            longest = max(longest, took)
            if took > sent.allow_ms / 1000 + LATE_S + lag_s or sent.answers > 1:
                lost += 1
                record.line(f"LOST {sent.ref} answered_after_s={took:.2f} allow_s={sent.allow_ms / 1000}")
    record.say(
        f"usual requests={total} lost={lost} excused={excused} longest_s={longest:.2f} stand-ins late_s={lag_s:.3f}"
    )
    withdrawn = {ref: at for loader in loaders for ref, at in loader.withdrawn.items()}
    late, worst = 0, 0.0
    for ident, at in begun:
        after = at - withdrawn.get(ident, float("inf"))
        if after > BEGIN_S + SLACK_S + lag_s:
            late, worst = late + 1, max(worst, after)
            record.line(f"LOST {ident}: once-only load began {after:.2f} s after its client had withdrawn it")
    record.say(
        f"loads={sum(loader.sent for loader in loaders)} withdrawn={len(withdrawn)}"
        f" begun_after_withdrawal={late} worst_s={worst:.2f}"
    )
    return 1 if lost or late else 0


def main() -> int:
    return standins.play(HERE, TROUBLE, run)


if __name__ == "__main__":
    sys.exit(main())
