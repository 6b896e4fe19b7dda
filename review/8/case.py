"""Case 8: one spoilt answer, and the gateway forwards nothing any more."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import machala  # noqa: E402
import standins  # noqa: E402
from standins import SERVED, TROUBLE, Client, Engine, Feed, Gateway, Request  # noqa: E402

BEFORE_S, SETTLE_S, AFTER_S = 6.0, 4.0, 30.0
REQUESTS_PER_S = 30
LEAST_SHARE = 0.5
"""FLEET, STANDING: at least half of what a policy serves that sees the true state late."""


async def play(gateways: list[Gateway]) -> list[str]:
    engines = [await Engine(f"s-{i}", machala.WORK_S, "galpon-uno", "doce-nucleos").start() for i in range(7)]
    for engine in engines:
        engine.reports = machala.report
    feed = await Feed().start()
    feed.add([engine.entry() for engine in engines], complete=True)
    gateway = Gateway(machala.SETTINGS, feed)
    gateways.append(gateway)
    await gateway.start()
    requests: list[Request] = []
    calling = asyncio.create_task(call(gateway, requests, BEFORE_S + SETTLE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        spoil_one_answer(engines[0])
    spoilt_at = standins.now()
    await calling
    undecided = [request.done for request in requests if not request.done.done()]
    if undecided:
        await asyncio.wait(undecided, timeout=26)
    before = share_served(requests, spoilt_at - BEFORE_S, spoilt_at - 1.0)
    after = share_served(requests, spoilt_at + SETTLE_S, spoilt_at + SETTLE_S + AFTER_S)
    forwarded = [
        event
        for event in standins.RECORD
        if event["kind"] == "run begins" and event["t"] > spoilt_at + SETTLE_S
    ]
    standins.note("shares served", before=before, after=after, forwarded_after=len(forwarded))
    if gateway.has_crashed:
        return ["hang: the gateway has ended"]
    if before < 0.9:
        raise RuntimeError(f"{before:.2f} served before the trouble: the machine is too slow for this case")
    if after < LEAST_SHARE * before:
        return [
            f"hang: from {SETTLE_S:.0f} to {SETTLE_S + AFTER_S:.0f} s after one spoilt answer {after:.2f} of the"
            f" worth is served, {before:.2f} before it; {len(forwarded)} are forwarded, to seven sound engines"
        ]
    return []


def spoil_one_answer(engine: Engine) -> None:
    """The next answer of an engine has noise in one figure of its load report; its connection then ends."""
    usual = engine.reports

    def spoilt(in_hand: int) -> str:
        engine.reports = usual
        engine.after_answer = end_connection
        standins.note("spoilt answer", engine=engine.name, load="queue:0;x0:inf;x1:0.05")
        return "queue:0;x0:inf;x1:0.05"

    def end_connection(writer: asyncio.StreamWriter) -> None:
        engine.after_answer = lambda _: None
        writer.close()

    engine.reports = spoilt


async def call(gateway: Gateway, requests: list[Request], for_s: float) -> None:
    """Usual clients: six connections, none with more than 30 open requests."""
    chance, clients, until = random.Random(7), list[Client](), standins.now() + for_s
    while standins.now() < until:
        clients = [client for client in clients if not client.closed]
        usable = [client for client in clients if len(client.open) < 30]
        if len(usable) < 6 and len(clients) < 200:
            clients.append(await Client(requests).connect(gateway.port))
            usable.append(clients[-1])
        machala.usual_request(chance.choice(usable), chance)
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))


def share_served(requests: list[Request], begin: float, end: float) -> float:
    """The share of the worth of the requests sent in a span that is served in time."""
    worth = {one["name"]: one["importance"] for one in machala.SETTINGS["classes"]}
    sent = [request for request in requests if begin <= request.sent < end]
    served = sum(worth[request.service] for request in sent if request.code == SERVED)
    return round(served / max(1.0, sum(worth[request.service] for request in sent)), 3)


standins.run_case(str(HERE), play, 110)
