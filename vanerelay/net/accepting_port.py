"""The port that clients come through: accepts all that wait, also where the system fails for a moment."""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.tcp import Port, Server
from twisted.python.failure import Failure

# Nothing can be accepted for want of something that others may let go of. Whoever waits goes on waiting.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
WOULD_BLOCK_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
# A socket that could not be had for one of these may be had a moment later.
TRANSIENT_ERRNOS = EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}
ACCEPT_RETRY_INTERVAL_S = 0.02
MAX_FINAL_ACCEPT_ROUNDS = 64
"""How often accepting is tried again when the port is about to close."""


def is_transient(error: CannotListenError) -> bool:
    """Whether listening may work a moment later."""
    return isinstance(error.socketError, OSError) and error.socketError.errno in TRANSIENT_ERRNOS


class ClientTransport(Server):
    """The transport of a client's connection.

    At each look it reads all that has come, up to a bound: a read may be short, and what a client asked and
    its end may lie one behind the other.
    """

    def doRead(self) -> Any:
        """Reads until nothing is left, or as much as one look may take."""
        remaining = self.bufferSize
        while remaining > 0:
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as error:
                if error.errno == errno.EINTR:
                    continue
                return None if error.errno in WOULD_BLOCK_ERRNOS else CONNECTION_LOST
            result = self._dataReceived(data)
            if result is not None or self.disconnected:
                return result
            remaining -= len(data)
        if remaining <= 0:
            self.protocol.read_limit_reached()
        return None


class AcceptingPort(Port):
    """Accepts all that wait in each pass.

    Twisted's own port takes few at first, so that how long the rest had waited would not be known; without a
    free descriptor it closes a client's connection unread; and one failure ends its look.
    """

    factory: Any  # the ClientListener
    transport = ClientTransport
    _accept_timer: Any = None

    def doRead(self) -> None:
        """Accepts all that wait; where the system has not what it takes, it tries again soon."""
        error = self._accept_pending()
        if error in EXHAUSTION_ERRNOS and self._accept_timer is None:
            self.stopReading()  # type: ignore[no-untyped-call]  # it would be reported ready over and over
            self._accept_timer = self.reactor.callLater(ACCEPT_RETRY_INTERVAL_S, self._retry_accept)

    def accept_remaining(self) -> None:
        """Accepts all that wait before the port closes, whatever fails in between."""
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            if self._accept_pending() is None:
                return

    def connectionLost(self, reason: Failure) -> None:
        """The port is closed."""
        if self._accept_timer is not None and self._accept_timer.active():
            self._accept_timer.cancel()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _retry_accept(self) -> None:
        self._accept_timer = None
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call]
            self.doRead()

    def _accept_pending(self) -> int | None:
        """Accepts until nothing waits, or until the system is short of something: then its error number."""
        for _ in range(2 * self.backlog):
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    self.factory.backlog_emptied()
                    return None
                if error.errno in EXHAUSTION_ERRNOS:
                    self.factory.accept_failed()
                    return error.errno
                continue  # one connection is lost: the next may be sound
            self._set_up_connection(accepted, address)
        return None

    def _set_up_connection(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        peer = self._buildAddr(address)  # type: ignore[no-untyped-call]
        protocol: Any = self.factory.buildProtocol(peer)
        session_number, self.sessionno = self.sessionno, self.sessionno + 1
        transport: Any = self.transport(accepted, protocol, address, self, session_number, self.reactor)
        protocol.makeConnection(transport)
