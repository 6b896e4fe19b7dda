"""Every decision of vanerelay: what runs, where, with how much memory, and what is given up.

How to call it: make one Gateway for each life of a process. Hand it every change of the list of
engines (listed, list_failed) and every batch (take, which gives a Batch). All that happens to a
batch later is a call on that Batch: ended, noted, started, left. The Gateway answers through the
Transport of vanerelay/interface.py, where all types that cross the border are found. Times are
whole tenths of a millisecond; batches and engines go by the caller's small indices.
"""
from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from statistics import median

from vanerelay.interface import (
    MILLISECOND, NEVER_RAN, SECOND, Allowances, Arrival, ColdStart, Customer, Effect, EngineEntry,
    EngineState, LoadReport, MachineKind, NoteKind, Outcome, Place, RationTerms, Scope, ServiceGroup, Transport,
)

BEAT = 20 * MILLISECOND  # how often the line, the limits and the engines' health are looked over
UNSTOPPED = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED})  # may be running still


class Ring:
    """Sums over a span of time, in fixed buckets that are used again in turn."""

    def __init__(self, span: int, fields: int, buckets: int = 10) -> None:
        self._width = max(1, -(-span // buckets))
        self._sums = [[0.0] * fields for _ in range(buckets + 1)]
        self._stamps = [-1] * (buckets + 1)

    def add(self, now: int, *values: float) -> None:
        stamp = now // self._width
        slot = stamp % len(self._sums)
        if self._stamps[slot] != stamp:
            self._stamps[slot] = stamp
            self._sums[slot] = [0.0] * len(values)
        for field, value in enumerate(values):
            self._sums[slot][field] += value

    def total(self, now: int, field: int, short: bool = False) -> float:
        """At least the whole span is summed; with `short`, never more than the span."""
        oldest = now // self._width - len(self._sums) + (3 if short else 1)
        return sum(s[field] for s, stamp in zip(self._sums, self._stamps, strict=True) if stamp >= oldest)


class Estimate:
    """Mends told figures: least squares of the log of what was needed on the log of what was told."""

    MEMORY = 200  # answers that count; older ones fade
    FAITH = 2.0  # answers' worth of trust that told figures get before any came

    def __init__(self) -> None:
        self.seen = 0
        self._x = self._y = self._xx = self._xy = self._yy = 0.0

    def learn(self, told: float, real: float) -> None:
        self.seen += 1
        part = 1.0 / min(self.seen, self.MEMORY)
        dx, dy = math.log(max(told, 1.0)) - self._x, math.log(max(real, 1.0)) - self._y
        self._x, self._y = self._x + part * dx, self._y + part * dy
        self._xx += part * ((1 - part) * dx * dx - self._xx)
        self._xy += part * ((1 - part) * dx * dy - self._xy)
        self._yy += part * ((1 - part) * dy * dy - self._yy)

    def slope(self) -> float:
        faith = self.FAITH / (self.seen + self.FAITH)
        return min(1.0, max(0.0, (self._xy + faith) / (self._xx + faith)))

    def log(self, told: float) -> float:
        """The log of the figure to expect; of the told one where nothing was learned."""
        x = math.log(max(told, 1.0))
        return self._y + self.slope() * (x - self._x) if self.seen else x

    def spread(self) -> float:
        return math.sqrt(max(0.0, self._yy - self.slope() * self._xy)) if self.seen > 1 else 0.0


class Peaks:
    """Grants from remembered peaks, by service group and table group.

    One shape's runs differ several times over, and the last peak alone would leave half of them short.
    So a peak is remembered against what was told of its batch: as the mean of its log over the
    expected one. It harms nothing where estimates are worthless, for their slope is then learned as 0.
    """

    MARGIN = 1.25  # over an expected peak, where the spread asks for no more
    SPREADS = 1.0  # how many spreads of past peaks the margin covers
    STEP = 1.12  # ladder of buckets: each this much over the one below
    KEPT = 30 * SECOND
    RUNS = 20  # runs that an entry averages

    def __init__(self, groups: int) -> None:
        self._shapes: dict[tuple[int, int], tuple[float, int, int]] = {}  # offset, runs, until
        self._told = [Estimate() for _ in range(groups)]

    def size(self, now: int, group: int, tables: int, told: float, cap: float) -> float:
        estimate = self._told[group]
        offset, _, until = self._shapes.get((group, tables), (0.0, 0, 0))
        if not told and not estimate.seen:
            return 0.0
        margin = max(math.log(self.MARGIN), self.SPREADS * estimate.spread())
        wanted = estimate.log(told) + margin + (offset if until > now else 0.0)
        step = math.log(self.STEP)
        return min(cap, math.exp(step * math.ceil(wanted / step - 1e-9)))

    def learn(self, now: int, group: int, tables: int, told: float, peak: float) -> None:
        offset, runs, until = self._shapes.get((group, tables), (0.0, 0, 0))
        runs = runs + 1 if until > now else 1
        miss = math.log(max(peak, 1.0)) - self._told[group].log(told) if self._told[group].seen else 0.0
        offset += (miss - offset) / min(runs + 2, self.RUNS)
        self._shapes[group, tables] = (offset, runs, now + self.KEPT)
        self._told[group].learn(told, peak)

    def loaded(self, tables: int) -> None:
        for key in [key for key in self._shapes if key[1] == tables]:
            del self._shapes[key]


class Pace:
    """What batches cost and how long they run, by service group, learned from answers."""

    def __init__(self, groups: Sequence[ServiceGroup]) -> None:
        self._groups = groups
        self._told = [Estimate() for _ in groups]
        self._ran = [Ring(20 * SECOND, 2) for _ in groups]  # lasted, ideal
        self._came = [Ring(20 * SECOND, 2) for _ in groups]  # count, work

    def learn(self, now: int, group: int, told: int, work: int, lasted: int) -> None:
        self._told[group].learn(told, work)
        self._ran[group].add(now, lasted, work / self._groups[group].threads)

    def came(self, now: int, group: int, told: int) -> None:
        self._came[group].add(now, 1, self.work(group, told))

    def work(self, group: int, told: int) -> float:
        """The work of all threads of a batch."""
        estimate = self._told[group]
        return math.exp(estimate.log(told)) if told or estimate.seen else self._groups[group].goal / 4

    def usual(self, now: int, group: int) -> float:
        """The group's mean work, from arrivals: those that returned in a crowd are the light ones."""
        mean = self._came[group].total(now, 1) / max(1.0, self._came[group].total(now, 0))
        return mean * math.exp(self._told[group].spread() ** 2 / 2)

    def run(self, now: int, group: int, told: int) -> float:
        ring = self._ran[group]
        slowdown = (ring.total(now, 0) + 1) / (ring.total(now, 1) + 1)
        return self.work(group, told) / self._groups[group].threads * max(1.5, slowdown)


class Ledger:
    """This gateway's own grants and threads on one engine, against its slice.

    Memory alone lets in so many light batches that an engine does less work in all: the slice
    holds threads too, as many a core as the engine's answers show it to bear.
    """

    START, LEAST, MOST = 2.0, 0.7, 3.0  # threads a core
    CROWDED = 2.5  # running this many times longer than alone means too many threads
    GROW, SHRINK = 0.01, 0.97  # a beat

    def __init__(self, memory: float, cores: int, share: float) -> None:
        self.memory, self.cores, self._share = max(1.0, memory), max(1, cores), share
        self.granted, self.running, self.threads = 0.0, 0, 0
        self.width = self.START

    def room(self, level: float) -> float:
        return self.memory * self._share * level - self.granted

    def fits(self, grant: float, threads: int, level: float) -> bool:
        return grant <= self.room(level) and (
            self.threads + threads <= self.cores * self.width * self._share * level)

    def own(self) -> float:
        """The part of the whole engine that this gateway's dispatches fill."""
        return max(self.granted / self.memory, self.threads / (self.cores * self.width))

    def learn(self, pace: float) -> None:
        if pace > self.CROWDED:
            self.width = max(self.LEAST, self.width * self.SHRINK)
        elif pace > 0.0:
            self.width = min(self.MOST, self.width + self.GROW)

    def begin(self, grant: float, threads: int) -> None:
        self.granted, self.threads, self.running = self.granted + grant, self.threads + threads, self.running + 1

    def end(self, grant: float, threads: int) -> None:
        self.granted = max(0.0, self.granted - grant)
        self.threads, self.running = self.threads - threads, self.running - 1


class Ramp:
    """What a freshly started engine may be sent: this gateway's part of the budget of rule 4."""

    BUSY = 0.85  # capacity is the rate at which the cores are this busy
    CAUTION = 0.7  # part of the budget used: batches cost more or less than their group's usual

    def __init__(self, cold: ColdStart, gateways: int, cores: int) -> None:
        self._cold, self._part = cold, self.CAUTION / gateways
        self._capacity = max(1, cores) * self.BUSY
        self._sent = Ring(max(1, cold.window), 1)
        self.began = -cold.warm_after

    def share(self, now: int) -> float:
        """The part of its capacity that the engine has at least."""
        age = (now - self.began) / max(1, self._cold.warm_after)
        return min(1.0, self._cold.share + (1.0 - self._cold.share) * max(0.0, age))

    def allows(self, now: int, work: float) -> bool:
        if now - self.began >= self._cold.warm_after + self._cold.window:
            return True
        then = max(self.began, now - self._cold.window)
        budget = self._cold.multiple * self.share(then) * self._capacity * self._cold.window * self._part
        return self._sent.total(now, 0) + work <= budget

    def sent(self, now: int, work: float) -> None:
        self._sent.add(now, work)


class Health:
    """One figure for an engine, from 0 (silent or lost) to 1 (sound), from what its answers show."""

    QUIET = 600 * MILLISECOND  # shorter silences are taken for pauses
    PATIENCE = 3.0  # a dispatch out for this many times its expected run is overdue
    OVERDUE = 2  # overdue dispatches, with nothing heard since, that make an engine silent
    RISE = 0.5  # most that the level may recover in a second
    LOW = 0.15  # under this an engine gets one trial batch at a time

    def __init__(self) -> None:
        self._ring = Ring(4 * SECOND, 4, 8)  # ends, errors, lasted, ideal
        self._dues: dict[int, int] = {}
        self._heard = self._looked = self._missed = 0
        self._lost = False
        self.level = 1.0
        self.tried = 0

    def sent(self, now: int, key: int, run: float) -> None:
        self._dues[key] = now + int(max(self.QUIET, self.PATIENCE * run))
        self.tried = now

    def heard(self, now: int) -> None:
        self._heard, self._missed, self._lost = now, 0, False

    def ended(self, now: int, key: int, outcome: Outcome, lasted: int, ideal: float) -> None:
        due = self._dues.pop(key, now)
        if outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
            self._lost, self.level = True, 0.0
        elif outcome is Outcome.TIMED_OUT:
            self._missed += now > due
            self._ring.add(now, 1, 0, lasted, ideal)
        elif outcome is Outcome.RETURNED:
            self._ring.add(now, 1, 0, lasted, ideal)
        elif outcome in (Outcome.ERRORED, Outcome.PUSHED_BACK):
            self._ring.add(now, 1, 1, 0, 0)

    def pace(self, now: int) -> float:
        """How many times longer than alone its batches ran of late; 0 where too few are known."""
        ideal = self._ring.total(now, 3)
        return self._ring.total(now, 2) / ideal if ideal else 0.0

    def look(self, now: int, fleet_pace: float) -> None:
        ends, errors, pace = self._ring.total(now, 0), self._ring.total(now, 1), self.pace(now)
        target = (1.0 - errors / (ends + 1.0)) ** 3
        if pace > 0.0 and fleet_pace > 0.0:
            target *= min(1.0, 1.5 * fleet_pace / pace)
        if now - self._heard > self.QUIET:
            overdue = self._missed + sum(now > due for due in self._dues.values())
            target *= overdue < self.OVERDUE
        rise = self.RISE * (now - self._looked) / SECOND
        self.level, self._looked = min(target * (not self._lost), self.level + rise), now


class Engine:
    """One engine as this gateway knows it."""

    SPARE = 0.6  # filled less than this by all gateways, it may be sent more than the slice

    def __init__(self, entry: EngineEntry, ledger: Ledger, ramp: Ramp) -> None:
        self.entry, self.ledger, self.ramp, self.health = entry, ledger, ramp, Health()
        self.listed, self.lost = True, False
        self._report: LoadReport | None = None
        self._own_then = 0.0

    def level(self, now: int) -> float:
        return self.health.level * self.ramp.share(now)

    def heard(self, now: int, report: LoadReport | None) -> None:
        self.health.heard(now)
        if report is not None:
            self._report, self._own_then = report, self.ledger.own()

    def restarted(self, began: int) -> None:
        self.ramp.began, self._report = max(self.ramp.began, began), None

    def load(self, threads: float) -> float:
        """Reported utilisation plus own sends since; own alone where nothing is reported."""
        seen, ledger = self._report, self.ledger
        if seen is None:
            return ledger.own()
        shares = [s for s in (seen.cores_busy, seen.memory_granted, seen.disks_busy) if s is not None]
        if seen.running is not None:
            shares.append(seen.running * threads / (ledger.cores * ledger.width))
        return max(0.0, max(shares, default=self._own_then) + ledger.own() - self._own_then)

    def fits(self, now: int, grant: float, threads: int, load: float) -> bool:
        """Whole grants fit the slice. Departure: other gateways' unused part may be borrowed, where
        reports show the engine under-filled; that serves a gateway with more traffic than its slice."""
        if not self.ledger.running or self.ledger.fits(grant, threads, self.level(now)):
            return True
        whole = self.level(now) * self.SPARE
        return self._report is not None and load + max(
            grant / self.ledger.memory, threads / (self.ledger.cores * self.ledger.width)) <= whole


class Picker:
    """Draws among engines that fit: the less loaded and the sounder, the likelier."""

    SHARP = 6.0
    NEAR = 1.3  # an engine of the own location is this much likelier: crossing costs a little

    def __init__(self, chance: random.Random, location: int) -> None:
        self._chance, self._location = chance, location

    def draw(self, now: int, engines: Sequence[Engine], loads: dict[Engine, float]) -> Engine:
        weights = [
            (self.NEAR if e.entry.location == self._location else 1.0) * e.ledger.cores
            * math.exp(-self.SHARP * min(loads[e] / max(0.05, e.level(now)), 9.0)) for e in engines]
        return self._chance.choices(engines, weights)[0]


class Door:
    """Under overload, turns away what earns least for its work, before it has cost anything.

    Overload is a line whose head never waited less than TARGET for a while. Guards also against
    bursts and heavy batches; it may harm a group whose batches all earn little for their work.
    """

    TARGET = 300 * MILLISECOND
    STEP = 0.02  # the part of the offered work by which the bar moves at a time
    MOST = 0.95
    EVERY = 200 * MILLISECOND
    KEPT = 200  # arrivals that stand for the traffic

    def __init__(self) -> None:
        self._came: deque[tuple[float, float]] = deque(maxlen=self.KEPT)
        self._least, self._until = math.inf, 0
        self.share, self._bar = 0.0, 0.0

    def admits(self, utility: float, work: float) -> bool:
        self._came.append((utility / max(1.0, work), work))
        return not self.share or self._came[-1][0] >= self._bar

    def look(self, now: int, wait: int) -> None:
        self._least = min(self._least, wait)
        if now < self._until:
            return
        excess = self._least / self.TARGET - 1.0
        self.share = min(self.MOST, max(0.0, self.share + self.STEP * min(3.0, excess)))
        self._least, self._until = math.inf, now + self.EVERY
        left = self.share * sum(work for _, work in self._came)
        for density, work in sorted(self._came):
            self._bar, left = density, left - work
            if left < 0:
                break


class Ration:
    """Rule 7: dispatches beyond each batch's first, in any window."""

    def __init__(self, terms: RationTerms) -> None:
        self._terms = terms
        self._ring = Ring(max(1, terms.span), 2, 50)

    def took(self, now: int) -> None:
        self._ring.add(now, 1, 0)

    def allows(self, now: int) -> bool:
        if not self._terms.span:
            return True
        taken = self._ring.total(now, 0, short=True)
        return self._ring.total(now, 1) + 1 <= self._terms.free + self._terms.share * taken

    def spend(self, now: int) -> None:
        self._ring.add(now, 0, 1)


class Turns:
    """Rule 5: batches of one key run one at a time, in the order taken."""

    def __init__(self, pause: int) -> None:
        self._pause = pause
        self._queues: dict[int, deque[Batch]] = {}
        self._rests: dict[int, tuple[int, Batch]] = {}

    def join(self, key: int, batch: Batch) -> None:
        self._queues.setdefault(key, deque()).append(batch)

    def unsure(self, now: int, key: int, batch: Batch) -> None:
        """A dispatch of this key may still run: later batches let the key rest."""
        self._rests[key] = (now + self._pause + 1, batch)

    def ready(self, now: int, key: int, batch: Batch) -> bool:
        until, owner = self._rests.get(key, (0, batch))
        return self._queues[key][0] is batch and (owner is batch or now >= until)

    def next(self, now: int, key: int) -> tuple[Batch | None, int]:
        """Drops what is settled; gives the batch whose turn comes, and how long it must rest."""
        queue = self._queues.get(key)
        while queue and queue[0].settled():
            queue.popleft()
        rest = max(0, self._rests.get(key, (0, None))[0] - now)
        if not queue:
            self._queues.pop(key, None)
            if not rest:
                self._rests.pop(key, None)
            return None, rest
        return queue[0], rest


class Dispatch:
    """One sending of a batch to an engine."""

    __slots__ = ("engine", "grant", "out", "outcome", "sent")

    def __init__(self, engine: Engine, grant: float, sent: int) -> None:
        self.engine, self.grant, self.sent = engine, grant, sent
        self.out, self.outcome = True, Outcome.RETURNED

    def may_have_run(self) -> bool:
        return self.out or self.outcome not in NEVER_RAN


class Batch:
    """The handle of one batch: all that happens to it after it was taken is a call here."""

    def __init__(self, gateway: Gateway, arrival: Arrival, group: ServiceGroup, taken: int, rank: int) -> None:
        self._gateway, self.arrival, self.group, self.taken, self.rank = gateway, arrival, group, taken, rank
        self.sends: list[Dispatch] = []
        self.held = self.over = False
        self.held_since = taken
        self.goal_at = self.give_up_at = arrival.time_limit

    def out(self) -> bool:
        return any(send.out for send in self.sends)

    def settled(self) -> bool:
        return self.over and not self.out()

    def harmless(self) -> bool:
        """Rule 2: whether a pushback may say that trying again does no harm."""
        if self.group.effect is Effect.REPEATABLE or not any(s.may_have_run() for s in self.sends):
            return True
        return self.group.effect is Effect.REFERENCED and self.group.scope is Scope.ALL

    def may_go(self, now: int, engine: EngineEntry) -> bool:
        """Rules 2 and 6: whether a dispatch to this engine is allowed."""
        group = self.group
        if group.locations is not None and engine.location not in group.locations:
            return False
        if group.kinds is not None and engine.kind not in group.kinds:
            return False
        for send in self.sends:
            if not send.may_have_run() or group.effect is Effect.REPEATABLE:
                continue
            if group.effect is Effect.ONCE_ONLY or now >= send.sent + group.window - 1:
                return False
            first = send.engine.entry
            if group.scope is Scope.LOCATION and first.location != engine.location:
                return False
            if group.scope is Scope.CELL and first.cell != engine.cell:
                return False
        return True

    def lane(self) -> tuple[object, ...]:
        """Batches that may go to the same engines stand in one line; all unbound ones share one."""
        bound = () if self.group.effect is Effect.REPEATABLE else tuple(
            send.engine.entry.engine for send in self.sends if send.may_have_run())
        return (self.group.locations, self.group.kinds, bound)

    def ended(self, dispatch: int, outcome: Outcome, lasted: int, over: bool, work: int, memory: float,
              report: LoadReport | None) -> None:
        self.over = self.over or over
        self._gateway.ended(self, self.sends[dispatch], outcome, lasted, work, memory, report)

    def noted(self, dispatch: int, kind: NoteKind, value: float) -> None:
        self._gateway.noted(self, self.sends[dispatch], kind, value)

    def started(self, dispatch: int) -> None:
        """A streamed answer has begun: it is the client's now, and ends with its dispatch."""
        self._gateway.noted(self, self.sends[dispatch], NoteKind.PROGRESS, 0.0)

    def left(self) -> None:
        self.over = True
        self._gateway.finished(self)


class Gateway:
    """One gateway: takes batches, and decides alone."""

    WAIT_BOUND = 2 * SECOND  # a head held longer gets a cut grant
    RETRY_AFTER = SECOND  # when a batch given up may come again, where clients can be told

    def __init__(self, transport: Transport, seed: int, groups: Sequence[ServiceGroup],
                 kinds: Sequence[MachineKind], place: Place, allowed: Allowances, cold: ColdStart,
                 ration: RationTerms, customers: Sequence[Customer], order_pause: int, tick: int) -> None:
        self._transport, self._groups, self._kinds, self._place = transport, groups, kinds, place
        self._allowed, self._cold, self._customers = allowed, cold, customers
        self._margin = 2 * tick + BEAT + 1  # kept free before a time limit
        self._peaks, self._pace, self._ration = Peaks(len(groups)), Pace(groups), Ration(ration)
        self._turns = Turns(order_pause)
        self._picker, self._door = Picker(random.Random(seed), place.location), Door()
        self._threads = 1.0  # the mean of what came
        self._engines: dict[int, Engine] = {}
        self._lines: dict[tuple[object, ...], list[tuple[int, Batch]]] = {}
        self._limits: list[tuple[int, int, Batch]] = []
        self._rank = 0
        self._beating = False
        if allowed.on_request:
            transport.subscribe()

    # The list of engines.

    def listed(self, entries: Sequence[EngineEntry], whole: bool) -> None:
        now = self._transport.now
        if whole:
            for engine in self._engines.values():
                engine.listed = False
        for entry in entries:
            engine = self._engines.get(entry.engine) or self._new_engine(entry)
            if entry.started:
                engine.restarted(entry.started)
            engine.entry, engine.listed = entry, entry.state is EngineState.UP
        self._serve_line(now)

    def list_failed(self) -> None:
        self._transport.call_later(SECOND, self._transport.subscribe)

    def _new_engine(self, entry: EngineEntry) -> Engine:
        kind = self._kinds[entry.kind] if entry.kind < len(self._kinds) else MachineKind(1, 0.0)
        ramp = Ramp(self._cold, self._place.gateways, kind.cores)
        engine = Engine(entry, Ledger(kind.memory, kind.cores, 1.0 / self._place.gateways), ramp)
        self._engines[entry.engine] = engine
        return engine

    # The ordinary path of a batch.

    def take(self, arrival: Arrival) -> Batch:
        now, group = self._transport.now, self._groups[arrival.group]
        self._rank += 1
        batch = Batch(self, arrival, group, now, self._rank)
        work = self._pace.work(arrival.group, arrival.cost)
        batch.goal_at = min(arrival.time_limit, now + group.goal + int(group.goal_stretch * work / group.threads))
        self._ration.took(now)
        self._pace.came(now, arrival.group, arrival.cost)
        self._threads += (group.threads - self._threads) / 100
        if not self._door.admits(group.utility, work) or arrival.time_limit <= now + self._margin:
            self._give_up(batch)
            return batch
        if group.in_order and arrival.key is not None:
            self._turns.join(arrival.key, batch)
        self._hold(batch)
        if not group.in_order or arrival.key is None or self._turns.ready(now, arrival.key, batch):
            self._queue(batch)
            self._serve_line(now)
        return batch

    def _serve(self, batch: Batch) -> bool:
        """Size, fit, draw, send. False: no engine fits, and the batch waits holding nothing."""
        now, arrival = self._transport.now, batch.arrival
        usual = self._pace.usual(now, arrival.group)
        able = [e for e in self._engines.values() if self._able(now, batch, e, usual)]
        if not able:
            return False
        memory = min(e.ledger.memory for e in able)
        cap = memory * min(1.0 / 3.0, self._allowed.most_grant) if memory else math.inf
        grant = self._peaks.size(now, arrival.group, arrival.tables, arrival.memory, cap)
        threads = batch.group.threads
        loads = {e: e.load(self._threads) for e in able}
        fitting = [e for e in able if e.fits(now, grant, threads, loads[e])]
        if not fitting:
            bound = min(self.WAIT_BOUND, (arrival.time_limit - batch.taken) // 2)
            if now - batch.held_since < bound:
                return False
            fitting = [max(able, key=lambda e: e.ledger.room(e.level(now)))]
            grant = max(min(grant, fitting[0].ledger.room(1.0)), grant / 4)
        engine = self._picker.draw(now, fitting, loads)
        if self._allowed.grants or self._allowed.priorities:
            self._transport.grant(arrival.index, round(grant), 1)
        if batch.sends:
            self._ration.spend(now)
        run = self._pace.run(now, arrival.group, arrival.cost)
        batch.sends.append(Dispatch(engine, grant, now))
        batch.held = False
        engine.ledger.begin(grant, threads)
        engine.ramp.sent(now, usual)
        engine.health.sent(now, id(batch.sends[-1]), run)
        self._transport.dispatch(arrival.index, engine.entry.engine, self._time_out(now, batch, run))
        return True

    def _able(self, now: int, batch: Batch, engine: Engine, usual: float) -> bool:
        """Rules 2, 3, 4, 6, and whether the engine is in health to be sent this batch."""
        if not engine.listed or not batch.may_go(now, engine.entry) or not engine.ramp.allows(now, usual):
            return False
        if engine.health.level >= Health.LOW:
            return True
        # A trial, with little at stake: one batch at a time that may run again.
        return (batch.group.effect is Effect.REPEATABLE and not engine.ledger.running
                and now - engine.health.tried >= SECOND)

    def _time_out(self, now: int, batch: Batch, run: float) -> int:
        """Until the limit, unless another dispatch could still bring the batch home in time."""
        left = batch.arrival.time_limit - now - self._margin + BEAT
        if batch.group.effect is Effect.ONCE_ONLY or len(batch.sends) >= self._allowed.most_dispatches:
            return max(1, left)
        return max(1, min(left, int(max(8 * run, (batch.goal_at - now) * 0.7))))

    # The line.

    def _hold(self, batch: Batch) -> None:
        now, arrival = self._transport.now, batch.arrival
        run = self._pace.run(now, arrival.group, arrival.cost)
        batch.held, batch.held_since = True, now
        batch.give_up_at = min(arrival.time_limit - self._margin, max(batch.goal_at - int(run), now + BEAT))
        heapq.heappush(self._limits, (batch.give_up_at, batch.rank, batch))
        if not self._beating:
            self._beating = True
            self._transport.call_later(BEAT, self._beat)

    def _queue(self, batch: Batch) -> None:
        heapq.heappush(self._lines.setdefault(batch.lane(), []), (batch.rank, batch))

    def _serve_line(self, now: int) -> None:
        """Freed room goes to the line's head, one batch at a time, in the order of arrival."""
        for lane in list(self._lines):
            line = self._lines[lane]
            while line and (not line[0][1].held or self._serve(line[0][1])):
                heapq.heappop(line)
            if not line:
                del self._lines[lane]

    def _beat(self) -> None:
        now = self._transport.now
        paces = [p for p in (e.health.pace(now) for e in self._engines.values() if e.listed) if p > 0.0]
        fleet = median(paces) if paces else 0.0
        for engine in self._engines.values():
            before = engine.health.level
            engine.health.look(now, fleet)
            engine.ledger.learn(engine.health.pace(now))
            if (before < Health.LOW) != (engine.health.level < Health.LOW):
                state = "held back" if engine.health.level < Health.LOW else "back in use"
                self._transport.log(f"engine {engine.entry.name} {state}")
        self._serve_line(now)
        heads = [line[0][1] for line in self._lines.values()]
        self._door.look(now, max((now - head.held_since for head in heads), default=0))
        while self._limits and self._limits[0][0] <= now:
            batch = heapq.heappop(self._limits)[2]
            if batch.held and not batch.over and batch.give_up_at <= now:
                self._give_up(batch)
        self._beating = bool(self._limits) or any(e.ledger.running for e in self._engines.values())
        if self._beating:
            self._transport.call_later(BEAT, self._beat)

    # What happens to a batch.

    def ended(self, batch: Batch, send: Dispatch, outcome: Outcome, lasted: int, work: int, memory: float,
              report: LoadReport | None) -> None:
        now, arrival, engine = self._transport.now, batch.arrival, send.engine
        send.out, send.outcome = False, outcome
        if outcome is Outcome.TIMED_OUT and not self._allowed.cancel:
            # The engine works on at what was given up: its memory stays booked for as long again.
            self._transport.call_later(
                min(2 * lasted, 20 * SECOND), lambda: self._release(engine, send.grant, batch.group.threads))
        else:
            engine.ledger.end(send.grant, batch.group.threads)
        if outcome not in (Outcome.TIMED_OUT, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.RESET):
            engine.heard(now, report)
        if outcome is Outcome.RETURNED:
            if engine.lost:
                engine.lost = False
                engine.restarted(send.sent)
            if work:
                self._pace.learn(now, arrival.group, arrival.cost, work, lasted)
            if memory:
                self._peaks.learn(now, arrival.group, arrival.tables, arrival.memory, memory)
            if batch.group.is_load:
                self._peaks.loaded(arrival.tables)
        elif outcome in (Outcome.RESET, Outcome.NO_CONNECTION):
            engine.lost = True
        work = work or int(self._pace.work(arrival.group, arrival.cost))
        engine.health.ended(now, id(send), outcome, lasted, work / batch.group.threads)
        if outcome in UNSTOPPED and batch.group.in_order and arrival.key is not None:
            self._turns.unsure(now, arrival.key, batch)
        if not batch.over and not batch.out():
            self._try_again(batch)
        elif batch.over:
            self.finished(batch)
        self._serve_line(now)

    def _release(self, engine: Engine, grant: float, threads: int) -> None:
        engine.ledger.end(grant, threads)
        self._serve_line(self._transport.now)

    def _try_again(self, batch: Batch) -> None:
        now, arrival, group = self._transport.now, batch.arrival, batch.group
        run = self._pace.run(now, arrival.group, arrival.cost)
        useful = batch.goal_at if group.late_utility <= 0.0 else arrival.time_limit - self._margin
        if (len(batch.sends) < self._allowed.most_dispatches and self._ration.allows(now)
                and now + run / 2 < useful
                and any(e.listed and batch.may_go(now, e.entry) for e in self._engines.values())):
            self._hold(batch)
            self._queue(batch)
        else:
            self._give_up(batch)

    def _give_up(self, batch: Batch) -> None:
        """The final answer, at once; a pushback only where trying again does no harm."""
        batch.over, batch.held = True, False
        if batch.harmless():
            wait = min(self.RETRY_AFTER, self._allowed.longest_retry_time) if self._allowed.retry_times else 0
            self._transport.push_back(batch.arrival.index, wait)
        else:
            self._transport.error(batch.arrival.index)
        self.finished(batch)

    def finished(self, batch: Batch) -> None:
        """It is over: the next batch of its key may have its turn."""
        batch.held = False
        key = batch.arrival.key
        if not batch.group.in_order or key is None:
            return
        following, rest = self._turns.next(self._transport.now, key)
        if rest:
            self._transport.call_later(rest, lambda: self.finished(batch))
        elif following is not None and following.held and not following.sends:
            self._queue(following)
            self._serve_line(self._transport.now)

    def noted(self, batch: Batch, send: Dispatch, kind: NoteKind, value: float) -> None:
        now, arrival = self._transport.now, batch.arrival
        send.engine.health.heard(now)
        if kind is NoteKind.SPILL:
            self._peaks.learn(now, arrival.group, arrival.tables, arrival.memory, send.grant + value)

    def probed(self, engine: int, outcome: Outcome, report: LoadReport | None) -> None:
        if outcome is Outcome.RETURNED:
            self._engines[engine].heard(self._transport.now, report)

    def heard(self, sender: int, data: bytes) -> None:
        """A peer's message; none is sent yet."""
