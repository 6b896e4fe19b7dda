"""One gateway instance on the simulator's wire: ids, units and messages, nothing else."""

from __future__ import annotations

import base64
import traceback
from collections.abc import Callable
from typing import Any

from vanerelay import settings
from vanerelay.adapter import wire
from vanerelay.interface import AttemptResult, ProgressKind, QueryArrival
from vanerelay.policy.gateway import Gateway
from vanerelay.query_table import EngineNames, HeldQuery, QueryTable

Orders = list[dict[str, Any]]


class Instance:
    """Calls one Gateway for what the wire brings, and is the Transport that it calls out through."""

    def __init__(self, number: int, now: int, seed: int, profile: dict[str, Any], orders: Orders) -> None:
        self.number, self.now, self.orders = number, now, orders
        self._held: dict[str, HeldQuery] = {}
        self._holding: QueryTable[HeldQuery] = QueryTable()
        self._engines = EngineNames()
        self._timers: dict[int, Callable[[], None]] = {}
        self._timer = 0
        self._reported = settings.report_names(profile)
        self._gateway: Gateway | None = None

        def start() -> None:
            self._gateway = settings.open_gateway(self, seed, profile, asks=True)

        self._call(start)

    # What the wire brings.

    def event(self, verb: str, e: dict[str, Any], pages: dict[int, list[dict[str, Any]]]) -> None:
        if verb == "verdict":
            self._verdict(e)
        elif verb == "ingress":
            self._ingress(e)
        elif verb == "fired":
            callback = self._timers.pop(e["keyBack"], None)
            if callback is not None:
                self._call(callback)
        elif verb == "notice":
            held, kind = self._held.get(e["requestId"]), wire.NOTES.get(e["sort"])
            if held is not None and held.batch is not None and kind is not None:
                self._call(
                    held.batch.attempt_progressed, int(e.get("seqNo", 0)), kind, float(e.get("x", 0.0))
                )
        elif verb == "left":
            held = self._held.get(e["requestId"])
            if held is not None and held.batch is not None:
                held.ended = True
                self._call(held.batch.client_left)
                self._forget(e["requestId"], held)
        elif verb == "first":
            held = self._held.get(e["requestId"])
            if held is not None and held.batch is not None:
                self._call(held.batch.attempt_progressed, int(e.get("seqNo", 0)), ProgressKind.PROGRESS, 0.0)
        elif verb == "rosterChange":
            self._roster(e, pages)
        elif verb == "checkResult":
            if self._gateway is not None:
                engine, outcome = self._engines.index(e["engine"]), wire.OUTCOMES[e["status"]]
                report = settings.load_report(self._reported, e.get("telemetry"))
                self._call(self._gateway.probe_completed, engine, outcome, report)
        elif verb == "fromPeer":
            if self._gateway is not None:
                data = base64.b64decode(e.get("data") or "")
                self._call(self._gateway.receive_from_peer, int(e["neighbour"]), data)
        else:
            raise ValueError(f"unknown event {verb!r}")

    def _ingress(self, e: dict[str, Any]) -> None:
        request = e["requestId"]
        held = self._held[request] = self._holding.open(HeldQuery(request))
        bits = int(e.get("bits") or 0)
        arrival = QueryArrival(
            index=held.index,
            service_class=int(e.get("lane", 0)),
            tenant=int(e.get("clientGroup", 0)),
            order_key=e.get("relation"),
            deadline=settings.down(e["clientDeadlineUs"]),
            estimated_cost=settings.up(e.get("guessUs") or 0) if bits & 1 else 0,
            estimated_memory=float(e.get("memMb") or 0.0),
            table_group=int(e.get("tableGroup") or 0),
            is_retry=bool(bits & 2),
        )

        def take() -> None:
            if self._gateway is not None:
                held.batch = self._gateway.submit(arrival)

        self._call(take)
        self._forget(request, held)

    def _verdict(self, e: dict[str, Any]) -> None:
        request = e["requestId"]
        held = self._held.get(request)
        if held is None or held.batch is None:
            return
        outcome, over = wire.OUTCOMES[e["status"]], bool(e.get("over"))
        work, memory = wire.billed(int(e.get("note") or 0))
        report = settings.load_report(self._reported, e.get("telemetry"))
        lasted = settings.down(e.get("durationUs", 0))
        held.out -= 1
        held.ended = held.ended or over
        result = AttemptResult(outcome, lasted, work, memory, report)
        self._call(held.batch.attempt_ended, int(e.get("seqNo", 0)), result, over)
        self._forget(request, held)

    def _roster(self, e: dict[str, Any], pages: dict[int, list[dict[str, Any]]]) -> None:
        form = e["form"]
        if self._gateway is None:
            return
        if form == "failed":
            self._call(self._gateway.engine_list_failed)
            return
        if form not in ("delta", "full", "cached"):
            raise ValueError(f"unknown list form {form!r}")
        entries = [wire.engine_entry(self._engines.index(row["engine"]), row) for row in pages[e["page"]]]
        self._call(self._gateway.update_engines, entries, form != "delta")

    def _forget(self, request: str, held: HeldQuery) -> None:
        if self._holding.settle(held):
            del self._held[request]

    def _call(self, method: Callable[..., None], *values: Any) -> None:
        """Calls the module; a fault inside it ends the day with its cause."""
        try:
            method(*values)
        except Exception as fault:
            frame = traceback.extract_tb(fault.__traceback__)[-1]
            cause = f"{type(fault).__name__}: {fault} ({frame.name}, line {frame.lineno})"
            self._order("fatal", message=cause)

    # What the module calls out: the Transport.

    def _order(self, verb: str, **fields: Any) -> None:
        self.orders.append({"verb": verb, "manager": self.number, **fields})

    def send_attempt(self, batch: int, engine: int, time_out: int) -> None:
        held = self._holding.at(batch)
        held.out += 1
        self._order(
            "deliver",
            requestId=held.name,
            capUs=time_out * settings.MICROS,
            engine=self._engines.name(engine),
        )

    def grant_memory(self, batch: int, memory: float, priority: int) -> None:
        self._order("equip", requestId=self._holding.at(batch).name, workspaceMb=memory, lane=priority)

    def reject(self, batch: int, retry_after: int) -> None:
        held = self._holding.at(batch)
        if retry_after > 0:
            self._order("bounce", requestId=held.name, waitUs=retry_after * settings.MICROS)
        else:
            self._order("bounce", requestId=held.name)
        self._given_up(held)

    def fail(self, batch: int) -> None:
        held = self._holding.at(batch)
        self._order("finishError", requestId=held.name)
        self._given_up(held)

    def _given_up(self, held: HeldQuery) -> None:
        held.ended = True
        self._forget(held.name, held)  # in the line nothing else comes for it, and it would stay for good

    def cancel_attempt(self, batch: int, dispatch: int) -> None:
        self._order("revoke", requestId=self._holding.at(batch).name, seqNo=dispatch)

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        recipient: int | str = "*" if peer is None else peer
        self._order("broadcastTo", recipient=recipient, data=base64.b64encode(data).decode())

    def probe_engine(self, engine: int) -> None:
        self._order("inspect", engine=self._engines.name(engine))

    def subscribe_to_engine_list(self) -> None:
        self._order("subscribe", enable=True)

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self._timer += 1
        self._timers[self._timer] = callback
        self._order("setTimer", waitUs=max(0, delay) * settings.MICROS, keyBack=self._timer)

    def log(self, text: str) -> None:
        self._order("log", message=text)
