"""How the operators' files, commands and settings are read, as plain values that no rename changes."""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import click

from vanerelay import operator_config, settings
from vanerelay.cli import main
from vanerelay.lab import scenario
from vanerelay.rollout import plan_reader, supervisor

CLASSES = {"classes": [{"name": "look", "aimUs": 750000, "deadlineUs": 4000000, "semantics": "pure"}]}
OLD = {**CLASSES, "kinds": ["k"], "groupSize": 2, "limits": {"maxOpen": 5}, "safety": {"minExtra": 3}}
NEW = {**OLD, "limits": {"maxOpen": 6}, "safety": {"minExtra": 2}}
UNKNOWN = re.compile(r"# unknown: (\S+)")


def plain(value: Any) -> Any:
    """Values alone: the fields of a dataclass in their order, an enum's place among its members."""
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Mapping):
        return {str(key): plain(inner) for key, inner in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(inner) for inner in value]
    return (
        sorted(value)
        if isinstance(value, frozenset)
        else value.decode()
        if isinstance(value, bytes)
        else value
    )


def _plan(path: Path) -> list[Any]:
    """What a plan says; not where it lies, and of shared settings their paths alone."""
    found = plan_reader.load(str(path))
    names = [field.name for field in dataclasses.fields(found) if field.name not in ("record_path", "text")]
    *told, shared, leases = [getattr(found, name) for name in names]
    return [*told, [one.partition(":")[0] for one in shared], leases]


LOADERS: dict[str, Callable[[Path], Any]] = {
    "options.hcl": lambda path: operator_config.read_subsystems(str(path)),
    "plan.hcl": _plan,
    "program-plan.hcl": _plan,
    "supervisor.hcl": lambda path: supervisor.load(str(path)),
    "scenario.hcl": lambda path: scenario.load(str(path)),
}


def read_file(name: str, text: str, folder: Path) -> Any:
    """A file of the operators with this text, read beside the settings that plans name."""
    (folder / "old.json").write_text(json.dumps(OLD))
    (folder / "new.json").write_text(json.dumps(NEW))
    (folder / name).write_text(text)
    return plain(LOADERS[name](folder / name))


def known_keys(name: str, text: str, block: str, folder: Path) -> str:
    """What the reader says is known where a block has a key that nobody knows."""
    try:
        read_file(name, text.replace(f"# unknown: {block}\n", "zzz = 1\n"), folder)
    except operator_config.OperatorConfigError as fault:
        return str(fault).rpartition("expected one of ")[2]
    return "no fault"


def _commands(group: click.Group, above: str) -> Iterator[tuple[str, click.Command]]:
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        assert command is not None
        yield f"{above}{name}", command
        if isinstance(command, click.Group):
            yield from _commands(command, f"{above}{name} ")


def commands() -> dict[str, list[list[Any]]]:
    """Every command with its arguments and options: names, kinds of value, defaults, environment."""
    return {
        name: [
            [
                one.param_type_name,
                [] if one.param_type_name == "argument" else [*one.opts, *one.secondary_opts],
                one.type.name,
                one.required,
                one.nargs,
                one.multiple,
                str(one.envvar),
                getattr(one, "is_flag", False),
                getattr(one, "hidden", False),
                str(getattr(one.type, "choices", "")),
                str(one.metavar or ""),
            ]
            for one in command.params
        ]
        for name, command in _commands(main, "")
    }


SETTINGS = {
    "name": "prod",
    "az": 1,
    "position": 2,
    "groupSize": 5,
    "tickUs": 5100,
    "kinds": ["k", "l"],
    "failureDomains": ["here", "there"],
    "orgs": [{"name": "acme"}],
    "discovery": "on_request",
    "classes": [
        {
            "name": "look",
            "aimUs": 750100,
            "aimStretch": 1.5,
            "deadlineUs": 4000200,
            "importance": 3.5,
            "lateWorth": 0.25,
            "semantics": "token",
            "dedupScope": "cell",
            "windowUs": 5000300,
            "inTurn": True,
            "staysIn": [1],
            "kindsOnly": [0, 1],
        },
        {"name": None, "aimUs": 1, "deadlineUs": 2, "semantics": "side_effect", "dedupScope": "zone"},
        {"name": "read", "aimUs": 100, "deadlineUs": 200, "semantics": "pure", "dedupScope": "all"},
    ],
    "familyInfo": {
        "memoryByKindMb": [32768.5, 1000],
        "cpuOfKind": [16, 7],
        "parallelism": [3, 2],
        "writesTables": [True, False],
        "waitsForLoads": [False, True],
        "takesGrants": True,
        "grantCap": 0.45,
        "lanesCount": True,
        "bills": True,
        "progressUs": 250050,
        "memoryShort": "trim",
        "reportX0": "share of memory granted",
        "reportX1": "share of disks busy",
    },
    "limits": {
        "maxAttempts": 4,
        "cancel": True,
        "secondCopies": False,
        "probes": True,
        "peers": False,
        "retryAfter": True,
        "maxRetryAfterUs": 3000400,
        "maxOpen": 1000,
        "multiplex": 32,
        "dialTimeoutUs": 250000,
        "connIdleUs": 30000000,
    },
    "report": {"how": "pull", "columns": ["x0", "cpu_share"]},
    "safety": {
        "coldFrom": 0.35,
        "coldUs": 10000500,
        "fallMultiple": 4.25,
        "overloadForUs": 2000600,
        "orderPauseUs": 700700,
        "ratioSpanUs": 8000800,
        "minExtra": 11,
        "extraRatio": 0.125,
        "drainGraceUs": 900900,
    },
}
VARIANTS = {
    "full": SETTINGS,
    "least": CLASSES,
    "swapped": {
        **SETTINGS,
        "discovery": "watch",
        "familyInfo": {**SETTINGS["familyInfo"], "memoryShort": "swap", "takesGrants": False},
        "limits": {
            **SETTINGS["limits"],
            "cancel": False,
            "secondCopies": True,
            "peers": True,
            "probes": False,
        },
    },
}


class Recorder:
    """A transport that does nothing."""

    now = 0

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *values: None


def settings_read(profile: dict[str, Any], monkeypatch: Any) -> list[Any]:
    """What the decisions, the guard and the reports are told of these settings."""
    given: list[Any] = []
    monkeypatch.setattr(settings, "Gateway", lambda transport, seed, told: given.append(plain(told)))
    for asks in (False, True):
        settings.open_gateway(Recorder(), 1, profile, asks)
    names = settings.report_names(profile)
    report = settings.load_report(names, {"busy_reqs": 1, "pending": 2, "cpu_share": 3, "x0": 4, "x1": 5})
    return [*given, plain(settings.guard_terms(profile)), sorted(names), plain(report)]
