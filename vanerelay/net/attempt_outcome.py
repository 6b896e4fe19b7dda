"""How an attempt at an engine ended, as a value, and the one table that names the module's outcome for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import Outcome


class Stage(Enum):
    """How far the attempt had come."""

    NOT_CONNECTED = "not connected"
    PARTLY_WRITTEN = "partly written"  # proved: its last byte never left, so no engine had it whole
    WRITTEN = "written whole"  # or not proved otherwise
    PAGES_MISSING = "answered, pages missing"
    WHOLE = "answered whole"


class Cause(Enum):
    OK = "ok"
    BUSY = "busy"
    ERR = "error"
    VOID = "void"
    UNREADABLE = "unreadable answer"
    REFUSED = "connection refused"
    CONNECT_TIME_OUT = "connect time-out"
    LOST = "connection lost"
    TIME_OUT = "time-out"
    CANCELLED = "cancelled"
    OVER = "never sent"


@dataclass(frozen=True, slots=True)
class End:
    cause: Cause
    stage: Stage
    rows: bytes = b""
    told: dict[str, str] = field(default_factory=dict)
    why: str = ""  # of what could not be read


# What is not proved never to have run is not said not to have run. An answer whose pages are missing was
# given by an engine that ran the query, whatever comes after.
OUTCOMES: dict[tuple[Cause, Stage], Outcome] = {
    (Cause.OK, Stage.WHOLE): Outcome.RETURNED,
    (Cause.BUSY, Stage.WRITTEN): Outcome.PUSHED_BACK,
    (Cause.BUSY, Stage.PAGES_MISSING): Outcome.ERRORED,
    (Cause.ERR, Stage.WRITTEN): Outcome.ERRORED,
    (Cause.ERR, Stage.PAGES_MISSING): Outcome.ERRORED,
    (Cause.VOID, Stage.WRITTEN): Outcome.NOT_SENT,
    (Cause.VOID, Stage.PAGES_MISSING): Outcome.ERRORED,
    (Cause.UNREADABLE, Stage.WRITTEN): Outcome.SPOILT,
    (Cause.UNREADABLE, Stage.PAGES_MISSING): Outcome.SPOILT,
    (Cause.REFUSED, Stage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (Cause.CONNECT_TIME_OUT, Stage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (Cause.LOST, Stage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (Cause.LOST, Stage.PARTLY_WRITTEN): Outcome.NO_CONNECTION,
    (Cause.LOST, Stage.WRITTEN): Outcome.RESET,
    (Cause.LOST, Stage.PAGES_MISSING): Outcome.RESET,
    (Cause.TIME_OUT, Stage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (Cause.TIME_OUT, Stage.WRITTEN): Outcome.TIMED_OUT,
    (Cause.TIME_OUT, Stage.PAGES_MISSING): Outcome.TIMED_OUT,
    (Cause.CANCELLED, Stage.NOT_CONNECTED): Outcome.NOT_SENT,
    (Cause.CANCELLED, Stage.WRITTEN): Outcome.CANCELLED,
    (Cause.CANCELLED, Stage.PAGES_MISSING): Outcome.CANCELLED,
    (Cause.OVER, Stage.NOT_CONNECTED): Outcome.NOT_SENT,
}


def outcome(end: End) -> Outcome:
    return OUTCOMES[end.cause, end.stage]
