"""The listening port for clients: accepts all waiting connections, with retries if resources run out."""

from __future__ import annotations

import errno
import socket
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.tcp import Port, Server
from twisted.python.failure import Failure

from vanerelay.net.unsent_output import held_output_bytes

# The system is short of a resource that may be freed later. Waiting clients stay in the backlog.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
WOULD_BLOCK_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
# If opening the socket failed with one of these, a later attempt may succeed.
TRANSIENT_ERRNOS = EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}
ACCEPT_RETRY_INTERVAL_S = 0.02
READ_BYTES = 16_384
"""The input that a client connection handles in one turn; the rest waits until the others had theirs."""
TURN_BUDGET_S = 0.003
"""The time after which the rest of a client's input waits until the others had their turn."""
ROUND_BUDGET_S, MIN_TURN_S = 0.1, 0.0005
"""The time in which every waiting connection should have a turn, and the shortest turn."""
MAX_CHUNK_S = 0.001
"""The time that one chunk of a client's input should take to handle."""
INITIAL_CHUNK_BYTES, MIN_CHUNK_BYTES = 2_048, 256
MAX_FINAL_ACCEPT_ROUNDS = 64
"""How often accepting is tried when the port is about to close."""


def is_transient(error: CannotListenError) -> bool:
    """Returns True if listening may succeed a moment later."""
    return isinstance(error.socketError, OSError) and error.socketError.errno in TRANSIENT_ERRNOS


class ClientTransport(Server):
    """The transport of a client connection.

    It reads all input that is available, up to `READ_BYTES` and for `TURN_BUDGET_S`: one `recv` may return
    less, and a request may be followed by the end of its connection.

    Attributes:
        has_backlog: True if the last turn ended before the socket was empty.
    """

    _chunk_bytes = INITIAL_CHUNK_BYTES
    has_backlog = False

    def doRead(self) -> Any:
        """Reads until the socket is empty or the turn of this client is over."""
        remaining = READ_BYTES
        now = self.reactor.seconds()
        turn_ends_at = now + self._turn_budget_s()
        while remaining > 0 and now < turn_ends_at:
            try:
                data = self.socket.recv(min(remaining, max(self._chunk_bytes, self.protocol.missing_bytes)))
            except OSError as error:
                if error.errno == errno.EINTR:
                    continue
                if error.errno not in WOULD_BLOCK_ERRNOS:
                    return CONNECTION_LOST
                self.has_backlog = False
                self.protocol.socket_emptied()
                return None
            result = self._dataReceived(data)
            if result is not None or self.disconnected:
                return result
            remaining -= len(data)
            began_at, now = now, self.reactor.seconds()
            self._adapt_chunk(len(data), now - began_at)
        self.has_backlog = True
        self.protocol.read_limit_reached()
        return None

    def _turn_budget_s(self) -> float:
        """Returns the time of a turn, which is shorter the more connections wait for theirs."""
        waiting = getattr(self.reactor, "ready_count", 0)
        return max(MIN_TURN_S, min(TURN_BUDGET_S, ROUND_BUDGET_S / (1 + waiting)))

    def _adapt_chunk(self, size: int, handling_s: float) -> None:
        """Adapts the size of the next chunk to the time that one of `size` bytes took to handle.

        Small requests take much more time for each byte than large ones.
        """
        if handling_s > MAX_CHUNK_S:
            fitting = int(size * MAX_CHUNK_S / handling_s)
            self._chunk_bytes = max(MIN_CHUNK_BYTES, min(self._chunk_bytes, fitting))
        elif handling_s < MAX_CHUNK_S / 4:
            self._chunk_bytes = min(READ_BYTES, self._chunk_bytes * 2)

    def doWrite(self) -> Any:
        """Writes what the socket takes, and tells the connection what is left."""
        result = super().doWrite()  # type: ignore[no-untyped-call]
        if self.connected:
            self.protocol.output_written(held_output_bytes(self))
        return result

    def write_now(self) -> None:
        """Writes what the socket takes, without waiting for the next poll.

        The result of `doWrite` may ask for the connection to be closed, which the event loop would do.
        """
        result = self.doWrite()
        if result is not None:
            self.reactor.callLater(0, self._disconnect, result)

    def _disconnect(self, reason: Exception) -> None:
        if self.connected:
            self.stopReading()  # type: ignore[no-untyped-call]
            self.stopWriting()  # type: ignore[no-untyped-call]
            self.connectionLost(Failure(reason))  # type: ignore[no-untyped-call]

    def _closeWriteConnection(self) -> None:
        super()._closeWriteConnection()
        self.protocol.end_sent()


class AcceptingPort(Port):
    """A port that accepts all waiting connections in each event-loop pass.

    Twisted's own port accepts only few at first, so that the time for which the others had waited would not
    be known. Without a free descriptor it closes a connection unread, and it stops accepting at the first
    failure.
    """

    factory: Any  # the ClientListener
    transport = ClientTransport
    _accept_timer: Any = None

    def doRead(self) -> None:
        """Accepts all waiting connections. Retries soon if the system is short of resources."""
        error = self._accept_pending()
        if error in EXHAUSTION_ERRNOS and self._accept_timer is None:
            self.stopReading()  # type: ignore[no-untyped-call]  # the port would stay readable
            self._accept_timer = self.reactor.callLater(ACCEPT_RETRY_INTERVAL_S, self._retry_accept)

    def accept_remaining(self) -> None:
        """Accepts all waiting connections before the port closes, even if some attempts fail."""
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            if self._accept_pending() is None:
                return

    def connectionLost(self, reason: Failure) -> None:
        """Cancels the retry timer when the port is closed."""
        if self._accept_timer is not None and self._accept_timer.active():
            self._accept_timer.cancel()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _retry_accept(self) -> None:
        self._accept_timer = None
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call]
            self.doRead()

    def _accept_pending(self) -> int | None:
        """Accepts connections until none waits or the system is short of a resource.

        Returns the errno of the shortage, or None.
        """
        began_at, first_number = self.reactor.seconds(), self.sessionno
        error = self._accept_until_none_waits()
        duration_s = self.reactor.seconds() - began_at
        self.factory.statistics.accepted(self.sessionno - first_number, duration_s)
        return error

    def _accept_until_none_waits(self) -> int | None:
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
                continue  # this connection is lost, but the next may be accepted
            self._set_up_connection(accepted, address)
        return None

    def _set_up_connection(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        peer = self._buildAddr(address)  # type: ignore[no-untyped-call]
        protocol: Any = self.factory.buildProtocol(peer)
        session_number, self.sessionno = self.sessionno, self.sessionno + 1
        transport: Any = self.transport(accepted, protocol, address, self, session_number, self.reactor)
        protocol.makeConnection(transport)
