"""Log lines that any peer can cause: one in a while, with the number of those left out."""

from __future__ import annotations

from typing import Any

import structlog

EVERY_S = 10.0

log = structlog.get_logger()


class RateLimitedLog:
    """A warning of one kind, however often it is cause for."""

    def __init__(self, reactor: Any, event: str) -> None:
        self._reactor, self._event, self._due, self._left_out = reactor, event, 0.0, 0

    def warn(self, **told: Any) -> None:
        now = self._reactor.seconds()
        if now < self._due:
            self._left_out += 1
            return
        log.warning(self._event, left_out=self._left_out, **told)
        self._due, self._left_out = now + EVERY_S, 0
