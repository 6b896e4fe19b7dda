"""Connections between two parties of a scenario, over links with faults.

An end of a connection is a TCP connection to a process (`TcpEnd`), or a party that lives in the laboratory
itself (any `ConnectionEnd`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from vanerelay.interface import SECOND
from vanerelay.lab.link_faults import MAX_BYTES_IN_FLIGHT, DelayedStream

if TYPE_CHECKING:
    from vanerelay.lab.fault_network import Network

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
CLIENT, SERVER = 0, 1
"""The places of the two ends: who opened the connection, and who accepted it."""


class ConnectionEnd(Protocol):
    """One end of a connection; the connection calls it."""

    def deliver(self, data: bytes) -> None:
        """Data has arrived."""

    def closed(self, was_reset: bool) -> None:
        """The connection is over."""

    def set_flowing(self, is_flowing: bool) -> None:
        """Whether more may be sent."""


class FaultyConnection:
    """One connection, opened by the party `client` and accepted by the party `server`."""

    def __init__(self, network: Network, client: str, server: str) -> None:
        self._network, self.client, self.server, self.is_over = network, client, server, False
        self._to_server = DelayedStream(network.link(client, server), network.random_source)
        self._to_client = DelayedStream(network.link(server, client), network.random_source)
        self.ends: list[ConnectionEnd | None] = [None, None]
        self._timers: list[Any] = [None, None]
        network.connections_of(client, server).add(self)

    def attach(self, client: ConnectionEnd | None = None, server: ConnectionEnd | None = None) -> None:
        """Sets one end or both; what was sent to them before is delivered."""
        self.ends = [client or self.ends[CLIENT], server or self.ends[SERVER]]
        self.pump()

    def send(self, end: ConnectionEnd, data: bytes) -> None:
        """Sends data from an end to the other."""
        if not self.is_over:
            stream = self._stream_from(end)
            stream.send(self._network.now(), data)
            if stream.bytes_in_flight > MAX_BYTES_IN_FLIGHT:
                end.set_flowing(False)
            self.pump()

    def close(self, end: ConnectionEnd) -> None:
        """An end has closed; the other hears of it once what was sent before has arrived."""
        if not self.is_over:
            self._stream_from(end).close(self._network.now())
            self.pump()

    def reset(self) -> None:
        """Both ends are reset at once."""
        if not self.is_over:
            self._end()
            for end in self.ends:
                if end is not None:
                    end.closed(True)

    def pump(self) -> None:
        """Delivers what has arrived, and sets timers for what is on its way."""
        for place, stream in ((CLIENT, self._to_client), (SERVER, self._to_server)):
            end = self.ends[place]
            if end is None or self.is_over:
                continue
            self._deliver(place, end, stream)
            if self.is_over:
                return

    def _deliver(self, place: int, end: ConnectionEnd, stream: DelayedStream) -> None:
        data, is_closed = stream.receive(self._network.now())
        if data:
            end.deliver(data)
        if self.is_over:
            return
        sender = self.ends[1 - place]
        if is_closed:
            self._end()
            end.closed(False)
            # The other end may have been attached by now.
            sender = self.ends[1 - place]
            if sender is not None:
                sender.closed(False)
            return
        if sender is not None and data and stream.bytes_in_flight <= MAX_BYTES_IN_FLIGHT // 2:
            sender.set_flowing(True)
        self._set_timer(place, stream.next_arrival())

    def _set_timer(self, place: int, due: int | None) -> None:
        timer = self._timers[place]
        if timer is not None and timer.active():
            timer.cancel()
        self._timers[place] = None
        if due is not None:
            wait_s = max(0, due - self._network.now()) / SECOND
            self._timers[place] = self._network.reactor.callLater(wait_s, self.pump)

    def _stream_from(self, end: ConnectionEnd) -> DelayedStream:
        return self._to_server if end is self.ends[CLIENT] else self._to_client

    def _end(self) -> None:
        self.is_over = True
        for place in (CLIENT, SERVER):
            self._set_timer(place, None)
        self._network.connections_of(self.client, self.server).discard(self)


class TcpEnd(TwistedProtocol):
    """The end of a connection that is a TCP connection to a process."""

    transport: Any

    def __init__(self, connection: FaultyConnection) -> None:
        self._connection, self._is_closed = connection, False

    def dataReceived(self, data: bytes) -> None:
        """The process has sent data."""
        self._connection.send(self, data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """The process has closed the connection, or died."""
        self._is_closed = True
        self._connection.close(self)

    def deliver(self, data: bytes) -> None:
        """Sends data to the process."""
        if not self._is_closed:
            self.transport.write(data)

    def closed(self, was_reset: bool) -> None:
        """Closes the TCP connection."""
        if self._is_closed or self.transport is None:
            return
        if was_reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def set_flowing(self, is_flowing: bool) -> None:
        """Goes on with reading from the process, or pauses it."""
        if self._is_closed:
            return
        if is_flowing:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()


__all__ = ["ConnectionEnd", "FaultyConnection", "TcpEnd"]
