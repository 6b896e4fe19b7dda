"""Connects clients, engines and the engine list to the decisions, and carries out what the decisions request.

"The decisions" is the `policy.gateway.Gateway` that decides which query runs on which engine, and when. The
work is done in other modules, listed in the order in which a query passes through them:

- `query_intake`: decodes, validates, admits or rejects, holds and submits queries to the decisions;
- `attempt_sender`: sends attempts to engines when the decisions request it;
- `attempt_results`: passes the results of engines on to the client and the decisions;
- `query_answers`: sends the one answer of each query;
- `query_ends`, `deadlines`: handle clients that disconnect, and deadlines that pass;
- `engine_list_updates`: applies changes of the engine list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import structlog

from vanerelay import settings
from vanerelay.attempt_outcome import EndCause
from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange
from vanerelay.extension import Extension
from vanerelay.interface import SECOND, AnswerStatus
from vanerelay.invariants import InvariantGuard
from vanerelay.net import frames, request_codec
from vanerelay.net.attempt_results import AttemptResults
from vanerelay.net.attempt_sender import AttemptSender
from vanerelay.net.client_connection import ClientConnection, RequestResult
from vanerelay.net.deadlines import Deadlines
from vanerelay.net.decisions import Decisions
from vanerelay.net.engine_list_updates import EngineListUpdates
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.events import EventLog
from vanerelay.net.extensions import Extensions
from vanerelay.net.held_queries import ClientQuery, InternalQuery, OpenQueries
from vanerelay.net.memory_budget import MemoryBudget, unlimited_budget
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.query_answers import QueryAnswers
from vanerelay.net.query_ends import QueryEnds
from vanerelay.net.query_intake import QueryIntake
from vanerelay.net.service_settings import RawSettings, SettingsInForce
from vanerelay.policy.gateway import Gateway

log = structlog.get_logger()


class GatewayService:
    """Implements the `Transport` of the decisions on sockets.

    `apply_settings` has to be called after construction.

    Attributes:
        events: The log of events that occur often.
        guard: Checks the invariants of queries and attempts.
        settings: The current settings.
        queries: The open queries.
        deadlines: The deadlines of open queries.
        engine_list: The engine list.
        draining: True if the process is shutting down, so that no new work is begun.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        raw_settings: RawSettings,
        engines: EnginePool,
        peers: PeerGossip | None,
        statement_bytes: int,
        events: EventLog | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Creates the service.

        Args:
            reactor: The event loop.
            clock: The clock of the process.
            raw_settings: The settings as the JSON object that was read.
            engines: The connections to engines.
            peers: The gossip with other gateways; None if there is none.
            statement_bytes: The limit for the statements of all open queries together.
            events: The log of events that occur often.
            memory: The budget that open queries use; None for one without a limit.
        """
        self._reactor = reactor
        self._engines = engines
        self._peers = peers
        self.draining = False
        self.events = events or EventLog(reactor)
        self.guard = InvariantGuard(settings.guard_terms(raw_settings))
        self.settings = SettingsInForce(raw_settings)
        self.queries = OpenQueries(clock, statement_bytes, memory or unlimited_budget())
        self._extensions = Extensions()
        self._answers = QueryAnswers(
            clock, self.settings, self.queries, self.guard, self._extensions, self.events
        )
        self._decisions = Decisions(clock, self._answers)
        self._ends = QueryEnds(self.queries, self._decisions, self._answers, self.events)
        self.deadlines = Deadlines(reactor, clock, self._ends.deadline_passed)
        self.engine_list = EngineListUpdates(
            clock, engines, self.guard, self._decisions, self._extensions, self.events
        )
        self._make_query_path(clock)

    def _make_query_path(self, clock: Clock) -> None:
        """Creates the parts that a query passes on its way to an engine and back."""
        self._intake = QueryIntake(
            clock,
            self.settings,
            self.queries,
            self.deadlines,
            self.guard,
            self._decisions,
            self._answers,
            self._ends,
            self._extensions,
            self.events,
        )
        results = AttemptResults(
            clock,
            self.settings,
            self.queries,
            self.deadlines,
            self.guard,
            self._decisions,
            self._answers,
            self._extensions,
        )
        self._sender = AttemptSender(
            self._reactor,
            clock,
            self.settings,
            self.guard,
            self._decisions,
            results,
            self._engines,
            self.engine_list,
            self.events,
        )

    def apply_settings(self, seed: int, raw_settings: RawSettings) -> None:
        """Replaces the current settings. Queries accepted earlier end under the settings they began with."""
        self._decisions.read_clock()
        gateway = settings.open_gateway(self, seed, raw_settings)
        self._decisions.replace(gateway)
        self.settings.replace(raw_settings)
        self.guard.update_terms(settings.guard_terms(raw_settings))
        if self._peers is not None:
            self._peers.on_received = lambda peer, data: self._receive_from_peer(gateway, peer, data)

    @property
    def gateway(self) -> Gateway:
        """The decisions under the current settings, for extensions."""
        gateway = self._decisions.current
        assert gateway is not None
        self._decisions.read_clock()
        return gateway

    def add_extensions(self, extensions: Iterable[Extension]) -> None:
        """Calls these extensions from now on."""
        self._extensions.add(extensions)

    # Called by client connections.

    def ready(self) -> bool:
        """Returns True if queries can be accepted."""
        return self.engine_list.received and self._decisions.current is not None and not self.draining

    def may_close(self, unanswered: int) -> bool:
        """Returns True if a client connection with this number of unanswered queries may be closed."""
        return self.guard.may_close(unanswered)

    def request(
        self, client: ClientConnection, frame: frames.Frame, received_after: int
    ) -> ClientQuery | RequestResult:
        """Accepts a query or answers it at once. No part of it had arrived before `received_after`."""
        return self._intake.accept(client, frame, received_after)

    def rejection_status(self, fields: Mapping[str, str], are_complete: bool) -> AnswerStatus:
        """Returns the status of the answer to a request that is rejected without being looked at."""
        return self._intake.rejection_status(fields, are_complete)

    # Called by the sources of the engine list, by the server and by extensions.

    def apply_engine_list_change(self, change: EngineListChange) -> None:
        """Applies a change of the engine list."""
        self.engine_list.apply(change)

    def sweep(self) -> None:
        """Closes idle connections to engines and removes engines that are gone."""
        self.engine_list.sweep()

    def submit_internal(
        self,
        reference: str,
        service_class: str,
        statement: str,
        engine: int,
        memory: float,
        max_duration: int,
    ) -> InternalQuery | None:
        """Submits a query of this gateway itself to one engine. Returns None if it cannot be accepted."""
        if self.draining:
            return None
        return self._intake.submit_internal(reference, service_class, statement, engine, memory, max_duration)

    def _receive_from_peer(self, gateway: Gateway, peer: int, data: bytes) -> None:
        self._decisions.call(None, gateway.receive_from_peer, peer, data)

    # Called by the decisions: the Transport.

    @property
    def now(self) -> int:
        """See `Transport.now`."""
        return self._decisions.now

    def send_attempt(self, query: int, engine: int, timeout: int) -> None:
        """See `Transport.send_attempt`."""
        self._sender.send(self.queries.by_index(query), engine, timeout)

    def grant_memory(self, query: int, memory: float, priority: int) -> None:
        """See `Transport.grant_memory`. Values that the engines do not support are not sent."""
        client_query = self.queries.by_index(query)
        allowed = self.settings.current
        client_query.memory_grant = round(memory) if allowed.sends_memory_grants else 0
        client_query.priority = priority if allowed.sends_priorities else 0

    def reject(self, query: int, retry_after: int) -> None:
        """See `Transport.reject`."""
        client_query = self.queries.by_index(query)
        if not client_query.ended:
            self._answers.note_rejection(client_query, "rejected by the decisions")
            fields = request_codec.retry_after_fields(retry_after)
            self._answers.answer(client_query, AnswerStatus.REJECTED, fields)
        # The query was in the admission queue, so no attempt is left whose end would discard it.
        self.queries.discard_if_done(client_query)

    def fail(self, query: int) -> None:
        """See `Transport.fail`."""
        client_query = self.queries.by_index(query)
        if not client_query.ended:
            self._answers.note_rejection(client_query, "failed by the decisions")
            self._answers.answer(client_query, AnswerStatus.FAILED)
        self.queries.discard_if_done(client_query)

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """See `Transport.cancel_attempt`."""
        running = self.queries.by_index(query).attempts[attempt]
        if running is not None:
            self._reactor.callLater(0, running.give_up, EndCause.CANCELLED)

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        """See `Transport.send_to_peers`. While draining, sends nothing: peers may drop this gateway then."""
        if self._peers is not None and not self.draining:
            self._peers.send(peer, data)

    def probe_engine(self, engine: int) -> None:
        """See `Transport.probe_engine`."""
        self._engines.probe(engine)

    def subscribe_to_engine_list(self) -> None:
        """See `Transport.subscribe_to_engine_list`. Does nothing: updates are always received."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """See `Transport.call_later`."""
        self._reactor.callLater(max(0, delay) / SECOND, self._call_back, delay, callback)

    def _call_back(self, delay: int, callback: Callable[[], None]) -> None:
        if not self._decisions.call(None, callback):
            # A periodic callback schedules its next call itself. If it failed before that, it would never run
            # again, and the gateway would stop working.
            self.call_later(delay, callback)

    def log(self, text: str) -> None:
        """See `Transport.log`."""
        log.info(text)
