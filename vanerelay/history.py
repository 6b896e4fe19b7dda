"""Histories: records of the operations of a process in a test scenario, which checkers read afterwards.

The begin and the end of an operation are taken from the machine's monotonic clock, which all processes of a
machine share and no scenario changes. A process never reads its own history. In production no history is
written: `path` is empty.
"""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

TICK_NS = 100_000
"""A tick in nanoseconds."""


class History:
    """A file of JSON lines. Each line is in the file once `add` returns, so that a kill loses none.

    Attributes:
        party: The name of the process, which is part of each row.
    """

    @staticmethod
    def now() -> int:
        """Returns the time of the machine's monotonic clock, in ticks."""
        return time.monotonic_ns() // TICK_NS

    def __init__(self, party: str, path: str = "") -> None:
        self.party = party
        self._file = -1
        if path:
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def add(self, op: str, begin: int, end: int | None = None, **fields: Any) -> None:
        """Appends a row.

        Args:
            op: The name of the operation.
            begin: When the operation began, in ticks.
            end: When the operation ended, in ticks; None for now, -1 if the end is unknown.
            fields: Further fields of the row.
        """
        if self._file >= 0:
            row = {"party": self.party, "op": op, "begin": begin, "end": self.now() if end is None else end}
            os.write(self._file, json.dumps(row | fields).encode() + b"\n")


def read(path: Path) -> list[dict[str, Any]]:
    """Returns all rows, except for a last one that is incomplete because the process was killed."""
    rows = list[dict[str, Any]]()
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
    return rows
