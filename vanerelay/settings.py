"""The settings, one JSON object on both wires, turned into the decisions' types.

The keys of the JSON object are a form that stays: those that the decisions need are read here alone.
Settings that are left out or null have the defaults that stand here. Nothing in this module chooses.
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

RawSettings = dict[str, Any]
"""The settings as they come, read from JSON."""

MICROSECONDS_PER_TICK = 100
"""Times in the settings are in microseconds, times of the decisions in ticks."""

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

REPORT_FIELDS = {"busy_reqs": "running", "pending": "queued", "cpu_share": "cores_busy"}
"""Names of reported values on the wire, and the fields of `LoadReport`."""

CONFIGURABLE_FIELDS = {"share of memory granted": "memory_granted", "share of disks busy": "disks_busy"}
"""Fields of `LoadReport` by what the settings may say that a configurable value means."""

CONFIGURABLE_VALUES = (("x0", "reportX0"), ("x1", "reportX1"))
"""Configurable values on the wire, and the settings that say what they mean."""

LOAD_FIELDS = frozenset({"running", "cores_busy", "memory_granted", "disks_busy"})
"""Fields of `LoadReport` that state what share of an engine is in use."""


def ticks_floor(microseconds: float) -> int:
    """Microseconds in ticks, rounded down."""
    return int(microseconds // MICROSECONDS_PER_TICK)


def ticks_ceil(microseconds: float) -> int:
    """Microseconds in ticks, rounded up."""
    return -int(-microseconds // MICROSECONDS_PER_TICK)


def service_classes(raw_settings: RawSettings) -> list[ServiceClass]:
    """The service classes, by row."""
    engines = raw_settings.get("familyInfo") or {}
    return [_service_class(row, raw, engines) for row, raw in enumerate(raw_settings["classes"])]


def _service_class(row: int, raw: RawSettings, engines: RawSettings) -> ServiceClass:
    """One service class; what its queries do at engines stands in lists of their own, by row."""

    def listed(name: str, default: Any) -> Any:
        values = engines.get(name) or []
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
        threads=int(listed("parallelism", 1)),
        is_data_load=bool(listed("writesTables", False)),
        waits_for_data_loads=bool(listed("waitsForLoads", False)),
    )


def machine_kinds(raw_settings: RawSettings) -> list[MachineKind]:
    """The kinds of engine machines, by row."""
    engines = raw_settings.get("familyInfo") or {}
    cores = engines.get("cpuOfKind") or []
    memory = engines.get("memoryByKindMb") or []
    return [
        MachineKind(
            cores=int(cores[row]) if row < len(cores) else 0,
            memory=float(memory[row]) if row < len(memory) else 0.0,
        )
        for row in range(len(raw_settings.get("kinds") or []))
    ]


def fleet_position(raw_settings: RawSettings) -> FleetPosition:
    """Where this gateway stands among its peers."""
    return FleetPosition(
        index=int(raw_settings.get("position") or 0),
        gateway_count=int(raw_settings.get("groupSize") or 1),
        zone=int(raw_settings.get("az") or 0),
    )


def capabilities(raw_settings: RawSettings) -> Capabilities:
    """What this gateway may do, and what engines report to it."""
    limits = raw_settings.get("limits") or {}
    engines = raw_settings.get("familyInfo") or {}
    report = raw_settings.get("report") or {}
    names = report_names(raw_settings)
    reported = {names[column] for column in report.get("columns") or [] if column in names}
    tells_load_when_probed = report.get("how") == "pull" and not LOAD_FIELDS.isdisjoint(reported)
    return Capabilities(
        max_attempts=int(limits.get("maxAttempts") or 1),
        may_cancel=bool(limits.get("cancel")),
        may_hedge=bool(limits.get("secondCopies")),
        may_probe=bool(limits.get("probes")),
        may_gossip=bool(limits.get("peers")),
        sends_retry_after=bool(limits.get("retryAfter")),
        max_retry_after=ticks_floor(limits.get("maxRetryAfterUs") or 0),
        sends_memory_grants=bool(engines.get("takesGrants")),
        max_grant_share=float(engines.get("grantCap") or 1.0),
        sends_priorities=bool(engines.get("lanesCount")),
        reports_cost=bool(engines.get("bills")),
        progress_interval=ticks_ceil(engines.get("progressUs") or 0),
        memory_shortage=MEMORY_SHORTAGES[engines.get("memoryShort") or "queue"],
        subscribes_to_list=raw_settings.get("discovery") == "on_request",
        polls_load=bool(limits.get("probes")) and tells_load_when_probed,
    )


def slow_start_terms(raw_settings: RawSettings) -> SlowStartTerms:
    """The rule that protects freshly started engines."""
    rules = raw_settings.get("safety") or {}
    return SlowStartTerms(
        initial_share=float(rules.get("coldFrom") or 1.0),
        ramp_duration=ticks_ceil(rules.get("coldUs") or 0),
        overload_multiple=float(rules.get("fallMultiple") or 1.0),
        overload_window=ticks_ceil(rules.get("overloadForUs") or 0),
    )


def retry_budget_terms(raw_settings: RawSettings) -> RetryBudgetTerms:
    """The rule on attempts beyond the first of each query."""
    rules = raw_settings.get("safety") or {}
    return RetryBudgetTerms(
        window=ticks_ceil(rules.get("ratioSpanUs") or 0),
        min_retries=int(rules.get("minExtra") or 0),
        retry_ratio=float(rules.get("extraRatio") or 0.0),
    )


def order_key_pause(raw_settings: RawSettings) -> int:
    """How long an order key rests after an attempt that may still run."""
    rules = raw_settings.get("safety") or {}
    return ticks_ceil(rules.get("orderPauseUs") or 0)


def guard_terms(raw_settings: RawSettings) -> GuardTerms:
    """What the guard of the invariants needs."""
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
    """The wire's names of reported values against the fields of `LoadReport`."""
    engines = raw_settings.get("familyInfo") or {}
    names = dict(REPORT_FIELDS)
    for wire_name, key in CONFIGURABLE_VALUES:
        if engines.get(key) in CONFIGURABLE_FIELDS:
            names[wire_name] = CONFIGURABLE_FIELDS[engines[key]]
    return names


def load_report(names: dict[str, str], values: dict[str, Any] | None) -> LoadReport | None:
    """A load report of values by the wire's names; `names` is from `report_names`."""
    if not values:
        return None
    fields = {
        names[name]: float(value) for name, value in values.items() if name in names and value is not None
    }
    return LoadReport(**fields)


def open_gateway(
    transport: Transport, seed: int, raw_settings: RawSettings, polls_load: bool = False
) -> Gateway:
    """The decisions under these settings.

    Args:
        transport: What the decisions call out through.
        seed: The seed of all chance in them.
        raw_settings: The settings, in which nothing is wrong (see `settings_validation`).
        polls_load: Whether a probe on this wire brings a load report. On sockets it does not.
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
