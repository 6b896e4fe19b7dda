"""How soon a worse rolling change is stopped, what it costs until then, and how often a sound one is stopped.

    python -m bench.rollout [--seeds 40] [--null 300]

The canary analysis and the stage machine, fed with samples of twelve gateways second by second: traffic that
is uneven and bursts, engines that fail for everybody, gateways that were never quite alike. Side by side, on
the same seeds: this change in stages; all gateways at once, found by an operator after ten minutes; three
stages with a fixed wait of two minutes each, after which a drop of the changed ones' mean by more than 5%
beside the others stops it.
"""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable, Collection, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import numpy as np

from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import AnalysisTerms, CanaryAnalysis, Guard
from vanerelay.rollout.canary_metrics import LATENCY_BUCKETS, ClassCounts, GatewaySample, latency_bucket
from vanerelay.rollout.change_plan import Plan, Stage
from vanerelay.rollout.events import Event, EventKind
from vanerelay.rollout.stage_machine import Action, GatewayStatus, StageMachine

GATEWAYS = 12
RATE = 25
"""Queries a second at one gateway, in the mean."""
CLASSES = {"look": 0.7, "report": 0.1, "load": 0.2}
"""Service classes, in parts of the traffic."""
MAX_STAGE_S, BASELINE_S = 600, 60
STAGES = (Stage("two", gateways=2), Stage("half", fraction=0.5), Stage("all", fraction=1.0))
NOTICED_S = 600
"""Until an operator notices a change of all gateways at once."""
FIXED_WAIT_S = 120
MAX_DROP = 0.05
"""Of the changed gateways' mean value beside the others, after a fixed wait."""
BUCKET_EDGES = np.array([latency_bucket(ms) for ms in range(1, 20_000)])


@dataclass(frozen=True, slots=True)
class Loss:
    """What the new release does to its queries: a part `late`, a part `failed`, `slower` times as long."""

    late: float = 0.0
    failed: float = 0.0
    slower: float = 1.0


NONE = Loss()


class SampleGenerator:
    """Samples of gateways, second by second."""

    def __init__(
        self,
        seed: int,
        gateways: int = GATEWAYS,
        rate: float = RATE,
        apart: float = 0.02,
        classes: dict[str, float] | None = None,
    ) -> None:
        self.chance = np.random.default_rng(seed)
        self.names = [f"m{number}" for number in range(gateways)]
        self._classes = classes or CLASSES
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
        """A second's samples; `common` happens to all alike, `seen` are other figures of the new gateways."""
        return {
            name: GatewaySample(
                {
                    name_of_class: self._count(name, part * burst, common, loss if name in new else Loss())
                    for name_of_class, part in self._classes.items()
                },
                **(seen if name in new else {}),
            )
            for name in self.names
        }

    def _count(self, name: str, part: float, common: float, loss: Loss) -> ClassCounts:
        ended = int(self.chance.poisson(self._share[name] * part))
        late = int(self.chance.binomial(ended, min(1.0, self._own[name] + common + loss.late)))
        errored = int(self.chance.binomial(ended - late, loss.failed))
        lasted = self.chance.exponential(40.0 * loss.slower * (1 + 3 * common), ended)
        places = BUCKET_EDGES[np.clip(lasted.astype(int), 0, len(BUCKET_EDGES) - 1)]
        times = np.bincount(places, minlength=LATENCY_BUCKETS)
        return ClassCounts(ended, ended - late - errored, errored, 0, late, ended, tuple(times.tolist()))


