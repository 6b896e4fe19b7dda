"""The engines that may be sent queries, by name, as the gateway's decisions see them."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from vanerelay.extension import ExtensionHost
from vanerelay.interface import MILLISECOND, EngineState, EngineStatus

REFRESH_INTERVAL = 100 * MILLISECOND
"""How long the engines' statuses are used again: health and load change slower."""

MIN_WEIGHT = 1e-3
"""The least weight of an engine in a draw, so that one of several is always drawn."""


class EngineDirectory:
    """The engines that are up, and the names of those that constrained queries were sent to."""

    def __init__(
        self,
        host: ExtensionHost,
        clock: Callable[[], int],
        chance: random.Random,
        count_queries: Callable[[], int],
    ) -> None:
        """`count_queries` tells how many constrained queries may still need the name of an engine."""
        self._host = host
        self._clock = clock
        self._chance = chance
        self._count_queries = count_queries
        self._available = dict[str, EngineStatus]()
        self._names = dict[int, str]()
        self._refreshed_at = -REFRESH_INTERVAL

    def available(self) -> Mapping[str, EngineStatus]:
        """The engines that may be sent something, by name."""
        now = self._clock()
        if now - self._refreshed_at >= REFRESH_INTERVAL:
            self._refresh()
            self._refreshed_at = now
        return self._available

    def _refresh(self) -> None:
        up = [one for one in self._host.gateway.engine_statuses() if one.entry.state is EngineState.UP]
        self._available = {one.entry.name: one for one in up}
        names = {one.entry.index: one.entry.name for one in up}
        self._names |= names
        if len(self._names) > 2 * len(up) + self._count_queries():
            self._names = names

    def list_changed(self) -> None:
        """The engine list has changed: the statuses are read anew at the next question."""
        self._refreshed_at = -REFRESH_INTERVAL

    def name(self, engine: int) -> str:
        """The name of an engine; empty where it is not known."""
        self.available()
        return self._names.get(engine, "")

    def is_usable(self, engine: str) -> bool:
        """Whether an available engine is healthy enough to be sent queries."""
        return self.available()[engine].usable

    def draw(self, engines: Sequence[str]) -> str:
        """One of several available engines, by capacity: a session stays there for a while."""
        available = self.available()
        weights = [
            max(MIN_WEIGHT, available[name].health * available[name].ramp_share) * available[name].cores
            for name in engines
        ]
        return self._chance.choices(engines, weights)[0]
