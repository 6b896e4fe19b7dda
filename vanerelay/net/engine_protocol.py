"""The Twisted protocol of a connection to an engine: bytes in, bytes out, and notice of all bytes sent."""

from __future__ import annotations

from typing import Any
from typing import Protocol as Interface

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.attempt_outcome import EndCause

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]


class ProtocolOwner(Interface):
    """The connection that an `EngineProtocol` reports to."""

    def received(self, data: bytes) -> None:
        """Handles bytes that the engine sent."""

    def connection_lost(self, cause: EndCause) -> None:
        """Handles the end of the connection."""

    def all_sent(self) -> None:
        """Called each time the transport has sent everything that was written to it."""


@implementer(IPullProducer)
class EngineProtocol(Protocol):
    """Passes received bytes to its connection, and tells it whenever the transport has sent everything.

    It is registered with the transport as a pull producer: the transport calls `resumeProducing` each time
    its write buffer is empty.
    """

    transport: Any

    def __init__(self, connection: ProtocolOwner) -> None:
        self.connection = connection

    def connectionMade(self) -> None:
        """Sets the socket options and registers for notice of an empty write buffer."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:
        """Passes the received bytes to the connection."""
        self.connection.received(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Reports the end of the connection."""
        self.connection.connection_lost(EndCause.CONNECTION_LOST)

    def resumeProducing(self) -> None:
        """Reports that everything written to the transport was sent."""
        self.connection.all_sent()

    def stopProducing(self) -> None:
        """Does nothing: `connectionLost` also reports that the transport was closed."""

    def read_available(self) -> bool:
        """Reads the bytes that have arrived; returns False if the connection has ended."""
        return self.transport.doRead() is None

    def close(self) -> None:
        """Closes the connection once everything written was sent."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        self.transport.unregisterProducer()
        self.transport.abortConnection()
