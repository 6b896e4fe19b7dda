"""Histories: what a party of a play did, row by row, written as it happens, judged after the fact.

Rows tell begin and end by one clock that all processes of a machine share and no script turns; nothing is
read back by who writes. In service there are none: `path` is empty."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

TENTH = 100_000  # nanoseconds in the module's unit


class History:
    """Lines of JSON, each whole and in the file once `add` returns, so that a kill loses none."""

    @staticmethod
    def now() -> int:
        """The machine's monotonic clock in the module's unit."""
        return time.monotonic_ns() // TENTH

    def __init__(self, party: str, path: str = "") -> None:
        self.party, self._file = party, -1
        if path:
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def add(self, op: str, begin: int, end: int | None = None, **told: Any) -> None:
        """`end`: now where it is not told; -1 where nothing is known of it."""
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
