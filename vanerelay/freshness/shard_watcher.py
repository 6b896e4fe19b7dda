"""The watch of one shard, where its lease is ours: engines' reports go into the shard's state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from vanerelay.attempt_outcome import AttemptEnd, EndCause
from vanerelay.freshness import messages
from vanerelay.freshness.replication_positions import ReplicaState
from vanerelay.freshness.shard_updates import ShardState
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.maintenance_runner import MaintenanceDialog

MAX_ROWS_PER_ENGINE = 50_000
"""Table groups of one engine."""

MAX_CURSOR_DIGITS = 15
"""Digits of the table group from which a report goes on."""

CURSOR_FIELD = "next"
"""The field of an answer that names where the report goes on."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _PartialReport:
    """The first pages of a report, asked for at `polled_at`."""

    polled_at: int
    states: dict[int, ReplicaState]


class ShardWatcher(MaintenanceDialog):
    """Takes the reports of a shard's engines."""

    def __init__(self, gateway: str, shard: ShardState, on_change: Callable[[], None]) -> None:
        self._gateway = gateway
        self._shard = shard
        self._on_change = on_change
        self._partial = dict[str, _PartialReport]()  # by engine
        self._malformed = set[str]()  # engines whose last report could not be read, as was logged

    def acquired(self, holder: LeaseHolder) -> None:
        """The shard is ours."""
        self._partial.clear()
        self._shard.take_over(holder.token, self._gateway)
        self._on_change()

    def replied(self, engine: str, started_at: int, end: AttemptEnd) -> str | None:
        """An answer to a poll of time `started_at`; where the report goes on, if it does."""
        states = None
        if end.cause is EndCause.OK:
            states = messages.parse_replica_rows(end.rows, MAX_ROWS_PER_ENGINE)
        partial = self._partial.pop(engine, None)
        if states is None:
            if end.cause is EndCause.OK and engine not in self._malformed:
                self._malformed.add(engine)
                log.warning("malformed replica report", engine=engine)
            return None
        self._malformed.discard(engine)
        if partial is not None and partial.polled_at == started_at:
            states = partial.states | states
        cursor = end.fields.get(CURSOR_FIELD, "")
        is_cursor = cursor.isdecimal() and 0 < len(cursor) <= MAX_CURSOR_DIGITS
        if is_cursor and len(states) < MAX_ROWS_PER_ENGINE:
            self._partial[engine] = _PartialReport(started_at, states)
            return cursor
        self._shard.engine_polled(engine, started_at, states)
        self._on_change()
        return None
