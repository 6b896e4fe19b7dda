"""Creates the handles of submitted queries."""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.interface import Idempotency, QueryArrival, ServiceClass
from vanerelay.policy.query import Query, QueryOwner
from vanerelay.policy.runtime_estimator import RuntimeEstimator

DATA_LOAD_THREAD_FACTOR = 0.5
"""Part of its threads that is reserved for a query involved in data loads: a query that waits for a data load
uses no core."""


class QueryFactory:
    """Creates queries, numbered in the order of submission, from arrivals and the settings of their classes.

    Attributes:
        waits_for_data_loads: Whether queries of some service class wait for data loads at their engine.
    """

    def __init__(self, service_classes: Sequence[ServiceClass], runtime: RuntimeEstimator) -> None:
        self._classes = service_classes
        self._runtime = runtime
        self._sequence = 0
        self.waits_for_data_loads = any(
            service_class.waits_for_data_loads for service_class in service_classes
        )
        idempotent = (
            service_class
            for service_class in service_classes
            if service_class.idempotency is Idempotency.IDEMPOTENT
        )
        self._lowest_value = min((service_class.value for service_class in idempotent), default=0.0)

    def create(self, owner: QueryOwner, arrival: QueryArrival) -> Query:
        """Returns the handle of a query that was just submitted to `owner`."""
        class_settings = self._classes[arrival.service_class]
        self._sequence += 1
        may_be_idle = self.waits_for_data_loads and class_settings.is_involved_in_data_loads()
        is_idempotent = class_settings.idempotency is Idempotency.IDEMPOTENT
        unloaded = self._runtime.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        objective = class_settings.latency_objective + int(class_settings.objective_stretch * unloaded)
        return Query(
            owner=owner,
            arrival=arrival,
            service_class=class_settings,
            sequence=self._sequence,
            threads=class_settings.threads * (DATA_LOAD_THREAD_FACTOR if may_be_idle else 1.0),
            is_low_value=is_idempotent and class_settings.value <= self._lowest_value,
            objective_at=min(arrival.deadline, owner.now + objective),
        )
