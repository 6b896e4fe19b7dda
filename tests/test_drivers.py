"""The drivers of engines and clients, and the service, on transports and a clock that the tests move."""

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
from vanerelay.net.buffers import Pool
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.engine_connection import ConnectionSettings
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.frames import FrameKind
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.held_queries import ClientQuery
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.net.resp_codec import QueryCommand, command
from vanerelay.net.server import Server
from vanerelay.net.startup import Configuration


class Wire(StringTransport):
    """A transport whose bytes leave, and whose end comes, only when the test says so."""

    aborted = False

    def setTcpNoDelay(self, _):
        pass

    setTcpKeepAlive = setTcpNoDelay
    bufferSize = 65536

    writes = 0  # times that what was handed over was to leave at once

    def doWrite(self):
        self.writes += 1

    def doRead(self):
        pass

    def abortConnection(self):
        self.aborted = True

    def loseWriteConnection(self):
        self.disconnecting = True  # as far as its other end is concerned

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)

    def leave(self):
        self.clear()
        self.producer.resumeProducing()


class Fleet:
    """One engine at one address, and what became of its attempts."""

    def __init__(self, most=32, may_cancel=True, may_copy=True, connections=3, others=2):
        self.reactor, self.ends, self.used = MemoryReactorClock(), [], []
        settings = ConnectionSettings(most, may_cancel, may_copy, 0.25, 30.0, 0.6)
        self.engines = EnginePool(self.reactor, Pool(), settings, connections, lambda call: call())
        for number in range(1 + others):  # so many have a part in the connections
            self.engines.listed(number, f"127.0.0.1:{9 + number}", 0, False)

    def send(self, name, time_out=5.0, used=None):
        attempt = Attempt(name.encode(), QueryCommand(b"look", 5000, b"S"), [] if used is None else used)
        attempt.done.addCallback(lambda end: self.ends.append((name, end.cause, end.stage)))
        self.engines.send(0, attempt, time_out)
        return attempt

    def connect(self, number=0):
        protocol = self.reactor.tcpClients[number][2].buildProtocol(None)
        wire = Wire()
        protocol.makeConnection(wire)
        self.lose = lambda why=ConnectionLost: protocol.connectionLost(Failure(why()))
        self.say = protocol.dataReceived
        return wire

    def fail(self, why):
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(why()))


@pytest.mark.parametrize(
    ("why", "cause"),
    [
        (ConnectionRefusedError, EndCause.CONNECTION_REFUSED),
        (TimeoutError, EndCause.CONNECT_TIMEOUT),
        (OSError, EndCause.CONNECTION_REFUSED),
    ],
)
def test_no_connection_proves_that_nothing_ran(why, cause):
    fleet = Fleet()
    fleet.send("a")
    fleet.send("b")
    assert len(fleet.reactor.tcpClients) == 1  # both wait for one
    fleet.fail(why)
    assert fleet.ends == [("a", cause, AttemptStage.NOT_CONNECTED), ("b", cause, AttemptStage.NOT_CONNECTED)]
    assert fleet.engines.connections() == 0


@pytest.mark.parametrize(
    ("left", "why", "stages"),
    [
        (True, ConnectionLost, [AttemptStage.WRITTEN, AttemptStage.WRITTEN]),
        (True, ConnectionDone, [AttemptStage.WRITTEN, AttemptStage.WRITTEN]),
        (False, ConnectionLost, [AttemptStage.WRITTEN, AttemptStage.PARTLY_WRITTEN]),
    ],
)
def test_a_lost_connection_reports_what_was_written_completely(left, why, stages):
    """The last command handed over has not left whole before the transport says that all has."""
    fleet = Fleet()
    fleet.send("a")
    fleet.send("b")
    wire = fleet.connect()
    if left:
        wire.leave()
    fleet.lose(why)
    assert fleet.ends == [(n, EndCause.CONNECTION_LOST, s) for n, s in zip("ab", stages, strict=True)]


def test_an_attempt_leaves_at_once_and_not_at_the_end_of_a_long_pass():
    """Until then its client may have left, and the time that it tells be over."""
    fleet = Fleet()
    fleet.send("a")
    wire = fleet.connect()
    assert wire.writes == 1
    fleet.send("b")
    assert wire.writes == 2
    fleet.reactor.advance(6.0)  # given up: an end that waits for its cancel to leave comes by the pass alone
    assert wire.writes == 2 and fleet.ends == []


