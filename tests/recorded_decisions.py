"""Seeded runs of a few gateways on the simulator's wire: the same lines in give the same lines out.

`python -m tests.recorded_decisions` plays every run and writes what went in and came out to
`tests/data/decisions/`. What is kept there was written by the release before the code was renamed: it is
written anew only where a change of the decisions is meant, and the commit says so.
"""

from __future__ import annotations

import heapq
import itertools
import json
import lzma
import random
from pathlib import Path
from typing import Any

from vanerelay.adapter.__main__ import Host

FOLDER = Path(__file__).parent / "data" / "decisions"
START_US = 8_000_000_000
STEP_US = 1_000

CLASSES = [
    {"name": "look", "aimUs": 400_000, "deadlineUs": 3_000_000, "semantics": "pure", "importance": 1},
    {
        "name": "report",
        "aimUs": 2_000_000,
        "aimStretch": 1.0,
        "deadlineUs": 8_000_000,
        "semantics": "token",
        "dedupScope": "zone",
        "windowUs": 3_000_000,
        "importance": 4,
        "lateWorth": 1.0,
    },
    {"name": "order", "aimUs": 900_000, "deadlineUs": 5_000_000, "semantics": "side_effect", "importance": 3},
]
IN_TURN = [{**row, "inTurn": row["name"] != "look"} for row in CLASSES]
LIMITS = {
    "maxAttempts": 3,
    "cancel": True,
    "retryAfter": True,
    "maxRetryAfterUs": 2_000_000,
    "peers": True,
    "maxOpen": 1000,
}
SAFETY = {
    "coldFrom": 0.3,
    "coldUs": 4_000_000,
    "fallMultiple": 4.0,
    "overloadForUs": 1_000_000,
    "orderPauseUs": 200_000,
    "ratioSpanUs": 5_000_000,
    "minExtra": 5,
    "extraRatio": 0.1,
}
FAMILY = {
    "memoryByKindMb": [16000.0, 8000.0],
    "cpuOfKind": [8, 4],
    "parallelism": [1, 4, 2],
    "takesGrants": True,
    "grantCap": 0.4,
    "lanesCount": True,
    "bills": True,
    "progressUs": 200_000,
    "reportX0": "share of memory granted",
}
BASE = {
    "tickUs": 1_000,
    "kinds": ["k", "l"],
    "failureDomains": ["here", "there"],
    "classes": CLASSES,
    "familyInfo": FAMILY,
    "limits": LIMITS,
    "safety": SAFETY,
    "report": {"how": "piggyback", "columns": ["x0", "cpu_share", "busy_reqs"]},
}

# The settings of each run, its gateways, engines, queries a second and length, and how its engines behave.
RUNS: dict[str, dict[str, Any]] = {
    "plain": {"profile": BASE, "gateways": 2, "engines": 6, "rate": 40, "seconds": 9, "faults": 0.03},
    "in-turn": {
        "profile": {**BASE, "classes": IN_TURN},
        "gateways": 3,
        "engines": 8,
        "rate": 50,
        "seconds": 10,
        "faults": 0.05,
    },
    "crowded": {
        "profile": {
            **BASE,
            "classes": IN_TURN,
            "familyInfo": {**FAMILY, "memoryShort": "swap"},
            "limits": {**LIMITS, "secondCopies": True},
        },
        "gateways": 2,
        "engines": 3,
        "rate": 160,
        "seconds": 6,
        "faults": 0.1,
    },
    "loads": {
        "profile": {
            **BASE,
            "classes": [*CLASSES[:2], {**CLASSES[2], "staysIn": [0], "inTurn": True}],
            "familyInfo": {
                **FAMILY,
                "writesTables": [False, False, True],
                "waitsForLoads": [True, False, False],
                "memoryShort": "trim",
                "progressUs": 0,
            },
            "limits": {**LIMITS, "cancel": False, "peers": False, "probes": True},
            "report": {"how": "pull", "columns": ["cpu_share", "busy_reqs"]},
            "discovery": "on_request",
        },
        "gateways": 3,
        "engines": 10,
        "rate": 60,
        "seconds": 8,
        "faults": 0.04,
    },
}


