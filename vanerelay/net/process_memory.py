"""The memory of this process as the platform counts it, and the allocator's settings."""

from __future__ import annotations

import contextlib
import ctypes
import resource

PAGE_BYTES = resource.getpagesize()
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
"""Options of mallopt(3)."""
MMAP_THRESHOLD_BYTES = 64 * 2**10
"""Allocations of at least this size are returned to the system when they are freed.

By default the allocator raises this threshold with each large allocation that is freed, and keeps the memory.
"""
TRIM_THRESHOLD_BYTES = 128 * 2**10
"""Free memory at the end of the heap above which it is returned to the system."""


STATM_PATH = "/proc/self/statm"
KIB = 1024


def own_memory_bytes() -> int:
    """Returns the resident memory of this process, without the pages that it shares with files.

    Where the system does not tell it, the largest resident memory so far is returned.
    """
    try:
        with open(STATM_PATH, "rb") as file:
            resident, shared = file.read().split()[1:3]
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    return (int(resident) - int(shared)) * PAGE_BYTES


def return_large_allocations() -> None:
    """Has the C library return freed memory to the system, and returns what is free now."""
    with contextlib.suppress(OSError, AttributeError):  # another C library
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
        library.malloc_trim(0)
