"""Every decision of vanerelay: what runs, where, with how much memory, and what is given up."""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections import defaultdict, deque
from collections.abc import Callable, Iterator, Sequence
from functools import cached_property

from vanerelay.estimation import Estimate, SlidingSums, quantile, rank_among, stable_hash
from vanerelay.interface import (
    ENGINE_RESPONDED,
    MAY_STILL_RUN,
    MILLISECOND,
    NEVER_RAN,
    SECOND,
    AttemptResult,
    DeduplicationScope,
    EngineEntry,
    EngineState,
    EngineStatus,
    FleetPosition,
    GatewaySettings,
    Idempotency,
    LoadReport,
    MachineKind,
    MemoryShortage,
    Outcome,
    PlacementConstraints,
    ProgressKind,
    QueryArrival,
    RetryBudgetTerms,
    ServiceClass,
    SlowStartTerms,
    Transport,
)
from vanerelay.policy.attempt import Attempt, Order

ANSWERS, FAITH = 200, 2.0  # answers an estimate learns from; answers' worth of trust in the told figure
NEVER, FAULTS = -1000 * SECOND, (Outcome.FAILED, Outcome.REJECTED, Outcome.RESET)
ANY = PlacementConstraints(None, None, None)
BEAT = 50 * MILLISECOND  # how often the line, the limits and the engines' health are looked over


class Peaks:
    """Grants from peaks remembered by service group and table group, against what was told of the batches."""

    MARGIN, STEP = 1.25, math.log(1.12)  # least, over an expected peak; the ladder of buckets
    KEPT, RUNS = 30 * SECOND, 20  # how long an entry lasts, and the runs that it averages

    def __init__(self, groups: int, pages: bool = False) -> None:
        self._shapes: dict[tuple[int, int], tuple[float, int, int]] = {}  # offset, runs, until
        self.told, self._pages = [Estimate(ANSWERS, FAITH) for _ in range(groups)], pages

    def size(self, now: int, group: int, tables: int, told: float, cap: float) -> float:
        estimate, margin = self.told[group], max(math.log(self.MARGIN), self.told[group].spread())
        wanted = self._log(now, group, tables, told) + margin * (1.0 + self._pages)
        bucket = math.exp(self.STEP * math.ceil(wanted / self.STEP - 1e-9))
        return min(cap, bucket) if told or estimate.seen else 0.0

    def holds(self, now: int, group: int, tables: int, told: float, grant: float) -> float:  # of an engine
        mean = self._log(now, group, tables, told) + self.told[group].spread() ** 2 / 2
        return min(grant, math.exp(mean)) if self._pages else grant

    def _log(self, now: int, group: int, tables: int, told: float) -> float:
        offset, _, until = self._shapes.get((group, tables), (0.0, 0, 0))
        return self.told[group].log(told) + (offset if until > now else 0.0)

    def learn(self, now: int, group: int, tables: int, told: float, peak: float) -> None:
        offset, runs, until = self._shapes.get((group, tables), (0.0, 0, 0))
        runs = runs + 1 if until > now else 1
        miss = math.log(max(peak, 1.0)) - self.told[group].log(told) if self.told[group].seen else 0.0
        offset += (miss - offset) / min(runs + 2, self.RUNS)
        self._shapes[group, tables] = (offset, runs, now + self.KEPT)
        self.told[group].learn(told, peak)

    def loaded(self, tables: int) -> None:
        self._shapes = {key: shape for key, shape in self._shapes.items() if key[1] != tables}


class Pace:
    """What batches cost and how long they run, by service group, learned from answers."""

    def __init__(self, groups: Sequence[ServiceClass]) -> None:
        self._groups, self.told = groups, [Estimate(ANSWERS, FAITH) for _ in groups]
        self.ran = [SlidingSums(20 * SECOND, 2) for _ in groups]  # lasted, ideal

    def learn(self, now: int, group: int, told: int, work: int, lasted: int) -> None:
        self.told[group].learn(told, work)
        self.ran[group].add(now, lasted, work / self._groups[group].threads)

    def work(self, group: int, told: int) -> float:
        return self.told[group].value(told) or self._groups[group].latency_objective / 4

    def weight(self, group: int, told: int) -> float:
        return max(self.work(group, told), self.told[group].mean())

    def run(self, now: int, group: int, told: int) -> float:
        slowdown = (self.ran[group].total(now, 0) + 1) / (self.ran[group].total(now, 1) + 1)
        return self.alone(group, told) * max(1.5, slowdown)

    def alone(self, group: int, told: int) -> float:
        return self.work(group, told) / self._groups[group].threads


class Ledger:
    """Our grants on one engine, or on all; and their threads, as memory alone lets in too many light ones."""

    WIDTH = 2.8  # threads a core: some of them read or write

    def __init__(self, memory: float, cores: float) -> None:
        self.memory, self.cores = max(1.0, memory), max(1, cores)
        self.granted, self.running, self.threads = 0.0, 0, 0.0

    def room(self, part: float) -> float:
        return self.memory * part - self.granted

    def fits(self, grant: float, threads: float, part: float) -> bool:  # or a wide one would hardly ever fit
        return grant <= self.room(part) and self.threads + threads / 4 <= self.cores * self.WIDTH * part

    def used(self) -> float:
        return max(self.granted / self.memory, self.threads / (self.cores * self.WIDTH))

    def change(self, grant: float, threads: float, batches: int) -> None:
        self.granted = max(0.0, self.granted + grant)
        self.threads, self.running = self.threads + threads, self.running + batches


