"""Transient errors of system calls, as documented for Linux: no accepted query is lost, no process ends."""

from __future__ import annotations

import errno
import socket
import threading
import time

import pytest
from twisted.internet.testing import MemoryReactorClock

from tests.faults import Faults
from tests.helpers import member, pause_process, until
from tests.test_crossings import cancel_query, close_connection, connect_client, send_result, wait_until_read
from tests.test_drivers import EngineHarness, ServiceHarness
from vanerelay.attempt_outcome import AttemptStage, EndCause
from vanerelay.net.accepting_port import ACCEPT_BUDGET_S
from vanerelay.net.backlog_age import BacklogAge
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_listener import ClientListener


def test_start_is_retried_while_sockets_cannot_be_created(started, tmp_path):
    """Guards against an exit with code 2 after a transient error of socket(2)."""
    faults, log = Faults(tmp_path / "faults", socket=1.0), tmp_path / "log"

    def clear_fault():
        until(
            lambda: log.exists() and "opening a port failed, trying again" in log.read_text(), "the failure"
        )
        faults.set(socket=0.0)

    clearing = threading.Thread(target=clear_fault, daemon=True)
    clearing.start()
    gateway = started(member(started.engine(send_result)), faults=faults)
    clearing.join()
    client = connect_client(gateway)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)


@pytest.mark.parametrize("disconnect", [cancel_query, close_connection])
def test_disconnect_is_noticed_before_an_attempt_when_reads_are_short(started, tmp_path, disconnect):
    """The query was read in pieces, and an attempt began before the rest was read, with the disconnect."""
    faults, engine = Faults(tmp_path / "faults"), started.engine(send_result)
    gateway = started(member(engine), faults=faults)
    client, other = connect_client(gateway), connect_client(gateway)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0)  # the engine connection is up now: attempts are sent at once

    def meanwhile():
        client.ask(1, "a1")
        disconnect(client)
        faults.set(short=1.0)

    pause_process(gateway, meanwhile, 0.1)
    wait_until_read(other)
    faults.set(short=0.0)
    other.ask(2, "b2")
    assert other.answer()[:2] == (2, 0) and engine.served() == ["b1", "b2"]


@pytest.mark.parametrize("disconnect", [cancel_query, close_connection])
def test_client_that_disconnects_before_it_is_accepted_gets_no_attempt(started, tmp_path, disconnect):
    """The query was read long after it had arrived, and an attempt began before the rest was read."""
    faults, engine = Faults(tmp_path / "faults"), started.engine(send_result)
    gateway = started(member(engine), faults=faults)
    other = connect_client(gateway)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0)
    faults.set(accept=1.0)
    client = gateway.client()
    client.ask(1, "a1")
    over = time.monotonic() + 0.2
    until(lambda: time.monotonic() > over, "some time")
    disconnect(client)
    wait_until_read(other)
    faults.set(accept=0.0)
    connect_client(gateway)  # accepted after the first client, whose input has therefore been read
    other.ask(2, "b2")
    assert other.answer()[:2] == (2, 0) and engine.served() == ["b1", "b2"]


class FailingListener:
    """A listening socket whose accept fails with these errors, one per call; 0 stands for a success."""

    def __init__(self, listener, faults):
        self._listener, self._faults = listener, list(faults)

    def accept(self):
        if self._faults and (fault := self._faults.pop(0)):
            raise OSError(fault, "injected")
        return self._listener.accept()

    def __getattr__(self, name):
        return getattr(self._listener, name)


@pytest.mark.parametrize(
    "faults",
    [
        (errno.ECONNABORTED, 0, errno.ECONNABORTED, 0, errno.EINTR),
        (errno.EMFILE, errno.ENFILE, 0, errno.ENOBUFS, errno.ENOMEM),
        (errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH),
    ],
)
def test_waiting_clients_are_accepted_when_the_port_closes_although_accept_fails(faults):
    """If the first error ended the loop, closing the port would reset all connections that still wait."""
    harness = ServiceHarness()
    clients = ClientListener(
        MemoryReactorClock(), harness.clock, harness.service, BufferPool(), 100, lambda: True
    )
    clients.listen("127.0.0.1", 0)
    port = clients._port
    address = port.getHost()
    waiting = [socket.create_connection((address.host, address.port)) for _ in range(5)]
    port.socket = FailingListener(port.socket, faults)
    clients.stop_listening()
    assert clients.descriptor_count == len(waiting)
    for connection in waiting:
        connection.close()


