"""`vanerelay rollout`: a change in stages, from its plan to its end."""

from __future__ import annotations

import fcntl
import json
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

from vanerelay.interface import SECOND
from vanerelay.rollout import plan_reader as plans
from vanerelay.rollout.change_log import ChangeLog, ChangeLogError
from vanerelay.rollout.stage_machine import StageMachine

DONE, WENT_BACK, UNUSABLE, UNDER_WAY, FENCED = 0, 1, 2, 3, 4  # exit codes

PLAN = click.argument("path", metavar="PLAN")
JSON = click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")


def _fail(*lines: str) -> NoReturn:
    for one in lines:
        click.echo(f"vanerelay: {one}", err=True)
    sys.exit(UNUSABLE)


def _load(path: str) -> plans.Loaded:
    try:
        return plans.load(path)
    except plans.OperatorConfigError as fault:
        _fail(str(fault))


def _record(loaded: plans.Loaded, make: bool = False) -> ChangeLog:
    try:
        return ChangeLog(loaded.record, make)
    except ChangeLogError as fault:
        _fail(str(fault))


@click.group()
def rollout() -> None:
    """A change in stages: old and new managers side by side, stopped when a stage does worse.

    Exit codes: 0 done, 1 gone back, 2 can't be used, 3 under way, 4 another controller has taken over."""


@rollout.command()
@PLAN
@JSON
def check(path: str, as_json: bool) -> None:
    """Reads the plan and all that it names, asks nobody, and says what would be done."""
    loaded = _load(path)
    course = StageMachine(loaded.plan)
    rows = [
        {"stage": stage.name, "managers": course.aimed(number)}
        for number, stage in enumerate(loaded.plan.stages)
    ]
    for row in rows:
        if as_json:
            click.echo(json.dumps(row))
        else:
            click.echo(f"stage {row['stage']}: {', '.join(row['managers'])}")
    if not as_json:
        click.echo(
            f"judged by: {', '.join(loaded.guards)}; a false stop in {loaded.terms.chance:.2%} of changes"
        )
        for one in loaded.shared:
            click.echo(f"shared by the fleet: {one}; the stricter value holds until all have the new one")


@rollout.command()
@PLAN
@JSON
def start(path: str, as_json: bool) -> None:
    """Begins the change and sees it through."""
    loaded = _load(path)
    record = _record(loaded, True)
    if record.change and not _ended(record):
        _fail(f"{record.name} is under way in {record.path}, expected rollout resume or back")
    try:
        record.begin(loaded.plan.name, loaded.text, 0)
    except ChangeLogError as fault:
        _fail(str(fault))
    _see_through(loaded, record, False, as_json)


def _ended(record: ChangeLog) -> bool:
    events = record.events()
    return bool(events) and events[-1].what == "ended"


@rollout.command()
@PLAN
@JSON
def resume(path: str, as_json: bool) -> None:
    """Goes on with a change that is paused or held; or whose controller is gone, from its record."""
    _word("resume", path, as_json)


@rollout.command()
@PLAN
def pause(path: str) -> None:
    """No manager is changed from now on; those that are stay as they are."""
    record = _record(_load(path))
    _say(record, "pause")
    click.echo(f"{record.name}: to be paused")


@rollout.command()
@PLAN
@JSON
def back(path: str, as_json: bool) -> None:
    """Goes back to the old release, without further evidence."""
    _word("back", path, as_json)


def _say(record: ChangeLog, word: str) -> None:
    try:
        record.say(word)
    except ChangeLogError as fault:
        _fail(str(fault))


def _word(word: str, path: str, as_json: bool) -> None:
    """To the controller that runs; where none does, this one takes over."""
    loaded = _load(path)
    record = _record(loaded)
    if not record.change or _ended(record):
        _fail(f"no change is under way in {record.path}")
    _say(record, word)
    if _locked(record.path) is None:
        click.echo(f"{record.name}: told {word}")
        return
    _see_through(loaded, record, True, as_json)


