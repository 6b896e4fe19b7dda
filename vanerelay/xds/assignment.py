"""Decides what proxies are handed: endpoints, weights, priorities, limits, retries and drops. Pure.

A gateway hands `ProxyShareConfig.share` of its own slices, and of its budgets of engines in slow start, to
all its proxies together, and fills the rest itself. Each proxy gets an even part of that. The rules that
comments name by number are those of `docs/design/xds.md`. Times are in ticks.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from vanerelay.config_field import config_field
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

THREADS_PER_CORE = 2.8
"""Threads that a core holds, as the gateway counts them on its own slices."""

WEIGHT_PER_CORE = 100
"""The weight of a core of a healthy, warm engine of weight 1."""

MAX_ENDPOINT_WEIGHT = 10_000
"""The largest weight of an endpoint."""

RETRY_BUDGET_SHARE = 0.8
"""The part of the retry ratio for proxies: they count queries in flight, our rule those of a window."""

MAX_EJECTION_PERCENT = 30
"""Percent of a service class's engines that a proxy may eject by its own observations."""

SLOW_START_CAUTION = 0.5
"""The part of a slow-start budget that is handed on: a proxy bounds how many run, not how many are sent."""

SLOW_START_TRAFFIC = 0.5
"""The part of the queries that fit on engines in slow start that are sent there: an overflow is lost."""

ROUTE_WEIGHT_TOTAL = 10_000
"""What the weights of a route's two clusters add up to."""

DEFAULT_RETRY_PERCENT = 20.0
"""The retry budget where the settings state none: Envoy's default."""

DEFAULT_MIN_RETRIES = 3
"""Retries that are always allowed where the settings state no budget: Envoy's default."""


@dataclass(frozen=True, slots=True)
class ProxyShareConfig:
    """The `handed` block of the operators' file.

    Attributes:
        share: The part of our slices that goes to proxies.
        update_interval: The time between updates that carry small changes alone.
        min_change: By how much a weight or limit must differ from the one in force to be a change at all.
    """

    share: Annotated[float, msgspec.Meta(ge=0, le=0.95)] = config_field("part", default=0.5)
    update_interval: Duration = config_field("changes_every", default=2 * SECOND)
    min_change: Annotated[float, msgspec.Meta(ge=0, le=1)] = config_field("change", default=0.1)


class EndpointHealth(Enum):
    """The health of an endpoint, as proxies are told."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    DRAINING = "draining"


class RetryPolicy(Enum):
    """When a proxy may retry a query."""

    ONLY_IF_NEVER_RAN = "never ran"
    """Only where nothing of the first attempt can have run."""
    AFTER_ANY_FAILURE = "harmless"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One engine, as proxies are told of it."""

    name: str
    address: str
    health: EndpointHealth
    weight: int


@dataclass(frozen=True, slots=True)
class LocalityEndpoints:
    """The endpoints of one zone, ordered by name; 0 is the highest priority."""

    zone: int
    priority: int
    weight: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ClassAssignment:
    """One service class at a proxy.

    Attributes:
        warm: Engines that are warm.
        slow_start: Engines that are in slow start.
        max_queries: Queries in flight on warm engines.
        max_slow_start_queries: Queries in flight on engines in slow start, all together.
        slow_start_weight: Of ROUTE_WEIGHT_TOTAL, what goes to engines in slow start.
        drops_per_million: Of a million queries, those that are rejected at once.
        max_attempts: Attempts of one query, the first included.
        deadline: The time that all attempts of a query have together.
        retry_percent: Retries that may be in flight, in percent of the queries in flight.
        min_retries: Retries that may be in flight whatever the traffic.
    """

    name: str
    warm: tuple[LocalityEndpoints, ...]
    slow_start: tuple[LocalityEndpoints, ...]
    max_queries: int
    max_slow_start_queries: int
    slow_start_weight: int
    drops_per_million: int
    retry: RetryPolicy
    max_attempts: int
    deadline: int
    retry_percent: float
    min_retries: int


Assignment = tuple[ClassAssignment, ...]
"""What one proxy is handed."""


@dataclass(frozen=True, slots=True)
class AssignmentTerms:
    """What the settings and the operators state; constant while the gateway runs.

    Attributes:
        overload_multiple: How many times its capacity of the moment an engine in slow start may be sent.
    """

    service_classes: tuple[ServiceClass, ...]
    capabilities: Capabilities
    retry_budget: RetryBudgetTerms
    overload_multiple: float
    proxy_share: ProxyShareConfig


