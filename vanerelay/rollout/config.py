"""The `rollout` block of the operators' file, which makes this gateway accept orders of rolling changes."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """The content of the block.

    Attributes:
        folder: The folder for the fence and the ordered settings. If empty, neither is stored, and this
            gateway learns the fence from other gateways after a restart.
    """

    folder: str = ""


def read_config(block: Block) -> RolloutConfig:
    """Returns the content of the block.

    Raises:
        OperatorConfigError: The block is invalid; the message names the line.
    """
    config = block.fill(RolloutConfig)
    block.reject_unknown()
    return config
