"""Whether new managers do worse than old ones at the same time. Pure: fed figures by slice of time.

A stage is compared block by block: a block is as many slices as it takes for enough batches on the new side,
its value the difference between what the new and the old managers did in the very same time, less the
difference that the same managers showed before they were changed. So a burst, a bad engine or a lost
location, which both sides meet, is blamed on neither. The mean difference is held in a confidence sequence
(Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas 2021, asymptotic; the normal mixture of Robbins), which may be
looked at at any time: over a whole change that changes nothing the chance of a stop is at most `chance`.
Weighed: docs/design/rollout.md."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from vanerelay.confidence import RunningVariance, half_width
from vanerelay.interface import SECOND, Duration

MEASURES = ("utility", "errored", "pushed back", "late", "slow", "dispatches")
BUCKETS = 48  # of latency, each a fifth over the one below, from 1 ms up
BUCKET = math.log(1.2)
FEW_BLOCKS = 5  # under which a variance says nothing
SLOW = 0.95  # the quantile before the change past which a batch counts as slow
TELLING = 30.0  # blocks, about where the sequence is made tightest
ENGINES_APART = (
    1.5  # engines out of reach, more for one side than for the other, that make it a matter of links
)
CROWDING = 1.5  # times what old managers hold of engines for the same work, that new ones hold
SWELLING = 0.25  # of the memory limit, that new managers' memory grew more than old ones'


def bucket(milliseconds: float) -> int:
    return min(BUCKETS - 1, max(0, int(math.log(max(1.0, milliseconds)) / BUCKET)))


@dataclass(frozen=True, slots=True)
class ClassCounts:
    """What became of one service group's batches at one manager: `met` in parts of the utility offered;
    `late`: answered past their goal or not at all; `times`: of those returned, by bucket of latency."""

    ended: int = 0
    met: float = 0.0
    errored: int = 0
    pushed: int = 0
    late: int = 0
    dispatches: int = 0
    times: tuple[int, ...] = ()

    def __add__(self, other: ClassCounts) -> ClassCounts:
        times = (
            tuple(a + b for a, b in zip(self.times, other.times, strict=True))
            if (self.times and other.times)
            else self.times or other.times
        )
        return ClassCounts(
            self.ended + other.ended,
            self.met + other.met,
            self.errored + other.errored,
            self.pushed + other.pushed,
            self.late + other.late,
            self.dispatches + other.dispatches,
            times,
        )


@dataclass(frozen=True, slots=True)
class GatewaySample:
    """One manager in one slice. `memory` in parts of its limit; `away`: engines that it does not reach;
    `held`: what it holds of engines, for each batch a second; `deaths`: ends of its process nobody
    ordered."""

    counts: Mapping[str, ClassCounts]
    memory: float = 0.0
    away: int = 0
    held: float = 0.0
    deaths: int = 0


@dataclass(frozen=True, slots=True)
class Guard:
    """Of one service group, or of all: `tolerance`, within which a difference is none; `loss`, the largest
    that a stage may pass with, both in parts of the batches (of the dispatches a batch: in dispatches)."""

    tolerance: float = 0.01
    loss: float = 0.05


@dataclass(frozen=True, slots=True)
class AnalysisTerms:
    """`chance`: of a false stop over the whole change; `stages`: how many there are; `block`: batches on the
    new side that make a block; `least`: blocks before anything passes; `longest`: of a stage, from which on
    it is held; `settle`: after a change, not judged; `slice`: how often figures are taken."""

    chance: float = 0.01
    stages: int = 3
    block: int = 40
    least: int = 8
    longest: Duration = 600 * SECOND
    settle: Duration = 3 * SECOND
    slice: Duration = SECOND


class Assessment(Enum):
    FINE = "fine"
    WORSE = "worse"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Verdict:
    """`why`: of WORSE, which figure by how much; of WAIT, what is missing."""

    word: Assessment
    why: tuple[str, ...] = ()


def value(measure: str, count: ClassCounts, slow_from: int) -> float | None:
    """Of one measure, 0 the best; None where nothing can be said."""
    if not count.ended:
        return None
    if measure == "utility":
        return 1.0 - count.met / count.ended
    if measure == "errored":
        return count.errored / count.ended
    if measure == "pushed back":
        return count.pushed / count.ended
    if measure == "late":
        return count.late / count.ended
    if measure == "slow":
        whole = sum(count.times)
        return sum(count.times[slow_from + 1 :]) / whole if whole else None
    return count.dispatches / count.ended


class Baseline(msgspec.Struct, frozen=True):
    """How managers did beside each other before the change: number, mean and variance of each difference."""

    beside: list[tuple[str, str, str, int, float, float]] = []
    times: dict[str, tuple[int, ...]] = {}
    utility: dict[str, tuple[int, float, float]] = {}


@dataclass(slots=True)
class _Series:
    """One measure of one group: differences block by block, and the noise that counting alone makes."""

    differences: RunningVariance = field(default_factory=RunningVariance)
    counted: float = 0.0  # variance of a difference by the number of batches alone, the mean over blocks


class CanaryAnalysis:
    """Of one whole change. `before` while nothing is changed yet, `during` a stage, `began` with each
    stage."""

    def __init__(self, guards: Mapping[str, Guard], terms: AnalysisTerms) -> None:
        """`guards` by service group, those that are to be judged."""
        self._guards, self.terms = guards, terms
        # One chance for each comparison that can stop the change.
        self._chance = terms.chance / (terms.stages * (len(guards) * len(MEASURES) + 3))
        self._was = defaultdict[tuple[str, str, str], RunningVariance](
            RunningVariance
        )  # manager, group, measure: beside the rest
        self._times = defaultdict[str, ClassCounts](ClassCounts)  # before, by group
        self._was_held, self._was_utility = (
            RunningVariance(),
            defaultdict[str, RunningVariance](RunningVariance),
        )
        self._waiting = defaultdict[str, dict[str, ClassCounts]](dict)  # manager: its block in the making
        self._slices = 0
        self.began(0)

    def began(self, now: int) -> None:
        """Another stage: what is judged is judged afresh, by its own share of the chance."""
        self._since = now
        self._series = defaultdict[tuple[str, str], _Series](_Series)
        self._now_utility = defaultdict[str, RunningVariance](RunningVariance)
        self._blocks = defaultdict[str, tuple[ClassCounts, ClassCounts]](
            lambda: (ClassCounts(), ClassCounts())
        )
        self._done = defaultdict[str, int](int)
        self._deaths = [0, 0]
        self._exposed = [0, 0]
        self._memory = (RunningVariance(), RunningVariance())
        self._first_memory = dict[str, float]()
        self._grown = dict[str, tuple[bool, float]]()
        self._held = (RunningVariance(), RunningVariance())
        self._apart = 0.0
        self._heard = self._left_alone = False

    # Before.

    def before(self, seen: Mapping[str, GatewaySample]) -> None:
        """A slice with nothing changed: how each manager does beside the rest, of itself."""
        for name, one in seen.items():
            for group in self._guards:
                count = one.counts.get(group, ClassCounts())
                self._times[group] = self._times[group] + count
                self._waiting[name][group] = self._waiting[name].get(group, ClassCounts()) + count
            if one.held:
                self._was_held.add(one.held)
        self._slices += 1
        blocks = [
            sum((waiting.get(group, ClassCounts()).ended for waiting in self._waiting.values()), 0)
            for group in self._guards
        ]
        if not blocks or min(blocks) < self.terms.block * max(2, len(seen)):
            return
        for group in self._guards:
            slow = self._slow_from(group)
            whole = sum(
                (waiting.get(group, ClassCounts()) for waiting in self._waiting.values()), ClassCounts()
            )
            for measure in MEASURES:
                usual = value(measure, whole, slow)
                for name, waiting in self._waiting.items():
                    own = value(measure, waiting.get(group, ClassCounts()), slow)
                    if own is not None and usual is not None:
                        self._was[name, group, measure].add(own - usual)
            usual_utility = value("utility", whole, slow)
            if usual_utility is not None:
                self._was_utility[group].add(usual_utility)
        self._waiting.clear()

    def told(self) -> Baseline:
        """What was seen before the change, for a controller that goes on from its record."""
        return Baseline(
            [(*key, spread.number, spread.mean, spread.variance) for key, spread in self._was.items()],
            {group: count.times for group, count in self._times.items()},
            {
                group: (spread.number, spread.mean, spread.variance)
                for group, spread in self._was_utility.items()
            },
        )

    def restore(self, told: Baseline) -> None:
        for name, group, measure, number, mean, variance in told.beside:
            self._was[name, group, measure] = RunningVariance.of(number, mean, variance)
        for group, times in told.times.items():
            self._times[group] = ClassCounts(sum(times), times=tuple(times))
        for group, known in told.utility.items():
            self._was_utility[group] = RunningVariance.of(*known)

    def _slow_from(self, group: str) -> int:
        """The bucket past which batches of the group were slow before."""
        times, seen = self._times[group].times, 0
        whole = sum(times)
        for place, number in enumerate(times):
            seen += number
            if seen >= SLOW * whole:
                return place
        return BUCKETS - 1

    # A stage.

    def during(
        self,
        now: int,
        seen: Mapping[str, GatewaySample],
        new: Collection[str],
        old: Collection[str],
        alone: bool = False,
    ) -> None:
        """A slice of a stage. `old` are those to compare with: only the freshly restarted, while that counts;
        `alone`: nobody old is left."""
        if now - self._since < self.terms.settle:
            for name in seen.keys() & (set(new) | set(old)):
                self._first_memory[name] = seen[name].memory
            return
        sides = [[seen[name] for name in names if name in seen] for names in (sorted(new), sorted(old))]
        for name, one in seen.items():  # of all that are old, also those that are not compared with
            place = 0 if name in new else 1
            self._deaths[place] += one.deaths
            self._exposed[place] += 1
        for place, side in enumerate(sides):
            for one in side:
                if one.held:
                    self._held[place].add(one.held)
        for name in seen:
            if name in new or name in old:
                first = self._first_memory.setdefault(name, seen[name].memory)
                self._grown[name] = name in new, seen[name].memory - first
        self._left_alone = alone
        if alone and sides[0]:
            self._alone(sides[0])
        if not all(sides):
            return
        self._heard = True
        means = [sum(one.away for one in side) / len(side) for side in sides]
        self._apart = 0.7 * self._apart + 0.3 * (means[0] - means[1])
        for group in self._guards:
            added = [
                sum((one.counts.get(group, ClassCounts()) for one in side), ClassCounts()) for side in sides
            ]
            mine, theirs = self._blocks[group]
            block = (mine + added[0], theirs + added[1])
            if min(block[0].ended, block[1].ended) < self.terms.block:
                self._blocks[group] = block
                continue
            self._blocks[group] = (ClassCounts(), ClassCounts())
            self._done[group] += 1
            self._close(group, block, [name for name in new if name in seen])

    def _alone(self, side: Collection[GatewaySample]) -> None:
        """Nobody to compare with: what can be seen is whether all do worse than before the stage, and
        processes."""
        self._heard = True
        for group in self._guards:
            mine = sum((one.counts.get(group, ClassCounts()) for one in side), self._blocks[group][0])
            if mine.ended < self.terms.block:
                self._blocks[group] = (mine, ClassCounts())
                continue
            self._blocks[group] = (ClassCounts(), ClassCounts())
            self._done[group] += 1
            utility = value("utility", mine, 0)
            if utility is not None:
                self._now_utility[group].add(utility)

    def _close(self, group: str, block: tuple[ClassCounts, ClassCounts], new: Collection[str]) -> None:
        slow = self._slow_from(group)
        for measure in MEASURES:
            values = [value(measure, count, slow) for count in block]
            if values[0] is None or values[1] is None:
                continue
            series = self._series[group, measure]
            series.differences.add(values[0] - values[1])
            whole = block[0] + block[1]
            part = min(1.0, max(0.0, value(measure, whole, slow) or 0.0))
            noise = (part * (1.0 - part) + 1.0 / whole.ended) * (1.0 / block[0].ended + 1.0 / block[1].ended)
            series.counted += (noise - series.counted) / series.differences.number
        theirs = value("utility", block[1], slow)
        if theirs is not None:
            self._now_utility[group].add(theirs)

    def verdict(self, now: int, new: Collection[str]) -> Verdict:
        """How the stage stands. Nothing passes on too little evidence; past the longest time it is for the
        caller to hold."""
        worse, missing = list[str](), list[str]()
        for group, guard in sorted(self._guards.items()):
            done = self._done[group]
            if done < self.terms.least:
                missing.append(f"{group}: {done} of {self.terms.least} blocks of {self.terms.block} batches")
            if done < FEW_BLOCKS:
                continue
            fallen = self._fallen(group)
            if self._left_alone and fallen > guard.loss:
                missing.append(
                    f"{group}: all do worse by {fallen:.3f} than before, and nobody is left to compare with"
                )
            for measure in MEASURES:
                series = self._series[group, measure]
                if not series.differences.number:
                    continue
                mean, width = self._stands(group, measure, series, new)
                if mean - width > guard.tolerance:
                    worse.append(f"{group}: {measure} worse by {mean:.3f} (at least {mean - width:.3f})")
                elif mean + width > guard.loss and not self._left_alone:
                    missing.append(
                        f"{group}: {measure} may be worse by {mean + width:.3f}, {guard.loss:.3f} is let pass"
                    )
        if worse and self._apart > ENGINES_APART:
            # Not the release's doing for all that is seen: those managers reach fewer engines.
            missing.append(
                f"new managers reach {self._apart:.1f} engines fewer, so nothing is laid on the release"
            )
            worse = []
        worse += self._processes()
        crowded = self._crowds()
        if crowded:
            worse.append(crowded)
        if worse:
            return Verdict(Assessment.WORSE, tuple(worse))
        if not self._heard:
            missing.append("no figures of both sides at the same time yet")
        return Verdict(Assessment.WAIT, tuple(missing)) if missing else Verdict(Assessment.FINE)

    def _stands(self, group: str, measure: str, series: _Series, new: Collection[str]) -> tuple[float, float]:
        """The mean difference less that of before, and how far it may be off."""
        apart, unsure = self._apart_before(group, measure, new)
        number = series.differences.number
        variance = max(series.differences.variance, series.counted)
        width = half_width(number, variance, self._chance, TELLING)
        return series.differences.mean - apart, math.hypot(
            width, math.sqrt(-2.0 * math.log(self._chance) * unsure)
        )

    def _apart_before(self, group: str, measure: str, new: Collection[str]) -> tuple[float, float]:
        """How far the new managers stood from the rest before, and the variance of that. What was seen is
        drawn towards nothing as far as managers did not differ more than by the noise of so few batches."""
        known = {
            name: spread
            for (name, of, what), spread in self._was.items()
            if (of, what) == (group, measure) and spread.number >= 3
        }
        mine = [known[name] for name in new if name in known]
        if len(known) < 2 or not mine:
            return 0.0, 0.0
        mean = sum(one.mean for one in known.values()) / len(known)
        noise = sum(one.variance / one.number for one in known.values()) / len(known)
        spread = sum((one.mean - mean) ** 2 for one in known.values()) / (len(known) - 1)
        real = max(0.0, spread - noise) / len(mine)
        unsure = sum(one.variance / one.number for one in mine) / len(mine) ** 2
        if real + unsure <= 0.0:
            return 0.0, 0.0
        trusted = real / (real + unsure)
        return sum(one.mean for one in mine) / len(mine) * trusted, unsure * trusted

    def _processes(self) -> list[str]:
        """Ends of processes that nobody ordered, and memory that grows, of new beside old."""
        found = list[str]()
        new, old = self._deaths
        part = self._exposed[0] / max(1, sum(self._exposed))
        if new >= 2 and _at_least(new, new + old, part) < self._chance:
            found.append(f"processes: {new} of new managers ended by themselves, {old} of old ones")
        grown = [[grew for is_new, grew in self._grown.values() if is_new is side] for side in (True, False)]
        if all(grown):
            more = min(grown[0]) - max(0.0, max(grown[1]))
            if more > SWELLING:
                found.append(
                    f"memory: every new manager grew by {more:.0%} of its limit more than any old one"
                )
        return found

    def _fallen(self, group: str) -> float:
        """By how much utility is missed more than before the change, at least."""
        was, now = self._was_utility[group], self._now_utility[group]
        if was.number < 3 or now.number < FEW_BLOCKS:
            return 0.0
        unsure = math.sqrt(-2.0 * math.log(self._chance) * was.variance / was.number)
        return now.mean - was.mean - unsure - half_width(now.number, now.variance, self._chance, TELLING)

    def _crowds(self) -> str:
        """New ones hold more of the engines for the same work, and the old ones do worse than before: what is
        gained on one side is taken from the other."""
        new, old = self._held
        if new.number < FEW_BLOCKS or old.number < FEW_BLOCKS or new.mean < CROWDING * old.mean:
            return ""
        for group, guard in sorted(self._guards.items()):
            if self._fallen(group) > guard.tolerance:
                more = self._now_utility[group].mean - self._was_utility[group].mean
                return (
                    f"{group}: old managers do worse by {more:.3f} than before the stage, while "
                    f"new ones hold {new.mean / max(1e-9, old.mean):.1f} times as much of the engines"
                )
        return ""


def _at_least(hits: int, whole: int, part: float) -> float:
    """The chance of so many hits or more, each with that chance."""
    return sum(math.comb(whole, k) * part**k * (1.0 - part) ** (whole - k) for k in range(hits, whole + 1))
