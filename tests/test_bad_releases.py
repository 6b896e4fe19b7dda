"""The releases that are bad on purpose replace what is there: a renamed target would leave them harmless."""

from __future__ import annotations

import ast
import importlib

import pytest

from bench import releases


def imported(tree: ast.Module) -> dict[str, object]:
    """The names that a shim imports from the program, and what they stand for."""
    found: dict[str, object] = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("vanerelay"):
            module = importlib.import_module(node.module or "")
            found |= {alias.asname or alias.name: getattr(module, alias.name) for alias in node.names}
    return found


def replaced(tree: ast.Module) -> list[tuple[str, str]]:
    """Owner and name of each attribute that a shim sets."""
    targets = [target for node in ast.walk(tree) if isinstance(node, ast.Assign) for target in node.targets]
    attributes = [target for target in targets if isinstance(target, ast.Attribute)]
    return [(target.value.id, target.attr) for target in attributes if isinstance(target.value, ast.Name)]


@pytest.mark.parametrize("release", releases.SHIMS)
def test_a_bad_release_replaces_attributes_that_the_program_has(release):
    tree = ast.parse(releases.SHIMS[release])
    names = imported(tree)
    for owner, attribute in replaced(tree):
        if owner in names:
            assert hasattr(names[owner], attribute), f"{owner}.{attribute}"


def test_the_check_sees_the_attributes_that_are_replaced():
    counts = {name: len(replaced(ast.parse(text))) for name, text in releases.SHIMS.items()}
    assert counts["overfills engines"] == 2 and counts["5% of orders errored, the rest quicker"] == 1
    assert counts["dies under load"] == 1
