"""What a client's request tells, read and checked: nothing that an engine could not use goes further."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from vanerelay.net import frames

REFERENCE = re.compile("[0-9a-fA-F]{16}")
FIGURE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
KEY = re.compile(
    r"[0-9a-zA-Z_.:/+-]{1,128}"
)  # stands in a list of fields, between commas and signs of equality
FIGURE_MOST = 1e8  # no work is as long in milliseconds, no memory as large in MB
TENTHS = 10  # of a millisecond, the module's unit


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A query as its client asks for it. Times in tenths of a millisecond, memory in MB, 0 where not told.

    `idempotency_key`: by it engines recognise a repeat; `order_key`: queries that share it run in order.
    """

    reference: str
    service_class: str
    tenant: str
    allowed: int
    cost: int
    memory: float
    idempotency_key: bytes
    order_key: str
    body: bytes
    statement: str


def parse(frame: frames.Frame) -> QueryRequest | None:
    """None where something is missing or can't be used."""
    told = frame.fields
    allowed, effort, space = (figure(told, name) for name in ("allow", "effort", "space"))
    statement = _text(frame.body)
    keys = [told.get(name, "") for name in ("replay", "lookup")]
    if allowed is None or effort is None or space is None or not statement:
        return None
    if not REFERENCE.fullmatch(told.get("ref", "")) or any(key and not KEY.fullmatch(key) for key in keys):
        return None
    return QueryRequest(
        reference=told["ref"],
        service_class=told.get("service", ""),
        tenant=told.get("project", ""),
        allowed=int(allowed * TENTHS),
        cost=math.ceil(effort * TENTHS),
        memory=space,
        idempotency_key=keys[0].encode(),
        order_key=keys[1],
        body=frame.body,
        statement=statement,
    )


def figure(told: Mapping[str, str], name: str) -> float | None:
    """A figure as told, 0 where it is not; None where it cannot be used."""
    text = told.get(name, "" if name == "allow" else "0")
    value = float(text) if FIGURE.fullmatch(text) else FIGURE_MOST
    return value if value < FIGURE_MOST else None


def _text(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
