"""What answers and reports teach: hands each figure to the estimator or engine that learns from it."""

from __future__ import annotations

from vanerelay.interface import AttemptResult, LoadReport
from vanerelay.policy.attempt import Attempt
from vanerelay.policy.engine import Engine
from vanerelay.policy.engine_monitor import EngineMonitor
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.memory_estimator import MemoryEstimator
from vanerelay.policy.query import Query
from vanerelay.policy.runtime_estimator import RuntimeEstimator

PROGRESS_WEIGHT = 0.5
"""Weight of a progress report as an observation of an engine's pace, beside an answer's 1."""


class Feedback:
    """Learns from what engines report."""

    def __init__(
        self,
        memory: MemoryEstimator,
        runtime: RuntimeEstimator,
        engines: EngineRegistry,
        monitor: EngineMonitor,
    ) -> None:
        self._memory = memory
        self._runtime = runtime
        self._engines = engines
        self._monitor = monitor

    def completed(self, now: int, query: Query, engine: Engine, result: AttemptResult) -> None:
        """A query completed."""
        arrival, work, duration = query.arrival, result.work, result.duration
        if work:
            self._runtime.learn(now, arrival.service_class, arrival.estimated_cost, work, duration)
            if query.has_full_threads():
                slowdown = engine.slow_start.ramp_share(now) * duration * query.threads / work
                engine.health.run_observed(slowdown, 1.0)
        self.peak_observed(now, query, result.peak_memory)
        if query.service_class.is_data_load and duration:
            self._memory.forget_table_group(arrival.table_group)

    def peak_observed(self, now: int, query: Query, peak: float) -> None:
        """A query needed so much memory, in MB; 0 where nothing is known."""
        arrival = query.arrival
        if peak:
            self._memory.learn(
                now, arrival.service_class, arrival.table_group, arrival.estimated_memory, peak
            )

    def progressed(self, now: int, query: Query, attempt: Attempt, share: float) -> None:
        """A share of an attempt's work is done."""
        arrival, elapsed = query.arrival, now - attempt.sent_at
        unloaded = self._runtime.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        slowdown = attempt.engine.slow_start.ramp_share(now) * elapsed / share / unloaded
        attempt.engine.health.run_observed(slowdown, PROGRESS_WEIGHT)

    def engine_responded(self, engine: Engine, report: LoadReport | None) -> None:
        """An engine answered, with a load report or without one."""
        self._monitor.load_reported(engine, report, self._engines.threads_per_query())
