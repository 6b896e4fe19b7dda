"""RPC between gateways: requests and replies over Twisted's AMP, on connections that are kept while in use.

One AMP command carries requests of all kinds, by name. A kind that the other side does not know is answered
with an error of its own, so that releases side by side do each other no harm. docs/design/fleet.md compares
this with gRPC.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.internet.protocol import Factory
from twisted.protocols import amp
from twisted.python.failure import Failure

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

MAX_OPENED_CONNECTIONS = 16
"""Connections to other gateways; past these the least recently used is closed."""

MAX_ACCEPTED_CONNECTIONS = 64
"""Connections from other gateways; past these the least recently used is closed."""

LISTEN_RETRY_S = 0.1
"""Seconds between attempts to listen, while a predecessor of this process still does."""

MIN_CONNECT_TIMEOUT_S = 1.0
"""Seconds that a connection may take to open, where the request itself waits for less."""

log = structlog.get_logger()


class RpcError(Exception):
    """A request got no usable reply; the subclass says why."""


class UnknownKindError(RpcError):
    """The other side does not know this kind of request."""


class RequestRefusedError(RpcError):
    """The other side knows the request and refuses it; the message says why, in one line."""


class NoReplyError(RpcError):
    """No reply in time, or no connection: whether the request was received is not known."""


class Call(amp.Command):
    """Carries one request of any kind. Its name on the wire is that of earlier releases."""

    commandName = b"Say"
    arguments = [(b"kind", amp.Unicode()), (b"body", amp.String())]  # type: ignore[no-untyped-call]
    response = [(b"body", amp.String())]  # type: ignore[no-untyped-call]
    errors = {UnknownKindError: b"UNKNOWN", RequestRefusedError: b"REFUSED"}


Handler = Callable[[bytes], "bytes | Deferred[bytes]"]
"""Answers the body of a request with the body of its reply, or raises RequestRefusedError."""


class RpcConnection(amp.AMP):
    """One connection. A protocol error of the other side ends it and is logged without a traceback."""

    transport: Any

    def __init__(self, node: RpcNode) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._node, self.lost, self.pending_calls = node, False, 0

    @Call.responder
    def handle_call(self, kind: str, body: bytes) -> Deferred[dict[str, bytes]]:
        """Answers a request of the other side."""
        self._node.connection_used(self)
        handler = self._node.handlers.get(kind)
        if handler is None:
            raise UnknownKindError(kind)
        reply: Deferred[bytes] = maybeDeferred(handler, body)  # type: ignore[call-overload]
        return reply.addCallback(lambda reply_body: {"body": reply_body})

    def unhandledError(self, failure: Any) -> None:
        """Ends the connection, as AMP asks for after an error that has no code."""
        log.warning("rpc connection aborted", why=failure.getErrorMessage())
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = CONNECTION_DONE) -> None:
        """Fails the requests that wait for a reply."""
        self.lost = True
        self._node.connection_lost(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class RpcNode(Factory):
    """All connections of one gateway: those it opened, by address, and those it accepted."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.handlers = dict[str, Handler]()
        # Both with the least recently used first.
        self._opened: OrderedDict[str, RpcConnection] = OrderedDict()
        self._accepted: OrderedDict[RpcConnection, None] = OrderedDict()
        self._port: Any = None
        self._stopped = self._listen_failed = False

    # Requests of others.

    def listen(self, address: str, then: Callable[[], None] = lambda: None) -> None:
        """Listens as soon as nobody else does at that address; calls `then` afterwards."""
        if self._stopped:
            return
        host, _, port = address.rpartition(":")
        try:
            self._port = self.reactor.listenTCP(int(port), self, interface=host)
        except CannotListenError as error:
            if not self._listen_failed:
                log.warning("fleet listener not available yet", why=str(error))
            self._listen_failed = True
            self.reactor.callLater(LISTEN_RETRY_S, self.listen, address, then)
            return
        self._listen_failed = False
        then()

    def buildProtocol(self, addr: Any) -> RpcConnection:
        """Accepts a connection."""
        connection = RpcConnection(self)
        self._accepted[connection] = None
        if len(self._accepted) > MAX_ACCEPTED_CONNECTIONS:
            oldest, _ = self._accepted.popitem(last=False)
            oldest.transport.loseConnection()
        return connection

    def connection_used(self, connection: RpcConnection) -> None:
        """A request came in on a connection."""
        if connection in self._accepted:
            self._accepted.move_to_end(connection)

    def connection_lost(self, connection: RpcConnection) -> None:
        """A connection has ended."""
        self._accepted.pop(connection, None)
        self.release_connection(connection)

    # Requests of our own.

    def call(self, address: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request; fires with the body of the reply, or fails with an RpcError."""
        pending = _PendingCall(self, address, timeout_s)
        self._connect(address, timeout_s).addCallbacks(
            lambda found: pending.send(found, kind, body), pending.failed
        )
        return pending.result

    def release_connection(self, connection: RpcConnection) -> None:
        """Sends no further request over a connection."""
        for address, other in list(self._opened.items()):
            if other is connection:
                del self._opened[address]

    def _connect(self, address: str, timeout_s: float) -> Deferred[RpcConnection]:
        connection = self._opened.get(address)
        if connection is not None and not connection.lost:
            self._opened.move_to_end(address)
            return succeed(connection)
        host, _, port = address.rpartition(":")
        timeout_s = max(MIN_CONNECT_TIMEOUT_S, timeout_s)
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=timeout_s)
        opening: Deferred[RpcConnection] = connectProtocol(endpoint, RpcConnection(self))  # type: ignore[no-untyped-call]
        return opening.addCallback(self._connected, address)

    def _connected(self, connection: RpcConnection, address: str) -> RpcConnection:
        if self._stopped:
            connection.transport.loseConnection()
            return connection
        self._opened[address] = connection
        while len(self._opened) > MAX_OPENED_CONNECTIONS:
            _, oldest = self._opened.popitem(last=False)
            oldest.transport.loseConnection()
        return connection

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self._stopped = True
        if self._port is not None:
            self._port.stopListening()
        for connection in (*self._opened.values(), *self._accepted):
            if connection.transport is not None:
                connection.transport.abortConnection()


class _PendingCall:
    """One request, from before its connection is open until its reply, its error or its timeout."""

    def __init__(self, node: RpcNode, address: str, timeout_s: float) -> None:
        self.result: Deferred[bytes] = Deferred()
        self._node, self._address, self._timeout_s = node, address, timeout_s
        self._connection: RpcConnection | None = None  # while the request is in flight
        self._timer = node.reactor.callLater(timeout_s, self._timed_out)

    def send(self, connection: RpcConnection, kind: str, body: bytes) -> None:
        """The connection is open: sends the request over it, unless it is too late."""
        if self.result.called:
            return
        self._connection = connection
        connection.pending_calls += 1
        reply: Deferred[dict[str, bytes]] = connection.callRemote(  # type: ignore[no-untyped-call]
            Call, kind=kind, body=body
        )
        reply.addCallbacks(lambda arguments: self._end(arguments["body"]), self.failed)

    def failed(self, failure: Any) -> None:
        """The other side answered with an error, or there is no connection."""
        if failure.check(UnknownKindError, RequestRefusedError):
            self._end(failure.value)
        else:
            self._end(NoReplyError(f"{self._address}: {failure.getErrorMessage()}"))

    def _timed_out(self) -> None:
        """The next request goes over a new connection; this one ends once nothing else waits on it."""
        connection = self._connection
        if connection is not None:
            self._node.release_connection(connection)
            if connection.pending_calls == 1:
                connection.transport.abortConnection()
        self._end(NoReplyError(f"nothing came from {self._address} within {self._timeout_s:.1f} s"))

    def _end(self, outcome: bytes | RpcError) -> None:
        if self._timer.active():
            self._timer.cancel()
        if self._connection is not None:
            self._connection.pending_calls -= 1
            self._connection = None
        if self.result.called:
            return
        if isinstance(outcome, RpcError):
            self.result.errback(outcome)
        else:
            self.result.callback(outcome)
