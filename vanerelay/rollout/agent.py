"""A manager's side of a rolling change: its figures, and orders that it takes. A thin driver; whether an
order is heeded stands in `fence.py`."""

from __future__ import annotations

import json
import os
import resource
import time
from typing import Any

import structlog

from vanerelay.extension import ExtensionHost
from vanerelay.fleet import release
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.rollout import messages
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.canary_analysis import BUCKETS, bucket
from vanerelay.rollout.fence import Fence, Order

log = structlog.get_logger()

RELEASE = "VANERELAY_RELEASE"  # the name that a keeper started us under
PAGE = resource.getpagesize()
GROUPS = 64  # service groups that are told apart
HELD_S = 0.5  # between readings of what is held at engines


class ClassTotals:
    """Sums of what became of batches, by service group."""

    def __init__(self) -> None:
        self.groups = dict[str, list[Any]]()  # as the fields of words.Group

    def answered(self, group: str, utility: float, code: int, tenths: int, dispatches: int) -> None:
        """`utility`: the part of the batch's utility that its answer earned; `code` as in the frames;
        `tenths`: of a millisecond since it came."""
        one = self.groups.get(group)
        if one is None and len(self.groups) >= GROUPS:
            return  # names that nobody settled, from clients that make them up
        if one is None:
            one = self.groups[group] = [0, 0.0, 0, 0, 0, 0, [0] * BUCKETS]
        one[0] += 1
        one[1] += utility
        one[2] += code == 2
        one[3] += code == 1
        one[4] += code == 0 and utility < 1.0
        one[5] += dispatches
        if code == 0:
            one[6][bucket(tenths / 10)] += 1

    def told(self) -> dict[str, messages.Group]:
        return {name: messages.Group(*one) for name, one in self.groups.items()}


class RolloutAgent:
    """Answers a controller, and does as it says."""

    def __init__(
        self, host: ExtensionHost, fleet: FleetService, tally: ClassTotals, store: AgentStore
    ) -> None:
        self._host, self._fleet, self._tally = host, fleet, tally
        self._memory = int(host.limits.get("memory_mb") or 192) * 2**20
        self._cores = float(host.limits.get("cores") or 1.0)
        self._held, self._store = 0.0, store
        self.fence = Fence(store.fence())
        fleet.member_listeners.append(lambda member: self._learn(member.orders))
        if self.fence.told:
            fleet.announce(orders=self.fence.told)
        fleet.rpc.handlers |= {"state": self._state, "order": self._order}
        self._read_held()

    def _learn(self, told: str) -> None:
        if self.fence.learn(told):
            self._fleet.announce(orders=self.fence.told)

    def _read_held(self) -> None:
        self._held += self._host.gateway.held_share() * HELD_S
        self._host.reactor.callLater(HELD_S, self._read_held)

    def _state(self, body: bytes) -> bytes:
        asked = messages.decode(body, messages.Asked)
        own = self._fleet.detector.own
        figures = messages.Figures()
        if asked is None or asked.figures:
            usage = resource.getrusage(resource.RUSAGE_SELF)
            away = sum(not condition.usable for condition in self._host.gateway.engine_statuses())
            figures = messages.Figures(
                self._tally.told(),
                self._resident() / self._memory,
                usage.ru_utime + usage.ru_stime,
                away,
                self._held,
            )
        return messages.encode(
            messages.State(
                own.name,
                own.program,
                own.settings,
                own.state,
                own.incarnation,
                self.fence.highest,
                self.fence.heeded,
                int(time.time() * 1000),
                os.environ.get(RELEASE, ""),
                self._cores,
                figures,
            )
        )

    def _order(self, body: bytes) -> bytes:
        told = messages.decode(body, messages.Order)
        if told is None:
            raise RequestRefusedError("unreadable")
        order, alive = Order(told.fence, told.name, told.number), self._fleet.detector
        alone = len(alive.members) == 1
        why = self.fence.refuses(order, alive.replaced, self._store.lasts or alive.has_joined or alone)
        if why is None and told.fence > self.fence.highest:
            # Kept before it is heeded: what we said may have been the last that made up a majority.
            why = self._store.keep(self.fence.after(order))
            if why is None:
                self._learn(self.fence.after(order))
        if why is not None:
            log.warning("order refused", change=told.name, fence=told.fence, why=why)
            return messages.encode(messages.Taken(self.fence.highest, False, why=why))
        self.fence.heed(order)
        if told.what == "claim":
            return messages.encode(messages.Taken(self.fence.highest))
        if told.what != "settings":
            return messages.encode(
                messages.Taken(self.fence.highest, False, why=f"a manager knows no {told.what}")
            )
        return messages.encode(self._settings(told))

    def _settings(self, told: messages.Order) -> messages.Taken:
        try:
            settings = json.loads(told.body)
        except ValueError as fault:
            return messages.Taken(self.fence.highest, False, True, f"settings: {fault}")
        try:
            profile = release.with_own(settings, self._host.settings)
        except (TypeError, AttributeError) as fault:
            return messages.Taken(self.fence.highest, False, True, f"{type(fault).__name__}: {fault}")
        why = self._host.apply_settings(profile)
        if why is not None:
            return messages.Taken(self.fence.highest, False, True, why)
        why = self._store.ordered(settings)
        if why is not None:
            log.warning("ordered settings hold until a restart only", why=why)
        log.info("settings ordered", change=told.name, fence=told.fence)
        return messages.Taken(self.fence.highest)

    @staticmethod
    def _resident() -> int:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE
