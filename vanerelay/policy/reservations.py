"""What this gateway's queries hold of one engine, or of all engines together."""

from __future__ import annotations

THREADS_PER_CORE = 2.8
"""Threads that fill a core: some of them read or write. Memory alone admits too many light queries."""

OVERDRAFT_DIVISOR = 4
"""Only this part of a query's threads has to fit: one on four threads would hardly ever fit a small share."""


class Reservations:
    """Memory and threads that are reserved for queries in flight, against a capacity."""

    def __init__(self, memory: float, cores: float) -> None:
        self.memory = max(1.0, memory)
        self.cores = max(1, cores)
        self.granted = 0.0
        self.running = 0
        self.threads = 0.0

    def resize(self, memory: float, cores: float) -> None:
        """Adds to the capacity, or takes from it."""
        self.memory += memory
        self.cores += cores

    def free_memory(self, share: float) -> float:
        """The memory that is left of a share of the capacity; negative where more is reserved."""
        return self.memory * share - self.granted

    def fits(self, memory: float, threads: float, share: float) -> bool:
        """Whether a query fits beside what is reserved, within a share of the capacity."""
        if memory > self.free_memory(share):
            return False
        return self.threads + threads / OVERDRAFT_DIVISOR <= self.cores * THREADS_PER_CORE * share

    def used_share(self) -> float:
        """The part of the capacity that is reserved: of memory or of threads, whichever is fuller."""
        return max(self.granted / self.memory, self.threads / (self.cores * THREADS_PER_CORE))

    def thread_share(self, threads: float) -> float:
        """The part of the capacity that so many threads take."""
        return threads / (self.cores * THREADS_PER_CORE)

    def has_capacity_of(self, other: Reservations) -> bool:
        """Whether the capacity is the same."""
        return (self.memory, self.cores) == (other.memory, other.cores)

    def reserve(self, memory: float, threads: float) -> None:
        """Reserves for one query."""
        self.granted += memory
        self.threads += threads
        self.running += 1

    def release(self, memory: float, threads: float) -> None:
        """Gives back what one query held."""
        self.granted = max(0.0, self.granted - memory)
        self.threads -= threads
        self.running -= 1
