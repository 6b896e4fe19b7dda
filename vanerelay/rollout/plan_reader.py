"""Reads a rolling change as operators write it (HCL): the plan, and all that a controller needs beside it."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from vanerelay import settings_validation
from vanerelay.config_field import config_field
from vanerelay.fleet import release
from vanerelay.interface import SECOND, Duration
from vanerelay.leases import config as leases_config
from vanerelay.leases.config import LeasesConfig
from vanerelay.operator_config import Block, OperatorConfigError, read_file
from vanerelay.rollout import settings_diff
from vanerelay.rollout.canary_analysis import AnalysisTerms, Guard
from vanerelay.rollout.change_plan import AvailabilityLimits, FailureAction, Plan, Stage
from vanerelay.rollout.events import Release

__all__ = ["OperatorConfigError", "Change", "GatewayAddress", "RolloutPlan", "load"]

T = TypeVar("T")

DEFAULT_MAX_AWAY = 60 * SECOND
DEFAULT_BASELINE_TIME = 20 * SECOND
STAGE_SIZES = {"managers": "gateways", "part": "fraction", "domain": "domain"}
"""Keys of a stage, one of which says how far it goes, with the fields that they fill."""


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """A gateway: where its fleet listener is, and its supervisor's, if it has one."""

    name: str
    address: str
    domain: str = ""
    supervisor: str = config_field("keeper", default="")


