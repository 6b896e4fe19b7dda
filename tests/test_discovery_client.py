"""Tests of the client of the discovery service on a simulated clock, with slow and silent services."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from vanerelay.net import discovery_client
from vanerelay.net.buffers import BufferPool
from vanerelay.net.discovery_client import MAX_OVERDUE_POLLS, DiscoveryClient
from vanerelay.net.discovery_connection import MAX_OVERDUE_SILENCE_S

KNOWN_AFTER_S = 7.0
"""A change counts as known by then, wherever it arrived from."""
GRACE_S = 2.0
"""Nothing new may be sent to a draining engine later than this after the change counts as known."""

Pieces = list[tuple[float, bytes]]


class Connection(StringTransport):
    """The service's end of a connection; what the client sends is passed to the service at once."""

    def __init__(self, service, protocol):
        super().__init__()
        self.service, self.protocol, self.open = service, protocol, True

    def write(self, data):
        self.service.requested(self, data)

    def abortConnection(self):
        if self.open:
            self.open = False
            self.service.connections.remove(self)
            self.service.clock.callLater(0, self.protocol.connectionLost, Failure(ConnectionAborted()))

    def deliver(self, data):
        if self.open:
            self.protocol.dataReceived(data)


class Service(Clock):
    """A discovery service and the event loop of its client.

    Attributes:
        delay_s: Returns the time after which a poll's answer begins, once the service has it.
        pieces: Splits an answer into pieces, each with the pause before it except the first.
    """

    def __init__(self):
        super().__init__()
        self.clock = self
        self.connections: list[Connection] = []
        self.events: list[dict] = []
        self.delay_s: Callable[[], float] = lambda: 0.0
        self.pieces: Callable[[bytes], Pieces] = lambda answer: [(0.0, answer)]
        self.most_connections = 0
        self.refuses = False

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        self.callLater(0.01, self.connected, factory)
        return type("Connector", (), {"stopConnecting": lambda self: None})()

    def connected(self, factory):
        if self.refuses:
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
            return
        protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
        connection = Connection(self, protocol)
        self.connections.append(connection)
        self.most_connections = max(self.most_connections, len(self.connections))
        protocol.makeConnection(connection)

    def requested(self, connection, request):
        since, wait = (int(part.split(b"=")[1]) for part in request.split()[1].split(b"?")[1].split(b"&"))
        self.look(connection, since, self.seconds() + wait / 1000)

    def look(self, connection, since, until):
        if connection.open and len(self.events) <= since and self.seconds() < until - 1e-6:
            self.callLater(0.05, self.look, connection, since, until)
            return
        body = json.dumps({"n": len(self.events), "events": self.events[since:]}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self.callLater(self.delay_s(), self.send, connection, self.pieces(answer))

    def send(self, connection, pieces):
        """Sends the first piece, and each other one after its pause while the connection is open."""
        if connection.open:
            connection.deliver(pieces[0][1])
            if pieces[1:]:
                self.callLater(pieces[1][0], self.send, connection, pieces[1:])

    def add_event(self):
        row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
        members = {"complete": True, "members": [row]}
        self.events.append({"n": len(self.events) + 1, "members": members})

    def run(self, duration_s):
        end = self.seconds() + duration_s
        while self.calls and self.calls[0].getTime() <= end:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0.0, end - self.seconds()))


class Client:
    """A client of the simulated service, and the times at which it passed on each event."""

    def __init__(self, service):
        self.applied_at: dict[int, float] = {}
        self.client = DiscoveryClient(
            service, BufferPool(), "127.0.0.1:1", {}, {}, 1.0, random.Random(1), self.applied
        )
        self.service = service
        self.client.start()

    def applied(self, change):
        assert change.number == len(self.applied_at) + 1, "each event is passed on once, in order"
        self.applied_at[change.number] = self.service.seconds()


@pytest.fixture
def service() -> Iterator[Service]:
    return Service()


def changes_while_slow(service, count, every_s, settle_s, before_s=0.0):
    """Adds events at different times of the poll cycle; returns after how long each was passed on."""
    client, added_at = Client(service), {}
    service.run(before_s)
    for number in range(1, count + 1):
        service.run(every_s)
        service.add_event()
        added_at[number] = service.seconds()
    service.run(settle_s)
    client.client.stop()
    assert set(client.applied_at) == set(added_at)
    return [client.applied_at[number] - at for number, at in added_at.items()]


