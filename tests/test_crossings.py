"""Race conditions between two events, each in its harmful order; docs/design/races.md lists them.

No order depends on the length of a sleep: a connect is delayed by a full accept queue, and a process by a
signal that stops it.
"""

from __future__ import annotations

import json
import signal
import socket
import struct
import threading
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

LONG_CONNECT_TIMEOUT = {"dialTimeoutUs": 20_000_000}  # longer than a test takes, so no connect times out
CANCEL, READINESS_CHECK, READINESS = 8, 16, 32


def send_result(engine, connection, ident):
    engine.return_result(connection, ident)


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def wait_until_read(client):
    """Returns once the gateway has read all that this client sent, and all that others sent before."""
    client.send(frame(READINESS_CHECK, 0, b"\0"))
    kind, *_ = client.read()
    assert kind == READINESS


def connect_client(gateway):
    """Returns a client that has sent a frame.

    A client that never sends anything is disconnected after two seconds.
    """
    client = gateway.client()
    wait_until_read(client)
    return client


def settings_with_class(**changes):
    return {"classes": [{**SETTINGS["classes"][0], **changes}, SETTINGS["classes"][1]]}


def cancel_query(client):
    client.send(frame(CANCEL, 1))


def close_connection(client):
    client.file.close()
    client.socket.close()


def half_close_connection(client):
    client.socket.shutdown(socket.SHUT_WR)


def reset_connection(client):
    reset(client.socket)


@pytest.mark.parametrize("leave", [cancel_query, close_connection, half_close_connection, reset_connection])
@pytest.mark.parametrize(
    "limits", [{"cancel": False}, {"cancel": False, "secondCopies": True}, {"cancel": True}]
)
@pytest.mark.parametrize("service", ["look", "load"])
def test_attempt_waiting_for_a_connection_is_not_sent_when_its_client_leaves(started, leave, limits, service):
    """Guards against sending the attempt once its connection is established, without a right to cancel."""
    engine = started.engine(send_result, full=True)
    gateway = started(member(engine), limits={**LONG_CONNECT_TIMEOUT, **limits})
    client, other = connect_client(gateway), connect_client(gateway)
    client.ask(1, "a1", service)
    until(engine.connect_pending, "the connect")
    leave(client)
    wait_until_read(other)
    engine.open()
    until(lambda: len(engine.connections) == 2, "the connection")  # the first one fills the accept queue
    other.ask(1, "b1", service)
    assert other.answer()[:2] == (1, 0) and engine.served() == ["b1"]


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_attempt_waiting_for_a_connection_moves_when_its_engine_leaves_the_list(started, phase):
    """Guards against sending the attempt to the removed engine, however long after its grace period."""
    slow, other = started.engine(send_result, full=True), started.engine(send_result)
    gateway = started(member(slow, "s-1"), limits=LONG_CONNECT_TIMEOUT)
    client = connect_client(gateway)
    client.ask(1, "a1", "load")
    until(slow.connect_pending, "the connect")
    gateway.feed.wait_for_poll(gateway.feed.publish(member(slow, "s-1", phase), member(other, "s-2")))
    slow.open()
    assert client.answer()[:2] == (1, 0) and other.served() == ["a1"] and slow.served() == []


def test_time_limit_sent_to_the_engine_excludes_the_time_of_the_connect(started):
    """Guards against the limit of the time of planning, which is too long by the duration of the connect."""
    engine = started.engine(send_result, full=True)
    client = connect_client(started(member(engine), limits=LONG_CONNECT_TIMEOUT))
    client.ask(1, "a1", "load", allow="15000")
    until(engine.connect_pending, "the connect")
    wait_end = time.monotonic() + 0.5
    until(lambda: time.monotonic() > wait_end, "some time")
    engine.open()
    assert client.answer()[:2] == (1, 0)
    command_fields = dict(pair.split("=") for pair in engine.commands[0][2].split(","))
    assert int(command_fields["patience"]) <= 15000 - 500


def test_retry_waiting_for_a_connection_is_not_sent_after_the_repeat_window(started):
    """Guards against a window that is checked when the attempt is planned, but not when it is written."""
    first, second = started.engine(lambda *_: None), started.engine(send_result, full=True)
    settings = settings_with_class(semantics="token", dedupScope="all", windowUs=600_000)
    gateway = started(
        member(first, "s-1"), limits={**LONG_CONNECT_TIMEOUT, "secondCopies": True}, settings=settings
    )
    client = connect_client(gateway)
    client.ask(1, "a1")
    until(first.served, "the first attempt")
    gateway.feed.wait_for_poll(gateway.feed.publish(member(first, "s-1", "DRAINING"), member(second, "s-2")))
    reset(first.connections[0])
    until(second.connect_pending, "the connect")
    second.open()  # the kernel retries the connect one second after the first try
    assert (
        client.answer()[:2] == (1, 1) and second.served() == []
    )  # the client may repeat it, as all engines drop repeats


