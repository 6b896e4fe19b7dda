"""`vanerelay fleet`: commands that show operators the state of a running fleet."""

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

OPTIONS_OPTION = click.option("--options", help="Operators' file with the address of the gateway to ask.")
ADDRESS_OPTION = click.option(
    "--address", help="HOST:PORT of a gateway's fleet listener, instead of --options."
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Prints JSON, one object per line.")

T = TypeVar("T")


def exit_with_error(*lines: str) -> NoReturn:
    """Prints the lines to standard error and exits with `FAILURE_EXIT_CODE`."""
    for line in lines:
        click.echo(f"vanerelay: {line}", err=True)
    sys.exit(FAILURE_EXIT_CODE)


def gateway_address(options: str | None, address: str | None) -> str:
    """Returns the address of the gateway to ask: the given one, or the one in its operators' file."""
    from vanerelay.operator_config import OperatorConfigError, read_subsystems

    if address:
        return address
    if not options:
        exit_with_error("no gateway given, expected --address or --options")
    try:
        subsystems = read_subsystems(options)
    except OperatorConfigError as error:
        exit_with_error(str(error))
    if "fleet" not in subsystems:
        exit_with_error(f"{options}: no fleet block found, expected one with the address to ask (listen)")
    return str(subsystems["fleet"].listen)


def run_in_reactor(function: Callable[[Any], Deferred[T]]) -> T:
    """Runs the reactor until the Deferred of `function` fires, and returns its result.

    Exits with an error message where the Deferred fails.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    results = list[Any]()

    def start() -> None:
        function(reactor).addBoth(results.append).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    result = results[0]
    if isinstance(result, Failure):
        exit_with_error(result.getErrorMessage())
    value: T = result
    return value


@click.group()
def fleet() -> None:
    """Shows the members and leases of a running fleet."""


@fleet.command()
@OPTIONS_OPTION
@ADDRESS_OPTION
@JSON_OPTION
def show(options: str | None, address: str | None, as_json: bool) -> None:
    """Shows the members as each gateway that replies sees them. Exits with 1 where views differ."""
    first_address = gateway_address(options, address)
    views = run_in_reactor(lambda reactor: _collect_views(RpcNode(reactor), first_address))
    members_by_viewer = {name: messages.to_members(view.rows) for name, view in views.items()}
    differences = view_differences(members_by_viewer)
    for member in _newest_members(members_by_viewer):
        _print_member(member, member.name in views, as_json)
    for difference in differences:
        _print_difference(difference, as_json)
    sys.exit(1 if differences else 0)


def _newest_members(members_by_viewer: dict[str, list[Member]]) -> list[Member]:
    """Returns the newest report on each member; shorter names first, so that m2 comes before m10."""
    newest = dict[str, Member]()
    for members in members_by_viewer.values():
        for member in members:
            known = newest.get(member.name)
            if known is None or member.is_newer_than(known):
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


def _collect_views(node: RpcNode, first_address: str) -> Deferred[dict[str, messages.View]]:
    """Returns the views of a gateway and of all members it knows, by name, where they reply."""
    views = dict[str, messages.View]()

    def request_view(address: str) -> Deferred[messages.View | None]:
        reply: Deferred[Any] = node.call(address, messages.VIEW_KIND, b"", REPLY_TIMEOUT_S)
        return reply.addCallback(lambda body: messages.decode(body, messages.View))

    def request_others(view: messages.View | None) -> Deferred[Any]:
        if view is None:
            raise ValueError(f"{first_address}: its reply to the view request cannot be decoded")
        views[view.name] = view
        others = [row for row in view.rows if row.name != view.name and _is_reachable(row)]
        return DeferredList([request_view(row.address) for row in others], consumeErrors=True)

    def finish(results: list[tuple[bool, Any]]) -> dict[str, messages.View]:
        for succeeded, view in results:
            if succeeded and view is not None:
                views[view.name] = view
        node.stop()
        return views

    return request_view(first_address).addCallback(request_others).addCallback(finish)


def _is_reachable(row: messages.MemberRow) -> bool:
    return bool(row.address) and row.status != MemberState.LEFT


@fleet.command()
@OPTIONS_OPTION
@ADDRESS_OPTION
@JSON_OPTION
def leases(options: str | None, address: str | None, as_json: bool) -> None:
    """Shows the holder of each task of the fleet and the state of each voter, as the gateways report.

    Exits with 1 where a task has no holder, or fewer voters than a quorum vote.
    """
    first_address = gateway_address(options, address)
    views = run_in_reactor(lambda reactor: _collect_lease_views(reactor, first_address))
    summary = lease_summary.summarize(views)
    for line in summary.json_lines() if as_json else summary.text_lines():
        click.echo(line)
    sys.exit(0 if summary.healthy else 1)


def _collect_lease_views(reactor: Any, first_address: str) -> Deferred[dict[str, Any]]:
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
                lease_messages.decode(body, lease_messages.LeasesStatus)
                for succeeded, body in results
                if succeeded
            ]
            return {status.name: status for status in replies if status is not None}

        return DeferredList(requests, consumeErrors=True).addCallback(finish)

    return _collect_views(RpcNode(reactor), first_address).addCallback(request_all)
