"""How an attempt ended on its connection, and the outcome that is reported to the policy for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import Outcome


class AttemptStage(Enum):
    """How far an attempt had progressed when it ended."""

    NOT_CONNECTED = "not connected"
    PARTLY_WRITTEN = "partly written"
    """The last byte was certainly not sent, so that no engine received the whole request."""
    WRITTEN = "written whole"
    """The request was written, or it is not certain that it was not."""
    PARTIAL_ANSWER = "answered, pages missing"
    COMPLETE_ANSWER = "answered whole"


class EndCause(Enum):
    """The cause of an attempt's end."""

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
    """The end of an attempt.

    Attributes:
        cause: What ended the attempt.
        stage: How far the attempt had progressed.
        rows: The rows of the engine's answer.
        fields: The named values of the engine's answer.
        detail: The part of the answer that could not be read, and why.
    """

    cause: EndCause
    stage: AttemptStage
    rows: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    detail: str = ""


# An attempt is treated as one that never ran only if that is certain. After a partial answer the query has
# run, whatever follows.
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
    """Returns the outcome that is reported to the policy."""
    return OUTCOMES[end.cause, end.stage]