def test_client_waits_in_the_accept_queue_while_no_descriptor_is_free():
    """Its request may have arrived already, and would be lost if the connection were closed unread."""
    harness, reactor = ServiceHarness(), MemoryReactorClock()
    clients = ClientListener(reactor, harness.clock, harness.service, BufferPool(), 100, lambda: True)
    clients.listen("127.0.0.1", 0)
    port = clients._port
    address = port.getHost()
    with socket.create_connection((address.host, address.port)):
        harness.next_pass()
        polled_at, port.socket = (
            harness.clock.previous_poll_at,
            FailingListener(port.socket, [errno.EMFILE, errno.ENFILE]),
        )
        port.doRead()
        assert clients.descriptor_count == 0 and port not in reactor.getReaders()
        while not clients.descriptor_count:
            harness.advance(0.2)
            harness.next_pass()
            reactor.advance(0.2)
        assert port in reactor.getReaders() and clients.descriptor_count == 1
        client = next(iter(clients.connections()))
        assert client.received_after() == polled_at  # the earliest time at which its request may have arrived
    port.stopListening()


def test_clients_that_connect_at_once_are_accepted_in_turns(monkeypatch):
    """Guards against a pass of the event loop that accepts hundreds, in which nobody else is read."""
    harness, reactor = ServiceHarness(), MemoryReactorClock()
    clients = ClientListener(reactor, harness.clock, harness.service, BufferPool(), 100, lambda: True)
    clients.listen("127.0.0.1", 0)
    port, admit, connected_after = clients._port, clients.admit, clients.connected_after()

    def admit_slowly(connection):
        reactor.rightNow += 0.6 * ACCEPT_BUDGET_S
        return admit(connection)

    monkeypatch.setattr(clients, "admit", admit_slowly)
    address = port.getHost()
    waiting = [socket.create_connection((address.host, address.port)) for _ in range(7)]
    port.doRead()
    assert len(clients.connections()) == 2
    harness.time += 1.0
    harness.next_poll()
    port.doRead()  # the port is still readable
    assert len(clients.connections()) == 2
    reactor.advance(0)
    assert len(clients.connections()) == 7 and clients.statistics.most_accepted == 2
    # They may have connected, and sent requests, as early as the first.
    assert {client.received_after() for client in clients.connections()} == {connected_after}
    clients.stop_listening()
    for connection in waiting:
        connection.close()


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([], 90),
        ([("left_waiting", 10)], 10),
        ([("left_waiting", 10), ("emptied",)], 90),
        ([("left_waiting", 10), ("left_waiting", 20)], 10),
        ([("left_waiting", 10), ("left_waiting", 20), *[("accepted",)] * 3], 10),
        ([("left_waiting", 10), ("left_waiting", 20), *[("accepted",)] * 4], 20),
        ([("left_waiting", 10), *[("accepted",)] * 9, ("left_waiting", 20), ("left_waiting", 30)], 10),
        ([("left_waiting", 10), ("left_waiting", 20), *[("accepted",)] * 4, ("emptied",)], 90),
    ],
)
def test_age_of_the_backlog_is_bounded_by_what_was_accepted_since(events, expected):
    """Guards against deadlines that count from ever earlier while the accept queue is never empty."""
    age = BacklogAge(queue_length=3)
    for name, *values in events:
        getattr(age, name)(*values)
    assert age.connected_after(90) == expected


def test_connection_that_cannot_be_set_up_does_not_close_the_port(monkeypatch):
    """Guards against an exception that reaches the event loop, which would stop listening."""
    harness = ServiceHarness()
    clients = ClientListener(
        MemoryReactorClock(), harness.clock, harness.service, BufferPool(), 100, lambda: True
    )
    clients.listen("127.0.0.1", 0)
    address, admit, calls = clients._port.getHost(), clients.admit, []

    def fail_once(connection):
        calls.append(connection)
        if len(calls) == 1:
            raise OSError("injected")
        return admit(connection)

    monkeypatch.setattr(clients, "admit", fail_once)
    waiting = [socket.create_connection((address.host, address.port)) for _ in range(2)]
    clients._port.doRead()
    assert len(calls) == 2 and clients.connections() == calls[1:]
    clients.stop_listening()
    for connection in waiting:
        connection.close()


def test_attempt_with_a_malformed_answer_ends_once():
    """Its timeout before the end of its connection raised an exception."""
    harness = EngineHarness()
    attempt = harness.send("a", time_out=0.5)
    transport = harness.connect()
    transport.flush()
    harness.receive(b"what is this\r\n" * 3)
    harness.reactor.advance(1.0)
    attempt.give_up(EndCause.CANCELLED)
    assert harness.ends == [] and transport.aborted
    harness.lose_connection()
    assert harness.ends == [("a", EndCause.MALFORMED, AttemptStage.WRITTEN)]
