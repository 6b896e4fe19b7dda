"""The connections to all engines: selection of a connection for each attempt, and closing."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import islice
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.attempt import Attempt
from vanerelay.net.buffers import BufferPool
from vanerelay.net.engine_connection import NOT_SENT, ConnectionSettings, EngineConnection
from vanerelay.net.events import EventLog
from vanerelay.net.memory_budget import MemoryBudget, MemoryUse, unlimited_budget

SHORT_IDLE_S = 1.0
"""The idle time after which a connection is closed if memory is short."""
MAX_REMOVED_PER_SWEEP = 2500
"""Maximum number of engines removed in one sweep: a list may lose ten thousand at once."""

log = structlog.get_logger()


class EngineProcess:
    """One engine process at its address, and its connections.

    A failing connection fails all attempts on it, but every connection costs CPU to read from. As a
    compromise, the number of connections grows with the number of attempts on each, up to the engine's share
    of the descriptors, and the least loaded connection is used first. One connection per attempt took twice
    the CPU, and all of it at 900 queries per second.
    """

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        host: str,
        port: int,
        settings: ConnectionSettings,
        events: EventLog,
        memory: MemoryBudget,
    ) -> None:
        self.reactor = reactor
        self.pool = pool
        self.memory = memory
        self.host = host
        self.port = port
        self.settings = settings
        self.events = events
        self.connections: list[EngineConnection] = []
        self.malformed_answer_logged = False

    def connection_for(self, attempt: Attempt, connection_limit: int) -> EngineConnection | None:
        """Returns the connection to use for an attempt, or None if a new one should be opened.

        A new connection is wanted if no connection can take the attempt, or if each that can has at least as
        many attempts as there are connections and the limit is not reached.

        Args:
            attempt: The attempt.
            connection_limit: The engine's share of the descriptors.
        """
        now, least_loaded = self.reactor.seconds(), None
        for connection in self.connections:
            if not self._usable(connection, attempt, now):
                continue
            if connection.attempt_count:
                if least_loaded is None or connection.attempt_count < least_loaded.attempt_count:
                    least_loaded = connection
            elif connection.is_alive():
                return connection
        if least_loaded is None or len(self.connections) >= min(
            connection_limit, least_loaded.attempt_count + 1
        ):
            return least_loaded
        return None

    def _usable(self, connection: EngineConnection, attempt: Attempt, now: float) -> bool:
        if not connection.can_open(attempt.ident) or connection in attempt.used_connections:
            return False
        return connection.attempt_count > 0 or now - connection.used_at < self.settings.max_idle_s

    def connect(self) -> EngineConnection:
        """Opens a new connection, and returns it before it is established."""
        connection = EngineConnection(self)
        self.connections.append(connection)
        return connection

    def sweep(self) -> None:
        """Closes connections that have been idle for so long that the engine is about to close them.

        If memory is short, connections are closed once they have been idle for `SHORT_IDLE_S`.
        """
        now = self.reactor.seconds()
        is_memory_short = not self.memory.allows(MemoryUse.FRAME, 0)
        max_idle_s = (
            min(SHORT_IDLE_S, self.settings.max_idle_s) if is_memory_short else self.settings.max_idle_s
        )
        for connection in list(self.connections):
            if not connection.attempt_count and now - connection.used_at >= max_idle_s:
                connection.close(False)

    def probe(self, tag: bytes) -> None:
        """Writes a health check on the first connection, if there is one."""
        if self.connections:
            self.connections[0].probe(tag)

    def close(self, at_once: bool) -> None:
        """Closes all connections: at once, or each after its last answer."""
        for connection in list(self.connections):
            connection.close(at_once)


class EnginePool:
    """The connections to all engines, by engine index."""

    def __init__(
        self,
        reactor: Any,
        pool: BufferPool,
        settings: ConnectionSettings,
        max_connections: int,
        events: EventLog | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Creates a pool without engines.

        Args:
            reactor: The event loop.
            pool: The buffers for received bytes.
            settings: How connections are used.
            max_connections: Maximum number of connections to all engines.
            events: The log of connection closes.
            memory: The budget that the connections use; None for one without a limit.
        """
        self._memory = memory or unlimited_budget()
        self._reactor = reactor
        self._pool = pool
        self._settings = settings
        self._max_connections = max_connections
        self._events = events or EventLog(reactor)
        self._limit_logged = False
        self._gone: set[int] = set()
        self._processes: dict[int, EngineProcess] = {}
        self._connected: dict[EngineProcess, None] = {}  # those with connections, now or at the last sweep
        self._engine_at: dict[str, int] = {}  # engine index by address
        self._incarnations: dict[int, tuple[str, int]] = {}  # address and start time by engine index
        self._superseded: dict[int, tuple[str, int]] = {}  # those whose address another engine has taken

    def update_engine(
        self, engine: int, address: str, started: int, gone: bool, draining: bool = False
    ) -> None:
        """Applies an entry of the engine list.

        When another process starts at an address, the connections to the previous one are closed and never
        used for the new one. A late entry of the previous engine does not give it the address back.

        Args:
            engine: The index of the engine.
            address: Host and port of the engine.
            started: The reported start time, which identifies the process.
            gone: Whether the engine has left the list.
            draining: Whether the engine gets no new attempts.
        """
        incarnation = (address, started)
        if gone:
            # Running attempts may still be answered.
            self._superseded.pop(engine, None)
            self._remove(engine, at_once=False)
            return
        self._gone.discard(engine)
        if self._incarnations.get(engine) == incarnation:
            return
        self._remove(engine, at_once=True)
        if draining or self._is_superseded(engine, incarnation):
            return
        previous = self._engine_at.get(address)
        if previous is not None:
            self._superseded[previous] = self._incarnations[previous]
            self._remove(previous, at_once=True)
        self._superseded.pop(engine, None)
        host, _, port = address.rpartition(":")
        self._incarnations[engine], self._engine_at[address] = incarnation, engine
        self._processes[engine] = EngineProcess(
            self._reactor, self._pool, host, int(port), self._settings, self._events, self._memory
        )

    def _is_superseded(self, engine: int, incarnation: tuple[str, int]) -> bool:
        """Returns True if another engine that started later has the address of this one."""
        address, started = incarnation
        holder = self._engine_at.get(address)
        if holder is None:
            return False
        return self._superseded.get(engine) == incarnation or self._incarnations[holder][1] > started

    def retain_engines(self, present: set[int]) -> None:
        """Applies a complete list: engines that are not in it have left."""
        for engine in self._processes.keys() - present:
            self._remove(engine, at_once=False)
        for engine in self._superseded.keys() - present:
            del self._superseded[engine]

    def _remove(self, engine: int, at_once: bool) -> None:
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
        """Sends an attempt on one of the engine's connections, or on a new one."""
        process = self._processes.get(engine)
        if process is None:
            self._reactor.callLater(
                0, attempt.end, AttemptEnd(EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED)
            )
            return
        connection = process.connection_for(attempt, self._max_connections // len(self._processes))
        if connection is None and self.connection_count() >= self._max_connections:
            # No descriptor is left for engines: this is no failure of the engine, and nothing was sent.
            if not self._limit_logged:
                log.warning("engine connections at their limit", connections=self._max_connections)
            self._limit_logged = True
            self._reactor.callLater(0, attempt.end, NOT_SENT)
            return
        self._limit_logged = False
        attempt.timer = self._reactor.callLater(timeout_s, attempt.give_up, EndCause.TIMEOUT)
        if connection is None:
            connection = process.connect()
            self._connected[process] = None
        connection.send(attempt)

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        """Sends a command other than a query, answered under `command_id`. The Deferred never fails."""
        attempt = Attempt(command_id, None, [], arguments)
        self.send(engine, attempt, timeout_s)
        return attempt.done

    def probe(self, engine: int) -> None:
        """Writes a health check to an engine, if there is a connection to it."""
        process = self._processes.get(engine)
        if process is not None:
            process.probe(b"probe")

    def sweep(self) -> None:
        """Closes connections that engines are about to close, and removes engines that have left the list."""
        for process in list(self._connected):
            process.sweep()
            if not process.connections:
                del self._connected[process]
        for engine in list(
            islice((e for e in self._gone if not self._processes[e].connections), MAX_REMOVED_PER_SWEEP)
        ):
            self._remove(engine, at_once=True)

    def addresses(self) -> dict[int, str]:
        """Returns the address of each engine by its index."""
        return {engine: address for engine, (address, _) in self._incarnations.items()}

    def has_engine(self, engine: int) -> bool:
        """Returns True if the engine is listed, or its running attempts may still be answered."""
        return engine in self._processes

    def connection_count(self) -> int:
        """Returns the number of connections to all engines."""
        return sum(len(process.connections) for process in self._connected)

    def close(self) -> None:
        """Closes all connections at once."""
        for process in self._processes.values():
            process.close(True)
