"""The network of a play: every connection between two parties goes through here, on loopback.

A `Joint` is one connection with a passage each way. An end of it is a TCP connection to a process, or a party
that lives in the laboratory itself (`Side`). Doors are the listening ports that processes connect to."""

from __future__ import annotations

import contextlib
import random
import socket
from collections import defaultdict
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, Factory
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.lab.link_faults import HELD_MOST, Passage, Way, datagram

CONNECT_S = 2.0
GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

PORT_TRIES = 100  # at an address that was not given to anybody yet


class Side(Protocol):
    """One end of a joint. `deliver` and `over` are called by the joint; `flow` says whether more may come."""

    def deliver(self, data: bytes) -> None: ...

    def over(self, reset: bool) -> None: ...

    def flow(self, wanted: bool) -> None: ...


class Joint:
    """One connection: `near` is who opened it, `far` who took it."""

    def __init__(self, net: Network, near: str, far: str) -> None:
        self._net, self.near, self.far, self.ended = net, near, far, False
        self._there = Passage(net.way(near, far), net.chance)
        self._back = Passage(net.way(far, near), net.chance)
        self.sides: list[Side | None] = [None, None]
        self._timers: list[Any] = [None, None]
        net.joints[frozenset((near, far))].add(self)

    def attach(self, near: Side | None = None, far: Side | None = None) -> None:
        self.sides = [near or self.sides[0], far or self.sides[1]]
        self.pump()

    def send(self, side: Side, data: bytes) -> None:
        if not self.ended:
            passage = self._passage(side)
            passage.put(self._net.now(), data)
            if passage.held > HELD_MOST:
                side.flow(False)
            self.pump()

    def close(self, side: Side) -> None:
        """This side has ended; the other hears of it once what was sent before has arrived."""
        if not self.ended:
            self._passage(side).close(self._net.now())
            self.pump()

    def reset(self) -> None:
        """Both ends are reset at once."""
        if not self.ended:
            self._end()
            for side in self.sides:
                if side is not None:
                    side.over(True)

    def pump(self) -> None:
        for place, passage in enumerate(
            (self._back, self._there)
        ):  # what arrives at the near, at the far side
            side = self.sides[place]
            if side is None or self.ended:
                continue
            data, over = passage.take(self._net.now())
            if data:
                side.deliver(data)
            if self.ended:
                return
            if over:
                self._end()
                side.over(False)
                other = self.sides[1 - place]
                if other is not None:
                    other.over(False)
                return
            sender = self.sides[1 - place]
            if sender is not None and data and passage.held <= HELD_MOST // 2:
                sender.flow(True)
            self._arm(place, passage.due())

    def _arm(self, place: int, due: int | None) -> None:
        timer = self._timers[place]
        if timer is not None and timer.active():
            timer.cancel()
        self._timers[place] = None
        if due is not None:
            wait = max(0, due - self._net.now()) / SECOND
            self._timers[place] = self._net.reactor.callLater(wait, self.pump)

    def _passage(self, side: Side) -> Passage:
        return self._there if side is self.sides[0] else self._back

    def _end(self) -> None:
        self.ended = True
        for place in (0, 1):
            self._arm(place, None)
        self._net.joints[frozenset((self.near, self.far))].discard(self)


class TcpSide(TwistedProtocol):
    """The end of a joint that is a TCP connection to a process."""

    transport: Any

    def __init__(self, joint: Joint) -> None:
        self._joint, self._closed = joint, False

    def dataReceived(self, data: bytes) -> None:
        self._joint.send(self, data)

    def connectionLost(self, reason: Failure = GONE) -> None:
        self._closed = True
        self._joint.close(self)

    def deliver(self, data: bytes) -> None:
        if not self._closed:
            self.transport.write(data)

    def over(self, reset: bool) -> None:
        if not self._closed and self.transport is not None:
            self.transport.abortConnection() if reset else self.transport.loseConnection()

    def flow(self, wanted: bool) -> None:
        if not self._closed:
            self.transport.resumeProducing() if wanted else self.transport.pauseProducing()


