"""Steps of the wall clock while a process runs: durations, deadlines and windows follow the monotonic clock.

The shim steps the wall clock of one real process; its monotonic clock is not affected, as on any machine.
"""

from __future__ import annotations

import json
import signal
import time

import pytest

from tests.faults import Faults
from tests.helpers import SETTINGS, WAIT_TIMEOUT_S, FakeDiscoveryService, member, reset, until
from tests.test_crossings import connect_client, flood, send_result, settings_with_class, wait_until_read

HOUR_S = 3600.0
STEPS_S = [-HOUR_S, -5.0, 5.0, HOUR_S]


@pytest.fixture
def faults(tmp_path):
    return Faults(tmp_path / "faults")


def never_reply(engine, connection, query_id):
    pass


def test_drain_is_received_after_a_hanging_poll_when_the_clock_is_stepped_back(started, faults):
    """Rule 3. With a timeout on the wall clock, the hanging poll would be given up an hour late."""
    feed, one, two = FakeDiscoveryService(), started.engine(send_result), started.engine(send_result)
    gateway = started(member(one, "s-1"), member(two, "s-2"), feed=feed, faults=faults)
    feed.polls_to_hang = 1
    until(lambda: not feed.polls_to_hang, "a poll that hangs")
    faults.step(-HOUR_S)
    feed.wait_for_poll(feed.publish(member(one, "s-1", "DRAINING")))
    client = connect_client(gateway)
    for stream in range(1, 21):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert one.served() == [] and len(two.served()) == 20


def test_log_lines_can_be_ordered_by_uptime_when_the_clock_is_stepped(started, faults):
    """In an incident the lines could not be ordered, as their time is that of the wall clock."""
    gateway = started(member(started.engine(send_result)), faults=faults)
    for step in STEPS_S:
        faults.step(step)
        connect_client(gateway).send(b"\0\0\0\0")
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines()]
    uptimes = [line["up_s"] for line in lines]
    assert len(uptimes) >= 4 and uptimes == sorted(uptimes) and uptimes[-1] < 2 * WAIT_TIMEOUT_S


def test_retry_budget_is_not_renewed_by_steps_forward(started, faults):
    """Rule 7. With the wall clock, each step would empty the window in which retries are counted."""
    engine = started.engine(lambda e, c, i: e.reply(c, i, "ERR"))
    safety = {**SETTINGS["safety"], "ratioSpanUs": 60_000_000, "minExtra": 2, "extraRatio": 0.0}
    gateway = started(member(engine), faults=faults, settings={"safety": safety})
    client = connect_client(gateway)
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 1)
        faults.step(61.0)
    assert 12 <= len(engine.served()) <= 12 + 2


def test_deadline_passes_in_time_when_the_clock_is_stepped_back(started, faults):
    """Rule 1. A deadline timer on the wall clock would fire late."""
    engine = started.engine(never_reply)
    client = connect_client(started(member(engine), faults=faults))
    began = time.monotonic()
    client.ask(1, "a1", "load", allow="600")
    until(engine.served, "the attempt")
    faults.step(-HOUR_S)
    assert client.answer()[:2] == (1, 2) and time.monotonic() - began < WAIT_TIMEOUT_S / 2


@pytest.mark.parametrize("step", STEPS_S)
def test_running_query_is_not_ended_by_a_step(started, faults, step):
    """Rule 1. With the wall clock, a step forward would end all running attempts and lose their results."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    gateway = started(member(engine), faults=faults)
    client, other = connect_client(gateway), connect_client(gateway)
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    faults.step(step)
    wait_until_read(other)
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and engine.served() == ["a1"]


def test_retry_window_of_idempotency_keys_ends_when_the_clock_is_stepped_back(started, faults):
    """Rule 2. A clock that stands still for the time of the step would extend the window by it."""
    first, second = started.engine(never_reply), started.engine(send_result)
    settings = settings_with_class(semantics="token", dedupScope="all", windowUs=600_000)
    gateway = started(member(first, "s-1"), settings=settings, faults=faults)
    client = connect_client(gateway)
    client.ask(1, "a1")
    until(first.served, "the attempt")
    faults.step(-HOUR_S)
    over = time.monotonic() + 0.7
    until(lambda: time.monotonic() > over, "the end of the window")
    gateway.feed.wait_for_poll(gateway.feed.publish(member(first, "s-1", "DRAINING"), member(second, "s-2")))
    reset(first.connections[0])
    assert client.answer()[:2] == (1, 1) and second.served() == []


@pytest.mark.parametrize("step", STEPS_S)
def test_terminated_process_ends_in_time_when_the_clock_is_stepped(started, faults, step):
    gateway = started(member(started.engine(send_result)), faults=faults)
    client = connect_client(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    assert client.read() == (64, 0, b"")
    faults.step(step)
    assert gateway.process.wait(WAIT_TIMEOUT_S / 2) == 0


@pytest.mark.parametrize("step", STEPS_S)
@pytest.mark.parametrize("before_start", [True, False])
def test_new_engine_counts_as_cold_when_the_clock_is_stepped(started, faults, step, before_start):
    """Rule 4. The start of an engine is given as wall clock time.

    `before_start`: the clock is stepped before the process starts.
    """

    def send_slow_result(engine, connection, query_id):
        engine.reply(connection, query_id, "OK", "total=1,elapsed=1200,rss=40", b"a\tb\tc\n")

    cold = {"coldFrom": 0.3, "coldUs": 600_000_000, "fallMultiple": 2, "overloadForUs": 20_000_000}
    former, fresh = started.engine(send_slow_result), started.engine(send_slow_result)
    if before_start:
        faults.step(step)
    gateway = started(member(former, "s-1"), settings={"safety": cold}, faults=faults)
    if not before_start:
        faults.step(step)
    connect_client(gateway)
    row = member(fresh, "s-2", started=int(time.time() * 1000))
    gateway.feed.wait_for_poll(gateway.feed.publish(member(former, "s-1", "DELETED"), row))
    flood(gateway, "a")
    allowed = 2 * 0.3 * 16 * 20 / 1.2
    assert 0 < len(fresh.served()) <= allowed + 2 * allowed**0.5 + 2


@pytest.mark.parametrize("step", STEPS_S)
def test_engine_listed_again_after_a_step_counts_as_the_same_process(started, faults, step):
    """Otherwise its running attempts are lost, and it counts as cold again."""
    held = []
    engine = started.engine(lambda e, c, i: held.append((c, i)))
    row = member(engine, started=int(time.time() * 1000))
    gateway = started(row, faults=faults)
    client = connect_client(gateway)
    client.ask(1, "a1", "load")
    until(lambda: held, "the attempt")
    faults.step(step)
    gateway.feed.wait_for_poll(gateway.feed.publish(row))
    engine.return_result(*held[0])
    assert client.answer()[:2] == (1, 0) and engine.served() == ["a1"]


@pytest.mark.parametrize("step", STEPS_S)
def test_idle_connections_are_closed_after_real_time_when_the_clock_is_stepped(started, faults, step):
    """With the wall clock, a step forward would close all idle connections at once, and a step back would
    keep them open until the engines close them.
    """
    engine = started.engine(send_result)
    gateway = started(member(engine), faults=faults, limits={"connIdleUs": 1_600_000})
    client = connect_client(gateway)
    client.ask(1, "a1")
    assert client.answer()[:2] == (1, 0)
    faults.step(step)
    client.ask(2, "a2")
    assert client.answer()[:2] == (2, 0) and len(engine.connections) == 1
    until(lambda: engine.connections[0].fileno() < 0, "the end of the idle connection")
