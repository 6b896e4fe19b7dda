"""Reviews the engines' health, and keeps what is usual among them."""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.estimation import quantile
from vanerelay.interface import LoadReport, Transport
from vanerelay.policy.engine import Engine

LOWER_MEDIAN = 0.49
"""Quantile that stands for the usual engine: with two engines, the better one."""

USUAL_LOAD_REPORTS = 20
"""Reports that the usual load averages."""


class EngineMonitor:
    """Watches the engines that run some of ours or are not quite healthy; the others need no review.

    Attributes:
        usual_load: The usual of what others hold of an engine, as reported.
    """

    def __init__(self, transport: Transport, polls_load: bool) -> None:
        self._transport = transport
        self._polls_load = polls_load
        self._watched = dict[int, Engine]()
        self._usual_faults = 0.0
        self._usual_pace = 0.0
        self.usual_load = 1.0

    def watch(self, engine: Engine) -> None:
        """Reviews an engine until it is healthy and runs none of ours."""
        self._watched[engine.entry.index] = engine

    def forget(self, index: int) -> None:
        """An engine is gone."""
        self._watched.pop(index, None)

    def load_reported(self, engine: Engine, report: LoadReport | None, threads_per_query: float) -> None:
        """An engine answered, with a load report or without one."""
        engine.load_reported(self._transport.now, report, threads_per_query)
        if report or not self._polls_load:
            self.usual_load += (engine.reported_share - self.usual_load) / USUAL_LOAD_REPORTS

    def update_baselines(self, now: int, engines: Sequence[Engine]) -> None:
        """Takes the usual of faults and of pace from these engines."""
        if not self._watched:
            return
        healths = [engine.health for engine in engines]
        self._usual_faults = quantile([(health.fault_ratio(now), 1.0) for health in healths], LOWER_MEDIAN)
        paces = [(health.pace, 1.0) for health in healths if health.has_pace]
        self._usual_pace = quantile(paces, LOWER_MEDIAN)

    def review(self, now: int, is_stalled: bool) -> None:
        """Sets the levels of the watched engines anew. `is_stalled`: we stood still, and heard nobody."""
        for engine in list(self._watched.values()):
            health = engine.health
            if is_stalled:
                health.heard(now)
            was_ejected = health.is_ejected
            health.review(now, self._usual_faults, self._usual_pace)
            if was_ejected != health.is_ejected:
                change = "recovered" if was_ejected else "ejected as an outlier"
                self._transport.log(f"engine {engine.entry.name} {change}")
            if health.level >= 1.0 and not engine.reservations.running:
                del self._watched[engine.entry.index]
