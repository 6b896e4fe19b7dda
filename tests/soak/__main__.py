"""The soak by hand: a range of seeds, a few at a time; ends with 1 where an invariant was broken."""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.soak.run import MAX_VIOLATIONS_SHOWN, Verdict, play


def seeds(told: str) -> list[int]:
    first, _, last = told.partition("-")
    return list(range(int(first), int(last or first) + 1))


def one(seed: int, length: float, size: int | None, keep: str) -> Verdict:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(keep) / f"seed-{seed}" if keep else Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        return play(seed, length, folder, size)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", type=seeds, default=[1], help="one seed, or a range such as 1-50")
    parser.add_argument("--length", type=float, default=15.0, help="seconds of load in each run")
    parser.add_argument("--processes", type=int, help="in place of what the seed draws")
    parser.add_argument("--jobs", type=int, default=1, help="runs side by side")
    parser.add_argument("--keep", default="", help="a folder for the logs of all processes")
    told = parser.parse_args()
    broken = 0
    with ProcessPoolExecutor(told.jobs) as pool:
        waiting = [pool.submit(one, seed, told.length, told.processes, told.keep) for seed in told.seeds]
        for future in waiting:
            verdict = future.result()
            print(verdict.line(), flush=True)
            for line in verdict.violations[:MAX_VIOLATIONS_SHOWN] if verdict.judged else ():
                print(f"  {line}", flush=True)
            broken += bool(verdict.violations) or not verdict.judged
    print(f"{len(told.seeds) - broken} sound of {len(told.seeds)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
