"""What one connection may cost: limits, and a meter of what only costs. Pure.

A peer that floods cheap frames (pings, resets, settings, empty data, as published for HTTP/2's known floods)
makes its counterpart work for nothing; each is counted over a span, and past its most the connection ends."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import SECOND, Duration

DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = (
    range(10)
)
REFUSED = 256  # no frame's type: a call past the limit


@dataclass(frozen=True, slots=True)
class Limits:
    """Of one connection. `streams`: calls open at once; `message`, `headers`: bytes of one, unpacked;
    `waiting`: bytes that one call may have queued to be sent; `quiet`: after how long without a byte the peer
    is pinged, and `answer`: how long it has for it; `greeting`: how long the peer's first frames may take."""

    streams: int = 100
    message: int = 4 * 2**20
    headers: int = 16 * 2**10
    waiting: int = 16 * 2**20
    quiet: Duration = 30 * SECOND
    answer: Duration = 10 * SECOND
    greeting: Duration = 5 * SECOND


class Meter:
    """Frames that only cost, over the last span."""

    SPAN = 10 * SECOND
    MOST = {PRIORITY: 200, RST_STREAM: 300, SETTINGS: 50, PING: 100, CONTINUATION: 100, WINDOW_UPDATE: 50_000}
    EMPTY = 200  # frames of data with nothing in them
    OTHER = 100  # of kinds that nobody knows

    def __init__(self) -> None:
        self._since, self._counts = 0, dict[int, int]()

    def costs(self, now: int, kind: int, size: int) -> str | None:
        """Counts a frame; why the connection is to end, if it is."""
        if now - self._since >= self.SPAN:
            self._since, self._counts = now, {}
        if kind == DATA and size or kind in (HEADERS, GOAWAY):
            return None
        counted = kind if kind <= CONTINUATION else -1
        most = self.EMPTY if kind == DATA else self.MOST.get(counted, self.OTHER)
        self._counts[counted] = count = self._counts.get(counted, 0) + 1
        return f"{count} frames of type {kind} in {self.SPAN // SECOND} s" if count > most else None
