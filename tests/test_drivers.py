"""Tests of the protocol drivers for engines and clients, and of the gateway service.

They run on in-memory transports and a clock that the tests advance.
"""

from __future__ import annotations

import gc
import json
import random

import pytest
from click.testing import CliRunner
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from tests.helpers import SETTINGS
from vanerelay import attempt_outcome
from vanerelay.attempt_outcome import AttemptStage, EndCause
from vanerelay.cli import main
from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.extension import Extension, QueryConstraint
from vanerelay.interface import NEVER_RAN, AnswerStatus
from vanerelay.net import discovery_codec, frames
from vanerelay.net.attempt import Attempt
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.engine_connection import ConnectionSettings
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.frames import FrameKind
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.held_queries import ClientQuery
from vanerelay.net.memory_budget import MemoryBudget
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.net.resource_log import ResourceLog
from vanerelay.net.resp_codec import QueryCommand, command
from vanerelay.net.server import Server
from vanerelay.net.startup import Configuration


class FakeTransport(StringTransport):
    """A transport that sends its bytes and closes only when the test says so.

    Attributes:
        unread: The input in the socket of a client; one read takes one item.
        client: The client connection that reads, if it is one.
    """

    aborted = False
    dataBuffer, _tempDataBuffer, _tempDataLen = b"", (), 0  # what the peer has not taken

    def __init__(self, client=None):
        super().__init__()
        self.unread, self.client = [], client

    def setTcpNoDelay(self, _):
        pass

    setTcpKeepAlive = setTcpNoDelay
    bufferSize = 65536

    writes = 0  # calls of doWrite, which sends immediately

    def doWrite(self):
        self.writes += 1

    def write_now(self):
        self.doWrite()

    outstanding = received = 0  # bytes of output that the client's system has not received, and has

    def outstanding_bytes(self):
        return self.outstanding

    def received_bytes(self):
        return self.received

    def doRead(self):
        if self.client is None:
            return
        if self.unread:
            self.client.dataReceived(self.unread.pop(0))
            self.client.read_limit_reached()
        else:
            self.client.socket_emptied()

    def abortConnection(self):
        self.aborted = True

    def loseWriteConnection(self):
        self.disconnecting = True  # the peer sees the end of the stream

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)

    def flush(self):
        """Pretends that all bytes were sent."""
        self.clear()
        self.producer.resumeProducing()


class EngineHarness:
    """An engine pool with one engine, which records how attempts end."""

    def __init__(self, max_open=32, may_cancel=True, may_copy=True, connections=3, other_engines=2):
        self.reactor, self.ends, self.used = MemoryReactorClock(), [], []
        self.memory = MemoryBudget(2**30)
        settings = ConnectionSettings(max_open, may_cancel, may_copy, 0.25, 30.0, 0.6)
        self.engines = EnginePool(self.reactor, BufferPool(), settings, connections, memory=self.memory)
        for number in range(1 + other_engines):  # the connections are divided among all engines
            self.engines.update_engine(number, f"127.0.0.1:{9 + number}", 0, False)

    def send(self, name, time_out=5.0, used=None):
        attempt = Attempt(name.encode(), QueryCommand(b"look", 5000, b"S"), [] if used is None else used)
        attempt.done.addCallback(lambda end: self.ends.append((name, end.cause, end.stage)))
        self.engines.send(0, attempt, time_out)
        return attempt

    def connect(self, number=0):
        """Completes a pending connect and returns its transport.

        `receive` and `lose_connection` then act on this connection.
        """
        protocol = self.reactor.tcpClients[number][2].buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        self.lose_connection = lambda error=ConnectionLost: protocol.connectionLost(Failure(error()))
        self.receive = protocol.dataReceived
        return transport

    def fail_connecting(self, error):
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error()))


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (ConnectionRefusedError, EndCause.CONNECTION_REFUSED),
        (TimeoutError, EndCause.CONNECT_TIMEOUT),
        (OSError, EndCause.CONNECTION_REFUSED),
    ],
)
def test_failed_connect_ends_all_waiting_attempts_as_not_connected(error, cause):
    harness = EngineHarness()
    harness.send("a")
    harness.send("b")
    assert len(harness.reactor.tcpClients) == 1  # both attempts wait for one connection
    harness.fail_connecting(error)
    assert harness.ends == [
        ("a", cause, AttemptStage.NOT_CONNECTED),
        ("b", cause, AttemptStage.NOT_CONNECTED),
    ]
    assert harness.engines.connection_count() == 0


@pytest.mark.parametrize(
    ("flushed", "error", "stages"),
    [
        (True, ConnectionLost, [AttemptStage.WRITTEN, AttemptStage.WRITTEN]),
        (True, ConnectionDone, [AttemptStage.WRITTEN, AttemptStage.WRITTEN]),
        (False, ConnectionLost, [AttemptStage.WRITTEN, AttemptStage.PARTLY_WRITTEN]),
    ],
)
def test_lost_connection_reports_which_commands_were_written_completely(flushed, error, stages):
    """The last command counts as sent only after the transport has reported that all bytes were sent."""
    harness = EngineHarness()
    harness.send("a")
    harness.send("b")
    transport = harness.connect()
    if flushed:
        transport.flush()
    harness.lose_connection(error)
    assert harness.ends == [(n, EndCause.CONNECTION_LOST, s) for n, s in zip("ab", stages, strict=True)]


def test_attempt_is_written_to_the_socket_at_once():
    """Attempts waited for the end of a long event-loop pass.

    Meanwhile the client could leave, and the time limit that the command carries could pass.
    """
    harness = EngineHarness()
    harness.send("a")
    transport = harness.connect()
    assert transport.writes == 1
    harness.send("b")
    assert transport.writes == 2
    # Both attempts time out. Their cancels are left to the event loop, and they end once these are sent.
    harness.reactor.advance(6.0)
    assert transport.writes == 2 and harness.ends == []


def test_attempt_followed_by_a_cancel_counts_as_written_when_the_connection_is_lost():
    """Only the last command is known not to have been sent completely, and here that is the cancel."""
    harness = EngineHarness()
    harness.send("a", 1.0)
    harness.send("b", 5.0)
    harness.connect()
    harness.reactor.advance(1.0)
    harness.lose_connection()
    assert sorted(harness.ends) == [
        ("a", EndCause.TIMEOUT, AttemptStage.WRITTEN),
        ("b", EndCause.CONNECTION_LOST, AttemptStage.WRITTEN),
    ]


