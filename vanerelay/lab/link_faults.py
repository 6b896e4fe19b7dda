"""Links with faults: what becomes of bytes on their way from one party to another.

Pure: told the time. A `LinkState` is the state of one direction between two parties; each connection has a
`DelayedStream` on it, which keeps the order, as TCP does. What a link loses of TCP comes late, by its
sender's retransmission; a lost datagram is gone.
"""

from __future__ import annotations

import fnmatch
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from vanerelay.interface import SECOND, Duration

RETRANSMISSION_TIMEOUT = SECOND // 5
"""Until TCP sends again what was lost; it doubles each time."""
MAX_RETRANSMISSIONS = 6
"""Of one piece of data."""
MAX_BYTES_IN_FLIGHT = 4 * 2**20
"""On one stream; past it no more is read from the sender."""
BOTH_WAYS, ONE_WAY = " - ", " > "
"""Between the parties of a link, as scenarios write it."""


@dataclass(slots=True)
class LinkState:
    """One direction of a link.

    Attributes:
        delay, jitter: how late everything comes, and how much later at random.
        bytes_per_s: the rate, 0 for as fast as it goes.
        loss: the probability that one piece of data is lost.
        is_held: nothing passes, and all of it comes later.
        is_dropping: what is sent is gone without notice.
        is_refusing: new connections are refused.
    """

    delay: Duration = 0
    jitter: Duration = 0
    bytes_per_s: float = 0.0
    loss: float = 0.0
    is_held: bool = False
    is_dropping: bool = False
    is_refusing: bool = False

    def draw_delay(self, random_source: random.Random) -> Duration:
        """The delay of one piece of data, with its jitter."""
        return self.delay + (random_source.randrange(self.jitter + 1) if self.jitter else 0)


class _Piece(NamedTuple):
    """Data on its way; None for the end of the stream."""

    arrival: int
    data: bytes | None


@dataclass(slots=True)
class DelayedStream:
    """The bytes of one connection in one direction.

    The sender calls `send` and `close`, the receiver `receive`.
    """

    link: LinkState
    random_source: random.Random
    _pieces: deque[_Piece] = field(default_factory=deque)
    _last_arrival: int = 0
    bytes_in_flight: int = 0

    def send(self, now: int, data: bytes) -> None:
        """Sends one piece of data."""
        if not self.link.is_dropping:
            self._pieces.append(_Piece(self._arrival(now, len(data)), data))
            self.bytes_in_flight += len(data)

    def close(self, now: int) -> None:
        """Sends the end of the stream."""
        if not self.link.is_dropping:
            self._pieces.append(_Piece(self._arrival(now, 0), None))

    def receive(self, now: int) -> tuple[bytes, bool]:
        """What has arrived, and whether the end of the stream came after it."""
        arrived = list[bytes]()
        while self._pieces and not self.link.is_held and self._pieces[0].arrival <= now:
            data = self._pieces.popleft().data
            if data is None:
                return b"".join(arrived), True
            arrived.append(data)
            self.bytes_in_flight -= len(data)
        return b"".join(arrived), False

    def next_arrival(self) -> int | None:
        """When the next piece arrives; None where nothing is on its way, or it is held."""
        return self._pieces[0].arrival if self._pieces and not self.link.is_held else None

    def _arrival(self, now: int, size: int) -> int:
        link = self.link
        arrival = now + link.draw_delay(self.random_source)
        for attempt in range(MAX_RETRANSMISSIONS if link.loss else 0):
            if self.random_source.random() >= link.loss:
                break
            arrival += RETRANSMISSION_TIMEOUT << attempt
        # A slow link passes one piece after the other.
        if link.bytes_per_s:
            arrival = max(arrival, self._last_arrival) + int(size * SECOND / link.bytes_per_s)
        self._last_arrival = max(self._last_arrival, arrival)
        return self._last_arrival


def datagram_arrival(now: int, link: LinkState, random_source: random.Random) -> int | None:
    """When a datagram arrives; None if it does not."""
    if link.is_held or link.is_dropping or link.is_refusing:
        return None
    if link.loss and random_source.random() < link.loss:
        return None
    return now + link.draw_delay(random_source)


@dataclass(slots=True)
class Parties:
    """All parties of a scenario by name, with their zones: what a scenario's patterns stand for."""

    zones: dict[str, str] = field(default_factory=dict)

    def matching(self, pattern: str) -> set[str]:
        """Names by a pattern; `@zone` for all in a zone."""
        if pattern.startswith("@"):
            return {name for name, zone in self.zones.items() if fnmatch.fnmatch(zone, pattern[1:])}
        return {name for name in self.zones if fnmatch.fnmatch(name, pattern)}

    def directions(self, link: str) -> Iterable[tuple[str, str]]:
        """The directions of `a > b` (one way) or `a - b` (both); nobody has a link to itself.

        Raises ValueError.
        """
        is_both_ways = BOTH_WAYS in link
        left, separator, right = link.partition(BOTH_WAYS if is_both_ways else ONE_WAY)
        if not separator or not left.strip() or not right.strip():
            raise ValueError(f'{link!r}, expected two parties, such as "m1 > e2" or "m* - feed"')
        for sender in sorted(self.matching(left.strip())):
            for receiver in sorted(self.matching(right.strip()) - {sender}):
                yield sender, receiver
                if is_both_ways:
                    yield receiver, sender


__all__ = ["MAX_BYTES_IN_FLIGHT", "DelayedStream", "LinkState", "Parties", "datagram_arrival"]
