"""Clients of one process: they ask, cancel, write slowly, fill connections and send garbage."""

from __future__ import annotations

import asyncio
import random
import struct
from collections.abc import Callable

from tests.soak.checker import CROSSING_S, REQUESTS_OWED_AFTER_SIGTERM_S, Checker, Effect, Request

ANSWER, LEAVE, REQUEST, LAST = 4, 8, 2, 64
HEAD = struct.Struct(">IBI")
CLASSES = {"look": Effect.PURE, "mark": Effect.TOKEN, "load": Effect.ONCE}
MAX_OPEN_REQUESTS = 32
MAX_CONNECTIONS = 3  # that the clients of a process hold
COMES_AGAIN = 0.3  # probability that a request comes again after its client has left
ACCEPTS_AFTER_SIGTERM_S = 0.3  # after SIGTERM within which new connections come


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request_payload(request: Request, service: str) -> bytes:
    told = {
        "service": service,
        "ref": request.reference,
        "allow": str(round(request.deadline_s * 1000)),
        "project": "acme",
        "effort": "50",
        "space": "40",
    }
    fields = b"".join(
        bytes((len(n),)) + n.encode() + len(v).to_bytes(2, "big") + v.encode() for n, v in told.items()
    )
    return bytes((len(told),)) + fields + b"SELECT 1 FROM sales_17.orders"


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: Clients) -> None:
        self._clients, self._received = clients, bytearray()
        self.transport: asyncio.Transport | None = None
        self.open: dict[int, Request] = {}
        self._stream, self.over, self.incarnation = 0, False, clients.incarnation()
        self._rested = False  # whether it has been of use before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    @property
    def usable(self) -> bool:
        going = self.transport is not None and not self.transport.is_closing()
        return going and not self.over and len(self.open) < MAX_OPEN_REQUESTS

    def ask(self, request: Request, service: str, pieces: int = 1) -> None:
        self._stream += 1
        data = frame(REQUEST, self._stream, request_payload(request, service))
        self.open[self._stream] = request
        if pieces == 1:
            self._last_piece(self._stream, request, data)
            return
        assert self.transport is not None
        self.over = True  # nobody else writes in between; it is closed once its answer is in
        self.transport.write(data[:11])
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, self._write, data[11:30])
        loop.call_later(0.12, self._last_piece, self._stream, request, data[30:])

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _last_piece(self, stream: int, request: Request, data: bytes) -> None:
        """A request counts as taken from its last byte on."""
        if stream not in self.open or self.transport is None or self.transport.is_closing():
            self.open.pop(stream, None)
            return
        request.sent_at = self._clients.now()
        self._clients.checker.sent(request)
        self.transport.write(data)

    def cancel(self) -> None:
        """Nobody waits for one of its requests any more."""
        for stream, request in list(self.open.items())[:1]:
            if request.sent_at:
                request.cancelled_at = self._clients.now()
                del self.open[stream]
                self._write(frame(LEAVE, stream))

    def disconnect(self) -> None:
        """The client closes with all that it had asked."""
        self.over = True
        for request in self.open.values():
            request.cancelled_at = self._clients.now()
        self.open.clear()
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self._received += data
        while len(self._received) >= HEAD.size:
            size, kind, stream = HEAD.unpack_from(self._received)
            if len(self._received) < 4 + size:
                return
            payload = bytes(self._received[HEAD.size : 4 + size])
            del self._received[: 4 + size]
            if kind == ANSWER and stream in self.open:
                self._answered(self.open.pop(stream), payload)

    def _answered(self, request: Request, payload: bytes) -> None:
        at = 2
        for _ in range(payload[1]):
            end = at + 1 + payload[at]
            at = end + 2 + int.from_bytes(payload[end : end + 2], "big")
        self._rested = True
        self._clients.checker.answered(request.reference, payload[0], payload[at:])
        if self.over and not self.open and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        opened, self.open = list(self.open.values()), {}
        sent = [request for request in opened if request.sent_at]
        for request in sent:
            request.closed_at = self._clients.now()
            request.excuse = request.excuse or self._clients.excuse(
                request, self.incarnation, sent, self._rested
            )


