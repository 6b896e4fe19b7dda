"""The `membership` block of the operators' file, typed."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.membership.file_stability import StabilityConfig
from vanerelay.membership.flap_damping import FlapDampingConfig
from vanerelay.membership.list_acceptance import AcceptanceConfig
from vanerelay.membership.sources import FEED_PRECEDENCE, FILES_PRECEDENCE, SourceConfig
from vanerelay.operator_config import Block

FEED_SOURCE = "feed"
"""The name of the control feed among the sources."""


@dataclass(frozen=True, slots=True)
class WatchedFilesConfig:
    """One source of list files, a `files` block."""

    source: SourceConfig
    paths: tuple[str, ...]
    acceptance: AcceptanceConfig
    stability: StabilityConfig


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Where accepted lists are kept: a folder of this gateway's own, and how many of a source."""

    folder: str
    max_lists: int = config_field("keep", default=50)


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """What of the subsystem is switched on."""

    feed: SourceConfig
    files: tuple[WatchedFilesConfig, ...]
    flap_damping: FlapDampingConfig
    store: StoreConfig | None = None
    control_socket: str = ""

    @property
    def sources(self) -> tuple[SourceConfig, ...]:
        """All sources."""
        return (self.feed, *(files.source for files in self.files))


def read_config(block: Block) -> MembershipConfig:
    """Reads the block; raises OperatorConfigError with the line of what is wrong."""
    feed = block.find_block("feed")
    feed_config = (
        feed.fill(SourceConfig, name=FEED_SOURCE, precedence=_precedence(feed, FEED_PRECEDENCE))
        if feed
        else SourceConfig(FEED_SOURCE, FEED_PRECEDENCE)
    )
    files = tuple(_read_files(one) for one in block.blocks("files"))
    flapping, store, console = (
        block.find_block("flapping"),
        block.find_block("store"),
        block.find_block("console"),
    )
    config = MembershipConfig(
        feed=feed_config,
        files=files,
        flap_damping=flapping.fill(FlapDampingConfig) if flapping else FlapDampingConfig(),
        store=store.fill(StoreConfig) if store else None,
        control_socket=console.attribute("socket", str, "") if console else "",
    )
    if console is not None and not config.control_socket:
        raise console.error("console: no socket, expected the path of one")
    for one in (block, feed, flapping, store, console):
        if one is not None:
            one.reject_unknown()
    return config


def _read_files(block: Block) -> WatchedFilesConfig:
    name = block.label
    if not name or name == FEED_SOURCE:
        raise block.error(f'files {name!r}, expected a name of its own, such as files "main"')
    checks, stillness = block.find_block("checks"), block.find_block("stillness")
    paths = tuple(block.attribute("paths", list[str], []))
    if not paths or not all(path.startswith("/") for path in paths):
        raise block.error(
            'paths: expected a list of whole paths, such as ["/etc/vanerelay/engines.json"]', "paths"
        )
    config = WatchedFilesConfig(
        source=block.fill(SourceConfig, name=name, precedence=_precedence(block, FILES_PRECEDENCE)),
        paths=paths,
        acceptance=checks.fill(AcceptanceConfig) if checks else AcceptanceConfig(),
        stability=stillness.fill(StabilityConfig) if stillness else StabilityConfig(),
    )
    for one in (block, checks, stillness):
        if one is not None:
            one.reject_unknown()
    return config


def _precedence(block: Block, default: int) -> int:
    precedence: int = block.attribute("precedence", int, default)
    return precedence
