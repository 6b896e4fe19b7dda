"""The handle of a query, which takes events from the caller and tells which attempts the rules allow."""

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

DATA_LOAD_SILENCE_WEIGHT = 0.2
"""Weight, as a sign that its engine is silent, of a query that may be idle there because of a data load.
Other queries have a weight of 1."""


class QueryOwner(Protocol):
    """The gateway that a query was submitted to, as far as the query uses it."""

    @property
    def now(self) -> int:
        """The current time in ticks."""

    def attempt_ended(self, query: Query, number: int, result: AttemptResult, is_final: bool) -> None:
        """Handles the end of an attempt of the query."""

    def attempt_progressed(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """Handles a progress report of an engine about a running attempt."""

    def client_left(self, query: Query) -> None:
        """Ends the query, as its client no longer wants an answer."""

    def hold(self, query: Query, has_turn: bool = True) -> None:
        """Holds the query until it is admitted or given up."""


class Query:
    """A query that was submitted to this gateway.

    Queries compare by the order in which they were submitted.

    Attributes:
        arrival: The query as it arrived.
        service_class: The settings of its service class.
        sequence: Its number in the order of submission.
        threads: The threads reserved for it at its engine. They are fewer than those of its service class if
            it may be idle there because of a data load (see `has_full_threads`).
        is_low_value: Whether it is idempotent and its value is the lowest of all idempotent service classes.
        order_key: Its order key if its service class is ordered, otherwise None.
        attempts: All attempts so far, by number.
        is_held: Whether it waits for admission.
        is_ended: Whether the final answer was given or the client has left. Attempts may still be in flight.
        submitted_at: When it was submitted.
        held_since: When it was last held.
        objective_at: The end of its latency objective, until which an answer has its full value.
        give_up_at: When it is given up if it is still held.
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

    # Events that the caller reports.

    def attempt_ended(self, number: int, result: AttemptResult, is_final: bool) -> None:
        """Reports the end of an attempt.

        Args:
            number: The number of the attempt.
            result: How it ended.
            is_final: Whether the query has its answer, from this attempt or from before.
        """
        self._owner.attempt_ended(self, number, result, is_final)

    def attempt_progressed(self, number: int, kind: ProgressKind, value: float) -> None:
        """Reports the progress of an attempt, as its engine sent it."""
        self._owner.attempt_progressed(self, number, kind, value)

    def client_left(self) -> None:
        """Reports that the client has withdrawn the query or has disconnected."""
        self._owner.client_left(self)

    def may_begin(self, number: int) -> bool:
        """Returns True if rules 1 to 3 allow the attempt with this number to be written to its engine now.

        The caller checks this when it writes the attempt, as the attempt may have waited for a connection.
        """
        if self.is_ended or self._owner.now >= self.repeatable_until(number):
            return False
        return self.attempts[number].engine.is_listed

    # Restrictions by the rules.

    def is_in_flight(self) -> bool:
        """Returns True if an attempt of the query is in flight."""
        return any(attempt.in_flight for attempt in self.attempts)

    def is_retry_harmless(self) -> bool:
        """Returns True if the client may submit the query again without a second effect.

        Only then may the query be rejected, as clients retry rejected queries (rule 2).
        """
        is_deduplicated_everywhere = (
            self.service_class.idempotency is Idempotency.DEDUPLICATED
            and self.service_class.deduplication_scope is DeduplicationScope.ALL
        )
        return is_deduplicated_everywhere or self.repeatable_until() == math.inf

    def repeatable_until(self, before: int | None = None) -> float:
        """Returns the time until which rule 2 allows another attempt to begin.

        Args:
            before: Only the attempts with numbers below this one count; None for all attempts.

        Returns:
            Infinity if an attempt may begin at any time, as the query is idempotent or none of the attempts
            that count may have run; minus infinity if none may begin. For a deduplicated query, the
            time until which engines recognise a repeat of the first attempt that may have run.
        """
        ran_at = [attempt.sent_at for attempt in self.attempts[:before] if attempt.may_have_run]
        if self.service_class.idempotency is Idempotency.IDEMPOTENT or not ran_at:
            return math.inf
        if self.service_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        return min(ran_at) + self.service_class.deduplication_window - 1

    def constraints(self) -> PlacementConstraints:
        """Returns the restrictions on the engines of the next attempt.

        They are those of the service class (rule 6). Once an attempt of a deduplicated query may have run,
        only engines that recognise the next one as a repeat are left (rule 2).
        """
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

    # Used by other modules of the policy.

    def resume(self) -> None:
        """Holds the query for admission, as it is now the next to run for its order key."""
        self._owner.hold(self)

    def silence_weight(self) -> float:
        """Returns the weight of an overdue attempt of the query as a sign that its engine is silent."""
        return DATA_LOAD_SILENCE_WEIGHT if self.service_class.is_involved_in_data_loads() else 1.0

    def has_full_threads(self) -> bool:
        """Returns True if all threads of its class are reserved for it, as no data load can make it idle."""
        return self.threads == self.service_class.threads
