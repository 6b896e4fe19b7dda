"""When the interpreter collects cycles: between passes of the event loop, and only where it is worth it.

Collections of the interpreter's own accord took up to 60 ms with thousands of queries held, in the middle of
a pass. A query leaves no cycles behind; what a connection leaves behind are cycles.
"""

from __future__ import annotations

import gc
import resource

PAGE_BYTES = resource.getpagesize()
MIN_NEW_OBJECTS = 10_000
"""Objects made since the last collection that make one worth while."""
FEW_QUERIES = 300
"""With fewer queries open a collection costs little. With thousands it costs over 100 ms under overload."""


class GarbageCollection:
    """Collects cycles in place of the interpreter."""

    def __init__(self, memory_bytes: int) -> None:
        """`memory_bytes`: the memory that the process may take; past half of it collections do not wait."""
        self._urgent_past = memory_bytes // 2

    def take_over(self) -> None:
        """Leaves out what was made at the start, and ends the interpreter's own collections."""
        gc.collect()
        gc.freeze()
        gc.disable()

    def leave_out_present(self) -> None:
        """Leaves out what there is now, where it is much and stays.

        Ten thousand engines are half a million objects, a quarter of a second in each collection.
        """
        gc.freeze()

    def sweep(self, open_count: int, has_extensions: bool, busy: bool) -> None:
        """Collects, if it is worth while and costs little, or if memory is short.

        Args:
            open_count: The number of open queries.
            has_extensions: Whether extensions may have left out a list that has become garbage.
            busy: Whether an extension does what a long pass would disturb.
        """
        if gc.get_count()[0] <= MIN_NEW_OBJECTS:
            return
        memory_short = self._memory_short()
        costs_little = open_count < FEW_QUERIES and not busy
        if not costs_little and not memory_short:
            return
        if memory_short and has_extensions:
            gc.unfreeze()
        gc.collect()

    def _memory_short(self) -> bool:
        with open("/proc/self/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
        return resident_pages * PAGE_BYTES > self._urgent_past
