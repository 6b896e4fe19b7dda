"""The engine list as reported by its sources: entries, and changes that are applied in order."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import EngineEntry, EngineState


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """An entry of the engine list.

    Attributes:
        address: Host and port.
        size: The size of the machine in units; the policy does not use it.
        started_at: When the engine started, in ticks; 0 if that was long ago.
        weight: The weight stated by operators, 1 for the whole engine; None if the source has no weights.
    """

    name: str
    address: str
    state: EngineState
    zone: int
    machine_kind: int
    cell: int
    size: float
    started_at: int
    weight: float | None = None

    def entry(self, index: int) -> EngineEntry:
        """Returns the entry in the form that the policy uses, which identifies the engine by an index."""
        return EngineEntry(
            index,
            self.name,
            self.zone,
            self.machine_kind,
            self.cell,
            self.state,
            1.0 if self.weight is None else self.weight,
            self.started_at,
        )


@dataclass(frozen=True, slots=True)
class EngineListChange:
    """A watch event of the engine list.

    Attributes:
        number: The number of the event at its source.
        complete: Whether the event has the whole list, so that engines without an entry are gone.
        engines: The entries.
        within_s: The changes in this event happened at most this many seconds ago, as the source did not know
            of them earlier; None if that is unknown.
    """

    number: int
    complete: bool
    engines: list[ListedEngine]
    within_s: float | None = None
