"""The planner of one zone, at the holder of its lease: asks what was read, plans, orders.

A thin driver: `zone_model` and what it is made of decide.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial

import structlog
from twisted.internet.base import DelayedCall

from vanerelay.extension import ExtensionHost
from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.service import FleetService
from vanerelay.interface import SECOND, EngineState
from vanerelay.leases.assignment import Candidate, ranked
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.service import Leases
from vanerelay.warming import messages
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.popularity import PopularitySlice, merge_slices
from vanerelay.warming.prefetch_value import EngineCapacity, PrefetchCandidate
from vanerelay.warming.zone_model import ZoneModel

TIMEOUT_S = 0.5
"""How long a gateway has to answer: within a slice."""

SLICES_PER_LOG = 60
"""Slices between two lines of the log."""

MAX_LOGGED_HALF_WIDTH = 1e6
"""What is logged in place of an infinite half width."""

log = structlog.get_logger()


class PrefetchPlanner:
    """The planner of one zone."""

    def __init__(
        self,
        host: ExtensionHost,
        fleet: FleetService,
        leases: Leases,
        config: WarmingConfig,
        zone: str,
        chance: random.Random,
        replicas_of: Callable[[int], Sequence[str]],
    ) -> None:
        """`replicas_of` tells the engines that hold a table group, where that is known."""
        self._host = host
        self._fleet = fleet
        self._leases = leases
        self._config = config
        self._zone = zone
        self._chance = chance
        self._replicas_of = replicas_of
        self._lease = leases.add_task(f"warm/{zone}", self._acquired, self._lost)
        self._timer: DelayedCall | None = None
        self._reset()

    def _reset(self) -> None:
        self._model = ZoneModel(self._config)
        self._next_slices = dict[str, int]()  # by gateway: the first slice that was not received
        self._slices = list[PopularitySlice]()
        self._rounds = 0

    def _acquired(self, holder: LeaseHolder) -> None:
        """Begins with what gateways still keep: a deposed planner takes its knowledge along."""
        self._reset()
        self.stop()
        self._run()

    def _lost(self, holder: LeaseHolder) -> None:
        self.stop()

    def stop(self) -> None:
        """Plans no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _run(self) -> None:
        slice_s = self._config.slice_duration / SECOND
        self._timer = self._host.reactor.callLater(slice_s, self._run)
        if not self._lease.may_act(self._leases.clock()):
            return
        self._rounds += 1
        self._model.set_engines(self._usable_engines())
        gateways = [
            member.name
            for member in self._fleet.detector.members.values()
            if member.status is MemberState.ALIVE
        ]
        for name in gateways:
            self._ask_popularity(name)
        slices, self._slices = self._slices, []
        self._model.learn(self._now(), merge_slices(slices))
        if self._model.engines:
            self._plan(gateways)
        if self._rounds % SLICES_PER_LOG == 0:
            self._log()

    def _now(self) -> float:
        """The time in seconds."""
        return self._leases.clock() / SECOND

    def _log(self) -> None:
        experiment, calibration = self._model.experiment, self._model.forecaster.calibration
        gain = experiment.gain
        log.info(
            "prefetching",
            zone=self._zone,
            budget_share=round(experiment.budget_share, 2),
            gain=round(gain.mean, 3),
            half_width=round(min(gain.half_width, MAX_LOGGED_HALF_WIDTH), 3),
            judged=calibration.judged,
            right=calibration.right,
        )

    def _usable_engines(self) -> list[EngineCapacity]:
        """The zone's engines that may be sent prefetches."""
        idle_shares = self._host.gateway.idle_shares()
        zone = self._host.zones.get(self._zone)
        engines = list[EngineCapacity]()
        for status in self._host.gateway.engine_statuses():
            entry = status.entry
            usable = entry.state is EngineState.UP and status.usable and entry.weight > 0
            if usable and entry.zone == zone:
                idle_share = idle_shares.get(entry.index, 0.0)
                capacity = self._config.cache_capacity
                is_cold = not status.warmed_up
                engines.append(EngineCapacity(entry.name, status.cores, idle_share, capacity, is_cold))
        return engines

    # Popularity.

    def _ask_popularity(self, gateway: str) -> None:
        request = messages.PopularityRequest(self._next_slices.get(gateway, 0))
        sent = self._fleet.call(gateway, messages.POPULARITY_KIND, messages.encode(request), TIMEOUT_S)
        sent.addCallback(partial(self._popularity_received, gateway)).addErrback(lambda _: None)

    def _popularity_received(self, gateway: str, body: bytes) -> None:
        reply = messages.decode(body, messages.PopularityReply)
        if reply is None:
            return
        next_slice = self._next_slices.get(gateway, 0)
        if reply.current_slice < next_slice:
            self._next_slices[gateway] = 0  # the gateway has started anew
        else:
            new = [one for one in reply.slices if one.number >= next_slice]
            self._next_slices[gateway] = reply.current_slice
            self._slices += [messages.popularity_slice(one) for one in new]
        for group, _, work in reply.prefetches:
            self._model.prefetch_completed(group, work / SECOND)

    # Orders.

    def _plan(self, gateways: Sequence[str]) -> None:
        now = self._now()
        plan = self._model.plan(now, self._chance, self._replicas_of)
        by_gateway = defaultdict[str, list[PrefetchCandidate]](list)
        for candidate in plan.ordered:
            candidates = [Candidate(name) for name in gateways]
            by_gateway[ranked(f"warm {candidate.engine}", candidates)[0]].append(candidate)
        for gateway, prefetches in by_gateway.items():
            self._order(gateway, prefetches, now)
        self._model.observe(now, plan)

    def _order(self, gateway: str, prefetches: list[PrefetchCandidate], now: float) -> None:
        operation = self._lease.begin(self._leases.clock(), round(TIMEOUT_S * SECOND))
        if operation is None:
            return
        for candidate in prefetches:
            self._model.ordered(now, candidate)
        lease_left = max(0, operation.expires_at - self._leases.clock())
        request = messages.PrefetchRequest(
            operation.task,
            operation.token,
            operation.serial,
            operation.holder,
            min(self._config.max_duration, lease_left),
            [candidate.key for candidate in prefetches],
        )
        sent = self._fleet.call(gateway, messages.PREFETCH_KIND, messages.encode(request), TIMEOUT_S)
        sent.addErrback(lambda _: None).addCallback(self._order_answered, operation)

    def _order_answered(self, body: bytes | None, operation: LeasedOperation) -> None:
        self._lease.end(operation)
        reply = messages.decode(body, messages.PrefetchReply) if body is not None else None
        if reply is not None and reply.newer_token:
            self._leases.report_newer_token(operation, reply.newer_token)
