"""The settings that take effect across the whole fleet, and the stricter of two values of each. Pure.

Some rules limit a sum over all gateways (rule 4, the slices), others are kept by each gateway for its own
part (rule 7). While two releases run side by side, these rules hold only if all gateways apply the stricter
value. The looser value takes effect once all gateways have it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SharedSetting:
    """A setting that the fleet shares.

    Attributes:
        path: The path of the setting, such as "safety.coldFrom".
        reason: The rule that the setting belongs to, and what it sets there; printed to operators.
        stricter: Returns the stricter of two values.
    """

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
    """Returns the shared settings in which two releases differ."""
    return [
        setting for setting in SHARED_SETTINGS if _value_at(old, setting.path) != _value_at(new, setting.path)
    ]


def stricter(base: Mapping[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    """Returns `base` with the stricter value of `base` and `other` for each shared setting.

    If only one of them has a value, that value is used.
    """
    result: dict[str, Any] = copy.deepcopy(dict(base))
    for setting in differences(base, other):
        block, _, name = setting.path.rpartition(".")
        target = result.setdefault(block, {}) if block else result
        target[name] = _stricter_value(setting, _value_at(base, setting.path), _value_at(other, setting.path))
    return result


def _stricter_value(setting: SharedSetting, base: Any, other: Any) -> Any:
    if other is None:
        return base
    return other if base is None else setting.stricter(base, other)
