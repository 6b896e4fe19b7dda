"""Case 10: a slow control feed is never heard, and draining engines go on to get new work."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import machala  # noqa: E402
import standins  # noqa: E402
from standins import FAILED, SLACK_S, TROUBLE, Client, Engine, Feed, Gateway, Request  # noqa: E402

ANSWER_DELAY_S = 3.0
"""How long each answer of the slow feed takes, beyond the wait that was asked for."""
TOLD_S = 7.0
"""PROTOCOL: whatever the feed has to tell counts as told no later than 7 s afterwards."""
GRACE_S = 2.0
"""machala-cartones: nothing new to an engine later than 2 s after the gateway was told."""
DRAIN_S = 25.0
"""How long the engines drain before they end."""
REQUESTS_PER_S = 30


async def play(gateways: list[Gateway]) -> list[str]:
    old = [await Engine(f"s-{i}", machala.WORK_S, "galpon-uno", "doce-nucleos").start() for i in range(4)]
    new = [await Engine(f"t-{i}", machala.WORK_S, "galpon-uno", "doce-nucleos").start() for i in range(4)]
    for engine in (*old, *new):
        engine.reports = machala.report
    feed = await Feed().start()
    feed.add([engine.entry() for engine in old], complete=True)
    gateway = Gateway(machala.SETTINGS, feed)
    gateways.append(gateway)
    await gateway.start()
    if TROUBLE:
        feed.answer_delay_s = ANSWER_DELAY_S
        standins.note("the feed is slow from now on", answer_delay_s=ANSWER_DELAY_S)
    requests: list[Request] = []
    calling = asyncio.create_task(call(gateway, requests, 4 + DRAIN_S + 8))
    await asyncio.sleep(4)
    # The engines are replaced: the new ones join, and the old ones drain until they end.
    feed.add([engine.entry() for engine in new])
    begin = feed.add([engine.entry("DRAINING") for engine in old])
    await asyncio.sleep(DRAIN_S)
    feed.add([engine.entry("DELETED") for engine in old])
    for engine in old:
        engine.die()
    await calling
    await asyncio.sleep(1)
    names = {engine.name for engine in old}
    until = begin + TOLD_S + GRACE_S + 2 * SLACK_S + standins.Lateness.most_s  # each limit is 50 ms longer
    late = [
        event
        for event in standins.RECORD
        if event["kind"] == "run begins" and event["engine"] in names and event["t"] > until
    ]
    standins.note("polls of the feed", polls=feed.polls)
    if gateway.has_crashed:
        return ["hang: the gateway has ended"]
    if not late:
        return []
    lost = [request for request in requests if died(request, names)]
    at_new = sum(event["engine"] not in names for event in standins.RECORD if event["kind"] == "run begins")
    return [
        f"drain: {len(late)} runs began at draining engines later than {TOLD_S + GRACE_S:.0f} s after the feed had"
        f" told so, the last {late[-1]['t'] - begin:.1f} s after; {len(lost)} once-only batches died with these"
        f" engines; {at_new} runs in all reached the engines that took their place"
    ]


def died(request: Request, old: set[str]) -> bool:
    """Whether a once-only batch was running at an old engine as that ended, so that it failed."""
    abandoned = {event["id"] for event in standins.RECORD if event["kind"] == "run is abandoned"}
    at_old = any(run["engine"] in old for run in request.runs())
    return request.service == "carga-pedidos" and at_old and request.ref in abandoned and request.code == FAILED


async def call(gateway: Gateway, requests: list[Request], for_s: float) -> None:
    """Usual clients: six connections, none with more than 30 open requests."""
    chance, clients, until = random.Random(8), list[Client](), standins.now() + for_s
    while standins.now() < until:
        clients = [client for client in clients if not client.closed]
        usable = [client for client in clients if len(client.open) < 30]
        if len(usable) < 6 and len(clients) < 200:
            clients.append(await Client(requests).connect(gateway.port))
            usable.append(clients[-1])
        machala.usual_request(chance.choice(usable), chance)
        await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))


standins.run_case(str(HERE), play, 100)
