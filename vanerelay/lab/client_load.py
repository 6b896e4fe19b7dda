"""Clients of a play: they bring what the schedule says at its times, and say what became of it."""

from __future__ import annotations

import dataclasses
import random
import re
import struct
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from vanerelay.history import History
from vanerelay.interface import MILLISECOND, SECOND, Idempotency
from vanerelay.lab.engine_server import World
from vanerelay.lab.fault_network import Joint
from vanerelay.lab.record import What
from vanerelay.lab.scenario import Clients, Group
from vanerelay.lab.schedule import Need, shares
from vanerelay.net.frames import MAX_OPEN_REQUESTS, FrameKind, frame

CODES = {0: "returned", 1: "pushed back", 2: "errored"}
HEAD = struct.Struct(">IBI")
WATCHED = 2 * SECOND  # past its limit, for which a batch is watched for what is still said of it
CONNECTIONS = 8  # to one manager at a time
FOLLOWS = 5 * MILLISECOND  # after a load has ended until its reader comes


@dataclass(slots=True)
class Try:
    """One batch on its way."""

    need: Need
    ref: str
    manager: str
    stream: int = 0
    timer: Any = None
    begun: int = 0  # by the histories' clock
    hint: str = ""


class Connection:
    """One client connection to one manager: requests out, answers in."""

    def __init__(self, load: Load, manager: str, joint: Joint) -> None:
        self._load, self.manager, self._joint = load, manager, joint
        self.open, self._last, self._held = dict[int, Try](), 0, bytearray()
        self.closing = False

    @property
    def free(self) -> bool:
        return not self.closing and len(self.open) < MAX_OPEN_REQUESTS

    def ask(self, one: Try, data: bytes) -> None:
        self._last += 1
        one.stream = self._last
        self.open[one.stream] = one
        self._joint.send(self, frame(FrameKind.REQUEST, one.stream, data))

    def leave(self, one: Try) -> None:
        if self.open.pop(one.stream, None) is not None:
            self._joint.send(self, frame(FrameKind.CANCEL, one.stream))

    def deliver(self, data: bytes) -> None:
        self._held += data
        while len(self._held) >= HEAD.size:
            size, kind, stream = HEAD.unpack_from(self._held)
            if len(self._held) < 4 + size:
                return
            payload = bytes(self._held[HEAD.size : 4 + size])
            del self._held[: 4 + size]
            if kind == FrameKind.GO_AWAY:
                self.closing = True
                self._load.lose(self.manager, 0)
            elif kind == FrameKind.ANSWER and stream in self.open:
                fields, at = dict[str, str](), 2
                for _ in range(payload[1]):
                    end = at + 1 + payload[at]
                    length = int.from_bytes(payload[end : end + 2], "big")
                    fields[payload[at + 1 : end].decode()] = payload[end + 2 : end + 2 + length].decode()
                    at = end + 2 + length
                self._load.answered(self.open.pop(stream), payload[0], fields, payload[at:])

    def over(self, reset: bool) -> None:
        self.closing = True
        opened, self.open = self.open, {}
        self._load.ended(self, list(opened.values()))

    def flow(self, wanted: bool) -> None:
        pass

    def end(self) -> None:
        self.closing = True
        self._joint.close(self)


