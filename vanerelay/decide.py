"""Every decision of vanerelay: what runs, where, with how much memory, and what is given up.

How to call it: make one Gateway for each life of a process. Hand it every change of the list of engines
(listed, list_failed) and every batch (take, which gives a Batch, the handle for all that happens later:
ended, noted, left). It answers through the Transport of vanerelay/interface.py, where all types are found.
"""
from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median

from vanerelay.interface import (
    MILLISECOND, NEVER_RAN, SECOND, SPOKEN, UNSTOPPED, Allowances, Arrival, ColdStart, Effect,
    EngineEntry, EngineState, LoadReport, MachineKind, NoteKind, Outcome, Place, RationTerms, Scope,
    ServiceGroup, Transport,
)
from vanerelay.measure import Estimate, Ring, quantile

ANSWERS, FAITH = 200, 2.0  # answers an estimate learns from; answers' worth of trust in the told figure
BEAT = 20 * MILLISECOND  # how often the line, the limits and the engines' health are looked over


class Peaks:
    """Grants from remembered peaks, by service group and table group. Runs of one shape differ several
    times over: peaks are remembered against what was told of their batches (slope 0 if it tells nothing)."""

    MARGIN = 1.25  # over an expected peak, where the spread asks for no more
    SPREADS = 1.0  # how many spreads of past peaks the margin covers
    STEP = 1.12  # ladder of buckets: each this much over the one below
    KEPT = 30 * SECOND
    RUNS = 20  # runs that an entry averages

    def __init__(self, groups: int) -> None:
        self._shapes: dict[tuple[int, int], tuple[float, int, int]] = {}  # offset, runs, until
        self._told = [Estimate(ANSWERS, FAITH) for _ in range(groups)]

    def size(self, now: int, group: int, tables: int, told: float, cap: float) -> float:
        estimate, (offset, _, until) = self._told[group], self._shapes.get((group, tables), (0.0, 0, 0))
        margin = max(math.log(self.MARGIN), self.SPREADS * estimate.spread())
        wanted = estimate.log(told) + margin + (offset if until > now else 0.0)
        step = math.log(self.STEP)
        return min(cap, math.exp(step * math.ceil(wanted / step - 1e-9))) if told or estimate.seen else 0.0

    def learn(self, now: int, group: int, tables: int, told: float, peak: float) -> None:
        offset, runs, until = self._shapes.get((group, tables), (0.0, 0, 0))
        runs = runs + 1 if until > now else 1
        miss = math.log(max(peak, 1.0)) - self._told[group].log(told) if self._told[group].seen else 0.0
        offset += (miss - offset) / min(runs + 2, self.RUNS)
        self._shapes[group, tables] = (offset, runs, now + self.KEPT)
        self._told[group].learn(told, peak)

    def loaded(self, tables: int) -> None:
        self._shapes = {key: shape for key, shape in self._shapes.items() if key[1] != tables}


class Pace:
    """What batches cost and how long they run, by service group, learned from answers."""

    def __init__(self, groups: Sequence[ServiceGroup]) -> None:
        self._groups, self._told = groups, [Estimate(ANSWERS, FAITH) for _ in groups]
        self._ran = [Ring(20 * SECOND, 2) for _ in groups]  # lasted, ideal

    def learn(self, now: int, group: int, told: int, work: int, lasted: int) -> None:
        self._told[group].learn(told, work)
        self._ran[group].add(now, lasted, work / self._groups[group].threads)

    def work(self, group: int, told: int) -> float:
        return self._told[group].value(told) or self._groups[group].goal / 4

    def weight(self, group: int, told: int) -> float:
        return max(self.work(group, told), self._told[group].mean())

    def run(self, now: int, group: int, told: int) -> float:
        slowdown = (self._ran[group].total(now, 0) + 1) / (self._ran[group].total(now, 1) + 1)
        return self.alone(group, told) * max(1.5, slowdown)

    def alone(self, group: int, told: int) -> float:
        return self.work(group, told) / self._groups[group].threads


