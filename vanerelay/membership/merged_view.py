"""The merged view of all sources: which engines exist, in what state, and why. Pure.

Each source reports its list (`report`), or that it still stands by it (`source_alive`). `step` returns what
of the merged view has changed, removals first, so many engines at a time. The view depends only on the last
report of each source on each engine, not on the order in which sources reported; but for engines that flap.
The rules of the merge are in `source_merge`. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain, islice

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, EngineState
from vanerelay.membership.flap_damping import FlapDamper, FlapDampingConfig
from vanerelay.membership.source_merge import MergeResult, Reason, SourceMerge
from vanerelay.membership.sources import MAX_REMOVALS, REMOVAL_BINDS_FOR, Source, SourceConfig

ENGINES_PER_STEP = 150
"""Engines merged in one step: a few milliseconds of one pass of the event loop."""

CHANGES_PER_ENGINE = 4
"""Reported changes that are noted in place of one engine that is merged, since they cost less."""

FIRST_REPORT_TIMEOUT = SECOND
"""How long sources may take for their first report before the view is published without them."""

HISTORY_LENGTH = 1000
"""Changes that are kept for the operators."""

HELD_OFF = Reason("", 0, "came back too often: held back")


@dataclass(frozen=True, slots=True)
class ViewEntry:
    """One engine as it is from `changed_at` on; gone where its state says so."""

    engine: ListedEngine
    reason: Reason
    changed_at: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """An engine as it is merged, why, and what each source reports of it, in words."""

    engine: ListedEngine | None
    reason: Reason
    by_source: dict[str, str]


@dataclass(slots=True)
class _Report:
    """A report that is not noted completely: the source's list before it, and the names that differ."""

    source: Source
    before: Mapping[str, ListedEngine]
    names: Iterator[str]


