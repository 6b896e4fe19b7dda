"""Reads the plan of a rolling change from an operator's HCL file, with all that a controller needs for it."""

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

DEFAULT_MAX_CONFIRMATION_TIME = 60 * SECOND
DEFAULT_BASELINE_TIME = 20 * SECOND
STAGE_SIZES = {"managers": "gateways", "part": "fraction", "domain": "domain"}
"""The keys of a stage that give its size, of which exactly one is expected, and the fields they fill."""


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """The addresses of a gateway.

    Attributes:
        name: The name of the gateway.
        address: The address of its fleet listener.
        domain: Its failure domain.
        supervisor: The address of its supervisor; empty if it has none.
    """

    name: str
    address: str
    domain: str = ""
    supervisor: str = config_field("keeper", default="")


@dataclass(frozen=True, slots=True)
class Change:
    """The content of a change: either settings or a program.

    Attributes:
        settings: The path of the file with the new settings.
        old_settings: The path of the file with the present settings, alone or within a configuration.
        program: The supervisors' name for the new release of the program.
        old_program: The supervisors' name for the release to return to in a rollback.
    """

    settings: str = ""
    old_settings: str = config_field("before", default="")
    program: str = ""
    old_program: str = config_field("back", default="")


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A change that has been read and checked.

    Attributes:
        plan: The plan for the stage machine.
        terms: The parameters of the canary analysis.
        guards: The limits of the canary analysis, by service class.
        gateways: The addresses of the gateways, by name.
        change: The content of the change.
        bodies: The body of an order for each release: settings as JSON, or the program's name.
        digests: The digest of settings, or the program's name, that a gateway on each release reports.
        baseline_time: The time for which all gateways are observed before the first one is changed.
        record_path: The path of the controller's record.
        text: The plan as it was read.
        shared_settings: The settings shared by the fleet that differ, in text for operators.
        leases: The configuration of the lease under which one controller acts at a time. If None, a majority
            of gateways decides which controller acts.
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

    def matching_releases(self, settings: str, program: str) -> frozenset[str]:
        """Returns the releases that match a gateway's report of its settings digest and program."""
        reported = program if self.change.program else settings
        return frozenset(name for name, digest in self.digests.items() if digest == reported)


