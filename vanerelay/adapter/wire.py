"""The names on the simulator's wire: its events, their fields and values, read into the project's own types.

The wire's names stand in this module and in `orders`, and nowhere else. Fields are read when they are asked
for: an event for a query that is not held any more is not looked at further.
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
IS_RETRY = 2

COST_SHIFT = 12
"""Bits below the work in what an answer reports of its cost; they hold the peak memory."""

TICKS_PER_MILLISECOND = 10
"""Work is reported in milliseconds."""

MB_PER_MEMORY_UNIT = 4.0
"""Peak memory is reported in units of 4 MB."""


def now_of(message: Any) -> int:
    """The moment of a message, in ticks."""
    return ticks_ceil(message["clockUs"])


def events_of(message: Any) -> list[Event]:
    """The events of a message."""
    events: list[Event] = message["input"]
    return events


def verb(event: Event) -> str:
    """What has happened: one of this module's constants."""
    name: str = event["verb"]
    return name


def gateway_number(event: Event) -> int:
    """The gateway that an event is for."""
    number: int = event["manager"]
    return number


def page_number(event: Event) -> int:
    """The page of engine entries that an event brings or refers to."""
    number: int = event["page"]
    return number


def page_rows(event: Event) -> list[dict[str, Any]]:
    """The engine entries that an event brings."""
    return list(event.get("items") or [])


def seed(event: Event) -> int:
    """The seed of a gateway that starts."""
    value: int = event["initSeed"]
    return value


def raw_settings(event: Event) -> dict[str, Any]:
    """The settings of a gateway that starts."""
    value: dict[str, Any] = event["profileData"]
    return value


def query_name(event: Event) -> str:
    """The name of the query that an event is about."""
    name: str = event["requestId"]
    return name


def attempt_number(event: Event) -> int:
    """The number of the attempt that an event is about."""
    return int(event.get("seqNo", 0))


def timer_key(event: Event) -> int:
    """The key of a timer that fired."""
    key: int = event["keyBack"]
    return key


def progress_kind(event: Event) -> ProgressKind | None:
    """What an engine reported of an attempt; None where it is nothing that we know."""
    return PROGRESS_KINDS.get(event["sort"])


def progress_value(event: Event) -> float:
    """The value of a progress report."""
    return float(event.get("x", 0.0))


def is_final(event: Event) -> bool:
    """Whether the query is answered with the end of this attempt, or was before."""
    return bool(event.get("over"))


def outcome(event: Event) -> Outcome:
    """How an attempt or a probe ended."""
    return OUTCOMES[event["status"]]


def telemetry(event: Event) -> dict[str, Any] | None:
    """The values that an engine reported of its load, by the wire's names."""
    return event.get("telemetry")


def attempt_result(event: Event, report_names: dict[str, str]) -> AttemptResult:
    """The result of an attempt."""
    ended_as = outcome(event)
    work, memory = cost(int(event.get("note") or 0))
    report = settings.load_report(report_names, telemetry(event))
    return AttemptResult(ended_as, ticks_floor(event.get("durationUs", 0)), work, memory, report)


def cost(note: int) -> tuple[int, float]:
    """Work in ticks and peak memory in MB, as an answer reports them in one number."""
    work = (note >> COST_SHIFT) * TICKS_PER_MILLISECOND
    memory = (note & ((1 << COST_SHIFT) - 1)) * MB_PER_MEMORY_UNIT
    return work, memory


def arrival(event: Event, index: int) -> QueryArrival:
    """A query that came in."""
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
    """How the engine list came, or that it failed."""
    form: str = event["form"]
    return form


def engine_name(event: Event) -> str:
    """The name of the engine that an event or a row of a page is about."""
    name: str = event["engine"]
    return name


def engine_entry(index: int, row: dict[str, Any]) -> EngineEntry:
    """One row of a page. The wire's size of an engine is its machine's, which the kind states as well."""
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
    """The gateway that sent a datagram."""
    return int(event["neighbour"])


def peer_data(event: Event) -> bytes:
    """The bytes of a datagram."""
    return base64.b64decode(event.get("data") or "")
