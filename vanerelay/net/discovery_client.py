"""The client of the discovery service: the driver that polls it for changes of the engine list."""

from __future__ import annotations

import random
from collections.abc import Generator, Mapping
from dataclasses import replace
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from vanerelay.extension import DiscoveryAnswerListener, ListListener
from vanerelay.net import discovery_codec
from vanerelay.net.buffers import BufferPool

POLL_WAIT_MS = 7_000 - 5_000
"""How long a poll waits for an event.

A change has to be known 7 s after the service has it, and a poll may wait up to 5 s. So long a wait leaves
time for one connection that died silently, for a backoff, a lost connect and the poll after it.
"""
CONNECT_TIMEOUT_S = 1.0
"""The longest that a connect to the service may take, whatever is allowed for engines."""
SILENCE_S = 0.5
"""The time past its wait until an answer has to begin; the same between two of its pieces."""
ANSWER_S = 2.0
"""The time from its first byte until an answer has to be complete."""
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0
"""The wait after a failure, doubled with each; by chance down to half of it."""
MAX_DOUBLINGS = 8
MIN_POLL_INTERVAL_S = 0.5
"""An answer without events that comes earlier did not wait: the next poll does not follow at once."""
HTTP_OK = 200

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

Address = tuple[str, int]
PollResult = discovery_codec.Reply | discovery_codec.Unreadable

log = structlog.get_logger()


class DiscoveryConnection(Protocol):
    """One connection to the service: a poll at a time, and how long its answer may take.

    Attributes:
        usable: Whether it can be polled.
    """

    transport: Any

    def __init__(self, reactor: Any, pool: BufferPool) -> None:
        self._reactor = reactor
        self._pool = pool
        self._reader = discovery_codec.ReplyReader(pool)
        self._reply: Deferred[PollResult] | None = None
        self._timeout: Any = None
        self._complete_by: float | None = None
        self.usable = True

    def poll(self, request: bytes) -> Deferred[PollResult]:
        """Sends a poll. The Deferred never fails."""
        self._reader = discovery_codec.ReplyReader(self._pool)
        self._reply, self._complete_by = Deferred(), None
        self._set_timeout(POLL_WAIT_MS / 1000 + SILENCE_S)
        self.transport.write(request)
        return self._reply

    def dataReceived(self, data: bytes) -> None:
        """Reads on in the answer."""
        if self._reply is None:
            return
        now = self._reactor.seconds()
        if self._complete_by is None:
            self._complete_by = now + ANSWER_S
        self._set_timeout(min(SILENCE_S, max(0.0, self._complete_by - now)))
        self._finish(self._reader.feed(data))

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """The connection is no more, which is the end of some answers."""
        self.usable = False
        if self._reply is not None:
            self._finish(self._reader.ended())
        self._reader.drop()

    def give_up(self) -> None:
        """Closes the connection; a poll that is out fails."""
        self.usable = False
        self._cancel_timeout()
        if self.transport is not None:
            self.transport.abortConnection()

    def _set_timeout(self, timeout_s: float) -> None:
        self._cancel_timeout()
        self._timeout = self._reactor.callLater(timeout_s, self.give_up)

    def _cancel_timeout(self) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()

    def _finish(self, result: PollResult | None) -> None:
        if result is None:
            return
        self._cancel_timeout()
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.callback(result)


