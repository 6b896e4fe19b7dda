"""Validates the settings before they are used, and describes the first error in one line.

A missing setting has its default, and unknown keys are ignored, as later versions may add keys. The checks
are written by hand because the platform's installation (requirements.txt) includes no validation library.
No scheduling decision is made here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from vanerelay import settings

REQUIRED_KEYS = ("classes", "aimUs", "deadlineUs", "semantics")
"""Keys that must be present, as they have no default."""

RESTART_SETTINGS = (
    "kinds",
    "failureDomains",
    "position",
    "groupSize",
    "az",
    "report",
    "limits.maxAttempts",
    "limits.multiplex",
    "limits.connIdleUs",
    "limits.dialTimeoutUs",
    "limits.cancel",
    "limits.secondCopies",
    "limits.peers",
)
"""Settings that a running gateway cannot change without a restart.

Its connections, its position among the gateways and its messages depend on the values it started with.
"""

SAFETY_NUMBER_KEYS = (
    "coldFrom",
    "coldUs",
    "overloadForUs",
    "drainGraceUs",
    "orderPauseUs",
    "ratioSpanUs",
    "minExtra",
    "extraRatio",
)
"""Keys under `safety` whose values are numbers of 0 or more."""

PER_MACHINE_KIND_KEYS = ("cpuOfKind", "memoryByKindMb")
"""Keys under `familyInfo` of the lists that need one number for each machine kind."""


@dataclass(frozen=True, slots=True)
class Expectation:
    """The condition that a single value has to meet.

    Attributes:
        text: The condition as it stands in error messages, after "expected".
        is_met: Returns True if a value meets the condition.
    """

    text: str
    is_met: Callable[[Any], bool]


Schema = dict[str, Any]
"""The expected value of each key of an object.