class Standing(Enum):
    OPEN = "open"
    SHUT = "shut"  # connections are refused
    SILENT = "silent"  # nobody answers: connections are neither accepted nor refused


class Door(Factory):
    """Where `near` connects to reach `far`."""

    noisy = False

    def __init__(
        self, net: Network, near: str, far: str, host: str, opened: Callable[[Joint], Side | None]
    ) -> None:
        """`opened` gives the far side, or None where it comes later (a bridge)."""
        self._net, self._near, self._far, self._host, self._opened = net, near, far, host, opened
        self._port: Any = net.reactor.listenTCP(0, self, interface=host)
        self._number: int = self._port.getHost().port
        self._plugs = list[socket.socket]()
        self._standing = self._wanted = Standing.OPEN
        self._up, self._moving = True, False

    @property
    def address(self) -> str:
        return f"{self._host}:{self._number}"

    def buildProtocol(self, addr: Any) -> TcpSide:
        joint = Joint(self._net, self._near, self._far)
        side = TcpSide(joint)
        joint.attach(near=side, far=self._opened(joint))
        return side

    def look(self, up: bool | None = None) -> None:
        """Stands as the link and the far party do; `up`: whether there is one."""
        self._up = self._up if up is None else up
        there, back = self._net.way(self._near, self._far), self._net.way(self._far, self._near)
        silent = there.held or there.swallowed or back.held or back.swallowed
        refused = there.refused or not self._up
        self._wanted = Standing.SILENT if silent else Standing.SHUT if refused else Standing.OPEN
        if self._wanted is not self._standing and not self._moving:
            self._moving = True
            self._leave().addCallback(self._enter)

    def _leave(self) -> Deferred[Any]:
        """The port is free once this fires."""
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()
        return maybeDeferred(self._port.stopListening) if self._standing is Standing.OPEN else succeed(None)

    def _enter(self, _: Any) -> None:
        self._standing, self._moving = self._wanted, False
        if self._standing is Standing.OPEN:
            self._port = self._net.reactor.listenTCP(self._number, self, interface=self._host)
        elif self._standing is Standing.SILENT:
            self._plug()

    def _plug(self) -> None:
        """A listener that nobody accepts from, its line of one taken by ourselves: what else comes waits."""
        for _ in range(2):
            one = socket.socket()
            one.setblocking(False)
            self._plugs.append(one)
        listener, filler = self._plugs
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._number))
        listener.listen(0)
        with contextlib.suppress(BlockingIOError):
            filler.connect((self._host, self._number))

    def stop(self) -> None:
        self._moving = True  # whatever comes: it stays as it is
        self._leave()


