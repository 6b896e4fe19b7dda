"""Runs of scenarios with real processes for benchmarks: one scenario in, what was found and written out."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from vanerelay.history import read

SCRIPTS = Path(__file__).parent.parent / "vanerelay" / "lab" / "scenarios"


@dataclass
class Played:
    """What came of a run.

    Attributes:
        told: what the command printed, as JSON; empty where the scenario could not be run.
        rows: of all histories.
        error: the end of what it wrote to the standard error output.
    """

    told: dict[str, Any]
    rows: list[dict[str, Any]]
    error: str = ""

    @property
    def findings(self) -> list[Any]:
        """What broke a rule, or why it could not be run."""
        return self.told["findings"] if self.told else [self.error]


def play(text: str, seed: int) -> Played:
    """Runs the scenario with this text."""
    with tempfile.TemporaryDirectory() as spare:
        folder = Path(spare)
        (folder / "script.hcl").write_text(text)
        words = ["--json", "--quiet", "--seed", str(seed), "--folder", str(folder / "play")]
        done = subprocess.run(
            [sys.executable, "-m", "vanerelay", "lab", "fleet", str(folder / "script.hcl"), *words],
            capture_output=True,
            text=True,
            check=False,
        )
        rows = [row for path in (folder / "play" / "history").glob("*.jsonl") for row in read(path)]
        return Played(json.loads(done.stdout) if done.stdout else {}, rows, done.stderr[-300:])


def faults(seed: int, managers: int, more: Sequence[tuple[str, str]] = (), length: float = 11.0) -> str:
    """Three faults of gateways at moments drawn from the seed, and two of `more`: a name and attributes."""
    random_source, blocks, lost = random.Random(f"{seed}/moments"), list[str](), 0
    for number in range(3):
        who, at, lasting = (
            random_source.randrange(managers) + 1,
            random_source.uniform(3.0, length),
            random_source.choice((1, 2, 3, 4)),
        )
        what = random_source.choice(("kill", "lost", "freeze", "end", "cut", "deaf", "slow"))
        lost += what == "lost"
        if what == "lost" and lost > 1:
            what = "kill"
        words = {
            "cut": f'links = ["m{who} > m*", "m{who} > e*"]\n  do = "hold"',
            "deaf": f'links = ["m* > m{who}"]\n  do = "hold"',
            "slow": f'links = ["m* > m{who}"]\n  do = "slow"\n  delay = "3s"',
            "lost": f'managers = "m{who}"\n  do = "kill"\n  folder = "gone"',
        }.get(what, f'managers = "m{who}"\n  do = "{what}"')
        blocks.append(block(f"{number}: {what} m{who}", at, lasting, words))
    for number in range(2 if more else 0):
        name, words = random_source.choice(more)
        at = random_source.uniform(3.0, length)
        blocks.append(block(f"{number + 3}: {name}", at, random_source.choice((1, 2, 3, 4)), words))
    return "\n".join(blocks)


def block(name: str, at: float, lasting: int, words: str) -> str:
    """A fault as scenarios have it."""
    return f'fault "{name}" {{\n  at = "{at:.1f}s"\n  lasting = "{lasting}s"\n  {words}\n}}\n'