def load(path: str) -> RolloutPlan:
    """Reads and checks the plan at `path` and all files that it names, before any gateway is changed.

    Raises:
        OperatorConfigError: The plan or a file is invalid; the message gives the line in the plan.
    """
    document = read_file(path)
    change_block, member_blocks = document.find_block("change"), document.blocks("member")
    stage_blocks, guard_blocks = document.blocks("stage"), document.blocks("guard")
    if change_block is None or not member_blocks or not stage_blocks:
        raise document.error("no change, member or stage, expected one change and at least one of each")
    gateways = {block.label: _fill(block, GatewayAddress, name=block.label) for block in member_blocks}
    change = _fill(change_block, Change)
    old, new = _read_releases(change_block, change, Path(path).parent)
    stages = tuple(_read_stage(block, gateways) for block in stage_blocks)
    terms = _read_optional(document, "judge", AnalysisTerms, stages=len(stages))
    limits = _read_optional(document, "away", AvailabilityLimits)
    bodies, digests = _order_bodies(change, old, new)
    name = document.attribute("name", str, Path(path).stem)
    leases = document.find_block("leases")
    plan = Plan(
        name=name,
        gateways=tuple((gateway.name, gateway.domain) for gateway in gateways.values()),
        stages=stages,
        limits=limits,
        on_worse=_failure_action(document, "worse", FailureAction.ROLL_BACK),
        on_unclear=_failure_action(document, "unclear", FailureAction.HOLD),
        uses_stricter_settings=len(set(bodies.values())) > 2,
        restarts=bool(change.program),
        control_restarts=document.attribute("control", int, 1 if change.program else 0),
        max_stage_time=terms.max_stage_time,
        max_confirmation_time=document.attribute("away_for", Duration, DEFAULT_MAX_CONFIRMATION_TIME),
    )
    class_names = [str(service_class["name"]) for service_class in (new or old or {}).get("classes", ())]
    rollout_plan = RolloutPlan(
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
    return rollout_plan


def _shared_settings(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[str, ...]:
    if not old or not new:
        return ()
    return tuple(
        f"{difference.path}: {difference.reason}" for difference in settings_diff.differences(old, new)
    )


def _read_releases(block: Block, change: Change, folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """Returns the settings of the old and of the new release; both empty if the change names none."""
    if bool(change.settings) == bool(change.program):
        raise block.error("change: expected exactly one of settings and program")
    if change.program:
        if not change.old_program:
            raise block.error("change: back is missing, expected the release to return to in a rollback")
        if not change.old_settings:
            return {}, {}
        settings = _read_settings(block, folder, "before", change.old_settings)
        return settings, settings
    if not change.old_settings:
        raise block.error("change: before is missing, expected the file with the present settings")
    old = _read_settings(block, folder, "before", change.old_settings)
    new = _read_settings(block, folder, "settings", change.settings)
    reason = settings_validation.find_restart_setting(old, new)
    if reason is not None:
        raise block.error(f"settings: {reason}", "settings")
    if release.settings_digest(old) == release.settings_digest(new):
        raise block.error("settings: the same as before, expected something that changes", "settings")
    return old, new


def _read_settings(block: Block, folder: Path, key: str, path: str) -> dict[str, Any]:
    """Returns the settings of a file, which has them alone or within a configuration."""
    try:
        content = json.loads((folder / path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise block.error(f"{path}: {error}", key) from error
    settings = content.get("settings", content) if isinstance(content, dict) else content
    reason = settings_validation.find_error(settings) or settings_validation.find_suspect_setting(settings)
    if reason is not None:
        raise block.error(f"{path}: {reason}", key)
    return dict(settings)


def _order_bodies(
    change: Change, old: dict[str, Any], new: dict[str, Any]
) -> tuple[Mapping[str, bytes], Mapping[str, str]]:
    """Returns the body of an order for each release, and the digest that a gateway on it reports."""
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
    bodies = {name: _encode_shared_settings(content) for name, content in settings.items()}
    return bodies, {name: release.settings_digest(content) for name, content in settings.items()}


def _encode_shared_settings(settings: Mapping[str, Any]) -> bytes:
    """Encodes the body of an order for settings, without those that differ between gateways."""
    return json.dumps(
        {key: value for key, value in settings.items() if key not in release.PER_GATEWAY_SETTINGS}
    ).encode()


def _read_stage(block: Block, gateways: Mapping[str, GatewayAddress]) -> Stage:
    stage = _fill(block, Stage, name=block.label)
    given_sizes = [key for key, field in STAGE_SIZES.items() if getattr(stage, field)]
    if len(given_sizes) != 1:
        raise block.error(f"stage {block.label}: expected one of managers, part, domain")
    if stage.domain and stage.domain not in {gateway.domain for gateway in gateways.values()}:
        raise block.error(f"domain: {stage.domain!r}, expected the domain of a member", "domain")
    if stage.fraction > 1.0:
        raise block.error(f"part: {stage.fraction}, expected 1 at most", "part")
    return stage


def _read_guards(blocks: list[Block], class_names: list[str]) -> dict[str, Guard]:
    """Returns the limits of the service classes in the plan; by default the same for all classes."""
    if not blocks:
        return {name: Guard() for name in class_names}
    guards = dict[str, Guard]()
    for block in blocks:
        if class_names and block.label not in class_names:
            raise block.error(f"guard {block.label!r}, expected one of {', '.join(class_names)}")
        guards[block.label] = _fill(block, Guard)
    return guards


def _failure_action(document: Block, key: str, default: FailureAction) -> FailureAction:
    action_name = document.attribute(key, str, default.value)
    if action_name not in {action.value for action in FailureAction}:
        raise document.error(f"{key}: {action_name!r}, expected back or hold", key)
    return FailureAction(action_name)


def _read_optional(document: Block, name: str, kind: type[T], **fields: Any) -> T:
    block = document.find_block(name)
    return _fill(block, kind, **fields) if block is not None else kind(**fields)


def _fill(block: Block, kind: type[T], **fields: Any) -> T:
    instance = block.fill(kind, **fields)
    block.reject_unknown()
    return instance
