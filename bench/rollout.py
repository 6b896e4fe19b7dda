"""How soon a rolling change is stopped that does worse, what it costs until then, and how often one is that
does not.

    python -m bench.rollout [--seeds 40] [--null 300]

The judge and the machine of stages, fed with figures of twelve managers second by second: traffic that is
uneven and bursts, engines that fail for everybody, managers that were never quite alike. Side by side, on
the same seeds: this change in stages; all managers at once, found by an operator after ten minutes; three
stages with a fixed wait of two minutes each, after which a drop of the changed ones' mean by more than 5%
beside the others stops it."""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable, Collection, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import numpy as np

from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import (
    BUCKETS,
    AnalysisTerms,
    CanaryAnalysis,
    ClassCounts,
    GatewaySample,
    Guard,
    bucket,
)
from vanerelay.rollout.stage_machine import Action, Event, Heard, Plan, Stage, StageMachine

MANAGERS, RATE = 12, 25  # batches a second at one manager, in the mean
GROUPS = {"look": 0.7, "report": 0.1, "load": 0.2}  # parts of what comes
LONGEST, BASELINE = 600, 60  # seconds
STAGES = (Stage("two", managers=2), Stage("half", part=0.5), Stage("all", part=1.0))
NOTICED, WAIT, DROP = 600, 120, 0.05
BUCKET_EDGES = np.array([bucket(ms) for ms in range(1, 20_000)])


@dataclass(frozen=True, slots=True)
class Loss:
    """What the new release does to its batches: `late`, `errored` in parts of them, `slower` times as
    long."""

    late: float = 0.0
    errored: float = 0.0
    slower: float = 1.0


NONE = Loss()


class Figures:
    """What managers tell, second by second. `now` is the second; `common` happens to all alike."""

    def __init__(
        self,
        seed: int,
        managers: int = MANAGERS,
        rate: float = RATE,
        apart: float = 0.02,
        groups: dict[str, float] | None = None,
    ) -> None:
        self.chance = np.random.default_rng(seed)
        self.names = [f"m{number}" for number in range(managers)]
        self._groups = groups or GROUPS
        self._own = {name: float(self.chance.uniform(0.0, apart)) for name in self.names}
        self._share = {name: rate * float(self.chance.lognormal(-0.125, 0.5)) for name in self.names}

    def second(
        self,
        new: Collection[str] = (),
        loss: Loss = NONE,
        burst: float = 1.0,
        common: float = 0.0,  # noqa: B008
        **seen: Any,
    ) -> dict[str, GatewaySample]:
        """`seen`: other figures that the new ones tell."""
        return {
            name: GatewaySample(
                {
                    group: self._count(name, part * burst, common, loss if name in new else Loss())
                    for group, part in self._groups.items()
                },
                **(seen if name in new else {}),
            )
            for name in self.names
        }

    def _count(self, name: str, part: float, common: float, loss: Loss) -> ClassCounts:
        ended = int(self.chance.poisson(self._share[name] * part))
        late = int(self.chance.binomial(ended, min(1.0, self._own[name] + common + loss.late)))
        errored = int(self.chance.binomial(ended - late, loss.errored))
        lasted = self.chance.exponential(40.0 * loss.slower * (1 + 3 * common), ended)
        places = BUCKET_EDGES[np.clip(lasted.astype(int), 0, len(BUCKET_EDGES) - 1)]
        times = np.bincount(places, minlength=BUCKETS)
        return ClassCounts(ended, ended - late - errored, errored, 0, late, ended, tuple(times.tolist()))


def weather(seed: int) -> Callable[[int], dict[str, float]]:
    """What happens to all alike: bursts, and a bad engine that fails its part for a while; of half of the
    seeds."""
    chance = np.random.default_rng(seed + 10**6)
    spells = (
        [
            (
                float(chance.uniform(0, LONGEST)),
                float(chance.uniform(5, 40)),
                float(chance.uniform(1.5, 3.0)),
                float(chance.uniform(0.05, 0.3)),
            )
            for _ in range(6)
        ]
        if seed % 2
        else []
    )

    def at(second: int) -> dict[str, float]:
        for begins, lasts, burst, common in spells:
            if begins <= second < begins + lasts:
                return {"burst": burst, "common": common}
        return {}

    return at


@dataclass(slots=True)
class Outcome:
    how: str
    seconds: int
    reached: int
    lost: float  # of the utility of all managers in a second, summed over seconds


