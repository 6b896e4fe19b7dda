"""`vanerelay fleet`: what operators ask of a running fleet."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click
from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from vanerelay.fleet import lease_summary, messages
from vanerelay.fleet.failure_detector import Member, MemberState, ViewDifference, view_differences
from vanerelay.fleet.rpc import RpcNode

REPLY_TIMEOUT_S = 3.0
FAILURE_EXIT_CODE = 2

OPTIONS_OPTION = click.option("--options", help="The operators' file of a manager: its own address is asked.")
ADDRESS_OPTION = click.option(
    "--address", help="HOST:PORT of a manager's fleet listener, in place of --options."
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")

T = TypeVar("T")


def fail(*lines: str) -> NoReturn:
    """Prints what is wrong and ends the program."""
    for line in lines:
        click.echo(f"vanerelay: {line}", err=True)
    sys.exit(FAILURE_EXIT_CODE)


def gateway_address(options: str | None, address: str | None) -> str:
    """The address of the gateway to ask: as given, or out of its operators' file."""
    from vanerelay.operator_config import OperatorConfigError, read_subsystems

    if address:
        return address
    if not options:
        fail("no manager named, expected --address or --options")
    try:
        found = read_subsystems(options)
    except OperatorConfigError as error:
        fail(str(error))
    if "fleet" not in found:
        fail(f"{options}: no fleet block, expected one")
    return str(found["fleet"].listen)


def run_in_reactor(work: Callable[[Any], Deferred[T]]) -> T:
    """Runs a function that returns a Deferred, in a reactor of its own, and returns the result."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    results = list[Any]()

    def start() -> None:
        work(reactor).addBoth(results.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    result = results[0]
    if isinstance(result, Failure):
        fail(result.getErrorMessage())
    found: T = result
    return found


@click.group()
def fleet() -> None:
    """The managers that know each other."""


@fleet.command()
@OPTIONS_OPTION
@ADDRESS_OPTION
@JSON_OPTION
def show(options: str | None, address: str | None, as_json: bool) -> None:
    """Who there is, as each manager that answers sees it. Exits with 1 where views differ."""
    first = gateway_address(options, address)
    views = run_in_reactor(lambda reactor: _collect_views(RpcNode(reactor), first))
    members_by_viewer = {name: messages.to_members(view.rows) for name, view in views.items()}
    differences = view_differences(members_by_viewer)
    for member in _newest_members(members_by_viewer):
        _print_member(member, member.name in views, as_json)
    for difference in differences:
        _print_difference(difference, as_json)
    sys.exit(1 if differences else 0)


def _newest_members(members_by_viewer: dict[str, list[Member]]) -> list[Member]:
    """The newest report on each member, in the order of the names' numbers."""
    newest = dict[str, Member]()
    for members in members_by_viewer.values():
        for member in members:
            known = newest.get(member.name)
            if known is None or member.newer(known):
                newest[member.name] = member
    return [newest[name] for name in sorted(newest, key=lambda name: (len(name), name))]


def _print_member(member: Member, answers: bool, as_json: bool) -> None:
    row = {
        "name": member.name,
        "standing": member.status.name.lower(),
        "state": member.state,
        "domain": member.domain,
        "program": member.program,
        "settings": member.settings,
        "incarnation": member.incarnation,
        "answers": answers,
    }
    if as_json:
        click.echo(json.dumps(row))
        return
    unreachable = not answers and member.status is MemberState.ALIVE
    remark = "  does not answer us" if unreachable else ""
    click.echo(
        f"{member.name:<12} {row['standing']:<8} {row['state']:<9} {row['domain']:<10} "
        f"{row['program']:<20} {row['settings']:<13}{remark}".rstrip()
    )


def _print_difference(difference: ViewDifference, as_json: bool) -> None:
    if as_json:
        opinions = {liveness.value: list(viewers) for liveness, viewers in difference.viewers}
        click.echo(json.dumps({"split": difference.name, **opinions}))
        return
    opinions_text = "; ".join(
        f"{liveness} as {', '.join(viewers)} see it" for liveness, viewers in difference.viewers
    )
    click.echo(f"views differ: {difference.name}: {opinions_text}")


def _collect_views(node: RpcNode, first: str) -> Deferred[dict[str, messages.View]]:
    """The views of one gateway and of all that it knows, by name; without those that do not reply."""
    views = dict[str, messages.View]()

    def request_view(address: str) -> Deferred[messages.View | None]:
        reply: Deferred[Any] = node.call(address, messages.VIEW_KIND, b"", REPLY_TIMEOUT_S)
        return reply.addCallback(lambda body: messages.decode(body, messages.View))

    def request_others(view: messages.View | None) -> Deferred[Any]:
        if view is None:
            raise ValueError(f"{first} gives no view that can be read")
        views[view.name] = view
        others = [row for row in view.rows if row.name != view.name and _is_reachable(row)]
        return DeferredList([request_view(row.address) for row in others], consumeErrors=True)

    def finish(results: list[tuple[bool, Any]]) -> dict[str, messages.View]:
        for good, view in results:
            if good and view is not None:
                views[view.name] = view
        node.stop()
        return views

    return request_view(first).addCallback(request_others).addCallback(finish)


def _is_reachable(row: messages.Row) -> bool:
    return bool(row.address) and row.status != MemberState.LEFT


@fleet.command()
@OPTIONS_OPTION
@ADDRESS_OPTION
@JSON_OPTION
def leases(options: str | None, address: str | None, as_json: bool) -> None:
    """Who holds which task of the fleet, as each manager that answers says of itself, and how voters stand.

    Exits with 1 where a task is held by nobody, or too few voters vote.
    """
    first = gateway_address(options, address)
    views = run_in_reactor(lambda reactor: _collect_lease_views(reactor, first))
    summary = lease_summary.summarize(views)
    for line in summary.json_lines() if as_json else summary.text_lines():
        click.echo(line)
    sys.exit(0 if summary.healthy else 1)


def _collect_lease_views(reactor: Any, first: str) -> Deferred[dict[str, Any]]:
    from vanerelay.leases import messages as lease_messages

    node = RpcNode(reactor)

    def request_all(views: dict[str, messages.View]) -> Deferred[dict[str, Any]]:
        addresses = {
            row.name: row.address for view in views.values() for row in view.rows if _is_reachable(row)
        }
        requests = [
            node.call(addresses[name], lease_messages.STATUS_KIND, b"", REPLY_TIMEOUT_S)
            for name in sorted(addresses)
        ]

        def finish(results: list[tuple[bool, Any]]) -> dict[str, Any]:
            node.stop()
            replies = [
                lease_messages.decode(body, lease_messages.LeasesStatus) for good, body in results if good
            ]
            return {view.name: view for view in replies if view is not None}

        return DeferredList(requests, consumeErrors=True).addCallback(finish)

    return _collect_views(RpcNode(reactor), first).addCallback(request_all)
