"""The client of the discovery service, which polls it for changes of the engine list."""

from __future__ import annotations

import random
from collections.abc import Generator, Mapping
from dataclasses import replace
from enum import Enum, auto
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from vanerelay.extension import DiscoveryAnswerListener, ListListener
from vanerelay.net import discovery_codec
from vanerelay.net.buffers import BufferPool
from vanerelay.net.discovery_connection import MAX_SILENCE_S, POLL_WAIT_MS, DiscoveryConnection

CONNECT_TIMEOUT_S = 1.0
"""Upper limit of the connect timeout, also where the one for engines is longer."""
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0
"""The wait after a failure, doubled with each further one, with a random reduction by up to half."""
MAX_DOUBLINGS = 8
MIN_POLL_INTERVAL_S = 0.5
"""After an answer without events in less time the next poll is delayed, as the service did not wait."""
MAX_OVERDUE_POLLS = 4
"""The overdue polls whose answers are still awaited beside the next poll.

The answers of a service that takes 7 s for each are then all awaited, and a change is known as soon as a poll
that was sent after it can tell.
"""
HTTP_OK = 200

Address = tuple[str, int]

log = structlog.get_logger()


class DiscoveryState(Enum):
    """How the discovery service answers, as the log reports it."""

    WORKING = auto()
    SLOW = auto()
    """Answers come, but later than asked for."""
    FAILING = auto()


class Poll:
    """One poll that is under way.

    Attributes:
        address: The address that is polled.
        connection: The connection that it is sent on; None until that is established.
        sent_at: When it was sent, in seconds of the event loop.
        is_overdue: Whether its answer is overdue.
        found_nothing: Whether its answer came with no event, sooner than asked for.
        running: Carries the poll out, and cancels it.
    """

    def __init__(self, address: Address, connection: DiscoveryConnection | None) -> None:
        self.address = address
        self.connection = connection
        self.sent_at = 0.0
        self.is_overdue = False
        self.found_nothing = False
        self.running: Deferred[None] | None = None

    def drop(self) -> None:
        """Cancels the poll, and aborts its connection."""
        if self.running is not None:
            self.running.cancel()
        self.abort()

    def abort(self) -> None:
        """Aborts the poll's connection."""
        if self.connection is not None:
            self.connection.abort()


