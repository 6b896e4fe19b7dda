"""Tests of the simulator's adapter, with short scripted sequences of events."""

from __future__ import annotations

import io
import json

import pytest

from vanerelay.adapter.__main__ import Host, main
from vanerelay.adapter.wire import decode_cost
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


def engine_page(page, *engines):
    items = [{"engine": name, "condition": "U", "rackZone": 0, "generationHw": 0} for name in engines]
    return {"verb": "census", "page": page, "items": items}


def query_arrival(request, manager=0, deadline=T0 + 5_000_000):
    return event(
        "ingress",
        manager,
        requestId=request,
        lane=0,
        clientDeadlineUs=deadline,
        guessUs=200000,
        memMb=400,
        tableGroup=1,
        bits=1,
    )


def gateway_start(manager=0, page=0):
    return [
        event("up", manager, initSeed=7, profileData=RAW_SETTINGS),
        event("rosterChange", manager, form="cached", page=page, rev=1),
    ]


def handle(host, *events, at=T0):
    return host.reply({"clockUs": at, "input": list(events)})["orders"]


def sent_attempts(orders):
    return [
        (order["manager"], order["requestId"], order["engine"])
        for order in orders
        if order["verb"] == "deliver"
    ]


@pytest.mark.parametrize(
    ("convert", "microseconds", "ticks"),
    [
        (ticks_floor, 199, 1),
        (ticks_floor, 200, 2),
        (ticks_ceil, 199, 2),
        (ticks_ceil, 201, 3),
        (ticks_ceil, 0, 0),
    ],
)
def test_conversion_to_ticks_rounds_down_or_up(convert, microseconds, ticks):
    assert convert(microseconds) == ticks


def test_reported_cost_is_decoded_into_work_and_memory():
    assert decode_cost(4096 * 17 + 96) == (170, 384.0)


def test_query_is_sent_after_its_grant_and_released_when_it_has_ended():
    host = Host()
    orders = handle(host, engine_page(0, "engine_a"), *gateway_start(), query_arrival("r-1"))
    assert [order["verb"] for order in orders if order["verb"] in ("equip", "deliver")] == [
        "equip",
        "deliver",
    ]
    assert orders[-1]["capUs"] < 5_000_000 and sent_attempts(orders) == [(0, "r-1", "engine_a")]
    completed = event(
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
    handle(host, completed, at=T0 + 5000)
    late_progress = event("notice", requestId="r-1", sort=1, engine="engine_a", x=0.5)
    handle(host, event("left", requestId="r-1"), late_progress, at=T0 + 10000)
    assert not host._instances[0]._held


def test_engine_page_replaced_within_a_message_applies_to_the_events_after_it():
    host = Host()
    orders = handle(
        host,
        engine_page(0, "engine_a"),
        *gateway_start(0),
        query_arrival("r-1"),
        engine_page(0, "engine_b"),
        *gateway_start(1),
        query_arrival("r-2", 1),
    )
    assert sent_attempts(orders) == [(0, "r-1", "engine_a"), (1, "r-2", "engine_b")]


@pytest.mark.parametrize(
    ("form", "items", "target"),
    [("full", ["engine_b"], "engine_b"), ("delta", [], "engine_a"), ("failed", [], "engine_a")],
)
def test_engine_list_change_applies_according_to_its_form(form, items, target):
    host = Host()
    handle(host, engine_page(0, "engine_a"), *gateway_start())
    fields = {} if form == "failed" else {"page": 1, "rev": 2}
    orders = handle(
        host, engine_page(1, *items), event("rosterChange", form=form, **fields), query_arrival("r-1")
    )
    assert sent_attempts(orders) == [(0, "r-1", target)]


def test_gateway_restarted_within_a_message_keeps_no_queries():
    host = Host()
    handle(host, engine_page(0, "engine_a"), *gateway_start(), query_arrival("r-1"))
    orders = handle(host, event("killed"), *gateway_start(), query_arrival("r-2"), at=T0 + 5000)
    assert sent_attempts(orders) == [(0, "r-2", "engine_a")]
    assert list(host._instances[0]._held) == ["r-2"]


def test_unknown_timer_peer_datagram_and_probe_result_give_no_orders():
    host = Host()
    handle(host, engine_page(0, "engine_a"), *gateway_start())
    assert (
        handle(
            host,
            event("fired", keyBack=999),
            event("fromPeer", neighbour=1, data="aGk="),
            event("checkResult", engine="engine_a", status="GOOD", durationUs=10),
        )
        == []
    )


def test_query_rejected_from_the_admission_queue_is_released():
    """No further event arrives for such a query. If it were still held, it and its index would leak."""
    host = Host()
    orders = handle(host, engine_page(0), *gateway_start(), query_arrival("r-1", deadline=T0 + 100_000))
    while not any(order["verb"] == "bounce" for order in orders):
        wait, key = next(
            (timer["waitUs"], timer["keyBack"]) for timer in orders if timer["verb"] == "setTimer"
        )
        orders = handle(host, event("fired", keyBack=key), at=host._instances[0].now * 100 + wait)
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
def test_malformed_input_ends_the_run_with_one_error_line(line, capsys):
    out = io.StringIO()
    assert main(io.StringIO('{"clockUs":0,"input":[]}\n' + line + "\n"), out) == 1
    assert out.getvalue() == '{"orders":[]}\n'
    printed = capsys.readouterr().err
    assert printed.count("\n") == 1 and "malformed" in printed and "Traceback" not in printed


def test_exception_in_the_policy_is_reported_as_fatal_with_its_cause():
    host = Host()
    handle(host, engine_page(0, "engine_a"), *gateway_start())
    host._instances[0]._gateway._queries = None
    orders = handle(host, query_arrival("r-1"))
    assert orders[-1]["verb"] == "fatal" and "AttributeError" in orders[-1]["message"]


def test_same_events_give_the_same_orders():
    def run():
        host = Host()
        orders = handle(host, engine_page(0, *(f"engine_{n}" for n in range(9))), *gateway_start())
        return json.dumps(orders + handle(host, *(query_arrival(f"r-{n}") for n in range(60))))

    assert run() == run()
