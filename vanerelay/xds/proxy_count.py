"""Counts the proxies that share what this gateway hands out. Pure.

A proxy that loses its stream goes on with what it has, so it still counts for a while. A gateway that has
just started knows no proxy although all may be there, so until they had time to connect it counts as many as
the operators expect.
"""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import SECOND

DISCONNECT_GRACE = 30 * SECOND
"""How long a proxy without a stream still counts: it sends queries by its last assignment meanwhile."""

STARTUP_GRACE = 10 * SECOND
"""How long after the start the expected number counts: proxies reconnect within it."""

MAX_REMEMBERED = 100_000
"""Node ids of disconnected proxies that are remembered, to bound the memory."""


@dataclass(frozen=True, slots=True)
class ExpectedProxies:
    """The operators' statement of how many proxies there are at least."""

    proxies: int = 1


class ProxyCount:
    """The connected and the recently disconnected proxies, by node id."""

    def __init__(self, now: int, expected: ExpectedProxies) -> None:
        self._started_at = now
        self._expected = expected.proxies
        self._streams: dict[str, int] = {}
        self._disconnected_until: dict[str, int] = {}

    def stream_opened(self, node: str) -> None:
        """A proxy has opened a stream."""
        self._streams[node] = self._streams.get(node, 0) + 1
        self._disconnected_until.pop(node, None)

    def stream_closed(self, now: int, node: str) -> None:
        """One of a proxy's streams has ended."""
        self._streams[node] -= 1
        if self._streams[node]:
            return
        del self._streams[node]
        if len(self._disconnected_until) < MAX_REMEMBERED:
            self._disconnected_until[node] = now + DISCONNECT_GRACE

    def count(self, now: int) -> int:
        """The proxies that share what is handed out, at least one."""
        for node in [node for node, until in self._disconnected_until.items() if until <= now]:
            del self._disconnected_until[node]
        known = len(self._streams) + len(self._disconnected_until)
        expected = self._expected if now - self._started_at < STARTUP_GRACE else 0
        return max(1, known, expected)
