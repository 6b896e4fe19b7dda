"""The fleet as an extension of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.fleet import release
from vanerelay.fleet.config import FleetConfig
from vanerelay.fleet.service import DRAINING_STATE, SERVING_STATE, FleetService


class FleetExtension(Extension):
    """Joins the fleet before the program serves, and leaves it when the program ends."""

    fleet: FleetService

    def __init__(self, host: ExtensionHost, config: FleetConfig) -> None:
        if not host.name:
            raise StartupError("the fleet knows managers by name: no name, expected one")
        self._host, self._config = host, config

    def open(self) -> None:
        """Makes the service, under the release that is about to serve."""
        host = self._host
        self.fleet = FleetService(
            reactor=host.reactor,
            clock=host.clock,
            config=self._config,
            name=host.name,
            program=release.program(),
            settings=release.settings(host.settings),
            seed=host.seed,
        )

    def loop_starting(self) -> None:
        """Starts to listen and to probe, and announces that this gateway serves."""
        self._host.reactor.callWhenRunning(self.fleet.start)
        self.fleet.announce(state=SERVING_STATE)

    def settings_applied(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Announces the digest of settings that now apply; returns it for the log."""
        announced = {"settings": release.settings(settings)}
        self.fleet.announce(**announced)
        return announced

    def draining(self) -> None:
        """Announces the graceful shutdown, or hands over to a successor under the same name."""
        if self._host.supervised:
            self.fleet.hand_over()
        else:
            self.fleet.announce(state=DRAINING_STATE)

    def stop(self) -> Deferred[Any]:
        """Leaves the fleet; fires once that has been announced."""
        return self.fleet.leave().addCallback(lambda _: self.fleet.stop())
