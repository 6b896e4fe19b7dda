"""What a manager keeps of orders in its folder: no decisions, files only."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path
from typing import Any

FENCE, ORDERED = "fence", "ordered.json"


class AgentStore:
    """What is kept of orders in a manager's folder; nothing where there is none. Files are whole or not
    there."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None

    @property
    def lasts(self) -> bool:
        return self._folder is not None

    def fence(self) -> str:
        if self._folder is not None:
            with contextlib.suppress(OSError):
                return (self._folder / FENCE).read_text(encoding="utf-8")
        return ""

    def keep(self, fence: str) -> str | None:
        """Why it could not be kept; None if it is, or there is no folder."""
        return self.write(FENCE, fence)

    def ordered(self, settings: dict[str, Any]) -> str | None:
        return self.write(ORDERED, json.dumps({"settings": settings, "replaces": self._replaces}))

    _replaces = ""

    def at_start(self, digest: str) -> dict[str, Any] | None:
        """Settings ordered before, if the configuration is still the one that they took the place of; once
        operators have written another, theirs counts."""
        self._replaces = digest
        if self._folder is not None:
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
                told = json.loads((self._folder / ORDERED).read_text(encoding="utf-8"))
                if told["replaces"] == digest and isinstance(told["settings"], dict):
                    return dict(told["settings"])
        return None

    def write(self, name: str, text: str) -> str | None:
        if self._folder is None:
            return None
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            new = self._folder / f"{name}.new"
            with new.open("w", encoding="utf-8") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            new.rename(self._folder / name)
        except OSError as fault:
            return f"{self._folder}: {fault.strerror or fault}"
        return None
