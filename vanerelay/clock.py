"""The clock of a process: monotonic time in ticks, and how recently the event loop has handled its input."""

from __future__ import annotations

import time
from collections.abc import Callable

from vanerelay.interface import SECOND

MAX_POLL_AGE = SECOND // 20
"""Age in ticks up to which the last poll of the sockets is recent enough to begin an attempt.

No attempt may begin more than 0.1 s after its client has disconnected. If the last poll is older than this,
the client's connection is read before the attempt begins.
"""
MAX_CLOCK_SKEW = 2 * SECOND
"""Largest difference in ticks between the clocks of two machines that are both trusted."""


class Clock:
    """The machine's monotonic clock in ticks, and the progress of the event loop in handling its input.

    Its zero is the Unix epoch according to the wall clock when the object is created, so that its times can
    be shown to people. From then on it follows the monotonic clock: durations stay right when operators or
    time servers step the wall clock.

    Attributes:
        previous_poll_at: The start of the previous poll of the sockets; input that is now read arrived later.
    """

    def __init__(
        self, read: Callable[[], float] = time.monotonic, read_wall: Callable[[], float] = time.time
    ) -> None:
        self._read = read
        self._read_wall = read_wall
        self._last = 0
        self._origin = read_wall() - read()
        self.previous_poll_at = 0
        self._handled_until: int | None = None  # input up to here is handled; None without an event loop

    def now(self) -> int:
        """Returns the current time in ticks, which never goes back."""
        self._last = max(self._last, int((self._origin + self._read()) * SECOND))
        return self._last

    def from_unix_time(self, unix: int) -> int:
        """Converts a time of the wall clock, in ticks, to this clock; the result is never later than now.

        The wall clock may have been wrong when this object was created, or may be wrong now. The time is
        therefore converted by the offset at creation and by the present offset. A result that is more than
        `MAX_CLOCK_SKEW` in the future is dropped, and the later of the others is returned, so that something
        that has just begun is not taken for old. If both are dropped, the current time is returned.
        """
        now = self.now()
        offset = int(self._read_wall() * SECOND) - now
        return max((min(at, now) for at in (unix, unix - offset) if at <= now + MAX_CLOCK_SKEW), default=now)

    @property
    def has_recent_poll(self) -> bool:
        """True if all input that arrived up to `MAX_POLL_AGE` ago has been handled, or no event loop runs.

        False after the process was suspended, and during a pass of the event loop that takes long.
        """
        return self._handled_until is None or self.now() - self._handled_until <= MAX_POLL_AGE

    def mark_input_handled(self, until: int) -> None:
        """Records that all input that arrived by `until` has been handled."""
        self._handled_until = until
