"""What an incident is read from: every close, retry, refusal and change of state with its reason.

All are counted. Lines of their own are bounded, as clients and engines can cause them by the thousand; what
was left out shows in the counts, which are logged now and then and at the end.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Any

import structlog

BURST = 30  # lines written in a row
LINES_S = 3.0  # lines a second in the long run
COUNTS_S = 10.0  # between two lines of counts
REASONS_MOST = 100  # that are counted apart; further ones count together, by their kind
OTHER = "another reason"

log = structlog.get_logger()


class Kind(Enum):
    """What a line tells of."""

    CLOSE = "connection closed"
    RETRY = "further attempt"
    REFUSAL = "query refused or failed"
    STATE = "state changed"
    BROKEN = "invariant would be broken"


class EventLog:
    """Counts events by kind and reason, and writes as many as are bearable."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.counts = Counter[tuple[Kind, str]]()
        self._lines, self._filled_at = float(BURST), reactor.seconds()
        self._counts_due, self._counted = reactor.seconds() + COUNTS_S, 0

    def note(self, kind: Kind, why: str, line: bool = True, **told: Any) -> None:
        """An event and its reason, one of a few fixed ones; `told` is what belongs to this event alone."""
        known = (kind, why) in self.counts or len(self.counts) < REASONS_MOST
        self.counts[kind, why if known else OTHER] += 1
        if line and self._may_write():
            log.info(kind.value, why=why, **told)

    def _may_write(self) -> bool:
        now = self._reactor.seconds()
        self._lines = min(float(BURST), self._lines + (now - self._filled_at) * LINES_S)
        self._filled_at = now
        if self._lines < 1.0:
            return False
        self._lines -= 1.0
        return True

    def sweep(self) -> None:
        """Writes the counts where they are due and have changed."""
        if self._reactor.seconds() >= self._counts_due:
            self._counts_due = self._reactor.seconds() + COUNTS_S
            self.write_counts()

    def write_counts(self) -> None:
        total = self.counts.total()
        if total == self._counted:
            return
        self._counted = total
        log.info("events so far", **{f"{kind.value}: {why}": n for (kind, why), n in self.counts.items()})
