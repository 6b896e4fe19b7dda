"""All engines: which connection an attempt takes, and when connections and engines are let go of."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import islice
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.buffers import Pool
from vanerelay.net.engine_connection import Attempt, ConnectionSettings, EngineConnection
from vanerelay.net.events import EventLog

DROPPED = 2500  # engines let go of in one sweep: a list may lose ten thousand at once

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
        pool: Pool,
        host: str,
        port: int,
        settings: ConnectionSettings,
        when_fresh: Callable[[Callable[[], None]], None],
        events: EventLog,
    ) -> None:
        self.events = events
        self.reactor, self.host, self.port, self.pool = reactor, host, port, pool
        self.settings, self.when_fresh = settings, when_fresh
        self.connections: list[EngineConnection] = []
        self.warned = False  # of what it answered, once in its life

    def connection_for(self, attempt: Attempt, share: int) -> EngineConnection | None:
        """None: a new one is wanted, as none takes it, or all hold as many as there are connections."""
        now, best = self.reactor.seconds(), None
        for connection in self.connections:
            if (
                connection.takes(attempt.ident)
                and connection not in attempt.used
                and (connection.busy or now - connection.used_at < self.settings.rest_s)
            ):
                if not connection.busy and connection.sound():
                    return connection
                if not connection.busy:
                    continue
                best = connection if best is None or connection.busy < best.busy else best
        return best if best is None or len(self.connections) >= min(share, best.busy + 1) else None

    def call(self) -> EngineConnection:
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
        if self.connections:
            self.connections[0].probe(tag)

    def close(self, at_once: bool) -> None:
        for connection in list(self.connections):
            connection.close(at_once)


class EnginePool:
    """All engines by the module's indices."""

    def __init__(
        self,
        reactor: Any,
        pool: Pool,
        settings: ConnectionSettings,
        connections: int,
        when_fresh: Callable[[Callable[[], None]], None],
        events: EventLog | None = None,
    ) -> None:
        """`connections`: the most there may be. `when_fresh` calls back once no client that has left can be
        unnoticed for long: only then an attempt that waited for its connection begins."""
        self._reactor, self._pool, self._settings, self._when_fresh = reactor, pool, settings, when_fresh
        self._connections, self._full = connections, False
        self._events = events or EventLog(reactor)
        self._gone: set[int] = set()
        self._processes: dict[int, EngineProcess] = {}
        self._called: dict[EngineProcess, None] = {}  # those that have connections, or had when last swept
        self._addresses: dict[str, int] = {}
        self._lives: dict[int, tuple[str, int]] = {}

    def listed(self, engine: int, address: str, started: int, gone: bool) -> None:
        """A connection of the list. A connection made to one process never serves the next at its address."""
        if gone:
            # What it still runs may yet be answered.
            self._drop(engine, at_once=False)
            return
        self._gone.discard(engine)
        if self._lives.get(engine) == (address, started):
            return
        self._drop(engine, at_once=True)
        before = self._addresses.get(address)
        if before is not None:
            self._drop(before, at_once=True)
        host, _, port = address.rpartition(":")
        self._lives[engine], self._addresses[address] = (address, started), engine
        self._processes[engine] = EngineProcess(
            self._reactor, self._pool, host, int(port), self._settings, self._when_fresh, self._events
        )

    def only(self, there: set[int]) -> None:
        """A whole list: what it does not name is gone."""
        for engine in self._processes.keys() - there:
            self._drop(engine, at_once=False)

    def _drop(self, engine: int, at_once: bool) -> None:
        process, life = self._processes.get(engine), self._lives.get(engine)
        if process is not None:
            process.close(at_once)
            self._gone.add(engine)
        if at_once and life is not None:
            self._processes.pop(engine, None)
            self._gone.discard(engine)
            del self._lives[engine]
            if self._addresses.get(life[0]) == engine:
                del self._addresses[life[0]]

    def send(self, engine: int, attempt: Attempt, time_out_s: float) -> None:
        process = self._processes.get(engine)
        if process is None:
            self._reactor.callLater(
                0, attempt.end, AttemptEnd(EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED)
            )
            return
        connection = process.connection_for(attempt, self._connections // len(self._processes))
        if connection is None and self.connections() >= self._connections:
            # Past the descriptors left for engines: the engine is not to blame, and nothing was sent.
            if not self._full:
                log.warning("engines hold their share of the descriptors", connections=self._connections)
            self._full = True
            self._reactor.callLater(0, attempt.end, AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED))
            return
        self._full = False
        attempt.timer = self._reactor.callLater(time_out_s, attempt.give_up, EndCause.TIMEOUT)
        if connection is None:
            connection, self._called[process] = process.call(), None
        connection.send(attempt)

    def order(
        self, engine: int, words: Sequence[bytes], ident: bytes, patience_s: float
    ) -> Deferred[AttemptEnd]:
        """A command that is no query, answered under `ident`. The Deferred never fails."""
        attempt = Attempt(ident, None, [], words)
        self.send(engine, attempt, patience_s)
        return attempt.done

    def probe(self, engine: int) -> None:
        process = self._processes.get(engine)
        if process is not None:
            process.probe(b"probe")

    def sweep(self) -> None:
        for process in list(self._called):
            process.sweep()
            if not process.connections:
                del self._called[process]
        for engine in list(islice((e for e in self._gone if not self._processes[e].connections), DROPPED)):
            self._drop(engine, at_once=True)

    def addresses(self) -> dict[int, str]:
        """Where each engine is listed, by the module's index."""
        return {engine: life[0] for engine, life in self._lives.items()}

    def knows(self, engine: int) -> bool:
        return engine in self._processes

    def connections(self) -> int:
        return sum(len(process.connections) for process in self._called)

    def close(self) -> None:
        for process in self._processes.values():
            process.close(True)
