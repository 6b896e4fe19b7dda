"""Decides whether another attempt of a query is allowed and still useful."""

from __future__ import annotations

from vanerelay.interface import Capabilities
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.query import Query
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.runtime_estimator import QUICK_RUN_DIVISOR, RuntimeEstimator


class RetryPolicy:
    """Decides on retries by the settings, the retry budget, rule 2, the time left and the engine list."""

    def __init__(
        self,
        capabilities: Capabilities,
        deadline_margin: int,
        runtime: RuntimeEstimator,
        budget: RetryBudget,
        engines: EngineRegistry,
    ) -> None:
        """`deadline_margin`: the ticks before a deadline in which it is too late to act on a query."""
        self._capabilities = capabilities
        self._deadline_margin = deadline_margin
        self._runtime = runtime
        self._budget = budget
        self._engines = engines

    def should_retry(self, now: int, query: Query) -> bool:
        """Returns True if another attempt is allowed, and its answer may come while it still has a value."""
        useful_until = query.objective_at
        if query.service_class.late_value:
            useful_until = query.arrival.deadline - self._deadline_margin
        return (
            len(query.attempts) < self._capabilities.max_attempts
            and self._budget.allows(now, query.is_low_value)
            and now + self._runtime.duration_of(now, query) / QUICK_RUN_DIVISOR < useful_until
            and now < query.repeatable_until()
            and any(True for _ in self._engines.candidates(now, query.constraints()))
        )
