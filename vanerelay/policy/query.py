"""The handle of one query: what the caller reports to it, and what the rules allow it."""

from __future__ import annotations

import math
from typing import Protocol

from vanerelay.interface import (
    AttemptResult,
    DeduplicationScope,
    Idempotency,
    PlacementConstraints,
    ProgressKind,
    QueryArrival,
    ServiceClass,
)
from vanerelay.policy.attempt import Attempt

BEHIND_LOAD_SILENCE = 0.2
"""Weight as a sign of an engine's silence of a query that may stand still behind a data load."""


class QueryOwner(Protocol):
    """The gateway that a query was submitted to."""

    @property
    def now(self) -> int:
        """The present moment."""

    def attempt_ended(self, query: Query, number: int, result: AttemptResult, is_final: bool) -> None:
        """An attempt ended."""

    def attempt_progressed(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """An engine reported on a running attempt."""

    def client_left(self, query: Query) -> None:
        """The client wants no answer any more."""

    def hold(self, query: Query, has_turn: bool = True) -> None:
        """Holds the query until it is admitted or given up."""


class Query:
    """One query, from when it was submitted.

    Attributes:
        sequence: The place in the order of submission.
        threads: Threads charged for it. `has_full_threads` is False where it may stand behind a data load
            and is charged for less.
        is_low_value: Whether it is idempotent and worth no more than the least such class.
        order_key: Its key, where its class is ordered.
        attempts: All attempts so far, by number.
        is_held: Whether it waits for admission; since `held_since`, until `give_up_at` at the latest.
        is_ended: Whether the final answer was given or the client has left. Attempts may still be in flight.
        objective_at: Until when an answer earns the full value.
    """

    def __init__(
        self,
        owner: QueryOwner,
        arrival: QueryArrival,
        service_class: ServiceClass,
        sequence: int,
        threads: float,
        is_low_value: bool,
        objective_at: int,
    ) -> None:
        self._owner = owner
        self.arrival = arrival
        self.service_class = service_class
        self.sequence = sequence
        self.threads = threads
        self.is_low_value = is_low_value
        self.order_key = arrival.order_key if service_class.ordered else None
        self.attempts = list[Attempt]()
        self.is_held = False
        self.is_ended = False
        self.submitted_at = owner.now
        self.held_since = self.submitted_at
        self.objective_at = objective_at
        self.give_up_at = objective_at

    def __lt__(self, other: Query) -> bool:
        return self.sequence < other.sequence

    # What the caller reports.

    def attempt_ended(self, number: int, result: AttemptResult, is_final: bool) -> None:
        """An attempt ended. `is_final`: the query was answered with it, or had been before."""
        self._owner.attempt_ended(self, number, result, is_final)

    def attempt_progressed(self, number: int, kind: ProgressKind, value: float) -> None:
        """The engine of an attempt reported on it."""
        self._owner.attempt_progressed(self, number, kind, value)

    def client_left(self) -> None:
        """The client withdrew the query, or is gone."""
        self._owner.client_left(self)

    def may_begin(self, number: int) -> bool:
        """Rules 1 to 3, checked again when an attempt is written: it may have waited for a connection."""
        if self.is_ended or self._owner.now >= self.repeatable_until(number):
            return False
        return self.attempts[number].engine.is_listed

    # What the rules allow.

    def is_in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return any(attempt.in_flight for attempt in self.attempts)

    def is_retry_harmless(self) -> bool:
        """Rule 2, of a rejection: whether the client may submit the query again without a second effect."""
        is_deduplicated_everywhere = (
            self.service_class.idempotency is Idempotency.DEDUPLICATED
            and self.service_class.deduplication_scope is DeduplicationScope.ALL
        )
        return is_deduplicated_everywhere or self.repeatable_until() == math.inf

    def repeatable_until(self, before: int | None = None) -> float:
        """Rule 2: until when another attempt may begin.

        Infinity where any may, as none of the attempts numbered below `before` (None: of all) may have run;
        minus infinity where none may.
        """
        ran_at = [attempt.sent_at for attempt in self.attempts[:before] if attempt.may_have_run]
        if self.service_class.idempotency is Idempotency.IDEMPOTENT or not ran_at:
            return math.inf
        if self.service_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        return min(ran_at) + self.service_class.deduplication_window - 1

    def constraints(self) -> PlacementConstraints:
        """Rule 6, and of rule 2 the engines that recognise a repeat."""
        ran_on = [attempt.engine.entry for attempt in self.attempts if attempt.may_have_run]
        scope = DeduplicationScope.ALL
        if ran_on and self.service_class.idempotency is Idempotency.DEDUPLICATED:
            scope = self.service_class.deduplication_scope
        return PlacementConstraints(
            zones=(ran_on[0].zone,) if scope is DeduplicationScope.ZONE else self.service_class.zones,
            machine_kinds=self.service_class.machine_kinds,
            cell=ran_on[0].cell if scope is DeduplicationScope.CELL else None,
            engines=self.arrival.eligible_engines,
        )

    # What other modules of the policy need.

    def resume(self) -> None:
        """It is this query's turn for its order key."""
        self._owner.hold(self)

    def silence_weight(self) -> float:
        """How much it counts as a sign of silence once an attempt is overdue."""
        return BEHIND_LOAD_SILENCE if self.service_class.is_involved_in_data_loads() else 1.0

    def has_full_threads(self) -> bool:
        """Whether all its threads work, as it cannot stand behind a data load."""
        return self.threads == self.service_class.threads
