"""The planner of one location, at whoever holds its lease: asks what was read, foretells, orders. Thin:
`forecast`, `worth`, `plan` and `trust` decide."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

import structlog

from vanerelay.extension import ExtensionHost
from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.service import FleetService
from vanerelay.interface import SECOND, EngineState
from vanerelay.leases.assignment import Candidate, ranked
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.service import Leases
from vanerelay.warming import messages
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.forecast import Forecasts
from vanerelay.warming.gain_experiment import Trust
from vanerelay.warming.plan import Budget, Plan, plan
from vanerelay.warming.popularity import Key, Seen, Slice, merged
from vanerelay.warming.prefetch_value import Believed, Place, Wish, wishes

PATIENCE_S = 0.5  # for an answer of a manager
LEARNS = 0.1  # of what an order took, each
JUDGED = 50  # forecasts in a horizon that are looked at once they are over
OUTCOMES = 2000  # that wait to be looked at
LOUD = 60  # spans between two lines of the log

log = structlog.get_logger()


class Planner:
    """`holders`: engines that have copies of a table group, where that is known."""

    def __init__(
        self,
        host: ExtensionHost,
        fleet: FleetService,
        leases: Leases,
        parts: WarmingConfig,
        location: str,
        chance: random.Random,
        holders: Callable[[int], Sequence[str]],
    ) -> None:
        self._host, self._fleet, self._leases, self._parts = host, fleet, leases, parts
        self._location, self._chance, self._holders = location, chance, holders
        self._hold = leases.add_task(f"warm/{location}", self._began, self._ended)
        self._timer: Any = None
        self._fresh()

    def _fresh(self) -> None:
        parts = self._parts
        self._forecasts = Forecasts(parts.most, parts.period / SECOND)
        self._trust = Trust(parts.price)
        self._budget = Budget(parts.budget, parts.saves / SECOND)
        self._believed, self._places = dict[str, Believed](), dict[str, Place]()
        self._heard = dict[str, int]()  # by manager: slices heard
        self._slices = list[Slice]()
        self._reading, self._base = dict[int, float](), dict[int, float]()
        self._spent = defaultdict[Key, float](float)
        self._open = list[tuple[float, bool, Wish]]()
        self._turns = 0

    def _began(self, hold: LeaseHolder) -> None:
        """What managers still remember is asked for: a planner that was lost takes its knowledge along."""
        self._fresh()
        self.stop()
        self._turn()

    def _ended(self, hold: LeaseHolder) -> None:
        self.stop()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _turn(self) -> None:
        self._timer = self._host.reactor.callLater(self._parts.span / SECOND, self._turn)
        if not self._hold.may_act(self._leases.clock()):
            return
        self._turns += 1
        self._look()
        alive = [one.name for one in self._fleet.detector.members.values() if one.status is MemberState.ALIVE]
        for name in alive:
            body = messages.encode(messages.Ask(self._heard.get(name, 0)))
            asked = self._fleet.call(name, "warm-told", body, PATIENCE_S)
            asked.addCallback(partial(self._told, name)).addErrback(lambda _: None)
        slices, self._slices = self._slices, []
        self._learn(*merged(slices))
        if self._places:
            self._order(alive)
        if self._turns % LOUD == 0:
            gain, off = self._trust.gain
            log.info(
                "warming",
                location=self._location,
                part=round(self._trust.part, 2),
                gain=round(gain, 3),
                off=round(min(off, 1e6), 3),
                judged=self._forecasts.judged,
                right=self._forecasts.right,
            )

    def _look(self) -> None:
        """The location's engines as they stand now."""
        spare = self._host.gateway.idle_shares()
        found = dict[str, Place]()
        location = self._host.zones.get(self._location)
        for one in self._host.gateway.engine_statuses():
            entry = one.entry
            serves = entry.state is EngineState.UP and one.usable and entry.weight > 0
            if serves and entry.zone == location:
                room = spare.get(entry.index, 0.0)
                found[entry.name] = Place(entry.name, one.cores, room, self._parts.keeps, not one.warmed_up)
                if entry.name not in self._believed or not one.warmed_up and entry.name not in self._places:
                    self._believed[entry.name] = Believed(self._parts.keeps)
        self._places = found
        self._believed = {name: one for name, one in self._believed.items() if name in found}

    def _told(self, name: str, body: bytes) -> None:
        told = messages.decode(body, messages.Told)
        if told is None:
            return
        if told.next < self._heard.get(name, 0):
            self._heard[name] = 0  # it has started anew
        else:
            new = [one for one in told.slices if one.number >= self._heard.get(name, 0)]
            self._heard[name] = told.next
            self._slices += [messages.slice_(one) for one in new]
        for group, _, work in told.read:
            cost = work / SECOND
            # One that found it warm says nothing: what it takes is the most that was seen of late.
            self._reading[group] = max(cost, self._reading.get(group, cost) * (1.0 - LEARNS))

    def _learn(self, seen: Mapping[Key, Seen], loads: set[int]) -> None:
        now = self._leases.clock() / SECOND
        for group in loads:
            self._forecasts.published(now, group, self._parts.publisher(group))
            for one in self._believed.values():
                one.old(group)
        counts = defaultdict[int, int](int)
        for (group, engine), told in seen.items():
            if engine not in self._believed:
                continue
            counts[group] += told.reads
            self._believed[engine].read(now, group)
            each = told.work / told.reads / SECOND
            base = min(each, self._base.get(group, each) * 1.01)
            self._base[group] = base
            self._spent[group, engine] += max(0.0, told.work / SECOND - told.reads * base)
        self._forecasts.update(now, counts)
        if self._turns % max(1, self._parts.horizon // self._parts.span // JUDGED) == 0:
            self._forecasts.within(self._parts.horizon / SECOND)
        if len(self._base) > 2 * self._parts.most:
            self._base = {group: one for group, one in self._base.items() if group in self._forecasts.rows}
            self._reading = {g: one for g, one in self._reading.items() if g in self._forecasts.rows}
        while self._open and self._open[0][0] <= now:
            _, done, wish = self._open.pop(0)
            self._trust.outcome(done, self._spent.pop((wish.group, wish.engine), 0.0), wish.cost)
        watched = {(wish.group, wish.engine) for _, _, wish in self._open}
        self._spent = defaultdict(float, {key: one for key, one in self._spent.items() if key in watched})

    def _order(self, alive: Sequence[str]) -> None:
        parts, now = self._parts, self._leases.clock() / SECOND
        groups = list(self._forecasts.rows)
        holders = {group: told for group in groups if (told := self._holders(group))}
        places = list(self._places.values())
        wanted = wishes(
            now,
            self._forecasts,
            places,
            self._believed,
            self._reading,
            parts.reading / SECOND,
            parts.price,
            parts.horizon / SECOND,
            groups,
            holders,
        )
        left = self._budget.left(now, self._trust.part)
        compared = {(wish.group, wish.engine) for _, done, wish in self._open if not done}
        made = plan(wanted, self._places, left, self._trust.undone, self._chance, compared, self._budget.bar)
        by = defaultdict[str, list[Wish]](list)
        for wish in made.done:
            by[ranked(f"warm {wish.engine}", [Candidate(name) for name in alive])[0]].append(wish)
        for name, some in by.items():
            self._send(name, some, now)
        self._open_outcomes(made, now)

    def _send(self, name: str, some: list[Wish], now: float) -> None:
        deed = self._hold.begin(self._leases.clock(), round(PATIENCE_S * SECOND))
        if deed is None:
            return
        for wish in some:
            self._budget.spend(wish.cost)
            if wish.engine in self._believed:
                self._believed[wish.engine].read(now, wish.group)
        orders = [(wish.group, wish.engine) for wish in some]
        left = max(0, deed.expires_at - self._leases.clock())
        lasts = min(self._parts.lasts, left)
        do = messages.Do(deed.task, deed.token, deed.serial, deed.holder, lasts, orders)
        asked = self._fleet.call(name, "warm-do", messages.encode(do), PATIENCE_S)
        asked.addErrback(lambda _: None).addCallback(self._done, deed)

    def _done(self, body: bytes | None, deed: LeasedOperation) -> None:
        self._hold.end(deed)
        told = messages.decode(body, messages.Done) if body is not None else None
        if told is not None and told.later:
            self._leases.report_newer_token(deed, told.later)

    def _open_outcomes(self, made: Plan, now: float) -> None:
        for done, some in ((True, made.done), (False, made.left)):
            for wish in some:
                if len(self._open) < OUTCOMES:
                    self._spent.pop((wish.group, wish.engine), None)
                    self._open.append((now + self._parts.horizon / SECOND, done, wish))
