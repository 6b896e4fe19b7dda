"""The queries that this gateway holds: who waits for each, what goes to engines, and their table."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from vanerelay.extension import QueryConstraint
from vanerelay.interface import SECOND, AnswerStatus, QueryArrival
from vanerelay.invariants import QueryRecord
from vanerelay.net.attempt import Attempt, AttemptConnection
from vanerelay.net.request_codec import QueryRequest
from vanerelay.query_table import HeldQuery, QueryTable

INTERNAL_QUERY_PASS = -1
"""The pass of the event loop in which a query was read that no client brought."""


class AnswerReceiver(Protocol):
    """Who waits for the answer of a query."""

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Takes the final answer of the query on this stream."""


class QueryOwner(Protocol):
    """What a held query hands the wishes of its client and of its constraint to."""

    def client_left(self, query: ClientQuery) -> None:
        """The client of the query no longer waits."""

    def restrict_constrained(self, query: ClientQuery, engines: frozenset[int] | None) -> None:
        """The constraint of the query names the engines that may serve it; None for all."""

    def reject_constrained(self, query: ClientQuery, retry_after: int) -> None:
        """The constraint of the query finds no engine that may serve it."""


class ClientQuery(HeldQuery):
    """A query on the sockets: who waits for it, and what goes to an engine.

    Attributes:
        received_after: A moment at which nothing of the query had come yet; its times count from then.
        read_in_pass: The pass of the event loop in which it was read.
        guard_record: What the guard keeps of it; None until it was handed to the decisions.
        last_end: How the last of its attempts that ended did so; empty before.
        used_connections: The connections that its attempts went over.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "body",
        "client",
        "constraint",
        "deadline",
        "guard_record",
        "idempotency_key",
        "last_end",
        "memory_grant",
        "owner",
        "priority",
        "read_in_pass",
        "received_after",
        "service_class",
        "stream",
        "used_connections",
    )

    def __init__(
        self,
        owner: QueryOwner,
        client: AnswerReceiver,
        stream: int,
        request: QueryRequest,
        deadline: int,
        received_after: int,
    ) -> None:
        super().__init__(request.reference)
        self.owner = owner
        self.client = client
        self.stream = stream
        self.received_after = received_after
        self.read_in_pass = INTERNAL_QUERY_PASS
        self.service_class = request.service_class.encode()
        self.deadline = deadline
        self.body = request.body
        self.idempotency_key = request.idempotency_key
        self.attempts: list[Attempt | None] = []
        self.used_connections: list[AttemptConnection] = []
        self.memory_grant = self.priority = 0
        self.arrival: QueryArrival | None = None
        self.constraint: QueryConstraint | None = None
        self.guard_record: QueryRecord | None = None
        self.last_end = ""

    @property
    def is_internal(self) -> bool:
        """Whether it is a query of the gateway itself."""
        return isinstance(self.client, InternalClient)

    def abandon(self) -> None:
        """Its client no longer waits."""
        self.owner.client_left(self)

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        """See `ConstrainedQuery.restrict_to`."""
        self.owner.restrict_constrained(self, engines)

    def reject(self, retry_after: int) -> None:
        """See `ConstrainedQuery.reject`."""
        self.owner.reject_constrained(self, retry_after)


class OpenQueries:
    """The table of the queries held, and the limits on how many and how large they may be.

    A query is open until it is answered. It is held until the last of its attempts has ended as well.
    """

    def __init__(self, statement_bytes: int) -> None:
        """`statement_bytes`: how much the statements of all open queries may take together."""
        self._table: QueryTable[ClientQuery] = QueryTable()
        self._references = set[str]()  # an engine takes two open queries of one reference for the same
        self._free_bytes = statement_bytes
        self.open_count = 0

    @property
    def held_count(self) -> int:
        """The number of queries for which something may still come."""
        return len(self._table)

    def is_open(self, reference: str) -> bool:
        """Whether a query of this reference is open."""
        return reference in self._references

    def has_capacity(self, size: int, max_open: int) -> bool:
        """Whether there is capacity for a statement of this size. A `max_open` of 0 means no limit."""
        too_many = max_open != 0 and self.open_count >= max_open
        return not too_many and size <= self._free_bytes

    def hold(self, query: ClientQuery) -> None:
        """Takes a query in, which gives it its index."""
        self._table.add(query)
        self.open_count += 1
        self._references.add(query.name)
        self._free_bytes -= len(query.body)

    def close(self, query: ClientQuery) -> None:
        """The query has its answer, or nobody waits for it: no attempt follows."""
        query.ended = True
        if query.guard_record is not None:
            query.guard_record.is_ended = True
        self.open_count -= 1
        self._references.discard(query.name)
        self._free_bytes += len(query.body)
        query.body = b""

    def by_index(self, index: int) -> ClientQuery:
        """The query of an index."""
        return self._table.get(index)

    def discard_if_done(self, query: ClientQuery) -> None:
        """Forgets a query for which nothing can come any more."""
        self._table.remove_if_done(query)


class RecentReferences:
    """The references that clients brought lately.

    Clients bring a new one with each query: one that comes again is no new query, and must not earn retries
    for others.
    """

    MAX_AGE, MAX_COUNT = 30 * SECOND, 20_000
    """The time and the number after which the older half is forgotten."""

    def __init__(self, now: int) -> None:
        self._newer_half, self._older_half = set[int](), set[int]()
        self._newer_since = now

    def seen_before(self, reference: str, now: int) -> bool:
        """Whether it has come lately; from now on it has."""
        if now - self._newer_since > self.MAX_AGE or len(self._newer_half) >= self.MAX_COUNT:
            self._newer_half, self._older_half, self._newer_since = set(), self._newer_half, now
        number = int(reference, 16)
        seen = number in self._newer_half or number in self._older_half
        self._newer_half.add(number)
        return seen


class InternalClient:
    """Who waits for a query of the gateway itself, in the place of a client's connection."""

    def __init__(self) -> None:
        self.done = Deferred[AnswerStatus]()

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Hands on the status of the answer."""
        self.done.callback(status)


class InternalQuery:
    """A query of the gateway itself, as the subsystem that submitted it holds it."""

    def __init__(self, query: ClientQuery, done: Deferred[AnswerStatus]) -> None:
        self._query = query
        self.done = done

    def cancel(self) -> None:
        """Nobody waits for it any more."""
        self._query.abandon()
        if not self.done.called:
            self.done.callback(AnswerStatus.REJECTED)
