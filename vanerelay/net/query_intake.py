"""Query intake: decode, validate, admit or reject, hold, and submit to the decisions.

Each query of a client passes through these steps once, in this order. A step that rejects it returns a
`Rejection`, which is answered in one place. Queries of this gateway itself enter by `submit_internal`,
without a client.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from vanerelay.clock import Clock
from vanerelay.estimation import stable_hash
from vanerelay.extension import QueryConstraint, QueryInfo
from vanerelay.interface import AnswerStatus, QueryArrival
from vanerelay.invariants import InvariantGuard
from vanerelay.net import frames, request_codec
from vanerelay.net.client_connection import ClientConnection, RequestResult
from vanerelay.net.deadlines import Deadlines
from vanerelay.net.decisions import Decisions
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.extensions import Extensions
from vanerelay.net.held_queries import ClientQuery, InternalClient, InternalQuery, OpenQueries
from vanerelay.net.query_answers import QueryAnswers
from vanerelay.net.query_ends import QueryEnds
from vanerelay.net.recent_references import RecentReferences
from vanerelay.net.request_codec import QueryRequest
from vanerelay.net.service_settings import SettingsInForce
from vanerelay.net.statements import MAX_SCANNED_CHARACTERS, table_group

MAX_TIME_LIMIT_FACTOR = 2
"""A time limit longer than this many times the deadline of the service class is invalid."""


class RejectionReason(Enum):
    """The reason why a request is answered without being held. The values are written to the event log."""

    UNUSABLE = "unusable request"
    REPEATED = "reference of a query that may have run"
    NO_CAPACITY = "no capacity"
    UNSATISFIABLE = "its constraint cannot be satisfied"


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer to a request that is not held.

    Attributes:
        reference: The reference of the request, as far as it could be read.
        explanation: The text that is sent to the client; None if there is none.
    """

    reason: RejectionReason
    reference: str
    explanation: str | None = None

    @property
    def status(self) -> AnswerStatus:
        """The status of the answer."""
        no_capacity = self.reason is RejectionReason.NO_CAPACITY
        return AnswerStatus.REJECTED if no_capacity else AnswerStatus.FAILED


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A validated request that can be held.

    Attributes:
        service_class: The index of its service class in the settings.
        deadline: The time by which it must be answered.
        constraint: The constraint that an extension sets for it; None if there is none.
    """

    request: QueryRequest
    service_class: int
    deadline: int
    constraint: QueryConstraint | None


class QueryIntake:
    """Accepts queries from clients and from this gateway itself."""

    def __init__(
        self,
        clock: Clock,
        settings: SettingsInForce,
        queries: OpenQueries,
        deadlines: Deadlines,
        guard: InvariantGuard,
        decisions: Decisions,
        answers: QueryAnswers,
        ends: QueryEnds,
        extensions: Extensions,
        events: EventLog,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._queries = queries
        self._deadlines = deadlines
        self._guard = guard
        self._decisions = decisions
        self._answers = answers
        self._ends = ends
        self._extensions = extensions
        self._events = events
        self._recent_references = RecentReferences(clock.now())  # of all queries that were admitted

    def accept(
        self, client: ClientConnection, frame: frames.Frame, received_after: int
    ) -> ClientQuery | RequestResult:
        """Accepts a query from a client.

        A request that an engine could not use is answered here. An engine closes a connection on which it
        reads invalid input, which ends all other attempts on it, and its errors would count against the
        engine.

        Args:
            client: The connection that the request arrived on.
            frame: The frame of the request.
            received_after: A time before which no byte of the request had arrived.

        Returns:
            The open query, or the result if it has been answered already.
        """
        self._decisions.read_clock()
        admitted = self._admit(frame, received_after)
        if isinstance(admitted, Rejection):
            return self._reject(client, frame, admitted)
        query = self._hold_for_client(client, frame.stream, admitted, received_after)
        query.arrival = self._make_arrival(query, admitted)
        earns_retries = not query.arrival.earns_no_retries
        query.guard_record = self._guard.query_submitted(
            self._decisions.now, admitted.service_class, admitted.deadline, earns_retries
        )
        if query.constraint is None:
            self._decisions.submit(query)
        else:
            self._decisions.call(query, query.constraint.start, query)
        self._queries.discard_if_done(query)
        self._deadlines.check(self._queries.open_count)
        return RequestResult.ANSWERED if query.ended else query

    def rejection_status(self, fields: Mapping[str, str], are_complete: bool) -> AnswerStatus:
        """Returns the status of the answer to a request that is not even looked at.

        A rejection says that nothing has run, which is not so if the reference was used before.

        Args:
            fields: The fields of the request, as far as they are known.
            are_complete: True if no further field is possible.
        """
        reference = request_codec.reference(fields)
        if reference is None:
            return AnswerStatus.REJECTED if are_complete else AnswerStatus.FAILED
        was_used = self._queries.is_open(reference) or self._queries.may_have_run(reference)
        return AnswerStatus.FAILED if was_used else AnswerStatus.REJECTED

    def submit_internal(
        self,
        reference: str,
        service_class: str,
        statement: str,
        engine: int,
        memory: float,
        max_duration: int,
    ) -> InternalQuery | None:
        """Submits a query of this gateway itself to one engine. Returns None if it cannot be admitted now."""
        now = self._decisions.read_clock()
        settings = self._settings.current
        class_index = settings.service_class_indexes.get(service_class)
        body = statement.encode()
        if class_index is None or not self._has_capacity(len(body)) or self._queries.is_open(reference):
            return None
        time_limit = min(max_duration, settings.service_classes[class_index].deadline)
        request = QueryRequest(
            reference=reference,
            service_class=service_class,
            tenant="",
            time_limit=time_limit,
            estimated_cost=0,
            estimated_memory=memory,
            idempotency_key=b"",
            order_key="",
            body=body,
        )
        client = InternalClient()
        query = ClientQuery(self, client, 0, request, now + time_limit, now)
        self._hold(query)
        query.arrival = QueryArrival(
            index=query.index,
            service_class=class_index,
            tenant=0,
            order_key=None,
            deadline=query.deadline,
            estimated_cost=0,
            estimated_memory=memory,
            is_retry=False,
            table_group=table_group(statement),
            eligible_engines=frozenset({engine}),
            earns_no_retries=True,
        )
        query.guard_record = self._guard.query_submitted(now, class_index, query.deadline, False)
        self._decisions.submit(query)
        self._queries.discard_if_done(query)
        self._deadlines.check(self._queries.open_count)
        return InternalQuery(query, client.done)

    def client_left(self, query: ClientQuery) -> None:
        """See `QueryOwner.client_left`."""
        self._ends.client_left(query)

    def restrict_constrained(self, query: ClientQuery, engines: frozenset[int] | None) -> None:
        """See `QueryOwner.restrict_constrained`. Submits the query if that has not happened yet."""
        if query.ended or query.arrival is None:
            return
        query.arrival.eligible_engines = engines
        if query.handle is not None:
            return
        # The settings may have changed while the query waited for its constraint.
        service_class = self._settings.current.service_class_indexes.get(query.service_class.decode())
        if service_class is None:
            self._answers.note_rejection(query, "service class removed")
            self._answers.answer(query, AnswerStatus.REJECTED)
        else:
            query.arrival.service_class = service_class
            self._decisions.submit(query)
        self._queries.discard_if_done(query)
        self._deadlines.check(self._queries.open_count)

    def reject_constrained(self, query: ClientQuery, retry_after: int) -> None:
        """See `QueryOwner.reject_constrained`."""
        if not query.ended and query.handle is None:
            self._answers.note_rejection(query, "rejected by its constraint")
            retry_after = min(retry_after, self._settings.current.max_retry_after)
            reported_retry_after = retry_after if retry_after >= request_codec.TICKS_PER_MS else 0
            fields = request_codec.retry_after_fields(reported_retry_after)
            self._answers.answer(query, AnswerStatus.REJECTED, fields)
        self._queries.discard_if_done(query)

    def _admit(self, frame: frames.Frame, received_after: int) -> AdmittedRequest | Rejection:
        """Decodes and validates a request, and checks the capacity for it."""
        request = request_codec.parse(frame)
        service_class = None if request is None else self._find_service_class(request)
        if request is None or service_class is None:
            reference = request_codec.reference_for_log(frame.fields)
            return Rejection(RejectionReason.UNUSABLE, reference)
        if self._queries.may_have_run(request.reference):
            return Rejection(RejectionReason.REPEATED, request.reference)
        if not self._has_capacity(len(request.body)):
            return Rejection(RejectionReason.NO_CAPACITY, request.reference)
        # The client counts the time limit from when it sent the request. That time is not known, so the
        # earliest possible arrival is used instead.
        deadline = received_after + request.time_limit
        constraint = self._constrain(request, service_class, deadline)
        if isinstance(constraint, str):
            return Rejection(RejectionReason.UNSATISFIABLE, request.reference, constraint)
        return AdmittedRequest(request, service_class, deadline, constraint)

    def _find_service_class(self, request: QueryRequest) -> int | None:
        """Returns the index of the request's service class; None if an engine could not use the request."""
        settings = self._settings.current
        class_index = settings.service_class_indexes.get(request.service_class)
        if class_index is None:
            return None
        known_tenant = not settings.tenant_indexes or request.tenant in settings.tenant_indexes
        in_range = (
            request.time_limit <= MAX_TIME_LIMIT_FACTOR * settings.service_classes[class_index].deadline
        )
        usable = known_tenant and in_range and not self._queries.is_open(request.reference)
        return class_index if usable else None

    def _has_capacity(self, size: int) -> bool:
        """Returns True if there is capacity for one more query with a statement of `size` bytes."""
        max_open = self._settings.current.max_open
        return self._decisions.current is not None and self._queries.has_capacity(size, max_open)

    def _constrain(
        self, request: QueryRequest, service_class: int, deadline: int
    ) -> QueryConstraint | str | None:
        """Returns the constraint of a query, None if it has none, or the explanation why it must fail."""
        if not self._extensions.has_constraints:
            return None
        objective = self._settings.current.service_classes[service_class].latency_objective
        info = QueryInfo(
            reference=request.reference,
            service_class=request.service_class,
            statement=request.statement,
            latency_objective=objective,
            time_left=deadline - self._decisions.now,
        )
        return self._extensions.constrain(info)

    def _reject(self, client: ClientConnection, frame: frames.Frame, rejection: Rejection) -> RequestResult:
        """Answers a request that is not held. All rejections on arrival are sent from here."""
        status = rejection.status
        self._answers.report_unheld(request_codec.service_class(frame.fields), status)
        if rejection.reason is not RejectionReason.UNSATISFIABLE:
            self._events.note(LogEventKind.REJECTION, rejection.reason.value, id=rejection.reference)
        fields = request_codec.explanation_fields(rejection.explanation)
        client.answer(frame.stream, status, fields, b"")
        unusable = rejection.reason is RejectionReason.UNUSABLE
        return RequestResult.UNUSABLE if unusable else RequestResult.ANSWERED

    def _hold_for_client(
        self, client: ClientConnection, stream: int, admitted: AdmittedRequest, received_after: int
    ) -> ClientQuery:
        query = ClientQuery(self, client, stream, admitted.request, admitted.deadline, received_after)
        self._hold(query)
        client.open[stream] = query
        query.constraint = admitted.constraint
        return query

    def _hold(self, query: ClientQuery) -> None:
        self._queries.hold(query)
        self._deadlines.add(query)

    def _make_arrival(self, query: ClientQuery, admitted: AdmittedRequest) -> QueryArrival:
        """Returns the query in the form that the decisions take."""
        request, now = admitted.request, self._decisions.now
        seen_before = request.reference in self._recent_references
        self._recent_references.record(request.reference, now)
        return QueryArrival(
            index=query.index,
            service_class=admitted.service_class,
            tenant=self._settings.current.tenant_indexes.get(request.tenant, 0),
            order_key=stable_hash(request.order_key, 0) if request.order_key else None,
            deadline=admitted.deadline,
            estimated_cost=request.estimated_cost,
            estimated_memory=request.estimated_memory,
            is_retry=False,
            table_group=table_group(request.beginning(MAX_SCANNED_CHARACTERS)),
            earns_no_retries=seen_before,
        )
