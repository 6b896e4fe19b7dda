"""Tests that the numbers of other processes are finite and in range before decisions use them."""

from __future__ import annotations

import json
import math
import random

import msgspec
import pytest

from tests.helpers import GatewayHarness
from vanerelay.fleet.messages import decode
from vanerelay.interface import SECOND, AttemptResult, Outcome, ProgressKind
from vanerelay.net import discovery_codec, load_reports, resp_codec
from vanerelay.net.buffers import BufferPool
from vanerelay.received_numbers import NUMBER_LIMIT, checked_number, checked_whole_number, number_in_range
from vanerelay.rollout.messages import GatewayMetrics
from vanerelay.settings import load_report, report_names
from vanerelay.xds.load_reports import LoadReport as ProxyLoadReport

NOT_NUMBERS = [
    "inf", "-inf", "nan", "infinity", "NaN", "1e999", "-1e999", "1e8000", "9" * 400, "9" * 5000, "-1",
    "1e9", "", "x", "0x10", "\u0663", "1 2",
]  # fmt: skip
NAMES = report_names(
    {"familyInfo": {"reportX0": "share of memory granted", "reportX1": "share of disks busy"}}
)


@pytest.mark.parametrize("text", NOT_NUMBERS)
@pytest.mark.parametrize("name", ["inflight", "queue", "util", "x0", "x1", "latency_ms"])
def test_invalid_figure_of_a_load_report_is_left_out(name, text):
    """Guards against one infinite figure, after which no query was forwarded any more."""
    values = load_reports.parse_load(f"{name}:{text};inflight:7")
    assert values == {"busy_reqs": 7.0}


@pytest.mark.parametrize(
    "value", [math.inf, -math.inf, math.nan, 10**400, -1, 1e9, "1e999", None, True, [], {}]
)
def test_invalid_value_of_a_decoded_load_report_is_left_out(value):
    report = load_report(NAMES, {"cpu_share": value, "busy_reqs": 2, "x0": value})
    assert report is not None
    assert (report.cores_busy, report.memory_granted, report.running) == (None, None, 2.0)


def test_load_report_of_thousands_of_values_is_read_to_a_limit():
    assert len(load_reports.parse_load(";".join(f"v{i}:1" for i in range(10_000)))) == load_reports.MAX_VALUES


@pytest.mark.parametrize("text", NOT_NUMBERS)
@pytest.mark.parametrize("kind", resp_codec.PROGRESS_KINDS)
def test_note_with_an_invalid_figure_is_ignored(kind, text):
    exchange = resp_codec.Exchange(BufferPool(), 1, True)
    exchange.send_query(b"q", resp_codec.QueryCommand(b"look", 1000, b"SELECT 1"))
    note = resp_codec.command(b"q", b"NOTE", b"n=%b,datum=%b" % (kind.encode(), text.encode()), b"")
    assert list(exchange.feed(note)) == []
    assert not exchange.broken


@pytest.mark.parametrize(("value", "is_valid"), [("0", True), ("1", True), ("1.01", False), ("2", False)])
def test_progress_is_a_part_of_the_work(value, is_valid):
    assert (resp_codec._parse_note({"n": "frac", "datum": value}) is not None) == is_valid


def test_checked_numbers():
    assert (number_in_range("7"), number_in_range(7), number_in_range(NUMBER_LIMIT)) == (
        7.0,
        7.0,
        NUMBER_LIMIT,
    )
    assert (checked_number(0.5, 1.0), checked_whole_number(2**53 - 1, 2**53)) == (0.5, 2**53 - 1)
    for value in ("1", None, True, math.nan, math.inf, -1, 2.0, [1]):
        with pytest.raises(ValueError, match="expected a number"):
            checked_number(value, 1.0)
    with pytest.raises(ValueError, match="whole"):
        checked_whole_number(1.5, 2)


BAD_JSON_NUMBERS = [
    "NaN",
    "Infinity",
    "-Infinity",
    "1e999",
    "-1e999",
    "9" * 400,
    "9" * 5000,
    "-1",
    '"x"',
    "[1]",
    "true",
]


def row(**other):
    return {"id": "e", "host_port": "127.0.0.1:9", "phase": "SERVING", **other}


