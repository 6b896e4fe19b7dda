"""The run-time guard of the invariants: asked before each attempt is written, and told of answers and closes.

It keeps its own account of queries, attempts and engines and shares no state with the decision module, so a
fault there is counted here and does no harm. Pure: told the time in the module's unit, and reads no clock.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import (
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

BUCKET = 100  # of the module's time: a hundredth of a second, in which events are counted together
ENOUGH_ANSWERS = 20  # from which on the mean work of a query is known
LARGE = 30  # requests a window, under which the slack of a cold engine is wider


class Invariant(Enum):
    """What must hold; each break is counted under its name."""

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

    groups: Sequence[ServiceClass]
    kinds: Sequence[MachineKind]
    budget: RetryBudgetTerms
    cold: SlowStartTerms
    most_attempts: int
    copies: bool


@dataclass(slots=True)
class QueryRecord:
    """One query as the guard knows it. `out`: attempts that have begun and not ended; `maybe_ran`: when and
    where attempts began that may have run."""

    group: ServiceClass
    deadline: int
    begun: int = 0
    out: set[int] = field(default_factory=set)
    ended: bool = False
    maybe_ran: dict[int, tuple[int, EngineEntry]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StateChange:
    """An engine's state before and after, as words."""

    before: str
    after: str


class Window:
    """Events counted over a span of time that ends now, in buckets. What has left the span is forgotten."""

    def __init__(self) -> None:
        self._buckets = deque[list[int]]()  # when each began, and how many
        self._sum = 0

    def __len__(self) -> int:
        return len(self._buckets)

    def add(self, now: int, span: int) -> None:
        start = now - now % BUCKET
        if self._buckets and self._buckets[-1][0] == start:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([start, 1])
        self._sum += 1
        self.total(now, span)

    def total(self, now: int, span: int) -> int:
        """All that came within the span."""
        while self._buckets and self._buckets[0][0] + BUCKET <= now - span:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class Guard:
    """One account of all that a process sends, repeats, closes and answers."""

    def __init__(self, terms: GuardTerms) -> None:
        self.broken = Counter[Invariant]()
        self._terms = terms
        self._taken, self._further = Window(), Window()
        self._engines: dict[int, EngineEntry] = {}
        self._sent_to: dict[int, Window] = {}  # of engines that are cold
        self._answers, self._work = 0, 0

    def switch(self, terms: GuardTerms) -> None:
        """Other settings hold from now on; what was counted stays."""
        self._terms = terms

    # What happens around it.

    def listed(self, entry: EngineEntry) -> StateChange | None:
        """An engine as its list tells it; how its state has changed, if it has."""
        before = self._engines.get(entry.index)
        self._engines[entry.index] = entry
        if before is not None and before.state is entry.state:
            return None
        return StateChange(before.state.name.lower() if before else "unknown", entry.state.name.lower())

    def only(self, engines: set[int]) -> None:
        """A whole list: the others are gone."""
        for engine in self._engines.keys() - engines:
            self.forget(engine)

    def forget(self, engine: int) -> None:
        self._engines.pop(engine, None)
        self._sent_to.pop(engine, None)

    def taken(self, now: int, group: int, deadline: int, earns: bool) -> QueryRecord:
        """A query was taken. `earns`: it adds to the budget for further attempts."""
        if earns:
            self._taken.add(now, self._terms.budget.window)
        return QueryRecord(self._terms.groups[group], deadline)

    def attempt_ended(self, record: QueryRecord, number: int, outcome: Outcome, work: int) -> None:
        record.out.discard(number)
        if outcome in NEVER_RAN:
            record.maybe_ran.pop(number, None)
        elif outcome is Outcome.COMPLETED and work > 0:
            self._answers, self._work = self._answers + 1, self._work + work

    def answered(self, record: QueryRecord) -> bool:
        """Whether the final answer may be given: not a second time."""
        return self._holds(None if not record.ended else Invariant.ANSWER)

    def closing(self, unanswered: int) -> bool:
        """Whether a client's connection may be closed as it stands."""
        return self._holds(None if not unanswered else Invariant.CLOSE)

    # Sending and repeating.

    def begin(self, now: int, record: QueryRecord, number: int, engine: int) -> Invariant | None:
        """An attempt is about to be written; the invariant that this would break, which is counted."""
        broken = self._wrong(now, record, number, engine)
        if not self._holds(broken):
            return broken
        entry = self._engines[engine]
        record.begun += 1
        record.out.add(number)
        record.maybe_ran[number] = now, entry
        if number:
            self._further.add(now, self._terms.budget.window)
        if self._is_cold(now, entry):
            self._sent_to.setdefault(engine, Window()).add(now, self._terms.cold.overload_window)
        return None

    def _holds(self, broken: Invariant | None) -> bool:
        if broken is not None:
            self.broken[broken] += 1
        return broken is None

    def _wrong(self, now: int, record: QueryRecord, number: int, engine: int) -> Invariant | None:
        entry = self._engines.get(engine)
        if record.ended:
            return Invariant.ENDED
        if now >= record.deadline:
            return Invariant.DEADLINE
        if entry is None or entry.state is not EngineState.UP:
            return Invariant.DRAIN
        if number >= self._terms.most_attempts:
            return Invariant.ATTEMPTS
        if record.out and not self._terms.copies:
            return Invariant.COPY
        if self._runs_twice(now, record, entry):
            return Invariant.EFFECT
        if number and not self._in_budget(now):
            return Invariant.BUDGET
        return Invariant.COLD if self._overloads(now, entry) else None

    def _runs_twice(self, now: int, record: QueryRecord, entry: EngineEntry) -> bool:
        group = record.group
        if group.idempotency is Idempotency.IDEMPOTENT or not record.maybe_ran:
            return False
        began, first = min(record.maybe_ran.values(), key=lambda attempt: attempt[0])
        if group.idempotency is Idempotency.NON_IDEMPOTENT or now - began >= group.deduplication_window:
            return True
        if group.deduplication_scope is DeduplicationScope.ZONE:
            return entry.zone != first.zone
        return group.deduplication_scope is DeduplicationScope.CELL and entry.cell != first.cell

    def _in_budget(self, now: int) -> bool:
        budget = self._terms.budget
        if not budget.window:
            return True
        earned = budget.min_retries + budget.retry_ratio * self._taken.total(now, budget.window)
        return self._further.total(now, budget.window) + 1 <= earned

    def _is_cold(self, now: int, entry: EngineEntry) -> bool:
        cold = self._terms.cold
        return (
            bool(cold.overload_window and entry.started_at)
            and now - entry.started_at < cold.ramp_duration + cold.overload_window
        )

    def _overloads(self, now: int, entry: EngineEntry) -> bool:
        sent = self._sent_to.get(entry.index)
        if sent is None or self._answers < ENOUGH_ANSWERS or not self._is_cold(now, entry):
            return False
        cold, kinds = self._terms.cold, self._terms.kinds
        cores = kinds[entry.machine_kind].cores if entry.machine_kind < len(kinds) else 1
        age = min(1.0, (now - entry.started_at) / max(1, cold.ramp_duration))
        share = cold.initial_share + (1.0 - cold.initial_share) * age
        mean = self._work / self._answers
        allowed = cold.overload_multiple * share * max(1, cores) * cold.overload_window / mean
        slack = 2.0 * math.sqrt(allowed) + 2.0 if allowed >= LARGE else 3.0 * math.sqrt(allowed) + 3.0
        return sent.total(now, cold.overload_window) + 1 > allowed + slack

    def remembered(self) -> int:
        """How many buckets are kept at the moment."""
        return sum(len(window) for window in (self._taken, self._further, *self._sent_to.values()))

    def told(self) -> Mapping[str, int]:
        """The breaks so far, by the invariant's name."""
        return {invariant.name.lower(): count for invariant, count in self.broken.items()}
