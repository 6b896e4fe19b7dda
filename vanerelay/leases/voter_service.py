"""Runs a gateway's voter: a thin driver of `voter.Voter` that answers requests and stores its records.

A response is sent only after all changes that it depends on are on disk.
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
from vanerelay.leases.voter import LeaseTerms, Voter, VoterRecord, Voters, VoterState, VoterStatus

VOTES_SPACE = "votes"
"""Space of a voter's records in the store; the keys are task names."""
META_KEY = "meta"
"""Key of the record with era and version, in the same space."""
ERA_FILE = "found"
"""File that an operator puts into the store's folder, with the era in which voters without records start."""

SILENCE_POLL_S = 0.5
"""Interval of checks for the end of SILENT."""
RECOVERY_RETRY_S = 1.0
"""Interval of attempts to read the other voters' records."""

log = structlog.get_logger()

RequestVoter = Callable[[str, messages.VoteRequest], Deferred[messages.VoteResponse]]
"""Sends a request to the voter with the given name."""


@dataclass(frozen=True, slots=True)
class _PeerRecords:
    """The era and state of another voter; `state` is None where it has not recovered its records either."""

    era: int
    state: VoterState | None


class VoterService:
    """One gateway's voter.

    Attributes:
        voter: the voter's side of the protocol.
        reason: why it does not vote at present, for operators; empty where it votes.
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
        """Reads the store, and starts recovery if it has no state; `clock` is the clock of leases.

        Raises:
            StoreError: the store can't be read.
        """
        self._reactor, self._clock, self._store = reactor, clock, store
        self._request_voter = request_voter
        self.voter = Voter(name, terms, voters, self._load(), clock())
        self._stopped, self.reason = False, ""
        self._meta_unsaved = False  # era and version have to be stored with the next records
        if self.voter.status is VoterStatus.SILENT:
            log.warning(
                "voter has no stored state; refusing requests until all earlier leases have expired",
                for_s=terms.max_term / SECOND,
            )
            self._poll_recovery()
        else:
            store.remove_operator_file(ERA_FILE)  # left over where a crash came after it was applied

    def _load(self) -> VoterState | None:
        stored = self._store.load(VOTES_SPACE)
        meta = messages.decode(stored.pop(META_KEY, b""), tuple[int, int])
        if meta is None:
            return None
        records = dict[str, VoterRecord]()
        for task, body in stored.items():
            message = messages.decode(body, messages.RecordMessage)
            if message is None:
                return None  # the unreadable record may be a promise that has to be kept
            records[task] = message.record()
        return VoterState(meta[0], meta[1], records)

    def answer(self, request: messages.VoteRequest) -> Deferred[messages.VoteResponse]:
        """Answers a request once its changes are stored; fails with RequestRefusedError if storing fails.

        Raises:
            RequestRefusedError: the request names too many tasks.
        """
        voter, now, version = self.voter, self._clock(), request.version
        if len(request.prepares) + len(request.accepts) > messages.MAX_TASKS_PER_MESSAGE:
            raise RequestRefusedError("too many tasks at once")
        reads = request.read_records and voter.status is VoterStatus.READY
        is_new_version = reads and voter.raise_version(version)
        prepares = [
            messages.ReplyMessage.of(voter.prepare(now, version, task, ballot))
            for task, ballot in request.prepares
        ]
        accepts = [
            messages.ReplyMessage.of(voter.accept(now, version, task, grant))
            for task, grant in request.accepts
        ]
        records, more = self._read_page(request.after) if reads else ([], False)
        response = messages.VoteResponse(
            voter.status.value, voter.era, voter.version, prepares, accepts, records, more
        )
        return self._save(is_new_version).addCallback(lambda _: response)

    def _read_page(self, after: str) -> tuple[list[messages.RecordMessage], bool]:
        """Returns a page of records of tasks whose names sort after `after`, and True if there are more."""
        voter, limit = self.voter, messages.MAX_TASKS_PER_MESSAGE
        tasks = sorted(task for task in voter.records if task > after)
        page = [messages.RecordMessage.of(task, voter.records[task]) for task in tasks[:limit]]
        return page, len(tasks) > limit

    def _save(self, with_meta: bool) -> Deferred[None]:
        """Stores all unsaved changes; the Deferred fires once these and all earlier ones are on disk."""
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
            voter.unsaved |= unsaved  # stored before the next response is sent
            self._meta_unsaved = self._meta_unsaved or with_meta
            reason = str(failure.value)
            if reason != self.reason:
                self.reason = reason
                log.error(
                    "cannot store the voter's records; refusing requests until they are stored", reason=reason
                )
            raise RequestRefusedError(self.reason) from failure.value

        def saved(_: None) -> None:
            self.reason = ""

        return self._store.put(VOTES_SPACE, records).addCallbacks(saved, failed)

    # Recovery after the store was lost.

    def _poll_recovery(self) -> None:
        if self._stopped or self.voter.status is VoterStatus.READY:
            return
        if not self.voter.may_recover(self._clock()):
            self._reactor.callLater(SILENCE_POLL_S, self._poll_recovery)
            return
        names = [name for name in self.voter.voters.names if name != self.voter.name]
        reads = [self._read_peer_records(name) for name in names]
        DeferredList(reads, consumeErrors=True).addCallback(self._recover, names)

    def _read_peer_records(self, name: str) -> Deferred[_PeerRecords]:
        """Reads all records of another voter, page by page."""
        records = dict[str, VoterRecord]()
        done: Deferred[_PeerRecords] = Deferred()

        def request_page(after: str) -> None:
            version = self.voter.voters.version
            request = messages.VoteRequest(version, read_records=True, after=after)
            self._request_voter(name, request).addCallback(received).addErrback(done.errback)

        def received(response: messages.VoteResponse) -> None:
            records.update((message.task, message.record()) for message in response.records)
            if response.more and response.records:
                request_page(response.records[-1].task)
            elif response.memory == VoterStatus.READY.value:
                state = VoterState(response.era, response.version, records)
                done.callback(_PeerRecords(response.era, state))
            else:
                done.callback(_PeerRecords(response.era, None))

        request_page("")
        return done

    def _recover(self, results: list[tuple[bool, Any]], names: list[str]) -> None:
        if self._stopped:
            return
        peers: dict[str, _PeerRecords] = {
            name: result for name, (succeeded, result) in zip(names, results, strict=True) if succeeded
        }
        states = {name: peer.state for name, peer in peers.items() if peer.state is not None}
        if self.voter.recover(self._clock(), states):
            log.info(
                "voter recovered its records from other voters",
                learned_from=sorted(states),
                era=self.voter.era,
            )
            self._become_ready()
            return
        era = self._read_operator_era()
        if era is None:
            self._report_missing_voters(len(states), len(names))
        elif self._start_era(era, [peer.era for peer in peers.values()], states):
            return
        self._reactor.callLater(RECOVERY_RETRY_S, self._poll_recovery)

    def _read_operator_era(self) -> int | None:
        text = self._store.read_operator_file(ERA_FILE)
        return int(text) if text.isdecimal() else None

    def _start_era(self, era: int, reported_eras: list[int], states: dict[str, VoterState]) -> bool:
        """Starts the era of an operator's order; returns True if the order was valid."""
        latest = max(reported_eras, default=0)
        # Voters that already follow the same order report this era, which has to be later than all others.
        earlier = max([state.era for state in states.values() if state.era != era], default=0)
        refusal = self.voter.start_era(era, earlier if latest == era else latest)
        if refusal is None:
            log.warning("voter starts the era in the operator's file without recovered records", era=era)
            self._become_ready()
            return True
        self.reason = f"the operator's word is not taken: {refusal}"
        log.warning("era in the operator's file rejected; voter still refuses requests", reason=refusal)
        return False

    def _report_missing_voters(self, recovered: int, others: int) -> None:
        reason = f"{recovered} of {others} other voters remember, expected more than half of all"
        if reason != self.reason:
            log.warning(
                "too few other voters have their records; voter retries, or needs an era file",
                reason=reason,
                file=ERA_FILE,
            )
        self.reason = reason

    def _become_ready(self) -> None:
        """Stores the state, then removes the operator's file: it must not apply again after a later loss."""

        def saved(_: None) -> None:
            self._store.remove_operator_file(ERA_FILE)

        def failed(failure: Failure) -> None:
            log.error(
                "cannot store the recovered voter's state; retrying with the next request",
                reason=failure.getErrorMessage(),
            )

        self.reason = ""
        self._save(True).addCallback(saved).addErrback(failed)

    def stop(self) -> None:
        """Stops recovery and closes the store, so that later requests fail."""
        self._stopped = True
        self._store.close()
