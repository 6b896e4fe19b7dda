"""Leases in virtual time: the served drivers of several managers under one clock, faults drawn from a seed.

Links delay, lose, double and cut in one direction; processes freeze, die, end and lose their disks; clocks
run at rates of their own. What fails is played again with fewer faults, until none can be left out."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.fleet.rpc import NoReplyError, RequestRefusedError
from vanerelay.interface import SECOND
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.fencing import FencingGate, LeasedOperation, LeaseHolder
from vanerelay.leases.service import Leases
from vanerelay.leases.voter import LeaseTerms, Voters

NOTICED_S = 1.0  # until others count one that died, or is cut off, as gone
LOOK = SECOND // 200
DEED_S, BOUND = 0.07, SECOND // 10  # between deeds of a holder; what one takes at most
KINDS = ("kill", "lost", "freeze", "end", "cut", "deaf", "slow", "double", "loss")


@dataclass(frozen=True, slots=True)
class Trouble:
    """One fault: `what` to `who` (and, of a link, `other`), from `at` for `lasting`, in seconds."""

    what: str
    who: str
    at: float
    lasting: float
    other: str = ""


@dataclass(frozen=True, slots=True)
class Setting:
    """`managers`, of which the first `voters` vote; `drift` of clocks is drawn up to half of `terms.drift` to
    either side; `refuses`: whether receivers refuse deeds of a holder that was followed."""

    managers: int = 5
    voters: int = 3
    tasks: int = 3
    length: float = 16.0
    troubles: int = 5
    refuses: bool = True
    terms: LeaseTerms = LeaseTerms(term=SECOND, longest=SECOND, drift=0.02, linger=SECOND // 5)


USUAL = Setting()


class Timer:
    """A call that waits while its process is frozen, and is lost with it."""

    def __init__(self, node: Node, call: Callable[[], None]) -> None:
        self._node, self._call, self._over = node, call, False
        self.life = node.life

    def active(self) -> bool:
        return not self._over

    def cancel(self) -> None:
        self._over = True

    def due(self) -> None:
        if self._over or self._node.life != self.life:
            return
        if self._node.frozen:
            self._node.backlog.append(self)
            return
        self._over = True
        self._call()


class NodeReactor:
    """The reactor of one process."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def callLater(self, delay: float, call: Callable[..., Any], *values: Any) -> Timer:
        timer = Timer(self._node, lambda: call(*values))
        self._node.world.clock.callLater(max(0.0, delay), timer.due)
        return timer


