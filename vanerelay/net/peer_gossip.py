"""Peers: datagrams of at most 256 bytes, where the settings permit them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

LONGEST = 256


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class PeerGossip(DatagramProtocol):
    transport: Any

    def __init__(self, listen: str, addresses: list[str], everyone: str) -> None:
        self._listen, self._everyone = _address(listen), _address(everyone)
        self._addresses = [_address(address) for address in addresses]
        self._numbers = {address: number for number, address in enumerate(self._addresses)}
        self.heard_from: Callable[[int, bytes], None] = lambda gateway, data: None

    def open(self, reactor: Any) -> None:
        reactor.listenUDP(self._listen[1], self, interface=self._listen[0])

    def tell(self, peer: int | None, data: bytes) -> None:
        if self.transport is not None and len(data) <= LONGEST:
            # It may be lost anyway: that the system would not take it must not end the module's beat.
            with contextlib.suppress(OSError):
                self.transport.write(data, self._everyone if peer is None else self._addresses[peer])

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Of others than the gateways of the tier nothing is taken."""
        gateway = self._numbers.get(addr)
        if gateway is not None:
            self.heard_from(gateway, datagram[:LONGEST])
