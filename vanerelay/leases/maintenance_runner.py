"""Orders to engines under a lease: one shard of one chore, sent by whoever holds it. Thin: `chores` and
`hold` decide."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import xxhash

from vanerelay.extension import Host
from vanerelay.interface import Condition
from vanerelay.leases import maintenance_schedule
from vanerelay.leases.config import Chore
from vanerelay.leases.fencing import Deed, Hold
from vanerelay.leases.maintenance_schedule import Rounds
from vanerelay.leases.service import Leases
from vanerelay.net.attempt_outcome import Cause, End
from vanerelay.net.clock import UNITS
from vanerelay.query_table import conditions

LOOK_S = 0.1


class Chat:
    """What a subsystem makes of the answers to its orders; all calls empty here."""

    def began(self, hold: Hold) -> None:
        """The shard is ours."""

    def heard(self, engine: str, at: int, end: End) -> str | None:
        """An answer to what was begun `at`, by leases' clock; words with which it is asked on at once."""
        return None


class Doing:
    """One shard of one chore: sends what is due, as long as the lease is ours."""

    def __init__(
        self,
        host: Host,
        leases: Leases,
        chore: Chore,
        shard: int,
        chat: Chat | None = None,
        bears: Callable[[Condition], bool] = maintenance_schedule.bears,
    ) -> None:
        """`bears`: engines that may be sent orders of this chore."""
        self._chat, self._bears = chat or Chat(), bears
        self._host, self._leases, self._chore, self._shard = host, leases, chore, shard
        self.name = name = chore.name if chore.shards == 1 else f"{chore.name}/{shard}"
        self._rounds = Rounds(chore.every, chore.at_once)
        self._timer: Any = None
        self.hold = leases.add(name, self._began, self._ended)

    def _began(self, hold: Hold) -> None:
        self._rounds.begin(self._leases.clock())
        self._chat.began(hold)
        self.stop()
        self._turn()

    def _ended(self, hold: Hold) -> None:
        self.stop()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _turn(self) -> None:
        self._timer = self._host.reactor.callLater(LOOK_S, self._turn)
        if not self.hold.may(self._leases.clock()):
            return
        there = {
            one.entry.name: one.entry.engine for one in conditions(self._host.gateway) if self._bears(one)
        }
        mine = sorted(
            name for name in there if maintenance_schedule.shard(name, self._chore.shards) == self._shard
        )
        for name in self._rounds.next(self._leases.clock(), mine):
            self._send(name, there[name], "0", self._leases.clock())

    def _send(self, name: str, engine: int, words: str, at: int) -> bool:
        """Asked for again at each: the process may have stood still since the last."""
        deed = self.hold.begin(self._leases.clock(), self._chore.patience)
        if deed is None:
            return False
        self._rounds.sent(name)
        ident = f"{xxhash.xxh32_hexdigest(deed.task.encode())}.{deed.number:x}.{deed.serial:x}"
        filled = {
            "@ID@": ident,
            "@TASK@": deed.task,
            "@NUMBER@": str(deed.number),
            "@SERIAL@": str(deed.serial),
            "@HOLDER@": deed.holder,
            "@FROM@": words,
        }
        told = list[bytes]()
        for word in self._chore.words:
            for sign, value in filled.items():
                word = word.replace(sign, value)
            told.append(word.encode())
        begun = self._leases.history.now()
        sent = self._host.order(engine, told, ident.encode(), self._chore.patience / UNITS)
        sent.addCallback(self._answered, name, deed, begun, at, partial(self._send, name, engine))
        return True

    def _answered(
        self, end: End, name: str, deed: Deed, begun: int, at: int, again: Callable[[str, int], bool]
    ) -> None:
        self.hold.end(deed)
        more = self._chat.heard(name, at, end)
        if more is None or not again(more, at):
            good = end.cause is Cause.OK and more is None
            self._rounds.ended(self._leases.clock(), name, good)
        self._leases.history.add(
            "deed",
            begun,
            task=deed.task,
            number=deed.number,
            serial=deed.serial,
            holder=deed.holder,
            receiver=name,
            result=end.cause.name.lower(),
        )
        later = end.told.get("number", "")
        if end.cause is Cause.ERR and later.isdecimal() and len(later) < 20:
            self._leases.behind(deed, int(later))
