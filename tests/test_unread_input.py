"""Input that lies unread in a client's socket: nothing may be concluded from not having seen it."""

from __future__ import annotations

import socket
import time

import pytest
from twisted.internet.testing import MemoryReactorClock

from tests.test_drivers import FakeTransport, ServiceHarness
from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import AnswerStatus
from vanerelay.net import discovery_codec, frames
from vanerelay.net.client_transport import MAX_CHUNK_S, TURN_BUDGET_S, ClientTransport
from vanerelay.net.frames import FrameKind
from vanerelay.net.reactor import Reactor


def test_draining_connection_answers_all_queries_that_several_reads_return():
    """What lay behind the first read counted as late, and was discarded once no query was open."""
    harness = ServiceHarness()
    harness.transport.unread = [harness.query(stream, service="unknown") for stream in range(1, 9)]
    harness.client.end_when_answered()
    for _ in range(10):
        harness.advance(0.01)
    assert harness.answers() == [(stream, AnswerStatus.FAILED) for stream in range(1, 9)]
    harness.advance(0.1)
    assert harness.transport.disconnecting


def test_draining_connection_answers_a_query_whose_beginning_arrived_before_the_cutoff():
    """Its connection was ended between its two parts, as no query was open; the rest was discarded."""
    harness = ServiceHarness()
    first_part, rest = harness.query(1, b"S" * 1000)[:500], harness.query(1, b"S" * 1000)[500:]
    harness.transport.unread = [first_part]
    harness.client.end_when_answered()
    harness.advance(0.5)
    assert not harness.transport.disconnecting
    harness.client.dataReceived(rest + harness.query(2))
    assert harness.service.queries.open_count == 1  # the second one is late
    assert harness.answers() == [(2, AnswerStatus.REJECTED)]


def test_draining_connection_of_a_client_that_never_stops_sending_is_ended():
    """Reading all that has arrived must not keep the process from ending."""
    harness = ServiceHarness()
    harness.send_query(1, service="unknown")
    harness.transport.doRead = lambda: None  # no read finds the socket empty
    harness.clients.read_soon = lambda connection: None
    harness.client.end_when_answered()
    harness.advance(2.9)
    assert not harness.transport.disconnecting
    harness.advance(0.2)
    assert harness.transport.disconnecting


def test_resting_client_whose_query_lies_unread_is_not_ended_as_idle():
    """After a long pass the sweep ran before the poll, and its end of the connection discarded the query."""
    harness = ServiceHarness()
    harness.send_query(1, service="unknown")
    harness.next_pass()
    harness.advance(7.9)
    assert not harness.transport.disconnecting
    harness.next_pass()
    query = harness.query(2, b"S" * 9000)
    harness.transport.unread = [query[:8000], query[8000:]]
    harness.advance(1.0)
    assert harness.service.queries.open_count == 1 and not harness.transport.disconnecting
    harness.advance(14.0)
    assert harness.transport.disconnecting  # idle by now


def test_client_whose_frame_is_complete_in_the_socket_is_not_ended_as_overdue():
    """After a long pass the timeout of the frame was judged before its rest had been read."""
    harness = ServiceHarness()
    harness.client.dataReceived(harness.query(1)[:20])
    harness.time += 3.0  # a long pass
    harness.transport.unread = [harness.query(1)[20:]]
    harness.reactor.advance(3.0)
    assert harness.service.queries.open_count == 1 and not harness.transport.disconnecting


def test_client_whose_query_lies_unread_is_not_ended_for_its_descriptor():
    """The client that was idle for longest was ended unread when a further one was accepted."""
    harness = ServiceHarness()  # at most three clients
    harness.send_query(1, service="unknown")
    harness.next_pass()
    second, second_transport = harness.connect_client()
    second.dataReceived(harness.query(1, service="unknown", ref=f"{7:016x}"))
    second.socket_emptied()
    harness.connect_client()[0].dataReceived(harness.query(1, ref=f"{8:016x}"))
    harness.advance(0.3)
    harness.transport.unread = [harness.query(2)]
    harness.connect_client()
    assert second_transport.disconnecting and not harness.transport.disconnecting
    assert harness.service.queries.open_count == 2


