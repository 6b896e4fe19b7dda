"""The `warming` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class PublisherConfig:
    """An owner of table groups that are published alike: those from the first to the last number."""

    name: str
    first_group: int = config_field("first")
    last_group: int = config_field("last")


@dataclass(frozen=True, slots=True)
class WarmingConfig:
    """The whole block.

    Attributes:
        service_class: The class under whose terms prefetches run.
        statement: What reads a table group, with @GROUP@ in the place of its number.
        memory: What a prefetch takes, in MB.
        cache_capacity: Table groups that an engine keeps warm.
        budget: Core seconds a second that all prefetches of one zone may take.
        budget_window: For how long the budget is saved up.
        default_read_cost: Core time that a prefetch takes, until it is known.
        idle_price: The price of an idle core second, in parts of one that somebody waits for.
        slice_duration: The time over which reads are counted together.
        horizon: How far ahead is planned.
        period: The period with which demand recurs.
        max_concurrent: Prefetches of one gateway in flight.
        max_duration: How long a prefetch may take.
        check_interval: How often a gateway looks whether prefetches may go out.
        max_groups: Table groups that are followed in a zone.
        history: A file for the laboratory.
        publishers: Owners of table groups.
    """

    service_class: str = config_field("group")
    statement: str = config_field("statement")
    memory: float = 100.0
    cache_capacity: int = config_field("keeps", default=100)
    budget: float = 1.0
    budget_window: Duration = config_field("saves", default=10 * SECOND)
    default_read_cost: Duration = config_field("reading", default=SECOND // 2)
    idle_price: float = config_field("price", default=0.1)
    slice_duration: Duration = config_field("span", default=SECOND)
    horizon: Duration = 30 * SECOND
    period: Duration = 7 * 24 * 3600 * SECOND
    max_concurrent: int = config_field("at_once", default=4)
    max_duration: Duration = config_field("lasts", default=5 * SECOND)
    check_interval: Duration = config_field("look", default=50 * MILLISECOND)
    max_groups: int = config_field("most", default=2000)
    history: str = ""
    publishers: tuple[PublisherConfig, ...] = ()

    def publisher_of(self, table_group: int) -> str:
        """The name of a table group's publisher; empty where none is stated."""
        owners = (one.name for one in self.publishers if one.first_group <= table_group <= one.last_group)
        return next(owners, "")


def read_config(block: Block) -> WarmingConfig:
    """Reads the block.

    Raises OperatorConfigError with the line of what is wrong.
    """
    publisher_blocks = block.blocks("publisher")
    publishers = tuple(one.fill(PublisherConfig, name=one.label) for one in publisher_blocks)
    config = block.fill(WarmingConfig, publishers=publishers)
    _check(block, config)
    for read in (block, *publisher_blocks):
        read.reject_unknown()
    return config


def _check(block: Block, config: WarmingConfig) -> None:
    if "@GROUP@" not in config.statement:
        raise block.error("statement: expected one with @GROUP@, the number of a table group", "statement")
    positive = (
        config.cache_capacity,
        config.slice_duration,
        config.horizon,
        config.max_concurrent,
        config.max_duration,
        config.check_interval,
        config.max_groups,
    )
    if min(positive) <= 0:
        raise block.error("keeps, span, horizon, at_once, lasts, look, most: expected more than 0", "keeps")
    if config.budget <= 0 or not 0 <= config.idle_price < 1:
        raise block.error("budget: expected more than 0, and a price under 1", "budget")
