"""Orders to engines under a lease: one shard of one chore, sent by whoever holds it. Thin: `chores` and
`hold` decide."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import xxhash

from vanerelay.attempt_outcome import AttemptEnd, EndCause
from vanerelay.extension import ExtensionHost
from vanerelay.interface import SECOND, EngineStatus
from vanerelay.leases import maintenance_schedule
from vanerelay.leases.config import MaintenanceTask
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.maintenance_schedule import MaintenanceSchedule
from vanerelay.leases.service import Leases

LOOK_S = 0.1


class MaintenanceDialog:
    """What a subsystem makes of the answers to its orders; all calls empty here."""

    def began(self, hold: LeaseHolder) -> None:
        """The shard is ours."""

    def heard(self, engine: str, at: int, end: AttemptEnd) -> str | None:
        """An answer to what was begun `at`, by leases' clock; words with which it is asked on at once."""
        return None


class MaintenanceRunner:
    """One shard of one chore: sends what is due, as long as the lease is ours."""

    def __init__(
        self,
        host: ExtensionHost,
        leases: Leases,
        chore: MaintenanceTask,
        shard: int,
        chat: MaintenanceDialog | None = None,
        bears: Callable[[EngineStatus], bool] = maintenance_schedule.bears,
    ) -> None:
        """`bears`: engines that may be sent orders of this chore."""
        self._chat, self._bears = chat or MaintenanceDialog(), bears
        self._host, self._leases, self._chore, self._shard = host, leases, chore, shard
        self.name = name = chore.name if chore.shards == 1 else f"{chore.name}/{shard}"
        self._rounds = MaintenanceSchedule(chore.every, chore.at_once)
        self._timer: Any = None
        self.hold = leases.add(name, self._began, self._ended)

    def _began(self, hold: LeaseHolder) -> None:
        self._rounds.begin(self._leases.clock())
        self._chat.began(hold)
        self.stop()
        self._turn()

    def _ended(self, hold: LeaseHolder) -> None:
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
            one.entry.name: one.entry.index
            for one in self._host.gateway.engine_statuses()
            if self._bears(one)
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
        sent = self._host.send_command(engine, told, ident.encode(), self._chore.patience / SECOND)
        sent.addCallback(self._answered, name, deed, begun, at, partial(self._send, name, engine))
        return True

    def _answered(
        self,
        end: AttemptEnd,
        name: str,
        deed: LeasedOperation,
        begun: int,
        at: int,
        again: Callable[[str, int], bool],
    ) -> None:
        self.hold.end(deed)
        more = self._chat.heard(name, at, end)
        if more is None or not again(more, at):
            good = end.cause is EndCause.OK and more is None
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
        later = end.fields.get("number", "")
        if end.cause is EndCause.ERROR and later.isdecimal() and len(later) < 20:
            self._leases.behind(deed, int(later))
