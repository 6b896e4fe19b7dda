"""What a gateway, or its supervisor, stores of orders in its folder. Files only, no decisions."""

from __future__ import annotations

import contextlib
import json
import os
from pathlib import Path
from typing import Any

FENCE_FILE = "fence"
SETTINGS_FILE = "ordered.json"


class AgentStore:
    """The files of one folder; without a folder nothing is stored. A file is complete or not there.

    Methods that write return why that failed, in one line; None where it did not.
    """

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._replaced_digest = ""  # of the configuration that ordered settings take the place of

    @property
    def is_durable(self) -> bool:
        """Whether there is a folder."""
        return self._folder is not None

    def read_fence(self) -> str:
        """The fence as it was stored; empty where there is none."""
        if self._folder is not None:
            with contextlib.suppress(OSError):
                return (self._folder / FENCE_FILE).read_text(encoding="utf-8")
        return ""

    def write_fence(self, text: str) -> str | None:
        """Stores the fence."""
        return self.write_file(FENCE_FILE, text)

    def write_settings(self, settings: dict[str, Any]) -> str | None:
        """Stores ordered settings, beside the digest of the configuration that they take the place of."""
        body = json.dumps({"settings": settings, "replaces": self._replaced_digest})
        return self.write_file(SETTINGS_FILE, body)

    def read_settings(self, digest: str) -> dict[str, Any] | None:
        """The settings ordered last, if the configuration's digest is still that which they replaced.

        Once operators have written another configuration, theirs counts.
        """
        self._replaced_digest = digest
        if self._folder is not None:
            with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
                stored = json.loads((self._folder / SETTINGS_FILE).read_text(encoding="utf-8"))
                if stored["replaces"] == digest and isinstance(stored["settings"], dict):
                    return dict(stored["settings"])
        return None

    def write_file(self, name: str, text: str) -> str | None:
        """Writes a file: on disk under another name first, then renamed."""
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
        except OSError as error:
            return f"{self._folder}: {error.strerror or error}"
        return None
