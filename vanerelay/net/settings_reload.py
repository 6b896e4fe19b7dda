"""The change to other settings while the program serves: read again on SIGHUP, or ordered by an extension."""

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
    """Puts other settings in force, where nothing in them takes a restart.

    Attributes:
        settings: The settings in force, as the JSON object that was read.
    """

    def __init__(
        self,
        service: GatewayService,
        move_discovery: Callable[[str], None],
        extensions: Sequence[Extension],
        seed: int,
        raw_settings: RawSettings,
    ) -> None:
        """`move_discovery`: polls another address from now on; raises ValueError where it is none."""
        self._service = service
        self._move_discovery = move_discovery
        self._extensions = extensions
        self._seed = seed
        self.settings = raw_settings

    def read_again(self, path: str) -> None:
        """Follows a discovery service that has moved, and goes on under the settings of the file.

        A wrong configuration changes nothing; settings that take a restart stay as they are.
        """
        try:
            configuration = read_configuration(path)
            self._move_discovery(configuration.discovery_address)
        except (StartupError, ValueError) as error:
            log.warning("configuration not read again", why=str(error))
            return
        raw_settings = configuration.raw_settings
        try:
            for extension in self._extensions:
                raw_settings = extension.reloaded_settings(raw_settings)
        except Exception as error:
            log.warning("configuration not read again", why=_describe(error))
            return
        why = self.apply(raw_settings)
        if why is not None:
            log.warning("settings stay until a restart", why=why)

    def apply(self, raw_settings: RawSettings) -> str | None:
        """Goes on under other settings; the reason where it cannot."""
        try:
            return settings_validation.find_error(raw_settings) or self._switch(raw_settings)
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            return _describe(error)

    def _switch(self, raw_settings: RawSettings) -> str | None:
        if raw_settings == self.settings:
            return None
        why = settings_validation.find_restart_setting(self.settings, raw_settings)
        for extension in self._extensions:
            why = why or extension.settings_conflict(raw_settings)
        if why is not None:
            return why
        self._service.apply_settings(self._seed, raw_settings)
        self.settings = raw_settings
        noted: dict[str, Any] = {}
        for extension in self._extensions:
            noted |= extension.settings_applied(raw_settings)
        names = [str(service_class["name"]) for service_class in raw_settings["classes"]]
        log.info("settings switched", service_classes=names, **noted)
        return None


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
