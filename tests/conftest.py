"""The test setup of the whole tree."""

from __future__ import annotations

import known_red
import pytest

from tests.helpers import FakeDiscoveryService, FakeEngine, GatewayProcess

pytest_plugins = ["pytester"]


PROCESS_FIXTURES = {"plays", "program", "run", "started"}
"""Fixtures whose tests start processes of the program or of pytest."""

PROCESS_FILES = {
    "test_connection_ends.py",
    "test_crossings.py",
    "test_departed_peers.py",
    "test_invariants.py",
    "test_known_red.py",
    "test_membership_sockets.py",
    "test_resource_limits.py",
    "test_scenarios.py",
    "test_soak.py",
    "test_sockets.py",
    "test_system_calls.py",
    "test_wall_clock.py",
    "test_xds_sockets.py",
}
"""Files whose tests start processes, or depend on the time that passes."""


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "processes: starts processes, so that it runs in one worker alone")
    known_red.configure(config)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests that start processes: `make test` runs the others on several workers first."""
    for item in items:
        if item.path.name in PROCESS_FILES or PROCESS_FIXTURES & set(getattr(item, "fixturenames", ())):
            item.add_marker(pytest.mark.processes)


@pytest.fixture
def started(tmp_path):
    """Starts nodes and engines, and ends them whatever the test came to."""
    made = []

    def node(*rows, feed=None, **options):
        made.append(GatewayProcess(tmp_path, feed or FakeDiscoveryService(), *rows, **options))
        return made[-1]

    def engine(script, **options):
        made.append(FakeEngine(script, **options))
        return made[-1]

    node.engine = engine
    yield node
    for one in made:
        one.close()
