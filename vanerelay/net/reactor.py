"""The event loop of a gateway, whose passes are short."""

from __future__ import annotations

import errno
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.python import log

from vanerelay.clock import Clock
from vanerelay.interface import SECOND


@dataclass(slots=True)
class ReadyEvent:
    """An event that a poll has reported and that was not handled yet.

    Attributes:
        selectable: The Twisted object that the event is for.
        mask: The event bits.
        input_after: A time before which its input had not arrived, in ticks.
        handled_until: Input up to this time had been handled when it was reported; None at the first poll.
    """

    selectable: Any
    mask: int
    input_after: int
    handled_until: int | None


def has_backlog(selectable: object) -> bool:
    """Returns True for a connection whose last turn did not read all of its input."""
    return getattr(selectable, "has_backlog", False) is True


class Reactor(EPollReactor):
    """An event loop with short passes, which polls once more after a late poll, before any timer runs.

    Events are handled in the order in which they were reported. Those that would make a pass too long wait
    for the next passes, so that timers and other connections get their turn. Those of connections that had
    more input than fits into a turn come after all others: hundreds of clients that send much would
    otherwise each have a turn before the next request of a client that sends little. A poll whose timeout
    expired while the process was suspended reports no input, even if some has arrived.
    """

    PASS_BUDGET_S = 0.010
    """The time after which the remaining events of a pass are left to the next one."""

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
        # By descriptor: the events to handle first, and those of connections with a backlog of input.
        self._ready: OrderedDict[int, ReadyEvent] = OrderedDict()
        self._backlogged: OrderedDict[int, ReadyEvent] = OrderedDict()
        self._polled_until: int | None = None
        super().__init__()  # type: ignore[no-untyped-call]

    def doIteration(self, delay: float | None) -> None:
        """Polls the sockets once, and once more if the first poll returned late."""
        self._clock.previous_poll_at, self._poll_started_at = self._poll_started_at, self._clock.now()
        if self._ready or self._backlogged:
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
        for descriptor, mask in ready:
            self._add_ready(descriptor, mask)
        self._polled_until = polled_until
        self._handle_ready()

    @property
    def ready_count(self) -> int:
        """The number of connections and ports with events that were not handled yet."""
        return len(self._ready) + len(self._backlogged)

    def _add_ready(self, descriptor: int, mask: int) -> None:
        selectable = self._selectables.get(descriptor)
        for events in (self._ready, self._backlogged):
            event = events.get(descriptor)
            if event is not None and event.selectable is selectable:
                event.mask |= mask
                return
            events.pop(descriptor, None)  # of a connection that has ended since
        if selectable is not None:
            events = self._backlogged if has_backlog(selectable) else self._ready
            events[descriptor] = ReadyEvent(
                selectable, mask, self._clock.previous_poll_at, self._polled_until
            )

    def _handle_ready(self) -> None:
        """Handles events in the order reported, until none is left or the time of a pass is over."""
        previous_poll_at = self._clock.previous_poll_at
        ends_at = time.monotonic() + self.PASS_BUDGET_S
        while self._ready:
            self._handle(*self._ready.popitem(last=False))
            if time.monotonic() >= ends_at:
                break
        while self._backlogged:  # at least one, so that they make progress
            self._handle(*self._backlogged.popitem(last=False))
            if time.monotonic() >= ends_at:
                break
        self._clock.previous_poll_at = previous_poll_at
        handled_until = self._find_handled_until()
        if handled_until is not None:
            self._clock.mark_input_handled(handled_until)

    def _handle(self, descriptor: int, event: ReadyEvent) -> None:
        if self._selectables.get(descriptor) is event.selectable:
            self._clock.previous_poll_at = event.input_after
            log.callWithLogger(  # type: ignore[no-untyped-call]
                event.selectable, self._doReadOrWrite, event.selectable, descriptor, event.mask
            )

    def _find_handled_until(self) -> int | None:
        """Returns the time up to which all input has been handled; None if that is not known."""
        oldest = [next(iter(events.values())) for events in (self._ready, self._backlogged) if events]
        if not oldest:
            return self._polled_until
        known = [event.handled_until for event in oldest if event.handled_until is not None]
        return min(known) if len(known) == len(oldest) else None

    def take_max_delay_s(self) -> float:
        """Returns the longest delay in seconds by running timers or a late poll since the previous call."""
        max_delay_s, self._max_delay_s = self._max_delay_s, 0.0
        return max_delay_s
