"""Passes the values in answers and reports of engines to the estimators that learn from them."""

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
"""Weight of a progress report as an observation of an engine's slowdown; that of an answer is 1."""


MAX_PEAK_FACTOR = 2.0
"""The largest peak, as a multiple of the engine's memory, that is learned. A query that spilled may need more
than the engine has; far more is noise."""

MAX_WORK_FACTOR = 8.0
"""The largest work, as a multiple of what the query's threads can do in its duration, that is learned."""


class ReportDispatcher:
    """Passes what engines report to the memory and runtime estimators, engine health and engine monitor."""

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

    def query_completed(self, now: int, query: Query, engine: Engine, result: AttemptResult) -> None:
        """Handles the answer to a completed query."""
        arrival, work, duration = query.arrival, result.work, result.duration
        if 0 < work <= MAX_WORK_FACTOR * duration * query.service_class.threads:
            self._runtime.learn(now, arrival.service_class, arrival.estimated_cost, work, duration)
            if query.has_full_threads():
                slowdown = engine.slow_start.ramp_share(now) * duration * query.threads / work
                engine.health.run_observed(slowdown, 1.0)
        self.peak_observed(now, query, engine, result.peak_memory)
        if query.service_class.is_data_load and duration:
            self._memory.forget_table_group(arrival.table_group)

    def peak_observed(self, now: int, query: Query, engine: Engine, peak: float) -> None:
        """Handles the peak memory of a query in MB; 0 if it is not known."""
        arrival = query.arrival
        if 0.0 < peak <= MAX_PEAK_FACTOR * engine.reservations.memory:
            self._memory.learn(
                now, arrival.service_class, arrival.table_group, arrival.estimated_memory, peak
            )

    def attempt_progressed(self, now: int, query: Query, attempt: Attempt, share: float) -> None:
        """Handles a progress report; `share` is the completed part of the attempt's work, above 0."""
        arrival, elapsed = query.arrival, now - attempt.sent_at
        unloaded = self._runtime.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        slowdown = attempt.engine.slow_start.ramp_share(now) * elapsed / share / unloaded
        attempt.engine.health.run_observed(slowdown, PROGRESS_WEIGHT)

    def engine_responded(self, engine: Engine, report: LoadReport | None) -> None:
        """Handles a sign of life of an engine, with its load report if it sent one."""
        self._monitor.load_reported(engine, report, self._engines.threads_per_query())
