"""One manager's part in leases: asks voters, renews, gives back. Thin: `quorum`, `tasks`, `hold` decide."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import structlog
from twisted.internet.defer import Deferred, fail

from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.rpc import NoReplyError, RequestRefusedError, UnknownKindError
from vanerelay.fleet.service import Fleet
from vanerelay.history import History
from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.leases import assignment, messages
from vanerelay.leases.assignment import Watch
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.voter import ERA, Claim, Stage, VoterAnswer
from vanerelay.leases.voter_service import VoterService

RENEWALS = 3  # in a term
TURNS = 20  # in a term
LEAVE_S = 1.0  # for deeds to end, once nothing new is to be begun
ROUNDS = (Stage.ASKING, Stage.TAKING)
SLOW, SLOWS = 2, 2  # a part of the term that renewals took, so often in a row: others do it better

log = structlog.get_logger()


def boottime() -> int:
    """Monotonic, and counting while the machine is suspended; in the module's unit."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


@dataclass(slots=True)
class Task:
    """`began` and `ended` are told that deeds may begin, and that they may not any more."""

    name: str
    hold: LeaseHolder
    began: Callable[[LeaseHolder], None]
    ended: Callable[[LeaseHolder], None]
    watch: Watch = field(default_factory=Watch)
    claim: Claim = field(default_factory=Claim)
    renewed: int = 0
    asked_at: int = 0  # by the histories' clock
    acting: bool = False


