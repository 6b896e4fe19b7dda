"""Processes whose machine's wall clock is stepped: spans, deadlines, windows and graces are real time.

The shim steps the calendar clock of one real process; its monotonic clock runs on, as on any machine.
"""

from __future__ import annotations

import json
import signal
import time

import pytest

from tests.faults import Faults
from tests.helpers import SETTINGS, WAIT_TIMEOUT_S, FakeDiscoveryService, member, reset, until
from tests.test_crossings import connect_client, flood, send_result, settings_with_class, wait_until_read

HOUR = 3600.0
STEPS = [-HOUR, -5.0, 5.0, HOUR]


@pytest.fixture
def faults(tmp_path):
    return Faults(tmp_path / "faults")


def silent(engine, connection, ident):
    pass


def test_a_drain_on_a_silent_watch_is_heard_though_the_clock_is_stepped_back(started, faults):
    """Rule 3: the watch's time-out was a timer on the wall clock, and came an hour late."""
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    node = started(member(one, "s-1"), member(two, "s-2"), feed=feed, faults=faults)
    feed.polls_to_hang = 1
    until(lambda: not feed.polls_to_hang, "a poll that hangs")
    faults.step(-HOUR)
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DRAINING")))
    client = connect_client(node)
    for stream in range(1, 21):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert one.served() == [] and len(two.served()) == 20


def test_lines_of_the_log_keep_their_order_though_the_clock_is_stepped(started, faults):
    """In the incident they could not be put in order: their time is the wall clock's."""
    node = started(member(started.engine(send_result)), faults=faults)
    for span in STEPS:
        faults.step(span)
        connect_client(node).send(b"\0\0\0\0")
    node.process.send_signal(signal.SIGTERM)
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    told = [line["up_s"] for line in lines]
    assert len(told) >= 4 and told == sorted(told) and told[-1] < 2 * WAIT_TIMEOUT_S


def test_steps_forward_do_not_renew_the_retry_budget(started, faults):
    """Rule 7: each step emptied the window that retries are counted in."""
    engine = started.engine(lambda e, c, i: e.reply(c, i, "ERR"))
    safety = {**SETTINGS["safety"], "ratioSpanUs": 60_000_000, "minExtra": 2, "extraRatio": 0.0}
    node = started(member(engine), faults=faults, settings={"safety": safety})
    client = connect_client(node)
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 1)
        faults.step(61.0)
    assert 12 <= len(engine.served()) <= 12 + 2


def test_a_deadline_comes_though_the_clock_is_stepped_back(started, faults):
    """Rule 1: the timer of the deadline was one on the wall clock."""
    engine = started.engine(silent)
    client = connect_client(started(member(engine), faults=faults))
    began = time.monotonic()
    client.ask(1, "a1", "load", allow="600")
    until(engine.served, "the attempt")
    faults.step(-HOUR)
    assert client.answer()[:2] == (1, 2) and time.monotonic() - began < WAIT_TIMEOUT_S / 2


@pytest.mark.parametrize("span", STEPS)
def test_a_query_that_runs_is_not_ended_by_a_step(started, faults, span):
    """Rule 1, and what an engine has done is not lost: a step forward ended all that was out."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    node = started(member(engine), faults=faults)
    client, other = connect_client(node), connect_client(node)
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    faults.step(span)
    wait_until_read(other)
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and engine.served() == ["a1"]


def test_the_window_for_repeats_runs_on_though_the_clock_is_stepped_back(started, faults):
    """Rule 2: the clock stood still for the time that it was stepped back, and the window with it."""
    first, second = started.engine(silent), started.engine(send_result)
    settings = settings_with_class(semantics="token", dedupScope="all", windowUs=600_000)
    node = started(member(first, "s-1"), settings=settings, faults=faults)
    client = connect_client(node)
    client.ask(1, "a1")
    until(first.served, "the attempt")
    faults.step(-HOUR)
    over = time.monotonic() + 0.7
    until(lambda: time.monotonic() > over, "the end of the window")
    node.feed.wait_for_poll(node.feed.publish(member(first, "s-1", "DRAINING"), member(second, "s-2")))
    reset(first.connections[0])
    assert client.answer()[:2] == (1, 1) and second.served() == []


@pytest.mark.parametrize("span", STEPS)
def test_a_process_that_is_terminated_ends_though_its_clock_is_stepped(started, faults, span):
    node = started(member(started.engine(send_result)), faults=faults)
    client = connect_client(node)
    node.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    faults.step(span)
    assert node.process.wait(WAIT_TIMEOUT_S / 2) == 0


@pytest.mark.parametrize("span", STEPS)
@pytest.mark.parametrize("early", [True, False])
def test_a_cold_engine_is_cold_whatever_the_wall_clock_says(started, faults, span, early):
    """Rule 4: its start is told as a moment of the calendar. `early`: stepped before the process starts."""

    def completes(engine, connection, ident):
        engine.reply(connection, ident, "OK", "total=1,elapsed=1200,rss=40", b"a\tb\tc\n")

    cold = {"coldFrom": 0.3, "coldUs": 600_000_000, "fallMultiple": 2, "overloadForUs": 20_000_000}
    former, fresh = started.engine(completes), started.engine(completes)
    if early:
        faults.step(span)
    node = started(member(former, "s-1"), settings={"safety": cold}, faults=faults)
    if not early:
        faults.step(span)
    connect_client(node)
    row = member(fresh, "s-2", started=int(time.time() * 1000))
    node.feed.wait_for_poll(node.feed.publish(member(former, "s-1", "DELETED"), row))
    flood(node, "a")
    allowed = 2 * 0.3 * 16 * 20 / 1.2
    assert 0 < len(fresh.served()) <= allowed + 2 * allowed**0.5 + 2


@pytest.mark.parametrize("span", STEPS)
def test_an_engine_listed_again_after_a_step_is_the_same_process(started, faults, span):
    """Else all that is out on it is lost, and it counts as cold again."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    row = member(engine, started=int(time.time() * 1000))
    node = started(row, faults=faults)
    client = connect_client(node)
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    faults.step(span)
    node.feed.wait_for_poll(node.feed.publish(row))
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and engine.served() == ["a1"]


@pytest.mark.parametrize("span", STEPS)
def test_resting_connections_are_let_go_of_by_real_time(started, faults, span):
    """A step forward ended each as long idle; after one back none was, and engines closed them first."""
    engine = started.engine(send_result)
    node = started(member(engine), faults=faults, limits={"connIdleUs": 1_600_000})
    client = connect_client(node)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    faults.step(span)
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(engine.connections) == 1
    until(lambda: engine.connections[0].fileno() < 0, "the end of the resting connection")
