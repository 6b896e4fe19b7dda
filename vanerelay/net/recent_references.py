"""The references of recent queries, in tables of a fixed size."""

from __future__ import annotations

import random
from array import array

from vanerelay.interface import SECOND

SLOTS = 16_384
"""The slots of one generation, a power of two. Each takes 8 bytes."""
MAX_COUNT = SLOTS * 5 // 8
"""The number of references in one generation: with more, look-ups would have to compare many slots."""
MAX_AGE = 30 * SECOND
"""The age of a generation in ticks after which a new one begins."""

_FREE = 0
_FREE_SUBSTITUTE = 2**64 - 1  # is stored for the number that marks a free slot
_MASK = 2**64 - 1
_SHIFT = 64 - (SLOTS.bit_length() - 1)


class ReferenceTable:
    """A set of numbers of 64 bits, up to `MAX_COUNT` of them, by open addressing in one array.

    A Python set of as many numbers takes ten times the memory.
    """

    def __init__(self, factor: int) -> None:
        """`factor` is a random odd number, so that clients cannot choose numbers that collide."""
        self._factor = factor
        self._slots = array("Q", bytes(8 * SLOTS))
        self.count = 0

    def __contains__(self, number: int) -> bool:
        return self._slots[self._find(number)] != _FREE

    def add(self, number: int) -> None:
        """Adds a number, unless the table is full."""
        slot = self._find(number)
        if self._slots[slot] == _FREE and self.count < MAX_COUNT:
            self._slots[slot] = number or _FREE_SUBSTITUTE
            self.count += 1

    def _find(self, number: int) -> int:
        """Returns the slot of a number, or the free slot for it."""
        number = number or _FREE_SUBSTITUTE
        slots, slot = self._slots, (number * self._factor & _MASK) >> _SHIFT
        while slots[slot] not in (_FREE, number):
            slot = (slot + 1) % SLOTS
        return slot


class RecentReferences:
    """The references that were recorded most recently, in two generations.

    At least the last `MAX_COUNT` references are known that were recorded within `MAX_AGE`.
    """

    def __init__(self, now: int) -> None:
        self._factor = random.getrandbits(64) | 1
        self._newer: ReferenceTable | None = None
        self._older: ReferenceTable | None = None
        self._newer_since = now

    def __contains__(self, reference: str) -> bool:
        number = int(reference, 16)
        return any(table is not None and number in table for table in (self._newer, self._older))

    def record(self, reference: str, now: int) -> None:
        """Records a reference of 16 hexadecimal digits."""
        newer = self._newer
        if newer is None or newer.count >= MAX_COUNT or now - self._newer_since > MAX_AGE:
            newer = ReferenceTable(self._factor)
            self._newer, self._older, self._newer_since = newer, self._newer, now
        newer.add(int(reference, 16))
