"""The event log, from which an incident is read: closes, retries, rejections, changes of state, with why.

All are counted. Lines of their own are limited, as clients and engines can cause them by the thousand; what
was left out shows in the counts, which are logged now and then and at the end.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Any

import structlog

BURST_LINES = 30
"""Lines written in a row."""
LINES_PER_S = 3.0
"""Lines a second in the long run."""
COUNTS_INTERVAL_S = 10.0
MAX_REASONS = 100
"""Reasons that are counted apart; further ones count together, by their kind."""
OTHER_REASON = "another reason"

log = structlog.get_logger()


class LogEventKind(Enum):
    """What an event is; the value is the name of its log line."""

    CLOSE = "connection closed"
    RETRY = "retry"
    REJECTION = "query rejected or failed"
    STATE = "state changed"
    VIOLATION = "invariant would be broken"


class EventLog:
    """Counts events by kind and reason, and writes a limited number of lines."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.counts = Counter[tuple[LogEventKind, str]]()
        self._lines_available, self._refilled_at = float(BURST_LINES), reactor.seconds()
        self._counts_due_at, self._total_written = reactor.seconds() + COUNTS_INTERVAL_S, 0

    def note(self, kind: LogEventKind, why: str, line: bool = True, **values: Any) -> None:
        """Counts an event, and writes a line unless it is to be counted alone.

        Args:
            kind: What it is.
            why: Its reason, one of a few fixed ones.
            line: Whether it is worth a line.
            values: What belongs to this event alone.
        """
        known = (kind, why) in self.counts or len(self.counts) < MAX_REASONS
        self.counts[kind, why if known else OTHER_REASON] += 1
        if line and self._take_line():
            log.info(kind.value, why=why, **values)

    def _take_line(self) -> bool:
        now = self._reactor.seconds()
        self._lines_available = min(
            float(BURST_LINES), self._lines_available + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._lines_available < 1.0:
            return False
        self._lines_available -= 1.0
        return True

    def sweep(self) -> None:
        """Writes the counts where they are due and have changed."""
        if self._reactor.seconds() >= self._counts_due_at:
            self._counts_due_at = self._reactor.seconds() + COUNTS_INTERVAL_S
            self.write_counts()

    def write_counts(self) -> None:
        """Writes the counts where they have changed."""
        total = self.counts.total()
        if total == self._total_written:
            return
        self._total_written = total
        log.info("events so far", **{f"{kind.value}: {why}": n for (kind, why), n in self.counts.items()})
