"""The decisions: tables of cases against each concern, and gateways in virtual time."""

from __future__ import annotations

import dataclasses
import random

import pytest
from helpers import ROOT, SLOW_START, GatewayHarness, entry

from vanerelay.estimation import SlidingSums
from vanerelay.fleet.release import POLICY
from vanerelay.interface import (
    SECOND,
    AttemptResult,
    DeduplicationScope,
    EngineState,
    FleetPosition,
    Idempotency,
    LoadReport,
    Outcome,
    PlacementConstraints,
    ProgressKind,
    RetryBudgetTerms,
    SlowStartTerms,
)
from vanerelay.policy.engine_registry import ANYWHERE
from vanerelay.policy.load_shedding import LoadShedder
from vanerelay.policy.memory_estimator import SHAPE_LIFETIME, MemoryEstimator
from vanerelay.policy.reservations import Reservations
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.slow_start import SlowStart

BUSY = 13_000.0  # MB: over a slice of a third, so that one query fills an engine


@pytest.mark.parametrize(
    ("span", "at", "now", "whole", "short"),
    [(100, 0, 0, 1, 1), (100, 0, 79, 1, 1), (100, 0, 100, 1, 0), (100, 0, 95, 1, 0), (100, 0, 110, 0, 0)],
)
def test_sliding_sums_never_forget_early_nor_count_late(span, at, now, whole, short):
    sums = SlidingSums(span, 1)
    sums.add(at, 1)
    assert (sums.total(now, 0), sums.total(now, 0, short=True)) == (whole, short)


@pytest.mark.parametrize(
    ("runs", "estimate", "cap", "low", "high"),
    [
        ([], 1000.0, 9e9, 1250, 1401),  # no peak: the client's estimate with the margin, up a bucket
        ([(1000.0, 400.0)] * 9, 1000.0, 9e9, 500, 640),  # peak x margin
        ([(1000.0, 500.0), (4000.0, 2000.0)] * 9, 2000.0, 9e9, 1250, 1420),  # peaks follow the estimates
        ([(1000.0, 400.0), (1000.0, 1600.0)] * 9, 1000.0, 9e9, 1400, 2000),  # a wide spread raises the margin
        ([(0.0, 400.0)] * 9, 0.0, 9e9, 500, 640),  # no estimate: the learned mean
        ([], 5000.0, 3000.0, 3000, 3000),  # cap
        ([], 0.0, 9e9, 0, 0),  # nothing known: the engine's own choice
    ],
)
def test_grant_size(runs, estimate, cap, low, high):
    memory = MemoryEstimator(1)
    for run_estimate, peak in runs:
        memory.learn(0, 0, 5, run_estimate, peak)
    assert low <= memory.size(1, 0, 5, estimate, cap) <= high


@pytest.mark.parametrize("forget", [lambda memory: memory.forget_table_group(5), lambda memory: None])
def test_query_shapes_expire_and_are_forgotten_after_a_data_load(forget):
    memory = MemoryEstimator(1)
    for _ in range(40):
        memory.learn(0, 0, 5, 1000.0, 1000.0)
        memory.learn(0, 0, 6, 1000.0, 100.0)
    assert memory.size(1, 0, 5, 1000.0, 9e9) > 2 * memory.size(1, 0, 6, 1000.0, 9e9)
    forget(memory)
    later = 1 if (0, 5) not in memory._shapes else SHAPE_LIFETIME + 1
    assert memory.size(later, 0, 5, 1000.0, 9e9) < 2 * memory.size(SHAPE_LIFETIME + 1, 0, 6, 1000.0, 9e9)


@pytest.mark.parametrize(
    ("grant", "threads", "part", "fits"),
    [
        (500.0, 1, 0.5, True),
        (501.0, 1, 0.5, False),
        (200.0, 1, 0.4, True),
        (201.0, 1, 0.4, False),
        (100.0, 73, 0.5, True),
        (100.0, 74, 0.5, False),  # threads may be overdrawn by part of a query
    ],
)
def test_reservations_hold_grants_and_threads_against_the_slice(grant, threads, part, fits):
    reservations = Reservations(3000.0, 16)
    reservations.reserve(1000.0, 4)
    assert reservations.fits(grant, threads, part) is fits
    reservations.release(1000.0, 4)
    assert (reservations.granted, reservations.threads, reservations.running) == (0.0, 0, 0)


