"""Reads client connections on request, in turns that leave time for timers and other sockets."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

import structlog

TURN_BUDGET_S = 0.010
"""The time after which the remaining connections wait for the next pass of the event loop."""

log = structlog.get_logger()


class Readable(Protocol):
    """A connection that can be read."""

    @property
    def has_backlog(self) -> bool:
        """True if its last turn ended before its socket was empty."""

    def read_once(self) -> None:
        """Reads input that is in the socket, up to the size limit of one read."""


class ReadQueue:
    """The connections to read although no poll has reported input, in the order of the requests.

    Those with a backlog of input come last.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._connections: OrderedDict[Readable, None] = OrderedDict()
        self._backlogged: OrderedDict[Readable, None] = OrderedDict()
        self._is_scheduled = False

    def add(self, connection: Readable) -> None:
        """Reads a connection soon, but not within this call."""
        if connection not in self._connections and connection not in self._backlogged:
            (self._backlogged if connection.has_backlog else self._connections)[connection] = None
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(0, self._read)

    def discard(self, connection: Readable) -> None:
        """Removes a connection that is closed."""
        self._connections.pop(connection, None)
        self._backlogged.pop(connection, None)

    def _read(self) -> None:
        self._is_scheduled = False
        turn_ends_at = self._reactor.seconds() + TURN_BUDGET_S
        for connections in (self._connections, self._backlogged):
            for _ in range(len(connections)):
                if not connections:
                    break
                self._read_once(connections.popitem(last=False)[0])
                if self._reactor.seconds() >= turn_ends_at:
                    break
        if (self._connections or self._backlogged) and not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(0, self._read)

    def _read_once(self, connection: Readable) -> None:
        try:
            connection.read_once()
        except Exception:
            log.exception("reading from a client failed")
