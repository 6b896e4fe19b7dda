"""Loads that are asked for, dispatches that wait or whose answers are lost, keys that get too much."""

from __future__ import annotations

import pytest

from tests.helpers import World
from vanerelay import settings
from vanerelay.interface import SECOND, AttemptResult, LoadReport, Outcome, ProgressKind
from vanerelay.policy.housekeeping import HOUSEKEEPING_INTERVAL
from vanerelay.policy.outlier_detection import MIN_SILENCE

ASKS = {"may_probe": True, "polls_load": True}
NOTES = {"progress_interval": SECOND // 2}


@pytest.mark.parametrize(("allowed", "probes"), [(ASKS, [0, 1, 2, 0]), ({"may_probe": True}, []), ({}, [])])
def test_each_batch_has_the_engine_asked_that_was_longest_not(allowed, probes):
    world = World(engines=3, allowed=allowed)
    first = [engine.entry.index for engine in world.gateway._engines.listed()]
    for _ in range(4):
        world.take(memory=10.0)
        world.run(10)
        for (engine,) in world.did("probe_engine")[-1:]:
            world.gateway.probe_completed(engine, Outcome.COMPLETED, LoadReport(cores_busy=0.1))
    assert [engine for (engine,) in world.did("probe_engine")] == [first[row] for row in probes]


@pytest.mark.parametrize(
    ("busy", "outcome", "sent"),
    [(0.0, Outcome.COMPLETED, 3), (1.0, Outcome.COMPLETED, 2), (None, Outcome.TIMED_OUT, 2)],
)
def test_what_a_probe_tells_is_lent_past_the_part_of_one_of_many(busy, outcome, sent):
    world = World(engines=2, gateways=40, allowed=ASKS, threads=1)
    for _ in range(2):
        world.take(memory=10.0)
        world.run(HOUSEKEEPING_INTERVAL)
    world.gateway._capacity._offered._totals[0] = 0.0
    third = world.take(memory=10.0)
    before = len(world.did("send_attempt"))
    assert not third.attempts or before == 3
    for _ in range(8):  # the report is trusted by half, and the usual learned from the reports
        for engine in (0, 1):
            world.gateway.probe_completed(
                engine, outcome, None if busy is None else LoadReport(cores_busy=busy, memory_granted=busy)
            )
    assert len(world.did("send_attempt")) == max(before, sent)


@pytest.mark.parametrize(
    ("cancel", "others_full", "called_off"), [(True, False, True), (True, True, False), (False, False, False)]
)
def test_what_waits_for_memory_goes_where_an_engine_is_not_known_full(cancel, others_full, called_off):
    world = World(engines=2, allowed={"may_cancel": cancel, **NOTES})
    batch = world.take(memory=10.0)
    attempt = batch.attempts[0]
    for engine in world.engines():
        if others_full and engine is not attempt.engine:
            engine.refused(world.now)
    batch.attempt_progressed(0, ProgressKind.WAITING, 1.0)
    assert bool(world.did("cancel_attempt")) is called_off
    assert attempt.engine.held_by_others(world.now, 0.2) == 1.0


@pytest.mark.parametrize(
    ("kind", "value", "called_off"), [(ProgressKind.WAITING, 2.0, False), (ProgressKind.PROGRESS, 0.1, True)]
)
def test_a_dispatch_that_waits_owes_no_notes(kind, value, called_off):
    world = World(engines=1, allowed={"may_cancel": True, **NOTES})
    world.gateway._attempts.progress_reported()
    batch = world.take(memory=10.0)
    batch.attempt_progressed(0, kind, value)
    world.run(3 * SECOND // 2)
    assert bool(world.did("cancel_attempt")) is called_off


def test_a_lost_answer_holds_nothing_and_many_leave_time_for_another_dispatch():
    world = World(
        engines=1, allowed=NOTES, late_value=0.5, latency_objective=2 * SECOND, objective_stretch=0.0
    )
    for cost in [500, 4000] * 20:
        world.take(cost=0, memory=10.0).attempt_ended(
            0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True
        )
    lost = [world.take(cost=0, memory=10.0) for _ in range(20)]
    assert world.did("send_attempt")[-1][2] > 5 * SECOND  # nothing was lost so far: until the limit
    reservations, held = world.engine(0).reservations, world.gateway._engines.pool.running
    for batch in lost:
        batch.attempt_progressed(0, ProgressKind.PROGRESS, 0.1)
    world.run(SECOND // 2 + MIN_SILENCE + 3 * HOUSEKEEPING_INTERVAL)
    assert held == 20 and (
        reservations.running,
        reservations.granted,
        world.gateway._engines.pool.running,
    ) == (0, 0.0, 0)
    world.end(lost[0], Outcome.TIMED_OUT, lasted=2 * SECOND)
    assert reservations.running == len(
        [1 for attempt in lost[0].attempts if attempt.in_flight]
    ) and not world.did("fail")
    world.take(cost=0, memory=10.0)
    assert world.did("send_attempt")[-1][2] < 2 * SECOND


@pytest.mark.parametrize(
    ("costs", "given_up"),
    [([SECOND // 2] * 3, []), ([SECOND, SECOND, 6 * SECOND, SECOND], [2]), ([SECOND] * 5, [3, 4])],
)
def test_of_batches_of_one_key_the_longest_goes_where_not_all_end_in_time(costs, given_up):
    world = World(ordered=True, latency_objective=5 * SECOND, objective_stretch=0.0, deadline=30 * SECOND)
    batches = [world.take(cost=cost, memory=10.0, key=7, limit=30 * SECOND) for cost in costs]
    assert [row for row, batch in enumerate(batches) if batch.is_ended] == given_up
    assert len(world.did("reject")) == len(given_up) and len(world.did("send_attempt")) == 1
    ended = 0
    while waiting := [batch for batch in batches if batch.is_in_flight()]:
        world.end(waiting[0], Outcome.COMPLETED)
        ended += 1
    assert ended == len(costs) - len(given_up)


@pytest.mark.parametrize(("costs", "early"), [([1000] * 60, True), ([100, 100, 20000] * 20, False)])
def test_a_time_out_before_the_limit_waits_for_what_the_spread_of_costs_asks(costs, early):
    world = World(engines=1, latency_objective=2 * SECOND, objective_stretch=0.0)
    for cost in costs:
        batch = world.take(cost=0, memory=10.0)
        batch.attempt_ended(0, AttemptResult(Outcome.COMPLETED, cost, cost, 10.0), True)
    world.take(cost=0, memory=10.0)
    assert (world.did("send_attempt")[-1][2] < 2 * SECOND) is early


@pytest.mark.parametrize(("gateways", "looks"), [(3, 40), (80, 40), (81, 20), (162, 10), (300, 10)])
def test_many_gateways_look_their_engines_over_less_often_and_answer_in_time(gateways, looks, monkeypatch):
    world, seen = World(engines=0, gateways=gateways), []
    whole = world.gateway._review
    monkeypatch.setattr(world.gateway, "_review", lambda *told: (seen.append(told), whole(*told)))
    batch = world.take(limit=SECOND)
    world.run(SECOND)
    assert batch.is_ended and len(world.did("reject")) == 1
    world.run(SECOND)
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
def test_loads_are_asked_for_where_only_probes_tell_them(probes, how, columns, asks):
    allowed = settings.capabilities(
        {
            "limits": {"probes": probes},
            "report": {"how": how, "columns": columns},
            "familyInfo": {"reportX0": "share of memory granted"},
        }
    )
    assert allowed.polls_load is asks
