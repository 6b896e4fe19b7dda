"""The transport's side of a connection to an engine: bytes in, bytes out, and when all has left."""

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
    """The connection, as the transport's side of it sees it."""

    def received(self, data: bytes) -> None:
        """The engine sent something."""

    def lost(self, cause: EndCause) -> None:
        """The connection has ended."""

    def drained(self) -> None:
        """All that was handed to the transport has left."""


@implementer(IPullProducer)
class EngineProtocol(Protocol):
    """Hands bytes over, and learns from the transport each time that all handed to it has left."""

    transport: Any

    def __init__(self, connection: ProtocolOwner) -> None:
        self.connection = connection

    def connectionMade(self) -> None:
        """Asks the transport to report what has left."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, False)

    def dataReceived(self, data: bytes) -> None:
        """Hands on what the engine sent."""
        self.connection.received(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """The connection is no more."""
        self.connection.lost(EndCause.CONNECTION_LOST)

    def resumeProducing(self) -> None:
        """All that was handed over has left."""
        self.connection.drained()

    def stopProducing(self) -> None:
        """The transport is closed, which `connectionLost` tells as well."""

    def read_waiting(self) -> bool:
        """Reads what has come; whether that was not the connection's end."""
        return self.transport.doRead() is None

    def close(self) -> None:
        """Closes once all has left."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def abort(self) -> None:
        """Closes now."""
        self.transport.unregisterProducer()
        self.transport.abortConnection()
