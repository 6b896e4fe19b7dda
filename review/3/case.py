"""Case 3: half a request on each of hundreds of connections, and the memory limit that the platform sets."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402
from clients import UsualClient  # noqa: E402
from standins import Engine, EngineLink, Feed, Gateway, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB, SOCKETS = 96, 1024
"""LATER: "32 to 192 MB depending on language and day, and 256 to 1,024 descriptors"."""
ALLOW_MS = 3_200
CLIENTS, INTERVAL_S = 8, 0.4
BAD_AT_S, SEND_FOR_S = 3.0, 9.0

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


class Platform:
    """Kills the gateway once it takes more memory than its limit, as the deployment page says.

    Only anonymous memory counts here (RssAnon): neither mapped program files nor buffers of the system do.
    """

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record, self._gateway = record, gateway
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Watches until the gateway ends."""
        assert self._gateway.process is not None
        path = Path(f"/proc/{self._gateway.process.pid}/status")
        written_at = 0.0
        while self._gateway.process.poll() is None:
            try:
                lines = path.read_text(encoding="ascii").splitlines()
            except OSError:
                return
            used_mb = next((int(line.split()[1]) / 1024 for line in lines if line.startswith("RssAnon")), 0.0)
            self.peak_mb = max(self.peak_mb, used_mb)
            if time.monotonic() - written_at > 0.25:
                written_at = time.monotonic()
                self._record.line(f"platform sees memory_mb={used_mb:.1f}")
            if used_mb > MEMORY_MB:
                self.killed = True
                self._record.line(f"platform kills the gateway: memory_mb={used_mb:.1f} limit={MEMORY_MB}")
                self._gateway.process.kill()
                return
            await asyncio.sleep(0.005)


async def run(record: Record, folder: Path) -> int:
    engines = [Engine(f"e{number}", serve) for number in range(4)]
    for engine in engines:
        await engine.start()
    feed = Feed([standins.member(engine) for engine in engines])
    await feed.start()
    port = standins.free_port()
    configuration = standins.configuration("n0", port, feed, SETTINGS)
    configuration["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    gateway = Gateway("n0", folder, configuration)
    gateway.start()
    clients = [UsualClient(record, port, seed) for seed in range(CLIENTS)]
    platform = Platform(record, gateway)
    watching = asyncio.ensure_future(platform.watch())
    bad: subprocess.Popen[str] | None = None
    try:
        if not await gateway.until_ready():
            record.say("the gateway did not become ready")
            return 2
        started = time.monotonic()
        body = b"SELECT a, b, c FROM sales_3.stock WHERE box = 7"
        sending = [
            asyncio.ensure_future(client.run(started + SEND_FOR_S, INTERVAL_S, "consulta-stock", ALLOW_MS, body))
            for client in clients
        ]
        await asyncio.sleep(BAD_AT_S)
        if TROUBLE:
            record.line("bad client begins")
            bad = subprocess.Popen(
                [sys.executable, str(HERE / "half.py"), str(port)], stdout=subprocess.PIPE, text=True
            )
        await asyncio.gather(*sending)
        await asyncio.sleep(0.5)
        if bad is not None:
            bad.kill()
            record.line((bad.communicate()[0] or "bad client said nothing").strip())
        sent = [one for client in clients for one in client.sent]
        unanswered = sum(one.answered_at is None for one in sent)
        record.say(
            f"peak memory_mb={platform.peak_mb:.1f} limit={MEMORY_MB} killed={platform.killed}"
            f" usual requests={len(sent)} unanswered={unanswered}"
        )
        ended = gateway.process is None or gateway.process.poll() is not None
        return 1 if platform.killed or ended else 0
    finally:
        watching.cancel()
        for client in clients:
            client.close()
        if bad is not None and bad.poll() is None:
            bad.kill()
            bad.wait()
        gateway.end()
        for engine in engines:
            engine.close()
        feed.close()
        for line in gateway.log_path.read_text(encoding="utf-8").splitlines():
            record.line("log " + line)


def main() -> int:
    record = Record(HERE / "record.txt")
    record.line(f"trouble={TROUBLE}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(run(record, Path(folder)), 100))
        except (asyncio.TimeoutError, OSError) as error:
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            code = 2
    record.say(f"exit={code}")
    record.close()
    return code


if __name__ == "__main__":
    sys.exit(main())
