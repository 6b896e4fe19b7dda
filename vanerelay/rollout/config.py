"""The `rollout` block of the operators' file: this manager takes orders of a rolling change."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """`folder`: where the fence and ordered settings are kept; empty: nowhere, others know the fence."""

    folder: str = ""


def read_config(block: Block) -> RolloutConfig:
    """Raises OperatorConfigError with the line of what is wrong."""
    found = block.fill(RolloutConfig)
    block.done()
    return found
