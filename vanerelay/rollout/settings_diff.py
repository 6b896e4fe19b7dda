"""Which settings the fleet shares, and which of two values is the stricter. Pure.

A rule that is a sum over all gateways (4, the slices) or that each keeps for its part (7) holds while
releases stand beside each other only if everybody goes by the stricter value; the looser comes in force once
all have it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SharedSetting:
    """A setting by its path. `reason`: what it is a part of; `stricter` picks one of two values."""

    path: str
    reason: str
    stricter: Callable[[Any, Any], Any]


SHARED_SETTINGS = (
    SharedSetting("safety.coldFrom", "rule 4: what a cold engine may be sent by all", min),
    SharedSetting("safety.coldUs", "rule 4: how long it counts as cold", max),
    SharedSetting("safety.fallMultiple", "rule 4: the budget of all managers together", min),
    SharedSetting(
        "safety.overloadForUs", "rule 4: the window of that budget, in which each counts what it sent", max
    ),
    SharedSetting("safety.drainGraceUs", "rule 3: until when a drained engine may be sent to", min),
    SharedSetting("safety.orderPauseUs", "rule 5: how long a key rests", max),
    SharedSetting("safety.ratioSpanUs", "rule 7: the window of the ration", max),
    SharedSetting("safety.minExtra", "rule 7: the ration's fixed part", min),
    SharedSetting("safety.extraRatio", "rule 7: the ration's part of what comes", min),
    SharedSetting(
        "groupSize", "slices: among how many managers an engine's memory and threads are divided", max
    ),
    SharedSetting("limits.maxAttempts", "what one batch may cost the engines", min),
    SharedSetting("limits.maxRetryAfterUs", "how long clients may be told to stay away", min),
)


def _value_at(settings: Mapping[str, Any], path: str) -> Any:
    block, _, name = path.rpartition(".")
    inner = settings.get(block) if block else settings
    return inner.get(name) if isinstance(inner, Mapping) else None


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[SharedSetting]:
    """The shared settings in which two releases differ."""
    return [one for one in SHARED_SETTINGS if _value_at(old, one.path) != _value_at(new, one.path)]


def stricter(base: Mapping[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    """`base` with the stricter value of both in all that is shared.

    Where only one of them has a value, that one holds.
    """
    result: dict[str, Any] = copy.deepcopy(dict(base))
    for setting in differences(base, other):
        block, _, name = setting.path.rpartition(".")
        target = result.setdefault(block, {}) if block else result
        target[name] = _stricter_value(setting, _value_at(base, setting.path), _value_at(other, setting.path))
    return result


def _stricter_value(setting: SharedSetting, one: Any, other: Any) -> Any:
    if other is None:
        return one
    return other if one is None else setting.stricter(one, other)
