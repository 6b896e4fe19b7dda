"""The files in which a gateway or its supervisor stores the fence and the orders of rolling changes."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path
from typing import Any

FENCE_FILE = "fence"
SETTINGS_FILE = "ordered.json"


class AgentStore:
    """The files in one folder. Each file is replaced atomically; without a folder nothing is stored.

    Methods that write return the reason of a failure in one line, or None on success.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._replaced_digest = ""  # digest of the configuration that ordered settings replace

    @property
    def is_durable(self) -> bool:
        """True if there is a folder to store in."""
        return self._folder is not None

    def read_fence(self) -> str:
        """Returns the stored fence, or an empty string if there is none."""
        if self._folder is not None:
            with contextlib.suppress(OSError):
                return (self._folder / FENCE_FILE).read_text(encoding="utf-8")
        return ""

    def write_fence(self, text: str) -> str | None:
        """Stores the fence."""
        return self.write_file(FENCE_FILE, text)

    def write_settings(self, settings: dict[str, Any]) -> str | None:
        """Stores ordered settings with the digest of the configuration that they replace."""
        body = json.dumps({"settings": settings, "replaces": self._replaced_digest})
        return self.write_file(SETTINGS_FILE, body)

    def read_settings(self, digest: str) -> dict[str, Any] | None:
        """Returns the settings ordered last, or None if there are none for this configuration.

        Ordered settings apply only while the configuration has the digest that they replaced: once operators
        have written another configuration, that one applies. `digest` is also what the next settings replace.
        """
        self._replaced_digest = digest
        if self._folder is not None:
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
                stored = json.loads((self._folder / SETTINGS_FILE).read_text(encoding="utf-8"))
                if stored["replaces"] == digest and isinstance(stored["settings"], dict):
                    return dict(stored["settings"])
        return None

    def write_file(self, name: str, text: str) -> str | None:
        """Writes a file atomically: writes and syncs it under a temporary name, then renames it."""
        if self._folder is None:
            return None
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            temporary_path = self._folder / f"{name}.new"
            with temporary_path.open("w", encoding="utf-8") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            temporary_path.rename(self._folder / name)
        except OSError as error:
            return f"{self._folder}: {error.strerror or error}"
        return None
