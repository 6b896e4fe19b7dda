"""Leases, and the chores that stand on them, as a part of the served program."""

from __future__ import annotations

import os
import random
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.fleet.join import FleetPart
from vanerelay.holding import conditions
from vanerelay.leases import chores
from vanerelay.leases.chores import Rounds
from vanerelay.leases.disk import Disk, Unkept
from vanerelay.leases.hold import Deed, Hold
from vanerelay.leases.parts import Chore, Parts
from vanerelay.leases.service import Leases
from vanerelay.net.clock import UNITS
from vanerelay.net.ends import Cause, End
from vanerelay.seam import BadStart, Host, Part

LOOK_S = 0.1
PROCESS = 6  # bytes drawn for a process

log = structlog.get_logger()


class LeasesPart(Part):
    leases: Leases

    def __init__(self, host: Host, parts: Parts, fleet: FleetPart) -> None:
        self._host, self._parts, self._fleet = host, parts, fleet
        self._doing = list[Doing]()

    def open(self) -> None:
        host, process = self._host, int.from_bytes(os.urandom(PROCESS), "big")
        chance = random.Random(f"{host.seed}/leases")
        parts, disk = self._parts, None
        try:
            if host.name in parts.voters.all:
                if not parts.folder:
                    raise Unkept("a voter needs a folder in its leases block")
                disk = Disk(host.reactor, parts.folder)
            self.leases = Leases(host.reactor, self._fleet.fleet, parts, chance, process, disk)
        except Unkept as fault:
            raise BadStart(f"leases: {fault}") from None
        for chore in self._parts.chores:
            for shard in range(chore.shards):
                self._doing.append(Doing(host, self.leases, chore, shard))

    def running(self) -> None:
        self._host.reactor.callWhenRunning(self.leases.start)

    def stop(self) -> Deferred[Any]:
        for one in self._doing:
            one.stop()
        return self.leases.leave().addCallback(lambda _: self.leases.stop())


class Doing:
    """One shard of one chore: sends what is due, as long as the lease is ours."""

    def __init__(self, host: Host, leases: Leases, chore: Chore, shard: int) -> None:
        self._host, self._leases, self._chore, self._shard = host, leases, chore, shard
        name = chore.name if chore.shards == 1 else f"{chore.name}/{shard}"
        self._rounds, self._timer = Rounds(chore.every, chore.at_once), None  # type: Rounds, Any
        self._hold = leases.add(name, self._began, self._ended)

    def _began(self, hold: Hold) -> None:
        self._rounds.begin(self._leases.clock())
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
        if not self._hold.may(self._leases.clock()):
            return
        there = {
            one.entry.name: one.entry.engine for one in conditions(self._host.gateway) if chores.bears(one)
        }
        mine = sorted(name for name in there if chores.shard(name, self._chore.shards) == self._shard)
        for name in self._rounds.next(self._leases.clock(), mine):
            # Asked for again at each: the process may have stood still since the last.
            deed = self._hold.begin(self._leases.clock(), self._chore.patience)
            if deed is not None:
                self._rounds.sent(name)
                self._send(name, there[name], deed)

    def _send(self, name: str, engine: int, deed: Deed) -> None:
        ident = f"{deed.number:x}.{deed.serial:x}.{self._shard:x}"
        filled = {
            "@ID@": ident,
            "@TASK@": deed.task,
            "@NUMBER@": str(deed.number),
            "@SERIAL@": str(deed.serial),
            "@HOLDER@": deed.holder,
        }
        told = list[bytes]()
        for word in self._chore.words:
            for sign, value in filled.items():
                word = word.replace(sign, value)
            told.append(word.encode())
        begun = self._leases.history.now()
        sent = self._host.order(engine, told, ident.encode(), self._chore.patience / UNITS)
        sent.addCallback(self._answered, name, deed, begun)

    def _answered(self, end: End, name: str, deed: Deed, begun: int) -> None:
        self._hold.end(deed)
        self._rounds.ended(self._leases.clock(), name, end.cause is Cause.OK)
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
