"""The engine list as its sources report it: entries, and the changes that are applied in order."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import EngineEntry, EngineState


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One entry of the list.

    Attributes:
        address: Host and port.
        size: Units of the machine; nothing is decided by it.
        started_at: When it started, in ticks; 0 when that was long ago.
        weight: The operators' weight, 1 for the whole engine; None from a source that has none.
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
        """The same for the decisions, which know the engine by an index."""
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
    """One watch event of the list.

    Attributes:
        number: The number of the event at its source.
        complete: Whether engines that it does not name are gone.
        within_s: The seconds before now in which all that it tells has happened, as its source did not know
            of it earlier; None where nothing is known of that.
    """

    number: int
    complete: bool
    engines: list[ListedEngine]
    within_s: float | None = None
