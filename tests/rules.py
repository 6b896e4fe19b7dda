"""Checks from outside what the decisions do: rules 1, 2, 3, 5, 6 and 7 of the users' protocol.

They stand in section 10 of its page WIRE. The checker is the decisions' Transport, knows of them only what
goes in and out, and shares no code with them.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from vanerelay.interface import EngineEntry, EngineState, Outcome, QueryArrival

SECOND = 10_000
MICROSECONDS_PER_TICK = 100
NEVER_RAN = {Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
MAY_STILL_RUN = {Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.MALFORMED}


@dataclass
class ObservedAttempt:
    """One attempt, as the checker saw it."""

    engine: EngineEntry
    sent_at: int
    timeout: int
    cancelled: bool = False
    ended: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.ended not in NEVER_RAN


@dataclass
class ObservedQuery:
    """One query, as the checker saw it. `service_class`: its class in the raw settings."""

    arrival: QueryArrival
    service_class: dict[str, Any]
    submitted_at: int
    handle: Any = None
    attempts: list[ObservedAttempt] = field(default_factory=list)
    final_answer: str | None = None

    @property
    def in_flight(self) -> list[ObservedAttempt]:
        return [attempt for attempt in self.attempts if attempt.ended is None]


class RuleChecker:
    """Holds the rules against each call as it is made."""

    def __init__(self, raw_settings: dict[str, Any]) -> None:
        self.now = 1000 * SECOND
        self.settings = raw_settings
        self.limits = raw_settings.get("limits") or {}
        self.safety = raw_settings.get("safety") or {}
        self.queries: dict[int, ObservedQuery] = {}
        self.engines: dict[int, EngineEntry] = {}
        self.timed_out: Callable[[ObservedQuery, int], None] = lambda query, number: None
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timers_made = 0
        self._resting_until = dict[int, int]()

    # What a test reports of the world.

    def query_submitted(self, arrival: QueryArrival) -> ObservedQuery:
        service_class = self.settings["classes"][arrival.service_class]
        query = self.queries[arrival.index] = ObservedQuery(arrival, service_class, self.now)
        return query

    def attempt_ended(self, query: ObservedQuery, number: int, outcome: Outcome) -> None:
        query.attempts[number].ended = outcome
        key = query.arrival.order_key
        if outcome in MAY_STILL_RUN and query.service_class.get("inTurn") and key is not None:
            pause = (self.safety.get("orderPauseUs") or 0) // MICROSECONDS_PER_TICK
            self._resting_until[key] = self.now + pause
        if outcome is Outcome.COMPLETED:
            self._answered(query, "completed")

    def advance(self, span: int) -> None:
        until = self.now + span
        while self._timers and self._timers[0][0] <= until:
            when, _, callback = heapq.heappop(self._timers)
            self.now = max(self.now, when)
            callback()
        self.now = until

    # The Transport.

    def send_attempt(self, index: int, engine: int, timeout: int) -> None:
        query, entry = self.queries[index], self.engines[engine]
        assert query.final_answer is None, "rule 1: an attempt of a query that was answered"
        assert timeout > 0 and self.now + timeout <= query.arrival.deadline + 60 * 10
        self._check_effects(query, entry)
        assert entry.state is EngineState.UP, "rule 3: an engine that drains or is gone"
        self._check_order(query)
        zones, kinds = query.service_class.get("staysIn"), query.service_class.get("kindsOnly")
        assert zones is None or entry.zone in zones, "rule 6: zone"
        assert kinds is None or entry.machine_kind in kinds, "rule 6: kind"
        assert len(query.attempts) < int(self.limits.get("maxAttempts") or 1), "more attempts than allowed"
        number = len(query.attempts)
        query.attempts.append(ObservedAttempt(entry, self.now, timeout))
        self.call_later(timeout, lambda: self.timed_out(query, number))
        if len(query.attempts) > 1:
            self._check_retry_budget()

    def reject(self, index: int, retry_after: int) -> None:
        query = self.queries[index]
        semantics = query.service_class["semantics"]
        harmless = semantics == "pure" or not any(attempt.may_have_run for attempt in query.attempts)
        harmless |= semantics == "token" and (query.service_class.get("dedupScope") or "all") == "all"
        assert harmless, "rule 2: a rejection says that a retry does no harm"
        assert retry_after <= (self.limits.get("maxRetryAfterUs") or 0) // MICROSECONDS_PER_TICK
        self._answered(query, "rejected")

    def fail(self, index: int) -> None:
        self._answered(self.queries[index], "failed")

    def cancel_attempt(self, index: int, number: int) -> None:
        assert self.limits.get("cancel"), "a cancel that is not allowed"
        self.queries[index].attempts[number].cancelled = True

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self._timers_made += 1
        heapq.heappush(self._timers, (self.now + max(1, delay), self._timers_made, callback))

    def grant_memory(self, index: int, memory: float, priority: int) -> None:
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

    def _answered(self, query: ObservedQuery, answer: str) -> None:
        assert query.final_answer is None, "rule 1: a second final answer"
        assert self.now <= query.arrival.deadline, "rule 1: a final answer after the deadline"
        query.final_answer = answer

    def _check_effects(self, query: ObservedQuery, entry: EngineEntry) -> None:
        assert self.limits.get("secondCopies") or not query.in_flight, "two attempts in flight at once"
        ran = [attempt for attempt in query.attempts if attempt.may_have_run]
        if not ran or query.service_class["semantics"] == "pure":
            return
        assert query.service_class["semantics"] == "token", "rule 2: an effect twice"
        window = (query.service_class.get("windowUs") or 0) // MICROSECONDS_PER_TICK
        assert self.now - ran[0].sent_at < window, "rule 2: a retry after its window"
        scope, first = query.service_class.get("dedupScope") or "all", ran[0].engine
        assert scope != "zone" or entry.zone == first.zone, "rule 2: another zone"
        assert scope != "cell" or entry.cell == first.cell, "rule 2: another cell"

    def _check_order(self, query: ObservedQuery) -> None:
        key = query.arrival.order_key
        if not query.service_class.get("inTurn") or key is None:
            return
        earlier = [
            other
            for other in self.queries.values()
            if other.arrival.order_key == key
            and other.service_class.get("inTurn")
            and other.arrival.index < query.arrival.index
        ]
        assert all(other.final_answer and not other.in_flight for other in earlier), "rule 5: out of order"
        rests = self.now < self._resting_until.get(key, 0)
        assert query.attempts or not rests, "rule 5: within a key's rest"

    def _check_retry_budget(self) -> None:
        window = (self.safety.get("ratioSpanUs") or 0) // MICROSECONDS_PER_TICK
        if not window:
            return
        since = self.now - window
        submitted = sum(query.submitted_at > since for query in self.queries.values())
        retries = sum(
            attempt.sent_at > since for query in self.queries.values() for attempt in query.attempts[1:]
        )
        allowed = (self.safety.get("minExtra") or 0) + (self.safety.get("extraRatio") or 0) * submitted
        assert retries <= allowed, "rule 7: more retries than the budget"