@pytest.mark.parametrize(
    ("taken", "spent", "allowed"),
    [(0, 0, True), (0, 2, False), (10, 3, True), (10, 4, False), (100, 21, True), (100, 22, False)],
)
def test_retry_budget_at_its_boundary(taken, spent, allowed):
    budget = RetryBudget(RetryBudgetTerms(10 * SECOND, 2, 0.2))
    for _ in range(taken):
        budget.query_arrived(SECOND, earns_retries=True)
    for _ in range(spent):
        budget.attempt_sent(SECOND, is_retry=True)
    assert budget.allows(SECOND) is allowed
    assert budget.allows(SECOND, is_low_value=True) is (
        spent < 1 + taken // 10
    )  # half of it for the least value
    assert budget.allows(30 * SECOND)


@pytest.mark.parametrize(
    ("age", "gateways", "share"),
    [(0, 1, 0.3), (5, 1, 0.65), (10, 1, 1.0), (0, 3, 0.3), (0, 50, 0.3), (5, 200, 0.65), (0, 200, 0.3)],
)
def test_slow_start_budget_holds_for_all_gateways_and_admits_queries(age, gateways, share):
    terms, work, sent, used = SlowStartTerms(0.3, 10 * SECOND, 3.0, 2 * SECOND), 5000, 0, 0
    for number in range(gateways):
        slow_start = SlowStart(terms, "e7", 16, FleetPosition(number, gateways, 0), 2 * SECOND, 0)
        assert slow_start.engine_started(100 * SECOND)
        now = 100 * SECOND + age * SECOND
        assert slow_start.ramp_share(now) == pytest.approx(share)
        used += 1 if slow_start.allows(now, 0) else 0
        while slow_start.allows(now, work) and sent < 10**7:
            slow_start.record_sent(now, work)
            sent += work
        assert slow_start.allows(now + 12 * SECOND, 10**9)
    assert used == min(gateways, 8)
    assert 0.3 * 3.0 * 0.3 * 16 * 2 * SECOND <= sent <= 3.0 * share * 16 * 2 * SECOND


@pytest.mark.parametrize("restarted", [0, 20, 30])
@pytest.mark.parametrize("at", [0.3, 1.0, 1.9])
def test_thirty_gateways_that_forget_what_they_sent_keep_within_the_slow_start_budget(restarted, at):
    """What one sent before it was killed still counts, and the next under its name knows nothing of it."""
    step, cost, sent = SECOND // 10, 100, []
    began = 1000 * SECOND

    def started_at(number, now):
        world = GatewayHarness(engines=0, gateways=30, index=number, now=now)
        world.gateway.update_engines([entry(0, started_at=began)], True)
        return world

    worlds = [started_at(number, began) for number in range(30)]
    for now in range(began, began + 4 * SECOND, step):
        if now == began + round(at * SECOND):
            worlds[:restarted] = [started_at(number, now) for number in range(restarted)]
        for world in worlds:
            world.advance(now - world.now)
            for query in [world.submit(cost=cost, memory=1.0) for _ in range(12)]:
                if query.attempts:
                    sent.append(now)
                    query.attempt_ended(0, AttemptResult(Outcome.COMPLETED, cost, cost, 1.0), True)
                else:
                    query.client_left()
    for end in range(began, began + 4 * SECOND, step):
        age = max(0, end - SLOW_START.overload_window - began) / SLOW_START.ramp_duration
        capacity = 16 * (SLOW_START.initial_share + (1 - SLOW_START.initial_share) * age)
        allowed = SLOW_START.overload_multiple * capacity * SLOW_START.overload_window / cost
        window = sum(end - SLOW_START.overload_window < when <= end for when in sent)
        assert window <= allowed + 2 * allowed**0.5 + 2
    assert len(sent) > 100


@pytest.mark.parametrize(
    ("gateways", "others", "age", "part"),
    [
        (1, 0.0, 0, 1.0),
        (3, 1.0, 0, 1 / 3),
        (3, 0.0, 0, 0.85 * 2 / 3),
        (50, 0.3, 0, 0.85 * 0.98 - 0.3),
        (200, 0.3, 0, 0.85 * 0.995 - 0.3),
        (200, 0.9, 0, 0.005),
        (200, 0.1, 60, 0.85 * 0.995 - 0.5),
    ],
)
def test_idle_capacity_is_lent_past_the_slice(gateways, others, age, part):
    engine = GatewayHarness(engines=1, gateways=gateways).engine(0)
    engine.load_reported(1000 * SECOND, LoadReport(memory_granted=others), 1.0)
    assert engine.fillable_share((1000 + age) * SECOND, 0.5, 1 / gateways) == pytest.approx(part)


