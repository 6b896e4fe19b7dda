"""The simulator's wire, played in a few scripted lines."""

from __future__ import annotations

import io
import json

import pytest

from vanerelay.adapter.__main__ import Host, main
from vanerelay.adapter.wire import cost
from vanerelay.settings import ticks_ceil, ticks_floor

RAW_SETTINGS = {
    "az": 0,
    "groupSize": 2,
    "position": 0,
    "tickUs": 5000,
    "kinds": ["k"],
    "unknown": {"x": 1},
    "classes": [{"aimUs": 1500000, "deadlineUs": 7500000, "semantics": "pure", "importance": 1, "name": "c"}],
    "familyInfo": {
        "memoryByKindMb": [32768.0],
        "cpuOfKind": [16],
        "parallelism": [1],
        "grantCap": 0.4,
        "takesGrants": True,
        "reportX0": "share of memory granted",
        "bills": True,
    },
    "limits": {"maxAttempts": 3},
    "safety": {"coldFrom": 0.3, "coldUs": 1000, "fallMultiple": 4.0},
}
T0 = 8_000_000_000


def event(verb, manager=0, **fields):
    return {"verb": verb, "manager": manager, **fields}


def census(page, *engines):
    items = [{"engine": name, "condition": "U", "rackZone": 0, "generationHw": 0} for name in engines]
    return {"verb": "census", "page": page, "items": items}


def ingress(request, manager=0, limit=T0 + 5_000_000):
    return event(
        "ingress",
        manager,
        requestId=request,
        lane=0,
        clientDeadlineUs=limit,
        guessUs=200000,
        memMb=400,
        tableGroup=1,
        bits=1,
    )


def started(manager=0, page=0):
    return [
        event("up", manager, initSeed=7, profileData=RAW_SETTINGS),
        event("rosterChange", manager, form="cached", page=page, rev=1),
    ]


def play(host, *events, at=T0):
    return host.reply({"clockUs": at, "input": list(events)})["orders"]


def sent(orders):
    return [(o["manager"], o["requestId"], o["engine"]) for o in orders if o["verb"] == "deliver"]


@pytest.mark.parametrize(
    ("turn", "micros", "units"),
    [
        (ticks_floor, 199, 1),
        (ticks_floor, 200, 2),
        (ticks_ceil, 199, 2),
        (ticks_ceil, 201, 3),
        (ticks_ceil, 0, 0),
    ],
)
def test_units_round_to_the_safe_side(turn, micros, units):
    assert turn(micros) == units


def test_a_reported_cost_holds_work_and_memory():
    assert cost(4096 * 17 + 96) == (170, 384.0)


def test_a_query_is_sent_with_its_grant_and_ends_once():
    host = Host()
    orders = play(host, census(0, "engine_a"), *started(), ingress("r-1"))
    assert [o["verb"] for o in orders if o["verb"] in ("equip", "deliver")] == ["equip", "deliver"]
    assert orders[-1]["capUs"] < 5_000_000 and sent(orders) == [(0, "r-1", "engine_a")]
    done = event(
        "verdict",
        requestId="r-1",
        seqNo=0,
        engine="engine_a",
        status="GOOD",
        durationUs=1000,
        over=True,
        note=4096 * 200 + 50,
        telemetry={"x0": 0.4, "new_key": 3},
    )
    play(host, done, at=T0 + 5000)
    late = event("notice", requestId="r-1", sort=1, engine="engine_a", x=0.5)
    play(host, event("left", requestId="r-1"), late, at=T0 + 10000)
    assert not host._instances[0]._held


def test_a_page_is_read_in_order_and_reused_in_one_message():
    host = Host()
    orders = play(
        host,
        census(0, "engine_a"),
        *started(0),
        ingress("r-1"),
        census(0, "engine_b"),
        *started(1),
        ingress("r-2", 1),
    )
    assert sent(orders) == [(0, "r-1", "engine_a"), (1, "r-2", "engine_b")]


@pytest.mark.parametrize(
    ("form", "items", "target"),
    [("full", ["engine_b"], "engine_b"), ("delta", [], "engine_a"), ("failed", [], "engine_a")],
)
def test_list_changes(form, items, target):
    host = Host()
    play(host, census(0, "engine_a"), *started())
    fields = {} if form == "failed" else {"page": 1, "rev": 2}
    orders = play(host, census(1, *items), event("rosterChange", form=form, **fields), ingress("r-1"))
    assert sent(orders) == [(0, "r-1", target)]


def test_a_restart_in_one_message_forgets_all():
    host = Host()
    play(host, census(0, "engine_a"), *started(), ingress("r-1"))
    orders = play(host, event("killed"), *started(), ingress("r-2"), at=T0 + 5000)
    assert sent(orders) == [(0, "r-2", "engine_a")]
    assert list(host._instances[0]._held) == ["r-2"]


def test_events_for_unknown_queries_are_ignored():
    host = Host()
    play(host, census(0, "engine_a"), *started())
    assert (
        play(
            host,
            event("fired", keyBack=999),
            event("fromPeer", neighbour=1, data="aGk="),
            event("checkResult", engine="engine_a", status="GOOD", durationUs=10),
        )
        == []
    )


def test_a_query_given_up_in_the_admission_queue_is_released():
    """Nothing comes for it any more: still held, it and its index were lost to the process for good."""
    host = Host()
    orders = play(host, census(0), *started(), ingress("r-1", limit=T0 + 100_000))
    while not any(order["verb"] == "bounce" for order in orders):
        wait, key = next((o["waitUs"], o["keyBack"]) for o in orders if o["verb"] == "setTimer")
        orders = play(host, event("fired", keyBack=key), at=host._instances[0].now * 100 + wait)
    assert not host._instances[0]._held and len(host._instances[0]._queries) == 0


@pytest.mark.parametrize(
    "line",
    [
        "no json",
        "[]",
        "{}",
        '{"clockUs":1}',
        '{"clockUs":1,"input":[{"verb":"ingress","manager":5}]}',
        '{"clockUs":1,"input":[{"verb":"what","manager":0}]}',
    ],
)
def test_malformed_input_gets_one_plain_line(line, capsys):
    out = io.StringIO()
    assert main(io.StringIO('{"clockUs":0,"input":[]}\n' + line + "\n"), out) == 1
    assert out.getvalue() == '{"orders":[]}\n'
    printed = capsys.readouterr().err
    assert printed.count("\n") == 1 and "malformed" in printed and "Traceback" not in printed


def test_a_fault_in_the_decisions_is_reported_with_its_cause():
    host = Host()
    play(host, census(0, "engine_a"), *started())
    host._instances[0]._gateway._queries = None
    orders = play(host, ingress("r-1"))
    assert orders[-1]["verb"] == "fatal" and "AttributeError" in orders[-1]["message"]


def test_the_same_events_give_the_same_orders():
    def day():
        host = Host()
        orders = play(host, census(0, *(f"engine_{n}" for n in range(9))), *started())
        return json.dumps(orders + play(host, *(ingress(f"r-{n}") for n in range(60))))

    assert day() == day()
