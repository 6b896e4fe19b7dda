"""What proxies are handed, and one stream's protocol: tables, and every order of a small model."""

from __future__ import annotations

import dataclasses

import pytest

from tests.helpers import CAPABILITIES, SERVICE_CLASS, entry
from vanerelay.interface import SECOND, DeduplicationScope, EngineStatus, Idempotency, RetryBudgetTerms
from vanerelay.xds import resources
from vanerelay.xds.assignment import (
    AssignmentTerms,
    DrainingEngine,
    EndpointHealth,
    GatewayState,
    ProxyShareConfig,
    RetryPolicy,
    assign,
)
from vanerelay.xds.load_reports import REPORT_LIFETIME, Completions, LoadAggregator, LoadReport
from vanerelay.xds.proxy_count import DISCONNECT_GRACE, STARTUP_GRACE, ExpectedProxies, ProxyCount
from vanerelay.xds.subscription import ResourceType, Subscription, update_order
from vanerelay.xds.update_throttle import UpdateThrottle

NOW = 1000 * SECOND


ENTRY_FIELDS = ("zone", "machine_kind", "weight", "state", "started_at")


def engine(index, **fields):
    entry_fields = {name: fields.pop(name) for name in list(fields) if name in ENTRY_FIELDS}
    return dataclasses.replace(
        EngineStatus(entry(index, **entry_fields), 1.0, True, True, True, 1.0, 1.0, 32000.0, 16), **fields
    )


def assigned(
    engines,
    proxies=1,
    zone=None,
    share=0.5,
    draining=(),
    demand=None,
    shed=(0.0,),
    grants=(0.0,),
    retry_budget=None,
    capabilities=None,
    **service_class,
):
    terms = AssignmentTerms(
        (dataclasses.replace(SERVICE_CLASS, **service_class),),
        dataclasses.replace(CAPABILITIES, **(capabilities or {})),
        retry_budget or RetryBudgetTerms(0, 0, 0.0),
        3.0,
        ProxyShareConfig(share),
    )
    addresses = {one.entry.index: f"127.0.0.1:{one.entry.index + 1}" for one in engines}
    state = GatewayState(engines, addresses, proxies, demand or [1.0], shed, grants, draining)
    found = assign(terms, state, zone)
    return found[0] if found else None


def test_endpoints_weights_and_health():
    result = assigned(
        [
            engine(0),
            engine(1, health=0.5),
            engine(2, health=0.1, usable=False),
            engine(3, weight=0.0),
            engine(4, weight=3.0),
            engine(5, cores=4),
        ],
        draining=[DrainingEngine("e9", "127.0.0.1:99", 0, 0)],
    )
    (locality,) = result.warm
    assert [(e.name, e.health, e.weight) for e in locality.endpoints] == [
        ("e0", EndpointHealth.HEALTHY, 1600),
        ("e1", EndpointHealth.HEALTHY, 800),
        ("e2", EndpointHealth.UNHEALTHY, 160),
        ("e3", EndpointHealth.UNHEALTHY, 1),
        ("e4", EndpointHealth.HEALTHY, 4800),
        ("e5", EndpointHealth.HEALTHY, 400),
        ("e9", EndpointHealth.DRAINING, 1),
    ]
    assert locality.weight == 1600 + 800 + 4800 + 400


@pytest.mark.parametrize(
    ("zone", "engine_zones", "expected"),
    [
        (1, (0, 1, 2), [(1, 0), (0, 1), (2, 1)]),
        (None, (0, 1), [(0, 0), (1, 0)]),
        (7, (0, 1), [(0, 0), (1, 0)]),
        (0, (0, 0), [(0, 0)]),
    ],
)
def test_the_own_zone_first_and_the_rest_together(zone, engine_zones, expected):
    engines = [engine(index, zone=own) for index, own in enumerate(engine_zones)]
    result = assigned(engines, zone=zone)
    assert [(one.zone, one.priority) for one in result.warm] == expected


def test_a_zone_without_healthy_engines_has_no_priority():
    result = assigned([engine(0, zone=1, usable=False, health=0.0), engine(1)], zone=1)
    assert [(one.zone, one.priority) for one in result.warm] == [(0, 0), (1, 0)]


