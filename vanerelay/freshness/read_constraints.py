"""How reads with a hint, and loads, are led: who may serve this batch now. Thin: `eligible` and `pins`
decide."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList

from vanerelay.extension import ConstrainedQuery, ExtensionHost, QueryConstraint, QueryInfo
from vanerelay.freshness import eligibility, hints
from vanerelay.freshness.eligibility import Choice
from vanerelay.freshness.hints import BadHint, Hint
from vanerelay.freshness.replication_positions import Point
from vanerelay.freshness.service import Freshness
from vanerelay.freshness.session_affinity import Known, Pin
from vanerelay.interface import MILLISECOND, SECOND, EngineState, EngineStatus, Outcome
from vanerelay.net.buffers import BLOCK
from vanerelay.net.statements import named, writes

LOOK = 100 * MILLISECOND  # between looks at how engines stand
TRIES = 3  # at a session that others move at the same time
AWAY = (Outcome.NO_CONNECTION, Outcome.RESET, Outcome.TIMED_OUT)  # of a session's copy: another is found

log = structlog.get_logger()


class Leading:
    """All batches that are led at one manager."""

    def __init__(self, host: ExtensionHost, freshness: Freshness, chance: random.Random) -> None:
        self.host, self.freshness, self._chance = host, freshness, chance
        self.waiting, self.led = set[_Led](), set[_Led]()
        self._there, self._names = dict[str, EngineStatus](), dict[int, str]()
        self._looked = -LOOK
        freshness.moved = self.moved

    def guide(self, want: QueryInfo) -> QueryConstraint | str | None:
        """Raises nothing: a hint that can't be read is told in one line."""
        statement = want.statement
        try:
            hint = hints.read(statement)
        except BadHint as fault:
            return f"hint: {fault}"
        if hint is None:
            led = self.freshness.parts.to or self.freshness.parts.lead_loads
            if not led or not writes(statement[:BLOCK].encode()):
                return None
            written, _ = named(statement[:BLOCK])
            return Loading(self, want, written) if written else None
        if len(statement) > BLOCK:
            return f"hint: a statement of {len(statement)} characters, expected {BLOCK} at most with a hint"
        written, read = named(statement)
        if written:
            return "hint: in a load, expected in a read"
        groups = tuple(dict.fromkeys(read))
        return Reading(self, want, hint, groups) if groups else "hint: the statement names no table group"

    def moved(self) -> None:
        """News have come: for those that nobody could serve so far."""
        for one in list(self.waiting):
            one.look()

    def turn(self) -> None:
        """For those that stand in the line: others may serve them as well by now."""
        for one in list(self.led):
            if not one.out:
                one.look()

    # How engines stand.

    def there(self) -> Mapping[str, EngineStatus]:
        """Engines that may be sent something, by name."""
        now = self.freshness.clock()
        if now - self._looked >= LOOK:
            found = [one for one in self.host.gateway.engine_statuses() if one.entry.state is EngineState.UP]
            self._there = {one.entry.name: one for one in found}
            self._names |= {one.entry.index: one.entry.name for one in found}
            if len(self._names) > 2 * len(found) + len(self.led):
                self._names = {one.entry.index: one.entry.name for one in found}
            self._looked = now
        return self._there

    def again(self) -> None:
        """The list has changed."""
        self._looked = -LOOK

    def name(self, engine: int) -> str:
        self.there()
        return self._names.get(engine, "")

    def draw(self, engines: Sequence[str]) -> str:
        """A session's copy: by room, as sessions stay for a while."""
        there = self.there()
        weights = [
            max(1e-3, there[name].health * there[name].ramp_share) * there[name].cores for name in engines
        ]
        return self._chance.choices(engines, weights)[0]

    def sound(self, engine: str) -> bool:
        return self.there()[engine].usable

    @property
    def soon(self) -> int:
        """When news will have come."""
        watch = self.freshness.parts.watch
        return watch.every + watch.hear


