"""The transport of a client connection: reads in short turns, writes without waiting for the next poll."""

from __future__ import annotations

import errno
from typing import Any

from twisted.internet.main import CONNECTION_LOST
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from vanerelay.net.unsent_output import held_output_bytes, unacknowledged_bytes

WOULD_BLOCK_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
READ_BYTES = 16_384
"""The input that a client connection handles in one turn; the rest waits until the others had theirs."""
TURN_BUDGET_S = 0.003
"""The time after which the rest of a client's input waits until the others had their turn."""
ROUND_BUDGET_S, MIN_TURN_S = 0.1, 0.0005
"""The time in which every waiting connection should have a turn, and the shortest turn."""
MAX_CHUNK_S = 0.001
"""The time that one chunk of a client's input should take to handle."""
INITIAL_CHUNK_BYTES, MIN_CHUNK_BYTES = 2_048, 256


class ClientTransport(Server):
    """The transport of a client connection.

    It reads all input that is available, up to `READ_BYTES` and for `TURN_BUDGET_S`: one `recv` may return
    less, and a request may be followed by the end of its connection.

    Attributes:
        has_backlog: True if the last turn ended before the socket was empty.
    """

    _chunk_bytes = INITIAL_CHUNK_BYTES
    _sent_bytes = 0
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

    def writeSomeData(self, data: bytes) -> Any:
        """Writes what the socket takes, and counts it."""
        result = super().writeSomeData(data)
        if isinstance(result, int) and result > 0:
            self._sent_bytes += result
        return result

    def received_bytes(self) -> int:
        """Returns the bytes of output that the client's system has received."""
        return self._sent_bytes - unacknowledged_bytes(self.socket) if self.connected else self._sent_bytes

    def outstanding_bytes(self) -> int:
        """Returns the bytes of output that the client's system has not received, at least."""
        return held_output_bytes(self) + unacknowledged_bytes(self.socket) if self.connected else 0

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
