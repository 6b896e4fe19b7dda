"""Bounds the time for which clients may have waited in the accept queue of the system."""

from __future__ import annotations


class BacklogAge:
    """Tells a time before which a client that is accepted now had not connected.

    Clients wait in the queue, and may send requests, while connections are not accepted. The queue is first
    in, first out: once more clients than it holds have been accepted since a moment, those that were in it at
    that moment are accepted.
    """

    def __init__(self, queue_length: int) -> None:
        """`queue_length` is the most clients that the queue holds."""
        self._queue_length = queue_length
        self._waiting_since: int | None = None
        # A later moment, which takes the place of the first once all clients from before it are accepted.
        self._later: int | None = None
        self._accepted_since_later = 0

    def left_waiting(self, connected_after: int) -> None:
        """Records that clients may wait from now on, and connected after this time at the earliest."""
        if self._waiting_since is None:
            self._waiting_since = connected_after
        elif self._later is None:
            self._later, self._accepted_since_later = connected_after, 0

    def accepted(self) -> None:
        """Records that a client was accepted."""
        if self._later is None:
            return
        self._accepted_since_later += 1
        if self._accepted_since_later > self._queue_length:
            self._waiting_since, self._later = self._later, None

    def emptied(self) -> None:
        """Records that no client waits."""
        self._waiting_since = self._later = None

    def connected_after(self, previous_poll_at: int) -> int:
        """Returns the bound; `previous_poll_at` is that of a client that did not have to wait."""
        if self._waiting_since is None:
            return previous_poll_at
        return min(self._waiting_since, previous_poll_at)
