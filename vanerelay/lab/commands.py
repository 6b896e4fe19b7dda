"""`vanerelay lab`: runs several real gateways under faults, and tells what is seen of them."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from vanerelay.interface import SECOND
from vanerelay.lab import scenario, scenario_texts, tables
from vanerelay.lab.rule_checker import Rule
from vanerelay.operator_config import OperatorConfigError

if TYPE_CHECKING:
    from vanerelay.lab.scenario_run import ScenarioRun

BROKEN, UNUSABLE = 1, 2
"""Exit codes: a rule, a crash or what was expected; a scenario that can't be run."""
MAX_FINDINGS = 20
"""That are printed."""
RULE_NAMES: dict[int, str] = {Rule.CRASH: "crash", Rule.DOUBLE_EFFECT: "effect done twice"}
"""Of those that have no number in the users' list."""


@click.group()
def lab() -> None:
    """The laboratory: real managers on this machine, with stand-in engines, clients and faulted links."""


@lab.command()
def scripts() -> None:
    """The scripts that come with the laboratory."""
    for path in sorted(scenario_texts.SCENARIOS.glob("*.hcl")):
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
    where it could not be played.
    """
    try:
        found = scenario.load(name)
    except OperatorConfigError as error:
        click.echo(f"vanerelay: {error}", err=True)
        sys.exit(UNUSABLE)
    with tempfile.TemporaryDirectory() as spare:
        sys.exit(_run(found, seed, report, folder or Path(spare), as_json, quiet))


def _run(
    found: scenario.Scenario, seed: int, report: Path | None, folder: Path, as_json: bool, quiet: bool
) -> int:
    """Runs a scenario and prints what came of it; returns the exit code."""
    from vanerelay.lab.scenario_run import RunError

    try:
        run = _run_to_end(found, seed, folder, quiet)
    except RunError as error:
        click.echo(f"vanerelay: {error}", err=True)
        return UNUSABLE
    findings = run.findings()
    table = tables.make_table(run.events)
    summary = tables.summary(table, run.events, findings, found.service_classes)
    summary["cold_pressed"] = round(run.peak_load, 3)
    expectation = found.expectation
    served = tables.served_value(table, found.service_classes, expectation.since // SECOND)
    is_short = served < expectation.served_value
    if report is not None:
        from vanerelay.lab import report as html_report

        html_report.write(report, found, seed, run.events, findings, run.latenesses)
    if as_json:
        summary |= {
            "script": found.name,
            "seed": seed,
            "expected": expectation.served_value,
            "reached": not is_short,
            "served_since": round(served, 4),
            "laboratory_late": len(run.latenesses),
        }
        click.echo(json.dumps(summary))
    else:
        _print_summary(found, seed, summary, served)
    return BROKEN if findings or is_short else 0


def _run_to_end(found: scenario.Scenario, seed: int, folder: Path, quiet: bool) -> ScenarioRun:
    """Runs a scenario under the reactor. Raises RunError."""
    from twisted.internet import reactor as twisted_reactor

    from vanerelay.lab.scenario_run import RunError, ScenarioRun

    reactor: Any = twisted_reactor

    def print_progress(line: str) -> None:
        if not quiet:
            click.echo(line, err=True)

    run, errors = ScenarioRun(reactor, found, seed, folder, print_progress), list[RunError]()

    def ended(result: Any) -> None:
        if result is not None:
            result.trap(RunError)
            errors.append(result.value)
        reactor.stop()

    def begin() -> None:
        run.run().addBoth(ended)

    reactor.callWhenRunning(begin)
    reactor.addSystemEventTrigger("before", "shutdown", run.kill)
    reactor.run()
    if errors:
        raise errors[0]
    return run


def _print_summary(found: scenario.Scenario, seed: int, summary: dict[str, Any], served: float) -> None:
    click.echo(
        f"{found.name}, seed {seed}: {summary['served']:.1%} of the utility within its goals, "
        f"{summary['dispatches']} dispatches, {summary['engines_fallen']} engines fell over"
    )
    for name, cell in summary["groups"].items():
        outcomes = ", ".join(f"{cell[outcome]} {outcome}" for outcome in tables.OUTCOMES if outcome in cell)
        click.echo(
            f"  {name}: {cell['offered']} came, {outcomes}; p50 {cell['p50_ms']} ms, p99 {cell['p99_ms']} ms"
        )
    _print_findings(summary["findings"])
    if summary["cold_pressed"]:
        click.echo(f"  cold engines were sent {summary['cold_pressed']:.0%} of what they bear, at most")
    if not summary["findings"]:
        click.echo("  all rules kept, no crash")
    expectation = found.expectation
    if served < expectation.served_value:
        click.echo(
            f"  expected {expectation.served_value:.1%} after {expectation.since / SECOND:.0f} s, "
            f"was {served:.1%}"
        )


def _print_findings(findings: list[dict[str, Any]]) -> None:
    for one in findings[:MAX_FINDINGS]:
        rule = RULE_NAMES.get(one["rule"], f"rule {one['rule']}")
        click.echo(f"  {rule} at {one['at_s']} s: {one['who']} {one['batch']}: {one['text']}")
    if len(findings) > MAX_FINDINGS:
        click.echo(f"  and {len(findings) - MAX_FINDINGS} more")
