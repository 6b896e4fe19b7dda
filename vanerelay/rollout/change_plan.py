"""The plan of a rolling change, as the stage machine uses it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a change; one of the three sizes is given.

    The gateways of earlier stages count towards a number or a fraction.

    Attributes:
        name: The name of the stage.
        gateways: The number of gateways that the change has reached at the end of the stage.
        fraction: The same number as a fraction of all gateways.
        domain: The failure domain whose gateways the stage changes.
    """

    name: str
    gateways: int = config_field("managers", default=0)
    fraction: float = config_field("part", default=0.0)
    domain: str = ""


@dataclass(frozen=True, slots=True)
class AvailabilityLimits:
    """Limits on the gateways that may be unavailable at the same time.

    Attributes:
        max_unavailable: The limit over all gateways.
        max_unavailable_per_domain: The limit in one failure domain.
        max_load: The highest mean load that the other gateways may get, as a fraction of their cores. A
            restart that would exceed it waits.
    """

    max_unavailable: int = config_field("most", default=1)
    max_unavailable_per_domain: int = config_field("domain", default=1)
    max_load: float = config_field("carry", default=0.85)


class FailureAction(Enum):
    """The action if a stage does worse or cannot be assessed in time. The values are those used in plans."""

    ROLL_BACK = "back"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of one change.

    Attributes:
        name: The name of the change.
        gateways: The name and failure domain of each gateway, in the order in which they are changed.
        stages: The stages, in order.
        limits: Limits on the gateways that may be unavailable at the same time.
        on_worse: The action if a stage does worse, or a gateway fails to apply the change.
        on_unclear: The action if a stage cannot be assessed in time.
        uses_stricter_settings: Whether the releases differ in settings that the fleet shares, so that all
            gateways first take the stricter value of each.
        restarts: Whether changing a gateway restarts its process.
        control_restarts: The number of gateways on the old release that are restarted in the first stage.
            They are as freshly started as the new ones, and are compared with them.
        max_stage_time: The time after which a stage without a clear assessment ends as unclear.
        max_confirmation_time: The time that a gateway may take to confirm an ordered release, or stay
            silent meanwhile, before the stage ends as unclear.
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