@pytest.mark.parametrize(("time_out", "cause"), [(0.1, EndCause.NOT_SENT), (0.2, EndCause.TIMEOUT)])
def test_attempt_that_times_out_while_connecting_is_never_sent(time_out, cause):
    """A short timeout says nothing about the engine, so it ends as not sent.

    Healthy engines were marked as lost when attempts with little time left timed out while connecting.
    """
    harness = EngineHarness()
    harness.send("a", time_out)
    harness.reactor.advance(time_out)
    assert harness.ends == [("a", cause, AttemptStage.NOT_CONNECTED)]
    assert harness.connect().value() == b""


def test_timed_out_attempt_ends_only_after_its_cancel_was_sent():
    """Otherwise the next attempt could reach another engine before the cancel reaches this one."""
    harness = EngineHarness()
    harness.send("a", 1.0)
    transport = harness.connect()
    transport.flush()
    harness.reactor.advance(1.0)
    assert harness.ends == [] and transport.value() == command(b"cancel", b"a")
    transport.flush()
    assert harness.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]


@pytest.mark.parametrize(("may_cancel", "may_copy"), [(True, False), (False, False), (False, True)])
def test_attempt_with_an_unknown_status_ends_only_after_its_connection_is_lost(may_cancel, may_copy):
    harness = EngineHarness(may_cancel=may_cancel, may_copy=may_copy)
    harness.send("a")
    transport = harness.connect()
    transport.flush()
    harness.receive(command(b"a", b"WHAT", b"-", b""))
    assert harness.ends == [] and transport.aborted
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.MALFORMED, AttemptStage.WRITTEN)]


def test_connection_is_aborted_when_a_cancel_cannot_be_sent():
    harness = EngineHarness()
    harness.send("a", 1.0)
    transport = harness.connect()
    harness.reactor.advance(1.0)
    assert not transport.aborted
    harness.reactor.advance(0.3)
    assert transport.aborted and harness.ends == []
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]


def test_attempt_has_a_connection_of_its_own_without_cancels_and_hedged_requests():
    """Closing the connection is then the only way to end an attempt.

    An attempt that had timed out kept running at its engine, so that the next one ran beside it.
    """
    harness = EngineHarness(may_cancel=False, may_copy=False)
    harness.send("a", 1.0)
    harness.send("b")
    assert len(harness.reactor.tcpClients) == 2
    transport = harness.connect(0)
    transport.flush()
    harness.reactor.advance(1.0)
    assert transport.aborted and harness.ends == []
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]
    harness.connect(1)
    harness.receive(command(b"b", b"OK", b"total=1", b"a\tb\tc\n"))
    harness.send("c")
    assert len(harness.reactor.tcpClients) == 2  # the connection is reused, with one attempt at a time


def test_retry_uses_another_connection():
    harness, used = EngineHarness(), []
    harness.send("a", 1.0, used)
    transport = harness.connect()
    harness.reactor.advance(1.0)
    transport.flush()
    harness.send("a", 1.0, used)
    assert len(harness.reactor.tcpClients) == 2 and transport.value() == b""
    harness.receive(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    assert [name for name, *_ in harness.ends] == ["a"]  # the late answer belongs to no open attempt


@pytest.mark.parametrize(
    ("max_open", "connections", "connects", "connects_after_answer"),
    [(32, 4, 2, 2), (2, 2, 2, 2), (32, 1, 1, 1), (1, 3, 3, 3)],
)
def test_pool_balances_connections_and_attempts_per_connection(
    max_open, connections, connects, connects_after_answer
):
    """The number of connections and the number of attempts on each grow together.

    The loss of a connection affects all attempts on it, and one connection for each attempt took twice the
    CPU time.
    """
    harness = EngineHarness(max_open, connections=connections, other_engines=0)
    for name in "abc":
        harness.send(name)
    assert len(harness.reactor.tcpClients) == connects
    harness.connect(0)
    harness.receive(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    harness.send("d")
    assert len(harness.reactor.tcpClients) == connects_after_answer and [n for n, *_ in harness.ends] == ["a"]


@pytest.mark.parametrize(
    ("received", "stage"),
    [
        (b"*4\r\n$1\r\na", AttemptStage.WRITTEN),
        (command(b"a", b"OK", b"total=2", b"a\tb\tc\n"), AttemptStage.PARTIAL_ANSWER),
    ],
)
def test_connection_is_aborted_when_an_answer_stays_incomplete(received, stage):
    """An incomplete answer blocked the connection.

    Its queries waited until their deadlines, and new attempts on the connection were blocked as well.
    """
    harness = EngineHarness()
    harness.send("a")
    harness.send("b")
    transport = harness.connect()
    transport.flush()
    harness.receive(received)
    harness.reactor.advance(0.5)
    assert not transport.aborted
    harness.reactor.advance(0.2)
    assert transport.aborted and harness.ends == []
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.MALFORMED, stage), ("b", EndCause.MALFORMED, AttemptStage.WRITTEN)]
    harness.send("c")
    assert len(harness.reactor.tcpClients) == 2


@pytest.mark.parametrize("other_answer", [False, True])
def test_connection_without_input_during_a_timeout_takes_no_new_attempt(other_answer):
    """A connection can stay open although the engine no longer answers on it.

    A connection on which other answers arrived is still used.
    """
    harness = EngineHarness()
    harness.send("a", 1.0)
    harness.send("b", 9.0)
    transport = harness.connect()
    transport.flush()
    harness.reactor.advance(0.5)
    if other_answer:
        harness.receive(command(b"z", b"ERR", b"-", b""))
    harness.reactor.advance(0.5)
    transport.flush()
    harness.send("c", used=[])
    assert [end[0] for end in harness.ends] == ["a"] and not transport.disconnecting
    assert (b"serve\r\n$1\r\nc" in transport.value()) == other_answer
    harness.receive(command(b"b", b"ERR", b"-", b""))
    assert transport.disconnecting != other_answer


def test_attempt_ends_as_not_sent_when_the_connection_limit_is_reached():
    harness = EngineHarness(max_open=1, connections=1, other_engines=0)
    harness.send("a")
    harness.send("b")
    harness.reactor.advance(0)
    assert harness.ends == [("b", EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED)]


