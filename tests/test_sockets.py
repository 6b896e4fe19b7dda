"""Tests of gateway processes, started by the command that operators use, with fake peers on loopback."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import time

import pytest

from tests.helpers import FakeDiscoveryService, member, pause_process, ref, reset, start_program, until


def send_result(engine, connection, query_id):
    engine.return_result(connection, query_id)


def reply_with(status):
    return lambda engine, connection, query_id: engine.reply(connection, query_id, status)


def never_reply(engine, connection, query_id):
    pass


def reset_connection(engine, connection, query_id):
    reset(connection)


def reset_between_pages(engine, connection, query_id):
    engine.reply(connection, query_id, "OK", "total=3,elapsed=1,rss=1", b"a\tb\tc\n")
    reset(connection)


def send_garbage(engine, connection, query_id):
    connection.sendall(b"what is this\r\n" * 4)


def omit_second_page(engine, connection, query_id):
    engine.reply(connection, query_id, "OK", "total=2,elapsed=1,rss=1", b"a\tb\tc\n")
    engine.reply(connection, query_id, "ERR")


def test_answer_of_several_pages_is_returned_unaltered(started):
    pages = [b"x\ty\tz\r\n" * 700, b"\xc3\xa4\t*4\t$1\n", b"", b"q\tr\ts\n" * 900]
    engine = started.engine(lambda e, c, i: e.return_result(c, i, pages))
    gateway = started(member(engine))
    client = gateway.client()
    client.ask(1, "9b1f03aa5c7e2d41", body="SELECT * FROM sales_17.orders")
    assert client.answer() == (1, 0, {}, b"".join(pages))
    serve = engine.commands[0]
    assert serve[:2] == ["serve", "9b1f03aa5c7e2d41"] and serve[3] == "SELECT * FROM sales_17.orders"
    fields = dict(pair.split("=") for pair in serve[2].split(","))
    assert fields["sort"] == "look" and 0 < int(fields["patience"]) <= 20000 and int(fields["pool"]) > 0
    until(lambda: ["release", "9b1f03aa5c7e2d41"] in engine.commands, "the release of the pages")


@pytest.mark.parametrize(
    ("script", "service", "code", "attempts"),
    [
        (reply_with("BUSY"), "load", 1, 3),
        (reply_with("VOID"), "load", 1, 3),
        (reply_with("ERR"), "load", 2, 1),
        (reset_connection, "load", 2, 1),
        (reset_between_pages, "load", 2, 1),
        (omit_second_page, "load", 2, 1),
        (send_garbage, "load", 2, 1),
        (reply_with("NONSENSE"), "load", 2, 1),
        (reply_with("ERR"), "look", 1, 3),
        (reset_connection, "look", 1, 3),
        (omit_second_page, "look", 1, 3),
    ],
)
def test_failed_attempt_is_retried_only_if_it_never_ran_or_the_query_is_idempotent(
    started, script, service, code, attempts
):
    engine = started.engine(script)
    client = started(member(engine)).client()
    client.ask(1, "a1", service)
    stream, status, fields, body = client.answer()
    assert (stream, status, body) == (1, code, b"") and ("cooldown" in fields) == (code == 1)
    assert 1 <= len(engine.served()) <= attempts and set(engine.served()) == {"a1"}
    client.ask(2, "a2", service="nobody knows it")
    assert client.answer()[:2] == (2, 2)  # the process and the connection still work


def test_query_fails_at_its_time_limit_when_the_engine_never_replies(started):
    engine = started.engine(never_reply)
    client = started(member(engine)).client()
    client.ask(1, "a1", "load", allow="600")
    assert client.answer()[:2] == (1, 2)
    until(lambda: ["cancel", ref("a1")] in engine.commands, "the cancel")
    assert engine.served() == ["a1"]


def test_non_idempotent_query_is_retried_when_the_engine_refuses_the_connection(started):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        closed_port = listener.getsockname()[1]
    engine = started.engine(send_result)
    client = started(member(closed_port, "s-0"), member(engine, "s-1")).client()
    for stream in range(1, 9):
        client.ask(stream, f"a{stream}", "load")
    assert sorted(client.answer()[:2] for _ in range(8)) == [(n, 0) for n in range(1, 9)]
    assert sorted(engine.served()) == [f"a{n}" for n in range(1, 9)]


def test_draining_engine_gets_no_queries(started):
    one, two = started.engine(send_result), started.engine(send_result)
    gateway = started(member(one, "s-1"), member(two, "s-2"))
    gateway.feed.wait_for_poll(gateway.feed.publish(member(one, "s-1", "DRAINING")))
    client = gateway.client()
    for stream in range(1, 21):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert one.served() == [] and len(two.served()) == 20


@pytest.mark.parametrize(
    "raw_answer",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nno json",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
    ],
)
def test_discovery_service_is_polled_again_and_the_list_kept_after_a_malformed_answer(started, raw_answer):
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    feed.raw_answers.extend([raw_answer, raw_answer])
    gateway = started(member(one, "s-1"), feed=feed)
    client = gateway.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and two.served() == ["a2"]


def test_discovery_service_is_polled_again_when_a_poll_hangs(started):
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    feed.polls_to_hang = 1
    gateway = started(member(one, "s-1"), feed=feed)
    until(lambda: feed.polls_to_hang == 0, "the poll that hangs")
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = gateway.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]


def test_reload_switches_discovery_service_and_settings_and_drops_no_query(started):
    """An unhandled SIGHUP would end the process.

    A hanging poll does not delay the reload, and a configuration that is not valid changes nothing. Queries
    accepted before the reload are answered once, later ones follow the new settings.
    """
    held, old, new = [], FakeDiscoveryService(), FakeDiscoveryService()
    one, two = started.engine(lambda e, c, i: held.append((c, i))), started.engine(send_result)
    old.polls_to_hang = 1
    gateway = started(member(one, "s-1"), feed=old)
    until(lambda: old.polls_to_hang == 0, "the poll that hangs")
    client = gateway.client()
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    new.events.extend(old.events)
    configuration = json.loads(gateway.config.read_text())
    report = {**configuration["settings"]["classes"][0], "name": "report", "kindsOnly": [0]}
    for change, line in (
        ({"safety": {"fallMultiple": 0.5}}, "configuration reload failed, settings unchanged"),
        ({"kinds": []}, "restart"),
    ):
        gateway.config.write_text(
            json.dumps({**configuration, "settings": {**configuration["settings"], **change}})
        )
        gateway.process.send_signal(signal.SIGHUP)
        until(lambda line=line: line in gateway.log.read_text(), "the log line")
    configuration["settings"]["classes"].append(report)
    gateway.config.write_text(
        json.dumps({**configuration, "feed": f"127.0.0.1:{new.server.server_address[1]}"})
    )
    old_polls = len(old.polls)
    gateway.process.send_signal(signal.SIGHUP)
    until(lambda: new.polls, "a poll of the new discovery service")
    assert new.polls[0] == 1 and len(old.polls) == old_polls
    new.wait_for_poll(new.publish(member(one, "s-1", "DRAINING"), member(two, "s-2")))
    client.ask(2, "a2", "report")
    assert client.answer()[:2] == (2, 0) and two.served() == ["a2"]
    one.return_result(*held[0])
    assert client.answer()[:2] == (1, 0)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.process.send_signal(signal.SIGHUP)
    assert gateway.process.wait(30) == 0
    new.server.shutdown()
    new.server.server_close()


def test_connection_is_not_reused_after_its_engine_was_restarted(started):
    """Attempts running on a connection to the replaced process are lost, and no new ones are sent there."""
    old = started.engine(never_reply)
    gateway = started(member(old))
    client = gateway.client()
    client.ask(1, "a1", "load")
    until(old.served, "the attempt")
    old.script = send_result
    gateway.feed.wait_for_poll(gateway.feed.publish(member(old, started=1_700_000_000_000)))
    assert client.answer()[:2] == (1, 2)
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(old.connections) == 2


def test_new_engine_at_the_address_of_a_deleted_one_gets_a_new_connection(started):
    one = started.engine(send_result)
    gateway = started(member(one, "s-1"))
    client = gateway.client()
    client.ask(1, "a1")
    client.answer()
    gateway.feed.wait_for_poll(gateway.feed.publish(member(one, "s-1", "DELETED"), member(one, "s-2")))
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(one.connections) == 2


def test_answer_of_a_cancelled_query_is_not_sent(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    client = started(member(engine)).client()
    client.ask(1, "a1")
    client.ask(2, "a2")
    until(lambda: len(held) == 2, "both attempts")
    client.send(struct.pack(">IBI", 5, 8, 1))
    client.send(struct.pack(">IBI", 6, 16, 0) + b"\0")
    assert client.read() == (32, 0, b"\0\0")  # shows that the cancellation was read
    for connection, query_id in sorted(held, key=lambda pair: pair[1]):
        engine.return_result(connection, query_id)
    assert client.answer()[:2] == (2, 0)


def test_queries_of_a_lost_client_connection_are_dropped(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine))
    lost, other = gateway.client(), gateway.client()
    lost.ask(1, "a1")
    until(lambda: held, "the attempt")
    reset(lost.socket)
    other.ask(1, "b1")
    until(lambda: len(held) == 2, "the attempt of the other client")
    for connection, query_id in held:
        engine.return_result(connection, query_id)
    assert other.answer()[:2] == (1, 0)


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\4\2\0\0\0\1",
        b"\xff" * 20,
        struct.pack(">IBI", 6, 4, 1) + b"\0",
        struct.pack(">IBI", 5, 2, 9),
        struct.pack(">IBI", 9, 2, 9) + b"\1\3ab",
        struct.pack(">IBI", 6, 2, 0) + b"\0",
        struct.pack(">IBI", 6, 2, 1) + b"\0",
        struct.pack(">I", 60_000_000) + b"x" * 1000,
        struct.pack(">IBI", 100, 2, 9) + b"\1",
    ],
)
def test_malformed_input_ends_only_its_own_connection(started, data):
    """The connection ends at once, or after a timeout if the rest of a frame never arrives."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine))
    bad, good = gateway.client(), gateway.client()
    bad.ask(1, "a1", "load")
    good.ask(1, "b1", "load")
    until(lambda: len(held) == 2, "both attempts")
    with contextlib.suppress(OSError):  # the gateway may close the connection before all was sent
        bad.send(data)
    assert bad.read() in ((4, 1, b"\2\0"), None) and bad.read() in ((4, 0, b"\2\0"), None)
    assert bad.read() is None
    until(lambda: ["cancel", ref("a1")] in engine.commands, "the cancel")
    for connection, query_id in held:
        engine.return_result(connection, query_id)
    assert good.answer()[:2] == (1, 0)
    good.ask(2, "b2")
    until(lambda: len(held) == 3, "one more attempt")


