"""The constraint of a load: it goes to the source of what it writes, and where it ended is stored."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from vanerelay.extension import ConstrainedQuery, QueryInfo
from vanerelay.freshness.constraint import FreshnessConstraint
from vanerelay.freshness.replication_positions import Position
from vanerelay.freshness.session_affinity import LoadEnd

if TYPE_CHECKING:
    from vanerelay.freshness.constraint_router import ConstraintRouter


class LoadConstraint(FreshnessConstraint):
    """The constraint of a query that writes table groups; the first of them counts."""

    def __init__(self, router: ConstraintRouter, info: QueryInfo, table_groups: Sequence[int]) -> None:
        super().__init__(router, info)
        self._table_group = table_groups[0]

    def start(self, query: ConstrainedQuery) -> None:
        """The load is held until its source is known."""
        super().start(query)
        self.reconsider()

    def reconsider(self) -> None:
        """Sends the load to its source, or anywhere if no engine reports replicas of its table group."""
        service = self._router.service
        has_replicas = bool(service.positions.replicas(self._table_group))
        if not service.config.route_loads_to_source or (service.knows_all_shards and not has_replicas):
            self._restrict_to(None)
            return
        source = service.positions.source(self._table_group)
        if source is not None and source in self._router.engines.available():
            self._restrict_to(frozenset({source}))

    def accepts_answer(self, engine: int, fields: Mapping[str, str]) -> bool:
        """Stores where the load ended."""
        service = self._router.service
        name = service.config.load_end_field
        position = Position.parse(fields.get(name, "")) if name else None
        if position is not None:
            end = LoadEnd(self._table_group, position)
            service.records.store_load_end(self._info.reference, end)
        return True