class Ledger:
    """This gateway's own grants on one engine against its slice; and its threads, as memory alone lets in
    so many light batches that an engine gets less done in all. Answers show how many it bears."""

    START, LEAST, MOST = 2.0, 0.7, 3.0  # threads a core
    CROWDED = 2.5  # running this many times longer than alone means too many threads
    GROW, SHRINK = 0.01, 0.97  # a beat
    LEND = 0.8  # departure: to this part of its memory, what is reported as held by nobody may be granted too

    def __init__(self, memory: float, cores: int, share: float) -> None:
        self.memory, self.cores, self._share = max(1.0, memory), max(1, cores), share
        self.granted, self.running, self.threads, self.width = 0.0, 0, 0.0, self.START
        self.others = 1.0  # share of memory that others hold; all, until a report tells

    def room(self, level: float) -> float:
        return self.memory * level * max(self._share, self.LEND - self.others) - self.granted

    def fits(self, grant: float, threads: float, level: float) -> bool:
        whole = self.cores * self.width * self._share * level
        return grant <= self.room(level) and self.threads + threads / 4 <= whole

    def part(self) -> float:
        return max(self.granted / self.memory, self.threads / (self.cores * self.width))

    def learn(self, pace: float) -> None:
        if pace > 0.0:
            width = self.width * self.SHRINK if pace > self.CROWDED else self.width + self.GROW
            self.width = min(self.MOST, max(self.LEAST, width))

    def change(self, grant: float, threads: float, batches: int) -> None:
        self.granted = max(0.0, self.granted + grant)
        self.threads, self.running = self.threads + threads, self.running + batches


class Ramp:
    """What a freshly started engine may be sent: this gateway's part of the budget of rule 4."""

    BUSY = 0.85  # capacity is the rate at which the cores are this busy
    CAUTION = 0.7  # part of the budget used: batches cost more or less than their group's usual

    def __init__(self, cold: ColdStart, gateways: int, cores: int) -> None:
        self._cold, self.began, self.sent = cold, -cold.warm_after, Ring(max(1, cold.window), 1)
        self._budget = cold.multiple * max(1, cores) * self.BUSY * cold.window * self.CAUTION / gateways

    def share(self, now: int) -> float:
        age = (now - self.began) / max(1, self._cold.warm_after)
        return min(1.0, self._cold.share + (1.0 - self._cold.share) * max(0.0, age))

    def allows(self, now: int, work: float) -> bool:
        warm = now - self.began >= self._cold.warm_after + self._cold.window
        budget = self._budget * self.share(max(self.began, now - self._cold.window))
        return warm or self.sent.total(now, 0) + work <= budget


class Health:
    """One figure for an engine, from 0 (silent or lost) to 1 (sound), from what its answers show. Batches
    that may stand behind a load come with an ideal run of 0: no sign of its pace, a weak one of silence."""

    QUIET = 600 * MILLISECOND  # shorter silences are taken for pauses
    PATIENCE = 3.0  # a dispatch out for this many times its expected run is overdue
    OVERDUE = 2  # overdue dispatches, with nothing heard since, that make an engine silent
    RISE = 0.5  # most that the level may recover in a second
    LOW = 0.15  # under this an engine gets one trial batch at a time

    def __init__(self) -> None:
        self._ring = Ring(4 * SECOND, 4, 8)  # ends, errors, lasted, ideal
        self._out: dict[int, tuple[int, float, float]] = {}  # sent, expected run, ideal run
        self._heard = self._looked = self._missed = self.tried = 0
        self.lost, self.level, self.pace, self._resets = False, 1.0, 0.0, list[int]()

    def sent(self, now: int, key: int, run: float, ideal: float) -> None:
        self._out[key], self.tried = (now, max(self.QUIET, self.PATIENCE * run), ideal), now

    def heard(self, now: int) -> None:
        self._heard, self._missed, self._resets, self.lost = now, 0, [], False

    def ended(self, now: int, key: int, outcome: Outcome, ideal: float) -> None:
        sent, patience, alone = self._out.pop(key)
        ideal = (ideal or alone) * (alone > 0.0)
        # A process that dies resets all that was out; connections that break singly are errors, no more.
        self._resets += [now] if outcome is Outcome.RESET else []
        dead = len(self._resets) >= self.OVERDUE and all(s >= self._resets[0] for s, *_ in self._out.values())
        if dead or outcome is Outcome.NO_CONNECTION:
            self.lost, self.level = True, 0.0
        elif outcome in (Outcome.ERRORED, Outcome.PUSHED_BACK, Outcome.RESET):
            self._ring.add(now, 1, 1, 0, 0)
        elif outcome in (Outcome.TIMED_OUT, Outcome.RETURNED):
            self._missed += outcome is Outcome.TIMED_OUT and now > sent + patience
            self._ring.add(now, 1, 0, (now - sent) * (ideal > 0.0), ideal)

    def look(self, now: int, fleet_pace: float) -> None:
        ends, errors, lasted, ideal = (self._ring.total(now, field) for field in range(4))
        late = [(now - sent, run) for sent, patience, run in self._out.values() if now > sent + patience]
        lasted, ideal = lasted + sum(age for age, run in late if run), ideal + sum(run for _, run in late)
        self.pace = lasted / ideal if ideal else 0.0  # how many times longer than alone its batches run
        slow = max(1.0, self.pace / (1.5 * fleet_pace)) if fleet_pace else 1.0
        target = (1.0 - errors / (ends + 1.0)) ** 3 / slow
        silent = self._missed + sum(1.0 if run else 0.2 for _, run in late) >= self.OVERDUE
        if self.lost or silent and now - self._heard > self.QUIET:
            target = 0.0
        self.level, self._looked = min(target, self.level + self.RISE * (now - self._looked) / SECOND), now


