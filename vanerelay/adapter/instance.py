"""One simulated gateway: passes events of the simulator to the policy, and encodes its calls as orders."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from vanerelay import settings
from vanerelay.adapter import wire
from vanerelay.adapter.orders import Order, OrderEncoder
from vanerelay.adapter.wire import Event
from vanerelay.interface import ProgressKind
from vanerelay.policy.gateway import Gateway
from vanerelay.query_table import EngineNames, HeldQuery, QueryTable

Pages = dict[int, list[dict[str, Any]]]
"""The pages of the engine list by their numbers in the protocol."""


class Instance:
    """Calls one `Gateway` of the policy for each event, and is the `Transport` through which it acts.

    Attributes:
        now: The current time, in ticks; set with each message.
        orders: The list that orders are appended to; set with each message.
    """

    def __init__(
        self, number: int, now: int, seed: int, raw_settings: dict[str, Any], orders: list[Order]
    ) -> None:
        self.now = now
        self.orders = orders
        self._encoder = OrderEncoder(number)
        self._held: dict[str, HeldQuery] = {}
        self._queries: QueryTable[HeldQuery] = QueryTable()
        self._engines = EngineNames()
        self._timers: dict[int, Callable[[], None]] = {}
        self._last_timer = 0
        self._report_names = settings.report_names(raw_settings)
        self._gateway: Gateway | None = None
        self._handlers: dict[str, Callable[[Event], None]] = {
            wire.ATTEMPT_ENDED: self._attempt_ended,
            wire.QUERY_ARRIVED: self._query_arrived,
            wire.TIMER_FIRED: self._timer_fired,
            wire.ATTEMPT_PROGRESSED: self._attempt_progressed,
            wire.CLIENT_LEFT: self._client_left,
            wire.RESULT_BEGAN: self._result_began,
            wire.PROBE_COMPLETED: self._probe_completed,
            wire.PEER_MESSAGE: self._peer_message,
        }

        def start() -> None:
            self._gateway = settings.open_gateway(self, seed, raw_settings, polls_load=True)

        self._call(start)

    # Events.

    def handle(self, verb: str, event: Event, pages: Pages) -> None:
        """Handles one event."""
        if verb == wire.ENGINE_LIST_CHANGED:
            self._engine_list_changed(event, pages)
        elif verb in self._handlers:
            self._handlers[verb](event)
        else:
            raise ValueError(f"unknown event {verb!r}")

    def _query_arrived(self, event: Event) -> None:
        name = wire.query_name(event)
        held = self._held[name] = self._queries.add(HeldQuery(name))
        arrival = wire.arrival(event, held.index)

        def submit() -> None:
            if self._gateway is not None:
                held.handle = self._gateway.submit(arrival)

        self._call(submit)
        self._forget_if_done(held)

    def _attempt_ended(self, event: Event) -> None:
        held = self._held.get(wire.query_name(event))
        if held is None or held.handle is None:
            return
        is_final = wire.is_final(event)
        result = wire.attempt_result(event, self._report_names)
        held.in_flight -= 1
        held.ended = held.ended or is_final
        self._call(held.handle.attempt_ended, wire.attempt_number(event), result, is_final)
        self._forget_if_done(held)

    def _attempt_progressed(self, event: Event) -> None:
        held = self._held.get(wire.query_name(event))
        kind = wire.progress_kind(event)
        if held is not None and held.handle is not None and kind is not None:
            number, value = wire.attempt_number(event), wire.progress_value(event)
            self._call(held.handle.attempt_progressed, number, kind, value)

    def _result_began(self, event: Event) -> None:
        held = self._held.get(wire.query_name(event))
        if held is not None and held.handle is not None:
            number = wire.attempt_number(event)
            self._call(held.handle.attempt_progressed, number, ProgressKind.PROGRESS, 0.0)

    def _client_left(self, event: Event) -> None:
        held = self._held.get(wire.query_name(event))
        if held is not None and held.handle is not None:
            held.ended = True
            self._call(held.handle.client_left)
            self._forget_if_done(held)

    def _timer_fired(self, event: Event) -> None:
        callback = self._timers.pop(wire.timer_key(event), None)
        if callback is not None:
            self._call(callback)

    def _engine_list_changed(self, event: Event, pages: Pages) -> None:
        form = wire.list_form(event)
        if self._gateway is None:
            return
        if form == wire.LIST_FAILED:
            self._call(self._gateway.engine_list_failed)
            return
        if form not in wire.LIST_FORMS:
            raise ValueError(f"unknown form of an engine list change {form!r}")
        entries = [
            wire.engine_entry(self._engines.index(wire.engine_name(row)), row)
            for row in pages[wire.page_number(event)]
        ]
        self._call(self._gateway.update_engines, entries, form != wire.LIST_DELTA)

    def _probe_completed(self, event: Event) -> None:
        if self._gateway is None:
            return
        engine = self._engines.index(wire.engine_name(event))
        outcome = wire.outcome(event)
        report = settings.load_report(self._report_names, wire.telemetry(event))
        self._call(self._gateway.probe_completed, engine, outcome, report)

    def _peer_message(self, event: Event) -> None:
        if self._gateway is None:
            return
        data = wire.peer_data(event)
        self._call(self._gateway.receive_from_peer, wire.peer(event), data)

    def _forget_if_done(self, held: HeldQuery) -> None:
        if self._queries.remove_if_done(held):
            del self._held[held.name]

    def _call(self, method: Callable[..., None], *values: Any) -> None:
        """Calls the policy. An exception is reported with its cause, which ends the run."""
        try:
            method(*values)
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            cause = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
            self.orders.append(self._encoder.fatal(cause))

    # Operations of `Transport`.

    def send_attempt(self, query: int, engine: int, timeout: int) -> None:
        """See `Transport`."""
        held = self._queries.get(query)
        held.in_flight += 1
        self.orders.append(self._encoder.send_attempt(held.name, self._engines.name(engine), timeout))

    def grant_memory(self, query: int, memory: float, priority: int) -> None:
        """See `Transport`."""
        name = self._queries.get(query).name
        self.orders.append(self._encoder.grant_memory(name, memory, priority))

    def reject(self, query: int, retry_after: int) -> None:
        """See `Transport`."""
        held = self._queries.get(query)
        self.orders.append(self._encoder.reject(held.name, retry_after))
        self._end_query(held)

    def fail(self, query: int) -> None:
        """See `Transport`."""
        held = self._queries.get(query)
        self.orders.append(self._encoder.fail(held.name))
        self._end_query(held)

    def _end_query(self, held: HeldQuery) -> None:
        held.ended = True
        self._forget_if_done(held)  # no event follows for a query in the admission queue

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """See `Transport`."""
        name = self._queries.get(query).name
        self.orders.append(self._encoder.cancel_attempt(name, attempt))

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        """See `Transport`."""
        self.orders.append(self._encoder.send_to_peers(peer, data))

    def probe_engine(self, engine: int) -> None:
        """See `Transport`."""
        self.orders.append(self._encoder.probe_engine(self._engines.name(engine)))

    def subscribe_to_engine_list(self) -> None:
        """See `Transport`."""
        self.orders.append(self._encoder.subscribe_to_engine_list())

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """See `Transport`."""
        self._last_timer += 1
        self._timers[self._last_timer] = callback
        self.orders.append(self._encoder.set_timer(delay, self._last_timer))

    def log(self, text: str) -> None:
        """See `Transport`."""
        self.orders.append(self._encoder.log(text))
