"""The `warming` block of the operators' file, into the arguments of each part."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class Publisher:
    """An owner of table groups that come out at certain times: those from `first` to `last`."""

    name: str
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class WarmingConfig:
    """`group`: the service group by whose terms orders go out, `statement` what reads a table group, with
    @GROUP@ in the place of its number, `memory` (MB) what it takes; `keeps`: table groups that an engine
    keeps warm; `budget`: core seconds a second that all orders of one location may take, `saves`: for how
    long they are saved up; `reading`: core time that one takes, until it is known; `price`: of a core second
    that would stand idle, in parts of one that somebody waits for; `span`: of a slice; `horizon`: for how
    long ahead is planned; `period`: of what comes again; `at_once`: orders that are out at one manager,
    `lasts`: for how long one may take; `most`: table groups that are followed at a location; `history`: for
    the laboratory."""

    group: str
    statement: str
    memory: float = 100.0
    keeps: int = 100
    budget: float = 1.0
    saves: Duration = 10 * SECOND
    reading: Duration = SECOND // 2
    price: float = 0.1
    span: Duration = SECOND
    horizon: Duration = 30 * SECOND
    period: Duration = 7 * 24 * 3600 * SECOND
    at_once: int = 4
    lasts: Duration = 5 * SECOND
    look: Duration = 50 * MILLISECOND
    most: int = 2000
    history: str = ""
    publishers: tuple[Publisher, ...] = ()

    def publisher(self, group: int) -> str:
        return next((one.name for one in self.publishers if one.first <= group <= one.last), "")


def read_config(block: Block) -> WarmingConfig:
    """Raises OperatorConfigError with the line of what is wrong."""
    publishers = block.all("publisher")
    found = block.fill(
        WarmingConfig, publishers=tuple(one.fill(Publisher, name=one.label) for one in publishers)
    )
    if "@GROUP@" not in found.statement:
        raise block.wrong("statement: expected one with @GROUP@, the number of a table group", "statement")
    if min(found.keeps, found.span, found.horizon, found.at_once, found.lasts, found.look, found.most) <= 0:
        raise block.wrong("keeps, span, horizon, at_once, lasts, look, most: expected more than 0", "keeps")
    if found.budget <= 0 or not 0 <= found.price < 1:
        raise block.wrong("budget: expected more than 0, and a price under 1", "budget")
    for one in (block, *publishers):
        one.done()
    return found
