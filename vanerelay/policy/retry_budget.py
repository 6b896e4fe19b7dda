"""Rule 7: attempts beyond the first of each query, within any window, stay within a budget."""

from __future__ import annotations

from vanerelay.estimation import SlidingSums
from vanerelay.interface import SECOND, RetryBudgetTerms

LOW_VALUE_PART = 0.5
"""Part of the budget that queries of the least value may use: their lost answers would spend it all."""

UNSTATED_WINDOW = 10 * SECOND
"""Span over which queries are counted where no budget is stated."""

WINDOW_BUCKETS = 50
"""Many, as at the end of a window a whole bucket is left out of the count of queries."""

_QUERIES = 0
_RETRIES = 1
_WITHOUT_CREDIT = 2


class RetryBudget:
    """Counts queries and retries."""

    def __init__(self, terms: RetryBudgetTerms) -> None:
        self._terms = terms
        self._counts = SlidingSums(terms.window or UNSTATED_WINDOW, 3, WINDOW_BUCKETS)

    def allows(self, now: int, is_low_value: bool = False) -> bool:
        """Whether another retry is within the budget."""
        earning = max(
            0.0, self._counts.total(now, _QUERIES, short=True) - self._counts.total(now, _WITHOUT_CREDIT)
        )
        budget = self._terms.min_retries + self._terms.retry_ratio * earning
        if not self._terms.window:
            return True
        part = LOW_VALUE_PART if is_low_value else 1.0
        return self._counts.total(now, _RETRIES) + 1 <= budget * part

    def query_arrived(self, now: int, earns_retries: bool) -> None:
        """Counts a query."""
        self._counts.add(now, 1 if earns_retries else 0, 0, 0)

    def attempt_sent(self, now: int, is_retry: bool) -> None:
        """Counts an attempt, if it is a retry."""
        self._counts.add(now, 0, 1 if is_retry else 0, 0)

    def credit_withdrawn(self, now: int, earned_retries: bool) -> None:
        """The client of a query left: many may come and leave at once, and earn nothing."""
        self._counts.add(now, 0, 0, 1 if earned_retries else 0)

    def recent_queries(self, now: int) -> float:
        """Queries counted within the window."""
        return self._counts.total(now, _QUERIES)

    def inherit(self, old: RetryBudget) -> None:
        """Goes on with the counts of a budget under former settings, if its window is as long."""
        if self._terms.window == old._terms.window:
            self._counts = old._counts
