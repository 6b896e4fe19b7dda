"""The discovery service of a run: gateways poll it for changes of the engines.

Each gateway is sent engines at the addresses by which it reaches them, in events numbered from 1 at each of
its starts.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.lab.event_log import EngineState, EventKind
from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.lab.run_context import RunContext

NOTIFIED_AFTER = 7 * SECOND
"""After it a change counts as known to all gateways, whether it reached them or not."""
MAX_POLL_S = 5.0
POLL_PATTERN = re.compile(rb"SUB=(\d+)&wait=(\d+)")


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine in the endpoint list."""

    name: str
    kind: str
    zone: str
    state: EngineState
    started_at: int


@dataclass(slots=True)
class _Poll:
    """A poll that waits: how many events the gateway has, and the timer of its end."""

    known_events: int
    timer: Any


class DiscoveryServer:
    """The discovery service.

    Attributes:
        entries: the engines as they are now, by name.
        addresses: by gateway and engine.
    """

    def __init__(self, context: RunContext, delay: Duration) -> None:
        """`delay` is how long after a change the discovery service has it."""
        self._context, self._delay = context, delay
        self.entries = dict[str, EngineEntry]()
        self.addresses = dict[tuple[str, str], str]()
        self._changes = list[Sequence[EngineEntry]]()
        self._known_at_start = dict[str, int]()  # by gateway: how many changes there were when it started
        self._notified = dict[str, int]()  # by gateway: how many changes it counts as notified of
        self._polls = dict[DiscoverySession, _Poll]()

    def start_list(self, gateway: str) -> dict[str, Any]:
        """What a gateway knows at its start: the complete list."""
        self._known_at_start[gateway] = self._notified[gateway] = len(self._changes)
        entries = [entry for entry in self.entries.values() if entry.state is not EngineState.DELETED]
        self._log_notified(gateway, entries)
        return {"n": 1, "events": [self._event(gateway, 1, entries, True)]}

    def publish(self, entry: EngineEntry) -> None:
        """An engine has changed: gateways are notified after the delay."""
        self.entries[entry.name] = entry
        self._context.call_later(self._delay, self._add_change, [entry])

    def _add_change(self, entries: Sequence[EngineEntry]) -> None:
        self._changes.append(entries)
        for session in list(self._polls):
            self._answer(session)
        self._context.call_later(NOTIFIED_AFTER, self._count_as_notified, len(self._changes))

    def _count_as_notified(self, change_count: int) -> None:
        for gateway in self._notified:
            self._mark_notified(gateway, change_count)

    def accept(self, connection: FaultyConnection) -> DiscoverySession:
        """A gateway has connected."""
        return DiscoverySession(self, connection)

    def poll(self, session: DiscoverySession, known_events: int, wait_s: float) -> None:
        """Answers once there is more than the gateway knows, or after the wait."""
        timer = self._context.network.reactor.callLater(min(wait_s, MAX_POLL_S), self._answer, session, True)
        self._polls[session] = _Poll(known_events, timer)
        self._answer(session)

    def drop(self, session: DiscoverySession) -> None:
        """A session has ended, or its poll was answered."""
        poll = self._polls.pop(session, None)
        if poll is not None and poll.timer.active():
            poll.timer.cancel()

    def _answer(self, session: DiscoverySession, also_empty: bool = False) -> None:
        gateway = session.gateway
        known_events = self._polls[session].known_events
        known_at_start = self._known_at_start.get(gateway, 0)
        changes = self._changes[known_at_start + max(0, known_events - 1) :]
        if not changes and not also_empty:
            return
        self.drop(session)
        last_event = known_events + len(changes)
        events = [
            self._event(gateway, number, entries, False)
            for number, entries in enumerate(changes, start=known_events + 1)
        ]
        session.answer(json.dumps({"n": last_event, "events": events}).encode())
        self._mark_notified(gateway, known_at_start + last_event - 1)

    def _mark_notified(self, gateway: str, change_count: int) -> None:
        for entries in self._changes[self._notified.get(gateway, 0) : change_count]:
            self._log_notified(gateway, entries)
        self._notified[gateway] = max(self._notified.get(gateway, 0), change_count)

    def _log_notified(self, gateway: str, entries: Iterable[EngineEntry]) -> None:
        for entry in entries:
            self._context.log(EventKind.NOTIFIED, gateway=gateway, engine=entry.name, detail=entry.state)

    def _event(
        self, gateway: str, number: int, entries: Iterable[EngineEntry], is_complete: bool
    ) -> dict[str, Any]:
        members = [self._member(gateway, entry) for entry in entries]
        return {"n": number, "members": {"revision": number, "complete": is_complete, "members": members}}

    def _member(self, gateway: str, entry: EngineEntry) -> dict[str, Any]:
        return {
            "id": entry.name,
            "host_port": self.addresses[gateway, entry.name],
            "locality": entry.zone,
            "flavor": entry.kind,
            "cell": 0,
            "phase": entry.state,
            "size": 1,
            "up_since_ms": entry.started_at // MILLISECOND,
        }


class DiscoverySession:
    """One connection of one gateway: one long poll at a time."""

    def __init__(self, server: DiscoveryServer, connection: FaultyConnection) -> None:
        self._server, self._connection, self.gateway = server, connection, connection.client
        self._received = b""

    def deliver(self, data: bytes) -> None:
        """The gateway has sent (a part of) a request."""
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, self._received = self._received.split(b"\r\n\r\n", 1)
            poll = POLL_PATTERN.search(head)
            if poll is None:
                self._connection.reset()
                return
            self._server.poll(self, int(poll[1]), int(poll[2]) / 1000)

    def closed(self, was_reset: bool) -> None:
        """The connection is over."""
        self._server.drop(self)

    def set_flowing(self, is_flowing: bool) -> None:
        """Nothing to pause: an answer is made only when it is asked for."""

    def answer(self, body: bytes) -> None:
        """Answers the poll."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._connection.send(self, head + body)


__all__ = ["DiscoveryServer", "DiscoverySession", "EngineEntry"]