class Engine:
    def __init__(self, entry: EngineEntry, kind: MachineKind, cold: ColdStart, gateways: int) -> None:
        self.entry, self.health, self.listed, self.side = entry, Health(), True, 0
        self.ledger = Ledger(kind.memory, kind.cores, 1.0 / gateways)
        self.ramp = Ramp(cold, gateways, kind.cores)
        self._report: LoadReport | None = None
        self._own_then = 0.0

    def level(self, now: int) -> float:
        return self.health.level * self.ramp.share(now)

    def heard(self, now: int, report: LoadReport | None) -> None:
        self.health.heard(now)
        if report is not None:
            self._report, self._own_then = report, self.ledger.part()
            if report.memory_granted is not None:
                own = self.ledger.granted / self.ledger.memory
                self.ledger.others = max(0.0, report.memory_granted - own)

    def restarted(self, began: int) -> None:
        if began > self.ramp.began:
            self.ramp.began, self._report = began, None

    def load(self) -> float:
        """Reported utilisation plus own sends since; own alone where nothing is reported."""
        seen, own = self._report, self.ledger.part()
        if seen is None:
            return own
        one = max(1.0, self.ledger.threads / max(1, self.ledger.running))
        shares = seen.shares(one / (self.ledger.cores * self.ledger.width))
        return max(0.0, max(shares, default=self._own_then) + own - self._own_then)


class Picker:
    """Draws among engines that fit: the less loaded and the sounder, the likelier."""

    SHARP = 6.0
    APART = 0.02  # and one on which loads of the table group are to be met, that much less likely

    NEAR = 1.3  # an engine of the own location is this much likelier: crossing costs a little

    def __init__(self, chance: random.Random, location: int) -> None:
        self._chance, self._here = chance, location

    def draw(self, now: int, engines: Sequence[Engine], batch: Batch) -> Engine:
        weights = [
            e.ledger.cores * self._apart(e, batch) * (self.NEAR if e.entry.location == self._here else 1.0)
            * math.exp(-self.SHARP * min(e.load() / max(0.05, e.level(now)), 9.0)) for e in engines]
        return self._chance.choices(engines, weights)[0]

    def _apart(self, engine: Engine, batch: Batch) -> float:
        """A load holds its table group on its engine: all gateways lean to send loads of a table group to
        every other engine by name, what would wait for them to the rest. Harms where few engines remain."""
        group, home = batch.group, (engine.side + batch.arrival.tables) % 2 == 1
        return self.APART if group.meets_loads() and group.is_load != home else 1.0


