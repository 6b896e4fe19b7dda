"""Warnings that any client can cause: one in a while, with the number of those left out."""

from __future__ import annotations

from typing import Any

import structlog

INTERVAL_S = 10.0
"""The time between two warnings of one kind."""

log = structlog.get_logger()


class RateLimitedLog:
    """A warning of one kind, however often there is cause for it."""

    def __init__(self, reactor: Any, event: str) -> None:
        self._reactor = reactor
        self._event = event
        self._next_allowed_at = 0.0
        self._suppressed = 0

    def warn(self, **values: Any) -> None:
        """Writes the warning with these values, or counts it as left out."""
        now = self._reactor.seconds()
        if now < self._next_allowed_at:
            self._suppressed += 1
            return
        log.warning(self._event, left_out=self._suppressed, **values)
        self._next_allowed_at = now + INTERVAL_S
        self._suppressed = 0
