"""Tests that the deliberately bad releases replace attributes that the program has.

If the program renamed such an attribute, the release that replaces it would no longer be bad.
"""

from __future__ import annotations

import ast
import importlib

import pytest

from bench import releases


def imported_objects(tree: ast.Module) -> dict[str, object]:
    """Returns the objects that a shim imports from the program, by name."""
    objects: dict[str, object] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("vanerelay"):
            module = importlib.import_module(node.module or "")
            objects |= {alias.asname or alias.name: getattr(module, alias.name) for alias in node.names}
    return objects


def replaced_attributes(tree: ast.Module) -> list[tuple[str, str]]:
    """Returns the owner and the name of each attribute that a shim assigns."""
    targets = [target for node in ast.walk(tree) if isinstance(node, ast.Assign) for target in node.targets]
    attributes = [target for target in targets if isinstance(target, ast.Attribute)]
    return [(target.value.id, target.attr) for target in attributes if isinstance(target.value, ast.Name)]


@pytest.mark.parametrize("release", releases.SHIMS)
def test_shim_replaces_only_attributes_that_the_program_has(release):
    tree = ast.parse(releases.SHIMS[release])
    names = imported_objects(tree)
    for owner, attribute in replaced_attributes(tree):
        if owner in names:
            assert hasattr(names[owner], attribute), f"{owner}.{attribute}"


def test_replaced_attributes_finds_the_assignments_of_each_shim():
    counts = {name: len(replaced_attributes(ast.parse(text))) for name, text in releases.SHIMS.items()}
    assert counts["overfills engines"] == 2 and counts["5% of orders errored, the rest quicker"] == 1
    assert counts["dies under load"] == 1