class Door:
    """Under overload (a line whose head keeps waiting) turns away what earns least for its work, before it
    has cost anything: the longer the wait, the more. May harm a group that earns little for all its work."""

    FROM, OVER = 0.1, 0.5  # waits in parts of the shortest goal: nothing is shed at first, all past the sum
    EVERY, MOST, EASE = 200 * MILLISECOND, 0.95, 0.1  # eased, or it swings between all and nothing
    KEPT = 200  # arrivals that stand for the traffic

    def __init__(self, goal: int) -> None:
        self._goal = goal
        self._came: deque[tuple[float, float]] = deque(maxlen=self.KEPT)
        self._least, self._until = math.inf, 0
        self.share, self._bar = 0.0, 0.0

    def admits(self, utility: float, work: float) -> bool:
        self._came.append((utility / max(1.0, work), work))
        return self.share < 0.01 or self._came[-1][0] >= self._bar

    def look(self, now: int, wait: int) -> None:
        self._least = min(self._least, wait)
        if now < self._until:
            return
        wanted = min(self.MOST, max(0.0, (self._least / self._goal - self.FROM) / self.OVER))
        self.share += (wanted - self.share) * self.EASE
        self._least, self._until = math.inf, now + self.EVERY
        self._bar = quantile(self._came, self.share)


class Ration:
    """Rule 7: dispatches beyond each batch's first, in any window."""

    def __init__(self, terms: RationTerms) -> None:
        self._terms, self.ring = terms, Ring(max(1, terms.span), 2, 50)  # taken, further dispatches

    def allows(self, now: int) -> bool:
        most = self._terms.free + self._terms.share * self.ring.total(now, 0, short=True)
        return not self._terms.span or self.ring.total(now, 1) + 1 <= most


class Turns:
    """Rule 5: batches of one key run one at a time, in the order taken."""

    def __init__(self, pause: int) -> None:
        self._pause, self._rests = pause, dict[int, int]()
        self.queues: defaultdict[int, deque[Batch]] = defaultdict(deque)

    def unsure(self, now: int, key: int) -> None:
        self._rests = {other: until for other, until in self._rests.items() if until > now}
        self._rests[key] = now + self._pause + 1

    def next(self, now: int, key: int) -> tuple[Batch | None, int]:
        """The batch whose turn it is, and how long it must rest still."""
        queue, rest = self.queues[key], max(0, self._rests.get(key, 0) - now)
        while queue and queue[0].over and not queue[0].out():
            queue.popleft()
        if not queue:
            del self.queues[key]
        return (queue[0] if queue else None), rest


class Line:
    """Held batches, first come first served, each holding nothing; freed room goes to the head. Those bound
    to some engines stand apart, not to keep the rest waiting while their engines are down."""

    def __init__(self) -> None:
        self._lines: defaultdict[tuple[object, ...], list[Batch]] = defaultdict(list)

    def join(self, batch: Batch) -> None:
        heapq.heappush(self._lines[batch.bound_to()], batch)

    def serve(self, admit: Callable[[Batch], bool]) -> None:
        for bound, line in list(self._lines.items()):
            while line and (not line[0].held or admit(line[0])):
                heapq.heappop(line)
            if not line:
                self._lines.pop(bound, None)

    def wait(self, now: int) -> int:
        return max((now - line[0].held_since for line in self._lines.values() if line), default=0)


@dataclass(slots=True)
class Dispatch:
    engine: Engine
    grant: float
    sent: int
    out: bool = True
    ran: bool = True  # until an outcome proves that it never did