@dataclass(frozen=True, slots=True)
class DrainingEngine:
    """An engine that drains. Proxies are told so for as long as the engine list holds it."""

    name: str
    address: str
    zone: int
    machine_kind: int


@dataclass(frozen=True, slots=True)
class GatewayState:
    """What the gateway knows at one moment.

    Attributes:
        engines: The status of each engine.
        addresses: The addresses of engines, by index.
        proxies: The proxies that share what is handed out.
        demand: The share of each service class in the proxies' work; they sum to 1.
        shed: The share of each service class's queries that the load shedder rejects.
        typical_grants: The memory in MB of a usual grant of each service class.
    """

    engines: Sequence[EngineStatus]
    addresses: Mapping[int, str]
    proxies: int
    demand: Sequence[float]
    shed: Sequence[float]
    typical_grants: Sequence[float]
    draining: Sequence[DrainingEngine] = ()


def assign(terms: AssignmentTerms, state: GatewayState, zone: int | None) -> Assignment:
    """What one proxy in a zone is handed; None for a proxy that is in none of ours.

    Ordered service classes are left out (rule 5): a proxy keeps no order.
    """
    return tuple(
        _assign_class(terms, state, row, zone)
        for row, service_class in enumerate(terms.service_classes)
        if not service_class.ordered
    )


def _assign_class(terms: AssignmentTerms, state: GatewayState, row: int, zone: int | None) -> ClassAssignment:
    service_class, demand = terms.service_classes[row], state.demand[row]
    part = terms.proxy_share.share / max(1, state.proxies)  # of our slices, for one proxy
    eligible = [
        engine
        for engine in state.engines
        if _may_serve(service_class, engine) and engine.entry.index in state.addresses
    ]
    warm = [engine for engine in eligible if engine.warmed_up]
    slow_start = [
        engine
        for engine in eligible
        if not engine.warmed_up and _offered(engine, service_class, terms, part * demand)
    ]
    grant = state.typical_grants[row]
    warm_queries = sum(_capacity(engine, service_class, grant) for engine in warm) * part * demand
    slow_start_queries = min(
        (
            _slow_start_capacity(engine, service_class, terms.overload_multiple) * part * demand
            for engine in slow_start
        ),
        default=0.0,
    )
    draining = [
        engine for engine in state.draining if _placed(service_class, engine.zone, engine.machine_kind)
    ]
    retry, deadline = _retry_policy(service_class)
    retry_percent, min_retries = _retry_budget(terms, state.proxies)
    return ClassAssignment(
        name=service_class.name,
        warm=_localities(warm, state.addresses, zone, draining),
        slow_start=_localities(slow_start, state.addresses, zone, ()),
        max_queries=max(1, int(warm_queries)),
        max_slow_start_queries=int(slow_start_queries),
        slow_start_weight=_slow_start_weight(bool(warm), warm_queries, slow_start_queries),
        drops_per_million=int(1_000_000 * min(1.0, state.shed[row])),
        retry=retry,
        max_attempts=max(1, terms.capabilities.max_attempts),
        deadline=deadline,
        retry_percent=retry_percent,
        min_retries=min_retries,
    )


def _placed(service_class: ServiceClass, zone: int, machine_kind: int) -> bool:
    """Whether a service class may use such an engine (rule 6)."""
    return (service_class.zones is None or zone in service_class.zones) and (
        service_class.machine_kinds is None or machine_kind in service_class.machine_kinds
    )


def _may_serve(service_class: ServiceClass, engine: EngineStatus) -> bool:
    entry = engine.entry
    return entry.state is EngineState.UP and _placed(service_class, entry.zone, entry.machine_kind)


def _capacity(engine: EngineStatus, service_class: ServiceClass, grant: float) -> float:
    """Queries of a service class that our slice of an engine holds, by threads and by memory."""
    if not engine.usable or engine.entry.weight <= 0.0:
        return 0.0
    by_threads = engine.cores * THREADS_PER_CORE * engine.capacity_share / max(1, service_class.threads)
    if grant <= 0.0 or engine.memory <= 1.0:
        return by_threads
    return min(by_threads, engine.memory * engine.capacity_share / grant)


def _slow_start_capacity(engine: EngineStatus, service_class: ServiceClass, multiple: float) -> float:
    """Queries that may run at once on an engine in slow start.

    With each using its threads they get no more work done than our part of the budget of rule 4, at this
    point of the ramp.
    """
    rate = multiple * engine.cores * engine.ramp_share * SLOW_START_CAUTION * engine.capacity_share
    return rate / max(1, service_class.threads)


