"""The schedule of a maintenance task's commands: which engine is due, and at what pace. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from vanerelay.interface import Duration, EngineState, EngineStatus

RETRY_FRACTION = 4
"""An engine that did not reply as expected is sent the command again after this fraction of the interval."""

PACE_FACTOR = 1.5
"""Commands leave at this many times the even pace, to catch up: after a change of holder all are due."""


def shard_of(engine: str, shards: int) -> int:
    """The shard that an engine belongs to; every gateway comes to the same."""
    return int(xxhash.xxh3_64_intdigest(engine.encode()) % shards)


def accepts_maintenance(status: EngineStatus) -> bool:
    """Whether an engine may be sent commands: listed, serving (rule 3), healthy and warmed up (rule 4)."""
    return status.entry.state is EngineState.UP and status.usable and status.warmed_up


@dataclass(slots=True)
class MaintenanceSchedule:
    """One shard of one task, at the gateway that holds its lease.

    Attributes:
        interval: between two commands to one engine.
        max_in_flight: commands that are in flight at once.
        due: when each engine is to be sent its next command.
        in_flight: engines whose reply is awaited.
    """

    interval: Duration
    max_in_flight: int
    due: dict[str, int] = field(default_factory=dict)
    in_flight: set[str] = field(default_factory=set)
    _tokens: float = 0.0  # of the token bucket that keeps the pace
    _refilled_at: int = 0

    def begin(self, now: int) -> None:
        """The lease has just become ours: nobody tells when each engine had its last command."""
        self.due, self.in_flight, self._tokens, self._refilled_at = {}, set(), 1.0, now

    def take_due(self, now: int, engines: Sequence[str]) -> list[str]:
        """The engines of the shard that are to be sent the command now."""
        listed = set(engines)
        self.due = {name: at for name, at in self.due.items() if name in listed}
        for name in engines:
            self.due.setdefault(name, now)
        self._refill(now, len(engines))
        ready = sorted(
            (at, name) for name, at in self.due.items() if at <= now and name not in self.in_flight
        )
        count = min(self.max_in_flight - len(self.in_flight), int(self._tokens))
        taken = [name for _, name in ready[: max(0, count)]]
        self._tokens -= len(taken)
        return taken

    def _refill(self, now: int, engines: int) -> None:
        pace = PACE_FACTOR * engines / self.interval
        most = max(1.0, float(self.max_in_flight))
        self._tokens = min(most, self._tokens + (now - self._refilled_at) * pace)
        self._refilled_at = now

    def sent(self, engine: str) -> None:
        """The command was sent to an engine."""
        self.in_flight.add(engine)

    def ended(self, now: int, engine: str, succeeded: bool) -> None:
        """The engine replied, or did not in time."""
        self.in_flight.discard(engine)
        if engine in self.due:
            self.due[engine] = now + (self.interval if succeeded else self.interval // RETRY_FRACTION)
