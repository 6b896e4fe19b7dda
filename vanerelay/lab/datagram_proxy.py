"""Datagrams between processes of a scenario, over links with faults."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from vanerelay.interface import SECOND
from vanerelay.lab.link_faults import datagram_arrival

if TYPE_CHECKING:
    from vanerelay.lab.fault_network import Network


class DatagramProxy(DatagramProtocol):
    """The address by which `sender` knows a peer.

    What `sender` sends here leaves from the address by which the peer knows `sender`.

    Attributes:
        return_proxies: by which those peers know `sender`.
    """

    transport: Any

    def __init__(self, network: Network, sender: str, sender_address: str, host: str) -> None:
        self._network, self._sender = network, sender
        self.return_proxies = list[DatagramProxy]()
        sender_host, _, sender_port = sender_address.rpartition(":")
        self._sender_address = sender_host, int(sender_port)
        self._port = network.reactor.listenUDP(0, self, interface=host)
        self.address = f"{host}:{self._port.getHost().port}"

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Forwards what the sender has sent; of others nothing is taken."""
        if addr != self._sender_address:
            return
        for proxy in self.return_proxies:
            if proxy._sender != self._sender:
                self._forward(proxy, datagram)

    def _forward(self, proxy: DatagramProxy, datagram: bytes) -> None:
        network = self._network
        link = network.link(self._sender, proxy._sender)
        arrival = datagram_arrival(network.now(), link, network.random_source)
        if arrival is not None:
            wait_s = max(0, arrival - network.now()) / SECOND
            network.reactor.callLater(wait_s, proxy.deliver, datagram)

    def deliver(self, data: bytes) -> None:
        """Sends a datagram to the process that knows a peer by this address."""
        if self.transport is not None:
            with contextlib.suppress(OSError):
                self.transport.write(data, self._sender_address)

    def stop(self) -> None:
        """Frees the port."""
        self._port.stopListening()


__all__ = ["DatagramProxy"]
