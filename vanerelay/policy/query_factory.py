"""Makes the handles of submitted queries."""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.interface import Idempotency, QueryArrival, ServiceClass
from vanerelay.policy.query import Query, QueryOwner
from vanerelay.policy.runtime_estimator import RuntimeEstimator

BEHIND_LOAD_THREADS = 0.5
"""Part of its threads that a query counts with that may stand behind a data load, using no core."""


class QueryFactory:
    """Numbers queries and works out what follows from their classes.

    Attributes:
        waits_for_data_loads: Whether the queries of some class wait for data loads at their engine.
    """

    def __init__(self, service_classes: Sequence[ServiceClass], runtime: RuntimeEstimator) -> None:
        self._classes = service_classes
        self._runtime = runtime
        self._sequence = 0
        self.waits_for_data_loads = any(group.waits_for_data_loads for group in service_classes)
        idempotent = (group for group in service_classes if group.idempotency is Idempotency.IDEMPOTENT)
        self._low_value = min((group.value for group in idempotent), default=0.0)

    def open(self, owner: QueryOwner, arrival: QueryArrival) -> Query:
        """The handle of a query that was just submitted."""
        group = self._classes[arrival.service_class]
        self._sequence += 1
        may_stand_still = self.waits_for_data_loads and group.is_involved_in_data_loads()
        is_idempotent = group.idempotency is Idempotency.IDEMPOTENT
        unloaded = self._runtime.unloaded_duration(arrival.service_class, arrival.estimated_cost)
        objective = group.latency_objective + int(group.objective_stretch * unloaded)
        return Query(
            owner=owner,
            arrival=arrival,
            service_class=group,
            sequence=self._sequence,
            threads=group.threads * (BEHIND_LOAD_THREADS if may_stand_still else 1.0),
            is_low_value=is_idempotent and group.value <= self._low_value,
            objective_at=min(arrival.deadline, owner.now + objective),
        )