@pytest.mark.parametrize(
    ("gateways", "may_gossip", "heard", "span", "parts"),
    [
        (3, True, (1, 2), 900, 3),
        (3, True, (1, 2), 1500, 1),
        (3, True, (1,), 1500, 2),
        (3, True, (), 1500, 3),
        (3, False, (1, 2), 1500, 3),
        (9, True, (1, 2), 1500, 9),
        (1, True, (), 1500, 1),
    ],
)
def test_the_slice_of_an_absent_gateway_is_divided_among_the_others(gateways, may_gossip, heard, span, parts):
    """Seen on sockets: a tenth was rejected while one restarted, with a third of each engine left to nobody.
    A peer never heard from counts as present: messages may be lost, and it starts when it starts."""
    world = GatewayHarness(gateways=gateways, capabilities={"may_gossip": may_gossip})
    for number in heard:
        world.gateway.receive_from_peer(number, b"\0\0\0\1")
    for _ in range(span // 50):
        world.advance(500)
    assert world.gateway._capacity.slice == pytest.approx(1 / parts)
    assert (len(world.calls_of("send_to_peers")) >= span // 250) == (may_gossip and 1 < gateways < 9)
    for number in heard:
        world.gateway.receive_from_peer(number, b"\0\0\0\1")
    world.advance(3000)
    assert world.gateway._capacity.slice == pytest.approx(1 / gateways)


@pytest.mark.parametrize(("theirs", "part"), [(0, 0.67), (100, 0.4), (200, 0.29), (10**9, 0.0)])
def test_slices_follow_the_traffic_of_each_gateway(theirs, part):
    """Seen on sockets: a fifth was rejected at the gateway with half of the traffic, beside two with room."""
    world = GatewayHarness(gateways=3, capabilities={"may_gossip": True})
    for _ in range(100):
        world.advance(SECOND // 10)
        world.submit().client_left()
        for number, need in ((1, theirs), (2, 50)):
            world.gateway.receive_from_peer(number, need.to_bytes(4, "big"))
    assert world.gateway._capacity.slice == pytest.approx(part, abs=0.03)


@pytest.mark.parametrize(
    ("gateways", "engines", "kept", "sent"),
    [(1, 40, 40, 40), (3, 7, 7, 7), (50, 12, 8, 2), (200, 40, 8, 2), (200, 1, 1, 1), (5, 0, 0, 0)],
)
def test_idle_engines_take_no_more_than_our_slice_of_the_pool(gateways, engines, kept, sent):
    world = GatewayHarness(engines=engines, gateways=gateways)
    for _ in range(60):
        world.submit(memory=9000.0)
    for world.gateway._engines.pool.running in (
        0,
        20,
    ):  # as many as run: 30% of all traffic was kept to eight of 32
        most = min(engines, max(kept, world.gateway._engines.pool.running))
        assert len(list(world.gateway._engines.candidates(world.now, ANYWHERE))) == most
    most = max(1.0, 1.25 * engines * 32000 / gateways / 9000) if engines else 0
    assert len(world.calls_of("send_attempt")) <= most + 2 and len(world.calls_of("send_attempt")) >= min(
        sent, 1
    )


@pytest.mark.parametrize(("gateways", "engines"), [(50, 12), (200, 40), (200, 33), (160, 25)])
def test_candidates_are_spread_evenly_and_few_change_when_an_engine_leaves(gateways, engines):
    gateways_of, replaced = [0] * engines, 0
    for number in range(gateways):
        world = GatewayHarness(engines=engines, gateways=gateways, index=number)
        before = {e.entry.index for e in world.gateway._engines.candidates(world.now, ANYWHERE)}
        world.gateway.update_engines([dataclasses.replace(world.entries[0], state=EngineState.GONE)], False)
        after = {e.entry.index for e in world.gateway._engines.candidates(world.now, ANYWHERE)}
        replaced += len(after - before)
        for engine in before:
            gateways_of[engine] += 1
    assert replaced == gateways_of[0] and max(gateways_of) < 1.6 * sum(gateways_of) / engines
    assert min(gateways_of) > 0.5 * sum(gateways_of) / engines


@pytest.mark.parametrize(("gateways", "most"), [(1, 12), (3, 12), (50, 12), (200, 12)])
def test_trials_of_an_ejected_engine_do_not_grow_with_the_gateways(gateways, most):
    trials = 0.0
    for number in range(min(gateways, 8)):
        world = GatewayHarness(engines=2, gateways=gateways, index=number)
        ejected = world.engine(0)
        ejected.health.is_lost = True
        ejected.health.level = 0.0
        ejected.health.last_attempt_at = world.now
        world.gateway._monitor.watch(ejected)
        for _ in range(200):
            world.advance(500)
            query = world.submit()
            if query.attempts and query.attempts[0].in_flight and query.attempts[0].engine.entry.index == 1:
                world.end_attempt(query, Outcome.COMPLETED)
        tried = sum(d[1] == 0 for d in world.calls_of("send_attempt"))
        trials += tried / 10 * gateways / min(gateways, 8)
    assert trials <= most


@pytest.mark.parametrize(
    ("waited", "cheap", "dear"), [(0.0, True, True), (0.2, True, False), (0.5, True, False)]
)
def test_load_shedding_rejects_the_least_value_for_its_work(waited, cheap, dear):
    shedder = LoadShedder(10_000)
    for count in range(50):
        shedder.admits(1.0, 100.0 + count)
        shedder.admits(1.0, 1000.0 + count)
    for _ in range(400):
        shedder.adjust(int(waited * 10_000))
    assert (shedder.admits(1.0, 90.0), shedder.admits(1.0, 1060.0)) == (cheap, dear)


def test_a_gateway_that_stalled_does_not_blame_the_engines():
    world = GatewayHarness(engines=1)
    for _ in range(3):
        world.submit()
    world.advance(500)
    world.now += 3 * SECOND
    world.advance(0)
    assert world.engine(0).health.level > 0.5


def test_data_loads_and_queries_behind_them_prefer_different_engines():
    world = GatewayHarness(engines=4, waits_for_data_loads=True)
    world.service_classes[1] = dataclasses.replace(world.service_classes[1], is_data_load=True)
    sides = [{0: set(), 1: set()} for _ in range(2)]
    for count in range(60):
        group = count % 2
        query = world.submit(memory=50.0, service_class=group, table_group=count % 4 // 2)
        sides[group][count % 4 // 2].add(query.attempts[0].engine.entry.index)
        world.end_attempt(query, Outcome.COMPLETED)
    assert all(len(sides[0][t] & sides[1][t]) <= 1 for t in (0, 1))
    assert not any(engine.health.has_slowdown for engine in world.engines())  # they may stand still


def test_the_admission_queue_is_first_come_first_served_and_holds_nothing():
    world = GatewayHarness(engines=1, gateways=3)
    first = world.submit(memory=9000.0)
    held = [world.submit(memory=m) for m in (9000.0, 3000.0, 9000.0)]
    assert len(world.calls_of("send_attempt")) == 1 and all(not b.attempts for b in held)
    world.end_attempt(first, Outcome.COMPLETED, memory=0.0)
    assert [d[0] for d in world.calls_of("send_attempt")] == [1, 2]
    world.end_attempt(held[0], Outcome.COMPLETED, memory=0.0)
    assert [d[0] for d in world.calls_of("send_attempt")][:3] == [1, 2, 3]


def test_the_head_of_the_queue_is_sent_with_a_reduced_grant_past_its_wait():
    world = GatewayHarness(engines=1, gateways=3, latency_objective=9 * SECOND, deadline=40 * SECOND)
    world.submit(cost=20_000, memory=5000.0, time_limit=40 * SECOND)
    world.submit(cost=20_000, memory=5000.0, time_limit=40 * SECOND)
    world.advance(SECOND)
    assert len(world.calls_of("send_attempt")) == 1
    world.advance(2 * SECOND)
    assert len(world.calls_of("send_attempt")) == 2
    assert world.calls_of("grant_memory")[1][1] < world.calls_of("grant_memory")[0][1]


@pytest.mark.parametrize(
    ("effect", "scope", "outcome", "again", "answer"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, Outcome.FAILED, True, "reject"),
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, Outcome.TIMED_OUT, True, "reject"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.REJECTED, True, "reject"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.NO_CONNECTION, True, "reject"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.FAILED, False, "fail"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.TIMED_OUT, False, "fail"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.RESET, False, "fail"),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Outcome.CANCELLED, False, "fail"),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, Outcome.RESET, True, "reject"),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, Outcome.RESET, True, "fail"),
        (Idempotency.DEDUPLICATED, DeduplicationScope.CELL, Outcome.FAILED, True, "fail"),
    ],
)
def test_no_effect_twice(effect, scope, outcome, again, answer):
    world = GatewayHarness(idempotency=effect, deduplication_scope=scope)
    query = world.submit()
    world.end_attempt(query, outcome)
    assert (len(query.attempts) == 2) is again
    for _ in range(3):
        if any(attempt.in_flight for attempt in query.attempts):
            world.end_attempt(query, outcome)
        world.advance(SECOND)
    world.advance(12 * SECOND)
    assert len(world.calls_of("reject") + world.calls_of("fail")) == 1
    assert len(world.calls_of(answer)) == 1


