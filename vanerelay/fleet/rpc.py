"""RPC between gateways: requests and replies over Twisted's AMP, on connections that are reused.

One AMP command carries requests of all kinds, each with the name of its kind. A kind that the peer does not
know is answered with UnknownKindError, so that gateways of different releases can run side by side.
docs/design/fleet.md compares this with gRPC.
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
"""Largest number of connections opened to gateways; past it the least recently used one is closed."""

MAX_ACCEPTED_CONNECTIONS = 64
"""Largest number of connections accepted from gateways; past it the least recently used one is closed."""

LISTEN_RETRY_S = 0.1
"""Time between attempts to listen, while a predecessor of this process still uses the address."""

MIN_CONNECT_TIMEOUT_S = 1.0
"""Shortest timeout for opening a connection, also for a request with a shorter timeout of its own."""

log = structlog.get_logger()


class RpcError(Exception):
    """A request failed; the subclass gives the kind of failure."""


class UnknownKindError(RpcError):
    """The peer does not know this kind of request."""


class RequestRefusedError(RpcError):
    """The peer refused the request; the message gives the reason in one line."""


class NoReplyError(RpcError):
    """No reply within the timeout, or no connection. The peer may or may not have received the request."""


class Call(amp.Command):
    """The AMP command that carries a request of any kind. `commandName` is fixed by earlier releases."""

    commandName = b"Say"
    arguments = [(b"kind", amp.Unicode()), (b"body", amp.String())]  # type: ignore[no-untyped-call]
    response = [(b"body", amp.String())]  # type: ignore[no-untyped-call]
    errors = {UnknownKindError: b"UNKNOWN", RequestRefusedError: b"REFUSED"}


Handler = Callable[[bytes], "bytes | Deferred[bytes]"]
"""Function that returns the body of the reply to a request body, or raises RequestRefusedError."""


class RpcConnection(amp.AMP):
    """A connection to another gateway.

    A protocol error of the peer ends the connection and is logged without a traceback.
    """

    transport: Any

    def __init__(self, node: RpcNode) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._node, self.lost, self.pending_calls = node, False, 0

    @Call.responder
    def handle_call(self, kind: str, body: bytes) -> Deferred[dict[str, bytes]]:
        """Answers a request of the peer with the handler of its kind."""
        self._node.connection_used(self)
        handler = self._node.handlers.get(kind)
        if handler is None:
            raise UnknownKindError(kind)
        reply: Deferred[bytes] = maybeDeferred(handler, body)  # type: ignore[call-overload]
        return reply.addCallback(lambda reply_body: {"body": reply_body})

    def unhandledError(self, failure: Any) -> None:
        """Aborts the connection, as AMP requires after an error that has no error code."""
        log.warning(
            "fleet rpc failed with an unexpected error, aborting the connection",
            why=failure.getErrorMessage(),
        )
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = CONNECTION_DONE) -> None:
        """Fails the requests that wait for a reply on this connection."""
        self.lost = True
        self._node.connection_lost(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class RpcNode(Factory):
    """All connections of one gateway: those it opened, by address, and those it accepted."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.handlers = dict[str, Handler]()
        # Both dictionaries: the least recently used connection first.
        self._opened: OrderedDict[str, RpcConnection] = OrderedDict()
        self._accepted: OrderedDict[RpcConnection, None] = OrderedDict()
        self._port: Any = None
        self._stopped = self._listen_failed = False

    # Requests of other gateways.

    def listen(self, address: str, on_listening: Callable[[], None] = lambda: None) -> None:
        """Listens at `address`, retrying while another process does; then calls `on_listening`."""
        if self._stopped:
            return
        host, _, port = address.rpartition(":")
        try:
            self._port = self.reactor.listenTCP(int(port), self, interface=host)
        except CannotListenError as error:
            if not self._listen_failed:
                log.warning("cannot listen on the fleet address, retrying", why=str(error))
            self._listen_failed = True
            self.reactor.callLater(LISTEN_RETRY_S, self.listen, address, on_listening)
            return
        self._listen_failed = False
        on_listening()

    def buildProtocol(self, addr: Any) -> RpcConnection:
        """Creates the protocol of an accepted connection."""
        connection = RpcConnection(self)
        self._accepted[connection] = None
        if len(self._accepted) > MAX_ACCEPTED_CONNECTIONS:
            oldest, _ = self._accepted.popitem(last=False)
            oldest.transport.loseConnection()
        return connection

    def connection_used(self, connection: RpcConnection) -> None:
        """Marks an accepted connection as most recently used, after a request on it."""
        if connection in self._accepted:
            self._accepted.move_to_end(connection)

    def connection_lost(self, connection: RpcConnection) -> None:
        """Removes a connection that has ended."""
        self._accepted.pop(connection, None)
        self.release_connection(connection)

    # Requests of this gateway.

    def call(self, address: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request; the result fires with the body of the reply, or fails with an RpcError."""
        pending = _PendingCall(self, address, timeout_s)
        self._connect(address, timeout_s).addCallbacks(
            lambda connection: pending.send(connection, kind, body), pending.failed
        )
        return pending.result

    def release_connection(self, connection: RpcConnection) -> None:
        """Excludes a connection from further requests; those in flight on it can still be answered."""
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
    """A request, from the opening of its connection to its reply, error or timeout."""

    def __init__(self, node: RpcNode, address: str, timeout_s: float) -> None:
        self.result: Deferred[bytes] = Deferred()
        self._node, self._address, self._timeout_s = node, address, timeout_s
        self._connection: RpcConnection | None = None  # while the request is in flight
        self._timer = node.reactor.callLater(timeout_s, self._timed_out)

    def send(self, connection: RpcConnection, kind: str, body: bytes) -> None:
        """Sends the request over its open connection, unless the request has timed out."""
        if self.result.called:
            return
        self._connection = connection
        connection.pending_calls += 1
        reply: Deferred[dict[str, bytes]] = connection.callRemote(  # type: ignore[no-untyped-call]
            Call, kind=kind, body=body
        )
        reply.addCallbacks(lambda arguments: self._finish(arguments["body"]), self.failed)

    def failed(self, failure: Any) -> None:
        """Fails the request after an error reply of the peer, or where no connection could be opened."""
        if failure.check(UnknownKindError, RequestRefusedError):
            self._finish(failure.value)
        else:
            self._finish(NoReplyError(f"{self._address}: {failure.getErrorMessage()}"))

    def _timed_out(self) -> None:
        """Fails the request, and lets the next one to this address open a new connection.

        The present connection is aborted if no other request waits on it.
        """
        connection = self._connection
        if connection is not None:
            self._node.release_connection(connection)
            if connection.pending_calls == 1:
                connection.transport.abortConnection()
        self._finish(NoReplyError(f"no reply from {self._address} within {self._timeout_s:.1f} s"))

    def _finish(self, outcome: bytes | RpcError) -> None:
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
