"""The listener for client connections: it limits their descriptors and ends those that are unused."""

from __future__ import annotations

import math
import socket
from collections import OrderedDict
from collections.abc import Callable
from itertools import count, islice
from typing import Any

import structlog
from twisted.internet.protocol import Factory

from vanerelay.clock import Clock
from vanerelay.net.accepting_port import AcceptingPort
from vanerelay.net.backlog_age import BacklogAge
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_connection import ClientConnection, QueryService
from vanerelay.net.events import EventLog
from vanerelay.net.incomplete_frames import IncompleteFrames
from vanerelay.net.listener_statistics import ListenerStatistics
from vanerelay.net.memory_budget import MemoryBudget, unlimited_budget
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.net.read_queue import ReadQueue

CLIENT_IDLE_TIMEOUT_S = 4.0
"""Clients close a connection that has been idle for this long."""
UNUSED_TIMEOUT_S = 2 * CLIENT_IDLE_TIMEOUT_S
"""A connection without an open request that is unused for this long is ended. Clients close idle connections
earlier, so one that is kept for longer has been forgotten.
"""
FRAME_TIMEOUT_S, SWEEP_INTERVAL_S = 2.0, 0.25
"""The time for a complete frame, and the time between two sweeps. A client that sends no complete
frame is ended within 3 s.
"""
MAX_JUDGED_CONNECTIONS = 8
"""The connections that are read to find one to end, for each new connection past the limit.

Hundreds of new connections may come at once, while those before them have much unread.
"""
JUDGING_BUDGET_S = 0.002
"""The time for reading them; a connection with much unread is not idle."""

log = structlog.get_logger()


