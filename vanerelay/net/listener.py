"""The port that clients come through: accepts all that wait, also where the system fails for a moment."""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.tcp import Port, Server

# Nothing can be accepted for want of something that others may let go of. Whoever waits goes on waiting.
SHORT_OF = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
NOTHING_WAITS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
# A socket that could not be had for one of these may be had a moment later.
FOR_A_MOMENT = SHORT_OF | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}
REST_S = 0.02  # until accepting is tried again
LAST_TRIES = 64  # failures that are borne when the port is about to close


def passes(fault: CannotListenError) -> bool:
    """Whether listening may work a moment later."""
    return isinstance(fault.socketError, OSError) and fault.socketError.errno in FOR_A_MOMENT


class ClientTransport(Server):
    """Reads all that has come at each look, up to a bound: a read may be short, and what a client asked and
    that it left may lie one behind the other."""

    def doRead(self) -> Any:
        left = self.bufferSize
        while left > 0:
            try:
                data = self.socket.recv(self.bufferSize)
            except OSError as fault:
                if fault.errno == errno.EINTR:
                    continue
                return None if fault.errno in NOTHING_WAITS else CONNECTION_LOST
            ended = self._dataReceived(data)
            if ended is not None or self.disconnected:
                return ended
            left -= len(data)
        if left <= 0:
            self.protocol.left_behind()
        return None


class Listener(Port):
    """Accepts all that wait in each pass. Twisted's own takes few at first, so that how long the rest had
    waited would not be known; short of a descriptor it shuts a client unread; one failure ends its look."""

    factory: Any  # the Clients
    transport = ClientTransport
    _resting: Any = None

    def doRead(self) -> None:
        fault = self._accept_waiting()
        if fault in SHORT_OF and self._resting is None:
            self.stopReading()  # type: ignore[no-untyped-call]  # its readiness would be told over and over
            self._resting = self.reactor.callLater(REST_S, self._accept_again)

    def accept_last(self) -> None:
        """Accepts all that wait before the port closes, whatever fails in between."""
        for _ in range(LAST_TRIES):
            if self._accept_waiting() is None:
                return

    def connectionLost(self, reason: Any) -> None:
        if self._resting is not None and self._resting.active():
            self._resting.cancel()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _accept_again(self) -> None:
        self._resting = None
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call]
            self.doRead()

    def _accept_waiting(self) -> int | None:
        """Accepts until nothing waits, or until the system is short of something: then its error."""
        for _ in range(2 * self.backlog):
            try:
                accepted, address = self.socket.accept()
            except OSError as fault:
                if fault.errno in NOTHING_WAITS:
                    self.factory.nobody_waits()
                    return None
                if fault.errno in SHORT_OF:
                    self.factory.accept_failed()
                    return fault.errno
                continue  # of one connection, which is no more: the next may be sound
            self._join(accepted, address)
        return None

    def _join(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        peer = self._buildAddr(address)  # type: ignore[no-untyped-call]
        protocol: Any = self.factory.buildProtocol(peer)
        number, self.sessionno = self.sessionno, self.sessionno + 1
        transport: Any = self.transport(accepted, protocol, address, self, number, self.reactor)
        protocol.makeConnection(transport)
