"""The connections to all engines: which one an attempt takes, and when they are closed."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import islice
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.attempt import Attempt
from vanerelay.net.buffers import BufferPool
from vanerelay.net.engine_connection import NOT_SENT, ConnectionSettings, EngineConnection
from vanerelay.net.events import EventLog

MAX_DROPPED = 2500
"""Engines dropped in one sweep: a list may lose ten thousand at once."""

log = structlog.get_logger()


class EngineProcess:
    """One engine process at its address, and its connections.

    What befalls a connection befalls all that is open on it, and each costs time to read from: so there are
    as many as attempts on each, the emptiest taken first, as long as the engine's part of the descriptors
    lasts. A connection for every attempt took twice the CPU, and at 900 queries a second all there was.
    """

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        host: str,
        port: int,
        settings: ConnectionSettings,
        after_recent_poll: Callable[[Callable[[], None]], None],
        events: EventLog,
    ) -> None:
        self.reactor = reactor
        self.pool = pool
        self.host = host
        self.port = port
        self.settings = settings
        self.after_recent_poll = after_recent_poll
        self.events = events
        self.connections: list[EngineConnection] = []
        self.warned = False

    def connection_for(self, attempt: Attempt, share: int) -> EngineConnection | None:
        """The connection that an attempt takes.

        None: a new one is wanted, as none takes it, or all hold as many as there are connections.

        Args:
            attempt: The attempt.
            share: The engine's part of the descriptors.
        """
        now, emptiest = self.reactor.seconds(), None
        for connection in self.connections:
            if not self._usable(connection, attempt, now):
                continue
            if connection.busy:
                if emptiest is None or connection.busy < emptiest.busy:
                    emptiest = connection
            elif connection.sound():
                return connection
        if emptiest is None or len(self.connections) >= min(share, emptiest.busy + 1):
            return emptiest
        return None

    def _usable(self, connection: EngineConnection, attempt: Attempt, now: float) -> bool:
        if not connection.takes(attempt.ident) or connection in attempt.used_connections:
            return False
        return connection.busy > 0 or now - connection.used_at < self.settings.rest_s

    def connect(self) -> EngineConnection:
        """A new connection, which is coming up."""
        connection = EngineConnection(self)
        self.connections.append(connection)
        return connection

    def sweep(self) -> None:
        """Closes what has been idle so long that the engine is about to."""
        now = self.reactor.seconds()
        for connection in list(self.connections):
            if not connection.busy and now - connection.used_at >= self.settings.rest_s:
                connection.close(False)

    def probe(self, tag: bytes) -> None:
        """Writes a health check over its first connection, if it has one."""
        if self.connections:
            self.connections[0].probe(tag)

    def close(self, at_once: bool) -> None:
        """Closes all connections: at once, or each when its last answer is in."""
        for connection in list(self.connections):
            connection.close(at_once)


class EnginePool:
    """The connections to all engines, by the engines' indices."""

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        settings: ConnectionSettings,
        max_connections: int,
        after_recent_poll: Callable[[Callable[[], None]], None],
        events: EventLog | None = None,
    ) -> None:
        """Makes the pool without engines.

        Args:
            reactor: The event loop.
            pool: The buffers for what has been read.
            settings: How connections are used.
            max_connections: How many there may be.
            after_recent_poll: Calls back once no client that has left can be unnoticed for long: only then an
                attempt that waited for its connection begins.
            events: Where closes are logged.
        """
        self._reactor = reactor
        self._pool = pool
        self._settings = settings
        self._max_connections = max_connections
        self._after_recent_poll = after_recent_poll
        self._events = events or EventLog(reactor)
        self._full = False
        self._gone: set[int] = set()
        self._processes: dict[int, EngineProcess] = {}
        self._connected: dict[EngineProcess, None] = {}  # have connections, or had at the last sweep
        self._engine_at: dict[str, int] = {}  # by address
        self._incarnations: dict[int, tuple[str, int]] = {}  # address and start

    def listed(self, engine: int, address: str, started: int, gone: bool) -> None:
        """An entry of the engine list.

        A connection made to one process never serves the next one at its address.
        """
        if gone:
            # What it still runs may yet be answered.
            self._drop(engine, at_once=False)
            return
        self._gone.discard(engine)
        if self._incarnations.get(engine) == (address, started):
            return
        self._drop(engine, at_once=True)
        before = self._engine_at.get(address)
        if before is not None:
            self._drop(before, at_once=True)
        host, _, port = address.rpartition(":")
        self._incarnations[engine], self._engine_at[address] = (address, started), engine
        self._processes[engine] = EngineProcess(
            self._reactor, self._pool, host, int(port), self._settings, self._after_recent_poll, self._events
        )

    def only(self, present: set[int]) -> None:
        """A complete list has come: what it does not name is gone."""
        for engine in self._processes.keys() - present:
            self._drop(engine, at_once=False)

    def _drop(self, engine: int, at_once: bool) -> None:
        process, incarnation = self._processes.get(engine), self._incarnations.get(engine)
        if process is not None:
            process.close(at_once)
            self._gone.add(engine)
        if at_once and incarnation is not None:
            self._processes.pop(engine, None)
            self._gone.discard(engine)
            del self._incarnations[engine]
            if self._engine_at.get(incarnation[0]) == engine:
                del self._engine_at[incarnation[0]]

    def send(self, engine: int, attempt: Attempt, timeout_s: float) -> None:
        """Sends an attempt over one of the engine's connections, or over a new one."""
        process = self._processes.get(engine)
        if process is None:
            self._reactor.callLater(
                0, attempt.end, AttemptEnd(EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED)
            )
            return
        connection = process.connection_for(attempt, self._max_connections // len(self._processes))
        if connection is None and self.connections() >= self._max_connections:
            # Past the descriptors left for engines: the engine is not to blame, and nothing was sent.
            if not self._full:
                log.warning("engine connections at their limit", connections=self._max_connections)
            self._full = True
            self._reactor.callLater(0, attempt.end, NOT_SENT)
            return
        self._full = False
        attempt.timer = self._reactor.callLater(timeout_s, attempt.give_up, EndCause.TIMEOUT)
        if connection is None:
            connection = process.connect()
            self._connected[process] = None
        connection.send(attempt)

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        """Sends a command that is no query, answered under `command_id`. The Deferred never fails."""
        attempt = Attempt(command_id, None, [], arguments)
        self.send(engine, attempt, timeout_s)
        return attempt.done

    def probe(self, engine: int) -> None:
        """Writes a health check to an engine, if it has a connection."""
        process = self._processes.get(engine)
        if process is not None:
            process.probe(b"probe")

    def sweep(self) -> None:
        """Closes what engines are about to close, and drops engines that are gone."""
        for process in list(self._connected):
            process.sweep()
            if not process.connections:
                del self._connected[process]
        for engine in list(
            islice((e for e in self._gone if not self._processes[e].connections), MAX_DROPPED)
        ):
            self._drop(engine, at_once=True)

    def addresses(self) -> dict[int, str]:
        """Where each engine is listed, by its index."""
        return {engine: address for engine, (address, _) in self._incarnations.items()}

    def knows(self, engine: int) -> bool:
        """Whether it is listed, or what it runs may still be answered."""
        return engine in self._processes

    def connections(self) -> int:
        """The number of connections to all engines."""
        return sum(len(process.connections) for process in self._connected)

    def close(self) -> None:
        """Closes all connections now."""
        for process in self._processes.values():
            process.close(True)
