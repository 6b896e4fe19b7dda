"""Histories: what one process of a scenario did, row by row, for checkers that read them afterwards.

Rows have their begin and end by one clock that all processes of a machine share and no scenario turns. Who
writes them never reads them. In service there are none: `path` is empty.
"""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

TICK_NS = 100_000


class History:
    """Lines of JSON, each complete and in the file once `add` returns, so that a kill loses none."""

    @staticmethod
    def now() -> int:
        """The machine's monotonic clock, in ticks."""
        return time.monotonic_ns() // TICK_NS

    def __init__(self, party: str, path: str = "") -> None:
        self.party = party
        self._file = -1
        if path:
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def add(self, op: str, begin: int, end: int | None = None, **told: Any) -> None:
        """Writes a row.

        Args:
            op: The operation.
            begin: When it began.
            end: When it ended; None for now, -1 where nothing is known of it.
            told: What else belongs to it.
        """
        if self._file >= 0:
            row = {"party": self.party, "op": op, "begin": begin, "end": self.now() if end is None else end}
            os.write(self._file, json.dumps(row | told).encode() + b"\n")


def read(path: Path) -> list[dict[str, Any]]:
    """All rows; a last one that a kill cut short is left out."""
    found = list[dict[str, Any]]()
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
    return found