def test_connections_without_requests_are_closed_to_make_room_for_others(started):
    """Hundreds of connections without a request could hold all descriptors for clients indefinitely."""
    engine = started.engine(never_reply)
    gateway = started(member(engine), sockets=48)  # clients hold 16 at most
    busy = [gateway.client() for _ in range(8)]
    for client in busy:
        client.ask(1, f"a{busy.index(client)}")
    until(lambda: len(engine.served()) == 8, "the attempts")
    unused = [gateway.client() for _ in range(12)]
    assert unused[0].read() in ((4, 0, b"\2\0"), None)
    new_client = gateway.client()
    new_client.ask(1, "b1")
    until(lambda: "b1" in engine.served(), "the attempt of the later client")
    assert unused[-1].read() in ((4, 0, b"\2\0"), None) and busy[0].socket.fileno() >= 0


@pytest.mark.parametrize(
    "fields",
    [
        {"service": "none"},
        {"project": "none"},
        {"allow": ""},
        {"allow": "soon"},
        {"allow": "-5"},
        {"allow": "nan"},
        {"effort": "much"},
        {"space": "inf"},
        {"name": ""},
        {"allow": "99000000"},
        {"allow": "1_0"},
        {"effort": "1e30"},
        {"space": "0x10"},
        {"name": "9b1f03aa5c7e2d4x"},
        {"name": "9b1f03aa5c7e2d4"},
        {"body": ""},
        {"body": "\udcff"},
        {"name": "b1"},
    ],
)
def test_query_with_an_invalid_field_fails(started, fields):
    """Such a query must not reach an engine: an engine closes the connection on invalid input, and treats two
    queries with one id as the same query.
    """
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine))
    other, client = gateway.client(), gateway.client()
    other.ask(1, "b1")
    until(lambda: held, "the attempt")
    client.ask(1, **{"name": "a1", **fields})
    assert client.answer() == (1, 2, {}, b"")
    client.ask(2, "a2")
    until(lambda: len(held) == 2, "another attempt")
    for connection, query_id in held:
        engine.return_result(connection, query_id)
    assert client.answer()[:2] == (2, 0) and other.answer()[:2] == (1, 0) and engine.served() == ["b1", "a2"]


