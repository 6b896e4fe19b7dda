"""The guard: each invariant is violated on purpose, by calls or by decisions that err."""

from __future__ import annotations

import dataclasses
import json

import pytest

from tests.helpers import ROOT, SERVICE_CLASS, SETTINGS, SLOW_START, entry, member, until
from tests.test_crossings import joined, returns
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
LIMIT = NOW + 20 * SECOND


def guard_of(budget=RetryBudgetTerms(0, 0, 0.0), may_hedge=False, max_attempts=3, **group):  # noqa: B008
    terms = GuardTerms(
        [dataclasses.replace(SERVICE_CLASS, **group)],
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
    """Begins an attempt and ends it with this outcome."""
    assert guard.begin_attempt(at, record, number, engine) is None
    guard.attempt_ended(record, number, outcome, 0)


def test_attempts_within_the_rules_break_nothing():
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, LIMIT, True)
    for number, outcome in enumerate([Outcome.FAILED, Outcome.RESET, Outcome.COMPLETED]):
        attempt(guard, record, number, outcome, engine=number)
    assert guard.may_answer(record) and guard.may_close(0) and guard.violations() == {}


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE])
def test_nothing_is_sent_to_an_engine_that_drains_or_is_gone(state):
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, LIMIT, True)
    guard.engine_listed(entry(1, state=state))
    assert guard.begin_attempt(NOW, record, 0, 1) is Invariant.DRAIN
    assert guard.begin_attempt(NOW, record, 0, 9) is Invariant.DRAIN  # never listed
    guard.retain_engines({0})
    assert (
        guard.begin_attempt(NOW, record, 0, 2) is Invariant.DRAIN
        and guard.begin_attempt(NOW, record, 0, 0) is None
    )
    assert guard.violations() == {"drain": 3}


def test_retries_stay_within_the_budget():
    guard = guard_of(RetryBudgetTerms(10 * SECOND, 1, 0.1), max_attempts=99)
    records = [guard.query_submitted(NOW, 0, LIMIT, True) for _ in range(20)]
    spare = guard.query_submitted(NOW, 0, LIMIT, False)
    found = []
    for record in [*records, spare]:
        attempt(guard, record, 0, Outcome.FAILED)
        found.append(guard.begin_attempt(NOW + 1, record, 1, 1))
    assert found.count(None) == 3 and set(found[3:]) == {Invariant.BUDGET}
    later = NOW + 10 * SECOND + SECOND // 10
    assert (
        guard.begin_attempt(later, records[-1], 1, 1) is None
    )  # one is free whenever nothing counts any more
    assert guard.begin_attempt(later, spare, 1, 1) is Invariant.BUDGET


@pytest.mark.parametrize(
    ("effect", "scope", "outcome", "at", "engine", "broken"),
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
def test_a_query_that_may_have_run_is_retried_only_without_a_second_effect(
    effect, scope, outcome, at, engine, broken
):
    guard = guard_of(idempotency=effect, deduplication_scope=scope, deduplication_window=5 * SECOND)
    record = guard.query_submitted(NOW, 0, LIMIT, True)
    attempt(guard, record, 0, outcome)
    assert guard.begin_attempt(NOW + at, record, 1, engine) is broken


def test_ends_deadlines_hedging_and_attempt_limits_hold():
    guard = guard_of()
    record = guard.query_submitted(NOW, 0, LIMIT, True)
    assert guard.begin_attempt(LIMIT, record, 0, 0) is Invariant.DEADLINE
    assert (
        guard.begin_attempt(NOW, record, 0, 0) is None
        and guard.begin_attempt(NOW, record, 1, 1) is Invariant.COPY
    )
    assert guard.begin_attempt(NOW, record, 3, 1) is Invariant.ATTEMPTS
    assert guard_of(may_hedge=True).begin_attempt(NOW, record, 1, 1) is None
    record.in_flight.discard(1)
    guard.attempt_ended(record, 1, Outcome.NOT_SENT, 0)  # one that never began says nothing of the other
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


def test_an_engine_that_warms_up_gets_no_more_than_all_together_may_send():
    guard = guard_of(max_attempts=99)
    guard.engine_listed(entry(1, started_at=NOW - 1))
    warm = guard.query_submitted(NOW, 0, LIMIT, True)
    for _ in range(MIN_ANSWERS):
        guard.attempt_ended(warm, 0, Outcome.COMPLETED, SECOND)
    allowed = (
        SLOW_START.overload_multiple * SLOW_START.initial_share * 16 * SLOW_START.overload_window / SECOND
    )
    found = [guard.begin_attempt(NOW, guard.query_submitted(NOW, 0, LIMIT, True), 0, 1) for _ in range(60)]
    assert allowed < found.count(None) <= allowed + 3 * allowed**0.5 + 3 and found[-1] is Invariant.COLD
    assert guard.begin_attempt(NOW, warm, 0, 0) is None  # one that is warm takes what comes
    after = NOW + SLOW_START.ramp_duration + SLOW_START.overload_window
    assert guard.begin_attempt(after, guard.query_submitted(after, 0, 2 * after, True), 0, 1) is None


@pytest.mark.parametrize("span", [0, 10 * SECOND])
def test_the_guard_s_memory_is_bounded(span):
    """Also where nothing is ever repeated, and where no budget is stated."""
    guard = guard_of(RetryBudgetTerms(span, 1, 0.1))
    for number in range(5_000):
        guard.query_submitted(NOW + number * BUCKET_WIDTH, 0, LIMIT, True)
    assert guard.bucket_count() <= 10 * SECOND // BUCKET_WIDTH + 2


def broken_by(node):
    """What the guard counted, as the process says at its end."""
    node.process.terminate()
    assert node.process.wait(30) == 0
    lines = [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]
    return next(line for line in lines if line["event"] == "ended")["broken"]


ERRING = {
    "drain": "query.Query.may_begin = lambda self, number: True\n"
    "registry = engine_registry.EngineRegistry\n"
    "listing = registry._set_listed\n"
    "registry._set_listed = lambda self, engine, is_listed: listing(self, engine, True)",
    "budget": "retry_budget.RetryBudget.allows = lambda self, now, is_low_value=False: True",
    "effect": "query.Query.repeatable_until = lambda self, before=None: float('inf')\n"
    "retry_policy.RetryPolicy.should_retry = lambda self, now, query: True",
}


@pytest.mark.parametrize("fault", ERRING)
def test_decisions_that_err_do_no_harm_and_are_counted(started, tmp_path, fault):
    """Real processes, whose decisions are broken on purpose when they start."""
    shim = tmp_path / "erring"
    shim.mkdir()
    (shim / "sitecustomize.py").write_text(
        f"from vanerelay.policy import engine_registry, query, retry_budget, retry_policy\n{ERRING[fault]}\n"
    )
    one, two = (started.engine(returns if fault == "drain" else errs) for _ in "ab")
    safety = {**SETTINGS["safety"], "ratioSpanUs": 60_000_000, "minExtra": 2, "extraRatio": 0.0}
    node = started(
        member(one, "s-1"),
        member(two, "s-2"),
        settings={"safety": safety},
        environment={"PYTHONPATH": f"{shim}:{ROOT}"},
    )
    client = joined(node)
    if fault == "drain":
        node.feed.wait_for_poll(node.feed.publish(member(one, "s-1", "DRAINING")))
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}", "load" if fault == "effect" else "look")
        assert client.answer()[0] == stream
    assert broken_by(node).get(fault, 0) > 0
    sent = len(one.served()) + len(two.served())
    if fault == "drain":
        assert one.served() == []
    else:
        assert sent == 12 if fault == "effect" else 12 < sent <= 14