This is an Expectation, the Schema of a nested object, or a list with one of these as its only item, which
then applies to every element of the value.
"""


def find_error(raw_settings: Any) -> str | None:
    """Returns the first reason, with its key, why these settings cannot be used; None if they are valid."""
    return next(_errors("", raw_settings, _schema(raw_settings)), None)


def find_suspect_setting(raw_settings: Mapping[str, Any]) -> str | None:
    """Returns the first setting that is valid but certainly a mistake, in one line; None if there is none.

    A gateway starts with such settings, as it always did, but `check` and rolling changes reject them. The
    settings must be valid: `find_error` returned None for them.
    """
    engine_settings, kinds = raw_settings.get("familyInfo") or {}, raw_settings.get("kinds") or []
    position, gateway_count = raw_settings.get("position") or 0, raw_settings.get("groupSize") or 1
    if position >= gateway_count:
        return f"position: {position}, expected less than {gateway_count}, the value of groupSize"
    for name in PER_MACHINE_KIND_KEYS:
        numbers = engine_settings.get(name)
        if numbers is not None and len(numbers) < len(kinds):
            return f"familyInfo.{name}: {numbers!r}, expected a number for each of {len(kinds)} machine kinds"
        for row, value in enumerate(numbers or ()):
            if not value:
                return f"familyInfo.{name}[{row}]: {value!r}, expected a number greater than 0"
    return None


def find_restart_setting(old: Mapping[str, Any], new: Mapping[str, Any]) -> str | None:
    """Returns the first changed setting that needs a restart; None if `new` can be applied without one.

    Args:
        old: The settings in force.
        new: The settings to apply.
    """
    for path in RESTART_SETTINGS:
        old_value, new_value = _value_at(old, path), _value_at(new, path)
        if old_value != new_value:
            return f"{path}: {new_value!r}, expected {old_value!r} until a restart"
    return None


def _value_at(raw_settings: Mapping[str, Any], path: str) -> Any:
    section, _, name = path.rpartition(".")
    if not section:
        return raw_settings.get(name)
    return (raw_settings.get(section) or {}).get(name)


TEXT = Expectation("text", lambda value: isinstance(value, str))
FLAG = Expectation("true or false", lambda value: isinstance(value, bool))


def _number(minimum: float = 0) -> Expectation:
    return Expectation(
        f"a figure of {minimum} or more",
        lambda value: type(value) in (int, float) and minimum <= value < float("inf"),
    )


def _one_of(choices: Iterable[str]) -> Expectation:
    return Expectation(
        f"one of {', '.join(choices)}", lambda value: isinstance(value, str) and value in choices
    )


def _index_into(raw_settings: Any, name: str) -> Expectation:
    rows = raw_settings.get(name) if isinstance(raw_settings, dict) else None
    size = len(rows) if isinstance(rows, list) else 0
    return Expectation(
        f"a place among the {size} in {name}", lambda value: type(value) is int and 0 <= value < size
    )


def _schema(raw_settings: Any) -> Schema:
    return {
        "classes": [_class_schema(raw_settings)],
        "kinds": [TEXT],
        "failureDomains": [TEXT],
        "orgs": [{"name": TEXT}],
        "familyInfo": _engine_schema(),
        "limits": _limits_schema(),
        "safety": {"fallMultiple": _number(1), **dict.fromkeys(SAFETY_NUMBER_KEYS, _number())},
        "report": {"how": _one_of(("piggyback", "pull", "silent"))},
        "position": _number(),
        "groupSize": _number(1),
        "az": _number(),
        "tickUs": _number(),
    }


def _class_schema(raw_settings: Any) -> Schema:
    duration = _number(settings.MICROSECONDS_PER_TICK)  # a shorter one would round down to 0 ticks
    return {
        "name": TEXT,
        "aimUs": duration,
        "deadlineUs": duration,
        "windowUs": _number(),
        "aimStretch": _number(),
        "importance": _number(),
        "lateWorth": _number(),
        "semantics": _one_of(settings.IDEMPOTENCY),
        "dedupScope": _one_of(settings.DEDUPLICATION_SCOPES),
        "inTurn": FLAG,
        "kindsOnly": [_index_into(raw_settings, "kinds")],
        "staysIn": [_index_into(raw_settings, "failureDomains")],
    }


def _engine_schema() -> Schema:
    return {
        "progressUs": _number(),
        "grantCap": _number(),
        "memoryShort": _one_of(settings.MEMORY_SHORTAGES),
        "takesGrants": FLAG,
        "lanesCount": FLAG,
        "bills": FLAG,
        "parallelism": [_number(1)],
        "cpuOfKind": [_number()],
        "memoryByKindMb": [_number()],
        "writesTables": [FLAG],
        "waitsForLoads": [FLAG],
    }


def _limits_schema() -> Schema:
    return {
        "maxAttempts": _number(1),
        "maxOpen": _number(),
        "multiplex": _number(1),
        "dialTimeoutUs": _number(),
        "connIdleUs": _number(),
        "maxRetryAfterUs": _number(),
        "cancel": FLAG,
        "secondCopies": FLAG,
        "probes": FLAG,
        "peers": FLAG,
        "retryAfter": FLAG,
    }


def _errors(path: str, value: Any, expected: Any) -> Iterator[str]:
    """Yields all errors of a value, which stands at `path` in the settings, in the order of the schema."""
    if isinstance(expected, dict):
        yield from _object_errors(path, value, expected)
    elif isinstance(expected, list):
        yield from _list_errors(path, value, expected[0])
    elif not expected.is_met(value):
        yield f"{path}: {value!r}, expected {expected.text}"


def _object_errors(path: str, value: Any, schema: Schema) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path or 'settings'}: {value!r}, expected an object"
        return
    for name, expected in schema.items():
        key_path = f"{path}.{name}" if path else name
        if value.get(name) not in (None, []):
            yield from _errors(key_path, value[name], expected)
        elif name in REQUIRED_KEYS:
            yield f"{key_path}: not told, expected it"


def _list_errors(path: str, value: Any, expected: Any) -> Iterator[str]:
    if not isinstance(value, list):
        yield f"{path}: {value!r}, expected a list"
        return
    for row, element in enumerate(value):
        yield from _errors(f"{path}[{row}]", element, expected)
