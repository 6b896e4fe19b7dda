"""Which release a manager runs: the program with a digest of the files that decide, and a digest of its
settings."""

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
    "policy/capacity_share.py",
    "policy/engine.py",
    "policy/engine_monitor.py",
    "policy/engine_registry.py",
    "policy/feedback.py",
    "policy/fitting.py",
    "policy/gateway.py",
    "policy/housekeeping.py",
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
