"""The simulator's words and list entries, turned into the project's own. Nothing here chooses."""

from __future__ import annotations

from typing import Any

from vanerelay.interface import EngineEntry, EngineState, Outcome, ProgressKind
from vanerelay.settings import up

OUTCOMES = {
    "GOOD": Outcome.COMPLETED,
    "BAD": Outcome.FAILED,
    "FULL": Outcome.REJECTED,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.NO_CONNECTION,
    "RST": Outcome.RESET,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
STATES = {"U": EngineState.UP, "L": EngineState.DRAINING, "D": EngineState.GONE}
NOTES = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILL, 3: ProgressKind.WAITING}


def engine_entry(index: int, row: dict[str, Any]) -> EngineEntry:
    return EngineEntry(
        index=index,
        name=row["engine"],
        zone=int(row.get("rackZone", 0)),
        machine_kind=int(row.get("generationHw", 0)),
        cell=int(row.get("cell", 0)),
        state=STATES[row.get("condition", "U")],
        weight=1.0,  # the wire's word is the size of the machine, which its kind tells too
        started_at=up(row.get("bornUs") or 0),
    )


def billed(note: int) -> tuple[int, float]:
    """Work (module time) and memory (MB) that an answer told."""
    return (note >> 12) * 10, (note & 4095) * 4.0
