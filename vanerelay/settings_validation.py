"""The settings looked through before they are used: the first that is wrong, in one line. Nothing chooses.

What is not told keeps its default; names nobody knows are let be, as new ones may come. By hand, as the
platform's start carries no library for it (requirements.txt)."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from vanerelay import settings

Leaf = tuple[str, Callable[[Any], bool]]  # what is expected, and whether a value is that

NEEDED = ("classes", "aimUs", "deadlineUs", "semantics")
# What a running instance cannot take over: its connections, its place and its messages were made for these.
AT_START = (
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


def wrong(profile: Any) -> str | None:
    """Why these settings cannot be used, naming the key; None if they can."""
    return next(_faults("", profile, _wanted(profile)), None)


def doubtful(profile: Mapping[str, Any]) -> str | None:
    """What can be started with, as it always could, and is surely not meant: the first of it, in one line.
    `check` and a rolling change refuse it. For settings in which nothing is wrong."""
    info, kinds = profile.get("familyInfo") or {}, profile.get("kinds") or []
    number, size = profile.get("position") or 0, profile.get("groupSize") or 1
    if number >= size:
        return f"position: {number}, expected less than the {size} of groupSize"
    for name in ("cpuOfKind", "memoryByKindMb"):
        told = info.get(name)
        if told is not None and len(told) < len(kinds):
            return f"familyInfo.{name}: {told!r}, expected a figure for each of {len(kinds)} kinds"
        for row, value in enumerate(told or ()):
            if not value:
                return f"familyInfo.{name}[{row}]: {value!r}, expected more than 0"
    return None


def fixed(old: Mapping[str, Any], new: Mapping[str, Any]) -> str | None:
    """The first setting that differs and takes a restart; None if the new ones can be switched to."""
    for at in AT_START:
        part, _, name = at.rpartition(".")
        was, now = ((told.get(part) or {} if part else told).get(name) for told in (old, new))
        if was != now:
            return f"{at}: {now!r}, expected {was!r} until a restart"
    return None


def _figure(least: float = 0) -> Leaf:
    return f"a figure of {least} or more", lambda v: type(v) in (int, float) and least <= v < float("inf")


def _word(words: Iterable[str]) -> Leaf:
    return f"one of {', '.join(words)}", lambda v: isinstance(v, str) and v in words


def _place(profile: Any, name: str) -> Leaf:
    listed = profile.get(name) if isinstance(profile, dict) else None
    number = len(listed) if isinstance(listed, list) else 0
    return f"a place among the {number} in {name}", lambda v: type(v) is int and 0 <= v < number


def _wanted(profile: Any) -> dict[str, Any]:
    text, mark = ("text", lambda v: isinstance(v, str)), ("true or false", lambda v: isinstance(v, bool))
    figure, times = _figure(), _figure(settings.MICROS)  # shorter ones the module's time cannot tell from 0
    return {
        "classes": [
            {
                "name": text,
                "aimUs": times,
                "deadlineUs": times,
                "windowUs": figure,
                "aimStretch": figure,
                "importance": figure,
                "lateWorth": figure,
                "semantics": _word(settings.EFFECTS),
                "dedupScope": _word(settings.SCOPES),
                "inTurn": mark,
                "kindsOnly": [_place(profile, "kinds")],
                "staysIn": [_place(profile, "failureDomains")],
            }
        ],
        "kinds": [text],
        "failureDomains": [text],
        "orgs": [{"name": text}],
        "familyInfo": {
            "progressUs": figure,
            "grantCap": figure,
            "memoryShort": _word(settings.SHORTAGES),
            "takesGrants": mark,
            "lanesCount": mark,
            "bills": mark,
            "parallelism": [_figure(1)],
            "cpuOfKind": [figure],
            "memoryByKindMb": [figure],
            "writesTables": [mark],
            "waitsForLoads": [mark],
        },
        "limits": {
            "maxAttempts": _figure(1),
            "maxOpen": figure,
            "multiplex": _figure(1),
            "dialTimeoutUs": figure,
            "connIdleUs": figure,
            "maxRetryAfterUs": figure,
            "cancel": mark,
            "secondCopies": mark,
            "probes": mark,
            "peers": mark,
            "retryAfter": mark,
        },
        "safety": {
            "fallMultiple": _figure(1),
            **dict.fromkeys(
                (
                    "coldFrom",
                    "coldUs",
                    "overloadForUs",
                    "drainGraceUs",
                    "orderPauseUs",
                    "ratioSpanUs",
                    "minExtra",
                    "extraRatio",
                ),
                figure,
            ),
        },
        "report": {"how": _word(("piggyback", "pull", "silent"))},
        "position": figure,
        "groupSize": _figure(1),
        "az": figure,
        "tickUs": figure,
    }


def _faults(at: str, value: Any, wanted: Any) -> Iterator[str]:
    if isinstance(wanted, dict) and not isinstance(value, dict):
        yield f"{at or 'settings'}: {value!r}, expected an object"
    elif isinstance(wanted, dict):
        for name, inner in wanted.items():
            where = f"{at}.{name}" if at else name
            if value.get(name) not in (None, []):
                yield from _faults(where, value[name], inner)
            elif name in NEEDED:
                yield f"{where}: not told, expected it"
    elif isinstance(wanted, list) and not isinstance(value, list):
        yield f"{at}: {value!r}, expected a list"
    elif isinstance(wanted, list):
        for row, one in enumerate(value):
            yield from _faults(f"{at}[{row}]", one, wanted[0])
    elif not wanted[1](value):
        yield f"{at}: {value!r}, expected {wanted[0]}"
