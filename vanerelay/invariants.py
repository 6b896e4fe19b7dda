"""The run-time guard of the invariants. It can refuse attempts, answers and closes of client connections.

The guard keeps its own records of queries, attempts and engines and shares no state with the policy, so that
an error in the policy is counted here and does not reach engines or clients. It reads no clock: the caller
passes the time, in ticks.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import (
    MILLISECOND,
    NEVER_RAN,
    DeduplicationScope,
    EngineEntry,
    EngineState,
    Idempotency,
    MachineKind,
    Outcome,
    RetryBudgetTerms,
    ServiceClass,
    SlowStartTerms,
)

BUCKET_WIDTH = 10 * MILLISECOND
"""The width in ticks of the buckets in which events are counted."""

MIN_ANSWERS = 20
"""The number of answers from which the mean work of a query counts as known."""

LARGE_BUDGET = 30
"""The budget, in attempts in a window during slow start, below which the tolerance is wider."""

TOLERANCE_DEVIATIONS = 2.0
"""The tolerance above a slow start budget, in attempts, is this times (1 + the square root of the budget)."""

SMALL_TOLERANCE_DEVIATIONS = 3.0
"""The same for budgets below `LARGE_BUDGET`."""


class Invariant(Enum):
    """The invariants. Violations are counted under the member's name, which operators read in the log."""

    ENDED = "no attempt after the final answer or after the client has left"
    DEADLINE = "no attempt after the deadline"
    DRAIN = "no attempt at an engine that drains or is gone"
    BUDGET = "no further attempt past the retry budget"
    ATTEMPTS = "no more attempts than the settings allow"
    EFFECT = "no second run of what must not run twice"
    COPY = "no second attempt while one is out"
    COLD = "no more attempts at a cold engine than it bears"
    ANSWER = "one final answer for each query"
    CLOSE = "no connection closed over an unanswered query"


@dataclass(frozen=True, slots=True)
class GuardTerms:
    """The settings that the invariants depend on."""

    service_classes: Sequence[ServiceClass]
    machine_kinds: Sequence[MachineKind]
    retry_budget: RetryBudgetTerms
    slow_start: SlowStartTerms
    max_attempts: int
    may_hedge: bool


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """The start of an attempt.

    Attributes:
        at: When the attempt began, in ticks.
        engine: The engine that it was sent to.
    """

    at: int
    engine: EngineEntry


@dataclass(slots=True)
class QueryRecord:
    """The guard's record of one query.

    Attributes:
        deadline: When the final answer is due, in ticks.
        in_flight: The numbers of the attempts that have begun and not ended.
        is_ended: Whether the final answer was given or the client has left; set by the caller.
        may_have_run: The attempts that may have run, by number.
    """

    service_class: ServiceClass
    deadline: int
    in_flight: set[int] = field(default_factory=set)
    is_ended: bool = False
    may_have_run: dict[int, AttemptStart] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of an engine's state: its names before and after, as written to the log."""

    before: str
    after: str


class EventWindow:
    """Counts the events within a time span that ends now. Older events are dropped."""

    def __init__(self) -> None:
        self._buckets = deque[list[int]]()  # start and number of events of each bucket
        self._total = 0

    def __len__(self) -> int:
        return len(self._buckets)

    def add(self, now: int, span: int) -> None:
        """Counts one event. `span` is the time span in ticks."""
        start = now - now % BUCKET_WIDTH
        if self._buckets and self._buckets[-1][0] == start:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([start, 1])
        self._total += 1
        self.total(now, span)

    def total(self, now: int, span: int) -> int:
        """Returns the number of events within the time span that ends now."""
        while self._buckets and self._buckets[0][0] + BUCKET_WIDTH <= now - span:
            self._total -= self._buckets.popleft()[1]
        return self._total


