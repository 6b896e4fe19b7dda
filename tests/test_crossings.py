"""Pairs of events that cross, in the order that does harm; docs/design/races.md lists them.

Every order is brought about by what has happened, never by a length of sleep: a connect is held up by a full
queue of connections, a process by a signal that stops it.
"""

from __future__ import annotations

import json
import signal
import socket
import struct
import time

import pytest

from tests.helpers import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    FakeDiscoveryService,
    FakeEngine,
    GatewayProcess,
    member,
    pause_process,
    ref,
    reset,
    until,
)

CONNECT = {"dialTimeoutUs": 20_000_000}  # longer than a test takes: the connect is let through before
LEAVE, READY, READINESS = 8, 16, 32


def returns(engine, connection, ident):
    engine.return_result(connection, ident)


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def settle(client):
    """Returns once all that the client sent, and all that others sent before, has been read."""
    client.send(frame(READY, 0, b"\0"))
    kind, *_ = client.read()
    assert kind == READINESS


def joined(node):
    """A client that has been heard once: one that only rests is ended after two seconds."""
    client = node.client()
    settle(client)
    return client


def classes(**change):
    return {"classes": [{**SETTINGS["classes"][0], **change}, SETTINGS["classes"][1]]}


def cancels(client):
    client.send(frame(LEAVE, 1))


def closes(client):
    client.file.close()
    client.socket.close()


def half_closes(client):
    client.socket.shutdown(socket.SHUT_WR)


def resets(client):
    reset(client.socket)


@pytest.mark.parametrize("leaves", [cancels, closes, half_closes, resets])
@pytest.mark.parametrize(
    "limits", [{"cancel": False}, {"cancel": False, "secondCopies": True}, {"cancel": True}]
)
@pytest.mark.parametrize("service", ["look", "load"])
def test_a_client_leaves_while_its_attempt_waits_for_a_connection(started, leaves, limits, service):
    """Where nothing can be cancelled the attempt was begun all the same once the connection came up."""
    engine = started.engine(returns, full=True)
    node = started(member(engine), limits={**CONNECT, **limits})
    client, other = joined(node), joined(node)
    client.ask(1, "a1", service)
    until(engine.connect_pending, "the connect")
    leaves(client)
    settle(other)
    engine.open()
    until(lambda: len(engine.connections) == 2, "the connection")  # the first is the one that took the room
    other.ask(1, "b1", service)
    assert other.answer()[:2] == (1, 0) and engine.served() == ["b1"]


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_an_engine_is_taken_off_the_list_while_an_attempt_waits_for_a_connection(started, phase):
    """The attempt was begun whenever the connection came up, past any grace."""
    slow, other = started.engine(returns, full=True), started.engine(returns)
    node = started(member(slow, "s-1"), limits=CONNECT)
    client = joined(node)
    client.ask(1, "a1", "load")
    until(slow.connect_pending, "the connect")
    node.feed.wait_for_poll(node.feed.publish(member(slow, "s-1", phase), member(other, "s-2")))
    slow.open()
    assert client.answer()[:2] == (1, 0) and other.served() == ["a1"] and slow.served() == []


def test_an_engine_gets_the_time_that_is_left_when_its_connection_comes_up(started):
    """It was told what was left when the attempt was planned, up to a connect too long."""
    engine = started.engine(returns, full=True)
    client = joined(started(member(engine), limits=CONNECT))
    client.ask(1, "a1", "load", allow="15000")
    until(engine.connect_pending, "the connect")
    over = time.monotonic() + 0.5
    until(lambda: time.monotonic() > over, "some time")
    engine.open()
    assert client.answer()[:2] == (1, 0)
    told = dict(pair.split("=") for pair in engine.commands[0][2].split(","))
    assert int(told["patience"]) <= 15000 - 500