class Load:
    """All clients. `managers`: names and real addresses, by which the front sends."""

    def __init__(
        self,
        world: World,
        clients: Clients,
        needs: Sequence[Need],
        names: Sequence[str],
        address: Callable[[str], str],
        release: Callable[[str], str],
        seed: int,
        groups: Sequence[Group] = (),
    ) -> None:
        self._world, self._clients, self._needs = world, clients, needs
        self._names, self._address, self._release = list(names), address, release
        self._shares, self._next = shares(len(names), clients.skew), 0
        self._chance = random.Random(f"{seed}/tries")
        self.ready = set[str]()  # as the front knows
        self._connections = defaultdict[str, list[Connection]](list)
        self.open, self._serial, self.behind = 0, 0, 0
        self._history = History("clients", f"{world.histories}/clients.jsonl" if world.histories else "")
        self._ended = dict[int, str]()  # the last load of each table group, by its reference
        self._followers = defaultdict[str, list[Group]](list)
        for group in groups:
            if group.follows:
                self._followers[group.follows].append(group)

    def begin(self) -> None:
        self._bring()

    @property
    def done(self) -> bool:
        return self._next >= len(self._needs) and not self.open

    def _bring(self) -> None:
        now = self._world.now() - self._world.zero
        while self._next < len(self._needs) and self._needs[self._next].at <= now:
            need = self._needs[self._next]
            self.behind = max(self.behind, now - need.at)
            self._next += 1
            self.open += 1
            self._try(need, need.draw)
        if self._next < len(self._needs):
            wait = max(1, self._needs[self._next].at - now) / SECOND
            self._world.net.reactor.callLater(wait, self._bring)

    def _try(self, need: Need, draw: float, even: bool = False) -> None:
        """`draw`: of the manager, by their shares of the load, or `even` for all."""
        need.tries += 1
        at = int(draw * len(self._names)) if even else bisect_left(self._shares, draw)
        manager = self._names[min(len(self._names) - 1, at)]
        if manager not in self.ready:
            others = [name for name in self._names if name in self.ready]
            if not others:
                self._again(need, "lost", 0)
                return
            manager = others[int(draw * 1e6) % len(others)]
        self._serial += 1
        one = Try(need, f"{self._serial:016x}", manager)
        found = next((c for c in self._connections[manager] if c.free), None)
        if found is not None:
            self._send(found, one)
            return
        if len(self._connections[manager]) >= CONNECTIONS:
            self._connections[manager] = [c for c in self._connections[manager] if not c.closing]
        if len(self._connections[manager]) >= CONNECTIONS:
            self._again(need, "lost", 0)
            return

        def opened(joint: Joint) -> Connection:
            connection = Connection(self, manager, joint)
            self._connections[manager].append(connection)
            self._world.net.reactor.callLater(0, self._send, connection, one)
            return connection

        def failed() -> None:
            self.lose(manager, self._clients.notice)
            self._again(need, "lost", 0)

        self._world.net.reach("clients", manager, self._address(manager), opened, failed)

    def _send(self, connection: Connection, one: Try) -> None:
        if connection.closing:
            self._again(one.need, "lost", 0)
            return
        need, group = one.need, one.need.group
        allow = max(1, (group.limit - self._waited(need)) // 10)
        told = {
            "service": group.name,
            "ref": one.ref,
            "allow": str(allow),
            "project": "",
            "effort": f"{need.work / 10:.1f}",
            "space": str(need.memory),
        }
        fields = b"".join(
            bytes((len(name),)) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
            for name, value in told.items()
        )
        what = (
            f"INSERT INTO sales_{need.table}.orders SELECT a, b, c FROM staged"
            if group.load
            else f"SELECT a, b, c FROM sales_{need.table}.orders"
        )
        one.hint, one.begun = self._hint(need) if need.hint else "", History.now()
        hint = f"/*+ vanerelay {one.hint} */ " if one.hint else ""
        body = f"{hint}{what} -- w={need.work} m={need.memory} n={group.threads}"
        connection.ask(one, bytes((len(told),)) + fields + body.encode())
        self._world.add(
            What.SENT,
            batch=one.ref,
            group=group.name,
            manager=one.manager,
            need=need.number,
            figure=float(allow * 10),
            told=self._release(one.manager),
        )
        left = (allow * 10 + WATCHED) / SECOND
        one.timer = self._world.net.reactor.callLater(left, self._forget, connection, one)

    def _hint(self, need: Need) -> str:
        text = need.hint.replace("@SESSION@", f"s{need.session}")
        last = self._ended.get(need.table, "")
        return text.replace("@LAST@", last) if last else re.sub(r"after=@LAST@ ?", "", text) or "stale<=1h"

    def _tell(self, one: Try, code: int, fields: dict[str, str], body: bytes) -> None:
        """For the histories: what a client was answered."""
        need, more = one.need, dict[str, Any](fields)
        if one.hint or need.group.load:
            self._history.add(
                "query",
                one.begun,
                ref=one.ref,
                table=need.table,
                group=need.group.name,
                session=f"s{need.session}" if "@SESSION@" in need.hint else "",
                hint=one.hint,
                manager=one.manager,
                result=CODES.get(code, "errored"),
                engine=body.split(b"\t")[1].decode() if body.count(b"\t") > 1 else "",
                **more,
            )

    def _followed(self, one: Try) -> None:
        """A load has ended: those that read it come at once, by another manager."""
        self._ended[one.need.table] = one.ref
        for group in self._followers.get(one.need.group.name, ()):
            others = [name for name in self._names if name in self.ready and name != one.manager]
            need = dataclasses.replace(
                one.need,
                number=-self._serial,
                at=self._world.now() - self._world.zero + FOLLOWS,
                group=group,
                work=group.work,
                memory=round(group.memory),
                hint=group.hint.replace("@LAST@", one.ref),
                tries=0,
                over=False,
            )
            self.open += 1
            place = self._names.index(self._chance.choice(others)) if others else 0
            draw = (place + 0.5) / len(self._names)
            self._world.net.reactor.callLater(FOLLOWS / SECOND, self._try, need, draw, True)

    def _waited(self, need: Need) -> int:
        return self._world.now() - self._world.zero - need.at

    def answered(self, one: Try, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        word = CODES.get(code, "errored")
        self._stop(one)
        self._tell(one, code, fields, body)
        if word == "returned" and one.need.group.load:
            self._followed(one)
        self._world.add(
            What.ANSWERED,
            batch=one.ref,
            group=one.need.group.name,
            manager=one.manager,
            told=word,
            need=one.need.number,
        )
        if word == "returned":
            self._over(
                one.need, one.manager, "met" if self._waited(one.need) <= one.need.group.goal else "late"
            )
        else:
            cooldown = fields.get("cooldown", "")
            self._again(one.need, word, int(cooldown) * 10 if cooldown.isdecimal() else 0, one.manager)

    def ended(self, connection: Connection, tries: list[Try]) -> None:
        """A connection is gone. What was open on it is the client's to repeat, if it may."""
        if connection in self._connections[connection.manager]:
            self._connections[connection.manager].remove(connection)
        for one in tries:
            self._stop(one)
            self._world.add(
                What.LOST, batch=one.ref, group=one.need.group.name, manager=one.manager, need=one.need.number
            )
            self._again(one.need, "lost", 0, one.manager)
        if tries:
            self.lose(connection.manager, self._clients.notice)

    def lose(self, manager: str, after: int) -> None:
        """The front learns that nobody takes requests there; it asks again whether the manager is ready."""
        self._world.net.reactor.callLater(after / SECOND, self.ready.discard, manager)

    def _forget(self, connection: Connection, one: Try) -> None:
        """Nothing came long past the limit. It stays open in the record; the client leaves."""
        one.timer = None
        connection.leave(one)
        self._over(one.need, one.manager, "unanswered")

    def _stop(self, one: Try) -> None:
        if one.timer is not None and one.timer.active():
            one.timer.cancel()
        one.timer = None

    def _again(self, need: Need, word: str, cooldown: int, manager: str = "") -> None:
        """Another try, where clients make one: of repeatable batches after any failure, of others after a
        pushback; never past the limit."""
        group = need.group
        allowed = word == "pushed back" or group.effect is Idempotency.IDEMPOTENT or not manager
        wait = cooldown or int(self._clients.backoff * 2 ** (need.tries - 1) * (0.5 + self._chance.random()))
        late = self._waited(need) + wait >= group.limit
        if need.over or not allowed or need.tries > self._clients.retries or late:
            self._over(need, manager, word)
        else:
            self._world.net.reactor.callLater(wait / SECOND, self._try, need, self._chance.random())

    def _over(self, need: Need, manager: str, word: str) -> None:
        if not need.over:
            need.over = True
            self.open -= 1
            self._world.add(
                What.OVER,
                group=need.group.name,
                manager=manager,
                told=word,
                need=need.number,
                figure=float(self._waited(need)),
                batch=self._release(manager) if manager else "",
            )

    def close(self) -> None:
        for connections in self._connections.values():
            for connection in list(connections):
                connection.end()
