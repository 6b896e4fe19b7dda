"""What managers speak to: engines and the control feed, as parties of a play. Thin shells round the
models."""

from __future__ import annotations

import json
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from vanerelay.history import History
from vanerelay.interface import SECOND
from vanerelay.lab.cache_model import Warm
from vanerelay.lab.fault_network import Joint, Network
from vanerelay.lab.model import Cold, Engine, Job, Machine, Put, Word
from vanerelay.lab.record import Record, Row, What
from vanerelay.lab.replication_model import Copies
from vanerelay.leases.fencing import FencingGate
from vanerelay.net.resp_codec import command

STATEMENT = re.compile(rb"-- w=(\d+) m=(\d+) n=(\d+)")
TABLE = re.compile(rb"(INTO|FROM) sales_(\d+)\.")
ROWS = 200  # of copies, in one answer
TOLD_MOST = 7 * SECOND  # what the feed has to tell counts as told by then
QUERY = re.compile(rb"SUB=(\d+)&wait=(\d+)")
Later = Callable[[float, Callable[[], None]], Any]
ORDER_S = 0.02  # that an order takes an engine


@dataclass(slots=True)
class World:
    """What all hosts of a play share. `zero`: the module's time at which the load starts; `histories`: the
    folder where parties of the laboratory write what they did, empty: nowhere."""

    net: Network
    record: Record
    zero: int = 0
    histories: str = ""
    copies: Copies = field(default_factory=lambda: Copies(0))
    caches: list[Warm] = field(default_factory=list)  # what engines truly have warm

    def now(self) -> int:
        return self.net.now()

    def add(self, what: What, **told: Any) -> None:
        self.record.add(Row(self.now() - self.zero, what, **told))