class InvariantGuard:
    """Checks every attempt, answer and close of a process against the invariants.

    An operation that would violate an invariant is refused and counted, and the caller does not carry it out.
    """

    def __init__(self, terms: GuardTerms) -> None:
        self._terms = terms
        self._violations = Counter[Invariant]()
        self._queries = EventWindow()
        self._retries = EventWindow()
        self._engines: dict[int, EngineEntry] = {}
        self._sent_to: dict[int, EventWindow] = {}  # only engines in slow start
        self._answers = 0
        self._answered_work = 0

    def update_terms(self, terms: GuardTerms) -> None:
        """Replaces the settings. Counts are kept."""
        self._terms = terms

    # Notifications of events.

    def engine_listed(self, entry: EngineEntry) -> StateChange | None:
        """Records an entry of the engine list. Returns the change of the engine's state, if any."""
        before = self._engines.get(entry.index)
        self._engines[entry.index] = entry
        if before is not None and before.state is entry.state:
            return None
        return StateChange(before.state.name.lower() if before else "unknown", entry.state.name.lower())

    def retain_engines(self, engines: set[int]) -> None:
        """Removes all engines except for these, after a complete engine list was received."""
        for engine in self._engines.keys() - engines:
            self.forget_engine(engine)

    def forget_engine(self, engine: int) -> None:
        """Removes an engine that is gone."""
        self._engines.pop(engine, None)
        self._sent_to.pop(engine, None)

    def query_submitted(
        self, now: int, service_class: int, deadline: int, earns_retries: bool
    ) -> QueryRecord:
        """Records a query that is submitted to the policy.

        Args:
            now: The current time.
            service_class: The index of its service class.
            deadline: When the final answer is due.
            earns_retries: Whether the query raises the retry budget.
        """
        if earns_retries:
            self._queries.add(now, self._terms.retry_budget.window)
        return QueryRecord(self._terms.service_classes[service_class], deadline)

    def attempt_ended(self, record: QueryRecord, number: int, outcome: Outcome, work: int) -> None:
        """Records the end of an attempt. `work` is the work that its answer reported, or 0."""
        record.in_flight.discard(number)
        if outcome in NEVER_RAN:
            record.may_have_run.pop(number, None)
        elif outcome is Outcome.COMPLETED and work > 0:
            self._answers += 1
            self._answered_work += work

    # Checks.

    def may_answer(self, record: QueryRecord) -> bool:
        """Returns True if the final answer may be given: none was given, and the client has not left."""
        return self._allow(Invariant.ANSWER if record.is_ended else None)

    def may_close(self, unanswered: int) -> bool:
        """Returns True if a client connection with this number of unanswered queries may be closed."""
        return self._allow(Invariant.CLOSE if unanswered else None)

    def begin_attempt(self, now: int, record: QueryRecord, number: int, engine: int) -> Invariant | None:
        """Checks an attempt that is about to be written, and records it if it is allowed.

        Args:
            now: The current time.
            record: The query.
            number: The number of the attempt, counted from 0.
            engine: The index of the engine.

        Returns:
            The invariant that the attempt would violate, or None if it is allowed.
        """
        violated = self._violated(now, record, number, engine)
        if not self._allow(violated):
            return violated
        entry = self._engines[engine]
        record.in_flight.add(number)
        record.may_have_run[number] = AttemptStart(now, entry)
        if number:
            self._retries.add(now, self._terms.retry_budget.window)
        if self._is_warming_up(now, entry):
            window = self._sent_to.setdefault(engine, EventWindow())
            window.add(now, self._terms.slow_start.overload_window)
        return None

    def violations(self) -> Mapping[str, int]:
        """Returns the number of violations so far by the name of the invariant."""
        return {invariant.name.lower(): count for invariant, count in self._violations.items()}

    def bucket_count(self) -> int:
        """Returns the number of buckets in which events are kept at present."""
        return sum(len(window) for window in (self._queries, self._retries, *self._sent_to.values()))

    def _allow(self, violated: Invariant | None) -> bool:
        if violated is not None:
            self._violations[violated] += 1
        return violated is None

    def _violated(self, now: int, record: QueryRecord, number: int, engine: int) -> Invariant | None:
        return self._violated_by_query(now, record, number) or self._violated_at_engine(
            now, record, number, engine
        )

    def _violated_by_query(self, now: int, record: QueryRecord, number: int) -> Invariant | None:
        if record.is_ended:
            return Invariant.ENDED
        if now >= record.deadline:
            return Invariant.DEADLINE
        return None

    def _violated_at_engine(
        self, now: int, record: QueryRecord, number: int, engine: int
    ) -> Invariant | None:
        entry = self._engines.get(engine)
        if entry is None or entry.state is not EngineState.UP:
            return Invariant.DRAIN
        if number >= self._terms.max_attempts:
            return Invariant.ATTEMPTS
        if record.in_flight and not self._terms.may_hedge:
            return Invariant.COPY
        if self._has_second_effect(now, record, entry):
            return Invariant.EFFECT
        if number and not self._is_within_budget(now):
            return Invariant.BUDGET
        return Invariant.COLD if self._overloads(now, entry) else None

    def _has_second_effect(self, now: int, record: QueryRecord, entry: EngineEntry) -> bool:
        service_class = record.service_class
        if service_class.idempotency is Idempotency.IDEMPOTENT or not record.may_have_run:
            return False
        first = min(record.may_have_run.values(), key=lambda start: start.at)
        if service_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return True
        if now - first.at >= service_class.deduplication_window:
            return True
        if service_class.deduplication_scope is DeduplicationScope.ZONE:
            return entry.zone != first.engine.zone
        return (
            service_class.deduplication_scope is DeduplicationScope.CELL and entry.cell != first.engine.cell
        )

    def _is_within_budget(self, now: int) -> bool:
        budget = self._terms.retry_budget
        if not budget.window:
            return True
        allowed = budget.min_retries + budget.retry_ratio * self._queries.total(now, budget.window)
        return self._retries.total(now, budget.window) + 1 <= allowed

    def _is_warming_up(self, now: int, entry: EngineEntry) -> bool:
        terms = self._terms.slow_start
        if not terms.overload_window or not entry.started_at:
            return False
        return now - entry.started_at < terms.ramp_duration + terms.overload_window

    def _overloads(self, now: int, entry: EngineEntry) -> bool:
        sent = self._sent_to.get(entry.index)
        if sent is None or self._answers < MIN_ANSWERS or not self._is_warming_up(now, entry):
            return False
        allowed = self._allowed_in_window(now, entry)
        deviations = TOLERANCE_DEVIATIONS if allowed >= LARGE_BUDGET else SMALL_TOLERANCE_DEVIATIONS
        tolerance = deviations * math.sqrt(allowed) + deviations
        return sent.total(now, self._terms.slow_start.overload_window) + 1 > allowed + tolerance

    def _allowed_in_window(self, now: int, entry: EngineEntry) -> float:
        """Returns how many attempts of mean work may be sent in a window at the engine's present capacity."""
        terms, kinds = self._terms.slow_start, self._terms.machine_kinds
        cores = kinds[entry.machine_kind].cores if entry.machine_kind < len(kinds) else 1
        age = min(1.0, (now - entry.started_at) / max(1, terms.ramp_duration))
        ramp_share = terms.initial_share + (1.0 - terms.initial_share) * age
        mean_work = self._answered_work / self._answers
        return terms.overload_multiple * ramp_share * max(1, cores) * terms.overload_window / mean_work
