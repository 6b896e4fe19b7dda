"""One gateway instance on the simulator's wire: ids, units and messages, nothing else."""
from __future__ import annotations

import base64
import traceback
from collections.abc import Callable
from typing import Any

from vanerelay.adapter import wire
from vanerelay.decide import Batch, Gateway
from vanerelay.interface import Arrival, NoteKind

Orders = list[dict[str, Any]]


class Held:
    """An id on the wire, its handle, and what is still to come for it."""

    __slots__ = ("batch", "ended", "index", "out")

    def __init__(self, index: int) -> None:
        self.index = index
        self.batch: Batch | None = None
        self.out = 0
        self.ended = False


class Instance:
    """Calls one Gateway for what the wire brings, and is the Transport that it calls out through."""

    def __init__(self, number: int, now: int, seed: int, profile: dict[str, Any], orders: Orders) -> None:
        self.number, self.now, self.orders = number, now, orders
        self._held: dict[str, Held] = {}
        self._ids: list[str] = []
        self._free: list[int] = []
        self._engines: dict[str, int] = {}
        self._engine_ids: list[str] = []
        self._timers: dict[int, Callable[[], None]] = {}
        self._timer = 0
        self._reported = wire.report_names(profile)
        groups, kinds, place = wire.service_groups(profile), wire.machine_kinds(profile), wire.place(profile)
        allowed, cold = wire.allowances(profile), wire.cold_start(profile)
        ration = wire.ration_terms(profile)
        pause, tick = wire.order_pause(profile), wire.up(profile.get("tickUs") or 0)
        self._gateway: Gateway | None = None

        def start() -> None:
            self._gateway = Gateway(
                self, seed, groups, kinds, place, allowed, cold, ration, pause, tick)

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
                self._call(held.batch.noted, int(e.get("seqNo", 0)), kind, float(e.get("x", 0.0)))
        elif verb == "left":
            held = self._held.get(e["requestId"])
            if held is not None and held.batch is not None:
                held.ended = True
                self._call(held.batch.left)
                self._forget(e["requestId"], held)
        elif verb == "first":
            held = self._held.get(e["requestId"])
            if held is not None and held.batch is not None:
                self._call(held.batch.noted, int(e.get("seqNo", 0)), NoteKind.PROGRESS, 0.0)
        elif verb == "rosterChange":
            self._roster(e, pages)
        elif verb == "checkResult":
            # The module sends no probes and no messages yet: what comes is read, and nobody asked for it.
            _ = self._engine(e["engine"]), wire.OUTCOMES[e["status"]]
        elif verb == "fromPeer":
            _ = int(e["neighbour"]), base64.b64decode(e.get("data") or "")
        else:
            raise ValueError(f"unknown event {verb!r}")

    def _ingress(self, e: dict[str, Any]) -> None:
        request = e["requestId"]
        index = self._free.pop() if self._free else len(self._ids)
        if index == len(self._ids):
            self._ids.append(request)
        else:
            self._ids[index] = request
        bits = int(e.get("bits") or 0)
        arrival = Arrival(
            index=index,
            group=int(e.get("lane", 0)),
            customer=int(e.get("clientGroup", 0)),
            key=e.get("relation"),
            time_limit=wire.down(e["clientDeadlineUs"]),
            cost=wire.up(e.get("guessUs") or 0) if bits & 1 else 0,
            memory=float(e.get("memMb") or 0.0),
            tables=int(e.get("tableGroup") or 0),
            is_retry=bool(bits & 2),
        )
        held = self._held[request] = Held(index)

        def take() -> None:
            if self._gateway is not None:
                held.batch = self._gateway.take(arrival)

        self._call(take)
        self._forget(request, held)

    def _verdict(self, e: dict[str, Any]) -> None:
        request = e["requestId"]
        held = self._held.get(request)
        if held is None or held.batch is None:
            return
        outcome, over = wire.OUTCOMES[e["status"]], bool(e.get("over"))
        work, memory = wire.billed(int(e.get("note") or 0))
        report = wire.load_report(self._reported, e.get("telemetry"))
        lasted = wire.down(e.get("durationUs", 0))
        held.out -= 1
        held.ended = held.ended or over
        self._call(held.batch.ended, int(e.get("seqNo", 0)), outcome, lasted, over, work, memory, report)
        self._forget(request, held)

    def _roster(self, e: dict[str, Any], pages: dict[int, list[dict[str, Any]]]) -> None:
        form = e["form"]
        if self._gateway is None:
            return
        if form == "failed":
            self._call(self._gateway.list_failed)
            return
        if form not in ("delta", "full", "cached"):
            raise ValueError(f"unknown list form {form!r}")
        entries = [wire.engine_entry(self._engine(row["engine"]), row) for row in pages[e["page"]]]
        self._call(self._gateway.listed, entries, form != "delta")

    def _engine(self, name: str) -> int:
        index = self._engines.setdefault(name, len(self._engines))
        if index == len(self._engine_ids):
            self._engine_ids.append(name)
        return index

    def _forget(self, request: str, held: Held) -> None:
        if held.ended and held.out <= 0 and self._held.pop(request, None) is not None:
            self._free.append(held.index)

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

    def dispatch(self, batch: int, engine: int, time_out: int) -> None:
        request = self._ids[batch]
        self._held[request].out += 1
        self._order(
            "deliver", requestId=request, capUs=time_out * wire.MICROS, engine=self._engine_ids[engine])

    def grant(self, batch: int, memory: float, priority: int) -> None:
        self._order("equip", requestId=self._ids[batch], workspaceMb=memory, lane=priority)

    def push_back(self, batch: int, retry_after: int) -> None:
        self._held[self._ids[batch]].ended = True
        if retry_after > 0:
            self._order("bounce", requestId=self._ids[batch], waitUs=retry_after * wire.MICROS)
        else:
            self._order("bounce", requestId=self._ids[batch])

    def error(self, batch: int) -> None:
        self._held[self._ids[batch]].ended = True
        self._order("finishError", requestId=self._ids[batch])

    def cancel(self, batch: int, dispatch: int) -> None:
        self._order("revoke", requestId=self._ids[batch], seqNo=dispatch)

    def tell(self, peer: int | None, data: bytes) -> None:
        recipient: int | str = "*" if peer is None else peer
        self._order("broadcastTo", recipient=recipient, data=base64.b64encode(data).decode())

    def probe(self, engine: int) -> None:
        self._order("inspect", engine=self._engine_ids[engine])

    def subscribe(self) -> None:
        self._order("subscribe", enable=True)

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self._timer += 1
        self._timers[self._timer] = callback
        self._order("setTimer", waitUs=max(0, delay) * wire.MICROS, keyBack=self._timer)

    def log(self, text: str) -> None:
        self._order("log", message=text)
