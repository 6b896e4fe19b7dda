"""Memory and threads reserved for this gateway's queries on one engine, or on all engines together."""

from __future__ import annotations

THREADS_PER_CORE = 2.8
"""The threads that fill a core, which is more than one as some wait for reads or writes. Threads are limited
because a limit of memory alone admits too many light queries."""

OVERDRAFT_DIVISOR = 4
"""Only a query's threads divided by this have to fit. If all had to fit, a query on four threads would hardly
ever fit a small share."""


class Reservations:
    """Memory and threads that are reserved for queries in flight, against a capacity.

    Attributes:
        memory: The memory of the engine or engines, in MB.
        cores: The cores of the engine or engines.
        granted: The reserved memory, in MB.
        running: The number of queries in flight.
        threads: The reserved threads.
    """

    def __init__(self, memory: float, cores: float) -> None:
        self.memory = max(1.0, memory)
        self.cores = max(1, cores)
        self.granted = 0.0
        self.running = 0
        self.threads = 0.0

    def resize(self, memory: float, cores: float) -> None:
        """Adds memory, in MB, and cores to the capacity; negative values are subtracted."""
        self.memory += memory
        self.cores += cores

    def free_memory(self, share: float) -> float:
        """Returns the unreserved memory in a share of the capacity, in MB; negative if more is reserved."""
        return self.memory * share - self.granted

    def fits(self, memory: float, threads: float, share: float) -> bool:
        """Returns True if a query fits into a share of the capacity beside the present reservations."""
        if memory > self.free_memory(share):
            return False
        return self.threads + threads / OVERDRAFT_DIVISOR <= self.cores * THREADS_PER_CORE * share

    def used_share(self) -> float:
        """Returns the reserved part of the capacity, in memory or in threads, whichever is larger."""
        return max(self.granted / self.memory, self.threads / (self.cores * THREADS_PER_CORE))

    def thread_share(self, threads: float) -> float:
        """Returns the part of the capacity that this number of threads takes."""
        return threads / (self.cores * THREADS_PER_CORE)

    def has_capacity_of(self, other: Reservations) -> bool:
        """Returns True if both have the same capacity."""
        return (self.memory, self.cores) == (other.memory, other.cores)

    def reserve(self, memory: float, threads: float) -> None:
        """Reserves memory, in MB, and threads for one query."""
        self.granted += memory
        self.threads += threads
        self.running += 1

    def release(self, memory: float, threads: float) -> None:
        """Releases the memory, in MB, and the threads that were reserved for one query."""
        self.granted = max(0.0, self.granted - memory)
        self.threads -= threads
        self.running -= 1
