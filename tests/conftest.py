"""The test setup of the whole tree."""

from __future__ import annotations

import known_red
import pytest

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    known_red.configure(config)
