"""Rule 4: limits the work that is sent to an engine after its start, so that it is not overloaded.

Within a time window, all gateways together may send an engine at most `overload_multiple` times the work that
its present capacity does in that time. Each gateway has a fixed part of this budget, so that the gateways
need not communicate. docs/design.md derives the sum over all gateways.
"""

from __future__ import annotations

from functools import cached_property

from vanerelay.estimation import SlidingSums, rank_among
from vanerelay.interface import FleetPosition, SlowStartTerms

BUSY_CORES = 0.85
"""The part of the cores that is busy when an engine works at its capacity."""

BUDGET_CAUTION = 0.7
"""The part of the budget that is used, as the actual work of queries differs from the expected work."""

RESTART_BUDGET_SHARE = 0.5
"""The part of its budget that a gateway uses in the first window after its start. Its predecessor at the same
position may have sent the rest shortly before."""


class SlowStart:
    """This gateway's part in the slow start of one engine.

    If the budget were divided among all gateways, a part might be too small for a single large query. So only
    as many gateways send to the engine as the budget has room for large queries. All gateways derive from the
    engine's name which ones these are.

    Attributes:
        engine_started_at: When the engine started, in ticks.
    """

    def __init__(
        self,
        terms: SlowStartTerms,
        engine_name: str,
        cores: int,
        position: FleetPosition,
        large_query: float,
        gateway_started_at: int,
    ) -> None:
        self._terms = terms
        self._engine_name = engine_name
        self._position = position
        self._gateway_started_at = gateway_started_at
        self._sent = SlidingSums(max(1, terms.overload_window), 1)
        self.engine_started_at = -terms.ramp_duration - terms.overload_window
        budget = terms.overload_multiple * max(1, cores) * BUSY_CORES * terms.overload_window * BUDGET_CAUTION
        large_queries = int(budget * terms.initial_share / max(1.0, large_query))
        self._sender_count = max(1, min(position.gateway_count, large_queries))
        self._budget = budget / self._sender_count

    @cached_property
    def is_sender(self) -> bool:
        """Whether this gateway sends queries during the slow start. Computes one hash for each gateway."""
        rank = rank_among(self._engine_name, self._position.index, self._position.gateway_count)
        return rank < self._sender_count

    def engine_started(self, at: int) -> bool:
        """Records a reported start of the engine. Returns True if it is later than the known one."""
        if at <= self.engine_started_at:
            return False
        self.engine_started_at = at
        return True

    def ramp_share(self, now: int) -> float:
        """Returns the part of its full capacity that the engine has now, from `initial_share` to 1."""
        initial = self._terms.initial_share
        age = max(0.0, (now - self.engine_started_at) / max(1, self._terms.ramp_duration))
        return min(1.0, initial + (1.0 - initial) * age)

    def is_warmed_up(self, now: int) -> bool:
        """Returns True if the rule no longer applies to the engine, or if the settings state no window."""
        window = self._terms.overload_window
        return not window or now - self.engine_started_at >= self._terms.ramp_duration + window

    def allows(self, now: int, work: float, own_share: float = 1.0) -> bool:
        """Returns True if this much additional work may be sent now.

        Args:
            now: The current time.
            work: The additional work, in ticks of one thread.
            own_share: The part of this gateway's budget that is not left to proxies.
        """
        window = self._terms.overload_window
        budget = own_share * self._budget * self.ramp_share(max(self.engine_started_at, now - window))
        if self.engine_started_at < self._gateway_started_at and now < self._gateway_started_at + window:
            budget *= RESTART_BUDGET_SHARE
        return self.is_warmed_up(now) or (self.is_sender and self.sent_work(now) + work <= budget)

    def record_sent(self, now: int, work: float) -> None:
        """Records work that was sent to the engine."""
        self._sent.add(now, work)

    def sent_work(self, now: int) -> float:
        """Returns the work that this gateway sent to the engine within the window."""
        return self._sent.total(now, 0)