@pytest.mark.parametrize(
    ("scope", "field"), [(DeduplicationScope.ZONE, "zone"), (DeduplicationScope.CELL, "cell")]
)
def test_a_deduplicated_query_stays_in_its_scope_and_window(scope, field):
    world = GatewayHarness(
        engines=0,
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=scope,
        deduplication_window=2 * SECOND,
        late_value=0.5,
    )
    world.gateway.update_engines(
        [entry(0, **{field: 1}), entry(1, **{field: 2}), entry(2, **{field: 1})], True
    )
    query = world.submit()
    home = getattr(query.attempts[0].engine.entry, field)
    world.end_attempt(query, Outcome.FAILED)
    assert all(getattr(attempt.engine.entry, field) == home for attempt in query.attempts)
    late = world.submit()
    world.advance(2 * SECOND)
    world.end_attempt(late, Outcome.FAILED, duration=2 * SECOND)
    assert len(late.attempts) == 1 and (late.arrival.index,) in world.calls_of("fail")


@pytest.mark.parametrize("state", [EngineState.DRAINING, EngineState.GONE, None])
def test_nothing_new_to_a_draining_or_gone_engine(state):
    world = GatewayHarness(engines=2)
    if state is None:
        world.gateway.update_engines([world.entries[1]], True)
    else:
        world.gateway.update_engines([dataclasses.replace(world.entries[0], state=state)], False)
    for _ in range(20):
        world.submit()
    assert {d[1] for d in world.calls_of("send_attempt")} == {1}


