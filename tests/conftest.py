"""The test setup of the whole tree."""

from __future__ import annotations

import known_red
import pytest

from tests.helpers import Engine, Feed, Node

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    known_red.configure(config)


@pytest.fixture
def started(tmp_path):
    """Starts nodes and engines, and ends them whatever the test came to."""
    made = []

    def node(*rows, feed=None, **options):
        made.append(Node(tmp_path, feed or Feed(), *rows, **options))
        return made[-1]

    def engine(script, **options):
        made.append(Engine(script, **options))
        return made[-1]

    node.engine = engine
    yield node
    for one in made:
        one.close()