@pytest.mark.parametrize(("idle", "connects"), [(29.0, 1), (29.8, 2)])
def test_connection_close_to_the_idle_timeout_of_the_engine_takes_no_attempt(idle, connects):
    """No sweep runs: a late sweep must not let an attempt cross the engine's close of the connection."""
    harness = EngineHarness()
    harness.send("a")
    harness.connect()
    harness.receive(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    harness.reactor.advance(idle)
    harness.send("b")
    assert len(harness.reactor.tcpClients) == connects


def test_idle_connection_is_closed_before_the_idle_timeout_of_the_engine():
    harness = EngineHarness()
    harness.send("a")
    transport = harness.connect()
    harness.receive(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    harness.engines.sweep()
    assert not transport.disconnecting
    harness.reactor.advance(29.8)
    harness.engines.sweep()
    assert transport.disconnecting and harness.engines.connection_count() == 0


@pytest.mark.parametrize(("address", "started"), [("127.0.0.1:9", 5), ("127.0.0.1:99", 0)])
def test_restarted_or_moved_engine_ends_attempts_on_its_old_connections(address, started):
    harness = EngineHarness()
    harness.send("a")
    transport = harness.connect()
    transport.flush()
    harness.engines.update_engine(0, address, started, False)
    assert transport.aborted and harness.ends == [("a", EndCause.CONNECTION_LOST, AttemptStage.WRITTEN)]
    harness.send("b")
    host, port = harness.reactor.tcpClients[1][:2]
    assert f"{host}:{port}" == address


def test_unlisted_engine_is_removed_after_its_last_answer():
    harness = EngineHarness()
    harness.send("a")
    harness.connect()
    harness.engines.retain_engines(set())
    harness.engines.sweep()
    harness.receive(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    assert harness.ends == [("a", EndCause.OK, AttemptStage.COMPLETE_ANSWER)]
    harness.engines.sweep()
    harness.send("b")
    harness.reactor.advance(0)
    assert harness.ends[1:] == [("b", EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED)]


# Clients and the gateway service.


class ServiceHarness:
    """A gateway service with one engine pool and one client, on clocks that the test advances."""

    def __init__(self, statement_bytes=10_000, **limits):
        self.reactor, self.time = MemoryReactorClock(), 1000.0
        self.clock = Clock(lambda: self.time)
        raw_settings = {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}}
        cancel = bool(raw_settings["limits"]["cancel"])
        connect_s = raw_settings["limits"]["dialTimeoutUs"] / 1e6
        settings = ConnectionSettings(32, cancel, True, connect_s, 30.0, 0.6)
        self.engines = EnginePool(self.reactor, BufferPool(), settings, 100)
        self.memory = MemoryBudget(2**30)
        self.service = GatewayService(
            self.reactor, self.clock, raw_settings, self.engines, None, statement_bytes, memory=self.memory
        )
        self.service.apply_settings(7, raw_settings)
        self.has_spare_descriptor = False
        self.clients = ClientListener(
            self.reactor,
            self.clock,
            self.service,
            BufferPool(),
            3,
            lambda: self.has_spare_descriptor,
            memory=self.memory,
        )
        self.client, self.transport = self.connect_client()
        self.next_pass()

    def connect_client(self):
        """Connects a client. Returns its connection and its transport."""
        protocol = self.clients.buildProtocol(None)
        transport = FakeTransport(protocol)
        protocol.makeConnection(transport)
        return protocol, transport

    def next_pass(self):
        """Simulates a pass that finds the socket of the current client empty, and begins the next one."""
        self.client.socket_emptied()
        self.next_poll()

    def next_poll(self):
        """Simulates an event-loop pass that reads nothing."""
        self.clock.previous_poll_at = self.clock.now()

    def send_query(self, stream, body=b"S", **other_fields):
        """Sends a query from the current client, with `other_fields` in addition to the usual ones."""
        self.client.dataReceived(self.query(stream, body, **other_fields))

    def query(self, stream, body=b"S", kind=FrameKind.REQUEST, **other_fields):
        """Returns the frame of a query; `kind` makes it a frame of another kind."""
        fields = {
            "service": "look",
            "ref": f"{stream:016x}",
            "allow": "5000",
            "project": "acme",
            **other_fields,
        }
        payload = bytes((len(fields),)) + b"".join(
            bytes((len(n),)) + n.encode() + len(v).to_bytes(2, "big") + v.encode() for n, v in fields.items()
        )
        return frames.encode_frame(kind, stream, payload + body)

    def advance(self, duration):
        for _ in range(round(duration * 100)):
            self.time += 0.01
            self.reactor.advance(0.01)

    def answers(self):
        """Returns the stream and the status code of each answer so far."""
        data, answers = self.transport.value(), []
        while data:
            size = int.from_bytes(data[:4], "big") + 4
            answers.append((int.from_bytes(data[5:9], "big"), data[9]))
            data = data[size:]
        return answers


def test_held_query_is_rejected_before_its_deadline():
    harness = ServiceHarness()
    harness.send_query(1)
    harness.advance(4.99)
    assert harness.answers() == [(1, AnswerStatus.REJECTED)] and harness.service.queries.open_count == 0


def test_time_limit_counts_from_the_previous_poll_of_the_sockets():
    """A gateway that was suspended for longer than the time limit must not start the query."""
    harness = ServiceHarness()
    harness.time += 6.0
    harness.send_query(1)
    assert harness.answers() == [(1, AnswerStatus.REJECTED)]


def test_input_left_by_a_full_read_counts_as_received_with_that_read():
    harness = ServiceHarness()
    head = frames.encode_frame(FrameKind.REQUEST, 1, b"\0" + b"x" * 70_000)
    harness.client.dataReceived(head[:65536])
    harness.time += 6.0
    harness.next_poll()  # the rest was in the socket all the time
    harness.client.dataReceived(head[65536:])
    harness.next_pass()
    harness.send_query(2)
    assert harness.answers()[0] == (1, AnswerStatus.FAILED)
    harness.advance(0.1)
    assert harness.service.queries.open_count == 1  # the second query arrived after that poll


def test_input_of_a_new_client_counts_as_received_before_it_was_accepted():
    """The client may have sent it before its connection was accepted.

    A pass of 70 ms delayed the deadlines on a new connection by as much.
    """
    harness = ServiceHarness()
    harness.client, harness.transport = harness.connect_client()  # accepted in a long pass
    harness.time += 6.0
    harness.next_poll()
    # The query is read in the next pass, so it may have been sent before the client was accepted.
    harness.send_query(1)
    assert harness.answers() == [(1, AnswerStatus.REJECTED)]
    harness.next_pass()
    harness.send_query(2)
    assert harness.service.queries.open_count == 1


def test_overdue_query_is_answered_during_a_long_event_loop_pass():
    """Timers wait for the end of the pass, so answers were too late by the length of long passes."""
    harness = ServiceHarness()
    harness.send_query(1, allow="300")
    harness.send_query(2, allow="5000")
    harness.time += 0.4  # during a long pass no timer fires
    assert harness.answers() == []
    harness.send_query(3)
    assert harness.answers() == [(1, AnswerStatus.FAILED)]


def test_answer_is_written_to_the_socket_at_once(monkeypatch):
    harness, sent = ServiceHarness(), []
    monkeypatch.setattr(
        harness.transport, "doWrite", lambda: sent.append(len(harness.transport.value())), raising=False
    )
    harness.send_query(1, service="none")
    assert sent == [len(harness.transport.value())] and harness.answers() == [(1, AnswerStatus.FAILED)]


def test_deadlines_of_answered_queries_are_removed():
    harness = ServiceHarness()
    for stream in range(1, 1001):
        harness.send_query(stream)
        harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, stream))
    assert harness.service.queries.open_count == 0 and len(harness.service.deadlines) <= 103


