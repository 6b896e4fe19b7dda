"""The discovery service of one process: long polls over the events of the list, which may fail."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from enum import Enum
from typing import Any

from tests.soak.engines import reset

QUERY = re.compile(rb"SUB=(\d+)&wait=(\d+)")


class DiscoveryBehaviour(Enum):
    """How the discovery service behaves at the moment."""

    HEALTHY = "sound"
    DOWN = "resets connections"
    SILENT = "takes requests and says nothing"
    SHORT = "breaks off within an answer"
    ERRORS = "answers 503"


class EventList:
    """All events of the list, the same for every process."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.watchers = set[Callable[[], None]]()

    def publish(self, *rows: dict[str, Any], complete: bool = False) -> None:
        number = len(self.events) + 1
        members = {"revision": number, "complete": complete, "members": list(rows)}
        self.events.append({"n": number, "members": members})
        for watcher in list(self.watchers):
            watcher()


class DiscoverySession(asyncio.Protocol):
    """One connection of a process to its discovery service."""

    def __init__(self, discovery: DiscoveryServer) -> None:
        self._discovery, self._received = discovery, b""
        self.transport: asyncio.Transport | None = None
        self._since: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._discovery.polls.add(self)
        if self._discovery.behaviour is DiscoveryBehaviour.DOWN:
            reset(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery.polls.discard(self)
        self._discovery.list.watchers.discard(self.answer_if_newer)

    def data_received(self, data: bytes) -> None:
        self._received += data
        if b"\r\n\r\n" not in self._received:
            return
        match, self._received = QUERY.search(self._received), b""
        assert match is not None
        self._since = int(match[1])
        self._discovery.list.watchers.add(self.answer_if_newer)
        self._timer = asyncio.get_running_loop().call_later(int(match[2]) / 1000, self._answer)
        self.answer_if_newer()

    def answer_if_newer(self) -> None:
        if self._since is not None and len(self._discovery.list.events) > self._since:
            self._answer()

    def _answer(self) -> None:
        behaviour, since, transport = self._discovery.behaviour, self._since, self.transport
        self._discovery.list.watchers.discard(self.answer_if_newer)
        if self._timer is not None:
            self._timer.cancel()
        if (
            since is None
            or transport is None
            or transport.is_closing()
            or behaviour is DiscoveryBehaviour.SILENT
        ):
            return
        self._since = None
        events = self._discovery.list.events
        body = json.dumps({"n": len(events), "events": events[since:]}).encode()
        if behaviour is DiscoveryBehaviour.ERRORS:
            transport.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is DiscoveryBehaviour.SHORT:
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:9]))
        else:
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            self._discovery.notified(since, len(events))


class DiscoveryServer:
    """The discovery service as one process sees it, at the ports that its configurations have named."""

    def __init__(self, events: EventList, notified: Callable[[int, int], None]) -> None:
        """`notified`: called with the numbers between which events were handed over."""
        self.list, self.notified, self.behaviour = events, notified, DiscoveryBehaviour.HEALTHY
        self.polls = set[DiscoverySession]()
        self._servers: list[asyncio.Server] = []

    async def open(self) -> int:
        """A further port, to which the discovery service moves; the ones before stay."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoverySession(self), "127.0.0.1", 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def set(self, behaviour: DiscoveryBehaviour) -> None:
        self.behaviour = behaviour
        if behaviour is DiscoveryBehaviour.DOWN:
            for poll in list(self.polls):
                if poll.transport is not None:
                    reset(poll.transport)

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for poll in list(self.polls):
            if poll.transport is not None:
                poll.transport.abort()
