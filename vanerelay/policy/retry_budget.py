"""The retry budget (rule 7): limits the attempts beyond the first of each query in any time window."""

from __future__ import annotations

from vanerelay.estimation import SlidingSums
from vanerelay.interface import SECOND, RetryBudgetTerms

LOW_VALUE_BUDGET_SHARE = 0.5
"""Part of the budget that low-value queries may use. Without this limit, retries after their lost answers use
up the whole budget."""

DEFAULT_WINDOW = 10 * SECOND
"""Ticks over which queries are counted if the settings state no budget."""

WINDOW_BUCKETS = 50
"""Number of buckets of the window. It is large, as the count of queries that raise the budget leaves out the
oldest buckets of the window."""

_QUERIES = 0
_RETRIES = 1
_WITHDRAWN = 2


class RetryBudget:
    """Counts queries and retries within the window of the budget."""

    def __init__(self, terms: RetryBudgetTerms) -> None:
        self._terms = terms
        self._counts = SlidingSums(terms.window or DEFAULT_WINDOW, 3, WINDOW_BUCKETS)

    def allows(self, now: int, is_low_value: bool = False) -> bool:
        """Returns True if another retry is within the budget, or the part of it for low-value queries."""
        counted_queries = max(
            0.0, self._counts.total(now, _QUERIES, short=True) - self._counts.total(now, _WITHDRAWN)
        )
        budget = self._terms.min_retries + self._terms.retry_ratio * counted_queries
        if not self._terms.window:
            return True
        share = LOW_VALUE_BUDGET_SHARE if is_low_value else 1.0
        return self._counts.total(now, _RETRIES) + 1 <= budget * share

    def query_arrived(self, now: int, earns_retries: bool) -> None:
        """Counts a query; `earns_retries` tells whether it raises the budget."""
        self._counts.add(now, 1 if earns_retries else 0, 0, 0)

    def attempt_sent(self, now: int, is_retry: bool) -> None:
        """Counts an attempt, if it is a retry."""
        self._counts.add(now, 0, 1 if is_retry else 0, 0)

    def credit_withdrawn(self, now: int, earned_retries: bool) -> None:
        """Withdraws what a query added to the budget, as its client has left.

        Otherwise a client could raise the budget by submitting many queries and leaving at once.
        """
        self._counts.add(now, 0, 0, 1 if earned_retries else 0)

    def recent_queries(self, now: int) -> float:
        """Returns the number of queries counted within the window."""
        return self._counts.total(now, _QUERIES)

    def inherit(self, old: RetryBudget) -> None:
        """Takes over the counts of the budget of the previous settings, if its window has the same length."""
        if self._terms.window == old._terms.window:
            self._counts = old._counts
