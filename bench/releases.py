"""Rolling changes on the laboratory: twelve gateways at six tenths of the load, good and bad releases.

    python -m bench.releases [--seed 1] [--at-once 3] [--only NAME]

Each is a run of real processes: gateways under supervisors, engines, clients, a controller. The table says
how it ended, how many gateways it had reached, what part of the value was earned, and what broke a rule.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# What a bad release does; run in each of its processes at the start.
SERVES = "import sys\nif 'serve' in sys.argv:\n    import threading, time, os\n"
SHIMS = {
    "the same program": "",
    "refuses to start": "raise SystemExit(2)",
    "dies after 20 s": SERVES
    + "    end = threading.Timer(20, os._exit, [9]); end.daemon = True; end.start()",
    "dies under load": SERVES
    + """    from vanerelay.net.gateway_service import GatewayService
    take, came = GatewayService.request, [0]
    def request(self, *told):
        came[0] += 1
        if came[0] > 150:
            os._exit(9)
        return take(self, *told)
    GatewayService.request = request""",
    "5% of orders errored, the rest quicker": SERVES
    + """    import random
    from vanerelay.interface import AnswerStatus
    from vanerelay.net.query_answers import QueryAnswers
    answer = QueryAnswers.answer
    def worse(self, query, status, fields=None, body=b''):
        bad = query.service_class == b'order' and random.random() < 0.05
        answer(self, query, AnswerStatus.FAILED if bad else status, fields, b'' if bad else body)
    QueryAnswers.answer = worse""",
    "leaks 4 MB a second": SERVES
    + """    kept = []
    def leak():
        while True:
            kept.append(b'x' * 4_000_000)
            time.sleep(1)
    threading.Thread(target=leak, daemon=True).start()""",
    "overfills engines": SERVES
    + """    from vanerelay.policy.memory_estimator import MemoryEstimator
    from vanerelay.policy.reservations import Reservations
    Reservations.fits = lambda self, memory, threads, share: True
    MemoryEstimator.size = lambda self, now, service_class, table_group, estimated, cap: 6000.0""",
}

SITE = """name   = "{name}"
length = "{length}s"

managers {{
  count     = {managers}
  locations = ["east", "west"]
  keeper    = true
  options   = <<EOT
fleet {{
  listen = "@LISTEN@"
  domain = "@PLACE@"
  folder = "@FOLDER@"
@MEMBERS@
}}
rollout {{
  folder = "@FOLDER@"
}}
EOT
}}

engines "k" {{
  count     = {managers}
  locations = ["east", "west"]
}}

group "look" {{
  goal   = "500ms"
  limit  = "3s"
  rate   = {look}
  work   = "40ms"
  memory = 60
}}

group "order" {{
  goal    = "2s"
  limit   = "6s"
  rate    = {order}
  work    = "90ms"
  utility = 3
  effect  = "once-only"
}}

group "report" {{
  goal    = "3s"
  limit   = "10s"
  rate    = {report}
  work    = "700ms"
  memory  = 900
  threads = 2
  utility = 4
}}

release "old" {{
  managers = "m*"
}}

release "new" {{
  shim = <<EOT
{shim}
EOT
}}
"""

CHANGE = """
program "controller" {{
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  file "plan.hcl" {{
    text = <<EOT
name     = "change"
baseline = "15s"
change {{
  program = "new"
  back    = "old"
}}
@MEMBERS@
away {{
  most   = 2
  domain = 1
}}
stage "three" {{
  managers = 3
}}
stage "half" {{
  part = 0.5
}}
stage "all" {{
  part = 1.0
}}
judge {{
  settle  = "2s"
  longest = "{longest}s"
}}
guard "look" {{
  loss = 0.1
}}
guard "order" {{
  loss = 0.04
}}
EOT
  }}
}}
"""


def text(
    name: str, shim: str, length: int, managers: int = 12, change: bool = True, load: float = 0.6
) -> str:
    """A scenario; the load is a part of what the engines, one of four cores for each manager, can do."""
    part = load * managers * 4 / 0.6 / 48  # at 12 managers and 0.6: 1
    site = SITE.format(
        name=name,
        length=length,
        managers=managers,
        shim=shim,
        look=round(60 * part),
        order=round(200 * part),
        report=round(10 * part),
    )
    return site + (CHANGE.format(longest=length) if change else "")


@dataclass(frozen=True, slots=True)
class Played:
    """What came of a run: a row of the table."""

    name: str
    how: str
    reached: int
    seconds: float
    served: float
    findings: int
    why: str


def play(name: str, shim: str, seed: int, length: int, change: bool = True) -> Played:
    """Runs one release."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Path(folder, "script.hcl")
        scenario.write_text(text(name, shim, length, change=change), encoding="utf-8")
        words = ["--seed", str(seed), "--json", "--quiet", "--folder", f"{folder}/play"]
        done = vanerelay("lab", "fleet", str(scenario), *words)
        if not done.stdout:
            return Played(name, done.stderr.strip()[-200:], 0, 0.0, 0.0, 0, "")
        told = json.loads(done.stdout)
        served, findings = told["served"], len(told["findings"])
        if not change:
            return Played(name, "no change", 0, 0.0, served, findings, "")
        why, events = reason(Path(folder, "play", "controller.log")), change_events(folder)
    how = next((event["to"] for event in events if event["what"] == "ended"), "under way")
    reached = {
        event["manager"] for event in events if event["what"] == "ordered" and event["to"].startswith("new")
    }
    took = (events[-1]["at_ms"] - events[0]["at_ms"]) / 1000 if events else 0.0
    return Played(name, how, len(reached), took, served, findings, why)


def vanerelay(*words: str) -> subprocess.CompletedProcess[str]:
    """Runs a command of the program."""
    command = [sys.executable, "-m", "vanerelay", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def change_events(folder: str) -> list[dict[str, Any]]:
    """The controller's record of the change."""
    done = vanerelay("rollout", "history", f"{folder}/play/controller/plan.hcl", "--json")
    return [json.loads(line) for line in done.stdout.splitlines()]


def reason(log: Path) -> str:
    """Why the controller went back, or held; empty where it did neither."""
    lines = log.read_text(encoding="utf-8").splitlines()
    found = (re.sub(r"^change: ", "", line) for line in lines if "going back" in line or "held at" in line)
    return next(found, "")[:160]


def main() -> None:
    """Prints the table."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--length", type=int, default=220)
    options.add_argument("--at-once", type=int, default=3)
    options.add_argument("--only", default="")
    told = options.parse_args()
    plays = [("no change", "", False), *((name, shim, True) for name, shim in SHIMS.items())]
    print("| release | ended | managers reached | s | utility reached | findings | why |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    with ThreadPoolExecutor(told.at_once) as pool:
        found = [
            pool.submit(play, name, shim, told.seed, told.length, change)
            for name, shim, change in plays
            if any(word in name for word in told.only.split("|"))
        ]
        for one in found:
            row = one.result()
            print(
                f"| {row.name} | {row.how} | {row.reached} | {row.seconds:.0f} | "
                f"{row.served:.4f} | {row.findings} | "
                f"{row.why} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