class Ramp:
    """Our part of the budget of rule 4. As few share it as it holds large batches for, by name and number."""

    BUSY, CAUTION = 0.85, 0.7  # cores busy at capacity; part of the budget used, as costs differ
    FORGOT = 0.5  # part of ours while what a process of before, under our name, sent may still count

    def __init__(
        self, cold: SlowStartTerms, name: str, cores: int, place: FleetPosition, batch: float, born: int
    ) -> None:
        self._cold, self._name, self._place, self._born = cold, name, place, born
        self.began, self.sent = (
            -cold.ramp_duration - cold.overload_window,
            SlidingSums(max(1, cold.overload_window), 1),
        )
        whole = cold.overload_multiple * max(1, cores) * self.BUSY * cold.overload_window * self.CAUTION
        self._sharers = max(1, min(place.gateway_count, int(whole * cold.initial_share / max(1.0, batch))))
        self._budget = whole / self._sharers

    @cached_property
    def mine(self) -> bool:  # looked up once it counts, which takes a fleet's size
        return rank_among(self._name, self._place.index, self._place.gateway_count) < self._sharers

    def share(self, now: int) -> float:
        age = max(0.0, (now - self.began) / max(1, self._cold.ramp_duration))
        return min(1.0, self._cold.initial_share + (1.0 - self._cold.initial_share) * age)

    def warm(self, now: int) -> bool:  # always, where no window is stated
        return (
            not self._cold.overload_window
            or now - self.began >= self._cold.ramp_duration + self._cold.overload_window
        )

    def allows(self, now: int, work: float, kept: float = 1.0) -> bool:  # kept: from proxies
        budget = kept * self._budget * self.share(max(self.began, now - self._cold.overload_window))
        if self.began < self._born and now < self._born + self._cold.overload_window:
            budget *= self.FORGOT
        return self.warm(now) or self.mine and self.sent.total(now, 0) + work <= budget