@rollout.command()
@PLAN
@JSON
def status(path: str, as_json: bool) -> None:
    """How far the change is, by its record. Exits with 0 (done), 1 (gone back) or 3 (under way)."""
    loaded = _load(path)
    record = _record(loaded)
    course = StageMachine.replayed(loaded.plan, record.events())
    running = _locked(record.path) is None
    stage = loaded.plan.stages[course.stage].name if course.stage >= 0 else ""
    how = course.ended or (
        "going back"
        if course.going_back
        else "held"
        if course.held
        else "paused"
        if course.paused
        else "under way"
    )
    unsure = [name for name, known in course.confirmed.items() if not known]
    told = {
        "change": record.name,
        "how": how,
        "why": course.why,
        "stage": stage,
        "fence": record.fence,
        "controller": running,
        "managers": course.wants,
        "unconfirmed": unsure,
        "owed": course.owed() if course.going_back else [],
    }
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(
            f"{record.name}: {how}{f' at stage {stage}' if stage else ''}"
            f"{f' ({course.why})' if course.why else ''}"
        )
        click.echo(
            f"changed: {', '.join(course.new) or 'none'}; not confirmed: {', '.join(unsure) or 'none'}"
        )
        if not running and not course.ended:
            click.echo("no controller runs: vanerelay rollout resume goes on from the record")
    sys.exit({"done": DONE, "back": WENT_BACK}.get(course.ended, UNDER_WAY))


@rollout.command()
@PLAN
@JSON
def history(path: str, as_json: bool) -> None:
    """All that was recorded, the first first."""
    from vanerelay.rollout.controller import line

    loaded = _load(path)
    record = _record(loaded)
    for number, name, fence in record.changes():
        for event in record.events(number):
            if as_json:
                row = {"change": name, "fence": fence, "at_ms": event.at // 10, "what": event.what}
                row |= {
                    key: value
                    for key, value in (("manager", event.manager), ("to", event.to), ("why", event.why))
                    if value
                }
                click.echo(json.dumps(row))
            else:
                click.echo(f"{name}  {event.at / SECOND:.1f}  {line(event, loaded)}")


def _locked(path: str) -> Any:
    """The lock of the controller that runs on this record; None where another holds it."""
    file = Path(f"{path}.lock").open("a")  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return None
    return file


def _see_through(loaded: plans.Loaded, record: ChangeLog, resumed: bool, as_json: bool) -> NoReturn:
    lock = _locked(record.path)
    if lock is None:
        _fail(f"another controller runs on {record.path}")
    from vanerelay.cli import log_to

    log_to("warning")  # on standard error: what people are told goes to standard output alone
    from twisted.internet import reactor as found_reactor

    reactor: Any = found_reactor
    from vanerelay.rollout.controller import Controller, Ending

    def say(text: str) -> None:
        click.echo(json.dumps({"change": record.name, "told": text}) if as_json else f"{record.name}: {text}")

    found = list[Ending]()
    controller = Controller(reactor, loaded, record, say)

    def ended(result: Any) -> None:
        if isinstance(result, Ending):
            found.append(result)
        else:
            click.echo(f"vanerelay: {result.getErrorMessage()}", err=True)
        reactor.stop()

    def begin() -> None:
        controller.start(resumed).addBoth(ended)

    reactor.callWhenRunning(begin)
    reactor.run()
    record.close()
    if not found:
        sys.exit(UNDER_WAY)
    ending = found[0]
    say(
        f"{ending.how}{f': {ending.why}' if ending.why else ''}; managers it had reached: "
        f"{', '.join(ending.reached) or 'none'}"
    )
    sys.exit({"done": DONE, "back": WENT_BACK, "fenced": FENCED}[ending.how])


@click.command()
@click.argument("path", metavar="FILE")
def keep(path: str) -> None:
    """Keeps one manager running by FILE (HCL), and puts the next release beside it when ordered."""
    from twisted.internet import reactor as found_reactor
    from twisted.internet.error import CannotListenError

    reactor: Any = found_reactor
    from vanerelay.cli import log_to
    from vanerelay.rollout import supervisor

    log_to("info")
    try:
        one = supervisor.Supervisor(reactor, *supervisor.load(path))
        reactor.callWhenRunning(one.run)
    except (plans.OperatorConfigError, OSError, CannotListenError) as fault:
        _fail(str(fault))
    reactor.run()