@pytest.mark.parametrize("bound", [{"zones": (1,)}, {"machine_kinds": (1,)}])
def test_placement_constraints_hold_when_the_allowed_engines_are_gone(bound):
    world = GatewayHarness(engines=2, **bound)
    world.gateway.update_engines([entry(2, zone=1, machine_kind=1)], False)
    query = world.submit()
    assert world.calls_of("send_attempt")[-1][1] == 2
    world.end_attempt(query, Outcome.FAILED)
    world.gateway.update_engines([entry(2, zone=1, machine_kind=1, state=EngineState.GONE)], False)
    world.submit()
    world.advance(12 * SECOND)
    assert {d[1] for d in world.calls_of("send_attempt")} == {2}
    assert len(world.calls_of("reject")) >= 1


def test_queries_of_an_order_key_run_in_order_and_the_key_rests():
    world = GatewayHarness(ordered=True, order_key_pause=SECOND, late_value=0.9)
    queries = [world.submit(order_key=5) for _ in range(3)]
    other = world.submit(order_key=6)
    assert [len(b.attempts) for b in (*queries, other)] == [1, 0, 0, 1]
    world.end_attempt(queries[0], Outcome.COMPLETED)
    assert [len(b.attempts) for b in queries] == [1, 1, 0]
    queries[1].client_left()
    assert not queries[2].attempts  # an attempt without an outcome is still in flight
    world.end_attempt(queries[1], Outcome.RESET)
    world.advance(SECOND - 100)
    assert not queries[2].attempts
    world.advance(400)
    assert len(queries[2].attempts) == 1


