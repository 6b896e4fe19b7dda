"""Joins clients, engines and the engine list to the decisions, and carries out what these order.

The work is done in modules of its own, in the order in which a query meets them:

- `query_intake`: decode, validate, admit or reject, hold, submit to the decisions;
- `attempt_sender`: what the decisions order goes to engines;
- `attempt_results`: what engines answer goes to the client and to the decisions;
- `query_answers`: the one answer of each query;
- `query_ends`, `deadlines`: clients that leave, and deadlines that come;
- `engine_list_updates`: which engines there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
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
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.query_answers import QueryAnswers
from vanerelay.net.query_ends import QueryEnds
from vanerelay.net.query_intake import QueryIntake
from vanerelay.net.service_settings import RawSettings, SettingsInForce
from vanerelay.policy.gateway import Gateway

log = structlog.get_logger()


class GatewayService:
    """The Transport of the decisions on sockets. `apply_settings` is called once its parts stand.

    Attributes:
        queries: The queries held.
        engine_list: The engines listed.
        draining: Whether the program is shutting down, so that nothing new is begun.
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
    ) -> None:
        """`statement_bytes`: how much the statements of open queries may take together."""
        self._reactor = reactor
        self._engines = engines
        self._peers = peers
        self.draining = False
        self.events = events or EventLog(reactor)
        self.guard = InvariantGuard(settings.guard_terms(raw_settings))
        self.settings = SettingsInForce(raw_settings)
        self.queries = OpenQueries(statement_bytes)
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
        self._join_query_path(clock)

    def _join_query_path(self, clock: Clock) -> None:
        """Makes what a query passes on its way to an engine and back."""
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
        """Goes on under these settings. Queries taken before end under the settings of then."""
        self._decisions.read_clock()
        gateway = settings.open_gateway(self, seed, raw_settings)
        self._decisions.replace(gateway)
        self.settings.replace(raw_settings)
        self.guard.update_terms(settings.guard_terms(raw_settings))
        if self._peers is not None:
            self._peers.received = lambda peer, data: self._received_from(gateway, peer, data)

    @property
    def gateway(self) -> Gateway:
        """The decisions in force, for subsystems that hand them on."""
        gateway = self._decisions.current
        assert gateway is not None
        self._decisions.read_clock()
        return gateway

    def join(self, extensions: Iterable[Extension]) -> None:
        """Lets subsystems know from now on what they want to know."""
        self._extensions.join(extensions)

    # For clients' connections.

    def ready(self) -> bool:
        """Whether queries can be taken."""
        return self.engine_list.received and self._decisions.current is not None and not self.draining

    def may_close(self, unanswered: int) -> bool:
        """Whether a client's connection may be closed as it stands."""
        return self.guard.may_close(unanswered)

    def request(
        self, client: ClientConnection, frame: frames.Frame, received_after: int
    ) -> ClientQuery | RequestResult:
        """Takes a query, unless it is answered at once. Nothing of it had come before `received_after`."""
        return self._intake.accept(client, frame, received_after)

    # For the sources of the engine list, and for subsystems.

    def listed(self, change: EngineListChange) -> None:
        """Applies a change of the engine list."""
        self.engine_list.apply(change)

    def sweep(self) -> None:
        """Lets go of idle connections, and of engines that are gone."""
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
        """Takes a query of the gateway itself, to one engine; None where it cannot be taken."""
        if self.draining:
            return None
        return self._intake.submit_internal(reference, service_class, statement, engine, memory, max_duration)

    def _received_from(self, gateway: Gateway, peer: int, data: bytes) -> None:
        self._decisions.call(None, gateway.receive_from_peer, peer, data)

    # What the decisions order: the Transport.

    @property
    def now(self) -> int:
        """See `Transport.now`."""
        return self._decisions.now

    def send_attempt(self, query: int, engine: int, timeout: int) -> None:
        """See `Transport.send_attempt`."""
        self._sender.send(self.queries.by_index(query), engine, timeout)

    def grant_memory(self, query: int, memory: float, priority: int) -> None:
        """See `Transport.grant_memory`. What the engines do not heed is not sent."""
        held = self.queries.by_index(query)
        allowed = self.settings.current
        held.memory_grant = round(memory) if allowed.sends_memory_grants else 0
        held.priority = priority if allowed.sends_priorities else 0

    def reject(self, query: int, retry_after: int) -> None:
        """See `Transport.reject`."""
        held = self.queries.by_index(query)
        if not held.ended:
            self._answers.note_rejection(held, "rejected by the decisions")
            fields = request_codec.retry_after_fields(retry_after)
            self._answers.answer(held, AnswerStatus.REJECTED, fields)
        self.queries.discard_if_done(held)  # rejected in the admission queue, nothing else comes for it

    def fail(self, query: int) -> None:
        """See `Transport.fail`."""
        held = self.queries.by_index(query)
        if not held.ended:
            self._answers.note_rejection(held, "failed by the decisions")
            self._answers.answer(held, AnswerStatus.FAILED)
        self.queries.discard_if_done(held)

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """See `Transport.cancel_attempt`."""
        running = self.queries.by_index(query).attempts[attempt]
        if running is not None:
            self._reactor.callLater(0, running.give_up, EndCause.CANCELLED)

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        """See `Transport.send_to_peers`. A gateway that drains sends nothing: others may count it as gone."""
        if self._peers is not None and not self.draining:
            self._peers.send(peer, data)

    def probe_engine(self, engine: int) -> None:
        """See `Transport.probe_engine`."""
        self._engines.probe(engine)

    def subscribe_to_engine_list(self) -> None:
        """See `Transport.subscribe_to_engine_list`. The list is followed from the start."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """See `Transport.call_later`."""
        self._reactor.callLater(max(0, delay) / SECOND, self._call_back, delay, callback)

    def _call_back(self, delay: int, callback: Callable[[], None]) -> None:
        if not self._decisions.call(None, callback):
            # A periodic call that failed would not set its next one, and a gateway that calls nothing stops.
            self.call_later(delay, callback)

    def log(self, text: str) -> None:
        """See `Transport.log`."""
        log.info(text)
