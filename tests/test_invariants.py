"""Tests of the invariant guard. Each invariant is violated on purpose, by calls or by a faulty policy."""

from __future__ import annotations

import dataclasses
import json

import pytest

from tests.helpers import ROOT, SERVICE_CLASS, SETTINGS, SLOW_START, entry, member, until
from tests.test_crossings import connect_client, send_result
from vanerelay.interface import (
    SECOND,
    DeduplicationScope,
    EngineState,
    Idempotency,
    MachineKind,
    Outcome,
    RetryBudgetTerms,
)
from vanerelay.invariants import BUCKET_WIDTH, MIN_ANSWERS, GuardTerms, Invariant, InvariantGuard
from vanerelay.net.events import BURST_LINES, MAX_REASONS, EventLog, LogEventKind

NOW = 1000 * SECOND
DEADLINE = NOW + 20 * SECOND


def guard_of(budget=RetryBudgetTerms(0, 0, 0.0), may_hedge=False, max_attempts=3, **class_fields):  # noqa: B008
    terms = GuardTerms(
        [dataclasses.replace(SERVICE_CLASS, **class_fields)],
        [MachineKind(16, 32000.0)] * 2,
        budget,
        SLOW_START,
        max_attempts,
        may_hedge,
    )
    guard = InvariantGuard(terms)
    for number in range(4):
        guard.engine_listed(entry(number, zone=number % 2, cell=number))
    return guard


def attempt(guard, record, number, outcome, at=NOW, engine=0):
    """Begins an attempt, and ends it with this outcome."""
    assert guard.begin_attempt(at, record, number, engine) is None
    guard.attempt_ended(record, number, outcome, 0)


def test_retries_within_all_rules_cause_no_violation():
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, DEADLINE, True)
    for number, outcome in enumerate([Outcome.FAILED, Outcome.RESET, Outcome.COMPLETED]):
        attempt(guard, record, number, outcome, engine=number)
    assert guard.may_answer(record) and guard.may_close(0) and guard.violations() == {}


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_attempt_is_refused_at_an_engine_that_drains_or_is_gone(state):
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, DEADLINE, True)
    guard.engine_listed(entry(1, state=state))
    assert guard.begin_attempt(NOW, record, 0, 1) is Invariant.DRAIN
    assert guard.begin_attempt(NOW, record, 0, 9) is Invariant.DRAIN  # never listed
    guard.retain_engines({0})
    assert (
        guard.begin_attempt(NOW, record, 0, 2) is Invariant.DRAIN
        and guard.begin_attempt(NOW, record, 0, 0) is None
    )
    assert guard.violations() == {"drain": 3}


def test_retry_is_refused_when_the_budget_is_spent():
    guard = guard_of(RetryBudgetTerms(10 * SECOND, 1, 0.1), max_attempts=99)
    records = [guard.query_submitted(NOW, 0, DEADLINE, True) for _ in range(20)]
    without_credit = guard.query_submitted(NOW, 0, DEADLINE, False)
    results = []
    for record in [*records, without_credit]:
        attempt(guard, record, 0, Outcome.FAILED)
        results.append(guard.begin_attempt(NOW + 1, record, 1, 1))
    assert results.count(None) == 3 and set(results[3:]) == {Invariant.BUDGET}
    later = NOW + 10 * SECOND + SECOND // 10
    # One retry in a window is allowed whatever the traffic.
    assert guard.begin_attempt(later, records[-1], 1, 1) is None
    assert guard.begin_attempt(later, without_credit, 1, 1) is Invariant.BUDGET


@pytest.mark.parametrize(
    ("semantics", "scope", "outcome", "delay", "engine", "expected"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, Outcome.RESET, 9 * SECOND, 1, None),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.RESET, 1, 1, Invariant.EFFECT),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.TIMED_OUT, 1, 1, Invariant.EFFECT),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.NO_CONNECTION, 1, 1, None),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.REJECTED, 1, 1, None),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, Outcome.RESET, 5 * SECOND - 1, 1, None),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, Outcome.RESET, 5 * SECOND, 1, Invariant.EFFECT),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, Outcome.NOT_SENT, 5 * SECOND, 1, None),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, Outcome.RESET, 1, 1, Invariant.EFFECT),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, Outcome.RESET, 1, 2, None),
        (Idempotency.DEDUPLICATED, DeduplicationScope.CELL, Outcome.RESET, 1, 2, Invariant.EFFECT),
        (Idempotency.DEDUPLICATED, DeduplicationScope.CELL, Outcome.RESET, 1, 0, None),
    ],
)
def test_retry_is_refused_if_the_query_could_take_effect_twice(
    semantics, scope, outcome, delay, engine, expected
):
    guard = guard_of(idempotency=semantics, deduplication_scope=scope, deduplication_window=5 * SECOND)
    record = guard.query_submitted(NOW, 0, DEADLINE, True)
    attempt(guard, record, 0, outcome)
    assert guard.begin_attempt(NOW + delay, record, 1, engine) is expected