@pytest.mark.parametrize("engines", [0, 1, 3])
@pytest.mark.parametrize("effect", list(Idempotency))
def test_one_final_answer_before_the_deadline(engines, effect):
    world = GatewayHarness(engines=engines, idempotency=effect)
    queries = [world.submit(memory=BUSY, time_limit=limit) for limit in (1, 100, 5000, 20_000, 100_000) * 5]
    ends = {query.arrival.index: query.arrival.deadline for query in queries}
    answered: dict[int, int] = {}
    start = world.now
    while world.now < start + 120_000:
        world.advance(50)
        for query in queries:
            for number, attempt in enumerate(query.attempts):
                assert world.now <= ends[query.arrival.index] or not attempt.in_flight
                if attempt.in_flight and any(
                    d[0] == query.arrival.index and attempt.sent_at + d[2] <= world.now
                    for d in world.calls_of("send_attempt")
                ):
                    query.attempt_ended(number, AttemptResult(Outcome.TIMED_OUT, 1), False)
        for name in ("reject", "fail"):
            for call in world.calls_of(name):
                answered.setdefault(call[0], world.now)
    assert all(answered[i] <= ends[i] or ends[i] - start < 200 for i in ends)
    assert len(world.calls_of("reject") + world.calls_of("fail")) == len(queries)


def test_a_silent_engine_is_ejected_then_tried():
    world = GatewayHarness(engines=2)
    stuck = [b for b in (world.submit() for _ in range(40)) if b.attempts[0].engine.entry.index == 0]
    for query in list(stuck):
        assert query.attempts[0].in_flight
    for _ in range(100):
        world.advance(200)
        for query in [world.submit(), world.submit()]:
            if query.attempts and query.attempts[0].engine.entry.index == 1:
                world.end_attempt(query, Outcome.COMPLETED)
    late = [d for d in world.calls_of("send_attempt")[-60:] if d[1] == 0]
    assert len(late) <= 3


@pytest.mark.parametrize(
    ("failing", "outcome"), [(0, Outcome.FAILED), (1, Outcome.FAILED), (0, Outcome.RESET)]
)
def test_errors_common_to_all_engines_are_not_held_against_them(failing, outcome):
    """Seen on sockets: queries of bad clients fail wherever they go, and the slice of every engine that was
    used shrank with its health. One that fails more than the others is found all the same."""
    world = GatewayHarness(engines=5)
    for count in range(400):
        world.advance(200)
        query = world.submit()
        engine = query.attempts[0].engine.entry.index
        bad = count % 3 == 0 or engine < failing
        query.attempt_ended(0, AttemptResult(outcome if bad else Outcome.COMPLETED, 100), True)
    levels = [engine.health.level for _, engine in sorted(world.gateway._engines._engines.items())]
    assert min(levels[failing:]) > 0.5 and max(levels[:failing], default=0.0) < 0.3


def test_engines_that_are_gone_are_forgotten_once_they_run_none_of_ours():
    """Engines come and go without end: all that ever were stayed, and memory grew through a long day."""
    world = GatewayHarness(engines=2)
    query = world.submit()
    for number in range(2, 40):
        there = [entry(number), entry(number - 1, state=EngineState.GONE)]
        world.gateway.update_engines(there, number % 2 == 0)
        world.advance(100)
    kept = {39, query.attempts[0].engine.entry.index}
    assert set(world.gateway._engines._engines) - {0, 1} == {39} and kept <= set(
        world.gateway._engines._engines
    )
    world.end_attempt(query, Outcome.COMPLETED)
    world.gateway.update_engines([entry(40)], True)
    assert set(world.gateway._engines._engines) == {40} and set(world.gateway._monitor._watched) <= {40}


@pytest.mark.parametrize("may_cancel", [True, False])
def test_attempts_of_a_client_that_left_are_cancelled(may_cancel):
    """Withdrawn by the hundred, they ran on at their engines and took the capacity of others."""
    world = GatewayHarness(capabilities={"may_cancel": may_cancel})
    query = world.submit()
    query.client_left()
    assert world.calls_of("cancel_attempt") == ([(1, 0)] if may_cancel else [])
    world.end_attempt(query, Outcome.CANCELLED)
    assert world.gateway._engines.pool.running == 0 and len(world.calls_of("send_attempt")) == 1


def test_a_lost_engine_is_tried_and_recovers_in_slow_start():
    world = GatewayHarness(engines=1, latency_objective=5 * SECOND)
    query, other = world.submit(), world.submit()
    world.end_attempt(other, Outcome.RESET)
    world.advance(200)
    assert world.engine(0).health.level > 0.1  # one reset connection is no dead process
    world.end_attempt(query, Outcome.NO_CONNECTION)
    world.end_attempt(other, Outcome.NO_CONNECTION)
    other.client_left()
    assert world.engine(0).health.level == 0.0
    world.advance(600)
    assert len(query.attempts) == 1  # not before the trial interval has passed
    world.advance(SECOND)
    assert len(query.attempts) == 2
    world.gateway.update_engines([entry(0, started_at=world.now - 50)], False)
    world.advance(SECOND)
    assert world.engine(0).health.level > 0.4  # a new process does not inherit the old one's faults
    assert world.engine(0).slow_start.ramp_share(world.now) < 0.5


