"""The listed engines in this gateway's order of preference, all or by placement constraints."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import NamedTuple

from vanerelay.interface import EngineEntry, PlacementConstraints
from vanerelay.policy.engine import Engine

MAX_CACHED_CONSTRAINTS = 64
"""Sets of constraints whose engines are cached. Beyond it, the cache is cleared and refilled on demand."""


class RankedEngine(NamedTuple):
    """An engine with its rank in the order; engines of equal rank are ordered by name."""

    rank: int
    name: str
    engine: Engine


def _sort_key(ranked: RankedEngine) -> tuple[int, str]:
    return ranked[:2]


class PreferenceOrder:
    """The listed engines, kept sorted by rank and name as engines are added and removed.

    Attributes:
        all: All engines in order.
        names: The names of all engines in alphabetical order.
    """

    def __init__(self) -> None:
        self.all = list[RankedEngine]()
        self.names = list[str]()
        self._engines_by_constraints = dict[PlacementConstraints, list[RankedEngine]]()

    def __len__(self) -> int:
        return len(self.all)

    def add(self, rank: int, engine: Engine) -> None:
        """Adds an engine under its present entry."""
        insort(self.names, engine.entry.name)
        for engines in self._lists_containing(engine.entry):
            insort(engines, RankedEngine(rank, engine.entry.name, engine), key=_sort_key)

    def remove(self, rank: int, engine: Engine) -> None:
        """Removes an engine. Its entry has to be the one that it was added with."""
        name = engine.entry.name
        del self.names[bisect_left(self.names, name)]
        for engines in self._lists_containing(engine.entry):
            del engines[bisect_left(engines, (rank, name), key=_sort_key)]

    def allowed_by(self, constraints: PlacementConstraints) -> list[RankedEngine]:
        """Returns the engines that satisfy the constraints, in order."""
        if constraints not in self._engines_by_constraints:
            if len(self._engines_by_constraints) >= MAX_CACHED_CONSTRAINTS:
                self._engines_by_constraints.clear()
            self._engines_by_constraints[constraints] = [
                ranked for ranked in self.all if constraints.allow(ranked.engine.entry)
            ]
        return self._engines_by_constraints[constraints]

    def _lists_containing(self, entry: EngineEntry) -> list[list[RankedEngine]]:
        constrained = (
            engines
            for constraints, engines in self._engines_by_constraints.items()
            if constraints.allow(entry)
        )
        return [self.all, *constrained]
