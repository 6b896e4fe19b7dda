"""Chooses the timeout of an attempt."""

from __future__ import annotations

import math

from vanerelay.interface import Capabilities, Idempotency
from vanerelay.policy.attempt import AttemptTable
from vanerelay.policy.periodic_work import PERIODIC_WORK_INTERVAL
from vanerelay.policy.query import Query
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.runtime_estimator import QUICK_RUN_DIVISOR, RuntimeEstimator

EARLY_TIMEOUT_SHARE = 0.7
"""The part of the time to the latency objective that an early timeout takes; the rest is left for a retry."""

MIN_LOSS_RATIO = 0.12
"""Lost answers per recent query above which answers are unreliable, so that early timeouts are preferred."""

CONCLUSIVE_SPREADS = 2.5
"""An early timeout is conclusive (an attempt that takes longer will hardly complete) if it is at least the
expected duration times exp(this many standard deviations of the log of the work) ..."""

CONCLUSIVE_DURATIONS = 4.0
"""... and at least this many expected durations. With a lower limit, one short query in twenty was cut off
while it ran."""

LOSSY_CONCLUSIVE_SPREADS = 1.5
"""Replaces CONCLUSIVE_SPREADS where answers get lost: waiting for a lost answer costs more than cutting off
some running attempts."""


class AttemptTimeouts:
    """Chooses timeouts: the deadline, or earlier if that is conclusive and leaves time for a retry."""

    def __init__(
        self,
        capabilities: Capabilities,
        deadline_margin: int,
        runtime: RuntimeEstimator,
        retry_budget: RetryBudget,
        attempts: AttemptTable,
    ) -> None:
        """`deadline_margin`: the ticks before a deadline in which it is too late to act on a query."""
        self._capabilities = capabilities
        self._deadline_margin = deadline_margin
        self._runtime = runtime
        self._retry_budget = retry_budget
        self._attempts = attempts

    def timeout(self, now: int, query: Query, expected_duration: float) -> int:
        """Returns the timeout in ticks of the newest attempt of a query.

        Args:
            now: The current time.
            query: The query.
            expected_duration: The time that the attempt is expected to take, in ticks.
        """
        remaining = query.arrival.deadline - now - self._deadline_margin + PERIODIC_WORK_INTERVAL
        early = (query.objective_at - now) * EARLY_TIMEOUT_SHARE
        is_last = (
            query.service_class.idempotency is Idempotency.NON_IDEMPOTENT
            or len(query.attempts) >= self._capabilities.max_attempts
        )
        spread = self._runtime.work_spread(query.arrival.service_class)
        if self._is_lossy(now):
            conclusive = expected_duration * math.exp(spread * LOSSY_CONCLUSIVE_SPREADS)
            early = max(early, conclusive)
            useful_time = remaining if query.service_class.late_value else query.objective_at - now
            is_last = is_last or early + expected_duration / QUICK_RUN_DIVISOR > useful_time
        else:
            conclusive = expected_duration * max(CONCLUSIVE_DURATIONS, math.exp(spread * CONCLUSIVE_SPREADS))
        if is_last or conclusive > early:
            return max(1, remaining)
        return max(1, min(remaining, int(early)))

    def _is_lossy(self, now: int) -> bool:
        """Returns True if so many answers were lost recently that waiting for one is unreliable."""
        allowed = 1 + MIN_LOSS_RATIO * self._retry_budget.recent_queries(now)
        return self._attempts.lost_answers(now) > allowed
