"""What managers of a play are told: configuration and settings made from a script. Pure."""

from __future__ import annotations

import copy
from typing import Any

from vanerelay.interface import Idempotency
from vanerelay.lab.scenario import Script

MICROS = 100  # in the module's unit
EFFECTS = {
    Idempotency.IDEMPOTENT: "pure",
    Idempotency.DEDUPLICATED: "token",
    Idempotency.NON_IDEMPOTENT: "side_effect",
}


def settings(script: Script, number: int, told: tuple[tuple[str, Any], ...] = ()) -> dict[str, Any]:
    """The settings of one manager: the script's, with `told` by path over them."""
    managers, places = script.managers, script.locations
    kinds = list(dict.fromkeys(one.kind for one in script.engines))
    found: dict[str, Any] = {
        "classes": [
            {
                "name": group.name,
                "aimUs": group.goal * MICROS,
                "deadlineUs": group.limit * MICROS,
                "importance": group.utility,
                "semantics": EFFECTS[group.effect],
                "dedupScope": "all",
                "windowUs": group.window * MICROS,
                "staysIn": [places.index(place) for place in group.locations] or None,
            }
            for group in script.groups
        ],
        "orgs": [],
        "kinds": kinds,
        "failureDomains": places,
        "az": places.index(managers.locations[number % len(managers.locations)]),
        "groupSize": managers.count,
        "position": number,
        "tickUs": 5000,
        "familyInfo": {
            "memoryByKindMb": [script.machine(kind).memory for kind in kinds],
            "cpuOfKind": [script.machine(kind).cores for kind in kinds],
            "parallelism": [group.threads for group in script.groups],
            "grantCap": 0.4,
            "takesGrants": True,
            "reportX0": "share of memory granted",
            "bills": True,
        },
        "limits": {
            "maxAttempts": 3,
            "maxOpen": 2000,
            "multiplex": 32,
            "dialTimeoutUs": 250000,
            "connIdleUs": 30000000,
            "cancel": True,
            "retryAfter": True,
            "maxRetryAfterUs": 2000000,
            "peers": managers.talk,
        },
        "safety": {
            "coldFrom": script.cold.share,
            "coldUs": script.cold.warm * MICROS,
            "fallMultiple": script.cold.multiple,
            "overloadForUs": script.cold.window * MICROS,
            "ratioSpanUs": script.ration.span * MICROS,
            "minExtra": script.ration.free,
            "extraRatio": script.ration.share,
        },
        "report": {"how": "piggyback"},
    }
    return overlaid(found, (*script.settings, *told))


def overlaid(settings: dict[str, Any], told: tuple[tuple[str, Any], ...]) -> dict[str, Any]:
    """With values by path, such as `limits.maxAttempts` or `classes.0.aimUs`. Raises KeyError, IndexError."""
    found = copy.deepcopy(settings)
    for path, value in told:
        *parts, last = path.split(".")
        at: Any = found
        for part in parts:
            at = at[int(part)] if isinstance(at, list) else at[part]
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    return found
