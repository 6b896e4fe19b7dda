"""The run-time guard of the invariants: asked before attempts are written, notified of answers and closes.

It keeps its own account of queries, attempts and engines and shares no state with the decisions, so a fault
there is counted here and does no harm. Pure: it is given the time, in ticks, and reads no clock.
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
"""Events this close are counted together."""

MIN_ANSWERS = 20
"""Answers from which on the mean work of a query counts as known."""

LARGE_BUDGET = 30
"""Attempts in a window; where an engine that warms up bears fewer, the tolerance is wider."""

TOLERANCE_DEVIATIONS = 2.0
"""Tolerance over a budget in attempts: this many square roots of it, and as many attempts."""

SMALL_TOLERANCE_DEVIATIONS = 3.0
"""The same for budgets under `LARGE_BUDGET`."""


class Invariant(Enum):
    """What must hold. Violations are counted under the member's name, which operators read in the log."""

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
    """What the settings say of the invariants."""

    service_classes: Sequence[ServiceClass]
    machine_kinds: Sequence[MachineKind]
    retry_budget: RetryBudgetTerms
    slow_start: SlowStartTerms
    max_attempts: int
    may_hedge: bool


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """When and where an attempt began."""

    at: int
    engine: EngineEntry


@dataclass(slots=True)
class QueryRecord:
    """One query as the guard knows it.

    Attributes:
        in_flight: Numbers of the attempts that have begun and not ended.
        is_ended: Whether the final answer was given or the client has left; the caller sets it.
        may_have_run: The attempts that may have run, by number.
    """

    service_class: ServiceClass
    deadline: int
    in_flight: set[int] = field(default_factory=set)
    is_ended: bool = False
    may_have_run: dict[int, AttemptStart] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StateChange:
    """An engine's state before and after, as the log writes it."""

    before: str
    after: str


class EventWindow:
    """Events counted over a span of time that ends now. What has left the span is forgotten."""

    def __init__(self) -> None:
        self._buckets = deque[list[int]]()  # when each began, and how many
        self._total = 0

    def __len__(self) -> int:
        return len(self._buckets)

    def add(self, now: int, span: int) -> None:
        """Counts one event."""
        start = now - now % BUCKET_WIDTH
        if self._buckets and self._buckets[-1][0] == start:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([start, 1])
        self._total += 1
        self.total(now, span)

    def total(self, now: int, span: int) -> int:
        """The number of events within the span."""
        while self._buckets and self._buckets[0][0] + BUCKET_WIDTH <= now - span:
            self._total -= self._buckets.popleft()[1]
        return self._total


class InvariantGuard:
    """One account of all that a process sends, retries, closes and answers.

    What would violate an invariant is refused and counted; the caller then leaves it undone.
    """

    def __init__(self, terms: GuardTerms) -> None:
        self._terms = terms
        self._violations = Counter[Invariant]()
        self._queries = EventWindow()
        self._retries = EventWindow()
        self._engines: dict[int, EngineEntry] = {}
        self._sent_to: dict[int, EventWindow] = {}  # engines that warm up
        self._answers = 0
        self._answered_work = 0

    def update_terms(self, terms: GuardTerms) -> None:
        """Other settings hold from now on; what was counted stays."""
        self._terms = terms

    # What happens around it.

    def engine_listed(self, entry: EngineEntry) -> StateChange | None:
        """Takes in an engine of the engine list; how its state has changed, if it has."""
        before = self._engines.get(entry.index)
        self._engines[entry.index] = entry
        if before is not None and before.state is entry.state:
            return None
        return StateChange(before.state.name.lower() if before else "unknown", entry.state.name.lower())

    def retain_engines(self, engines: set[int]) -> None:
        """A complete list came: all other engines are gone."""
        for engine in self._engines.keys() - engines:
            self.forget_engine(engine)

    def forget_engine(self, engine: int) -> None:
        """An engine is gone."""
        self._engines.pop(engine, None)
        self._sent_to.pop(engine, None)

    def query_submitted(
        self, now: int, service_class: int, deadline: int, earns_retries: bool
    ) -> QueryRecord:
        """A query goes to the decisions. `earns_retries`: it adds to the retry budget."""
        if earns_retries:
            self._queries.add(now, self._terms.retry_budget.window)
        return QueryRecord(self._terms.service_classes[service_class], deadline)

    def attempt_ended(self, record: QueryRecord, number: int, outcome: Outcome, work: int) -> None:
        """An attempt ended. `work`: what its answer reported, 0 where it reported none."""
        record.in_flight.discard(number)
        if outcome in NEVER_RAN:
            record.may_have_run.pop(number, None)
        elif outcome is Outcome.COMPLETED and work > 0:
            self._answers += 1
            self._answered_work += work

    # What it is asked.

    def may_answer(self, record: QueryRecord) -> bool:
        """Whether the final answer may be given: not a second time."""
        return self._allow(Invariant.ANSWER if record.is_ended else None)

    def may_close(self, unanswered: int) -> bool:
        """Whether a client's connection may be closed, with so many queries unanswered."""
        return self._allow(Invariant.CLOSE if unanswered else None)

    def begin_attempt(self, now: int, record: QueryRecord, number: int, engine: int) -> Invariant | None:
        """An attempt is about to be written; the invariant that it would violate, which is counted."""
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
        """The violations so far, by the invariant's name."""
        return {invariant.name.lower(): count for invariant, count in self._violations.items()}

    def bucket_count(self) -> int:
        """How many buckets of events are kept at the moment."""
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
        group = record.service_class
        if group.idempotency is Idempotency.IDEMPOTENT or not record.may_have_run:
            return False
        first = min(record.may_have_run.values(), key=lambda start: start.at)
        if group.idempotency is Idempotency.NON_IDEMPOTENT:
            return True
        if now - first.at >= group.deduplication_window:
            return True
        if group.deduplication_scope is DeduplicationScope.ZONE:
            return entry.zone != first.engine.zone
        return group.deduplication_scope is DeduplicationScope.CELL and entry.cell != first.engine.cell

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
        """The attempts of mean work that an engine bears in a window at its present capacity."""
        terms, kinds = self._terms.slow_start, self._terms.machine_kinds
        cores = kinds[entry.machine_kind].cores if entry.machine_kind < len(kinds) else 1
        age = min(1.0, (now - entry.started_at) / max(1, terms.ramp_duration))
        ramp_share = terms.initial_share + (1.0 - terms.initial_share) * age
        mean_work = self._answered_work / self._answers
        return terms.overload_multiple * ramp_share * max(1, cores) * terms.overload_window / mean_work