class Leases:
    """All tasks of the fleet, as one manager sees them. Voters among them vote beside it."""

    def __init__(
        self,
        reactor: Any,
        fleet: Fleet,
        parts: LeasesConfig,
        chance: random.Random,
        process: int,
        disk: DurableStore | None,
        clock: Callable[[], int] = boottime,
    ) -> None:
        """`process`: drawn for this process alone; `disk`: where it votes, what it remembers by. Raises
        Unkept where that can't be read."""
        self._reactor, self._fleet, self.parts, self._chance = reactor, fleet, parts, chance
        self._process, self.name, self.clock = process, fleet.name, clock
        self.history = History(self.name, parts.history)
        self.tasks = dict[str, Task]()
        self._era, self.sent, self._slow, self._slow_until = 0, 0, 0, 0
        self._floors = dict[str, int]()  # numbers that receivers have seen
        self._firsts = dict[str, str]()  # who has the first claim on each task
        self._seen: tuple[Any, ...] = ()
        self._leaving = self._stopped = False
        self.voting: VoterService | None = None
        if disk is not None:
            self.voting = VoterService(reactor, self.name, parts.terms, parts.voters, disk, clock, self._ask)
        fleet.links.handlers |= {"lease": self._asked, "lease-free": self._freed, "leases": self._viewed}

    def add(
        self, name: str, began: Callable[[LeaseHolder], None], ended: Callable[[LeaseHolder], None]
    ) -> LeaseHolder:
        """A task of the fleet; every manager adds the same ones."""
        hold = LeaseHolder(name, f"{self.name}/{self._process:x}")
        self.tasks[name] = Task(name, hold, began, ended)
        return hold

    def start(self) -> None:
        self._turn()

    # In turn.

    def _turn(self) -> None:
        if self._stopped:
            return
        self._reactor.callLater(self.parts.terms.term / TURNS / SECOND, self._turn)
        now, term = self.clock(), self.parts.terms.term
        self._place(now)
        prepares, accepts = list[Task](), list[tuple[Task, int]]()
        for task in self.tasks.values():
            claim, holds = task.claim, task.claim.holds(now)
            late = now - claim.asked >= term // RENEWALS
            if claim.stage is Stage.HOLDING and not holds or claim.stage in ROUNDS and late:
                claim = task.claim = claim.ended(now)
                if not holds:
                    task.watch.asked(now, term, 0, self._chance.random())
            self._note(task, now)
            if claim.stage is Stage.HOLDING and self._leaves(task, now):
                self._give_back(task, now)
            elif claim.stage is Stage.HOLDING and not claim.over:
                if now - task.renewed >= term // RENEWALS:
                    task.claim, serial = claim.renew(now)
                    task.renewed = now
                    accepts.append((task, serial))
            elif holds and claim.stage not in ROUNDS or not holds and self._wants(task, now):
                # While it is held: above a later ballot that some voter met, so that it counts again.
                task.claim = claim.ask(now, self.name, self._process)
                task.asked_at = self.history.now()
                prepares.append(task)
        self._prepare(prepares)
        self._accept(accepts)

    def _wants(self, task: Task, now: int) -> bool:
        alive = self._fleet.alive
        joined = not alive.replaced and (alive.has_joined or len(alive.members) == 1)
        idle = task.claim.stage is Stage.IDLE
        return idle and joined and self._fit(now) and task.watch.wants(now, self.parts.terms.term)

    def _leaves(self, task: Task, now: int) -> bool:
        first = self._fleet.alive.members.get(self._firsts.get(task.name, ""))
        sound = first is not None and first.standing is MemberState.ALIVE
        return (
            task.hold.leaving or not self._fit(now) or task.watch.outlived(now, self.parts.terms.term, sound)
        )

    def _fit(self, now: int) -> bool:
        return self._fleet.alive.own.state == "serving" and not self._leaving and now >= self._slow_until

    def _place(self, now: int) -> None:
        """Whose turn it is, anew where the fleet has changed."""
        fit = self._fit(now)
        members = self._fleet.alive.members.values()
        found = tuple(assignment.candidates(members, self.name, fit, self.parts.weights))
        if (found, len(self.tasks)) != self._seen:
            self._seen = found, len(self.tasks)
            for name, order in assignment.assign(self.tasks, found).items():
                self.tasks[name].watch.placed(now, self.name, order)
                self._firsts[name] = order[0] if order else ""

    # What is asked of voters.

    def _ask(self, voter: str, ask: messages.Ask) -> Deferred[messages.Answer]:
        self.sent += 1
        if voter == self.name and self.voting is not None:
            try:
                return self.voting.answer(ask)
            except RequestRefusedError as fault:
                return fail(fault)
        patience_s = self.parts.terms.term / RENEWALS / SECOND

        def read(body: bytes) -> messages.Answer:
            told = messages.decode(body, messages.Answer)
            if told is None:
                raise RequestRefusedError("unreadable")
            return told

        return self._fleet.ask(voter, "lease", messages.encode(ask), patience_s).addCallback(read)

    def _send(self, ask: messages.Ask, heard: Callable[[str, messages.Answer], None]) -> None:
        for voter in self.parts.voters.all:
            asked = self._ask(voter, ask)
            asked.addCallback(partial(self._heard, heard, voter))
            asked.addErrback(self._unheard)

    def _heard(
        self, heard: Callable[[str, messages.Answer], None], voter: str, told: messages.Answer
    ) -> None:
        self._era = max(self._era, told.era)
        if not self._stopped:
            heard(voter, told)

    @staticmethod
    def _unheard(failure: Any) -> None:
        """Nothing came, or the voter will not: a majority of the others may do."""
        failure.trap(UnknownKindError, RequestRefusedError, NoReplyError)

    def _prepare(self, asking: list[Task]) -> None:
        for first in range(0, len(asking), messages.AT_ONCE):
            some = asking[first : first + messages.AT_ONCE]
            ballots = {task.name: task.claim.ballot for task in some}

            def heard(voter: str, told: messages.Answer, ballots: dict[str, Any] = ballots) -> None:
                now, ready = self.clock(), list[tuple[Task, int]]()
                terms, voters = self.parts.terms, self.parts.voters
                for (name, ballot), reply in zip(ballots.items(), told.prepares, strict=False):
                    task, one = self.tasks[name], reply.reply()
                    was = task.claim.stage
                    floor = max(self._era * ERA, self._floors.get(name, 0))
                    task.claim = task.claim.promised(now, voter, ballot, one, voters, terms, floor)
                    if was is Stage.ASKING and task.claim.stage is Stage.TAKING:
                        ready.append((task, 0))
                    elif task.claim.vain(voters) and not task.claim.holds(now):
                        # Another holds it, or asks at the same time: one of us has to come again later.
                        left = one.left if one.said is VoterAnswer.HELD else 0
                        task.watch.asked(now, terms.term, left, self._chance.random())
                        task.claim = task.claim.ended(now)
                self._accept(ready)

            self._send(messages.Ask(self.parts.voters.version, list(ballots.items())), heard)

    def _accept(self, taking: list[tuple[Task, int]]) -> None:
        """Acceptances, first ones and renewals; with the serial of each."""
        for first in range(0, len(taking), messages.AT_ONCE):
            part = taking[first : first + messages.AT_ONCE]
            some = [(task, serial, task.claim.grant) for task, serial in part]
            begun, at = self.history.now(), self.clock()

            def heard(
                voter: str, told: messages.Answer, some: Any = some, begun: int = begun, at: int = at
            ) -> None:
                now = self.clock()
                for (task, serial, grant), reply in zip(some, told.accepts, strict=False):
                    until = task.claim.until
                    task.claim = task.claim.taken(
                        voter, grant.ballot, serial, reply.reply(), self.parts.voters, self.parts.terms
                    )
                    if task.claim.until > until:
                        self._took(now - at, now)
                        op = "renew" if grant.number == task.hold.number else "acquire"
                        self._told(op, task, task.asked_at if not serial else begun, grant.number, "ok")
                        self._note(task, now)

            for task, serial, grant in some:
                if not serial:
                    task.renewed = at
                    self._told("asked", task, begun, grant.number, "unknown")
            accepts = [(task.name, grant) for task, _, grant in some]
            self._send(messages.Ask(self.parts.voters.version, accepts=accepts), heard)

    def _took(self, span: int, now: int) -> None:
        """How long voters took: one whose renewals are slow leaves tasks to others."""
        term = self.parts.terms.term
        self._slow = self._slow + 1 if span > term // SLOW else 0
        if self._slow >= SLOWS and now >= self._slow_until:
            log.warning("voters reach us slowly: tasks are left to others", ms=span // MILLISECOND)
            self._slow, self._slow_until = 0, now + assignment.REST * term

    # What comes of it.

    def _note(self, task: Task, now: int) -> None:
        """Tells those who act that they may, or may no more."""
        hold = task.hold
        if hold.settle(now, task.claim, self.parts.terms):
            wait = max(0, hold.acts_from - now)
            log.info("lease held", task=task.name, number=hold.number, waits_ms=wait // MILLISECOND)
            task.acting = True
            task.watch.took(now)
            task.began(hold)
        elif task.acting and not task.claim.holds(now):
            task.acting = False
            log.warning("lease lost", task=task.name, number=hold.number)
            self._told("lost", task, self.history.now(), hold.number, "ok")
            task.ended(hold)

    def _give_back(self, task: Task, now: int) -> None:
        """Once what is out has ended; until then nothing further begins."""
        hold = task.hold
        if not hold.leaving:
            hold.leave()
            task.acting = False
            task.ended(hold)
        if not hold.free:
            return
        begun, number = self.history.now(), hold.number
        task.claim = task.claim.given_back()
        grant = task.claim.grant
        hold.settle(now, task.claim, self.parts.terms)
        task.watch.gave(now, self.parts.terms.term)
        log.info("lease given back", task=task.name, number=number)
        self._told("release", task, begun, number, "ok")
        freed, first = set[str](), self._firsts.get(task.name, self.name)

        def heard(voter: str, told: messages.Answer) -> None:
            """Whoever has the first claim is told at once, and need not wait for its turn to look."""
            freed.add(voter)
            if first not in ("", self.name) and self.parts.voters.enough(freed):
                freed.clear()
                self._fleet.ask(first, "lease-free", task.name.encode(), 1.0).addErrback(self._unheard)

        self._send(messages.Ask(self.parts.voters.version, accepts=[(task.name, grant)]), heard)

    def behind(self, deed: LeasedOperation, number: int) -> None:
        """A receiver has seen a higher number than ours: another acts, and what we hold is worth nothing."""
        task = self.tasks[deed.task]
        self._floors[deed.task] = max(self._floors.get(deed.task, 0), number)
        if number > task.hold.number and task.claim.holds(self.clock()):
            log.warning("a receiver knows a later number", task=deed.task, number=deed.number, later=number)
            task.claim = Claim(seen=task.claim.seen)
            self._note(task, self.clock())  # a new round goes past that number

    def leave(self) -> Deferred[Any]:
        """Gives everything back; fires once voters have been told, or could not be."""
        self._leaving = True
        done: Deferred[Any] = Deferred()
        since = self.clock()
        self._place(since)  # without us: whoever comes first now is told of what we give back

        def look() -> None:
            now = self.clock()
            held = [task for task in self.tasks.values() if task.claim.holds(now)]
            for task in held:
                if task.claim.stage is Stage.HOLDING:
                    self._give_back(task, now)
            left = [task for task in held if task.claim.holds(now)]
            if left and now - since < LEAVE_S * SECOND:
                self._reactor.callLater(LEAVE_S / TURNS, look)
            elif held and self.parts.voters.all:
                self._reactor.callLater(LEAVE_S / TURNS, done.callback, None)  # what was written leaves
            else:
                done.callback(None)

        look()
        return done

    def stop(self) -> None:
        self._stopped = True
        if self.voting is not None:
            self.voting.stop()

    # What others ask.

    def _asked(self, body: bytes) -> Deferred[bytes]:
        ask = messages.decode(body, messages.Ask)
        if ask is None or self.voting is None or self._stopped:
            raise RequestRefusedError("unreadable" if ask is None else "this manager does not vote")
        return self.voting.answer(ask).addCallback(messages.encode)

    def _freed(self, body: bytes) -> bytes:
        task = self.tasks.get(body.decode(errors="replace"))
        if task is not None and not task.claim.holds(self.clock()):
            task.watch.freed(self.clock())
        return b""

    def _viewed(self, _: bytes) -> bytes:
        now, voters = self.clock(), self.parts.voters
        rows = [
            messages.Row(
                task.name,
                task.claim.holds(now),
                task.hold.number,
                max(0, task.claim.until - now) // MILLISECOND if task.claim.holds(now) else 0,
                len(task.hold.out),
                task.watch.place,
            )
            for task in self.tasks.values()
            if task.watch.place >= 0 or task.claim.holds(now)
        ]
        voting = self.voting
        memory, why = (voting.voter.memory.value, voting.why) if voting is not None else ("", "")
        return messages.encode(
            messages.View(
                self.name,
                list(voters.now),
                list(voters.before),
                voters.version,
                memory,
                voting.voter.era if voting is not None else self._era,
                rows[: messages.AT_ONCE],
                self.sent,
                why,
            )
        )

    def _told(self, op: str, task: Task, begun: int, number: int, result: str) -> None:
        self.history.add(op, begun, task=task.name, number=number, holder=task.hold.holder, result=result)
