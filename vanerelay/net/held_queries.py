"""Queries that are held: who waits for each, what goes to engines, and which references were met."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from vanerelay.extension import QueryConstraint
from vanerelay.interface import SECOND, AnswerStatus, QueryArrival
from vanerelay.invariants import QueryRecord
from vanerelay.net.client_connection import ClientConnection
from vanerelay.net.engine_connection import Attempt, EngineConnection
from vanerelay.net.request_codec import QueryRequest
from vanerelay.query_table import HeldQuery

if TYPE_CHECKING:
    from vanerelay.net.gateway_service import GatewayService


class ClientQuery(HeldQuery):
    """A query on the sockets: who waits for it, and what goes to an engine."""

    __slots__ = (
        "arrival",
        "attempts",
        "body",
        "client",
        "grant",
        "group",
        "guide",
        "idempotency_key",
        "limit",
        "outcome",
        "priority",
        "read_in",
        "record",
        "service",
        "since",
        "stream",
        "used",
    )

    def __init__(
        self,
        service: GatewayService,
        client: ClientConnection | InternalClient,
        stream: int,
        asked: QueryRequest,
        limit: int,
        since: int,
    ) -> None:
        super().__init__(asked.reference)
        self.since = since
        self.read_in = -1  # the pass of the event loop in which it was read; -1: no client brought it
        self.service, self.client, self.stream = service, client, stream
        self.group, self.limit, self.body = asked.service_class.encode(), limit, asked.body
        self.idempotency_key = asked.idempotency_key
        self.attempts: list[Attempt | None] = []
        self.used: list[EngineConnection] = []
        self.grant = self.priority = 0
        self.arrival: QueryArrival | None = None
        self.guide: QueryConstraint | None = None
        self.record: QueryRecord | None = None  # of the guard; None until it was taken
        self.outcome = ""  # of the last attempt that ended

    def left(self) -> None:
        self.service.left(self)

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        self.service.led(self, engines)

    def reject(self, wait: int) -> None:
        self.service.refused(self, wait)


class References:
    """References met lately. Clients bring a new one with each query: one that comes again is no new query,
    and must not earn attempts for others."""

    KEPT, MOST = 30 * SECOND, 20_000  # time and number after which the older half is forgotten

    def __init__(self, now: int) -> None:
        self._newer, self._older, self._since = set[int](), set[int](), now

    def again(self, reference: str, now: int) -> bool:
        """Whether it was met already; it is from now on."""
        if now - self._since > self.KEPT or len(self._newer) >= self.MOST:
            self._newer, self._older, self._since = set(), self._newer, now
        number = int(reference, 16)
        met = number in self._newer or number in self._older
        self._newer.add(number)
        return met


class InternalClient:
    """Who waits for a query of ours: in the place of a client's connection."""

    def __init__(self) -> None:
        self.done, self.open = Deferred[AnswerStatus](), dict[int, ClientQuery]()

    def answer(self, stream: int, code: int, fields: dict[str, str], body: bytes) -> None:
        self.done.callback(AnswerStatus(code))


class InternalQuery:
    """A query of ours, as subsystems hold it."""

    def __init__(self, held: ClientQuery, done: Deferred[AnswerStatus]) -> None:
        self._held, self.done = held, done

    def cancel(self) -> None:
        self._held.left()
        if not self.done.called:
            self.done.callback(AnswerStatus.REJECTED)