class NodeDisk:
    """Records of one machine: they outlive its processes. What is put is kept a little later."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def load(self, space: str) -> dict[str, bytes]:
        return dict(self._node.records)

    def put(self, space: str, records: dict[str, bytes | None]) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        node = self._node

        def kept() -> None:
            node.records |= {key: body for key, body in records.items() if body is not None}
            done.callback(None)

        node.reactor.callLater(node.world.chance.uniform(0.0005, 0.01), kept)
        return done

    def word(self, name: str) -> str:
        return self._node.founded

    def used(self, name: str) -> None:
        self._node.founded = ""

    def close(self) -> None:
        pass


@dataclass
class NodeHistory:
    world: World
    party: str

    def now(self) -> int:
        return self.world.now

    def add(self, op: str, begin: int, end: int | None = None, **told: Any) -> None:
        at = self.now() if end is None else end
        self.world.rows.append({"party": self.party, "op": op, "begin": begin, "end": at} | told)


class NodeAlive:
    """Who is there, as the world shows it to one manager."""

    replaced, has_joined = False, True

    def __init__(self, node: Node) -> None:
        self._node = node

    @property
    def own(self) -> Member:
        state = "draining" if self._node.ending else "serving"
        return Member(self._node.name, 1, state=state, program="1.0-a")

    @property
    def members(self) -> dict[str, Member]:
        world, found = self._node.world, {self._node.name: self.own}
        if world.sound:
            return world.everybody
        for name, other in world.nodes.items():
            if other is not self._node:
                there = world.sees(self._node, other)
                standing = MemberState.ALIVE if there else MemberState.GONE
                state = "draining" if other.ending else "serving"
                found[name] = Member(name, 1, standing=standing, state=state, program="1.0-a")
        return found


@dataclass
class NodeLinks:
    handlers: dict[str, Callable[[bytes], Any]] = field(default_factory=dict)


class NodeFleet:
    """What leases ask of a fleet."""

    def __init__(self, node: Node) -> None:
        self._node, self.name = node, node.name
        self.links, self.alive = NodeLinks(), NodeAlive(node)

    def ask(self, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        return self._node.world.ask(self._node, name, kind, body, patience_s)


class Node:
    """One manager over all its processes."""

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world, self.name, self.rate, self.parts = world, name, rate, world.parts
        self.life, self.frozen, self.dead, self.ending = 0, False, True, False
        self.gone_since = 0.0
        self.backlog = list[Timer]()
        self.records, self.founded = dict[str, bytes](), ""
        self.reactor = NodeReactor(self)
        self.fleet: NodeFleet | None = None
        self.leases: Leases | None = None
        self.starts = 0

    def clock(self) -> int:
        """Its own, begun anew at no start: that of its machine."""
        return int(self.world.clock.seconds() * self.rate * SECOND)

    def start(self) -> None:
        world = self.world
        self.life += 1
        self.starts += 1
        self.dead = self.frozen = self.ending = False
        self.backlog.clear()
        self.fleet = NodeFleet(self)
        votes = self.name in self.parts.voters.all
        disk: Any = NodeDisk(self) if votes else None
        reactor: Any = self.reactor
        fleet: Any = self.fleet
        self.leases = Leases(
            reactor, fleet, self.parts, world.chance, world.chance.getrandbits(48), disk, self.clock
        )
        history: Any = NodeHistory(world, self.name)
        self.leases.history = history
        for number in range(world.setting.tasks):
            self.leases.add(f"t{number}", self._began, lambda hold: None)
        self.leases.start()

    def _began(self, hold: LeaseHolder) -> None:
        self._act(hold, hold.number)

    def _act(self, hold: LeaseHolder, number: int) -> None:
        """A deed now and then. The process may freeze between its check and the deed itself."""
        leases, world = self.leases, self.world
        if leases is None or hold.number != number or hold.leaving or self.clock() >= hold.until:
            return
        deed = hold.begin(self.clock(), BOUND)
        if deed is not None:
            self.reactor.callLater(world.chance.uniform(0.0, 0.002), lambda: self._do(leases, hold, deed))
        self.reactor.callLater(DEED_S, self._act, hold, number)

    def _do(self, leases: Leases, hold: LeaseHolder, deed: LeasedOperation) -> None:
        world, begun = self.world, self.world.now
        receiver = world.receivers[world.chance.randrange(len(world.receivers))]

        def answered(later: int) -> None:
            hold.end(deed)
            row: dict[str, Any] = {"task": deed.task, "number": deed.number, "serial": deed.serial}
            row["holder"] = deed.holder
            leases.history.add("deed", begun, result="err" if later else "ok", **row)
            if later:
                leases.behind(deed, later)

        delay = world.chance.uniform(0.001, 0.02)
        world.clock.callLater(
            delay, receiver.take, deed, lambda later: self.reactor.callLater(delay, answered, later)
        )

    def kill(self, lost: bool) -> None:
        self.life += 1
        self.dead, self.gone_since, self.leases = True, self.world.clock.seconds(), None
        self.backlog.clear()
        if lost:
            self.records.clear()
            self.founded = ""

    def thaw(self) -> None:
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for timer in backlog:
            self.reactor.callLater(0.0, timer.due)


class Receiver:
    """Somebody that deeds are done to, and that refuses those of a holder that was followed."""

    def __init__(self, world: World, name: str) -> None:
        self._world, self._gate = world, FencingGate()
        self._history = NodeHistory(world, name)

    def take(self, deed: LeasedOperation, answer: Callable[[int], Any]) -> None:
        told = deed.task, deed.number, deed.serial, deed.holder
        row: dict[str, Any] = {
            "task": deed.task,
            "number": deed.number,
            "serial": deed.serial,
            "holder": deed.holder,
        }
        if self._world.setting.refuses and self._gate.refuses(*told) is not None:
            self._history.add("order", self._world.now, result="refused", **row)
            answer(self._gate.number(deed.task))
            return
        self._gate.takes(*told)
        self._history.add("order", self._world.now, result="ok", **row)
        answer(0)


class World:
    """All managers, links and receivers under one clock. `rows` is the history of what everybody did."""

    def __init__(self, seed: int, setting: Setting = USUAL) -> None:
        self.chance, self.setting, self.clock = random.Random(seed), setting, Clock()
        names = [f"m{number + 1}" for number in range(setting.managers)]
        self.parts = LeasesConfig(Voters(1, tuple(names[: setting.voters])), terms=setting.terms)
        half = setting.terms.drift / 2.1
        self.rows = list[dict[str, Any]]()
        self.nodes = {name: Node(self, name, 1.0 + self.chance.uniform(-half, half)) for name in names}
        self.receivers = [Receiver(self, f"e{number + 1}") for number in range(3)]
        self.cut = dict[tuple[str, str], float]()  # by direction: since when
        self.slow = dict[str, float]()
        self.double, self.loss = 0.0, 0.0
        self.messages = 0
        self.together = list[str]()  # where two held at once
        self._looked = 0
        self.everybody = {name: Member(name, 1, state="serving", program="1.0-a") for name in names}

    @property
    def now(self) -> int:
        return int(self.clock.seconds() * SECOND)

    @property
    def sound(self) -> bool:
        """Whether nothing keeps anybody from seeing all others."""
        return not self.cut and not any(
            node.dead or node.frozen or node.ending for node in self.nodes.values()
        )

    def sees(self, one: Node, other: Node) -> bool:
        at = self.clock.seconds()
        away = [other.gone_since] if other.dead or other.frozen else []
        away += [self.cut[way] for way in ((one.name, other.name), (other.name, one.name)) if way in self.cut]
        return not away or at - min(away) < NOTICED_S

    # Links.

    def ask(self, one: Node, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        result: Deferred[bytes] = Deferred()
        other = self.nodes[name]
        self.messages += 1

        def end(told: Any, good: bool) -> None:
            if not result.called:
                (result.callback if good else result.errback)(told)

        one.reactor.callLater(patience_s, end, NoReplyError(f"{name} did not answer"), False)

        def back(told: Any, good: bool, life: int) -> None:
            delay = self.delay(other, one)
            if delay is not None and one.life == life:
                for _ in range(1 + (self.chance.random() < self.double)):
                    one.reactor.callLater(delay, end, told, good)

        def arrived(life: int) -> None:
            if other.fleet is None or other.dead:
                return
            handler = other.fleet.links.handlers[kind]
            answer: Deferred[bytes] = maybeDeferred(handler, body)
            answer.addCallbacks(
                lambda told: back(told, True, life),
                lambda fault: back(RequestRefusedError(fault.getErrorMessage()), False, life),
            )

        for _ in range(1 + (self.chance.random() < self.double)):
            delay = self.delay(one, other)
            if delay is not None:
                other.reactor.callLater(delay, arrived, one.life)
        return result

    def delay(self, one: Node, other: Node) -> float | None:
        """How long a message takes; None where it is lost."""
        if (one.name, other.name) in self.cut or self.chance.random() < self.loss:
            return None
        late = self.slow.get(one.name, 0.0) + self.slow.get(other.name, 0.0)
        return self.chance.uniform(0.0002, 0.01) + self.chance.uniform(0.0, late)

    # How it goes.

    def found(self, era: int = 1) -> None:
        for name in self.parts.voters.all:
            self.nodes[name].founded = str(era)

    def run(self, troubles: Sequence[Trouble], length: float, settle: float = 0.0) -> None:
        """Plays faults, and then `settle` seconds without any."""
        for trouble in troubles:
            self.clock.callLater(trouble.at, self._strike, trouble)
            self.clock.callLater(min(length, trouble.at + trouble.lasting), self._heal, trouble)
        end = self.clock.seconds() + length + settle
        while self.clock.seconds() < end:
            calls: Sequence[Any] = self.clock.getDelayedCalls()
            due = min((call.getTime() for call in calls), default=end)
            self.clock.advance(max(0.0, min(due, end) - self.clock.seconds()))
            self.look()

    def look(self) -> None:
        """Whether two may act at the moment, a few times within a deed's span."""
        if self.now - self._looked < LOOK:
            return
        self._looked = self.now
        for number in range(self.setting.tasks):
            task = f"t{number}"
            holders = [
                node.name
                for node in self.nodes.values()
                if node.leases is not None and node.leases.tasks[task].hold.may(node.clock())
            ]
            if len(holders) > 1:
                self.together.append(f"{task} at {self.now}: {' and '.join(holders)}")

    def holders(self) -> dict[str, str]:
        return {
            task.name: node.name
            for node in self.nodes.values()
            if node.leases is not None
            for task in node.leases.tasks.values()
            if task.claim.holds(node.clock())
        }

    def _strike(self, trouble: Trouble) -> None:
        node, at = self.nodes[trouble.who], self.clock.seconds()
        if trouble.what in ("kill", "lost") and not node.dead:
            node.kill(trouble.what == "lost")
        elif trouble.what == "freeze" and not node.dead:
            node.frozen, node.gone_since = True, at
        elif trouble.what == "end" and node.leases is not None:
            node.ending = True
            life = node.life

            def left(_: Any) -> None:
                if node.life == life:
                    node.kill(False)

            node.leases.leave().addCallback(left)
        elif trouble.what in ("cut", "deaf"):
            others = [trouble.other] if trouble.other else [name for name in self.nodes if name != node.name]
            for other in others:
                way = (node.name, other) if trouble.what == "cut" else (other, node.name)
                self.cut.setdefault(way, at)
        elif trouble.what == "slow":
            self.slow[node.name] = 3.0
        elif trouble.what == "double":
            self.double = 0.5
        elif trouble.what == "loss":
            self.loss = 0.3

    def _heal(self, trouble: Trouble) -> None:
        node = self.nodes[trouble.who]
        if trouble.what in ("kill", "lost", "end"):
            if node.dead:
                node.start()
            elif trouble.what == "end" and node.ending:
                self.clock.callLater(0.1, self._heal, trouble)
        elif trouble.what == "freeze" and node.frozen:
            node.thaw()
        elif trouble.what in ("cut", "deaf"):
            self.cut.clear()
        elif trouble.what == "slow":
            self.slow.pop(node.name, None)
        elif trouble.what == "double":
            self.double = 0.0
        elif trouble.what == "loss":
            self.loss = 0.0


