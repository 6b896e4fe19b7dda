"""What queries cost and how long they run, by service class, learned from answers.

Work is the time that a query takes on one thread of an engine, in ticks.
"""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.estimation import EstimateCorrection, SlidingSums
from vanerelay.interface import SECOND, ServiceClass
from vanerelay.policy.query import Query

SLOWDOWN_SPAN = 20 * SECOND
"""Span over which a class's slowdown under load is measured."""

MIN_SLOWDOWN = 1.5
"""Least factor of an expected duration over the one alone, whatever was observed."""

UNKNOWN_WORK_DIVISOR = 4
"""Work is taken for this part of the latency objective where nothing is estimated or learned."""

QUICK_RUN_DIVISOR = 2
"""A retry counts as able to earn something where its expected duration over this still fits."""

LIGHT_QUERY_DIVISOR = 4
"""A query that runs alone in less than its objective over this is light."""

_DURATION = 0
_UNLOADED = 1


class RuntimeEstimator:
    """Work and durations of queries, from clients' estimates corrected by what answers reported."""

    def __init__(self, service_classes: Sequence[ServiceClass]) -> None:
        self._classes = service_classes
        self._corrections = [EstimateCorrection() for _ in service_classes]
        self._runs = [SlidingSums(SLOWDOWN_SPAN, 2) for _ in service_classes]

    def learn(self, now: int, service_class: int, estimated: int, work: int, duration: int) -> None:
        """Takes in a completed run."""
        self._corrections[service_class].learn(estimated, work)
        self._runs[service_class].add(now, duration, work / self._classes[service_class].threads)

    def expected_work(self, service_class: int, estimated: int) -> float:
        """The work to expect of a query with this estimate (0: none)."""
        expected = self._corrections[service_class].expected(estimated)
        return expected or self._classes[service_class].latency_objective / UNKNOWN_WORK_DIVISOR

    def budgeted_work(self, service_class: int, estimated: int) -> float:
        """The work to charge against budgets: never less than the class's mean."""
        expected = self.expected_work(service_class, estimated)
        return max(expected, self._corrections[service_class].mean())

    def expected_duration(self, now: int, service_class: int, estimated: int) -> float:
        """How long the query would run on an engine under the load of late."""
        runs = self._runs[service_class]
        slowdown = (runs.total(now, _DURATION) + 1) / (runs.total(now, _UNLOADED) + 1)
        return self.unloaded_duration(service_class, estimated) * max(MIN_SLOWDOWN, slowdown)

    def duration_of(self, now: int, query: Query) -> float:
        """How long a query would run on an engine under the load of late."""
        return self.expected_duration(now, query.arrival.service_class, query.arrival.estimated_cost)

    def unloaded_duration(self, service_class: int, estimated: int) -> float:
        """How long the query would run alone on an engine."""
        return self.expected_work(service_class, estimated) / self._classes[service_class].threads

    def is_light(self, query: Query) -> bool:
        """Whether a query alone takes but a small part of its class's latency objective."""
        arrival = query.arrival
        alone = self.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        return alone < query.service_class.latency_objective / LIGHT_QUERY_DIVISOR

    def work_spread(self, service_class: int) -> float:
        """The standard deviation of the log of the work around the expected one."""
        return self._corrections[service_class].spread()

    def inherit_class(self, service_class: int, old: RuntimeEstimator, old_class: int) -> None:
        """Goes on with what another estimator has learned of a class."""
        self._corrections[service_class] = old._corrections[old_class]
        self._runs[service_class] = old._runs[old_class]