def test_queries_leave_no_reference_cycles():
    """Automatic garbage collection is off, so queries must be freed by reference counting."""
    harness = ServiceHarness()
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    harness.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    harness.send_query(1)
    protocol, transport = harness.reactor.tcpClients[0][2].buildProtocol(None), FakeTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(command(b"%016x" % 1, b"OK", b"total=1,elapsed=5,rss=9", b"a\tb\tc\n"))
    gc.collect()
    for stream in range(2, 302):
        harness.send_query(stream)
        protocol.dataReceived(command(b"%016x" % stream, b"OK", b"total=1,elapsed=5,rss=9", b"\t\t\n"))
    assert len(harness.answers()) == 301 and harness.service.queries.held_count == 0
    assert gc.collect() < 300


@pytest.mark.parametrize("broken", ["take", "beat", "ended"])
def test_exception_in_the_decisions_ends_one_query_and_later_ones_are_answered(broken, monkeypatch):
    harness = ServiceHarness()
    gateway = harness.service.gateway

    def fail(*_):
        raise RuntimeError("a fault")

    if broken == "take":
        monkeypatch.setattr(gateway, "submit", fail)
        harness.send_query(1)
    elif broken == "beat":
        monkeypatch.setattr(gateway, "_review", fail)
        harness.send_query(1)
        harness.advance(4.9)
        assert harness.answers() == []
        monkeypatch.undo()
        harness.advance(0.2)
    else:
        member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
        harness.service.apply_engine_list_change(EngineListChange(1, True, [member]))
        harness.send_query(1, service="load")
        monkeypatch.setattr(gateway._report_dispatcher, "engine_responded", fail)
        protocol, transport = harness.reactor.tcpClients[0][2].buildProtocol(None), FakeTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(command(b"%016x" % 1, b"ERR", b"-", b""))
    assert harness.answers() in ([(1, AnswerStatus.FAILED)], [(1, AnswerStatus.REJECTED)])
    assert harness.service.queries.open_count == 0 and harness.service.queries.held_count == 0
    monkeypatch.undo()
    harness.send_query(2)
    harness.advance(5.1)
    assert [stream for stream, _ in harness.answers()] == [1, 2]


def test_query_is_rejected_when_the_statement_memory_is_used_up():
    harness = ServiceHarness(statement_bytes=1000)
    harness.send_query(1, b"x" * 600)
    harness.send_query(2, b"x" * 600)
    assert harness.answers() == [(2, AnswerStatus.REJECTED)]
    harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, 1))
    harness.send_query(3, b"x" * 600)
    assert harness.answers() == [(2, AnswerStatus.REJECTED)] and harness.service.queries.open_count == 1


def test_attempt_is_not_sent_past_the_attempt_limit_or_for_an_ended_query():
    harness = ServiceHarness()
    harness.send_query(1)
    request = harness.client.open[1]
    outcomes = []
    request.handle.attempt_ended = lambda number, result, over: outcomes.append((number, result.outcome))
    request.attempts = [None] * 3
    harness.service.send_attempt(request.index, 0, 100)
    harness.reactor.advance(0)
    assert outcomes == [(3, attempt_outcome.Outcome.NOT_SENT)] and outcomes[0][1] in NEVER_RAN
    request.attempts.clear()
    harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, 1))
    assert isinstance(request, ClientQuery) and harness.answers() == []