def test_placement_holds_at_proxies():
    engines = [engine(0, zone=0), engine(1, zone=1), engine(2, zone=1, machine_kind=1)]
    result = assigned(
        engines, zones=(1,), machine_kinds=(0,), draining=[DrainingEngine("x", "127.0.0.1:9", 0, 0)]
    )
    assert [e.name for p in result.warm for e in p.endpoints] == ["e1"]
    assert assigned(engines, ordered=True) is None  # a proxy keeps no order of keys


@pytest.mark.parametrize(
    ("proxies", "grant", "share", "threads", "max_queries"),
    [
        (1, 0.0, 0.5, 1, 44),
        (2, 0.0, 0.5, 1, 22),
        (1, 0.0, 0.25, 1, 22),
        (1, 0.0, 0.5, 4, 11),
        (1, 2000.0, 0.5, 1, 16),
        (1000, 0.0, 0.5, 1, 1),
    ],
)
def test_limits_hold_all_proxies_to_what_is_handed(proxies, grant, share, threads, max_queries):
    two = [engine(0), engine(1)]  # 16 cores of 2.8 threads, 32,000 MB each
    assert assigned(two, proxies, share=share, grants=(grant,), threads=threads).max_queries == max_queries
    with_unhealthy = [two[0], engine(1, usable=False)]
    assert assigned(
        with_unhealthy, proxies, share=share, grants=(grant,), threads=threads
    ).max_queries == max(1, max_queries // 2)


@pytest.mark.parametrize(
    ("idempotency", "scope", "retry", "deadline"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, RetryPolicy.AFTER_ANY_FAILURE, 10 * SECOND),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, RetryPolicy.ONLY_IF_NEVER_RAN, 10 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, RetryPolicy.AFTER_ANY_FAILURE, 5 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.CELL, RetryPolicy.ONLY_IF_NEVER_RAN, 10 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, RetryPolicy.ONLY_IF_NEVER_RAN, 10 * SECOND),
    ],
)
def test_retries_keep_rule_2_and_the_window(idempotency, scope, retry, deadline):
    result = assigned([engine(0)], idempotency=idempotency, deduplication_scope=scope)
    assert (result.retry, result.deadline, result.max_attempts) == (retry, deadline, 3)
    routes = resources.build_resources((result,), "v", "", ["here"])[ResourceType.ROUTES]["vanerelay"].encoded
    assert (b"gateway-error" in routes) == (
        retry is RetryPolicy.AFTER_ANY_FAILURE
    ) and b"refused-stream" in routes
    once = assigned(
        [engine(0)], idempotency=idempotency, deduplication_scope=scope, capabilities={"max_attempts": 1}
    )
    assert (
        b"refused-stream"
        not in resources.build_resources((once,), "v", "", ["here"])[ResourceType.ROUTES]["vanerelay"].encoded
    )


def test_the_retry_budget_is_divided_among_proxies():
    result = assigned([engine(0)], proxies=4, retry_budget=RetryBudgetTerms(10 * SECOND, 20, 0.1))
    # of 20, half handed on, over four
    assert result.retry_percent == pytest.approx(8.0) and result.min_retries == 2


@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("proxies", [1, 10, 200])
def test_rule_4_over_all_gateways_and_proxies_in_virtual_time(gateways, proxies):
    """Engines in slow start; proxies send as much as they may to one of them; queries of every length."""
    cores, multiple, window = 16, 3.0, 2 * SECOND
    for age in range(0, 100_000, 5_000):
        share = 0.3 + 0.7 * age / 100_000
        for length in (100, 2_000, 20_000):
            work = 0.0
            for _ in range(gateways):
                cold = [
                    engine(n, warmed_up=False, ramp_share=share, capacity_share=1.0 / gateways)
                    for n in range(2)
                ]
                result = assigned([*cold, engine(9)], proxies)
                assert result.max_slow_start_queries * proxies <= multiple * cores * share / gateways
                # Each bound is over all engines in slow start, and so holds on each: all run at once, one
                # after the other, and the last begun in the window are counted as a whole.
                work += proxies * result.max_slow_start_queries * (window + min(length, window))
                assert not result.slow_start or result.max_slow_start_queries >= 1
                assert (result.slow_start_weight > 0) == (result.max_slow_start_queries >= 1)
            assert work <= multiple * cores * window * share


