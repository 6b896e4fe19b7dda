"""The `fleet` block of the operators' file, into the arguments of each part."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.fleet.failure_detector import FailureDetectorConfig
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class Known:
    """A manager that operators name, and where it is reached."""

    name: str
    address: str
    domain: str = ""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """`fleet`: which fleet, others are not listened to; `listen`: host and port for managers; `domain`: what
    fails together with us; `folder`: where the incarnation is kept, if anywhere."""

    listen: str
    fleet: str = "fleet"
    domain: str = ""
    folder: str = ""
    known: tuple[Known, ...] = ()
    pace: FailureDetectorConfig = FailureDetectorConfig()


def read_config(block: Block) -> FleetConfig:
    """Raises BadOptions with the line of what is wrong."""
    pace, known = block.only("pace"), block.all("member")
    found = block.fill(
        FleetConfig,
        known=tuple(one.fill(Known, name=one.label) for one in known),
        pace=pace.fill(FailureDetectorConfig) if pace else FailureDetectorConfig(),
    )
    for name, text, at in (
        ("listen", found.listen, block),
        *(("address", told.address, one) for told, one in zip(found.known, known, strict=True)),
    ):
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
            raise at.wrong(f'{name}: {text!r}, expected host and port, such as "127.0.0.1:7946"', name)
    if any(not one.name for one in found.known):
        raise block.wrong('member: no name, expected one, such as member "m2"')
    for one in (block, pace, *known):
        if one is not None:
            one.done()
    return found
