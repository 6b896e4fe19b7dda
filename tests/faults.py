"""Faults inside a process under test: its wall clock is stepped, its system calls fail at a rate.

The process maps the same file (`tests/shims/sitecustomize.py`), so a change is in force at once.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

FIELDS = ("wall", "accept", "connect", "socket", "short")
SHIMS = Path(__file__).resolve().parent / "shims"


class Faults:
    """The faults of one process. `wall`: seconds past the true time; the others: chances of one call."""

    def __init__(self, path: Path, **values: float) -> None:
        self._path, self._values = path, dict.fromkeys(FIELDS, 0.0) | values
        path.write_bytes(self._packed())

    def _packed(self) -> bytes:
        return b"".join(struct.pack("d", self._values[name]) for name in FIELDS)

    def set(self, **values: float) -> None:
        self._values |= values
        with self._path.open("r+b") as file:  # in place: the process has mapped it
            file.write(self._packed())

    def step(self, seconds: float) -> None:
        """Steps the wall clock, forward or back."""
        self.set(wall=self._values["wall"] + seconds)

    @property
    def environment(self) -> dict[str, str]:
        path = os.pathsep.join(filter(None, [str(SHIMS), os.environ.get("PYTHONPATH", "")]))
        return {"PYTHONPATH": path, "TEST_FAULTS": str(self._path)}
