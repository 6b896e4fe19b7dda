"""The listening port for clients: accepts all waiting connections, with retries if resources run out."""

from __future__ import annotations

import errno
import math
import socket
from enum import Enum
from typing import Any

import structlog
from twisted.internet.error import CannotListenError
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from vanerelay.net.client_transport import WOULD_BLOCK_ERRNOS, ClientTransport

# The system is short of a resource that may be freed later. Waiting clients stay in the backlog.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# If opening the socket failed with one of these, a later attempt may succeed.
TRANSIENT_ERRNOS = EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}
ACCEPT_RETRY_INTERVAL_S = 0.02
ACCEPT_BUDGET_S = 0.020
"""The time for accepting in one pass of the event loop. Hundreds of clients may connect at once."""
MAX_FINAL_ACCEPT_ROUNDS = 64
"""How often accepting is tried when the port is about to close."""

log = structlog.get_logger()


def is_transient(error: CannotListenError) -> bool:
    """Returns True if listening may succeed a moment later."""
    return isinstance(error.socketError, OSError) and error.socketError.errno in TRANSIENT_ERRNOS


class AcceptResult(Enum):
    """The reason why a round of accepting ended."""

    NONE_WAITS = "all waiting clients are accepted"
    TIME_OVER = "its time is over"
    EXHAUSTED = "the system is short of a resource"


class AcceptingPort(Port):
    """A port that accepts waiting connections in each event-loop pass, until none waits or its time is over.

    Twisted's own port accepts a number that adapts slowly. Without a free descriptor it closes a connection
    unread, and it stops accepting at the first failure.
    """

    factory: Any  # the ClientListener
    transport = ClientTransport
    _accept_timer: Any = None

    def doRead(self) -> None:
        """Accepts waiting connections, and goes on in the next pass if some are left.

        Retries soon if the system is short of resources.
        """
        if self._accept_timer is not None:
            return
        result = self._accept_pending(ACCEPT_BUDGET_S)
        if result is AcceptResult.TIME_OVER:
            self._accept_timer = self.reactor.callLater(0, self._continue_accepting)
        elif result is AcceptResult.EXHAUSTED:
            self.stopReading()  # type: ignore[no-untyped-call]  # the port would stay readable
            self._accept_timer = self.reactor.callLater(ACCEPT_RETRY_INTERVAL_S, self._continue_accepting)

    def accept_remaining(self) -> None:
        """Accepts all waiting connections before the port closes, even if some attempts fail."""
        for _ in range(MAX_FINAL_ACCEPT_ROUNDS):
            if self._accept_pending(math.inf) is AcceptResult.NONE_WAITS:
                return

    def connectionLost(self, reason: Failure) -> None:
        """Cancels the retry timer when the port is closed."""
        if self._accept_timer is not None and self._accept_timer.active():
            self._accept_timer.cancel()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _continue_accepting(self) -> None:
        self._accept_timer = None
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call]
            self.doRead()

    def _accept_pending(self, budget_s: float) -> AcceptResult:
        began_at, first_number = self.reactor.seconds(), self.sessionno
        result = self._accept_until(began_at + budget_s)
        duration_s = self.reactor.seconds() - began_at
        self.factory.statistics.accepted(self.sessionno - first_number, duration_s)
        if result is AcceptResult.NONE_WAITS:
            self.factory.backlog_emptied()
        else:
            self.factory.clients_left_waiting()
        return result

    def _accept_until(self, ends_at: float) -> AcceptResult:
        for _ in range(2 * self.backlog):
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno in WOULD_BLOCK_ERRNOS:
                    return AcceptResult.NONE_WAITS
                if error.errno in EXHAUSTION_ERRNOS:
                    return AcceptResult.EXHAUSTED
                continue  # this connection is lost, but the next may be accepted
            self._set_up_connection(accepted, address)
            self.factory.client_accepted()
            if self.reactor.seconds() >= ends_at:
                break
        return AcceptResult.TIME_OVER

    def _set_up_connection(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        session_number, self.sessionno = self.sessionno, self.sessionno + 1
        try:
            protocol: Any = self.factory.buildProtocol(address)
            transport: Any = self.transport(accepted, protocol, address, self, session_number, self.reactor)
            protocol.makeConnection(transport)
        except Exception:
            log.exception("setting up a client's connection failed")
