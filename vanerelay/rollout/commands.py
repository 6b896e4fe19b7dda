"""The commands `vanerelay rollout`, which runs a rolling change, and `vanerelay keep`, a supervisor."""

from __future__ import annotations

import fcntl
import json
import sys
from pathlib import Path
from typing import Any, NoReturn, TextIO

import click

from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.rollout import plan_reader
from vanerelay.rollout.change_log import ChangeLog, Command
from vanerelay.rollout.errors import ChangeLogError
from vanerelay.rollout.event_text import describe
from vanerelay.rollout.events import Event, EventKind, Outcome
from vanerelay.rollout.plan_reader import RolloutPlan
from vanerelay.rollout.stage_machine import StageMachine

EXIT_DONE, EXIT_ROLLED_BACK, EXIT_UNUSABLE, EXIT_UNDER_WAY, EXIT_FENCED = 0, 1, 2, 3, 4

PLAN_ARGUMENT = click.argument("path", metavar="PLAN")
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Prints JSON, one object per line.")


def _exit_with_error(reason: str) -> NoReturn:
    click.echo(f"vanerelay: {reason}", err=True)
    sys.exit(EXIT_UNUSABLE)


def _load_plan(path: str) -> RolloutPlan:
    try:
        return plan_reader.load(path)
    except plan_reader.OperatorConfigError as error:
        _exit_with_error(str(error))


def _open_record(rollout_plan: RolloutPlan, create: bool = False) -> ChangeLog:
    try:
        return ChangeLog(rollout_plan.record_path, create)
    except ChangeLogError as error:
        _exit_with_error(str(error))


@click.group()
def rollout() -> None:
    """Rolls out a change in stages; stops if the new managers of a stage do worse than the old ones.

    Exit codes: 0 done, 1 rolled back, 2 cannot be run, 3 under way, 4 another controller has taken over.
    """


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def check(path: str, as_json: bool) -> None:
    """Validates the plan and its files, and prints the stages, without contacting any manager."""
    rollout_plan = _load_plan(path)
    machine = StageMachine(rollout_plan.plan)
    for number, stage in enumerate(rollout_plan.plan.stages):
        gateways = machine.gateways_up_to(number)
        if as_json:
            click.echo(json.dumps({"stage": stage.name, "managers": gateways}))
        else:
            click.echo(f"stage {stage.name}: {', '.join(gateways)}")
    if as_json:
        return
    probability = rollout_plan.terms.false_stop_probability
    click.echo(f"judged by: {', '.join(rollout_plan.guards)}; a false stop in {probability:.2%} of changes")
    for setting in rollout_plan.shared_settings:
        click.echo(f"shared by the fleet: {setting}; the stricter value holds until all have the new one")


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def start(path: str, as_json: bool) -> None:
    """Starts the change and runs it to its end."""
    rollout_plan = _load_plan(path)
    record = _open_record(rollout_plan, True)
    if record.change and not _has_ended(record):
        _exit_with_error(f"{record.name} is under way in {record.path}, expected rollout resume or back")
    try:
        record.begin(rollout_plan.plan.name, rollout_plan.text, 0)
    except ChangeLogError as error:
        _exit_with_error(str(error))
    _run_controller(rollout_plan, record, False, as_json)


def _has_ended(record: ChangeLog) -> bool:
    events = record.events()
    return bool(events) and events[-1].kind == EventKind.ENDED


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def resume(path: str, as_json: bool) -> None:
    """Continues from its record a change that is paused or held, or whose controller has exited."""
    _command_or_run(Command.RESUME, path, as_json)


@rollout.command()
@PLAN_ARGUMENT
def pause(path: str) -> None:
    """Pauses the change: no further manager is changed; those already changed stay as they are."""
    record = _open_record(_load_plan(path))
    _add_command(record, Command.PAUSE)
    click.echo(f"{record.name}: to be paused")


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def back(path: str, as_json: bool) -> None:
    """Rolls back to the old release, without waiting for more evidence."""
    _command_or_run(Command.ROLL_BACK, path, as_json)


def _add_command(record: ChangeLog, command: Command) -> None:
    try:
        record.add_command(command)
    except ChangeLogError as error:
        _exit_with_error(str(error))


def _command_or_run(command: Command, path: str, as_json: bool) -> None:
    """Records a command for the running controller; if there is none, runs a controller in this process."""
    rollout_plan = _load_plan(path)
    record = _open_record(rollout_plan)
    if not record.change or _has_ended(record):
        _exit_with_error(f"no change is under way in {record.path}")
    _add_command(record, command)
    if _lock(record.path) is None:
        click.echo(f"{record.name}: told {command}")
        return
    _run_controller(rollout_plan, record, True, as_json)


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def status(path: str, as_json: bool) -> None:
    """Prints the recorded state of the change. Exits with 0 (done), 1 (rolled back) or 3 (under way)."""
    rollout_plan = _load_plan(path)
    record = _open_record(rollout_plan)
    machine = StageMachine.replayed(rollout_plan.plan, record.events())
    is_running = _lock(record.path) is None
    if as_json:
        click.echo(json.dumps(_status_row(record, machine, is_running)))
    else:
        for line in _status_lines(record, machine, is_running):
            click.echo(line)
    exit_codes: dict[str, int] = {Outcome.DONE: EXIT_DONE, Outcome.ROLLED_BACK: EXIT_ROLLED_BACK}
    sys.exit(exit_codes.get(machine.outcome, EXIT_UNDER_WAY))


