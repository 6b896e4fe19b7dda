"""What was seen in a play, row by row: from the clients' side and the engines', never from a manager's
books."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class What(Enum):
    # Clients.
    SENT = "sent"  # written whole to a connection that the manager had accepted
    ANSWERED = "answered"  # told: returned, pushed back, errored
    LOST = "lost"  # its connection ended without an answer
    OVER = "over"  # what became of a need, all tries together; told: met, late, pushed back, errored, lost
    # Engines.
    ARRIVED = "arrived"  # a dispatch came whole
    NEVER = "never ran"  # ... and was pushed back, or dropped before it began
    BEGAN = "began"
    ENDED = "ended"
    CALLED = "called"  # a connection came; told: taken or refused
    FELL = "fell"  # told: the managers whose work it was
    # The feed.
    TOLD = "told"  # a manager was written a change of an engine; told: its state
    # Processes.
    STARTED = "started"  # told: release
    READY = "ready"
    DIED = "died"  # told: how
    STRUCK = "struck"  # by the script: killed, frozen, thawed, ended
    FAULT = "fault"  # a fault of the script begins or ends; told: which


@dataclass(slots=True)
class Row:
    """`at` in the module's unit since the start of the load. `figure`: the time limit of a batch sent, the
    work of a dispatch, the latency of a need that is over."""

    at: int
    what: What
    batch: str = ""
    group: str = ""
    manager: str = ""
    engine: str = ""
    told: str = ""
    figure: float = 0.0
    need: int = 0


class Record:
    """Rows as they come, up to `most`: past it a play is cut off rather than the machine's memory filled."""

    def __init__(self, most: int = 5_000_000) -> None:
        self.rows, self._most = list[Row](), most

    @property
    def full(self) -> bool:
        return len(self.rows) >= self._most

    def add(self, row: Row) -> None:
        if not self.full:
            self.rows.append(row)
