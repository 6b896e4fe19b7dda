"""Which release a manager runs: the program with a digest of the files that decide, and a digest of its
settings."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from vanerelay import __version__

POLICY = ("policy/gateway.py", "estimation.py")  # the files that decide, beside this package
OWN = ("position", "az")  # settings that are each manager's own
SHORT = 12  # hex digits that people are shown


def program(root: Path = Path(__file__).parent.parent) -> str:
    """Version and digest; the same wherever the same program lies."""
    whole = hashlib.blake2b(digest_size=SHORT // 2)
    for name in POLICY:
        whole.update((root / name).read_bytes())
    return f"{__version__}-{whole.hexdigest()}"


def settings(told: Mapping[str, Any]) -> str:
    """The digest of what the whole fleet shares of its settings."""
    shared = {name: value for name, value in told.items() if name not in OWN}
    text = json.dumps(shared, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(text, digest_size=SHORT // 2).hexdigest()


def with_own(shared: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Settings of the fleet, with what is one manager's own."""
    return {**shared, **{name: value for name, value in own.items() if name in OWN}}
