"""Converts the settings, the same JSON object on sockets and in the simulator, to the types of the policy.

The keys of the JSON object are an external format and must not change. Those that the policy needs are
converted only here. A setting that is missing or null has the default given here. No scheduling decision is
made here.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from vanerelay.interface import (
    Capabilities,
    DeduplicationScope,
    FleetPosition,
    GatewaySettings,
    Idempotency,
    LoadReport,
    MachineKind,
    MemoryShortage,
    RetryBudgetTerms,
    ServiceClass,
    SlowStartTerms,
    Transport,
)
from vanerelay.invariants import GuardTerms
from vanerelay.policy.gateway import Gateway
from vanerelay.received_numbers import number_in_range

RawSettings = dict[str, Any]
"""The settings as read from JSON, before any conversion."""

MICROSECONDS_PER_TICK = 100
"""The settings state times in microseconds; the policy counts time in ticks."""

IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.DEDUPLICATED,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
MEMORY_SHORTAGES = {"queue": MemoryShortage.WAIT, "trim": MemoryShortage.SHRINK, "swap": MemoryShortage.PAGE}

FIELD_BY_WIRE_NAME = {"busy_reqs": "running", "pending": "queued", "cpu_share": "cores_busy"}
"""Fields of `LoadReport` by the name of the reported value on the wire."""

FIELD_BY_MEANING = {"share of memory granted": "memory_granted", "share of disks busy": "disks_busy"}
"""Fields of `LoadReport` by the meaning that the settings may give to a configurable column."""

CONFIGURABLE_COLUMNS = (("x0", "reportX0"), ("x1", "reportX1"))
"""Configurable columns on the wire, each with the key of the setting that gives its meaning."""

UTILIZATION_FIELDS = frozenset({"running", "cores_busy", "memory_granted", "disks_busy"})
"""Fields of `LoadReport` that measure how much of an engine is in use."""


def ticks_floor(microseconds: float) -> int:
    """Converts microseconds to ticks, rounding down."""
    return int(microseconds // MICROSECONDS_PER_TICK)


def ticks_ceil(microseconds: float) -> int:
    """Converts microseconds to ticks, rounding up."""
    return -int(-microseconds // MICROSECONDS_PER_TICK)


def service_classes(raw_settings: RawSettings) -> list[ServiceClass]:
    """Returns the service classes in the order of the settings; the index of a class is called its row."""
    engine_settings = raw_settings.get("familyInfo") or {}
    return [_service_class(row, raw, engine_settings) for row, raw in enumerate(raw_settings["classes"])]


def _service_class(row: int, raw: RawSettings, engine_settings: RawSettings) -> ServiceClass:
    """Returns one service class.

    Properties that concern engines are not in `raw` but in lists under `familyInfo`, indexed by row.
    """

    def value_of_class(key: str, default: Any) -> Any:
        values = engine_settings.get(key) or []
        return values[row] if row < len(values) else default

    return ServiceClass(
        name=str(row if raw.get("name") is None else raw["name"]),
        latency_objective=ticks_floor(raw["aimUs"]),
        objective_stretch=float(raw.get("aimStretch") or 0.0),
        deadline=ticks_floor(raw["deadlineUs"]),
        value=1.0 if raw.get("importance") is None else float(raw["importance"]),
        late_value=float(raw.get("lateWorth") or 0.0),
        idempotency=IDEMPOTENCY[raw["semantics"]],
        deduplication_scope=DEDUPLICATION_SCOPES[raw.get("dedupScope") or "all"],
        deduplication_window=ticks_floor(raw.get("windowUs") or 0),
        ordered=bool(raw.get("inTurn")),
        zones=None if raw.get("staysIn") is None else tuple(raw["staysIn"]),
        machine_kinds=None if raw.get("kindsOnly") is None else tuple(raw["kindsOnly"]),
        threads=int(value_of_class("parallelism", 1)),
        is_data_load=bool(value_of_class("writesTables", False)),
        waits_for_data_loads=bool(value_of_class("waitsForLoads", False)),
    )


def machine_kinds(raw_settings: RawSettings) -> list[MachineKind]:
    """Returns the kinds of engine machines in the order of the settings; the index of a kind is its row."""
    engine_settings = raw_settings.get("familyInfo") or {}
    cores = engine_settings.get("cpuOfKind") or []
    memory = engine_settings.get("memoryByKindMb") or []
    return [
        MachineKind(
            cores=int(cores[row]) if row < len(cores) else 0,
            memory=float(memory[row]) if row < len(memory) else 0.0,
        )
        for row in range(len(raw_settings.get("kinds") or []))
    ]


def fleet_position(raw_settings: RawSettings) -> FleetPosition:
    """Returns the index of this gateway, its zone and the number of gateways."""
    return FleetPosition(
        index=int(raw_settings.get("position") or 0),
        gateway_count=int(raw_settings.get("groupSize") or 1),
        zone=int(raw_settings.get("az") or 0),
    )


def capabilities(raw_settings: RawSettings) -> Capabilities:
    """Returns what this gateway is permitted to do, and what engines report to it."""
    limits = raw_settings.get("limits") or {}
    engine_settings = raw_settings.get("familyInfo") or {}
    report = raw_settings.get("report") or {}
    names = report_names(raw_settings)
    reported = {names[column] for column in report.get("columns") or [] if column in names}
    reports_load_when_probed = report.get("how") == "pull" and not UTILIZATION_FIELDS.isdisjoint(reported)
    return Capabilities(
        max_attempts=int(limits.get("maxAttempts") or 1),
        may_cancel=bool(limits.get("cancel")),
        may_hedge=bool(limits.get("secondCopies")),
        may_probe=bool(limits.get("probes")),
        may_gossip=bool(limits.get("peers")),
        sends_retry_after=bool(limits.get("retryAfter")),
        max_retry_after=ticks_floor(limits.get("maxRetryAfterUs") or 0),
        sends_memory_grants=bool(engine_settings.get("takesGrants")),
        max_grant_share=float(engine_settings.get("grantCap") or 1.0),
        sends_priorities=bool(engine_settings.get("lanesCount")),
        reports_cost=bool(engine_settings.get("bills")),
        progress_interval=ticks_ceil(engine_settings.get("progressUs") or 0),
        memory_shortage=MEMORY_SHORTAGES[engine_settings.get("memoryShort") or "queue"],
        subscribes_to_list=raw_settings.get("discovery") == "on_request",
        polls_load=bool(limits.get("probes")) and reports_load_when_probed,
    )


def slow_start_terms(raw_settings: RawSettings) -> SlowStartTerms:
    """Returns the limits on load that protect freshly started engines."""
    safety = raw_settings.get("safety") or {}
    return SlowStartTerms(
        initial_share=float(safety.get("coldFrom") or 1.0),
        ramp_duration=ticks_ceil(safety.get("coldUs") or 0),
        overload_multiple=float(safety.get("fallMultiple") or 1.0),
        overload_window=ticks_ceil(safety.get("overloadForUs") or 0),
    )


def retry_budget_terms(raw_settings: RawSettings) -> RetryBudgetTerms:
    """Returns the limit on attempts beyond the first of each query."""
    safety = raw_settings.get("safety") or {}
    return RetryBudgetTerms(
        window=ticks_ceil(safety.get("ratioSpanUs") or 0),
        min_retries=int(safety.get("minExtra") or 0),
        retry_ratio=float(safety.get("extraRatio") or 0.0),
    )


def order_key_pause(raw_settings: RawSettings) -> int:
    """Returns the ticks for which an order key is blocked after an attempt that may still be running."""
    safety = raw_settings.get("safety") or {}
    return ticks_ceil(safety.get("orderPauseUs") or 0)


def guard_terms(raw_settings: RawSettings) -> GuardTerms:
    """Returns the part of the settings that the invariant guard checks against."""
    allowed = capabilities(raw_settings)
    return GuardTerms(
        service_classes=service_classes(raw_settings),
        machine_kinds=machine_kinds(raw_settings),
        retry_budget=retry_budget_terms(raw_settings),
        slow_start=slow_start_terms(raw_settings),
        max_attempts=allowed.max_attempts,
        may_hedge=allowed.may_hedge,
    )


def report_names(raw_settings: RawSettings) -> dict[str, str]:
    """Returns the field of `LoadReport` for each name that a reported value may have on the wire."""
    engine_settings = raw_settings.get("familyInfo") or {}
    names = dict(FIELD_BY_WIRE_NAME)
    for wire_name, key in CONFIGURABLE_COLUMNS:
        if engine_settings.get(key) in FIELD_BY_MEANING:
            names[wire_name] = FIELD_BY_MEANING[engine_settings[key]]
    return names


def load_report(names: dict[str, str], values: dict[str, Any] | None) -> LoadReport | None:
    """Converts reported values to a load report, ignoring unknown names and invalid values.

    Args:
        names: The fields of `LoadReport` by wire name, as returned by `report_names`.
        values: The reported values by wire name.

    Returns:
        The load report, or None if no values were reported.
    """
    if not values:
        return None
    numbers = {names[name]: number_in_range(value) for name, value in values.items() if name in names}
    return LoadReport(**{field: number for field, number in numbers.items() if number is not None})


def open_gateway(
    transport: Transport, seed: int, raw_settings: RawSettings, polls_load: bool = False
) -> Gateway:
    """Creates the policy gateway for these settings.

    Args:
        transport: The transport through which the policy sends attempts and answers and sets timers.
        seed: The seed of the policy's random generator.
        raw_settings: Valid settings, for which `settings_validation.find_error` returns None.
        polls_load: True if answers to probes carry load reports, as in the simulator; on sockets they do not.
    """
    allowed = capabilities(raw_settings)
    gateway_settings = GatewaySettings(
        service_classes=service_classes(raw_settings),
        machine_kinds=machine_kinds(raw_settings),
        position=fleet_position(raw_settings),
        capabilities=dataclasses.replace(allowed, polls_load=polls_load and allowed.polls_load),
        slow_start=slow_start_terms(raw_settings),
        retry_budget=retry_budget_terms(raw_settings),
        order_key_pause=order_key_pause(raw_settings),
        tick=ticks_ceil(raw_settings.get("tickUs") or 0),
    )
    return Gateway(transport, seed, gateway_settings)