def test_query_is_not_sent_when_its_client_left_before_it_was_read(started):
    """After a pause, a gateway reads the query first, and the end of the connection only in its next poll."""
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client, other = connect_client(gateway), connect_client(gateway)
    wait_until_read(client)

    def ask_and_disconnect():
        client.ask(1, "a1")
        close_connection(client)

    pause_process(gateway, ask_and_disconnect, 0.3)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0) and engine.served() == ["b1"]


def test_queued_query_is_not_sent_when_its_client_left_before_its_turn(started):
    """One poll returns the engine's answer, which frees a place, and then the end of the client."""
    pending = []
    engine = started.engine(lambda e, c, i: pending.append((c, i)))
    one_at_a_time = {**SETTINGS["familyInfo"], "parallelism": [100, 100]}
    gateway = started(member(engine), settings={"familyInfo": one_at_a_time})
    busy_client, client, other = connect_client(gateway), connect_client(gateway), connect_client(gateway)
    busy_client.ask(1, "w1")
    until(lambda: pending, "the attempt that fills the engine")
    client.ask(1, "a1")
    wait_until_read(client)

    def answer_and_disconnect():
        engine.script = send_result
        engine.return_result(*pending[0])
        close_connection(client)

    pause_process(gateway, answer_and_disconnect, 0.3)
    other.ask(1, "b1")
    assert other.answer()[:2] == (1, 0) and engine.served() == ["w1", "b1"]


@pytest.mark.parametrize(
    "remaining_input", [b"x" * 40_000_000, frame(2, 1, b"\0") * 4_000_000], ids=["noise", "frames"]
)
def test_client_gets_complete_answers_after_a_protocol_error(started, remaining_input):
    """Guards against a close with unread input: it sends a reset, which discards answers at the client."""
    engine = started.engine(lambda *_: None)
    gateway = started(member(engine))
    client = connect_client(gateway)
    client.ask(1, "a1")
    until(engine.served, "the attempt")
    client.send(frame(99, 1) + remaining_input)
    assert client.read() == (4, 1, b"\2\0") and client.read() == (4, 0, b"\2\0")
    assert client.socket.recv(1) == b""  # an orderly close, not a reset


def test_query_sent_after_a_drain_closed_the_idle_connection_is_not_run(started):
    """The query is read after this gateway closed its side, and is not sent to an engine.

    A client that never closes its side must not keep the gateway from exiting.
    """
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client = connect_client(gateway)
    wait_until_read(client)
    gateway.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    assert client.socket.recv(1) == b""
    client.ask(1, "a1")
    assert gateway.process.wait(30) == 0 and engine.served() == []


def test_query_after_the_accepting_period_of_a_drain_is_rejected_at_once(started):
    """Guards against accepting a query that is lost when the process is killed before its answer."""
    pending = []
    engine = started.engine(lambda e, c, i: pending.append((c, i)))
    gateway = started(member(engine))
    client, idle_client = connect_client(gateway), connect_client(gateway)
    client.ask(1, "a1", "load")
    wait_until_read(idle_client)
    until(lambda: pending, "the attempt")
    gateway.process.send_signal(signal.SIGTERM)
    # The end of the idle connection shows that the accepting period is over.
    assert idle_client.read() == (64, 0, b"") and idle_client.socket.recv(1) == b""
    client.ask(2, "a2")
    assert client.read() == (64, 0, b"") and client.answer()[:2] == (2, 1)
    engine.return_result(*pending[0])
    assert client.answer()[:2] == (1, 0) and gateway.process.wait(30) == 0 and engine.served() == ["a1"]


def test_query_received_in_the_accepting_period_of_a_drain_is_answered_after_a_pause(started):
    """The query arrives in the accepting period, but is read after it, as the process was paused."""
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client = connect_client(gateway)
    wait_until_read(client)

    def terminate_and_ask():
        gateway.process.send_signal(signal.SIGTERM)
        client.ask(1, "a1")

    pause_process(gateway, terminate_and_ask, 0.9)
    answers = [client.read(), client.read()]
    assert (64, 0, b"") in answers and any(one[:2] == (4, 1) and one[2][0] == 0 for one in answers)
    assert gateway.process.wait(30) == 0


