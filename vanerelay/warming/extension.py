"""Warming as a part of the served program: every manager tells and carries out, one a location plans."""

from __future__ import annotations

import random
from collections.abc import Sequence

from vanerelay.extension import EngineRun, Extension, ExtensionHost, StartupError
from vanerelay.fleet.extension import FleetExtension
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.freshness.extension import FreshnessExtension
from vanerelay.leases.extension import LeasesExtension
from vanerelay.warming import messages
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.executor import Hands
from vanerelay.warming.planner import Planner
from vanerelay.warming.popularity import Tally


class WarmingExtension(Extension):
    def __init__(
        self,
        host: ExtensionHost,
        parts: WarmingConfig,
        fleet: FleetExtension,
        leases: LeasesExtension,
        freshness: FreshnessExtension | None,
    ) -> None:
        self._host, self._parts, self._fleet, self._leases = host, parts, fleet, leases
        self._freshness, self._planners = freshness, list[Planner]()
        self._names = dict[int, str]()

    def open(self) -> None:
        host, parts, leases = self._host, self._parts, self._leases.leases
        if parts.group not in [one["name"] for one in host.settings["classes"]]:
            raise StartupError(f"warming: no service group {parts.group} in the settings, expected one")
        self._tally, self._hands = Tally(parts.span), Hands(host, parts, leases.clock)
        for location in host.zones:
            chance = random.Random(f"{host.seed}/warming/{location}")
            one = Planner(host, self._fleet.fleet, leases, parts, location, chance, self._holders)
            self._planners.append(one)
        self._fleet.fleet.rpc.handlers |= {"warm-told": self._told, "warm-do": self._ordered}

    def loop_starting(self) -> None:
        self._host.reactor.callWhenRunning(self._hands.turn)

    def _holders(self, group: int) -> Sequence[str]:
        return self._freshness.freshness.positions.holders(group) if self._freshness is not None else ()

    def engine_ran(self, ran: EngineRun) -> None:
        name = self._names.get(ran.engine)
        if name is None:
            self._names = {one.entry.index: one.entry.name for one in self._host.gateway.engine_statuses()}
            name = self._names.get(ran.engine)
        if name is None or not ran.table_group:
            return
        now = self._leases.leases.clock()
        if ran.writes:
            self._tally.wrote(now, ran.table_group)
        elif ran.internal:
            self._hands.read.append((ran.table_group, name, ran.work))
        else:
            self._tally.read(now, ran.table_group, name, ran.work)

    def _told(self, body: bytes) -> bytes:
        ask = messages.decode(body, messages.Ask)
        if ask is None:
            raise RequestRefusedError("unreadable")
        found = messages.slices(self._tally.since(self._leases.leases.clock(), ask.since))
        read = list(self._hands.read)
        self._hands.read.clear()
        told = messages.encode(messages.Told(found, self._tally.next, read))
        while len(told) > messages.MAX_MESSAGE_BYTES and found:
            found = found[1:]  # the oldest are not told
            told = messages.encode(messages.Told(found, self._tally.next, read[:100]))
        return told

    def _ordered(self, body: bytes) -> bytes:
        do = messages.decode(body, messages.Do)
        if do is None or self._hands.stopped:
            raise RequestRefusedError("unreadable" if do is None else "ending")
        return messages.encode(self._hands.take(do))

    def draining(self) -> None:
        self._hands.stop()

    def stop(self) -> None:
        for one in self._planners:
            one.stop()
        self._hands.stop()
