"""The `freshness` block of the operators' file, into the arguments of each part."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.leases.config import MAX_COMMAND_WORDS
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class Watch:
    """How engines are asked. `words`: the command, as of a chore, with @FROM@ for where to go on; `every`:
    each engine once in so long, by one manager for all; `patience`: for an answer; `shards`: parts of the
    engines, a task each; `at_once`: questions of one shard that are out; `hear`: how often managers ask for
    news."""

    words: tuple[str, ...]
    every: Duration = SECOND // 2
    patience: Duration = SECOND
    shards: int = 1
    at_once: int = 16
    hear: Duration = 200 * MILLISECOND


@dataclass(frozen=True, slots=True)
class Sessions:
    """`most`: that one manager remembers; `longest`: past its last read; `patience`: for those that
    remember."""

    most: int = 100_000
    longest: Duration = 60 * SECOND
    patience: Duration = 100 * MILLISECOND


@dataclass(frozen=True, slots=True)
class FreshnessConfig:
    """`at`: the word under which engines say in an answer what they read at, `to`: where a load ended; empty:
    they do not. `lead_loads`: loads go to the source."""

    watch: Watch
    at: str = "at"
    to: str = "to"
    lead_loads: bool = True
    sessions: Sessions = Sessions()


def read_config(block: Block) -> FreshnessConfig:
    """Raises OperatorConfigError with the line of what is wrong."""
    watch, sessions = block.only("watch"), block.only("sessions")
    if watch is None:
        raise block.wrong("freshness: no watch, expected a watch block in it")
    found = block.fill(
        FreshnessConfig,
        watch=watch.fill(Watch),
        sessions=sessions.fill(Sessions) if sessions is not None else Sessions(),
    )
    one = found.watch
    if not 0 < len(one.words) <= MAX_COMMAND_WORDS or "@ID@" not in one.words:
        raise watch.wrong("words: expected 1 to 16, @ID@ one of them, under which engines answer", "words")
    if min(one.every, one.patience, one.shards, one.at_once, one.hear) <= 0:
        raise watch.wrong("every, patience, shards, at_once, hear: expected more than 0", "every")
    if sessions is not None and min(found.sessions.most, found.sessions.patience) <= 0:
        raise sessions.wrong("most, patience: expected more than 0", "most")
    for told in (block, watch, sessions):
        if told is not None:
            told.done()
    return found
