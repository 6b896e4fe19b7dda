"""The settings of a run's gateways, made from a scenario. Pure."""

from __future__ import annotations

import copy
from typing import Any

from vanerelay.interface import Idempotency
from vanerelay.lab.scenario_config import Scenario, ServiceClass, SettingValues

MICROSECONDS_PER_TICK = 100
SEMANTICS = {
    Idempotency.IDEMPOTENT: "pure",
    Idempotency.DEDUPLICATED: "token",
    Idempotency.NON_IDEMPOTENT: "side_effect",
}
"""As settings name it."""
FIXED_LIMITS = {
    "maxAttempts": 3,
    "maxOpen": 2000,
    "multiplex": 32,
    "dialTimeoutUs": 250000,
    "connIdleUs": 30000000,
    "cancel": True,
    "retryAfter": True,
    "maxRetryAfterUs": 2000000,
}
"""That no scenario changes but by its settings."""


def make_settings(scenario: Scenario, position: int, overrides: SettingValues = ()) -> dict[str, Any]:
    """The settings of the gateway at a position: the scenario's, with overrides by path over them."""
    gateways, zones = scenario.gateways, scenario.zones
    settings: dict[str, Any] = {
        "classes": [_service_class(one, zones) for one in scenario.service_classes],
        "orgs": [],
        "kinds": _kinds(scenario),
        "failureDomains": zones,
        "az": zones.index(gateways.zones[position % len(gateways.zones)]),
        "groupSize": gateways.count,
        "position": position,
        "tickUs": 5000,
        "familyInfo": _engine_facts(scenario),
        "limits": {**FIXED_LIMITS, "peers": gateways.exchanges_datagrams},
        "safety": _safety(scenario),
        "report": {"how": "piggyback"},
    }
    return with_overrides(settings, (*scenario.settings, *overrides))


def _kinds(scenario: Scenario) -> list[str]:
    return list(dict.fromkeys(group.kind for group in scenario.engine_groups))


def _service_class(service_class: ServiceClass, zones: list[str]) -> dict[str, Any]:
    return {
        "name": service_class.name,
        "aimUs": service_class.latency_objective * MICROSECONDS_PER_TICK,
        "deadlineUs": service_class.deadline * MICROSECONDS_PER_TICK,
        "importance": service_class.value,
        "semantics": SEMANTICS[service_class.idempotency],
        "dedupScope": "all",
        "windowUs": service_class.deduplication_window * MICROSECONDS_PER_TICK,
        "staysIn": [zones.index(zone) for zone in service_class.zones] or None,
    }


def _engine_facts(scenario: Scenario) -> dict[str, Any]:
    machines = [scenario.engine_group(kind).machine for kind in _kinds(scenario)]
    return {
        "memoryByKindMb": [machine.memory_mb for machine in machines],
        "cpuOfKind": [machine.cores for machine in machines],
        "parallelism": [service_class.threads for service_class in scenario.service_classes],
        "grantCap": 0.4,
        "takesGrants": True,
        "reportX0": "share of memory granted",
        "bills": True,
    }


def _safety(scenario: Scenario) -> dict[str, Any]:
    slow_start, budget = scenario.slow_start, scenario.retry_budget
    return {
        "coldFrom": slow_start.initial_share,
        "coldUs": slow_start.duration * MICROSECONDS_PER_TICK,
        "fallMultiple": slow_start.overload_factor,
        "overloadForUs": slow_start.overload_window * MICROSECONDS_PER_TICK,
        "ratioSpanUs": budget.window * MICROSECONDS_PER_TICK,
        "minExtra": budget.free_retries,
        "extraRatio": budget.share,
    }


def with_overrides(settings: dict[str, Any], overrides: SettingValues) -> dict[str, Any]:
    """With values by path, such as `limits.maxAttempts` or `classes.0.aimUs`.

    Raises KeyError, IndexError.
    """
    found = copy.deepcopy(settings)
    for path, value in overrides:
        *parents, last = path.split(".")
        parent: Any = found
        for part in parents:
            parent = parent[int(part)] if isinstance(parent, list) else parent[part]
        if isinstance(parent, list):
            parent[int(last)] = value
        else:
            parent[last] = value
    return found


__all__ = ["make_settings", "with_overrides"]
