"""Digests that name a release: of the files that decide, and of a gateway's settings."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from vanerelay import __version__

POLICY = ("policy/gateway.py", "estimation.py")  # the files that decide, beside this package
OWN = ("position", "az")  # settings that each gateway has of its own
DIGEST_BYTES = 6  # twelve hex digits: few enough to read, enough to tell releases apart


def program(root: Path = Path(__file__).parent.parent) -> str:
    """The version and a digest of the files that decide; the same wherever the same program is installed."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in POLICY:
        digest.update((root / name).read_bytes())
    return f"{__version__}-{digest.hexdigest()}"


def settings(profile: Mapping[str, Any]) -> str:
    """The digest of those settings that the whole fleet shares."""
    shared = {name: value for name, value in profile.items() if name not in OWN}
    text = json.dumps(shared, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def with_own(shared: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Settings of the fleet, with those that one gateway has of its own."""
    return {**shared, **{name: value for name, value in own.items() if name in OWN}}
