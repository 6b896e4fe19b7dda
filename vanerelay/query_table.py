"""Tables that map indices to queries and engine names, for the sockets and for the simulator's adapter."""

from __future__ import annotations

from typing import Generic, TypeVar

from vanerelay.policy.query import Query

NO_INDEX = -1
"""The index of a query that is not in a table."""


class HeldQuery:
    """A query that this process holds.

    Attributes:
        name: The identifier of the query in the protocol on which it arrived.
        index: The index of the query in its `QueryTable`.
        handle: The query that the policy returned when it was submitted; None until then.
        in_flight: The number of attempts in flight.
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
    """All held queries by index. An index is reused once no event can arrive for its query any more."""

    def __init__(self) -> None:
        self._held: list[H | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._held) - len(self._free)

    def add(self, held: H) -> H:
        """Adds a query and assigns it an index."""
        if self._free:
            held.index = self._free.pop()
            self._held[held.index] = held
        else:
            held.index = len(self._held)
            self._held.append(held)
        return held

    def get(self, index: int) -> H:
        """Returns the query with this index."""
        held = self._held[index]
        assert held is not None, "the policy used the index of a query that was removed from the table"
        return held

    def all(self) -> list[H]:
        """Returns all held queries in the order of their indices."""
        return [held for held in self._held if held is not None]

    def remove_if_done(self, held: H) -> bool:
        """Removes a query if it has ended and has no attempt in flight. Returns True if it was removed."""
        if not held.ended or held.in_flight > 0 or held.index == NO_INDEX:
            return False
        self._held[held.index] = None
        self._free.append(held.index)
        held.index = NO_INDEX
        return True


class EngineNames:
    """Assigns indices to engine names, in the order of their first use. An index is never reused."""

    def __init__(self) -> None:
        self._indices: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._next = 0

    def __contains__(self, name: str) -> bool:
        return name in self._indices

    def all(self) -> set[int]:
        """Returns the indices of all known engines."""
        return set(self._names)

    def index(self, name: str) -> int:
        """Returns the index of a name, and assigns one if the name is new."""
        index = self._indices.setdefault(name, self._next)
        if index == self._next:
            self._names[index] = name
            self._next += 1
        return index

    def name(self, index: int) -> str:
        """Returns the name of the engine with this index."""
        return self._names[index]

    def forget(self, index: int) -> None:
        """Removes an engine that is gone. If it is listed again, it gets a new index."""
        del self._indices[self._names.pop(index)]