def test_an_attempt_with_a_cancel_behind_it_may_be_written_completely():
    """Only the last command handed over is known not to have: here that is the cancel."""
    fleet = Fleet()
    fleet.send("a", 1.0)
    fleet.send("b", 5.0)
    fleet.connect()
    fleet.reactor.advance(1.0)
    fleet.lose()
    assert sorted(fleet.ends) == [
        ("a", EndCause.TIMEOUT, AttemptStage.WRITTEN),
        ("b", EndCause.CONNECTION_LOST, AttemptStage.WRITTEN),
    ]


@pytest.mark.parametrize(("time_out", "cause"), [(0.1, EndCause.NOT_SENT), (0.2, EndCause.TIMEOUT)])
def test_a_time_out_before_the_connection_is_up_sends_nothing(time_out, cause):
    """One with little time left says nothing of the engine: seen as sound engines held for lost."""
    fleet = Fleet()
    fleet.send("a", time_out)
    fleet.reactor.advance(time_out)
    assert fleet.ends == [("a", cause, AttemptStage.NOT_CONNECTED)]
    assert fleet.connect().value() == b""


def test_a_cancel_has_left_before_the_end_is_reported():
    """Else the next attempt of the query could reach another engine before the cancel reached this one."""
    fleet = Fleet()
    fleet.send("a", 1.0)
    wire = fleet.connect()
    wire.leave()
    fleet.reactor.advance(1.0)
    assert fleet.ends == [] and wire.value() == command(b"cancel", b"a")
    wire.leave()
    assert fleet.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]


@pytest.mark.parametrize(("may_cancel", "may_copy"), [(True, False), (False, False), (False, True)])
def test_an_attempt_answered_with_an_unknown_word_is_abandoned_before_its_end_is_reported(
    may_cancel, may_copy
):
    fleet = Fleet(may_cancel=may_cancel, may_copy=may_copy)
    fleet.send("a")
    wire = fleet.connect()
    wire.leave()
    fleet.say(command(b"a", b"WHAT", b"-", b""))
    assert fleet.ends == [] and wire.aborted
    fleet.lose()
    assert fleet.ends == [("a", EndCause.MALFORMED, AttemptStage.WRITTEN)]


def test_a_cancel_that_cannot_leave_ends_its_connection():
    fleet = Fleet()
    fleet.send("a", 1.0)
    wire = fleet.connect()
    fleet.reactor.advance(1.0)
    assert not wire.aborted
    fleet.reactor.advance(0.3)
    assert wire.aborted and fleet.ends == []
    fleet.lose()
    assert fleet.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]


def test_without_cancels_and_hedged_requests_an_attempt_has_a_connection_alone_and_its_end_abandons_it():
    """Seen on sockets: an attempt that timed out stayed out at its engine, and the next was hedged."""
    fleet = Fleet(may_cancel=False, may_copy=False)
    fleet.send("a", 1.0)
    fleet.send("b")
    assert len(fleet.reactor.tcpClients) == 2
    wire = fleet.connect(0)
    wire.leave()
    fleet.reactor.advance(1.0)
    assert wire.aborted and fleet.ends == []
    fleet.lose()
    assert fleet.ends == [("a", EndCause.TIMEOUT, AttemptStage.WRITTEN)]
    fleet.connect(1)
    fleet.say(command(b"b", b"OK", b"total=1", b"a\tb\tc\n"))
    fleet.send("c")
    assert len(fleet.reactor.tcpClients) == 2  # a connection is used again, one attempt at a time


