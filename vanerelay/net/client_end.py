"""The end of a client connection, as this gateway ends it: first the write side, then the whole."""

from __future__ import annotations

from typing import Any

from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.listener_statistics import ListenerStatistics

LINGER_TIMEOUT_S = 1.0
"""The time for which further input is discarded after the write side is closed, unless the client closes
first.
"""
STALLED_READ_TIMEOUT_S = 4.0
"""A client that takes nothing of its answers for this long is disconnected. Clients close a connection that
has been idle for as long.
"""
FLUSH_TIMEOUT_S = 0.1
"""The time allowed for unsent bytes to leave before a connection that is being closed is aborted."""
DELAY_LOGGED_S = 0.01
"""An end that is sent later than this after it was begun is logged. It is one pass of the event loop."""


class ConnectionEnd:
    """Ends one connection: closes its write side, and the rest once the client has closed or a time is over.

    Input is discarded from the moment at which the end begins. A client may send requests until it can
    notice the end, which is therefore written within the same call.

    Attributes:
        has_begun: True once this gateway has begun to end the connection.
    """

    def __init__(
        self, reactor: Any, events: EventLog, statistics: ListenerStatistics, connection_number: int
    ) -> None:
        self._reactor = reactor
        self._events = events
        self._statistics = statistics
        self._connection_number = connection_number
        self._transport: Any = None  # until the connection is lost
        self._timer: Any = None
        self._reason = ""
        self._begun_at = 0.0
        self._outstanding_bytes = 0  # answers that the client has not received, when last looked at
        self._progressed_at = 0.0
        self._is_sent = False
        self._has_discarded = False
        self.has_begun = False

    def begin(self, transport: Any, reason: str) -> None:
        """Closes the write side once all output has been sent, and the rest after `LINGER_TIMEOUT_S`."""
        self.has_begun = True
        self._transport, self._reason, self._begun_at = transport, reason, self._reactor.seconds()
        transport.unregisterProducer()
        transport.loseWriteConnection()
        transport.write_now()
        self._outstanding_bytes, self._progressed_at = transport.outstanding_bytes(), self._begun_at
        self._timer = self._reactor.callLater(LINGER_TIMEOUT_S, self._linger_timed_out)

    @property
    def has_outstanding_output(self) -> bool:
        """True if the client has not received all answers, which closing the connection may discard."""
        return self._transport is not None and self._transport.outstanding_bytes() > 0

    def _linger_timed_out(self) -> None:
        """Closes the connection, unless its client still takes answers."""
        outstanding_bytes, now = self._transport.outstanding_bytes(), self._reactor.seconds()
        if outstanding_bytes < self._outstanding_bytes:
            self._outstanding_bytes, self._progressed_at = outstanding_bytes, now
        if outstanding_bytes and now - self._progressed_at < STALLED_READ_TIMEOUT_S:
            self._timer = self._reactor.callLater(LINGER_TIMEOUT_S, self._linger_timed_out)
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection once all has been sent, or aborts it after `FLUSH_TIMEOUT_S`."""
        self._cancel_timer()
        if self._transport is not None:
            self._transport.loseConnection()
        if self._transport is not None:
            self._timer = self._reactor.callLater(FLUSH_TIMEOUT_S, self._transport.abortConnection)

    def stop(self) -> None:
        """Releases the transport, as the connection is lost."""
        self._cancel_timer()
        if self._transport is not None:
            self._transport = None
            self.sent()

    def sent(self) -> None:
        """Records that the client can notice the end from now on."""
        if self._is_sent:
            return
        self._is_sent = True
        delay_s = self._reactor.seconds() - self._begun_at
        self._statistics.longest_end_s = max(self._statistics.longest_end_s, delay_s)
        if delay_s > DELAY_LOGGED_S:
            self._events.note(
                LogEventKind.DELAYED_END,
                self._reason,
                connection=self._connection_number,
                ms=round(delay_s * 1000),
            )

    def input_discarded(self, size: int) -> None:
        """Records that input of `size` bytes arrived after the end had begun."""
        when = "after" if self._is_sent else "before"
        self._events.note(
            LogEventKind.DISCARD,
            f"it arrived {when} the end of its connection was sent",
            not self._has_discarded,
            connection=self._connection_number,
            bytes=size,
            ms_since_end=round((self._reactor.seconds() - self._begun_at) * 1000),
        )
        self._has_discarded = True

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
