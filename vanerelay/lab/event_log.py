"""What was seen in a run, event by event: from the clients' and the engines' side, never from a gateway's."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

MAX_EVENTS = 5_000_000
"""Past it a run's log is cut off rather than the machine's memory filled."""


class EventKind(Enum):
    """What has happened, and what the event's detail says of it."""

    # Clients.
    SENT = "sent"
    """A query was written to a connection that the gateway had accepted; its release."""
    ANSWERED = "answered"
    """A `QueryResult`."""
    LOST = "lost"
    """A query's connection ended without an answer."""
    REQUEST_ENDED = "request ended"
    """A `RequestOutcome`, over all queries of the request; `query` is the gateway's release."""
    # Engines.
    ARRIVED = "arrived"
    """An attempt came."""
    NEVER_RAN = "never ran"
    """An attempt was rejected, or dropped before it began."""
    BEGAN = "began"
    ENDED = "ended"
    CONNECTED = "connected"
    """A connection came: `CONNECTION_TAKEN` or `CONNECTION_REFUSED`."""
    OVERLOADED = "overloaded"
    """An engine fell over: `gateway=work` for each gateway whose work it was."""
    # Discovery.
    NOTIFIED = "notified"
    """A gateway was sent a change of an engine: its `EngineState`."""
    # Processes.
    STARTED = "started"
    """The release, or the command."""
    READY = "ready"
    DIED = "died"
    """How, empty where it was meant to."""
    STRUCK = "struck"
    """A fault of the scenario hit a gateway or an engine."""
    FAULT = "fault"
    """A fault of the scenario begins or ends: which."""


class QueryResult(StrEnum):
    """What a client was answered."""

    COMPLETED = "returned"
    REJECTED = "pushed back"
    FAILED = "errored"


class RequestOutcome(StrEnum):
    """What became of a client's request, all its queries together."""

    MET = "met"
    """Completed within the latency objective."""
    LATE = "late"
    REJECTED = "pushed back"
    FAILED = "errored"
    LOST = "lost"
    UNANSWERED = "unanswered"


class EngineState(StrEnum):
    """The state of an engine in the endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


NEVER_RAN_REJECTED, NEVER_RAN_DROPPED = "pushed back", "dropped"
CONNECTION_TAKEN, CONNECTION_REFUSED = "taken", "refused"


@dataclass(slots=True)
class Event:
    """One thing that was seen.

    Attributes:
        at: in ticks since the start of the load.
        value: the deadline of a query sent, the work of an attempt, the latency of a request that ended.
    """

    at: int
    kind: EventKind
    query: str = ""
    service_class: str = ""
    gateway: str = ""
    engine: str = ""
    detail: str = ""
    value: float = 0.0
    request: int = 0


@dataclass(frozen=True, slots=True)
class Lateness:
    """When the laboratory itself was late, and by how much, in ticks."""

    at: int
    late_by: int


class EventLog:
    """Events in order of time."""

    def __init__(self, max_events: int = MAX_EVENTS) -> None:
        self.events, self._max_events = list[Event](), max_events

    def add(self, event: Event) -> None:
        """Keeps an event, unless the log is full."""
        if len(self.events) < self._max_events:
            self.events.append(event)


__all__ = ["EngineState", "Event", "EventKind", "EventLog", "Lateness", "QueryResult", "RequestOutcome"]
