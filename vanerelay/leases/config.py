"""The `leases` block of the operators' file, into the arguments of each part."""

from __future__ import annotations

from dataclasses import dataclass, field

from vanerelay.interface import SECOND, Duration
from vanerelay.leases.voter import LeaseTerms, Voters
from vanerelay.operator_config import Block

SIZES = (3, 5, 7)
WORDS_MOST = 16


@dataclass(frozen=True, slots=True)
class MaintenanceTask:
    """A command that one manager sends to every engine. `every`: to each engine once in so long; `words`: the
    command, with @ID@, @TASK@, @NUMBER@, @SERIAL@, @HOLDER@ and @FROM@ filled in; `patience`: for an answer;
    `shards`: parts of the engines, a task each; `at_once`: orders of one shard that are out."""

    name: str
    words: tuple[str, ...]
    every: Duration = 60 * SECOND
    patience: Duration = 2 * SECOND
    shards: int = 1
    at_once: int = 4


@dataclass(frozen=True, slots=True)
class LeasesConfig:
    """`voters` by name, `before` those that they take the place of, in a joint step; `folder`: where a voter
    remembers; `weights`: of managers, 0: one holds nothing; `history`: a file for the laboratory."""

    voters: Voters
    folder: str = ""
    weights: dict[str, float] = field(default_factory=dict)
    history: str = ""
    terms: LeaseTerms = LeaseTerms()
    chores: tuple[MaintenanceTask, ...] = ()


def read_config(block: Block) -> LeasesConfig:
    """Raises BadOptions with the line of what is wrong."""
    named = block.take("voters", tuple[str, ...], ())
    before = block.take("voters_before", tuple[str, ...], ())
    version = block.take("version", int, 1)
    for word, names in (("voters", named), *((("voters_before", before),) if before else ())):
        if len(names) not in SIZES or len(set(names)) != len(names):
            told = ", ".join(names) or "none"
            raise block.wrong(f"{word}: {told}, expected 3, 5 or 7 managers by name", word)
    pace = block.only("terms")
    terms = pace.fill(LeaseTerms) if pace is not None else LeaseTerms()
    if pace is not None and not SECOND // 10 <= terms.term <= terms.longest:
        raise pace.wrong("term: expected one of 100ms or more, and not past longest", "term")
    if pace is not None and not 0 < terms.drift < 1:
        raise pace.wrong(f"drift: {terms.drift}, expected a part between 0 and 1, such as 0.02", "drift")
    chores = tuple(_chore(one) for one in block.all("chore"))
    found = block.fill(LeasesConfig, voters=Voters(version, named, before), terms=terms, chores=chores)
    for one in (block, pace):
        if one is not None:
            one.done()
    return found


def _chore(block: Block) -> MaintenanceTask:
    found = block.fill(MaintenanceTask, name=block.label)
    block.done()
    if not found.name or "/" in found.name:
        raise block.wrong('chore: expected a name without "/", such as chore "refresh"')
    if not 0 < len(found.words) <= WORDS_MOST or "@ID@" not in found.words:
        raise block.wrong("words: expected 1 to 16, @ID@ one of them, under which engines answer", "words")
    if found.shards < 1 or found.at_once < 1 or found.every <= 0 or found.patience <= 0:
        raise block.wrong("shards, at_once, every, patience: expected more than 0", "shards")
    return found
