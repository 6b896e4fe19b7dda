"""How often each table group was read at which engine, by slices of time, in sketches that merge. Pure.

Frequent items (Apache DataSketches): what is read often is told with a known error whatever else comes, in so
many bytes whatever number of table groups there is."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from datasketches import frequent_items_error_type, frequent_strings_sketch

from vanerelay.interface import Duration

SIZE = 9  # log of the items that a sketch follows: 384 of them are told
KEPT = 60  # slices that a manager can still tell
LOADS = 1000  # of one slice that are told
Key = tuple[int, str]


@dataclass(frozen=True, slots=True)
class Slice:
    """What one manager saw within one span. `age`: since its end; `reads`, `work`: sketches; `loads`: table
    groups that were written."""

    number: int
    age: Duration
    reads: bytes
    work: bytes
    loads: tuple[int, ...]


@dataclass
class Tally:
    """At each manager. `span`: of a slice."""

    span: Duration
    _number: int = 0
    _ends: int = 0
    _loads: set[int] = field(default_factory=set)
    _kept: deque[tuple[int, int, bytes, bytes, tuple[int, ...]]] = field(
        default_factory=lambda: deque(maxlen=KEPT)
    )

    def __post_init__(self) -> None:
        self._reads, self._work = frequent_strings_sketch(SIZE), frequent_strings_sketch(SIZE)

    def read(self, now: int, group: int, engine: str, work: int) -> None:
        """A read has ended; `work` as the engine told it, in the module's unit."""
        self._turn(now)
        key = f"{group}@{engine}"
        self._reads.update(key, 1)
        self._work.update(key, max(1, work))

    def wrote(self, now: int, group: int) -> None:
        self._turn(now)
        if len(self._loads) < LOADS:
            self._loads.add(group)

    def _turn(self, now: int) -> None:
        if now < self._ends:
            return
        if not self._reads.is_empty() or self._loads:
            loads = tuple(sorted(self._loads))
            self._kept.append(
                (self._number, self._ends, self._reads.serialize(), self._work.serialize(), loads)
            )
            self._reads, self._work = frequent_strings_sketch(SIZE), frequent_strings_sketch(SIZE)
            self._loads = set()
        self._number, self._ends = self._number + 1, now + self.span

    @property
    def next(self) -> int:
        """The number of the slice that goes on."""
        return self._number

    def since(self, now: int, number: int) -> list[Slice]:
        """The slices that have ended, from that number on."""
        self._turn(now)
        return [
            Slice(told, max(0, now - ends), reads, work, loads)
            for told, ends, reads, work, loads in self._kept
            if told >= number
        ]


@dataclass(frozen=True, slots=True)
class Seen:
    """Reads, and the work of all of them."""

    reads: int = 0
    work: int = 0


def merged(slices: list[Slice]) -> tuple[dict[Key, Seen], set[int]]:
    """Of many managers and slices: what was read where, and what was written."""
    reads, work, loads = frequent_strings_sketch(SIZE + 3), frequent_strings_sketch(SIZE + 3), set[int]()
    for one in slices:
        reads.merge(frequent_strings_sketch.deserialize(one.reads))
        work.merge(frequent_strings_sketch.deserialize(one.work))
        loads |= set(one.loads)
    told = frequent_items_error_type.NO_FALSE_NEGATIVES
    spent: Mapping[str, int] = {name: estimate for name, estimate, _, _ in work.get_frequent_items(told)}
    found = dict[Key, Seen]()
    for name, estimate, _, _ in reads.get_frequent_items(told):
        group, _, engine = name.partition("@")
        if group.isdecimal() and engine:
            found[int(group), engine] = Seen(estimate, spent.get(name, 0))
    return found, loads
