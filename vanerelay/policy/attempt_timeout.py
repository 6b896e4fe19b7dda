"""Chooses the timeout of an attempt."""

from __future__ import annotations

import math

from vanerelay.interface import Capabilities, Idempotency
from vanerelay.policy.attempt import AttemptTable
from vanerelay.policy.housekeeping import HOUSEKEEPING_INTERVAL
from vanerelay.policy.query import Query
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.runtime_estimator import QUICK_RUN_DIVISOR, RuntimeEstimator

EARLY_END = 0.7
"""Part of the time to the latency objective after which an early timeout ends, to leave time for a retry."""

LOSSY_RATIO = 0.12
"""Lost answers among queries from which on an early timeout leaves time for a retry."""

SURE_SPREADS = 2.5
"""An early timeout counts as conclusive after exp of this many spreads of the work..."""

SURE_RUNS = 4.0
"""...and after this many expected durations. With less, one look-up in twenty was cut off while it ran."""

LOSSY_SURE_SPREADS = 1.5
"""The same where answers get lost: waiting for them costs more than cutting some off."""


class AttemptTimeouts:
    """Attempts run until the deadline, unless an early end would be conclusive and leave time for another."""

    def __init__(
        self,
        capabilities: Capabilities,
        margin: int,
        runtime: RuntimeEstimator,
        retry_budget: RetryBudget,
        attempts: AttemptTable,
    ) -> None:
        """`margin`: the time before a deadline in which nothing can be done any more."""
        self._capabilities = capabilities
        self._margin = margin
        self._runtime = runtime
        self._retry_budget = retry_budget
        self._attempts = attempts

    def timeout(self, now: int, query: Query, expected_duration: float) -> int:
        """The timeout of the attempt that was made last."""
        left = query.arrival.deadline - now - self._margin + HOUSEKEEPING_INTERVAL
        early = (query.objective_at - now) * EARLY_END
        is_last = (
            query.service_class.idempotency is Idempotency.NON_IDEMPOTENT
            or len(query.attempts) >= self._capabilities.max_attempts
        )
        spread = self._runtime.work_spread(query.arrival.service_class)
        if self._is_lossy(now):
            conclusive = expected_duration * math.exp(spread * LOSSY_SURE_SPREADS)
            early = max(early, conclusive)
            earns_until = left if query.service_class.late_value else query.objective_at - now
            is_last = is_last or early + expected_duration / QUICK_RUN_DIVISOR > earns_until
        else:
            conclusive = expected_duration * max(SURE_RUNS, math.exp(spread * SURE_SPREADS))
        if is_last or conclusive > early:
            return max(1, left)
        return max(1, min(left, int(early)))

    def _is_lossy(self, now: int) -> bool:
        allowed = 1 + LOSSY_RATIO * self._retry_budget.recent_queries(now)
        return self._attempts.lost_answers(now) > allowed
