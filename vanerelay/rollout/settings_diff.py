"""Which settings the fleet shares, and which of two values is the stricter. Pure.

A rule that is a sum over all managers (4, the slices) or that each keeps for its part (7) holds while
releases stand beside each other only if everybody goes by the stricter value; the looser comes in force once
all have it."""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Shared:
    """A setting by its path. `why`: of which sum it is a part; `stricter` picks of two values."""

    path: str
    why: str
    stricter: Callable[[Any, Any], Any]


TABLE = (
    Shared("safety.coldFrom", "rule 4: what a cold engine may be sent by all", min),
    Shared("safety.coldUs", "rule 4: how long it counts as cold", max),
    Shared("safety.fallMultiple", "rule 4: the budget of all managers together", min),
    Shared(
        "safety.overloadForUs", "rule 4: the window of that budget, in which each counts what it sent", max
    ),
    Shared("safety.drainGraceUs", "rule 3: until when a drained engine may be sent to", min),
    Shared("safety.orderPauseUs", "rule 5: how long a key rests", max),
    Shared("safety.ratioSpanUs", "rule 7: the window of the ration", max),
    Shared("safety.minExtra", "rule 7: the ration's fixed part", min),
    Shared("safety.extraRatio", "rule 7: the ration's part of what comes", min),
    Shared("groupSize", "slices: among how many managers an engine's memory and threads are divided", max),
    Shared("limits.maxAttempts", "what one batch may cost the engines", min),
    Shared("limits.maxRetryAfterUs", "how long clients may be told to stay away", min),
)


def _at(settings: Mapping[str, Any], path: str) -> Any:
    part, _, name = path.rpartition(".")
    inner = settings.get(part) if part else settings
    return inner.get(name) if isinstance(inner, Mapping) else None


def differ(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Shared]:
    """The shared settings in which two releases differ."""
    return [one for one in TABLE if _at(old, one.path) != _at(new, one.path)]


def stricter(base: Mapping[str, Any], other: Mapping[str, Any]) -> dict[str, Any]:
    """`base` with the stricter value of both in all that is shared. What only one of them tells counts as
    told."""
    found: dict[str, Any] = copy.deepcopy(dict(base))
    for one in differ(base, other):
        mine, theirs = _at(base, one.path), _at(other, one.path)
        value = mine if theirs is None else theirs if mine is None else one.stricter(mine, theirs)
        part, _, name = one.path.rpartition(".")
        at = found
        if part:
            at = found.setdefault(part, {})
        at[name] = value
    return found
