"""A voter on the wire and on disk: a thin driver of `voter.Voter`.

Nothing that it says leaves before what it changed is on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog
from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.interface import SECOND
from vanerelay.leases import messages
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.errors import StoreError
from vanerelay.leases.voter import LeaseTerms, Voter, VoterMemory, VoterRecord, Voters, VoterState

VOTES_SPACE = "votes"
"""The store's space for a voter's records, each under its task's name."""
META_KEY = "meta"
"""The record of era and version, in the same space."""
ERA_FILE = "found"
"""A file that an operator puts into the folder: the era with which voters that remember nothing begin."""

SILENCE_POLL_S = 0.5
"""Between two looks whether the silence is over."""
RECOVERY_RETRY_S = 1.0
"""Between two rounds of asking the other voters what they remember."""

log = structlog.get_logger()

RequestVoter = Callable[[str, messages.VoteRequest], Deferred[messages.VoteResponse]]
"""Sends a request to the voter of a name."""


@dataclass(frozen=True, slots=True)
class _PeerMemory:
    """What another voter reports: its era, and what it remembers; None where it remembers nothing either."""

    era: int
    state: VoterState | None


class VoterService:
    """One gateway's voter.

    Attributes:
        voter: the protocol's state.
        reason: why it does not vote at present, for operators; empty where it does.
    """

    def __init__(
        self,
        reactor: Any,
        name: str,
        terms: LeaseTerms,
        voters: Voters,
        store: DurableStore,
        clock: Callable[[], int],
        request_voter: RequestVoter,
    ) -> None:
        """Reads the store; `clock` is the one by which leases count.

        Raises:
            StoreError: the store can't be read.
        """
        self._reactor, self._clock, self._store = reactor, clock, store
        self._request_voter = request_voter
        self.voter = Voter(name, terms, voters, self._load(), clock())
        self._stopped, self.reason = False, ""
        self._meta_unsaved = False  # era and version are to be stored with the next records
        if self.voter.memory is VoterMemory.SILENT:
            log.warning("voter has no stored state: silent before it recovers", for_s=terms.max_term / SECOND)
            self._poll_recovery()
        else:
            store.remove_operator_file(ERA_FILE)  # one that was followed before a crash

    def _load(self) -> VoterState | None:
        stored = self._store.load(VOTES_SPACE)
        meta = messages.decode(stored.pop(META_KEY, b""), tuple[int, int])
        if meta is None:
            return None
        records = dict[str, VoterRecord]()
        for task, body in stored.items():
            found = messages.decode(body, messages.RecordMessage)
            if found is None:
                return None  # what can't be read was promised to somebody all the same
            records[task] = found.record()
        return VoterState(meta[0], meta[1], records)

    def answer(self, request: messages.VoteRequest) -> Deferred[messages.VoteResponse]:
        """Answers a request once what it changed is stored; fails with RequestRefusedError if it can't be.

        Raises:
            RequestRefusedError: the request names too many tasks.
        """
        voter, now, version = self.voter, self._clock(), request.version
        if len(request.prepares) + len(request.accepts) > messages.MAX_TASKS_PER_MESSAGE:
            raise RequestRefusedError("too many tasks at once")
        reads = request.read_records and voter.memory is VoterMemory.READY
        is_new_version = reads and voter.raise_version(version)
        prepares = [
            messages.ReplyMessage.of(voter.prepare(now, version, task, ballot))
            for task, ballot in request.prepares
        ]
        accepts = [
            messages.ReplyMessage.of(voter.accept(now, version, task, grant))
            for task, grant in request.accepts
        ]
        records, more = self._page(request.after) if reads else ([], False)
        response = messages.VoteResponse(
            voter.memory.value, voter.era, voter.version, prepares, accepts, records, more
        )
        return self._save(is_new_version).addCallback(lambda _: response)

    def _page(self, after: str) -> tuple[list[messages.RecordMessage], bool]:
        """Records of tasks after a name, as many as a message may have; and whether there are more."""
        voter, limit = self.voter, messages.MAX_TASKS_PER_MESSAGE
        tasks = sorted(task for task in voter.records if task > after)
        page = [messages.RecordMessage.of(task, voter.records[task]) for task in tasks[:limit]]
        return page, len(tasks) > limit

    def _save(self, with_meta: bool) -> Deferred[None]:
        """Stores what changed; fires once it, and all that changed before, is on disk."""
        voter, records = self.voter, dict[str, bytes | None]()
        unsaved = set(voter.unsaved)
        with_meta = self._meta_unsaved or with_meta
        for task in unsaved:
            records[task] = messages.encode(messages.RecordMessage.of(task, voter.records[task]))
        voter.unsaved.clear()
        self._meta_unsaved = False
        if with_meta:
            records[META_KEY] = msgspec.msgpack.encode((voter.era, voter.version))

        def failed(failure: Failure) -> None:
            failure.trap(StoreError)  # type: ignore[no-untyped-call]
            voter.unsaved |= unsaved  # to be stored before anything else is said
            self._meta_unsaved = self._meta_unsaved or with_meta
            reason = str(failure.value)
            if reason != self.reason:
                self.reason = reason
                log.error("votes can't be stored, and are not given", reason=reason)
            raise RequestRefusedError(self.reason) from failure.value

        def saved(_: None) -> None:
            self.reason = ""

        return self._store.put(VOTES_SPACE, records).addCallbacks(saved, failed)

    # Recovery after a lost store.

    def _poll_recovery(self) -> None:
        if self._stopped or self.voter.memory is VoterMemory.READY:
            return
        if not self.voter.may_recover(self._clock()):
            self._reactor.callLater(SILENCE_POLL_S, self._poll_recovery)
            return
        names = [name for name in self.voter.voters.names if name != self.voter.name]
        reads = [self._read_memory(name) for name in names]
        DeferredList(reads, consumeErrors=True).addCallback(self._recover, names)

    def _read_memory(self, name: str) -> Deferred[_PeerMemory]:
        """All that another voter remembers, page by page."""
        records = dict[str, VoterRecord]()
        done: Deferred[_PeerMemory] = Deferred()

        def request_page(after: str) -> None:
            version = self.voter.voters.version
            request = messages.VoteRequest(version, read_records=True, after=after)
            self._request_voter(name, request).addCallback(received).addErrback(done.errback)

        def received(response: messages.VoteResponse) -> None:
            records.update((message.task, message.record()) for message in response.records)
            if response.more and response.records:
                request_page(response.records[-1].task)
            elif response.memory == VoterMemory.READY.value:
                state = VoterState(response.era, response.version, records)
                done.callback(_PeerMemory(response.era, state))
            else:
                done.callback(_PeerMemory(response.era, None))

        request_page("")
        return done

    def _recover(self, results: list[tuple[bool, Any]], names: list[str]) -> None:
        if self._stopped:
            return
        peers: dict[str, _PeerMemory] = {
            name: result for name, (succeeded, result) in zip(names, results, strict=True) if succeeded
        }
        states = {name: peer.state for name, peer in peers.items() if peer.state is not None}
        if self.voter.recover(self._clock(), states):
            log.info("voter recovered", learned_from=sorted(states), era=self.voter.era)
            self._become_ready()
            return
        era = self._operators_era()
        if era is None:
            self._note_missing_voters(len(states), len(names))
        elif self._start_era(era, [peer.era for peer in peers.values()], states):
            return
        self._reactor.callLater(RECOVERY_RETRY_S, self._poll_recovery)

    def _operators_era(self) -> int | None:
        text = self._store.read_operator_file(ERA_FILE)
        return int(text) if text.isdecimal() else None

    def _start_era(self, era: int, reported_eras: list[int], states: dict[str, VoterState]) -> bool:
        """Follows an operator's order of a later era; whether that was possible."""
        latest = max(reported_eras, default=0)
        # A voter that followed the same order already is of this era: it has to be later than those before.
        earlier = max([state.era for state in states.values() if state.era != era], default=0)
        refusal = self.voter.start_era(era, earlier if latest == era else latest)
        if refusal is None:
            log.warning("voter starts a new era on an operator's order", era=era)
            self._become_ready()
            return True
        self.reason = f"the operator's word is not taken: {refusal}"
        log.warning("the operator's era is refused", reason=refusal)
        return False

    def _note_missing_voters(self, remembering: int, others: int) -> None:
        reason = f"{remembering} of {others} other voters remember, expected more than half of all"
        if reason != self.reason:
            log.warning("voter can't recover yet", reason=reason, file=ERA_FILE)
        self.reason = reason

    def _become_ready(self) -> None:
        """Stores the state, then removes the operator's file: it must not count again after a later loss."""

        def saved(_: None) -> None:
            self._store.remove_operator_file(ERA_FILE)

        def failed(failure: Failure) -> None:
            log.error("a recovered voter's state can't be stored", reason=failure.getErrorMessage())

        self.reason = ""
        self._save(True).addCallback(saved).addErrback(failed)

    def stop(self) -> None:
        """Answers nothing further and closes the store."""
        self._stopped = True
        self._store.close()
