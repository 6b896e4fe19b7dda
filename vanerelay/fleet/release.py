"""Digests that name a release: of the files that decide, and of a gateway's settings."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from vanerelay import __version__

POLICY = (
    "estimation.py",
    "policy/admission_queue.py",
    "policy/attempt.py",
    "policy/attempt_supervisor.py",
    "policy/attempt_timeout.py",
    "policy/capacity_slice.py",
    "policy/engine.py",
    "policy/engine_monitor.py",
    "policy/engine_registry.py",
    "policy/report_dispatcher.py",
    "policy/memory_admission.py",
    "policy/gateway.py",
    "policy/periodic_work.py",
    "policy/key_ordering.py",
    "policy/load_shedding.py",
    "policy/memory_estimator.py",
    "policy/outlier_detection.py",
    "policy/placement.py",
    "policy/preference_order.py",
    "policy/query.py",
    "policy/query_factory.py",
    "policy/reservations.py",
    "policy/retry_budget.py",
    "policy/retry_policy.py",
    "policy/runtime_estimator.py",
    "policy/slow_start.py",
)
"""The files that decide, beside this package."""
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
