"""Decodes the named fields of client requests and encodes those of rejections.

No other module knows the names of these fields on the wire.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from vanerelay.net import frames
from vanerelay.received_numbers import NUMBER_LIMIT

REFERENCE_PATTERN = re.compile("[0-9a-fA-F]{16}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
KEY_PATTERN = re.compile(r"[0-9a-zA-Z_.:/+-]{1,128}")
"""An idempotency key or order key. Keys are sent in a list of fields, so commas and equals signs are not
allowed.
"""
TICKS_PER_MS = 10
MAX_CHARACTER_BYTES = 4
"""The length of the longest character in UTF-8."""
MAX_LOGGED_REFERENCE_LENGTH = 16
"""Maximum number of characters of an unchecked reference in a log line."""


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A query as its client sent it.

    Times are in ticks and memory is in MB; 0 if the client gave no value.

    Attributes:
        time_limit: How long the client waits for the answer.
        estimated_cost: The work that the client expects.
        idempotency_key: The key by which engines recognise a repeated execution.
        order_key: Queries of an ordered class with the same key run one after the other.
        body: The statement as it is sent to the engine, in UTF-8.
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

    @property
    def statement(self) -> str:
        """The statement as text."""
        return self.body.decode()

    def beginning(self, characters: int) -> str:
        """Returns at most the first `characters` of the statement."""
        return self.body[: characters * MAX_CHARACTER_BYTES].decode(errors="ignore")[:characters]


def parse(frame: frames.Frame) -> QueryRequest | None:
    """Returns the request in a frame, or None if a field is missing or invalid."""
    fields = frame.fields
    time_limit, cost, memory = (parse_number(fields, name) for name in ("allow", "effort", "space"))
    keys = [fields.get(name, "") for name in ("replay", "lookup")]
    if time_limit is None or cost is None or memory is None or not _is_text(frame.body):
        return None
    name = reference(fields)
    if name is None or any(key and not KEY_PATTERN.fullmatch(key) for key in keys):
        return None
    return QueryRequest(
        reference=name,
        service_class=service_class(fields),
        tenant=fields.get("project", ""),
        time_limit=int(time_limit * TICKS_PER_MS),
        estimated_cost=math.ceil(cost * TICKS_PER_MS),
        estimated_memory=memory,
        idempotency_key=keys[0].encode(),
        order_key=keys[1],
        body=frame.body,
    )


def service_class(fields: Mapping[str, str]) -> str:
    """Returns the service class that a request names, valid or not."""
    return fields.get("service", "")


def reference(fields: Mapping[str, str]) -> str | None:
    """Returns the reference of a request; None if it is missing or invalid."""
    value = fields.get("ref", "")
    return value if REFERENCE_PATTERN.fullmatch(value) else None


def reference_for_log(fields: Mapping[str, str]) -> str:
    """Returns the reference of a request, valid or not, shortened for log lines."""
    return fields.get("ref", "")[:MAX_LOGGED_REFERENCE_LENGTH]


def retry_after_fields(retry_after: int) -> dict[str, str]:
    """Returns the fields of a rejection that asks for a wait of `retry_after` ticks; none for 0."""
    return {"cooldown": str(retry_after // TICKS_PER_MS)} if retry_after > 0 else {}


def explanation_fields(explanation: str | None) -> dict[str, str]:
    """Returns the fields of a failure with an explanation for the client; empty if there is none."""
    return {} if explanation is None else {"why": explanation}


def parse_number(fields: Mapping[str, str], name: str) -> float | None:
    """Returns the number in a field, 0 if it is absent (`allow` is required), or None if it is invalid."""
    text = fields.get(name, "" if name == "allow" else "0")
    value = float(text) if NUMBER_PATTERN.fullmatch(text) else NUMBER_LIMIT
    return value if value < NUMBER_LIMIT else None


def _is_text(body: bytes) -> bool:
    """Returns True if the body is valid UTF-8 and not empty."""
    if body.isascii():
        return bool(body)
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True
