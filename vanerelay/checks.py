"""The settings looked through before they are used: the first that is wrong, in one line. Nothing chooses.

What is not told keeps its default; names nobody knows are let be, as new ones may come."""
from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from vanerelay import terms

REPORTS = ("piggyback", "pull", "silent")
# What a running instance cannot take over: its connections, its place and its messages were made for these.
AT_START = {"limits": ("multiplex", "connIdleUs", "dialTimeoutUs", "cancel", "secondCopies", "peers",
                       "maxAttempts"),
            "": ("kinds", "failureDomains", "position", "groupSize", "az", "report")}


def wrong(profile: Any) -> str | None:
    """Why these settings cannot be used, naming the key; None if they can."""
    return next(_faults(profile), None)


def fixed(old: Mapping[str, Any], new: Mapping[str, Any]) -> str | None:
    """The first setting that differs and takes a restart; None if the new ones can be switched to."""
    for part, names in AT_START.items():
        was, now = (old.get(part) or {}, new.get(part) or {}) if part else (old, new)
        for name in names:
            if was.get(name) != now.get(name):
                at = f"{part}.{name}" if part else name
                return f"{at}: {now.get(name)!r}, expected {was.get(name)!r} until a restart"
    return None


def _faults(profile: Any) -> Iterator[str]:
    if not isinstance(profile, dict):
        yield "settings: expected an object"
        return
    kinds, places = (profile.get(name) or [] for name in ("kinds", "failureDomains"))
    classes = profile.get("classes")
    if not isinstance(classes, list) or not classes:
        yield "classes: expected a list of service groups"
        return
    for row, group in enumerate(classes):
        at = f"classes[{row}]"
        if not isinstance(group, dict):
            yield f"{at}: expected an object"
            return
        for name in ("aimUs", "deadlineUs"):
            if name not in group:
                yield f"{at}.{name}: not told, expected a time in microseconds"
        yield from _figures(at, group, {"aimUs": 0, "deadlineUs": 1, "windowUs": 0, "aimStretch": 0,
                                        "importance": 0, "lateWorth": 0})
        yield from _word(f"{at}.semantics", group.get("semantics"), tuple(terms.EFFECTS), needed=True)
        yield from _word(f"{at}.dedupScope", group.get("dedupScope"), tuple(terms.SCOPES))
        yield from _marks(at, group, ("inTurn",))
        yield from _bound(f"{at}.kindsOnly", group.get("kindsOnly"), len(kinds), "kinds")
        yield from _bound(f"{at}.staysIn", group.get("staysIn"), len(places), "failureDomains")
    for part in ("familyInfo", "limits", "safety", "report"):
        if not isinstance(profile.get(part) or {}, dict):
            yield f"{part}: {profile[part]!r}, expected an object"
            return
    info, limits, rules = (profile.get(part) or {} for part in ("familyInfo", "limits", "safety"))
    yield from _figures("familyInfo", info, {"progressUs": 0, "grantCap": 0})
    yield from _word("familyInfo.memoryShort", info.get("memoryShort"), tuple(terms.SHORTAGES))
    yield from _marks("familyInfo", info, ("takesGrants", "lanesCount", "bills"))
    for name, least in (("parallelism", 1), ("cpuOfKind", 0), ("memoryByKindMb", 0)):
        values = info.get(name) or []
        if not isinstance(values, list):
            yield f"familyInfo.{name}: {values!r}, expected a list"
            continue
        rows = range(len(values))
        yield from _figures(f"familyInfo.{name}", dict(enumerate(values)), dict.fromkeys(rows, least))
    yield from _figures("limits", limits, {
        "maxAttempts": 1, "maxOpen": 0, "multiplex": 1, "dialTimeoutUs": 0, "connIdleUs": 0,
        "maxRetryAfterUs": 0})
    yield from _marks("limits", limits, ("cancel", "secondCopies", "probes", "peers", "retryAfter"))
    yield from _figures("safety", rules, {
        "coldFrom": 0, "coldUs": 0, "fallMultiple": 1, "overloadForUs": 0, "drainGraceUs": 0,
        "orderPauseUs": 0, "ratioSpanUs": 0, "minExtra": 0, "extraRatio": 0})
    yield from _word("report.how", (profile.get("report") or {}).get("how"), REPORTS)
    yield from _figures("", profile, {"position": 0, "groupSize": 1, "az": 0, "tickUs": 0})


def _figures(at: str, told: Mapping[Any, Any], least: Mapping[Any, float]) -> Iterator[str]:
    for name, bound in least.items():
        value = told.get(name)
        if value is not None and (isinstance(value, bool) or not isinstance(value, (int, float))
                                  or not bound <= value < float("inf")):
            where = f"{at}[{name}]" if isinstance(name, int) else f"{at}.{name}".lstrip(".")
            yield f"{where}: {value!r}, expected a figure of {bound} or more"


def _marks(at: str, told: Mapping[str, Any], names: Sequence[str]) -> Iterator[str]:
    for name in names:
        if not isinstance(told.get(name, False), (bool, type(None))):
            yield f"{at}.{name}: {told[name]!r}, expected true or false"


def _word(at: str, value: Any, words: Sequence[str], needed: bool = False) -> Iterator[str]:
    if value is None and not needed:
        return
    if not isinstance(value, str) or value not in words:
        yield f"{at}: {value!r}, expected one of {', '.join(words)}"


def _bound(at: str, value: Any, number: int, listed: str) -> Iterator[str]:
    if value is None:
        return
    if not isinstance(value, list):
        yield f"{at}: {value!r}, expected a list of places in {listed}"
        return
    for one in value:
        if isinstance(one, bool) or not isinstance(one, int) or not 0 <= one < number:
            yield f"{at}: {one!r}, expected a place in {listed}, 0 to {number - 1}"
