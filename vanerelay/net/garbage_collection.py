"""Garbage collection of reference cycles at chosen times: between event loop passes, if it is worth the cost.

With thousands of open queries, automatic collections of the interpreter took up to 60 ms in the middle of a
pass. Queries leave no reference cycles, but connections do.
"""

from __future__ import annotations

import gc
import resource

PAGE_BYTES = resource.getpagesize()
MIN_NEW_OBJECTS = 10_000
"""Number of new objects since the last collection above which another one is worth its cost."""
MAX_CHEAP_QUERIES = 300
"""With fewer open queries a collection is short. With thousands it takes over 100 ms under overload."""


class GarbageCollection:
    """Collects reference cycles in place of the interpreter's automatic collections."""

    def __init__(self, memory_bytes: int) -> None:
        """`memory_bytes` is the memory limit; above half of it, collections are no longer put off."""
        self._urgent_above_bytes = memory_bytes // 2

    def disable_automatic(self) -> None:
        """Excludes all objects created so far from collections, and disables automatic collections."""
        gc.collect()
        gc.freeze()
        gc.disable()

    def freeze_existing(self) -> None:
        """Excludes all present objects from collections, after many were created that stay.

        Ten thousand engines are half a million objects, which would add 0.25 s to each collection.
        """
        gc.freeze()

    def sweep(self, open_count: int, has_extensions: bool, busy: bool) -> None:
        """Collects if there are many new objects, and either a collection is short or memory is scarce.

        Args:
            open_count: The number of open queries.
            has_extensions: True if extensions may have excluded an engine list that is garbage by now.
            busy: True if an extension does work that a long pass of the event loop would disturb.
        """
        if gc.get_count()[0] <= MIN_NEW_OBJECTS:
            return
        memory_short = self._is_memory_short()
        is_cheap = open_count < MAX_CHEAP_QUERIES and not busy
        if not is_cheap and not memory_short:
            return
        if memory_short and has_extensions:
            gc.unfreeze()
        gc.collect()

    def _is_memory_short(self) -> bool:
        with open("/proc/self/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
        return resident_pages * PAGE_BYTES > self._urgent_above_bytes
