"""A voter's part on the wire and on disk: a thin driver of `quorum.Voter`. Nothing it says leaves before what
it changed is kept."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from twisted.internet.defer import Deferred, DeferredList

from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.leases import messages
from vanerelay.leases.durable_store import DurableStore, StoreError
from vanerelay.leases.voter import Kept, LeaseTerms, Voter, VoterMemory, VoterRecord, Voters

SPACE, META = "votes", "meta"
FOUND = "found"  # a file in the folder, an operator's word: the era in which numbers go on from nothing
LOOK_S, ASK_S = 0.5, 3.0

log = structlog.get_logger()


class VoterService:
    """`ask` puts a question to another voter by name; `clock` is the one that leases count by."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        terms: LeaseTerms,
        voters: Voters,
        disk: DurableStore,
        clock: Callable[[], int],
        ask: Callable[[str, messages.Ask], Deferred[messages.Answer]],
    ) -> None:
        """Raises Unkept where the disk can't be read."""
        self._reactor, self._clock, self._ask, self._disk = reactor, clock, ask, disk
        self.voter = Voter(name, terms, voters, self._kept(), clock())
        self._stopped, self.why = False, ""
        self._meta = False  # era and version are to be kept with the next answer
        if self.voter.memory is VoterMemory.SILENT:
            log.warning("nothing is remembered of leases: silent first", for_s=terms.longest / 10_000)
            self._look()
        else:
            disk.used(FOUND)  # of a word that was used up before a crash

    def _kept(self) -> Kept | None:
        told = self._disk.load(SPACE)
        meta = messages.decode(told.pop(META, b""), tuple[int, int])
        if meta is None:
            return None
        slots = dict[str, VoterRecord]()
        for task, body in told.items():
            found = messages.decode(body, messages.Told)
            if found is None:
                return None  # what can't be read was promised to somebody all the same
            slots[task] = found.slot()
        return Kept(meta[0], meta[1], slots)

    def answer(self, ask: messages.Ask) -> Deferred[messages.Answer]:
        """Fails with Refused where it can't be kept."""
        voter, now = self.voter, self._clock()
        if len(ask.prepares) + len(ask.accepts) > messages.AT_ONCE:
            raise RequestRefusedError("too many tasks at once")
        slots, more = list[messages.Told](), False
        news = ask.memory and voter.memory is VoterMemory.KNOWS and voter.fence(ask.version)
        prepares = [
            messages.replied(voter.prepare(now, ask.version, task, ballot)) for task, ballot in ask.prepares
        ]
        accepts = [
            messages.replied(voter.accept(now, ask.version, task, grant)) for task, grant in ask.accepts
        ]
        if ask.memory and voter.memory is VoterMemory.KNOWS:
            named = sorted(task for task in voter.slots if task > ask.after)
            more = len(named) > messages.AT_ONCE
            slots = [
                messages.Told(task, voter.slots[task].promised, voter.slots[task].grant)
                for task in named[: messages.AT_ONCE]
            ]
        told = messages.Answer(voter.memory.value, voter.era, voter.version, prepares, accepts, slots, more)
        return self._keep(news).addCallback(lambda _: told)

    def _keep(self, meta: bool) -> Deferred[Any]:
        """What changed, and whatever was to be kept before it."""
        voter, records = self.voter, dict[str, bytes | None]()
        fresh, self._meta = set(voter.fresh), self._meta or meta
        meta = self._meta
        for task in fresh:
            slot = voter.slots[task]
            records[task] = messages.encode(messages.Told(task, slot.promised, slot.grant))
        voter.fresh.clear()
        self._meta = False
        if meta:
            records[META] = msgspec.msgpack.encode((voter.era, voter.version))

        def unkept(fault: Any) -> Any:
            fault.trap(StoreError)
            voter.fresh |= fresh  # to be kept before anything else is said
            self._meta = self._meta or meta
            if str(fault.value) != self.why:
                self.why = str(fault.value)
                log.error("votes can't be kept, and are not given", why=self.why)
            raise RequestRefusedError(self.why)

        def kept(_: Any) -> None:
            self.why = ""

        return self._disk.put(SPACE, records).addCallbacks(kept, unkept)

    # After its memory was lost.

    def _look(self) -> None:
        if self._stopped or self.voter.memory is VoterMemory.KNOWS:
            return
        if not self.voter.wakes(self._clock()):
            self._reactor.callLater(LOOK_S, self._look)
            return
        names = [name for name in self.voter.voters.all if name != self.voter.name]
        DeferredList([self._whole(name) for name in names], consumeErrors=True).addCallback(self._told, names)

    def _whole(self, name: str) -> Deferred[tuple[int, Kept | None]]:
        """All that another remembers, page by page: the era it tells of, and None where it remembers none."""
        slots = dict[str, VoterRecord]()
        done: Deferred[tuple[int, Kept | None]] = Deferred()

        def page(after: str) -> None:
            asked = self._ask(name, messages.Ask(self.voter.voters.version, memory=True, after=after))
            asked.addCallback(came).addErrback(done.errback)

        def came(told: messages.Answer) -> None:
            slots.update((one.task, one.slot()) for one in told.slots)
            if told.more and told.slots:
                page(told.slots[-1].task)
            elif told.memory == VoterMemory.KNOWS.value:
                done.callback((told.era, Kept(told.era, told.version, slots)))
            else:
                done.callback((told.era, None))

        page("")
        return done

    def _told(self, results: list[tuple[bool, Any]], names: list[str]) -> None:
        if self._stopped:
            return
        heard = {name: told for name, (good, told) in zip(names, results, strict=True) if good}
        knowing = {name: kept for name, (_, kept) in heard.items() if kept is not None}
        if self.voter.learns(self._clock(), knowing):
            log.info("votes again", learned_from=sorted(knowing), era=self.voter.era)
            self._know()
            return
        era = self._founded()
        if era is not None:
            latest = max([told for told, _ in heard.values()], default=0)
            # One that is founded already is of the same era: it only has to be later than what was before.
            old = max([kept.era for kept in knowing.values() if kept.era != era], default=0)
            why = self.voter.found(era, old if latest == era else latest)
            if why is None:
                log.warning("founded by an operator's word", era=era)
                self._know()
                return
            self.why = f"the operator's word is not taken: {why}"
            log.warning("the operator's word is not taken", why=why)
        else:
            told = f"{len(knowing)} of {len(names)} other voters remember, expected more than half of all"
            if told != self.why:
                log.warning("does not vote yet", why=told, file=FOUND)
            self.why = told
        self._reactor.callLater(2 * LOOK_S, self._look)

    def _founded(self) -> int | None:
        told = self._disk.word(FOUND)
        return int(told) if told.isdecimal() else None

    def _know(self) -> None:
        """Kept, then the word is used up: should the disk be lost later, it does not count again."""

        def used(_: Any) -> None:
            self._disk.used(FOUND)

        self.why = ""
        self._keep(True).addCallback(used).addErrback(
            lambda fault: log.error("not kept", why=fault.getErrorMessage())
        )

    def stop(self) -> None:
        self._stopped = True
        self._disk.close()
