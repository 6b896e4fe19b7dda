"""What proxies are handed: engines, weights, priorities, limits, retries, drops. Pure, with every choice and
figure.

A gateway hands `Handed.part` of its own slices, and of its budgets of cold engines, to all its proxies
together, and fills the rest itself. Of that each proxy gets an even share. Times are whole tenths of a
millisecond."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from vanerelay.interface import (
    SECOND,
    Capabilities,
    DeduplicationScope,
    Duration,
    EngineState,
    EngineStatus,
    Idempotency,
    RetryBudgetTerms,
    ServiceClass,
)

WIDTH = 2.8  # threads a core, as the module counts them on its own slices
FULL = 100  # the weight of a core of a sound, warm engine of weight 1
HEAVIEST = 10_000  # an endpoint's weight at most
# of the ration's share goes to proxies' retries: they count active batches, the rule those of a span
BUDGET = 0.8
EJECTED = 30  # percent of a group's engines that a proxy may leave out on its own word
# of a cold engine's budget is handed on: a proxy bounds how many run, not how many are sent
COLD_CAUTION = 0.5


@dataclass(frozen=True, slots=True)
class Handed:
    """The operators' words. `part`: of our slices that goes to proxies; `changes_every`: how often small
    changes are handed on, `change`: by how much a weight or limit must differ from the one in force to be one
    at all."""

    part: Annotated[float, msgspec.Meta(ge=0, le=0.95)] = 0.5
    changes_every: Duration = 2 * SECOND
    change: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class Health(Enum):
    """What a proxy is told of an endpoint."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"


class Retry(Enum):
    """When a proxy may send a batch again."""

    NEVER_RAN = "never ran"  # only where nothing of the first dispatch can have run
    HARMLESS = "harmless"  # after any end


@dataclass(frozen=True, slots=True)
class Endpoint:
    name: str
    address: str
    health: Health
    weight: int


@dataclass(frozen=True, slots=True)
class Part:
    """The endpoints of one location, by name; 0 is the highest priority."""

    location: int
    priority: int
    weight: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Group:
    """One service group at a proxy. `most`: its batches open at once; `most_cold`: the same on engines that
    are cold, to which `cold_share` of 10,000 go; `dropped`: of a million that are turned away at once;
    `retry_percent`, `retries`: further dispatches a proxy may have out, as a part of its open batches and at
    the least."""

    name: str
    warm: tuple[Part, ...]
    cold: tuple[Part, ...]
    most: int
    most_cold: int
    cold_share: int
    dropped: int
    retry: Retry
    dispatches: int
    time_limit: int
    retry_percent: float
    retries: int


