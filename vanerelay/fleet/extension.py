"""A manager's place in its fleet as a part of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.extension import BadStart, Host, Part
from vanerelay.fleet import release
from vanerelay.fleet.config import Parts
from vanerelay.fleet.service import Fleet


class FleetPart(Part):
    fleet: Fleet

    def __init__(self, host: Host, parts: Parts) -> None:
        if not host.name:
            raise BadStart("the fleet knows managers by name: no name, expected one")
        self._host, self._parts = host, parts

    def open(self) -> None:
        host = self._host
        settings = release.settings(host.profile)
        self.fleet = Fleet(
            host.reactor, host.clock, self._parts, host.name, release.program(), settings, host.seed
        )

    def running(self) -> None:
        self._host.reactor.callWhenRunning(self.fleet.start)
        self.fleet.say(state="serving")

    def switched(self, profile: dict[str, Any]) -> dict[str, Any]:
        told = {"settings": release.settings(profile)}
        self.fleet.say(**told)
        return told

    def draining(self) -> None:
        if self._host.kept:
            self.fleet.hand_over()
        else:
            self.fleet.say(state="draining")

    def stop(self) -> Deferred[Any]:
        return self.fleet.leave().addCallback(lambda _: self.fleet.stop())
