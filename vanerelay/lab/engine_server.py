"""Engines of a run on sockets: a thin driver of `EngineModel`, of the caches and of the replication."""

from __future__ import annotations

import random
from typing import Any

from vanerelay.interface import SECOND, Duration
from vanerelay.lab.cache_model import TableCache
from vanerelay.lab.discovery_server import DiscoveryServer, EngineEntry
from vanerelay.lab.engine_model import EngineModel, Job, JobEvent, SlowStart, Submission
from vanerelay.lab.engine_requests import Attempt, Operation, Statement
from vanerelay.lab.engine_session import EngineSession
from vanerelay.lab.event_log import (
    CONNECTION_REFUSED,
    CONNECTION_TAKEN,
    NEVER_RAN_DROPPED,
    NEVER_RAN_REJECTED,
    EngineState,
    EventKind,
)
from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.lab.listener import Listener
from vanerelay.lab.replication_model import ReplicaPosition
from vanerelay.lab.run_context import RunContext
from vanerelay.lab.scenario_config import EngineGroup
from vanerelay.leases.fencing import FencingGate

POSITIONS_PER_PAGE = 200
OPERATION_TIME = SECOND // 50
"""That a leased operation takes an engine."""
DELETED_TO_GONE = SECOND
"""From an engine's leaving the endpoint list to its end."""