@pytest.mark.parametrize("number", BAD_JSON_NUMBERS)
@pytest.mark.parametrize("field", ["n", "cell", "size", "up_since_ms"])
def test_answer_of_discovery_with_an_invalid_number_is_unreadable(field, number):
    """Guards against exceptions of other kinds, such as the overflow of an infinite number."""
    event = {"n": 1, "members": {"complete": True, "members": [row()]}}
    target = event if field == "n" else event["members"]["members"][0]
    target[field] = "@"
    body = json.dumps({"n": 1, "events": [event]}).replace('"@"', number).encode()
    assert isinstance(discovery_codec.parse(body, {}, {}), discovery_codec.Unreadable)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"events":' + b"[" * 100_000,
        b'{"events":[{"n":1,"members":{"members":[{"id":' + b"[" * 5000 + b"]" * 5000 + b"}]}}]}",
        b"\xff\xfe",
        b'{"events":[{"n":1,"members":{"members":[{"id":"\\ud800","host_port":"127.0.0.1:9","phase":"SERVING"}]}}]}',
        b'{"events":[{"n":1,"members":{"members":[5]}}]}',
        b'{"events":[{"n":1,"members":{"members":[{"id":"e","host_port":7,"phase":"SERVING"}]}}]}',
        b'{"events":[{"n":1,"members":{"members":[{"id":"e","host_port":"127.0.0.1:9","phase":[]}]}}]}',
        b'{"events":[{"n":1,"members":{"members":[{"id":"e","host_port":"127.0.0.1:'
        + b"9" * 9000
        + b'"}]}}]}',
        b'{"events":[{"n":1,"members":{"members":[{"id":"e","host_port":"127.0.0.1:9","phase":"SERVING",'
        b'"locality":[]}]}}]}',
    ],
)
def test_body_of_discovery_that_cannot_be_read_is_unreadable(body):
    result = discovery_codec.parse(body, {}, {})
    assert isinstance(result, discovery_codec.Unreadable) and len(result.why) <= 200


@pytest.mark.parametrize("seed", range(30))
def test_spoilt_answer_of_discovery_is_parsed_or_unreadable(seed):
    """Guards against any exception: a few bytes of a valid body are replaced by others."""
    chance = random.Random(seed)
    events = [{"n": n, "members": {"complete": n == 1, "members": [row(cell=1, size=2)]}} for n in (1, 2)]
    body = json.dumps({"n": 2, "events": events}).encode()
    spoilers = [
        b"",
        b"9",
        b"-",
        b"e99",
        b"[",
        b"]",
        b'"',
        b"\\ud800",
        b"\xff",
        b"null",
        b"NaN",
        b"{",
        b"1e999",
    ]
    for _ in range(200):
        spoilt = body
        for _ in range(chance.randint(1, 4)):
            at = chance.randrange(len(spoilt))
            spoilt = spoilt[:at] + chance.choice(spoilers) + spoilt[at + chance.randint(0, 2) :]
        result = discovery_codec.parse(spoilt, {}, {})
        for change in result if isinstance(result, list) else []:
            assert 0 <= change.number <= 2**53
            assert all(math.isfinite(listed.size) and listed.name.encode() for listed in change.engines)


@pytest.mark.parametrize("message", [b"", b"\0", b"\0\0\0", b"\0" * 5, b"\xff" * 256])
def test_gossip_of_another_length_is_ignored(message):
    harness = GatewayHarness(gateways=2, capabilities={"may_gossip": True})
    before = dict(harness.gateway._capacity._demands)
    harness.gateway.receive_from_peer(1, message)
    assert harness.gateway._capacity._demands == before


@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan, -1.0, 1e300])
@pytest.mark.parametrize("field", ["memory", "cpu_s", "held"])
def test_message_of_a_gateway_with_an_invalid_measurement_is_not_decoded(field, value):
    assert decode(msgspec.msgpack.encode({field: value}), GatewayMetrics) is None


@pytest.mark.parametrize("field", ["running", "completed", "errors", "issued"])
def test_counts_of_a_proxy_out_of_range_are_recognised(field):
    counts = {"running": 1, "completed": 1, "errors": 1, "issued": 1}
    assert ProxyLoadReport("c", "z", "", **counts).is_in_range()
    assert not ProxyLoadReport("c", "z", "", **counts | {field: 2**64 - 1}).is_in_range()


EXTREMES = [0.0, 5e-324, 1e-99, 0.5, 1.0, 1e3, NUMBER_LIMIT]


@pytest.mark.parametrize("value", EXTREMES)
@pytest.mark.parametrize("field", ["busy_reqs", "cpu_share", "x0", "x1"])
def test_queries_are_admitted_after_any_load_report_in_range(field, value):
    harness = GatewayHarness(engines=7)
    spoilt = harness.submit(memory=10.0)
    result = AttemptResult(Outcome.COMPLETED, 1500, 1000, 400.0, load_report(NAMES, {field: value}))
    spoilt.attempt_ended(0, result, True)
    assert all(harness.submit(memory=10.0).attempts for _ in range(7))


