"""Processes whose machine's wall clock is stepped: spans, deadlines, windows and graces are real time.

The shim steps the calendar clock of one real process; its monotonic clock runs on, as on any machine.
"""

from __future__ import annotations

import signal
import time

import pytest

from tests.faults import Faults
from tests.helpers import LONG, SERVICES, Feed, member, reset, until
from tests.test_crossings import classes, flood, joined, returns, settle

HOUR = 3600.0
STEPS = [-HOUR, -5.0, 5.0, HOUR]


@pytest.fixture
def faults(tmp_path):
    return Faults(tmp_path / "faults")


def silent(engine, connection, ident):
    pass


def test_a_drain_on_a_silent_watch_is_heard_though_the_clock_is_stepped_back(started, faults):
    """Rule 3: the watch's time-out was a timer on the wall clock, and came an hour late."""
    feed, one, two = Feed(), started.engine(returns), started.engine(returns)
    node = started(member(one, "s-1"), member(two, "s-2"), feed=feed, faults=faults)
    feed.hangs = 1
    until(lambda: not feed.hangs, "a poll that hangs")
    faults.step(-HOUR)
    feed.heard(feed.tell(member(one, "s-1", "DRAINING")))
    client = joined(node)
    for stream in range(1, 21):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert one.served() == [] and len(two.served()) == 20


def test_steps_forward_do_not_renew_the_retry_budget(started, faults):
    """Rule 7: each step emptied the window that further attempts are counted in."""
    engine = started.engine(lambda e, c, i: e.say(c, i, "ERR"))
    safety = {**SERVICES["safety"], "ratioSpanUs": 60_000_000, "minExtra": 2, "extraRatio": 0.0}
    node = started(member(engine), faults=faults, settings={"safety": safety})
    client = joined(node)
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 1)
        faults.step(61.0)
    assert 12 <= len(engine.served()) <= 12 + 2


def test_a_deadline_comes_though_the_clock_is_stepped_back(started, faults):
    """Rule 1: the timer of the deadline was one on the wall clock."""
    engine = started.engine(silent)
    client = joined(started(member(engine), faults=faults))
    began = time.monotonic()
    client.ask(1, "a1", "load", allow="600")
    until(engine.served, "the attempt")
    faults.step(-HOUR)
    assert client.answer()[:2] == (1, 2) and time.monotonic() - began < LONG / 2
