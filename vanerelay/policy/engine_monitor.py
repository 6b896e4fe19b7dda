"""Reviews the health of engines, and tracks the typical load, fault ratio and slowdown among them."""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.estimation import quantile
from vanerelay.interface import LoadReport, Transport
from vanerelay.policy.engine import Engine

LOWER_MEDIAN = 0.49
"""The quantile of the typical engine. Just below the median, so that of two engines the better one counts."""

TYPICAL_LOAD_REPORTS = 20
"""The number of load reports that the moving average `typical_load` spans."""


class EngineMonitor:
    """Watches the engines that run queries of this gateway or are not fully healthy.

    Other engines need no review, as nothing about them changes.

    Attributes:
        typical_load: The average part of an engine that others use, over the latest load reports.
    """

    def __init__(self, transport: Transport, polls_load: bool) -> None:
        self._transport = transport
        self._polls_load = polls_load
        self._watched = dict[int, Engine]()
        self._typical_fault_ratio = 0.0
        self._typical_log_slowdown = 0.0
        self.typical_load = 1.0

    def watch(self, engine: Engine) -> None:
        """Reviews an engine from now on, until it is healthy and runs no query of this gateway."""
        self._watched[engine.entry.index] = engine

    def forget(self, index: int) -> None:
        """Stops watching an engine that is gone."""
        self._watched.pop(index, None)

    def load_reported(self, engine: Engine, report: LoadReport | None, threads_per_query: float) -> None:
        """Handles a response of an engine, with or without a load report."""
        engine.load_reported(self._transport.now, report, threads_per_query)
        if report or not self._polls_load:
            self.typical_load += (engine.reported_share - self.typical_load) / TYPICAL_LOAD_REPORTS

    def update_baselines(self, now: int, engines: Sequence[Engine]) -> None:
        """Updates the typical fault ratio and slowdown from these engines."""
        if not self._watched:
            return
        healths = [engine.health for engine in engines]
        self._typical_fault_ratio = quantile(
            [(health.fault_ratio(now), 1.0) for health in healths], LOWER_MEDIAN
        )
        slowdowns = [(health.mean_log_slowdown, 1.0) for health in healths if health.has_slowdown]
        self._typical_log_slowdown = quantile(slowdowns, LOWER_MEDIAN)

    def review(self, now: int, is_stalled: bool) -> None:
        """Updates the health levels of the watched engines.

        Args:
            now: The current time.
            is_stalled: Whether this gateway did not run for a while; the engines' silence is then its own
                fault and does not count.
        """
        for engine in list(self._watched.values()):
            health = engine.health
            if is_stalled:
                health.record_activity(now)
            was_ejected = health.is_ejected
            health.review(now, self._typical_fault_ratio, self._typical_log_slowdown)
            if was_ejected != health.is_ejected:
                change = "recovered" if was_ejected else "ejected as an outlier"
                self._transport.log(f"engine {engine.entry.name} {change}")
            if health.level >= 1.0 and not engine.reservations.running:
                del self._watched[engine.entry.index]
