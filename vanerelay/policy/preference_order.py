"""The listed engines in this gateway's order of preference, also by placement constraints."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import NamedTuple

from vanerelay.interface import EngineEntry, PlacementConstraints
from vanerelay.policy.engine import Engine

MAX_CONSTRAINTS = 64
"""Constraints that an order is kept for; past it all are forgotten and made again on demand."""


class RankedEngine(NamedTuple):
    """An engine with its rank in the order; the name decides between equal ranks."""

    rank: int
    name: str
    engine: Engine


def _sort_key(ranked: RankedEngine) -> tuple[int, str]:
    return ranked[:2]


class PreferenceOrder:
    """The listed engines by rank and name, kept sorted as engines come and go."""

    def __init__(self) -> None:
        self.all = list[RankedEngine]()
        self.names = list[str]()  # alphabetical
        self._allowed_by = dict[PlacementConstraints, list[RankedEngine]]()

    def __len__(self) -> int:
        return len(self.all)

    def add(self, rank: int, engine: Engine) -> None:
        """Takes in an engine under its present entry."""
        insort(self.names, engine.entry.name)
        for engines in self._lists_of(engine.entry):
            insort(engines, RankedEngine(rank, engine.entry.name, engine), key=_sort_key)

    def remove(self, rank: int, engine: Engine) -> None:
        """Takes an engine out again, under the entry that it was added with."""
        name = engine.entry.name
        del self.names[bisect_left(self.names, name)]
        for engines in self._lists_of(engine.entry):
            del engines[bisect_left(engines, (rank, name), key=_sort_key)]

    def allowed_by(self, constraints: PlacementConstraints) -> list[RankedEngine]:
        """The engines that satisfy the constraints, in order."""
        if constraints not in self._allowed_by:
            if len(self._allowed_by) >= MAX_CONSTRAINTS:
                self._allowed_by.clear()
            self._allowed_by[constraints] = [
                ranked for ranked in self.all if constraints.allow(ranked.engine.entry)
            ]
        return self._allowed_by[constraints]

    def _lists_of(self, entry: EngineEntry) -> list[list[RankedEngine]]:
        constrained = (
            engines for constraints, engines in self._allowed_by.items() if constraints.allow(entry)
        )
        return [self.all, *constrained]
