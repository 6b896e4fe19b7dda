"""Warming measured in virtual time: six kinds of demand against none, the most popular of late and one that
knows the future, at the same budget of work. `python -m bench.warming [SEEDS] [SECONDS]`."""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from vanerelay.lab.warming_simulation import KINDS, WAYS, Played, play


def one(cell: tuple[str, str, int, int]) -> Played:
    kind, way, seed, seconds = cell
    return play(kind, way, seconds, seed)


def main(seeds: int = 3, seconds: int = 1200) -> None:
    """Reading (core seconds that reads spent on it) spared, the mean of the seeds; the part of what one who
    knows spares, the least and the most of the seeds; how often intervals of 90% were right."""
    cells = [(kind, way, seed, seconds) for kind in KINDS for way in WAYS for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(7) as pool:
        found = dict(zip(cells, pool.map(one, cells), strict=True))
    print(f"{seeds} seeds, {seconds} s each")
    print("demand          reading  popular    ours  knowing  of knowing        met          warmed  right")
    for kind in KINDS:
        rows = [{way: found[kind, way, seed, seconds] for way in WAYS} for seed in range(1, seeds + 1)]
        spared = {way: [row["none"].read - row[way].read for row in rows] for way in WAYS}
        parts = [a / max(1.0, b) for a, b in zip(spared["ours"], spared["knowing"], strict=True)]
        ours = [row["ours"] for row in rows]
        halves = [half for row in ours for half in row.halves]
        mean = {way: statistics.mean(spared[way]) for way in WAYS}
        met = statistics.mean(row["none"].met for row in rows), statistics.mean(row.met for row in ours)
        right = sum(row.right for row in ours) / max(1, sum(row.judged for row in ours))
        print(
            f"{kind:14}  {statistics.mean(row['none'].read for row in rows):7.0f}  {mean['popular']:7.0f}  "
            f"{mean['ours']:6.0f}  {mean['knowing']:7.0f}  {statistics.mean(parts):4.2f} "
            f"({min(parts):.2f}-{max(parts):.2f})  {met[0]:.3f}-{met[1]:.3f}  "
            f"{statistics.mean(row.warmed for row in ours):6.0f}  {right:.3f}  "
            + (f"half-lives {statistics.median(halves):.2f} of the true" if halves else "")
        )


if __name__ == "__main__":
    main(*(int(word) for word in sys.argv[1:]))
