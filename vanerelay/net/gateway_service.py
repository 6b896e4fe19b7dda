"""Joins clients, engines and the list to one Gateway: the second Transport, beside the adapter's instance."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import structlog

from vanerelay import attempt_outcome, settings
from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.clock import FRESH, Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.estimation import stable_hash
from vanerelay.extension import EngineRun, Extension, QueryConstraint, QueryInfo
from vanerelay.interface import SECOND, AttemptResult, EngineState, Outcome, QueryArrival
from vanerelay.invariants import Guard, Invariant, StateChange
from vanerelay.net import frames, load_reports, request_codec
from vanerelay.net.client_connection import ClientConnection, Taken
from vanerelay.net.deadlines import Deadlines
from vanerelay.net.engine_connection import Attempt
from vanerelay.net.engine_pool import DROPPED, EnginePool
from vanerelay.net.engine_start_times import EngineStarts
from vanerelay.net.events import EventLog, Kind
from vanerelay.net.extensions import Extensions, guarded
from vanerelay.net.held_queries import ClientQuery, InternalClient, InternalQuery, References
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.request_codec import QueryRequest
from vanerelay.net.resp_codec import Note, QueryCommand
from vanerelay.net.statements import table_group, writes
from vanerelay.policy.gateway import Gateway
from vanerelay.query_table import EngineNames, QueryTable

log = structlog.get_logger()

ALLOW_MOST = 2  # times its service group's time limit: the longest that a client can mean to wait


class GatewayService:
    """The Transport of the Gateway on sockets. `open_gateway` is called once its parts stand."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        profile: dict[str, Any],
        engines: EnginePool,
        peers: PeerGossip | None,
        room: int,
        events: EventLog | None = None,
    ) -> None:
        """`room`: bytes that the statements of open queries may take together."""
        self.events = events or EventLog(reactor)
        self._reactor, self._clock, self._engines, self._peers = reactor, clock, engines, peers
        self._refs = set[str]()  # of the queries open: an engine takes two under one for the same
        self._met = References(clock.now())
        self.guard = Guard(settings.guard_terms(profile))
        self._read(profile)
        self._starts = EngineStarts(clock)
        self._names, self._gone = (
            EngineNames(),
            set[int](),
        )  # engines, and those of them that have left the list
        self._holding: QueryTable[ClientQuery] = QueryTable()
        self._gateway: Gateway | None = None
        self._ending = list[Gateway]()  # of settings before, that have not ended all they took
        self.deadlines = Deadlines(reactor, clock, self._expired)
        self._listed = self.ending = False
        self._extensions = Extensions()
        self.open, self._room = 0, room
        self.now = clock.now()

    def _read(self, profile: dict[str, Any]) -> None:
        groups, allowed = settings.service_groups(profile), settings.allowances(profile)
        self._groups = {group.name: row for row, group in enumerate(groups)}
        self._time_limits = [group.deadline for group in groups]
        self._worth = {
            group.name.encode(): (group.latency_objective, group.late_value / (group.value or 1.0))
            for group in groups
        }
        self._customers = {str(o.get("name")): row for row, o in enumerate(profile.get("orgs") or [])}
        self._most_open = int((profile.get("limits") or {}).get("maxOpen") or 0)
        self._most_dispatches, self._grants = allowed.max_attempts, allowed.sends_memory_grants
        self._priorities = allowed.sends_priorities
        self._goals = [group.latency_objective for group in groups]
        self._longest_wait = allowed.max_retry_after if allowed.sends_retry_after else 0
        self._reported = settings.report_names(profile)

    def open_gateway(self, seed: int, profile: dict[str, Any]) -> None:
        """Under these settings from now on. Queries taken before end under the settings of then."""
        self.now, old = self._clock.now(), self._gateway
        gateway = settings.open_gateway(self, seed, profile)
        if old is not None:
            gateway.take_over(old)
            self._ending.append(old)
        self._read(profile)
        self.guard.switch(settings.guard_terms(profile))
        self._gateway = gateway
        if self._peers is not None:
            self._peers.heard_from = lambda number, data: self._heard_from(gateway, number, data)

    @property
    def gateway(self) -> Gateway:
        """The module, for those that hand its decisions on."""
        assert self._gateway is not None
        self.now = self._clock.now()
        return self._gateway

    def join(self, parts: Iterable[Extension]) -> None:
        """Subsystems, told from now on of what they want to be told."""
        self._extensions.join(parts)

    # What clients bring.

    def may_close(self, unanswered: int) -> bool:
        """Whether a client's connection may be closed as it stands."""
        return self.guard.closing(unanswered)

    def ready(self) -> bool:
        return self._listed and self._gateway is not None and not self.ending

    def request(self, client: ClientConnection, frame: frames.Frame, since: int) -> ClientQuery | Taken:
        """Takes a query, unless it was answered on the spot. Nothing of it had come before `since`.

        What an engine could not use is not passed on: it closes on what it cannot read, with all else that is
        open there, and its errors would be held against it.
        """
        self.now = self._clock.now()
        asked = request_codec.parse(frame)
        group = self._groups.get(asked.service_class) if asked is not None else None
        if asked is None or group is None or not self._usable(asked, group):
            self._count_unheld(frame.fields, frames.FAILED)
            self.events.note(Kind.REFUSAL, "no engine could use it", id=frame.fields.get("ref", "")[:16])
            client.answer(frame.stream, frames.FAILED, {}, b"")
            return Taken.UNUSABLE
        if self._full(len(asked.body)):
            self._count_unheld(frame.fields, frames.REJECTED)
            self.events.note(Kind.REFUSAL, "no room for one more", id=asked.reference)
            client.answer(frame.stream, frames.REJECTED, {}, b"")
            return Taken.ANSWERED
        # The client counts from when it sent, which nobody tells: the earliest moment known stands for it.
        limit = since + asked.allowed
        guide = self._guide(asked, self._goals[group], limit)
        if isinstance(guide, str):
            self._count_unheld(frame.fields, frames.FAILED)
            client.answer(frame.stream, frames.FAILED, {"why": guide}, b"")
            return Taken.ANSWERED
        held = ClientQuery(self, client, frame.stream, asked, limit, since)
        held.read_in = self._clock.passes
        self._hold(held)
        client.open[frame.stream] = held
        held.guide = guide
        held.arrival = QueryArrival(
            index=held.index,
            service_class=group,
            tenant=self._customers.get(asked.tenant, 0),
            order_key=stable_hash(asked.order_key, 0) if asked.order_key else None,
            deadline=limit,
            estimated_cost=asked.cost,
            estimated_memory=asked.memory,
            is_retry=False,
            table_group=table_group(asked.statement),
            earns_no_retries=self._met.again(asked.reference, self.now),
        )
        held.record = self.guard.taken(self.now, group, limit, not held.arrival.earns_no_retries)
        if guide is None:
            self._take(held)
        else:
            self._call(held, guide.start, held)
        self._settle(held)
        self._guard()
        return Taken.ANSWERED if held.ended else held

    def _usable(self, asked: QueryRequest, group: int) -> bool:
        known = not self._customers or asked.tenant in self._customers
        in_range = asked.allowed <= ALLOW_MOST * self._time_limits[group]
        return known and in_range and asked.reference not in self._refs

    def _full(self, size: int) -> bool:
        """Whether there is no room for one more query with so many bytes of statement."""
        too_many = self._most_open and self.open >= self._most_open
        return bool(too_many) or size > self._room or self._gateway is None

    def _guide(self, asked: QueryRequest, goal: int, limit: int) -> QueryConstraint | str | None:
        """Who leads the query; words for its client where it can't be served as it asks."""
        if not self._extensions.guides:
            return None
        want = QueryInfo(asked.reference, asked.service_class, asked.statement, goal, limit - self.now)
        return self._extensions.guide(want)

    def _hold(self, held: ClientQuery) -> None:
        self._holding.open(held)
        self.open += 1
        self._refs.add(held.name)
        self._room -= len(held.body)
        self.deadlines.add(held)

    def own(
        self, name: str, group: str, statement: str, engine: int, memory: float, lasts: int
    ) -> InternalQuery | None:
        """A query of ours at one engine, under a reference that no other bears; None where it can't be
        taken."""
        self.now, row = self._clock.now(), self._groups.get(group)
        body = statement.encode()
        if row is None or self._full(len(body)) or self.ending or name in self._refs:
            return None
        allowed = min(lasts, self._time_limits[row])
        asked = QueryRequest(name, group, "", allowed, 0, memory, b"", "", body, statement)
        inner = InternalClient()
        held = ClientQuery(self, inner, 0, asked, self.now + allowed, self.now)
        self._hold(held)
        held.arrival = QueryArrival(
            index=held.index,
            service_class=row,
            tenant=0,
            order_key=None,
            deadline=held.limit,
            estimated_cost=0,
            estimated_memory=memory,
            is_retry=False,
            table_group=table_group(statement),
            eligible_engines=frozenset({engine}),
            earns_no_retries=True,
        )
        held.record = self.guard.taken(self.now, row, held.limit, False)
        self._take(held)
        self._settle(held)
        self._guard()
        return InternalQuery(held, inner.done)

    def _take(self, held: ClientQuery) -> None:
        def take() -> None:
            if self._gateway is not None and held.arrival is not None:
                held.batch = self._gateway.submit(held.arrival)

        self._call(held, take)

    def led(self, held: ClientQuery, engines: frozenset[int] | None) -> None:
        """Who leads a query says which engines may serve it: the module has it from now on."""
        if held.ended or held.arrival is None:
            return
        held.arrival.eligible_engines = engines
        if held.batch is not None:
            return
        group = self._groups.get(held.group.decode())  # settings may have been switched while it waited
        if group is None:
            self._note_refusal(held, "its class is gone")
            self._answer(held, frames.REJECTED, {}, b"")
        else:
            held.arrival.service_class = group
            self._take(held)
        self._settle(held)
        self._guard()

    def refused(self, held: ClientQuery, wait: int) -> None:
        if not held.ended and held.batch is None:
            self._note_refusal(held, "by who leads it")
            told = min(wait, self._longest_wait) // 10
            self._answer(held, frames.REJECTED, {"cooldown": str(told)} if told > 0 else {}, b"")
        self._settle(held)

    def left(self, held: ClientQuery) -> None:
        """Its client no longer waits; what is out still ends."""
        if not held.ended:
            self.events.note(Kind.REFUSAL, "its client left", False)
            self._count(held, frames.COMPLETED, False)
            self._finish(held)
            if held.batch is not None:
                self._call(held, held.batch.client_left)
            self._withdraw(held)
        self._settle(held)

    def _guard(self) -> None:
        self.deadlines.look(self.open)

    def _expired(self, held: ClientQuery) -> None:
        """Its deadline has come, whatever the module made of it."""
        self._note_refusal(held, "its deadline has come")
        self._answer(held, frames.FAILED, {}, b"")
        if held.batch is not None:
            self._call(held, held.batch.client_left)
        self._withdraw(held)
        self._settle(held)

    # What the list brings.

    def listed(self, change: EngineListChange) -> None:
        entries, there = [], set[int]()
        for member in change.engines:
            gone = member.state is EngineState.GONE
            if gone and member.name not in self._names:
                continue
            engine = self._names.index(member.name)
            (self._gone if gone else there).add(engine)
            self._engines.listed(engine, member.address, member.started_at, gone)
            started = self._starts.moment(engine, member.started_at, change.within_s)
            entry = replace(member.entry(engine), started_at=started)
            self._note_state(member, self.guard.listed(entry))
            entries.append(entry)
        self._gone -= there
        if change.complete:
            self._engines.only(there)
            self.guard.only(there)
            self._gone = self._names.all() - there
        self._listed = True
        self._ending = [gateway for gateway in self._ending if not gateway.is_finished()]
        for gateway in (self._gateway, *self._ending):
            if gateway is not None:
                self._call(None, gateway.update_engines, entries, change.complete)
        self._extensions.listed(change)

    def sweep(self) -> None:
        """Lets go of connections that the engines are about to close, and of engines that are gone."""
        self._engines.sweep()
        unknown = (engine for engine in self._gone if not self._engines.knows(engine))
        for engine in list(itertools.islice(unknown, DROPPED)):
            self._gone.remove(engine)
            self._names.forget(engine)
            self._starts.forget(engine)
            self.guard.forget(engine)

    # What engines bring.

    def _ended(self, end: AttemptEnd, held: ClientQuery, number: int, sent: int, engine: int) -> None:
        outcome = attempt_outcome.outcome(end)
        held.out -= 1
        held.attempts[number] = None
        held.outcome = f"{end.cause.value}, {end.stage.value}"
        fields: dict[str, str] | None = {}
        if held.guide is not None and not held.ended:
            if outcome is Outcome.COMPLETED:
                fields = self._accepted(held.guide, engine, end.fields)
                outcome = Outcome.COMPLETED if fields is not None else Outcome.MALFORMED
            else:
                guarded(held.guide.attempt_failed, engine, outcome)
        work = round(load_reports.told(end.fields, "elapsed") * 10)
        if held.record is not None:
            self.guard.attempt_ended(held.record, number, outcome, work)
        if outcome is Outcome.COMPLETED and not held.ended:
            if self._extensions.learns:
                self._learn(held, engine, end)
            self._answer(held, frames.COMPLETED, fields or {}, end.rows)
        if held.batch is not None:
            memory = load_reports.told(end.fields, "rss")
            report = settings.load_report(self._reported, load_reports.loads(end.fields.get("l", "")))
            result = AttemptResult(outcome, self._clock.now() - sent, work, memory, report)
            self._call(held, held.batch.attempt_ended, number, result, held.ended)
        self._settle(held)
        self._guard()

    def _learn(self, held: ClientQuery, engine: int, end: AttemptEnd) -> None:
        tables = held.arrival.table_group if held.arrival is not None else 0
        ran = EngineRun(
            tables,
            writes(held.body),
            engine,
            round(load_reports.told(end.fields, "elapsed") * 10),
            isinstance(held.client, InternalClient),
        )
        self._extensions.ran(ran)

    def _accepted(self, guide: QueryConstraint, engine: int, told: dict[str, str]) -> dict[str, str] | None:
        """What goes with an answer; None where who leads the query does not take it for one."""
        try:
            return guide.answer_fields() if guide.accepts_answer(engine, told) else None
        except Exception:
            log.exception("who leads a batch met a fault: its answer is not handed on")
            return None

    def _noted(self, held: ClientQuery, number: int, note: Note) -> None:
        if held.batch is not None:
            self._call(held, held.batch.attempt_progressed, number, note.kind, note.value)

    def _heard_from(self, gateway: Gateway, number: int, data: bytes) -> None:
        self._call(None, gateway.receive_from_peer, number, data)

    # Bookkeeping.

    def _call(self, held: ClientQuery | None, method: Callable[..., None], *values: Any) -> bool:
        """Calls the module. A fault in it is logged, and the query at hand is answered all the same."""
        self.now = self._clock.now()
        try:
            method(*values)
        except Exception:
            log.exception("the decision module met a fault")
            if held is not None and not held.ended:
                self._note_refusal(held, "a fault")
                self._answer(held, frames.FAILED, {}, b"")
            return False
        return True

    def _finish(self, held: ClientQuery) -> None:
        held.ended = True
        if held.record is not None:
            held.record.ended = True
        self.open -= 1
        self._refs.discard(held.name)
        self._room += len(held.body)
        held.body = b""  # no attempt follows
        if held.guide is not None:
            guarded(held.guide.finished)

    def _count(self, held: ClientQuery, code: int, heard: bool = True) -> None:
        """Tells what became of a query; `heard`: whether its client still waited."""
        if not self._extensions.counts or isinstance(held.client, InternalClient):
            return
        goal, late = self._worth.get(held.group, (0, 0.0))
        passed = self._clock.now() - held.since
        earned = 0.0 if code != frames.COMPLETED or not heard else 1.0 if passed <= goal else late
        self._extensions.answered(held.group.decode(), earned, code, passed, len(held.attempts))

    def _count_unheld(self, told: dict[str, str], code: int) -> None:
        """The same of one that was answered on the spot."""
        self._extensions.answered(told.get("service", ""), 0.0, code, 0, 0)

    def _answer(self, held: ClientQuery, code: int, fields: dict[str, str], body: bytes) -> None:
        if held.record is not None and not self.guard.answered(held.record):
            self.events.note(Kind.BROKEN, Invariant.ANSWER.value, id=held.name)
            return
        self._count(held, code)
        self._finish(held)
        held.client.answer(held.stream, code, fields, body)

    def _note_refusal(self, held: ClientQuery, why: str) -> None:
        waited = (self._clock.now() - held.since) * 1000 // SECOND
        attempts = len(held.attempts)
        self.events.note(
            Kind.REFUSAL, why, id=held.name, waited_ms=waited, attempts=attempts, last=held.outcome
        )

    def _note_state(self, member: ListedEngine, change: StateChange | None) -> None:
        if change is not None:
            why = f"engine {change.before} to {change.after}"
            self.events.note(Kind.STATE, why, change.before != "unknown", engine=member.name)

    def _settle(self, held: ClientQuery) -> None:
        self._holding.settle(held)

    # What the module calls out: the Transport.

    def send_attempt(self, batch: int, engine: int, time_out: int) -> None:
        held = self._holding.at(batch)
        number = len(held.attempts)
        left = held.limit - self.now
        wait = left if time_out == 0 else min(time_out, left)
        query = QueryCommand(
            service_class=held.group,
            patience_ms=max(1, wait // 10),
            statement=held.body,
            grant_mb=held.grant,
            priority=held.priority,
            idempotency_key=held.idempotency_key,
        )
        attempt = Attempt(held.name.encode(), query, held.used)
        held.attempts.append(attempt)
        held.out += 1
        attempt.noted = lambda note: self._noted(held, number, note)
        attempt.done.addCallback(self._ended, held, number, self.now, engine)
        attempt.done.addErrback(self._fault)
        attempt.may_begin = lambda: self._may_begin(held, number, engine)
        if number:
            self.events.note(
                Kind.RETRY,
                held.outcome or "none ended",
                id=held.name,
                attempt=number,
                engine=self._name(engine),
            )
        if held.ended or wait <= 0 or number >= self._most_dispatches:
            self._reactor.callLater(0, attempt.end, AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED))
        elif self._clock.fresh and not self._may_have_left(held):
            self._begin(held, attempt, engine, wait)
        else:
            until = self.now + wait
            self._clock.after_look(lambda: self._begin_late(held, number, attempt, engine, until))

    def _may_have_left(self, held: ClientQuery) -> bool:
        """Whether it was read by this very look, long after it may have come: what came behind it is read by
        the end of the look, and may tell that its client has left."""
        return held.read_in == self._clock.passes and self.now - held.since > FRESH

    def _begin(self, held: ClientQuery, attempt: Attempt, engine: int, wait: int) -> None:
        if held.guide is not None:
            guarded(held.guide.attempt_sent, engine)
        self._engines.send(engine, attempt, wait / SECOND)

    def _begin_late(self, held: ClientQuery, number: int, attempt: Attempt, engine: int, until: int) -> None:
        """An attempt that was planned while it was not known whether its client is still there."""
        left = until - self._clock.now()
        if left > 0 and self._wanted(held, number):
            self._begin(held, attempt, engine, left)
        else:
            attempt.end(AttemptEnd(EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED))

    def _wanted(self, held: ClientQuery, number: int) -> bool:
        """Whether a planned attempt may still begin, as the module sees it."""
        self.now = self._clock.now()
        if held.ended:
            return False
        # The first is planned while its query is taken, when there is no handle yet.
        return held.batch is None or held.batch.may_begin(number)

    def _may_begin(self, held: ClientQuery, number: int, engine: int) -> bool:
        """The one place that every attempt passes before it is written."""
        if held.record is None or not self._wanted(held, number):
            return False
        broken = self.guard.begin(self.now, held.record, number, engine)
        if broken is not None:
            self.events.note(Kind.BROKEN, broken.value, id=held.name, engine=self._name(engine))
        return broken is None

    def _name(self, engine: int) -> str:
        return self._names.name(engine) if self._engines.knows(engine) else ""

    def _withdraw(self, held: ClientQuery) -> None:
        """Nobody waits for it any more: what has not begun does not, also where nothing can be cancelled."""
        for attempt in held.attempts:
            if attempt is not None:
                attempt.withdraw()

    def _fault(self, fault: Any) -> None:
        log.error("an attempt's end met a fault", fault=fault.getTraceback())

    def grant_memory(self, batch: int, memory: float, priority: int) -> None:
        held = self._holding.at(batch)
        held.grant = round(memory) if self._grants else 0
        # The page at hand has no priority, as its engines heed none; the word is that of the names file.
        held.priority = priority if self._priorities else 0

    def reject(self, batch: int, retry_after: int) -> None:
        held = self._holding.at(batch)
        if not held.ended:
            self._note_refusal(held, "pushed back by the module")
            cooldown = {"cooldown": str(retry_after // 10)} if retry_after > 0 else {}
            self._answer(held, frames.REJECTED, cooldown, b"")
        self._settle(held)  # given up in the line nothing else comes for it, and it would stay for good

    def fail(self, batch: int) -> None:
        held = self._holding.at(batch)
        if not held.ended:
            self._note_refusal(held, "failed by the module")
            self._answer(held, frames.FAILED, {}, b"")
        self._settle(held)

    def cancel_attempt(self, batch: int, dispatch: int) -> None:
        attempt = self._holding.at(batch).attempts[dispatch]
        if attempt is not None:
            self._reactor.callLater(0, attempt.give_up, EndCause.CANCELLED)

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        # One that drains takes nothing new: the others may count it away already.
        if self._peers is not None and not self.ending:
            self._peers.tell(peer, data)

    def probe_engine(self, engine: int) -> None:
        self._engines.probe(engine)

    def subscribe_to_engine_list(self) -> None:
        """The list is followed from the start, asked or not."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        self._reactor.callLater(max(0, delay) / SECOND, self._due, delay, callback)

    def _due(self, delay: int, callback: Callable[[], None]) -> None:
        if not self._call(None, callback):
            # Its own next call may be lost with the fault, and without its beat a gateway stands still.
            self._reactor.callLater(max(0, delay) / SECOND, self._due, delay, callback)

    def log(self, text: str) -> None:
        log.info(text)