class Batch:
    """The handle of one batch: all that happens to it after it was taken is a call here."""

    def __init__(self, gateway: Gateway, arrival: Arrival, group: ServiceGroup, rank: int) -> None:
        self._gateway, self.arrival, self.group, self.rank = gateway, arrival, group, rank
        # One that stands still behind a load uses no core meanwhile: its threads count for half.
        self.threads = group.threads * (0.5 if group.meets_loads() else 1.0)
        self.key = arrival.key if group.in_order else None
        self.sends: list[Dispatch] = []
        self.held = self.over = False
        self.taken = self.held_since = now = gateway.transport.now
        goal = group.goal + int(group.goal_stretch * gateway.pace.alone(arrival.group, arrival.cost))
        self.goal_at = self.give_up_at = min(arrival.time_limit, now + goal)

    def __lt__(self, other: Batch) -> bool:
        return self.rank < other.rank

    def out(self) -> bool:
        return any(send.out for send in self.sends)

    def harmless(self) -> bool:
        """Rule 2: whether a pushback may say that trying again does no harm."""
        return (self.group.effect is Effect.REPEATABLE or not any(send.ran for send in self.sends)
                or self.group.effect is Effect.REFERENCED and self.group.scope is Scope.ALL)

    def may_go(self, now: int, engine: EngineEntry) -> bool:
        """Rules 2 and 6: whether a dispatch to this engine is allowed."""
        group = self.group
        return ((group.locations is None or engine.location in group.locations)
                and (group.kinds is None or engine.kind in group.kinds)
                and (group.effect is Effect.REPEATABLE or not any(
            group.effect is Effect.ONCE_ONLY or now >= send.sent + group.window - 1
            or group.scope is Scope.LOCATION and send.engine.entry.location != engine.location
            or group.scope is Scope.CELL and send.engine.entry.cell != engine.cell
            for send in self.sends if send.ran)))

    def bound_to(self) -> tuple[object, ...]:
        group, ran = self.group, [send.engine.entry for send in self.sends if send.ran]
        confined = ran and group.effect is Effect.REFERENCED and group.scope is not Scope.ALL
        scope = (ran[0].location if group.scope is Scope.LOCATION else -1 - ran[0].cell) if confined else None
        return (group.locations, group.kinds, scope)

    def ended(self, dispatch: int, outcome: Outcome, lasted: int, over: bool, work: int, memory: float,
              report: LoadReport | None) -> None:
        gateway, send, now = self._gateway, self.sends[dispatch], self._gateway.transport.now
        send.out, send.ran, self.over = False, outcome not in NEVER_RAN, self.over or over
        if outcome is Outcome.TIMED_OUT and not gateway.allowed.cancel:
            # An engine that can't be told to stop works on: it stays booked for twice as long again.
            gateway.transport.call_later(min(2 * lasted, 20 * SECOND), lambda: gateway.free(self, send))
        else:
            gateway.free(self, send)
        if outcome is Outcome.RETURNED:
            if send.engine.health.lost:
                send.engine.restarted(send.sent)
            gateway.learn(self, work, memory, lasted)
        if outcome in SPOKEN:
            send.engine.heard(now, report)
        send.engine.health.ended(now, id(send), outcome, work / self.group.threads)
        if outcome in UNSTOPPED and self.key is not None:
            gateway.turns.unsure(now, self.key)
        if self.over:
            gateway.finished(self)
        elif not self.out():
            (gateway.hold if gateway.worth_more(self) else gateway.give_up)(self)
        gateway.line.serve(gateway.admit)

    def noted(self, dispatch: int, kind: NoteKind, value: float) -> None:
        send = self.sends[dispatch]
        send.engine.health.heard(self._gateway.transport.now)
        if kind is NoteKind.SPILL:
            self._gateway.learn(self, 0, send.grant + value, 0)

    def left(self) -> None:
        self.over = True
        self._gateway.finished(self)