@pytest.mark.parametrize(("share", "most"), [(1.0, 0.06), (0.8, 0.1)])
def test_an_engine_that_fails_fast_and_reports_no_load_is_avoided(share, most):
    world, sent = GatewayHarness(engines=8, gateways=150), 0
    for count in range(600):
        world.advance(2000)
        query = world.submit(time_limit=10 * SECOND)
        bad = query.attempts[0].engine.entry.index == 0
        sent += 1 if bad else 0
        report = LoadReport(running=0.0 if bad else 20.0)
        outcome = Outcome.FAILED if bad and count % 10 < share * 10 else Outcome.COMPLETED
        query.attempt_ended(0, AttemptResult(outcome, 50 if bad else 1500, load_report=report), True)
    assert sent <= most * 600


def test_a_spill_report_raises_the_next_grant():
    world = GatewayHarness(engines=1)
    query = world.submit(memory=1000.0)
    query.attempt_progressed(0, ProgressKind.SPILL, 3000.0)
    world.end_attempt(query, Outcome.COMPLETED, memory=0.0)
    world.submit(memory=1000.0)
    first, second = (call[1] for call in world.calls_of("grant_memory"))
    assert second > first


@pytest.mark.parametrize(("heeded", "cost", "priority"), [(True, 1000, 2), (True, 9000, 1), (False, 1000, 1)])
def test_light_queries_get_a_higher_priority_where_engines_take_priorities(heeded, cost, priority):
    world = GatewayHarness(capabilities={"sends_priorities": heeded})
    world.submit(cost=cost)
    assert world.calls_of("grant_memory")[0][2] == priority


@pytest.mark.parametrize("weight", [0.0, 0.5, 1.0, 4.0])
def test_engine_weights_count_in_the_draw_and_in_the_slice(weight):
    world = GatewayHarness(2)
    world.gateway.update_engines([entry(0, weight=weight), entry(1)], True)
    for _ in range(400):
        world.end_attempt(world.submit(), Outcome.COMPLETED)
        world.now += 100
    to = [engine for _, engine, _ in world.calls_of("send_attempt")]
    low, high = {0.0: (0, 0), 0.5: (90, 180), 1.0: (150, 250), 4.0: (280, 360)}[weight]
    assert low <= to.count(0) <= high and len(to) == 400
    # Filled with queries that stay, no more of it is taken than our slice.
    full = GatewayHarness(2)
    full.gateway.update_engines([entry(0, weight=weight), entry(1, weight=0.0)], True)
    for _ in range(60):
        full.submit(memory=2000.0)
    held = full.engine(0).reservations.granted
    assert held <= max(32000.0 * min(1.0, weight), 3000.0) and (weight == 0.0) == (held == 0.0)
    assert full.engine(1).reservations.granted == 0.0


def test_a_weight_of_0_is_no_drain_and_its_end_sends_no_burst_to_an_engine_that_warms_up():
    world = GatewayHarness(1)
    query = world.submit()
    world.gateway.update_engines([entry(0, weight=0.0)], False)
    waiting = [world.submit() for _ in range(5)]
    assert (
        [b.is_held for b in waiting] == [True] * 5
        and not world.calls_of("reject")
        and not world.calls_of("fail")
    )
    world.end_attempt(query, Outcome.COMPLETED)  # what it runs goes on to its end
    assert not any(b.attempts for b in waiting)
    world.gateway.update_engines([entry(0, weight=10.0, started_at=world.now)], False)
    for _ in range(400):
        world.submit(cost=20_000)
    spent = world.engine(0).slow_start.sent_work(world.now)
    assert (
        0.0
        < spent
        <= SLOW_START.overload_multiple * 16 * SLOW_START.overload_window * SLOW_START.initial_share
    )


