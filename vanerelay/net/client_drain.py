"""The drain of a client connection: it ends once all requests that arrived in time are answered."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

IN_TRANSIT_S = 0.05
"""After more input than one read takes, the connection is not ended for this long.

While the receive buffer of the system was full, further input could not leave the client's machine.
"""
OUTPUT_CHECK_INTERVAL_S = 0.02
"""The time after which a connection is checked again whose client has not received all answers."""
DRAIN_TIMEOUT_S = 3.0
"""The time after which a draining connection is ended even if its client sends without a pause.

The platform may kill the process after the longest deadline, counted as 3 s at most.
"""


class DrainStage(Enum):
    """The progress of a connection that is ended once no request is open."""

    NOT_DRAINING = "not draining"
    READING = "handling the requests that have arrived"
    LAST_FRAME = "handling a request that has arrived in part"
    REJECTING = "rejecting further requests"


class DrainedConnection(Protocol):
    """The connection, as its drain uses it."""

    @property
    def is_resting(self) -> bool:
        """True if no request is open or has arrived in part, on a connection that is not being ended."""

    @property
    def is_answered(self) -> bool:
        """True if no request is open, on a connection that is not being ended."""

    @property
    def has_partial_frame(self) -> bool:
        """True while only a part of a frame has been received."""

    @property
    def missing_bytes(self) -> int:
        """The number of bytes that complete the present frame; 0 if that is not known."""

    def after_reading(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback` once all input that has arrived by now is handled; returns what withdraws it."""

    def end(self, why: str, detail: str = "") -> None:
        """Closes the write side once all answers have been sent."""


class ClosedConnection:
    """Takes the place of a connection that is closed."""

    is_resting = False
    is_answered = False
    has_partial_frame = False
    missing_bytes = 0

    def after_reading(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Does not call `callback`, as there is nothing to end."""
        return lambda: None

    def end(self, why: str, detail: str = "") -> None:
        """Does nothing."""


class ConnectionDrain:
    """Ends one connection once no request is open and nothing that arrived in time is unread."""

    def __init__(self, reactor: Any, connection: DrainedConnection) -> None:
        self._reactor = reactor
        self._connection: DrainedConnection = connection
        self._stage = DrainStage.NOT_DRAINING
        self._timer: Any = None
        self._is_overdue = False
        self._check_pending = False
        self._more_unread_at = -math.inf

    @property
    def rejects_requests(self) -> bool:
        """True if requests arrive too late to be accepted."""
        return self._stage is DrainStage.REJECTING

    def begin(self) -> None:
        """Begins to drain. Requests in the input that has arrived by now are still accepted."""
        if self._stage is not DrainStage.NOT_DRAINING:
            return
        self._stage = DrainStage.READING
        self._timer = self._reactor.callLater(DRAIN_TIMEOUT_S, self._timed_out)
        self._connection.after_reading(self._input_read)

    def read_limit_reached(self) -> None:
        """Records that a read stopped at its size limit: input may still be in the socket."""
        self._more_unread_at = self._reactor.seconds()

    def frame_handled(self) -> None:
        """Records that a frame was handled, which may have been the last one that began in time."""
        if self._stage is DrainStage.LAST_FRAME:
            self._stage = DrainStage.REJECTING

    def check(self) -> None:
        """Ends the connection if it is draining and no request is open, once its input has been read.

        Not before the input that had arrived when the drain began is handled: then all other connections have
        been read too before a client can notice the first end and, in return, send requests on the others.
        """
        if self._stage is DrainStage.NOT_DRAINING or not self._connection.is_answered:
            return
        if self._is_overdue:
            self._connection.end("shutdown")
        elif self._stage is not DrainStage.READING and not self._check_pending:
            self._check_pending = True
            self._connection.after_reading(self._end_if_resting)

    def stop(self) -> None:
        """Cancels the timeout and releases the connection, as it is closed."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        # Otherwise the connection and its drain would refer to each other, and collections are rare.
        self._connection = ClosedConnection()

    def _input_read(self) -> None:
        partial = self._connection.has_partial_frame
        self._stage = DrainStage.LAST_FRAME if partial else DrainStage.REJECTING
        self.check()

    def _timed_out(self) -> None:
        self._is_overdue = True
        self.check()

    def _end_if_resting(self) -> None:
        self._check_pending = False
        if not self._connection.is_resting:
            if self._connection.is_answered and not self._connection.has_partial_frame:
                self._check_later(OUTPUT_CHECK_INTERVAL_S)  # its client has not received all answers
            return  # otherwise checked again when a request is answered or more input is read
        in_transit_s = self._more_unread_at + IN_TRANSIT_S - self._reactor.seconds()
        if in_transit_s <= 0:
            self._connection.end("shutdown")
            return
        self._check_later(in_transit_s)

    def _check_later(self, delay_s: float) -> None:
        self._check_pending = True
        self._reactor.callLater(delay_s, self._connection.after_reading, self._end_if_resting)


def end_after_reading(
    reactor: Any, connection: DrainedConnection, why: str, missing_before: int | None = None
) -> None:
    """Ends a connection that rejects all requests, once those that have arrived are answered.

    A request of which a part has arrived is waited for as long as more of it arrives.

    Args:
        reactor: The event loop.
        connection: The connection.
        why: The reason of the end, for the log.
        missing_before: The bytes that the present frame lacked at the previous call; None at the first call.
    """

    def end_or_wait() -> None:
        """Ends the connection, whose input has been read, or waits for the rest of a request."""
        missing = connection.missing_bytes
        if connection.has_partial_frame and missing != missing_before:
            reactor.callLater(IN_TRANSIT_S, end_after_reading, reactor, connection, why, missing)
        else:
            connection.end(why)

    connection.after_reading(end_or_wait)
