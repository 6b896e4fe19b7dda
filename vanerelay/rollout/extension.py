"""The extension that adds the agent of rolling changes to the served program."""

from __future__ import annotations

from typing import Any

from vanerelay import settings_validation
from vanerelay.extension import Extension, ExtensionHost
from vanerelay.fleet import release
from vanerelay.fleet.extension import FleetExtension
from vanerelay.rollout.agent import RolloutAgent
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.class_totals import ClassTotals
from vanerelay.rollout.config import RolloutConfig


class RolloutExtension(Extension):
    """Starts the agent, applies ordered settings and counts queries for the canary analysis."""

    def __init__(self, host: ExtensionHost, config: RolloutConfig, fleet: FleetExtension) -> None:
        self._host, self._fleet = host, fleet
        self._store, self._totals = AgentStore(config.folder), ClassTotals()

    def initial_settings(self, raw_settings: dict[str, Any]) -> dict[str, Any]:
        """Returns the settings ordered last if they replaced this configuration and are valid.

        Otherwise returns the settings as configured.
        """
        ordered = self.reloaded_settings(raw_settings)
        is_valid = (
            settings_validation.find_error(ordered) is None
            and settings_validation.find_restart_setting(raw_settings, ordered) is None
        )
        return ordered if is_valid else raw_settings

    def reloaded_settings(self, raw_settings: dict[str, Any]) -> dict[str, Any]:
        """Returns the settings ordered last if they replaced this configuration, else those configured.

        They are not validated here: the reload does that.
        """
        ordered = self._store.read_settings(release.settings_digest(raw_settings))
        return (
            release.with_per_gateway_settings(ordered, raw_settings) if ordered is not None else raw_settings
        )

    def open(self) -> None:
        """Starts to answer the requests of controllers."""
        RolloutAgent(self._host, self._fleet.fleet, self._totals, self._store)

    def query_answered(
        self, service_class: str, earned: float, status: int, duration: int, attempts: int
    ) -> None:
        """Counts an answered query for the canary analysis."""
        self._totals.query_answered(service_class, earned, status, duration, attempts)
