"""Polled load, attempts that wait or whose answers are lost, overbooked order keys, timeouts."""

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
    ("allowed", "probes"), [(POLLS_LOAD, [0, 1, 2, 0]), ({"may_probe": True}, []), ({}, [])]
)
def test_each_query_probes_the_engine_least_recently_probed(allowed, probes):
    world = GatewayHarness(engines=3, capabilities=allowed)
    first = [engine.entry.index for engine in world.gateway._engines.listed()]
    for _ in range(4):
        world.submit(memory=10.0)
        world.advance(10)
        for (engine,) in world.calls_of("probe_engine")[-1:]:
            world.gateway.probe_completed(engine, Outcome.COMPLETED, LoadReport(cores_busy=0.1))
    assert [engine for (engine,) in world.calls_of("probe_engine")] == [first[row] for row in probes]


@pytest.mark.parametrize(
    ("busy", "outcome", "sent"),
    [(0.0, Outcome.COMPLETED, 3), (1.0, Outcome.COMPLETED, 2), (None, Outcome.TIMED_OUT, 2)],
)
def test_idle_capacity_reported_by_probes_is_lent(busy, outcome, sent):
    world = GatewayHarness(engines=2, gateways=40, capabilities=POLLS_LOAD, threads=1)
    for _ in range(2):
        world.submit(memory=10.0)
        world.advance(PERIODIC_WORK_INTERVAL)
    world.gateway._capacity._offered._totals[0] = 0.0
    third = world.submit(memory=10.0)
    before = len(world.calls_of("send_attempt"))
    assert not third.attempts or before == 3
    for _ in range(8):  # the report is trusted by half, and the usual learned from the reports
        for engine in (0, 1):
            world.gateway.probe_completed(
                engine, outcome, None if busy is None else LoadReport(cores_busy=busy, memory_granted=busy)
            )
    assert len(world.calls_of("send_attempt")) == max(before, sent)


@pytest.mark.parametrize(
    ("cancel", "others_full", "is_cancelled"),
    [(True, False, True), (True, True, False), (False, False, False)],
)
def test_an_attempt_that_waits_for_memory_moves_to_an_engine_not_known_full(
    cancel, others_full, is_cancelled
):
    world = GatewayHarness(engines=2, capabilities={"may_cancel": cancel, **REPORTS_PROGRESS})
    query = world.submit(memory=10.0)
    attempt = query.attempts[0]
    for engine in world.engines():
        if others_full and engine is not attempt.engine:
            engine.refused(world.now)
    query.attempt_progressed(0, ProgressKind.WAITING, 1.0)
    assert bool(world.calls_of("cancel_attempt")) is is_cancelled
    assert attempt.engine.held_by_others(world.now, 0.2) == 1.0


@pytest.mark.parametrize(
    ("kind", "value", "is_cancelled"),
    [(ProgressKind.WAITING, 2.0, False), (ProgressKind.PROGRESS, 0.1, True)],
)
def test_a_waiting_attempt_owes_no_progress_reports(kind, value, is_cancelled):
    world = GatewayHarness(engines=1, capabilities={"may_cancel": True, **REPORTS_PROGRESS})
    world.gateway._attempts.progress_reported()
    query = world.submit(memory=10.0)
    query.attempt_progressed(0, kind, value)
    world.advance(3 * SECOND // 2)
    assert bool(world.calls_of("cancel_attempt")) is is_cancelled


def test_a_lost_answer_holds_nothing_and_many_shorten_timeouts():
    world = GatewayHarness(
        engines=1,
        capabilities=REPORTS_PROGRESS,
        late_value=0.5,
        latency_objective=2 * SECOND,
        objective_stretch=0.0,
    )
    for cost in [500, 4000] * 20:
        world.submit(cost=0, memory=10.0).attempt_ended(
            0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True
        )
    lost = [world.submit(cost=0, memory=10.0) for _ in range(20)]
    assert world.calls_of("send_attempt")[-1][2] > 5 * SECOND  # nothing was lost so far: until the deadline
    reservations, held = world.engine(0).reservations, world.gateway._engines.pool.running
    for query in lost:
        query.attempt_progressed(0, ProgressKind.PROGRESS, 0.1)
    world.advance(SECOND // 2 + MIN_SILENCE + 3 * PERIODIC_WORK_INTERVAL)
    assert held == 20 and (
        reservations.running,
        reservations.granted,
        world.gateway._engines.pool.running,
    ) == (0, 0.0, 0)
    world.end_attempt(lost[0], Outcome.TIMED_OUT, duration=2 * SECOND)
    assert reservations.running == len(
        [1 for attempt in lost[0].attempts if attempt.in_flight]
    ) and not world.calls_of("fail")
    world.submit(cost=0, memory=10.0)
    assert world.calls_of("send_attempt")[-1][2] < 2 * SECOND


@pytest.mark.parametrize(
    ("costs", "given_up"),
    [([SECOND // 2] * 3, []), ([SECOND, SECOND, 6 * SECOND, SECOND], [2]), ([SECOND] * 5, [3, 4])],
)
def test_of_an_overbooked_order_key_the_longest_query_is_given_up(costs, given_up):
    world = GatewayHarness(
        ordered=True, latency_objective=5 * SECOND, objective_stretch=0.0, deadline=30 * SECOND
    )
    queries = [world.submit(cost=cost, memory=10.0, order_key=7, time_limit=30 * SECOND) for cost in costs]
    assert [row for row, query in enumerate(queries) if query.is_ended] == given_up
    assert len(world.calls_of("reject")) == len(given_up) and len(world.calls_of("send_attempt")) == 1
    ended = 0
    while waiting := [query for query in queries if query.is_in_flight()]:
        world.end_attempt(waiting[0], Outcome.COMPLETED)
        ended += 1
    assert ended == len(costs) - len(given_up)


@pytest.mark.parametrize(("costs", "early"), [([1000] * 60, True), ([100, 100, 20000] * 20, False)])
def test_an_early_timeout_allows_for_the_spread_of_costs(costs, early):
    world = GatewayHarness(engines=1, latency_objective=2 * SECOND, objective_stretch=0.0)
    for cost in costs:
        query = world.submit(cost=0, memory=10.0)
        query.attempt_ended(0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True)
    world.submit(cost=0, memory=10.0)
    assert (world.calls_of("send_attempt")[-1][2] < 2 * SECOND) is early


@pytest.mark.parametrize(("gateways", "looks"), [(3, 40), (80, 40), (81, 20), (162, 10), (300, 10)])
def test_large_fleets_review_their_engines_less_often_and_answer_in_time(gateways, looks, monkeypatch):
    world, seen = GatewayHarness(engines=0, gateways=gateways), []
    review = world.gateway._review
    monkeypatch.setattr(world.gateway, "_review", lambda *values: (seen.append(values), review(*values)))
    query = world.submit(time_limit=SECOND)
    world.advance(SECOND)
    assert query.is_ended and len(world.calls_of("reject")) == 1
    world.advance(SECOND)
    assert len(seen) == looks


@pytest.mark.parametrize(
    ("probes", "how", "columns", "asks"),
    [
        (True, "pull", ["pending", "x0"], True),
        (True, "pull", ["pending"], False),
        (True, "piggyback", ["cpu_share"], False),
        (False, "pull", ["cpu_share"], False),
    ],
)
def test_load_is_polled_where_only_probes_report_it(probes, how, columns, asks):
    allowed = settings.capabilities(
        {
            "limits": {"probes": probes},
            "report": {"how": how, "columns": columns},
            "familyInfo": {"reportX0": "share of memory granted"},
        }
    )
    assert allowed.polls_load is asks
