"""Reads scenarios of the laboratory (HCL) into plain values. Nothing here chooses, and nothing is started."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any, TypeVar

from vanerelay.interface import SECOND, Duration
from vanerelay.lab import scenario_texts
from vanerelay.lab.engine_model import SlowStart
from vanerelay.lab.scenario_config import (
    ACTIONS_BY_TARGET,
    ClientBehaviour,
    EngineGroup,
    Expectation,
    Fault,
    FolderFate,
    GatewayGroup,
    ProcessFile,
    Program,
    Publication,
    Release,
    RetryBudget,
    Scenario,
    ServiceClass,
    SettingValues,
)
from vanerelay.operator_config import Block, OperatorConfigError, read_file

T = TypeVar("T")
DEFAULT_LENGTH = 20 * SECOND
DEFAULT_DISCOVERY_DELAY = SECOND // 2
GRACE_PAST_DEADLINE = SECOND
"""After the longest deadline of the last query, until everything must have been answered."""
DEFAULT_ENGINE_KIND = "k"


def find(name: str) -> str:
    """The path of a scenario, given by its path or by the name of one that comes with the laboratory."""
    ours = scenario_texts.SCENARIOS / f"{name}.hcl"
    return str(ours) if "/" not in name and not name.endswith(".hcl") and ours.exists() else name


class _Document:
    """A scenario and the one that it includes.

    It has the blocks of both; what there is once comes from the scenario itself first.
    """

    def __init__(self, path: str) -> None:
        self._own = read_file(find(path))
        base = self._own.attribute("include", str, "")
        self._base = read_file(str(Path(find(path)).parent / f"{base}.hcl")) if base else None

    def blocks(self, name: str) -> list[Block]:
        return [*(self._base.blocks(name) if self._base is not None else ()), *self._own.blocks(name)]

    def find_block(self, name: str) -> Block | None:
        base = self._base.find_block(name) if self._base is not None else None
        return self._own.find_block(name) or base

    def attribute(self, name: str, kind: Any, default: Any = None) -> Any:
        base = self._base.attribute(name, kind, default) if self._base is not None else default
        return self._own.attribute(name, kind, base)

    def fill(self, name: str, kind: type[T]) -> T:
        """The block of a name; the defaults where there is none."""
        block = self.find_block(name)
        return _fill(block, kind) if block is not None else kind()

    def reject_unknown(self) -> None:
        self._own.reject_unknown()
        if self._base is not None:
            self._base.reject_unknown()

    def error(self, reason: str) -> OperatorConfigError:
        return self._own.error(reason)


def load(path: str) -> Scenario:
    """Reads a scenario. Raises OperatorConfigError with the line of what is wrong."""
    document = _Document(path)
    service_classes = tuple(_service_class(block) for block in document.blocks("group"))
    engine_groups = tuple(
        _fill(block, EngineGroup, kind=block.label or DEFAULT_ENGINE_KIND)
        for block in document.blocks("engines")
    )
    gateways = document.find_block("managers")
    releases = tuple(_release(block) for block in document.blocks("release"))
    release_names = {release.name for release in releases}
    faults = tuple(_fault(block, release_names) for block in document.blocks("fault"))
    if not service_classes or not engine_groups or gateways is None:
        raise document.error("no group, engines or managers, expected at least one of each")
    scenario = Scenario(
        name=document.attribute("name", str, Path(path).stem),
        length=document.attribute("length", Duration, DEFAULT_LENGTH),
        service_classes=service_classes,
        engine_groups=engine_groups,
        gateways=_gateways(gateways),
        releases=releases,
        programs=tuple(_program(block) for block in document.blocks("program")),
        clients=document.fill("clients", ClientBehaviour),
        slow_start=document.fill("cold", SlowStart),
        retry_budget=document.fill("ration", RetryBudget),
        faults=faults,
        publications=tuple(
            _fill(block, Publication, name=block.label) for block in document.blocks("publication")
        ),
        expectation=document.fill("expect", Expectation),
        settings=_settings(document),
        discovery_delay=document.attribute("feed_late", Duration, DEFAULT_DISCOVERY_DELAY),
        grace=max(one.deadline for one in service_classes) + GRACE_PAST_DEADLINE,
    )
    document.reject_unknown()
    return scenario


def _fill(block: Block, kind: type[T], /, **given: Any) -> T:
    filled = block.fill(kind, **given)
    block.reject_unknown()
    return filled


def _service_class(block: Block) -> ServiceClass:
    found = _fill(block, ServiceClass, name=block.label)
    if not found.name:
        raise block.error('group: no name, expected one, such as group "look"')
    return found


def _gateways(block: Block) -> GatewayGroup:
    found = _fill(block, GatewayGroup, files=_files(block))
    return dataclasses.replace(found, operator_file=_expanded(block, found.operator_file))


def _release(block: Block) -> Release:
    found = _fill(block, Release, name=block.label, settings=_settings(block))
    return dataclasses.replace(found, operator_file=_expanded(block, found.operator_file))


def _program(block: Block) -> Program:
    return _fill(block, Program, name=block.label, files=_files(block))


def _files(block: Block) -> tuple[ProcessFile, ...]:
    return tuple(_file(one) for one in block.blocks("file"))


def _file(block: Block) -> ProcessFile:
    settings = _settings(block) if block.attribute("settings", dict[str, Any]) is not None else None
    found = _fill(block, ProcessFile, name=block.label, settings=settings)
    return dataclasses.replace(found, text=_expanded(block, found.text))


def _expanded(block: Block, text: str) -> str:
    """A text of a block, with the shared texts that it includes."""
    try:
        return scenario_texts.expand(text, Path(block.file).parent)
    except scenario_texts.IncludeError as error:
        raise block.error(str(error)) from error


def _settings(block: Block | _Document) -> SettingValues:
    """Settings of gateways by their path, such as "limits.maxAttempts" = 2."""
    values = block.attribute("settings", dict[str, Any], {})
    return tuple((path.strip('"'), value) for path, value in values.items())


def _fault(block: Block, release_names: set[str]) -> Fault:
    found = _fill(block, Fault, name=block.label, settings=_settings(block))
    targets = list(found.targets)
    if len(targets) > 1:
        raise block.error(f"fault {block.label}: {' and '.join(targets)}, expected one of them")
    actions = ACTIONS_BY_TARGET[targets[0] if targets else ""]
    if found.action not in actions:
        raise block.error(f"do: {found.action!r}, expected one of {', '.join(actions)}", "do")
    fates = [fate.value for fate in FolderFate]
    if found.folder not in fates:
        raise block.error(f"folder: {found.folder!r}, expected one of {', '.join(fates)}", "folder")
    if found.release and found.release not in release_names:
        expected = ", ".join(sorted(release_names))
        raise block.error(f"release: {found.release!r}, expected one of {expected}", "release")
    return found


__all__ = ["OperatorConfigError", "Scenario", "find", "load"]
