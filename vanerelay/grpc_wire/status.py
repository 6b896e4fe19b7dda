"""How a call ended: gRPC's codes, their words on the wire, and how far it had come."""

from __future__ import annotations

import re
import urllib.parse
from dataclasses import dataclass
from enum import IntEnum

from vanerelay.interface import SECOND


class Code(IntEnum):
    """Codes of the gRPC specification."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


@dataclass(frozen=True, slots=True)
class Status:
    """An end. `ran` is False only where nothing of the call can have run at the other side: it never left
    whole, was refused before it was looked at, or came after the last that a peer going away has taken."""

    code: Code
    message: str = ""
    ran: bool = True


OK = Status(Code.OK)
CODES = {code.value: code for code in Code}
# HTTP statuses of answers that are none of gRPC's, as the specification maps them.
HTTP = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}
TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
UNITS = {
    "H": 3600 * SECOND,
    "M": 60 * SECOND,
    "S": SECOND,
    "m": SECOND / 1000,
    "u": SECOND / 10**6,
    "n": SECOND / 10**9,
}


def timeout(text: str) -> int | None:
    """A `grpc-timeout` in tenths of a millisecond, rounded down; None where it is none."""
    found = TIMEOUT.fullmatch(text)
    return int(int(found[1]) * UNITS[found[2]]) if found else None


def told(status: Status) -> list[tuple[str, str]]:
    """The trailers that tell a status."""
    trailers = [("grpc-status", str(status.code.value))]
    if status.message:
        trailers.append(
            ("grpc-message", urllib.parse.quote(status.message[:1000], safe=" !#$&'()*+,/:;=?@[]~"))
        )
    return trailers


def heard(trailers: dict[str, str]) -> Status:
    """A status out of trailers; UNKNOWN where they tell none."""
    text = trailers.get("grpc-status", "")
    if not text.isdecimal() or len(text) > 3:
        return Status(Code.UNKNOWN, "no grpc-status")
    return Status(CODES.get(int(text), Code.UNKNOWN), urllib.parse.unquote(trailers.get("grpc-message", "")))