def test_connection_is_ended_after_32_unusable_requests_in_a_row(started):
    client = started(member(started.engine(send_result))).client()
    for stream in range(1, 33):
        client.ask(stream, "a1", "none")
    assert [client.answer()[:2] for _ in range(32)] == [(stream, 2) for stream in range(1, 33)]
    assert client.answer()[:2] == (0, 2) and client.read() is None


@pytest.mark.parametrize(("limits", "queries", "rejected"), [({"maxOpen": 2}, 5, 3), ({}, 33, 1)])
def test_query_is_rejected_when_too_many_are_open(started, limits, queries, rejected):
    """The limit is on all connections together (`maxOpen`), or 32 on one connection."""
    engine = started.engine(never_reply)
    client = started(member(engine), limits=limits).client()
    for stream in range(1, queries + 1):
        client.ask(stream, f"a{stream}")
    answers = [client.answer()[:2] for _ in range(rejected)]
    assert answers == [(stream, 1) for stream in range(queries - rejected + 1, queries + 1)]
    if queries > 32:  # more than one connection may have open: its other queries fail as well
        assert {client.answer()[1] for _ in range(33)} == {2} and client.read() is None


def test_longest_idle_connection_is_closed_when_clients_use_all_their_descriptors(started):
    engine = started.engine(send_result)
    gateway = started(member(engine), sockets=48)  # clients hold 16 at most
    idle = [gateway.client() for _ in range(16)]
    idle[0].ask(1, "a1")
    assert idle[0].answer()[:2] == (1, 0)
    time.sleep(0.5)  # connections that were just opened are not closed
    new_client = gateway.client()
    new_client.ask(1, "a2")
    assert new_client.answer()[:2] == (1, 0)
    # This connection had no request; the one with a request stays open.
    assert idle[1].read() in ((4, 0, b"\2\0"), None)
    idle[0].ask(2, "a3")
    assert idle[0].answer()[:2] == (2, 0)


