"""The control service as a part of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError

from vanerelay import settings
from vanerelay.engine_list import EngineListChange
from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.membership.control_protocol import Operation
from vanerelay.membership.extension import MembershipExtension
from vanerelay.xds.assignment import Terms
from vanerelay.xds.config import XdsConfig
from vanerelay.xds.service import ControlService


class XdsExtension(Extension):
    """`members`: whose console answers for proxies as well, where there is one."""

    def __init__(self, host: ExtensionHost, parts: XdsConfig, members: MembershipExtension | None) -> None:
        self._host, self._parts, self._members = host, parts, members
        self._service: ControlService | None = None

    def open(self) -> None:
        host, profile = self._host, self._host.settings
        told = Terms(
            tuple(settings.service_classes(profile)),
            settings.capabilities(profile),
            settings.retry_budget_terms(profile),
            settings.slow_start_terms(profile).overload_multiple,
        )
        self._service = ControlService(host.reactor, host.clock, self._parts, host, told, list(host.zones))
        if self._members is not None:
            self._members.membership.set_control_handler(Operation.PROXIES, self._service.answer)
        try:
            self._service.start()
        except (CannotListenError, OSError) as fault:
            raise StartupError(f"the control service: {fault}") from None

    def engines_changed(self, change: EngineListChange) -> None:
        if self._service is not None:
            self._service.listed(change)

    def settings_conflict(self, profile: dict[str, Any]) -> str | None:
        return "proxies are served by the settings of the start"

    def stop(self) -> None:
        if self._service is not None:
            self._service.stop()
