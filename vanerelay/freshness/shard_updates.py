"""What a watcher saw of its shard of the engines, and how it goes from manager to manager. Pure.

The watcher (who holds the shard's lease) numbers each changed row. Whoever has news gives what changed since
a number, and how long ago each engine was asked; whoever hears it counts that from before its own question,
so that an answer on its way for 10 s is 10 s older. Rows come in order, so that a receiver holds all up to a
number, whichever giver it asked; only then do its ages move on. News of an earlier watcher are not taken.
Who takes over may know less than some: what a manager believes of an engine (`Positions`) changes only with
news from after what it knows already, while what it gives on is the watcher's, row by row.

A row that is no more is told for a while; who has heard nothing for half of that begins anew."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from vanerelay.freshness.replication_positions import Positions, Told
from vanerelay.interface import SECOND, Duration

TOLD = 600 * SECOND  # for so long a row that is no more is told of
ROWS = 1000  # in one answer
ENGINES = 1000  # of a shard; more are not told of
Key = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Row:
    """One table group at one engine; `told` None: it holds it no more."""

    engine: str
    group: int
    serial: int
    told: Told | None


@dataclass(frozen=True, slots=True)
class Given:
    """`number`: of the watcher's lease; `upto`: all rows up to this serial have been given once these are
    there; `more`: there are further ones; `ages`: by engine, how long before the answer it was asked."""

    number: int
    holder: str
    upto: int
    rows: tuple[Row, ...]
    more: bool
    ages: Mapping[str, Duration]


@dataclass(slots=True)
class Shard:
    """One shard's news at one manager."""

    positions: Positions
    number: int = 0
    holder: str = ""
    serial: int = 0
    upto: int = 0  # all rows up to here are held
    asked: dict[str, int] = field(default_factory=dict)
    heard_at: int = 0  # when all that a giver had was held last
    _of: dict[str, set[int]] = field(default_factory=dict)  # table groups that each engine holds
    _pending: dict[str, dict[int, Told | None]] = field(default_factory=dict)  # not believed yet, by engine
    _rows: OrderedDict[Key, Row] = field(default_factory=OrderedDict)  # by serial, after those of `_old`
    _old: set[Key] = field(default_factory=set)  # not told again so far, under the number in force
    _gone: OrderedDict[Key, int] = field(default_factory=OrderedDict)  # since when a row is no more

    # At the watcher.

    def begin(self, number: int, holder: str) -> None:
        """It is ours under a new number: what we know stays, numbered anew."""
        self.number, self.holder, self.serial = number, holder, 0
        self._old.clear()
        for key, row in list(self._rows.items()):
            self._put(key, row.told)
        self.upto = self.serial

    def saw(self, engine: str, at: int, told: Mapping[int, Told]) -> None:
        """An engine's whole answer, asked for at `at`; one that was overtaken by a later is passed over."""
        if at <= self.asked.get(engine, -1) or engine not in self.asked and len(self.asked) >= ENGINES:
            return
        self._tell(engine, at, told)
        self.asked[engine] = at
        self._believe(engine, at)

    def lost(self, engine: str, now: int) -> None:
        """It is no longer listed."""
        self._tell(engine, now, {})
        self.asked.pop(engine, None)
        self._believe(engine, now)

    def _tell(self, engine: str, now: int, told: Mapping[int, Told]) -> None:
        for group in sorted(self._of.get(engine, set()) - told.keys()):
            self._change(now, (engine, group), None)
        for group, one in told.items():
            was = self._rows.get((engine, group))
            if was is None or was.told != one:
                self._change(now, (engine, group), one)
        self._sweep(now)
        self.upto = self.serial

    def _change(self, now: int, key: Key, told: Told | None) -> None:
        self._put(key, told)
        self._note(now, key, told)

    def _put(self, key: Key, told: Told | None) -> None:
        self.serial += 1
        self._rows[key] = Row(*key, self.serial, told)
        self._rows.move_to_end(key)

    def _note(self, now: int, key: Key, told: Told | None) -> None:
        self._expect(key, told)
        self._gone.pop(key, None)
        if told is None:
            self._gone[key] = now

    def _expect(self, key: Key, told: Told | None) -> None:
        engine, group = key
        self._pending.setdefault(engine, {})[group] = told
        held = self._of.setdefault(engine, set())
        held.discard(group) if told is None else held.add(group)
        if not held:
            del self._of[engine]

    def _believe(self, engine: str, at: int) -> None:
        """Its rows as they are here were told by the engine at some time after `at`."""
        if at > self.positions.asked_at(engine):
            for group, told in self._pending.pop(engine, {}).items():
                self.positions.change(engine, group, told)
            self.positions.asked(engine, at)

    def _sweep(self, now: int) -> None:
        while self._gone and now - next(iter(self._gone.values())) > TOLD:
            key, _ = self._gone.popitem(last=False)
            self._rows.pop(key, None)
            self._old.discard(key)

    # Between managers.

    def give(self, now: int, number: int, since: int) -> Given:
        """To one that holds all up to `since` of the watcher's `number`."""
        newer = list[Row]()
        for key in reversed(self._rows):
            row = self._rows[key]
            if key in self._old or number == self.number and row.serial <= since:
                break
            newer.append(row)
        newer.reverse()
        rows, more = newer[:ROWS], len(newer) > ROWS
        upto = min(self.upto, rows[-1].serial) if more else self.upto
        ages = {} if more else {engine: now - at for engine, at in self.asked.items()}
        return Given(self.number, self.holder, upto, tuple(rows), more, ages)

    def wants(self, now: int) -> tuple[int, int]:
        """What to ask for: the number we know, and up to where."""
        return (self.number, self.upto) if now - self.heard_at < TOLD // 2 else (self.number, 0)

    def hear(self, asked_at: int, given: Given, drift: float) -> bool:
        """What another gave, asked for at `asked_at`; whether we know more by it. `drift`: how much faster
        one clock may run than another."""
        before = self.number, self.upto, len(self._old), max(self.asked.values(), default=0)
        self._hear(asked_at, given, drift)
        return before != (self.number, self.upto, len(self._old), max(self.asked.values(), default=0))

    def _hear(self, asked_at: int, given: Given, drift: float) -> None:
        if given.number < self.number or not given.number:
            return
        anew = given.number > self.number or asked_at - self.heard_at >= TOLD // 2 and not self._old
        if anew:
            self.number, self.holder, self.upto = given.number, given.holder, 0
            self._old, self.heard_at, self.asked = set(self._rows), asked_at, {}
        last, sorted_ = next(reversed(self._rows.values())).serial if self._rows else 0, True
        if self._rows and next(reversed(self._rows)) in self._old:
            last = 0
        for row in given.rows:
            key = row.engine, row.group
            known = self._rows.get(key)
            if known is not None and key not in self._old and known.serial >= row.serial:
                continue
            again = key in self._old
            self._old.discard(key)
            self._rows[key] = row
            self._rows.move_to_end(key)
            sorted_, last = sorted_ and row.serial > last, max(last, row.serial)
            if known is None or known.told != row.told or again:
                self._note(asked_at, key, row.told)
        if not sorted_:
            order = sorted(self._rows.items(), key=lambda pair: (pair[0] not in self._old, pair[1].serial))
            self._rows = OrderedDict(order)
        self.upto = max(self.upto, given.upto)
        self.serial = max(self.serial, self.upto)
        if given.more:
            return
        for key in self._old:  # not told again: it is there no more
            if self._rows.pop(key).told is not None:
                self._expect(key, None)
            self._gone.pop(key, None)
        self._old.clear()
        self._sweep(asked_at)
        self.heard_at = asked_at
        if given.upto < self.upto:
            return  # its rows are older than ours, and so would its ages be
        for engine, age in given.ages.items():
            at = asked_at - int(age * (1.0 + drift)) - 1
            if at > self.asked.get(engine, -1):
                self.asked[engine] = at
                self._believe(engine, at)
        for engine in [engine for engine in self.asked if engine not in given.ages]:
            del self.asked[engine]
