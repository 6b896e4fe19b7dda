"""Gossip between gateways: datagrams of at most 256 bytes, if the settings permit it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _ignore(_peer: int, _data: bytes) -> None:
    """Discards datagrams that arrive before `on_received` is set."""


class PeerGossip(DatagramProtocol):
    """Sends datagrams to the peers of this gateway and receives theirs.

    Attributes:
        on_received: Is called with the number of the peer and each datagram from it.
    """

    transport: Any

    def __init__(self, listen: str, addresses: list[str], broadcast_address: str) -> None:
        """`addresses` are the peers' by their numbers; `broadcast_address` reaches all of them."""
        self._listen = _parse_address(listen)
        self._broadcast_address = _parse_address(broadcast_address)
        self._addresses = [_parse_address(address) for address in addresses]
        self._peer_numbers = {address: number for number, address in enumerate(self._addresses)}
        self.on_received: Callable[[int, bytes], None] = _ignore

    def open(self, reactor: Any) -> None:
        """Opens the UDP port."""
        reactor.listenUDP(self._listen[1], self, interface=self._listen[0])

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to a peer, or to all peers if `peer` is None."""
        if self.transport is not None and len(data) <= MAX_DATAGRAM_BYTES:
            # Datagrams may be lost anyway, and an error of the system must not stop periodic sending.
            with contextlib.suppress(OSError):
                self.transport.write(data, self._broadcast_address if peer is None else self._addresses[peer])

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Passes on datagrams from known peers; others are ignored."""
        peer = self._peer_numbers.get(addr)
        if peer is not None:
            self.on_received(peer, datagram[:MAX_DATAGRAM_BYTES])
