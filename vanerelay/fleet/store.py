"""The incarnation of this gateway's process, kept in a file over restarts."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import structlog

FILE_NAME = "incarnation"

log = structlog.get_logger()


class IncarnationStore:
    """Keeps one number in a folder; with no folder named it keeps nothing."""

    def __init__(self, folder: str) -> None:
        self._path = Path(folder, FILE_NAME) if folder else None

    def load(self) -> int:
        """The number that was saved last; 0 where there is none that can be read."""
        stored = 0
        if self._path is not None:
            with contextlib.suppress(OSError, ValueError):
                stored = int(self._path.read_text(encoding="ascii"))
        return stored

    def save(self, number: int) -> None:
        """Saves a number, completely or not at all.

        A failure is logged and is no reason not to serve: the other gateways know the incarnation.
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
            log.warning("incarnation not saved", why=str(error))
