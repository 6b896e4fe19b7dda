"""Rule 4: an engine that has just started is sent no more than it bears while it warms up.

In one window an engine may get at most `overload_multiple` times its capacity of the moment from all gateways
together. Each gateway keeps to a part of that by construction, without asking the others. The sum over all
gateways is worked out in docs/design.md.
"""

from __future__ import annotations

from functools import cached_property

from vanerelay.estimation import SlidingSums, rank_among
from vanerelay.interface import FleetPosition, SlowStartTerms

BUSY_CORES = 0.85
"""Part of the cores that are busy at capacity."""

BUDGET_CAUTION = 0.7
"""Part of the budget that is used, as real costs differ from those expected."""

AFTER_RESTART = 0.5
"""Part of our budget in our first window: a predecessor under our name may have sent the rest."""


class SlowStart:
    """This gateway's part of one engine's slow start.

    A gateway's even part of the budget might let no large query through. So only as many gateways send as the
    budget holds large queries for; which ones follows from the engine's name, the same at all gateways.
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
        self.began = -terms.ramp_duration - terms.overload_window
        budget = terms.overload_multiple * max(1, cores) * BUSY_CORES * terms.overload_window * BUDGET_CAUTION
        large_queries = int(budget * terms.initial_share / max(1.0, large_query))
        self._sharers = max(1, min(position.gateway_count, large_queries))
        self._budget = budget / self._sharers

    @cached_property
    def is_sender(self) -> bool:
        """Whether this gateway sends to the engine while it warms up. Costs a hash for each gateway."""
        rank = rank_among(self._engine_name, self._position.index, self._position.gateway_count)
        return rank < self._sharers

    def engine_started(self, at: int) -> bool:
        """The engine's start was reported; whether that is a later start than the one known."""
        if at <= self.began:
            return False
        self.began = at
        return True

    def ramp_share(self, now: int) -> float:
        """The part of its capacity that the engine has by now."""
        initial = self._terms.initial_share
        age = max(0.0, (now - self.began) / max(1, self._terms.ramp_duration))
        return min(1.0, initial + (1.0 - initial) * age)

    def is_warmed_up(self, now: int) -> bool:
        """Whether the rule no longer applies; always where no window is stated."""
        window = self._terms.overload_window
        return not window or now - self.began >= self._terms.ramp_duration + window

    def allows(self, now: int, work: float, own_share: float = 1.0) -> bool:
        """Whether so much more work may be sent now. `own_share`: the part not left to proxies."""
        window = self._terms.overload_window
        budget = own_share * self._budget * self.ramp_share(max(self.began, now - window))
        if self.began < self._gateway_started_at and now < self._gateway_started_at + window:
            budget *= AFTER_RESTART
        return self.is_warmed_up(now) or (self.is_sender and self.sent_work(now) + work <= budget)

    def record_sent(self, now: int, work: float) -> None:
        """Work was sent to the engine."""
        self._sent.add(now, work)

    def sent_work(self, now: int) -> float:
        """The work sent within the window."""
        return self._sent.total(now, 0)
