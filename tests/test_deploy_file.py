"""The deploy file names files that exist, and all modules of the decisions."""

from __future__ import annotations

import tomllib

from tests.helpers import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())


def test_every_file_that_it_names_exists():
    named = [*DEPLOY["policy"], *DEPLOY["node"]]
    assert named and [name for name in named if not (ROOT / name).exists()] == []


def test_it_names_every_module_of_the_decisions():
    modules = {str(path.relative_to(ROOT)) for path in (ROOT / "vanerelay/policy").glob("*.py")}
    assert modules - {"vanerelay/policy/__init__.py"} == set(DEPLOY["policy"])