class Run:
    """Engines, clients and the network of one run, on the other side of the wire."""

    def __init__(self, name: str) -> None:
        self.terms = RUNS[name]
        self.chance = random.Random(f"recorded/{name}")
        self.serial, self.now = itertools.count(), START_US
        self.events: list[tuple[int, int, dict[str, Any]]] = []
        self.attempts: dict[tuple[int, str], int] = {}
        self.open: dict[tuple[int, str], dict[str, Any]] = {}
        self.equipped: dict[tuple[int, str], int] = {}
        self.running: dict[tuple[int, str, int], str] = {}
        self.cancelled: set[tuple[int, str, int]] = set()
        self.speeds = [1.0 if at % 4 else 0.4 for at in range(self.terms["engines"])]
        self.requests = 0

    def later(self, delay_us: float, event: dict[str, Any]) -> None:
        heapq.heappush(self.events, (self.now + max(0, int(delay_us)), next(self.serial), event))

    def page(self, number: int) -> list[dict[str, Any]]:
        """The engines as the list tells them: some drain, one starts cold."""
        found = []
        for at in range(self.terms["engines"]):
            row = {
                "engine": f"engine_{at}",
                "condition": "U",
                "rackZone": at % 2,
                "generationHw": at % 2,
                "cell": at % 3,
            }
            if number >= 1 and at == 0:
                row["condition"] = "L"
            if number >= 2 and at == 0:
                row["condition"] = "D"
            if number >= 2 and at == 1:
                row["bornUs"] = START_US + 4_000_000
            found.append(row)
        return found

    def begin(self) -> list[dict[str, Any]]:
        gateways = self.terms["gateways"]
        events: list[dict[str, Any]] = [{"verb": "census", "page": 0, "items": self.page(0)}]
        for number in range(gateways):
            profile = {**self.terms["profile"], "groupSize": gateways, "position": number, "az": number % 2}
            events.append({"verb": "up", "manager": number, "initSeed": 7 + number, "profileData": profile})
            events.append({"verb": "rosterChange", "manager": number, "form": "cached", "page": 0, "rev": 1})
            for page, at_us in ((1, 3_000_000), (2, 4_100_000)):
                self.later(at_us, {"verb": "list", "manager": number, "page": page})
            self.later(self._gap(), {"verb": "client", "manager": number})
        return events

    def _gap(self) -> float:
        return self.chance.expovariate(self.terms["rate"] / self.terms["gateways"]) * 1e6

    def due(self) -> list[dict[str, Any]]:
        """Events of the wire that have come by now."""
        found = []
        while self.events and self.events[0][0] <= self.now:
            event = heapq.heappop(self.events)[2]
            found += getattr(self, f"_{event['verb']}", lambda one: [one])(event)
        return found

    def _list(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        page, number = event["page"], event["manager"]
        form = "delta" if page == 1 else "full"
        items = self.page(page)[:1] if page == 1 else self.page(page)
        place = 10 * (number + 1) + page
        return [
            {"verb": "census", "page": place, "items": items},
            {"verb": "rosterChange", "manager": number, "form": form, "page": place, "rev": page + 1},
        ]

    def _client(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        number = event["manager"]
        if self.now < START_US + self.terms["seconds"] * 1_000_000:
            self.later(self._gap(), event)
        self.requests += 1
        request, lane = f"r{self.requests}", self.chance.choices((0, 1, 2), (6, 2, 2))[0]
        work_us = self.chance.lognormvariate(0.0, 0.6) * (60_000, 700_000, 150_000)[lane]
        memory = self.chance.lognormvariate(0.0, 0.5) * (80, 1500, 300)[lane]
        told = {
            "verb": "ingress",
            "manager": number,
            "requestId": request,
            "lane": lane,
            "clientDeadlineUs": self.now + (3_000_000, 8_000_000, 5_000_000)[lane],
            "guessUs": int(work_us * self.chance.uniform(0.6, 1.6)),
            "memMb": round(memory * self.chance.uniform(0.5, 1.5), 2),
            "tableGroup": self.chance.randrange(5),
            "bits": self.chance.choice((1, 1, 1, 0, 3)),
        }
        if lane and self.chance.random() < 0.6:
            told["relation"] = self.chance.randrange(6)
        self.open[number, request] = {"work": work_us, "memory": memory, "lane": lane}
        if self.chance.random() < 0.03:
            self.later(
                self.chance.uniform(0, 600_000), {"verb": "leave", "manager": number, "requestId": request}
            )
        return [told]

    def _leave(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        if self.open.pop((event["manager"], event["requestId"]), None) is None:
            return []
        return [{**event, "verb": "left"}]

    def _verdict(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        key = event["manager"], event["requestId"], event["seqNo"]
        if self.running.pop(key, None) is None:
            return []
        if key in self.cancelled:
            event = {**event, "status": "CXL", "note": 0}
        if event["status"] == "GOOD":
            event = {**event, "over": self.open.pop(key[:2], None) is not None}
        return [event]

    def _notice(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        key = event["manager"], event["requestId"], event["seqNo"]
        return [event] if key in self.running else []

    def order(self, one: dict[str, Any]) -> None:
        """What a gateway ordered; what is for people alone has no effect here."""
        carry_out = getattr(self, f"_ordered_{one['verb']}", None)
        if carry_out is not None:
            carry_out(one["manager"], one)

    def _ordered_equip(self, number: int, one: dict[str, Any]) -> None:
        self.equipped[number, one["requestId"]] = one["workspaceMb"]

    def _ordered_deliver(self, number: int, one: dict[str, Any]) -> None:
        self._deliver(number, one)

    def _ordered_bounce(self, number: int, one: dict[str, Any]) -> None:
        self.open.pop((number, one["requestId"]), None)

    _ordered_finishError = _ordered_bounce  # noqa: N815

    def _ordered_revoke(self, number: int, one: dict[str, Any]) -> None:
        key = number, one["requestId"], one["seqNo"]
        if key in self.running:
            self.cancelled.add(key)
            self.later(2_000, self._end(key, "CXL", 0))

    def _ordered_setTimer(self, number: int, one: dict[str, Any]) -> None:
        self.later(one["waitUs"], {"verb": "fired", "manager": number, "keyBack": one["keyBack"]})

    def _ordered_broadcastTo(self, number: int, one: dict[str, Any]) -> None:
        for other in range(self.terms["gateways"]):
            if other != number:
                told = {"verb": "fromPeer", "manager": other, "neighbour": number, "data": one["data"]}
                self.later(1_000, told)

    def _ordered_inspect(self, number: int, one: dict[str, Any]) -> None:
        told = {"verb": "checkResult", "manager": number, "engine": one["engine"], "status": "GOOD"}
        self.later(3_000, {**told, "telemetry": self._telemetry(one["engine"])})

    def _ordered_fatal(self, number: int, one: dict[str, Any]) -> None:
        raise AssertionError(one["message"])

    def _telemetry(self, engine: str) -> dict[str, float]:
        there = sum(one == engine for one in self.running.values())
        return {"busy_reqs": there, "cpu_share": min(1.0, there / 8), "x0": min(1.0, there / 12)}

    def _end(
        self, key: tuple[int, str, int], status: str, duration_us: float, note: int = 0
    ) -> dict[str, Any]:
        engine = self.running[key]
        return {
            "verb": "verdict",
            "manager": key[0],
            "requestId": key[1],
            "seqNo": key[2],
            "engine": engine,
            "status": status,
            "durationUs": int(duration_us),
            "over": False,
            "note": note,
            "telemetry": self._telemetry(engine),
        }

    def _deliver(self, number: int, one: dict[str, Any]) -> None:
        request, engine = one["requestId"], one["engine"]
        attempt = self.attempts[number, request] = self.attempts.get((number, request), -1) + 1
        key = number, request, attempt
        query = self.open.get((number, request))
        self.running[key] = engine
        if query is None:
            self.later(1_000, self._end(key, "NOP", 0))
            return
        there = sum(other == engine for other in self.running.values())
        speed = self.speeds[int(engine.rpartition("_")[2])] / max(1.0, there / 8)
        lasts_us = query["work"] / speed
        wait_us = min(one["capUs"] or 10**9, 10**9)
        fault = self.chance.random() < self.terms["faults"]
        if fault:
            status = self.chance.choice(("BAD", "FULL", "NOCONN", "RST", "HANG"))
            if status == "HANG":
                self.later(wait_us, self._end(key, "LATE", wait_us))
            else:
                self.later(5_000, self._end(key, status, 5_000))
            return
        if lasts_us > wait_us:
            self.later(wait_us, self._end(key, "LATE", wait_us))
            return
        note = (int(query["work"] / 1_000) << 12) + min(4095, int(query["memory"] / 4))
        self.later(lasts_us, self._end(key, "GOOD", lasts_us, note))
        every_us = self.terms["profile"]["familyInfo"]["progressUs"]
        if every_us:
            told = {
                "verb": "notice",
                "manager": number,
                "requestId": request,
                "seqNo": attempt,
                "engine": engine,
            }
            for step in range(1, min(6, int(lasts_us // every_us) + 1)):
                share = round(step * every_us / lasts_us, 4)
                self.later(step * every_us, {**told, "sort": 1, "x": share})
            if query["memory"] > self.equipped.get((number, request), 0):
                spilt = query["memory"] - self.equipped.get((number, request), 0)
                self.later(20_000, {**told, "sort": 2, "x": round(spilt, 2)})
            if there > 8:
                self.later(1_000, {**told, "sort": 3, "x": 1.0})


def play(name: str) -> tuple[list[str], list[str]]:
    """The lines that went in, and those that came out."""
    run, host = Run(name), Host()
    given, came = list[str](), list[str]()
    until = START_US + (RUNS[name]["seconds"] + 9) * 1_000_000
    events = run.begin()
    while run.now < until:
        if events:
            message = {"clockUs": run.now, "input": events}
            given.append(json.dumps(message, separators=(",", ":")))
            reply = host.reply(json.loads(given[-1]))
            came.append(json.dumps(reply, separators=(",", ":")))
            for one in reply["orders"]:
                run.order(one)
        run.now += STEP_US
        events = run.due()
    return given, came


def keep(name: str) -> None:
    given, came = play(name)
    lines = "".join(f"{line}\n" for pair in zip(given, came, strict=True) for line in pair)
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{name}.jsonl.xz").write_bytes(lzma.compress(lines.encode(), preset=9))


def kept(name: str) -> tuple[list[str], list[str]]:
    lines = lzma.decompress((FOLDER / f"{name}.jsonl.xz").read_bytes()).decode().splitlines()
    return lines[::2], lines[1::2]


if __name__ == "__main__":
    for run_name in RUNS:
        keep(run_name)
