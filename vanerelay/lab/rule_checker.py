"""The rules, checked from the clients' and the engines' side alone. Pure: events in, findings out.

What a fault of the scenario excuses is said with each rule; anything else that breaks one is a finding, with
query, time and who had to do with it. Rule 5 needs order keys, which clients' frames do not carry: events
have none.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from vanerelay.interface import MILLISECOND, SECOND, Duration, Idempotency
from vanerelay.lab.event_log import NEVER_RAN_REJECTED, EngineState, Event, EventKind, QueryResult
from vanerelay.lab.scenario_config import RetryBudget, ServiceClass

SOCKET_ALLOWANCE = 50 * MILLISECOND
"""By which each time limit is longer on sockets."""
ANSWER_ALLOWANCE = SECOND // 2
"""After the deadline, until an answer counts as lost."""
DRAIN_GRACE = 2 * SECOND
"""From when a gateway was notified of a drain until nothing new may come from it."""
BLAMED_PART = 2 / 3
"""Of an overloaded engine's work, from gateways that were notified of its start."""
BUDGET_FACTOR, BUDGET_ALLOWANCE = 1.15, 1
"""Times, and by which, the retry budget is larger on sockets."""


class Rule(IntEnum):
    """What a finding is of; reports print the number."""

    CRASH = 0
    """A process ended by itself, or was refused its start."""
    ANSWER = 1
    """One final answer in time."""
    RETRY = 2
    """Other than idempotent queries are retried only where nothing can have run."""
    DRAIN = 3
    """Nothing new goes to an engine that is drained."""
    OVERLOAD = 4
    """An engine in its slow start is not overloaded."""
    PLACEMENT = 6
    """Queries stay in the zones of their service class."""
    RETRY_BUDGET = 7
    DOUBLE_EFFECT = 8
    """An effect done twice, which is the harm of rule 2 itself."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong."""

    rule: int
    at: int
    query: str
    who: str
    text: str


@dataclass(frozen=True, slots=True)
class Interval:
    """From when until when, both in ticks since the start of the load."""

    since: int
    until: int

    def overlaps(self, other: Interval) -> bool:
        """Whether they have a moment in common."""
        return self.since <= other.until and other.since <= self.until


@dataclass(slots=True)
class CheckContext:
    """What the checker knows beside the events.

    Attributes:
        zones: of engines.
        struck: by party: when faults excuse it.
        link_delays: by engine: how late its links let things come.
    """

    service_classes: Mapping[str, ServiceClass]
    retry_budget: RetryBudget
    zones: Mapping[str, str]
    struck: Mapping[str, Sequence[Interval]] = field(default_factory=dict)
    link_delays: Mapping[str, Duration] = field(default_factory=dict)

    def excuses(self, party: str, since: int, until: int) -> bool:
        """Whether faults struck the party, or its link to clients, at any time between."""
        open_for = Interval(since, until)
        return any(interval.overlaps(open_for) for interval in self.struck.get(party, ()))


def check(events: Sequence[Event], context: CheckContext) -> list[Finding]:
    """All findings in order of time."""
    findings = [
        *_check_crashes(events),
        *_check_answers(events, context),
        *_check_effects(events, context),
        *_check_drains(events, context),
        *_check_overloads(events),
        *_check_placement(events, context),
        *_check_retry_budget(events, context),
    ]
    return sorted(findings, key=lambda finding: (finding.at, finding.rule))


def _finding(rule: Rule, event: Event, text: str) -> Finding:
    return Finding(rule, event.at, event.query, event.gateway, text)


def _check_crashes(events: Iterable[Event]) -> Iterable[Finding]:
    for event in events:
        if event.kind is EventKind.DIED and event.detail:
            yield Finding(Rule.CRASH, event.at, "", event.gateway, f"ended by itself: {event.detail}")


def _check_answers(events: Sequence[Event], context: CheckContext) -> Iterable[Finding]:
    """One final answer in time.

    A gateway that was struck, or whose link to clients was, while a query was open owes it nothing.
    """
    open_queries, answered = dict[str, Event](), set[str]()
    for event in events:
        if event.kind is EventKind.SENT:
            open_queries[event.query] = event
        elif event.kind is EventKind.ANSWERED:
            if event.query in answered:
                yield _finding(Rule.ANSWER, event, "a second answer")
            answered.add(event.query)
            sent = open_queries.pop(event.query, None)
            if sent is not None:
                yield from _check_answer_time(sent, event, context)
        elif event.kind is EventKind.LOST:
            sent = open_queries.pop(event.query, None)
            if sent is not None and not context.excuses(event.gateway, sent.at, event.at):
                yield _finding(Rule.ANSWER, event, "its connection ended without an answer")
    last = max((event.at for event in events), default=0)
    for sent in open_queries.values():
        if last > _answer_due(sent) and not context.excuses(sent.gateway, sent.at, last):
            yield _finding(Rule.ANSWER, sent, "never answered")


