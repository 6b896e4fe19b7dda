"""Requests leases from voters for this gateway, renews them and releases them.

A thin driver: `claim`, `assignment` and `fencing` make the decisions.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.history import History
from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.leases import assignment, messages
from vanerelay.leases.assignment import Candidate
from vanerelay.leases.claim import Claim, ClaimStage
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.lease_task import AcceptRequest, HistoryOp, HolderCallback, LeaseTask
from vanerelay.leases.status import leases_status
from vanerelay.leases.voter import TOKENS_PER_ERA, Ballot, Reply, VoterAnswer
from vanerelay.leases.voter_client import VoterClient, ignore_no_reply
from vanerelay.leases.voter_service import VoterService

RENEWALS_PER_TERM = 3
"""At three renewals per term, a lease survives the loss of two renewals in a row."""
CYCLES_PER_TERM = 20
"""Checks of all tasks in one term."""
RELEASE_TIMEOUT_S = 1.0
"""Time for operations in flight to end on shutdown; leases still held after it expire by themselves."""
RELEASE_POLL_S = RELEASE_TIMEOUT_S / 20
RELEASE_NOTICE_TIMEOUT_S = 1.0
"""Timeout of the notice to the preferred gateway, which requests the lease a little later without it."""
SLOW_RENEWAL_DIVISOR = 2
"""A renewal is slow if it takes longer than the term divided by this."""
MAX_SLOW_RENEWALS = 2
"""Slow renewals in a row after which this gateway leaves tasks to other gateways for a while."""
ROUND_STAGES = (ClaimStage.PREPARING, ClaimStage.ACCEPTING)
NANOSECONDS_PER_UNIT = 100_000
"""Nanoseconds in the unit of all times and durations, a tenth of a millisecond."""

log = structlog.get_logger()


def boottime() -> int:
    """Returns the time of the clock of leases: monotonic, and running while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_UNIT