class DiscoveryClient:
    """Polls the discovery service, and passes on each change once.

    A poll whose answer is overdue is repeated on another connection, as the one that it was sent on may be
    dead. Its answer is still awaited, so that a slow service is heard as well: whichever comes first counts.
    """

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
        self._polls = list[Poll]()  # under way, the oldest first
        self._current: Poll | None = None  # the newest of them unless that is overdue
        self._next_poll: Any = None  # the timer of the next poll
        self._reserved: DiscoveryConnection | None = None  # for the next poll
        self._event_numbers = discovery_codec.EventNumbers()
        self._stopped = False
        self._failures = 0
        self._state = DiscoveryState.WORKING
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
        self._begin_poll(self._address)

    def change_address(self, address: str) -> None:
        """Polls another address, starting at once.

        The event numbers continue, so events in an answer that was under way are sent again. The pending
        polls are cancelled, as they may hang until their timeout.
        """
        new_address = discovery_codec.parse_address(address)
        if self._stopped or new_address == self._address:
            return
        log.info("discovery address changed", address=address)
        self._previous_address, self._address = self._address, new_address
        self._cancel_polls()
        self.start()

    def stop(self) -> None:
        """Stops polling."""
        self._stopped = True
        self._cancel_polls()

    def _cancel_polls(self) -> None:
        self._cancel_next_poll()
        for poll in list(self._polls):
            self._drop(poll)

    def _cancel_next_poll(self) -> None:
        if self._next_poll is not None and self._next_poll.active():
            self._next_poll.cancel()
        if self._reserved is not None:
            self._reserved.abort()
            self._reserved = None

    def _schedule_poll(
        self, delay_s: float, address: Address, connection: DiscoveryConnection | None
    ) -> None:
        self._cancel_next_poll()
        self._reserved = connection
        self._next_poll = self._reactor.callLater(delay_s, self._begin_poll, address)

    def _drop(self, poll: Poll) -> None:
        self._remove(poll)
        poll.drop()

    def _remove(self, poll: Poll) -> None:
        self._polls.remove(poll)
        if poll is self._current:
            self._current = None

    def _begin_poll(self, address: Address) -> None:
        """Sends a poll, on the reserved connection if it is usable, else on a new one."""
        connection, self._reserved = self._reserved, None
        usable = connection is not None and connection.usable
        self._current = poll = Poll(address, connection if usable else None)
        self._polls.append(poll)
        poll.running = self._run(poll)
        poll.running.addErrback(_log_failure)

    @inlineCallbacks
    def _run(self, poll: Poll) -> Generator[Deferred[Any], Any, None]:
        try:
            problem = yield self._poll(poll)
        except CancelledError:
            return
        except Exception as error:  # a refused or timed-out connect, or an error in a listener
            problem = f"{type(error).__name__}: {error}"
        if poll not in self._polls:
            return
        was_current = poll is self._current
        self._remove(poll)
        if problem is None:
            self._poll_answered(poll)
            return
        poll.abort()
        if was_current:
            self._failures += 1
            self._poll_failed(problem, poll.address)

    def _poll_answered(self, poll: Poll) -> None:
        """Sends the next poll, unless a newer one than the answered one is under way in time."""
        self._failures = 0
        at_new_address = poll.address == self._address
        if at_new_address:
            self._previous_address = None
            self._enter_answered_state(poll)
            for other in [other for other in self._polls if other.address != self._address]:
                self._drop(other)
        if self._current is not None or not at_new_address:
            poll.abort()
        if self._current is not None:
            return
        # The previous address is polled only after failures of the new one.
        pause_s = self._randomness.uniform(0.5, 1.0) * MIN_POLL_INTERVAL_S if poll.found_nothing else 0.0
        self._schedule_poll(pause_s, self._address, poll.connection if at_new_address else None)

    def _enter_answered_state(self, poll: Poll) -> None:
        took_s = self._reactor.seconds() - poll.sent_at
        is_late = poll.is_overdue and took_s > POLL_WAIT_MS / 1000 + MAX_SILENCE_S
        self._enter_state(DiscoveryState.SLOW if is_late else DiscoveryState.WORKING)

    def _poll_overdue(self, poll: Poll) -> None:
        """Keeps the poll, or drops it if enough older ones are awaited, and schedules the next one."""
        poll.is_overdue = True
        if poll is not self._current:
            return
        self._current = None
        if len(self._polls) > MAX_OVERDUE_POLLS:
            self._drop(poll)
            self._failures += 1
        elif self._state is DiscoveryState.SLOW:  # its answers are expected late
            self._schedule_poll(0.0, self._next_address(poll.address), None)
            return
        self._poll_failed("answer overdue", poll.address)

    def _poll_failed(self, problem: str, address: Address) -> None:
        """Schedules the next poll after a backoff."""
        self._enter_state(DiscoveryState.FAILING, problem)
        self._schedule_poll(self._backoff_s(), self._next_address(address), None)

    def _enter_state(self, state: DiscoveryState, problem: str = "") -> None:
        """Logs a change of how the service answers."""
        if state is self._state:
            return
        self._state = state
        if state is DiscoveryState.FAILING:
            log.warning("discovery poll failed", why=problem)
        elif state is DiscoveryState.SLOW:
            log.warning("discovery polls succeed, but their answers are overdue")
        else:
            log.info("discovery polls succeed again")

    def _backoff_s(self) -> float:
        """Returns the random wait after a failure in seconds: hundreds of gateways must not retry in step."""
        doubled = FIRST_BACKOFF_S * 2.0 ** min(max(0, self._failures - 1), MAX_DOUBLINGS)
        return min(MAX_BACKOFF_S, doubled) * self._randomness.uniform(0.5, 1.0)

    def _next_address(self, failed: Address) -> Address:
        """Returns the address to poll after a failure: the new address may be wrong, or not served yet."""
        return (
            self._previous_address
            if self._previous_address is not None and failed == self._address
            else self._address
        )

    @inlineCallbacks
    def _poll(self, poll: Poll) -> Generator[Deferred[Any], Any, str | None]:
        """Carries out a poll. Returns a description of the problem with it; None if there is none."""
        host, port = poll.address
        if poll.connection is None:
            endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=self._connect_s)
            factory: Any = Factory.forProtocol(lambda: DiscoveryConnection(self._reactor, self._pool))
            poll.connection = yield endpoint.connect(factory)
        connection = poll.connection
        assert connection is not None
        last_applied, started_at = self._event_numbers.last_applied, self._reactor.seconds()
        poll.sent_at = started_at
        request = discovery_codec.request(f"{host}:{port}", last_applied, POLL_WAIT_MS)
        grace_s = 0.0 if self._state is DiscoveryState.SLOW else MAX_SILENCE_S
        reply = yield connection.poll(request, lambda: self._poll_overdue(poll), grace_s)
        if isinstance(reply, discovery_codec.Unreadable):
            return reply.why
        if not reply.keep_alive:
            connection.abort()
        if reply.status != HTTP_OK:
            return f"status {reply.status}"
        problem = self.apply(reply.body)
        if problem is not None:
            return problem
        self._up_to_date_at = max(self._up_to_date_at, started_at)
        if self._on_answer is not None:
            self._on_answer()
        took_s = self._reactor.seconds() - started_at
        poll.found_nothing = self._event_numbers.last_applied == last_applied and took_s < MIN_POLL_INTERVAL_S
        return None


def _log_failure(failure: Failure) -> None:
    log.error("error in the discovery client", fault=failure.getTraceback())