class Arrays:
    """RESP arrays of bulk strings, as managers send them; what is not that breaks the connection."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]] | None:
        self._held += data
        found = list[list[bytes]]()
        while True:
            array = self._array()
            if array is None:
                return None
            if not array:
                return found
            found.append(array)

    def _array(self) -> list[bytes] | None:
        """One array; empty where it is not whole yet; None where it is none."""
        end = self._held.find(b"\r\n")
        if end < 0:
            return []
        if self._held[:1] != b"*":
            return None
        parts, at = list[bytes](), end + 2
        for _ in range(int(self._held[1:end])):
            end = self._held.find(b"\r\n", at)
            if end < 0:
                return []
            size = int(self._held[at + 1 : end])
            if len(self._held) < end + 4 + size:
                return []
            parts.append(bytes(self._held[end + 2 : end + 2 + size]))
            at = end + 4 + size
        del self._held[:at]
        return parts


class EngineHost:
    """One engine on sockets. Its sessions come through doors, one for each manager."""

    def __init__(
        self,
        world: World,
        name: str,
        kind: str,
        place: str,
        machine: Machine,
        cold: Cold,
        seed: int,
        feed: FeedHost,
        fresh: bool = False,
        refuses: bool = True,
        keeps: int = 0,
        reading: int = 0,
    ) -> None:
        """`refuses`: whether it refuses orders of a holder that was followed, or takes whatever comes."""
        self._world, self.name, self.kind, self.place, self._feed = world, name, kind, place, feed
        self._gate, self._refuses = FencingGate(), refuses
        self._history = History(name, f"{world.histories}/{name}.jsonl" if world.histories else "")
        self.model = Engine(machine, cold, world.now(), fresh)
        self._chance, self._timer = random.Random(seed), None
        self.jobs = dict[str, tuple[EngineSession, bytes, str]]()  # session, id, group
        self._tables = dict[str, tuple[int, bool]]()  # table group, and whether it is written
        self._points = dict[str, tuple[tuple[int, int], int]]()  # what a read saw, and when
        self.phase, self.started = "SERVING", world.now() if fresh else 0
        self._cache, self._reading = Warm(keeps) if keeps else None, reading
        self._cold = set[str]()  # jobs that have to read first
        if self._cache is not None:
            world.caches.append(self._cache)
        self._number, self.doors, self.sessions = 0, list[Any](), set[EngineSession]()

    def session(self, joint: Joint) -> EngineSession:
        self._number += 1
        session = EngineSession(self, joint, self._number)
        most = self.model.machine.connections
        full = bool(most) and len(self.sessions) >= most
        self._world.add(
            What.CALLED, manager=joint.near, engine=self.name, told="refused" if full else "taken"
        )
        if full:
            self._later(0, joint.reset)
        else:
            self.sessions.add(session)
        return session

    def serve(self, session: EngineSession, ident: bytes, told: bytes, body: bytes) -> None:
        world, fields = (
            self._world,
            dict(pair.split("=", 1) for pair in told.decode().split(",") if "=" in pair),
        )
        found = STATEMENT.search(body)
        work, need, threads = (int(figure) for figure in found.groups()) if found else (100, 1, 1)
        grant = float(fields.get("pool") or 0) or float(need)
        key = f"{session.number}/{ident.decode()}"
        row = {
            "batch": ident.decode(),
            "group": fields.get("sort", ""),
            "manager": session.manager,
            "engine": self.name,
        }
        world.add(What.ARRIVED, figure=float(work), **row)
        job = Job(
            key,
            session.manager,
            float(work),
            threads,
            float(need),
            min(grant, self.model.machine.memory),
            world.now(),
        )
        self.jobs[key] = session, ident, row["group"]
        table = TABLE.search(body)
        if table is not None and (world.copies.knows(self.name) or self._cache is not None):
            self._tables[key] = int(table[2]), table[1] == b"INTO"
            if self._cache is not None and table[1] != b"INTO" and int(table[2]) not in self._cache.groups:
                job.work += self._reading
                self._cold.add(key)
        put = self.model.put(world.now(), job)
        if put is Put.FULL:
            del self.jobs[key]
            world.add(What.NEVER, told="pushed back", **row)
            session.say(ident, b"BUSY", self._report())
        elif put is Put.TAKEN and self._tables.get(key, (0, False))[1] and self._follows:
            self.model.fail(world.now(), key)  # loads end at the source alone
        elif put is Put.TAKEN and self.model.errors and self._chance.random() < self.model.errors:
            self.model.fail(world.now(), key)
        self.touch()

    def order(self, session: EngineSession, ident: bytes, told: bytes, asked: int | None = None) -> None:
        """An order under a lease: what goes with it is looked at before anything is done. `asked`: for what
        copies it holds, from that table group on."""
        fields = dict(pair.split("=", 1) for pair in told.decode().split(",") if "=" in pair)
        task, holder = fields.get("task", ""), fields.get("holder", "")
        number, serial = int(fields.get("number", 0)), int(fields.get("serial", 0))
        begun = self._history.now()
        row: dict[str, Any] = {"task": task, "number": number, "serial": serial, "holder": holder}
        why = self._gate.refusal(task, number, serial, holder) if self._refuses else None
        if self.model.down or self.model.stalled:
            return  # nobody is there to hear it, or to answer
        if why is not None:
            self._history.add("order", begun, result="refused", **row)
            session.say(ident, b"ERR", b"number=%d" % self._gate.highest_token(task))
            return
        self._gate.accept(task, number, serial, holder)

        def done() -> None:
            self._history.add("order", begun, result="ok", **row)
            if asked is None:
                session.say(ident, b"OK", b"total=1")
            else:
                session.say(ident, b"OK", *self._copies(asked))

        self._later(ORDER_S, done)

    def _copies(self, first: int) -> tuple[bytes, bytes]:
        """What table groups are held up to where, a page of them."""
        copies, now = self._world.copies, self._world.now()
        last = min(copies.tables, first + ROWS)
        if not copies.knows(self.name):
            return b"total=1", b""
        role = b"source" if copies.source == self.name else b"copy"
        points = [(table, *copies.point(now, self.name, table)) for table in range(first, last)]
        page = b"".join(b"%d\t%d:%d\t%b\n" % (*point, role) for point in points)
        return (b"total=1,next=%d" % last if last < copies.tables else b"total=1"), page

    def cancel(self, session: EngineSession, ident: bytes) -> None:
        key = f"{session.number}/{ident.decode()}"
        self.model.advance(self._world.now())
        self.model.stop(self._world.now(), key)
        self.touch()

    def gone(self, session: EngineSession) -> None:
        """A session has ended: what of it waits is dropped, what runs goes on, and nobody is told."""
        self.sessions.discard(session)
        self.model.advance(self._world.now())
        for key, (owner, _, _) in list(self.jobs.items()):
            if owner is session:
                self.model.drop(self._world.now(), key)
        self.touch()

    def touch(self) -> None:
        """Lets the model come to now, tells what came of it, and looks when it is due again."""
        world, now = self._world, self._world.now()
        self.model.advance(now)
        news, self.model.news = self.model.news, []
        for _, word, job in news:
            session, ident, group = self.jobs[job.key]
            row = {"batch": ident.decode(), "group": group, "manager": session.manager, "engine": self.name}
            table, writes = self._tables.get(job.key, (-1, False))
            if word is Word.BEGAN:
                world.add(What.BEGAN, **row)
                if table >= 0 and world.copies.knows(self.name):
                    self._points[job.key] = world.copies.point(now, self.name, table), self._history.now()
                continue
            del self.jobs[job.key]
            self._tables.pop(job.key, None)
            seen = self._points.pop(job.key, None)
            copied = world.copies.knows(self.name)
            if word is Word.ENDED and table >= 0 and self._cache is not None:
                self._warm(ident.decode(), table, writes, job.key in self._cold)
            self._cold.discard(job.key)
            if word is Word.ENDED and writes and copied and world.copies.source != self.name:
                word = Word.FAILED
            if word is Word.ENDED:
                world.add(What.ENDED, **row)
                report = b"total=1,elapsed=%.1f,rss=%d," % (job.done / 10, job.need)
                if table >= 0 and seen is not None:
                    report += self._tell(ident.decode(), table, writes, *seen)
                session.say(
                    ident, b"OK", report + self._report(), b"%b\t%b\tok\n" % (ident, self.name.encode())
                )
            elif word is Word.FAILED:
                session.say(ident, b"ERR", self._report())
            elif word is Word.DROPPED:
                world.add(What.NEVER, told="dropped", **row)
        if self.model.falls:
            fall = self.model.falls.pop()
            told = ",".join(f"{name}={work}" for name, work in fall.sent.most_common())
            world.add(What.FELL, engine=self.name, told=told, figure=fall.limit)
            self.crash(self.model.cold.down)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due = self.model.due(now)
        self._timer = None if due is None else self._later((due - now) / SECOND, self.touch)

    @property
    def _follows(self) -> bool:
        copies = self._world.copies
        return copies.knows(self.name) and copies.source != self.name

    def _warm(self, ref: str, table: int, writes: bool, cold: bool) -> None:
        """A load makes what all engines have of its table group useless; a read has it warm then."""
        if writes:
            for cache in self._world.caches:
                cache.old(table)
        elif self._cache is not None:
            self._cache.read(float(self._world.now()), table)
            now = self._history.now()
            self._history.add("found", now, now, ref=ref, table=table, cold=cold)

    def _tell(self, ref: str, table: int, writes: bool, point: tuple[int, int], begun: int) -> bytes:
        """What a batch that has ended saw or did, for its answer and the history."""
        if writes:
            point = self._world.copies.load(self._world.now(), table)
        life, number = point
        self._history.add(
            "commit" if writes else "read", begun, ref=ref, table=table, life=life, number=number
        )
        return b"%b=%d:%d," % (b"to" if writes else b"at", life, number)

    def _later(self, seconds: float, call: Callable[[], None]) -> Any:
        return self._world.net.reactor.callLater(seconds, call)

    def crash(self, lasting: int) -> None:
        """The process dies: connections are reset and refused until it is back, cold. 0: it stays away."""
        now = self._world.now()
        self._world.add(What.STRUCK, engine=self.name, told="down")
        self.model.crash(now, now + lasting)
        self.jobs.clear()
        self._cold.clear()
        if self._cache is not None:
            self._cache.groups.clear()
        self.model.news.clear()
        self._open_doors(False)
        self._world.net.reset_all(self.name)
        if lasting:
            self._later(lasting / SECOND, self.rise)

    def rise(self) -> None:
        self.model.rise(self._world.now())
        self.started = self._world.now()
        self._open_doors(True)
        self._feed.tell([self])
        self.touch()

    def leave(self, grace: int) -> None:
        """Drained, then off the list, then gone."""
        self.phase = "DRAINING"
        self._feed.tell([self])
        self._later(grace / SECOND, self._leave)

    def _leave(self) -> None:
        self.phase = "DELETED"
        self._feed.tell([self])
        self._later(1.0, lambda: self.crash(0))

    def _open_doors(self, up: bool) -> None:
        for door in self.doors:
            door.look(up)

    def _report(self) -> bytes:
        model = self.model
        util = min(1.0, model.threads / model.machine.cores)
        return b"l=inflight:%d;queue:%d;util:%.3f;x0:%.3f" % (
            len(model.running),
            len(model.line),
            util,
            model.granted / model.machine.memory,
        )


class EngineSession:
    """One connection of one manager."""

    def __init__(self, host: EngineHost, joint: Joint, number: int) -> None:
        self._host, self._joint, self.number, self.manager = host, joint, number, joint.near
        self._arrays = Arrays()

    def deliver(self, data: bytes) -> None:
        arrays = self._arrays.feed(data)
        if arrays is None:
            self._joint.reset()
            return
        for parts in arrays:
            if parts[0] == b"serve":
                self._host.serve(self, *parts[1:4])
            elif parts[0] == b"cancel":
                self._host.cancel(self, parts[1])
            elif parts[0] == b"order" and len(parts) > 2:
                self._host.order(self, parts[1], parts[2])
            elif parts[0] == b"copies" and len(parts) > 3 and parts[3].isdigit():
                self._host.order(self, parts[1], parts[2], int(parts[3]))
            elif parts[0] == b"health":
                self.say(parts[1], b"UP", b"-")

    def over(self, reset: bool) -> None:
        self._host.gone(self)

    def flow(self, wanted: bool) -> None:
        pass  # answers are short, and made only as batches end

    def say(self, ident: bytes, word: bytes, told: bytes, body: bytes = b"") -> None:
        self._joint.send(self, command(ident, word, told, body))


class FeedHost:
    """The control feed. Each manager is told engines at the addresses by which it reaches them, in events
    numbered from 1 at each of its starts."""

    def __init__(self, world: World, late: int) -> None:
        """`late`: how long after something has changed the feed has it to tell."""
        self._world, self._late = world, late
        self.engines = dict[str, EngineHost]()
        self._events = list[list[tuple[str, str, int]]]()  # name, phase, start of what changed
        self._from = dict[str, int]()  # by manager: how many had happened when it started
        self._told = dict[str, int]()  # by manager: up to where it was told
        self._waiting = dict[FeedSession, tuple[int, Any]]()
        self.address = dict[tuple[str, str], str]()  # by manager and engine

    def known(self, manager: str) -> dict[str, Any]:
        """What a manager is told at its start: the whole list."""
        self._from[manager] = self._told[manager] = len(self._events)
        rows = [(one.name, one.phase, one.started) for one in self.engines.values() if one.phase != "DELETED"]
        for name, phase, _ in rows:
            self._world.add(What.TOLD, manager=manager, engine=name, told=phase)
        return {"n": 1, "events": [self._event(manager, 1, rows, True)]}

    def tell(self, engines: list[EngineHost]) -> None:
        rows = [(one.name, one.phase, one.started) for one in engines]
        self._world.net.reactor.callLater(self._late / SECOND, self._tell, rows)

    def _tell(self, rows: list[tuple[str, str, int]]) -> None:
        self._events.append(rows)
        number = len(self._events)
        for session in list(self._waiting):
            self._answer(session)
        self._world.net.reactor.callLater(TOLD_MOST / SECOND, self._count_as_told, number)

    def _count_as_told(self, number: int) -> None:
        for manager in self._told:
            self._mark(manager, number)

    def session(self, joint: Joint) -> FeedSession:
        return FeedSession(self, joint)

    def poll(self, session: FeedSession, held: int, wait: float) -> None:
        timer = self._world.net.reactor.callLater(min(wait, 5.0), self._answer, session, True)
        self._waiting[session] = held, timer
        self._answer(session)

    def drop(self, session: FeedSession) -> None:
        _, timer = self._waiting.pop(session, (0, None))
        if timer is not None and timer.active():
            timer.cancel()

    def _answer(self, session: FeedSession, now: bool = False) -> None:
        manager = session.manager
        held = self._waiting[session][0]
        begun = self._from.get(manager, 0)
        new = self._events[begun + max(0, held - 1) :]
        if not new and not now:
            return
        self.drop(session)
        last = held + len(new)
        events = [self._event(manager, held + 1 + place, rows, False) for place, rows in enumerate(new)]
        session.say(json.dumps({"n": last, "events": events}).encode())
        self._mark(manager, begun + last - 1)

    def _mark(self, manager: str, number: int) -> None:
        """Up to which event the manager has been told."""
        for rows in self._events[self._told.get(manager, 0) : number]:
            for name, phase, _ in rows:
                self._world.add(What.TOLD, manager=manager, engine=name, told=phase)
        self._told[manager] = max(self._told.get(manager, 0), number)

    def _event(
        self, manager: str, number: int, rows: list[tuple[str, str, int]], whole: bool
    ) -> dict[str, Any]:
        return {
            "n": number,
            "members": {
                "revision": number,
                "complete": whole,
                "members": [
                    {
                        "id": name,
                        "host_port": self.address[manager, name],
                        "locality": self.engines[name].place,
                        "flavor": self.engines[name].kind,
                        "cell": 0,
                        "phase": phase,
                        "size": 1,
                        "up_since_ms": started // 10,
                    }
                    for name, phase, started in rows
                ],
            },
        }


class FeedSession:
    """One connection of one manager: a long poll at a time."""

    def __init__(self, feed: FeedHost, joint: Joint) -> None:
        self._feed, self._joint, self.manager, self._held = feed, joint, joint.near, b""

    def deliver(self, data: bytes) -> None:
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, self._held = self._held.split(b"\r\n\r\n", 1)
            asked = QUERY.search(head)
            if asked is None:
                self._joint.reset()
                return
            self._feed.poll(self, int(asked[1]), int(asked[2]) / 1000)

    def over(self, reset: bool) -> None:
        self._feed.drop(self)

    def flow(self, wanted: bool) -> None:
        pass

    def say(self, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._joint.send(self, head + body)
