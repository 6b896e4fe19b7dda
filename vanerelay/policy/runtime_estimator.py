"""Estimates the work and the duration of queries by service class, from the values reported in answers.

Work is the time, in ticks, that a query takes on one thread of an engine.
"""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.estimation import EstimateCorrection, SlidingSums
from vanerelay.interface import SECOND, ServiceClass
from vanerelay.policy.query import Query

SLOWDOWN_SPAN = 20 * SECOND
"""The time span, in ticks, over which a class's slowdown under load is measured."""

MIN_SLOWDOWN = 1.5
"""The smallest assumed ratio of a duration under load to the duration on an engine without load."""

UNKNOWN_WORK_DIVISOR = 4
"""If there is no estimate and no observation, the work is the latency objective divided by this."""

QUICK_RUN_DIVISOR = 2
"""A retry counts as worthwhile if the time left is at least its expected duration divided by this."""

LIGHT_QUERY_DIVISOR = 4
"""A query is light if, on an engine without load, it takes less than its latency objective over this."""

_DURATION = 0
_UNLOADED = 1


class RuntimeEstimator:
    """Estimates of work and duration: the clients' estimates, corrected by the values reported in answers."""

    def __init__(self, service_classes: Sequence[ServiceClass]) -> None:
        self._classes = service_classes
        self._corrections = [EstimateCorrection() for _ in service_classes]
        self._runs = [SlidingSums(SLOWDOWN_SPAN, 2) for _ in service_classes]

    def learn(self, now: int, service_class: int, estimated: int, work: int, duration: int) -> None:
        """Records a completed run with its work and duration in ticks."""
        self._corrections[service_class].learn(estimated, work)
        self._runs[service_class].add(now, duration, work / self._classes[service_class].threads)

    def expected_work(self, service_class: int, estimated: int) -> float:
        """Returns the expected work of a query with this client estimate, which is 0 if there is none."""
        expected = self._corrections[service_class].expected(estimated)
        return expected or self._classes[service_class].latency_objective / UNKNOWN_WORK_DIVISOR

    def budgeted_work(self, service_class: int, estimated: int) -> float:
        """Returns the work to charge against budgets, which is at least the mean work of the class."""
        expected = self.expected_work(service_class, estimated)
        return max(expected, self._corrections[service_class].mean())

    def expected_duration(self, now: int, service_class: int, estimated: int) -> float:
        """Returns the expected duration, in ticks, on an engine under recent load."""
        runs = self._runs[service_class]
        slowdown = (runs.total(now, _DURATION) + 1) / (runs.total(now, _UNLOADED) + 1)
        return self.unloaded_duration(service_class, estimated) * max(MIN_SLOWDOWN, slowdown)

    def duration_of(self, now: int, query: Query) -> float:
        """Returns the expected duration of a query, in ticks, on an engine under recent load."""
        return self.expected_duration(now, query.arrival.service_class, query.arrival.estimated_cost)

    def unloaded_duration(self, service_class: int, estimated: int) -> float:
        """Returns the expected duration, in ticks, on an engine without load."""
        return self.expected_work(service_class, estimated) / self._classes[service_class].threads

    def is_light(self, query: Query) -> bool:
        """Returns True if a query takes a small part of its latency objective on an engine without load."""
        arrival = query.arrival
        unloaded = self.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        return unloaded < query.service_class.latency_objective / LIGHT_QUERY_DIVISOR

    def work_spread(self, service_class: int) -> float:
        """Returns the standard deviation of the log of the work around the log of the expected work."""
        return self._corrections[service_class].spread()

    def inherit_class(self, service_class: int, old: RuntimeEstimator, old_class: int) -> None:
        """Takes over the observations that another estimator has made of a class."""
        self._corrections[service_class] = old._corrections[old_class]
        self._runs[service_class] = old._runs[old_class]
