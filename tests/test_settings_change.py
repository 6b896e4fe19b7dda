"""The decisions under the settings of other deployments, and when the settings are replaced."""

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
    ("other_capabilities", "limit", "reports", "attempts"),
    [
        (REPORTS_PROGRESS, 60, (0.05, 0.06, 0.07), 2),  # a bad plan: retried
        (REPORTS_PROGRESS, 10, (0.4, 0.5, 0.6), 1),  # a poor estimate: not retried
        (REPORTS_PROGRESS, 2.1, (0.4, 0.5, 0.6), 0),  # no attempt can end in time: rejected at once
        (REPORTS_PROGRESS, 10, (0.4,), 2),  # the reports stopped: lost
        (REPORTS_PROGRESS, 10, (), 1),  # no report ever arrived: not known to be lost
        ({"may_cancel": False, "progress_interval": 5000}, 10, (0.02,), 1),
        ({"may_cancel": True}, 10, (0.02,), 1),
    ],
)
def test_attempt_is_cancelled_when_its_progress_reports_show_that_it_is_slow_or_lost(
    other_capabilities, limit, reports, attempts
):
    """At vpis-ljubljana one report query in ten ran 9 to 20 times as long, and lost answers held memory."""
    harness = GatewayHarness(capabilities=other_capabilities, latency_objective=2 * SECOND)
    query = harness.submit(cost=SECOND, time_limit=int(limit * SECOND))
    for progress in (*reports, 0.0, 0.0, 0.0)[:3]:
        harness.advance(SECOND // 2)
        if progress:
            query.attempt_progressed(0, ProgressKind.PROGRESS, progress)
    harness.advance(SECOND // 5)
    if harness.calls_of("cancel_attempt"):
        harness.end_attempt(query, Outcome.CANCELLED)
    assert (0 if query.is_ended else len(query.attempts)) == attempts and len(
        harness.calls_of("reject")
    ) == query.is_ended


def test_expected_memory_is_reserved_when_engines_page():
    for engines_page, min_grant, min_reserved in ((False, 500, 500), (True, 630, 399)):
        memory = MemoryEstimator(1, engines_page)
        for _ in range(40):
            memory.learn(0, 0, 5, 1000.0, 400.0)
        grant = memory.size(1, 0, 5, 1000.0, 9e9)
        assert (
            min_grant <= grant < 1.2 * min_grant
            and min_reserved <= memory.reserved(1, 0, 5, 1000.0, grant) < 1.2 * min_reserved
        )


@pytest.mark.parametrize(
    ("slowdowns", "typical_pace", "level", "fillable"),
    [
        ([], 0.0, 1.0, 0.02),
        ([1.4] * 20, 0.0, 1.0, 0.39),
        ([10.0] * 30, 2.3, 1.0, 0.02),
        ([10.0] * 30, 0.0, 0.15, 0.02),
        ([10.0] * 30 + [1.0] * 30, 0.0, 1.0, 0.5),
    ],
)
def test_pace_relative_to_other_engines_changes_health_and_fillable_share(
    slowdowns, typical_pace, level, fillable
):
    engine = GatewayHarness(engines=1, gateways=50).engine(0)
    for slowdown in slowdowns:
        engine.health.run_observed(slowdown, 1.0)
    assert engine.fillable_share(1000 * SECOND, 1.0, 0.02, 0.5) == pytest.approx(fillable, abs=0.01)
    for number in range(40):
        engine.health.review(number * SECOND // 4, 0.0, typical_pace)
    assert engine.health.level == pytest.approx(level, abs=0.01)
    engine.health.level = 0.0
    engine.health.run_observed(1.0, 1.0)
    assert engine.health.mean_log_slowdown == 0.0  # a run on an ejected engine replaces all earlier ones


@pytest.mark.parametrize(("is_load", "used", "threshold"), [(False, 1, 150), (True, 4, 30)])
def test_all_gateways_prefer_the_same_engine_for_a_table_group_except_for_data_loads(
    is_load, used, threshold
):
    for number in range(4):
        harness = GatewayHarness(engines=4, gateways=4, index=number, is_data_load=is_load)
        for _ in range(300):
            harness.end_attempt(harness.submit(memory=10.0, cost=10, table_group=169), Outcome.COMPLETED)
        sent_to = [engine for _, engine, _ in harness.calls_of("send_attempt")]
        assert [engine for engine in range(4) if sent_to.count(engine) > threshold] == [*range(4)][-used:]


def replace_gateway(harness: GatewayHarness, memory: float = 32000.0, **changes) -> Gateway:
    """Replaces the gateway of a harness by one with other settings, and returns the old one."""
    old, service_classes = (
        harness.gateway,
        [dataclasses.replace(harness.service_class, **changes), SERVICE_CLASS],
    )
    slow_start = SlowStartTerms(0.3, 10 * SECOND, 2.0, SECOND)
    harness.gateway = Gateway(
        harness,
        7,
        GatewaySettings(
            service_classes,
            [MachineKind(16, memory)],
            FleetPosition(0, 1, 0),
            CAPABILITIES,
            slow_start,
            RetryBudgetTerms(0, 0, 0.0),
            SECOND,
            50,
        ),
    )
    harness.gateway.take_over(old)
    return old


@pytest.mark.parametrize(("change", "learned"), [({}, True), ({"threads": 2}, False), ({"name": "x"}, False)])
def test_replaced_settings_keep_state_that_still_applies_and_open_queries_end(change, learned):
    harness = GatewayHarness(engines=2)
    for _ in range(60):
        harness.end_attempt(harness.submit(memory=500.0), Outcome.COMPLETED, memory=2000.0)
    query, unhealthy = harness.submit(memory=500.0), harness.engine(0)
    unhealthy.health.level = 0.4
    old, engines = replace_gateway(harness, **change), harness.engines()
    assert sum(e.reservations.granted for e in engines) == query.attempts[0].grant and not old.is_finished()
    assert harness.gateway._retry_budget._counts is old._retry_budget._counts
    old._monitor._watched.clear()
    harness.advance(SECOND)
    assert unhealthy.health is harness.engine(0).health and unhealthy.health.level > 0.7
    assert (harness.submit(memory=500.0).attempts[0].grant > 1500.0) is learned
    replace_gateway(harness, memory=16000.0)
    assert sum(e.reservations.granted for e in harness.engines()) == 0.0
    harness.end_attempt(query, Outcome.COMPLETED)
    harness.advance(30 * SECOND)
    assert (
        query.is_ended and old.is_finished() and not harness.calls_of("reject") and len(harness.timers) == 2
    )


def test_slow_start_and_order_keys_are_kept_when_settings_are_replaced():
    harness = GatewayHarness(engines=1, ordered=True)
    harness.gateway.update_engines([entry(0, started_at=harness.now)], False)
    first = [harness.submit(order_key=key, memory=10.0, cost=10) for key in (8, 9)]
    harness.engine(0).slow_start.record_sent(harness.now, 10**9)
    old, second = replace_gateway(harness, ordered=True), [harness.submit(order_key=8, memory=10.0)]
    # The old gateway sends nothing to new engines.
    for gateway, known in ((old, [0]), (harness.gateway, [0, 1])):
        gateway.update_engines([entry(1)], False)
        assert sorted(gateway._engines._engines) == known and not gateway._engines.get(0).slow_start.allows(
            harness.now, 1
        )
        assert gateway._engines.get(0).slow_start is old._engines.get(0).slow_start
    for query in first:
        query.attempt_ended(0, AttemptResult(Outcome.RESET, 1), True)
    second.append(harness.submit(order_key=9, memory=10.0))
    for span, attempts in ((SECOND - 100, 0), (300, 1)):
        harness.advance(span)
        assert [len(query.attempts) for query in second] == [attempts, attempts]


@pytest.mark.parametrize(
    ("change", "error"),
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
def test_error_names_the_invalid_setting(change, error):
    assert error in str(settings_validation.find_error({**SETTINGS, **change}))
