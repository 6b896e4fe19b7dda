"""Schedule of a maintenance task's commands: which engines are due, and at which pace. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from vanerelay.interface import Duration, EngineState, EngineStatus

RETRY_DIVISOR = 4
"""An engine whose command failed is sent it again after the interval divided by this."""

PACE_FACTOR = 1.5
"""Commands are sent at up to this multiple of the even pace, as all are due after a change of holder."""


def shard_of(engine: str, shards: int) -> int:
    """Returns the shard of an engine; all gateways compute the same one."""
    return int(xxhash.xxh3_64_intdigest(engine.encode()) % shards)


def accepts_maintenance(status: EngineStatus) -> bool:
    """Returns True if an engine may be sent commands.

    It has to be listed, serving (rule 3), healthy and warmed up (rule 4).
    """
    return status.entry.state is EngineState.UP and status.usable and status.warmed_up


@dataclass(slots=True)
class MaintenanceSchedule:
    """Schedule of one shard of a task, at the gateway that holds its lease.

    Attributes:
        interval: time between two commands to one engine.
        max_in_flight: maximum number of commands in flight at once.
        due: when each engine is to be sent its next command, by name.
        in_flight: engines whose replies are outstanding.
    """

    interval: Duration
    max_in_flight: int
    due: dict[str, int] = field(default_factory=dict)
    in_flight: set[str] = field(default_factory=set)
    _bucket_tokens: float = 0.0  # of the token bucket that limits the pace
    _refilled_at: int = 0

    def reset(self, now: int) -> None:
        """Makes all engines due, as a new holder does not know when each had its last command."""
        self.due, self.in_flight, self._bucket_tokens, self._refilled_at = {}, set(), 1.0, now

    def take_due(self, now: int, engines: Sequence[str]) -> list[str]:
        """Returns the engines that are to be sent the command now; `engines` are those of the shard."""
        listed = set(engines)
        self.due = {name: due_at for name, due_at in self.due.items() if name in listed}
        for name in engines:
            self.due.setdefault(name, now)
        self._refill(now, len(engines))
        ready = sorted(
            (due_at, name)
            for name, due_at in self.due.items()
            if due_at <= now and name not in self.in_flight
        )
        count = min(self.max_in_flight - len(self.in_flight), int(self._bucket_tokens))
        taken = [name for _, name in ready[: max(0, count)]]
        self._bucket_tokens -= len(taken)
        return taken

    def _refill(self, now: int, engines: int) -> None:
        pace = PACE_FACTOR * engines / self.interval
        capacity = max(1.0, float(self.max_in_flight))
        self._bucket_tokens = min(capacity, self._bucket_tokens + (now - self._refilled_at) * pace)
        self._refilled_at = now

    def mark_sent(self, engine: str) -> None:
        """Records that the command was sent to an engine."""
        self.in_flight.add(engine)

    def mark_ended(self, now: int, engine: str, succeeded: bool) -> None:
        """Schedules the next command to an engine that replied, or did not reply in time."""
        self.in_flight.discard(engine)
        if engine in self.due:
            self.due[engine] = now + (self.interval if succeeded else self.interval // RETRY_DIVISOR)
