"""What a gateway process remembers of the queries it holds and of the names it meets, on either wire."""

from __future__ import annotations

from typing import Generic, TypeVar

from vanerelay.policy.query import Query


class HeldQuery:
    """A query as its wire names it, its handle, and what is still to come for it."""

    __slots__ = ("batch", "ended", "index", "name", "out")

    def __init__(self, name: str) -> None:
        self.name, self.index, self.out = name, -1, 0
        self.batch: Query | None = None
        self.ended = False


H = TypeVar("H", bound=HeldQuery)


class QueryTable(Generic[H]):
    """All queries held, by a small index that is used again once nothing more can come for its query."""

    def __init__(self) -> None:
        self._held: list[H | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._held) - len(self._free)

    def open(self, held: H) -> H:
        if self._free:
            held.index = self._free.pop()
            self._held[held.index] = held
        else:
            held.index = len(self._held)
            self._held.append(held)
        return held

    def at(self, index: int) -> H:
        held = self._held[index]
        assert held is not None, "the module named a batch that nothing can come for any more"
        return held

    def all(self) -> list[H]:
        return [held for held in self._held if held is not None]

    def settle(self, held: H) -> bool:
        """Lets go of a query that was answered and has no attempt out; whether it did."""
        if not held.ended or held.out > 0 or held.index < 0:
            return False
        self._held[held.index] = None
        self._free.append(held.index)
        held.index = -1
        return True


class EngineNames:
    """Small indices for the names of engines, in the order met; none is ever used again for another."""

    def __init__(self) -> None:
        self._indices: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._next = 0

    def __contains__(self, name: str) -> bool:
        return name in self._indices

    def all(self) -> set[int]:
        return set(self._names)

    def index(self, name: str) -> int:
        index = self._indices.setdefault(name, self._next)
        if index == self._next:
            self._names[index] = name
            self._next += 1
        return index

    def name(self, index: int) -> str:
        return self._names[index]

    def forget(self, index: int) -> None:
        """Of an engine that is gone: should it come back, it gets another."""
        del self._indices[self._names.pop(index)]
