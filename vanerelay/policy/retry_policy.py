"""Whether another attempt of a query is allowed and worth its cost."""

from __future__ import annotations

from vanerelay.interface import Capabilities
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.query import Query
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.runtime_estimator import QUICK_RUN_DIVISOR, RuntimeEstimator


class RetryPolicy:
    """Decides about retries by the settings, the budget, rule 2, the time left and the engines there."""

    def __init__(
        self,
        capabilities: Capabilities,
        margin: int,
        runtime: RuntimeEstimator,
        budget: RetryBudget,
        engines: EngineRegistry,
    ) -> None:
        """`margin`: the time before a deadline in which nothing can be done any more."""
        self._capabilities = capabilities
        self._margin = margin
        self._runtime = runtime
        self._budget = budget
        self._engines = engines

    def should_retry(self, now: int, query: Query) -> bool:
        """Whether another attempt is allowed and could still earn something."""
        earns_until = query.objective_at
        if query.service_class.late_value:
            earns_until = query.arrival.deadline - self._margin
        return (
            len(query.attempts) < self._capabilities.max_attempts
            and self._budget.allows(now, query.is_low_value)
            and now + self._runtime.duration_of(now, query) / QUICK_RUN_DIVISOR < earns_until
            and now < query.repeatable_until()
            and any(True for _ in self._engines.candidates(now, query.constraints()))
        )