def test_the_order_by_constraints_follows_the_engine_list():
    world = GatewayHarness(0, zones=(1,))
    other = random.Random(3)
    there = {}
    for step in range(300):
        name = other.randrange(40)
        state = other.choice([EngineState.UP, EngineState.UP, EngineState.DRAINING, EngineState.GONE])
        there[name] = entry(
            name,
            state=state,
            zone=other.randrange(3),
            cell=other.randrange(2),
            weight=other.choice([0.0, 0.5, 1.0, 2.0]),
        )
        world.gateway.update_engines([there[name]], False)
        for bounds in (
            ANYWHERE,
            PlacementConstraints((1,), None, None),
            PlacementConstraints((0, 2), None, 1),
        ):
            kept = {e.entry.index for e in world.gateway._engines.candidates(world.now, bounds)}
            up = {n for n, e in there.items() if e.state is EngineState.UP and e.weight and bounds.allow(e)}
            assert kept <= up and (len(kept) == len(up) or len(kept) >= 8), step
        memory = sum(32000.0 * min(1.0, e.weight) for e in there.values() if e.state is EngineState.UP)
        assert abs(world.gateway._engines.pool.memory - 1.0 - memory) < 1e-3


def test_capacity_left_to_proxies_is_not_filled_twice():
    world = GatewayHarness(2)
    whole = [c.capacity_share for c in world.gateway.engine_statuses()]
    assert whole == [1.0, 1.0] and all(c.warmed_up and c.usable for c in world.gateway.engine_statuses())
    for part, most in ((0.0, 12), (0.5, 6), (0.9, 2)):
        world = GatewayHarness(2)
        world.gateway.set_proxy_share(part)
        for _ in range(40):
            world.submit(memory=BUSY / 2)
        held = sum(e.reservations.granted for e in world.engines())
        assert held <= 64000.0 * (1.0 - part) + 2 * BUSY and (part or held > 40000.0)
        assert len(world.calls_of("send_attempt")) <= most
        assert [c.capacity_share for c in world.gateway.engine_statuses()] == whole  # for both together


def test_the_slow_start_budget_is_shared_with_proxies():
    sent = []
    for part in (0.0, 0.5):
        world = GatewayHarness(0)
        world.gateway.set_proxy_share(part)
        world.gateway.update_engines([entry(0, started_at=world.now)], True)
        for _ in range(400):
            world.submit(cost=20_000)
        sent.append(world.engine(0).slow_start.sent_work(world.now))
        (warming_up,) = world.gateway.engine_statuses()
        assert not warming_up.warmed_up and warming_up.ramp_share == pytest.approx(0.3)
    assert 0.0 < sent[1] <= sent[0] / 2 + 20_000


def test_proxy_load_counts_as_held_by_others():
    world = GatewayHarness(2)

    def go(count):
        for _ in range(count):
            query = world.submit()
            result = AttemptResult(Outcome.COMPLETED, 1500, 1000, 400.0, LoadReport(cores_busy=0.05))
            query.attempt_ended(0, result, True)
            world.now += 10
        return [engine for _, engine, _ in world.calls_of("send_attempt")[-count:]]

    go(200)
    world.gateway.update_proxy_load(0, 40.0, 0.0, 0.0)
    to = go(200)
    assert to.count(0) < 20 and to.count(1) > 180  # taken by proxies, as they reported
    world.now += 20 * SECOND  # a report that old says nothing
    assert go(200).count(0) > 60
    ejected = GatewayHarness(4)
    for _ in range(5):
        ejected.gateway.update_proxy_load(2, 0.0, 40.0, 40.0)  # all that they send there fails
        ejected.advance(SECOND)
    assert [c.entry.index for c in ejected.gateway.engine_statuses() if not c.usable] == [2]
    ejected.gateway.update_proxy_load(99, 1.0, 1.0, 1.0)  # not listed: nothing
    assert ejected.gateway.shed_share(0) == 0.0 and ejected.gateway.typical_grant(0) >= 0.0


@pytest.mark.parametrize(("outcome", "again"), [(Outcome.REJECTED, 1), (Outcome.NOT_SENT, 2)])
def test_an_engine_that_rejects_takes_none_past_our_slice_for_a_while(outcome, again):
    """Seen with 32 gateways under settings of our own: full engines were tried again at once by every one."""
    world = GatewayHarness(engines=1, gateways=200, latency_objective=8 * SECOND)
    query = world.submit(memory=10.0)
    world.end_attempt(query, outcome)
    world.advance(SECOND)
    assert len(query.attempts) == again
    world.advance(2 * SECOND)
    assert len(query.attempts) == 2


def test_the_digest_of_a_release_covers_every_module_that_decides():
    modules = {f"policy/{path.name}" for path in (ROOT / "vanerelay" / "policy").glob("*.py")}
    assert set(POLICY) == {"estimation.py"} | modules - {"policy/__init__.py"}
