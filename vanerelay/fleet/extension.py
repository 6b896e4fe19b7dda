"""The extension that makes a gateway a member of its fleet."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.fleet import release
from vanerelay.fleet.config import FleetConfig
from vanerelay.fleet.service import DRAINING_STATE, SERVING_STATE, FleetService


class FleetExtension(Extension):
    """Joins the fleet before this gateway serves queries, and leaves the fleet when it stops."""

    fleet: FleetService

    def __init__(self, host: ExtensionHost, config: FleetConfig) -> None:
        if not host.name:
            raise StartupError(
                "fleet: this gateway has no name, expected one, as members of a fleet are identified by name"
            )
        self._host, self._config = host, config

    def open(self) -> None:
        """Creates the fleet service, with the program version and settings digest to announce."""
        host = self._host
        self.fleet = FleetService(
            reactor=host.reactor,
            clock=host.clock,
            config=self._config,
            name=host.name,
            program=release.program_version(),
            settings=release.settings_digest(host.settings),
            seed=host.seed,
        )

    def loop_starting(self) -> None:
        """Starts listening and probing once the reactor runs, and announces that this gateway serves."""
        self._host.reactor.callWhenRunning(self.fleet.start)
        self.fleet.announce(state=SERVING_STATE)

    def settings_applied(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Announces the digest of the settings that now apply; returns the digest for the log."""
        announced = {"settings": release.settings_digest(settings)}
        self.fleet.announce(**announced)
        return announced

    def draining(self) -> None:
        """Announces the graceful shutdown, or hands over to the successor that a supervisor starts."""
        if self._host.supervised:
            self.fleet.hand_over()
        else:
            self.fleet.announce(state=DRAINING_STATE)

    def stop(self) -> Deferred[Any]:
        """Leaves the fleet and closes its connections.

        The result fires once the other members that were notified have replied or failed to.
        """
        return self.fleet.leave().addCallback(lambda _: self.fleet.stop())