def _check_answer_time(sent: Event, answer: Event, context: CheckContext) -> Iterable[Finding]:
    if answer.at > _answer_due(sent) and not context.excuses(answer.gateway, sent.at, answer.at):
        late_ms = (answer.at - sent.at - sent.value) / MILLISECOND
        yield _finding(Rule.ANSWER, answer, f"answered {late_ms:.0f} ms after its limit")


def _answer_due(sent: Event) -> int:
    return sent.at + int(sent.value) + SOCKET_ALLOWANCE + ANSWER_ALLOWANCE


@dataclass(slots=True)
class _Effects:
    """What engines saw of queries that are not idempotent.

    Attributes:
        arrived: by query.
        rejected_at: by query and engine: when the engine said that an attempt never ran.
        rejected_queries: those that clients were told had not run.
    """

    arrived: defaultdict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    rejected_at: defaultdict[tuple[str, str], list[int]] = field(default_factory=lambda: defaultdict(list))
    began: dict[str, Event] = field(default_factory=dict)
    times_ended: Counter[str] = field(default_factory=Counter)
    rejected_queries: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        if event.kind is EventKind.ARRIVED:
            self.arrived[event.query].append(event)
        elif event.kind is EventKind.NEVER_RAN and event.detail == NEVER_RAN_REJECTED:
            self.rejected_at[event.query, event.engine].append(event.at)
        elif event.kind is EventKind.BEGAN:
            self.began[event.query] = event
        elif event.kind is EventKind.ENDED:
            self.times_ended[event.query] += 1
        elif event.kind is EventKind.ANSWERED and event.detail == QueryResult.REJECTED:
            self.rejected_queries.append(event)

    def first_possible_run(self, earlier: Sequence[Event], at: int) -> Event | None:
        """The first of earlier attempts that can have run, by what their engines had said at a time."""
        sent_to = Counter[str]()
        for attempt in earlier:
            sent_to[attempt.engine] += 1
            rejections = self.rejected_at[attempt.query, attempt.engine]
            if sum(rejected_at <= at for rejected_at in rejections) < sent_to[attempt.engine]:
                return attempt
        return None


def _check_effects(events: Iterable[Event], context: CheckContext) -> Iterable[Finding]:
    """Non-idempotent queries are retried only where nothing can have run, others within their window.

    Engines know what ran: a run that came after another that had begun, and effects done twice.
    """
    effects = _Effects()
    for event in events:
        service_class = context.service_classes.get(event.service_class)
        if service_class is not None and service_class.idempotency is not Idempotency.IDEMPOTENT:
            effects.add(event)
    for query, attempts in effects.arrived.items():
        service_class = context.service_classes[attempts[0].service_class]
        yield from _check_retries(attempts, effects, service_class)
        times = effects.times_ended[query]
        if service_class.idempotency is Idempotency.NON_IDEMPOTENT and times > 1:
            began_at = effects.began[query].at
            yield Finding(Rule.DOUBLE_EFFECT, began_at, query, attempts[0].gateway, f"done {times} times")
    for event in effects.rejected_queries:
        service_class = context.service_classes[event.service_class]
        if service_class.idempotency is Idempotency.NON_IDEMPOTENT and event.query in effects.began:
            engine = effects.began[event.query].engine
            yield _finding(Rule.RETRY, event, f"pushed back although {engine} had begun it")


def _check_retries(
    attempts: Sequence[Event], effects: _Effects, service_class: ServiceClass
) -> Iterable[Finding]:
    is_deduplicated = service_class.idempotency is Idempotency.DEDUPLICATED
    window = service_class.deduplication_window + SOCKET_ALLOWANCE if is_deduplicated else -1
    for place, attempt in enumerate(attempts):
        earlier = effects.first_possible_run(attempts[:place], attempt.at)
        if earlier is not None and attempt.at - earlier.at > window:
            text = f"sent to {attempt.engine} after it had gone to {earlier.engine}"
            yield _finding(Rule.RETRY, attempt, text)