def test_the_window_for_repeats_ends_while_an_attempt_waits_for_a_connection(started):
    """It was looked at when the attempt was planned, not when it was written."""
    first, second = started.engine(lambda *_: None), started.engine(returns, full=True)
    settings = classes(semantics="token", dedupScope="all", windowUs=600_000)
    node = started(member(first, "s-1"), limits={**CONNECT, "secondCopies": True}, settings=settings)
    client = joined(node)
    client.ask(1, "a1")
    until(first.served, "the first attempt")
    node.feed.wait_for_poll(node.feed.publish(member(first, "s-1", "DRAINING"), member(second, "s-2")))
    reset(first.connections[0])
    until(second.connect_pending, "the connect")
    second.open()  # the system tries it again a second after the first try
    assert client.answer()[:2] == (1, 1) and second.served() == []  # harmless, as all engines drop repeats


def test_a_client_has_gone_before_its_query_is_read(started):
    """A process that stood still reads a query, and only with its next look the end of its client."""
    engine = started.engine(returns)
    node = started(member(engine))
    client, other = joined(node), joined(node)
    settle(client)

    def ask_and_go():
        client.ask(1, "a1")
        closes(client)

    pause_process(node, ask_and_go, 0.3)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0) and engine.served() == ["b1"]


def test_a_client_has_gone_while_its_query_waits_in_the_admission_queue(started):
    """The answer that makes room for it and its client's end come in one look, the answer first."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    one_at_a_time = {**SETTINGS["familyInfo"], "parallelism": [100, 100]}
    node = started(member(engine), settings={"familyInfo": one_at_a_time})
    busy, client, other = joined(node), joined(node), joined(node)
    busy.ask(1, "w1")
    until(lambda: held, "the attempt that fills the engine")
    client.ask(1, "a1")
    settle(client)

    def answer_and_go():
        engine.script = returns
        engine.return_result(*held[0])
        closes(client)

    pause_process(node, answer_and_go, 0.3)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0) and engine.served() == ["w1", "b1"]


@pytest.mark.parametrize("rest", [b"x" * 40_000_000, frame(2, 1, b"\0") * 4_000_000], ids=["noise", "frames"])
def test_a_client_that_breaks_the_protocol_gets_complete_answers(started, rest):
    """A close over what it had still sent was a reset, which takes along what was not read yet."""
    engine = started.engine(lambda *_: None)
    node = started(member(engine))
    client = joined(node)
    client.ask(1, "a1")
    until(engine.served, "the attempt")
    client.send(frame(99, 1) + rest)
    assert client.read() == (4, 1, b"\2\0") and client.read() == (4, 0, b"\2\0")
    assert client.socket.recv(1) == b""  # its end, no reset


def test_a_resting_connection_is_ended_by_a_drain_and_a_query_crosses(started):
    """It is read after our end, and is not sent on; who never ends its side does not keep us from ending."""
    engine = started.engine(returns)
    node = started(member(engine))
    client = joined(node)
    settle(client)
    node.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    assert client.socket.recv(1) == b""
    client.ask(1, "a1")
    assert node.process.wait(30) == 0 and engine.served() == []


def test_a_query_that_comes_after_the_time_for_queries_is_rejected_at_once(started):
    """It was taken, and lost where the kill came before its answer."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    client, resting = joined(node), joined(node)
    client.ask(1, "a1", "load")
    settle(resting)
    until(lambda: held, "the attempt")
    node.process.send_signal(signal.SIGTERM)
    assert resting.read() == (64, 0, b"") and resting.socket.recv(1) == b""  # the time is over
    client.ask(2, "a2")
    assert client.read() == (64, 0, b"") and client.answer()[:2] == (2, 1)
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and node.process.wait(30) == 0 and engine.served() == ["a1"]


def test_queries_that_had_come_when_the_time_for_queries_ended_are_answered(started):
    """They lay unread while the process stood still over the end of a drain's times."""
    engine = started.engine(returns)
    node = started(member(engine))
    client = joined(node)
    settle(client)

    def term_and_ask():
        node.process.send_signal(signal.SIGTERM)
        client.ask(1, "a1")

    pause_process(node, term_and_ask, 0.9)
    answers = [client.read(), client.read()]
    assert (64, 0, b"") in answers and any(one[:2] == (4, 1) and one[2][0] == 0 for one in answers)
    assert node.process.wait(30) == 0


