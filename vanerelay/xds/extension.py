"""The control service as a part of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError

from vanerelay import settings
from vanerelay.extension import BadStart, Host, Part
from vanerelay.membership.extension import MembersPart
from vanerelay.net.discovery_codec import Change
from vanerelay.xds.assignment import Terms
from vanerelay.xds.config import Parts
from vanerelay.xds.service import ControlService


class ControlPart(Part):
    """`members`: whose console answers for proxies as well, where there is one."""

    def __init__(self, host: Host, parts: Parts, members: MembersPart | None) -> None:
        self._host, self._parts, self._members = host, parts, members
        self._service: ControlService | None = None

    def open(self) -> None:
        host, profile = self._host, self._host.profile
        told = Terms(
            tuple(settings.service_groups(profile)),
            settings.allowances(profile),
            settings.ration_terms(profile),
            settings.cold_start(profile).multiple,
        )
        self._service = ControlService(host.reactor, host.clock, self._parts, host, told, list(host.places))
        if self._members is not None:
            self._members.membership.more["proxies"] = self._service.answer
        try:
            self._service.start()
        except (CannotListenError, OSError) as fault:
            raise BadStart(f"the control service: {fault}") from None

    def listed(self, change: Change) -> None:
        if self._service is not None:
            self._service.listed(change)

    def refuses(self, profile: dict[str, Any]) -> str | None:
        return "proxies are served by the settings of the start"

    def stop(self) -> None:
        if self._service is not None:
            self._service.stop()
