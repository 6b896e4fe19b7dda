"""Compares the policy's orders with recorded ones, byte for byte, so that a change of behaviour is noticed.

The recorded orders come from the release before the code was renamed. Only the text of `log` orders may
differ, as it is written for people.
"""

from __future__ import annotations

import io
import json

import pytest

from tests import recorded_decisions
from vanerelay.adapter.__main__ import main


def without_log_texts(line: str) -> str:
    reply = json.loads(line)
    for order in reply["orders"]:
        if order["verb"] == "log":
            order["message"] = ""
    return json.dumps(reply)


@pytest.mark.parametrize("name", recorded_decisions.RUNS)
def test_recorded_input_gives_the_recorded_output(name):
    messages, replies = recorded_decisions.recorded_lines(name)
    out = io.StringIO()
    assert main(io.StringIO("".join(f"{line}\n" for line in messages)), out) == 0
    lines = out.getvalue().splitlines()
    assert len(lines) == len(replies)
    for index, (line, recorded) in enumerate(zip(lines, replies, strict=True)):
        assert line == recorded or without_log_texts(line) == without_log_texts(recorded), (
            f"line {index}: {messages[index][:300]}"
        )


def test_recorded_runs_contain_the_orders_of_a_gateway():
    verbs = {
        order["verb"]
        for name in recorded_decisions.RUNS
        for line in recorded_decisions.recorded_lines(name)[1]
        for order in json.loads(line)["orders"]
    }
    assert verbs >= {
        "bounce",
        "broadcastTo",
        "deliver",
        "equip",
        "finishError",
        "inspect",
        "log",
        "revoke",
        "setTimer",
        "subscribe",
    }
