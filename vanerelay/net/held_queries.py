"""The queries that this gateway holds: their clients, their state and their table."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from vanerelay.clock import Clock
from vanerelay.extension import QueryConstraint
from vanerelay.interface import AnswerStatus, QueryArrival
from vanerelay.invariants import QueryRecord
from vanerelay.net.attempt import Attempt, AttemptConnection
from vanerelay.net.memory_budget import MemoryBudget, MemoryUse
from vanerelay.net.recent_references import RecentReferences
from vanerelay.net.request_codec import QueryRequest
from vanerelay.query_table import HeldQuery, QueryTable

QUERY_BYTES = 4_096
"""The memory of a held query and its attempts, beside its statement."""


class AnswerReceiver(Protocol):
    """The receiver of a query's answer."""

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Receives the final answer of the query on this stream."""

    def has_recent_input(self, now: int, max_age: int) -> bool:
        """Returns False if input that arrived more than `max_age` ticks ago may not have been handled."""

    def after_reading(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback` once all input that has arrived by now is handled, but not within this call.

        Returns:
            A function that withdraws the callback.
        """


class QueryOwner(Protocol):
    """Handles the requests that the client or the constraint of a held query makes."""

    def client_left(self, query: ClientQuery) -> None:
        """Called when the client of the query no longer waits."""

    def restrict_constrained(self, query: ClientQuery, engines: frozenset[int] | None) -> None:
        """Called with the engines that the constraint of the query permits; None for all."""

    def reject_constrained(self, query: ClientQuery, retry_after: int) -> None:
        """Called when the constraint of the query permits no engine."""


class ClientQuery(HeldQuery):
    """A query with its client, its statement and its attempts.

    Attributes:
        received_after: A time before which no byte of the query had arrived; durations are counted from it.
        guard_record: The invariant guard's record of the query; None until the query is submitted.
        last_end: How the attempt that ended last did so; empty if none has ended.
        used_connections: The connections on which attempts of the query were sent.
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
        """Returns True for a query of this gateway itself."""
        return isinstance(self.client, InternalClient)

    def abandon(self) -> None:
        """Ends the query, as its client no longer waits."""
        self.owner.client_left(self)

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        """See `ConstrainedQuery.restrict_to`."""
        self.owner.restrict_constrained(self, engines)

    def reject(self, retry_after: int) -> None:
        """See `ConstrainedQuery.reject`."""
        self.owner.reject_constrained(self, retry_after)


class OpenQueries:
    """The table of held queries, with limits on the number and the size of open ones.

    A query is open until it is answered, and held until the last of its attempts has ended as well.

    Attributes:
        open_count: The number of open queries.
    """

    def __init__(self, clock: Clock, statement_bytes: int, memory: MemoryBudget) -> None:
        """`statement_bytes` limits the total size of the statements of all open queries."""
        self._clock = clock
        self._memory = memory
        self._table: QueryTable[ClientQuery] = QueryTable()
        self._attempted = RecentReferences(clock.now())  # of ended queries that may have run
        self._references = set[str]()  # an engine treats two open queries with one reference as the same
        self._free_bytes = statement_bytes
        self.open_count = 0

    @property
    def held_count(self) -> int:
        """The number of held queries."""
        return len(self._table)

    def is_open(self, reference: str) -> bool:
        """Returns True if a query with this reference is open."""
        return reference in self._references

    def may_have_run(self, reference: str) -> bool:
        """Returns True if a query with this reference has ended and may have run.

        Clients give each query a reference of its own, so another run would be a second one of that query.
        """
        return reference in self._attempted

    def has_capacity(self, size: int, max_open: int) -> bool:
        """Returns True if a statement of `size` bytes can be held. A `max_open` of 0 means no limit."""
        too_many = max_open != 0 and self.open_count >= max_open
        if too_many or size > self._free_bytes:
            return False
        return self._memory.allows(MemoryUse.QUERY, QUERY_BYTES + size)

    def hold(self, query: ClientQuery) -> None:
        """Adds a query and assigns its index."""
        self._table.add(query)
        self.open_count += 1
        self._references.add(query.name)
        self._free_bytes -= len(query.body)
        self._memory.charge(QUERY_BYTES + len(query.body))

    def close(self, query: ClientQuery) -> None:
        """Marks a query as answered or abandoned. No further attempt is made."""
        query.ended = True
        if query.guard_record is not None:
            query.guard_record.is_ended = True
            if query.guard_record.may_have_run:
                self._attempted.record(query.name, self._clock.now())
        self.open_count -= 1
        self._references.discard(query.name)
        self._free_bytes += len(query.body)
        self._memory.release(len(query.body))
        query.body = b""

    def by_index(self, index: int) -> ClientQuery:
        """Returns the query with this index."""
        return self._table.get(index)

    def discard_if_done(self, query: ClientQuery) -> None:
        """Removes a query that has ended and has no attempt left."""
        if self._table.remove_if_done(query):
            self._memory.release(QUERY_BYTES)


class InternalClient:
    """The receiver of the answer to a query of this gateway itself."""

    def __init__(self) -> None:
        self.done = Deferred[AnswerStatus]()

    def answer(self, stream: int, status: AnswerStatus, fields: dict[str, str], body: bytes) -> None:
        """Fires `done` with the status of the answer."""
        self.done.callback(status)

    def has_recent_input(self, now: int, max_age: int) -> bool:
        """Returns True: no input belongs to this query."""
        return True

    def after_reading(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback`: no input belongs to this query."""
        callback()
        return lambda: None


class InternalQuery:
    """A query of this gateway itself, as the subsystem that submitted it sees it."""

    def __init__(self, query: ClientQuery, done: Deferred[AnswerStatus]) -> None:
        self._query = query
        self.done = done

    def cancel(self) -> None:
        """Ends the query, as its answer is no longer needed."""
        self._query.abandon()
        if not self.done.called:
            self.done.callback(AnswerStatus.REJECTED)
