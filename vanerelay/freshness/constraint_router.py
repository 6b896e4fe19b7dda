"""Finds the constraint of each query, and reconsiders those that wait when something has changed."""

from __future__ import annotations

import random

from vanerelay.extension import ExtensionHost, QueryConstraint, QueryInfo
from vanerelay.freshness import hints
from vanerelay.freshness.constraint import FreshnessConstraint
from vanerelay.freshness.engine_directory import EngineDirectory
from vanerelay.freshness.hints import Hint, HintError
from vanerelay.freshness.load_constraint import LoadConstraint
from vanerelay.freshness.read_constraints import ReadConstraint
from vanerelay.freshness.service import FreshnessService
from vanerelay.interface import Duration
from vanerelay.net.statements import MAX_SCANNED_CHARACTERS, may_write, schema_numbers


class ConstraintRouter:
    """All constrained queries of one gateway.

    Attributes:
        engines: The engines that may be sent queries.
        waiting: Constraints whose engines are not known so far.
        admitted: Constraints whose queries were handed to the decisions.
    """

    def __init__(self, host: ExtensionHost, service: FreshnessService, chance: random.Random) -> None:
        self.host = host
        self.service = service
        self.waiting = set[FreshnessConstraint]()
        self.admitted = set[FreshnessConstraint]()
        self.engines = EngineDirectory(host, service.clock, chance, lambda: len(self.admitted))
        service.on_update = self.positions_updated

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """The constraint of a query; None for none, a reason where it cannot be served as asked."""
        try:
            hint = hints.read_hint(query.statement)
        except HintError as error:
            return f"hint: {error}"
        return self._constrain_load(query) if hint is None else self._constrain_read(query, hint)

    def _constrain_load(self, query: QueryInfo) -> QueryConstraint | None:
        config = self.service.config
        statement = query.statement[:MAX_SCANNED_CHARACTERS]
        wanted = config.load_end_field or config.route_loads_to_source
        if not wanted or not may_write(statement.encode()):
            return None
        written, _ = schema_numbers(statement)
        return LoadConstraint(self, query, written) if written else None

    def _constrain_read(self, query: QueryInfo, hint: Hint) -> QueryConstraint | str:
        size = len(query.statement)
        if size > MAX_SCANNED_CHARACTERS:
            limit = MAX_SCANNED_CHARACTERS
            return f"hint: a statement of {size} characters, expected {limit} at most with a hint"
        written, read = schema_numbers(query.statement)
        if written:
            return "hint: in a load, expected in a read"
        table_groups = tuple(dict.fromkeys(read))
        if not table_groups:
            return "hint: the statement names no table group"
        return ReadConstraint(self, query, hint, table_groups)

    def positions_updated(self) -> None:
        """Reconsiders queries that nobody could serve so far."""
        for constraint in list(self.waiting):
            constraint.reconsider()

    def reconsider_queued(self) -> None:
        """Reconsiders queries that are still queued: others may serve them as well by now."""
        for constraint in list(self.admitted):
            if not constraint.attempted:
                constraint.reconsider()

    @property
    def retry_after(self) -> Duration:
        """How long it takes until an update will have come."""
        watch = self.service.config.watch
        return watch.poll_interval + watch.update_interval
