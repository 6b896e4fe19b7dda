"""Tracks the input that may still lie unread in the socket of a client connection."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import structlog

from vanerelay.clock import Clock

log = structlog.get_logger()


class UnreadInput:
    """Tracks whether the socket of a client connection may hold input that has not been read.

    A socket counts as empty only once a read has found it empty. Until then nothing may be concluded from a
    request, a cancellation or the end of the connection not having been seen.
    """

    def __init__(self, clock: Clock, connected_after: int) -> None:
        """`connected_after` is a time before which the client had not connected."""
        self._clock = clock
        self._since: int | None = connected_after
        self._waiting: dict[int, Callable[[], None]] = {}  # by the order of the calls
        self._next_number = 0

    @property
    def received_after(self) -> int:
        """A time before which the input that is read now had not arrived, in ticks."""
        return self._clock.previous_poll_at if self._since is None else self._since

    def is_recent(self, now: int, max_age: int) -> bool:
        """Returns True if all input that arrived more than `max_age` ticks ago has been handled."""
        return self._since is None or now - self._since <= max_age

    @property
    def is_empty(self) -> bool:
        """True if the last read found the socket empty."""
        return self._since is None

    @property
    def has_waiting_callbacks(self) -> bool:
        """True if callbacks wait until the socket is found empty."""
        return bool(self._waiting)

    def mark_read(self) -> None:
        """Records that input was read. More may be in the socket, which arrived as early."""
        self._since = self.received_after

    def mark_empty(self) -> None:
        """Records that a read found the socket empty, and calls the waiting callbacks."""
        self._since = None
        self.call_waiting()

    def call_when_empty(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback` once the next read finds the socket empty.

        The socket of a client that sends without a pause is never found empty.

        Returns:
            A function that withdraws the callback.
        """
        number, self._next_number = self._next_number, self._next_number + 1
        self._waiting[number] = callback
        return partial(self._withdraw, number)

    def call_waiting(self) -> None:
        """Calls the waiting callbacks: the socket is empty, or the connection is lost."""
        waiting, self._waiting = self._waiting, {}
        for callback in waiting.values():
            try:
                callback()
            except Exception:
                log.exception("call after reading from a client failed")

    def _withdraw(self, number: int) -> None:
        self._waiting.pop(number, None)
