"""Engines of a soak: they speak the engines' protocol, run what they are sent and misbehave as told."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum

from tests.soak.checker import Attempt, Checker, EngineFacts

PAGES = 3


class EngineBehaviour(Enum):
    """How an engine behaves at the moment."""

    HEALTHY = "sound"
    HANGS = "hangs"
    BUSY = "answers BUSY"
    FAILS = "answers ERR"
    UNREADABLE = "answers what cannot be read"
    RESETS = "resets under requests"
    RESETS_LATE = "resets after an answer has begun"


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection as a dying process does."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class Session(asyncio.Protocol):
    """One connection to an engine."""

    def __init__(self, engine: EngineServer) -> None:
        self._engine, self._received = engine, bytearray()
        self.transport: asyncio.Transport | None = None
        self.running: dict[str, asyncio.TimerHandle | None] = {}
        self.pages: dict[str, list[bytes]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._engine.sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._engine.sessions.discard(self)
        for timer in self.running.values():
            if timer is not None:
                timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._received += data
        while (words := self._command()) is not None:
            self._engine.command(self, words)

    def _command(self) -> list[str] | None:
        """The next whole array of bulk strings."""
        end = self._received.find(b"\r\n")
        if end < 0:
            return None
        words, at = [], end + 2
        for _ in range(int(self._received[1:end])):
            end = self._received.find(b"\r\n", at)
            if end < 0:
                return None
            size = int(self._received[at + 1 : end])
            if len(self._received) < end + 4 + size:
                return None
            words.append(self._received[end + 2 : end + 2 + size].decode())
            at = end + 4 + size
        del self._received[:at]
        return words

    def reply(self, ident: str, word: str, told: str = "-", body: bytes = b"") -> None:
        parts = [ident.encode(), word.encode(), told.encode(), body]
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in parts))


class EngineServer:
    """One engine, at a port of its own."""

    def __init__(self, name: str, checker: Checker, facts: EngineFacts, seed: int, work_s: float) -> None:
        self.name, self._checker, self.facts = name, checker, facts
        self._random, self._work_s = random.Random(seed), work_s
        self.behaviour, self.port, self.phase = EngineBehaviour.HEALTHY, 0, "SERVING"
        self.started_unix_ms = 0
        self.sessions = set[Session]()
        self._server: asyncio.Server | None = None
        checker.engines[name] = facts

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Session(self), "127.0.0.1", self.port, backlog=512, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """The process dies: nobody listens, and its connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> None:
        for session in list(self.sessions):
            if session.transport is not None:
                reset(session.transport)

    def entry(self) -> dict[str, object]:
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "here",
            "flavor": "k",
            "cell": 0,
            "phase": self.phase,
            "size": 1,
            "up_since_ms": self.started_unix_ms,
        }

    def command(self, session: Session, words: list[str]) -> None:
        word, ident = words[0], words[1]
        if word == "serve":
            told = dict(pair.split("=") for pair in words[2].split(","))
            attempt = self._checker.arrived(ident, self.name, int(told["patience"]) / 1000)
            self._serve(session, ident, attempt)
        elif word == "cancel":
            timer = session.running.pop(ident, None)
            if timer is not None:
                timer.cancel()
        elif (
            word == "read" and self.behaviour is EngineBehaviour.RESETS_LATE and session.transport is not None
        ):
            reset(session.transport)
        elif word == "read" and ident in session.pages:
            page = int(words[2])
            session.reply(ident, "ROWS", f"index={page}", session.pages[ident][page])
        elif word == "health":
            session.reply(ident, "UP")

    def _serve(self, session: Session, ident: str, attempt: Attempt) -> None:
        if self.behaviour is EngineBehaviour.HANGS:
            session.running[ident] = None
        elif self.behaviour is EngineBehaviour.BUSY:
            attempt.may_have_run = False
            session.reply(ident, "BUSY")
        elif self.behaviour is EngineBehaviour.FAILS:
            session.reply(ident, "ERR")
        elif self.behaviour is EngineBehaviour.RESETS and session.transport is not None:
            reset(session.transport)
        else:
            runs_s = self._random.expovariate(1.0 / self._work_s)
            loop = asyncio.get_running_loop()
            session.running[ident] = loop.call_later(runs_s, self._end, session, ident)

    def _end(self, session: Session, ident: str) -> None:
        session.running.pop(ident, None)
        if self.behaviour is EngineBehaviour.HANGS:
            return
        if self.behaviour is EngineBehaviour.UNREADABLE and session.transport is not None:
            session.transport.write(b"*4\r\n$what is this\r\n" * 3)
            return
        pages = [f"{ident}\tb\tc\n".encode()]
        if self.behaviour is EngineBehaviour.RESETS_LATE or self._random.random() < 0.2:
            pages += [b"d\te\tf\n"] * (PAGES - 1)
        session.pages[ident] = pages
        told = f"total={len(pages)},elapsed={self._work_s * 1000:.1f},rss=40,l=queue:0;x0:0.1;x1:0.1"
        session.reply(ident, "OK", told, pages[0])