class Network:
    """All ways, joints and doors of a play."""

    def __init__(self, reactor: Any, clock: Clock, seed: int) -> None:
        self.reactor, self._clock, self.chance = reactor, clock, random.Random(seed)
        self._ways = dict[tuple[str, str], Way]()
        self.joints = defaultdict[frozenset[str], set[Joint]](set)
        self.doors = defaultdict[tuple[str, str], list[Door]](list)
        self._hosts: Iterator[str] = _hosts(random.Random(seed))
        self._relays: list[Any] = []

    def now(self) -> int:
        return self._clock.now()

    def way(self, one: str, other: str) -> Way:
        return self._ways.setdefault((one, other), Way())

    def host(self) -> str:
        """A loopback address of its own."""
        return next(self._hosts)

    def door(self, near: str, far: str, host: str, opened: Callable[[Joint], Side | None]) -> Door:
        door = Door(self, near, far, host, opened)
        self.doors[near, far].append(door)
        return door

    def bridge(self, near: str, far: str, host: str, address: str) -> Door:
        """Between two processes: `near` connects to the door, and we to `address`."""
        return self.door(near, far, host, lambda joint: self._far_end(joint, address))

    def _far_end(self, joint: Joint, address: str) -> None:
        self._connect(joint, address, lambda side: joint.attach(far=side), joint.reset)

    def reach(
        self, near: str, far: str, address: str, side: Callable[[Joint], Side], failed: Callable[[], None]
    ) -> None:
        """From a party in the laboratory to a process."""
        if self.way(near, far).refused:
            self.reactor.callLater(0, failed)
            return
        joint = Joint(self, near, far)

        def fail() -> None:
            joint.reset()
            failed()

        self._connect(joint, address, lambda end: joint.attach(near=side(joint), far=end), fail)

    def _connect(
        self, joint: Joint, address: str, done: Callable[[TcpSide], None], failed: Callable[[], None]
    ) -> None:
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=CONNECT_S)
        opening: Deferred[Any] = connectProtocol(endpoint, TcpSide(joint))  # type: ignore[no-untyped-call]
        opening.addCallbacks(done, lambda _: failed())

    def change(self, one: str, other: str, **fields: Any) -> None:
        """Another state of a direction, for what is on its way as well."""
        way = self.way(one, other)
        for name, value in fields.items():
            setattr(way, name, value)
        for joint in list(self.joints.get(frozenset((one, other)), ())):
            joint.pump()
        for pair in ((one, other), (other, one)):
            for door in self.doors.get(pair, ()):
                door.look()

    def reset(self, one: str, other: str) -> None:
        for joint in list(self.joints.get(frozenset((one, other)), ())):
            joint.reset()

    def reset_all(self, party: str) -> None:
        for pair in [pair for pair in self.joints if party in pair]:
            for joint in list(self.joints[pair]):
                joint.reset()

    def relay(self, names: list[str], listens: list[str]) -> list[tuple[list[str], str]]:
        """Datagrams among processes: for each, by what addresses it knows them all, and one for all."""
        found = []
        for name, listen in zip(names, listens, strict=True):
            host = self.host()
            known = [Relay(self, name, other, listen, host) for other in names]
            everyone = Relay(self, name, "", listen, host)
            found.append((known, everyone))
            self._relays += [*known, everyone]
        for place, (known, everyone) in enumerate(found):
            for other, relay in enumerate(known):
                relay.back = [found[other][0][place]]
                everyone.back.append(found[other][0][place])
        return [([relay.address for relay in known], everyone.address) for known, everyone in found]

    def stop(self) -> None:
        for doors in self.doors.values():
            for door in doors:
                door.stop()
        for relay in self._relays:
            relay.stop()
        for pair in list(self.joints):
            for joint in list(self.joints[pair]):
                joint.reset()


class Relay(DatagramProtocol):
    """The address by which `near` knows `far`: what `near` sends here goes out from where `far` knows
    `near`."""

    transport: Any

    def __init__(self, net: Network, near: str, far: str, listen: str, host: str) -> None:
        self._net, self._near, self._far, self.back = net, near, far, list[Relay]()
        target, _, port = listen.rpartition(":")
        self._to = target, int(port)
        self._port = net.reactor.listenUDP(0, self, interface=host)
        self.address = f"{host}:{self._port.getHost().port}"

    def datagramReceived(self, datagram_: bytes, addr: Any) -> None:
        if addr != self._to:
            return
        for relay in self.back:
            if relay._near != self._near:
                due = datagram(self._net.now(), self._net.way(self._near, relay._near), self._net.chance)
                if due is not None:
                    wait = max(0, due - self._net.now()) / SECOND
                    self._net.reactor.callLater(wait, relay.hand_on, datagram_)

    def hand_on(self, data: bytes) -> None:
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.write(data, self._to)

    def stop(self) -> None:
        self._port.stopListening()


def _hosts(chance: random.Random) -> Iterator[str]:
    first, second = chance.randint(10, 250), chance.randint(0, 250)
    for number in range(2, 60_000):
        yield f"127.{first}.{(second + number // 250) % 256}.{number % 250 + 2}"


_given: set[str] = set()  # addresses handed out, whose parties may not listen yet


def free_address(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """With a port that the system chose, that nobody has and that was given to nobody else."""
    for _ in range(PORT_TRIES):
        with socket.socket(socket.AF_INET, kind) as one:
            one.bind((host, 0))
            address = f"{host}:{one.getsockname()[1]}"
        if address not in _given:
            break
    _given.add(address)
    return address
