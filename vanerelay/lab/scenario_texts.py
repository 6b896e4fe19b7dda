"""Texts that several scenarios share: plans of rolling changes, blocks of operators' files.

A line `@INCLUDE name@` in a text of a scenario stands for the content of `shared/name.hcl`: beside the
scenario if it is there, else among the scenarios that come with the laboratory. Shared texts may include
others.
"""

from __future__ import annotations

import re
from pathlib import Path

SCENARIOS = Path(__file__).parent / "scenarios"
SHARED = "shared"  # the folder of shared texts, beside the scenarios
INCLUDE_LINE = re.compile(r"^@INCLUDE ([a-z0-9-]+)@$", re.MULTILINE)


class IncludeError(Exception):
    """Why a text can't be included, in one line."""


def expand(text: str, folder: Path, including: tuple[str, ...] = ()) -> str:
    """The text with each include line replaced by the shared text that it names.

    `folder` is the scenario's own; `including` has the names of the shared texts that are being expanded.
    Raises IncludeError.
    """

    def content(line: re.Match[str]) -> str:
        name = line[1]
        if name in including:
            raise IncludeError(f"@INCLUDE {name}@: {name} includes itself, expected a text that ends")
        return expand(_read(name, folder), folder, (*including, name))

    return INCLUDE_LINE.sub(content, text)


def _read(name: str, folder: Path) -> str:
    for place in (folder, SCENARIOS):
        path = place / SHARED / f"{name}.hcl"
        if path.exists():
            return path.read_text(encoding="utf-8").removesuffix("\n")  # the include line keeps its own
    raise IncludeError(f"@INCLUDE {name}@: no {SHARED}/{name}.hcl, expected one beside the scenario")


__all__ = ["SCENARIOS", "IncludeError", "expand"]
