"""Demand that fades and comes back, engines that keep little warm: warming played in virtual time. Pure.

The parts that serve (`Forecasts`, `wishes`, `plan`, `Trust`) against none, the most popular of late, and one
that knows what will be asked, each at the same budget of work, on the same seeded demand."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np

from vanerelay.warming.forecast import Floats, Forecasts
from vanerelay.warming.gain_experiment import Trust
from vanerelay.warming.plan import Budget, Plan, plan
from vanerelay.warming.prefetch_value import AT_HOME, Believed, Place, Wish, shares, wishes

KINDS = ("exponential", "power", "weekly", "second life", "flash", "unforeseeable")
FORESEEN = KINDS[:4]
WAYS = ("none", "popular", "ours", "knowing")
GROUPS, OWNERS, ENGINES, KEEPS, CORES = 240, 6, 6, 60, 4.0
READING = 1.0  # core seconds that a cold read takes more
HORIZON, PRICE, PACE = 30.0, 0.1, 2.0
NOTICED = 3.0  # seconds from a publication until it is asked for
WEEK = 240.0  # seconds that stand for a week


@dataclass
class Demand:
    """`rates`: reads a second by second and table group; `loads`: the groups published in each second."""

    rates: Floats
    loads: list[list[int]]


def demand(kind: str, seconds: int, seed: int) -> Demand:
    chance = np.random.default_rng([seed, KINDS.index(kind)])
    rates = np.full((seconds, GROUPS), 0.002)
    loads = [list[int]() for _ in range(seconds)]
    at = np.arange(seconds, dtype=float)
    for group in range(GROUPS):
        owner = np.random.default_rng([seed, group % OWNERS])
        half, theta = owner.uniform(10, 60), owner.uniform(0.9, 1.8)
        height = 4.0 * chance.lognormal(0.0, 0.7)
        if kind in ("exponential", "power", "second life"):
            moment = chance.uniform(0, 400)
            while moment < seconds:
                age = np.maximum(0.0, at - moment)
                shape = (1 + age / 10) ** -theta if kind == "power" else 0.5 ** (age / half)
                own = height * shape * (at >= moment + NOTICED)
                if kind == "second life":
                    later = moment + half * chance.uniform(3, 6)
                    own += height / 2 * 0.5 ** (np.maximum(0.0, at - later) / half) * (at >= later)
                rates[:, group] = np.where(at >= moment, 0.002 + own, rates[:, group])
                loads[int(moment)].append(group)
                moment += chance.uniform(300, 600)
        elif kind == "weekly":
            first, lasts = chance.uniform(0, WEEK), chance.uniform(10, 30)
            phase = (at - first - NOTICED) % WEEK
            rates[:, group] += height * np.exp(-phase / lasts)
            for moment in np.arange(first, seconds, WEEK):
                loads[int(moment)].append(group)
        elif kind == "flash":
            for moment in chance.uniform(0, seconds, 3):
                age = at - moment
                rates[:, group] += 3 * height * ((age >= 0) & (age < chance.uniform(5, 25)))
        else:
            moment = 0
            while moment < seconds:
                lasts = int(chance.integers(3, 12))
                if chance.random() < 0.03:
                    rates[moment : moment + lasts, group] = height * chance.uniform(0.1, 2)
                moment += lasts
    return Demand(rates, loads)


@dataclass
class Played:
    """`read`: core seconds that reads spent on reading; `warmed`: that orders did; `met`: reads that found
    what they wanted warm."""

    reads: int = 0
    read: float = 0.0
    warmed: float = 0.0
    part: float = 1.0
    judged: int = 0
    right: int = 0
    halves: list[float] = field(default_factory=list)

    @property
    def met(self) -> float:
        return 1.0 - self.read / READING / max(1, self.reads)


def play(kind: str, way: str, seconds: int = 1200, seed: int = 1) -> Played:
    wanted, chance, found = demand(kind, seconds, seed), random.Random(f"{seed}/{way}"), Played()
    draws = np.random.default_rng([seed, 99])
    places = [Place(f"e{number}", CORES, 0.5, KEEPS) for number in range(ENGINES)]
    by, parts = {one.name: one for one in places}, [shares(group, places) for group in range(GROUPS)]
    caches = {one.name: Believed(KEEPS) for one in places}
    forecasts = Forecasts(GROUPS, WEEK if kind == "weekly" else 0.0)
    trust, budget = Trust(PRICE), Budget(PACE, 10.0)
    late, loaded = np.zeros(GROUPS), np.zeros((seconds, GROUPS))
    for second, groups in enumerate(wanted.loads):
        loaded[second, groups] = 1.0
    open_ = list[tuple[float, bool, Wish]]()
    spent = defaultdict[tuple[int, str], float](float)
    for second in range(seconds):
        now = float(second)
        for group in wanted.loads[second]:
            for cache in caches.values():
                cache.old(group)
            forecasts.published(now, group, f"owner {group % OWNERS}")
        counts = draws.poisson(wanted.rates[second])
        reads = {int(group): int(counts[group]) for group in np.nonzero(counts)[0]}
        for group, number in reads.items():
            at = draws.multinomial(number, parts[group])
            for place, came in enumerate(at):
                if came:
                    cache = caches[places[place].name]
                    found.reads += int(came)
                    if group not in cache.groups:
                        found.read += READING
                        spent[group, places[place].name] += READING
                    cache.read(now, group)
        late = 0.8 * late + counts
        forecasts.update(now + 1.0, reads)
        while open_ and open_[0][0] <= now:
            _, done, wish = open_.pop(0)
            trust.outcome(done, spent.pop((wish.group, wish.engine), 0.0), wish.cost)
        if way == "none":
            continue
        left = budget.left(now, trust.part if way == "ours" else 1.0)
        if way == "ours":
            forecasts.within(HORIZON)
            told = wishes(now, forecasts, places, caches, {}, READING, PRICE, HORIZON, list(forecasts.rows))
            compared = {(wish.group, wish.engine) for _, done, wish in open_ if not done}
            made = plan(told, by, left, trust.undone, chance, compared, budget.bar)
        else:
            rate = late / 5 if way == "popular" else wanted.rates[second + 1 : second + 1 + int(HORIZON)]
            ahead = loaded[second + 1 : second + 1 + int(HORIZON)]
            made = _plan(now, way, rate, places, parts, caches, left, chance, ahead)
        for wish in made.done:
            caches[wish.engine].read(now, wish.group)
            found.warmed += wish.cost
            budget.spend(wish.cost)
        if way == "ours":
            for done, some in ((True, made.done), (False, made.left)):
                for wish in some:
                    spent.pop((wish.group, wish.engine), None)
                    open_.append((now + HORIZON, done, wish))
    found.part, found.judged, found.right = trust.part, forecasts.judged, forecasts.right
    if kind == "exponential" and way == "ours":
        for group in range(GROUPS):
            half = np.random.default_rng([seed, group % OWNERS]).uniform(10, 60)
            if group in forecasts.rows and forecasts._reads[forecasts.rows[group]] > 20:
                found.halves.append(forecasts.half_life(group) / half)
    return found


def _plan(
    now: float,
    way: str,
    rate: Floats,
    places: list[Place],
    parts: list[Floats],
    caches: dict[str, Believed],
    left: float,
    chance: random.Random,
    next_: Floats,
) -> Plan:
    """What the most popular of late would be, or one that knows: by the chance of a read, as ours."""
    stays = [min(HORIZON, caches[one.name].stays(now)) for one in places]
    # One that knows also knows when a load will make it useless.
    kept = np.cumprod(1 - next_, axis=0) if way == "knowing" else rate
    sums = np.cumsum(rate * kept, axis=0) if way == "knowing" else rate

    def value(group: int, place: int, span: float) -> float:
        if way == "popular":
            whole = sums[group] * span
        else:
            whole = sums[min(len(sums) - 1, int(span)), group] if len(sums) else 0.0
        return float(1.0 - np.exp(-whole * parts[group][place]))

    told, most = list[Wish](), sums if way == "popular" else sums[-1] if len(sums) else np.zeros(GROUPS)
    for group in np.argsort(-most)[:200]:
        for place in np.argsort(-parts[group])[:AT_HOME]:
            cache = caches[places[place].name]
            if group in cache.groups:
                continue
            out = cache.next_out
            chances = value(int(group), int(place), stays[place])
            again = value(out, int(place), stays[place]) if out is not None else 0.0
            worth = chances - PRICE - (1.0 - chances) * again
            if worth > 0:
                told.append(Wish(int(group), places[place].name, worth * READING, READING, worth))
    told.sort(key=lambda wish: -wish.worth)
    return plan(told, {one.name: one for one in places}, left, 0.0, chance)
