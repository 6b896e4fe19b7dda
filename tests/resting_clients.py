"""Clients that keep connections open and ask on each from time to time, as a program of its own.

`python -m tests.resting_clients HOST PORT --seconds 4` prints what came of their queries as JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import struct
import time
from dataclasses import asdict, dataclass, field

from tests.abusive_clients import ANSWER, new_reference, request

CROSSING_S = 0.05  # of a query and the end of a resting connection
ALLOWANCE_S = 0.05  # that the protocol page adds to each time limit on sockets
LAG_TICK_S = 0.005
CONNECT_TIMEOUT_S = 5.0
HEADER = struct.Struct(">IBI")


@dataclass
class Results:
    """What came of the queries.

    Attributes:
        crossed: Queries that crossed the end of a resting connection and were sent again.
        shut: First queries of new connections that were shut, where others hold more than the clients' share.
        lost: A line for each query whose connection ended without an answer.
        late: A line for each query that was answered after its time limit.
    """

    asked: int = 0
    served: int = 0
    rejected: int = 0
    crossed: int = 0
    shut: int = 0
    worst_lag_s: float = 0.0
    lost: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)


class RestingConnection(asyncio.Protocol):
    """One connection with at most one open query."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.has_rested, self.ended = False, False
        self.answer: asyncio.Future[int | None] | None = None
        self._stream, self._received = 0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, reference: bytes, time_limit_s: float) -> asyncio.Future[int | None]:
        """Sends a query. The result is its status, or None if the connection ends before the answer."""
        assert self.transport is not None
        self._stream += 1
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request(self._stream, reference, allow=b"%d" % round(time_limit_s * 1000)))
        return self.answer

    def data_received(self, data: bytes) -> None:
        self._received += data
        while len(self._received) >= HEADER.size:
            size, kind, _ = HEADER.unpack_from(self._received)
            if len(self._received) < 4 + size:
                return
            if kind == ANSWER:
                self.has_rested = True
                self._settle(self._received[HEADER.size])
            self._received = self._received[4 + size :]

    def eof_received(self) -> bool:
        self.ended = True
        self._settle(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.eof_received()

    def _settle(self, status: int | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(status)


class RestingClients:
    """Asks on each connection at random times, and connects again where the gateway has ended one."""

    def __init__(
        self, address: tuple[str, int], interval_s: float, time_limit_s: float, may_be_shut: bool
    ) -> None:
        self._address, self._interval_s, self._time_limit_s = address, interval_s, time_limit_s
        self._may_be_shut = may_be_shut
        self._lags: list[tuple[float, float]] = []
        self.results = Results()

    async def run(self, connections: int, seconds: float) -> None:
        lag = asyncio.create_task(self._measure_lag())
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*(self._use(ends_at) for _ in range(connections)))
        lag.cancel()

    async def _use(self, ends_at: float) -> None:
        connection: RestingConnection | None = None
        while time.monotonic() < ends_at:
            if connection is None or connection.ended:
                connection = await self._connect()
            if connection is None:
                continue
            if not await self._ask(connection, new_reference()):
                connection = None
                continue
            await asyncio.sleep(random.expovariate(1 / self._interval_s))
        if connection is not None and connection.transport is not None:
            connection.transport.close()

    async def _connect(self) -> RestingConnection | None:
        loop = asyncio.get_running_loop()
        try:
            connecting = loop.create_connection(RestingConnection, *self._address)
            return (await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S))[1]
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return None

    async def _ask(self, connection: RestingConnection, reference: bytes, is_resent: bool = False) -> bool:
        """Returns False if the connection has ended."""
        results, asked_at, was_new = self.results, time.monotonic(), not connection.has_rested
        results.asked += not is_resent
        status = await connection.ask(reference, self._time_limit_s)
        span = time.monotonic() - asked_at
        if status is not None:
            results.served += status == 0
            results.rejected += status != 0
            if span > self._time_limit_s + ALLOWANCE_S + self._slack(asked_at):
                results.late.append(f"{reference.decode()}: answered after {span:.3f} s")
            return True
        if was_new and self._may_be_shut:
            results.shut += 1
        elif not was_new and span <= CROSSING_S + self._slack(asked_at):
            results.crossed += 1
            again = await self._connect()
            if again is not None and await self._ask(again, reference, True) and again.transport is not None:
                again.transport.close()
        else:
            what = "its first query" if was_new else "rested before"
            results.lost.append(f"{reference.decode()}: connection ({what}) ended after {span:.3f} s")
        return False

    def _slack(self, since: float) -> float:
        """The time by which this program may have been late to look."""
        return sum(lag for at, lag in self._lags if at >= since)

    async def _measure_lag(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_TICK_S)
            lag = time.monotonic() - began - LAG_TICK_S
            self.results.worst_lag_s = max(self.results.worst_lag_s, lag)
            if lag > LAG_TICK_S:
                self._lags.append((time.monotonic(), lag))


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m tests.resting_clients")
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("--connections", type=int, default=24)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--interval", type=float, default=0.2, help="mean seconds between two queries of one")
    parser.add_argument("--time-limit", type=float, default=1.0, help="seconds until a query is late")
    parser.add_argument("--may-be-shut", action="store_true", help="excuses ends of new connections")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    random.seed(told.seed)
    clients = RestingClients((told.host, told.port), told.interval, told.time_limit, told.may_be_shut)
    asyncio.run(clients.run(told.connections, told.seconds))
    print(json.dumps(asdict(clients.results)))


if __name__ == "__main__":
    main()
