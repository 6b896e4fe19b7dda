"""Judges a run by what clients, engines and the control feed saw; shares no code with the program.

All times are the host's monotonic clock, which nobody steps. `slack` covers how late the host itself looks.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

GRACE_S = 0.05  # that the protocol page adds to each time limit on sockets
LATE_S = 0.5  # after its time an answer earns nothing; later it is lost
LEFT_S = 0.1  # after a client has gone within which an attempt may still begin
TOLD_S = 7.0  # after which the feed's news count as told
DRAIN_S = 0.5  # grace of a drain
DEADLINE_SLACK_S = 0.15
CROSSING_S = 0.05  # of a request and the end of a resting connection
COUNTED_S = 0.7  # after SIGTERM within which a request is owed its answer
LARGE = 30


class Effect(Enum):
    """What a second run does, by class."""

    PURE = "pure"
    TOKEN = "token"
    ONCE = "side_effect"


@dataclass(slots=True)
class Request:
    """One request of a client. `excuse`: why nobody is owed its answer."""

    ident: str
    process: str
    life: int  # of the process, counted up with each start
    effect: Effect
    allow_s: float
    sent_at: float
    answers: int = 0
    answered_at: float = 0.0
    code: int = -1
    gone_at: float | None = None  # its client cancelled or closed
    ended_at: float | None = None  # its connection ended without an answer
    excuse: str = ""
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One arrival at an engine. `ran`: until its answer proves that it never did."""

    engine: str
    at: float
    ran: bool = True


