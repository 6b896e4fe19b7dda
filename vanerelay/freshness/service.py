"""What one manager knows of copies and sessions: asks, hears, remembers for others. Thin: `news`, `positions`
and `pins` decide."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec
import structlog
from twisted.internet.defer import Deferred, succeed

from vanerelay.attempt_outcome import AttemptEnd, EndCause
from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.freshness import dissemination, messages, session_affinity
from vanerelay.freshness.config import FreshnessConfig
from vanerelay.freshness.replication_positions import Point, Positions, Told
from vanerelay.freshness.session_affinity import Keeper, Known, Loads, Pin
from vanerelay.freshness.shard_updates import Shard
from vanerelay.interface import SECOND, Duration
from vanerelay.leases.assignment import Candidate, ranked
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.maintenance_runner import MaintenanceDialog
from vanerelay.leases.service import Leases

ROWS_OF_ONE = 50_000  # table groups of one engine
OLD = 20  # times the pace of the watch, past which it is said that news are old
HEAR_PATIENCE = 3  # times the pace, for an answer with news

T = TypeVar("T")
log = structlog.get_logger()


class Watching(MaintenanceDialog):
    """One shard, where it is ours: what engines answer goes into its news."""

    def __init__(self, freshness: Freshness, shard: Shard) -> None:
        self._freshness, self._shard = freshness, shard
        self._begun = dict[str, tuple[int, dict[int, Told]]]()  # answers that are not whole yet
        self._unread = set[str]()

    def acquired(self, holder: LeaseHolder) -> None:
        self._begun.clear()
        self._shard.begin(holder.token, self._freshness.name)
        self._freshness.changed()

    def replied(self, engine: str, started_at: int, end: AttemptEnd) -> str | None:
        told = messages.rows(end.rows, ROWS_OF_ONE) if end.cause is EndCause.OK else None
        begun = self._begun.pop(engine, None)
        if told is None:
            if end.cause is EndCause.OK and engine not in self._unread:
                self._unread.add(engine)
                log.warning("an engine's word on its copies can't be read", engine=engine)
            return None
        self._unread.discard(engine)
        if begun is not None and begun[0] == started_at:
            told = begun[1] | told
        follow = end.fields.get("next", "")
        if follow.isdecimal() and 0 < len(follow) <= 15 and len(told) < ROWS_OF_ONE:
            self._begun[engine] = started_at, told
            return follow
        self._shard.saw(engine, started_at, told)
        self._freshness.changed()
        return None


class Freshness:
    """`moved` is called once news have come."""

    def __init__(self, reactor: Any, fleet: FleetService, leases: Leases, parts: FreshnessConfig) -> None:
        self._reactor, self._fleet, self.parts = reactor, fleet, parts
        self.name, self.clock, self._drift = fleet.name, leases.clock, leases.config.terms.clock_drift
        self.positions = Positions()
        self.shards = [Shard(self.positions) for _ in range(parts.watch.shards)]
        self.holds = list[LeaseHolder]()  # of the shards, in their order
        self._failed = [0] * parts.watch.shards
        self._turns = parts.watch.every // parts.watch.hear + 2  # of ours in which news should have come
        self._old = set[int]()  # shards whose news are old, as was logged
        self._orders, self._alive = list[list[str]](), list[str]()
        told, self._since = parts.sessions, self.clock()
        self.keeper = Keeper(self.clock(), told.most, told.longest)
        self.loads, self._own_loads = Loads(told.most), Loads(told.most)
        self._managers = sorted({fleet.name, *(known.name for known in fleet.config.seeds)})
        self.moved: Callable[[], None] = lambda: None
        self._timer: Any = None
        self.asked = self.told = 0
        fleet.rpc.handlers |= {
            "fresh-news": self._pulled,
            "fresh-pin": self._pin_asked,
            "fresh-pin-put": self._pin_put,
            "fresh-load": self._load_asked,
            "fresh-load-put": self._load_put,
        }

    def start(self) -> None:
        self._turn()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @property
    def whole(self) -> bool:
        """Whether news of every shard have come."""
        return all(shard.number for shard in self.shards)

    def changed(self) -> None:
        self.moved()

    def lost(self, engines: Iterable[str]) -> None:
        """They are no longer listed: of those that we watch all others hear by our news."""
        now = self.clock()
        for shard, hold in zip(self.shards, self.holds, strict=True):
            for engine in engines:
                if hold.may_act(now) and engine in shard.asked:
                    shard.lost(engine, now)

    # News.

    def _turn(self) -> None:
        self._timer = self._reactor.callLater(self.parts.watch.hear / SECOND, self._turn)
        alive = sorted(
            one.name
            for one in self._fleet.detector.members.values()
            if one.status is MemberState.ALIVE or one.name == self.name
        )
        if alive != self._alive:
            self._alive = alive
            there = [Candidate(name) for name in alive]
            self._orders = [ranked(hold.task, there) for hold in self.holds]
        now = self.clock()
        for number, hold in enumerate(self.holds):
            if not hold.may_act(now):
                self._pull(number)
            self._look(number, now)

    def _look(self, number: int, now: int) -> None:
        """Says it once where nobody watches a shard, or its news do not come."""
        old = now - max(self.shards[number].asked.values(), default=self._since)
        if (old > OLD * self.parts.watch.every) != (number in self._old):
            self._old ^= {number}
            (log.warning if number in self._old else log.info)(
                "news of copies are old" if number in self._old else "news of copies come again",
                shard=number,
                age_s=round(old / SECOND, 1),
            )

    def _pull(self, number: int) -> None:
        shard = self.shards[number]
        tried = self._failed[number] // self._turns
        whom = dissemination.source(self.name, self._orders[number], shard.holder, tried)
        if whom is None:
            return
        at = self.clock()
        body = messages.encode(messages.Pull(number, *shard.wants(at)))
        patience_s = HEAR_PATIENCE * self.parts.watch.hear / SECOND
        self.asked += 1

        def heard(told: bytes) -> None:
            news = messages.decode(told, messages.News)
            given = messages.given(news) if news is not None else None
            # One that goes on to know no more than we is as good as none: another is asked then.
            more = given is not None and shard.hear(at, given, self._drift)
            self._failed[number] = 0 if more else self._failed[number] + 1
            if more:
                self.changed()

        def failed(_: Any) -> None:
            self._failed[number] += self._turns

        self._fleet.call(whom, "fresh-news", body, patience_s).addCallback(heard).addErrback(failed)

    def _pulled(self, body: bytes) -> bytes:
        pull = messages.decode(body, messages.Pull)
        if pull is None or not 0 <= pull.shard < len(self.shards):
            raise RequestRefusedError("no such shard" if pull is not None else "unreadable")
        self.told += 1
        found = messages.encode(
            messages.news(self.shards[pull.shard].give(self.clock(), pull.number, pull.upto))
        )
        if len(found) > messages.MAX_MESSAGE_BYTES:
            raise RequestRefusedError("the shard is too large, expected more shards")
        return found

    # Sessions and loads, remembered for others.

    def _pin_asked(self, body: bytes) -> bytes:
        ask = _read(body, messages.PinAsk)
        return messages.encode(messages.pin_told(*self.keeper.ask(self.clock(), ask.name, ask.lasts)))

    def _pin_put(self, body: bytes) -> bytes:
        put = _read(body, messages.PinPut)
        pin = messages.pin(put)
        if pin is None:
            raise RequestRefusedError("no engine")
        return messages.encode(
            messages.pin_told(self.keeper.put(self.clock(), put.name, pin, put.lasts), True)
        )

    def _load_asked(self, body: bytes) -> bytes:
        ask = _read(body, messages.LoadAsk)
        group, point = self.loads.get(ask.ref) or (0, Point(-1, -1))
        return messages.encode(messages.LoadTold(group, point.life, point.number))

    def _load_put(self, body: bytes) -> bytes:
        put = _read(body, messages.LoadPut)
        self.loads.put(put.ref, put.group, Point(put.life, put.number))
        return b""

    # What we ask of keepers.

    def session(self, name: str, lasts: Duration) -> Deferred[Known]:
        """What keepers know of a session; never fails."""
        named = session_affinity.keepers(name, self._managers)
        body = messages.PinAsk(name, lasts)

        def settle(answers: list[messages.PinTold]) -> Known:
            return session_affinity.known(len(named), [(messages.pin(one), one.sure) for one in answers])

        # Answers that say the same of a session from a majority are enough: the slowest is not waited for.
        return self._gather(
            named, "fresh-pin", body, messages.PinTold, session_affinity.enough(len(named)), self._pin_asked
        ).addCallback(settle)

    def put_session(self, name: str, lasts: Duration, pin: Pin) -> Deferred[tuple[bool, Pin | None]]:
        """Whether a majority remembers it so, and what else one of them said; never fails."""
        named = session_affinity.keepers(name, self._managers)
        body = messages.pin_put(name, lasts, pin)

        def settle(answers: list[messages.PinTold]) -> tuple[bool, Pin | None]:
            told = [one for one in map(messages.pin, answers) if one is not None]
            others = [one for one in told if (one.engine, one.version) != (pin.engine, pin.version)]
            return session_affinity.settled(len(named), pin, told), others[0] if others else None

        return self._gather(
            named, "fresh-pin-put", body, messages.PinTold, session_affinity.enough(len(named)), self._pin_put
        ).addCallback(settle)

    def ended(self, ref: str, group: int, point: Point) -> None:
        """A load has ended: told to those that remember it, not waited for."""
        self._own_loads.put(ref, group, point)
        body = messages.encode(messages.LoadPut(ref, group, point.life, point.number))
        for name in session_affinity.keepers(ref, self._managers):
            if name == self.name:
                self.loads.put(ref, group, point)
            else:
                asked = self._fleet.call(name, "fresh-load-put", body, self._patience_s)
                asked.addErrback(lambda _: None)

    def load(self, ref: str) -> Deferred[tuple[int, Point] | None]:
        """Where a load ended; None where nobody says. Never fails."""
        own = self._own_loads.get(ref) or self.loads.get(ref)
        if own is not None:
            return succeed(own)

        def settle(answers: list[messages.LoadTold]) -> tuple[int, Point] | None:
            known = [one for one in answers if one.life >= 0]
            return (known[0].group, Point(known[0].life, known[0].number)) if known else None

        named = [name for name in session_affinity.keepers(ref, self._managers) if name != self.name]
        return self._gather(
            named, "fresh-load", messages.LoadAsk(ref), messages.LoadTold, 1, None, lambda one: one.life >= 0
        ).addCallback(settle)

    @property
    def _patience_s(self) -> float:
        return self.parts.sessions.patience / SECOND

    def _gather(
        self,
        names: Iterable[str],
        kind: str,
        body: msgspec.Struct,
        answer: type[T],
        wanted: int,
        own: Callable[[bytes], bytes] | None,
        counts: Callable[[T], bool] = lambda _: True,
    ) -> Deferred[list[T]]:
        """Answers, once so many of them count or no more can come; `own`: how we answer ourselves."""
        done: Deferred[list[T]] = Deferred()
        found, left, packed = list[T](), set(names), messages.encode(body)

        def came(told: bytes | None, name: str) -> None:
            left.discard(name)
            one = messages.decode(told, answer) if told is not None else None
            if done.called:
                return
            if one is not None:
                found.append(one)
            if not left or sum(map(counts, found)) >= wanted:
                done.callback(found)

        for name in list(left):
            if name == self.name and own is not None:
                came(own(packed), name)
            else:
                asked = self._fleet.call(name, kind, packed, self._patience_s)
                asked.addErrback(lambda _: None).addCallback(came, name)
        if not left and not done.called:
            done.callback(found)
        return done


def _read(body: bytes, kind: type[T]) -> T:
    found = messages.decode(body, kind)
    if found is None:
        raise RequestRefusedError("unreadable")
    return found
