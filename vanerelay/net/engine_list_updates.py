"""Applies changes of the engine list to the connections, the guard and the decisions."""

from __future__ import annotations

import itertools
from dataclasses import replace

from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import EngineEntry, EngineState
from vanerelay.invariants import InvariantGuard, StateChange
from vanerelay.net.decisions import Decisions
from vanerelay.net.engine_pool import MAX_REMOVED_PER_SWEEP, EnginePool
from vanerelay.net.engine_start_times import EngineStartTimes
from vanerelay.net.events import EventLog, LogEventKind
from vanerelay.net.extensions import Extensions
from vanerelay.query_table import EngineNames


class EngineListUpdates:
    """Applies the changes of the engine list, and holds the engines' names.

    Attributes:
        names: The names of the engines by their indices.
        gone: The indices of engines that have left the list and are not forgotten yet.
        received: True once a change of the list was received.
    """

    def __init__(
        self,
        clock: Clock,
        engines: EnginePool,
        guard: InvariantGuard,
        decisions: Decisions,
        extensions: Extensions,
        events: EventLog,
    ) -> None:
        self._engines = engines
        self._guard = guard
        self._decisions = decisions
        self._extensions = extensions
        self._events = events
        self._start_times = EngineStartTimes(clock)
        self.names = EngineNames()
        self.gone = set[int]()
        self.received = False

    def apply(self, change: EngineListChange) -> None:
        """Applies one change."""
        entries, present = list[EngineEntry](), set[int]()
        for listed in change.engines:
            is_gone = listed.state is EngineState.GONE
            if is_gone and listed.name not in self.names:
                continue
            index = self.names.index(listed.name)
            (self.gone if is_gone else present).add(index)
            entries.append(self._apply_entry(index, listed, change.within_s))
        self.gone -= present
        if change.complete:
            self._engines.retain_engines(present)
            self._guard.retain_engines(present)
            self.gone = self.names.all() - present
        self.received = True
        self._decisions.update_engines(entries, change.complete)
        self._extensions.notify_engines_changed(change)

    def sweep(self) -> None:
        """Closes connections that engines are about to close, and forgets engines that have left the list."""
        self._engines.sweep()
        forgettable = (index for index in self.gone if not self._engines.has_engine(index))
        for index in list(itertools.islice(forgettable, MAX_REMOVED_PER_SWEEP)):
            self.gone.remove(index)
            self.names.forget(index)
            self._start_times.forget(index)
            self._guard.forget_engine(index)

    def name_of(self, index: int) -> str:
        """Returns the name of an engine; empty if it is no longer known."""
        return self.names.name(index) if self._engines.has_engine(index) else ""

    def _apply_entry(self, index: int, listed: ListedEngine, within_s: float | None) -> EngineEntry:
        is_gone = listed.state is EngineState.GONE
        is_draining = listed.state is EngineState.DRAINING
        self._engines.update_engine(index, listed.address, listed.started_at, is_gone, is_draining)
        started_at = self._start_times.start_time(index, listed.started_at, within_s)
        entry = replace(listed.entry(index), started_at=started_at)
        self._log_state_change(listed, self._guard.engine_listed(entry))
        return entry

    def _log_state_change(self, listed: ListedEngine, change: StateChange | None) -> None:
        if change is not None:
            why = f"engine {change.before} to {change.after}"
            self._events.note(LogEventKind.STATE, why, change.before != "unknown", engine=listed.name)
