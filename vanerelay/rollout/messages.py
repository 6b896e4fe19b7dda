"""What a controller, a manager and its keeper say to each other, as bytes and back. Pure."""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.rollout.canary_analysis import ClassCounts

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Asked",
    "Figures",
    "Group",
    "Order",
    "State",
    "Taken",
    "count",
    "encode",
    "decode",
]


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """`fence`: of the controller, none lower is heeded; `name`: of the change; `what`: claim (the fence
    alone), settings (JSON in `body`), program (a release that the keeper knows, in `body`), restart (as it
    is)."""

    fence: int
    name: str
    what: str = "claim"
    body: bytes = b""
    number: int = 0  # of the order in the record: one that was overtaken is not heeded


class Taken(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer: `fence` is the highest seen; `taken` whether the order is heeded, else why not. `failed`:
    it was tried and could not be done."""

    fence: int
    taken: bool = True
    failed: bool = False
    why: str = ""


class Asked(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks a manager how it stands."""

    figures: bool = True


class Group(msgspec.Struct, frozen=True, array_like=True):
    """Of one service group since the process started."""

    ended: int = 0
    met: float = 0.0
    errored: int = 0
    pushed: int = 0
    late: int = 0
    dispatches: int = 0
    times: list[int] = []


class Figures(msgspec.Struct, frozen=True, omit_defaults=True):
    """Sums since the process started. `memory` and `busy` in parts of the limits; `away`: engines that it
    does not reach; `held`: what part of all engines our grants and threads fill, a sum over time."""

    groups: dict[str, Group] = {}
    memory: float = 0.0
    cpu_s: float = 0.0
    away: int = 0
    held: float = 0.0


class State(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a manager stands: `started`: its incarnation, another with each process; `fence`: the highest that
    it has seen; `at_ms`: its clock."""

    name: str
    program: str
    settings: str
    state: str
    started: int
    fence: int = 0
    heeded: int = 0  # number of the last order under it
    at_ms: int = 0
    release: str = ""  # as its keeper named it at the start
    cores: float = 1.0
    figures: Figures = Figures()


def count(now: Group, before: Group) -> ClassCounts:
    """What came between two readings of one process."""
    times = [a - b for a, b in zip(now.times, before.times or [0] * len(now.times), strict=False)]
    return ClassCounts(
        now.ended - before.ended,
        now.met - before.met,
        now.errored - before.errored,
        now.pushed - before.pushed,
        now.late - before.late,
        now.dispatches - before.dispatches,
        tuple(times),
    )
