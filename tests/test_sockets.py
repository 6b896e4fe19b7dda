"""The program, started as operators start it, between stand-ins on loopback sockets."""

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


def returns(engine, connection, ident):
    engine.return_result(connection, ident)


def says(word):
    return lambda engine, connection, ident: engine.reply(connection, ident, word)


def silent(engine, connection, ident):
    pass


def resets(engine, connection, ident):
    reset(connection)


def resets_between_pages(engine, connection, ident):
    engine.reply(connection, ident, "OK", "total=3,elapsed=1,rss=1", b"a\tb\tc\n")
    reset(connection)


def rambles(engine, connection, ident):
    connection.sendall(b"what is this\r\n" * 4)


def loses_a_page(engine, connection, ident):
    engine.reply(connection, ident, "OK", "total=2,elapsed=1,rss=1", b"a\tb\tc\n")
    engine.reply(connection, ident, "ERR")


def test_an_answer_of_several_pages_is_returned_unaltered(started):
    pages = [b"x\ty\tz\r\n" * 700, b"\xc3\xa4\t*4\t$1\n", b"", b"q\tr\ts\n" * 900]
    engine = started.engine(lambda e, c, i: e.return_result(c, i, pages))
    node = started(member(engine))
    client = node.client()
    client.ask(1, "9b1f03aa5c7e2d41", body="SELECT * FROM sales_17.orders")
    assert client.answer() == (1, 0, {}, b"".join(pages))
    serve = engine.commands[0]
    assert serve[:2] == ["serve", "9b1f03aa5c7e2d41"] and serve[3] == "SELECT * FROM sales_17.orders"
    told = dict(pair.split("=") for pair in serve[2].split(","))
    assert told["sort"] == "look" and 0 < int(told["patience"]) <= 20000 and int(told["pool"]) > 0
    until(lambda: ["release", "9b1f03aa5c7e2d41"] in engine.commands, "the release of the pages")


@pytest.mark.parametrize(
    ("script", "service", "code", "attempts"),
    [
        (says("BUSY"), "load", 1, 3),
        (says("VOID"), "load", 1, 3),
        (says("ERR"), "load", 2, 1),
        (resets, "load", 2, 1),
        (resets_between_pages, "load", 2, 1),
        (loses_a_page, "load", 2, 1),
        (rambles, "load", 2, 1),
        (says("NONSENSE"), "load", 2, 1),
        (says("ERR"), "look", 1, 3),
        (resets, "look", 1, 3),
        (loses_a_page, "look", 1, 3),
    ],
)
def test_what_may_have_run_is_retried_only_where_that_does_no_harm(started, script, service, code, attempts):
    engine = started.engine(script)
    client = started(member(engine)).client()
    client.ask(1, "a1", service)
    stream, got, fields, body = client.answer()
    assert (stream, got, body) == (1, code, b"") and ("cooldown" in fields) == (code == 1)
    assert 1 <= len(engine.served()) <= attempts and set(engine.served()) == {"a1"}
    client.ask(2, "a2", service="nobody knows it")
    assert client.answer()[:2] == (2, 2)  # the program and the connection go on


def test_silence_ends_at_the_time_limit_with_one_answer(started):
    engine = started.engine(silent)
    client = started(member(engine)).client()
    client.ask(1, "a1", "load", allow="600")
    assert client.answer()[:2] == (1, 2)
    until(lambda: ["cancel", ref("a1")] in engine.commands, "the cancel")
    assert engine.served() == ["a1"]


def test_a_non_idempotent_query_is_retried_where_a_refused_connection_proves_that_it_never_ran(started):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        closed = listener.getsockname()[1]
    engine = started.engine(returns)
    client = started(member(closed, "s-0"), member(engine, "s-1")).client()
    for stream in range(1, 9):
        client.ask(stream, f"a{stream}", "load")
    assert sorted(client.answer()[:2] for _ in range(8)) == [(n, 0) for n in range(1, 9)]
    assert sorted(engine.served()) == [f"a{n}" for n in range(1, 9)]


def test_a_drain_in_the_engine_list_is_heeded(started):
    one, two = started.engine(returns), started.engine(returns)
    node = started(member(one, "s-1"), member(two, "s-2"))
    node.feed.wait_for_poll(node.feed.publish(member(one, "s-1", "DRAINING")))
    client = node.client()
    for stream in range(1, 21):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert one.served() == [] and len(two.served()) == 20


