"""The `freshness` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.leases.config import MAX_COMMAND_ARGUMENTS
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class WatchConfig:
    """How engines are polled for the positions of their replicas.

    Attributes:
        command: The command, as of a maintenance task, with @FROM@ for where to go on.
        poll_interval: Each engine is polled once in so long, by one gateway for all.
        poll_timeout: How long an engine has to answer.
        shards: Parts of the engines, a leased task each.
        max_concurrent_polls: Polls of one shard that are in flight.
        update_interval: How often gateways ask each other for updates.
    """

    command: tuple[str, ...] = config_field("words")
    poll_interval: Duration = config_field("every", default=SECOND // 2)
    poll_timeout: Duration = config_field("patience", default=SECOND)
    shards: int = 1
    max_concurrent_polls: int = config_field("at_once", default=16)
    update_interval: Duration = config_field("hear", default=200 * MILLISECOND)


@dataclass(frozen=True, slots=True)
class SessionsConfig:
    """What one gateway remembers of sessions.

    Attributes:
        max_sessions: Sessions, and ended loads, that are remembered.
        max_lifetime: How long a session is remembered after its last read, at most.
        timeout: How long other gateways have to answer what they remember.
    """

    max_sessions: int = config_field("most", default=100_000)
    max_lifetime: Duration = config_field("longest", default=60 * SECOND)
    timeout: Duration = config_field("patience", default=100 * MILLISECOND)


@dataclass(frozen=True, slots=True)
class FreshnessConfig:
    """The whole block.

    Attributes:
        position_field: The field of an answer in which engines name the position they read at; empty: none.
        load_end_field: The field in which they name the position at which a load ended; empty: none.
        route_loads_to_source: Whether loads go to the source of the table group that they write.
    """

    watch: WatchConfig
    position_field: str = config_field("at", default="at")
    load_end_field: str = config_field("to", default="to")
    route_loads_to_source: bool = config_field("lead_loads", default=True)
    sessions: SessionsConfig = SessionsConfig()


def read_config(block: Block) -> FreshnessConfig:
    """Reads the block.

    Raises OperatorConfigError with the line of what is wrong.
    """
    watch_block, sessions_block = block.find_block("watch"), block.find_block("sessions")
    if watch_block is None:
        raise block.error("freshness: no watch, expected a watch block in it")
    config = block.fill(
        FreshnessConfig,
        watch=watch_block.fill(WatchConfig),
        sessions=sessions_block.fill(SessionsConfig) if sessions_block is not None else SessionsConfig(),
    )
    _check_watch(watch_block, config.watch)
    if sessions_block is not None and min(config.sessions.max_sessions, config.sessions.timeout) <= 0:
        raise sessions_block.error("most, patience: expected more than 0", "most")
    for read in (block, watch_block, sessions_block):
        if read is not None:
            read.reject_unknown()
    return config


def _check_watch(block: Block, watch: WatchConfig) -> None:
    if not 0 < len(watch.command) <= MAX_COMMAND_ARGUMENTS or "@ID@" not in watch.command:
        raise block.error("words: expected 1 to 16, @ID@ one of them, under which engines answer", "words")
    positive = (
        watch.poll_interval,
        watch.poll_timeout,
        watch.shards,
        watch.max_concurrent_polls,
        watch.update_interval,
    )
    if min(positive) <= 0:
        raise block.error("every, patience, shards, at_once, hear: expected more than 0", "every")