def test_queries_written_in_the_accepting_period_of_a_drain_are_all_answered(started):
    """What one read did not return counted as late, and was discarded once no query was open."""
    engine = started.engine(send_result)
    gateway = started(member(engine))
    clients = [connect_client(gateway) for _ in range(8)]
    body = "SELECT a FROM sales_1.t WHERE x IN (" + "1," * 30_000 + "1)"

    def ask(number, client):
        for stream in range(1, 27):
            client.ask(stream, f"{number}{stream:02}", body=body)

    gateway.process.send_signal(signal.SIGTERM)
    for client in clients:
        assert client.read() == (64, 0, b"")
    asking = [threading.Thread(target=ask, args=numbered) for numbered in enumerate(clients)]
    for thread in asking:
        thread.start()
    for thread in asking:
        thread.join()
    for client in clients:
        received = [client.read() for _ in range(27)]
        assert (
            received[-1] in (None, (64, 0, b"")) and len({one[1] for one in received if one and one[1]}) == 26
        )
    assert gateway.process.wait(30) == 0


def test_repeated_termination_and_reload_signals_cause_one_drain(started):
    pending = []
    engine = started.engine(lambda e, c, i: pending.append((c, i)))
    gateway = started(member(engine))
    client = connect_client(gateway)
    client.ask(1, "a1", "load")
    until(lambda: pending, "the attempt")
    for sent in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        gateway.process.send_signal(sent)
    assert client.read() == (64, 0, b"")
    gateway.process.send_signal(signal.SIGTERM)
    engine.return_result(*pending[0])
    assert client.answer()[:2] == (1, 0) and gateway.process.wait(30) == 0
    assert "Traceback" not in gateway.log.read_text()


@pytest.mark.parametrize(
    ("key", "status", "fields"),
    [
        ({"replay": "0ad86c9d46b2f30e6728b01990d675c6"}, 0, "op=0ad86c9d46b2f30e6728b01990d675c6"),
        ({"replay": "a-b_c.d:e/f+9"}, 0, "op=a-b_c.d:e/f+9"),
        ({"replay": "a,pool=9"}, 2, None),
        ({"replay": "a=b"}, 2, None),
        ({"replay": "x" * 129}, 2, None),
        ({"replay": "\n"}, 2, None),
    ],
)
def test_idempotency_key_is_passed_on_unaltered_or_the_query_is_rejected(started, key, status, fields):
    """Without the key, no engine can detect a repeat."""
    engine = started.engine(send_result)
    settings = settings_with_class(semantics="token", dedupScope="all", windowUs=5_000_000)
    client = connect_client(started(member(engine), settings=settings))
    client.ask(1, "a1", **key)
    assert client.answer()[:2] == (1, status)
    sent = [command[2].split(",") for command in engine.commands if command[0] == "serve"]
    assert [fields in one for one in sent] == ([True] if fields else [])


def test_queries_with_the_same_order_key_run_one_at_a_time(started):
    """Guards against not reading the key from the frame, which let all queries run at once."""
    pending = []
    engine = started.engine(lambda e, c, i: pending.append((c, i)))
    settings = settings_with_class(inTurn=True)
    client = connect_client(started(member(engine), settings=settings))
    for stream, key in ((1, "t-7"), (2, "t-7"), (3, "t-8")):
        client.ask(stream, f"a{stream}", lookup=key)
    wait_until_read(client)
    until(lambda: len(pending) == 2, "the first of each key")
    assert sorted(engine.served()) == ["a1", "a3"]
    for connection, ident in list(pending):
        engine.return_result(connection, ident)
    until(lambda: len(pending) == 3, "the second of its key")
    assert pending[2][1] == ref("a2")


def test_cancelled_repeats_of_a_query_do_not_increase_the_retry_budget(started):
    """Guards against a budget that grows with cancelled repeats, so that retries of others exceed it."""
    engine = started.engine(lambda e, c, i: reset(c))
    safety = {**SETTINGS["safety"], "ratioSpanUs": 20_000_000, "extraRatio": 0.1, "minExtra": 1}
    gateway = started(member(engine), settings={"safety": safety})
    flooding_client, client = connect_client(gateway), connect_client(gateway)
    for stream in range(1, 101):
        flooding_client.ask(stream, "f0")
        flooding_client.send(frame(CANCEL, stream))
    flooding_client.send(frame(READINESS_CHECK, 0, b"\0"))
    while flooding_client.read()[0] != READINESS:
        pass  # an answer that was written before the cancel was read
    asked = [f"a{stream}" for stream in range(1, 9)]
    for stream, name in enumerate(asked, 1):
        client.ask(stream, name)
        client.answer()
    retries = [name for name in engine.served() if name in asked]
    assert len(retries) <= len(asked) + 1  # minExtra of 1, and a tenth of 9 queries


def test_previous_discovery_address_is_polled_while_the_new_one_fails(started):
    """Guards against missing the changes that are known only at the previous address."""
    one, two = started.engine(send_result), started.engine(send_result)
    gateway = started(member(one, "s-1"))
    with socket.create_server(("127.0.0.1", 0)) as unused_port:
        unused_address = f"127.0.0.1:{unused_port.getsockname()[1]}"
    configuration = json.loads(gateway.config.read_text())
    gateway.config.write_text(json.dumps({**configuration, "feed": unused_address}))
    gateway.process.send_signal(signal.SIGHUP)
    until(lambda: "discovery poll failed" in gateway.log.read_text(), "the failure")
    gateway.feed.wait_for_poll(gateway.feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = connect_client(gateway)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]
    assert gateway.log.read_text().count("discovery poll failed") == 1


