"""One connection to the discovery service: sends a poll, and reads its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from vanerelay.net import discovery_codec
from vanerelay.net.buffers import BufferPool

POLL_WAIT_MS = 7_000 - 5_000
"""Time in milliseconds that the service waits for an event before it answers a poll without any.

A change has to be known here 7 s after the service has it, and a poll may wait up to 5 s. A wait of the
difference leaves time for one connection that died silently, a backoff, a lost connect and the next poll.
"""
MAX_SILENCE_S = 0.5
"""Maximum time after the wait until an answer begins, and between two pieces of it, before it is overdue."""
MAX_ANSWER_S = 2.0
"""Maximum time from the first byte of an answer until it is complete, before it is overdue."""
MAX_OVERDUE_SILENCE_S = 60.0
"""Time without a byte after which a connection is aborted."""
MAX_POLL_S = 600.0
"""Time after which a connection is aborted if the answer to its poll is not complete."""

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

PollResult = discovery_codec.Reply | discovery_codec.Unreadable


class DiscoveryConnection(Protocol):
    """One connection to the service, with one poll at a time.

    An overdue answer is reported, and still accepted: the service may be slow, or the connection dead.

    Attributes:
        usable: Whether polls can be sent on it.
    """

    transport: Any

    def __init__(self, reactor: Any, pool: BufferPool) -> None:
        self._reactor = reactor
        self._pool = pool
        self._reader = discovery_codec.ReplyReader(pool)
        self._reply: Deferred[PollResult] | None = None
        self._on_overdue: Callable[[], None] | None = None
        self._overdue_timer: Any = None
        self._abort_timer: Any = None
        self._timely_until: float | None = None  # set by the first byte of the answer
        self._abort_at = 0.0
        self.usable = True

    def poll(
        self, request: bytes, on_overdue: Callable[[], None], grace_s: float = MAX_SILENCE_S
    ) -> Deferred[PollResult]:
        """Sends a poll.

        Args:
            request: The request.
            on_overdue: Called once if the answer is overdue.
            grace_s: The time in seconds after the wait until an answer that has not begun is overdue.

        Returns:
            A Deferred that never fails.
        """
        self._reader = discovery_codec.ReplyReader(self._pool)
        self._reply, self._on_overdue, self._timely_until = Deferred(), on_overdue, None
        self._abort_at = self._reactor.seconds() + MAX_POLL_S
        self._set_timers(POLL_WAIT_MS / 1000 + grace_s)
        self.transport.write(request)
        return self._reply

    def dataReceived(self, data: bytes) -> None:
        """Parses the answer."""
        if self._reply is None:
            return
        now = self._reactor.seconds()
        if self._timely_until is None:
            self._timely_until = now + MAX_ANSWER_S
        self._set_timers(min(MAX_SILENCE_S, max(0.0, self._timely_until - now)))
        self._handle(self._reader.feed(data))

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Handles the end of the connection, which also ends an answer without a length."""
        self.usable = False
        if self._reply is not None:
            self._finish(self._reader.connection_closed())
        self._reader.drop()

    def abort(self) -> None:
        """Aborts the connection; a pending poll fails."""
        self.usable = False
        self._cancel_timers()
        if self.transport is not None:
            self.transport.abortConnection()

    def _handle(self, result: PollResult | None) -> None:
        if result is not None:
            self._finish(result)
        elif self._reader.is_paused:
            self.transport.pauseProducing()
            self._reactor.callLater(0, self._resume)

    def _resume(self) -> None:
        """Parses more of an answer of many lines, after the other work of the event loop."""
        if self._reply is None:
            return
        self._handle(self._reader.resume())
        if not self._reader.is_paused and self.usable:
            self.transport.resumeProducing()

    def _set_timers(self, overdue_after_s: float) -> None:
        self._cancel_timers()
        if self._on_overdue is not None:
            self._overdue_timer = self._reactor.callLater(overdue_after_s, self._report_overdue)
        remaining_s = max(0.0, self._abort_at - self._reactor.seconds())
        self._abort_timer = self._reactor.callLater(min(MAX_OVERDUE_SILENCE_S, remaining_s), self.abort)

    def _report_overdue(self) -> None:
        on_overdue, self._on_overdue = self._on_overdue, None
        if on_overdue is not None:
            on_overdue()

    def _cancel_timers(self) -> None:
        for timer in (self._overdue_timer, self._abort_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _finish(self, result: PollResult) -> None:
        self._cancel_timers()
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.callback(result)