def test_slow_start_limits_rise_with_the_ramp_and_fall_when_a_proxy_joins():
    at = [
        assigned([engine(0, warmed_up=False, ramp_share=s), engine(1)]).max_slow_start_queries
        for s in (0.3, 0.6, 1.0)
    ]
    assert at == sorted(at) and at[0] < at[2] and at[0] > 0
    with_others = [
        assigned([engine(0, warmed_up=False, ramp_share=1.0), engine(1)], p).max_slow_start_queries
        for p in (1, 2, 4, 100)
    ]
    assert with_others == sorted(with_others, reverse=True) and with_others[-1] == 0
    assert not assigned(
        [engine(0, warmed_up=False, used_during_slow_start=False), engine(1)]
    ).slow_start  # ramped by other gateways


def test_small_changes_wait_and_urgent_ones_never_do():
    throttle, config = UpdateThrottle(ProxyShareConfig()), ProxyShareConfig()
    one = (assigned([engine(0), engine(1)]),)
    assert throttle.offer(NOW, one) and not throttle.offer(NOW, one)
    slower = (assigned([engine(0, health=0.7), engine(1)]),)
    assert (
        not throttle.offer(NOW + 1, slower)
        and throttle.next_update_at(slower) == NOW + config.update_interval
    )
    little = (assigned([engine(0, health=0.98), engine(1)]),)
    assert not throttle.offer(NOW + 60 * SECOND, little) and throttle.next_update_at(little) is None
    assert throttle.offer(NOW + config.update_interval, slower)
    for urgent in (
        [engine(0)],
        [engine(0, health=0.1, usable=False), engine(1)],
        [engine(0, weight=0.0), engine(1)],
    ):
        again = UpdateThrottle(ProxyShareConfig())
        again.offer(NOW, one)
        assert again.offer(NOW + 1, (assigned(urgent),))
    joined = UpdateThrottle(ProxyShareConfig())
    joined.offer(NOW, one)
    assert joined.offer(NOW + 1, (assigned([engine(0), engine(1)], proxies=2),))  # limits that fall
    shed = UpdateThrottle(ProxyShareConfig())
    shed.offer(NOW, one)
    assert shed.offer(NOW + 1, (assigned([engine(0), engine(1)], shed=(0.5,)),))


def test_proxies_count_while_disconnected_and_before_they_reconnect():
    proxies = ProxyCount(NOW, ExpectedProxies(200))
    proxies.stream_opened("a")
    proxies.stream_opened("a")
    proxies.stream_opened("b")
    assert proxies.count(NOW) == 200 and proxies.count(NOW + STARTUP_GRACE) == 2
    proxies.stream_closed(NOW + STARTUP_GRACE, "a")
    proxies.stream_closed(NOW + STARTUP_GRACE, "b")
    assert (
        proxies.count(NOW + STARTUP_GRACE + DISCONNECT_GRACE - 1) == 2
        and proxies.count(NOW + STARTUP_GRACE + DISCONNECT_GRACE) == 1
    )


def test_load_reports_of_proxies():
    loads = LoadAggregator(["look", "load"])
    weights = {("look", "east"): {"x:1": 300, "y:1": 100}, ("load/cold", "east"): {"y:1": 5}}
    completions = loads.report(
        NOW,
        "p",
        [
            LoadReport("look", "east", "", 8, 40, 4, 50),
            LoadReport("load/cold", "east", "y:1", 3, 1, 1, 2),
            LoadReport("look", "west", "", 9, 9, 9, 9),
            LoadReport("look", "east", "z:1", 9, 9, 9, 9),
            LoadReport("nobody", "east", "x:1", 9, 9, 9, 9),
        ],
        weights,
        [1.0, 100.0],
    )
    assert completions == {"x:1": Completions(30.0, 3.0), "y:1": Completions(11.0, 2.0)}
    loads.report(NOW + 1, "q", [LoadReport("look", "east", "x:1", 2, 0, 0, 0)], weights, [1.0, 100.0])
    assert loads.running(NOW + 1) == {"x:1": 8.0, "y:1": 5.0}
    assert (
        loads.running(NOW + REPORT_LIFETIME) == {"x:1": 2.0}
        and loads.running(NOW + 2 * REPORT_LIFETIME) == {}
    )
    assert loads.demand()[1] > loads.demand()[0] and sum(loads.demand()) == pytest.approx(1.0)


