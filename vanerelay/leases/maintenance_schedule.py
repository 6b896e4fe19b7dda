"""Orders that engines are sent by one manager for all: which engine is due, and at what pace. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from vanerelay.interface import Duration, EngineState, EngineStatus

AGAIN = 4  # a part of the interval after which an engine that did not answer is told once more
SPARE = 1.5  # times the even pace at which orders leave: after a change of holder all are due at once


def shard(engine: str, shards: int) -> int:
    """Which part an engine belongs to, wherever it is asked."""
    return int(xxhash.xxh3_64_intdigest(engine.encode()) % shards)


def bears(condition: EngineStatus) -> bool:
    """Whether an engine may be sent orders: listed and serving (rule 3), sound, not cold (rule 4)."""
    return condition.entry.state is EngineState.UP and condition.usable and condition.warmed_up


@dataclass(slots=True)
class MaintenanceSchedule:
    """One shard of one chore at the manager that holds it."""

    every: Duration
    at_once: int
    due: dict[str, int] = field(default_factory=dict)  # when each engine is to be told next
    out: set[str] = field(default_factory=set)
    _room: float = 0.0
    _at: int = 0

    def begin(self, now: int) -> None:
        """It has just become ours: nobody tells when each was told last."""
        self.due, self.out, self._room, self._at = {}, set(), 1.0, now

    def next(self, now: int, engines: Sequence[str]) -> list[str]:
        """Engines to be told now."""
        there = set(engines)
        self.due = {name: at for name, at in self.due.items() if name in there}
        for name in engines:
            self.due.setdefault(name, now)
        pace = SPARE * len(engines) / self.every
        self._room = min(max(1.0, float(self.at_once)), self._room + (now - self._at) * pace)
        self._at = now
        ready = sorted((at, name) for name, at in self.due.items() if at <= now and name not in self.out)
        take = min(self.at_once - len(self.out), int(self._room))
        found = [name for _, name in ready[: max(0, take)]]
        self._room -= len(found)
        return found

    def sent(self, engine: str) -> None:
        self.out.add(engine)

    def unsent(self, engines: Iterable[str]) -> None:
        """They could not be told now, and are due as before."""
        self.out -= set(engines)

    def ended(self, now: int, engine: str, good: bool) -> None:
        self.out.discard(engine)
        if engine in self.due:
            self.due[engine] = now + (self.every if good else self.every // AGAIN)
