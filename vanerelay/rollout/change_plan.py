"""The plan of a rolling change as the stage machine goes by it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration


@dataclass(frozen=True, slots=True)
class Stage:
    """Up to which gateways the change goes: so many, a fraction of all, or all of a failure domain."""

    name: str
    gateways: int = config_field("managers", default=0)
    fraction: float = config_field("part", default=0.0)
    domain: str = ""


@dataclass(frozen=True, slots=True)
class AvailabilityLimits:
    """How many gateways may be away at once.

    Attributes:
        max_away: in all.
        max_away_per_domain: in one failure domain.
        max_load: of the rest, in parts of their cores; with more the next one waits.
    """

    max_unavailable: int = config_field("most", default=1)
    max_unavailable_per_domain: int = config_field("domain", default=1)
    max_load: float = config_field("carry", default=0.85)


class FailureAction(Enum):
    """What follows when a stage does worse, or can't be assessed in time; the values are operators' words."""

    ROLL_BACK = "back"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one change.

    Attributes:
        name: of the change.
        gateways: name and failure domain of each, in the order of changing.
        stages: one after the other.
        limits: how many gateways may be away at once.
        on_worse: what follows when a stage does worse.
        on_unclear: what follows when a stage can't be assessed in time.
        uses_stricter_settings: the releases differ in something that the fleet shares, so all take the
            stricter values of both first.
        restarts: changing a gateway restarts its process.
        control_restarts: old gateways that are restarted in the first stage, as fresh as the new ones, to
            compare with.
        max_stage_time: of a stage.
        max_away_time: how long a gateway may take over a change, or be silent, before the stage is unclear.
    """

    name: str
    gateways: tuple[tuple[str, str], ...]
    stages: tuple[Stage, ...]
    limits: AvailabilityLimits = AvailabilityLimits()
    on_worse: FailureAction = FailureAction.ROLL_BACK
    on_unclear: FailureAction = FailureAction.HOLD
    uses_stricter_settings: bool = False
    restarts: bool = False
    control_restarts: int = 0
    max_stage_time: Duration = 600 * SECOND
    max_confirmation_time: Duration = 60 * SECOND
