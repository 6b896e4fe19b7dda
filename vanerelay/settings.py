"""The settings, one JSON object on both wires, turned into the interface's types. Nothing here chooses."""

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

MICROS = 100  # microseconds in one unit of the module's time

EFFECTS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.DEDUPLICATED,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
SHORTAGES = {"queue": MemoryShortage.WAIT, "trim": MemoryShortage.SHRINK, "swap": MemoryShortage.PAGE}
REPORTED = {"busy_reqs": "running", "pending": "queued", "cpu_share": "cores_busy"}
LOADS = frozenset({"running", "cores_busy", "memory_granted", "disks_busy"})  # of which a share can be told
EXTRAS = {"share of memory granted": "memory_granted", "share of disks busy": "disks_busy"}


def down(micros: float) -> int:
    """Microseconds to module time, rounded down."""
    return int(micros // MICROS)


def up(micros: float) -> int:
    """Microseconds to module time, rounded up."""
    return -int(-micros // MICROS)


def service_groups(profile: dict[str, Any]) -> list[ServiceClass]:
    info = profile.get("familyInfo") or {}

    def listed(name: str, row: int, default: Any) -> Any:
        values = info.get(name) or []
        return values[row] if row < len(values) else default

    return [
        ServiceClass(
            name=str(row if c.get("name") is None else c["name"]),
            latency_objective=down(c["aimUs"]),
            objective_stretch=float(c.get("aimStretch") or 0.0),
            deadline=down(c["deadlineUs"]),
            value=1.0 if c.get("importance") is None else float(c["importance"]),
            late_value=float(c.get("lateWorth") or 0.0),
            idempotency=EFFECTS[c["semantics"]],
            deduplication_scope=SCOPES[c.get("dedupScope") or "all"],
            deduplication_window=down(c.get("windowUs") or 0),
            ordered=bool(c.get("inTurn")),
            zones=None if c.get("staysIn") is None else tuple(c["staysIn"]),
            machine_kinds=None if c.get("kindsOnly") is None else tuple(c["kindsOnly"]),
            threads=int(listed("parallelism", row, 1)),
            is_data_load=bool(listed("writesTables", row, False)),
            waits_for_data_loads=bool(listed("waitsForLoads", row, False)),
        )
        for row, c in enumerate(profile["classes"])
    ]


def machine_kinds(profile: dict[str, Any]) -> list[MachineKind]:
    info = profile.get("familyInfo") or {}
    cores, memory = info.get("cpuOfKind") or [], info.get("memoryByKindMb") or []
    return [
        MachineKind(
            int(cores[row]) if row < len(cores) else 0, float(memory[row]) if row < len(memory) else 0.0
        )
        for row in range(len(profile.get("kinds") or []))
    ]


def place(profile: dict[str, Any]) -> FleetPosition:
    return FleetPosition(
        int(profile.get("position") or 0), int(profile.get("groupSize") or 1), int(profile.get("az") or 0)
    )


def allowances(profile: dict[str, Any]) -> Capabilities:
    limits, info = profile.get("limits") or {}, profile.get("familyInfo") or {}
    report, names = profile.get("report") or {}, report_names(profile)
    told = {names[column] for column in report.get("columns") or [] if column in names}
    return Capabilities(
        max_attempts=int(limits.get("maxAttempts") or 1),
        may_cancel=bool(limits.get("cancel")),
        may_hedge=bool(limits.get("secondCopies")),
        may_probe=bool(limits.get("probes")),
        may_gossip=bool(limits.get("peers")),
        sends_retry_after=bool(limits.get("retryAfter")),
        max_retry_after=down(limits.get("maxRetryAfterUs") or 0),
        sends_memory_grants=bool(info.get("takesGrants")),
        max_grant_share=float(info.get("grantCap") or 1.0),
        sends_priorities=bool(info.get("lanesCount")),
        reports_cost=bool(info.get("bills")),
        progress_interval=up(info.get("progressUs") or 0),
        memory_shortage=SHORTAGES[info.get("memoryShort") or "queue"],
        subscribes_to_list=profile.get("discovery") == "on_request",
        polls_load=bool(limits.get("probes")) and report.get("how") == "pull" and not LOADS.isdisjoint(told),
    )


def cold_start(profile: dict[str, Any]) -> SlowStartTerms:
    rules = profile.get("safety") or {}
    return SlowStartTerms(
        float(rules.get("coldFrom") or 1.0),
        up(rules.get("coldUs") or 0),
        float(rules.get("fallMultiple") or 1.0),
        up(rules.get("overloadForUs") or 0),
    )


def ration_terms(profile: dict[str, Any]) -> RetryBudgetTerms:
    rules = profile.get("safety") or {}
    return RetryBudgetTerms(
        up(rules.get("ratioSpanUs") or 0),
        int(rules.get("minExtra") or 0),
        float(rules.get("extraRatio") or 0.0),
    )


def guard_terms(profile: dict[str, Any]) -> GuardTerms:
    allowed = allowances(profile)
    return GuardTerms(
        service_classes=service_groups(profile),
        machine_kinds=machine_kinds(profile),
        retry_budget=ration_terms(profile),
        slow_start=cold_start(profile),
        max_attempts=allowed.max_attempts,
        may_hedge=allowed.may_hedge,
    )


def order_pause(profile: dict[str, Any]) -> int:
    return up((profile.get("safety") or {}).get("orderPauseUs") or 0)


def report_names(profile: dict[str, Any]) -> dict[str, str]:
    """The wire's names of reported values against the fields of LoadReport."""
    info = profile.get("familyInfo") or {}
    names = dict(REPORTED)
    for wire_name, key in (("x0", "reportX0"), ("x1", "reportX1")):
        if info.get(key) in EXTRAS:
            names[wire_name] = EXTRAS[info[key]]
    return names


def load_report(names: dict[str, str], values: dict[str, Any] | None) -> LoadReport | None:
    if not values:
        return None
    return LoadReport(**{names[k]: float(v) for k, v in values.items() if k in names and v is not None})


def open_gateway(transport: Transport, seed: int, profile: dict[str, Any], asks: bool = False) -> Gateway:
    """The decision module with its own few settings each, whichever wire brought them. `asks`: a probe
    on this wire brings a report of load; on sockets `UP` tells nothing of it."""
    allowed = allowances(profile)
    settings = GatewaySettings(
        service_classes=service_groups(profile),
        machine_kinds=machine_kinds(profile),
        position=place(profile),
        capabilities=dataclasses.replace(allowed, polls_load=asks and allowed.polls_load),
        slow_start=cold_start(profile),
        retry_budget=ration_terms(profile),
        order_key_pause=order_pause(profile),
        tick=up(profile.get("tickUs") or 0),
    )
    return Gateway(transport, seed, settings)
