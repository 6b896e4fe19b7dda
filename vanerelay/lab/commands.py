"""`vanerelay lab`: plays of several real workload managers under faults, and what is seen of them."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from vanerelay.interface import SECOND
from vanerelay.lab import scenario, tables
from vanerelay.operator_config import OperatorConfigError

BROKEN, UNUSABLE = 1, 2  # exit codes: a rule, a crash or what was expected; a script that can't be played


@click.group()
def lab() -> None:
    """The laboratory: real managers on this machine, with stand-in engines, clients and faulted links."""


@lab.command()
def scripts() -> None:
    """The scripts that come with the laboratory."""
    for path in sorted(scenario.SCRIPTS.glob("*.hcl")):
        first = path.read_text(encoding="utf-8").splitlines()[0]
        click.echo(f"{path.stem:<16} {first.lstrip('# ')}")


@lab.command()
@click.argument("name", metavar="SCRIPT")
@click.option("--seed", default=1, type=click.IntRange(0), help="Of all that is drawn.")
@click.option("--report", type=click.Path(path_type=Path), help="One HTML file with plots; a CSV beside it.")
@click.option(
    "--folder", type=click.Path(path_type=Path), help="For configurations and logs; else a temporary one."
)
@click.option("--json", "as_json", is_flag=True, help="Tells JSON, one object.")
@click.option("--quiet", is_flag=True, help="No progress.")
def fleet(name: str, seed: int, report: Path | None, folder: Path | None, as_json: bool, quiet: bool) -> None:
    """Plays SCRIPT (a path, or the name of one that comes along) with real processes.

    Exits with 0 where all rules were kept and what the script expects was reached, with 1 where not, with 2
    where it could not be played."""
    try:
        found = scenario.load(name)
    except OperatorConfigError as fault:
        click.echo(f"vanerelay: {fault}", err=True)
        sys.exit(UNUSABLE)
    with tempfile.TemporaryDirectory() as spare:
        sys.exit(_play(found, seed, report, folder or Path(spare), as_json, quiet))


def _play(
    found: scenario.Script, seed: int, report: Path | None, folder: Path, as_json: bool, quiet: bool
) -> int:
    from twisted.internet import reactor as found_reactor

    reactor: Any = found_reactor
    from vanerelay.lab.scenario_run import BadPlay, Play

    progress = (lambda line: None) if quiet else lambda line: click.echo(line, err=True)
    play, wrong = Play(reactor, found, seed, folder, progress), list[str]()

    def end(result: Any) -> None:
        if result is not None:
            result.trap(BadPlay)
            wrong.append(str(result.value))
        reactor.stop()

    def begin() -> None:
        play.run().addBoth(end)

    reactor.callWhenRunning(begin)
    reactor.addSystemEventTrigger("before", "shutdown", play.kill)
    reactor.run()
    if wrong:
        click.echo(f"vanerelay: {wrong[0]}", err=True)
        return UNUSABLE
    findings, rows = play.findings(), play.record.rows
    table = tables.table(rows)
    told = tables.summary(table, rows, findings, found.groups)
    told["cold_pressed"] = round(play.pressed, 3)
    served = tables.utility(table, found.groups, found.expected.since // SECOND)
    short = served < found.expected.served
    if report is not None:
        from vanerelay.lab import report as pages

        pages.write(report, found, seed, rows, findings, play.slips)
    if as_json:
        told |= {
            "script": found.name,
            "seed": seed,
            "expected": found.expected.served,
            "reached": not short,
            "served_since": round(served, 4),
            "laboratory_late": len(play.slips),
        }
        click.echo(json.dumps(told))
    else:
        _say(found, seed, told, served)
    return BROKEN if findings or short else 0


def _say(found: scenario.Script, seed: int, told: dict[str, Any], served: float) -> None:
    click.echo(
        f"{found.name}, seed {seed}: {told['served']:.1%} of the utility within its goals, "
        f"{told['dispatches']} dispatches, {told['engines_fallen']} engines fell over"
    )
    for name, cell in told["groups"].items():
        ends = ", ".join(f"{cell[end]} {end}" for end in tables.ENDS if end in cell)
        click.echo(
            f"  {name}: {cell['offered']} came, {ends}; p50 {cell['p50_ms']} ms, p99 {cell['p99_ms']} ms"
        )
    for one in told["findings"][:20]:
        rule = (
            "crash"
            if one["rule"] == 0
            else "effect done twice"
            if one["rule"] == 8
            else f"rule {one['rule']}"
        )
        click.echo(f"  {rule} at {one['at_s']} s: {one['who']} {one['batch']}: {one['text']}")
    if len(told["findings"]) > 20:
        click.echo(f"  and {len(told['findings']) - 20} more")
    if told["cold_pressed"]:
        click.echo(f"  cold engines were sent {told['cold_pressed']:.0%} of what they bear, at most")
    if not told["findings"]:
        click.echo("  all rules kept, no crash")
    if served < found.expected.served:
        click.echo(
            f"  expected {found.expected.served:.1%} after {found.expected.since / SECOND:.0f} s, "
            f"was {served:.1%}"
        )
