"""What a gateway process remembers of the queries it holds and of the engines' names, on either wire."""

from __future__ import annotations

from typing import Generic, TypeVar

from vanerelay.policy.query import Query

NO_INDEX = -1
"""The index of a query that is in no table."""


class HeldQuery:
    """A query as its wire names it.

    Attributes:
        handle: What the decisions gave back for it; None until it was submitted.
        in_flight: The number of its attempts in flight.
        ended: Whether the final answer was given or the client has left.
    """

    __slots__ = ("ended", "handle", "in_flight", "index", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.index = NO_INDEX
        self.handle: Query | None = None
        self.in_flight = 0
        self.ended = False


H = TypeVar("H", bound=HeldQuery)


class QueryTable(Generic[H]):
    """All queries held, by a small index that is reused once nothing more can come for its query."""

    def __init__(self) -> None:
        self._held: list[H | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._held) - len(self._free)

    def add(self, held: H) -> H:
        """Takes in a query and gives it an index."""
        if self._free:
            held.index = self._free.pop()
            self._held[held.index] = held
        else:
            held.index = len(self._held)
            self._held.append(held)
        return held

    def get(self, index: int) -> H:
        """The query of an index."""
        held = self._held[index]
        assert held is not None, "the decisions named a query that nothing can come for any more"
        return held

    def all(self) -> list[H]:
        """All queries held, by index."""
        return [held for held in self._held if held is not None]

    def remove_if_done(self, held: H) -> bool:
        """Removes a query that has ended and has no attempt in flight; whether it did."""
        if not held.ended or held.in_flight > 0 or held.index == NO_INDEX:
            return False
        self._held[held.index] = None
        self._free.append(held.index)
        held.index = NO_INDEX
        return True


class EngineNames:
    """Small indices for the names of engines, in the order met; none is ever reused for another engine."""

    def __init__(self) -> None:
        self._indices: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._next = 0

    def __contains__(self, name: str) -> bool:
        return name in self._indices

    def all(self) -> set[int]:
        """The indices of all engines known."""
        return set(self._names)

    def index(self, name: str) -> int:
        """The index of a name, a new one where it was not met before."""
        index = self._indices.setdefault(name, self._next)
        if index == self._next:
            self._names[index] = name
            self._next += 1
        return index

    def name(self, index: int) -> str:
        """The name of an index."""
        return self._names[index]

    def forget(self, index: int) -> None:
        """Forgets an engine that is gone: should it come back, it gets another index."""
        del self._indices[self._names.pop(index)]
