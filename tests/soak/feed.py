"""The control feed of one process: a long poll over the events of the list, which may fail in many ways."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from enum import Enum
from typing import Any

from tests.soak.engines import reset

QUERY = re.compile(rb"SUB=(\d+)&wait=(\d+)")


class FeedMood(Enum):
    """How the feed behaves at the moment."""

    SOUND = "sound"
    DOWN = "resets connections"
    SILENT = "takes requests and says nothing"
    SHORT = "breaks off within an answer"
    ERRORS = "answers 503"


class EventList:
    """All events of the list, the same for every process."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.watchers = set[Callable[[], None]]()

    def tell(self, *rows: dict[str, Any], complete: bool = False) -> None:
        number = len(self.events) + 1
        members = {"revision": number, "complete": complete, "members": list(rows)}
        self.events.append({"n": number, "members": members})
        for watcher in list(self.watchers):
            watcher()


class Poll(asyncio.Protocol):
    """One connection of a process to its feed."""

    def __init__(self, feed: FeedHost) -> None:
        self._feed, self._held = feed, b""
        self.transport: asyncio.Transport | None = None
        self._since: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._feed.polls.add(self)
        if self._feed.mood is FeedMood.DOWN:
            reset(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._feed.polls.discard(self)
        self._feed.list.watchers.discard(self.news)

    def data_received(self, data: bytes) -> None:
        self._held += data
        if b"\r\n\r\n" not in self._held:
            return
        match, self._held = QUERY.search(self._held), b""
        assert match is not None
        self._since = int(match[1])
        self._feed.list.watchers.add(self.news)
        self._timer = asyncio.get_running_loop().call_later(int(match[2]) / 1000, self._answer)
        self.news()

    def news(self) -> None:
        if self._since is not None and len(self._feed.list.events) > self._since:
            self._answer()

    def _answer(self) -> None:
        mood, since, transport = self._feed.mood, self._since, self.transport
        self._feed.list.watchers.discard(self.news)
        if self._timer is not None:
            self._timer.cancel()
        if since is None or transport is None or transport.is_closing() or mood is FeedMood.SILENT:
            return
        self._since = None
        events = self._feed.list.events
        body = json.dumps({"n": len(events), "events": events[since:]}).encode()
        if mood is FeedMood.ERRORS:
            transport.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        elif mood is FeedMood.SHORT:
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:9]))
        else:
            transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            self._feed.told(since, len(events))


class FeedHost:
    """The feed as one process sees it, at the ports that its configurations have named."""

    def __init__(self, events: EventList, told: Callable[[int, int], None]) -> None:
        """`told`: called with the numbers between which events were handed over."""
        self.list, self.told, self.mood = events, told, FeedMood.SOUND
        self.polls = set[Poll]()
        self._servers: list[asyncio.Server] = []

    async def open(self) -> int:
        """A further port, to which the feed moves; the ones before stay."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Poll(self), "127.0.0.1", 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def set(self, mood: FeedMood) -> None:
        self.mood = mood
        if mood is FeedMood.DOWN:
            for poll in list(self.polls):
                if poll.transport is not None:
                    reset(poll.transport)

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for poll in list(self.polls):
            if poll.transport is not None:
                poll.transport.abort()
