"""The event loop: after the process has stood still, what has arrived is handled before any timer."""

from __future__ import annotations

import errno
import time

from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

from vanerelay.clock import Clock
from vanerelay.interface import SECOND


class Reactor(EPollReactor):
    """An event loop that reads its sockets once more after a pass that ended late, before any timer runs.

    A poll whose time ran out while the process stood still reports nothing, whatever has come meanwhile.
    """

    LATE_S = 0.010
    """Twice the shortest tick that the settings may have."""

    # Twisted's own default is the wall clock: after a step back no timer that was pending would come.
    seconds = staticmethod(time.monotonic)

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._poll_started_at = clock.now()
        self._pass_ended_at = 0.0  # no pass has ended yet: the start is none
        self._latest_s = 0.0
        super().__init__()  # type: ignore[no-untyped-call]

    def doIteration(self, delay: float | None) -> None:
        """One pass over the sockets, with a second one if the first was late."""
        self._clock.previous_poll_at, self._poll_started_at = self._poll_started_at, self._clock.now()
        self._clock.loop_passes += 1
        if self._clock.has_waiting_callbacks:
            delay = 0
        began = time.monotonic()
        due = began + (delay or 0.0)
        self.doPoll(delay)
        late = time.monotonic() - due
        # What comes during this second look came after the first began.
        if delay is not None and late > self.LATE_S:
            self._clock.previous_poll_at = self._poll_started_at
            self.doPoll(0)
        self._latest_s = max(self._latest_s, late, began - (self._pass_ended_at or began))
        self._pass_ended_at = time.monotonic()

    def doPoll(self, timeout: float | None) -> None:
        """Waits for events and handles them; as in EPollReactor, but the clock learns when it looked."""
        due = None if timeout is None else self._clock.now() + int(timeout * SECOND)
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except OSError as fault:
            if fault.errno == errno.EINTR:
                return
            raise
        # What came after its time ran out, while the process stood still, a poll does not report.
        looked = self._clock.now() if due is None else min(self._clock.now(), due)
        for descriptor, event in ready:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                log.callWithLogger(  # type: ignore[no-untyped-call]
                    selectable, self._doReadOrWrite, selectable, descriptor, event
                )
        self._clock.mark_input_handled(looked)

    def latest(self) -> float:
        """By how many seconds a pass, of timers or of sockets, was late at most since this was asked last."""
        latest_s, self._latest_s = self._latest_s, 0.0
        return latest_s