def test_a_retry_takes_another_connection():
    fleet, used = Fleet(), []
    fleet.send("a", 1.0, used)
    wire = fleet.connect()
    fleet.reactor.advance(1.0)
    wire.leave()
    fleet.send("a", 1.0, used)
    assert len(fleet.reactor.tcpClients) == 2 and wire.value() == b""
    fleet.say(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    assert [name for name, *_ in fleet.ends] == ["a"]  # the late answer ended no attempt


@pytest.mark.parametrize(
    ("most", "connections", "calls", "again"), [(32, 4, 2, 2), (2, 2, 2, 2), (32, 1, 1, 1), (1, 3, 3, 3)]
)
def test_there_are_as_many_connections_as_attempts_on_each(most, connections, calls, again):
    """What befalls a connection befalls all that is open on it; one for each took twice the CPU."""
    fleet = Fleet(most, connections=connections, others=0)
    for name in "abc":
        fleet.send(name)
    assert len(fleet.reactor.tcpClients) == calls
    fleet.connect(0)
    fleet.say(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    fleet.send("d")
    assert len(fleet.reactor.tcpClients) == again and [n for n, *_ in fleet.ends] == ["a"]


@pytest.mark.parametrize(
    ("came", "stage"),
    [
        (b"*4\r\n$1\r\na", AttemptStage.WRITTEN),
        (command(b"a", b"OK", b"total=2", b"a\tb\tc\n"), AttemptStage.PARTIAL_ANSWER),
    ],
)
def test_an_answer_that_stops_short_ends_its_connection_soon(came, stage):
    """It held its queries to their deadlines, and the connection took new ones that shared their fate."""
    fleet = Fleet()
    fleet.send("a")
    fleet.send("b")
    wire = fleet.connect()
    wire.leave()
    fleet.say(came)
    fleet.reactor.advance(0.5)
    assert not wire.aborted
    fleet.reactor.advance(0.2)
    assert wire.aborted and fleet.ends == []
    fleet.lose()
    assert fleet.ends == [("a", EndCause.MALFORMED, stage), ("b", EndCause.MALFORMED, AttemptStage.WRITTEN)]
    fleet.send("c")
    assert len(fleet.reactor.tcpClients) == 2


@pytest.mark.parametrize("heard", [False, True])
def test_where_nothing_came_for_a_whole_time_out_nothing_new_goes(heard):
    """A connection can be of no further use and stay open. One that brought others is not to blame."""
    fleet = Fleet()
    fleet.send("a", 1.0)
    fleet.send("b", 9.0)
    wire = fleet.connect()
    wire.leave()
    fleet.reactor.advance(0.5)
    if heard:
        fleet.say(command(b"z", b"ERR", b"-", b""))
    fleet.reactor.advance(0.5)
    wire.leave()
    fleet.send("c", used=[])
    assert [end[0] for end in fleet.ends] == ["a"] and not wire.disconnecting
    assert (b"serve\r\n$1\r\nc" in wire.value()) == heard
    fleet.say(command(b"b", b"ERR", b"-", b""))
    assert wire.disconnecting != heard


def test_past_the_descriptors_nothing_is_sent_and_no_engine_is_blamed():
    fleet = Fleet(most=1, connections=1, others=0)
    fleet.send("a")
    fleet.send("b")
    fleet.reactor.advance(0)
    assert fleet.ends == [("b", EndCause.NOT_SENT, AttemptStage.NOT_CONNECTED)]


@pytest.mark.parametrize(("idle", "calls"), [(29.0, 1), (29.8, 2)])
def test_a_connection_that_the_engine_is_about_to_close_takes_no_attempt(idle, calls):
    """Without the sweep: one that comes late must not let an attempt cross the engine's close."""
    fleet = Fleet()
    fleet.send("a")
    fleet.connect()
    fleet.say(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    fleet.reactor.advance(idle)
    fleet.send("b")
    assert len(fleet.reactor.tcpClients) == calls


def test_an_idle_connection_is_closed_before_the_engine_does():
    fleet = Fleet()
    fleet.send("a")
    wire = fleet.connect()
    fleet.say(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    fleet.engines.sweep()
    assert not wire.disconnecting
    fleet.reactor.advance(29.8)
    fleet.engines.sweep()
    assert wire.disconnecting and fleet.engines.connections() == 0


@pytest.mark.parametrize(("address", "started"), [("127.0.0.1:9", 5), ("127.0.0.1:99", 0)])
def test_a_new_life_of_an_engine_loses_what_is_out_on_the_old(address, started):
    fleet = Fleet()
    fleet.send("a")
    wire = fleet.connect()
    wire.leave()
    fleet.engines.listed(0, address, started, False)
    assert wire.aborted and fleet.ends == [("a", EndCause.CONNECTION_LOST, AttemptStage.WRITTEN)]
    fleet.send("b")
    host, port = fleet.reactor.tcpClients[1][:2]
    assert f"{host}:{port}" == address


def test_an_engine_that_left_the_list_is_forgotten_once_its_last_answer_is_in():
    fleet = Fleet()
    fleet.send("a")
    fleet.connect()
    fleet.engines.only(set())
    fleet.engines.sweep()
    fleet.say(command(b"a", b"OK", b"total=1", b"a\tb\tc\n"))
    assert fleet.ends == [("a", EndCause.OK, AttemptStage.COMPLETE_ANSWER)]
    fleet.engines.sweep()
    fleet.send("b")
    fleet.reactor.advance(0)
    assert fleet.ends[1:] == [("b", EndCause.CONNECTION_REFUSED, AttemptStage.NOT_CONNECTED)]


# Clients and the service.


class Served:
    """A service with one engine and one client, on clocks that the test moves."""

    def __init__(self, room=10_000, **limits):
        self.reactor, self.time = MemoryReactorClock(), 1000.0
        self.clock = Clock(lambda: self.time)
        raw_settings = {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}}
        cancel = bool(raw_settings["limits"]["cancel"])
        connect_s = raw_settings["limits"]["dialTimeoutUs"] / 1e6
        settings = ConnectionSettings(32, cancel, True, connect_s, 30.0, 0.6)
        self.engines = EnginePool(self.reactor, Pool(), settings, 100, self.clock.after_recent_poll)
        self.service = GatewayService(self.reactor, self.clock, raw_settings, self.engines, None, room)
        self.service.apply_settings(7, raw_settings)
        self.spare = False
        self.clients = ClientListener(self.reactor, self.clock, self.service, Pool(), 3, lambda: self.spare)
        self.client, self.wire = self.join()
        self.look()

    def join(self):
        protocol, wire = self.clients.buildProtocol(None), Wire()
        protocol.makeConnection(wire)
        return protocol, wire

    def look(self):
        """A pass of the event loop that finds nothing, and the next one."""
        self.clock.previous_poll_at = self.clock.now()
        self.clock.loop_passes += 2

    def ask(self, stream, body=b"S", **other):
        told = {"service": "look", "ref": f"{stream:016x}", "allow": "5000", "project": "acme", **other}
        payload = bytes((len(told),)) + b"".join(
            bytes((len(n),)) + n.encode() + len(v).to_bytes(2, "big") + v.encode() for n, v in told.items()
        )
        self.client.dataReceived(frames.frame(FrameKind.REQUEST, stream, payload + body))

    def advance(self, span):
        for _ in range(round(span * 100)):
            self.time += 0.01
            self.reactor.advance(0.01)

    def answers(self):
        """Stream and code of each answer so far."""
        data, got = self.wire.value(), []
        while data:
            size = int.from_bytes(data[:4], "big") + 4
            got.append((int.from_bytes(data[5:9], "big"), data[9]))
            data = data[size:]
        return got


def test_a_held_query_is_answered_before_its_deadline():
    served = Served()
    served.ask(1)
    served.advance(4.99)
    assert served.answers() == [(1, AnswerStatus.REJECTED)] and served.service.queries.open_count == 0


def test_the_time_limit_counts_from_the_last_look_at_the_sockets():
    """A process that stood still for longer than a client waits must not start on its query."""
    served = Served()
    served.time += 6.0
    served.ask(1)
    assert served.answers() == [(1, AnswerStatus.REJECTED)]


def test_what_a_full_read_left_behind_had_come_as_early():
    served = Served()
    head = frames.frame(FrameKind.REQUEST, 1, b"\0" + b"x" * 70_000)
    served.client.dataReceived(head[:65536])
    served.time += 6.0
    served.look()  # the next pass of the loop; the rest was there all the while
    served.client.dataReceived(head[65536:])
    served.ask(2)
    assert served.answers()[0] == (1, AnswerStatus.FAILED)
    served.advance(0.1)
    assert served.service.queries.open_count == 1  # the second came after that look


def test_what_a_new_client_sent_before_it_was_accepted_had_come_as_early():
    """Seen on sockets: a pass of 70 ms made the deadlines on a new connection late by it."""
    served = Served()
    served.clock.loop_passes += 1
    served.client, served.wire = served.join()  # accepted in a pass that ended late
    served.time += 6.0
    served.clock.previous_poll_at, served.clock.loop_passes = served.clock.now(), served.clock.loop_passes + 1
    served.ask(1)  # read in the pass after that: it may have been there since before it was accepted
    assert served.answers() == [(1, AnswerStatus.REJECTED)]
    served.look()
    served.ask(2)
    assert served.service.queries.open_count == 1


def test_an_overdue_query_is_answered_within_a_pass_that_lasts():
    """Seen on sockets: timers wait for the end of a pass, and answers came too late by long ones."""
    served = Served()
    served.ask(1, allow="300")
    served.ask(2, allow="5000")
    served.time += 0.4  # the pass lasts: no timer runs
    assert served.answers() == []
    served.ask(3)
    assert served.answers() == [(1, AnswerStatus.FAILED)]


def test_answers_are_sent_at_once(monkeypatch):
    served, sent = Served(), []
    monkeypatch.setattr(served.wire, "doWrite", lambda: sent.append(len(served.wire.value())), raising=False)
    served.ask(1, service="none")
    assert sent == [len(served.wire.value())] and served.answers() == [(1, AnswerStatus.FAILED)]


def test_deadlines_of_answered_queries_do_not_pile_up():
    served = Served()
    for stream in range(1, 1001):
        served.ask(stream)
        served.client.dataReceived(frames.frame(FrameKind.CANCEL, stream))
    assert served.service.queries.open_count == 0 and len(served.service.deadlines) <= 103


def test_queries_leave_no_cycles_to_collect():
    """The program runs without automatic collections: what a query leaves must go by itself."""
    served = Served()
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    served.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    served.ask(1)
    protocol, wire = served.reactor.tcpClients[0][2].buildProtocol(None), Wire()
    protocol.makeConnection(wire)
    protocol.dataReceived(command(b"%016x" % 1, b"OK", b"total=1,elapsed=5,rss=9", b"a\tb\tc\n"))
    gc.collect()
    for stream in range(2, 302):
        served.ask(stream)
        protocol.dataReceived(command(b"%016x" % stream, b"OK", b"total=1,elapsed=5,rss=9", b"\t\t\n"))
    assert len(served.answers()) == 301 and served.service.queries.held_count == 0
    assert gc.collect() < 300


@pytest.mark.parametrize("broken", ["take", "beat", "ended"])
def test_a_fault_in_the_module_is_answered_and_the_rest_goes_on(broken, monkeypatch):
    served = Served()
    gateway = served.service.gateway

    def fault(*_):
        raise RuntimeError("a fault")

    if broken == "take":
        monkeypatch.setattr(gateway, "submit", fault)
        served.ask(1)
    elif broken == "beat":
        monkeypatch.setattr(gateway, "_review", fault)
        served.ask(1)
        served.advance(4.9)
        assert served.answers() == []
        monkeypatch.undo()
        served.advance(0.2)
    else:
        member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
        served.service.apply_engine_list_change(EngineListChange(1, True, [member]))
        served.ask(1, service="load")
        monkeypatch.setattr(gateway._feedback, "engine_responded", fault)
        protocol, wire = served.reactor.tcpClients[0][2].buildProtocol(None), Wire()
        protocol.makeConnection(wire)
        protocol.dataReceived(command(b"%016x" % 1, b"ERR", b"-", b""))
    assert served.answers() in ([(1, AnswerStatus.FAILED)], [(1, AnswerStatus.REJECTED)])
    assert served.service.queries.open_count == 0 and served.service.queries.held_count == 0
    monkeypatch.undo()
    served.ask(2)
    served.advance(5.1)
    assert [stream for stream, _ in served.answers()] == [1, 2]


def test_statements_held_are_bounded_by_the_memory_limit():
    served = Served(room=1000)
    served.ask(1, b"x" * 600)
    served.ask(2, b"x" * 600)
    assert served.answers() == [(2, AnswerStatus.REJECTED)]
    served.client.dataReceived(frames.frame(FrameKind.CANCEL, 1))
    served.ask(3, b"x" * 600)
    assert served.answers() == [(2, AnswerStatus.REJECTED)] and served.service.queries.open_count == 1


def test_an_attempt_past_the_limit_or_of_an_ended_query_is_not_sent():
    served = Served()
    served.ask(1)
    request = served.client.open[1]
    outcomes = []
    request.handle.attempt_ended = lambda number, result, over: outcomes.append((number, result.outcome))
    request.attempts = [None] * 3
    served.service.send_attempt(request.index, 0, 100)
    served.reactor.advance(0)
    assert outcomes == [(3, attempt_outcome.Outcome.NOT_SENT)] and outcomes[0][1] in NEVER_RAN
    request.attempts.clear()
    served.client.dataReceived(frames.frame(FrameKind.CANCEL, 1))
    assert isinstance(request, ClientQuery) and served.answers() == []


@pytest.mark.parametrize(("silent_for", "given_up"), [(3.9, False), (4.1, True)])
def test_a_client_that_takes_no_answers_is_bounded_and_given_up(silent_for, given_up):
    """It is read on, as its leaving was not noticed before; past a bound what it asks is rejected."""
    served = Served()
    served.client.pauseProducing()  # the transport's word that its buffer is over its size
    served.ask(1)
    served.client.dataReceived(frames.frame(FrameKind.CANCEL, 1))
    assert served.service.queries.open_count == 0 and served.answers() == []
    for _ in range(6):
        served.client.answer(0, AnswerStatus.COMPLETED, {}, b"x" * 48_000)
    served.ask(2)
    assert served.answers()[-1] == (2, AnswerStatus.REJECTED) and served.service.queries.open_count == 0
    served.reactor.advance(silent_for)
    assert served.wire.aborted == given_up
    served.client.resumeProducing()
    served.ask(3)
    assert served.service.queries.open_count == 1


def test_the_longest_idle_client_goes_when_the_share_is_full():
    served = Served()  # three at most, one is there
    _, second = served.join()
    served.join()
    served.ask(1)
    served.advance(0.3)
    _, fourth = served.join()
    assert second.disconnecting and not served.wire.disconnecting and not fourth.disconnecting


@pytest.mark.parametrize("spare", [False, True])
def test_with_all_clients_busy_one_more_is_kept_only_while_a_descriptor_is_spare(spare):
    """One that closes is counted until its end is read: the next must not be lost to that."""
    served = Served()
    served.spare = spare
    for name in (7, 8):
        served.client, _wire = served.join()
        served.ask(1, ref=f"{name:016x}")
    served.client = next(iter(served.clients._connections))
    served.ask(1)
    _, late = served.join()
    assert late.disconnecting != spare and served.service.queries.open_count == 3


@pytest.mark.parametrize(
    ("begun", "span", "ended"),
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
def test_a_client_that_sends_no_complete_frame_or_nothing_any_more_is_ended(begun, span, ended):
    """Silent connections, and some that had asked once, held their descriptors for good."""
    served = Served()
    client, wire = served.join()
    if begun == b"ready":
        client.dataReceived(frames.frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    elif begun != b"drip":
        client.dataReceived(begun)
    for number in range(round(span / 0.1)):
        if begun == b"drip":
            client.dataReceived(frames.frame(FrameKind.REQUEST, 1, b"\0" * 100)[number : number + 1])
        served.advance(0.1)
    assert wire.disconnecting == ended and (client in served.clients._connections) != ended


@pytest.mark.parametrize(("much", "span"), [(False, 1.0), (True, 4.0)])
def test_a_connection_whose_client_neither_takes_nor_ends_anything_is_aborted(much, span):
    """It stayed for good: with a little left to send the transport never came to its close. Where much is
    left, its client may be slow, and is owed what was answered."""
    served = Served()
    if much:
        served.client.pauseProducing()
    served.client.refuse("a test")
    assert served.wire.disconnecting and not served.wire.aborted and served.clients.descriptor_count == 1
    served.advance(span - 0.05)
    assert not served.wire.aborted
    served.advance(0.2)
    assert served.wire.aborted


def test_ended_connections_have_what_the_others_leave_of_the_share():
    served = Served()  # three at most
    ended = [served.client, served.join()[0], served.join()[0]]
    for client in ended:
        client.refuse("a test")
    assert served.clients.descriptor_count == 3
    kept = [served.join()[0] for _ in range(3)]
    assert served.clients.descriptor_count == 3 and not any(client.ended for client in kept)


def test_one_that_was_of_use_is_kept_before_those_that_never_sent_anything():
    served = Served()
    served.client.dataReceived(frames.frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    silent, quiet = served.join()
    late, loud = served.join()
    served.advance(0.3)
    loud.doRead = lambda: late.dataReceived(
        frames.frame(FrameKind.READINESS_CHECK, 0, b"\0")
    )  # waits in its socket
    served.join()
    assert quiet.disconnecting and not loud.disconnecting and not served.wire.disconnecting
    served.join()
    assert not loud.disconnecting  # looked at before it was taken for a silent one


def test_one_that_has_just_come_is_not_taken_for_a_silent_one():
    """Seen on sockets, with a share held by those that had asked once: its first request failed."""
    served = Served()
    served.client.dataReceived(frames.frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    served.join()[0].dataReceived(frames.frame(FrameKind.READINESS_CHECK, 0, b"\0"))
    fresh, first = served.join()
    _, second = served.join()
    assert served.wire.disconnecting and not first.disconnecting and not second.disconnecting
    served.client = fresh
    served.ask(1)
    assert served.service.queries.open_count == 1


def test_engines_that_are_gone_leave_nothing_behind():
    """Ids are new without end, and addresses are used again, on a long day."""
    served = Served()

    def change(number, whole=False, **states):
        served.service.apply_engine_list_change(
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
        served.service.sweep()
    assert served.service.engine_list.names.all() == {served.service.engine_list.names.index("e59")}
    assert (
        len(served.engines._processes)
        == len(served.engines._incarnations)
        == len(served.engines._engine_at)
        == 1
    )
    assert len(served.service.gateway._engines._engines) == 1 and not served.service.engine_list.gone


def test_a_warning_that_anybody_can_cause_is_sparing(capsys):
    reactor = MemoryReactorClock()
    warning = RateLimitedLog(reactor, "too often")
    for _ in range(100):
        warning.warn(why="x")
        reactor.advance(0.15)
    said = capsys.readouterr().out.splitlines()
    assert len(said) == 2 and "left_out=6" in said[1]


@pytest.mark.parametrize(
    ("peer", "size", "sent"), [(1, 256, ("127.0.0.3", 7)), (None, 10, ("127.0.0.9", 7)), (1, 257, None)]
)
def test_datagrams_go_to_one_peer_or_all_and_none_is_too_long(peer, size, sent):
    peers, out = PeerGossip("127.0.0.1:7", ["127.0.0.2:7", "127.0.0.3:7"], "127.0.0.9:7"), []
    peers.send(peer, b"before it is open")
    peers.transport = type("Datagrams", (), {"write": staticmethod(lambda data, to: out.append((data, to)))})
    peers.send(peer, b"x" * size)
    heard, sending = [], peers.transport.write

    def fails(*_):
        raise OSError("no buffer space")

    peers.transport.write = fails
    peers.send(peer, b"x" * size)  # lost, and nobody meets a fault
    peers.transport.write = sending
    peers.on_received = lambda number, data: heard.append((number, len(data)))
    for host, port in (("127.0.0.3", 7), ("127.0.0.3", 8), ("127.0.0.4", 7)):
        peers.datagramReceived(b"\xff" * 2000, (host, port))
    assert heard == [(1, 256)]  # by its address; who else speaks counts for nothing
    assert out == ([(b"x" * size, sent)] if sent else [])


def test_a_draining_connection_takes_what_comes_in_time_and_ends_when_all_is_answered():
    """What comes after the time in which queries may come is rejected at once: the kill may come before its
    answer, and it would be lost."""
    served = Served()
    served.ask(1)
    served.client.stop_requests()
    served.client.stop_requests()
    served.ask(2)
    served.client.end_when_answered()
    assert served.service.queries.open_count == 2 and not served.wire.disconnecting
    served.ask(3)
    assert served.answers()[1:] == [(3, AnswerStatus.REJECTED)] and served.service.queries.open_count == 2
    served.advance(5.1)
    assert served.wire.disconnecting and served.service.queries.open_count == 0
    assert [stream for stream, _ in served.answers() if stream] == [3, 1, 2]


def test_what_had_come_before_the_last_moment_of_a_drain_is_taken():
    """After a pass that stood still it lies unread while the timer that ends resting connections is due."""
    served = Served()
    served.wire.doRead = lambda: served.ask(1)
    served.client.end_when_answered()
    assert served.service.queries.open_count == 1 and not served.wire.disconnecting


class Faulty(Extension):
    """A subsystem that fails whatever it is told."""

    def draining(self):
        raise RuntimeError("no drain")

    stop = reloaded_settings = draining


class Failing(Extension):
    """A subsystem that fails at all that happens to queries and to the list."""

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


def test_a_subsystem_that_fails_at_queries_costs_no_query_that_it_does_not_lead():
    served = Served()
    served.service.add_extensions([Failing()])
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    served.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    served.ask(1)
    assert served.answers() == [(1, AnswerStatus.FAILED)]  # whether it may be served, nobody could say
    served.ask(2, service="load")
    protocol, wire = served.reactor.tcpClients[0][2].buildProtocol(None), Wire()
    protocol.makeConnection(wire)
    protocol.dataReceived(command(b"%016x" % 2, b"OK", b"total=1", b"a\tb\tc\n"))
    assert served.answers()[1:] == [(2, AnswerStatus.COMPLETED)] and served.service.queries.open_count == 0
    assert not served.service.gateway._attempts


def test_a_change_of_the_list_that_fails_does_not_take_the_next_along():
    """Its number counts as held: what came with it was never told again."""
    seen = []

    def changed(change):
        seen.append(change.number)
        if change.number == 1:
            raise KeyError("e")

    reactor = MemoryReactorClock()
    roster = DiscoveryClient(reactor, Pool(), "127.0.0.1:1", {}, {}, 0.25, random.Random(1), changed)
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    events = [{"n": n, "members": {"complete": n == 1, "members": [row]}} for n in (1, 2, 3)]
    with pytest.raises(KeyError):
        roster.apply({"n": 3, "events": events})
    assert seen == [1, 2, 3]


class Loop(MemoryReactorClock):
    def take_max_delay_s(self):
        return 0.0


@pytest.fixture
def program():
    """The program on a reactor that the test moves, with a subsystem that fails."""
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    events = [{"n": 1, "members": {"revision": 1, "complete": True, "members": [row]}}]
    told = {"limits": {}, "feed": "127.0.0.1:1", "settings": SETTINGS, "known": {"n": 1, "events": events}}
    reactor = Loop()
    made = Server(
        reactor,
        Clock(reactor.seconds),
        Configuration(told),
        "127.0.0.1:0",
        make_extensions=lambda host: [Faulty()],
    )
    yield made, told
    gc.enable()
    gc.unfreeze()


def test_a_subsystem_that_fails_does_not_keep_the_program_from_ending_in_order(program):
    made, _ = program
    made.run()
    (drain, *_), *_ = made.reactor.triggers["before"]["shutdown"]
    ended = []
    drain().addCallback(ended.append)
    assert ended == [] and not made.service.ready()
    made.reactor.pump([0.1] * 10)
    assert ended == [None]


def test_a_new_configuration_that_a_subsystem_fails_at_changes_nothing(program, tmp_path):
    made, told = program
    (tmp_path / "config.json").write_text(json.dumps({**told, "settings": {**SETTINGS, "tickUs": 7000}}))
    made.reload(str(tmp_path / "config.json"))
    assert made.settings == SETTINGS


def test_a_sweep_that_fails_is_not_the_last(program, monkeypatch):
    made, _ = program
    swept = []

    def sweep():
        swept.append(1)
        raise KeyError("gone")

    monkeypatch.setattr(made.service, "sweep", sweep)
    with pytest.raises(KeyError):
        made.run()
    with pytest.raises(KeyError):
        made.reactor.advance(1.0)
    assert len(swept) == 2


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["version"], 0, "vanerelay 0."),
        (["check", "missing.json"], 2, "missing.json"),
        (["check", "good.json"], 0, "engines known: 1"),
        (["serve"], 2, "--config"),
        (["check", "empty.json"], 2, "required keys are missing"),
        (["--help"], 0, "serve"),
    ],
)
def test_the_command_line(words, code, said, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    row = {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING"}
    told = {
        "limits": {},
        "feed": "127.0.0.1:1",
        "settings": SETTINGS,
        "known": {
            "n": 1,
            "events": [{"n": 1, "members": {"revision": 1, "complete": True, "members": [row]}}],
        },
    }
    (tmp_path / "good.json").write_text(json.dumps(told))
    (tmp_path / "empty.json").write_text("{}")
    result = CliRunner().invoke(main, words)
    assert result.exit_code == code and said in result.output


def test_reports_and_bills_reach_the_module_in_its_units():
    served = Served()
    told = "queue:3;x0:0.4;inflight:7;x1:x;new:1"
    from vanerelay import settings
    from vanerelay.net import load_reports

    report = settings.load_report(served.service.settings.current.report_names, load_reports.parse_load(told))
    assert (report.queued, report.memory_granted, report.running, report.disks_busy) == (3.0, 0.4, 7.0, None)
