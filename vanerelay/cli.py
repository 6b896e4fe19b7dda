"""The command line: `serve` runs the gateway, `check` reads a configuration."""

from __future__ import annotations

import importlib
import logging
import signal
import sys
import time
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, NoReturn

import click
import structlog
from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from zope.interface import provider  # type: ignore[import-untyped]

from vanerelay import __version__

if TYPE_CHECKING:
    from vanerelay.clock import Clock
    from vanerelay.net.reactor import Reactor
    from vanerelay.net.server import Server
    from vanerelay.net.startup import SupervisorSockets

log = structlog.get_logger()


def log_to(level: str) -> None:
    """Writes log lines of this level and above to standard error, as JSON."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _uptime_processor(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    globalLogBeginner.beginLoggingTo([_log_twisted_error], redirectStandardIO=False, discardBuffer=True)


def _uptime_processor() -> structlog.types.Processor:
    """Adds the seconds since now to each line: they order lines also where the wall clock was stepped."""
    started_at = time.monotonic()

    def add_uptime(_logger: Any, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event["up_s"] = round(time.monotonic() - started_at, 4)
        return event

    return add_uptime


@provider(ILogObserver)  # type: ignore[misc]
def _log_twisted_error(event: LogEvent) -> None:
    """Writes the errors that Twisted logs as lines of ours."""
    if event.get("log_level") in (LogLevel.error, LogLevel.critical):
        failure = event.get("log_failure")
        log.error(formatEvent(event), fault=failure.getTraceback() if failure else None)


class LazyGroup(click.Group):
    """Loads a subsystem's commands when they are called: a start without them imports nothing of theirs."""

    SUBSYSTEM_COMMANDS = {
        "members": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "proxies": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "fleet": ("vanerelay.fleet.commands", "requirements-membership.txt"),
        "keep": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "rollout": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "lab": ("vanerelay.lab.commands", "requirements-lab.txt"),
    }
    """The module of each command, and the file that pins what it needs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, loaded or not."""
        return sorted([*super().list_commands(ctx), *self.SUBSYSTEM_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of this name, loaded now where a subsystem has it."""
        if cmd_name not in self.SUBSYSTEM_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module, requirements = self.SUBSYSTEM_COMMANDS[cmd_name]
        command = getattr(_subsystem(module, requirements), cmd_name)
        assert isinstance(command, click.Command)
        return command


def _exit(why: str) -> NoReturn:
    """Ends the program with code 2 and one line."""
    click.echo(f"vanerelay: {why}", err=True)
    sys.exit(2)


def _subsystem(module: str, requirements: str) -> Any:
    """A subsystem that may be left out of an installation."""
    try:
        return importlib.import_module(module)
    except ModuleNotFoundError as error:
        _exit(f"{error.name} is not installed, expected what {requirements} pins")


def _subsystems(path: str | None) -> dict[str, Any]:
    """What the operators' options switch on, by name."""
    if path is None:
        return {}
    requirements = "requirements-xds.txt"
    operator_config = _subsystem("vanerelay.operator_config", requirements)
    try:
        found: dict[str, Any] = operator_config.read_subsystems(path)
        return found
    except operator_config.OperatorConfigError as error:
        _exit(f"options {error}")
    except ModuleNotFoundError as error:
        _exit(f"{error.name} is not installed, expected what {requirements} pins")


@click.group(cls=LazyGroup)
def main() -> None:
    """vanerelay, a query gateway: decides what runs, where and with how much memory."""


SERVE_HELP = (
    "Serves clients until SIGTERM, then answers what it has taken and ends. SIGHUP reads the configuration "
    "again and follows the feed that it names."
)


@main.command(help=SERVE_HELP)
@click.option("--config", envvar="LB_CONFIG", required=True, help="The configuration, as JSON [LB_CONFIG].")
@click.option("--listen", envvar="LB_LISTEN", help="HOST:PORT for clients [LB_LISTEN]; else as configured.")
@click.option("--name", envvar="LB_NAME", help="The name in the log [LB_NAME]; else as configured.")
@click.option("--options", help="The operators' own file, as HCL: subsystems that are switched on.")
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--listen-fd", type=int, hidden=True, help="The listening socket of a supervisor.")
@click.option("--ready-fd", type=int, hidden=True, help="Where to tell a supervisor that queries are taken.")
def serve(
    config: str,
    listen: str | None,
    name: str | None,
    options: str | None,
    log_level: str,
    listen_fd: int | None,
    ready_fd: int | None,
) -> None:
    """Serves clients until SIGTERM."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # unhandled it ends the program; so early nothing was read
    log_to(log_level)
    from twisted.internet.main import installReactor

    from vanerelay.clock import Clock
    from vanerelay.net.reactor import Reactor

    clock = Clock()
    reactor = Reactor(clock)
    installReactor(reactor)  # type: ignore[no-untyped-call]
    from vanerelay.extension import StartupError
    from vanerelay.net.startup import SupervisorSockets

    sockets = SupervisorSockets(listen_fd, ready_fd)
    server = _make_server(reactor, clock, config, listen, name, options, sockets)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(server.reload, config))
    try:
        server.run()
    except StartupError as error:
        _exit(str(error))


def _make_server(
    reactor: Reactor,
    clock: Clock,
    config: str,
    listen: str | None,
    name: str | None,
    options: str | None,
    sockets: SupervisorSockets,
) -> Server:
    """The server, with its ports open. Exits where it can't start."""
    from vanerelay.extension import StartupError
    from vanerelay.net.server import Server
    from vanerelay.net.startup import read_configuration

    try:
        subsystems = _subsystems(options)
        configuration = read_configuration(config)
        name = name or configuration.name
        structlog.contextvars.bind_contextvars(gateway=name)
        join = None
        if subsystems:
            join = importlib.import_module("vanerelay.extension_registry").extension_factory(subsystems)
        return Server(reactor, clock, configuration, listen or configuration.listen, name, sockets, join)
    except StartupError as error:
        _exit(str(error))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _exit(f"configuration {config}: {type(error).__name__}: {error}")


@main.command()
@click.argument("config", envvar="LB_CONFIG")
@click.option("--options", help="The operators' own file, read as well.")
def check(config: str, options: str | None) -> None:
    """Reads a configuration and says what it tells, without listening anywhere."""
    from vanerelay import settings, settings_validation
    from vanerelay.extension import StartupError
    from vanerelay.net import discovery_codec
    from vanerelay.net.startup import read_configuration

    try:
        configuration = read_configuration(config)
        why = settings_validation.find_doubt(configuration.raw_settings)
        if why is not None:
            raise StartupError(f"configuration {config}: {why}")
        service_classes = settings.service_classes(configuration.raw_settings)
        changes = discovery_codec.parse(configuration.known_list, {}, {})
    except (StartupError, KeyError, TypeError, ValueError, AttributeError) as error:
        _exit(str(error))
    if isinstance(changes, discovery_codec.Unreadable):
        _exit(f"the list known at the start: {changes.why}")
    engines = {engine.name for change in changes for engine in change.engines}
    click.echo(f"service groups: {', '.join(service_class.name for service_class in service_classes)}")
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