def test_engine_connections_are_limited_by_the_descriptors_left(started):
    engine = started.engine(never_reply)
    gateway = started(member(engine), limits={"multiplex": 1}, sockets=48)  # leaves 48 - 16 - 16
    clients = [gateway.client() for _ in range(2)]
    for client in clients:
        for stream in range(1, 33):
            client.ask(stream, f"{clients.index(client)}-{stream}")
    until(lambda: len(engine.served()) >= 16, "as many attempts as connections are allowed")
    # An attempt without a connection must not count as a dead engine: it waits or is rejected.
    assert len(engine.connections) <= 16 and gateway.process.poll() is None


def test_sigterm_answers_accepted_queries_and_exits_with_0(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine))
    client, idle, partial = gateway.client(), gateway.client(), gateway.client()
    partial.send(b"\0\0\0\x40\2")
    client.ask(1, "a1")
    until(lambda: held, "the attempt")
    gateway.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    late_client = gateway.client()  # new connections are still accepted for a while
    late_client.ask(1, "b1")
    until(lambda: len(held) == 2, "the attempt of the late client")
    for connection, query_id in held:
        engine.return_result(connection, query_id)
    assert client.answer()[:2] == (1, 0) and late_client.answer()[:2] == (1, 0)
    for other in (idle, partial):  # connections without a complete request do not delay the shutdown
        assert other.read() == (64, 0, b"")
        assert other.read() in ((4, 0, b"\2\0"), None)
    assert gateway.process.wait(30) == 0


