"""`vanerelay members`: what operators ask of list files and of a running instance."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

import click

from vanerelay.engine_list import ListedEngine
from vanerelay.membership import control_socket, list_codec

SOCKET = click.option(
    "--socket",
    envvar="VANERELAY_CONSOLE",
    required=True,
    help="The console of a running instance, as its options name it [VANERELAY_CONSOLE].",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Tells JSON, an object a line.")
SOURCE = click.option("--source", default="", help="The source of list files, if there are several.")


def _fail(*lines: str) -> NoReturn:
    for line in lines:
        click.echo(f"vanerelay: {line}", err=True)
    sys.exit(2)


def _ask(path: str, **request: Any) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    try:
        return control_socket.ask(path, **request)
    except control_socket.Unanswered as fault:
        _fail(str(fault))


def _rows(rows: Iterable[Mapping[str, Any]], as_json: bool, *columns: str) -> None:
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    told = [columns, *([str(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[place]) for line in told) for place in range(len(columns))]
    for line in told:
        click.echo("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())


@click.group()
def members() -> None:
    """The list of engines: its files, what is in force, and why."""


def _names(config: str | None) -> tuple[dict[str, int], dict[str, int]]:
    """Locations and kinds that the settings know; with no settings at hand, any go."""
    if config is None:
        return {}, {}
    try:
        with open(config, encoding="utf-8") as file:
            settings = json.load(file)["settings"]
        listed = settings.get("failureDomains") or [], settings.get("kinds") or []
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as fault:
        _fail(f"configuration {config}: {type(fault).__name__}: {fault}")
    locations, kinds = ({name: row for row, name in enumerate(names)} for names in listed)
    return locations, kinds


CONFIG = click.option(
    "--config",
    envvar="LB_CONFIG",
    help="The configuration, for the localities and flavors that it knows [LB_CONFIG]; without it any go.",
)


def _read(path: str, config: str | None) -> list_codec.EngineList | list_codec.Unusable:
    locations, kinds = _names(config)
    try:
        with open(path, "rb") as file:
            return list_codec.read(file.read(), locations, kinds)
    except OSError as fault:
        return list_codec.Unusable(fault.strerror or str(fault))


@members.command()
@click.argument("files", nargs=-1, required=True)
@CONFIG
@JSON
def check(files: tuple[str, ...], config: str | None, as_json: bool) -> None:
    """Reads list files as a running instance would. Exits with 2 if one cannot be used, a line an error."""
    wrong = []
    for path in files:
        found = _read(path, config)
        if isinstance(found, list_codec.Unusable):
            wrong.append(f"{path}: {found.why}")
            if as_json:
                click.echo(json.dumps({"file": path, "ok": False, "why": found.why}))
        else:
            row = {"file": path, "ok": True, "revision": found.revision, "engines": len(found.members)}
            click.echo(
                json.dumps(row)
                if as_json
                else f"{path}: revision {found.revision}, {len(found.members)} engines"
            )
    if wrong:
        _fail(*wrong)


@members.command()
@click.argument("before")
@click.argument("after")
@CONFIG
@JSON
def diff(before: str, after: str, config: str | None, as_json: bool) -> None:
    """What one list file says that another does not. Exits with 0 if both say the same, else with 1."""
    found = [_read(path, config) for path in (before, after)]
    wrong = [
        f"{path}: {one.why}"
        for path, one in zip((before, after), found, strict=True)
        if isinstance(one, list_codec.Unusable)
    ]
    if wrong:
        _fail(*wrong)
    old, new = (one.members for one in found if not isinstance(one, list_codec.Unusable))
    rows = list(_differences(old, new))
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


@members.command()
@click.argument("name", required=False, default="")
@SOCKET
@JSON
def show(name: str, socket: str, as_json: bool) -> None:
    """The engines in force with their sources; of one NAME, what each source says of it and what comes of
    that."""
    head, rows = _ask(socket, op="show", name=name)
    if name and not as_json:
        row = rows[0]
        click.echo(f"{name}: {json.dumps(row['engine']) if row['engine'] else 'not in force'}")
        click.echo(
            f"because: {row['why']}"
            + (f" ({row['source']}, revision {row['revision']})" if row["source"] else "")
        )
        for source, says in row["says"].items():
            click.echo(f"  {source}: {says}")
        return
    if as_json:
        for source in head.get("sources", ()):
            click.echo(json.dumps(source))
    else:
        _rows(
            head["sources"],
            False,
            "source",
            "precedence",
            "revision",
            "engines",
            "taken_off",
            "stale",
            "heard_s",
        )
        for source in head["sources"]:
            for path, why in source.get("trouble", {}).items():
                click.echo(f"trouble: {path}: {why}")
            if source.get("pinned") is not None:
                click.echo(f"pinned: {source['source']} at revision {source['pinned']}")
        if head["store"]:
            click.echo(f"trouble: {head['store']}")
    _rows(rows, as_json, "id", "host_port", "phase", "weight", "locality", "flavor", "source", "revision")


@members.command()
@click.option(
    "--changes", is_flag=True, help="Changes to engines since the start, in place of accepted lists."
)
@click.option("--most", default=50, type=click.IntRange(1), help="Rows at the most.")
@SOCKET
@JSON
def history(changes: bool, most: int, socket: str, as_json: bool) -> None:
    """Lists that were accepted, the newest first; or the last changes to engines."""
    _, rows = _ask(socket, op="changes" if changes else "history", most=most)
    if changes:
        _rows(rows, as_json, "at_ms", "id", "phase", "weight", "source", "revision", "why")
    else:
        _rows(rows, as_json, "source", "revision", "at_ms", "engines", "why")


@members.command(name="list")
@click.option("--revision", type=int, help="An earlier list out of the history.")
@SOURCE
@SOCKET
def list_(revision: int | None, source: str, socket: str) -> None:
    """An accepted list, as a file that can be edited and put in place again."""
    head, rows = _ask(socket, op="list", source=source, revision=revision)
    click.echo(json.dumps({"revision": head.get("revision", 0), "members": rows}, indent=1))


def _order(socket: str, as_json: bool, says: str, **request: Any) -> None:
    """An order to a running instance, and what came of it: `says` with the words of its answer."""
    head, _ = _ask(socket, **request)
    told = {name: value for name, value in head.items() if name not in ("v", "ok")}
    click.echo(json.dumps(told) if as_json else says.format(**told))


@members.command()
@click.argument("revision", type=int)
@SOURCE
@SOCKET
@JSON
def pin(revision: int, source: str, socket: str, as_json: bool) -> None:
    """Holds a list out of the history in force, whatever the files say, over restarts too."""
    says = "{source}: pinned at revision {pinned}"
    _order(socket, as_json, says, op="pin", revision=revision, source=source)


@members.command()
@SOURCE
@SOCKET
@JSON
def unpin(source: str, socket: str, as_json: bool) -> None:
    """Lets the files count again."""
    _order(socket, as_json, "{source}: the files count again", op="unpin", source=source)


@members.command()
@SOURCE
@SOCKET
@JSON
def confirm(source: str, socket: str, as_json: bool) -> None:
    """Says that a list held back, since it loses many engines at once, is meant."""
    _order(socket, as_json, "{source}: revision {revision} is in force", op="confirm", source=source)


@click.command()
@SOCKET
@JSON
def proxies(socket: str, as_json: bool) -> None:
    """The streams of proxies at the control service: what they acknowledged, how far behind, what they
    refused."""
    head, rows = _ask(socket, op="proxies")
    if not as_json:
        click.echo(f"proxies that share: {head['proxies']}, streams: {head['streams']}")
        for row in rows:
            row["acknowledged"] = " ".join(f"{kind}:{one or '-'}" for kind, one in row["versions"].items())
    _rows(rows, as_json, "node", "locality", "protocol", "behind_s", "unsent", "nacks", "acknowledged")
    for row in () if as_json else rows:
        for kind, why in row["refused"].items():
            click.echo(f"refused: {row['node']}: {kind}: {why}")