class Leases:
    """This gateway's leases on the fleet's tasks.

    Attributes:
        tasks: the fleet's tasks, by name.
        voter_service: this gateway's voter; None where it is no voter.
        clock: returns the present time, on which all times of leases are based.
        history: operations on leases, recorded for the laboratory.
    """

    def __init__(
        self,
        reactor: Any,
        fleet: FleetService,
        config: LeasesConfig,
        random_source: random.Random,
        process: int,
        store: DurableStore | None,
        clock: Callable[[], int] = boottime,
    ) -> None:
        """Creates the service without starting it.

        `process` is a random number that identifies this process; `store` is None where this gateway is no
        voter.


        Raises:
            StoreError: the store can't be read.
        """
        self._reactor, self._fleet, self.config, self._random = reactor, fleet, config, random_source
        self._process, self.name, self.clock = process, fleet.name, clock
        self.history = History(self.name, config.history)
        self.tasks = dict[str, LeaseTask]()
        self._slow_renewals, self._slow_until = 0, 0
        self._known_tokens = dict[str, int]()  # highest token that receivers have reported, by task
        self._preferred = dict[str, str]()  # the gateway that should hold a task, by task
        self._assignment_inputs: tuple[tuple[Candidate, ...], int] | None = None
        self._is_shutting_down = self._stopped = False
        self._voters = VoterClient(fleet, config.voters, config.terms.term / RENEWALS_PER_TERM / SECOND)
        self.voter_service: VoterService | None = None
        if store is not None:
            self.voter_service = VoterService(
                reactor, self.name, config.terms, config.voters, store, clock, self._voters.request
            )
            self._voters.local = self.voter_service
        fleet.rpc.handlers |= {
            messages.VOTE_KIND: self._answer_vote,
            messages.RELEASED_KIND: self._answer_released,
            messages.STATUS_KIND: self._answer_status,
        }

    @property
    def requests_sent(self) -> int:
        """Number of requests sent to voters so far."""
        return self._voters.requests_sent

    def add_task(self, name: str, on_acquired: HolderCallback, on_lost: HolderCallback) -> LeaseHolder:
        """Adds a task of the fleet and returns its holder; every gateway adds the same tasks."""
        holder = LeaseHolder(name, f"{self.name}/{self._process:x}")
        self.tasks[name] = LeaseTask(name, holder, on_acquired, on_lost)
        return holder

    def start(self) -> None:
        """Starts the regular cycles, which request and renew leases."""
        self._run_cycle()

    # Regular cycles.

    def _run_cycle(self) -> None:
        if self._stopped:
            return
        self._reactor.callLater(self.config.terms.term / CYCLES_PER_TERM / SECOND, self._run_cycle)
        now = self.clock()
        self._update_assignment(now)
        preparing, renewing = list[LeaseTask](), list[tuple[LeaseTask, int]]()
        for task in self.tasks.values():
            claim = self._end_overdue_round(task, now)
            self._update_holder(task, now)
            if claim.stage is ClaimStage.HOLDING and self._should_release(task, now):
                self._release(task, now)
            elif claim.stage is ClaimStage.HOLDING and not claim.saw_higher_ballot:
                if now - task.renewed_at >= self.config.terms.term // RENEWALS_PER_TERM:
                    task.claim, serial = claim.renew(now)
                    task.renewed_at = now
                    renewing.append((task, serial))
            elif self._should_start_round(task, claim, now):
                task.claim = claim.start_round(now, self.name, self._process)
                task.requested_at = self.history.now()
                preparing.append(task)
        self._send_prepares(preparing)
        self._send_accepts(renewing)

    def _end_overdue_round(self, task: LeaseTask, now: int) -> Claim:
        """Ends a round that has taken too long, or an expired holding; returns the claim after it."""
        claim, term = task.claim, self.config.terms.term
        is_held = claim.is_held(now)
        is_overdue = now - claim.started_at >= term // RENEWALS_PER_TERM
        has_expired = claim.stage is ClaimStage.HOLDING and not is_held
        if has_expired or claim.stage in ROUND_STAGES and is_overdue:
            claim = task.claim = claim.end_round(now)
            if not is_held:
                task.watch.request_failed(now, term, 0, self._random.random())
        return claim

    def _should_start_round(self, task: LeaseTask, claim: Claim, now: int) -> bool:
        """Returns True if a new round should start.

        A round while the lease is held uses a ballot above a higher one that some voter promised, so that
        voters accept this gateway's renewals again.
        """
        if claim.is_held(now):
            return claim.stage not in ROUND_STAGES
        return self._wants_lease(task, now)

    def _wants_lease(self, task: LeaseTask, now: int) -> bool:
        detector = self._fleet.detector
        has_joined = not detector.replaced and (detector.has_joined or len(detector.members) == 1)
        is_idle = task.claim.stage is ClaimStage.IDLE
        term = self.config.terms.term
        return is_idle and has_joined and self._is_eligible(now) and task.watch.wants_lease(now, term)

    def _should_release(self, task: LeaseTask, now: int) -> bool:
        preferred = self._fleet.detector.members.get(self._preferred.get(task.name, ""))
        is_alive = preferred is not None and preferred.status is MemberState.ALIVE
        return (
            task.holder.is_releasing
            or not self._is_eligible(now)
            or task.watch.should_hand_over(now, self.config.terms.term, is_alive)
        )

    def _is_eligible(self, now: int) -> bool:
        """Returns True if this gateway may hold tasks."""
        is_serving = self._fleet.detector.own.state == "serving"
        return is_serving and not self._is_shutting_down and now >= self._slow_until

    def _update_assignment(self, now: int) -> None:
        """Recomputes the assignment if the eligible gateways or the number of tasks have changed."""
        members, is_eligible = self._fleet.detector.members.values(), self._is_eligible(now)
        candidates = tuple(
            assignment.eligible_candidates(members, self.name, is_eligible, self.config.weights)
        )
        if (candidates, len(self.tasks)) == self._assignment_inputs:
            return
        self._assignment_inputs = candidates, len(self.tasks)
        for name, watchers in assignment.assign(self.tasks, candidates).items():
            self.tasks[name].watch.update_rank(now, self.name, watchers)
            self._preferred[name] = watchers[0] if watchers else ""

    # Requests to voters.

    def _send_prepares(self, tasks: list[LeaseTask]) -> None:
        """Asks all voters to promise the ballots of these tasks."""
        size, version = messages.MAX_TASKS_PER_MESSAGE, self.config.voters.version
        for first in range(0, len(tasks), size):
            ballots = {task.name: task.claim.ballot for task in tasks[first : first + size]}
            request = messages.VoteRequest(version, list(ballots.items()))
            self._voters.request_all(request, partial(self._prepares_replied, ballots))

    def _prepares_replied(
        self, ballots: Mapping[str, Ballot], voter: str, response: messages.VoteResponse
    ) -> None:
        now, promised = self.clock(), list[tuple[LeaseTask, int]]()
        for (name, ballot), message in zip(ballots.items(), response.prepares, strict=False):
            task = self.tasks[name]
            if self._prepare_replied(task, now, voter, ballot, message.reply()):
                promised.append((task, 0))
        self._send_accepts(promised)

    def _prepare_replied(self, task: LeaseTask, now: int, voter: str, ballot: Ballot, reply: Reply) -> bool:
        """Counts a voter's reply for one task; returns True if the grant is now due for acceptance."""
        terms, voters, stage_before = self.config.terms, self.config.voters, task.claim.stage
        min_token = max(self._voters.era * TOKENS_PER_ERA, self._known_tokens.get(task.name, 0))
        claim = task.claim.prepare_replied(now, voter, ballot, reply, voters, terms, min_token)
        task.claim = claim
        if stage_before is ClaimStage.PREPARING and claim.stage is ClaimStage.ACCEPTING:
            return True
        if claim.cannot_win(voters) and not claim.is_held(now):
            # Another gateway holds the lease, or requests it at the same time: retry after a random delay.
            remaining = reply.remaining if reply.answer is VoterAnswer.HELD else 0
            task.watch.request_failed(now, terms.term, remaining, self._random.random())
            task.claim = claim.end_round(now)
        return False

    def _send_accepts(self, accepting: list[tuple[LeaseTask, int]]) -> None:
        """Asks all voters to accept the grants of these tasks; each task comes with its request's serial."""
        size, version = messages.MAX_TASKS_PER_MESSAGE, self.config.voters.version
        for first in range(0, len(accepting), size):
            requests = [
                AcceptRequest(task, serial, task.claim.grant)
                for task, serial in accepting[first : first + size]
            ]
            begin, sent_at = self.history.now(), self.clock()
            for request in requests:
                if not request.serial:
                    request.task.renewed_at = sent_at
                    self._record(HistoryOp.REQUEST, request.task, begin, request.grant.token, "unknown")
            grants = [(request.task.name, request.grant) for request in requests]
            handle = partial(self._accepts_replied, requests, begin, sent_at)
            self._voters.request_all(messages.VoteRequest(version, accepts=grants), handle)

    def _accepts_replied(
        self,
        requests: list[AcceptRequest],
        begin: int,
        sent_at: int,
        voter: str,
        response: messages.VoteResponse,
    ) -> None:
        now, terms, voters = self.clock(), self.config.terms, self.config.voters
        for request, message in zip(requests, response.accepts, strict=False):
            task, grant = request.task, request.grant
            expires_before = task.claim.expires_at
            task.claim = task.claim.accept_replied(
                voter, grant.ballot, request.serial, message.reply(), voters, terms
            )
            if task.claim.expires_at > expires_before:
                self._track_latency(now - sent_at, now)
                is_renewal = grant.token == task.holder.token
                op = HistoryOp.RENEW if is_renewal else HistoryOp.ACQUIRE
                self._record(op, task, begin if request.serial else task.requested_at, grant.token, "ok")
                self._update_holder(task, now)

    def _track_latency(self, latency: int, now: int) -> None:
        """Makes this gateway ineligible for a while after several slow renewals in a row."""
        term = self.config.terms.term
        is_slow = latency > term // SLOW_RENEWAL_DIVISOR
        self._slow_renewals = self._slow_renewals + 1 if is_slow else 0
        if self._slow_renewals >= MAX_SLOW_RENEWALS and now >= self._slow_until:
            log.warning(
                "voters replied slowly several times in a row; leaving tasks to other gateways",
                ms=latency // MILLISECOND,
            )
            self._slow_renewals, self._slow_until = 0, now + assignment.COOLDOWN_TERMS * term

    # Leases acquired, lost and released.

    def _update_holder(self, task: LeaseTask, now: int) -> None:
        """Updates the task's holder, and calls its callback if the lease was acquired or lost."""
        holder = task.holder
        if holder.update(now, task.claim, self.config.terms):
            wait = max(0, holder.acts_from - now)
            log.info("lease acquired", task=task.name, token=holder.token, wait_ms=wait // MILLISECOND)
            task.is_acting = True
            task.watch.acquired(now)
            task.on_acquired(holder)
        elif task.is_acting and not task.claim.is_held(now):
            task.is_acting = False
            log.warning(
                "lease lost; no further operations begin under it", task=task.name, token=holder.token
            )
            self._record(HistoryOp.LOSE, task, self.history.now(), holder.token, "ok")
            task.on_lost(holder)

    def _release(self, task: LeaseTask, now: int) -> None:
        """Releases the lease once all operations in flight have ended; none begins meanwhile."""
        holder = task.holder
        if not holder.is_releasing:
            holder.start_release()
            task.is_acting = False
            task.on_lost(holder)
        if not holder.may_release:
            return
        begin, token = self.history.now(), holder.token
        task.claim = task.claim.release()
        grant = task.claim.grant
        holder.update(now, task.claim, self.config.terms)
        task.watch.released(now, self.config.terms.term)
        log.info("lease released", task=task.name, token=token)
        self._record(HistoryOp.RELEASE, task, begin, token, "ok")
        request = messages.VoteRequest(self.config.voters.version, accepts=[(task.name, grant)])
        self._voters.request_all(request, self._release_notifier(task.name))

    def _release_notifier(self, task: str) -> Callable[[str, messages.VoteResponse], None]:
        """Returns a response handler that notifies the preferred gateway once a majority has replied.

        That gateway then requests the lease without waiting for its next check.
        """
        released, preferred = set[str](), self._preferred.get(task, self.name)

        def replied(voter: str, _: messages.VoteResponse) -> None:
            released.add(voter)
            if preferred not in ("", self.name) and self.config.voters.is_quorum(released):
                released.clear()
                body = task.encode()
                notice = self._fleet.call(preferred, messages.RELEASED_KIND, body, RELEASE_NOTICE_TIMEOUT_S)
                notice.addErrback(ignore_no_reply)

        return replied

    def report_newer_token(self, operation: LeasedOperation, token: int) -> None:
        """Gives up the lease of an operation whose receiver knows a newer token, as it has another holder."""
        task = self.tasks[operation.task]
        self._known_tokens[task.name] = max(self._known_tokens.get(task.name, 0), token)
        if token > task.holder.token and task.claim.is_held(self.clock()):
            log.warning(
                "receiver reports a newer fencing token; giving up the lease",
                task=task.name,
                token=operation.token,
                newer=token,
            )
            task.claim = Claim(highest_round=task.claim.highest_round)
            self._update_holder(task, self.clock())  # the next round uses a token above it

    def release_all(self) -> Deferred[None]:
        """Releases all leases; the Deferred fires once voters were notified or the timeout has passed."""
        self._is_shutting_down = True
        done: Deferred[None] = Deferred()
        started_at = self.clock()
        # Without this gateway, so that the next preferred gateway is notified.
        self._update_assignment(started_at)
        self._poll_release(started_at, done)
        return done

    def _poll_release(self, started_at: int, done: Deferred[None]) -> None:
        now = self.clock()
        held = [task for task in self.tasks.values() if task.claim.is_held(now)]
        for task in held:
            if task.claim.stage is ClaimStage.HOLDING:
                self._release(task, now)
        remaining = [task for task in held if task.claim.is_held(now)]
        if remaining and now - started_at < RELEASE_TIMEOUT_S * SECOND:
            self._reactor.callLater(RELEASE_POLL_S, self._poll_release, started_at, done)
        elif held and self.config.voters.names:
            self._reactor.callLater(RELEASE_POLL_S, done.callback, None)  # requests are sent first
        else:
            done.callback(None)

    def stop(self) -> None:
        """Stops sending requests and answering them, and stops this gateway's voter."""
        self._stopped = True
        self._voters.stop()
        if self.voter_service is not None:
            self.voter_service.stop()

    # Requests from other gateways.

    def _answer_vote(self, body: bytes) -> Deferred[bytes]:
        request = messages.decode(body, messages.VoteRequest)
        if request is None or self.voter_service is None or self._stopped:
            raise RequestRefusedError("unreadable" if request is None else "this manager does not vote")
        return self.voter_service.answer(request).addCallback(messages.encode)

    def _answer_released(self, body: bytes) -> bytes:
        task = self.tasks.get(body.decode(errors="replace"))
        if task is not None and not task.claim.is_held(self.clock()):
            task.watch.holder_released(self.clock())
        return b""

    def _answer_status(self, _: bytes) -> bytes:
        status = leases_status(self.name, self.config.voters, self.tasks.values(), self._voters, self.clock())
        return messages.encode(status)

    def _record(self, op: HistoryOp, task: LeaseTask, begin: int, token: int, result: str) -> None:
        """Writes a row of the history; checkers of histories match these keys."""
        self.history.add(
            op, begin, task=task.name, number=token, holder=task.holder.process_name, result=result
        )