class DiscoveryClient:
    """Follows the discovery service, and hands on each change once."""

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        address: str,
        zones: Mapping[str, int],
        machine_kinds: Mapping[str, int],
        connect_s: float,
        randomness: random.Random,
        on_change: ListListener,
        on_answer: DiscoveryAnswerListener | None = None,
    ) -> None:
        """Makes a client that does not poll yet. Raises ValueError where the address is none.

        Args:
            reactor: The event loop.
            pool: The buffers for what has been read.
            address: Host and port of the service.
            zones: The rows of the zones by their names.
            machine_kinds: The rows of the machine kinds by their names.
            connect_s: The time within which a connection has to come up.
            randomness: Spreads what many processes would ask in the same moment.
            on_change: Called for each change of the list.
            on_answer: Called for each answer that could be used, with changes or without.
        """
        self._reactor = reactor
        self._pool = pool
        self._on_change = on_change
        self._on_answer = on_answer
        self._connect_s = min(connect_s, CONNECT_TIMEOUT_S)
        self._randomness = randomness
        self._zones = zones
        self._machine_kinds = machine_kinds
        self._address = discovery_codec.split(address)
        self._former: Address | None = None  # polled in turn, until the address moved to has answered
        self._polling: Deferred[None] | None = None
        self._numbers = discovery_codec.EventNumbers()
        self._stopped = False
        self._failures = 0
        self._working = True
        self._connection: DiscoveryConnection | None = None
        self._current_at = reactor.seconds()  # what the service knew by then was handed on

    def apply(self, data: Any) -> str | None:
        """Hands on what is new in an answer; what is wrong with it, if anything."""
        changes = discovery_codec.parse(data, self._zones, self._machine_kinds)
        if isinstance(changes, discovery_codec.Unreadable):
            return changes.why
        new, gap = self._numbers.take_new(changes)
        within_s = self._reactor.seconds() - self._current_at
        errors = list[Exception]()
        for change in new:
            try:
                self._on_change(change if change.complete else replace(change, within_s=within_s))
            except Exception as error:  # the next ones count all the same: they won't come again
                errors.append(error)
        if errors:
            raise errors[0]
        return "events are missing" if gap else None

    def follow(self) -> None:
        """Begins to poll, and goes on until it is stopped."""
        self._polling = polling = self._poll_on()
        polling.addErrback(_log_failure)

    def move(self, address: str) -> None:
        """Polls another address from now on, and at once.

        The numbers of the events go on, and what was under way comes again. Waiting for the poll that is out
        would take as long as it may hang.
        """
        moved_to = discovery_codec.split(address)
        if self._stopped or moved_to == self._address:
            return
        log.info("discovery address changed", address=address)
        self._former, self._address = self._address, moved_to
        self._break_off()
        self.follow()

    def stop(self) -> None:
        """Polls no more."""
        self._stopped = True
        self._break_off()

    def _break_off(self) -> None:
        polling, self._polling = self._polling, None
        if polling is not None:
            polling.cancel()
        if self._connection is not None:
            self._connection.give_up()
            self._connection = None

    @inlineCallbacks
    def _poll_on(self) -> Generator[Deferred[Any], Any, None]:
        address = self._address
        while not self._stopped:
            try:
                wrong = yield self._poll(address)
            except CancelledError:
                return
            except Exception as error:  # a refused or timed-out connection, or an error in a listener
                wrong = f"{type(error).__name__}: {error}"
            if self._stopped:
                return
            self._note(wrong, address)
            if wrong is None and address == self._address:
                continue
            if self._connection is not None:
                self._connection.give_up()
            if wrong is None:
                address = self._address  # the former one is polled in between alone
                continue
            try:
                yield deferLater(self._reactor, self._backoff_s(), lambda: None)
            except CancelledError:
                return
            address = self._next(address)

    def _note(self, wrong: str | None, address: Address) -> None:
        """Counts failures; each change for the worse or the better is logged once."""
        self._failures = 0 if wrong is None else self._failures + 1
        if wrong is not None and self._working:
            self._working = False
            log.warning("discovery fails", why=wrong)
        elif wrong is None and address == self._address:
            self._former = None
            if not self._working:
                self._working = True
                log.info("discovery works again")

    def _backoff_s(self) -> float:
        """How long nothing is asked after a failure: hundreds of processes must not come back in step."""
        doubled = FIRST_BACKOFF_S * 2.0 ** min(self._failures - 1, MAX_DOUBLINGS)
        return min(MAX_BACKOFF_S, doubled) * self._randomness.uniform(0.5, 1.0)

    def _next(self, failed: Address) -> Address:
        """Where to poll after a failure: the service may have moved to where nobody is, or not yet."""
        return self._former if self._former is not None and failed == self._address else self._address

    @inlineCallbacks
    def _poll(self, address: Address) -> Generator[Deferred[Any], Any, str | None]:
        host, port = address
        if self._connection is None or not self._connection.usable:
            endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=self._connect_s)
            factory: Any = Factory.forProtocol(lambda: DiscoveryConnection(self._reactor, self._pool))
            self._connection = yield endpoint.connect(factory)
        connection = self._connection
        assert connection is not None
        held, began = self._numbers.held, self._reactor.seconds()
        reply = yield connection.poll(discovery_codec.request(f"{host}:{port}", held, POLL_WAIT_MS))
        if isinstance(reply, discovery_codec.Unreadable):
            return reply.why
        if not reply.keep:
            connection.give_up()
        if reply.status != HTTP_OK:
            return f"status {reply.status}"
        wrong = self.apply(reply.body)
        if wrong is not None:
            return wrong
        self._current_at = began
        if self._on_answer is not None:
            self._on_answer()
        if self._numbers.held == held and self._reactor.seconds() - began < MIN_POLL_INTERVAL_S:
            pause_s = self._randomness.uniform(0.5, 1.0) * MIN_POLL_INTERVAL_S
            yield deferLater(self._reactor, pause_s, lambda: None)
        return None


def _log_failure(failure: Failure) -> None:
    log.error("error in the discovery client", fault=failure.getTraceback())
