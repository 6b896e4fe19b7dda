"""Changes of the settings while the process serves: a reload on SIGHUP, or a request of an extension."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import structlog

from vanerelay import settings_validation
from vanerelay.extension import Extension, StartupError
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.service_settings import RawSettings
from vanerelay.net.startup import read_configuration

log = structlog.get_logger()


class SettingsReload:
    """Replaces the current settings, unless a changed setting requires a restart.

    Attributes:
        settings: The current settings, as the JSON object that was read.
    """

    def __init__(
        self,
        service: GatewayService,
        move_discovery: Callable[[str], None],
        extensions: Sequence[Extension],
        seed: int,
        raw_settings: RawSettings,
    ) -> None:
        """`move_discovery` sets the address to poll from now on, and raises ValueError if it is not valid."""
        self._service = service
        self._move_discovery = move_discovery
        self._extensions = extensions
        self._seed = seed
        self.settings = raw_settings

    def reload_file(self, path: str) -> None:
        """Reloads the configuration file: the address of the discovery service, and the settings.

        A configuration that is not valid changes nothing. If a changed setting requires a restart, all
        settings stay as they are.
        """
        try:
            configuration = read_configuration(path)
            self._move_discovery(configuration.discovery_address)
        except (StartupError, ValueError) as error:
            log.warning("configuration reload failed, settings unchanged", why=str(error))
            return
        raw_settings = configuration.raw_settings
        try:
            for extension in self._extensions:
                raw_settings = extension.reloaded_settings(raw_settings)
        except Exception as error:
            log.warning("configuration reload failed, settings unchanged", why=_describe(error))
            return
        why = self.apply(raw_settings)
        if why is not None:
            log.warning("settings stay until a restart", why=why)

    def apply(self, raw_settings: RawSettings) -> str | None:
        """Replaces the current settings. Returns None, or the reason why they cannot be replaced."""
        try:
            return settings_validation.find_error(raw_settings) or self._replace(raw_settings)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            return _describe(error)

    def _replace(self, raw_settings: RawSettings) -> str | None:
        if raw_settings == self.settings:
            return None
        why = settings_validation.find_restart_setting(self.settings, raw_settings)
        for extension in self._extensions:
            why = why or extension.settings_conflict(raw_settings)
        if why is not None:
            return why
        self._service.apply_settings(self._seed, raw_settings)
        self.settings = raw_settings
        log_fields: dict[str, Any] = {}
        for extension in self._extensions:
            log_fields |= extension.settings_applied(raw_settings)
        names = [str(service_class["name"]) for service_class in raw_settings["classes"]]
        log.info("settings switched", service_classes=names, **log_fields)
        return None


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
