"""The end of a gateway process: the signals that request it, and the steps of a graceful shutdown."""

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
from vanerelay.net.extensions import call_extension
from vanerelay.net.gateway_service import GatewayService

ACCEPT_CONNECTIONS_S, ACCEPT_QUERIES_S = 0.5, 0.7
"""How long new connections and new queries are accepted after SIGTERM.

Clients open new connections for up to 0.4 s, and send requests on open ones for 0.2 s more. The clients'
protocol requires an answer to every request that arrives within 0.7 s.
"""
ANSWERS_CHECK_INTERVAL_S = 0.01
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
PR_SET_PDEATHSIG = 1
"""The option of prctl(2) that sets the signal sent to this process when its parent dies."""

log = structlog.get_logger()


class Termination:
    """Stops the event loop once, however many signals request it."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._requested = False

    def request(self) -> None:
        """Stops the event loop, which begins the graceful shutdown."""
        if not self._requested:
            self._requested = True
            self._reactor.stop()

    def handle_signals(self) -> None:
        """Installs the handlers of the signals that end the process.

        Several signals may arrive, even in one pass of the event loop, and Twisted raises an error if it is
        stopped twice.
        """
        for signal_number in TERMINATION_SIGNALS:
            signal.signal(signal_number, lambda *_: self._reactor.callFromThread(self.request))

    def end_with_parent(self) -> None:
        """Ends this process when its parent dies.

        The supervisor holds the listening socket for clients: without the supervisor no client would reach
        this process.
        """
        import ctypes

        parent = os.getppid()
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGTERM, 0, 0, 0)
        if os.getppid() != parent:  # the parent died before prctl was called
            self._reactor.callWhenRunning(self.request)


def ignore_signals() -> None:
    """Ignores signals from now on. The interpreter removes its handlers when it exits, but keeps SIG_IGN."""
    for signal_number in (signal.SIGHUP, *TERMINATION_SIGNALS):
        signal.signal(signal_number, signal.SIG_IGN)


class GracefulShutdown:
    """Answers all accepted queries; accepts new ones for as long as the clients' protocol requires."""

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
        """Begins to drain. The result fires once all client connections and the extensions have ended."""
        log.info("draining", open=self._service.queries.open_count)
        self._service.draining = True
        self._reactor.callLater(ACCEPT_CONNECTIONS_S, self._refuse_connections)
        self._reactor.callLater(ACCEPT_QUERIES_S, self._refuse_queries)
        self._clients.for_each(lambda client: client.send_go_away())
        for extension in self._extensions:
            call_extension(extension.draining)
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
            self._reactor.callLater(ANSWERS_CHECK_INTERVAL_S, self._await_answers)
            return
        self._discovery.stop()
        # In reverse order, as an extension may depend on earlier ones and has to stop before them.
        stopped = [call_extension(extension.stop) for extension in reversed(self._extensions)]
        self._engines.close()
        pending = [deferred for deferred in stopped if deferred is not None]
        if pending:
            DeferredList(pending, consumeErrors=True).addCallback(lambda _: self._done.callback(None))
        else:
            self._done.callback(None)
