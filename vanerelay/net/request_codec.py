"""The named values of clients' requests and of rejections, whose names on the wire stand here alone."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from vanerelay.net import frames

REFERENCE_PATTERN = re.compile("[0-9a-fA-F]{16}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
KEY_PATTERN = re.compile(r"[0-9a-zA-Z_.:/+-]{1,128}")
"""An idempotency key or order key: it stands in a list of fields, between commas and signs of equality."""
NUMBER_LIMIT = 1e8
"""No work is as long in milliseconds, no memory as large in MB."""
TICKS_PER_MS = 10
MAX_LOGGED_REFERENCE_LENGTH = 16


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A query as its client asks for it. Times in ticks, memory in MB, 0 where nothing is given.

    Attributes:
        time_limit: How long the client waits for the answer.
        idempotency_key: By it engines recognise a repeat.
        order_key: Queries of an ordered class that share it run one after the other.
        body: The statement as it goes to the engine; `statement` is the same as text.
    """

    reference: str
    service_class: str
    tenant: str
    time_limit: int
    estimated_cost: int
    estimated_memory: float
    idempotency_key: bytes
    order_key: str
    body: bytes
    statement: str


def parse(frame: frames.Frame) -> QueryRequest | None:
    """The request of a frame; None where something is missing or can't be used."""
    fields = frame.fields
    time_limit, cost, memory = (parse_number(fields, name) for name in ("allow", "effort", "space"))
    statement = _decode_utf8(frame.body)
    keys = [fields.get(name, "") for name in ("replay", "lookup")]
    if time_limit is None or cost is None or memory is None or not statement:
        return None
    if not REFERENCE_PATTERN.fullmatch(fields.get("ref", "")) or any(
        key and not KEY_PATTERN.fullmatch(key) for key in keys
    ):
        return None
    return QueryRequest(
        reference=fields["ref"],
        service_class=service_class(fields),
        tenant=fields.get("project", ""),
        time_limit=int(time_limit * TICKS_PER_MS),
        estimated_cost=math.ceil(cost * TICKS_PER_MS),
        estimated_memory=memory,
        idempotency_key=keys[0].encode(),
        order_key=keys[1],
        body=frame.body,
        statement=statement,
    )


def service_class(fields: Mapping[str, str]) -> str:
    """The service class that a request names, usable or not."""
    return fields.get("service", "")


def reference_for_log(fields: Mapping[str, str]) -> str:
    """The reference of a request, usable or not, as far as a log line takes it."""
    return fields.get("ref", "")[:MAX_LOGGED_REFERENCE_LENGTH]


def retry_after_fields(retry_after: int) -> dict[str, str]:
    """The named values of a rejection: after how many ticks the client may come again; none for 0."""
    return {"cooldown": str(retry_after // TICKS_PER_MS)} if retry_after > 0 else {}


def explanation_fields(explanation: str | None) -> dict[str, str]:
    """The named values of a failure that explains itself to its client; none for None."""
    return {} if explanation is None else {"why": explanation}


def parse_number(fields: Mapping[str, str], name: str) -> float | None:
    """A figure as given, 0 where it is not; None where it cannot be used."""
    text = fields.get(name, "" if name == "allow" else "0")
    value = float(text) if NUMBER_PATTERN.fullmatch(text) else NUMBER_LIMIT
    return value if value < NUMBER_LIMIT else None


def _decode_utf8(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
