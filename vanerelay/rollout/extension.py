"""What takes orders of a rolling change, as a part of the served program."""

from __future__ import annotations

from typing import Any

from vanerelay import settings_validation
from vanerelay.extension import Host, Part
from vanerelay.fleet import release
from vanerelay.fleet.extension import FleetPart
from vanerelay.rollout.agent import Hand, Tally
from vanerelay.rollout.agent_store import Store
from vanerelay.rollout.config import Parts


class OrdersPart(Part):
    def __init__(self, host: Host, parts: Parts, fleet: FleetPart) -> None:
        self._host, self._fleet, self._store, self._tally = host, fleet, Store(parts.folder), Tally()

    def settings(self, profile: dict[str, Any]) -> dict[str, Any]:
        """Those ordered last, while the configuration is the one that they took the place of."""
        ordered = self.again(profile)
        good = (
            settings_validation.wrong(ordered) is None and settings_validation.fixed(profile, ordered) is None
        )
        return ordered if good else profile

    def again(self, profile: dict[str, Any]) -> dict[str, Any]:
        ordered = self._store.at_start(release.settings(profile))
        return release.with_own(ordered, profile) if ordered is not None else profile

    def open(self) -> None:
        Hand(self._host, self._fleet.fleet, self._tally, self._store)

    def answered(self, group: str, utility: float, code: int, tenths: int, dispatches: int) -> None:
        self._tally.answered(group, utility, code, tenths, dispatches)
