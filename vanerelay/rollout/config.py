"""The `rollout` block of the operators' file: this gateway follows orders of a rolling change."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """The block's content.

    `folder`: where the fence and ordered settings are stored; empty: nowhere, and other gateways know the
    fence.
    """

    folder: str = ""


def read_config(block: Block) -> RolloutConfig:
    """Reads the block.

    Raises:
        OperatorConfigError: with the line of what is wrong.
    """
    config = block.fill(RolloutConfig)
    block.reject_unknown()
    return config