def _offered(engine: EngineStatus, service_class: ServiceClass, terms: AssignmentTerms, part: float) -> bool:
    """Whether an engine in slow start is handed on.

    Only where we ramp it at all, and each proxy can be given one query on it.
    """
    queries = _slow_start_capacity(engine, service_class, terms.overload_multiple) * part
    return engine.used_during_slow_start and engine.usable and engine.entry.weight > 0.0 and queries >= 1.0


def _slow_start_weight(any_warm: bool, warm_queries: float, slow_start_queries: float) -> int:
    """The weight of the engines in slow start on a route.

    A query above a limit is lost to the proxy, so fewer are sent to these engines than they could hold.
    """
    if slow_start_queries < 1:
        return 0
    if not any_warm:
        return ROUTE_WEIGHT_TOTAL
    if not warm_queries:
        return 0
    queries = int(slow_start_queries)
    return int(ROUTE_WEIGHT_TOTAL * SLOW_START_TRAFFIC * queries / (warm_queries + queries))


def _retry_policy(service_class: ServiceClass) -> tuple[RetryPolicy, int]:
    """When a query may be retried (rule 2), and the time that all its attempts have together."""
    if service_class.idempotency is Idempotency.IDEMPOTENT:
        return RetryPolicy.AFTER_ANY_FAILURE, service_class.deadline
    if (
        service_class.idempotency is Idempotency.DEDUPLICATED
        and service_class.deduplication_scope is DeduplicationScope.ALL
        and service_class.deduplication_window > 0
    ):
        deadline = min(service_class.deadline, service_class.deduplication_window)
        return RetryPolicy.AFTER_ANY_FAILURE, deadline
    return RetryPolicy.ONLY_IF_NEVER_RAN, service_class.deadline


def _retry_budget(terms: AssignmentTerms, proxies: int) -> tuple[float, int]:
    """The percentage of queries in flight that may be retries, and the retries that are always allowed."""
    budget = terms.retry_budget
    if not budget.window:
        return DEFAULT_RETRY_PERCENT, DEFAULT_MIN_RETRIES
    min_retries = int(budget.min_retries * terms.proxy_share.share / max(1, proxies))
    return 100.0 * RETRY_BUDGET_SHARE * budget.retry_ratio, min_retries


def _endpoint_weight(engine: EngineStatus) -> int:
    weight = (
        WEIGHT_PER_CORE * max(1.0, engine.cores) * engine.health * engine.ramp_share * engine.entry.weight
    )
    return max(1, min(MAX_ENDPOINT_WEIGHT, round(weight)))


def _localities(
    engines: Sequence[EngineStatus],
    addresses: Mapping[int, str],
    zone: int | None,
    draining: Sequence[DrainingEngine],
) -> tuple[LocalityEndpoints, ...]:
    """The endpoints by zone: the proxy's own zone first, all others together after it.

    Where the proxy's own zone has no healthy endpoint, all zones have priority 0.
    """
    by_zone = dict[int, list[Endpoint]]()
    for engine in engines:
        usable = engine.usable and engine.entry.weight > 0.0
        health = EndpointHealth.HEALTHY if usable else EndpointHealth.UNHEALTHY
        by_zone.setdefault(engine.entry.zone, []).append(
            Endpoint(engine.entry.name, addresses[engine.entry.index], health, _endpoint_weight(engine))
        )
    for leaving in draining:
        by_zone.setdefault(leaving.zone, []).append(
            Endpoint(leaving.name, leaving.address, EndpointHealth.DRAINING, 1)
        )
    in_own_zone = by_zone.get(zone, []) if zone is not None else []
    preferred = zone if any(one.health is EndpointHealth.HEALTHY for one in in_own_zone) else None
    return tuple(
        _locality(one, by_zone[one], 0 if preferred is None or one == preferred else 1)
        for one in sorted(by_zone, key=lambda one: (one != preferred, one))
    )


def _locality(zone: int, endpoints: Sequence[Endpoint], priority: int) -> LocalityEndpoints:
    weight = sum(one.weight for one in endpoints if one.health is EndpointHealth.HEALTHY)
    ordered = tuple(sorted(endpoints, key=lambda endpoint: endpoint.name))
    return LocalityEndpoints(zone, priority, max(1, weight), ordered)
