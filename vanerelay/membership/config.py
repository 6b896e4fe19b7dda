"""The `membership` block of the operators' file, into the arguments of each part."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.membership.file_stability import Stillness
from vanerelay.membership.list_acceptance import Checks
from vanerelay.membership.merged_view import FEED, FILES, Flapping, Standing
from vanerelay.operator_config import Block


@dataclass(frozen=True, slots=True)
class Watched:
    """One source of list files."""

    standing: Standing
    paths: tuple[str, ...]
    checks: Checks
    stillness: Stillness


@dataclass(frozen=True, slots=True)
class Kept:
    """Where accepted lists are kept: a folder of this gateway's own, and how many a source."""

    folder: str
    keep: int = 50


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """What of the subsystem is switched on."""

    feed: Standing
    watched: tuple[Watched, ...]
    flapping: Flapping
    kept: Kept | None = None
    console: str = ""


def read_config(block: Block) -> MembershipConfig:
    """Raises BadOptions with the line of what is wrong."""
    feed = block.only("feed")
    standing = feed.fill(Standing, name="feed", **_precedence(feed, FEED)) if feed else Standing("feed", FEED)
    watched = tuple(_watched(one) for one in block.all("files"))
    flapping, kept, console = block.only("flapping"), block.only("store"), block.only("console")
    found = MembershipConfig(
        feed=standing,
        watched=watched,
        flapping=flapping.fill(Flapping) if flapping else Flapping(),
        kept=kept.fill(Kept) if kept else None,
        console=console.take("socket", str, "") if console else "",
    )
    if console is not None and not found.console:
        raise console.wrong("console: no socket, expected the path of one")
    for one in (block, feed, flapping, kept, console):
        if one is not None:
            one.done()
    return found


def _watched(block: Block) -> Watched:
    name = block.label
    if not name or name == "feed":
        raise block.wrong(f'files {name!r}, expected a name of its own, such as files "main"')
    checks, stillness = block.only("checks"), block.only("stillness")
    paths = tuple(block.take("paths", list[str], []))
    if not paths or not all(path.startswith("/") for path in paths):
        raise block.wrong(
            'paths: expected a list of whole paths, such as ["/etc/vanerelay/engines.json"]', "paths"
        )
    found = Watched(
        standing=block.fill(Standing, name=name, **_precedence(block, FILES)),
        paths=paths,
        checks=checks.fill(Checks) if checks else Checks(),
        stillness=stillness.fill(Stillness) if stillness else Stillness(),
    )
    for one in (block, checks, stillness):
        if one is not None:
            one.done()
    return found


def _precedence(block: Block, default: int) -> dict[str, int]:
    return {"precedence": block.take("precedence", int, default)}
