"""A plan of a rolling change for tests."""

from __future__ import annotations

from vanerelay.interface import SECOND
from vanerelay.rollout.change_plan import AvailabilityLimits, Plan, Stage

PLAN = Plan(
    "p",
    tuple((f"m{n}", "ab"[n % 2]) for n in range(4)),
    (Stage("one", gateways=1), Stage("all", fraction=1.0)),
    AvailabilityLimits(2, 1),
    max_stage_time=100 * SECOND,
    max_confirmation_time=20 * SECOND,
)