class _Led(QueryConstraint):
    """One batch; `out`: a dispatch of it has gone out."""

    def __init__(self, leading: Leading, want: QueryInfo) -> None:
        self._leading, self._want = leading, want
        self.came, self.out, self.ended = leading.freshness.clock(), False, False
        self._timer: Any = None
        self._among: frozenset[str] | None = None  # as the module was told last

    def start(self, lead: ConstrainedQuery) -> None:
        self._lead = lead
        self._leading.waiting.add(self)
        wait = max(1, min(self._want.latency_objective, self._want.time_left)) / SECOND
        self._timer = self._leading.host.reactor.callLater(wait, self._late)

    def look(self) -> None:
        """Whether somebody may serve it now."""

    def _late(self) -> None:
        """The goal is over, and nobody could serve it."""
        if self in self._leading.waiting:
            self._refuse()

    def _refuse(self) -> None:
        self._lead.reject(self._leading.soon)

    def _go(self, engines: frozenset[str] | None) -> None:
        if self.ended:
            return
        there, self._among = self._leading.there(), engines
        self._leading.waiting.discard(self)
        self._leading.led.add(self)
        self._lead.restrict_to(
            None
            if engines is None
            else frozenset(there[name].entry.index for name in engines if name in there)
        )

    def attempt_sent(self, engine: int) -> None:
        self.out = True

    def finished(self) -> None:
        self.ended = True
        self._leading.waiting.discard(self)
        self._leading.led.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class Loading(_Led):
    """A load: it goes to the source of what it writes, and where it ended is remembered."""

    def __init__(self, leading: Leading, want: QueryInfo, groups: Sequence[int]) -> None:
        super().__init__(leading, want)
        self._group = groups[0]

    def start(self, lead: ConstrainedQuery) -> None:
        super().start(lead)
        self.look()

    def look(self) -> None:
        freshness = self._leading.freshness
        if not freshness.parts.lead_loads or freshness.whole and not freshness.positions.holders(self._group):
            self._go(None)  # nobody tells of copies of this group
            return
        source = freshness.positions.source(self._group)
        if source is not None and source in self._leading.there():
            self._go(frozenset({source}))

    def accepts_answer(self, engine: int, told: Mapping[str, str]) -> bool:
        freshness = self._leading.freshness
        point = Point.read(told.get(freshness.parts.to, "")) if freshness.parts.to else None
        if point is not None:
            freshness.ended(self._want.reference, self._group, point)
        return True


