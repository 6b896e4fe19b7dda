"""How often each table group was read at which engine, by slices of time, in sketches that merge. Pure.

Frequent-items sketches (Apache DataSketches): what is read often is counted with a known error whatever
else is read, in so many bytes whatever number of table groups there is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from datasketches import frequent_items_error_type, frequent_strings_sketch

from vanerelay.interface import Duration

LOG_SKETCH_SIZE = 9
"""Binary logarithm of a sketch's size: 384 items are counted."""

LOG_MERGED_SIZE = LOG_SKETCH_SIZE + 3
"""Binary logarithm of the size of a sketch that merges those of many gateways."""

MAX_SLICES = 60
"""Slices that a gateway keeps: a new planner learns a minute."""

MAX_LOADS = 1000
"""Written table groups that are kept of one slice."""

GroupAtEngine = tuple[int, str]
"""A table group and the name of an engine."""


@dataclass(frozen=True, slots=True)
class PopularitySlice:
    """What one gateway saw within one slice of time.

    Attributes:
        number: The slice's number.
        age: The time since its end.
        reads: The sketch of reads.
        work: The sketch of the work of reads.
        loads: The table groups that were written.
    """

    number: int
    age: Duration
    reads: bytes
    work: bytes
    loads: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _EndedSlice:
    number: int
    ended_at: int
    reads: bytes
    work: bytes
    loads: tuple[int, ...]


@dataclass
class PopularityCounter:
    """Counts at one gateway, in slices of a fixed duration."""

    slice_duration: Duration
    _number: int = 0
    _ends_at: int = 0
    _loads: set[int] = field(default_factory=set)
    _ended: deque[_EndedSlice] = field(default_factory=lambda: deque(maxlen=MAX_SLICES))

    def __post_init__(self) -> None:
        self._begin_sketches()

    def _begin_sketches(self) -> None:
        self._reads = frequent_strings_sketch(LOG_SKETCH_SIZE)
        self._work = frequent_strings_sketch(LOG_SKETCH_SIZE)

    def read_completed(self, now: int, table_group: int, engine: str, work: int) -> None:
        """A read has completed; `work` as the engine reported it, in ticks."""
        self._end_slice_if_due(now)
        key = f"{table_group}@{engine}"
        self._reads.update(key, 1)
        self._work.update(key, max(1, work))

    def load_completed(self, now: int, table_group: int) -> None:
        """A load has completed."""
        self._end_slice_if_due(now)
        if len(self._loads) < MAX_LOADS:
            self._loads.add(table_group)

    def _end_slice_if_due(self, now: int) -> None:
        if now < self._ends_at:
            return
        if not self._reads.is_empty() or self._loads:
            loads = tuple(sorted(self._loads))
            self._ended.append(
                _EndedSlice(
                    self._number, self._ends_at, self._reads.serialize(), self._work.serialize(), loads
                )
            )
            self._begin_sketches()
            self._loads = set()
        self._number, self._ends_at = self._number + 1, now + self.slice_duration

    @property
    def current_slice(self) -> int:
        """The number of the slice that goes on."""
        return self._number

    def slices_since(self, now: int, number: int) -> list[PopularitySlice]:
        """The slices that have ended, from that number on."""
        self._end_slice_if_due(now)
        return [
            PopularitySlice(one.number, max(0, now - one.ended_at), one.reads, one.work, one.loads)
            for one in self._ended
            if one.number >= number
        ]


@dataclass(frozen=True, slots=True)
class ReadCount:
    """Reads, and the work of all of them in ticks."""

    reads: int = 0
    work: int = 0


@dataclass(frozen=True, slots=True)
class Popularity:
    """What was read where, and which table groups were written."""

    reads: Mapping[GroupAtEngine, ReadCount]
    loads: set[int]


def merge_slices(slices: list[PopularitySlice]) -> Popularity:
    """Sums up slices of many gateways."""
    reads = frequent_strings_sketch(LOG_MERGED_SIZE)
    work = frequent_strings_sketch(LOG_MERGED_SIZE)
    loads = set[int]()
    for one in slices:
        reads.merge(frequent_strings_sketch.deserialize(one.reads))
        work.merge(frequent_strings_sketch.deserialize(one.work))
        loads |= set(one.loads)
    error = frequent_items_error_type.NO_FALSE_NEGATIVES
    work_of = {name: estimate for name, estimate, _, _ in work.get_frequent_items(error)}
    counts = dict[GroupAtEngine, ReadCount]()
    for name, estimate, _, _ in reads.get_frequent_items(error):
        group, _, engine = name.partition("@")
        if group.isdecimal() and engine:
            counts[int(group), engine] = ReadCount(estimate, work_of.get(name, 0))
    return Popularity(counts, loads)
