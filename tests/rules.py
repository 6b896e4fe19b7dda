"""Judges from outside what a decision module does: rules 1, 2, 3, 5, 6 and 7 of WIRE, section 10.

It is the module's Transport and knows of it only what goes in and out. It shares no code with it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from vanerelay.interface import EngineEntry, EngineState, Outcome, QueryArrival

SECOND = 10_000
NEVER_RAN = {Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
MAY_RUN_ON = {Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.MALFORMED}


@dataclass
class Sent:
    """One attempt, as the judge saw it."""

    engine: EngineEntry
    at: int
    time_out: int
    cancelled: bool = False
    ended: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.ended not in NEVER_RAN


@dataclass
class Query:
    """One query, as the judge saw it."""

    arrival: QueryArrival
    group: dict[str, Any]
    taken: int
    handle: Any = None
    sent: list[Sent] = field(default_factory=list)
    over: str | None = None

    @property
    def out(self) -> list[Sent]:
        return [one for one in self.sent if one.ended is None]


class Judge:
    """Holds the rules against each call as it is made."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.now, self.settings = 1000 * SECOND, settings
        self.queries: dict[int, Query] = {}
        self.engines: dict[int, EngineEntry] = {}
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._made, self._rests = 0, dict[int, int]()
        self.timed_out: Callable[[Query, int], None] = lambda query, number: None
        self.limits = settings.get("limits") or {}
        self.safety = settings.get("safety") or {}

    # What a test tells of the world.

    def took(self, arrival: QueryArrival) -> Query:
        group = self.settings["classes"][arrival.service_class]
        query = self.queries[arrival.index] = Query(arrival, group, self.now)
        return query

    def ends(self, query: Query, number: int, outcome: Outcome) -> None:
        query.sent[number].ended = outcome
        key = query.arrival.order_key
        if outcome in MAY_RUN_ON and query.group.get("inTurn") and key is not None:
            self._rests[key] = self.now + (self.safety.get("orderPauseUs") or 0) // 100
        if outcome is Outcome.COMPLETED:
            self._final(query, "returned")

    def advance(self, span: int) -> None:
        until = self.now + span
        while self._timers and self._timers[0][0] <= until:
            when, _, callback = heapq.heappop(self._timers)
            self.now = max(self.now, when)
            callback()
        self.now = until

    # The Transport.

    def send_attempt(self, batch: int, engine: int, time_out: int) -> None:
        query, entry = self.queries[batch], self.engines[engine]
        assert query.over is None, "rule 1: an attempt of a query that is over"
        assert time_out > 0 and self.now + time_out <= query.arrival.deadline + 60 * 10
        self._effects(query, entry)
        assert entry.state is EngineState.UP, "rule 3: an engine that drains or is gone"
        self._order(query)
        locations, kinds = query.group.get("staysIn"), query.group.get("kindsOnly")
        assert locations is None or entry.zone in locations, "rule 6: location"
        assert kinds is None or entry.machine_kind in kinds, "rule 6: kind"
        assert len(query.sent) < int(self.limits.get("maxAttempts") or 1), "more attempts than allowed"
        number = len(query.sent)
        query.sent.append(Sent(entry, self.now, time_out))
        self.call_later(time_out, lambda: self.timed_out(query, number))
        if len(query.sent) > 1:
            self._ration()

    def reject(self, batch: int, retry_after: int) -> None:
        query = self.queries[batch]
        semantics = query.group["semantics"]
        harmless = semantics == "pure" or not any(one.may_have_run for one in query.sent)
        harmless |= semantics == "token" and (query.group.get("dedupScope") or "all") == "all"
        assert harmless, "rule 2: a rejection says that a retry does no harm"
        assert retry_after <= (self.limits.get("maxRetryAfterUs") or 0) // 100
        self._final(query, "rejected")

    def fail(self, batch: int) -> None:
        self._final(self.queries[batch], "failed")

    def cancel_attempt(self, batch: int, dispatch: int) -> None:
        assert self.limits.get("cancel"), "a cancel that is not allowed"
        self.queries[batch].sent[dispatch].cancelled = True

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self._made += 1
        heapq.heappush(self._timers, (self.now + max(1, delay), self._made, callback))

    def grant_memory(self, batch: int, memory: float, priority: int) -> None:
        assert memory >= 0 and priority in (1, 2)

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        assert self.limits.get("peers") and len(data) <= 256

    def probe_engine(self, engine: int) -> None:
        assert self.limits.get("probes")

    def subscribe_to_engine_list(self) -> None:
        pass

    def log(self, text: str) -> None:
        pass

    # The rules.

    def _final(self, query: Query, word: str) -> None:
        assert query.over is None, "rule 1: a second final answer"
        assert self.now <= query.arrival.deadline, "rule 1: a final answer after the time limit"
        query.over = word

    def _effects(self, query: Query, entry: EngineEntry) -> None:
        assert self.limits.get("secondCopies") or not query.out, "two attempts out at once"
        ran = [one for one in query.sent if one.may_have_run]
        if not ran or query.group["semantics"] == "pure":
            return
        assert query.group["semantics"] == "token", "rule 2: an effect twice"
        window = (query.group.get("windowUs") or 0) // 100
        assert self.now - ran[0].at < window, "rule 2: a repeat after its window"
        scope, first = query.group.get("dedupScope") or "all", ran[0].engine
        assert scope != "zone" or entry.zone == first.zone, "rule 2: another location"
        assert scope != "cell" or entry.cell == first.cell, "rule 2: another cell"

    def _order(self, query: Query) -> None:
        key = query.arrival.order_key
        if not query.group.get("inTurn") or key is None:
            return
        earlier = [
            other
            for other in self.queries.values()
            if other.arrival.order_key == key
            and other.group.get("inTurn")
            and other.arrival.index < query.arrival.index
        ]
        assert all(other.over and not other.out for other in earlier), "rule 5: out of turn"
        assert query.sent or self.now >= self._rests.get(key, 0), "rule 5: within a key's rest"

    def _ration(self) -> None:
        span = (self.safety.get("ratioSpanUs") or 0) // 100
        if not span:
            return
        since = self.now - span
        taken = sum(query.taken > since for query in self.queries.values())
        further = sum(one.at > since for query in self.queries.values() for one in query.sent[1:])
        most = (self.safety.get("minExtra") or 0) + (self.safety.get("extraRatio") or 0) * taken
        assert further <= most, "rule 7: more further attempts than the ration"
