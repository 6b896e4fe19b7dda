"""The control socket: a Unix socket for the operators of this machine, and the client that speaks to it."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import stat
from collections.abc import Callable, Iterator
from typing import Any, cast

import structlog
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.membership import control_protocol
from vanerelay.membership.control_protocol import InvalidRequest, Request, RequestParser
from vanerelay.membership.errors import ControlSocketError, MembershipError, RequestError

IDLE_TIMEOUT_S = 10
"""A connection on which nothing moves for so long is ended."""

MAX_CONNECTIONS = 8
MAX_QUEUED_REQUESTS = 8
"""Requests of one connection that may wait for their turn."""

ROWS_PER_WRITE = 100
"""Rows written at a time, which takes a millisecond or so."""

PROBE_TIMEOUT_S = 1.0
"""How long another program may take to accept a connection on the path of our socket."""

SOCKET_MODE = 0o600
SOCKET_UMASK = 0o177

log = structlog.get_logger()

Row = dict[str, Any]


class Reply:
    """The reply to a request: the keys of its head, and rows made as they are written."""

    def __init__(self, rows: Iterator[Row] | None = None, **head: Any) -> None:
        self.head, self.rows = head, rows or iter(())


RequestHandler = Callable[[Request], "Reply | Deferred[Reply]"]
"""Answers a request; raises a MembershipError whose message goes to the operator."""


@implementer(IPullProducer)
class ControlConnection(Protocol, TimeoutMixin):
    """One connection: a request at a time, its rows as fast as the other side reads them."""

    transport: Any

    def __init__(self, factory: ControlFactory) -> None:
        self._factory, self._parser = factory, RequestParser()
        self._queue: list[Request | InvalidRequest] = []
        self._rows: Iterator[Row] | None = None
        self._busy = False

    def connectionMade(self) -> None:
        """Accepts the connection, or refuses one too many."""
        self._factory.connections.add(self)
        if len(self._factory.connections) > MAX_CONNECTIONS:
            self.transport.write(control_protocol.encode_error("too many connections"))
            self.transport.loseConnection()
        self.setTimeout(IDLE_TIMEOUT_S)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        """Queues the requests that are complete."""
        self.resetTimeout()  # type: ignore[no-untyped-call]
        self._queue += self._parser.feed(data)
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._queue = [InvalidRequest("too many requests at once", fatal=True)]
        self._answer_next()

    def _answer_next(self) -> None:
        if self._busy or not self._queue:
            return
        self._busy, request = True, self._queue.pop(0)
        if isinstance(request, InvalidRequest):
            self._write_error(request)
            return
        reply: Deferred[Any] = maybeDeferred(self._factory.handler, request)
        reply.addErrback(self._request_failed)
        reply.addCallback(self._write_reply)

    def _request_failed(self, failure: Failure) -> InvalidRequest:
        if isinstance(failure.value, MembershipError):
            return InvalidRequest(str(failure.value))
        log.error("control request failed", error=failure.getTraceback())
        return InvalidRequest("a fault, see the log")

    def _write_reply(self, reply: Reply | InvalidRequest) -> None:
        if not self.connected:
            return
        if isinstance(reply, InvalidRequest):
            self._write_error(reply)
            return
        self.transport.write(control_protocol.encode_head(**reply.head))
        self._rows = reply.rows
        self.transport.registerProducer(self, False)

    def _write_error(self, error: InvalidRequest) -> None:
        if not self.connected:
            return
        self.transport.write(control_protocol.encode_error(error.reason))
        self._busy = False
        if error.fatal:
            self.transport.loseConnection()
            return
        self._answer_next()

    def resumeProducing(self) -> None:
        """Writes the next rows, or the end of the reply."""
        self.resetTimeout()  # type: ignore[no-untyped-call]
        lines = []
        for row in self._rows or ():
            lines.append(control_protocol.encode_line(row))
            if len(lines) >= ROWS_PER_WRITE:
                self.transport.write(b"".join(lines))
                return
        self.transport.write(b"".join(lines) + control_protocol.END_LINE)
        self.transport.unregisterProducer()
        self._rows, self._busy = None, False
        self._answer_next()

    def stopProducing(self) -> None:
        """Writes no further rows."""
        self._rows = None

    def timeoutConnection(self) -> None:
        """Ends a connection on which nothing moves."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Forgets the connection."""
        self._factory.connections.discard(self)
        self.connected, self._rows = 0, None
        self.setTimeout(None)  # type: ignore[no-untyped-call]


class ControlFactory(Factory):
    """All connections of the control socket."""

    noisy = False

    def __init__(self, handler: RequestHandler) -> None:
        self.handler, self.connections = handler, set[ControlConnection]()

    def buildProtocol(self, addr: Any) -> ControlConnection:
        """Accepts a connection."""
        return ControlConnection(self)


def listen(reactor: Any, path: str, handler: RequestHandler) -> Any:
    """Listens, for the own user alone, and returns the port; raises ControlSocketError.

    A socket left by a process that died is replaced, one on which a program answers is not.
    """
    _remove_dead_socket(path)
    umask_before = os.umask(SOCKET_UMASK)
    try:
        return reactor.listenUNIX(path, ControlFactory(handler), mode=SOCKET_MODE)
    except (CannotListenError, OSError) as error:
        raise ControlSocketError(f"{path}: {error}") from error
    finally:
        os.umask(umask_before)


def _remove_dead_socket(path: str) -> None:
    with contextlib.suppress(OSError):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX) as probe:
            probe.settimeout(PROBE_TIMEOUT_S)
            try:
                probe.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)
                return
        raise ControlSocketError(f"{path}: another program listens there")


def send_request(path: str, operation: str, **values: Any) -> tuple[Row, list[Row]]:
    """Asks a running instance: the head of its reply and all rows. Blocks; for the command line.

    Raises ControlSocketError where it cannot be reached, RequestError where it does not answer the request.
    """
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(IDLE_TIMEOUT_S)
            connection.connect(path)
            connection.sendall(control_protocol.encode_request(operation, **values))
            with connection.makefile("rb") as file:
                head = json.loads(file.readline() or b"{}")
                if not head.get("ok"):
                    raise RequestError(str(head.get("why", "the connection ended")))
                rows = list[Row]()
                for line in file:
                    row = cast(Row, json.loads(line))
                    if row == control_protocol.END_ROW:
                        return head, rows
                    rows.append(row)
    except (OSError, ValueError) as error:
        raise ControlSocketError(f"{path}: {error}") from error
    raise ControlSocketError(f"{path}: the answer stopped short")