def common_conditions(seed: int) -> Callable[[int], dict[str, float]]:
    """What happens to all alike, with half of the seeds: bursts, and a bad engine for a while."""
    chance = np.random.default_rng(seed + 10**6)
    spells = (
        [
            (
                float(chance.uniform(0, MAX_STAGE_S)),
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
    """How a change ended, after how long, and what it cost.

    `reached` gateways; `lost` of the value of all gateways in a second, summed over seconds.
    """

    how: str
    seconds: int
    reached: int
    lost: float


def in_stages(seed: int, loss: Loss) -> Outcome:
    """This change in stages."""
    generator, conditions = SampleGenerator(seed), common_conditions(seed)
    gateways = tuple((name, "") for name in generator.names)
    plan = Plan("p", gateways, STAGES, max_stage_time=MAX_STAGE_S * SECOND)
    analysis = CanaryAnalysis(
        dict.fromkeys(CLASSES, Guard()), AnalysisTerms(stages=len(STAGES), settle_time=2 * SECOND)
    )
    machine, lost = StageMachine(plan), 0.0
    for second in range(BASELINE_S):
        analysis.add_baseline_slice(generator.second(**conditions(second)))
    for second in range(BASELINE_S, 4 * MAX_STAGE_S):
        now, new = second * SECOND, machine.new_gateways
        seen = generator.second(new, loss, **conditions(second))
        analysis.add_stage_slice(
            now, seen, new, machine.comparison_gateways(), no_old_left=not machine.comparison_gateways()
        )
        lost += (loss.late + loss.failed) * len(new) / GATEWAYS
        for _ in range(GATEWAYS):  # orders arrive at once here
            heard = {name: GatewayStatus(frozenset({wants}), True) for name, wants in machine.ordered.items()}
            event = _event(machine, analysis, now, heard)
            if event is None:
                break
            machine.apply(event)
            if event.kind == EventKind.ORDERED:
                machine.apply(Event(EventKind.CONFIRMED, now, event.gateway))
            elif event.kind == EventKind.STAGE:
                analysis.begin_stage(now)
        if machine.outcome or machine.is_held:
            break
    return Outcome(machine.outcome or "held", second - BASELINE_S, len(machine.ever_changed), lost)


def _event(
    machine: StageMachine, analysis: CanaryAnalysis, now: int, heard: dict[str, GatewayStatus]
) -> Event | None:
    step = machine.next_step(now, heard)
    if step.action is Action.ORDER:
        return Event(EventKind.ORDERED, now, step.gateway, target=step.target)
    if step.action is Action.BEGIN_STAGE:
        return Event(EventKind.STAGE, now, stage=machine.stage + 1)
    if step.action is Action.ASSESS:
        return machine.assessment_event(now, analysis.verdict(machine.new_gateways), step.reason)
    return Event(EventKind.ENDED, now, target=step.target) if step.action is Action.END else None


def fixed_wait(seed: int, loss: Loss) -> Outcome:
    """Three stages with a fixed wait each."""
    generator, conditions, lost = SampleGenerator(seed), common_conditions(seed), 0.0
    for place, number in enumerate((2, GATEWAYS // 2, GATEWAYS)):
        new, mine, theirs = generator.names[:number], ClassCounts(), ClassCounts()
        for second in range(FIXED_WAIT_S):
            common = conditions(BASELINE_S + place * FIXED_WAIT_S + second)
            for name, one in generator.second(new, loss, **common).items():
                whole = sum(one.counts.values(), ClassCounts())
                mine, theirs = (mine + whole, theirs) if name in new else (mine, theirs + whole)
            lost += (loss.late + loss.failed) * number / GATEWAYS
        if theirs.ended and theirs.earned / theirs.ended - mine.earned / mine.ended > MAX_DROP:
            return Outcome("back", (place + 1) * FIXED_WAIT_S, number, lost)
    return Outcome("done", 3 * FIXED_WAIT_S, GATEWAYS, lost)


def at_once(_: int, loss: Loss) -> Outcome:
    """All gateways at once."""
    return Outcome("back", NOTICED_S, GATEWAYS, (loss.late + loss.failed) * NOTICED_S)


WAYS = {"in stages": in_stages, "fixed waits": fixed_wait, "at once": at_once}
LOSSES = (
    {f"utility {part:.0%}": Loss(late=part) for part in (0.02, 0.05, 0.2)}
    | {f"errors {part:.0%}": Loss(failed=part) for part in (0.02, 0.05, 0.2)}
    | {f"latency +{part:.0%}": Loss(slower=1 + part) for part in (0.2, 0.5, 1.0)}
)


def _run(task: tuple[str, int, Loss]) -> Outcome:
    way, seed, loss = task
    return WAYS[way](seed, loss)


def interval(values: list[float]) -> str:
    """Mean and its 95% interval."""
    if not values:
        return "none"
    mean = sum(values) / len(values)
    spread = math.sqrt(sum((one - mean) ** 2 for one in values) / max(1, len(values) - 1) / len(values))
    return f"{mean:.1f} ± {1.96 * spread:.1f}"


def rows(seeds: int) -> Iterator[str]:
    """The rows of the table, a loss and a way each."""
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
    """Prints the table."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=int, default=40)
    options.add_argument("--null", type=int, default=300)
    arguments = options.parse_args()
    print(
        "| loss | way | stopped | seconds until the end | managers reached | utility lost, s of the fleet |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for row in rows(arguments.seeds):
        print(row, flush=True)
    back, held, took = false_stops(arguments.null)
    print(
        f"\nof {arguments.null} changes that change nothing {back} went back, {held} were held; "
        f"the others took {interval(took)} s"
    )


if __name__ == "__main__":
    main()
