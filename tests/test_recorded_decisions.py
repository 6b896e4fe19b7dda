"""The decisions on the simulator's wire are those of the release before the code was renamed, byte for byte.

The text of `log` orders, which is for people, is left out; that there is one is not.
"""

from __future__ import annotations

import io
import json

import pytest

from tests import recorded_decisions
from vanerelay.adapter.__main__ import main


def told(line: str) -> str:
    reply = json.loads(line)
    for order in reply["orders"]:
        if order["verb"] == "log":
            order["message"] = ""
    return json.dumps(reply)


@pytest.mark.parametrize("name", recorded_decisions.RUNS)
def test_the_same_lines_in_give_the_same_lines_out(name):
    given, came = recorded_decisions.kept(name)
    out = io.StringIO()
    assert main(io.StringIO("".join(f"{line}\n" for line in given)), out) == 0
    lines = out.getvalue().splitlines()
    assert len(lines) == len(came)
    for place, (line, was) in enumerate(zip(lines, came, strict=True)):
        assert line == was or told(line) == told(was), f"line {place}: {given[place][:300]}"


def test_the_runs_show_most_of_what_a_gateway_can_order():
    verbs = {
        order["verb"]
        for name in recorded_decisions.RUNS
        for line in recorded_decisions.kept(name)[1]
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
