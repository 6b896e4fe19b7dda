"""Clients: usual ones, which note when each final answer came, and ones that withdraw what takes too long."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from standins import HOST, Record, frame, parse_answer, read_frame, request


MAX_OPEN = 32
"""PROTOCOL: up to 32 requests may be open on one connection."""


@dataclass
class Sent:
    """A request of a usual client."""

    ref: str
    service: str
    allow_ms: int
    at: float
    is_first: bool = False
    answered_at: float | None = None
    code: int | None = None
    answers: int = 0
    ended_at: float | None = None


class UsualClient:
    """One connection with requests at a steady rate; a new connection is made when one ends."""

    def __init__(self, record: Record, port: int, seed: int) -> None:
        self._record, self._port = record, port
        self._random = random.Random(seed)
        self.sent: list[Sent] = []
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._open: dict[int, Sent] = {}
        self._stream = 0
        self._reading: asyncio.Task[None] | None = None

    async def _connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        self._stream, self._open = 0, {}
        self._reading = asyncio.ensure_future(self._read(self._reader, self._open))

    async def _read(self, reader: asyncio.StreamReader, opened: dict[int, Sent]) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                kind, stream, payload = await read_frame(reader)
                if kind != 4 or stream not in opened:
                    continue
                sent = opened[stream]
                sent.answers += 1
                if sent.answered_at is None:
                    code, _, _ = parse_answer(payload)
                    sent.answered_at, sent.code = time.monotonic(), code
                    took = (sent.answered_at - sent.at) * 1000
                    self._record.line(f"client answered {sent.ref} code={code} after_ms={took:.0f}")
        for sent in opened.values():
            if sent.answered_at is None:
                sent.ended_at = time.monotonic()
                self._record.line(f"client connection ended over {sent.ref}")
        if self._reader is reader:
            self._writer = None

    async def run(self, until: float, interval_s: float, service: str, allow_ms: int, body: bytes) -> None:
        """Sends requests until a time, then waits until the last is out of its time."""
        await asyncio.sleep(self._random.uniform(0, interval_s))
        while time.monotonic() < until:
            if self._writer is None or self._writer.is_closing():
                try:
                    await self._connect()
                except OSError:
                    await asyncio.sleep(interval_s)
                    continue
            assert self._writer is not None
            if sum(sent.answered_at is None for sent in self._open.values()) >= MAX_OPEN:
                await asyncio.sleep(interval_s)
                continue
            self._stream += 1
            sent = Sent(f"{self._random.getrandbits(64):016x}", service, allow_ms, time.monotonic())
            sent.is_first = self._stream == 1
            fields = {"service": service, "ref": sent.ref, "allow": str(allow_ms), "effort": "20", "space": "20"}
            self._open[self._stream] = sent
            self.sent.append(sent)
            self._writer.write(request(self._stream, fields, body))
            self._record.line(f"client sent {sent.ref} {service} allow_ms={allow_ms}")
            await asyncio.sleep(interval_s * self._random.uniform(0.8, 1.2))

    def close(self) -> None:
        """Closes the connection."""
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.close()


class LoadClient:
    """Sends loads at a steady rate on one connection, and withdraws (type 8) each that is not answered in time.

    Attributes:
        withdrawn: When each load was withdrawn, by its id.
        sent: The number of loads sent.
    """

    def __init__(self, record: Record, port: int, seed: int, patience_s: tuple[float, float]) -> None:
        self._record, self._port = record, port
        self._random = random.Random(500 + seed)
        self._patience_s = patience_s
        self.withdrawn: dict[str, float] = {}
        self.sent = 0

    async def run(self, until: float, interval_s: float, service: str, allow_ms: int, body: bytes) -> None:
        """Sends until a time, then waits for the last answers and withdrawals."""
        await asyncio.sleep(self._random.uniform(0, interval_s))
        reader, writer = await asyncio.open_connection(HOST, self._port)
        waiting: dict[int, str] = {}
        reading = asyncio.ensure_future(self._read(reader, waiting))
        stream = 0
        try:
            while not reading.done():
                if time.monotonic() < until and len(waiting) < MAX_OPEN - 2:
                    stream += 1
                    ref = f"{self._random.getrandbits(64):016x}"
                    fields = {"service": service, "ref": ref, "allow": str(allow_ms), "effort": "200", "space": "50"}
                    waiting[stream] = ref
                    writer.write(request(stream, fields, body))
                    self.sent += 1
                    self._record.line(f"client sent {ref} {service} allow_ms={allow_ms}")
                    patience_s = self._random.uniform(*self._patience_s)
                    asyncio.get_running_loop().call_later(patience_s, self._withdraw, writer, waiting, stream)
                elif time.monotonic() >= until and not waiting:
                    return
                await asyncio.sleep(interval_s * self._random.uniform(0.8, 1.2))
        finally:
            reading.cancel()
            writer.close()

    def _withdraw(self, writer: asyncio.StreamWriter, waiting: dict[int, str], stream: int) -> None:
        ref = waiting.pop(stream, None)
        if ref is not None and not writer.is_closing():
            writer.write(frame(8, stream, b""))
            self.withdrawn[ref] = time.monotonic()
            self._record.line(f"client withdrew {ref}")

    async def _read(self, reader: asyncio.StreamReader, waiting: dict[int, str]) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                kind, stream, payload = await read_frame(reader)
                ref = waiting.pop(stream, None) if kind == 4 else None
                if ref is not None:
                    self._record.line(f"client answered {ref} code={payload[0]}")