def _status_text(machine: StageMachine) -> str:
    if machine.outcome:
        return machine.outcome
    if machine.is_rolling_back:
        return "going back"
    if machine.is_held:
        return "held"
    return "paused" if machine.is_paused else "under way"


def _stage_name(machine: StageMachine) -> str:
    return machine.plan.stages[machine.stage].name if machine.stage >= 0 else ""


def _unconfirmed(machine: StageMachine) -> list[str]:
    return [name for name, is_confirmed in machine.confirmed.items() if not is_confirmed]


def _status_row(record: ChangeLog, machine: StageMachine, is_running: bool) -> dict[str, Any]:
    """Returns the state of a change as a JSON object; operators' scripts read its keys."""
    return {
        "change": record.name,
        "how": _status_text(machine),
        "why": machine.reason,
        "stage": _stage_name(machine),
        "fence": record.fence,
        "controller": is_running,
        "managers": machine.ordered,
        "unconfirmed": _unconfirmed(machine),
        "owed": machine.unrestored_gateways() if machine.is_rolling_back else [],
    }


def _status_lines(record: ChangeLog, machine: StageMachine, is_running: bool) -> list[str]:
    stage = _stage_name(machine)
    at_stage = f" at stage {stage}" if stage else ""
    reason = f" ({machine.reason})" if machine.reason else ""
    changed = ", ".join(machine.new_gateways) or "none"
    unconfirmed = ", ".join(_unconfirmed(machine)) or "none"
    lines = [
        f"{record.name}: {_status_text(machine)}{at_stage}{reason}",
        f"changed: {changed}; not confirmed: {unconfirmed}",
    ]
    if not is_running and not machine.outcome:
        lines.append("no controller runs: vanerelay rollout resume goes on from the record")
    return lines


@rollout.command()
@PLAN_ARGUMENT
@JSON_OPTION
def history(path: str, as_json: bool) -> None:
    """Prints all recorded events, the oldest first."""
    rollout_plan = _load_plan(path)
    record = _open_record(rollout_plan)
    for change in record.changes():
        for event in record.events(change.number):
            if as_json:
                click.echo(json.dumps(_event_row(event, change.name, change.fence)))
            else:
                click.echo(f"{change.name}  {event.at / SECOND:.1f}  {describe(event, rollout_plan.plan)}")


def _event_row(event: Event, change: str, fence: int) -> dict[str, Any]:
    """Returns an event as a JSON object; operators' scripts read its keys."""
    row: dict[str, Any] = {
        "change": change,
        "fence": fence,
        "at_ms": event.at // MILLISECOND,
        "what": event.kind,
    }
    optional = (("manager", event.gateway), ("to", event.target), ("why", event.reason))
    return row | {key: value for key, value in optional if value}


def _lock(path: str) -> TextIO | None:
    """Returns the locked file that lets one controller run per record; None if another process holds it."""
    file = Path(f"{path}.lock").open("a")  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return None
    return file


def _run_controller(rollout_plan: RolloutPlan, record: ChangeLog, resumed: bool, as_json: bool) -> NoReturn:
    """Runs a controller until the change has ended, then exits."""
    lock = _lock(record.path)  # held until the process ends
    if lock is None:
        _exit_with_error(f"another controller runs on {record.path}")
    from vanerelay.cli import configure_logging

    configure_logging("warning")  # goes to standard error, apart from the progress on standard output
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    from vanerelay.rollout.controller import Controller, ControllerEnd, ControllerResult

    def report(text: str) -> None:
        click.echo(json.dumps({"change": record.name, "told": text}) if as_json else f"{record.name}: {text}")

    results = list[ControllerResult]()
    controller = Controller(reactor, rollout_plan, record, report)

    def on_ended(result: Any) -> None:
        if isinstance(result, ControllerResult):
            results.append(result)
        else:
            click.echo(f"vanerelay: {result.getErrorMessage()}", err=True)
        reactor.stop()

    def run_controller() -> None:
        controller.start(resumed).addBoth(on_ended)

    reactor.callWhenRunning(run_controller)
    reactor.run()
    record.close()
    if not results:
        sys.exit(EXIT_UNDER_WAY)
    result = results[0]
    reason = f": {result.reason}" if result.reason else ""
    report(f"{result.end}{reason}; managers it had reached: {', '.join(result.reached) or 'none'}")
    exit_codes: dict[str, int] = {
        ControllerEnd.DONE: EXIT_DONE,
        ControllerEnd.ROLLED_BACK: EXIT_ROLLED_BACK,
        ControllerEnd.FENCED: EXIT_FENCED,
    }
    sys.exit(exit_codes[result.end])


@click.command()
@click.argument("path", metavar="FILE")
def keep(path: str) -> None:
    """Supervises one manager as FILE (HCL) describes, and starts the next release beside it when ordered."""
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError

    reactor: Any = installed_reactor
    from vanerelay.cli import configure_logging
    from vanerelay.rollout import supervisor

    configure_logging("info")
    try:
        gateway_supervisor = supervisor.Supervisor(reactor, supervisor.load(path))
        reactor.callWhenRunning(gateway_supervisor.run)
    except (plan_reader.OperatorConfigError, OSError, CannotListenError) as error:
        _exit_with_error(str(error))
    reactor.run()