class EngineServer:
    """One engine on sockets. Its sessions come through listeners, one for each gateway.

    Attributes:
        listeners: by which gateways reach it.
    """

    def __init__(
        self,
        context: RunContext,
        name: str,
        zone: str,
        group: EngineGroup,
        slow_start: SlowStart,
        seed: int,
        discovery: DiscoveryServer,
        fresh: bool = False,
    ) -> None:
        """`fresh`: it has just started."""
        self._context, self.name, self.group, self.zone = context, name, group, zone
        self._discovery = discovery
        self._fencing_gate = FencingGate()
        self._history = context.history(name)
        self.model = EngineModel(group.machine, slow_start, context.now(), fresh)
        self._random = random.Random(seed)
        self._timer: Any = None
        self._attempts = dict[str, Attempt]()
        self._state, self._started_at = EngineState.SERVING, context.now() if fresh else 0
        self._cache = TableCache(group.cached_table_groups) if group.cached_table_groups else None
        if self._cache is not None:
            context.caches.append(self._cache)
        self.listeners, self._sessions, self._session_count = list[Listener](), set[EngineSession](), 0

    @property
    def entry(self) -> EngineEntry:
        """The engine in the endpoint list."""
        return EngineEntry(self.name, self.group.kind, self.zone, self._state, self._started_at)

    def accept(self, connection: FaultyConnection) -> EngineSession:
        """A gateway has connected; past the machine's limit its connection is reset."""
        self._session_count += 1
        session = EngineSession(self, connection, self._session_count)
        max_connections = self.model.machine.max_connections
        is_full = bool(max_connections) and len(self._sessions) >= max_connections
        detail = CONNECTION_REFUSED if is_full else CONNECTION_TAKEN
        self._context.log(EventKind.CONNECTED, gateway=connection.client, engine=self.name, detail=detail)
        if is_full:
            self._context.call_later(0, connection.reset)
        else:
            self._sessions.add(session)
        return session

    def serve(self, session: EngineSession, ident: bytes, fields: dict[str, str], body: bytes) -> None:
        """Runs a query, or rejects it."""
        attempt = Attempt(session, ident, fields.get("sort", ""), Statement.read(body))
        self._log(EventKind.ARRIVED, attempt, value=float(attempt.statement.work))
        job = self._job(attempt, float(fields.get("pool") or 0))
        self._attempts[job.key] = attempt
        now = self._context.now()
        submission = self.model.submit(now, job)
        if submission is Submission.REJECTED:
            del self._attempts[job.key]
            self._log(EventKind.NEVER_RAN, attempt, detail=NEVER_RAN_REJECTED)
            session.reply(ident, b"BUSY", self._load_report())
        elif submission is Submission.ACCEPTED and self._fails_at_once(attempt):
            self.model.fail(now, job.key)
        self.update()

    def _job(self, attempt: Attempt, granted_mb: float) -> Job:
        statement, machine = attempt.statement, self.model.machine
        work = float(statement.work)
        if self._cache is not None and statement.table >= 0 and not statement.is_load:
            attempt.is_cold_read = statement.table not in self._cache.table_groups
            work += self.group.cold_read_work if attempt.is_cold_read else 0
        return Job(
            attempt.session.key(attempt.ident),
            attempt.session.gateway,
            work,
            statement.threads,
            float(statement.memory_mb),
            min(granted_mb or float(statement.memory_mb), machine.memory_mb),
            self._context.now(),
        )

    def _fails_at_once(self, attempt: Attempt) -> bool:
        if attempt.statement.is_load and self._is_replica:
            return True  # loads end at the source alone
        return bool(self.model.error_rate) and self._random.random() < self.model.error_rate

    def operate(
        self, session: EngineSession, request: bytes, fields: dict[str, str], first_table: int | None = None
    ) -> None:
        """A leased operation: its fencing token is checked before anything is done.

        `first_table`: it asks for replication positions from there on.
        """
        operation, begin = Operation.read(fields), self._history.now()
        checked = operation.task, operation.number, operation.serial, operation.holder
        refusal = self._fencing_gate.refusal(*checked) if self.group.checks_fencing else None
        if self.model.is_down or self.model.is_stalled:
            return  # nobody is there to hear it, or to answer
        if refusal is not None:
            self._history.add("order", begin, result="refused", **operation.row())
            highest_token = self._fencing_gate.highest_token(operation.task)
            session.reply(request, b"ERR", b"number=%d" % highest_token)
            return
        self._fencing_gate.accept(*checked)

        def done() -> None:
            self._history.add("order", begin, result="ok", **operation.row())
            if first_table is None:
                session.reply(request, b"OK", b"total=1")
            else:
                session.reply(request, b"OK", *self._positions(first_table))

        self._context.call_later(OPERATION_TIME, done)

    def _positions(self, first_table: int) -> tuple[bytes, bytes]:
        """Up to where table groups are held, one page of them: the fields and the body of a reply."""
        replication, now = self._context.replication, self._context.now()
        end = min(replication.table_count, first_table + POSITIONS_PER_PAGE)
        if not replication.has(self.name):
            return b"total=1", b""
        role = b"source" if replication.source == self.name else b"copy"
        positions = [
            (table, *replication.position(now, self.name, table)) for table in range(first_table, end)
        ]
        page = b"".join(b"%d\t%d:%d\t%b\n" % (*position, role) for position in positions)
        return (b"total=1,next=%d" % end if end < replication.table_count else b"total=1"), page

    def cancel(self, session: EngineSession, ident: bytes) -> None:
        """Stops an attempt."""
        now = self._context.now()
        self.model.advance(now)
        self.model.cancel(now, session.key(ident))
        self.update()

    def session_closed(self, session: EngineSession) -> None:
        """Queued attempts of a session are dropped; running ones go on, and nobody is answered."""
        self._sessions.discard(session)
        now = self._context.now()
        self.model.advance(now)
        for key, attempt in list(self._attempts.items()):
            if attempt.session is session:
                self.model.drop(now, key)
        self.update()

    def update(self) -> None:
        """Advances the model to now, answers what has ended, and sets a timer for the next event."""
        now = self._context.now()
        self.model.advance(now)
        events, self.model.events = self.model.events, []
        for change in events:
            self._handle(change.event, change.job, now)
        if self.model.overloads:
            self._fall_over()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        next_event_at = self.model.next_event_at(now)
        self._timer = None
        if next_event_at is not None:
            self._timer = self._context.call_later(next_event_at - now, self.update)

    def _handle(self, event: JobEvent, job: Job, now: int) -> None:
        attempt = self._attempts[job.key]
        if event is JobEvent.BEGAN:
            self._began(attempt, now)
            return
        del self._attempts[job.key]
        if event is JobEvent.ENDED:
            self._ended(attempt, job)
        elif event is JobEvent.FAILED:
            attempt.session.reply(attempt.ident, b"ERR", self._load_report())
        elif event is JobEvent.DROPPED:
            self._log(EventKind.NEVER_RAN, attempt, detail=NEVER_RAN_DROPPED)

    def _began(self, attempt: Attempt, now: int) -> None:
        self._log(EventKind.BEGAN, attempt)
        table, replication = attempt.statement.table, self._context.replication
        if table >= 0 and replication.has(self.name):
            attempt.position = replication.position(now, self.name, table)
            attempt.began = self._history.now()

    def _ended(self, attempt: Attempt, job: Job) -> None:
        statement = attempt.statement
        if statement.table >= 0 and self._cache is not None:
            self._update_caches(attempt, self._cache)
        if statement.is_load and self._is_replica:
            attempt.session.reply(attempt.ident, b"ERR", self._load_report())
            return
        self._log(EventKind.ENDED, attempt)
        fields = b"total=1,elapsed=%.1f,rss=%d," % (job.work_done / 10, job.needed_mb)
        if attempt.position is not None:
            fields += self._position_field(attempt, attempt.position)
        body = b"%b\t%b\tok\n" % (attempt.ident, self.name.encode())
        attempt.session.reply(attempt.ident, b"OK", fields + self._load_report(), body)

    def _fall_over(self) -> None:
        overload = self.model.overloads.pop()
        senders = overload.work_by_sender.most_common()
        detail = ",".join(f"{gateway}={work}" for gateway, work in senders)
        self._context.log(EventKind.OVERLOADED, engine=self.name, detail=detail, value=overload.limit)
        self.crash(self.model.slow_start.downtime)

    @property
    def _is_replica(self) -> bool:
        replication = self._context.replication
        return replication.has(self.name) and replication.source != self.name

    def _update_caches(self, attempt: Attempt, cache: TableCache) -> None:
        """A load makes what all engines have cached of its table group useless; a read caches it."""
        table = attempt.statement.table
        if attempt.statement.is_load:
            for other in self._context.caches:
                other.invalidate(table)
            return
        cache.read(float(self._context.now()), table)
        now = self._history.now()
        self._history.add("found", now, now, ref=attempt.query, table=table, cold=attempt.is_cold_read)

    def _position_field(self, attempt: Attempt, position: ReplicaPosition) -> bytes:
        """Up to where a query that has ended saw or wrote its table group, for its answer and the history."""
        statement = attempt.statement
        if statement.is_load:
            position = self._context.replication.end_load(self._context.now(), statement.table)
        incarnation, number = position
        self._history.add(
            "commit" if statement.is_load else "read",
            attempt.began,
            ref=attempt.query,
            table=statement.table,
            life=incarnation,
            number=number,
        )
        return b"%b=%d:%d," % (b"to" if statement.is_load else b"at", incarnation, number)

    def crash(self, downtime: Duration) -> None:
        """The process dies: connections are reset, and refused until it is back. 0: it stays away."""
        now = self._context.now()
        self._context.log(EventKind.STRUCK, engine=self.name, detail="down")
        self.model.crash(now, now + downtime)
        self._attempts.clear()
        if self._cache is not None:
            self._cache.table_groups.clear()
        self.model.events.clear()
        self._update_listeners(False)
        self._context.network.reset_all(self.name)
        if downtime:
            self._context.call_later(downtime, self.restart)

    def restart(self) -> None:
        """The process is back, at the begin of its slow start."""
        self.model.restart(self._context.now())
        self._started_at = self._context.now()
        self._update_listeners(True)
        self._discovery.publish(self.entry)
        self.update()

    def drain(self, grace: Duration) -> None:
        """It is draining, then off the endpoint list, then gone."""
        self._state = EngineState.DRAINING
        self._discovery.publish(self.entry)
        self._context.call_later(grace, self._leave)

    def _leave(self) -> None:
        self._state = EngineState.DELETED
        self._discovery.publish(self.entry)
        self._context.call_later(DELETED_TO_GONE, self.crash, 0)

    def _update_listeners(self, is_up: bool) -> None:
        for listener in self.listeners:
            listener.update(is_up)

    def _log(self, kind: EventKind, attempt: Attempt, **fields: Any) -> None:
        self._context.log(
            kind,
            query=attempt.query,
            service_class=attempt.service_class,
            gateway=attempt.session.gateway,
            engine=self.name,
            **fields,
        )

    def _load_report(self) -> bytes:
        model = self.model
        return b"l=inflight:%d;queue:%d;util:%.3f;x0:%.3f" % (
            len(model.running),
            len(model.queue),
            min(1.0, model.threads / model.machine.cores),
            model.granted_mb / model.machine.memory_mb,
        )


__all__ = ["EngineServer"]
