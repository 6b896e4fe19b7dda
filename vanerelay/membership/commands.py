"""`vanerelay members` and `vanerelay proxies`: what operators ask of list files and of a running instance."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

import click

from vanerelay.engine_list import ListedEngine
from vanerelay.membership import control_socket, list_codec
from vanerelay.membership.control_protocol import Operation
from vanerelay.membership.errors import ListFileError, MembershipError
from vanerelay.membership.list_codec import EngineList

FAILURE_EXIT_CODE = 2
HEAD_PROTOCOL_KEYS = ("v", "ok")
"""Keys of a reply's head that are not for operators."""

SOCKET_OPTION = click.option(
    "--socket",
    envvar="VANERELAY_CONSOLE",
    required=True,
    help="The console of a running instance, as its options name it [VANERELAY_CONSOLE].",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")
SOURCE_OPTION = click.option("--source", default="", help="The source of list files, if there are several.")


def _fail(*lines: str) -> NoReturn:
    for line in lines:
        click.echo(f"vanerelay: {line}", err=True)
    sys.exit(FAILURE_EXIT_CODE)


def _send_request(
    path: str, operation: Operation, **values: Any
) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    try:
        return control_socket.send_request(path, operation, **values)
    except MembershipError as error:
        _fail(str(error))


def _print_rows(rows: Iterable[Mapping[str, Any]], as_json: bool, *columns: str) -> None:
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    lines = [columns, *([str(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    for line in lines:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


@click.group()
def members() -> None:
    """The list of engines: its files, what is in force, and why."""


def _known_names(config: str | None) -> tuple[dict[str, int], dict[str, int]]:
    """Zones and machine kinds that the settings know, with their indices; without settings, any go."""
    if config is None:
        return {}, {}
    try:
        with open(config, encoding="utf-8") as file:
            settings = json.load(file)["settings"]
        names = settings.get("failureDomains") or [], settings.get("kinds") or []
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        _fail(f"configuration {config}: {type(error).__name__}: {error}")
    zones, machine_kinds = ({name: index for index, name in enumerate(listed)} for listed in names)
    return zones, machine_kinds


CONFIG_OPTION = click.option(
    "--config",
    envvar="LB_CONFIG",
    help="The configuration, for the localities and flavors that it knows [LB_CONFIG]; without it any go.",
)


def _read(path: str, config: str | None) -> EngineList:
    """Reads a list file; raises ListFileError."""
    zones, machine_kinds = _known_names(config)
    try:
        with open(path, "rb") as file:
            return list_codec.read(file.read(), zones, machine_kinds)
    except OSError as error:
        raise ListFileError(error.strerror or str(error)) from error


@members.command()
@click.argument("files", nargs=-1, required=True)
@CONFIG_OPTION
@JSON_OPTION
def check(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Reads list files as a running instance would. Exits with 2 if one cannot be used, a line an error."""
    problems = []
    for path in files:
        try:
            found = _read(path, config)
        except ListFileError as error:
            problems.append(f"{path}: {error}")
            if as_json:
                click.echo(json.dumps({"file": path, "ok": False, "why": str(error)}))
            continue
        row = {"file": path, "ok": True, "revision": found.revision, "engines": len(found.engines)}
        text = f"{path}: revision {found.revision}, {len(found.engines)} engines"
        click.echo(json.dumps(row) if as_json else text)
    if problems:
        _fail(*problems)


@members.command()
@click.argument("before")
@click.argument("after")
@CONFIG_OPTION
@JSON_OPTION
def diff(before: str, after: str, config: str | None, as_json: bool) -> None:
    """What one list file says that another does not. Exits with 0 if both say the same, else with 1."""
    lists, problems = [], []
    for path in (before, after):
        try:
            lists.append(_read(path, config))
        except ListFileError as error:
            problems.append(f"{path}: {error}")
    if problems:
        _fail(*problems)
    old, new = lists
    rows = list(_differences(old.engines, new.engines))
    for row in rows:
        click.echo(json.dumps(row) if as_json else f"{row['change']} {row['id']}: {row['what']}")
    sys.exit(1 if rows else 0)


FIELD_LABELS = {"zone": "location", "machine_kind": "kind", "started_at": "started"}
"""How the output of `members diff` names fields whose names in the code are others."""


def _differences(
    old: Mapping[str, ListedEngine], new: Mapping[str, ListedEngine]
) -> Iterable[dict[str, Any]]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield {"change": "-", "id": name, "what": old[name].address}
        elif name not in old:
            yield {"change": "+", "id": name, "what": new[name].address}
        elif old[name] != new[name]:
            fields = [f for f in ListedEngine.__slots__ if getattr(old[name], f) != getattr(new[name], f)]
            changes = (
                f"{FIELD_LABELS.get(f, f)} {_plain(getattr(old[name], f))} to {_plain(getattr(new[name], f))}"
                for f in fields
            )
            yield {"change": "~", "id": name, "what": ", ".join(changes)}


def _plain(value: Any) -> Any:
    return getattr(value, "value", value)


@members.command(
    help="The engines in force with their sources; of one NAME, what each source says of it and what comes "
    "of that."
)
@click.argument("name", required=False, default="")
@SOCKET_OPTION
@JSON_OPTION
def show(name: str, socket: str, as_json: bool) -> None:
    """Prints the engines in force with their sources, or explains one engine."""
    head, rows = _send_request(socket, Operation.SHOW, name=name)
    if name and not as_json:
        _print_explanation(name, rows[0])
        return
    if as_json:
        for source in head.get("sources", ()):
            click.echo(json.dumps(source))
    else:
        _print_sources(head)
    _print_rows(
        rows, as_json, "id", "host_port", "phase", "weight", "locality", "flavor", "source", "revision"
    )


def _print_explanation(name: str, row: Mapping[str, Any]) -> None:
    click.echo(f"{name}: {json.dumps(row['engine']) if row['engine'] else 'not in force'}")
    decided_by = f" ({row['source']}, revision {row['revision']})" if row["source"] else ""
    click.echo(f"because: {row['why']}{decided_by}")
    for source, report in row["says"].items():
        click.echo(f"  {source}: {report}")


def _print_sources(head: Mapping[str, Any]) -> None:
    columns = ("source", "precedence", "revision", "engines", "taken_off", "stale", "heard_s")
    _print_rows(head["sources"], False, *columns)
    for source in head["sources"]:
        for path, problem in source.get("trouble", {}).items():
            click.echo(f"trouble: {path}: {problem}")
        if source.get("pinned") is not None:
            click.echo(f"pinned: {source['source']} at revision {source['pinned']}")
    if head["store"]:
        click.echo(f"trouble: {head['store']}")


@members.command()
@click.option(
    "--changes", is_flag=True, help="Changes to engines since the start, in place of accepted lists."
)
@click.option("--most", default=50, type=click.IntRange(1), help="Rows at the most.")
@SOCKET_OPTION
@JSON_OPTION
def history(changes: bool, most: int, socket: str, as_json: bool) -> None:
    """Lists that were accepted, the newest first; or the last changes to engines."""
    _, rows = _send_request(socket, Operation.CHANGES if changes else Operation.HISTORY, most=most)
    if changes:
        _print_rows(rows, as_json, "at_ms", "id", "phase", "weight", "source", "revision", "why")
    else:
        _print_rows(rows, as_json, "source", "revision", "at_ms", "engines", "why")


@members.command(name="list")
@click.option("--revision", type=int, help="An earlier list out of the history.")
@SOURCE_OPTION
@SOCKET_OPTION
def list_(revision: int | None, source: str, socket: str) -> None:
    """An accepted list, as a file that can be edited and put in place again."""
    head, rows = _send_request(socket, Operation.LIST, source=source, revision=revision)
    click.echo(json.dumps({"revision": head.get("revision", 0), "members": rows}, indent=1))


def _send_order(socket: str, as_json: bool, text_format: str, operation: Operation, **values: Any) -> None:
    """Sends an order to a running instance and prints what came of it: the reply's keys, formatted."""
    head, _ = _send_request(socket, operation, **values)
    outcome = {key: value for key, value in head.items() if key not in HEAD_PROTOCOL_KEYS}
    click.echo(json.dumps(outcome) if as_json else text_format.format(**outcome))


@members.command()
@click.argument("revision", type=int)
@SOURCE_OPTION
@SOCKET_OPTION
@JSON_OPTION
def pin(revision: int, source: str, socket: str, as_json: bool) -> None:
    """Holds a list out of the history in force, whatever the files say, over restarts too."""
    text_format = "{source}: pinned at revision {pinned}"
    _send_order(socket, as_json, text_format, Operation.PIN, revision=revision, source=source)


@members.command()
@SOURCE_OPTION
@SOCKET_OPTION
@JSON_OPTION
def unpin(source: str, socket: str, as_json: bool) -> None:
    """Lets the files count again."""
    text_format = "{source}: the files count again"
    _send_order(socket, as_json, text_format, Operation.UNPIN, source=source)


@members.command()
@SOURCE_OPTION
@SOCKET_OPTION
@JSON_OPTION
def confirm(source: str, socket: str, as_json: bool) -> None:
    """Says that a list held back, since it loses many engines at once, is meant."""
    text_format = "{source}: revision {revision} is in force"
    _send_order(socket, as_json, text_format, Operation.CONFIRM, source=source)


@click.command(
    help="The streams of proxies at the control service: what they acknowledged, how far behind, what they "
    "refused."
)
@SOCKET_OPTION
@JSON_OPTION
def proxies(socket: str, as_json: bool) -> None:
    """Prints the streams of proxies at the control service."""
    head, rows = _send_request(socket, Operation.PROXIES)
    if not as_json:
        click.echo(f"proxies that share: {head['proxies']}, streams: {head['streams']}")
        for row in rows:
            row["acknowledged"] = " ".join(
                f"{kind}:{version or '-'}" for kind, version in row["versions"].items()
            )
    columns = ("node", "locality", "protocol", "behind_s", "unsent", "nacks", "acknowledged")
    _print_rows(rows, as_json, *columns)
    for row in () if as_json else rows:
        for kind, reason in row["refused"].items():
            click.echo(f"refused: {row['node']}: {kind}: {reason}")
