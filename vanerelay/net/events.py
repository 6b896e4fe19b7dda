"""The event log: connection closes, retries, rejections and state changes, each with its reason.

All events are counted. The number of log lines is limited, as clients and engines can cause events by the
thousand. The counts include events without a line, and are logged periodically and at shutdown.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Any

import structlog

BURST_LINES = 30
"""The number of lines that may be written without a pause."""
LINES_PER_S = 3.0
"""The sustained number of lines per second."""
COUNTS_INTERVAL_S = 10.0
MAX_REASONS = 100
"""The number of kinds and reasons that are counted separately; further reasons share one count per kind."""
OTHER_REASON = "another reason"

log = structlog.get_logger()


class LogEventKind(Enum):
    """The kind of an event. The value is the event name of its log line."""

    CLOSE = "connection closed"
    RETRY = "retry"
    REJECTION = "query rejected or failed"
    STATE = "state changed"
    VIOLATION = "invariant would be broken"
    DISCARD = "input discarded"
    DELAYED_END = "end of a connection delayed"


class EventLog:
    """Counts events by kind and reason, and writes a limited number of log lines.

    Attributes:
        counts: The number of events by kind and reason.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.counts = Counter[tuple[LogEventKind, str]]()
        self._lines_available, self._refilled_at = float(BURST_LINES), reactor.seconds()
        self._counts_due_at, self._total_written = reactor.seconds() + COUNTS_INTERVAL_S, 0

    def note(self, kind: LogEventKind, why: str, line: bool = True, **values: Any) -> None:
        """Counts an event, and writes a log line if `line` is set and the rate limit permits it.

        Args:
            kind: The kind of the event.
            why: The reason, one of a small fixed set.
            line: False to count the event without a line.
            values: Further fields of the log line.
        """
        known = (kind, why) in self.counts or len(self.counts) < MAX_REASONS
        self.counts[kind, why if known else OTHER_REASON] += 1
        if line and self._take_line():
            log.info(kind.value, why=why, **values)

    def _take_line(self) -> bool:
        """Returns True if the rate limit permits another line, and counts that line."""
        now = self._reactor.seconds()
        self._lines_available = min(
            float(BURST_LINES), self._lines_available + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._lines_available < 1.0:
            return False
        self._lines_available -= 1.0
        return True

    def sweep(self) -> bool:
        """Writes the counts if the interval is over and they have changed. Returns True if it wrote them."""
        if self._reactor.seconds() < self._counts_due_at:
            return False
        self._counts_due_at = self._reactor.seconds() + COUNTS_INTERVAL_S
        return self.write_counts()

    def write_counts(self) -> bool:
        """Writes the counts if they have changed. Returns True if it wrote them."""
        total = self.counts.total()
        if total == self._total_written:
            return False
        self._total_written = total
        log.info("events so far", **{f"{kind.value}: {why}": n for (kind, why), n in self.counts.items()})
        return True