def in_stages(seed: int, loss: Loss) -> Outcome:
    figures, sky = Figures(seed), weather(seed)
    plan = Plan("p", tuple((name, "") for name in figures.names), STAGES, longest=LONGEST * SECOND)
    judge = CanaryAnalysis(
        dict.fromkeys(GROUPS, Guard()), AnalysisTerms(stages=len(STAGES), settle=2 * SECOND)
    )
    course, lost = StageMachine(plan), 0.0
    for second in range(BASELINE):
        judge.before(figures.second(**sky(second)))
    for second in range(BASELINE, 4 * LONGEST):
        now, new = second * SECOND, course.new
        seen = figures.second(new, loss, **sky(second))
        judge.during(now, seen, new, course.fresh(), alone=not course.fresh())
        lost += (loss.late + loss.errored) * len(new) / MANAGERS
        for _ in range(MANAGERS):  # orders arrive at once here
            heard = {name: Heard(frozenset({wants}), True) for name, wants in course.wants.items()}
            event = _event(course, judge, now, heard)
            if event is None:
                break
            course.apply(event)
            if event.what == "ordered":
                course.apply(Event("confirmed", now, event.manager))
            elif event.what == "stage":
                judge.began(now)
        if course.ended or course.held:
            break
    return Outcome(course.ended or "held", second - BASELINE, len(course.ever), lost)


def _event(course: StageMachine, judge: CanaryAnalysis, now: int, heard: dict[str, Heard]) -> Event | None:
    step = course.next(now, heard)
    if step.do is Action.ORDER:
        return Event("ordered", now, step.manager, to=step.to)
    if step.do is Action.STAGE:
        return Event("stage", now, stage=course.stage + 1)
    if step.do is Action.JUDGE:
        return course.judged(now, judge.verdict(now, course.new), step.why)
    return Event("ended", now, to=step.to) if step.do is Action.ENDED else None


def fixed_wait(seed: int, loss: Loss) -> Outcome:
    figures, sky, lost = Figures(seed), weather(seed), 0.0
    for place, number in enumerate((2, MANAGERS // 2, MANAGERS)):
        new, mine, theirs = figures.names[:number], ClassCounts(), ClassCounts()
        for second in range(WAIT):
            for name, one in figures.second(new, loss, **sky(BASELINE + place * WAIT + second)).items():
                whole = sum(one.counts.values(), ClassCounts())
                mine, theirs = (mine + whole, theirs) if name in new else (mine, theirs + whole)
            lost += (loss.late + loss.errored) * number / MANAGERS
        if theirs.ended and theirs.met / theirs.ended - mine.met / mine.ended > DROP:
            return Outcome("back", (place + 1) * WAIT, number, lost)
    return Outcome("done", 3 * WAIT, MANAGERS, lost)


def at_once(seed: int, loss: Loss) -> Outcome:
    return Outcome("back", NOTICED, MANAGERS, (loss.late + loss.errored) * NOTICED)


WAYS = {"in stages": in_stages, "fixed waits": fixed_wait, "at once": at_once}
LOSSES = (
    {f"utility {part:.0%}": Loss(late=part) for part in (0.02, 0.05, 0.2)}
    | {f"errors {part:.0%}": Loss(errored=part) for part in (0.02, 0.05, 0.2)}
    | {f"latency +{part:.0%}": Loss(slower=1 + part) for part in (0.2, 0.5, 1.0)}
)


def _run(told: tuple[str, int, Loss]) -> Outcome:
    return WAYS[told[0]](*told[1:])


def interval(values: list[float]) -> str:
    """Mean and its 95% interval."""
    if not values:
        return "none"
    mean = sum(values) / len(values)
    spread = math.sqrt(sum((one - mean) ** 2 for one in values) / max(1, len(values) - 1) / len(values))
    return f"{mean:.1f} ± {1.96 * spread:.1f}"


def rows(seeds: int) -> Iterator[str]:
    with ProcessPoolExecutor() as pool:
        for name, loss in LOSSES.items():
            for way in WAYS:
                found = list(pool.map(_run, [(way, seed, loss) for seed in range(seeds)]))
                stopped = [one for one in found if one.how == "back"]
                yield (
                    f"| {name} | {way} | {len(stopped)} of {seeds} | "
                    f"{interval([o.seconds for o in found])} | "
                    f"{interval([float(o.reached) for o in found])} | {interval([o.lost for o in found])} |"
                )


def false_stops(number: int) -> tuple[int, int, list[float]]:
    """Of so many changes that change nothing: gone back, held, and how long the others took."""
    with ProcessPoolExecutor() as pool:
        found = list(
            pool.map(_run, [("in stages", 10_000 + seed, Loss()) for seed in range(number)], chunksize=4)
        )
    return (
        sum(one.how == "back" for one in found),
        sum(one.how == "held" for one in found),
        [float(one.seconds) for one in found if one.how == "done"],
    )


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=int, default=40)
    options.add_argument("--null", type=int, default=300)
    told = options.parse_args()
    print(
        "| loss | way | stopped | seconds until the end | managers reached | utility lost, s of the fleet |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for row in rows(told.seeds):
        print(row, flush=True)
    back, held, took = false_stops(told.null)
    print(
        f"\nof {told.null} changes that change nothing {back} went back, {held} were held; the others took "
        f"{interval(took)} s"
    )


if __name__ == "__main__":
    main()