class MergedView:
    """All sources merged.

    Nothing is published until each source has reported, or `FIRST_REPORT_TIMEOUT` has passed.

    Attributes:
        entries: The engines in force, by name.
        history: The last changes, the oldest first.
    """

    def __init__(self, now: int, configs: Sequence[SourceConfig], flap_damping: FlapDampingConfig) -> None:
        self._merge = SourceMerge(configs, now)
        self._damper = FlapDamper(flap_damping)
        self._created_at, self._ready = now, False
        self.entries: dict[str, ViewEntry] = {}
        self.history: deque[ViewEntry] = deque(maxlen=HISTORY_LENGTH)
        self._reports = deque[_Report]()
        # Names to be merged anew: those that may be worse off first.
        self._urgent: OrderedDict[str, None] = OrderedDict()
        self._other: OrderedDict[str, None] = OrderedDict()

    @property
    def sources(self) -> Sequence[Source]:
        """All sources, in the order of precedence."""
        return self._merge.ranked

    # What sources report.

    def report(
        self,
        source_name: str,
        now: int,
        revision: int,
        engines: Mapping[str, ListedEngine],
        changed: Iterable[str],
        removed: Iterable[str],
    ) -> None:
        """A source's list as it is now, and the names in which it differs from its last one.

        None of these may be modified afterwards. An engine whose state is gone counts as removed.
        """
        source = self._merge.by_name[source_name]
        before, source.engines, source.revision = source.engines, engines, revision
        self._reports.append(_Report(source, before, chain(removed, changed)))
        self.source_alive(source_name, now)
        if not source.has_reported:
            source.has_reported = True
            if source.config.complete:
                self._enqueue_all()

    def source_alive(self, source_name: str, now: int) -> None:
        """A source stands by what it reported last."""
        source = self._merge.by_name[source_name]
        source.heard_at = now
        if source.is_stale:
            source.is_stale = False
            self._enqueue_all()

    def _note_change(self, now: int, source: Source, name: str, old: ListedEngine | None) -> None:
        """Notes what a source reports of one engine: who is to be merged anew because of it."""
        engine = source.engines.get(name)
        listed = engine if engine is not None and engine.state is not EngineState.GONE else None
        if old is not None and (listed is None or listed.address != old.address):
            self._note_address_left(name, old.address)
        if listed is None:
            self._note_removal(now, source, name)
        else:
            source.removals.pop(name, None)
            self._merge.addresses.add(name, listed.address)
        self._enqueue(name)
        if name in self.entries and (engine is None or old is None or _is_urgent(old, engine)):
            self._urgent[name] = None

    def _note_address_left(self, name: str, address: str) -> None:
        addresses = self._merge.addresses
        if not any(source.lists_at(name, address) for source in self.sources):
            addresses.discard(name, address)
        self._other.update(dict.fromkeys(addresses.names_at(address)))

    def _note_removal(self, now: int, source: Source, name: str) -> None:
        source.removals[name] = now + REMOVAL_BINDS_FOR
        source.removals.move_to_end(name)
        while len(source.removals) > MAX_REMOVALS:
            self._enqueue(source.removals.popitem(last=False)[0])

    def _enqueue(self, name: str) -> None:
        """An engine is merged anew, and with it all that any source lists where any lists it."""
        self._other[name] = None
        for source in self.sources:
            engine = source.engines.get(name)
            names = self._merge.addresses.names_at(engine.address) if engine is not None else {}
            if len(names) < 2:
                continue
            for other in names:
                queue = self._urgent if other != name and other in self.entries else self._other
                queue[other] = None

    def _enqueue_all(self) -> None:
        for source in self.sources:
            self._other.update(dict.fromkeys(source.engines))
        self._urgent.update(dict.fromkeys(self.entries))

    # What comes of it.

    def advance(self, now: int) -> None:
        """What time alone changes: sources become stale, engines are held off no longer, removals expire."""
        for source in self.sources:
            stale_at = source.goes_stale_at()
            if stale_at is not None and stale_at <= now:
                source.is_stale = True
                self._enqueue_all()
            while (expires_at := source.first_removal_expires_at()) is not None and expires_at <= now:
                self._enqueue(source.removals.popitem(last=False)[0])
        for name in self._damper.release(now):
            self._other[name] = None

    def next_deadline(self) -> int | None:
        """When `advance` has something to do."""
        deadlines = [source.goes_stale_at() for source in self.sources]
        deadlines += [source.first_removal_expires_at() for source in self.sources]
        deadlines += self._damper.deadlines()
        if not self._ready:
            deadlines.append(self._created_at + FIRST_REPORT_TIMEOUT)
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def is_ready(self, now: int) -> bool:
        """Whether there is enough to publish: every source has reported, or has had its time and one has."""
        if not self._ready:
            reported = [source.has_reported for source in self.sources]
            timed_out = now - self._created_at >= FIRST_REPORT_TIMEOUT
            self._ready = all(reported) or timed_out and any(reported)
        return self._ready

    def has_pending(self) -> bool:
        """Whether `step` has something left to do."""
        return bool(self._reports or self._urgent or self._other)

    def step(self, now: int, limit: int = ENGINES_PER_STEP) -> list[ViewEntry]:
        """The next changes, those of engines that may be worse off first; `limit` engines are merged.

        An engine that is merged may turn out unchanged, so there may be no change while more is pending.
        """
        if not self.is_ready(now) or not self._note_next_report(now, limit):
            return []
        changes = list[ViewEntry]()
        for _ in range(limit):
            queue = self._urgent or self._other
            if not queue:
                break
            name = queue.popitem(last=False)[0]
            self._other.pop(name, None)
            entry = self._refresh(now, name)
            if entry is not None:
                changes.append(entry)
                self.history.append(entry)
        return changes

    def _note_next_report(self, now: int, limit: int) -> bool:
        """Notes a part of the oldest report; whether engines may be merged in the same step.

        Nothing is merged out of half of what a source has reported.
        """
        if not self._reports:
            return True
        report, noted_limit = self._reports[0], limit * CHANGES_PER_ENGINE
        names = list(islice(report.names, noted_limit))
        for name in names:
            self._note_change(now, report.source, name, report.before.get(name))
        if len(names) < noted_limit:
            self._reports.popleft()
        return not self._reports and len(names) <= limit

    def _refresh(self, now: int, name: str) -> ViewEntry | None:
        """Merges one engine anew; its entry if that has changed."""
        before = self.entries.get(name)
        result = self._damped(now, name, before)
        engine = result.engine
        if engine is None:
            if before is None:
                return None
            del self.entries[name]
            return ViewEntry(replace(before.engine, state=EngineState.GONE), result.reason, now)
        if before is not None and before.engine == engine:
            return None
        entry = ViewEntry(engine, result.reason, now)
        self.entries[name] = entry
        return entry

    def _damped(self, now: int, name: str, before: ViewEntry | None) -> MergeResult:
        """What is merged of an engine, but for one that comes back too often: that is draining or absent."""
        result = self._merge.merge(name)
        was_up = before is not None and before.engine.state is EngineState.UP
        if result.engine is None or result.engine.state is not EngineState.UP:
            self._damper.not_in_service(now, name, was_up)
            return result
        if was_up or self._damper.may_return(now, name):
            return result
        held_off = replace(before.engine, state=EngineState.DRAINING) if before is not None else None
        return MergeResult(held_off, HELD_OFF)

    # For the operators.

    def explain(self, name: str) -> Explanation:
        """An engine as it is merged, why, and what each source reports of it."""
        by_source = {}
        for source in self.sources:
            engine = source.engines.get(name)
            if name in source.removals:
                by_source[source.config.name] = "taken off"
            elif engine is not None:
                by_source[source.config.name] = engine.state.value + (", stale" if source.is_stale else "")
            elif source.has_reported:
                by_source[source.config.name] = "does not list it"
        result = self._merge.merge(name)
        held_off = result.engine is not None and self._damper.is_held_off(name)
        return Explanation(result.engine, HELD_OFF if held_off else result.reason, by_source)


def _is_urgent(before: ListedEngine, after: ListedEngine) -> bool:
    """Whether a query that depends on what an engine may be sent could be harmed by learning of it late."""
    return (
        after.state is not before.state
        or after.address != before.address
        or after.weight == 0
        or (after.zone, after.machine_kind, after.cell) != (before.zone, before.machine_kind, before.cell)
        or after.started_at > before.started_at
    )
