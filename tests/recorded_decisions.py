"""Records the policy's orders in seeded runs of a few gateways, as a reference for later versions.

`python -m tests.recorded_decisions` simulates every run, and writes the messages and replies of the adapter
to `tests/data/decisions/`. The files there were written by the release before the code was renamed. They are
replaced only if a change of the policy's behaviour is intended, and the commit says so.
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

# The parameters of each run. `rate` is in queries per second, `faults` is the part of attempts that fail.
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
    """Simulates the engines, the clients and the network of one run. Times are in microseconds.

    Attributes:
        events: Scheduled events as a heap by time and serial number.
        attempts: The number of the last attempt, by gateway and query.
        open_queries: Unanswered queries, by gateway and query name.
        granted_mb: The last memory grant, by gateway and query.
        running: The engines of running attempts, by gateway, query and attempt number.
        cancelled: The running attempts that were cancelled.
        speeds: The speeds of the engines, 1 for the full speed.
    """

    def __init__(self, name: str) -> None:
        self.parameters = RUNS[name]
        self.rng = random.Random(f"recorded/{name}")
        self.serial, self.now = itertools.count(), START_US
        self.events: list[tuple[int, int, dict[str, Any]]] = []
        self.attempts: dict[tuple[int, str], int] = {}
        self.open_queries: dict[tuple[int, str], dict[str, Any]] = {}
        self.granted_mb: dict[tuple[int, str], int] = {}
        self.running: dict[tuple[int, str, int], str] = {}
        self.cancelled: set[tuple[int, str, int]] = set()
        self.speeds = [1.0 if index % 4 else 0.4 for index in range(self.parameters["engines"])]
        self.requests = 0

    def schedule(self, delay_us: float, event: dict[str, Any]) -> None:
        """Schedules an event after a delay."""
        heapq.heappush(self.events, (self.now + max(0, int(delay_us)), next(self.serial), event))

    def engine_page(self, number: int) -> list[dict[str, Any]]:
        """Returns the rows of an engine page. Engine 0 drains on page 1, and engine 1 restarts on page 2."""
        rows = []
        for index in range(self.parameters["engines"]):
            row = {
                "engine": f"engine_{index}",
                "condition": "U",
                "rackZone": index % 2,
                "generationHw": index % 2,
                "cell": index % 3,
            }
            if number >= 1 and index == 0:
                row["condition"] = "L"
            if number >= 2 and index == 0:
                row["condition"] = "D"
            if number >= 2 and index == 1:
                row["bornUs"] = START_US + 4_000_000
            rows.append(row)
        return rows

    def initial_events(self) -> list[dict[str, Any]]:
        """Returns the events that start the gateways, and schedules the first clients and list changes."""
        gateways = self.parameters["gateways"]
        events: list[dict[str, Any]] = [{"verb": "census", "page": 0, "items": self.engine_page(0)}]
        for number in range(gateways):
            profile = {
                **self.parameters["profile"],
                "groupSize": gateways,
                "position": number,
                "az": number % 2,
            }
            events.append({"verb": "up", "manager": number, "initSeed": 7 + number, "profileData": profile})
            events.append({"verb": "rosterChange", "manager": number, "form": "cached", "page": 0, "rev": 1})
            for page, at_us in ((1, 3_000_000), (2, 4_100_000)):
                self.schedule(at_us, {"verb": "list", "manager": number, "page": page})
            self.schedule(self._gap(), {"verb": "client", "manager": number})
        return events

    def _gap(self) -> float:
        return self.rng.expovariate(self.parameters["rate"] / self.parameters["gateways"]) * 1e6

    def due_events(self) -> list[dict[str, Any]]:
        """Returns the events for the gateways that are due by now."""
        events = []
        while self.events and self.events[0][0] <= self.now:
            event = heapq.heappop(self.events)[2]
            events += getattr(self, f"_{event['verb']}", lambda unchanged: [unchanged])(event)
        return events

    def _list(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        page, number = event["page"], event["manager"]
        form = "delta" if page == 1 else "full"
        items = self.engine_page(page)[:1] if page == 1 else self.engine_page(page)
        page_number = 10 * (number + 1) + page
        return [
            {"verb": "census", "page": page_number, "items": items},
            {"verb": "rosterChange", "manager": number, "form": form, "page": page_number, "rev": page + 1},
        ]

    def _client(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        number = event["manager"]
        if self.now < START_US + self.parameters["seconds"] * 1_000_000:
            self.schedule(self._gap(), event)
        self.requests += 1
        request, lane = f"r{self.requests}", self.rng.choices((0, 1, 2), (6, 2, 2))[0]
        work_us = self.rng.lognormvariate(0.0, 0.6) * (60_000, 700_000, 150_000)[lane]
        memory = self.rng.lognormvariate(0.0, 0.5) * (80, 1500, 300)[lane]
        arrival = {
            "verb": "ingress",
            "manager": number,
            "requestId": request,
            "lane": lane,
            "clientDeadlineUs": self.now + (3_000_000, 8_000_000, 5_000_000)[lane],
            "guessUs": int(work_us * self.rng.uniform(0.6, 1.6)),
            "memMb": round(memory * self.rng.uniform(0.5, 1.5), 2),
            "tableGroup": self.rng.randrange(5),
            "bits": self.rng.choice((1, 1, 1, 0, 3)),
        }
        if lane and self.rng.random() < 0.6:
            arrival["relation"] = self.rng.randrange(6)
        self.open_queries[number, request] = {"work": work_us, "memory": memory, "lane": lane}
        if self.rng.random() < 0.03:
            self.schedule(
                self.rng.uniform(0, 600_000), {"verb": "leave", "manager": number, "requestId": request}
            )
        return [arrival]

    def _leave(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        if self.open_queries.pop((event["manager"], event["requestId"]), None) is None:
            return []
        return [{**event, "verb": "left"}]

    def _verdict(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        key = event["manager"], event["requestId"], event["seqNo"]
        if self.running.pop(key, None) is None:
            return []
        if key in self.cancelled:
            event = {**event, "status": "CXL", "note": 0}
        if event["status"] == "GOOD":
            event = {**event, "over": self.open_queries.pop(key[:2], None) is not None}
        return [event]

    def _notice(self, event: dict[str, Any]) -> list[dict[str, Any]]:
        key = event["manager"], event["requestId"], event["seqNo"]
        return [event] if key in self.running else []

    def carry_out(self, order: dict[str, Any]) -> None:
        """Carries out an order of a gateway. Orders without a method here, such as `log`, have no effect."""
        method = getattr(self, f"_ordered_{order['verb']}", None)
        if method is not None:
            method(order["manager"], order)

    def _ordered_equip(self, number: int, order: dict[str, Any]) -> None:
        self.granted_mb[number, order["requestId"]] = order["workspaceMb"]

    def _ordered_deliver(self, number: int, order: dict[str, Any]) -> None:
        self._deliver(number, order)

    def _ordered_bounce(self, number: int, order: dict[str, Any]) -> None:
        self.open_queries.pop((number, order["requestId"]), None)

    _ordered_finishError = _ordered_bounce  # noqa: N815

    def _ordered_revoke(self, number: int, order: dict[str, Any]) -> None:
        key = number, order["requestId"], order["seqNo"]
        if key in self.running:
            self.cancelled.add(key)
            self.schedule(2_000, self._end(key, "CXL", 0))

    def _ordered_setTimer(self, number: int, order: dict[str, Any]) -> None:
        self.schedule(order["waitUs"], {"verb": "fired", "manager": number, "keyBack": order["keyBack"]})

    def _ordered_broadcastTo(self, number: int, order: dict[str, Any]) -> None:
        for other in range(self.parameters["gateways"]):
            if other != number:
                event = {"verb": "fromPeer", "manager": other, "neighbour": number, "data": order["data"]}
                self.schedule(1_000, event)

    def _ordered_inspect(self, number: int, order: dict[str, Any]) -> None:
        event = {"verb": "checkResult", "manager": number, "engine": order["engine"], "status": "GOOD"}
        self.schedule(3_000, {**event, "telemetry": self._telemetry(order["engine"])})

    def _ordered_fatal(self, number: int, order: dict[str, Any]) -> None:
        raise AssertionError(order["message"])

    def _telemetry(self, engine: str) -> dict[str, float]:
        running = sum(other == engine for other in self.running.values())
        return {"busy_reqs": running, "cpu_share": min(1.0, running / 8), "x0": min(1.0, running / 12)}

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

    def _deliver(self, number: int, order: dict[str, Any]) -> None:
        request, engine = order["requestId"], order["engine"]
        attempt = self.attempts[number, request] = self.attempts.get((number, request), -1) + 1
        key = number, request, attempt
        query = self.open_queries.get((number, request))
        self.running[key] = engine
        if query is None:
            self.schedule(1_000, self._end(key, "NOP", 0))
            return
        running = sum(other == engine for other in self.running.values())
        speed = self.speeds[int(engine.rpartition("_")[2])] / max(1.0, running / 8)
        duration_us = query["work"] / speed
        timeout_us = min(order["capUs"] or 10**9, 10**9)
        has_fault = self.rng.random() < self.parameters["faults"]
        if has_fault:
            status = self.rng.choice(("BAD", "FULL", "NOCONN", "RST", "HANG"))
            if status == "HANG":
                self.schedule(timeout_us, self._end(key, "LATE", timeout_us))
            else:
                self.schedule(5_000, self._end(key, status, 5_000))
            return
        if duration_us > timeout_us:
            self.schedule(timeout_us, self._end(key, "LATE", timeout_us))
            return
        note = (int(query["work"] / 1_000) << 12) + min(4095, int(query["memory"] / 4))
        self.schedule(duration_us, self._end(key, "GOOD", duration_us, note))
        interval_us = self.parameters["profile"]["familyInfo"]["progressUs"]
        if interval_us:
            progress = {
                "verb": "notice",
                "manager": number,
                "requestId": request,
                "seqNo": attempt,
                "engine": engine,
            }
            for step in range(1, min(6, int(duration_us // interval_us) + 1)):
                share = round(step * interval_us / duration_us, 4)
                self.schedule(step * interval_us, {**progress, "sort": 1, "x": share})
            if query["memory"] > self.granted_mb.get((number, request), 0):
                missing_mb = query["memory"] - self.granted_mb.get((number, request), 0)
                self.schedule(20_000, {**progress, "sort": 2, "x": round(missing_mb, 2)})
            if running > 8:
                self.schedule(1_000, {**progress, "sort": 3, "x": 1.0})


def simulate(name: str) -> tuple[list[str], list[str]]:
    """Simulates a run, and returns the lines of its messages and of their replies."""
    run, host = Run(name), Host()
    messages, replies = list[str](), list[str]()
    end_us = START_US + (RUNS[name]["seconds"] + 9) * 1_000_000
    events = run.initial_events()
    while run.now < end_us:
        if events:
            message = {"clockUs": run.now, "input": events}
            messages.append(json.dumps(message, separators=(",", ":")))
            reply = host.reply(json.loads(messages[-1]))
            replies.append(json.dumps(reply, separators=(",", ":")))
            for order in reply["orders"]:
                run.carry_out(order)
        run.now += STEP_US
        events = run.due_events()
    return messages, replies


def record(name: str) -> None:
    """Simulates a run, and replaces its file."""
    messages, replies = simulate(name)
    lines = "".join(f"{line}\n" for pair in zip(messages, replies, strict=True) for line in pair)
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{name}.jsonl.xz").write_bytes(lzma.compress(lines.encode(), preset=9))


def recorded_lines(name: str) -> tuple[list[str], list[str]]:
    """Returns the lines of the messages and of the replies in the file of a run."""
    lines = lzma.decompress((FOLDER / f"{name}.jsonl.xz").read_bytes()).decode().splitlines()
    return lines[::2], lines[1::2]


if __name__ == "__main__":
    for run_name in RUNS:
        record(run_name)
