"""The control service as an extension of the served program."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError

from vanerelay import settings
from vanerelay.engine_list import EngineListChange
from vanerelay.extension import Extension, ExtensionHost, StartupError
from vanerelay.membership.control_protocol import Operation
from vanerelay.membership.extension import MembershipExtension
from vanerelay.xds.assignment import AssignmentTerms
from vanerelay.xds.config import XdsConfig
from vanerelay.xds.service import ControlService


class XdsExtension(Extension):
    """Starts and stops the control service; the control socket, if there is one, answers for proxies too."""

    def __init__(
        self, host: ExtensionHost, config: XdsConfig, membership: MembershipExtension | None
    ) -> None:
        self._host = host
        self._config = config
        self._membership = membership
        self._service: ControlService | None = None

    def open(self) -> None:
        """Opens the listener. Raises StartupError."""
        host, raw_settings = self._host, self._host.settings
        terms = AssignmentTerms(
            tuple(settings.service_classes(raw_settings)),
            settings.capabilities(raw_settings),
            settings.retry_budget_terms(raw_settings),
            settings.slow_start_terms(raw_settings).overload_multiple,
            self._config.proxy_share,
        )
        self._service = ControlService(host.reactor, host.clock, self._config, host, terms, list(host.zones))
        if self._membership is not None:
            self._membership.membership.set_control_handler(Operation.PROXIES, self._service.list_streams)
        try:
            self._service.start()
        except (CannotListenError, OSError) as error:
            raise StartupError(f"the control service: {error}") from None

    def engines_changed(self, change: EngineListChange) -> None:
        """Makes assignments anew."""
        if self._service is not None:
            self._service.engines_changed(change)

    def settings_conflict(self, settings: dict[str, Any]) -> str | None:
        """Always a conflict: proxies were handed limits by the settings of the start."""
        return "proxies are served by the settings of the start"

    def stop(self) -> None:
        """Ends all streams."""
        if self._service is not None:
            self._service.stop()