class Gateway:
    WAIT_BOUND, CUT = 2 * SECOND, 0.5  # a head held longer gets a cut grant, no smaller than this part
    RETRY_AFTER = SECOND  # when a batch given up may come again, where clients can be told

    def __init__(self, transport: Transport, seed: int, groups: Sequence[ServiceGroup],
                 kinds: Sequence[MachineKind], place: Place, allowed: Allowances, cold: ColdStart,
                 ration: RationTerms, order_pause: int, tick: int) -> None:
        self.transport, self._groups, self._kinds, self._place = transport, groups, kinds, place
        self.allowed, self._cold = allowed, cold
        self._margin = 2 * tick + BEAT + 1  # kept free before a time limit
        self._peaks, self.pace, self._ration = Peaks(len(groups)), Pace(groups), Ration(ration)
        self.turns, self._door, self.line = Turns(order_pause), Door(min(g.goal for g in groups)), Line()
        self._picker = Picker(random.Random(seed), place.location)
        self._engines, self._limits = dict[int, Engine](), list[tuple[int, Batch]]()
        self._rank, self._beating, self._beat_at = 0, False, 0
        if allowed.on_request:
            transport.subscribe()

    def listed(self, entries: Sequence[EngineEntry], whole: bool) -> None:
        for engine in self._engines.values():
            engine.listed = engine.listed and not whole
        for entry in entries:
            if entry.engine not in self._engines:
                kind = self._kinds[entry.kind] if entry.kind < len(self._kinds) else MachineKind(1, 0.0)
                self._engines[entry.engine] = Engine(entry, kind, self._cold, self._place.gateways)
            engine = self._engines[entry.engine]
            if entry.started:
                engine.restarted(entry.started)
            engine.entry, engine.listed = entry, entry.state is EngineState.UP
        present = [engine for engine in self._engines.values() if engine.listed]
        for side, engine in enumerate(sorted(present, key=lambda e: e.entry.name)):
            engine.side = side
        self.line.serve(self.admit)

    def list_failed(self) -> None:
        self.transport.call_later(SECOND, self.transport.subscribe)

    def take(self, arrival: Arrival) -> Batch:
        now, group, self._rank = self.transport.now, self._groups[arrival.group], self._rank + 1
        batch = Batch(self, arrival, group, self._rank)
        self._ration.ring.add(now, 1, 0)
        welcome = self._door.admits(group.utility, self.pace.work(arrival.group, arrival.cost))
        if not welcome or arrival.time_limit <= now + self._margin:
            self.give_up(batch)
            return batch
        if batch.key is not None:
            self.turns.queues[batch.key].append(batch)
        self.hold(batch, batch.key is None or self.turns.next(now, batch.key) == (batch, 0))
        return batch

    def admit(self, batch: Batch) -> bool:
        """The ordinary path: size, fit, draw, send. False: none fits, and the batch waits holding nothing."""
        now, arrival, threads = self.transport.now, batch.arrival, batch.threads
        weight = self.pace.weight(arrival.group, arrival.cost)
        able = [e for e in self._engines.values() if self._able(now, batch, e, weight)]
        if not able or batch.sends and not self._ration.allows(now):
            return False
        cap = min(e.ledger.memory for e in able) * min(1.0 / 3.0, self.allowed.most_grant)
        grant = self._peaks.size(now, arrival.group, arrival.tables, arrival.memory, cap)
        fitting = [e for e in able if not e.ledger.running or e.ledger.fits(grant, threads, e.level(now))]
        if not fitting:
            room, freest = max(((e.ledger.room(e.level(now)), e) for e in able), key=lambda pair: pair[0])
            bound = min(self.WAIT_BOUND, (arrival.time_limit - batch.taken) // 2)
            cut = max(grant * self.CUT, min(grant, room))
            if now - batch.held_since < bound or not freest.ledger.fits(cut, threads, freest.level(now)):
                return False
            fitting, grant = [freest], cut
        engine = self._picker.draw(now, fitting, batch)
        alone = self.pace.alone(arrival.group, arrival.cost)
        urgent = self.allowed.priorities and alone < batch.group.goal / 4  # little to do, soon wanted
        self.transport.grant(arrival.index, round(grant), 2 if urgent else 1)
        self._ration.ring.add(now, 0, len(batch.sends) > 0)
        run = self.pace.run(now, arrival.group, arrival.cost)
        batch.sends.append(Dispatch(engine, grant, now))
        batch.held = False
        engine.ledger.change(grant, threads, 1)
        engine.ramp.sent.add(now, weight)
        engine.health.sent(now, id(batch.sends[-1]), run, 0.0 if batch.group.meets_loads() else alone)
        self.transport.dispatch(arrival.index, engine.entry.engine, self._time_out(now, batch, run))
        return True

    def _able(self, now: int, batch: Batch, engine: Engine, weight: float) -> bool:
        """Rules 2, 3, 4, 6; and health, or a trial with little at stake: one repeatable batch at a time."""
        if not engine.listed or not batch.may_go(now, engine.entry) or not engine.ramp.allows(now, weight):
            return False
        return engine.health.level >= Health.LOW or (
            batch.group.effect is Effect.REPEATABLE and not engine.ledger.running
            and now - engine.health.tried >= SECOND)

    def _time_out(self, now: int, batch: Batch, run: float) -> int:
        """Until the limit, unless an early end would be conclusive and leave time for another dispatch."""
        left, early = batch.arrival.time_limit - now - self._margin + BEAT, (batch.goal_at - now) * 0.7
        last = batch.group.effect is Effect.ONCE_ONLY or len(batch.sends) >= self.allowed.most_dispatches
        return max(1, left if last or 4 * run > early else min(left, int(early)))

    def hold(self, batch: Batch, in_turn: bool = True) -> None:
        """Into the line by rank of arrival; a batch whose turn has not come waits beside it."""
        now, arrival, batch.held = self.transport.now, batch.arrival, True
        run, batch.held_since = int(self.pace.run(now, arrival.group, arrival.cost)), now
        batch.give_up_at = min(arrival.time_limit - self._margin, max(batch.goal_at - run, now + BEAT))
        if batch.group.effect is Effect.REFERENCED:  # past its window it may go nowhere, nor stand in the way
            ends = [send.sent + batch.group.window for send in batch.sends if send.ran]
            batch.give_up_at = min([batch.give_up_at, *ends])
        heapq.heappush(self._limits, (batch.give_up_at, batch))
        if not self._beating:
            self._beating, self._beat_at = True, now
            self.transport.call_later(BEAT, self._beat)
        if in_turn:
            self.line.join(batch)
            self.line.serve(self.admit)

    def _beat(self) -> None:
        now, engines = self.transport.now, self._engines.values()
        fleet = median([e.health.pace for e in engines if e.listed and e.health.pace] or [0.0])
        # A gateway that stood still itself heard nothing, and must not lay that on the engines or the line.
        stalled, self._beat_at = now - self._beat_at > 10 * BEAT, now
        for engine in engines:
            if stalled:
                engine.health.heard(now)
            before = engine.health.level
            engine.health.look(now, fleet)
            engine.ledger.learn(engine.health.pace)
            if (before < Health.LOW) != (engine.health.level < Health.LOW):
                news = "back in use" if before < Health.LOW else "held back"
                self.transport.log(f"engine {engine.entry.name} {news}")
        self.line.serve(self.admit)
        self._door.look(now, 0 if stalled else self.line.wait(now))
        while self._limits and self._limits[0][0] <= now:
            batch = heapq.heappop(self._limits)[1]
            if batch.held and batch.give_up_at <= now:
                self.give_up(batch)
        self._beating = bool(self._limits) or any(e.ledger.running for e in engines)
        if self._beating:
            self.transport.call_later(BEAT, self._beat)

    def learn(self, batch: Batch, work: int, memory: float, lasted: int) -> None:
        now, arrival = self.transport.now, batch.arrival
        if work:
            self.pace.learn(now, arrival.group, arrival.cost, work, lasted)
        if memory:
            self._peaks.learn(now, arrival.group, arrival.tables, arrival.memory, memory)
        if batch.group.is_load and lasted:
            self._peaks.loaded(arrival.tables)

    def free(self, batch: Batch, send: Dispatch) -> None:
        send.engine.ledger.change(-send.grant, -batch.threads, -1)

    def worth_more(self, batch: Batch) -> bool:
        """Whether another dispatch is allowed and could bring the batch home while it earns something."""
        now, arrival = self.transport.now, batch.arrival
        until = arrival.time_limit - self._margin if batch.group.late_utility else batch.goal_at
        return (len(batch.sends) < self.allowed.most_dispatches and self._ration.allows(now)
                and now + self.pace.run(now, arrival.group, arrival.cost) / 2 < until
                and any(e.listed and batch.may_go(now, e.entry) for e in self._engines.values()))

    def give_up(self, batch: Batch) -> None:
        """The final answer, at once; a pushback only where trying again does no harm."""
        batch.over = True
        if batch.harmless():
            wait = min(self.RETRY_AFTER, self.allowed.longest_retry_time) if self.allowed.retry_times else 0
            self.transport.push_back(batch.arrival.index, wait)
        else:
            self.transport.error(batch.arrival.index)
        self.finished(batch)

    def finished(self, batch: Batch) -> None:
        batch.held = False
        if batch.key is not None:
            following, rest = self.turns.next(self.transport.now, batch.key)
            if rest:
                self.transport.call_later(rest, lambda: self.finished(batch))
            elif following is not None and following.held and not following.sends:
                self.hold(following)
