"""System calls that fail for a moment, as Linux documents them: nothing taken is lost, nobody crashes."""

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
from vanerelay.net.buffers import BufferPool
from vanerelay.net.client_listener import ClientListener


def test_a_start_goes_on_while_no_socket_can_be_had(started, tmp_path):
    """The program ended with 2, for want of a socket in that moment."""
    faults, log = Faults(tmp_path / "faults", socket=1.0), tmp_path / "log"

    def mend():
        until(lambda: log.exists() and "cannot listen yet" in log.read_text(), "the failure")
        faults.set(socket=0.0)

    mending = threading.Thread(target=mend, daemon=True)
    mending.start()
    node = started(member(started.engine(send_result)), faults=faults)
    mending.join()
    client = connect_client(node)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)


@pytest.mark.parametrize("leaves", [cancel_query, close_connection])
def test_a_client_that_left_is_noticed_though_reads_are_short(started, tmp_path, leaves):
    """Its query was read in pieces, and began before the rest, which told that it had left."""
    faults, engine = Faults(tmp_path / "faults"), started.engine(send_result)
    node = started(member(engine), faults=faults)
    client, other = connect_client(node), connect_client(node)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0)  # there is a connection to the engine, over which all goes at once

    def meanwhile():
        client.ask(1, "a1")
        leaves(client)
        faults.set(short=1.0)

    pause_process(node, meanwhile, 0.1)
    wait_until_read(other)
    faults.set(short=0.0)
    other.ask(2, "b2")
    assert other.answer()[:2] == (2, 0) and engine.served() == ["b1", "b2"]


@pytest.mark.parametrize("leaves", [cancel_query, close_connection])
def test_a_client_that_left_before_it_could_be_accepted_gets_no_attempt(started, tmp_path, leaves):
    """Its query was read long after it had come, and began before the rest was read."""
    faults, engine = Faults(tmp_path / "faults"), started.engine(send_result)
    node = started(member(engine), faults=faults)
    other = connect_client(node)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0)
    faults.set(accept=1.0)
    client = node.client()
    client.ask(1, "a1")
    over = time.monotonic() + 0.2
    until(lambda: time.monotonic() > over, "some time")
    leaves(client)
    wait_until_read(other)
    faults.set(accept=0.0)
    connect_client(node)  # accepted after it, and heard
    other.ask(2, "b2")
    assert other.answer()[:2] == (2, 0) and engine.served() == ["b1", "b2"]


class Failing:
    """A listening socket whose accept fails as told before it goes on."""

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
def test_who_waits_when_the_port_closes_is_accepted_though_accept_fails(faults):
    """The first failure ended the look, and the close reset all that still waited."""
    served = ServiceHarness()
    clients = ClientListener(
        MemoryReactorClock(), served.clock, served.service, BufferPool(), 100, lambda: True
    )
    clients.listen("127.0.0.1", 0)
    port = clients._port
    address = port.getHost()
    waiting = [socket.create_connection((address.host, address.port)) for _ in range(5)]
    port.socket = Failing(port.socket, faults)
    clients.stop_listening()
    assert clients.descriptor_count == len(waiting)
    for one in waiting:
        one.close()


def test_without_a_descriptor_a_client_waits_and_is_not_shut():
    """Its request may have come already: shut unread it would be lost."""
    served, reactor = ServiceHarness(), MemoryReactorClock()
    clients = ClientListener(reactor, served.clock, served.service, BufferPool(), 100, lambda: True)
    clients.listen("127.0.0.1", 0)
    port = clients._port
    address = port.getHost()
    with socket.create_connection((address.host, address.port)):
        served.next_pass()
        came, port.socket = served.clock.previous_poll_at, Failing(port.socket, [errno.EMFILE, errno.ENFILE])
        port.doRead()
        assert clients.descriptor_count == 0 and port not in reactor.getReaders()
        while not clients.descriptor_count:
            served.advance(0.2)
            served.next_pass()
            reactor.advance(0.2)
        assert port in reactor.getReaders() and clients.descriptor_count == 1
        client = next(iter(clients.connections()))
        assert (
            client.received_after() == came
        )  # when its first request may have come: its time runs from then
    port.stopListening()


def test_an_attempt_whose_answer_was_unreadable_ends_once():
    """Its time-out came before the end of its connection, and met a fault."""
    fleet = EngineHarness()
    attempt = fleet.send("a", time_out=0.5)
    wire = fleet.connect()
    wire.flush()
    fleet.receive(b"what is this\r\n" * 3)
    fleet.reactor.advance(1.0)
    attempt.give_up(EndCause.CANCELLED)
    assert fleet.ends == [] and wire.aborted
    fleet.lose_connection()
    assert fleet.ends == [("a", EndCause.MALFORMED, AttemptStage.WRITTEN)]
