"""What takes orders of a rolling change, as a part of the served program."""

from __future__ import annotations

from typing import Any

from vanerelay import settings_validation
from vanerelay.extension import Extension, ExtensionHost
from vanerelay.fleet import release
from vanerelay.fleet.extension import FleetExtension
from vanerelay.rollout.agent import ClassTotals, RolloutAgent
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.config import RolloutConfig


class RolloutExtension(Extension):
    def __init__(self, host: ExtensionHost, parts: RolloutConfig, fleet: FleetExtension) -> None:
        self._host, self._fleet, self._store, self._tally = (
            host,
            fleet,
            AgentStore(parts.folder),
            ClassTotals(),
        )

    def initial_settings(self, profile: dict[str, Any]) -> dict[str, Any]:
        """Those ordered last, while the configuration is the one that they took the place of."""
        ordered = self.reloaded_settings(profile)
        good = (
            settings_validation.find_error(ordered) is None
            and settings_validation.find_restart_setting(profile, ordered) is None
        )
        return ordered if good else profile

    def reloaded_settings(self, profile: dict[str, Any]) -> dict[str, Any]:
        ordered = self._store.at_start(release.settings(profile))
        return release.with_own(ordered, profile) if ordered is not None else profile

    def open(self) -> None:
        RolloutAgent(self._host, self._fleet.fleet, self._tally, self._store)

    def query_answered(self, group: str, utility: float, code: int, tenths: int, dispatches: int) -> None:
        self._tally.answered(group, utility, code, tenths, dispatches)