def add_engine(harness):
    engine = ListedEngine("e1", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    harness.service.apply_engine_list_change(EngineListChange(1, True, [engine]))


def cancel_frame(stream):
    return frames.encode_frame(FrameKind.CANCEL, stream)


def slow_reads(harness):
    """Makes each read of the client take 0.1 s, as in long passes of the event loop."""
    read = harness.transport.doRead

    def read_slowly():
        harness.time += 0.1
        read()

    harness.transport.doRead = read_slowly


@pytest.mark.parametrize("reads", [1, 2, 5])
def test_attempt_begins_only_after_all_input_of_its_client_is_read(reads):
    """After two polls it began whatever was unread, up to 2 s after its client had cancelled the query."""
    harness = ServiceHarness()
    add_engine(harness)
    slow_reads(harness)
    pings = [frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0")] * (reads - 1)
    harness.transport.unread = [*pings, cancel_frame(1)]
    harness.clock.mark_input_handled(harness.clock.now())
    harness.time += 0.2  # a long pass
    harness.send_query(1)
    for _ in range(2 * reads):
        harness.clock.mark_input_handled(harness.clock.now() - 1000)
        harness.reactor.advance(0)
    assert harness.reactor.tcpClients == [] and harness.service.queries.open_count == 0


@pytest.mark.parametrize("cancelled", [False, True])
def test_attempt_that_waited_for_its_connection_is_written_only_after_its_client_was_read(cancelled):
    """The cancellation lay unread when the connection was established, behind other input of the client."""
    harness = ServiceHarness()
    add_engine(harness)
    harness.send_query(1)
    harness.next_pass()
    slow_reads(harness)
    ping = frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0")
    harness.transport.unread = [ping, ping, ping, *([cancel_frame(1)] if cancelled else [])]
    harness.clock.mark_input_handled(harness.clock.now())
    harness.time += 0.2  # a long pass
    protocol = harness.reactor.tcpClients[0][2].buildProtocol(None)
    engine_transport = FakeTransport()
    protocol.makeConnection(engine_transport)
    assert engine_transport.value() == b""
    harness.reactor.advance(0)
    assert (b"serve" in engine_transport.value()) != cancelled


class BusySocket:
    """A socket that is always ready, and whose reads take 6 ms."""

    def __init__(self, reads):
        self.reads, self.pair = reads, socket.socketpair()
        self.pair[1].send(b"x")

    def fileno(self):
        return self.pair[0].fileno()

    def doRead(self):
        self.reads.append(self)
        time.sleep(0.006)

    def logPrefix(self):
        return "busy"

    def connectionLost(self, reason):
        pass


def test_event_loop_gives_each_ready_socket_a_turn_in_short_passes():
    """A pass handled all that was ready: a burst on many connections delayed the others for seconds."""
    clock, reads = Clock(), []
    reactor = Reactor(clock)
    reactor.doIteration(0)
    sockets = [BusySocket(reads) for _ in range(12)]
    for one in sockets:
        reactor.addReader(one)
    while len(reads) < len(sockets):
        read_before = len(reads)
        reactor.doIteration(0)
        assert 1 <= len(reads) - read_before <= 4  # a pass may poll twice
    assert set(reads[: len(sockets)]) == set(sockets)
    assert not clock.has_recent_poll  # what the first poll reported has waited for over 50 ms
    for one in sockets:
        reactor.removeReader(one)
        for end in one.pair:
            end.close()


def test_client_with_little_input_has_its_turn_before_those_with_a_backlog():
    """Guards against hundreds of clients that each have a turn before the request of another one is read."""
    reads = []
    reactor = Reactor(Clock())
    reactor.doIteration(0)
    sockets = [BusySocket(reads) for _ in range(12)]
    for one in sockets:
        one.has_backlog = True
        reactor.addReader(one)
    reactor.doIteration(0)
    assert 1 <= len(reads) < 12
    usual = BusySocket(reads)
    reactor.addReader(usual)
    reads.clear()
    reactor.doIteration(0)
    assert reads[0] is usual and len(reads) >= 2  # and one of the others at least
    for one in (*sockets, usual):
        reactor.removeReader(one)
        for end in one.pair:
            end.close()


def test_cancelled_queries_do_not_wait_for_a_socket_that_is_never_empty():
    """Guards against memory that grows with each cancelled query of a client that sends without a pause."""
    harness = ServiceHarness()
    member = ListedEngine("e", "127.0.0.1:9", discovery_codec.EngineState.UP, 0, 0, 0, 1.0, 0)
    harness.service.apply_engine_list_change(EngineListChange(1, True, [member]))
    harness.transport.doRead = lambda: None  # no read finds the socket empty
    harness.clients.read_soon = lambda connection: None
    harness.send_query(1)
    harness.advance(0.1)  # what is unread is too old from now on
    for stream in range(2, 300):
        harness.send_query(stream)
        harness.client.dataReceived(frames.encode_frame(FrameKind.CANCEL, stream))
    assert harness.service.queries.open_count == 1
    assert len(harness.client._unread._waiting) <= 1 and harness.service.queries.held_count == 1


class SlowProtocol:
    """A client connection that takes a while for each byte."""

    missing_bytes = 0

    def __init__(self, clock):
        self.clock, self.chunks, self.limit_reached = clock, [], 0

    def dataReceived(self, data):
        self.chunks.append(len(data))
        self.clock.advance(len(data) * 10e-6)

    def read_limit_reached(self):
        self.limit_reached += 1

    def socket_emptied(self):
        raise AssertionError("the socket holds more")


def test_turn_of_a_client_that_sends_small_requests_is_short():
    """Guards against a turn that is limited by its bytes alone: 16 kB of small requests took over 16 ms."""
    clock = MemoryReactorClock()
    sender, receiver = socket.socketpair()
    with sender, receiver:
        receiver.setblocking(False)
        sender.sendall(bytes(60_000))
        transport = object.__new__(ClientTransport)
        transport.reactor, transport.socket, transport.disconnected = clock, receiver, False
        transport.protocol = protocol = SlowProtocol(clock)
        assert transport.doRead() is None  # learns how long its input takes
        for _ in range(5):
            began_at = clock.seconds()
            assert transport.doRead() is None
            assert clock.seconds() - began_at <= TURN_BUDGET_S + MAX_CHUNK_S * 3
        assert protocol.limit_reached == 6 and max(protocol.chunks[-10:]) <= 256
        protocol.missing_bytes = 5_000  # a frame that has begun is read as a whole
        protocol.dataReceived = lambda data: protocol.chunks.append(len(data))
        assert transport.doRead() is None and protocol.chunks[-2] == 5_000