# One stream's protocol.

C, E = ResourceType.CLUSTER, ResourceType.ENDPOINTS


def next_update(subscription, available):
    version = resources.combined_version(subscription.select(available))
    return subscription.next_update(available, version)


def test_the_state_of_the_world():
    subscription = Subscription(C, False)
    assert next_update(subscription, {"a": "1"}) is None  # no request has come
    subscription.request_received("", [], "", None)
    update = next_update(subscription, {"a": "1", "b": "1"})
    assert dict(update.resources) == {"a": "1", "b": "1"}
    subscription.update_sent("n1", update)
    assert next_update(subscription, {"a": "1", "b": "1"}) is None and subscription.is_behind(
        {"a": "1", "b": "1"}
    )
    subscription.request_received(update.version, [], "n1", None)
    assert subscription.acknowledged_version == update.version and not subscription.is_behind(
        {"a": "1", "b": "1"}
    )
    update = next_update(subscription, {"b": "2"})
    assert dict(update.resources) == {"b": "2"} and update.removed == ("a",)
    subscription.update_sent("n2", update)
    nack = subscription.request_received(subscription.acknowledged_version, [], "n2", "no")
    assert (
        nack.reason == "no" and next_update(subscription, {"b": "2"}) is None
    )  # no loop: the same is not sent again
    assert dict(next_update(subscription, {"b": "3"}).resources) == {"b": "3"}


def test_named_resources_that_come_later_and_ones_no_longer_wanted():
    subscription = Subscription(E, False)
    subscription.request_received("", ["a", "b"], "", None)
    assert next_update(subscription, {"c": "1"}) is None
    update = next_update(subscription, {"a": "1", "c": "1"})
    assert dict(update.resources) == {"a": "1"}
    subscription.update_sent("n1", update)
    subscription.request_received(update.version, ["a", "b", "c"], "n1", None)
    assert dict(next_update(subscription, {"a": "1", "c": "1"}).resources) == {"c": "1"}
    subscription.request_received(update.version, ["c"], "n1", None)
    assert subscription.names == {"c"} and "a" not in subscription.sent


@pytest.mark.parametrize("same", [True, False])
def test_a_proxy_that_reconnects_gets_what_it_misses_and_nothing_else(same):
    available = {"a": "1", "b": "1"}
    now = available if same else {"a": "2", "b": "1"}
    world = Subscription(E, False)
    world.request_received(resources.combined_version(available), ["a", "b"], "", None)
    update = next_update(world, now)
    assert (update is None) == same and (same or dict(update.resources) == now)
    delta = Subscription(E, True)
    delta.delta_request_received(["a", "b"], [], available, "", None)
    update = next_update(delta, now)
    assert (update is None) == same and (same or dict(update.resources) == {"a": "2"})


def test_incremental_subscriptions():
    subscription = Subscription(C, True)
    subscription.delta_request_received(["*"], [], {"gone": "1"}, "", None)
    update = next_update(subscription, {"a": "1"})
    assert dict(update.resources) == {"a": "1"} and update.removed == ("gone",)
    subscription.update_sent("n1", update)
    nack = subscription.delta_request_received([], [], {}, "n1", "bad")
    assert nack.reason == "bad" and next_update(subscription, {"a": "1"}) is None
    subscription.delta_request_received(["x"], [], {}, "", None)
    update = next_update(subscription, {"a": "1"})
    assert update.removed == ("x",) and not update.resources  # subscribed to, and not there
    subscription.update_sent("n2", update)
    subscription.delta_request_received([], ["*"], {}, "", None)
    assert dict(next_update(subscription, {"a": "2", "x": "1"}).resources) == {"x": "1"}


def test_clusters_are_removed_last():
    types = {kind: Subscription(kind, False) for kind in ResourceType}
    available = {kind: {"a": "1"} for kind in ResourceType}
    assert update_order(types, available) == [C, E, ResourceType.LISTENER, ResourceType.ROUTES]
    types[C].sent = {"a": "1", "old": "1"}
    assert update_order(types, available) == [E, ResourceType.LISTENER, ResourceType.ROUTES, C]