def test_attempt_is_refused_after_the_deadline_or_answer_while_another_runs_or_past_the_limit():
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, DEADLINE, True)
    assert guard.begin_attempt(DEADLINE, record, 0, 0) is Invariant.DEADLINE
    assert (
        guard.begin_attempt(NOW, record, 0, 0) is None
        and guard.begin_attempt(NOW, record, 1, 1) is Invariant.COPY
    )
    assert guard.begin_attempt(NOW, record, 3, 1) is Invariant.ATTEMPTS
    assert guard_of(may_hedge=True).begin_attempt(NOW, record, 1, 1) is None
    record.in_flight.discard(1)
    # Attempt 1 never ran, but attempt 0 is still in flight.
    guard.attempt_ended(record, 1, Outcome.NOT_SENT, 0)
    assert guard.begin_attempt(NOW, record, 2, 1) is Invariant.COPY
    assert guard.may_answer(record) and not guard.may_close(1)
    record.is_ended = True
    assert guard.begin_attempt(NOW, record, 1, 1) is Invariant.ENDED and not guard.may_answer(record)
    assert guard.violations() == {
        "deadline": 1,
        "copy": 2,
        "attempts": 1,
        "close": 1,
        "ended": 1,
        "answer": 1,
    }


def test_attempt_is_refused_at_an_engine_in_slow_start_when_its_budget_is_spent():
    guard = guard_of(max_attempts=99)
    guard.engine_listed(entry(1, started_at=NOW - 1))
    answered = guard.query_submitted(NOW, 0, DEADLINE, True)
    for _ in range(MIN_ANSWERS):
        guard.attempt_ended(answered, 0, Outcome.COMPLETED, SECOND)
    allowed = (
        SLOW_START.overload_multiple * SLOW_START.initial_share * 16 * SLOW_START.overload_window / SECOND
    )
    results = [
        guard.begin_attempt(NOW, guard.query_submitted(NOW, 0, DEADLINE, True), 0, 1) for _ in range(60)
    ]
    assert allowed < results.count(None) <= allowed + 3 * allowed**0.5 + 3 and results[-1] is Invariant.COLD
    assert guard.begin_attempt(NOW, answered, 0, 0) is None  # engine 0 is not in slow start
    after = NOW + SLOW_START.ramp_duration + SLOW_START.overload_window
    assert guard.begin_attempt(after, guard.query_submitted(after, 0, 2 * after, True), 0, 1) is None


@pytest.mark.parametrize("span", [0, 10 * SECOND])
def test_buckets_of_the_guard_are_bounded_without_retries_and_without_a_budget(span):
    """Old buckets are dropped when queries are counted, not only when retries are checked."""
    guard = guard_of(RetryBudgetTerms(span, 1, 0.1))
    for number in range(5_000):
        guard.query_submitted(NOW + number * BUCKET_WIDTH, 0, DEADLINE, True)
    assert guard.bucket_count() <= 10 * SECOND // BUCKET_WIDTH + 2


def violations_logged_by(gateway):
    """Stops a gateway process, and returns the violations that it logs at its end."""
    gateway.process.terminate()
    assert gateway.process.wait(30) == 0
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines() if line.startswith("{")]
    return next(line for line in lines if line["event"] == "ended")["broken"]


FAULTS = {
    "drain": "query.Query.may_begin = lambda self, number: True\n"
    "registry = engine_registry.EngineRegistry\n"
    "listing = registry._set_listed\n"
    "registry._set_listed = lambda self, engine, is_listed: listing(self, engine, True)",
    "budget": "retry_budget.RetryBudget.allows = lambda self, now, is_low_value=False: True",
    "effect": "query.Query.repeatable_until = lambda self, before=None: float('inf')\n"
    "retry_policy.RetryPolicy.should_retry = lambda self, now, query: True",
}


