"""What constraints of reads and loads share: a query is held until engines may serve it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.base import DelayedCall

from vanerelay.extension import ConstrainedQuery, QueryConstraint, QueryInfo
from vanerelay.interface import SECOND

if TYPE_CHECKING:
    from vanerelay.freshness.constraint_router import ConstraintRouter


class FreshnessConstraint(QueryConstraint):
    """The constraint of one query.

    Attributes:
        received_at: When the query was received.
        attempted: Whether an attempt has gone out.
        is_finished: Whether the query has its final answer, or nobody waits for it.
    """

    _query: ConstrainedQuery

    def __init__(self, router: ConstraintRouter, info: QueryInfo) -> None:
        self._router = router
        self._info = info
        self.received_at = router.service.clock()
        self.attempted = False
        self.is_finished = False
        self._timer: DelayedCall | None = None
        self._restricted_to: frozenset[str] | None = None  # the engines that were named last

    def start(self, query: ConstrainedQuery) -> None:
        """The query is held until its engines are named, within its latency objective."""
        self._query = query
        self._router.waiting.add(self)
        wait = max(1, min(self._info.latency_objective, self._info.time_left))
        self._timer = self._router.host.reactor.callLater(wait / SECOND, self._waited_in_vain)

    def reconsider(self) -> None:
        """Looks whether somebody may serve the query now."""

    def _waited_in_vain(self) -> None:
        if self in self._router.waiting:
            self._reject()

    def _reject(self) -> None:
        self._query.reject(self._router.retry_after)

    def _restrict_to(self, engines: frozenset[str] | None) -> None:
        """Names the engines that may serve the query from now on; None for all."""
        if self.is_finished:
            return
        available, self._restricted_to = self._router.engines.available(), engines
        self._router.waiting.discard(self)
        self._router.admitted.add(self)
        if engines is None:
            self._query.restrict_to(None)
            return
        indices = frozenset(available[name].entry.index for name in engines if name in available)
        self._query.restrict_to(indices)

    def attempt_sent(self, engine: int) -> None:
        """An attempt goes out."""
        self.attempted = True

    def finished(self) -> None:
        """The query has its final answer, or nobody waits for it any more."""
        self.is_finished = True
        self._router.waiting.discard(self)
        self._router.admitted.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
