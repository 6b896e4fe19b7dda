"""Prefetching measured in virtual time: `python -m bench.warming [SEEDS] [SECONDS]`.

Six kinds of demand against no prefetching, the most popular of late and an oracle, at the same budget of
work.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from vanerelay.lab.warming_simulation import DemandKind, SimulationResult, Strategy, run_simulation

PROCESSES = 7

ByStrategy = dict[Strategy, SimulationResult]


@dataclass(frozen=True, slots=True)
class Cell:
    """One simulation."""

    kind: DemandKind
    strategy: Strategy
    seed: int
    seconds: int


def run_cell(cell: Cell) -> SimulationResult:
    """Runs one simulation."""
    return run_simulation(cell.kind, cell.strategy, cell.seconds, cell.seed)


def main(seeds: int = 3, seconds: int = 1200) -> None:
    """Prints, for each kind of demand, what prefetching spares.

    Reading (core seconds that reads spent on it) spared, the mean of the seeds; the part of what the
    oracle spares, the least and the most of the seeds; how often intervals of 90% were right.
    """
    cells = [
        Cell(kind, strategy, seed, seconds)
        for kind in DemandKind
        for strategy in Strategy
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(cells, pool.map(run_cell, cells), strict=True))
    print(f"{seeds} seeds, {seconds} s each")
    print("demand          reading  popular    ours  knowing  of knowing        met          warmed  right")
    for kind in DemandKind:
        runs = [
            {strategy: results[Cell(kind, strategy, seed, seconds)] for strategy in Strategy}
            for seed in range(1, seeds + 1)
        ]
        print(summary(kind, runs))


def summary(kind: DemandKind, runs: list[ByStrategy]) -> str:
    """One line of the table, from the runs of all seeds."""
    none, ours = [run[Strategy.NONE] for run in runs], [run[Strategy.OURS] for run in runs]
    spared = {
        strategy: [run[Strategy.NONE].read_cost - run[strategy].read_cost for run in runs]
        for strategy in Strategy
    }
    parts = [
        own / max(1.0, most) for own, most in zip(spared[Strategy.OURS], spared[Strategy.ORACLE], strict=True)
    ]
    mean = {strategy: statistics.mean(spared[strategy]) for strategy in Strategy}
    hit_rate = statistics.mean(one.hit_rate for one in none), statistics.mean(one.hit_rate for one in ours)
    right = sum(one.right for one in ours) / max(1, sum(one.judged for one in ours))
    ratios = [ratio for one in ours for ratio in one.half_life_ratios]
    return (
        f"{kind.value:14}  {statistics.mean(one.read_cost for one in none):7.0f}  "
        f"{mean[Strategy.POPULAR]:7.0f}  {mean[Strategy.OURS]:6.0f}  {mean[Strategy.ORACLE]:7.0f}  "
        f"{statistics.mean(parts):4.2f} ({min(parts):.2f}-{max(parts):.2f})  "
        f"{hit_rate[0]:.3f}-{hit_rate[1]:.3f}  "
        f"{statistics.mean(one.prefetch_cost for one in ours):6.0f}  {right:.3f}  "
        + (f"half-lives {statistics.median(ratios):.2f} of the true" if ratios else "")
    )


if __name__ == "__main__":
    main(*(int(argument) for argument in sys.argv[1:]))