Plan = tuple[Group, ...]


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings say, once."""

    groups: tuple[ServiceClass, ...]
    allowed: Capabilities
    ration: RetryBudgetTerms
    cold_multiple: float


def plan(
    terms: Terms,
    conditions: Sequence[EngineStatus],
    addresses: Mapping[int, str],
    handed: Handed,
    proxies: int,
    location: int | None,
    demand: Sequence[float],
    shed: Sequence[float],
    peaks: Sequence[float],
    draining: Sequence[tuple[str, str, int, int]] = (),
) -> Plan:
    """What one proxy in a location is handed (None: one that is in none of ours).

    `addresses`: of engines, by index. `demand`, `shed`, `peaks`: by group, the part of the proxies' work that
    it is (summing to 1), the part that the door turns away, the memory of a usual grant in MB. `draining`:
    name, address, location and kind of engines that leave: told as such for as long as the list holds
    them."""
    found = []
    for row, group in enumerate(terms.groups):
        if group.ordered:
            continue  # rule 5: a proxy keeps no order
        able = [c for c in conditions if _may(group, c) and c.entry.index in addresses]
        warm, cold = [c for c in able if c.warmed_up], [c for c in able if not c.warmed_up]
        share = handed.part / max(1, proxies)
        most = sum(_room(c, group, peaks[row]) for c in warm) * share * demand[row]
        most_cold = min(
            (
                _cold_room(c, group, terms.cold_multiple) * share * demand[row]
                for c in cold
                if _offered(c, group, terms, share * demand[row])
            ),
            default=0.0,
        )
        offered = [c for c in cold if _offered(c, group, terms, share * demand[row])]
        leaving = [one for one in draining if _within(group, one[2], one[3])]
        # A batch that overflows its bound is lost to the proxy: fewer are sent to cold engines than they
        # could hold.
        cold_share = (
            int(10_000 * 0.5 * int(most_cold) / (most + int(most_cold))) if most_cold >= 1 and most else 0
        )
        retry, limit = _retry(group)
        found.append(
            Group(
                name=group.name,
                warm=_parts(warm, addresses, location, leaving),
                cold=_parts(offered, addresses, location, ()),
                most=max(1, int(most)),
                most_cold=int(most_cold),
                cold_share=10_000 if not warm and most_cold >= 1 else cold_share,
                dropped=int(1_000_000 * min(1.0, shed[row])),
                retry=retry,
                dispatches=max(1, terms.allowed.max_attempts),
                time_limit=limit,
                retry_percent=100.0 * BUDGET * terms.ration.retry_ratio if terms.ration.window else 20.0,
                retries=int(terms.ration.min_retries * handed.part / max(1, proxies))
                if terms.ration.window
                else 3,
            )
        )
    return tuple(found)


def _within(group: ServiceClass, location: int, kind: int) -> bool:
    """Rule 6."""
    return (group.zones is None or location in group.zones) and (
        group.machine_kinds is None or kind in group.machine_kinds
    )


def _may(group: ServiceClass, c: EngineStatus) -> bool:
    return c.entry.state is EngineState.UP and _within(group, c.entry.zone, c.entry.machine_kind)


def _room(c: EngineStatus, group: ServiceClass, peak: float) -> float:
    """Batches of a group that our slice of an engine holds, by threads and by memory."""
    if not c.usable or c.entry.weight <= 0.0:
        return 0.0
    threads = c.cores * WIDTH * c.capacity_share / max(1, group.threads)
    return min(threads, c.memory * c.capacity_share / peak) if peak > 0.0 and c.memory > 1.0 else threads


def _cold_room(c: EngineStatus, group: ServiceClass, multiple: float) -> float:
    """Batches that may run at once on a cold engine: with each using its threads they get no more work done
    than our part of the budget of rule 4, at this point of the ramp."""
    rate = multiple * c.cores * c.ramp_share * COLD_CAUTION * c.capacity_share
    return rate / max(1, group.threads)


def _offered(c: EngineStatus, group: ServiceClass, terms: Terms, share: float) -> bool:
    """A cold engine is handed on only where we warm it at all, and each proxy can be given one batch on
    it."""
    whole = _cold_room(c, group, terms.cold_multiple) * share
    return c.ramped_here and c.usable and c.entry.weight > 0.0 and whole >= 1.0


def _retry(group: ServiceClass) -> tuple[Retry, int]:
    """Rule 2, and the time that all dispatches of a batch have together."""
    if group.idempotency is Idempotency.IDEMPOTENT:
        return Retry.HARMLESS, group.deadline
    if (
        group.idempotency is Idempotency.DEDUPLICATED
        and group.deduplication_scope is DeduplicationScope.ALL
        and group.deduplication_window > 0
    ):
        return Retry.HARMLESS, min(group.deadline, group.deduplication_window)
    return Retry.NEVER_RAN, group.deadline


def _weight(c: EngineStatus) -> int:
    return max(1, min(HEAVIEST, round(FULL * max(1.0, c.cores) * c.health * c.ramp_share * c.entry.weight)))


def _parts(
    engines: Sequence[EngineStatus],
    addresses: Mapping[int, str],
    location: int | None,
    leaving: Sequence[tuple[str, str, int, int]],
) -> tuple[Part, ...]:
    """By location: that of the proxy first, all others after it, together; with nothing of use there, from
    0."""
    places = dict[int, list[Endpoint]]()
    for c in engines:
        good = c.usable and c.entry.weight > 0.0
        health = Health.HEALTHY if good else Health.UNHEALTHY
        places.setdefault(c.entry.zone, []).append(
            Endpoint(c.entry.name, addresses[c.entry.index], health, _weight(c))
        )
    for name, address, place, _ in leaving:
        places.setdefault(place, []).append(Endpoint(name, address, Health.DRAINING, 1))

    here = places.get(location, []) if location is not None else []
    own = location if any(e.health is Health.HEALTHY for e in here) else None
    found = []
    for place in sorted(places, key=lambda p: (p != own, p)):
        endpoints = tuple(sorted(places[place], key=lambda e: e.name))
        weight = sum(e.weight for e in endpoints if e.health is Health.HEALTHY)
        found.append(Part(place, 0 if own is None or place == own else 1, max(1, weight), endpoints))
    return tuple(found)


class Steady:
    """Small changes wait and are handed on at a bounded rate; what must not wait never does: engines that
    came, went, drain, turned sick or well, moved; limits that fall; drops; retries."""

    def __init__(self, handed: Handed) -> None:
        self._every, self._change = handed.changes_every, handed.change
        self.plan: Plan | None = None
        self._at = 0

    def take(self, now: int, wanted: Plan) -> bool:
        """Whether `plan` is another from now on."""
        if wanted == self.plan:
            return False
        if self.plan is not None and not self._urgent(self.plan, wanted):
            if now - self._at < self._every or not self._differs(self.plan, wanted):
                return False
        self.plan, self._at = wanted, now
        return True

    def due(self, wanted: Plan) -> int | None:
        """When a change that waits may go."""
        waits = self.plan is not None and wanted != self.plan and self._differs(self.plan, wanted)
        return self._at + self._every if waits else None

    def _urgent(self, old: Plan, new: Plan) -> bool:
        return _standing(old) != _standing(new) or any(
            b.most < a.most * (1.0 - self._change) or b.most_cold < a.most_cold or b.cold_share < a.cold_share
            for a, b in zip(old, new, strict=True)
        )

    def _differs(self, old: Plan, new: Plan) -> bool:
        pairs = [(a.most, b.most) for a, b in zip(old, new, strict=True)]
        pairs += [(a.most_cold, b.most_cold) for a, b in zip(old, new, strict=True)]
        pairs += [(a.cold_share, b.cold_share) for a, b in zip(old, new, strict=True)]
        pairs += zip(_weights(old), _weights(new), strict=True)
        return any(abs(a - b) > self._change * max(a, b) for a, b in pairs)


def _standing(told: Plan) -> list[object]:
    """All of a plan but figures that may wait. Drops go in steps of a twentieth."""
    return [
        (
            g.name,
            g.retry,
            g.dispatches,
            g.time_limit,
            g.retries,
            math.ceil(g.dropped / 50_000),
            [
                [(p.location, p.priority, e.name, e.address, e.health) for p in parts for e in p.endpoints]
                for parts in (g.warm, g.cold)
            ],
        )
        for g in told
    ]


def _weights(told: Plan) -> list[int]:
    return [e.weight for g in told for parts in (g.warm, g.cold) for p in parts for e in p.endpoints]
