"""Identifiers of what a gateway runs: its program version and the digest of its settings."""

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
"""Source files that determine the decisions about queries, as paths within the `vanerelay` package."""
PER_GATEWAY_SETTINGS = ("position", "az")  # settings that differ between the gateways of a fleet
DIGEST_BYTES = 6  # twelve hex digits: short enough to read, long enough to distinguish releases


def program_version(root: Path = Path(__file__).parent.parent) -> str:
    """Returns the version and a digest of the `POLICY` files, equal for equal installations."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in POLICY:
        digest.update((root / name).read_bytes())
    return f"{__version__}-{digest.hexdigest()}"


def settings_digest(profile: Mapping[str, Any]) -> str:
    """Returns the digest of the settings that the whole fleet shares."""
    shared = {name: value for name, value in profile.items() if name not in PER_GATEWAY_SETTINGS}
    text = json.dumps(shared, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def with_per_gateway_settings(shared: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the shared settings of the fleet, completed by the per-gateway settings out of `own`."""
    return {**shared, **{name: value for name, value in own.items() if name in PER_GATEWAY_SETTINGS}}
