"""The end of the program: the signals that begin it, and the graceful shutdown, in its order."""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList

from vanerelay.extension import Extension
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.extensions import guarded
from vanerelay.net.gateway_service import GatewayService

CONNECTIONS_S, REQUESTS_S = 0.5, 0.7
"""How long connections and queries are taken after SIGTERM.

New connections come for up to 0.4 s, and requests on open ones for 0.2 s more; the clients' protocol counts
what comes within 0.7 s.
"""
ANSWERS_CHECK_S = 0.01
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
PARENT_DEATH_SIGNAL = 1
"""The option of prctl that sets the signal which comes when the parent dies."""

log = structlog.get_logger()


class Termination:
    """Ends the event loop once, however often a signal asks for it."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._requested = False

    def request(self) -> None:
        """Ends the event loop, which begins the graceful shutdown."""
        if not self._requested:
            self._requested = True
            self._reactor.stop()

    def handle_signals(self) -> None:
        """Takes the signals that end the program.

        One may come again, also in the same pass, and Twisted takes a second stop for an error.
        """
        for number in TERMINATION_SIGNALS:
            signal.signal(number, lambda *_: self._reactor.callFromThread(self.request))

    def end_with_parent(self) -> None:
        """Ends the program when its parent dies.

        The supervisor holds the socket that clients come by: without it no client would find this process.
        """
        import ctypes

        parent = os.getppid()
        ctypes.CDLL(None, use_errno=True).prctl(PARENT_DEATH_SIGNAL, signal.SIGTERM, 0, 0, 0)
        if os.getppid() != parent:  # it had died already
            self._reactor.callWhenRunning(self.request)


def ignore_signals() -> None:
    """Ignores signals from now on: the interpreter takes its handlers down, but not this."""
    for number in (signal.SIGHUP, *TERMINATION_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


class GracefulShutdown:
    """Answers what was taken, and takes connections and queries for as long as the clients' protocol says."""

    def __init__(
        self,
        reactor: Any,
        service: GatewayService,
        clients: ClientListener,
        discovery: DiscoveryClient,
        engines: EnginePool,
        extensions: Sequence[Extension],
    ) -> None:
        self._reactor = reactor
        self._service = service
        self._clients = clients
        self._discovery = discovery
        self._engines = engines
        self._extensions = extensions
        self._done = Deferred[None]()

    def begin(self) -> Deferred[None]:
        """Begins to drain. Fires once all is answered and the extensions have ended."""
        log.info("draining", open=self._service.queries.open_count)
        self._service.draining = True
        self._reactor.callLater(CONNECTIONS_S, self._refuse_connections)
        self._reactor.callLater(REQUESTS_S, self._refuse_queries)
        self._clients.for_each(lambda client: client.send_go_away())
        for extension in self._extensions:
            guarded(extension.draining)
        return self._done

    def _refuse_connections(self) -> None:
        self._log_step("no new connections from now on")
        self._clients.stop_listening()
        self._clients.for_each(lambda client: client.send_go_away())

    def _refuse_queries(self) -> None:
        self._log_step("no new queries from now on")
        self._reactor.callLater(0, self._await_answers)
        self._clients.for_each(lambda client: client.end_when_answered())

    def _log_step(self, event: str) -> None:
        log.info(event, clients=self._clients.descriptor_count, open=self._service.queries.open_count)

    def _await_answers(self) -> None:
        if self._clients.descriptor_count:
            self._reactor.callLater(ANSWERS_CHECK_S, self._await_answers)
            return
        self._discovery.stop()
        # An extension that depends on others ends before them.
        stopped = [guarded(extension.stop) for extension in reversed(self._extensions)]
        self._engines.close()
        pending = [deferred for deferred in stopped if deferred is not None]
        if pending:
            DeferredList(pending, consumeErrors=True).addCallback(lambda _: self._done.callback(None))
        else:
            self._done.callback(None)
