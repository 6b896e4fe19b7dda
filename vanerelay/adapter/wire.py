"""Decodes the events of the simulator's protocol into the types of this project.

Only this module and `orders` contain the names of the protocol. Each field is read by a function of its own,
so that the other fields of an event are not read if its query is no longer held.
"""

from __future__ import annotations

import base64
from typing import Any

from vanerelay import settings
from vanerelay.interface import AttemptResult, EngineEntry, EngineState, Outcome, ProgressKind, QueryArrival
from vanerelay.settings import ticks_ceil, ticks_floor

Event = dict[str, Any]

ENGINE_PAGE = "census"
GATEWAY_STARTED = "up"
GATEWAY_KILLED = "killed"
ATTEMPT_ENDED = "verdict"
QUERY_ARRIVED = "ingress"
TIMER_FIRED = "fired"
ATTEMPT_PROGRESSED = "notice"
CLIENT_LEFT = "left"
RESULT_BEGAN = "first"
ENGINE_LIST_CHANGED = "rosterChange"
PROBE_COMPLETED = "checkResult"
PEER_MESSAGE = "fromPeer"

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
ENGINE_STATES = {"U": EngineState.UP, "L": EngineState.DRAINING, "D": EngineState.GONE}
PROGRESS_KINDS = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILL, 3: ProgressKind.WAITING}

LIST_FAILED = "failed"
LIST_DELTA = "delta"
LIST_FORMS = ("delta", "full", "cached")

HAS_COST_ESTIMATE = 1
"""The flag in the `bits` of a query for a valid cost estimate."""
IS_RETRY = 2
"""The flag in the `bits` of a query for a retry by its client."""

COST_SHIFT = 12
"""The number of low bits in a reported cost that hold the peak memory; the bits above hold the work."""

TICKS_PER_MILLISECOND = 10
"""The ticks per unit of reported work, which is a millisecond."""

MB_PER_MEMORY_UNIT = 4.0
"""The megabytes per unit of reported peak memory."""


def now_of(message: Any) -> int:
    """Returns the time of a message, in ticks."""
    return ticks_ceil(message["clockUs"])


def events_of(message: Any) -> list[Event]:
    """Returns the events of a message."""
    events: list[Event] = message["input"]
    return events


def verb(event: Event) -> str:
    """Returns the kind of an event, which is one of the constants of this module."""
    name: str = event["verb"]
    return name


def gateway_number(event: Event) -> int:
    """Returns the number of the gateway that an event is for."""
    number: int = event["manager"]
    return number


def page_number(event: Event) -> int:
    """Returns the number of the page of the engine list that an event contains or refers to."""
    number: int = event["page"]
    return number


def page_rows(event: Event) -> list[dict[str, Any]]:
    """Returns the rows of the page of the engine list that an event contains."""
    return list(event.get("items") or [])


def seed(event: Event) -> int:
    """Returns the random seed of a gateway that starts."""
    value: int = event["initSeed"]
    return value


def raw_settings(event: Event) -> dict[str, Any]:
    """Returns the undecoded settings of a gateway that starts."""
    value: dict[str, Any] = event["profileData"]
    return value


def query_name(event: Event) -> str:
    """Returns the name of the query that an event is about."""
    name: str = event["requestId"]
    return name


def attempt_number(event: Event) -> int:
    """Returns the number of the attempt that an event is about."""
    return int(event.get("seqNo", 0))


def timer_key(event: Event) -> int:
    """Returns the key of a timer that fired."""
    key: int = event["keyBack"]
    return key


def progress_kind(event: Event) -> ProgressKind | None:
    """Returns the kind of a progress report; None if it is unknown."""
    return PROGRESS_KINDS.get(event["sort"])


def progress_value(event: Event) -> float:
    """Returns the value of a progress report."""
    return float(event.get("x", 0.0))


def is_final(event: Event) -> bool:
    """Returns True if the query is answered at the end of this attempt, or was answered before."""
    return bool(event.get("over"))


def outcome(event: Event) -> Outcome:
    """Returns the outcome of an attempt or a probe."""
    return OUTCOMES[event["status"]]


def telemetry(event: Event) -> dict[str, Any] | None:
    """Returns the load values that an engine reported, by their names in the protocol."""
    return event.get("telemetry")


def attempt_result(event: Event, report_names: dict[str, str]) -> AttemptResult:
    """Returns the result of an attempt."""
    result_outcome = outcome(event)
    work, memory = decode_cost(int(event.get("note") or 0))
    report = settings.load_report(report_names, telemetry(event))
    return AttemptResult(result_outcome, ticks_floor(event.get("durationUs", 0)), work, memory, report)


def decode_cost(note: int) -> tuple[int, float]:
    """Returns the work in ticks and the peak memory in MB that an answer reports in one number."""
    work = (note >> COST_SHIFT) * TICKS_PER_MILLISECOND
    memory = (note & ((1 << COST_SHIFT) - 1)) * MB_PER_MEMORY_UNIT
    return work, memory


def arrival(event: Event, index: int) -> QueryArrival:
    """Returns the query that has arrived, under this index."""
    bits = int(event.get("bits") or 0)
    return QueryArrival(
        index=index,
        service_class=int(event.get("lane", 0)),
        tenant=int(event.get("clientGroup", 0)),
        order_key=event.get("relation"),
        deadline=ticks_floor(event["clientDeadlineUs"]),
        estimated_cost=ticks_ceil(event.get("guessUs") or 0) if bits & HAS_COST_ESTIMATE else 0,
        estimated_memory=float(event.get("memMb") or 0.0),
        table_group=int(event.get("tableGroup") or 0),
        is_retry=bool(bits & IS_RETRY),
    )


def list_form(event: Event) -> str:
    """Returns the form of an engine list change: one of `LIST_FORMS`, or `LIST_FAILED`."""
    form: str = event["form"]
    return form


def engine_name(event: Event) -> str:
    """Returns the name of the engine that an event or a row of a page is about."""
    name: str = event["engine"]
    return name


def engine_entry(index: int, row: dict[str, Any]) -> EngineEntry:
    """Returns the engine in a row of a page.

    The size in the row is not used, as it is the size of the machine, which follows from the machine kind.
    """
    return EngineEntry(
        index=index,
        name=row["engine"],
        zone=int(row.get("rackZone", 0)),
        machine_kind=int(row.get("generationHw", 0)),
        cell=int(row.get("cell", 0)),
        state=ENGINE_STATES[row.get("condition", "U")],
        weight=1.0,
        started_at=ticks_ceil(row.get("bornUs") or 0),
    )


def peer(event: Event) -> int:
    """Returns the number of the gateway that sent a datagram."""
    return int(event["neighbour"])


def peer_data(event: Event) -> bytes:
    """Returns the content of a datagram."""
    return base64.b64decode(event.get("data") or "")