@pytest.mark.parametrize(
    ("delay_s", "slow_before_s"),
    [(0.0, 0.0), (2.4, 0.0), (2.6, 0.0), (3.0, 0.0), (4.5, 0.0), (6.0, 0.0), (6.9, 20.0)],
)
def test_changes_of_a_slow_service_are_known_within_the_grace_of_a_drain(service, delay_s, slow_before_s):
    """Guards against a slow service whose answers were aborted one after the other, and never taken."""
    service.delay_s = lambda: delay_s
    late = changes_while_slow(service, 40, 1.37, 20.0, slow_before_s)
    assert max(late) <= KNOWN_AFTER_S + GRACE_S
    assert service.most_connections <= MAX_OVERDUE_POLLS + 1


@pytest.mark.parametrize("seed", range(8))
def test_changes_are_known_in_time_with_answers_that_take_up_to_6_s_at_random(service, seed):
    """Guards against time limits that follow the last answers, and so miss the next slower one."""
    chance = random.Random(seed)
    service.delay_s = lambda: chance.uniform(0.0, 6.0)
    assert max(changes_while_slow(service, 40, 1.37, 20.0)) <= KNOWN_AFTER_S + GRACE_S


@pytest.mark.parametrize("delay_s", [6.9, 10.0, 20.0, 50.0])
def test_answers_of_a_very_slow_service_are_taken_in_the_end(service, delay_s):
    service.delay_s = lambda: delay_s
    assert max(changes_while_slow(service, 3, 1.0, 3 * delay_s)) <= 2 * delay_s + KNOWN_AFTER_S


@pytest.mark.parametrize(("piece_bytes", "pause_s"), [(1, 0.3), (1, 0.6), (7, 0.6), (7, 6.0)])
def test_answer_that_arrives_in_slow_pieces_is_taken_in_the_end(service, piece_bytes, pause_s):
    """Guards against a limit for the whole answer: a large one on a slow link was asked for without end."""
    service.pieces = lambda answer: [
        (pause_s, answer[at : at + piece_bytes]) for at in range(0, len(answer), piece_bytes)
    ]
    longest_s = 220 / piece_bytes * pause_s
    assert changes_while_slow(service, 1, 1.0, 2 * longest_s + 20) != []
    assert service.most_connections <= MAX_OVERDUE_POLLS + 1


def test_service_that_is_quick_again_is_polled_on_one_connection(service):
    service.delay_s = lambda: 5.0
    client = Client(service)
    service.run(30)
    service.delay_s = lambda: 0.0
    service.run(30)
    assert len(service.connections) == 1
    service.add_event()
    service.run(0.5)
    assert client.applied_at
    client.client.stop()
    assert not service.connections


def test_silent_connections_hold_off_no_poll_and_are_given_up(service):
    """Guards against overdue polls on dead connections, which must not take the place of the next poll."""
    service.delay_s = lambda: 1e6
    client = Client(service)
    service.run(2 * MAX_OVERDUE_SILENCE_S)
    service.add_event()
    service.delay_s = lambda: 0.0
    service.run(2.5 + 1.0 + 0.1)
    assert client.applied_at
    service.run(MAX_OVERDUE_SILENCE_S)
    assert len(service.connections) == 1


def test_change_of_the_address_drops_the_polls_of_a_slow_service(service):
    service.delay_s = lambda: 6.0
    client = Client(service)
    service.run(10)
    client.client.change_address("127.0.0.1:2")
    service.run(0.05)
    assert len(service.connections) == 1


def test_refused_connects_are_repeated_with_a_backoff(service):
    service.refuses = True
    client = Client(service)
    service.run(20)
    service.refuses = False
    service.add_event()
    service.run(1.1)
    assert client.applied_at


def test_log_tells_each_change_of_how_the_service_answers_once(service, monkeypatch):
    lines = []
    for level in ("info", "warning"):
        monkeypatch.setattr(discovery_client.log, level, lambda line, **_: lines.append(line))
    Client(service)
    for delay_s in (0.0, 5.0, 1e6, 0.0):
        service.delay_s = lambda delay_s=delay_s: delay_s
        service.run(80)
    failed, succeed = "discovery poll failed", "discovery polls succeed again"
    assert lines == [failed, "discovery polls succeed, but their answers are overdue", failed, succeed]
