"""What one connection may cost: its limits, and a meter of frames that cost without use. Pure.

A peer that floods cheap frames (pings, resets, settings, empty data: HTTP/2's published floods) makes the
other side work for nothing. Each kind is counted over a window, and above its limit the connection ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = (
    range(10)
)

REFUSED_CALL = 256
"""Counted beside the frame types, and none of them: a call above the limit of calls."""

UNKNOWN_TYPE = -1
"""Under which all frame types that HTTP/2 does not define are counted."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one connection.

    Attributes:
        max_calls: Calls open at once.
        max_message_bytes: The size of a message, decompressed.
        max_header_bytes: The size of a request's headers, decompressed.
        max_queued_bytes: The bytes that one call may have queued to be sent.
        ping_after: The time without a byte after which the peer is pinged.
        ping_timeout: How long the peer has to answer a ping.
        handshake_timeout: How long the peer's first frames may take.
    """

    max_calls: int = config_field("streams", default=100)
    max_message_bytes: int = config_field("message", default=4 * 2**20)
    max_header_bytes: int = config_field("headers", default=16 * 2**10)
    max_queued_bytes: int = config_field("waiting", default=16 * 2**20)
    ping_after: Duration = config_field("quiet", default=30 * SECOND)
    ping_timeout: Duration = config_field("answer", default=10 * SECOND)
    handshake_timeout: Duration = config_field("greeting", default=5 * SECOND)


class FloodMeter:
    """Counts the frames of one connection that cost without use."""

    WINDOW = 10 * SECOND
    MAX_FRAMES = {
        PRIORITY: 200,
        RST_STREAM: 300,
        SETTINGS: 50,
        PING: 100,
        CONTINUATION: 100,
        WINDOW_UPDATE: 50_000,
    }
    """The frames of each type that a window may hold: far above what a peer that behaves sends."""
    MAX_EMPTY_DATA = 200
    """The frames of data without a byte that a window may hold."""
    MAX_OTHER = 100
    """The frames of any other type, and refused calls, that a window may hold."""

    def __init__(self) -> None:
        self._window_start = 0
        self._counts = dict[int, int]()

    def count(self, now: int, frame_type: int, size: int) -> str | None:
        """Counts a frame; the reason if the connection has to end."""
        if now - self._window_start >= self.WINDOW:
            self._window_start, self._counts = now, {}
        if (frame_type == DATA and size) or frame_type in (HEADERS, GOAWAY):
            return None
        counted = frame_type if frame_type <= CONTINUATION else UNKNOWN_TYPE
        limit = self.MAX_EMPTY_DATA if frame_type == DATA else self.MAX_FRAMES.get(counted, self.MAX_OTHER)
        self._counts[counted] = count = self._counts.get(counted, 0) + 1
        if count <= limit:
            return None
        return f"{count} frames of type {frame_type} in {self.WINDOW // SECOND} s"