@pytest.mark.parametrize(("duration", "aborted"), [(3.9, False), (4.1, True)])
def test_client_that_does_not_read_is_rejected_and_then_disconnected(duration, aborted):
    """Reading from the client continues, as its disconnect went unnoticed otherwise.

    Once its unsent answers exceed the limit, its queries are rejected.
    """
    harness = ServiceHarness()
    harness.client.pauseProducing()  # the transport reports that its write buffer is full
    harness.send_query(1)
    harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, 1))
    assert harness.service.queries.open_count == 0 and harness.answers() == []
    for _ in range(6):
        harness.client.answer(0, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    harness.send_query(2)
    assert harness.answers()[-1] == (2, AnswerStatus.REJECTED) and harness.service.queries.open_count == 0
    harness.reactor.advance(duration)
    assert harness.transport.aborted == aborted
    harness.client.resumeProducing()
    harness.send_query(3)
    assert harness.service.queries.open_count == 1


def test_longest_idle_client_is_ended_when_the_connection_limit_is_reached():
    harness = ServiceHarness()  # at most three clients, one of which is connected
    _, second = harness.connect_client()
    harness.connect_client()
    harness.send_query(1)
    harness.advance(0.3)
    _, fourth = harness.connect_client()
    assert second.disconnecting and not harness.transport.disconnecting and not fourth.disconnecting


@pytest.mark.parametrize("has_spare", [False, True])
def test_client_past_the_limit_is_kept_only_with_a_spare_descriptor_when_all_are_busy(has_spare):
    """A closing connection counts until its end is read.

    The next client must not be lost because of that.
    """
    harness = ServiceHarness()
    harness.has_spare_descriptor = has_spare
    for name in (7, 8):
        harness.client, _transport = harness.connect_client()
        harness.send_query(1, ref=f"{name:016x}")
    harness.client = next(iter(harness.clients._connections))
    harness.send_query(1)
    _, last = harness.connect_client()
    harness.reactor.advance(0)  # its socket is read first
    assert last.disconnecting != has_spare and harness.service.queries.open_count == 3


@pytest.mark.parametrize("pieces", [1, 2])
def test_query_of_a_client_without_a_descriptor_is_rejected_before_its_connection_ends(pieces):
    """Guards against a new connection that is ended over a query which its client has already sent."""
    harness = ServiceHarness()
    for name in (7, 8):
        harness.client, _transport = harness.connect_client()
        harness.send_query(1, ref=f"{name:016x}")
    next(iter(harness.clients._connections)).dataReceived(harness.query(1))
    client = harness.clients.buildProtocol(None)
    harness.transport = FakeTransport(client)
    query = harness.query(1, ref=f"{9:016x}")
    size = len(query) // pieces + 1
    harness.transport.unread = [query[:size]]
    client.makeConnection(harness.transport)
    harness.advance(0.03)
    assert harness.transport.disconnecting == (pieces == 1)  # the rest is waited for
    harness.transport.unread = [query[size:]] if pieces == 2 else []
    harness.advance(0.2)
    assert harness.answers() == [(1, AnswerStatus.REJECTED)] and harness.transport.disconnecting
    assert harness.service.queries.open_count == 3


@pytest.mark.parametrize(
    ("sent", "duration", "ended"),
    [
        (b"", 1.7, False),
        (b"", 2.3, True),
        (b"\0\0\0\x40\2", 2.3, True),
        (b"drip", 2.3, True),
        (b"ready", 2.3, False),
        (b"ready", 7.9, False),
        (b"ready", 8.3, True),
    ],
)
def test_client_without_a_complete_frame_or_further_requests_is_ended(sent, duration, ended):
    """Connections that sent nothing, or nothing more after a request, held their descriptors forever."""
    harness = ServiceHarness()
    client, transport = harness.connect_client()
    if sent == b"ready":
        client.dataReceived(frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    elif sent != b"drip":
        client.dataReceived(sent)
    for number in range(round(duration / 0.1)):
        if sent == b"drip":
            client.dataReceived(frames.encode_frame(FrameKind.REQUEST, 1, b"\0" * 100)[number : number + 1])
        harness.advance(0.1)
    assert transport.disconnecting == ended and (client in harness.clients._connections) != ended


@pytest.mark.parametrize(("congested", "timeout"), [(False, 1.0), (True, 4.0)])
def test_ended_connection_is_aborted_when_its_client_neither_reads_nor_closes(congested, timeout):
    """Such a connection stayed open forever, as the transport does not close while bytes are unsent.

    If much is unsent, the client may be slow and gets more time to read its answers.
    """
    harness = ServiceHarness()
    if congested:
        harness.client.pauseProducing()
        harness.transport.outstanding = 1
    harness.client.end_with_protocol_error("a test")
    assert (
        harness.transport.disconnecting
        and not harness.transport.aborted
        and harness.clients.descriptor_count == 1
    )
    harness.advance(timeout - 0.05)
    assert not harness.transport.aborted
    harness.advance(0.2)
    assert harness.transport.aborted


def test_lingering_connections_are_closed_when_new_clients_need_their_descriptors():
    harness = ServiceHarness()  # at most three clients
    ended = [harness.client, harness.connect_client()[0], harness.connect_client()[0]]
    for client in ended:
        client.end_with_protocol_error("a test")
    assert harness.clients.descriptor_count == 3
    new = [harness.connect_client()[0] for _ in range(3)]
    assert harness.clients.descriptor_count == 3 and not any(client.ended for client in new)


def test_silent_client_is_ended_before_one_that_has_sent_a_frame():
    harness = ServiceHarness()
    harness.client.dataReceived(frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    _, silent_transport = harness.connect_client()
    unread_client, unread_transport = harness.connect_client()
    harness.advance(0.3)
    # The first frame of this client is still unread in its socket.
    unread_transport.doRead = lambda: unread_client.dataReceived(
        frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0")
    )
    harness.connect_client()
    assert (
        silent_transport.disconnecting
        and not unread_transport.disconnecting
        and not harness.transport.disconnecting
    )
    harness.connect_client()
    assert not unread_transport.disconnecting  # its socket was read before it was judged silent


def test_new_client_is_not_ended_as_silent():
    """Clients that had sent a request earlier held all descriptors.

    The new connection was then ended before its first request was read.
    """
    harness = ServiceHarness()
    harness.client.dataReceived(frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    harness.connect_client()[0].dataReceived(frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    new_client, first_transport = harness.connect_client()
    _, second_transport = harness.connect_client()
    assert (
        harness.transport.disconnecting
        and not first_transport.disconnecting
        and not second_transport.disconnecting
    )
    harness.client = new_client
    harness.send_query(1)
    assert harness.service.queries.open_count == 1


def test_removed_engines_leave_no_state():
    """Engine ids are never reused, addresses are: state that is not removed accumulates over a long run."""
    harness = ServiceHarness()

    def change(number, whole=False, **states):
        harness.service.apply_engine_list_change(
            EngineListChange(
                number,
                whole,
                [
                    ListedEngine(name, f"127.0.0.1:{9 + int(name[1:]) % 3}", state, 0, 0, 0, 1.0, 0)
                    for name, state in states.items()
                ],
            )
        )

    up, gone = discovery_codec.EngineState.UP, discovery_codec.EngineState.GONE
    for number in range(1, 60):
        change(number, number % 7 == 0, **{f"e{number}": up})
        change(number, False, **{f"e{number - 1}": gone, "e999": gone})
        harness.service.sweep()
    assert harness.service.engine_list.names.all() == {harness.service.engine_list.names.index("e59")}
    assert (
        len(harness.engines._processes)
        == len(harness.engines._incarnations)
        == len(harness.engines._engine_at)
        == 1
    )
    assert len(harness.service.gateway._engines._engines) == 1 and not harness.service.engine_list.gone


def test_rate_limited_warning_reports_the_number_suppressed(capsys):
    reactor = MemoryReactorClock()
    warning = RateLimitedLog(reactor, "too often")
    for _ in range(100):
        warning.warn(why="x")
        reactor.advance(0.15)
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2 and "left_out=6" in lines[1]


@pytest.mark.parametrize(
    ("peer", "size", "sent"), [(1, 256, ("127.0.0.3", 7)), (None, 10, ("127.0.0.9", 7)), (1, 257, None)]
)
def test_gossip_sends_datagrams_to_one_peer_or_all_within_the_size_limit(peer, size, sent):
    peers, written = PeerGossip("127.0.0.1:7", ["127.0.0.2:7", "127.0.0.3:7"], "127.0.0.9:7"), []
    peers.send(peer, b"before it is open")
    peers.transport = type(
        "Datagrams", (), {"write": staticmethod(lambda data, to: written.append((data, to)))}
    )
    peers.send(peer, b"x" * size)
    received_sizes, working_write = [], peers.transport.write

    def raise_error(*_):
        raise OSError("no buffer space")

    peers.transport.write = raise_error
    peers.send(peer, b"x" * size)  # lost, without an exception
    peers.transport.write = working_write
    peers.on_received = lambda number, data: received_sizes.append((number, len(data)))
    for host, port in (("127.0.0.3", 7), ("127.0.0.3", 8), ("127.0.0.4", 7)):
        peers.datagramReceived(b"\xff" * 2000, (host, port))
    assert received_sizes == [(1, 256)]  # identified by its address; other senders are ignored
    assert written == ([(b"x" * size, sent)] if sent else [])


def test_draining_connection_rejects_late_queries_and_ends_when_all_are_answered():
    """A query that arrives after the cutoff is rejected at once.

    The process may be killed before it is answered, and the query would be lost.
    """
    harness = ServiceHarness()
    harness.send_query(1)
    harness.client.send_go_away()
    harness.client.send_go_away()
    harness.send_query(2)
    harness.client.end_when_answered()
    harness.reactor.advance(0)  # the socket is found empty
    assert harness.service.queries.open_count == 2 and not harness.transport.disconnecting
    harness.send_query(3)
    assert harness.answers()[1:] == [(3, AnswerStatus.REJECTED)] and harness.service.queries.open_count == 2
    harness.advance(5.1)
    assert harness.transport.disconnecting and harness.service.queries.open_count == 0
    assert [stream for stream, _ in harness.answers() if stream] == [3, 1, 2]


def test_draining_connection_accepts_a_query_that_arrived_before_the_cutoff():
    """After a long pass the query is still unread when the timer that ends idle connections fires."""
    harness = ServiceHarness()
    harness.transport.unread = [harness.query(1)]
    harness.client.end_when_answered()
    harness.reactor.advance(0)
    assert harness.service.queries.open_count == 1 and not harness.transport.disconnecting


class FailingOnShutdown(Extension):
    """An extension that raises when draining, stopping and reloading settings."""

    def draining(self):
        raise RuntimeError("no drain")

    stop = reloaded_settings = draining


class FailingOnQueries(Extension):
    """An extension that raises at every event of queries and of the engine list."""

    def engines_changed(self, change):
        raise RuntimeError("no list")

    query_answered = engine_ran = engines_changed

    def constrain(self, want):
        return FailingConstraint() if want.service_class == "load" else self.engines_changed(want)


class FailingConstraint(QueryConstraint):
    def attempt_sent(self, engine):
        raise RuntimeError("no lead")

    def finished(self):
        raise RuntimeError("no end")


def test_failing_extension_fails_a_query_only_if_its_constrain_raises():
    harness = ServiceHarness()
    harness.service.add_extensions([FailingOnQueries()])
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    harness.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    harness.send_query(1)
    assert harness.answers() == [(1, AnswerStatus.FAILED)]  # which engines may run it is unknown
    harness.send_query(2, service="load")
    protocol, transport = harness.reactor.tcpClients[0][2].buildProtocol(None), FakeTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(command(b"%016x" % 2, b"OK", b"total=1", b"a\tb\tc\n"))
    assert harness.answers()[1:] == [(2, AnswerStatus.COMPLETED)] and harness.service.queries.open_count == 0
    assert not harness.service.gateway._attempts


def test_engine_list_changes_after_a_failed_one_are_still_applied():
    """The number of the failed change counted as applied, so changes sent with it were never sent again."""
    applied = []

    def apply_change(change):
        applied.append(change.number)
        if change.number == 1:
            raise KeyError("e")

    reactor = MemoryReactorClock()
    discovery = DiscoveryClient(
        reactor, BufferPool(), "127.0.0.1:1", {}, {}, 0.25, random.Random(1), apply_change
    )
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    events = [{"n": n, "members": {"complete": n == 1, "members": [row]}} for n in (1, 2, 3)]
    with pytest.raises(KeyError):
        discovery.apply({"n": 3, "events": events})
    assert applied == [1, 2, 3]


class FakeReactor(MemoryReactorClock):
    def take_max_delay_s(self):
        return 0.0


@pytest.fixture
def program():
    """A server on a reactor that the test advances, with an extension that fails."""
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    events = [{"n": 1, "members": {"revision": 1, "complete": True, "members": [row]}}]
    configuration = {
        "limits": {},
        "feed": "127.0.0.1:1",
        "settings": SETTINGS,
        "known": {"n": 1, "events": events},
    }
    reactor = FakeReactor()
    server = Server(
        reactor,
        Clock(reactor.seconds),
        Configuration(configuration),
        "127.0.0.1:0",
        make_extensions=lambda host: [FailingOnShutdown()],
    )
    yield server, configuration
    gc.enable()
    gc.unfreeze()


def test_failing_extension_does_not_prevent_an_orderly_shutdown(program):
    server, _ = program
    server.run()
    (drain, *_), *_ = server.reactor.triggers["before"]["shutdown"]
    ended = []
    drain().addCallback(ended.append)
    assert ended == [] and not server.service.ready()
    server.reactor.pump([0.1] * 10)
    assert ended == [None]


def test_settings_stay_unchanged_when_an_extension_fails_on_reload(program, tmp_path):
    server, configuration = program
    (tmp_path / "config.json").write_text(
        json.dumps({**configuration, "settings": {**SETTINGS, "tickUs": 7000}})
    )
    server.reload(str(tmp_path / "config.json"))
    assert server.settings == SETTINGS


def test_sweep_runs_again_after_an_exception(program, monkeypatch):
    server, _ = program
    sweeps = []

    def sweep():
        sweeps.append(1)
        raise KeyError("gone")

    monkeypatch.setattr(server.service, "sweep", sweep)
    with pytest.raises(KeyError):
        server.run()
    with pytest.raises(KeyError):
        server.reactor.advance(1.0)
    assert len(sweeps) == 2


@pytest.mark.parametrize(
    ("arguments", "code", "output"),
    [
        (["version"], 0, "vanerelay 0."),
        (["check", "missing.json"], 2, "missing.json"),
        (["check", "good.json"], 0, "engines known: 1"),
        (["serve"], 2, "--config"),
        (["check", "empty.json"], 2, "required keys are missing"),
        (["--help"], 0, "serve"),
    ],
)
def test_command_line_exit_code_and_output(arguments, code, output, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    configuration = {
        "limits": {},
        "feed": "127.0.0.1:1",
        "settings": SETTINGS,
        "known": {
            "n": 1,
            "events": [{"n": 1, "members": {"revision": 1, "complete": True, "members": [row]}}],
        },
    }
    (tmp_path / "good.json").write_text(json.dumps(configuration))
    (tmp_path / "empty.json").write_text("{}")
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code and output in result.output


def test_load_report_is_converted_by_the_settings():
    harness = ServiceHarness()
    reported = "queue:3;x0:0.4;inflight:7;x1:x;new:1"
    from vanerelay import settings
    from vanerelay.net import load_reports

    report = settings.load_report(
        harness.service.settings.current.report_names, load_reports.parse_load(reported)
    )
    assert (report.queued, report.memory_granted, report.running, report.disks_busy) == (3.0, 0.4, 7.0, None)


def test_cancelled_attempts_share_one_timeout_for_sending_their_cancels():
    """Guards against a timer for each cancelled attempt, which holds the attempt until it fires."""
    harness = EngineHarness(max_open=100, connections=1, other_engines=0)
    harness.send("a")
    transport = harness.connect()
    timers = len(harness.reactor.getDelayedCalls())
    for number in range(50):
        harness.send(f"b{number}").give_up(EndCause.CANCELLED)
    assert len(harness.reactor.getDelayedCalls()) <= timers + 50 + 1  # the timeouts of attempts, and one
    transport.flush()
    assert len(harness.ends) == 50 and len(harness.reactor.getDelayedCalls()) <= timers


@pytest.mark.parametrize("started", [0, 5])
def test_engine_that_lost_its_address_gets_it_back_only_once_it_is_free_or_it_has_restarted(started):
    """Guards against two entries with one address that close each other's connections in turn."""
    harness = EngineHarness(other_engines=0)
    harness.engines.update_engine(7, "127.0.0.1:9", 5, False)  # a new engine at the address of engine 0
    harness.engines.update_engine(0, "127.0.0.1:9", 0, False)
    harness.engines.update_engine(8, "127.0.0.1:9", 3, False)  # first listed after its successor
    assert harness.engines.addresses() == {7: "127.0.0.1:9"}
    if started:
        harness.engines.update_engine(0, "127.0.0.1:9", 6, False)
    else:
        harness.engines.update_engine(7, "127.0.0.1:9", 5, True)
        harness.engines.sweep()
        harness.engines.update_engine(0, "127.0.0.1:9", 0, False)
    assert harness.engines.addresses() == {0: "127.0.0.1:9"}


def test_draining_entry_of_an_unknown_engine_takes_no_address():
    """Guards against closing the connections to an engine for one that gets no new attempts."""
    harness = EngineHarness(other_engines=0)
    harness.engines.update_engine(7, "127.0.0.1:9", 9, False, draining=True)
    assert harness.engines.addresses() == {0: "127.0.0.1:9"}


def test_request_without_memory_is_rejected_once_it_has_arrived():
    """Guards against a request that gets no answer, as its client has written all of it."""
    harness = ServiceHarness()
    harness.memory.capacity = 20_000
    query = harness.query(1, b"S" * 20_000)
    harness.client.dataReceived(query[:5_000])
    assert harness.answers() == []
    harness.client.dataReceived(query[5_000:] + harness.query(2))
    assert harness.answers() == [(1, AnswerStatus.REJECTED)] and harness.service.queries.open_count == 1


def test_query_is_rejected_without_memory_and_its_memory_is_free_once_no_attempt_is_left():
    """Guards against open queries that are limited by their statements alone."""
    harness = ServiceHarness()
    before = harness.memory.in_use
    harness.memory.capacity = 40_000
    for stream in range(1, 12):
        harness.send_query(stream)
    rejected = [stream for stream, status in harness.answers() if status == AnswerStatus.REJECTED]
    assert 1 <= harness.service.queries.open_count <= 8 and rejected[-1] == 11
    for stream in range(1, 12):
        harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, stream))
    assert harness.memory.in_use == before
    harness.client.connectionLost()
    assert harness.memory.in_use == 0


def test_result_without_memory_is_replaced_by_a_failure_if_its_client_does_not_read():
    """Guards against results of many clients that do not read, each within the limit of a connection."""
    harness = ServiceHarness()
    harness.memory.capacity = 100_000
    harness.client.answer(1, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    harness.client.output_written(70_000)  # the socket takes no more
    harness.client.answer(2, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    harness.client.answer(3, AnswerStatus.REJECTED, {"cooldown": "5"}, b"")
    assert harness.answers() == [
        (1, AnswerStatus.COMPLETED),
        (2, AnswerStatus.FAILED),
        (3, AnswerStatus.REJECTED),
    ]
    harness.client.output_written(0)
    harness.client.answer(4, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    assert harness.answers()[-1] == (4, AnswerStatus.COMPLETED)


def test_nothing_more_is_read_from_a_client_with_far_too_many_unsent_answers():
    """Guards against answers to requests that a client sends without reading, until it is disconnected."""
    harness = ServiceHarness()
    harness.client.pauseProducing()  # the transport reports that its write buffer is full
    for _ in range(11):
        harness.client.answer(0, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    assert harness.transport.producerState == "paused"
    harness.transport.unread = [harness.query(1)]
    harness.client.read_once()
    assert harness.transport.unread and not harness.client.read_waiting()
    harness.client.resumeProducing()
    assert harness.transport.producerState == "producing"
    harness.reactor.advance(0)
    assert harness.service.queries.open_count == 1


def test_incomplete_results_are_given_up_when_they_exceed_the_memory():
    """Guards against engines that each keep a long answer unfinished."""
    harness = EngineHarness(max_open=4, connections=1, other_engines=0)
    harness.send("a")
    transport = harness.connect()
    harness.receive(b"*4\r\n$1\r\na\r\n$2\r\nOK\r\n$7\r\ntotal=9\r\n$60000\r\n" + b"x" * 10_000)
    harness.memory.capacity = 10_000
    harness.receive(b"x" * 5_000)
    assert not transport.aborted  # a short part is always held
    harness.receive(b"x" * 5_000)
    assert transport.aborted
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.MALFORMED, AttemptStage.WRITTEN)] and harness.memory.in_use == 0


def test_idle_connections_to_engines_are_closed_early_when_memory_is_short():
    harness = EngineHarness(max_open=1, connections=2, other_engines=0)
    harness.send("a")
    transport = harness.connect()
    harness.receive(command(b"a", b"OK", b"total=1", b"\t\t\n"))
    harness.reactor.advance(1.5)
    harness.engines.sweep()
    assert not transport.disconnecting
    harness.memory.capacity = 100
    harness.engines.sweep()
    assert transport.disconnecting and harness.memory.in_use == 0


def test_ended_client_connections_leave_no_reference_cycles():
    """Automatic garbage collection is off, so connections must be freed by reference counting."""
    harness = ServiceHarness()
    gc.collect()
    for _ in range(100):
        client, transport = harness.connect_client()
        client.dataReceived(harness.query(1, service="none"))
        client.connectionLost()
        transport.client = transport.producer = None  # as the transport itself does
    del client, transport
    assert gc.collect() < 100


def test_end_of_a_connection_is_sent_at_once():
    """Guards against input that is discarded while the end waits, as its client cannot notice it yet."""
    harness = ServiceHarness()
    writes = harness.transport.writes
    harness.client.end("idle")
    assert harness.transport.disconnecting and harness.transport.writes == writes + 1


def test_few_connections_are_read_to_find_one_to_end_for_a_new_one():
    """Guards against reading all that hundreds of clients have sent for each new connection."""
    harness = ServiceHarness()
    harness.has_spare_descriptor = True
    harness.send_query(1)
    reads = []
    for _ in range(40):
        client, transport = harness.connect_client()
        client.dataReceived(harness.query(1, service="none"))
        transport.doRead = lambda: reads.append(None)  # it always has more
    harness.advance(0.3)
    reads.clear()
    harness.connect_client()
    assert len(reads) <= 8


def test_request_that_is_not_looked_at_is_not_rejected_as_harmless_if_its_reference_may_have_run():
    """Guards against a rejection, which tells a client that nothing has run, of a query that ran before."""
    harness = ServiceHarness()
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    harness.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    harness.send_query(1, service="load")
    protocol = harness.reactor.tcpClients[0][2].buildProtocol(None)
    protocol.makeConnection(FakeTransport())  # the attempt is written
    harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, 1))
    used = f"{1:016x}"
    harness.memory.capacity = 1_000
    for stream, reference in ((2, used), (3, f"{3:016x}")):
        query = harness.query(stream, b"S" * 9_000, ref=reference, service="load")
        harness.client.dataReceived(query[:3_000])
        harness.client.dataReceived(query[3_000:])
    harness.memory.capacity = 2**30
    harness.client.end_when_answered()
    harness.transport.unread = [harness.query(4, ref=used, service="load"), harness.query(5, service="none")]
    harness.client.dataReceived(harness.query(6)[:20])  # the drain waits for the rest
    harness.next_pass()
    harness.client.dataReceived(harness.query(6)[20:])
    statuses = dict(harness.answers())
    assert statuses[2] == AnswerStatus.FAILED and statuses[3] == AnswerStatus.REJECTED
    harness.client.dataReceived(harness.query(7, ref=used, service="load") + harness.query(8))
    statuses = dict(harness.answers())
    assert statuses[7] == AnswerStatus.FAILED and statuses[8] == AnswerStatus.REJECTED


def test_resources_are_logged_and_a_warning_is_written_near_the_memory_limit(capsys):
    """Logs of a process that was killed for its memory did not tell how much it had."""
    measured = [50 * 2**20]
    resources = ResourceLog(
        MemoryReactorClock(), MemoryBudget(2**20), 100 * 2**20, lambda: measured[0], lambda: {"open": 3}
    )
    resources.warn_if_nearly_full()
    assert capsys.readouterr().out == ""
    resources.write()
    line = capsys.readouterr().out
    assert all(part in line for part in ("resources", "memory_mb=50.0", "limit_mb=100.0", "open=3"))
    measured[0] = 91 * 2**20
    resources.warn_if_nearly_full()
    resources.warn_if_nearly_full()
    assert capsys.readouterr().out.count("memory nearly used up") == 1


def test_input_after_the_end_of_a_connection_is_logged_with_the_time_since_the_end(capsys):
    """Logs did not tell whether an unanswered query had arrived before or after its connection ended."""
    harness = ServiceHarness()
    harness.send_query(1, service="none")
    harness.client.end("idle")
    harness.reactor.advance(0.02)
    harness.send_query(2)
    harness.client.end_sent()
    harness.send_query(3)
    lines = capsys.readouterr().out
    expected = ["unused_ms=0", "answered=1", "input discarded", "ms_since_end=20", "delayed", "ms=20"]
    assert all(part in lines for part in expected) and f"connection={harness.client.number}" in lines
    counts = {why: count for (kind, why), count in harness.clients.events.counts.items()}
    assert counts["it arrived before the end of its connection was sent"] == 1
    assert counts["it arrived after the end of its connection was sent"] == 1
    assert harness.clients.statistics.values()["longest_end_ms"] == 20


def test_client_that_receives_its_answers_slowly_is_disconnected_only_if_it_stops_or_memory_is_short():
    """Guards against a time limit from when the buffer filled, though the client goes on reading."""
    harness = ServiceHarness()
    harness.send_query(1, service="none")
    harness.client.pauseProducing()  # the transport reports that its write buffer is full
    harness.transport.outstanding = 1
    for _ in range(3):
        harness.transport.received += 1
        harness.advance(4.0)
        assert not harness.transport.aborted
    harness.memory.charge(harness.memory.capacity)
    harness.transport.received += 1
    harness.advance(4.0)
    assert harness.transport.aborted


def test_client_that_receives_none_of_its_answers_is_disconnected():
    harness = ServiceHarness()
    harness.client.pauseProducing()
    harness.advance(4.1)
    assert harness.transport.aborted


def test_connection_whose_client_has_not_received_all_answers_gives_way_to_no_other():
    """Guards against an end that the client cannot notice, as unread answers come before it."""
    harness = ServiceHarness()
    harness.send_query(1, service="none")
    harness.transport.outstanding = 1
    others = [harness.connect_client() for _ in range(2)]
    for client, _ in others:
        client.dataReceived(harness.query(1, service="none"))
    harness.connect_client()
    assert [transport.disconnecting for _, transport in others] == [True, False]
    assert not harness.transport.disconnecting


def test_ended_connection_stays_open_while_its_client_receives_answers():
    """Guards against a close over answers which have not left."""
    harness = ServiceHarness()
    harness.transport.loseConnection = harness.transport.abortConnection
    harness.transport.outstanding = 5
    harness.client.end("protocol error")
    for outstanding in (4, 3, 2):
        harness.advance(3.9)
        assert not harness.transport.aborted
        harness.transport.outstanding = outstanding
    harness.advance(1.1)
    harness.transport.outstanding = 0
    harness.advance(1.1)
    assert harness.transport.aborted


def test_draining_connection_ends_once_its_client_has_received_all_answers():
    harness = ServiceHarness()
    harness.transport.outstanding = 1
    harness.client.end_when_answered()
    harness.next_pass()
    harness.advance(0.5)
    assert not harness.transport.disconnecting
    harness.transport.outstanding = 0
    harness.advance(0.1)
    assert harness.transport.disconnecting


def test_open_queries_are_answered_if_reading_further_input_fails(monkeypatch):
    """Guards against an exception that closes the connection over its open queries."""
    harness = ServiceHarness()
    harness.send_query(1)

    def fail(data):
        raise ValueError("a test")

    monkeypatch.setattr(harness.client._reader, "feed", fail)
    harness.send_query(2)
    assert harness.answers() == [(1, AnswerStatus.FAILED), (0, AnswerStatus.FAILED)]
    assert harness.transport.disconnecting and harness.service.queries.open_count == 0


def test_connection_whose_client_stopped_to_receive_its_answers_is_ended_as_unused():
    """Guards against a connection that is kept for ever, as its client cannot notice an end."""
    harness = ServiceHarness()
    harness.send_query(1, service="none")
    harness.transport.outstanding = harness.transport.received = 100
    for _ in range(4):
        harness.advance(3.0)
        harness.transport.received += 1
    assert not harness.transport.disconnecting
    harness.advance(4.5)
    assert harness.transport.disconnecting