class Reading(_Led):
    """A read with a hint. What it has to hold is fixed when it comes; where it may go is looked at anew."""

    def __init__(self, leading: Leading, want: QueryInfo, hint: Hint, groups: tuple[int, ...]) -> None:
        super().__init__(leading, want)
        self._hint, self._groups = hint, groups
        self._needs = eligibility.needs(hint, groups, self.came)
        self._session = f"{hint.pin}/{groups[0]}"
        self._pin: Pin | None = None
        self._lost, self._word, self._tries, self._putting = False, "", 0, False
        self._away = set[str]()  # engines that this batch goes to no more
        self._met = True
        self._asked = self._needs  # by which those that may serve it were chosen
        # What engines were known to hold as it was sent there, whether that stood for what is asked, and
        # whether it was so still.
        self._held = dict[str, tuple[Point | None, bool, bool]]()
        self._engine, self._point = "", None  # type: str, Point | None
        self._answered = True  # whether what was answered holds what is asked
        self._known = False

    def start(self, lead: ConstrainedQuery) -> None:
        super().start(lead)
        hint, freshness = self._hint, self._leading.freshness
        asked = list[Deferred[Any]]()
        if hint.after:
            asked.append(freshness.load(hint.after).addCallback(self._loaded))
        if hint.pin:
            asked.append(freshness.session(self._session, hint.lasts).addCallback(self._found))
        if all(one.called for one in asked):
            self._begin(None)
        else:
            DeferredList(asked).addCallback(self._begin)

    def _loaded(self, ended: tuple[int, Point] | None) -> None:
        """Where the load that it follows has ended; None: nobody says, and the source alone surely has it."""
        if ended is None:
            self._needs = eligibility.needs(self._hint, self._groups, self.came, unknown=True)
        elif ended[0] in self._groups:
            self._needs = eligibility.follows(self._needs, *ended)

    def _found(self, known: Known) -> None:
        self._pin, self._lost = known.pin, known.lost

    def _begin(self, _: Any) -> None:
        self._known = True
        self.look()

    def look(self) -> None:
        if not self._known or self._putting or self.ended:
            return
        there = self._leading.there().keys() - self._away
        if self._hint.pin:
            self._look_at_session(there)
            return
        choice = eligibility.choose(
            self._leading.freshness.positions, self._needs, self._hint.otherwise, there
        )
        self._met, self._asked = choice.met, self._needs
        self._take(choice, choice.engines)

    def _take(self, choice: Choice, engines: frozenset[str]) -> None:
        if choice.refused:
            self._refuse()
        elif engines:
            self._go(engines)

    def _look_at_session(self, there: set[str]) -> None:
        """Its copy as long as that can serve it; else another, once keepers know."""
        positions, pin = self._leading.freshness.positions, self._pin
        if pin is not None and not self._lost and pin.engine in there and self._leading.sound(pin.engine):
            floored = eligibility.floored(self._needs, pin.seen)
            if eligibility.serves(positions, pin.engine, floored):
                self._word, self._met, self._asked = self._word or "kept", True, floored
                self._go(frozenset({pin.engine}))
                return
        moves = pin is not None or self._lost
        asked = eligibility.strict(self._needs, self.came) if moves else self._needs
        choice = eligibility.choose(positions, asked, self._hint.otherwise, there)
        if not choice.engines or choice.refused:
            self._take(choice, choice.engines)
            return
        sound = sorted(name for name in choice.engines if self._leading.sound(name))
        engine = self._leading.draw(sound or sorted(choice.engines))
        new = Pin(engine, pin.version + 1 if pin is not None else 1, pin.seen if pin is not None else None)
        word = "lost" if self._lost or not choice.met else "moved" if pin is not None else "new"
        self._putting, self._asked = True, asked
        if self.out:  # it goes on at once; its answer counts once the move is settled
            self._met, self._word = choice.met, word
            self._go(frozenset({engine}))
        put = self._leading.freshness.put_session(self._session, self._hint.lasts, new)
        put.addCallback(self._put, new, word, choice.met)

    def _put(self, told: tuple[bool, Pin | None], new: Pin, word: str, met: bool) -> None:
        settled, other = told
        self._putting, self._tries = False, self._tries + 1
        if self.ended:
            return
        if not settled and other is not None and self._tries < TRIES:
            self._pin, self._lost = other, False
            self.look()
            return
        self._pin, self._lost, self._met = new, False, met
        self._word = word if settled else "lost"
        self._go(frozenset({new.engine}))

    def attempt_sent(self, engine: int) -> None:
        super().attempt_sent(engine)
        name = self._leading.name(engine)
        positions = self._leading.freshness.positions
        still = not self._met or eligibility.serves(positions, name, self._asked)
        self._held[name] = positions.point(name, self._groups[0]), self._met, still

    def accepts_answer(self, engine: int, told: Mapping[str, str]) -> bool:
        """Whether the engine had what we took it to have, as it says itself: it may have gone back since."""
        freshness, name = self._leading.freshness, self._leading.name(engine)
        word = freshness.parts.at
        known, met, still = self._held.get(name, (None, True, False))
        if self._putting or name in self._away or not still:
            self.look()
            return False
        point = Point.read(told.get(word, "")) if word else None
        self._engine, self._point, self._answered = name, point, met
        seen = self._pin.seen if self._pin is not None else None
        if word and met and not eligibility.held(point, known, self._needs, seen):
            log.warning("a copy holds less than it had", engine=name, group=self._groups[0], at=str(point))
            freshness.positions.doubt(name, self._groups[0], freshness.clock())
            self._gone(name)
            return False
        if self._pin is not None and point is not None:
            seen = max(point, self._pin.seen) if self._pin.seen is not None else point
            freshness.put_session(
                self._session, self._hint.lasts, Pin(self._pin.engine, self._pin.version, seen)
            )
        return True

    def attempt_failed(self, engine: int, outcome: Outcome) -> None:
        """Another dispatch may follow: among those that may serve it now, not as it came."""
        if self._hint.pin and outcome in AWAY:
            self._gone(self._leading.name(engine))
        else:
            self.look()

    def _gone(self, name: str) -> None:
        """It goes elsewhere, where further dispatches are allowed."""
        self._away.add(name)
        self.look()
        if self._among is not None and name in self._among:
            self._go(self._among - {name})

    def answer_fields(self) -> dict[str, str]:
        found = dict[str, str]()
        if self._point is not None:
            found["at"] = str(self._point)
        if not self._answered:
            freshness = self._leading.freshness
            until = eligibility.bound(freshness.positions, self._engine, self._groups)
            age = None if until is None else max(0, freshness.clock() - until) // MILLISECOND
            found["age"] = "unknown" if age is None else str(age)
        if self._word:
            found["pin"] = self._word
        return found