@pytest.mark.parametrize("value", [5e-324, 1e-99, 0.5, 1.0, NUMBER_LIMIT])
@pytest.mark.parametrize("kind", list(ProgressKind))
def test_queries_are_admitted_after_any_note_in_range(kind, value):
    harness = GatewayHarness(engines=7, capabilities={"progress_interval": SECOND // 2, "may_cancel": True})
    query = harness.submit(memory=10.0)
    harness.advance(SECOND // 4)
    query.attempt_progressed(0, kind, min(value, 1.0) if kind is ProgressKind.PROGRESS else value)
    harness.advance(SECOND // 4)
    assert all(harness.submit(memory=10.0).attempts for _ in range(7))


@pytest.mark.parametrize("work", [0, 1, 10**9])
@pytest.mark.parametrize("memory", [0.0, 1e-99, 1.0, NUMBER_LIMIT])
def test_queries_are_admitted_after_any_answer_in_range(work, memory):
    harness = GatewayHarness(engines=7)
    for _ in range(3):
        query = harness.submit(memory=NUMBER_LIMIT, cost=10**9)
        if query.attempts:
            query.attempt_ended(0, AttemptResult(Outcome.COMPLETED, 1500, work, memory), True)
        harness.advance(SECOND)
    harness.advance(20 * SECOND)
    assert harness.submit(memory=10.0, cost=10).attempts


def test_query_whose_admission_raises_fails_alone(monkeypatch):
    """Guards against a query at the head of the queue that keeps all others from their engines."""
    harness = GatewayHarness(engines=1)
    harness.gateway.update_engines([], True)
    queries = [harness.submit(memory=10.0) for _ in range(4)]
    size_grant = harness.gateway._memory_admission.size_grant

    def fail_for_first(now, query, usable):
        if query is queries[0]:
            raise ValueError("Total of weights must be finite")
        return size_grant(now, query, usable)

    monkeypatch.setattr(harness.gateway._memory_admission, "size_grant", fail_for_first)
    harness.gateway.update_engines(harness.entries, True)
    assert [len(query.attempts) for query in queries] == [0, 1, 1, 1]
    assert harness.calls_of("fail") == [(queries[0].arrival.index,)]


def test_query_whose_attempt_cannot_be_sent_leaves_no_reservation():
    harness = GatewayHarness(engines=1)

    def fail(*_):
        raise RuntimeError("a fault")

    harness.send_attempt = fail
    query = harness.submit(memory=10.0)
    reservations = harness.engine(0).reservations
    assert query.is_ended and harness.calls_of("fail") == [(query.arrival.index,)]
    assert (reservations.granted, reservations.threads, reservations.running) == (0.0, 0.0, 0)
    assert not harness.gateway._attempts and not harness.engine(0).health._pending
    del harness.send_attempt
    assert harness.submit(memory=10.0).attempts


def test_giving_up_one_query_that_raises_holds_off_no_other(monkeypatch):
    harness = GatewayHarness(engines=1)
    harness.gateway.update_engines([], True)
    queries = [harness.submit(memory=10.0, time_limit=2 * SECOND) for _ in range(3)]
    give_up = harness.gateway._give_up

    def fail_for_first(query):
        if query is queries[0]:
            raise RuntimeError("a fault")
        give_up(query)

    monkeypatch.setattr(harness.gateway, "_give_up", fail_for_first)
    harness.advance(3 * SECOND)
    assert [query.is_ended for query in queries] == [False, True, True]


@pytest.mark.parametrize("weight", [math.inf, math.nan, 0.0])
def test_engine_is_chosen_where_the_weights_tell_nothing(weight, monkeypatch):
    harness = GatewayHarness(engines=3)
    monkeypatch.setattr(harness.gateway._placement, "_weight", lambda *_: weight)
    assert all(harness.submit(memory=10.0).attempts for _ in range(5))


@pytest.mark.parametrize(
    "result",
    [
        AttemptResult(Outcome.COMPLETED, 1500, 10**9, 400.0),
        AttemptResult(Outcome.COMPLETED, 1500, 1000, NUMBER_LIMIT),
    ],
)
def test_answer_with_an_implausible_figure_changes_no_estimate(result):
    """Guards against one figure of noise, in the range of the protocol, that grants and durations follow."""
    harness = GatewayHarness(engines=1)
    for _ in range(5):
        harness.end_attempt(harness.submit(memory=400.0), Outcome.COMPLETED)
    grant, work = harness.gateway.typical_grant(0), harness.gateway.typical_work(0)
    harness.submit(memory=400.0).attempt_ended(0, result, True)
    assert harness.gateway.typical_grant(0) <= grant or result.peak_memory < NUMBER_LIMIT
    assert harness.gateway.typical_work(0) <= work or result.work < 10**9


def test_note_of_an_implausible_need_of_memory_changes_no_estimate():
    harness = GatewayHarness(engines=1)
    for _ in range(5):
        harness.end_attempt(harness.submit(memory=400.0), Outcome.COMPLETED)
    grant = harness.gateway.typical_grant(0)
    harness.submit(memory=400.0).attempt_progressed(0, ProgressKind.SPILL, NUMBER_LIMIT)
    assert harness.gateway.typical_grant(0) == grant


def test_next_query_of_the_order_key_runs_after_one_whose_admission_raises(monkeypatch):
    harness = GatewayHarness(engines=1, ordered=True)
    choose = harness.gateway._placement.choose

    def fail_for_first(now, engines, query, typical_load):
        if query.sequence == first.sequence:
            raise ValueError("a fault")
        return choose(now, engines, query, typical_load)

    harness.gateway.update_engines([], True)
    first, second = (harness.submit(memory=10.0, order_key=7) for _ in range(2))
    monkeypatch.setattr(harness.gateway._placement, "choose", fail_for_first)
    harness.gateway.update_engines(harness.entries, True)
    assert first.is_ended and not second.attempts
    harness.advance(1)
    assert second.attempts
