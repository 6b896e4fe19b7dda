"""How an attempt ended on the wire, and the one table that names its outcome for the decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import Outcome


class AttemptStage(Enum):
    """How far the attempt had come when it ended."""

    NOT_CONNECTED = "not connected"
    PARTLY_WRITTEN = "partly written"
    """Proved: its last byte never left, so no engine had the whole of it."""
    WRITTEN = "written whole"
    """Written, or not proved otherwise."""
    PARTIAL_ANSWER = "answered, pages missing"
    COMPLETE_ANSWER = "answered whole"


class EndCause(Enum):
    """What ended the attempt."""

    OK = "ok"
    BUSY = "busy"
    ERROR = "error"
    VOID = "void"
    MALFORMED = "unreadable answer"
    CONNECTION_REFUSED = "connection refused"
    CONNECT_TIMEOUT = "connect time-out"
    CONNECTION_LOST = "connection lost"
    TIMEOUT = "time-out"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt: its cause, how far it had come, and what the engine answered.

    `fields` are the named values of the engine's answer; `detail` says what of it could not be read.
    """

    cause: EndCause
    stage: AttemptStage
    rows: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    detail: str = ""


# An attempt counts as one that never ran only where that is proved. An answer whose pages are missing was
# given by an engine that ran the query, whatever comes after.
OUTCOMES: dict[tuple[EndCause, AttemptStage], Outcome] = {
    (EndCause.OK, AttemptStage.COMPLETE_ANSWER): Outcome.COMPLETED,
    (EndCause.BUSY, AttemptStage.WRITTEN): Outcome.REJECTED,
    (EndCause.BUSY, AttemptStage.PARTIAL_ANSWER): Outcome.FAILED,
    (EndCause.ERROR, AttemptStage.WRITTEN): Outcome.FAILED,
    (EndCause.ERROR, AttemptStage.PARTIAL_ANSWER): Outcome.FAILED,
    (EndCause.VOID, AttemptStage.WRITTEN): Outcome.NOT_SENT,
    (EndCause.VOID, AttemptStage.PARTIAL_ANSWER): Outcome.FAILED,
    (EndCause.MALFORMED, AttemptStage.WRITTEN): Outcome.MALFORMED,
    (EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER): Outcome.MALFORMED,
    (EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (EndCause.CONNECT_TIMEOUT, AttemptStage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (EndCause.CONNECTION_LOST, AttemptStage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (EndCause.CONNECTION_LOST, AttemptStage.PARTLY_WRITTEN): Outcome.NO_CONNECTION,
    (EndCause.CONNECTION_LOST, AttemptStage.WRITTEN): Outcome.RESET,
    (EndCause.CONNECTION_LOST, AttemptStage.PARTIAL_ANSWER): Outcome.RESET,
    (EndCause.TIMEOUT, AttemptStage.NOT_CONNECTED): Outcome.NO_CONNECTION,
    (EndCause.TIMEOUT, AttemptStage.WRITTEN): Outcome.TIMED_OUT,
    (EndCause.TIMEOUT, AttemptStage.PARTIAL_ANSWER): Outcome.TIMED_OUT,
    (EndCause.CANCELLED, AttemptStage.NOT_CONNECTED): Outcome.NOT_SENT,
    (EndCause.CANCELLED, AttemptStage.WRITTEN): Outcome.CANCELLED,
    (EndCause.CANCELLED, AttemptStage.PARTIAL_ANSWER): Outcome.CANCELLED,
    (EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED): Outcome.NOT_SENT,
}


def outcome(end: AttemptEnd) -> Outcome:
    """The outcome that the decisions are told of."""
    return OUTCOMES[end.cause, end.stage]
