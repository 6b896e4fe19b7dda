"""Sessions and ends of loads, stored at several gateways for all.

A thin driver: `session_affinity` decides.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec
from twisted.internet.defer import Deferred, succeed

from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.freshness import messages, session_affinity
from vanerelay.freshness.config import SessionsConfig
from vanerelay.freshness.session_affinity import (
    LoadEnd,
    LoadEnds,
    SessionLookup,
    SessionRecord,
    SessionState,
    SessionStore,
)
from vanerelay.interface import SECOND, Duration

ReplyT = TypeVar("ReplyT")
RequestT = TypeVar("RequestT")


@dataclass(frozen=True, slots=True)
class StoreResult:
    """What became of storing a session.

    Attributes:
        settled: Whether a majority of the gateways stores it so.
        other: Another record that one of them stores.
    """

    settled: bool
    other: SessionRecord | None = None


class RecordService:
    """Stores records for other gateways, and asks them for theirs."""

    def __init__(self, fleet: FleetService, clock: Callable[[], int], config: SessionsConfig) -> None:
        self._fleet = fleet
        self._clock = clock
        self._timeout_s = config.timeout / SECOND
        self._gateways = sorted({fleet.name, *(known.name for known in fleet.config.seeds)})
        self._sessions = SessionStore(clock(), config.max_sessions, config.max_lifetime)
        self._load_ends = LoadEnds(config.max_sessions)
        self._own_load_ends = LoadEnds(config.max_sessions)  # of loads that this gateway answered
        fleet.rpc.handlers |= {
            messages.SESSION_LOOKUP_KIND: self._session_lookup_requested,
            messages.SESSION_STORE_KIND: self._session_store_requested,
            messages.LOAD_LOOKUP_KIND: self._load_lookup_requested,
            messages.LOAD_STORE_KIND: self._load_store_requested,
        }

    # Requests of other gateways.

    def _session_lookup_requested(self, body: bytes) -> bytes:
        request = decode_request(body, messages.SessionLookupRequest)
        lookup = self._sessions.lookup(self._clock(), request.name, request.lifetime)
        return messages.encode(messages.session_reply(lookup))

    def _session_store_requested(self, body: bytes) -> bytes:
        request = decode_request(body, messages.SessionStoreRequest)
        record = messages.session_record(request)
        if record is None:
            raise RequestRefusedError("no engine")
        stored = self._sessions.store(self._clock(), request.name, record, request.lifetime)
        return messages.encode(messages.session_reply(SessionLookup(stored, certain=True)))

    def _load_lookup_requested(self, body: bytes) -> bytes:
        request = decode_request(body, messages.LoadLookupRequest)
        return messages.encode(messages.load_reply(self._load_ends.lookup(request.reference)))

    def _load_store_requested(self, body: bytes) -> bytes:
        request = decode_request(body, messages.LoadStoreRequest)
        self._load_ends.store(request.reference, messages.load_end(request))
        return b""

    # Requests to other gateways.

    def lookup_session(self, name: str, lifetime: Duration) -> Deferred[SessionState]:
        """What the gateways that store a session know of it; never fails."""
        gateways = session_affinity.storing_gateways(name, self._gateways)

        def combine(replies: list[messages.SessionReply]) -> SessionState:
            lookups = [messages.session_lookup(reply) for reply in replies]
            return session_affinity.combine_lookups(len(gateways), lookups)

        # A majority of answers is enough: the slowest is not waited for.
        gathering = _Gathering(messages.SessionReply, session_affinity.majority(len(gateways)))
        request = messages.SessionLookupRequest(name, lifetime)
        self._ask_all(
            gathering, gateways, messages.SESSION_LOOKUP_KIND, request, self._session_lookup_requested
        )
        return gathering.done.addCallback(combine)

    def store_session(self, name: str, lifetime: Duration, record: SessionRecord) -> Deferred[StoreResult]:
        """Stores a session; never fails."""
        gateways = session_affinity.storing_gateways(name, self._gateways)

        def settle(replies: list[messages.SessionReply]) -> StoreResult:
            stored = [one for one in map(messages.session_record, replies) if one is not None]
            others = [one for one in stored if not one.same_placement(record)]
            settled = session_affinity.is_settled(len(gateways), record, stored)
            return StoreResult(settled, others[0] if others else None)

        gathering = _Gathering(messages.SessionReply, session_affinity.majority(len(gateways)))
        request = messages.session_store_request(name, lifetime, record)
        self._ask_all(
            gathering, gateways, messages.SESSION_STORE_KIND, request, self._session_store_requested
        )
        return gathering.done.addCallback(settle)

    def store_load_end(self, reference: str, end: LoadEnd) -> None:
        """A load has ended: sent to the gateways that store it, without waiting for them."""
        self._own_load_ends.store(reference, end)
        body = messages.encode(messages.load_store_request(reference, end))
        for name in session_affinity.storing_gateways(reference, self._gateways):
            if name == self._fleet.name:
                self._load_ends.store(reference, end)
            else:
                sent = self._fleet.call(name, messages.LOAD_STORE_KIND, body, self._timeout_s)
                sent.addErrback(lambda _: None)

    def lookup_load_end(self, reference: str) -> Deferred[LoadEnd | None]:
        """Where a load ended; None where nobody says. Never fails."""
        known = self._own_load_ends.lookup(reference) or self._load_ends.lookup(reference)
        if known is not None:
            return succeed(known)

        def first_known(replies: list[messages.LoadReply]) -> LoadEnd | None:
            return next((messages.load_end(reply) for reply in replies if reply.known), None)

        storing = session_affinity.storing_gateways(reference, self._gateways)
        others = [name for name in storing if name != self._fleet.name]
        gathering = _Gathering(messages.LoadReply, 1, lambda reply: reply.known)
        request = messages.LoadLookupRequest(reference)
        self._ask_all(gathering, others, messages.LOAD_LOOKUP_KIND, request, None)
        return gathering.done.addCallback(first_known)

    def _ask_all(
        self,
        gathering: _Gathering[ReplyT],
        gateways: Iterable[str],
        kind: str,
        request: msgspec.Struct,
        own_handler: Callable[[bytes], bytes] | None,
    ) -> None:
        """Asks gateways; `own_handler` answers where this gateway is one of them."""
        body = messages.encode(request)
        gathering.expect(gateways)
        for name in gathering.outstanding():
            if name == self._fleet.name and own_handler is not None:
                gathering.answered(own_handler(body), name)
            else:
                sent = self._fleet.call(name, kind, body, self._timeout_s)
                sent.addErrback(lambda _: None).addCallback(gathering.answered, name)


class _Gathering(Generic[ReplyT]):
    """Collects replies until enough of them count, or no more can come."""

    def __init__(
        self, reply: type[ReplyT], wanted: int, counts: Callable[[ReplyT], bool] = lambda _: True
    ) -> None:
        self._reply = reply
        self._wanted = wanted
        self._counts = counts
        self._replies = list[ReplyT]()
        self._outstanding = set[str]()
        self.done: Deferred[list[ReplyT]] = Deferred()

    def expect(self, gateways: Iterable[str]) -> None:
        """Replies of these are awaited."""
        self._outstanding = set(gateways)
        if not self._outstanding:
            self.done.callback(self._replies)

    def outstanding(self) -> list[str]:
        """The gateways that have not replied."""
        return list(self._outstanding)

    def answered(self, body: bytes | None, gateway: str) -> None:
        """A gateway has replied; None: it did not in time."""
        self._outstanding.discard(gateway)
        reply = messages.decode(body, self._reply) if body is not None else None
        if self.done.called:
            return
        if reply is not None:
            self._replies.append(reply)
        if not self._outstanding or sum(map(self._counts, self._replies)) >= self._wanted:
            self.done.callback(self._replies)


def decode_request(body: bytes, kind: type[RequestT]) -> RequestT:
    """A request of another gateway. Raises RequestRefusedError where it is malformed."""
    request = messages.decode(body, kind)
    if request is None:
        raise RequestRefusedError("unreadable")
    return request
