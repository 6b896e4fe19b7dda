"""The memory that clients and engines may make this process hold, divided among its uses."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

HEADROOM_BYTES = 2 * 2**20
"""The memory that is left for what is not counted: messages while they are decoded, lists, log lines."""
HEADROOM_DIVISOR = 16
"""With more memory, the headroom is the limit divided by this."""
MIN_CAPACITY_BYTES = 2**20
"""The budget if the process has nearly filled its limit at its start."""
ALWAYS_GRANTED_SHARE = 0.25
"""The share of the budget that is granted even if the process as a whole has no memory left.

The allocator keeps freed memory, so that a process may look full for long.
"""
MEASURING_INTERVAL_BYTES = 64 * 2**10
"""The memory that is granted between two measurements of the process."""


class MemoryUse(Enum):
    """What memory is used for. The value is the share of the budget up to which this use is granted.

    The uses that complete work come after those that begin it, so that answers find memory while new requests
    are rejected.
    """

    LARGE_FRAME = 0.5
    """A request of which only a part has arrived."""
    FRAME = 0.6
    """The same, if it is small."""
    QUERY = 0.8
    """An open query."""
    ANSWER = 1.0
    """A result that its client has not read."""


class MemoryBudget:
    """Counts the memory that is held for clients and engines, and grants more of it up to the limit.

    Attributes:
        capacity: The budget in bytes.
        in_use: The bytes that are in use; they may exceed the capacity by what was charged.
    """

    def __init__(self, capacity: int, measure: Callable[[], int] | None = None) -> None:
        """`measure` returns the memory of the whole process in bytes; None if it is not limited."""
        self.capacity = capacity
        self.in_use = 0
        self._measure = measure
        self._process_limit = capacity
        self._granted_since_measured = 0
        self._process_is_full = False

    @classmethod
    def of_process(cls, limit: int, measure: Callable[[], int]) -> MemoryBudget:
        """Returns the budget of a process with a memory limit in bytes, to be calibrated once it serves."""
        budget = cls(limit, measure)
        budget.calibrate(limit)
        return budget

    def calibrate(self, limit: int) -> None:
        """Sets the capacity to what the process, as it is now, leaves of its memory limit in bytes."""
        measured = self._measure() if self._measure is not None else 0
        headroom = max(HEADROOM_BYTES, limit // HEADROOM_DIVISOR)
        self._process_limit = limit - headroom // 2
        self.capacity = max(MIN_CAPACITY_BYTES, limit - measured - headroom)

    @property
    def is_exceeded(self) -> bool:
        """True if more is in use than the capacity."""
        return self.in_use > self.capacity

    def allows(self, use: MemoryUse, size: int) -> bool:
        """Returns True if the budget has this many bytes left for this use."""
        wanted = self.in_use + size
        if wanted > use.value * self.capacity:
            return False
        return wanted <= ALWAYS_GRANTED_SHARE * self.capacity or not self._is_process_full(size)

    def reserve(self, use: MemoryUse, size: int) -> bool:
        """Reserves memory. Returns False if the budget has none left for this use."""
        if not self.allows(use, size):
            return False
        self.in_use += size
        return True

    def charge(self, size: int) -> None:
        """Counts memory that is in use whether the budget allows it or not."""
        self.in_use += size

    def release(self, size: int) -> None:
        """Returns memory that was reserved or charged."""
        self.in_use -= size

    def _is_process_full(self, size: int) -> bool:
        if self._measure is None:
            return False
        self._granted_since_measured += size
        if self._granted_since_measured >= MEASURING_INTERVAL_BYTES or self._process_is_full:
            self._granted_since_measured = 0
            self._process_is_full = self._measure() > self._process_limit
        return self._process_is_full


UNLIMITED_BYTES = 2**62


def unlimited_budget() -> MemoryBudget:
    """Returns a budget that grants everything."""
    return MemoryBudget(UNLIMITED_BYTES)