@pytest.mark.parametrize(
    "spoiled",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nno json",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
    ],
)
def test_a_discovery_service_that_answers_nonsense_is_polled_again_and_the_list_stays(started, spoiled):
    feed, one, two = FakeDiscoveryService(), started.engine(returns), started.engine(returns)
    feed.raw_answers.extend([spoiled, spoiled])
    node = started(member(one, "s-1"), feed=feed)
    client = node.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and two.served() == ["a2"]


def test_a_discovery_service_that_hangs_is_polled_again_on_a_new_connection(started):
    feed, one, two = FakeDiscoveryService(), started.engine(returns), started.engine(returns)
    feed.polls_to_hang = 1
    node = started(member(one, "s-1"), feed=feed)
    until(lambda: feed.polls_to_hang == 0, "the poll that hangs")
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DELETED"), member(two, "s-2")))
    client = node.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0) and two.served() == ["a1"]


def test_a_new_configuration_moves_to_its_discovery_service_and_settings_at_once_and_nothing_is_dropped(
    started,
):
    """Unhandled, SIGHUP ended the program. The poll that is out hangs, and is not waited for. What is wrong
    changes nothing; what was taken before the switch is answered once, the next goes by the new settings."""
    held, old, new = [], FakeDiscoveryService(), FakeDiscoveryService()
    one, two = started.engine(lambda e, c, i: held.append((c, i))), started.engine(returns)
    old.polls_to_hang = 1
    node = started(member(one, "s-1"), feed=old)
    until(lambda: old.polls_to_hang == 0, "the poll that hangs")
    client = node.client()
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    new.events.extend(old.events)
    told = json.loads(node.config.read_text())
    report = {**told["settings"]["classes"][0], "name": "report", "kindsOnly": [0]}
    for change, line in (
        ({"safety": {"fallMultiple": 0.5}}, "configuration reload failed, settings unchanged"),
        ({"kinds": []}, "restart"),
    ):
        node.config.write_text(json.dumps({**told, "settings": {**told["settings"], **change}}))
        node.process.send_signal(signal.SIGHUP)
        until(lambda line=line: line in node.log.read_text(), "the line of the log")
    told["settings"]["classes"].append(report)
    node.config.write_text(json.dumps({**told, "feed": f"127.0.0.1:{new.server.server_address[1]}"}))
    asked = len(old.polls)
    node.process.send_signal(signal.SIGHUP)
    until(lambda: new.polls, "a poll at the new one")
    assert new.polls[0] == 1 and len(old.polls) == asked
    new.wait_for_poll(new.publish(member(one, "s-1", "DRAINING"), member(two, "s-2")))
    client.ask(2, "a2", "report")
    assert client.answer()[:2] == (2, 0) and two.served() == ["a2"]
    one.return_result(*held[0])
    assert client.answer()[:2] == (1, 0)
    node.process.send_signal(signal.SIGTERM)
    node.process.send_signal(signal.SIGHUP)
    assert node.process.wait(30) == 0
    new.server.shutdown()
    new.server.server_close()


def test_an_old_connection_never_serves_the_next_process_at_its_address(started):
    """What is out on a connection to a process that the list has replaced is lost; nothing goes there."""
    old = started.engine(silent)
    node = started(member(old))
    client = node.client()
    client.ask(1, "a1", "load")
    until(old.served, "the attempt")
    old.script = returns
    node.feed.wait_for_poll(node.feed.publish(member(old, started=1_700_000_000_000)))
    assert client.answer()[:2] == (1, 2)
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(old.connections) == 2


def test_a_new_engine_takes_over_an_address(started):
    one = started.engine(returns)
    node = started(member(one, "s-1"))
    client = node.client()
    client.ask(1, "a1")
    client.answer()
    node.feed.wait_for_poll(node.feed.publish(member(one, "s-1", "DELETED"), member(one, "s-2")))
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(one.connections) == 2


