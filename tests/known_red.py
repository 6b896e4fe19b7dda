"""Tests that are known to fail: the lines of KNOWN-RED.txt, and the pytest hooks that pass over just them.

A line is `test, cause, issue`: the whole node id of the test, why it fails, and the issue that mends it.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
LINE = re.compile(r"(?P<test>tests/[^,\s]+\.py::\S.*?), (?P<cause>\S.*), (?P<issue>[0-9]+)")


class Malformed(Exception):
    """The file can't be used: the run has to fail, with this as the reason."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is known to fail."""

    test: str
    cause: str
    issue: int


def parse(text: str) -> dict[str, KnownRed]:
    """The lines of the file by their test; none where it is empty."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise Malformed(f"{FILE_NAME}: {len(lines)} lines, expected {MOST_LINES} at most")
    known = dict[str, KnownRed]()
    for line in lines:
        match = LINE.fullmatch(line)
        if match is None:
            raise Malformed(f"{FILE_NAME}: {line!r}, expected `test, cause, issue`")
        known[match["test"]] = KnownRed(match["test"], match["cause"], int(match["issue"]))
    if len(known) < len(lines):
        raise Malformed(f"{FILE_NAME}: a test is named twice")
    return known


def missing(known: Iterable[str], collected: Iterable[str], root: Path) -> list[str]:
    """The named tests that don't exist: their file is gone, or was collected and doesn't hold them."""
    there = set(collected)
    files = {node.partition("::")[0] for node in there}

    def exists(test: str) -> bool:
        file = test.partition("::")[0]
        return test in there or file not in files and (root / file).is_file()

    return [test for test in known if not exists(test)]


class Plugin:
    """Runs the known tests like any other; where one fails, it is told apart from new failures."""

    def __init__(self, known: dict[str, KnownRed]) -> None:
        self._known = known

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        if any("::" in argument for argument in config.args):
            return  # a part of a file was asked for, which tells nothing of the rest
        gone = missing(self._known, [item.nodeid for item in items], config.rootpath)
        if gone:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(gone)}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        report = yield
        known = self._known.get(item.nodeid)
        if known is not None and report.failed:
            report.outcome, report.wasxfail = "skipped", f"known red: {known.cause}"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for known in self._known.values():
            terminalreporter.write_line(f"known red: {known.test}, {known.cause}, {known.issue}")


def configure(config: pytest.Config) -> None:
    """Reads the file at the root, if there is one, and registers the hooks."""
    path = config.rootpath / FILE_NAME
    try:
        known = parse(path.read_text(encoding="utf-8")) if path.is_file() else {}
    except (Malformed, UnicodeDecodeError) as fault:
        raise pytest.UsageError(str(fault)) from None
    if known:
        config.pluginmanager.register(Plugin(known), "known-red")