def test_two_terminations_and_new_configurations_in_between_are_one(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    client = joined(node)
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    for sent in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        node.process.send_signal(sent)
    assert client.read() == (64, 0, b"")
    node.process.send_signal(signal.SIGTERM)
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and node.process.wait(30) == 0
    assert "Traceback" not in node.log.read_text()


@pytest.mark.parametrize(
    ("told", "code", "fields"),
    [
        ({"replay": "0ad86c9d46b2f30e6728b01990d675c6"}, 0, "op=0ad86c9d46b2f30e6728b01990d675c6"),
        ({"replay": "a-b_c.d:e/f+9"}, 0, "op=a-b_c.d:e/f+9"),
        ({"replay": "a,pool=9"}, 2, None),
        ({"replay": "a=b"}, 2, None),
        ({"replay": "x" * 129}, 2, None),
        ({"replay": "\n"}, 2, None),
    ],
)
def test_the_idempotency_key_reaches_every_engine_unaltered(started, told, code, fields):
    """Without it no engine can tell a repeat; seen under settings of our own, on every day."""
    engine = started.engine(returns)
    settings = classes(semantics="token", dedupScope="all", windowUs=5_000_000)
    client = joined(started(member(engine), settings=settings))
    client.ask(1, "a1", **told)
    assert client.answer()[:2] == (1, code)
    sent = [command[2].split(",") for command in engine.commands if command[0] == "serve"]
    assert [fields in one for one in sent] == ([True] if fields else [])


def test_queries_of_one_key_run_one_at_a_time_in_order(started):
    """The key was not read from the frame: all of them ran at once."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    settings = classes(inTurn=True)
    client = joined(started(member(engine), settings=settings))
    for stream, key in ((1, "t-7"), (2, "t-7"), (3, "t-8")):
        client.ask(stream, f"a{stream}", lookup=key)
    settle(client)
    until(lambda: len(held) == 2, "the first of each key")
    assert sorted(engine.served()) == ["a1", "a3"]
    for connection, ident in list(held):
        engine.return_result(connection, ident)
    until(lambda: len(held) == 3, "the second of its key")
    assert held[2][1] == ref("a2")


def test_a_client_that_floods_the_same_query_and_leaves_earns_no_attempts(started):
    """Seen on a day with bad clients under settings of our own: they broke the retry budget."""
    engine = started.engine(lambda e, c, i: reset(c))
    safety = {**SETTINGS["safety"], "ratioSpanUs": 20_000_000, "extraRatio": 0.1, "minExtra": 1}
    node = started(member(engine), settings={"safety": safety})
    flood, client = joined(node), joined(node)
    for stream in range(1, 101):
        flood.ask(stream, "f0")
        flood.send(frame(LEAVE, stream))
    flood.send(frame(READY, 0, b"\0"))
    while flood.read()[0] != READINESS:
        pass  # an answer that was written before its client's leaving was read
    asked = [f"a{stream}" for stream in range(1, 9)]
    for stream, name in enumerate(asked, 1):
        client.ask(stream, name)
        client.answer()
    retries = [name for name in engine.served() if name in asked]
    assert len(retries) <= len(asked) + 1  # 1 and a tenth of 9 queries


def test_a_discovery_service_that_moved_to_where_nobody_is(started):
    """What the former one had to tell was not heard any more."""
    one, two = started.engine(returns), started.engine(returns)
    node = started(member(one, "s-1"))
    with socket.create_server(("127.0.0.1", 0)) as nobody:
        dead = f"127.0.0.1:{nobody.getsockname()[1]}"
    told = json.loads(node.config.read_text())
    node.config.write_text(json.dumps({**told, "feed": dead}))
    node.process.send_signal(signal.SIGHUP)
    until(lambda: "discovery poll failed" in node.log.read_text(), "the failure")
    node.feed.wait_for_poll(node.feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = joined(node)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]
    assert node.log.read_text().count("discovery poll failed") == 1


def test_several_signals_to_end_that_come_in_one_pass_are_one(started):
    """The second stopped a reactor that was stopped already, and met a fault."""
    node = started(member(started.engine(returns)))
    joined(node)

    def signals():
        for number in (signal.SIGTERM, signal.SIGINT):
            node.process.send_signal(number)

    pause_process(node, signals, 0.1)
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    assert "Traceback" not in node.log.read_text()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_until_the_very_end_change_nothing(started, number):
    """Once the interpreter took its handlers down, the next one ended the process by itself."""
    node = started(member(started.engine(returns)))
    joined(node)
    node.process.send_signal(signal.SIGTERM)
    until(lambda: node.process.send_signal(number) or node.process.poll() is not None, "the end", 0.0005)
    assert node.process.returncode == 0


def test_a_discovery_service_that_answers_at_once_without_events_is_not_polled_in_a_storm(started):
    feed = FakeDiscoveryService()
    node = started(member(started.engine(returns)), feed=feed)
    empty = b'{"n":1,"events":[]}'
    feed.raw_answers.extend(
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(empty), empty)] * 1000
    )
    asked = len(feed.polls)
    pause_process(node, lambda: None, 0.1)
    until(lambda: len(feed.polls) > asked + 2, "some polls")
    seen, began = len(feed.polls), time.monotonic()
    until(lambda: len(feed.polls) >= seen + 4, "four more polls")
    assert time.monotonic() - began >= 3 * 0.25  # the pause that had begun is not counted


def test_a_discovery_service_that_stops_within_an_answer_is_polled_again_before_the_wait_is_over(started):
    """Each process waited for the rest until the time for the whole poll was over."""
    feed, one, two = FakeDiscoveryService(), started.engine(returns), started.engine(returns)
    node = started(member(one, "s-1"), feed=feed, limits={"dialTimeoutUs": 20_000_000})
    feed.answers_to_truncate = 1
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = joined(node)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(started):
    feed, one, two = FakeDiscoveryService(), started.engine(returns), started.engine(returns)
    down = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    feed.raw_answers.extend([down] * 100_000)
    node = started(member(one, "s-1"), feed=feed, sockets=48)
    idle = [node.client() for _ in range(60)]
    until(lambda: "discovery poll failed" in node.log.read_text(), "the failure")
    feed.raw_answers.clear()
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    for rests in idle:  # turned away, or ended for their silence
        assert rests.read() in ((4, 0, b"\2\0"), None)
    client = joined(node)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]
    assert node.process.poll() is None


def flood(node, name):
    """Many queries at once over eight connections; returns once all are answered."""
    clients = [joined(node) for _ in range(8)]
    for number, client in enumerate(clients):
        for stream in range(1, 29):
            client.ask(stream, f"{name}{number}{stream:02}", effort="1200")
    for client in clients:
        for _ in range(28):
            client.answer()


def test_processes_that_are_killed_and_started_again_keep_within_a_cold_engine_s_budget(tmp_path, request):
    """Each had its whole part again, as nobody told it what it had sent before."""

    def completes(engine, connection, ident):
        engine.reply(connection, ident, "OK", "total=1,elapsed=1200,rss=40", b"a\tb\tc\n")

    engine = FakeEngine(completes)
    request.addfinalizer(engine.close)
    cold = {"coldFrom": 0.3, "coldUs": 600_000_000, "fallMultiple": 2, "overloadForUs": 120_000_000}
    nodes = []
    for position in range(5):
        folder = tmp_path / f"n{position}"
        folder.mkdir()
        settings = {"safety": cold, "groupSize": 5, "position": position}
        started = member(engine, started=int(time.time() * 1000))
        nodes.append(GatewayProcess(folder, FakeDiscoveryService(), started, settings=settings))
        request.addfinalizer(nodes[-1].close)
    for life in "ab":
        for position, node in enumerate(nodes):
            flood(node, f"{life}{position}")
        for node in nodes:
            node.process.kill()
            node.process.wait()
        for node in nodes:
            node.start()
    allowed = 2 * 0.3 * 16 * 120 / 1.2  # in the window of two minutes
    assert 300 < len(engine.served()) <= allowed + 2 * allowed**0.5 + 2
