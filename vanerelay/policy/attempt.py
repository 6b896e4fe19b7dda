"""What the decision module remembers of dispatches and of the engines listed. Nothing here chooses."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from vanerelay.interface import EngineEntry, PlacementConstraints

E = TypeVar("E")


@dataclass(slots=True)
class Attempt(Generic[E]):
    """One attempt of a batch. Times in tenths of a millisecond, memory in MB."""

    engine: E
    grant: float
    holds: float  # of the engine's memory
    sent: int
    heard: int
    out: bool = True
    ran: bool = True  # until an outcome proves that it never did
    waits: bool = False  # at its engine, as it told: no notes of progress are due
    lost: bool = False  # its answer, as its notes stopped: it holds nothing there any more


class Listed(Protocol):
    entry: EngineEntry


L = TypeVar("L", bound=Listed)


class Order(Generic[L]):
    """The listed engines by a figure and their name, and the same by each of the bounds asked for."""

    MOST = 64  # bounds kept apart

    def __init__(self) -> None:
        self.all = list[tuple[int, str, L]]()
        self.names = list[str]()  # in their own order
        self._within = dict[PlacementConstraints, list[tuple[int, str, L]]]()

    def __len__(self) -> int:
        return len(self.all)

    def put(self, figure: int, engine: L) -> None:
        insort(self.names, engine.entry.name)
        for places in self._lists(engine.entry):
            insort(places, (figure, engine.entry.name, engine), key=lambda place: place[:2])

    def drop(self, figure: int, engine: L) -> None:
        """Takes one out again, under the entry that it was put in with."""
        name = engine.entry.name
        del self.names[bisect_left(self.names, name)]
        for places in self._lists(engine.entry):
            del places[bisect_left(places, (figure, name), key=lambda place: place[:2])]

    def within(self, bounds: PlacementConstraints) -> list[tuple[int, str, L]]:
        if bounds not in self._within:
            if len(self._within) >= self.MOST:
                self._within.clear()
            self._within[bounds] = [place for place in self.all if bounds.allow(place[2].entry)]
        return self._within[bounds]

    def _lists(self, entry: EngineEntry) -> list[list[tuple[int, str, L]]]:
        return [self.all, *(places for bounds, places in self._within.items() if bounds.allow(entry))]
