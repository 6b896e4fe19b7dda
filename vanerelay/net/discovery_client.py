"""The client of the discovery service, which polls it for changes of the engine list."""

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
"""Time in milliseconds that the service waits for an event before it answers a poll without any.

A change has to be known here 7 s after the service has it, and a poll may wait up to 5 s. A wait of the
difference leaves time for one connection that died silently, a backoff, a lost connect and the next poll.
"""
CONNECT_TIMEOUT_S = 1.0
"""Upper limit of the connect timeout, also where the one for engines is longer."""
MAX_SILENCE_S = 0.5
"""Maximum time after the wait until an answer begins, and between two pieces of it."""
MAX_ANSWER_S = 2.0
"""Maximum time from the first byte of an answer until it is complete."""
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0
"""The wait after a failure, doubled with each further one, with a random reduction by up to half."""
MAX_DOUBLINGS = 8
MIN_POLL_INTERVAL_S = 0.5
"""After an answer without events in less time the next poll is delayed, as the service did not wait."""
HTTP_OK = 200

CONNECTION_DONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

Address = tuple[str, int]
PollResult = discovery_codec.Reply | discovery_codec.Unreadable

log = structlog.get_logger()


class DiscoveryConnection(Protocol):
    """One connection to the service, with one poll at a time and timeouts for its answer.

    Attributes:
        usable: Whether polls can be sent on it.
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
        self._set_timeout(POLL_WAIT_MS / 1000 + MAX_SILENCE_S)
        self.transport.write(request)
        return self._reply

    def dataReceived(self, data: bytes) -> None:
        """Parses the answer."""
        if self._reply is None:
            return
        now = self._reactor.seconds()
        if self._complete_by is None:
            self._complete_by = now + MAX_ANSWER_S
        self._set_timeout(min(MAX_SILENCE_S, max(0.0, self._complete_by - now)))
        self._finish(self._reader.feed(data))

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Handles the end of the connection, which also ends an answer without a length."""
        self.usable = False
        if self._reply is not None:
            self._finish(self._reader.connection_closed())
        self._reader.drop()

    def abort(self) -> None:
        """Aborts the connection; a pending poll fails."""
        self.usable = False
        self._cancel_timeout()
        if self.transport is not None:
            self.transport.abortConnection()

    def _set_timeout(self, timeout_s: float) -> None:
        self._cancel_timeout()
        self._timeout = self._reactor.callLater(timeout_s, self.abort)

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
    """Polls the discovery service, and passes on each change once."""

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
        """Creates a client that does not poll yet.

        Args:
            reactor: The event loop.
            pool: The buffers for received bytes.
            address: Host and port of the service.
            zones: The indices of the zones by their names.
            machine_kinds: The indices of the machine kinds by their names.
            connect_s: The connect timeout in seconds.
            randomness: Spreads the polls of many gateways over time.
            on_change: Called for each change of the list.
            on_answer: Called for each valid answer, with changes or without.

        Raises:
            ValueError: If the address is not an IPv4 address with a port.
        """
        self._reactor = reactor
        self._pool = pool
        self._on_change = on_change
        self._on_answer = on_answer
        self._connect_s = min(connect_s, CONNECT_TIMEOUT_S)
        self._randomness = randomness
        self._zones = zones
        self._machine_kinds = machine_kinds
        self._address = discovery_codec.parse_address(address)
        self._previous_address: Address | None = None  # polled alternately until the new address has answered
        self._polling: Deferred[None] | None = None
        self._event_numbers = discovery_codec.EventNumbers()
        self._stopped = False
        self._failures = 0
        self._working = True
        self._connection: DiscoveryConnection | None = None
        self._up_to_date_at = reactor.seconds()  # all changes known to the service by then were passed on

    def apply(self, data: Any) -> str | None:
        """Passes on the new changes in an answer.

        Returns:
            A description of the problem with the answer; None if there is none.
        """
        changes = discovery_codec.parse(data, self._zones, self._machine_kinds)
        if isinstance(changes, discovery_codec.Unreadable):
            return changes.why
        new, gap = self._event_numbers.take_new(changes)
        within_s = self._reactor.seconds() - self._up_to_date_at
        errors = list[Exception]()
        for change in new:
            try:
                self._on_change(change if change.complete else replace(change, within_s=within_s))
            except Exception as error:  # the remaining ones are applied too, as they are not sent again
                errors.append(error)
        if errors:
            raise errors[0]
        return "gap in the event numbers" if gap else None

    def start(self) -> None:
        """Starts polling, until `stop` is called."""
        self._polling = polling = self._poll_loop()
        polling.addErrback(_log_failure)

    def change_address(self, address: str) -> None:
        """Polls another address, starting at once.

        The event numbers continue, so events in an answer that was under way are sent again. The pending poll
        is cancelled, as it may hang until its timeout.
        """
        new_address = discovery_codec.parse_address(address)
        if self._stopped or new_address == self._address:
            return
        log.info("discovery address changed", address=address)
        self._previous_address, self._address = self._address, new_address
        self._cancel_poll()
        self.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopped = True
        self._cancel_poll()

    def _cancel_poll(self) -> None:
        polling, self._polling = self._polling, None
        if polling is not None:
            polling.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    @inlineCallbacks
    def _poll_loop(self) -> Generator[Deferred[Any], Any, None]:
        address = self._address
        while not self._stopped:
            try:
                problem = yield self._poll(address)
            except CancelledError:
                return
            except Exception as error:  # a refused or timed-out connect, or an error in a listener
                problem = f"{type(error).__name__}: {error}"
            if self._stopped:
                return
            self._record_result(problem, address)
            if problem is None and address == self._address:
                continue
            if self._connection is not None:
                self._connection.abort()
            if problem is None:
                address = self._address  # the previous address is polled only after failures of the new one
                continue
            try:
                yield deferLater(self._reactor, self._backoff_s(), lambda: None)
            except CancelledError:
                return
            address = self._next_address(address)

    def _record_result(self, problem: str | None, address: Address) -> None:
        """Counts failures, and logs once when polls start to fail and when they succeed again."""
        self._failures = 0 if problem is None else self._failures + 1
        if problem is not None and self._working:
            self._working = False
            log.warning("discovery poll failed", why=problem)
        elif problem is None and address == self._address:
            self._previous_address = None
            if not self._working:
                self._working = True
                log.info("discovery polls succeed again")

    def _backoff_s(self) -> float:
        """Returns the random wait after a failure in seconds: hundreds of gateways must not retry in step."""
        doubled = FIRST_BACKOFF_S * 2.0 ** min(self._failures - 1, MAX_DOUBLINGS)
        return min(MAX_BACKOFF_S, doubled) * self._randomness.uniform(0.5, 1.0)

    def _next_address(self, failed: Address) -> Address:
        """Returns the address to poll after a failure: the new address may be wrong, or not served yet."""
        return (
            self._previous_address
            if self._previous_address is not None and failed == self._address
            else self._address
        )

    @inlineCallbacks
    def _poll(self, address: Address) -> Generator[Deferred[Any], Any, str | None]:
        host, port = address
        if self._connection is None or not self._connection.usable:
            endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=self._connect_s)
            factory: Any = Factory.forProtocol(lambda: DiscoveryConnection(self._reactor, self._pool))
            self._connection = yield endpoint.connect(factory)
        connection = self._connection
        assert connection is not None
        last_applied, started_at = self._event_numbers.last_applied, self._reactor.seconds()
        reply = yield connection.poll(discovery_codec.request(f"{host}:{port}", last_applied, POLL_WAIT_MS))
        if isinstance(reply, discovery_codec.Unreadable):
            return reply.why
        if not reply.keep_alive:
            connection.abort()
        if reply.status != HTTP_OK:
            return f"status {reply.status}"
        problem = self.apply(reply.body)
        if problem is not None:
            return problem
        self._up_to_date_at = started_at
        if self._on_answer is not None:
            self._on_answer()
        if (
            self._event_numbers.last_applied == last_applied
            and self._reactor.seconds() - started_at < MIN_POLL_INTERVAL_S
        ):
            pause_s = self._randomness.uniform(0.5, 1.0) * MIN_POLL_INTERVAL_S
            yield deferLater(self._reactor, pause_s, lambda: None)
        return None


def _log_failure(failure: Failure) -> None:
    log.error("error in the discovery client", fault=failure.getTraceback())
