"""Case 7: bad clients' statements hold the event loop up, and usual clients get no answer in time."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import machala  # noqa: E402
import standins  # noqa: E402
from standins import TROUBLE, Client, Engine, Feed, Gateway, Request  # noqa: E402

BAD_CLIENTS, REQUESTS_EACH = 100, 5
"""service/LATER: "hundreds of requests at once"; at most 32 open on a connection."""
STATEMENT_CHARACTERS = 16_400
"""A sixteenth of what a frame may have."""
BEFORE_S, AFTER_S = 4.0, 25.0
REQUESTS_PER_S = 30


def statement() -> str:
    """Unreadable data; without the trouble, an ordinary statement of the same length."""
    if TROUBLE:
        return "SELECT " + "1." * ((STATEMENT_CHARACTERS - 7) // 2)
    listed = "SELECT * FROM sales_3.orders WHERE product IN ('a'"
    while len(listed) < STATEMENT_CHARACTERS - 8:
        listed += ", 'abcde'"
    return listed + ")"


class RejectingEngine(Engine):
    """An engine that answers what it cannot use with an error, at once."""

    async def _work(self, ident: str, work_s: float, writer: asyncio.StreamWriter) -> None:
        if ident in self.unusable:
            standins.note("error", engine=self.name, id=ident)
            writer.write(standins.resp(ident, "ERR", "-", ""))
            raise asyncio.CancelledError
        await super()._work(ident, work_s, writer)

    unusable: set[str] = set()


async def play(gateways: list[Gateway]) -> list[str]:
    engines = [RejectingEngine(f"s-{i}", machala.WORK_S, "galpon-uno", "doce-nucleos") for i in range(7)]
    for engine in engines:
        engine.reports = machala.report
        await engine.start()
    feed = await Feed().start()
    feed.add([engine.entry() for engine in engines], complete=True)
    gateway = Gateway(machala.SETTINGS, feed)
    gateways.append(gateway)
    await gateway.start()
    requests: list[Request] = []
    bad_requests: list[Request] = []
    calling = asyncio.create_task(call(gateway, requests, BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    bad = [await Client(bad_requests).connect(gateway.port) for _ in range(BAD_CLIENTS)]
    text = statement()
    for client in bad:
        for _ in range(REQUESTS_EACH):
            request = client.send("consulta-stock", 4_000, text, "agricola-jubones", "170", "96")
            RejectingEngine.unusable.add(request.ref)
    for event in standins.RECORD:
        if event.get("statement") == text:
            event["statement"] = text[:40] + "..."
    standins.note("bad clients have sent", requests=len(bad_requests), characters=len(text))
    await calling
    undecided = [request.done for request in requests if not request.done.done()]
    if undecided:
        await asyncio.wait(undecided, timeout=27)
    for event in standins.RECORD:
        if event.get("statement") == text:
            event["statement"] = text[:40] + "..."
    if gateway.has_crashed:
        return ["hang: the gateway has ended"]
    late = [
        answered_after(request)
        for request in requests
        if request.answers and answered_after(request) > request.allow_ms / 1000 + 0.5 + standins.SLACK_S
    ]
    breaks = standins.check_answers(requests)
    if breaks:
        breaks.insert(
            0,
            f"lost: {len(breaks)} of {len(requests)} requests of usual clients got no answer within half a second"
            f" after their time; the latest answer came {max(late, default=0.0):.1f} s after its request",
        )
    return breaks


def answered_after(request: Request) -> float:
    return request.answers[0][0] - request.sent


async def call(gateway: Gateway, requests: list[Request], for_s: float) -> None:
    """Usual clients: none with more than 30 open requests on a connection."""
    chance, clients, until = random.Random(11), list[Client](), standins.now() + for_s
    while standins.now() < until:
        clients = [client for client in clients if not client.closed]
        usable = [client for client in clients if len(client.open) < 30]
        if len(usable) < 6 and len(clients) < 100:
            clients.append(await Client(requests).connect(gateway.port))
            usable.append(clients[-1])
        machala.usual_request(chance.choice(usable), chance)
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))


standins.run_case(str(HERE), play, 110)