@pytest.mark.parametrize("fault", FAULTS)
def test_violations_by_a_faulty_policy_are_refused_and_counted(started, tmp_path, fault):
    """A gateway process whose policy is replaced at its start by one that violates an invariant."""
    shim = tmp_path / "erring"
    shim.mkdir()
    (shim / "sitecustomize.py").write_text(
        f"from vanerelay.policy import engine_registry, query, retry_budget, retry_policy\n{FAULTS[fault]}\n"
    )
    one, two = (started.engine(send_result if fault == "drain" else reply_with_error) for _ in "ab")
    safety = {**SETTINGS["safety"], "ratioSpanUs": 60_000_000, "minExtra": 2, "extraRatio": 0.0}
    gateway = started(
        member(one, "s-1"),
        member(two, "s-2"),
        settings={"safety": safety},
        environment={"PYTHONPATH": f"{shim}:{ROOT}"},
    )
    client = connect_client(gateway)
    if fault == "drain":
        gateway.feed.wait_for_poll(gateway.feed.publish(member(one, "s-1", "DRAINING")))
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}", "load" if fault == "effect" else "look")
        assert client.answer()[0] == stream
    assert violations_logged_by(gateway).get(fault, 0) > 0
    sent = len(one.served()) + len(two.served())
    if fault == "drain":
        assert one.served() == []
    else:
        assert sent == 12 if fault == "effect" else 12 < sent <= 14


def reply_with_error(engine, connection, ident):
    engine.reply(connection, ident, "ERR")


def test_unchanged_policy_causes_no_violation(started):
    engine = started.engine(send_result)
    gateway = started(member(engine))
    client = connect_client(gateway)
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert violations_logged_by(gateway) == {}


def test_event_log_limits_lines_and_reasons_and_counts_all_events(capsys):
    class StoppedClock:
        def seconds(self):
            return 5.0

    events = EventLog(StoppedClock())
    for number in range(10 * BURST_LINES):
        events.note(LogEventKind.RETRY, "reset", id=f"{number:016x}")
    events.write_counts()
    assert events.counts[LogEventKind.RETRY, "reset"] == 10 * BURST_LINES
    assert capsys.readouterr().out.count(LogEventKind.RETRY.value) <= BURST_LINES + 1
    for number in range(10 * MAX_REASONS):
        events.note(LogEventKind.CLOSE, f"a frame's length is {number}")
    assert len(events.counts) <= MAX_REASONS + len(LogEventKind)
    assert events.counts.total() == 10 * BURST_LINES + 10 * MAX_REASONS


def test_protocol_errors_of_clients_are_counted_under_one_close_reason(started):
    """If a close reason contained the received bytes, each faulty client would add a count of its own."""
    gateway = started(member(started.engine(send_result)))
    for length in (1, 2, 3):
        bad = gateway.client()
        bad.send(length.to_bytes(4, "big"))
        assert bad.read() == (4, 0, b"\2\0")
    gateway.process.terminate()
    assert gateway.process.wait(30) == 0
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines()]
    counts = [line for line in lines if line["event"] == "events so far"][-1]
    close_reasons = [name for name in counts if "client, by this gateway" in name]
    assert close_reasons == ["connection closed: client, by this gateway: protocol error"]


def test_retries_rejections_closes_and_state_changes_are_logged_with_their_reasons(started):
    one, two = started.engine(reply_with_error), started.engine(reply_with_error)
    gateway = started(member(one, "s-1"), member(two, "s-2"))
    client = connect_client(gateway)
    client.ask(1, "a1")
    client.answer()
    client.ask(2, "a2", "load")
    client.answer()
    client.send(b"\0\0\0\0")
    gateway.feed.wait_for_poll(gateway.feed.publish(member(one, "s-1", "DRAINING")))
    until(lambda: "up to draining" in gateway.log.read_text(), "the change of state")
    until(lambda: "client, by this gateway" in gateway.log.read_text(), "the close")
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines() if line.startswith("{")]
    retry = next(line for line in lines if line["event"] == LogEventKind.RETRY.value)
    assert bytes.fromhex(retry["id"]).lstrip(b"\0") == b"a1" and retry["why"] == "error, written whole"
    rejections = [line for line in lines if line["event"] == LogEventKind.REJECTION.value]
    assert [line["why"] for line in rejections] == ["rejected by the decisions", "failed by the decisions"]
    assert any(
        line["event"] == LogEventKind.CLOSE.value and "client, by this gateway" in line["why"]
        for line in lines
    )
    state_change = next(line for line in lines if line["event"] == LogEventKind.STATE.value)
    assert state_change["engine"] == "s-1" and state_change["why"] == "engine up to draining"
