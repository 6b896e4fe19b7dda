"""Peers: datagrams of at most 256 bytes, where the settings permit them. The module sends none so far."""
from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol

LONGEST = 256


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Peers(DatagramProtocol):
    transport: Any

    def __init__(self, listen: str, addresses: list[str], everyone: str) -> None:
        self._listen, self._everyone = _address(listen), _address(everyone)
        self._addresses = [_address(address) for address in addresses]

    def open(self, reactor: Any) -> None:
        reactor.listenUDP(self._listen[1], self, interface=self._listen[0])

    def tell(self, peer: int | None, data: bytes) -> None:
        if self.transport is not None and len(data) <= LONGEST:
            self.transport.write(data, self._everyone if peer is None else self._addresses[peer])

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Nothing that the module knows of is sent between gateways: what comes is dropped."""
