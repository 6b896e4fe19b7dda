"""A rolling change as operators write it (HCL), read into the plan of `stages.py` and what goes with it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from vanerelay import settings_validation
from vanerelay.fleet import release
from vanerelay.interface import SECOND, Duration
from vanerelay.leases.config import LeasesConfig as LeaseParts
from vanerelay.leases.config import read_config as lease_parts
from vanerelay.operator_config import Block, OperatorConfigError, read_file
from vanerelay.rollout import settings_diff
from vanerelay.rollout.canary_analysis import AnalysisTerms, Guard
from vanerelay.rollout.stage_machine import NEW, NEW_STRICT, OLD, OLD_STRICT, Away, Plan, Stage, Worse

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Reached:
    """A manager: where its fleet listener is, and its keeper's, if it has one."""

    name: str
    address: str
    domain: str = ""
    keeper: str = ""


@dataclass(frozen=True, slots=True)
class Change:
    """What changes: `settings`, the file with the new ones (the old ones in `from`, a configuration or
    settings file), or `program`, the release as keepers know it, and `back`, the one to go back to."""

    settings: str = ""
    before: str = ""
    program: str = ""
    back: str = ""


@dataclass(frozen=True, slots=True)
class Loaded:
    """A plan ready to go. `bodies`: the settings of each of the four, as JSON; `digests`: by which a manager
    is known to run each of them; `baseline`: how long all are watched before anything is changed; `record`:
    the controller's file; `text`: the plan as it was read."""

    plan: Plan
    terms: AnalysisTerms
    guards: dict[str, Guard]
    managers: dict[str, Reached]
    change: Change
    bodies: dict[str, bytes]
    digests: dict[str, str]
    baseline: Duration
    record: str
    text: str
    shared: tuple[str, ...] = ()
    leases: LeaseParts | None = None  # under which of all controllers one acts; None: by majority of managers

    def runs(self, settings: str, program: str) -> frozenset[str]:
        """Which of the four a manager runs that tells these settings (a digest) and this program (as its
        keeper knows it)."""
        told = program if self.change.program else settings
        return frozenset(name for name, one in self.digests.items() if one == told)


def load(path: str) -> Loaded:
    """Raises OperatorConfigError with the line of what is wrong: everything is checked before anything moves."""
    document = read_file(path)
    change_block, managers = document.only("change"), document.all("member")
    stages, guards = document.all("stage"), document.all("guard")
    if change_block is None or not managers or not stages:
        raise document.wrong("no change, member or stage, expected one change and at least one of each")
    reached = {one.label: _filled(one, Reached, name=one.label) for one in managers}
    change = _filled(change_block, Change)
    old, new = _releases(change_block, change, Path(path).parent)
    plan_stages = tuple(_stage(one, reached) for one in stages)
    terms = _one(document, "judge", AnalysisTerms, stages=len(plan_stages))
    away = _one(document, "away", Away)
    bodies, digests = _runs(change, old, new)
    name = document.take("name", str, Path(path).stem)
    leases = document.only("leases")
    settings = new or old
    loaded = Loaded(
        plan=Plan(
            name=name,
            managers=tuple((one.name, one.domain) for one in reached.values()),
            stages=plan_stages,
            away=away,
            worse=_word(document, "worse", Worse.BACK),
            unclear=_word(document, "unclear", Worse.HOLD),
            strict=len(set(bodies.values())) > 2,
            restarts=bool(change.program),
            control=document.take("control", int, 1 if change.program else 0),
            longest=terms.longest,
            away_for=document.take("away_for", Duration, 60 * SECOND),
        ),
        terms=terms,
        guards=_guards(guards, [str(group["name"]) for group in (settings or {}).get("classes", ())]),
        managers=reached,
        change=change,
        bodies=bodies,
        digests=digests,
        baseline=document.take("baseline", Duration, 20 * SECOND),
        record=document.take("record", str, str(Path(path).with_suffix(".record"))),
        text=Path(path).read_text(encoding="utf-8"),
        leases=lease_parts(leases) if leases is not None else None,
        shared=tuple(f"{one.path}: {one.why}" for one in settings_diff.differ(old, new))
        if old and new
        else (),
    )
    document.done()
    return loaded


