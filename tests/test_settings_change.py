"""What deployments of other shapes need of the decisions, and a change of their settings."""

from __future__ import annotations

import dataclasses

import pytest
from helpers import CAPABILITIES, SERVICE_CLASS, SETTINGS, GatewayHarness, entry

from vanerelay import settings_validation
from vanerelay.interface import (
    SECOND,
    AttemptResult,
    FleetPosition,
    GatewaySettings,
    MachineKind,
    Outcome,
    ProgressKind,
    RetryBudgetTerms,
    SlowStartTerms,
)
from vanerelay.policy.gateway import Gateway
from vanerelay.policy.memory_estimator import MemoryEstimator

REPORTS_PROGRESS, LOOK = {"may_cancel": True, "progress_interval": SECOND // 2}, SETTINGS["classes"][0]


@pytest.mark.parametrize(
    ("allowed", "limit", "shares", "sends"),
    [
        (REPORTS_PROGRESS, 60, (0.05, 0.06, 0.07), 2),
        (REPORTS_PROGRESS, 10, (0.4, 0.5, 0.6), 1),  # a bad plan; a poor estimate
        (REPORTS_PROGRESS, 2.1, (0.4, 0.5, 0.6), 0),  # cannot end in time, nor can another: answered at once
        (REPORTS_PROGRESS, 10, (0.4,), 2),
        (REPORTS_PROGRESS, 10, (), 1),  # the reports have stopped; none has ever come
        ({"may_cancel": False, "progress_interval": 5000}, 10, (0.02,), 1),
        ({"may_cancel": True}, 10, (0.02,), 1),
    ],
)
def test_attempts_overtaken_or_lost_are_cancelled_by_their_progress_reports(allowed, limit, shares, sends):
    """Seen at vpis-ljubljana: one report in ten ran 9 to 20 times as long; lost answers held memory."""
    world = GatewayHarness(capabilities=allowed, latency_objective=2 * SECOND)
    query = world.submit(cost=SECOND, time_limit=int(limit * SECOND))
    for share in (*shares, 0.0, 0.0, 0.0)[:3]:
        world.advance(SECOND // 2)
        if share:
            query.attempt_progressed(0, ProgressKind.PROGRESS, share)
    world.advance(SECOND // 5)
    if world.calls_of("cancel_attempt"):
        world.end_attempt(query, Outcome.CANCELLED)
    assert (0 if query.is_ended else len(query.attempts)) == sends and len(
        world.calls_of("reject")
    ) == query.is_ended


def test_the_expected_need_is_reserved_where_engines_page():
    for pages, size, holds in ((False, 500, 500), (True, 630, 399)):
        memory = MemoryEstimator(1, pages)
        for _ in range(40):
            memory.learn(0, 0, 5, 1000.0, 400.0)
        grant = memory.size(1, 0, 5, 1000.0, 9e9)
        assert size <= grant < 1.2 * size and holds <= memory.reserved(1, 0, 5, 1000.0, grant) < 1.2 * holds


@pytest.mark.parametrize(
    ("slowdowns", "usual", "level", "lent"),
    [
        ([], 0.0, 1.0, 0.02),
        ([1.4] * 20, 0.0, 1.0, 0.39),
        ([10.0] * 30, 2.3, 1.0, 0.02),
        ([10.0] * 30, 0.0, 0.15, 0.02),
        ([10.0] * 30 + [1.0] * 30, 0.0, 1.0, 0.5),
    ],
)
def test_pace_beside_the_usual_moves_health_and_what_is_lent(slowdowns, usual, level, lent):
    engine = GatewayHarness(engines=1, gateways=50).engine(0)
    for slowdown in slowdowns:
        engine.health.run_observed(slowdown, 1.0)
    assert engine.fillable_share(1000 * SECOND, 1.0, 0.02, 0.5) == pytest.approx(lent, abs=0.01)
    for beat in range(40):
        engine.health.review(beat * SECOND // 4, 0.0, usual)
    assert engine.health.level == pytest.approx(level, abs=0.01)
    engine.health.level = 0.0
    engine.health.run_observed(1.0, 1.0)
    assert engine.health.mean_log_slowdown == 0.0  # a trial stands for all runs before it


@pytest.mark.parametrize(("is_load", "used", "most"), [(False, 1, 150), (True, 4, 30)])
def test_table_groups_prefer_the_same_engines_at_all_gateways_and_data_loads_none(is_load, used, most):
    for number in range(4):
        world = GatewayHarness(engines=4, gateways=4, index=number, is_data_load=is_load)
        for _ in range(300):
            world.end_attempt(world.submit(memory=10.0, cost=10, table_group=169), Outcome.COMPLETED)
        to = [engine for _, engine, _ in world.calls_of("send_attempt")]
        assert [engine for engine in range(4) if to.count(engine) > most] == [*range(4)][-used:]


def switch(world: GatewayHarness, memory: float = 32000.0, **group) -> Gateway:
    """Has another gateway take over in this world, under other settings; returns the one before it."""
    old, groups = world.gateway, [dataclasses.replace(world.service_class, **group), SERVICE_CLASS]
    slow_start = SlowStartTerms(0.3, 10 * SECOND, 2.0, SECOND)
    world.gateway = Gateway(
        world,
        7,
        GatewaySettings(
            groups,
            [MachineKind(16, memory)],
            FleetPosition(0, 1, 0),
            CAPABILITIES,
            slow_start,
            RetryBudgetTerms(0, 0, 0.0),
            SECOND,
            50,
        ),
    )
    world.gateway.take_over(old)
    return old


@pytest.mark.parametrize(("change", "learned"), [({}, True), ({"threads": 2}, False), ({"name": "x"}, False)])
def test_new_settings_keep_what_means_the_same_and_end_what_was_submitted(change, learned):
    world = GatewayHarness(engines=2)
    for _ in range(60):
        world.end_attempt(world.submit(memory=500.0), Outcome.COMPLETED, memory=2000.0)
    query, unhealthy = world.submit(memory=500.0), world.engine(0)
    unhealthy.health.level = 0.4
    old, engines = switch(world, **change), world.engines()
    assert sum(e.reservations.granted for e in engines) == query.attempts[0].grant and not old.is_finished()
    assert world.gateway._retry_budget._counts is old._retry_budget._counts
    old._monitor._watched.clear()
    world.advance(SECOND)
    assert unhealthy.health is world.engine(0).health and unhealthy.health.level > 0.7
    assert (world.submit(memory=500.0).attempts[0].grant > 1500.0) is learned
    switch(world, memory=16000.0)
    assert sum(e.reservations.granted for e in world.engines()) == 0.0
    world.end_attempt(query, Outcome.COMPLETED)
    world.advance(30 * SECOND)
    assert query.is_ended and old.is_finished() and not world.calls_of("reject") and len(world.timers) == 2


def test_slow_start_and_ordering_outlast_new_settings():
    world = GatewayHarness(engines=1, ordered=True)
    world.gateway.update_engines([entry(0, started_at=world.now)], False)
    first = [world.submit(order_key=key, memory=10.0, cost=10) for key in (8, 9)]
    world.engine(0).slow_start.record_sent(world.now, 10**9)
    old, second = switch(world, ordered=True), [world.submit(order_key=8, memory=10.0)]
    for gateway, known in ((old, [0]), (world.gateway, [0, 1])):  # the old one sends to no new engine
        gateway.update_engines([entry(1)], False)
        assert sorted(gateway._engines._engines) == known and not gateway._engines.get(0).slow_start.allows(
            world.now, 1
        )
        assert gateway._engines.get(0).slow_start is old._engines.get(0).slow_start
    for query in first:
        query.attempt_ended(0, AttemptResult(Outcome.RESET, 1), True)
    second.append(world.submit(order_key=9, memory=10.0))
    for span, sends in ((SECOND - 100, 0), (300, 1)):
        world.advance(span)
        assert [len(query.attempts) for query in second] == [sends, sends]


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"classes": []}, "classes: not told"),
        ({"classes": [LOOK, 2]}, "classes[1]: 2, expected an object"),
        ({"classes": [{**LOOK, "semantics": "once"}]}, "classes[0].semantics: 'once', expected one of"),
        (
            {"classes": [{**LOOK, "kindsOnly": [1]}]},
            "classes[0].kindsOnly[0]: 1, expected a place among the 1",
        ),
        ({"familyInfo": {"cpuOfKind": 4}}, "cpuOfKind: 4, expected a list"),
        ({"limits": [], "new": 1}, "None"),
        ({"classes": [{**LOOK, "aimUs": 0}]}, "aimUs: 0"),
        ({"limits": {"peers": 1}}, "limits.peers: 1"),
    ],
)
def test_wrong_settings_are_named(change, words):
    assert words in str(settings_validation.find_error({**SETTINGS, **change}))
