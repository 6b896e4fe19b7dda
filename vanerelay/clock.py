"""The one clock of a process: monotonic time in ticks, and how far the event loop has handled what came."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.python import log

from vanerelay.interface import SECOND

FRESH = SECOND // 20
"""How old the last look at the sockets may be when an attempt begins.

A client that has gone may not see an attempt begin over 0.1 s later: where the last look is older than this,
the sockets are read once more before.
"""
MAX_CLOCK_SKEW = 2 * SECOND
"""How far the clocks of two machines may be apart that are both taken for right."""
MAX_LOOKS = 2
"""After so many looks a callback comes, however long the passes take."""


class Clock:
    """The machine's monotonic clock in ticks, and until when the event loop has seen all.

    Its zero is that of the Unix clock as it stood when this was made, so that moments can be shown to people.
    Durations are monotonic, whatever becomes of the wall clock, which operators and time servers may step.

    Attributes:
        looked: The last moment at which what has now come was not there yet.
        passes: The number of passes of the event loop.
    """

    def __init__(
        self, read: Callable[[], float] = time.monotonic, read_wall: Callable[[], float] = time.time
    ) -> None:
        self._read = read
        self._read_wall = read_wall
        self._last = 0
        self._origin = read_wall() - read()
        self.looked = 0
        self.passes = 0
        self._seen_until: int | None = None  # all that had come by then has been handled; None: no loop runs
        self._waiting: list[tuple[Callable[[], None], int]] = []  # and the looks that each may still wait for

    def now(self) -> int:
        """The present moment, which never goes back."""
        self._last = max(self._last, int((self._origin + self._read()) * SECOND))
        return self._last

    def moment(self, unix: int) -> int:
        """When a moment of the wall clock, in ticks, was on this clock; never later than now.

        The wall clock may have been wrong at the start or may be wrong now. Of both readings the later one
        counts that is not in the future: what has just begun must not be taken for old.
        """
        now = self.now()
        stepped = int(self._read_wall() * SECOND) - now
        return max((min(at, now) for at in (unix, unix - stepped) if at <= now + MAX_CLOCK_SKEW), default=now)

    @property
    def fresh(self) -> bool:
        """Whether all has been handled that had come shortly before.

        So it is not where the process stood still, or where a pass takes long.
        """
        return self._seen_until is None or self.now() - self._seen_until <= FRESH

    def after_look(self, callback: Callable[[], None]) -> None:
        """Calls back once the sockets were looked at again, which is done without any wait."""
        self._waiting.append((callback, MAX_LOOKS - 1))

    def when_fresh(self, callback: Callable[[], None]) -> None:
        """Calls back at once, or after a look at the sockets where the last one was too long ago."""
        if self.fresh:
            callback()
        else:
            self.after_look(callback)

    @property
    def awaited(self) -> bool:
        """Whether somebody waits for the next look at the sockets."""
        return bool(self._waiting)

    def seen(self, until: int) -> None:
        """All that had come by then has been handled."""
        self._seen_until = until
        waiting, self._waiting = self._waiting, []
        for callback, looks in waiting:
            if looks and not self.fresh:
                self._waiting.append((callback, looks - 1))
                continue
            try:
                callback()
            except Exception:
                log.err()  # type: ignore[no-untyped-call]
