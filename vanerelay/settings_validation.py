"""The settings looked through before they are used: the first that is wrong, in one line. Nothing chooses.

What is left out keeps its default; names nobody knows are let be, as new ones may come. Written by hand, as
the platform's start carries no library for it (requirements.txt).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from vanerelay import settings

REQUIRED = ("classes", "aimUs", "deadlineUs", "semantics")
"""Keys that have no default."""

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
"""What a running gateway cannot take over: its connections, place and messages were made for these."""

SAFETY_NUMBERS = (
    "coldFrom",
    "coldUs",
    "overloadForUs",
    "drainGraceUs",
    "orderPauseUs",
    "ratioSpanUs",
    "minExtra",
    "extraRatio",
)
"""Keys of the safety rules that are plain numbers of 0 or more."""

PER_KIND = ("cpuOfKind", "memoryByKindMb")
"""Lists that need a number for each machine kind."""


@dataclass(frozen=True, slots=True)
class Expectation:
    """What a single value has to be: in words, and as a test."""

    text: str
    is_met: Callable[[Any], bool]


Schema = dict[str, Any]
"""By key: an Expectation, a Schema of an object, or a list of one of them for all its values."""


def find_error(raw_settings: Any) -> str | None:
    """Why these settings cannot be used, naming the key; None if they can."""
    return next(_errors("", raw_settings, _schema(raw_settings)), None)


def find_doubt(raw_settings: Mapping[str, Any]) -> str | None:
    """What can be started with, as it always could, and is surely not meant; the first of it, in one line.

    `check` and a rolling change refuse it. For settings in which nothing is wrong.
    """
    engines, kinds = raw_settings.get("familyInfo") or {}, raw_settings.get("kinds") or []
    position, size = raw_settings.get("position") or 0, raw_settings.get("groupSize") or 1
    if position >= size:
        return f"position: {position}, expected less than the {size} of groupSize"
    for name in PER_KIND:
        numbers = engines.get(name)
        if numbers is not None and len(numbers) < len(kinds):
            return f"familyInfo.{name}: {numbers!r}, expected a figure for each of {len(kinds)} kinds"
        for row, value in enumerate(numbers or ()):
            if not value:
                return f"familyInfo.{name}[{row}]: {value!r}, expected more than 0"
    return None


def find_restart_setting(old: Mapping[str, Any], new: Mapping[str, Any]) -> str | None:
    """The first setting that differs and takes a restart; None if the new ones can be switched to."""
    for path in RESTART_SETTINGS:
        before, after = _value_at(old, path), _value_at(new, path)
        if before != after:
            return f"{path}: {after!r}, expected {before!r} until a restart"
    return None


def _value_at(raw_settings: Mapping[str, Any], path: str) -> Any:
    section, _, name = path.rpartition(".")
    if not section:
        return raw_settings.get(name)
    return (raw_settings.get(section) or {}).get(name)


TEXT = Expectation("text", lambda value: isinstance(value, str))
FLAG = Expectation("true or false", lambda value: isinstance(value, bool))


def _number(least: float = 0) -> Expectation:
    return Expectation(
        f"a figure of {least} or more",
        lambda value: type(value) in (int, float) and least <= value < float("inf"),
    )


def _one_of(words: Iterable[str]) -> Expectation:
    return Expectation(f"one of {', '.join(words)}", lambda value: isinstance(value, str) and value in words)


def _index_into(raw_settings: Any, name: str) -> Expectation:
    listed = raw_settings.get(name) if isinstance(raw_settings, dict) else None
    size = len(listed) if isinstance(listed, list) else 0
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
        "safety": {"fallMultiple": _number(1), **dict.fromkeys(SAFETY_NUMBERS, _number())},
        "report": {"how": _one_of(("piggyback", "pull", "silent"))},
        "position": _number(),
        "groupSize": _number(1),
        "az": _number(),
        "tickUs": _number(),
    }


def _class_schema(raw_settings: Any) -> Schema:
    duration = _number(settings.MICROSECONDS_PER_TICK)  # shorter ones could not be told from 0
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
    """All that is wrong with a value, in the order of the schema."""
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
        inner_path = f"{path}.{name}" if path else name
        if value.get(name) not in (None, []):
            yield from _errors(inner_path, value[name], expected)
        elif name in REQUIRED:
            yield f"{inner_path}: not told, expected it"


def _list_errors(path: str, value: Any, expected: Any) -> Iterator[str]:
    if not isinstance(value, list):
        yield f"{path}: {value!r}, expected a list"
        return
    for row, inner in enumerate(value):
        yield from _errors(f"{path}[{row}]", inner, expected)
