"""Links between managers: questions and answers over Twisted's AMP, on connections that are kept while in
use.

One command carries all kinds of question, by name: a kind that the other side does not know is answered as
that, and neither side is the worse for it. Weighed against gRPC in docs/design/fleet.md."""

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

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()

MOST = 16  # connections that are kept to others
ACCEPTED = 64  # and from others: the longest unused goes
AGAIN_S = 0.1  # between tries to listen, while a process of before still does


class UnknownKindError(Exception):
    """The other side knows no such question."""


class RequestRefusedError(Exception):
    """The other side knows it and will not; why, in one line."""


class NoReplyError(Exception):
    """No answer in time, or no connection: whether it was heard is not known."""


class Call(amp.Command):
    """Carries one request of any kind. Its name on the wire is that of earlier releases."""

    commandName = b"Say"
    arguments = [(b"kind", amp.Unicode()), (b"body", amp.String())]  # type: ignore[no-untyped-call]
    response = [(b"body", amp.String())]  # type: ignore[no-untyped-call]
    errors = {UnknownKindError: b"UNKNOWN", RequestRefusedError: b"REFUSED"}


Handler = Callable[[bytes], "bytes | Deferred[bytes]"]


class RpcConnection(amp.AMP):
    """One connection. Faults of the other side end it; they are no reason for a traceback."""

    transport: Any

    def __init__(self, links: RpcNode) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._links, self.lost, self.asking = links, False, 0

    @Call.responder
    def said(self, kind: str, body: bytes) -> Deferred[dict[str, bytes]]:
        self._links.used(self)
        handler = self._links.handlers.get(kind)
        if handler is None:
            raise UnknownKindError(kind)
        answer: Deferred[bytes] = maybeDeferred(handler, body)  # type: ignore[call-overload]
        return answer.addCallback(lambda told: {"body": told})

    def unhandledError(self, failure: Any) -> None:
        log.warning("a link is ended", why=failure.getErrorMessage())
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = GONE) -> None:
        self.lost = True
        self._links.gone(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class RpcNode(Factory):
    """All links of one manager: those it opened, by address, and those others opened."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.handlers = dict[str, Handler]()
        self._open: OrderedDict[str, RpcConnection] = OrderedDict()  # the longest unused first
        self._accepted: OrderedDict[RpcConnection, None] = OrderedDict()
        self._port: Any = None
        self._stopped = self._waiting = False

    # What others ask.

    def listen(self, address: str, then: Callable[[], None] = lambda: None) -> None:
        """Listens, as soon as nobody else does there; then calls."""
        if self._stopped:
            return
        host, _, port = address.rpartition(":")
        try:
            self._port = self._reactor.listenTCP(int(port), self, interface=host)
        except CannotListenError as fault:
            if not self._waiting:
                log.warning("the fleet cannot reach us yet", why=str(fault))
            self._waiting = True
            self._reactor.callLater(AGAIN_S, self.listen, address, then)
            return
        self._waiting = False
        then()

    def buildProtocol(self, addr: Any) -> RpcConnection:
        link = RpcConnection(self)
        self._accepted[link] = None
        if len(self._accepted) > ACCEPTED:
            oldest, _ = self._accepted.popitem(last=False)
            oldest.transport.loseConnection()
        return link

    def used(self, link: RpcConnection) -> None:
        if link in self._accepted:
            self._accepted.move_to_end(link)

    def gone(self, link: RpcConnection) -> None:
        self._accepted.pop(link, None)
        self._leave(link)

    def _leave(self, link: RpcConnection) -> None:
        for address, other in list(self._open.items()):
            if other is link:
                del self._open[address]

    # What we ask.

    def ask(self, address: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        """Fails with Unknown, Refused or Unanswered."""
        result: Deferred[bytes] = Deferred()
        used = list[RpcConnection]()  # the link it went by, while it is out

        def end(told: Any) -> None:
            if timer.active():
                timer.cancel()
            if used:
                used.pop().asking -= 1
            if not result.called:
                (result.errback if isinstance(told, Exception) else result.callback)(told)

        def late() -> None:
            # The next question goes by a new connection; this one ends once nothing else waits on it.
            for link in used:
                self._leave(link)
                if link.asking == 1:
                    link.transport.abortConnection()
            end(NoReplyError(f"nothing came from {address} within {patience_s:.1f} s"))

        def failed(failure: Any) -> None:
            known = failure.check(UnknownKindError, RequestRefusedError)
            end(failure.value if known else NoReplyError(f"{address}: {failure.getErrorMessage()}"))

        def linked(link: RpcConnection) -> None:
            if result.called:
                return
            used.append(link)
            link.asking += 1
            asked: Deferred[dict[str, bytes]] = link.callRemote(  # type: ignore[no-untyped-call]
                Call, kind=kind, body=body
            )
            asked.addCallbacks(lambda told: end(told["body"]), failed)

        timer = self._reactor.callLater(patience_s, late)
        self._link(address, patience_s).addCallbacks(linked, failed)
        return result

    def _link(self, address: str, patience_s: float) -> Deferred[RpcConnection]:
        link = self._open.get(address)
        if link is not None and not link.lost:
            self._open.move_to_end(address)
            return succeed(link)
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=max(1.0, patience_s))
        opening: Deferred[RpcConnection] = connectProtocol(endpoint, RpcConnection(self))  # type: ignore[no-untyped-call]
        return opening.addCallback(self._opened, address)

    def _opened(self, link: RpcConnection, address: str) -> RpcConnection:
        if self._stopped:
            link.transport.loseConnection()
            return link
        self._open[address] = link
        while len(self._open) > MOST:
            _, oldest = self._open.popitem(last=False)
            oldest.transport.loseConnection()
        return link

    def stop(self) -> None:
        self._stopped = True
        if self._port is not None:
            self._port.stopListening()
        for link in (*self._open.values(), *self._accepted):
            if link.transport is not None:
                link.transport.abortConnection()
