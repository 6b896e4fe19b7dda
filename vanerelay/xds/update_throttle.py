"""Decides which change of an assignment goes to proxies at once and which waits. Pure."""

from __future__ import annotations

import math

from vanerelay.xds.assignment import Assignment, ClassAssignment, ProxyShareConfig

DROP_STEP = 50_000
"""The step, per million, in which drops go to proxies: a wavering rate is no stream of updates."""


class UpdateThrottle:
    """Holds small changes back and hands them on at a bounded rate.

    Never held back: engines that come, go, drain, become unhealthy or healthy, or move; limits that fall;
    drops; retries.
    """

    def __init__(self, config: ProxyShareConfig) -> None:
        self._interval = config.update_interval
        self._min_change = config.min_change
        self.current: Assignment | None = None
        self._updated_at = 0

    def offer(self, now: int, wanted: Assignment) -> bool:
        """Whether `wanted` is in force from now on, in place of another."""
        if wanted == self.current:
            return False
        if self.current is not None and not self._urgent(self.current, wanted):
            too_soon = now - self._updated_at < self._interval
            if too_soon or not self._significant(self.current, wanted):
                return False
        self.current, self._updated_at = wanted, now
        return True

    def next_update_at(self, wanted: Assignment) -> int | None:
        """When a change that is held back may go; None where none is."""
        current = self.current
        if current is None or wanted == current or not self._significant(current, wanted):
            return None
        return self._updated_at + self._interval

    def _urgent(self, old: Assignment, new: Assignment) -> bool:
        return _urgent_fields(old) != _urgent_fields(new) or any(
            after.max_queries < before.max_queries * (1.0 - self._min_change)
            or after.max_slow_start_queries < before.max_slow_start_queries
            or after.slow_start_weight < before.slow_start_weight
            for before, after in zip(old, new, strict=True)
        )

    def _significant(self, old: Assignment, new: Assignment) -> bool:
        pairs = list(zip(_throttled_figures(old), _throttled_figures(new), strict=True))
        return any(abs(before - after) > self._min_change * max(before, after) for before, after in pairs)


def _urgent_fields(assignment: Assignment) -> list[object]:
    """All of an assignment but the figures that may wait."""
    return [
        (
            one.name,
            one.retry,
            one.max_attempts,
            one.deadline,
            one.min_retries,
            math.ceil(one.drops_per_million / DROP_STEP),
            _placements(one),
        )
        for one in assignment
    ]


def _placements(one: ClassAssignment) -> list[list[object]]:
    return [
        [
            (locality.zone, locality.priority, endpoint.name, endpoint.address, endpoint.health)
            for locality in localities
            for endpoint in locality.endpoints
        ]
        for localities in (one.warm, one.slow_start)
    ]


def _throttled_figures(assignment: Assignment) -> list[int]:
    """Limits and weights, in an order that is the same for all assignments to the same endpoints."""
    figures = [one.max_queries for one in assignment]
    figures += [one.max_slow_start_queries for one in assignment]
    figures += [one.slow_start_weight for one in assignment]
    figures += [
        endpoint.weight
        for one in assignment
        for localities in (one.warm, one.slow_start)
        for locality in localities
        for endpoint in locality.endpoints
    ]
    return figures