def test_nothing_is_sent_to_a_client_that_has_left_a_stream(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    client = started(member(engine)).client()
    client.ask(1, "a1")
    client.ask(2, "a2")
    until(lambda: len(held) == 2, "both attempts")
    client.send(struct.pack(">IBI", 5, 8, 1))
    client.send(struct.pack(">IBI", 6, 16, 0) + b"\0")
    assert client.read() == (32, 0, b"\0\0")  # so the leaving was read
    for connection, ident in sorted(held, key=lambda pair: pair[1]):
        engine.return_result(connection, ident)
    assert client.answer()[:2] == (2, 0)


def test_a_lost_connection_takes_its_queries_with_it(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    gone, other = node.client(), node.client()
    gone.ask(1, "a1")
    until(lambda: held, "the attempt")
    reset(gone.socket)
    other.ask(1, "b1")
    until(lambda: len(held) == 2, "the other's attempt")
    for connection, ident in held:
        engine.return_result(connection, ident)
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
def test_malformed_bytes_end_their_connection_and_no_other(started, data):
    """At once, whatever is open on it, or soon where the rest of a frame never comes."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    bad, good = node.client(), node.client()
    bad.ask(1, "a1", "load")
    good.ask(1, "b1", "load")
    until(lambda: len(held) == 2, "both attempts")
    with contextlib.suppress(OSError):  # it may be ended before all was sent
        bad.send(data)
    assert bad.read() in ((4, 1, b"\2\0"), None) and bad.read() in ((4, 0, b"\2\0"), None)
    assert bad.read() is None
    until(lambda: ["cancel", ref("a1")] in engine.commands, "the cancel")
    for connection, ident in held:
        engine.return_result(connection, ident)
    assert good.answer()[:2] == (1, 0)
    good.ask(2, "b2")
    until(lambda: len(held) == 3, "one more attempt")


def test_silent_connections_are_ended_and_make_room_for_others(started):
    """They came by the hundred, and the share of descriptors was theirs for as long as they liked."""
    engine = started.engine(silent)
    node = started(member(engine), sockets=48)  # clients hold 16 at most
    busy = [node.client() for _ in range(8)]
    for client in busy:
        client.ask(1, f"a{busy.index(client)}")
    until(lambda: len(engine.served()) == 8, "the attempts")
    quiet = [node.client() for _ in range(12)]
    assert quiet[0].read() in ((4, 0, b"\2\0"), None)
    late = node.client()
    late.ask(1, "b1")
    until(lambda: "b1" in engine.served(), "the attempt of one that came later")
    assert quiet[-1].read() in ((4, 0, b"\2\0"), None) and busy[0].socket.fileno() >= 0


@pytest.mark.parametrize(
    "told",
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
def test_fields_that_cannot_be_used_get_a_failed_answer(started, told):
    """None goes to an engine, which closes on what it cannot read, or takes two queries of one id for one."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    other, client = node.client(), node.client()
    other.ask(1, "b1")
    until(lambda: held, "the attempt")
    client.ask(1, **{"name": "a1", **told})
    assert client.answer() == (1, 2, {}, b"")
    client.ask(2, "a2")
    until(lambda: len(held) == 2, "another attempt")
    for connection, ident in held:
        engine.return_result(connection, ident)
    assert client.answer()[:2] == (2, 0) and other.answer()[:2] == (1, 0) and engine.served() == ["b1", "a2"]


def test_a_client_that_sends_nothing_of_use_is_ended(started):
    client = started(member(started.engine(returns))).client()
    for stream in range(1, 33):
        client.ask(stream, "a1", "none")
    assert [client.answer()[:2] for _ in range(32)] == [(stream, 2) for stream in range(1, 33)]
    assert client.answer()[:2] == (0, 2) and client.read() is None


@pytest.mark.parametrize(("limits", "asked", "least"), [({"maxOpen": 2}, 5, 3), ({}, 33, 1)])
def test_what_is_open_is_bounded(started, limits, asked, least):
    """Past the told number, of all connections or of one, a query is pushed back at once."""
    engine = started.engine(silent)
    client = started(member(engine), limits=limits).client()
    for stream in range(1, asked + 1):
        client.ask(stream, f"a{stream}")
    pushed = [client.answer()[:2] for _ in range(least)]
    assert pushed == [(stream, 1) for stream in range(asked - least + 1, asked + 1)]
    if asked > 32:  # so many no client may have open: the rest is not done for it
        assert {client.answer()[1] for _ in range(33)} == {2} and client.read() is None


def test_idle_connections_go_before_the_share_of_descriptors_runs_out(started):
    engine = started.engine(returns)
    node = started(member(engine), sockets=48)  # clients hold 16 at most
    idle = [node.client() for _ in range(16)]
    idle[0].ask(1, "a1")
    assert idle[0].answer()[:2] == (1, 0)
    time.sleep(0.5)  # none has just come
    late = node.client()
    late.ask(1, "a2")
    assert late.answer()[:2] == (1, 0)
    assert idle[1].read() in ((4, 0, b"\2\0"), None)  # silent all the while; the one used since stays
    idle[0].ask(2, "a3")
    assert idle[0].answer()[:2] == (2, 0)


def test_engines_get_no_more_connections_than_descriptors_are_left(started):
    engine = started.engine(silent)
    node = started(member(engine), limits={"multiplex": 1}, sockets=48)  # 48 - 16 - 16 are left
    clients = [node.client() for _ in range(2)]
    for client in clients:
        for stream in range(1, 33):
            client.ask(stream, f"{clients.index(client)}-{stream}")
    until(lambda: len(engine.served()) >= 16, "as many attempts as there may be connections")
    # One more is not said to have found an engine dead: it waits or is pushed back, and the rest go on.
    assert len(engine.connections) <= 16 and node.process.poll() is None


def test_a_termination_answers_what_was_taken_and_ends_well(started):
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    client, silent_one, half = node.client(), node.client(), node.client()
    half.send(b"\0\0\0\x40\2")
    client.ask(1, "a1")
    until(lambda: held, "the attempt")
    node.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    late = node.client()  # connections may come for a while
    late.ask(1, "b1")
    until(lambda: len(held) == 2, "the late attempt")
    for connection, ident in held:
        engine.return_result(connection, ident)
    assert client.answer()[:2] == (1, 0) and late.answer()[:2] == (1, 0)
    for other in (silent_one, half):  # these keep nobody from ending
        assert other.read() == (64, 0, b"")
        assert other.read() in ((4, 0, b"\2\0"), None)
    assert node.process.wait(30) == 0


def test_what_came_while_it_stood_still_is_read_before_timers_are_believed(started):
    """Seen as a time-out of an attempt whose answer lay in the socket."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine))
    client = node.client()
    client.ask(1, "a1", "load", allow="1500")
    until(lambda: held, "the attempt")
    pause_process(node, lambda: engine.return_result(*held[0]), 1.6)
    assert client.answer()[:2] == (1, 0)


def test_a_deadline_that_passed_while_it_stood_still_is_answered_and_not_attempted(started):
    engine = started.engine(returns)
    node = started(member(engine))
    client = node.client()
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    pause_process(node, lambda: client.ask(2, "a2", allow="300"), 0.5)
    assert client.answer()[:2] == (2, 1) and engine.served() == ["a1"]


def test_a_killed_one_comes_back_under_its_address(started, tmp_path):
    engine = started.engine(returns)
    node = started(member(engine))
    client = node.client()
    client.ask(1, "a1")
    client.answer()
    node.process.kill()
    node.process.wait()
    node.process = start_program(node.config, node.log)
    until(node._ready, "readiness again")


def test_it_listens_only_where_it_is_told(started):
    node = started(member(started.engine(returns)))
    with open(f"/proc/{node.process.pid}/net/tcp") as file:
        rows = [line.split() for line in file][1:]
    inodes = set()
    for link in (f"/proc/{node.process.pid}/fd/{n}" for n in range(64)):
        try:
            inodes.add(os.readlink(link).removeprefix("socket:[").removesuffix("]"))
        except OSError:
            continue
    listening = [row[1] for row in rows if row[3] == "0A" and row[9] in inodes]
    host, port = node.address
    assert listening == [f"{struct.unpack('<I', socket.inet_aton(host))[0]:08X}:{port:04X}"]


@pytest.mark.parametrize(
    "spoil",
    [
        None,
        "",
        "no json",
        "[]",
        "{}",
        '{"limits":{},"feed":"x:1","known":{},"settings":{}}',
        lambda told: told["settings"].pop("classes"),
        lambda told: told.update(known={"n": 1, "events": [{}]}),
        lambda told: told.update(feed="nowhere"),
        lambda told: told.update(seed="xyz"),
        lambda told: told["settings"]["safety"].update(fallMultiple=0.5),
        lambda told: told.update(listen="nowhere"),
        lambda told: told.update(listen="in use"),
    ],
)
def test_a_start_that_fails_says_why_in_one_line(started, tmp_path, spoil):
    node = started(member(1))
    path = tmp_path / "other.json"
    if callable(spoil):
        told = {**json.loads(node.config.read_text()), "listen": "127.0.0.1:0"}
        spoil(told)
        told["listen"] = node.listen if told["listen"] == "in use" else told["listen"]
        path.write_text(json.dumps(told))
    elif spoil is not None:
        path.write_text(spoil)
    process = start_program(path, tmp_path / "other.log")
    assert process.wait(30) != 0
    said = (tmp_path / "other.log").read_text()
    assert said.count("\n") == 1 and said.startswith("vanerelay: ") and "Traceback" not in said
