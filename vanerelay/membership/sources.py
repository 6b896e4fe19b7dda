"""The sources of the engine list, and what each has reported. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, Duration, EngineState

FILES_PRECEDENCE, FEED_PRECEDENCE = 10, 20
"""Precedence of sources where the operators state none."""

REMOVAL_BINDS_FOR = 3600 * SECOND
"""How long a removal by an authoritative source overrules other sources."""

MAX_REMOVALS = 20_000
"""Removals of one source that are remembered; past these the oldest binds no longer."""


@dataclass(frozen=True, slots=True)
class SourceConfig:
    """How much the reports of a source count.

    Attributes:
        precedence: The source with the lowest is asked first.
        authoritative: Whether its removals and drains overrule other sources.
        complete: Whether engines that it does not list do not exist.
        stale_after: Without a sign of life for so long it is asked last; 0: never.
    """

    name: str
    precedence: int
    authoritative: bool = True
    complete: bool = False
    stale_after: Duration = 0


class Source:
    """What one source has reported.

    Attributes:
        rank: Its place in the order of precedence, from 0.
        engines: Its list, by name.
        removals: Names that it has removed, and until when that binds; the oldest first.
        heard_at: Its last sign of life.
        has_reported: Whether it has reported a list at all.
    """

    def __init__(self, config: SourceConfig, rank: int, now: int) -> None:
        self.config, self.rank = config, rank
        self.engines: Mapping[str, ListedEngine] = {}
        self.removals: OrderedDict[str, int] = OrderedDict()
        self.revision, self.heard_at, self.has_reported, self.is_stale = 0, now, False, False

    def lists_at(self, name: str, address: str) -> bool:
        """Whether the source lists an engine at an address."""
        engine = self.engines.get(name)
        return engine is not None and engine.address == address and engine.state is not EngineState.GONE

    def goes_stale_at(self) -> int | None:
        """When the source becomes stale if nothing is heard of it; None where it does not, or is."""
        if not self.config.stale_after or self.is_stale:
            return None
        return self.heard_at + self.config.stale_after

    def first_removal_expires_at(self) -> int | None:
        """When the oldest removal binds no longer."""
        return next(iter(self.removals.values())) if self.removals else None


class AddressIndex:
    """The names that any source lists at each address."""

    def __init__(self) -> None:
        self._names: dict[str, dict[str, None]] = {}

    def names_at(self, address: str) -> Mapping[str, None]:
        """The names at an address, in the order in which they came."""
        return self._names.get(address, {})

    def add(self, name: str, address: str) -> None:
        """Enters a name."""
        self._names.setdefault(address, {})[name] = None

    def discard(self, name: str, address: str) -> None:
        """Removes a name, if it is there."""
        names = self._names.get(address)
        if names is not None:
            names.pop(name, None)
            if not names:
                del self._names[address]