def test_input_received_while_suspended_is_read_before_timers_run(started):
    """Otherwise an attempt times out although its answer is waiting in the socket."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine))
    client = gateway.client()
    client.ask(1, "a1", "load", allow="1500")
    until(lambda: held, "the attempt")
    pause_process(gateway, lambda: engine.return_result(*held[0]), 1.6)
    assert client.answer()[:2] == (1, 0)


def test_query_whose_deadline_passed_while_suspended_is_answered_without_an_attempt(started):
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client = gateway.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    pause_process(gateway, lambda: client.ask(2, "a2", allow="300"), 0.5)
    assert client.answer()[:2] == (2, 1) and engine.served() == ["a1"]


def test_killed_process_can_be_restarted_on_its_address(started, tmp_path):
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client = gateway.client()
    client.ask(1, "a1")
    client.answer()
    gateway.process.kill()
    gateway.process.wait()
    gateway.process = start_program(gateway.config, gateway.log)
    until(gateway._ready, "readiness again")


def test_process_listens_only_on_its_configured_address(started):
    gateway = started(member(started.engine(send_result)))
    with open(f"/proc/{gateway.process.pid}/net/tcp") as file:
        rows = [line.split() for line in file][1:]
    inodes = set()
    for link in (f"/proc/{gateway.process.pid}/fd/{n}" for n in range(64)):
        try:
            inodes.add(os.readlink(link).removeprefix("socket:[").removesuffix("]"))
        except OSError:
            continue
    listening = [row[1] for row in rows if row[3] == "0A" and row[9] in inodes]
    host, port = gateway.address
    assert listening == [f"{struct.unpack('<I', socket.inet_aton(host))[0]:08X}:{port:04X}"]


@pytest.mark.parametrize(
    "change",
    [
        None,
        "",
        "no json",
        "[]",
        "{}",
        '{"limits":{},"feed":"x:1","known":{},"settings":{}}',
        lambda configuration: configuration["settings"].pop("classes"),
        lambda configuration: configuration.update(known={"n": 1, "events": [{}]}),
        lambda configuration: configuration.update(feed="nowhere"),
        lambda configuration: configuration.update(seed="xyz"),
        lambda configuration: configuration["settings"]["safety"].update(fallMultiple=0.5),
        lambda configuration: configuration.update(listen="nowhere"),
        lambda configuration: configuration.update(listen="in use"),
    ],
)
def test_failed_start_prints_a_one_line_error(started, tmp_path, change):
    gateway = started(member(1))
    path = tmp_path / "other.json"
    if callable(change):
        configuration = {**json.loads(gateway.config.read_text()), "listen": "127.0.0.1:0"}
        change(configuration)
        configuration["listen"] = (
            gateway.listen if configuration["listen"] == "in use" else configuration["listen"]
        )
        path.write_text(json.dumps(configuration))
    elif change is not None:
        path.write_text(change)
    process = start_program(path, tmp_path / "other.log")
    assert process.wait(30) != 0
    output = (tmp_path / "other.log").read_text()
    assert output.count("\n") == 1 and output.startswith("vanerelay: ") and "Traceback" not in output