class Health:
    """One figure for an engine, from 0 (silent or lost) to 1 (sound, and about as fast as the usual)."""

    QUIET, PATIENCE = 600 * MILLISECOND, 3.0  # shorter silences are pauses; usual runs until one is overdue
    OVERDUE, MEMORY = 2, 20 * SECOND  # overdue, nothing heard: silent; of errors, till a trial returned
    RISE, LOW = 0.5, 0.15  # most that the level may recover in a second; under this one trial batch at a time
    QUICK, CROWDED = math.log(1.2), math.log(2.0)  # slowdown where they crowd, and up to nothing lent
    RUNS, SLACK = 6, math.log(1.5)  # runs that its pace averages; how much slower than usual is no sign

    def __init__(self) -> None:
        self._ring = SlidingSums(self.MEMORY, 2, 8)  # ends, errors
        self._out: dict[int, tuple[int, float, float]] = {}  # sent, patience, weight as a sign of silence
        self._heard = self._looked = self._missed = self.tried = 0
        self.lost, self.level, self.pace, self.paced = False, 1.0, 0.0, False  # log of slowdown

    def sent(self, now: int, key: int, run: float, weight: float) -> None:
        self._out[key], self.tried = (now, max(self.QUIET, self.PATIENCE * run), weight), now

    def heard(self, now: int) -> None:
        self._heard, self._missed, self.lost = now, 0, False

    def ended(self, now: int, key: int, outcome: Outcome, lasted: int) -> None:
        patience = self._out.pop(key)[1]
        if outcome is Outcome.NO_CONNECTION:
            self.lost, self.level = True, 0.0
        elif outcome is Outcome.TIMED_OUT and lasted > patience:
            self._missed += 1
        elif outcome is Outcome.COMPLETED and self.level < self.LOW:
            self._ring = SlidingSums(self.MEMORY, 2, 8)
        self._ring.add(now, 1, 1 if outcome in FAULTS else 0)

    def told(self, now: int, ended: float, errors: float) -> None:
        self._ring.add(now, ended, errors)

    def ran(self, slowdown: float, weight: float) -> None:  # the run of a trial stands for all before it
        part = weight if self.level < self.LOW or not self.paced else weight / self.RUNS
        self.pace, self.paced = self.pace + (math.log(max(slowdown, 0.1)) - self.pace) * part, True

    def room(self) -> float:  # 1 where batches run about as fast as alone, 0 where they crowd, or none ran
        return min(1.0, max(0.0, 1.0 - (self.pace - self.QUICK) / self.CROWDED)) if self.paced else 0.0

    def faults(self, now: int) -> float:
        errors = self._ring.total(now, 1)
        return errors / (self._ring.total(now, 0) + 1.0) if errors else 0.0

    def look(self, now: int, usual: float, pace: float) -> None:
        target = (1.0 - max(0.0, self.faults(now) - usual) / (1.0 - usual)) ** 3  # beside the usual
        target *= min(1.0, math.exp(pace + self.SLACK - self.pace))
        overdue = sum(weight * ((now - sent) // patience) for sent, patience, weight in self._out.values())
        if self.lost or self._missed + overdue >= self.OVERDUE and now - self._heard > self.QUIET:
            target = 0.0
        self.level, self._looked = min(target, self.level + self.RISE * (now - self._looked) / SECOND), now


class Engine:
    LEND = 0.85  # departure: most of others' slices, lent where reports say that nobody holds it
    PROXIED, AGED = 10 * SECOND, 2 * SECOND  # a proxy's word holds; a report tells a third of what it did

    def __init__(self, entry: EngineEntry, kind: MachineKind, ramp: Ramp, asked: bool) -> None:
        self.entry, self.health, self.listed, self.ramp = entry, Health(), False, ramp
        self.ledger, self.told, self._told_at = Ledger(kind.memory, kind.cores), 1.0, NEVER  # told of others
        self.pooled = 0.0  # the part of it that counts in the pool, while it is listed
        self.asked, self._trust, self.full = NEVER, 0.5 if asked else 1.0, NEVER  # all who ask see the same
        self.proxied, self.proxied_at = 0.0, NEVER  # held by proxies that we hand engines to, as they told

    def inherit(self, now: int, was: Engine) -> None:  # it goes on, by the same figures
        self.ramp.sent.add(now, was.ramp.sent.total(now, 0))
        self.health, was.ramp = was.health, self.ramp
        if (self.ledger.memory, self.ledger.cores) == (was.ledger.memory, was.ledger.cores):
            self.ledger = was.ledger

    def level(self, now: int) -> float:
        return self.health.level * self.ramp.share(now)

    def heard(self, now: int, report: LoadReport | None, threads: float) -> None:  # threads a batch
        self.health.heard(now)
        shares = report.as_shares(threads / (self.ledger.cores * Ledger.WIDTH)) if report else []
        if shares:
            self.told, self._told_at = max(0.0, max(shares) - self.ledger.used()), now

    def others(self, now: int, usual: float) -> float:  # the older the report, the nearer to the usual
        aged = usual + (self.told - usual) * self._trust * math.exp((self._told_at - now) / self.AGED)
        held = self.proxied if now - self.proxied_at < self.PROXIED else 0.0
        return max(aged, held, 1.0 if self.refuses(now) else 0.0)

    def refuses(self, now: int) -> bool:  # as one that it refused, or that waits there for memory, told
        return now - self.full < self.AGED

    def ours(self, now: int, usual: float, part: float, wanted: float = 0.0) -> float:
        lent = max(self.LEND * (1.0 - part) - self.others(now, usual), wanted * self.health.room())
        return self.level(now) * min(1.0, self.entry.weight) * max(part, lent)


class Picker:
    """Draws among engines that fit, less loaded and sounder ones rather: one that fails reports no load."""

    SHARP, APART, NEAR, HOME = 6.0, 0.02, 1.5, 16.0  # APART: loads of the table group; HOME: likely warm

    def __init__(self, chance: random.Random, location: int, waits: bool, names: Sequence[str]) -> None:
        self._chance, self._here, self._waits, self._names = chance, location, waits, names

    def draw(self, now: int, engines: Sequence[Engine], batch: Query, usual: float) -> Engine:
        weights = []
        for engine in engines:
            held = engine.others(now, usual) + engine.ledger.used() + 1.0 - engine.health.level
            trial = engine.health.level < Health.LOW
            drawn = 1.0 if trial else math.exp(-self.SHARP * min(held / max(0.05, engine.level(now)), 9.0))
            near = self.NEAR if engine.entry.zone == self._here else 1.0
            drawn *= near * self._apart(engine, batch) * engine.entry.weight
            weights.append(engine.ledger.cores * drawn)
        return self._chance.choices(engines, weights)[0]

    def _apart(self, engine: Engine, batch: Query) -> float:
        """Loads and what waits for them lean apart; else all but loads to the few that read it lately."""
        if not self._waits and batch.arrival.table_group and not batch.group.is_data_load:
            return min(
                self.HOME,
                1 / max(1e-9, 1 - stable_hash(engine.entry.name, batch.arrival.table_group) / 2**64),
            )
        if not self._waits or not batch.group.meets_data_loads():
            return 1.0
        home = (bisect_left(self._names, engine.entry.name) + batch.arrival.table_group) % 2 == 1
        return 1.0 if batch.group.is_data_load == home else self.APART


class Door:
    """Under overload turns away what earns least for its work: the longer the line's head waits, the more."""

    FROM, OVER = 0.1, 0.5  # waits in parts of the shortest goal: nothing is shed at first, all past the sum
    MOST, EASE = 0.95, 0.0963  # eased at each fourth beat, or it swings between all and nothing
    KEPT, LEAST = 200, 0.01  # arrivals that stand for the traffic; the least share that is shed

    def __init__(self, goal: int) -> None:
        self._goal, self.share, self.bar = goal, 0.0, 0.0
        self._came: deque[tuple[float, float]] = deque(maxlen=self.KEPT)  # utility by work, work

    def admits(self, utility: float, work: float) -> bool:
        self._came.append((utility / max(1.0, work), work))
        return self._came[-1][0] >= self.bar

    def look(self, wait: int) -> None:
        wanted = min(self.MOST, max(0.0, (wait / self._goal - self.FROM) / self.OVER))
        self.share += (wanted - self.share) * self.EASE
        self.bar = quantile(self._came, self.share) if self.share >= self.LEAST else 0.0


class Ration:  # rule 7: dispatches beyond each batch's first, in any window
    LITTLE = 0.5  # part of it that batches of the least worth may use up

    def __init__(self, terms: RetryBudgetTerms) -> None:
        # Queries taken, further attempts, and the queries that earn none of those.
        self.terms, self.ring = terms, SlidingSums(terms.window or 10 * SECOND, 3, 50)

    def allows(self, now: int, little: bool = False) -> bool:
        earning = max(0.0, self.ring.total(now, 0, short=True) - self.ring.total(now, 2))
        most = self.terms.min_retries + self.terms.retry_ratio * earning
        return not self.terms.window or self.ring.total(now, 1) + 1 <= most * (self.LITTLE if little else 1.0)


class Turns:
    """Rule 5: batches of one key run one at a time, in the order taken."""

    def __init__(self, pause: int) -> None:
        self.pause, self._rests = pause, dict[int, int]()
        self.queues: defaultdict[int, deque[Query]] = defaultdict(deque)

    def unsure(self, now: int, key: int) -> None:
        self._rests = {other: until for other, until in self._rests.items() if until > now}
        self._rests[key] = now + self.pause + 1

    def next(self, now: int, key: int) -> tuple[Query | None, int]:  # whose turn it is, and its rest still
        queue, rest = self.queues[key], max(0, self._rests.get(key, 0) - now)
        while queue and queue[0].over and not queue[0].out():
            queue.popleft()
        if not queue:
            del self.queues[key]
        return (queue[0] if queue else None), rest


class Line:
    """Held batches, first come first served, holding nothing; those bound to some engines stand apart."""

    def __init__(self) -> None:
        self._lines: defaultdict[PlacementConstraints, list[Query]] = defaultdict(list)

    def join(self, batch: Query) -> bool:  # whether it stands first: else the line need not be served
        line = self._lines[batch.bound_to()]
        heapq.heappush(line, batch)
        return line[0] is batch

    def serve(self, admit: Callable[[Query], bool]) -> None:
        for bound, line in list(self._lines.items()):
            while line and (not line[0].held or admit(line[0])):
                heapq.heappop(line)
            if not line:
                self._lines.pop(bound, None)

    def wait(self, now: int) -> int:
        return max((now - line[0].held_since for line in self._lines.values() if line), default=0)


class Query:
    """The handle of one batch: all that happens to it after it was taken is a call here."""

    def __init__(self, gateway: Gateway, arrival: QueryArrival, group: ServiceClass, rank: int) -> None:
        self.gateway, self.arrival, self.group, self.rank = gateway, arrival, group, rank
        self.threads = group.threads * (
            0.5 if gateway.waits and group.meets_data_loads() else 1.0
        )  # stands still
        self.little = group.idempotency is Idempotency.IDEMPOTENT and group.value <= gateway.stake
        self.key = arrival.order_key if group.ordered else None
        self.sends, self.held, self.over = list[Attempt[Engine]](), False, False
        self.taken = self.held_since = now = gateway.transport.now
        goal = group.latency_objective + int(
            group.objective_stretch * gateway.pace.alone(arrival.service_class, arrival.estimated_cost)
        )
        self.goal_at = self.give_up_at = min(arrival.deadline, now + goal)

    def __lt__(self, other: Query) -> bool:
        return self.rank < other.rank

    def out(self) -> bool:
        return any(send.out for send in self.sends)

    def harmless(self) -> bool:
        known = (
            self.group.idempotency is Idempotency.DEDUPLICATED
            and self.group.deduplication_scope is DeduplicationScope.ALL
        )
        return known or self.allowed_until() == math.inf  # rule 2, of a pushback

    def allowed_until(self, before: int | None = None) -> float:
        """Rule 2: when the last further dispatch may go; all of them may where none `before` may have run."""
        ran = [send.sent for send in self.sends[:before] if send.ran]
        if self.group.idempotency is Idempotency.IDEMPOTENT or not ran:
            return math.inf
        first = min(ran)
        return (
            first + self.group.deduplication_window - 1
            if self.group.idempotency is Idempotency.DEDUPLICATED
            else -math.inf
        )

    def may_begin(self, attempt: int) -> bool:
        """Rules 1 to 3, asked again when an attempt is written: it may have waited long for a connection."""
        late = self.gateway.transport.now >= self.allowed_until(attempt)
        return not self.over and not late and self.sends[attempt].engine.listed

    def bound_to(self) -> PlacementConstraints:
        ran = [send.engine.entry for send in self.sends if send.ran]
        scope = (
            self.group.deduplication_scope
            if ran and self.group.idempotency is Idempotency.DEDUPLICATED
            else DeduplicationScope.ALL
        )
        locations = (ran[0].zone,) if scope is DeduplicationScope.ZONE else self.group.zones
        cell = ran[0].cell if scope is DeduplicationScope.CELL else None
        return PlacementConstraints(locations, self.group.machine_kinds, cell, self.arrival.eligible_engines)

    def attempt_ended(self, dispatch: int, result: AttemptResult, over: bool) -> None:
        gateway, send, now = self.gateway, self.sends[dispatch], self.gateway.transport.now
        outcome, lasted = result.outcome, result.duration
        send.out, send.ran, self.over = False, outcome not in NEVER_RAN, self.over or over
        gateway.release(self, send)
        del gateway.out[id(send)]
        if outcome is Outcome.REJECTED:
            send.engine.full = now
        if outcome is Outcome.COMPLETED:
            gateway.learn(self, send.engine, result.work, result.peak_memory, lasted)
        if outcome in ENGINE_RESPONDED:
            gateway.heard(send.engine, result.load_report)
        send.engine.health.ended(now, id(send), outcome, lasted)
        if outcome in MAY_STILL_RUN and self.key is not None:
            gateway.turns.unsure(now, self.key)
        if self.over:
            gateway.finished(self)
        elif not self.out():
            (gateway.hold if gateway.worth_more(self) else gateway.give_up)(self)
        gateway.line.serve(gateway.admit)

    def attempt_progressed(self, dispatch: int, kind: ProgressKind, value: float) -> None:
        send, now = self.sends[dispatch], self.gateway.transport.now
        send.engine.health.heard(now)
        send.heard, send.waits = now, kind is ProgressKind.WAITING
        if send.waits and value == 1.0:
            send.engine.full = now
            free = any(not e.refuses(now) for e in self.gateway._kept(self.bound_to()))
            if self.gateway.allowed.may_cancel and send.out and free and self.gateway.worth_more(self):
                self.gateway.transport.cancel_attempt(self.arrival.index, dispatch)
        self.gateway.learn(self, send.engine, 0, send.grant + value if kind is ProgressKind.SPILL else 0.0, 0)
        if (
            kind is ProgressKind.PROGRESS
            and value > 0.0
            and send.out
            and self.gateway.allowed.progress_interval
        ):
            self.gateway.progressed(self, dispatch, now - send.sent, value)

    def client_left(self) -> None:
        self.over = True
        self.gateway.unearned(self.arrival)
        for dispatch in [
            n for n, send in enumerate(self.sends) if send.out and self.gateway.allowed.may_cancel
        ]:
            self.gateway.transport.cancel_attempt(self.arrival.index, dispatch)  # withdrawn by the hundred
        self.gateway.finished(self)


class Gateway:
    WAIT_BOUND, CUT = 2 * SECOND, 0.5  # a head held longer gets a cut grant, no smaller than this part
    LATELY, FAR, RETRY_AFTER = 3 * SECOND, 4.0, SECOND  # of work that comes; far behind; a client's wait
    KEPT, COVER, TRIERS = 8, 4, 3  # engines kept; gateways that keep each; those that try a sick one a second
    MANY, LOSSY = 81, 0.12  # gateways that look their engines over half as often; answers that never came
    FEW, SIGN, AWAY, SPAN = 8, 200 * MILLISECOND, SECOND, 10 * SECOND  # departure: a few tell what comes

    def __init__(self, transport: Transport, seed: int, settings: GatewaySettings) -> None:
        groups, place, allowed = settings.service_classes, settings.position, settings.capabilities
        self.transport, self._groups, self._kinds, self._place = (
            transport,
            groups,
            settings.machine_kinds,
            place,
        )
        self.allowed, self._cold = allowed, settings.slow_start
        self._margin = 2 * settings.tick + BEAT + 1  # before a time limit
        self.waits = any(group.waits_for_data_loads for group in groups)
        self._peaks = Peaks(len(groups), allowed.memory_shortage is MemoryShortage.PAGE)
        self.pace, self._ration = Pace(groups), Ration(settings.retry_budget)
        self.turns, self.line = Turns(settings.order_key_pause), Line()
        self._door = Door(min(group.latency_objective for group in groups))
        self.order, self._looked_after = Order[Engine](), dict[int, Engine]()  # as preferred; unsound
        self._picker = Picker(random.Random(seed), place.zone, self.waits, self.order.names)
        self._limits, self.out = list[tuple[int, Query]](), dict[int, tuple[Query, int]]()  # all that are out
        self._engines, self._off = dict[int, Engine](), dict[int, Engine]()  # off the list, but in use
        self.pool, self._usual, self._rank, self.slice = Ledger(0.0, 0), 1.0, 0, 1.0 / place.gateway_count
        self.notes, self._retired, self._before = False, False, dict[str, Engine]()  # notes came; see succeed
        self._kept_part, self._offered, self._wanted = (
            1.0,
            SlidingSums(self.LATELY, 1),
            0.0,
        )  # the rest is proxies'
        self._needs, self._beat_at, self._born = {place.index: (NEVER, 0.0)}, transport.now, transport.now
        self._lost, self._due = (
            SlidingSums(10 * SECOND, 1),
            0,
        )  # answers; reports that the line awaits for a beat
        self._every = 1 << min(
            2, place.gateway_count // self.MANY
        )  # beats between looks at the line and engines
        self._beats, self._faults, self._pace = 0, 0.0, 0.0  # the usual of engines
        self.stake = min((g.value for g in groups if g.idempotency is Idempotency.IDEMPOTENT), default=0.0)
        transport.call_later(BEAT, self._beat)
        if allowed.subscribes_to_list:
            transport.subscribe_to_engine_list()

    def update_engines(self, entries: Sequence[EngineEntry], complete: bool) -> None:
        for index in sorted(self._engines.keys() - {entry.index for entry in entries}) if complete else ():
            self._list(self._engines[index], False)
        for entry in (e for e in entries if e.index in self._engines or not self._retired):
            if entry.index not in self._engines:
                kind = (
                    self._kinds[entry.machine_kind]
                    if entry.machine_kind < len(self._kinds)
                    else MachineKind(1, 0.0)
                )
                large = max(group.latency_objective * group.threads for group in self._groups) / 8
                ramp = Ramp(self._cold, entry.name, kind.cores, self._place, large, self._born)
                engine = Engine(entry, kind, ramp, self.allowed.polls_load)
                self._engines[entry.index] = self._off[entry.index] = engine
            engine = self._engines[entry.index]
            if entry.name in self._before:
                engine.inherit(self.transport.now, self._before.pop(entry.name))
                self._looked_after[entry.index] = engine
            if entry.started_at > engine.ramp.began:
                engine.ramp.began = entry.started_at
                engine.health.heard(self.transport.now)
            if not PlacementConstraints((entry.zone,), (entry.machine_kind,), entry.cell).allow(engine.entry):
                self._list(engine, False)  # elsewhere now: in other lines of the index
            engine.entry = entry
            self._list(engine, entry.state is EngineState.UP)
        for index in [i for i, e in self._off.items() if not e.ledger.running]:
            del self._engines[index], self._off[index]  # engines come and go without end
            self._looked_after.pop(index, None)
        self.line.serve(self.admit)

    def _list(self, engine: Engine, listed: bool) -> None:
        more, name = (min(1.0, engine.entry.weight) if listed else 0.0) - engine.pooled, engine.entry.name
        self.pool.memory += more * engine.ledger.memory
        self.pool.cores += more * engine.ledger.cores
        engine.pooled += more
        if engine.listed == listed:
            return
        engine.listed = listed
        self._off.pop(engine.entry.index) if listed else self._off.update({engine.entry.index: engine})
        (self.order.put if listed else self.order.drop)(stable_hash(name, self._place.index), engine)

    def _ask(self, now: int) -> None:
        """Departure: where engines report only when probed, the one kept that was longest not asked is."""
        if self.allowed.polls_load and (kept := list(self._kept(ANY))):
            engine, self._due = min(kept, key=lambda e: e.asked), self._due + 1
            engine.asked = now
            self.transport.probe_engine(engine.entry.index)

    def probe_completed(self, index: int, outcome: Outcome, report: LoadReport | None) -> None:  # of a probe
        engine, self._due = self._engines.get(index), max(0, self._due - 1)
        if engine is not None and outcome in ENGINE_RESPONDED:
            self.heard(engine, report)
        self.line.serve(self.admit)

    def engine_list_failed(self) -> None:
        self.transport.call_later(SECOND, self.transport.subscribe_to_engine_list)

    def _kept(
        self, bounds: PlacementConstraints
    ) -> Iterator[Engine]:  # the first of use in our order, and the sick passed
        sound, now = 0, self.transport.now
        most = max(self.KEPT, self.COVER * len(self.order) / self._place.gateway_count, self.pool.running)
        for _, _, engine in self.order.within(bounds):
            if engine.entry.weight > 0.0:  # departure: at a weight of 0 nothing new
                yield engine
                sound += 1 if engine.health.level >= Health.LOW and engine.ramp.allows(now, 0.0) else 0
                if sound >= most:
                    return

    def submit(self, arrival: QueryArrival) -> Query:
        now, group, self._rank = self.transport.now, self._groups[arrival.service_class], self._rank + 1
        batch = Query(self, arrival, group, self._rank)
        self._ration.ring.add(now, 0 if arrival.earns_no_retries else 1, 0, 0)
        self._offered.add(now, self.pace.weight(arrival.service_class, arrival.estimated_cost))
        work = self.pace.work(arrival.service_class, arrival.estimated_cost)
        if not self._door.admits(group.value, work) or arrival.deadline <= now + self._margin:
            self.give_up(batch)
            return batch
        if batch.key is not None:
            self.turns.queues[batch.key].append(batch)
            self._thin(batch.key)
        if not batch.over:
            self._ask(now)
            self.hold(batch, batch.key is None or self.turns.next(now, batch.key) == (batch, 0))
        return batch

    def unearned(
        self, arrival: QueryArrival
    ) -> None:  # many may come and leave at once: they earn no attempts
        self._ration.ring.add(self.transport.now, 0, 0, 0 if arrival.earns_no_retries else 1)

    def _thin(self, key: int) -> None:
        """Departure: of batches of one key that cannot all end within their goals the longest is given up."""
        end, kept = float(self.transport.now), list[tuple[float, int, Query]]()
        for batch in [batch for batch in self.turns.queues[key] if not batch.over]:
            run = self.pace.run(self.transport.now, batch.arrival.service_class, batch.arrival.estimated_cost)
            end = max(end, batch.sends[-1].sent + run) if batch.sends else end + run
            if not batch.sends:
                heapq.heappush(kept, (-run, -batch.rank, batch))
                if end > batch.goal_at:
                    end += kept[0][0]
                    self.give_up(heapq.heappop(kept)[2])

    def admit(self, batch: Query) -> bool:
        """The ordinary path: size, fit, draw, send. False: none fits, and the batch waits holding nothing."""
        now, arrival, threads, usual = self.transport.now, batch.arrival, batch.threads, self._usual
        weight = self.pace.weight(arrival.service_class, arrival.estimated_cost)
        able = [e for e in self._kept(batch.bound_to()) if self._able(now, batch, e, weight)]
        if not able or batch.sends and not self._ration.allows(now, batch.little):
            return False
        cap = min(e.ledger.memory for e in able) * min(1.0 / 3.0, self.allowed.max_grant_share)
        grant = self._peaks.size(
            now, arrival.service_class, arrival.table_group, arrival.estimated_memory, cap
        )
        holds = self._peaks.holds(
            now, arrival.service_class, arrival.table_group, arrival.estimated_memory, grant
        )
        own = self.slice * self._kept_part
        pooled = not self.pool.running or self.pool.fits(holds, threads, own)
        parts = [(e.ours(now, usual, own, self._wanted), e) for e in able]
        fitting = [
            e
            for part, e in parts
            if e.ledger.fits(holds, threads, part) or pooled and not e.ledger.running and not e.refuses(now)
        ]
        if not fitting:
            part, freest = max(parts, key=lambda pair: pair[1].ledger.room(pair[0]))
            bound = min(self.WAIT_BOUND, (arrival.deadline - batch.taken) // 2)
            cut = max(holds * self.CUT, min(holds, freest.ledger.room(part)))
            if now - batch.held_since < bound or not freest.ledger.fits(cut, threads, part):
                return False
            fitting, grant, holds = [freest], min(grant, cut), cut
        engine = self._picker.draw(now, fitting, batch, usual)
        light = (
            self.pace.alone(arrival.service_class, arrival.estimated_cost) < batch.group.latency_objective / 4
        )  # soon wanted
        self.transport.grant_memory(
            arrival.index, round(grant), 2 if light and self.allowed.sends_priorities else 1
        )
        self._ration.ring.add(now, 0, 1 if batch.sends else 0, 0)
        run = self.pace.run(now, arrival.service_class, arrival.estimated_cost)
        send = Attempt(engine, grant, holds, now, now)
        self.out[id(send)] = batch, len(batch.sends)
        batch.sends.append(send)
        batch.held = False
        self.pool.change(holds, threads, 1)
        engine.ledger.change(holds, threads, 1)
        engine.ramp.sent.add(now, weight)
        engine.health.sent(
            now, id(send), run, 0.2 if batch.group.meets_data_loads() else 1.0
        )  # may stand still
        self._looked_after[engine.entry.index] = engine
        self.transport.send_attempt(arrival.index, engine.entry.index, self._time_out(now, batch, run))
        return True

    def _able(self, now: int, batch: Query, engine: Engine, weight: float) -> bool:
        """Rules 2, 3, 4, 6; and health, or a trial with little at stake: one repeatable batch at a time."""
        if now >= batch.allowed_until() or not engine.ramp.allows(now, weight, self._kept_part):
            return False
        keepers = max(1.0, self._place.gateway_count * min(1.0, self.KEPT / len(self.order)) / self.TRIERS)
        waited = now - engine.health.tried >= SECOND * keepers
        return engine.health.level >= Health.LOW or batch.little and not engine.ledger.running and waited

    def _time_out(self, now: int, batch: Query, run: float) -> int:
        """Until the limit, unless an early end would be conclusive and leave time for another dispatch."""
        left, early = batch.arrival.deadline - now - self._margin + BEAT, (batch.goal_at - now) * 0.7
        last = (
            batch.group.idempotency is Idempotency.NON_IDEMPOTENT
            or len(batch.sends) >= self.allowed.max_attempts
        )
        spread = self.pace.told[batch.arrival.service_class].spread()
        lossy = self._lost.total(now, 0) > 1 + self.LOSSY * self._ration.ring.total(now, 0)
        sure = run * max(0.0 if lossy else 4.0, math.exp(spread * (1.5 if lossy else 2.5)))
        if lossy:
            early, until = max(early, sure), left if batch.group.late_value else batch.goal_at - now
            last = last or early + run / 2 > until
        return max(1, left if last or sure > early else min(left, int(early)))

    def hold(self, batch: Query, in_turn: bool = True) -> None:
        """Into the line by rank of arrival; a batch whose turn has not come waits beside it."""
        now, arrival, batch.held = self.transport.now, batch.arrival, True
        run, batch.held_since = int(self.pace.run(now, arrival.service_class, arrival.estimated_cost)), now
        batch.give_up_at = min(arrival.deadline - self._margin, max(batch.goal_at - run, now + BEAT))
        batch.give_up_at = int(min(batch.give_up_at, batch.allowed_until()))  # nor stand in the way longer
        heapq.heappush(self._limits, (batch.give_up_at, batch))
        if in_turn and self.line.join(batch) and not self._due:
            self.line.serve(self.admit)
        if batch.held and batch.give_up_at <= now:  # the next beat may be past its limit
            self.give_up(batch)

    def _beat(self) -> None:
        now = self.transport.now
        stalled, self._beat_at, self._beats = now - self._beat_at > 4 * BEAT, now, self._beats + 1  # we stood
        if self._beats % self._every == 0:
            self._look_over(now, stalled)
        while self._limits and self._limits[0][0] <= now:
            batch = heapq.heappop(self._limits)[1]
            if batch.held and batch.give_up_at <= now:
                self.give_up(batch)
        if not self.is_finished():
            self.transport.call_later(BEAT, self._beat)

    def _look_over(self, now: int, stalled: bool) -> None:
        if self._beats % 4 == 0 and self._looked_after:
            kept = [e.health for _, _, e in self.order.all[: self.KEPT]]
            self._faults = quantile([(health.faults(now), 1.0) for health in kept], 0.49)
            self._pace = quantile([(health.pace, 1.0) for health in kept if health.paced], 0.49)
        for engine in list(self._looked_after.values()):  # those that hold some of ours, or are not sound
            if stalled:
                engine.health.heard(now)
            sick = engine.health.level < Health.LOW
            engine.health.look(now, self._faults, self._pace)
            if sick != (engine.health.level < Health.LOW):
                self.transport.log(f"engine {engine.entry.name} {'back in use' if sick else 'held back'}")
            if engine.health.level >= 1.0 and not engine.ledger.running:
                del self._looked_after[engine.entry.index]
        for batch, dispatch in list(self.out.values()) if self.notes and not stalled else ():
            send = batch.sends[dispatch]
            if not send.waits and now - send.heard > self.allowed.progress_interval + Health.QUIET:
                if self.allowed.may_cancel:
                    self.transport.cancel_attempt(batch.arrival.index, dispatch)
                elif not send.lost:
                    self.release(batch, send)
                    self._lost.add(now, 1)
        self.line.serve(self.admit)
        few = self.allowed.may_gossip and 1 < self._place.gateway_count <= self.FEW
        offered = self._offered.total(now, 0) / self.LATELY  # beside the cores at half of their threads
        self._wanted = 0.0 if few else min(1.0, offered / (self.pool.cores * Ledger.WIDTH / 2.0))
        if few and now - self._needs[self._place.index][0] >= self.SIGN:
            own = 1.0 + self._ration.ring.total(now, 0) / min(1.0, (now - self._born + SECOND) / self.SPAN)
            self._needs[self._place.index] = now, own
            there = [need for at, need in self._needs.values() if stalled or now - at <= self.AWAY]
            self.slice = own / (sum(there) + own * (self._place.gateway_count - len(self._needs)))
            self.transport.send_to_peers(None, int(own).to_bytes(4, "big"))
        if self._beats % 4 == 0:
            self._door.look(0 if stalled else self.line.wait(now))

    def is_finished(self) -> bool:  # succeeded by another, and all that it took has ended
        return self._retired and not self.out and not self._limits

    def take_over(self, old: Gateway) -> None:
        """Takes over under other settings; the old one ends what it took."""
        self._before, old._retired = {e.entry.name: e for e in old._engines.values()}, True
        old.turns.pause, self.notes = self.turns.pause, old.notes
        self.turns = old.turns
        if self._ration.terms.window == old._ration.terms.window:
            self._ration.ring = old._ration.ring
        rows = {(group.name, group.threads): row for row, group in enumerate(old._groups)}
        for row, group in enumerate(self._groups):
            if (was := rows.get((group.name, group.threads))) is not None:
                self._peaks.told[row] = old._peaks.told[was]
                self.pace.told[row], self.pace.ran[row] = old.pace.told[was], old.pace.ran[was]
        self.update_engines([e.entry for e in old._engines.values() if e.listed], True)

    def receive_from_peer(self, gateway: int, need: bytes) -> None:
        self._needs[gateway] = self.transport.now, float(int.from_bytes(need[:4], "big"))

    def set_proxy_share(self, part: float) -> None:  # of our slices and budgets of cold engines, to proxies
        self._kept_part = 1.0 - part

    def update_proxy_load(
        self, engine: int, running: float, ended: float, errors: float
    ) -> None:  # since last
        if (told := self._engines.get(engine)) is not None:
            told.proxied, told.proxied_at = running / (told.ledger.cores * Ledger.WIDTH), self.transport.now
            told.health.told(self.transport.now, ended, errors)
            self._looked_after[engine] = told

    def typical_grant(self, group: int) -> float:  # where nothing is told of a batch; 0: unknown
        return self._peaks.size(self.transport.now, group, -1, 0.0, math.inf)

    def shed_share(self, group: int) -> float:  # the part that the door turns away now: all but few, or none
        low = self._groups[group].value / max(1.0, self.pace.weight(group, 0)) < self._door.bar
        return self._door.share if low else 0.0

    def queue_wait(self) -> int:
        """How long the first query in the admission queue has waited; 0 where none waits."""
        return self.line.wait(self.transport.now)

    def held_share(self) -> float:
        """The part of all engines that our grants and threads fill."""
        return self.pool.used()

    def idle_shares(self) -> dict[int, float]:
        """The part of each listed engine that nobody holds, as far as it was reported."""
        return {e.entry.index: max(0.0, 1.0 - e.told - e.ledger.used()) for _, _, e in self.order.all}

    def engine_statuses(self) -> list[EngineStatus]:
        """How each listed engine is seen."""
        now = self.transport.now
        return [
            EngineStatus(
                entry=e.entry,
                health=e.health.level,
                usable=e.health.level >= Health.LOW,
                warmed_up=e.ramp.warm(now),
                ramped_here=e.ramp.mine,
                ramp_share=e.ramp.share(now),
                capacity_share=e.health.level * min(1.0, e.entry.weight) * self.slice,
                memory=e.ledger.memory,
                cores=e.ledger.cores,
            )
            for _, _, e in self.order.all
        ]

    def heard(self, engine: Engine, report: LoadReport | None) -> None:
        engine.heard(self.transport.now, report, max(1.0, self.pool.threads / max(1, self.pool.running)))
        self._usual += (engine.told - self._usual) / 20 if report or not self.allowed.polls_load else 0.0

    def release(self, batch: Query, send: Attempt[Engine]) -> None:  # what it holds of its engine
        if not send.lost:
            self.pool.change(-send.holds, -batch.threads, -1)
            send.engine.ledger.change(-send.holds, -batch.threads, -1)
            send.lost = True

    def learn(self, batch: Query, engine: Engine, work: int, memory: float, lasted: int) -> None:
        now, arrival = self.transport.now, batch.arrival
        if work:
            self.pace.learn(now, arrival.service_class, arrival.estimated_cost, work, lasted)
            if batch.threads == batch.group.threads:  # else it may have stood still behind a load
                engine.health.ran(engine.ramp.share(now) * lasted * batch.threads / work, 1.0)
        if memory:
            self._peaks.learn(
                now, arrival.service_class, arrival.table_group, arrival.estimated_memory, memory
            )
        if batch.group.is_data_load and lasted:
            self._peaks.loaded(arrival.table_group)

    def worth_more(self, batch: Query) -> bool:  # whether another dispatch may go, and could earn something
        now, arrival = self.transport.now, batch.arrival
        until = arrival.deadline - self._margin if batch.group.late_value else batch.goal_at
        return (
            len(batch.sends) < self.allowed.max_attempts
            and self._ration.allows(now, batch.little)
            and now + self.pace.run(now, arrival.service_class, arrival.estimated_cost) / 2 < until
            and now < batch.allowed_until()
            and any(True for _ in self._kept(batch.bound_to()))
        )

    def progressed(self, batch: Query, dispatch: int, lasted: int, share: float) -> None:
        """Ends a dispatch that another would overtake by far, or that would not answer its batch in time."""
        now, cost = self.transport.now, (batch.arrival.service_class, batch.arrival.estimated_cost)
        run, left = self.pace.run(now, *cost), lasted * (1.0 - share) / share
        engine, self.notes = batch.sends[dispatch].engine, True
        engine.health.ran(engine.ramp.share(now) * lasted / share / self.pace.alone(*cost), 0.5)
        far = left > self.FAR * len(batch.sends) * run and self.worth_more(batch)
        if self.allowed.may_cancel and (far or now + left > batch.arrival.deadline):
            self.transport.cancel_attempt(batch.arrival.index, dispatch)

    def give_up(self, batch: Query) -> None:  # the final answer, at once
        batch.over = True
        if batch.harmless():
            wait = (
                min(self.RETRY_AFTER, self.allowed.max_retry_after) if self.allowed.sends_retry_after else 0
            )
            self.transport.reject(batch.arrival.index, wait)
        else:
            self.transport.fail(batch.arrival.index)
        self.finished(batch)

    def finished(self, batch: Query) -> None:
        batch.held = False
        if batch.key is not None:
            following, rest = self.turns.next(self.transport.now, batch.key)
            if rest:
                self.transport.call_later(rest, lambda: self.finished(batch))
            elif following is not None and following.held and not following.sends:
                following.gateway.hold(following)