def drawn(seed: int, setting: Setting) -> list[Trouble]:
    """Faults of a schedule. Disks of a minority are lost at most: more of them, and nobody holds."""
    chance, names = random.Random(f"{seed}/troubles"), [f"m{n + 1}" for n in range(setting.managers)]
    found, lost = list[Trouble](), 0
    for _ in range(setting.troubles):
        what, who = chance.choice(KINDS), chance.choice(names)
        if what == "lost":
            lost += 1
            if 2 * (lost + 1) > setting.voters + 1:
                what = "kill"
        other = chance.choice([*(name for name in names if name != who), ""])
        at = chance.uniform(2.5, setting.length - 1.0)
        found.append(Trouble(what, who, at, chance.choice((0.3, 1.2, 2.5, 4.0)), other))
    return found


def play(seed: int, troubles: Sequence[Trouble], setting: Setting = USUAL, settle: float = 8.0) -> World:
    """One schedule, from the founding on."""
    world = World(seed, setting)
    world.found()
    for node in world.nodes.values():
        node.start()
    world.run(troubles, setting.length, settle)
    return world


def shortest(troubles: Sequence[Trouble], fails: Callable[[Sequence[Trouble]], bool]) -> list[Trouble]:
    """The same without whatever can be left out."""
    left, place = list(troubles), 0
    while place < len(left):
        fewer = left[:place] + left[place + 1 :]
        if fails(fewer):
            left = fewer
        else:
            place += 1
    return left
