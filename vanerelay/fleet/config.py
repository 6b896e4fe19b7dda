"""The `fleet` block of the operators' file, typed."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.fleet.failure_detector import FailureDetectorConfig
from vanerelay.operator_config import Block

PORT_LIMIT = 65_536


@dataclass(frozen=True, slots=True)
class SeedMember:
    """A gateway that the operators name, and where it is reached."""

    name: str
    address: str
    domain: str = ""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """What the `fleet` block says.

    Attributes:
        listen: Host and port on which other gateways reach us.
        fleet_name: Which fleet we belong to; messages of others are refused.
        domain: Our region of failure: what fails together.
        folder: Where the incarnation is kept; nowhere if empty.
        seeds: Members that the operators name, to be probed first.
        failure_detector: The tuned values of failure detection.
    """

    listen: str
    fleet_name: str = config_field("fleet", default="fleet")
    domain: str = ""
    folder: str = ""
    seeds: tuple[SeedMember, ...] = ()
    failure_detector: FailureDetectorConfig = FailureDetectorConfig()


def read_config(block: Block) -> FleetConfig:
    """Reads the block; raises OperatorConfigError with the line of what is wrong."""
    detector_block, seed_blocks = block.find_block("pace"), block.blocks("member")
    config = block.fill(
        FleetConfig,
        seeds=tuple(_read_seed(one) for one in seed_blocks),
        failure_detector=(
            detector_block.fill(FailureDetectorConfig) if detector_block else FailureDetectorConfig()
        ),
    )
    _check_address(block, "listen", config.listen)
    for seed, seed_block in zip(config.seeds, seed_blocks, strict=True):
        _check_address(seed_block, "address", seed.address)
    if any(not seed.name for seed in config.seeds):
        raise block.error('member: no name, expected one, such as member "m2"')
    for one in (block, detector_block, *seed_blocks):
        if one is not None:
            one.reject_unknown()
    return config


def _read_seed(block: Block) -> SeedMember:
    return block.fill(SeedMember, name=block.label)


def _check_address(block: Block, attribute: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < PORT_LIMIT:
        raise block.error(
            f'{attribute}: {address!r}, expected host and port, such as "127.0.0.1:7946"', attribute
        )