class Clients:
    """All clients of one process."""

    def __init__(
        self,
        process: str,
        address: tuple[str, int],
        checker: Checker,
        random_source: random.Random,
        now: Callable[[], float],
        slack: Callable[[], float],
        incarnation: Callable[[], int],
    ) -> None:
        self.process, self.checker, self.now, self.incarnation = process, checker, now, incarnation
        self._address, self._random, self._slack = address, random_source, slack
        self.connections: list[Connection] = []
        self.crowd: list[Connection] = []
        self.crowded = False
        self.terminated_at: float | None = None  # of the incarnation that ends
        self.killed: set[int] = set()  # incarnations that were killed without a warning
        self.leaves = 0.02  # probability that a client leaves after it has asked
        self.going = False
        self._count = 0
        self._tasks = set[asyncio.Task[None]]()

    def _request(self) -> tuple[Request, str]:
        self._count += 1
        service = self._random.choice(list(CLASSES))
        reference = f"{self._random.getrandbits(32):08x}{self._count:08x}"
        deadline_s = self._random.choice([0.05, 0.3, 0.8, 2.0, 2.0, 2.0])
        return Request(
            reference, self.process, self.incarnation(), CLASSES[service], deadline_s, 0.0
        ), service

    async def run(self, rate: float) -> None:
        """Asks at a rate until the end, on connections that stay open."""
        self.going = True
        while self.going:
            await asyncio.sleep(self._random.expovariate(rate))
            connection = await self._connection()
            if connection is None or not self.going:
                continue
            request, service = self._request()
            if len(connection.open) == 0 and self._random.random() < 0.03:
                connection.ask(request, service, pieces=3)
                continue
            connection.ask(request, service)
            if self._random.random() < self.leaves:
                span = self._random.uniform(0.0, 0.1)
                action = self._random.choice([connection.cancel, connection.disconnect])
                asyncio.get_running_loop().call_later(span, action)
                if self._random.random() < COMES_AGAIN:
                    task = asyncio.ensure_future(self._come_again(request, service))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _come_again(self, left: Request, service: str) -> None:
        """Sends a request once more under its reference, after its client has left."""
        await asyncio.sleep(self._random.uniform(0.3, 0.8))
        connection = await self._connection()
        if left.cancelled_at is None or connection is None or not self.going:
            return
        again = Request(left.reference, self.process, self.incarnation(), left.effect, left.deadline_s, 0.0)
        connection.ask(again, service)

    async def _connection(self) -> Connection | None:
        self.connections = [one for one in self.connections if not one.over]
        if len(self.connections) >= MAX_CONNECTIONS or self.connections and self._random.random() < 0.9:
            usable = [one for one in self.connections if one.usable]
            return self._random.choice(usable) if usable else None
        if self.terminated_at is not None and self.now() - self.terminated_at > ACCEPTS_AFTER_SIGTERM_S:
            usable = [one for one in self.connections if one.usable]
            return self._random.choice(usable) if usable else None
        made = await self._connect()
        if made is not None:
            self.connections.append(made)
        return made

    async def _connect(self) -> Connection | None:
        loop = asyncio.get_running_loop()
        try:
            _, made = await asyncio.wait_for(
                loop.create_connection(lambda: Connection(self), *self._address), 1.0
            )
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            return None
        return made

    async def pipeline(self) -> None:
        """A client that sends as many requests at once as it may."""
        connection = await self._connect()
        if connection is None:
            return
        for _ in range(MAX_OPEN_REQUESTS - 2):
            request, service = self._request()
            connection.ask(request, service)
        self.connections.append(connection)

    async def fill_connections(self, count: int, exceeds_share: bool) -> None:
        """Idle clients that connect all at once, within the clients' share of the descriptors or past it."""
        self.crowded = exceeds_share
        made = await asyncio.gather(*(self._connect() for _ in range(count)))
        self.crowd += [connection for connection in made if connection is not None]

    def close_idle_connections(self) -> None:
        for connection in self.crowd:
            connection.disconnect()
        self.crowd, self.crowded = [], False

    async def send_garbage(self) -> None:
        """A client that does not keep to the protocol, and sends much and goes."""
        connection = await self._connect()
        if connection is not None and connection.transport is not None:
            connection.over = True
            size = self._random.choice([3, 40, 5000])
            connection.transport.write(self._random.randbytes(size))
            asyncio.get_running_loop().call_later(self._random.choice([0.0, 0.2]), connection.disconnect)

    def disconnect_all(self) -> None:
        for connection in self.connections:
            connection.disconnect()

    def excuse(self, request: Request, incarnation: int, together: list[Request], rested: bool) -> str:
        """Why nobody owes an answer to a request whose connection has ended; empty: it is lost."""
        now = self.now()
        if incarnation in self.killed:
            return "killed"
        if (
            self.terminated_at is not None
            and request.sent_at > self.terminated_at + REQUESTS_OWED_AFTER_SIGTERM_S
        ):
            return "after the time for requests"
        if self.crowded and not rested and not request.attempts:
            return "crowd"  # new connections may be shut unread
        near = all(now - other.sent_at <= CROSSING_S + self._slack() for other in together)
        if near and rested and not request.attempts:
            return "crossed the end of a resting connection"
        return ""
