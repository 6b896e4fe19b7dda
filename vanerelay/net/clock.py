"""The one clock, and the reactor that keeps arrivals before timers when the process has stood still."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet.epollreactor import EPollReactor

UNITS = 10_000  # of the module's time in a second


class Clock:
    """The system's Unix clock in the module's unit, never backwards."""

    def __init__(self, read: Callable[[], float] = time.time) -> None:
        self._read, self._last = read, 0
        self.looked = 0  # the last moment at which what has now come was not there yet
        self.passes = 0  # of the event loop

    def now(self) -> int:
        self._last = max(self._last, int(self._read() * UNITS))
        return self._last


class Reactor(EPollReactor):
    """After a pass that ended late the sockets are read once more before any timer is believed: a poll whose
    time ran out while the process stood still reports nothing, whatever has come meanwhile."""

    LATE = 0.010  # seconds, twice the shortest tick that is told

    def __init__(self, clock: Clock) -> None:
        self._clock, self._started_at = clock, clock.now()
        self._ended, self._latest = 0.0, 0.0  # no pass has ended yet: the start is none
        super().__init__()  # type: ignore[no-untyped-call]

    def doIteration(self, delay: float | None) -> None:
        self._clock.looked, self._started_at = self._started_at, self._clock.now()
        self._clock.passes += 1
        began = time.monotonic()
        due = began + (delay or 0.0)
        super().doPoll(delay)  # type: ignore[no-untyped-call]
        late = time.monotonic() - due
        # What comes during this second look came after the first began.
        if delay is not None and late > self.LATE:
            self._clock.looked = self._started_at
            super().doPoll(0)  # type: ignore[no-untyped-call]
        self._latest = max(self._latest, late, began - (self._ended or began))
        self._ended = time.monotonic()

    def latest(self) -> float:
        """By how many seconds a pass, of timers or of sockets, was late at most since this was asked last."""
        latest, self._latest = self._latest, 0.0
        return latest
