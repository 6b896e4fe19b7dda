"""A manager's place in its fleet as a part of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.fleet import release
from vanerelay.fleet.config import FleetConfig
from vanerelay.fleet.service import Fleet


class FleetExtension(Extension):
    fleet: Fleet

    def __init__(self, host: ExtensionHost, parts: FleetConfig) -> None:
        if not host.name:
            raise StartupError("the fleet knows managers by name: no name, expected one")
        self._host, self._parts = host, parts

    def open(self) -> None:
        host = self._host
        settings = release.settings(host.settings)
        self.fleet = Fleet(
            host.reactor, host.clock, self._parts, host.name, release.program(), settings, host.seed
        )

    def loop_starting(self) -> None:
        self._host.reactor.callWhenRunning(self.fleet.start)
        self.fleet.say(state="serving")

    def settings_applied(self, profile: dict[str, Any]) -> dict[str, Any]:
        told = {"settings": release.settings(profile)}
        self.fleet.say(**told)
        return told

    def draining(self) -> None:
        if self._host.supervised:
            self.fleet.hand_over()
        else:
            self.fleet.say(state="draining")

    def stop(self) -> Deferred[Any]:
        return self.fleet.leave().addCallback(lambda _: self.fleet.stop())