def test_several_termination_signals_in_one_pass_end_the_process_cleanly(started):
    """Guards against stopping the reactor twice, which raises an error."""
    gateway = started(member(started.engine(send_result)))
    connect_client(gateway)

    def send_signals():
        for number in (signal.SIGTERM, signal.SIGINT):
            gateway.process.send_signal(number)

    pause_process(gateway, send_signals, 0.1)
    assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
    assert "Traceback" not in gateway.log.read_text()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_until_the_exit_do_not_change_the_exit_status(started, number):
    """Guards against a signal that kills the process after the interpreter has removed its handlers."""
    gateway = started(member(started.engine(send_result)))
    connect_client(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    until(
        lambda: gateway.process.send_signal(number) or gateway.process.poll() is not None, "the end", 0.0005
    )
    assert gateway.process.returncode == 0


def test_polls_are_spaced_when_the_discovery_service_answers_at_once_without_events(started):
    feed = FakeDiscoveryService()
    gateway = started(member(started.engine(send_result)), feed=feed)
    empty_answer = b'{"n":1,"events":[]}'
    feed.raw_answers.extend(
        [
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (len(empty_answer), empty_answer)
        ]
        * 1000
    )
    asked = len(feed.polls)
    pause_process(gateway, lambda: None, 0.1)
    until(lambda: len(feed.polls) > asked + 2, "some polls")
    polls_before, start = len(feed.polls), time.monotonic()
    until(lambda: len(feed.polls) >= polls_before + 4, "four more polls")
    assert time.monotonic() - start >= 3 * 0.25  # three full pauses: the first of the four had begun earlier


def test_discovery_is_polled_again_soon_after_an_answer_that_stops_in_the_middle(started):
    """Guards against waiting for the rest of the answer until the time-out of the whole poll."""
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    gateway = started(member(one, "s-1"), feed=feed, limits={"dialTimeoutUs": 20_000_000})
    feed.answers_to_truncate = 1
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = connect_client(gateway)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]


def test_discovery_recovers_while_idle_clients_use_all_descriptors(started):
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    unavailable = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    feed.raw_answers.extend([unavailable] * 100_000)
    gateway = started(member(one, "s-1"), feed=feed, sockets=48)
    idle = [gateway.client() for _ in range(60)]
    until(lambda: "discovery poll failed" in gateway.log.read_text(), "the failure")
    feed.raw_answers.clear()
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    for idle_client in idle:  # rejected, or disconnected as they sent nothing
        assert idle_client.read() in ((4, 0, b"\2\0"), None)
    client = connect_client(gateway)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]
    assert gateway.process.poll() is None


def flood(gateway, name):
    """Sends many queries at once on eight connections; returns once all are answered."""
    clients = [connect_client(gateway) for _ in range(8)]
    for number, client in enumerate(clients):
        for stream in range(1, 29):
            client.ask(stream, f"{name}{number}{stream:02}", effort="1200")
    for client in clients:
        for _ in range(28):
            client.answer()


def test_restarted_gateways_keep_within_the_slow_start_budget_of_an_engine(tmp_path, request):
    """Guards against a restarted gateway that uses its full share again, unaware of what it sent before."""

    def completes(engine, connection, ident):
        engine.reply(connection, ident, "OK", "total=1,elapsed=1200,rss=40", b"a\tb\tc\n")

    engine = FakeEngine(completes)
    request.addfinalizer(engine.close)
    cold_start = {"coldFrom": 0.3, "coldUs": 600_000_000, "fallMultiple": 2, "overloadForUs": 120_000_000}
    gateways = []
    for position in range(5):
        folder = tmp_path / f"n{position}"
        folder.mkdir()
        settings = {"safety": cold_start, "groupSize": 5, "position": position}
        started = member(engine, started=int(time.time() * 1000))
        gateways.append(GatewayProcess(folder, FakeDiscoveryService(), started, settings=settings))
        request.addfinalizer(gateways[-1].close)
    for generation in "ab":
        for position, gateway in enumerate(gateways):
            flood(gateway, f"{generation}{position}")
        for gateway in gateways:
            gateway.process.kill()
            gateway.process.wait()
        for gateway in gateways:
            gateway.start()
    allowed = 2 * 0.3 * 16 * 120 / 1.2  # in the window of two minutes
    assert 300 < len(engine.served()) <= allowed + 2 * allowed**0.5 + 2
