"""Gossip between gateways: datagrams of at most 256 bytes, where the settings permit them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _ignore(_peer: int, _data: bytes) -> None:
    """Takes what comes before anybody listens."""


class PeerGossip(DatagramProtocol):
    """The datagrams between this gateway and its peers.

    Attributes:
        received: Called with the number of the peer and its datagram.
    """

    transport: Any

    def __init__(self, listen: str, addresses: list[str], everyone: str) -> None:
        """`addresses` are those of the peers by their numbers; `everyone` is one that reaches all of them."""
        self._listen = _address(listen)
        self._everyone = _address(everyone)
        self._addresses = [_address(address) for address in addresses]
        self._numbers = {address: number for number, address in enumerate(self._addresses)}
        self.received: Callable[[int, bytes], None] = _ignore

    def open(self, reactor: Any) -> None:
        """Opens the port."""
        reactor.listenUDP(self._listen[1], self, interface=self._listen[0])

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to a peer, or to all of them."""
        if self.transport is not None and len(data) <= MAX_DATAGRAM_BYTES:
            # It may be lost anyway: that the system does not take it must not end the periodic sending.
            with contextlib.suppress(OSError):
                self.transport.write(data, self._everyone if peer is None else self._addresses[peer])

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Hands on the datagrams of peers, and of nobody else."""
        peer = self._numbers.get(addr)
        if peer is not None:
            self.received(peer, datagram[:MAX_DATAGRAM_BYTES])
