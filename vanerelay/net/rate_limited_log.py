"""Rate-limited warnings, for conditions that any client can cause."""

from __future__ import annotations

from typing import Any

import structlog

INTERVAL_S = 10.0
"""The minimum time between two warnings of one kind."""

log = structlog.get_logger()


class RateLimitedLog:
    """Writes warnings of one kind, at most one per `INTERVAL_S`."""

    def __init__(self, reactor: Any, event: str) -> None:
        self._reactor = reactor
        self._event = event
        self._next_allowed_at = 0.0
        self._suppressed = 0

    def warn(self, **values: Any) -> None:
        """Writes the warning with these values, or suppresses it.

        The next warning that is written reports the number of suppressed ones as `left_out`.
        """
        now = self._reactor.seconds()
        if now < self._next_allowed_at:
            self._suppressed += 1
            return
        log.warning(self._event, left_out=self._suppressed, **values)
        self._next_allowed_at = now + INTERVAL_S
        self._suppressed = 0
