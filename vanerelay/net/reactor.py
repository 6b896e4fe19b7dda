"""The event loop: after the process was suspended, input that has arrived is handled before any timer."""

from __future__ import annotations

import errno
import time

from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

from vanerelay.clock import Clock
from vanerelay.interface import SECOND


class Reactor(EPollReactor):
    """An event loop that polls its sockets once more after a late poll, before any timer runs.

    A poll whose timeout expired while the process was suspended reports no input, even if some has arrived.
    """

    LATE_PASS_S = 0.010
    """A poll that returns more than this after its timeout is repeated.

    This is twice the shortest tick that the settings may have.
    """

    # Twisted's default is the wall clock: after a step back, pending timers would not fire.
    seconds = staticmethod(time.monotonic)

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._poll_started_at = clock.now()
        self._pass_ended_at = 0.0  # 0 until the first pass has ended
        self._max_delay_s = 0.0
        super().__init__()  # type: ignore[no-untyped-call]

    def doIteration(self, delay: float | None) -> None:
        """Polls the sockets once, and once more if the first poll returned late."""
        self._clock.previous_poll_at, self._poll_started_at = self._poll_started_at, self._clock.now()
        self._clock.loop_passes += 1
        if self._clock.has_waiting_callbacks:
            delay = 0
        started_at = time.monotonic()
        due = started_at + (delay or 0.0)
        self.doPoll(delay)
        poll_delay_s = time.monotonic() - due
        # Input found by the second poll may have arrived at any time since the first one began.
        if delay is not None and poll_delay_s > self.LATE_PASS_S:
            self._clock.previous_poll_at = self._poll_started_at
            self.doPoll(0)
        self._max_delay_s = max(
            self._max_delay_s, poll_delay_s, started_at - (self._pass_ended_at or started_at)
        )
        self._pass_ended_at = time.monotonic()

    def doPoll(self, timeout: float | None) -> None:
        """Waits for events and handles them as EPollReactor does, and reports the poll to the clock."""
        due = None if timeout is None else self._clock.now() + int(timeout * SECOND)
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        # A poll does not report input that arrived after its timeout expired while the process was suspended.
        polled_until = self._clock.now() if due is None else min(self._clock.now(), due)
        for descriptor, event in ready:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                log.callWithLogger(  # type: ignore[no-untyped-call]
                    selectable, self._doReadOrWrite, selectable, descriptor, event
                )
        self._clock.mark_input_handled(polled_until)

    def take_max_delay_s(self) -> float:
        """Returns the longest delay in seconds by running timers or a late poll since the previous call."""
        max_delay_s, self._max_delay_s = self._max_delay_s, 0.0
        return max_delay_s
