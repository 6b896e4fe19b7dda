"""One manager's place in its fleet: a thin driver of `alive.py` over `links.py`."""

from __future__ import annotations

import contextlib
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList, succeed

from vanerelay.clock import Clock
from vanerelay.fleet import messages
from vanerelay.fleet.config import FleetConfig
from vanerelay.fleet.failure_detector import FailureDetector, Member, MemberState, incarnation
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.interface import MILLISECOND, SECOND

KEPT = "incarnation"
STALLED = 100 * MILLISECOND  # that our own turn came late, past which nobody else is blamed
FAREWELLS = 3  # others that are told directly when we leave

log = structlog.get_logger()


class Fleet:
    """`seen` are told of each change of a member, `replaced` once that another process goes by our name."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        parts: FleetConfig,
        name: str,
        program: str,
        settings: str,
        seed: int,
    ) -> None:
        self._reactor, self._clock, self.parts, self.name = reactor, clock, parts, name
        self._chance = random.Random(f"{seed}/fleet")
        self.links = RpcNode(reactor)
        own = Member(
            name, self._incarnation(), 0, MemberState.ALIVE, parts.domain, parts.listen, program, settings
        )
        self.alive = FailureDetector(own, parts.pace, self._chance)
        self._reach = {known.name: known.address for known in parts.known}
        for known in parts.known:
            self.alive.introduce(known.name, known.address, known.domain)
        self.seen = list[Callable[[Member], None]]()
        self.replaced = list[Callable[[], None]]()
        self.asks = self.answers = 0
        self._timer: Any = None
        self._due, self._stopped, self._silent = 0, False, False
        self.links.handlers |= {"ping": self._pinged, "through": self._asked_through, "view": self._viewed}

    def start(self) -> None:
        """Listens, as soon as it can, and only then begins to ask: while a manager of before still listens,
        the fleet hears of that one."""
        self.links.listen(self.parts.listen, self._begin)

    def _begin(self) -> None:
        self._due = self._clock.now()
        self._turn()
        for known in self._chance.sample(self.parts.known, min(FAREWELLS, len(self.parts.known))):
            self._ping(self._address(known.name, known.address), known.name, join=True)

    def say(self, **changed: str) -> None:
        """Our state, settings or program as they are now."""
        own = self.alive.own
        if any(getattr(own, name) != value for name, value in changed.items()):
            self.alive.say(**changed)
            self._tell()

    def hand_over(self) -> None:
        """Our successor under the same name takes the place: we say no more."""
        self._silent = True
        self.links.stop()

    def leave(self) -> Deferred[Any]:
        """Says that we go. Fires once a few have been told, or could not be."""
        if self._silent:
            return succeed(None)
        self.alive.leave()
        others = [
            one
            for one in self.alive.members.values()
            if one.standing is MemberState.ALIVE and one.name != self.name
        ]
        told = [
            self._ping(self._address(one.name, one.address), one.name)
            for one in self._chance.sample(others, min(FAREWELLS, len(others)))
        ]
        return DeferredList(told)

    def stop(self) -> None:
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.links.stop()

    def address(self, name: str) -> str | None:
        """Where a member is reached: as operators say, else as it says itself."""
        member = self.alive.members.get(name)
        if name in self._reach:
            return self._reach[name]
        return member.address or None if member is not None else None

    def ask(self, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        """A question of another subsystem to a member by name. Fails as `Links.ask`, with Refused where
        nobody goes by that name."""
        address = self.address(name)
        if address is None:
            failed: Deferred[bytes] = Deferred()
            failed.errback(RequestRefusedError(f"no address of {name} is known"))
            return failed
        return self.links.ask(address, kind, body, patience_s)

    # In turn.

    def _turn(self) -> None:
        if self._stopped:
            return
        now, pace = self._clock.now(), self.parts.pace
        if now - self._due > STALLED:
            self.alive.stalled()
        self._due = now + pace.period
        self._timer = self._reactor.callLater(pace.period / SECOND, self._turn)
        if self._silent:
            return
        target = self.alive.next(now)
        if target is not None:
            self._question(target)
        self._tell()

    def _question(self, target: Member) -> None:
        asked = self._ping(
            self._address(target.name, target.address), target.name, join=target.standing is MemberState.GONE
        )

        def direct(reached: bool) -> None:
            if reached or self._stopped or target.standing is MemberState.GONE:
                return
            helpers = self.alive.helpers(target.name)
            body = messages.encode(messages.Through(self.parts.fleet, target.name, target.address))
            through = [self._ask(self._address(one.name, one.address), "through", body, 2) for one in helpers]
            DeferredList(through).addCallback(indirect)

        def indirect(results: list[tuple[bool, Any]]) -> None:
            heard = [
                messages.decode(told, messages.Heard) for good, told in results if good and told is not None
            ]
            if not any(one is not None and one.reached for one in heard):
                self.alive.unanswered(target.name, self._clock.now())
                self._tell()

        asked.addCallback(direct)

    def _ping(self, address: str, name: str, join: bool = False) -> Deferred[bool]:
        own = self.alive.own
        news = self.alive.whole()[: messages.ROWS] if join else self.alive.news()
        ping = messages.Ping(self.parts.fleet, messages.row(own), [messages.row(one) for one in news], join)

        def heard(told: bytes | None) -> bool:
            answer = messages.decode(told, messages.Heard) if told is not None else None
            if answer is None:
                return False
            self._heard(answer.news)
            self.alive.joined(own.incarnation)
            self.alive.answered()
            return True

        return self._ask(address, "ping", messages.encode(ping), 1).addCallback(heard)

    def _ask(self, address: str, kind: str, body: bytes, times: int) -> Deferred[bytes | None]:
        """None where no answer came."""
        self.asks += 1
        patience_s = self.alive.patience() * times / SECOND
        asked: Deferred[Any] = self.links.ask(address, kind, body, patience_s)
        return asked.addErrback(lambda _: None)

    # What others ask.

    def _pinged(self, body: bytes) -> bytes:
        ping = messages.decode(body, messages.Ping)
        if ping is None or ping.fleet != self.parts.fleet or self._silent:
            raise RequestRefusedError("not of this fleet" if ping is not None else "unreadable")
        self.answers += 1
        sender = messages.member(ping.own)
        self._heard([ping.own, *ping.news])
        if sender is None:
            return messages.encode(messages.Heard())
        told = (
            [*self.alive.whole()[: messages.ROWS], *self.alive.reply(sender)]
            if ping.join
            else self.alive.reply(sender)
        )
        return messages.encode(messages.Heard([messages.row(one) for one in told]))

    def _asked_through(self, body: bytes) -> Deferred[bytes]:
        through = messages.decode(body, messages.Through)
        if through is None or through.fleet != self.parts.fleet or self._silent:
            raise RequestRefusedError("not of this fleet")
        self.answers += 1
        asked = self._ping(self._address(through.target, through.address), through.target)
        return asked.addCallback(lambda reached: messages.encode(messages.Heard([], reached)))

    def _viewed(self, body: bytes) -> bytes:
        rows = [messages.row(one) for one in self.alive.members.values()][: messages.ROWS]
        return messages.encode(
            messages.View(self.name, self.parts.fleet, rows, self.alive.replaced, self.asks, self.answers)
        )

    def _heard(self, rows: list[messages.Row]) -> None:
        before = self.alive.own.incarnation
        self.alive.heard(messages.members(rows), self._clock.now())
        if self.alive.own.incarnation != before:
            self._keep(self.alive.own.incarnation)
        if self.alive.replaced and not self._silent:
            self._silent = True
            log.warning("another process goes by our name, the fleet hears no more of us", name=self.name)
            for call in self.replaced:
                call()
        self._tell()

    def _tell(self) -> None:
        changes, self.alive.changes = self.alive.changes, []
        for member in changes:
            if member.name != self.name:
                log.info(
                    "member",
                    member=member.name,
                    standing=member.standing.name.lower(),
                    state=member.state,
                    program=member.program,
                    settings=member.settings,
                    incarnation=member.incarnation,
                )
            for call in self.seen:
                call(member)

    def _address(self, name: str, told: str) -> str:
        return self._reach.get(name, told)

    # The incarnation, where there is a folder.

    def _incarnation(self) -> int:
        kept = 0
        if self.parts.folder:
            with contextlib.suppress(OSError, ValueError):
                kept = int(Path(self.parts.folder, KEPT).read_text(encoding="ascii"))
        found = incarnation(kept, int(time.time() * 1000))
        self._keep(found)
        return found

    def _keep(self, number: int) -> None:
        """Whole or not at all. That it can't be kept is no reason not to serve: others know it."""
        if not self.parts.folder:
            return
        path = Path(self.parts.folder, KEPT)
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            new = path.with_suffix(".new")
            with new.open("w", encoding="ascii") as file:
                file.write(str(number))
                file.flush()
                os.fsync(file.fileno())
            new.rename(path)
        except OSError as fault:
            log.warning("incarnation not kept", why=str(fault))
