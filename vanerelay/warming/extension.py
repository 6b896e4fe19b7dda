"""Warming as a part of the served program: every manager tells and carries out, one a location plans."""

from __future__ import annotations

import random
from collections.abc import Sequence

from vanerelay.extension import BadStart, Host, Part, Ran
from vanerelay.fleet.extension import FleetPart
from vanerelay.fleet.rpc import Refused
from vanerelay.freshness.extension import FreshnessPart
from vanerelay.leases.extension import LeasesPart
from vanerelay.query_table import conditions
from vanerelay.warming import messages
from vanerelay.warming.config import Parts
from vanerelay.warming.executor import Hands
from vanerelay.warming.planner import Planner
from vanerelay.warming.popularity import Tally


class WarmingPart(Part):
    def __init__(
        self, host: Host, parts: Parts, fleet: FleetPart, leases: LeasesPart, freshness: FreshnessPart | None
    ) -> None:
        self._host, self._parts, self._fleet, self._leases = host, parts, fleet, leases
        self._freshness, self._planners = freshness, list[Planner]()
        self._names = dict[int, str]()

    def open(self) -> None:
        host, parts, leases = self._host, self._parts, self._leases.leases
        if parts.group not in [one["name"] for one in host.profile["classes"]]:
            raise BadStart(f"warming: no service group {parts.group} in the settings, expected one")
        self._tally, self._hands = Tally(parts.span), Hands(host, parts, leases.clock)
        for location in host.places:
            chance = random.Random(f"{host.seed}/warming/{location}")
            one = Planner(host, self._fleet.fleet, leases, parts, location, chance, self._holders)
            self._planners.append(one)
        self._fleet.fleet.links.handlers |= {"warm-told": self._told, "warm-do": self._ordered}

    def running(self) -> None:
        self._host.reactor.callWhenRunning(self._hands.turn)

    def _holders(self, group: int) -> Sequence[str]:
        return self._freshness.freshness.positions.holders(group) if self._freshness is not None else ()

    def ran(self, ran: Ran) -> None:
        name = self._names.get(ran.engine)
        if name is None:
            self._names = {one.entry.engine: one.entry.name for one in conditions(self._host.gateway)}
            name = self._names.get(ran.engine)
        if name is None or not ran.tables:
            return
        now = self._leases.leases.clock()
        if ran.writes:
            self._tally.wrote(now, ran.tables)
        elif ran.own:
            self._hands.read.append((ran.tables, name, ran.work))
        else:
            self._tally.read(now, ran.tables, name, ran.work)

    def _told(self, body: bytes) -> bytes:
        ask = messages.unpack(body, messages.Ask)
        if ask is None:
            raise Refused("unreadable")
        found = messages.slices(self._tally.since(self._leases.leases.clock(), ask.since))
        read = list(self._hands.read)
        self._hands.read.clear()
        told = messages.pack(messages.Told(found, self._tally.next, read))
        while len(told) > messages.LONGEST and found:
            found = found[1:]  # the oldest are not told
            told = messages.pack(messages.Told(found, self._tally.next, read[:100]))
        return told

    def _ordered(self, body: bytes) -> bytes:
        do = messages.unpack(body, messages.Do)
        if do is None or self._hands.stopped:
            raise Refused("unreadable" if do is None else "ending")
        return messages.pack(self._hands.take(do))

    def draining(self) -> None:
        self._hands.stop()

    def stop(self) -> None:
        for one in self._planners:
            one.stop()
        self._hands.stop()
