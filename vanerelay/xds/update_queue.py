"""Streams that wait for an update, taken a few at a time so that the event loop is not held up."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from vanerelay.xds.discovery_stream import DiscoveryStream

STREAMS_PER_PASS = 40
"""Streams updated in one pass of the event loop: a few milliseconds of work."""


class UpdateQueue:
    """Streams in the order in which they asked for an update, each at most once."""

    def __init__(self, reactor: Any, update: Callable[[DiscoveryStream], None]) -> None:
        self._reactor = reactor
        self._update = update
        self._waiting: deque[DiscoveryStream] = deque()
        self._queued: set[DiscoveryStream] = set()
        self._scheduled = False

    def add(self, stream: DiscoveryStream) -> None:
        """Updates a stream soon, with the others that wait for that."""
        if stream not in self._queued:
            self._queued.add(stream)
            self._waiting.append(stream)
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        for _ in range(min(STREAMS_PER_PASS, len(self._waiting))):
            stream = self._waiting.popleft()
            self._queued.discard(stream)
            self._update(stream)
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            self._reactor.callLater(0, self._run)
