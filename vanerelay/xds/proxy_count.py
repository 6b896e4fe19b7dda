"""How many proxies share what is handed out. Pure.

A proxy that loses its stream goes on with what it has, so it counts for a while after; and a gateway that has
just started knows of none, though all may be there, so it counts as many as the operators expect until they
had time."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import SECOND

AWAY = 30 * SECOND  # how long a proxy without a stream still counts
RETURN = 10 * SECOND  # how long after a start the expected number counts
MOST = 100_000  # names remembered


@dataclass(frozen=True, slots=True)
class Expected:
    """`proxies`: as many as the operators say there are at least."""

    proxies: int = 1


class Census:
    """Proxies by node id."""

    def __init__(self, now: int, expected: Expected) -> None:
        self._born, self._expected = now, expected.proxies
        self._here: dict[str, int] = {}  # streams
        self._away: dict[str, int] = {}  # until when

    def joined(self, node: str) -> None:
        self._here[node] = self._here.get(node, 0) + 1
        self._away.pop(node, None)

    def left(self, now: int, node: str) -> None:
        self._here[node] -= 1
        if not self._here[node]:
            del self._here[node]
            if len(self._away) < MOST:
                self._away[node] = now + AWAY

    def count(self, now: int) -> int:
        """Proxies that share, one at the least."""
        for node in [node for node, until in self._away.items() if until <= now]:
            del self._away[node]
        known = len(self._here) + len(self._away)
        return max(1, known, self._expected if now - self._born < RETURN else 0)