def _check_drains(events: Iterable[Event], context: CheckContext) -> Iterable[Finding]:
    """From the grace after a gateway was notified (or counts as notified) nothing new comes from it.

    What was on its way on a faulted link is excused.
    """
    drained_since = dict[tuple[str, str], int]()  # by gateway and engine
    for event in events:
        pair = event.gateway, event.engine
        if event.kind is EventKind.NOTIFIED:
            if event.detail == EngineState.SERVING:
                drained_since.pop(pair, None)
            else:
                drained_since.setdefault(pair, event.at)
        elif event.kind is EventKind.ARRIVED and pair in drained_since:
            age = event.at - drained_since[pair]
            if age > DRAIN_GRACE + SOCKET_ALLOWANCE + context.link_delays.get(event.engine, 0):
                text = f"sent to {event.engine} {age / SECOND:.1f} s after it was drained"
                yield _finding(Rule.DRAIN, event, text)


def _check_overloads(events: Iterable[Event]) -> Iterable[Finding]:
    """No engine falls over in its slow start by work of gateways that were notified of its start."""
    notified = defaultdict[str, set[str]](set)  # by engine: gateways
    for event in events:
        if event.kind is EventKind.NOTIFIED and event.detail == EngineState.SERVING:
            notified[event.engine].add(event.gateway)
        elif event.kind is EventKind.OVERLOADED:
            work = _work_by_gateway(event)
            total = sum(work.values())
            blamed = sum(part for gateway, part in work.items() if gateway in notified[event.engine])
            if total and blamed >= BLAMED_PART * total:
                yield Finding(Rule.OVERLOAD, event.at, "", event.engine, f"fell over, sent {event.detail}")
        elif event.kind is EventKind.STRUCK and event.engine:
            # What comes back is another, of whose start nobody was notified yet.
            notified.pop(event.engine, None)


def _work_by_gateway(overload: Event) -> dict[str, float]:
    parts = (part.partition("=") for part in overload.detail.split(","))
    return {gateway: float(work) for gateway, _, work in parts if gateway}


def _check_placement(events: Iterable[Event], context: CheckContext) -> Iterable[Finding]:
    """Queries go to engines in the zones of their service class alone."""
    for event in events:
        if event.kind is not EventKind.ARRIVED:
            continue
        service_class = context.service_classes.get(event.service_class)
        zone = context.zones.get(event.engine)
        if service_class is not None and service_class.zones and zone not in service_class.zones:
            yield _finding(Rule.PLACEMENT, event, f"sent to {event.engine} in {zone}")


def _check_retry_budget(events: Iterable[Event], context: CheckContext) -> Iterable[Finding]:
    """The retry budget, as far as engines see it: attempts beyond a query's first that reached one.

    Counted from a process's own start.
    """
    budget = context.retry_budget
    if not budget.window:
        return
    sent_at = defaultdict[str, list[int]](list)  # by gateway
    retried_at = defaultdict[str, deque[int]](deque)  # by gateway
    seen_queries, reported_gateways = set[str](), set[str]()
    for event in events:
        if event.kind is EventKind.STARTED:
            sent_at.pop(event.gateway, None)
            retried_at.pop(event.gateway, None)
        elif event.kind is EventKind.SENT:
            sent_at[event.gateway].append(event.at)
        elif event.kind is EventKind.ARRIVED and event.query not in seen_queries:
            seen_queries.add(event.query)
        elif event.kind is EventKind.ARRIVED:
            retries = retried_at[event.gateway]
            retries.append(event.at)
            allowed = _allowed_retries(budget, sent_at[event.gateway], retries, event.at)
            if len(retries) > allowed and event.gateway not in reported_gateways:
                reported_gateways.add(event.gateway)
                text = f"{len(retries)} further dispatches, {allowed:.1f} allowed"
                yield _finding(Rule.RETRY_BUDGET, event, text)


def _allowed_retries(budget: RetryBudget, sent_at: list[int], retries: deque[int], now: int) -> float:
    """How many retries the window that ends now may have; older ones are dropped."""
    window_start = now - budget.window
    while retries[0] <= window_start:
        retries.popleft()
    queries = len(sent_at) - bisect_left(sent_at, window_start)
    return BUDGET_FACTOR * (budget.free_retries + budget.share * queries) + BUDGET_ALLOWANCE


__all__ = ["CheckContext", "Finding", "Interval", "Rule", "check"]