@dataclass(slots=True)
class EngineFacts:
    """What is true of an engine. `told`: when each process was handed the news that it drains or is gone."""

    cores: int
    started: float | None = None  # None: long ago
    left_at: float | None = None  # when the feed had that it drains or is gone
    told: dict[str, float] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the settings of a run."""

    window_s: float  # for repeats of a token class
    budget_span_s: float
    budget_free: int
    budget_share: float
    cold_share: float
    cold_s: float
    cold_multiple: float
    cold_window_s: float
    mean_work_s: float


class Oracle:
    """Collects what happened and names each break."""

    def __init__(self, rules: Rules, now: Callable[[], float], slack: Callable[[], float]) -> None:
        self.rules, self._now, self._slack = rules, now, slack
        self.requests: dict[str, Request] = {}
        self.engines: dict[str, EngineFacts] = {}
        self.breaks, self.story = list[str](), list[str]()  # story: what befell the run
        self.counts = Counter[str]()
        self._taken: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        self._further: defaultdict[tuple[str, int], list[float]] = defaultdict(list)

    def broke(self, rule: str, words: str) -> None:
        self.counts[f"broken {rule}"] += 1
        self.breaks.append(f"{self._now():9.3f} {rule}: {words}")

    # Clients.

    def sent(self, request: Request) -> None:
        self.requests[request.ident] = request
        self._taken[request.process, request.life].append(request.sent_at)
        self.counts["requests"] += 1

    def answered(self, ident: str, code: int, body: bytes) -> None:
        request = self.requests[ident]
        request.answers += 1
        request.answered_at, request.code = self._now(), code
        self.counts[f"code {code}"] += 1
        if request.answers > 1:
            self.broke("answer", f"{ident} at {request.process}: answered {request.answers} times")
        if code == 0 and not body.startswith(f"{ident}\t".encode()):
            self.broke("answer", f"{ident} at {request.process}: served what no engine produced for it")
        if code == 1 and request.effect is Effect.ONCE and any(attempt.ran for attempt in request.attempts):
            self.broke("refusal", f"{ident}: called harmless, and it may have run")

    # Engines.

    def arrived(self, ident: str, engine: str, patience_s: float) -> Attempt:
        now, attempt = self._now(), Attempt(engine, self._now())
        request, facts = self.requests.get(ident), self.engines[engine]
        if request is None:
            self.broke("lost", f"{ident} at {engine}: sent by no client")
            return attempt
        self.counts["attempts"] += 1
        self._judge_client(request, engine, now)
        self._judge_drain(request, engine, facts, now)
        self._judge_effect(request, engine, now)
        left = request.sent_at + request.allow_s - now
        if patience_s > max(left, 0.0) + DEADLINE_SLACK_S + self._slack():
            where = f"{ident} by {request.process} at {engine}"
            self.broke("deadline", f"{where}: told {patience_s:.3f} s, {left:.3f} s were left")
        if request.attempts:
            self.counts["further attempts"] += 1
            self._further[request.process, request.life].append(now)
        request.attempts.append(attempt)
        facts.arrivals.append(now)
        return attempt

    def _judge_client(self, request: Request, engine: str, now: float) -> None:
        over = request.gone_at
        if request.answers:
            over = min(over or request.answered_at, request.answered_at)
        if over is not None and now > over + LEFT_S + self._slack():
            what = "its answer" if request.gone_at is None else "its client left"
            where = f"{request.ident} ({request.effect.value}) by {request.process} at {engine}"
            words = f"begun {now - over:.3f} s after {what}, {now - request.sent_at:.3f} s after it was sent"
            self.broke("lost", f"{where}: {words}; attempt {len(request.attempts)}")

    def _judge_drain(self, request: Request, engine: str, facts: EngineFacts, now: float) -> None:
        if facts.left_at is None:
            return
        told = min(facts.told.get(request.process, facts.left_at + TOLD_S), facts.left_at + TOLD_S)
        late = now - told - DRAIN_S - GRACE_S - self._slack()
        if late > 0:
            self.broke(
                "drain", f"{request.ident} by {request.process} at {engine}: {now - told:.2f} s after told"
            )

    def _judge_effect(self, request: Request, engine: str, now: float) -> None:
        ran = [attempt for attempt in request.attempts if attempt.ran]
        if not ran or request.effect is Effect.PURE:
            return
        since = now - ran[0].at
        if request.effect is Effect.ONCE:
            self.broke("duplicate", f"{request.ident} at {engine}: once-only, ran {since:.3f} s ago")
        elif since > self.rules.window_s + GRACE_S + self._slack():
            self.broke("duplicate", f"{request.ident} at {engine}: {since:.3f} s after its first run")

    # At the end.

    def finish(self) -> None:
        for request in self.requests.values():
            self._judge_answer(request)
        for key, further in self._further.items():
            self._judge_budget(key, further)
        for name, facts in self.engines.items():
            self._judge_cold(name, facts)

    def _judge_answer(self, request: Request) -> None:
        where = f"{request.ident} ({request.effect.value}) at {request.process}, sent {request.sent_at:.3f}"
        if request.excuse or request.gone_at is not None:
            self.counts[f"excused {request.excuse or 'client left'}"] += 1
        elif not request.answers:
            end = "stays open" if request.ended_at is None else f"ended at {request.ended_at:.3f}"
            engines = ", ".join(f"{one.engine} at {one.at:.3f}" for one in request.attempts) or "no engine"
            self.broke("lost", f"{where}: no answer; its connection {end}; reached {engines}")
        elif request.answered_at > request.sent_at + request.allow_s + LATE_S + self._slack():
            over = request.answered_at - request.sent_at - request.allow_s
            self.broke("late", f"{where}: answered {over:.3f} s after its time")

    def _judge_budget(self, key: tuple[str, int], further: list[float]) -> None:
        span, taken = self.rules.budget_span_s, self._taken[key]
        for last, at in enumerate(further):
            window = sum(1 for other in further[: last + 1] if other > at - span + GRACE_S)
            earned = sum(1 for other in taken if at - span - GRACE_S < other <= at)
            most = self.rules.budget_free + self.rules.budget_share * earned
            if window > most * 1.15 + 1:
                self.broke("budget", f"{key[0]}: {window} further attempts where {most:.1f} are allowed")
                return

    def _judge_cold(self, name: str, facts: EngineFacts) -> None:
        if facts.started is None:
            return
        rules, first = self.rules, 0
        for last, at in enumerate(facts.arrivals):
            age = at - facts.started
            if age > rules.cold_s:
                return
            while facts.arrivals[first] <= at - rules.cold_window_s:
                first += 1
            share = rules.cold_share + (1.0 - rules.cold_share) * min(1.0, max(0.0, age) / rules.cold_s)
            allowed = rules.cold_multiple * share * facts.cores * rules.cold_window_s / rules.mean_work_s
            root = allowed**0.5
            most = allowed + (2 * root + 2 if allowed >= LARGE else 3 * root + 3)
            if last - first + 1 > most:
                self.broke("cold", f"{name}: {last - first + 1} in its window where {most:.0f} are allowed")
                return