@dataclass(frozen=True, slots=True)
class Change:
    """What changes: settings, or the program.

    Attributes:
        settings: the file with the new settings.
        old_settings: the file with those of now, a configuration or settings alone.
        program: the new release, as supervisors know it.
        old_program: the release to go back to.
    """

    settings: str = ""
    old_settings: str = config_field("before", default="")
    program: str = ""
    old_program: str = config_field("back", default="")


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A change that is ready to go.

    Attributes:
        plan: what the stage machine goes by.
        terms, guards: what the canary analysis goes by.
        gateways: by name.
        change: what changes.
        bodies: what is ordered for each release: settings as JSON, or the program's name.
        digests: by which a gateway is known to run each release.
        baseline_time: how long all are observed before anything is changed.
        record_path: the controller's record.
        text: the plan as it was read.
        shared_settings: those that differ, for people.
        leases: the lease under which one of all controllers acts; None: by a majority of gateways.
    """

    plan: Plan
    terms: AnalysisTerms
    guards: dict[str, Guard]
    gateways: dict[str, GatewayAddress]
    change: Change
    bodies: Mapping[str, bytes]
    digests: Mapping[str, str]
    baseline_time: Duration
    record_path: str
    text: str
    shared_settings: tuple[str, ...] = ()
    leases: LeasesConfig | None = None

    def releases_run(self, settings: str, program: str) -> frozenset[str]:
        """Which releases a gateway runs that reports this settings digest and this program."""
        reported = program if self.change.program else settings
        return frozenset(name for name, digest in self.digests.items() if digest == reported)


def load(path: str) -> RolloutPlan:
    """Reads and checks everything before anything moves.

    Raises:
        OperatorConfigError: with the line of what is wrong.
    """
    document = read_file(path)
    change_block, members = document.find_block("change"), document.blocks("member")
    stage_blocks, guard_blocks = document.blocks("stage"), document.blocks("guard")
    if change_block is None or not members or not stage_blocks:
        raise document.error("no change, member or stage, expected one change and at least one of each")
    gateways = {block.label: _filled(block, GatewayAddress, name=block.label) for block in members}
    change = _filled(change_block, Change)
    old, new = _read_releases(change_block, change, Path(path).parent)
    stages = tuple(_read_stage(block, gateways) for block in stage_blocks)
    terms = _only(document, "judge", AnalysisTerms, stages=len(stages))
    limits = _only(document, "away", AvailabilityLimits)
    bodies, digests = _orders(change, old, new)
    name = document.attribute("name", str, Path(path).stem)
    leases = document.find_block("leases")
    plan = Plan(
        name=name,
        gateways=tuple((one.name, one.domain) for one in gateways.values()),
        stages=stages,
        limits=limits,
        on_worse=_failure_action(document, "worse", FailureAction.ROLL_BACK),
        on_unclear=_failure_action(document, "unclear", FailureAction.HOLD),
        uses_stricter_settings=len(set(bodies.values())) > 2,
        restarts=bool(change.program),
        control_restarts=document.attribute("control", int, 1 if change.program else 0),
        max_stage_time=terms.max_stage_time,
        max_away_time=document.attribute("away_for", Duration, DEFAULT_MAX_AWAY),
    )
    class_names = [str(one["name"]) for one in (new or old or {}).get("classes", ())]
    loaded = RolloutPlan(
        plan=plan,
        terms=terms,
        guards=_read_guards(guard_blocks, class_names),
        gateways=gateways,
        change=change,
        bodies=bodies,
        digests=digests,
        baseline_time=document.attribute("baseline", Duration, DEFAULT_BASELINE_TIME),
        record_path=document.attribute("record", str, str(Path(path).with_suffix(".record"))),
        text=Path(path).read_text(encoding="utf-8"),
        leases=leases_config.read_config(leases) if leases is not None else None,
        shared_settings=_shared_settings(old, new),
    )
    document.reject_unknown()
    return loaded


def _shared_settings(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[str, ...]:
    if not old or not new:
        return ()
    return tuple(f"{one.path}: {one.reason}" for one in settings_diff.differences(old, new))


def _read_releases(block: Block, change: Change, folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """The settings of the old and of the new release; empty where the change names none."""
    if bool(change.settings) == bool(change.program):
        raise block.error("change: settings or program, expected one of them")
    if change.program:
        if not change.old_program:
            raise block.error("change: no back, expected the release to go back to")
        if not change.old_settings:
            return {}, {}
        settings = _read_settings(block, folder, "before", change.old_settings)
        return settings, settings
    if not change.old_settings:
        raise block.error("change: no before, expected the file with the settings of now")
    old = _read_settings(block, folder, "before", change.old_settings)
    new = _read_settings(block, folder, "settings", change.settings)
    reason = settings_validation.find_restart_setting(old, new)
    if reason is not None:
        raise block.error(f"settings: {reason}", "settings")
    if release.settings_digest(old) == release.settings_digest(new):
        raise block.error("settings: the same as before, expected something that changes", "settings")
    return old, new


def _read_settings(block: Block, folder: Path, key: str, path: str) -> dict[str, Any]:
    """Settings, alone or in a configuration."""
    try:
        content = json.loads((folder / path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise block.error(f"{path}: {error}", key) from error
    settings = content.get("settings", content) if isinstance(content, dict) else content
    reason = settings_validation.find_error(settings) or settings_validation.find_suspect_setting(settings)
    if reason is not None:
        raise block.error(f"{path}: {reason}", key)
    return dict(settings)


def _orders(
    change: Change, old: dict[str, Any], new: dict[str, Any]
) -> tuple[Mapping[str, bytes], Mapping[str, str]]:
    """What is ordered for each release, and by which digest a gateway is known to run it."""
    if change.program:
        programs: dict[str, str] = {
            Release.OLD: change.old_program,
            Release.OLD_STRICT: change.old_program,
            Release.NEW_STRICT: change.program,
            Release.NEW: change.program,
        }
        return {name: program.encode() for name, program in programs.items()}, programs
    settings: dict[str, dict[str, Any]] = {
        Release.OLD: old,
        Release.OLD_STRICT: settings_diff.stricter(old, new),
        Release.NEW_STRICT: settings_diff.stricter(new, old),
        Release.NEW: new,
    }
    bodies = {name: _shared_body(one) for name, one in settings.items()}
    return bodies, {name: release.settings_digest(one) for name, one in settings.items()}


def _shared_body(settings: Mapping[str, Any]) -> bytes:
    """Settings as they are ordered: without those that each gateway has of its own."""
    return json.dumps(
        {key: value for key, value in settings.items() if key not in release.PER_GATEWAY_SETTINGS}
    ).encode()


def _read_stage(block: Block, gateways: Mapping[str, GatewayAddress]) -> Stage:
    stage = _filled(block, Stage, name=block.label)
    given = [key for key, field in STAGE_SIZES.items() if getattr(stage, field)]
    if len(given) != 1:
        raise block.error(f"stage {block.label}: expected one of managers, part, domain")
    if stage.domain and stage.domain not in {one.domain for one in gateways.values()}:
        raise block.error(f"domain: {stage.domain!r}, expected that of a member", "domain")
    if stage.fraction > 1.0:
        raise block.error(f"part: {stage.fraction}, expected 1 at most", "part")
    return stage


def _read_guards(blocks: list[Block], class_names: list[str]) -> dict[str, Guard]:
    """Of the classes named; where none is, the same for all classes of the settings."""
    if not blocks:
        return {name: Guard() for name in class_names}
    guards = dict[str, Guard]()
    for block in blocks:
        if class_names and block.label not in class_names:
            raise block.error(f"guard {block.label!r}, expected one of {', '.join(class_names)}")
        guards[block.label] = _filled(block, Guard)
    return guards


def _failure_action(document: Block, key: str, default: FailureAction) -> FailureAction:
    written = document.attribute(key, str, default.value)
    if written not in {action.value for action in FailureAction}:
        raise document.error(f"{key}: {written!r}, expected back or hold", key)
    return FailureAction(written)


def _only(document: Block, name: str, kind: type[T], **given: Any) -> T:
    block = document.find_block(name)
    return _filled(block, kind, **given) if block is not None else kind(**given)


def _filled(block: Block, kind: type[T], **given: Any) -> T:
    filled = block.fill(kind, **given)
    block.reject_unknown()
    return filled