class Model:
    """A proxy and one stream: what is under way each way, what the proxy holds."""

    STATES = ({"a": "up"}, {"a": "drained"}, {"a": "up2", "b": "up"})

    def __init__(self, incremental):
        self.incremental, self.now, self.holds, self.serial = incremental, 0, {}, 0
        self.open()

    def open(self):
        self.subscription = Subscription(E, self.incremental)
        self.down, self.up = [], []
        if self.incremental:
            self.up.append(("first", dict(self.holds)))
        else:
            self.up.append(("first", resources.combined_version(self.holds) if self.holds else ""))

    def pump(self):
        update = next_update(self.subscription, self.STATES[self.now])
        if update is not None:
            self.serial += 1
            self.subscription.update_sent(str(self.serial), update)
            self.down.append((str(self.serial), update))

    def step(self, move):
        """Makes a move; False where there is nothing to make it with."""
        if move == "change":
            self.now = min(self.now + 1, 2)
        elif move == "lose":
            self.open()
        elif move in ("ack", "nack"):
            if not self.down:
                return False
            self.answer(move == "ack")
        elif move == "hear":
            if not self.up:
                return False
            self.hear()
        self.pump()
        return True

    def answer(self, accepts):
        nonce, update = self.down.pop(0)
        if accepts:
            self.holds.update(update.resources)
            for name in update.removed:
                self.holds.pop(name, None)
        self.up.append((nonce, None if accepts else "no"))

    def hear(self):
        nonce, content = self.up.pop(0)
        first = nonce == "first"
        if self.incremental and first:
            self.subscription.delta_request_received(["a", "b"], [], content, "", None)
        elif self.incremental:
            self.subscription.delta_request_received([], [], {}, nonce, content)
        elif first:
            self.subscription.request_received(content, ["a", "b"], "", None)
        else:
            version = self.subscription.acknowledged_version
            self.subscription.request_received(version, ["a", "b"], nonce, content)


def run_moves(incremental, path):
    """The model after these moves; None where one of them cannot be made."""
    model = Model(incremental)
    return model if all(model.step(move) for move in path) else None


def assert_converges(model, path):
    rejected = dict(model.subscription.rejected)
    for _ in range(40):
        if not (model.step("hear") or model.step("ack")):
            break
    assert not model.up and not model.down, path
    available = model.STATES[model.now]
    rejected.update(model.subscription.rejected)
    for name, version in available.items():
        assert model.holds.get(name) == version or rejected.get(name) == version, (path, model.holds)
    assert not model.subscription.is_behind(available) or rejected, path


@pytest.mark.parametrize("incremental", [False, True])
def test_every_order_of_changes_answers_losses_and_reconnects(incremental):
    """Never stuck, never behind for ever, no drained endpoint held for good.

    From every state that seven moves reach, answers that go on arriving bring the proxy to what there is,
    unless it rejected just that.
    """
    moves, count = ("change", "lose", "ack", "nack", "hear"), 0

    frontier = [()]
    for _ in range(7):
        following = []
        for path in frontier:
            for move in moves:
                if run_moves(incremental, (*path, move)) is None or path.count("nack") + (move == "nack") > 1:
                    continue
                following.append((*path, move))
        frontier = following
        for path in frontier:
            count += 1
            assert_converges(run_moves(incremental, path), path)
    assert count > 1000


def test_a_drain_and_a_return_within_one_round_trip():
    """Nothing is acknowledged between them; the proxy ends with the return, whichever answer comes when."""
    up, drained = {"a": "up"}, {"a": "drained"}
    subscription = Subscription(E, False)
    subscription.request_received("", ["a"], "", None)
    for number, available in enumerate((up, drained, up)):
        update = next_update(subscription, available)
        assert dict(update.resources) == available
        subscription.update_sent(f"n{number}", update)
    assert next_update(subscription, up) is None and subscription.is_behind(up)
    for number in range(3):
        assert (
            subscription.request_received(subscription.acknowledged_version, ["a"], f"n{number}", None)
            is None
            and next_update(subscription, up) is None
        )
    assert not subscription.is_behind(up) and subscription.acknowledged_version == resources.combined_version(
        up
    )
