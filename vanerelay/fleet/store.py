"""Stores the incarnation number of this gateway in a file, so that it grows over restarts."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import structlog

FILE_NAME = "incarnation"

log = structlog.get_logger()


class IncarnationStore:
    """Stores the incarnation number in a file of `folder`; stores nothing where `folder` is empty."""

    def __init__(self, folder: str) -> None:
        self._path = Path(folder, FILE_NAME) if folder else None

    def load(self) -> int:
        """Returns the number that was saved last; 0 where the file is missing or unreadable."""
        stored = 0
        if self._path is not None:
            with contextlib.suppress(OSError, ValueError):
                stored = int(self._path.read_text(encoding="ascii"))
        return stored

    def save(self, number: int) -> None:
        """Saves a number atomically: writes a temporary file and renames it.

        A failure is only logged, and the gateway goes on serving: the other gateways know its incarnation.
        """
        if self._path is None:
            return
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            temporary = self._path.with_suffix(".new")
            with temporary.open("w", encoding="ascii") as file:
                file.write(str(number))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(self._path)
        except OSError as error:
            log.warning("incarnation could not be stored, continuing without a stored one", why=str(error))
