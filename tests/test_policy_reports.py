"""Tests of polled load, waiting attempts, lost answers, crowded order keys, timeouts and review intervals."""

from __future__ import annotations

import pytest

from tests.helpers import GatewayHarness
from vanerelay import settings
from vanerelay.interface import SECOND, AttemptResult, LoadReport, Outcome, ProgressKind
from vanerelay.policy.outlier_detection import MIN_SILENCE
from vanerelay.policy.periodic_work import PERIODIC_WORK_INTERVAL

POLLS_LOAD = {"may_probe": True, "polls_load": True}
REPORTS_PROGRESS = {"progress_interval": SECOND // 2}


@pytest.mark.parametrize(
    ("allowed_operations", "probes"), [(POLLS_LOAD, [0, 1, 2, 0]), ({"may_probe": True}, []), ({}, [])]
)
def test_submitted_query_probes_the_least_recently_probed_engine_if_load_is_polled(
    allowed_operations, probes
):
    harness = GatewayHarness(engines=3, capabilities=allowed_operations)
    preferred = [engine.entry.index for engine in harness.gateway._engines.listed()]
    for _ in range(4):
        harness.submit(memory=10.0)
        harness.advance(10)
        for (engine,) in harness.calls_of("probe_engine")[-1:]:
            harness.gateway.probe_completed(engine, Outcome.COMPLETED, LoadReport(cores_busy=0.1))
    assert [engine for (engine,) in harness.calls_of("probe_engine")] == [preferred[rank] for rank in probes]


@pytest.mark.parametrize(
    ("busy", "outcome", "sent"),
    [(0.0, Outcome.COMPLETED, 3), (1.0, Outcome.COMPLETED, 2), (None, Outcome.TIMED_OUT, 2)],
)
def test_query_is_admitted_beyond_the_slice_if_probes_report_idle_capacity(busy, outcome, sent):
    harness = GatewayHarness(engines=2, gateways=40, capabilities=POLLS_LOAD, threads=1)
    for _ in range(2):
        harness.submit(memory=10.0)
        harness.advance(PERIODIC_WORK_INTERVAL)
    harness.gateway._capacity._offered._totals[0] = 0.0
    third = harness.submit(memory=10.0)
    before = len(harness.calls_of("send_attempt"))
    assert not third.attempts or before == 3
    for _ in range(8):  # a polled report has half the weight; the typical load is learned from reports
        for engine in (0, 1):
            harness.gateway.probe_completed(
                engine, outcome, None if busy is None else LoadReport(cores_busy=busy, memory_granted=busy)
            )
    assert len(harness.calls_of("send_attempt")) == max(before, sent)


@pytest.mark.parametrize(
    ("cancel", "others_full", "is_cancelled"),
    [(True, False, True), (True, True, False), (False, False, False)],
)
def test_attempt_that_waits_for_memory_is_cancelled_if_another_engine_may_have_room(
    cancel, others_full, is_cancelled
):
    harness = GatewayHarness(engines=2, capabilities={"may_cancel": cancel, **REPORTS_PROGRESS})
    query = harness.submit(memory=10.0)
    attempt = query.attempts[0]
    for engine in harness.engines():
        if others_full and engine is not attempt.engine:
            engine.refused(harness.now)
    query.attempt_progressed(0, ProgressKind.WAITING, 1.0)
    assert bool(harness.calls_of("cancel_attempt")) is is_cancelled
    assert attempt.engine.held_by_others(harness.now, 0.2) == 1.0


@pytest.mark.parametrize(
    ("kind", "value", "is_cancelled"),
    [(ProgressKind.WAITING, 2.0, False), (ProgressKind.PROGRESS, 0.1, True)],
)
def test_attempt_without_progress_reports_is_cancelled_unless_it_waits_at_its_engine(
    kind, value, is_cancelled
):
    harness = GatewayHarness(engines=1, capabilities={"may_cancel": True, **REPORTS_PROGRESS})
    harness.gateway._attempts.progress_reported()
    query = harness.submit(memory=10.0)
    query.attempt_progressed(0, kind, value)
    harness.advance(3 * SECOND // 2)
    assert bool(harness.calls_of("cancel_attempt")) is is_cancelled


def test_lost_answers_release_their_reservations_and_shorten_timeouts():
    harness = GatewayHarness(
        engines=1,
        capabilities=REPORTS_PROGRESS,
        late_value=0.5,
        latency_objective=2 * SECOND,
        objective_stretch=0.0,
    )
    for cost in [500, 4000] * 20:
        harness.submit(cost=0, memory=10.0).attempt_ended(
            0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True
        )
    queries_without_answer = [harness.submit(cost=0, memory=10.0) for _ in range(20)]
    assert harness.calls_of("send_attempt")[-1][2] > 5 * SECOND  # no answer lost yet: until the deadline
    reservations, running = harness.engine(0).reservations, harness.gateway._engines.pool.running
    for query in queries_without_answer:
        query.attempt_progressed(0, ProgressKind.PROGRESS, 0.1)
    harness.advance(SECOND // 2 + MIN_SILENCE + 3 * PERIODIC_WORK_INTERVAL)
    assert running == 20 and (
        reservations.running,
        reservations.granted,
        harness.gateway._engines.pool.running,
    ) == (0, 0.0, 0)
    harness.end_attempt(queries_without_answer[0], Outcome.TIMED_OUT, duration=2 * SECOND)
    assert reservations.running == len(
        [1 for attempt in queries_without_answer[0].attempts if attempt.in_flight]
    ) and not harness.calls_of("fail")
    harness.submit(cost=0, memory=10.0)
    assert harness.calls_of("send_attempt")[-1][2] < 2 * SECOND


@pytest.mark.parametrize(
    ("costs", "given_up"),
    [([SECOND // 2] * 3, []), ([SECOND, SECOND, 6 * SECOND, SECOND], [2]), ([SECOND] * 5, [3, 4])],
)
def test_longest_queries_of_an_order_key_are_given_up_if_objectives_cannot_be_met(costs, given_up):
    harness = GatewayHarness(
        ordered=True, latency_objective=5 * SECOND, objective_stretch=0.0, deadline=30 * SECOND
    )
    queries = [harness.submit(cost=cost, memory=10.0, order_key=7, time_limit=30 * SECOND) for cost in costs]
    assert [number for number, query in enumerate(queries) if query.is_ended] == given_up
    assert len(harness.calls_of("reject")) == len(given_up) and len(harness.calls_of("send_attempt")) == 1
    ended = 0
    while waiting := [query for query in queries if query.is_in_flight()]:
        harness.end_attempt(waiting[0], Outcome.COMPLETED)
        ended += 1
    assert ended == len(costs) - len(given_up)


@pytest.mark.parametrize(("costs", "early"), [([1000] * 60, True), ([100, 100, 20000] * 20, False)])
def test_timeout_is_early_only_if_the_spread_of_costs_is_small(costs, early):
    harness = GatewayHarness(engines=1, latency_objective=2 * SECOND, objective_stretch=0.0)
    for cost in costs:
        query = harness.submit(cost=0, memory=10.0)
        query.attempt_ended(0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True)
    harness.submit(cost=0, memory=10.0)
    assert (harness.calls_of("send_attempt")[-1][2] < 2 * SECOND) is early


@pytest.mark.parametrize(("gateways", "reviews"), [(3, 40), (80, 40), (81, 20), (162, 10), (300, 10)])
def test_large_fleet_reviews_engines_less_often_and_answers_in_time(gateways, reviews, monkeypatch):
    harness, calls = GatewayHarness(engines=0, gateways=gateways), []
    review = harness.gateway._review
    monkeypatch.setattr(harness.gateway, "_review", lambda *values: (calls.append(values), review(*values)))
    query = harness.submit(time_limit=SECOND)
    harness.advance(SECOND)
    assert query.is_ended and len(harness.calls_of("reject")) == 1
    harness.advance(SECOND)
    assert len(calls) == reviews


@pytest.mark.parametrize(
    ("probes", "how", "columns", "is_polled"),
    [
        (True, "pull", ["pending", "x0"], True),
        (True, "pull", ["pending"], False),
        (True, "piggyback", ["cpu_share"], False),
        (False, "pull", ["cpu_share"], False),
    ],
)
def test_load_is_polled_if_probes_are_allowed_and_only_they_report_load(probes, how, columns, is_polled):
    capabilities = settings.capabilities(
        {
            "limits": {"probes": probes},
            "report": {"how": how, "columns": columns},
            "familyInfo": {"reportX0": "share of memory granted"},
        }
    )
    assert capabilities.polls_load is is_polled
