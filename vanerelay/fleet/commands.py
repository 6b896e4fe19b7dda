"""`vanerelay fleet`: what operators ask of managers that know each other."""

from __future__ import annotations

import json
import sys
from typing import Any, NoReturn

import click
from twisted.internet.defer import Deferred, DeferredList

from vanerelay.fleet import messages
from vanerelay.fleet.failure_detector import MemberState, splits
from vanerelay.fleet.rpc import RpcNode

PATIENCE_S = 3.0

FILE = click.option("--options", help="The operators' file of a manager: its own address is asked.")
ADDRESS = click.option("--address", help="HOST:PORT of a manager's fleet listener, in place of --options.")


def fail(*lines: str) -> NoReturn:
    for line in lines:
        click.echo(f"vanerelay: {line}", err=True)
    sys.exit(2)


def asked_address(options: str | None, address: str | None) -> str:
    from vanerelay.operator_config import BadOptions, subsystems

    if address:
        return address
    if not options:
        fail("no manager named, expected --address or --options")
    try:
        found = subsystems(options)
    except BadOptions as fault:
        fail(str(fault))
    if "fleet" not in found:
        fail(f"{options}: no fleet block, expected one")
    return str(found["fleet"].listen)


def run(work: Any) -> Any:
    """Runs a function that gives a Deferred, and gives what it comes to."""
    from twisted.internet import reactor as found

    reactor: Any = found
    result = list[Any]()

    def go() -> None:
        work(reactor).addBoth(result.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(go)
    reactor.run()
    if hasattr(result[0], "getErrorMessage"):
        fail(result[0].getErrorMessage())
    return result[0]


@click.group()
def fleet() -> None:
    """The managers that know each other."""


@fleet.command()
@FILE
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")
def show(options: str | None, address: str | None, as_json: bool) -> None:
    """Who there is, as each manager that answers sees it. Exits with 1 where views differ."""
    first = asked_address(options, address)
    views: dict[str, messages.View] = run(lambda reactor: _views(reactor, first))
    told = {name: messages.members(view.rows) for name, view in views.items()}
    differ = splits(told)
    newest = dict[str, Any]()
    for rows in told.values():
        for member in rows:
            known = newest.get(member.name)
            if known is None or member.newer(known):
                newest[member.name] = member
    for name in sorted(newest, key=lambda name: (len(name), name)):
        member = newest[name]
        row = {
            "name": name,
            "standing": member.standing.name.lower(),
            "state": member.state,
            "domain": member.domain,
            "program": member.program,
            "settings": member.settings,
            "incarnation": member.incarnation,
            "answers": name in views,
        }
        if as_json:
            click.echo(json.dumps(row))
        else:
            heard = (
                "" if name in views or member.standing is not MemberState.ALIVE else "  does not answer us"
            )
            click.echo(
                f"{name:<12} {row['standing']:<8} {row['state']:<9} {row['domain']:<10} "
                f"{row['program']:<20} {row['settings']:<13}{heard}".rstrip()
            )
    for split in differ:
        if as_json:
            click.echo(json.dumps({"split": split.name, **{word: list(who) for word, who in split.says}}))
        else:
            says = "; ".join(f"{word} as {', '.join(who)} see it" for word, who in split.says)
            click.echo(f"views differ: {split.name}: {says}")
    sys.exit(1 if differ else 0)


def _views(reactor: Any, first: str) -> Deferred[dict[str, messages.View]]:
    links = RpcNode(reactor)
    found = dict[str, messages.View]()

    def ask(address: str) -> Deferred[messages.View | None]:
        asked: Deferred[Any] = links.ask(address, "view", b"", PATIENCE_S)
        return asked.addCallback(lambda body: messages.decode(body, messages.View))

    def others(view: messages.View | None) -> Deferred[Any]:
        if view is None:
            raise ValueError(f"{first} gives no view that can be read")
        found[view.name] = view
        at = [
            row.address
            for row in view.rows
            if row.name != view.name and row.address and row.standing != MemberState.LEFT
        ]
        return DeferredList([ask(address) for address in at], consumeErrors=True)

    def ended(results: list[tuple[bool, Any]]) -> dict[str, messages.View]:
        for good, view in results:
            if good and view is not None:
                found[view.name] = view
        links.stop()
        return found

    return ask(first).addCallback(others).addCallback(ended)


@fleet.command()
@FILE
@ADDRESS
@click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")
def leases(options: str | None, address: str | None, as_json: bool) -> None:
    """Who holds which task of the fleet, as each manager that answers says of itself, and how voters stand.

    Exits with 1 where a task is held by nobody, or too few voters vote."""
    first = asked_address(options, address)
    views: dict[str, Any] = run(lambda reactor: _leases(reactor, first))
    found = _held(views)
    for row in found["tasks"]:
        if as_json:
            click.echo(json.dumps(row))
        else:
            number = f"{row['number'] >> 32}.{row['number'] & 0xFFFFFFFF}"
            held = f"{row['holder']:<12} {number:<10} {row['left_ms'] / 1000:.1f} s left"
            click.echo(f"{row['task']:<20} {held if row['holder'] else 'held by nobody'}")
    for row in found["voters"]:
        if as_json:
            click.echo(json.dumps(row))
        else:
            why = f"  {row['why']}" if row["why"] else ""
            click.echo(f"voter {row['voter']:<14} {row['memory']:<10} era {row['era']}{why}")
    sys.exit(0 if found["good"] else 1)


def _leases(reactor: Any, first: str) -> Deferred[dict[str, Any]]:
    from vanerelay.leases import messages as lease_words

    links = RpcNode(reactor)

    def each(views: dict[str, messages.View]) -> Deferred[dict[str, Any]]:
        at = {
            row.name: row.address
            for view in views.values()
            for row in view.rows
            if row.address and row.standing != MemberState.LEFT
        }
        names = sorted(at)
        asked = [links.ask(at[name], "leases", b"", PATIENCE_S) for name in names]

        def ended(results: list[tuple[bool, Any]]) -> dict[str, Any]:
            links.stop()
            told = [lease_words.decode(body, lease_words.View) for good, body in results if good]
            return {view.name: view for view in told if view is not None}

        return DeferredList(asked, consumeErrors=True).addCallback(ended)

    return _views(reactor, first).addCallback(each)


def _held(views: dict[str, Any]) -> dict[str, Any]:
    """Of all views: tasks with their holders, voters with their standing, and whether all is well."""
    from vanerelay.leases.voter import Voters

    tasks, voters = dict[str, dict[str, Any]](), dict[str, dict[str, Any]]()
    newest = max(views.values(), key=lambda view: view.version, default=None)
    for name, view in sorted(views.items()):
        for row in view.rows:
            known = tasks.setdefault(row.task, {"task": row.task, "holder": "", "number": 0, "left_ms": 0})
            if row.holds and row.number > known["number"]:
                known |= {"holder": name, "number": row.number, "left_ms": row.left_ms}
    counted = Voters(1, tuple(newest.voters), tuple(newest.before)) if newest is not None else Voters()
    for name in counted.all:
        view = views.get(name)
        memory, era = (view.memory, view.era) if view is not None else ("no answer", 0)
        voters[name] = {
            "voter": name,
            "memory": memory,
            "era": era,
            "why": view.why if view is not None else "",
        }
    enough = counted.enough(name for name, row in voters.items() if row["memory"] == "knows")
    return {
        "tasks": [tasks[name] for name in sorted(tasks)],
        "voters": list(voters.values()),
        "good": enough and bool(tasks) and all(row["holder"] for row in tasks.values()),
    }
