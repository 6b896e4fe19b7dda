"""The command line: `serve` runs the workload manager, `check` reads a configuration."""

from __future__ import annotations

import importlib
import logging
import signal
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import click
import structlog
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import provider  # type: ignore[import-untyped]

from vanerelay import __version__


def log_to(level: str) -> None:
    started_at = time.monotonic()

    def add_uptime(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """The order of lines, and the spans between them, where the wall clock was stepped."""
        event["up_s"] = round(time.monotonic() - started_at, 4)
        return event

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            add_uptime,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    # What Twisted has to say of faults goes the same way.
    told = structlog.get_logger()

    @provider(ILogObserver)  # type: ignore[misc]
    def observe(event: LogEvent) -> None:
        if event.get("log_level") in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            told.error(formatEvent(event), fault=failure.getTraceback() if failure else None)

    globalLogBeginner.beginLoggingTo([observe], redirectStandardIO=False, discardBuffer=True)


class Lazy(click.Group):
    """Loads a subsystem's commands when they are called: a start without them imports nothing of theirs."""

    PARTS = {
        "members": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "proxies": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "fleet": ("vanerelay.fleet.commands", "requirements-membership.txt"),
        "keep": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "rollout": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "lab": ("vanerelay.lab.commands", "requirements-lab.txt"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.PARTS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self.PARTS:
            return super().get_command(ctx, cmd_name)
        module, needs = self.PARTS[cmd_name]
        command = getattr(_subsystem(module, needs), cmd_name)
        assert isinstance(command, click.Command)
        return command


def _subsystem(module: str, needs: str) -> Any:
    """A subsystem that may be left out of an installation."""
    try:
        return importlib.import_module(module)
    except ModuleNotFoundError as fault:
        click.echo(f"vanerelay: {fault.name} is not installed, expected what {needs} pins", err=True)
        sys.exit(2)


def _subsystems(path: str | None) -> dict[str, Any]:
    """What the operators' options switch on, by name."""
    if path is None:
        return {}
    options = _subsystem("vanerelay.operator_config", "requirements-xds.txt")
    try:
        found: dict[str, Any] = options.read_subsystems(path)
        return found
    except options.OperatorConfigError as fault:
        click.echo(f"vanerelay: options {fault}", err=True)
    except ModuleNotFoundError as fault:
        wanted = "expected what requirements-xds.txt pins"
        click.echo(f"vanerelay: {fault.name} is not installed, {wanted}", err=True)
    sys.exit(2)


@click.group(cls=Lazy)
def main() -> None:
    """vanerelay, a query gateway: decides what runs, where and with how much memory."""


@main.command()
@click.option("--config", envvar="LB_CONFIG", required=True, help="The configuration, as JSON [LB_CONFIG].")
@click.option("--listen", envvar="LB_LISTEN", help="HOST:PORT for clients [LB_LISTEN]; else as configured.")
@click.option("--name", envvar="LB_NAME", help="The name in the log [LB_NAME]; else as configured.")
@click.option("--options", help="The operators' own file, as HCL: subsystems that are switched on.")
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--listen-fd", type=int, hidden=True, help="The listening socket of a keeper.")
@click.option("--ready-fd", type=int, hidden=True, help="Where to tell a keeper that batches are taken.")
def serve(
    config: str,
    listen: str | None,
    name: str | None,
    options: str | None,
    log_level: str,
    listen_fd: int | None,
    ready_fd: int | None,
) -> None:
    """Serves clients until SIGTERM, then answers what it has taken and ends. SIGHUP reads the configuration
    again and follows the feed that it names."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # unhandled it ends the program; so early nothing was read
    log_to(log_level)
    from twisted.internet.main import installReactor

    from vanerelay.clock import Clock
    from vanerelay.net.reactor import Reactor

    clock = Clock()
    reactor = Reactor(clock)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    from vanerelay.extension import StartupError
    from vanerelay.net.server import Server, SupervisorSockets, read

    try:
        parts = _subsystems(options)
        told = read(config)
        name = name or str(told.get("name", ""))
        structlog.contextvars.bind_contextvars(gateway=name)
        join = importlib.import_module("vanerelay.extension_registry").joins(parts) if parts else None
        program = Server(
            reactor,
            clock,
            told,
            listen or str(told.get("listen", "")),
            name,
            SupervisorSockets(listen_fd, ready_fd),
            join,
        )
    except StartupError as fault:
        click.echo(f"vanerelay: {fault}", err=True)
        sys.exit(2)
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        click.echo(f"vanerelay: configuration {config}: {type(fault).__name__}: {fault}", err=True)
        sys.exit(2)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(program.reload, config))
    try:
        program.run()
    except StartupError as fault:
        click.echo(f"vanerelay: {fault}", err=True)
        sys.exit(2)


@main.command()
@click.argument("config", envvar="LB_CONFIG")
@click.option("--options", help="The operators' own file, read as well.")
def check(config: str, options: str | None) -> None:
    """Reads a configuration and says what it tells, without listening anywhere."""
    from vanerelay import settings, settings_validation
    from vanerelay.extension import StartupError
    from vanerelay.net import discovery_codec
    from vanerelay.net.server import read

    try:
        told = read(config)
        why = settings_validation.find_doubt(told["settings"])
        if why is not None:
            raise StartupError(f"configuration {config}: {why}")
        groups = settings.service_classes(told["settings"])
        changes = discovery_codec.parse(told["known"], {}, {})
    except (StartupError, KeyError, TypeError, ValueError, AttributeError) as fault:
        click.echo(f"vanerelay: {fault}", err=True)
        sys.exit(2)
    if isinstance(changes, discovery_codec.Unreadable):
        click.echo(f"vanerelay: the list known at the start: {changes.why}", err=True)
        sys.exit(2)
    engines = {member.name for change in changes for member in change.engines}
    click.echo(f"service groups: {', '.join(group.name for group in groups)}")
    click.echo(f"engines known: {len(engines)}")
    parts = _subsystems(options)
    if "membership" in parts:
        sources = sorted(parts["membership"].sources, key=lambda source: source.precedence)
        click.echo(f"sources of engines: {', '.join(source.name for source in sources)}")
    if "xds" in parts:
        click.echo(f"proxies: {parts['xds'].listen}")


@main.command()
def version() -> None:
    """Says which version this is."""
    click.echo(f"vanerelay {__version__}")