def _releases(block: Block, change: Change, folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    if bool(change.settings) == bool(change.program):
        raise block.wrong("change: settings or program, expected one of them")
    if change.program:
        if not change.back:
            raise block.wrong("change: no back, expected the release to go back to")
        return (_settings(block, folder, "before", change.before),) * 2 if change.before else ({}, {})
    if not change.before:
        raise block.wrong("change: no before, expected the file with the settings of now")
    old, new = (_settings(block, folder, name, getattr(change, name)) for name in ("before", "settings"))
    why = settings_validation.find_restart_setting(old, new)
    if why is not None:
        raise block.wrong(f"settings: {why}", "settings")
    if release.settings(old) == release.settings(new):
        raise block.wrong("settings: the same as before, expected something that changes", "settings")
    return old, new


def _settings(block: Block, folder: Path, name: str, path: str) -> dict[str, Any]:
    """Settings, alone or in a configuration."""
    try:
        told = json.loads((folder / path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise block.wrong(f"{path}: {fault}", name) from None
    found = told.get("settings", told) if isinstance(told, dict) else told
    why = settings_validation.find_error(found) or settings_validation.find_doubt(found)
    if why is not None:
        raise block.wrong(f"{path}: {why}", name)
    return dict(found)


def _runs(
    change: Change, old: dict[str, Any], new: dict[str, Any]
) -> tuple[dict[str, bytes], dict[str, str]]:
    if change.program:
        names = {OLD: change.back, OLD_STRICT: change.back, NEW_STRICT: change.program, NEW: change.program}
        return {name: told.encode() for name, told in names.items()}, names
    four = {
        OLD: old,
        OLD_STRICT: settings_diff.stricter(old, new),
        NEW_STRICT: settings_diff.stricter(new, old),
        NEW: new,
    }
    bodies = {
        name: json.dumps({key: value for key, value in told.items() if key not in release.OWN}).encode()
        for name, told in four.items()
    }
    return bodies, {name: release.settings(told) for name, told in four.items()}


def _stage(block: Block, managers: dict[str, Reached]) -> Stage:
    found = _filled(block, Stage, name=block.label)
    given = [name for name in ("managers", "part", "domain") if getattr(found, name)]
    if len(given) != 1:
        raise block.wrong(f"stage {block.label}: expected one of managers, part, domain")
    if found.domain and found.domain not in {one.domain for one in managers.values()}:
        raise block.wrong(f"domain: {found.domain!r}, expected that of a member", "domain")
    if found.part > 1.0:
        raise block.wrong(f"part: {found.part}, expected 1 at most", "part")
    return found


def _guards(blocks: list[Block], groups: list[str]) -> dict[str, Guard]:
    """Of the groups named; where none is, the same for all that the settings tell."""
    if not blocks:
        return {group: Guard() for group in groups}
    found = dict[str, Guard]()
    for block in blocks:
        if groups and block.label not in groups:
            raise block.wrong(f"guard {block.label!r}, expected one of {', '.join(groups)}")
        found[block.label] = _filled(block, Guard)
    return found


def _word(document: Block, name: str, default: Worse) -> Worse:
    told = document.take(name, str, default.value)
    if told not in {word.value for word in Worse}:
        raise document.wrong(f"{name}: {told!r}, expected back or hold", name)
    return Worse(told)


def _one(document: Block, name: str, kind: type[T], **given: Any) -> T:
    block = document.only(name)
    return _filled(block, kind, **given) if block is not None else kind(**given)


def _filled(block: Block, kind: type[T], **given: Any) -> T:
    found = block.fill(kind, **given)
    block.done()
    return found


__all__ = ["OperatorConfigError", "Loaded", "Reached", "load"]
