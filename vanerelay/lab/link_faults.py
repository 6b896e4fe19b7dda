"""Links with faults: what becomes of bytes on their way from one party to another. Pure, told the time.

A `Way` is the state of one direction between two parties; each connection has a `Passage` on it, which keeps
order, as TCP does. What a link loses of TCP comes late, by its sender's repeating; of datagrams it is
gone."""

from __future__ import annotations

import fnmatch
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from vanerelay.interface import SECOND

REPEAT = SECOND // 5  # until TCP sends again what was lost, doubled each time
REPEATS = 6  # at most, for one piece
HELD_MOST = 4 * 2**20  # bytes on their way on one passage; past it no more is read from the sender


@dataclass(slots=True)
class Way:
    """One direction of a link. Times in the module's unit; `rate` in bytes a second, 0: as fast as it goes;
    `loss` the chance of one piece; `held`: nothing passes, and comes later; `swallowed`: what comes is gone
    without a word; `refused`: no new connection."""

    delay: int = 0
    jitter: int = 0
    rate: float = 0.0
    loss: float = 0.0
    held: bool = False
    swallowed: bool = False
    refused: bool = False

    @property
    def sound(self) -> bool:
        return self == Way()


@dataclass(slots=True)
class Passage:
    """One connection's bytes in one direction. `put` and `close` by the sender, `take` by the receiver."""

    way: Way
    chance: random.Random
    _pieces: deque[tuple[int, bytes | None]] = field(default_factory=deque)  # None: the end
    _last: int = 0
    held: int = 0

    def put(self, now: int, data: bytes) -> None:
        if not self.way.swallowed:
            self._pieces.append((self._due(now, len(data)), data))
            self.held += len(data)

    def close(self, now: int) -> None:
        if not self.way.swallowed:
            self._pieces.append((self._due(now, 0), None))

    def take(self, now: int) -> tuple[bytes, bool]:
        """What has arrived, and whether the sender's end came after it."""
        found = list[bytes]()
        while self._pieces and not self.way.held and self._pieces[0][0] <= now:
            data = self._pieces.popleft()[1]
            if data is None:
                return b"".join(found), True
            found.append(data)
            self.held -= len(data)
        return b"".join(found), False

    def due(self) -> int | None:
        """When the next piece arrives; None where nothing is on its way, or it is held."""
        return self._pieces[0][0] if self._pieces and not self.way.held else None

    def _due(self, now: int, size: int) -> int:
        way = self.way
        due = now + way.delay + (self.chance.randrange(way.jitter + 1) if way.jitter else 0)
        for repeat in range(REPEATS if way.loss else 0):
            if self.chance.random() >= way.loss:
                break
            due += REPEAT << repeat
        # A slow link passes one piece after the other.
        if way.rate:
            due = max(due, self._last) + int(size * SECOND / way.rate)
        self._last = max(self._last, due)
        return self._last


def datagram(now: int, way: Way, chance: random.Random) -> int | None:
    """When a datagram arrives; None if it does not."""
    if way.held or way.swallowed or way.refused or way.loss and chance.random() < way.loss:
        return None
    return now + way.delay + (chance.randrange(way.jitter + 1) if way.jitter else 0)


@dataclass(slots=True)
class Parties:
    """Who there is, by name, and where: what a script's words for links mean."""

    locations: dict[str, str] = field(default_factory=dict)

    def meant(self, pattern: str) -> set[str]:
        """Names by pattern; `@place` for all who are there."""
        if pattern.startswith("@"):
            return {name for name, place in self.locations.items() if fnmatch.fnmatch(place, pattern[1:])}
        return {name for name in self.locations if fnmatch.fnmatch(name, pattern)}

    def directions(self, told: str) -> Iterable[tuple[str, str]]:
        """`a > b` one direction, `a - b` both; nobody has a link to himself. Raises ValueError."""
        both, sign = " - " in told, " - " if " - " in told else " > "
        left, found, right = told.partition(sign)
        if not found or not left.strip() or not right.strip():
            raise ValueError(f'{told!r}, expected two parties, such as "m1 > e2" or "m* - feed"')
        for one in sorted(self.meant(left.strip())):
            for other in sorted(self.meant(right.strip()) - {one}):
                yield one, other
                if both:
                    yield other, one
