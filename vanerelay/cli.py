"""The command line: `serve` runs the gateway, `check` validates a configuration."""

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


def configure_logging(level: str) -> None:
    """Configures the log: lines of this level and above go to standard error, as JSON."""
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
    """Returns a processor that adds to each line the seconds since this call.

    They give the order of lines even if the wall clock was set meanwhile.
    """
    started_at = time.monotonic()

    def add_uptime(_logger: Any, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event["up_s"] = round(time.monotonic() - started_at, 4)
        return event

    return add_uptime


@provider(ILogObserver)  # type: ignore[misc]
def _log_twisted_error(event: LogEvent) -> None:
    """Writes the errors that Twisted reports to the log of this gateway."""
    if event.get("log_level") in (LogLevel.error, LogLevel.critical):
        failure = event.get("log_failure")
        log.error(formatEvent(event), fault=failure.getTraceback() if failure else None)


class LazyGroup(click.Group):
    """A command group that imports the commands of a subsystem only when they are looked up.

    A gateway that runs without a subsystem imports none of its modules, and needs none of its packages.
    """

    SUBSYSTEM_COMMANDS = {
        "members": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "proxies": ("vanerelay.membership.commands", "requirements-membership.txt"),
        "fleet": ("vanerelay.fleet.commands", "requirements-membership.txt"),
        "keep": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "rollout": ("vanerelay.rollout.commands", "requirements-membership.txt"),
        "lab": ("vanerelay.lab.commands", "requirements-lab.txt"),
    }
    """For each command, its module and the requirements file that pins the packages it needs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, also of those not imported yet."""
        return sorted([*super().list_commands(ctx), *self.SUBSYSTEM_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command of this name, importing its module if it belongs to a subsystem."""
        if cmd_name not in self.SUBSYSTEM_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module, requirements = self.SUBSYSTEM_COMMANDS[cmd_name]
        command = getattr(_import_subsystem(module, requirements), cmd_name)
        assert isinstance(command, click.Command)
        return command


def _exit_with_error(reason: str) -> NoReturn:
    """Writes the reason to standard error, in one line, and exits with code 2."""
    click.echo(f"vanerelay: {reason}", err=True)
    sys.exit(2)


def _import_subsystem(module: str, requirements: str) -> Any:
    """Imports a module of a subsystem; exits with an error if a package that it needs is not installed."""
    try:
        return importlib.import_module(module)
    except ModuleNotFoundError as error:
        _exit_with_error(
            f"{error.name} is not installed, expected the Python packages that {requirements} pins"
        )


def _read_subsystem_options(path: str | None) -> dict[str, Any]:
    """Reads the operators' file.

    Args:
        path: The path of the file, or None if there is none.

    Returns:
        The configuration of each subsystem that the file switches on, by the name of its block.
    """
    if path is None:
        return {}
    requirements = "requirements-xds.txt"
    operator_config = _import_subsystem("vanerelay.operator_config", requirements)
    try:
        subsystems: dict[str, Any] = operator_config.read_subsystems(path)
        return subsystems
    except operator_config.OperatorConfigError as error:
        _exit_with_error(f"operators' file cannot be used: {error}")
    except ModuleNotFoundError as error:
        _exit_with_error(
            f"{error.name} is not installed, expected the Python packages that {requirements} pins"
        )


@click.group(cls=LazyGroup)
def main() -> None:
    """vanerelay, a query gateway: decides which query runs on which engine, when and with how much memory."""


SERVE_HELP = (
    "Serves clients until SIGTERM, then answers the queries that it has accepted and exits. SIGHUP reloads "
    "the configuration and connects to the discovery service that it names."
)


@main.command(help=SERVE_HELP)
@click.option(
    "--config", envvar="LB_CONFIG", required=True, help="Path of the JSON configuration [LB_CONFIG]."
)
@click.option(
    "--listen", envvar="LB_LISTEN", help="HOST:PORT for clients [LB_LISTEN]; default: as configured."
)
@click.option("--name", envvar="LB_NAME", help="Name in the log [LB_NAME]; default: as configured.")
@click.option("--options", help="Path of the operators' file (HCL), which switches subsystems on.")
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option(
    "--listen-fd", type=int, hidden=True, help="File descriptor of a supervisor's listening socket."
)
@click.option(
    "--ready-fd", type=int, hidden=True, help="File descriptor to write to once queries are accepted."
)
def serve(
    config: str,
    listen: str | None,
    name: str | None,
    options: str | None,
    log_level: str,
    listen_fd: int | None,
    ready_fd: int | None,
) -> None:
    """Runs the gateway until SIGTERM."""
    # The default action of SIGHUP ends the program. It is ignored until there is a server to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging(log_level)
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
        _exit_with_error(str(error))


def _make_server(
    reactor: Reactor,
    clock: Clock,
    config: str,
    listen: str | None,
    name: str | None,
    options: str | None,
    sockets: SupervisorSockets,
) -> Server:
    """Returns the server with its ports open; exits with an error if it cannot start."""
    from vanerelay.extension import StartupError
    from vanerelay.net.server import Server
    from vanerelay.net.startup import read_configuration

    try:
        subsystems = _read_subsystem_options(options)
        configuration = read_configuration(config)
        name = name or configuration.name
        structlog.contextvars.bind_contextvars(gateway=name)
        make_extensions = None
        if subsystems:
            make_extensions = importlib.import_module("vanerelay.extension_registry").extension_factory(
                subsystems
            )
        return Server(
            reactor, clock, configuration, listen or configuration.listen, name, sockets, make_extensions
        )
    except StartupError as error:
        _exit_with_error(str(error))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        _exit_with_error(f"configuration {config}: {type(error).__name__}: {error}")


@main.command()
@click.argument("config", envvar="LB_CONFIG")
@click.option("--options", help="Path of the operators' file (HCL), validated as well.")
def check(config: str, options: str | None) -> None:
    """Validates a configuration and prints a summary of it, without opening any port."""
    from vanerelay import settings, settings_validation
    from vanerelay.extension import StartupError
    from vanerelay.net import discovery_codec
    from vanerelay.net.startup import read_configuration

    try:
        configuration = read_configuration(config)
        suspect = settings_validation.find_suspect_setting(configuration.raw_settings)
        if suspect is not None:
            raise StartupError(f"configuration {config}: {suspect}")
        service_classes = settings.service_classes(configuration.raw_settings)
        changes = discovery_codec.parse(configuration.initial_list, {}, {})
    except (StartupError, KeyError, TypeError, ValueError, AttributeError) as error:
        _exit_with_error(str(error))
    if isinstance(changes, discovery_codec.Unreadable):
        _exit_with_error(f"initial engine list in the configuration cannot be used: {changes.why}")
    engines = {engine.name for change in changes for engine in change.engines}
    click.echo(f"service groups: {', '.join(service_class.name for service_class in service_classes)}")
    click.echo(f"engines known: {len(engines)}")
    subsystems = _read_subsystem_options(options)
    if "membership" in subsystems:
        sources = sorted(subsystems["membership"].sources, key=lambda source: source.precedence)
        click.echo(f"sources of engines: {', '.join(source.name for source in sources)}")
    if "xds" in subsystems:
        click.echo(f"proxies: {subsystems['xds'].listen}")


@main.command()
def version() -> None:
    """Prints the version."""
    click.echo(f"vanerelay {__version__}")