def errs(engine, connection, ident):
    engine.reply(connection, ident, "ERR")


def test_sound_decisions_violate_nothing(started):
    engine = started.engine(returns)
    node = started(member(engine))
    client = joined(node)
    for stream in range(1, 13):
        client.ask(stream, f"a{stream}")
        assert client.answer()[:2] == (stream, 0)
    assert broken_by(node) == {}


def test_lines_of_events_are_bounded_and_all_are_counted(capsys):
    class Stopped:
        def seconds(self):
            return 5.0

    events = EventLog(Stopped())
    for number in range(10 * BURST_LINES):
        events.note(LogEventKind.RETRY, "reset", id=f"{number:016x}")
    events.write_counts()
    assert events.counts[LogEventKind.RETRY, "reset"] == 10 * BURST_LINES
    assert capsys.readouterr().out.count(LogEventKind.RETRY.value) <= BURST_LINES + 1
    for number in range(10 * MAX_REASONS):
        events.note(LogEventKind.CLOSE, f"a frame's length is {number}")
    assert len(events.counts) <= MAX_REASONS + len(LogEventKind)
    assert events.counts.total() == 10 * BURST_LINES + 10 * MAX_REASONS


def test_reasons_of_closes_are_few_whatever_clients_send(started):
    """The reason of a close told what had come, so that each bad client made a count of its own."""
    node = started(member(started.engine(returns)))
    for length in (1, 2, 3):
        bad = node.client()
        bad.send(length.to_bytes(4, "big"))
        assert bad.read() == (4, 0, b"\2\0")
    node.process.terminate()
    assert node.process.wait(30) == 0
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    counts = [line for line in lines if line["event"] == "events so far"][-1]
    by_this_gateway = [name for name in counts if "client, by this gateway" in name]
    assert by_this_gateway == ["connection closed: client, by this gateway: protocol error"]


def test_retries_refusals_closes_and_changes_of_state_are_in_the_log_with_their_reasons(started):
    one, two = started.engine(errs), started.engine(errs)
    node = started(member(one, "s-1"), member(two, "s-2"))
    client = joined(node)
    client.ask(1, "a1")
    client.answer()
    client.ask(2, "a2", "load")
    client.answer()
    client.send(b"\0\0\0\0")
    node.feed.wait_for_poll(node.feed.publish(member(one, "s-1", "DRAINING")))
    until(lambda: "up to draining" in node.log.read_text(), "the change of state")
    until(lambda: "client, by this gateway" in node.log.read_text(), "the close")
    lines = [json.loads(line) for line in node.log.read_text().splitlines() if line.startswith("{")]
    retry = next(line for line in lines if line["event"] == LogEventKind.RETRY.value)
    assert bytes.fromhex(retry["id"]).lstrip(b"\0") == b"a1" and retry["why"] == "error, written whole"
    refusal = [line for line in lines if line["event"] == LogEventKind.REJECTION.value]
    assert [line["why"] for line in refusal] == ["rejected by the decisions", "failed by the decisions"]
    assert any(
        line["event"] == LogEventKind.CLOSE.value and "client, by this gateway" in line["why"]
        for line in lines
    )
    state = next(line for line in lines if line["event"] == LogEventKind.STATE.value)
    assert state["engine"] == "s-1" and state["why"] == "engine up to draining"
