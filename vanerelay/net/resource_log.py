"""Log lines on the resources of the process: its memory, connections and open queries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from vanerelay.net.memory_budget import MemoryBudget
from vanerelay.net.rate_limited_log import RateLimitedLog

NEARLY_FULL_SHARE = 0.9
"""The share of the memory limit from which on a warning is written."""
MIB = 2**20

log = structlog.get_logger()


class ResourceLog:
    """Writes the present use of resources, and a warning while the memory is nearly used up."""

    def __init__(
        self,
        reactor: Any,
        budget: MemoryBudget,
        memory_limit: int,
        measure: Callable[[], int],
        counts: Callable[[], dict[str, int]],
    ) -> None:
        """Creates the log.

        Args:
            reactor: The event loop.
            budget: The memory that clients and engines use.
            memory_limit: The memory limit of the process in bytes.
            measure: Returns the memory of the process in bytes.
            counts: Returns the numbers of connections and queries, by their names in the log line.
        """
        self._budget = budget
        self._memory_limit = memory_limit
        self._measure = measure
        self._counts = counts
        self._warning = RateLimitedLog(reactor, "memory nearly used up")

    def write(self) -> None:
        """Writes a line with the present use."""
        log.info("resources", **self._values())

    def warn_if_nearly_full(self) -> None:
        """Writes a warning if the process has nearly reached its memory limit."""
        if self._measure() > NEARLY_FULL_SHARE * self._memory_limit:
            self._warning.warn(**self._values())

    def _values(self) -> dict[str, float]:
        return {
            "memory_mb": round(self._measure() / MIB, 1),
            "limit_mb": round(self._memory_limit / MIB, 1),
            "budget_mb": round(self._budget.capacity / MIB, 1),
            "in_use_mb": round(self._budget.in_use / MIB, 1),
            **self._counts(),
        }
