"""The network of a scenario: every connection between two parties goes through here, on loopback."""

from __future__ import annotations

import random
import socket
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from vanerelay.clock import Clock
from vanerelay.lab.datagram_proxy import DatagramProxy
from vanerelay.lab.faulty_connection import ConnectionEnd, FaultyConnection, TcpEnd
from vanerelay.lab.link_faults import LinkState
from vanerelay.lab.listener import Listener

CONNECT_TIMEOUT_S = 2.0
MAX_PORT_DRAWS = 100
"""Ports that are asked of the system until one comes that was not given to anybody yet."""


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """By what addresses a process knows its peers (itself among them), and the one that reaches them all."""

    peers: list[str]
    everyone: str


class Network:
    """All links, connections and listening ports of a scenario.

    Attributes:
        random_source: of delays and losses, seeded.
    """

    def __init__(self, reactor: Any, clock: Clock, seed: int) -> None:
        self.reactor, self._clock, self.random_source = reactor, clock, random.Random(seed)
        self._links = dict[tuple[str, str], LinkState]()
        self._connections = defaultdict[frozenset[str], set[FaultyConnection]](set)
        self._listeners = defaultdict[tuple[str, str], list[Listener]](list)
        self._hosts: Iterator[str] = _loopback_hosts(random.Random(seed))
        self._datagram_proxies: list[DatagramProxy] = []

    def now(self) -> int:
        """Monotonic time in ticks."""
        return self._clock.now()

    def link(self, sender: str, receiver: str) -> LinkState:
        """The state of one direction between two parties."""
        return self._links.setdefault((sender, receiver), LinkState())

    def connections_of(self, party: str, other: str) -> set[FaultyConnection]:
        """All connections between two parties."""
        return self._connections[frozenset((party, other))]

    def new_host(self) -> str:
        """A loopback address that nobody else has."""
        return next(self._hosts)

    def listen(
        self,
        client: str,
        server: str,
        host: str,
        accepted: Callable[[FaultyConnection], ConnectionEnd | None],
    ) -> Listener:
        """A port at which `client` reaches `server`; `accepted` returns the server's end."""
        listener = Listener(self, client, server, host, accepted)
        self._listeners[client, server].append(listener)
        return listener

    def proxy(self, client: str, server: str, host: str, address: str) -> Listener:
        """A port between two processes: `client` connects to it, and the laboratory to `address`."""
        return self.listen(client, server, host, lambda connection: self._connect_server(connection, address))

    def _connect_server(self, connection: FaultyConnection, address: str) -> None:
        def connected(end: TcpEnd) -> None:
            connection.attach(server=end)

        self._connect(connection, address, connected, connection.reset)

    def connect(
        self,
        client: str,
        server: str,
        address: str,
        opened: Callable[[FaultyConnection], ConnectionEnd],
        failed: Callable[[], None],
    ) -> None:
        """Connects from a party in the laboratory to a process; `opened` returns the client's end."""
        if self.link(client, server).is_refusing:
            self.reactor.callLater(0, failed)
            return
        connection = FaultyConnection(self, client, server)

        def connected(end: TcpEnd) -> None:
            connection.attach(client=opened(connection), server=end)

        def not_connected() -> None:
            connection.reset()
            failed()

        self._connect(connection, address, connected, not_connected)

    def _connect(
        self,
        connection: FaultyConnection,
        address: str,
        connected: Callable[[TcpEnd], None],
        failed: Callable[[], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)
        end = TcpEnd(connection)
        connecting: Deferred[Any] = connectProtocol(endpoint, end)  # type: ignore[no-untyped-call]
        connecting.addCallbacks(connected, lambda _: failed())

    def set_link(self, sender: str, receiver: str, **changes: Any) -> None:
        """Changes fields of the state of a direction, for what is on its way as well."""
        link = self.link(sender, receiver)
        for name, value in changes.items():
            setattr(link, name, value)
        for connection in list(self._connections.get(frozenset((sender, receiver)), ())):
            connection.pump()
        for pair in ((sender, receiver), (receiver, sender)):
            for listener in self._listeners.get(pair, ()):
                listener.update()

    def reset(self, party: str, other: str) -> None:
        """Resets all connections between two parties."""
        self._reset(frozenset((party, other)))

    def reset_all(self, party: str) -> None:
        """Resets all connections of a party."""
        for pair in [pair for pair in self._connections if party in pair]:
            self._reset(pair)

    def _reset(self, pair: frozenset[str]) -> None:
        for connection in list(self._connections.get(pair, ())):
            connection.reset()

    def proxy_datagrams(self, names: list[str], listen_addresses: list[str]) -> list[PeerAddresses]:
        """Datagrams among processes: for each, by what addresses it knows its peers."""
        to_peers, to_everyone = list[list[DatagramProxy]](), list[DatagramProxy]()
        for name, address in zip(names, listen_addresses, strict=True):
            host = self.new_host()
            to_peers.append([DatagramProxy(self, name, address, host) for _ in names])
            to_everyone.append(DatagramProxy(self, name, address, host))
        for sender, proxies in enumerate(to_peers):
            for receiver, proxy in enumerate(proxies):
                return_proxy = to_peers[receiver][sender]
                proxy.return_proxies = [return_proxy]
                to_everyone[sender].return_proxies.append(return_proxy)
        self._datagram_proxies += [*(proxy for proxies in to_peers for proxy in proxies), *to_everyone]
        return [
            PeerAddresses([proxy.address for proxy in proxies], everyone.address)
            for proxies, everyone in zip(to_peers, to_everyone, strict=True)
        ]

    def stop(self) -> None:
        """Frees all ports and ends all connections."""
        for listeners in self._listeners.values():
            for listener in listeners:
                listener.stop()
        for proxy in self._datagram_proxies:
            proxy.stop()
        for pair in list(self._connections):
            self._reset(pair)


def _loopback_hosts(random_source: random.Random) -> Iterator[str]:
    first, second = random_source.randint(10, 250), random_source.randint(0, 250)
    for number in range(2, 60_000):
        yield f"127.{first}.{(second + number // 250) % 256}.{number % 250 + 2}"


_given_addresses: set[str] = set()
"""Addresses that were handed out, whose parties may not listen yet."""


def free_address(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """An address with a port that the system chose, that nobody has and that was given to nobody else."""
    for _ in range(MAX_PORT_DRAWS):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _given_addresses:
            break
    _given_addresses.add(address)
    return address


__all__ = ["Network", "PeerAddresses", "free_address"]
