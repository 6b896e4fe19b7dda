"""How a call ended: gRPC's codes, their form on the wire, and how far the call had come."""

from __future__ import annotations

import re
import urllib.parse
from collections.abc import Mapping
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
    """How a call ended.

    Attributes:
        may_have_run: False only where nothing of the call can have run at the other side: it never left as a
            whole, was refused before it was looked at, or came after the last call that a peer going away
            takes.
    """

    code: Code
    message: str = ""
    may_have_run: bool = True


OK = Status(Code.OK)

HTTP_CODES = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}
"""The codes for HTTP statuses of answers that are none of gRPC's, as the specification maps them."""

MAX_MESSAGE_CHARACTERS = 1000
"""How much of a status's message is sent, so that trailers stay below a peer's limit of headers."""

_CODES = {code.value: code for code in Code}
_PLAIN_CHARACTERS = " !#$&'()*+,/:;=?@[]~"
"""Characters of a message that go as they are; all others are percent-encoded."""
_TIMEOUT = re.compile(r"([0-9]{1,8})([HMSmun])")
_TIMEOUT_UNITS = {
    "H": 3600 * SECOND,
    "M": 60 * SECOND,
    "S": SECOND,
    "m": SECOND / 1000,
    "u": SECOND / 10**6,
    "n": SECOND / 10**9,
}


def parse_timeout(text: str) -> int | None:
    """A `grpc-timeout` in ticks, rounded down; None where it is malformed."""
    match = _TIMEOUT.fullmatch(text)
    return int(int(match[1]) * _TIMEOUT_UNITS[match[2]]) if match else None


def encode_trailers(status: Status) -> list[tuple[str, str]]:
    """The trailers that carry a status."""
    trailers = [("grpc-status", str(status.code.value))]
    if status.message:
        message = urllib.parse.quote(status.message[:MAX_MESSAGE_CHARACTERS], safe=_PLAIN_CHARACTERS)
        trailers.append(("grpc-message", message))
    return trailers


def decode_trailers(trailers: Mapping[str, str]) -> Status:
    """The status that trailers carry; UNKNOWN where they carry none."""
    text = trailers.get("grpc-status", "")
    if not text.isdecimal() or len(text) > 3:
        return Status(Code.UNKNOWN, "no grpc-status")
    message = urllib.parse.unquote(trailers.get("grpc-message", ""))
    return Status(_CODES.get(int(text), Code.UNKNOWN), message)
