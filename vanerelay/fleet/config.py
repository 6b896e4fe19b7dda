"""Reads the `fleet` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.fleet.failure_detector import FailureDetectorConfig
from vanerelay.operator_config import Block

PORT_LIMIT = 65_536


@dataclass(frozen=True, slots=True)
class SeedMember:
    """A gateway that the operators' file lists, with its fleet address and failure domain."""

    name: str
    address: str
    domain: str = ""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Settings of the `fleet` block.

    Attributes:
        listen: Host and port on which this gateway accepts connections of other gateways.
        fleet_name: Name of the fleet that this gateway belongs to; messages of other fleets are refused.
        domain: Failure domain of this gateway; gateways of one domain may fail together.
        folder: Folder of the file with the incarnation; if empty, the incarnation is not stored.
        seeds: Members that the operators' file lists; they are probed before any other is known.
        failure_detector: Settings of failure detection, the inner `pace` block.
    """

    listen: str
    fleet_name: str = config_field("fleet", default="fleet")
    domain: str = ""
    folder: str = ""
    seeds: tuple[SeedMember, ...] = ()
    failure_detector: FailureDetectorConfig = FailureDetectorConfig()


def read_config(block: Block) -> FleetConfig:
    """Returns the settings of the block.

    Raises:
        OperatorConfigError: A value is missing, wrong or unknown; the message names its line.
    """
    detector_block, seed_blocks = block.find_block("pace"), block.blocks("member")
    config = block.fill(
        FleetConfig,
        seeds=tuple(_read_seed(member_block) for member_block in seed_blocks),
        failure_detector=(
            detector_block.fill(FailureDetectorConfig) if detector_block else FailureDetectorConfig()
        ),
    )
    _check_address(block, "listen", config.listen)
    for seed, seed_block in zip(config.seeds, seed_blocks, strict=True):
        _check_address(seed_block, "address", seed.address)
    if any(not seed.name for seed in config.seeds):
        raise block.error('member: block without a name, expected one, such as member "m2"')
    for checked_block in (block, detector_block, *seed_blocks):
        if checked_block is not None:
            checked_block.reject_unknown()
    return config


def _read_seed(block: Block) -> SeedMember:
    return block.fill(SeedMember, name=block.label)


def _check_address(block: Block, attribute: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < PORT_LIMIT:
        raise block.error(
            f'{attribute}: {address!r}, expected host and port, such as "127.0.0.1:7946"', attribute
        )