class ClientListener(Factory):
    """The listener for client connections.

    The ordered dicts serve as ordered sets: the longest unused connection, the connection that has lingered
    longest and the frame that is due first come first.

    Attributes:
        protocol_errors: The rate-limited warning about clients that violate the protocol.
        statistics: The longest pieces of work, for the log.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        service: QueryService,
        pool: BufferPool,
        max_connections: int,
        has_spare_descriptor: Callable[[], bool],
        events: EventLog | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Past `max_connections` a further connection is kept only while a descriptor is spare.

        `memory` is the budget for all connections; None for one without a limit.
        """
        self.reactor = reactor
        self.clock = clock
        self.service = service
        self.pool = pool
        self.events = events or EventLog(reactor)
        self.memory = memory or unlimited_budget()
        self.incomplete_frames = IncompleteFrames(self.memory, reactor.seconds)
        self.statistics = ListenerStatistics()
        self._connection_numbers = count(1)
        self._max_connections = max_connections
        self._has_spare_descriptor = has_spare_descriptor
        self._connections: OrderedDict[ClientConnection, None] = OrderedDict()
        self._lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self._frame_due: OrderedDict[ClientConnection, float] = OrderedDict()
        self._read_queue = ReadQueue(reactor)
        self._being_judged: set[ClientConnection] = set()
        self._port: Any = None
        # The system's queue holds one client more than it is asked to.
        self._backlog_age = BacklogAge(max_connections + 1)
        self.protocol_errors = RateLimitedLog(reactor, "client protocol error")
        self._limit_warning = RateLimitedLog(reactor, "client connections at their limit")
        reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def buildProtocol(self, addr: object) -> ClientConnection:
        """Returns the driver for an accepted connection."""
        return ClientConnection(self, self.connected_after())

    def next_connection_number(self) -> int:
        """Returns the number of a new connection, by which log lines name it."""
        return next(self._connection_numbers)

    def listen(self, host: str, port: int, descriptor: int | None = None) -> None:
        """Opens the port.

        Args:
            host: The address to listen on.
            port: The port number; 0 for any free port.
            descriptor: A socket that is listening already and stays open when this gateway stops listening.
        """
        factory: Any = self
        if descriptor is None:
            self._port = AcceptingPort(port, factory, self._max_connections, host, self.reactor)
        else:
            port_type: Any = AcceptingPort
            self._port = port_type._fromListeningDescriptor(self.reactor, descriptor, socket.AF_INET, factory)
            self._port.backlog = self._max_connections
        self._port.startListening()

    @property
    def descriptor_count(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self._connections) + len(self._lingering)

    def admit(self, connection: ClientConnection) -> bool:
        """Registers a connection, and ends the longest idle one if the limit is exceeded.

        Returns False if no descriptor can be spared.
        """
        self._connections[connection] = None
        self.expect_frame(connection, True)
        self._limit_lingering()
        if len(self._connections) <= self._max_connections:
            return True
        self._limit_warning.warn(connections=len(self._connections))
        # A newer connection may be about to send its first request, so it is ended after all others: ending
        # it earlier made first requests fail.
        new_since = self.reactor.seconds() - SWEEP_INTERVAL_S
        if self._end_silent(new_since):
            return True
        idle = self._longest_idle(new_since)
        if idle is None:
            # All connections are in use or new, and ending the new one would lose what it has sent. It is
            # therefore kept while a descriptor is spare.
            return self._has_spare_descriptor()
        idle.end("idle, descriptor needed for another connection")
        return True

    def _end_silent(self, new_since: float) -> bool:
        """Ends a connection that has never sent a frame, unless it is new. Returns True if one was ended.

        Silent connections are ended before those that have been used, as clients open hundreds that send
        nothing. The socket is read first, as the first request may be waiting there.
        """
        candidates = (connection for connection in self._frame_due if connection.silent)
        for silent in list(islice(candidates, MAX_JUDGED_CONNECTIONS)):
            if silent.used_at >= new_since:
                return False
            if silent.read_waiting() and silent.silent and not silent.ended:
                silent.end("no request sent, descriptor needed for another connection")
                return True
        return False

    def _longest_idle(self, new_since: float) -> ClientConnection | None:
        """Returns the connection that was unused for longest, after reading it; None if none is idle."""
        candidates = (
            connection
            for connection in self._connections
            if not (connection.open or connection.has_backlog)
            and not (connection.silent and connection.used_at >= new_since)
        )
        ends_at = self.reactor.seconds() + JUDGING_BUDGET_S
        for connection in list(islice(candidates, MAX_JUDGED_CONNECTIONS)):
            if self.reactor.seconds() >= ends_at:
                break
            used_at = connection.used_at
            has_no_input = connection.read_waiting()
            if has_no_input and connection.is_resting and connection.used_at == used_at:
                return connection
        return None

    def clients_left_waiting(self) -> None:
        """Records that clients may from now on wait to be accepted, and send input meanwhile."""
        self._backlog_age.left_waiting(self.clock.previous_poll_at)

    def client_accepted(self) -> None:
        """Records that a client was accepted."""
        self._backlog_age.accepted()

    def backlog_emptied(self) -> None:
        """Records that all waiting clients have been accepted."""
        self._backlog_age.emptied()

    def connected_after(self) -> int:
        """Returns a time before which a client that is accepted now had not connected."""
        return self._backlog_age.connected_after(self.clock.previous_poll_at)

    def connections(self) -> list[ClientConnection]:
        """Returns the connections, the longest unused first."""
        return list(self._connections)

    def linger(self, connection: ClientConnection) -> None:
        """Registers that the write side is closed. The descriptor is held until the client closes too."""
        self._connections.pop(connection, None)
        self._frame_due.pop(connection, None)
        self._lingering[connection] = None
        self._limit_lingering()

    def _limit_lingering(self) -> None:
        """Closes lingering connections while the total exceeds the limit, the oldest first.

        Those whose clients have not received all answers are kept while a descriptor is spare.
        """
        excess = self.descriptor_count - self._max_connections
        for connection in list(islice(self._lingering, max(0, excess) + MAX_JUDGED_CONNECTIONS)):
            if excess <= 0:
                break
            if not connection.has_outstanding_output or not self._has_spare_descriptor():
                del self._lingering[connection]
                connection.close()
                excess -= 1

    def mark_used(self, connection: ClientConnection) -> None:
        """Records that the connection was used just now."""
        connection.used_at = self.reactor.seconds()
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def expect_frame(self, connection: ClientConnection, expected: bool) -> None:
        """Starts or stops the timeout for a complete frame; a timeout that runs already is not extended."""
        if not expected:
            self._frame_due.pop(connection, None)
        elif connection not in self._frame_due and connection in self._connections:
            self._frame_due[connection] = self.reactor.seconds() + FRAME_TIMEOUT_S

    def _sweep(self) -> None:
        """Ends connections whose frame is overdue, and those that are unused, after reading them."""
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        now = self.reactor.seconds()
        for connection, due_at in list(self._frame_due.items()):
            if due_at > now:
                break
            self._judge_after_reading(connection, self._end_if_overdue)
        for connection in list(self._connections):
            if now - connection.used_at < UNUSED_TIMEOUT_S:
                break
            if not connection.open and not connection.ended:
                self._judge_after_reading(connection, self._end_if_unused)

    def _judge_after_reading(
        self, connection: ClientConnection, judge: Callable[[ClientConnection], None]
    ) -> None:
        """Calls `judge` once all input of the connection is read.

        After a long pass of the event loop, or a stall of the process, what the connection is judged by may
        still lie in its socket.
        """
        if connection in self._being_judged:
            return
        self._being_judged.add(connection)

        def judge_now() -> None:
            """Judges the connection, whose input has been read."""
            self._being_judged.discard(connection)
            judge(connection)

        connection.after_reading(judge_now)

    def _end_if_overdue(self, connection: ClientConnection) -> None:
        """Ends a connection whose frame is still overdue."""
        if self._frame_due.get(connection, math.inf) <= self.reactor.seconds():
            del self._frame_due[connection]
            connection.end_with_protocol_error("no complete frame in time")

    def _end_if_unused(self, connection: ClientConnection) -> None:
        """Ends a connection that is still unused."""
        if (
            connection in self._connections
            and connection.is_resting
            and self.reactor.seconds() - connection.used_at >= UNUSED_TIMEOUT_S
        ):
            connection.end("idle")

    def read_soon(self, connection: ClientConnection) -> None:
        """Reads the connection soon, but not within this call."""
        self._read_queue.add(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that is closed."""
        self._read_queue.discard(connection)
        self._connections.pop(connection, None)
        self._frame_due.pop(connection, None)
        self._lingering.pop(connection, None)

    def stop_listening(self) -> None:
        """Closes the port, once all waiting clients have been accepted."""
        if self._port is not None:
            self._port.accept_remaining()  # closing resets connections that were not accepted
            self._port.stopListening()
            self._port = None

    def for_each(self, call: Callable[[ClientConnection], None]) -> None:
        """Calls `call` for every connection. An exception is logged and the others are still called."""
        for connection in list(self._connections):
            try:
                call(connection)
            except Exception:
                log.exception("call for a client connection failed")
