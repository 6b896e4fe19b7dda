"""What proxies are handed, and one stream's protocol: tables, and every order of a small model."""

from __future__ import annotations

import dataclasses

import pytest

from tests.helpers import CAPABILITIES, SERVICE_CLASS, entry
from vanerelay.interface import SECOND, DeduplicationScope, EngineStatus, Idempotency, RetryBudgetTerms
from vanerelay.xds import resources
from vanerelay.xds.assignment import Handed, Health, Retry, Steady, Terms, plan
from vanerelay.xds.load_reports import HELD, Load, Loads
from vanerelay.xds.proxy_count import AWAY, RETURN, Census, Expected
from vanerelay.xds.streams import Told, Type, order

NOW = 1000 * SECOND


def condition(index, **told):
    of = {
        k: told.pop(k) for k in list(told) if k in ("zone", "machine_kind", "weight", "state", "started_at")
    }
    return dataclasses.replace(
        EngineStatus(entry(index, **of), 1.0, True, True, True, 1.0, 1.0, 32000.0, 16), **told
    )


def made(
    conditions,
    proxies=1,
    location=None,
    part=0.5,
    draining=(),
    demand=None,
    shed=(0.0,),
    peaks=(0.0,),
    ration=None,
    allowed=None,
    **group,
):
    terms = Terms(
        (dataclasses.replace(SERVICE_CLASS, **group),),
        dataclasses.replace(CAPABILITIES, **(allowed or {})),
        ration or RetryBudgetTerms(0, 0, 0.0),
        3.0,
    )
    addresses = {c.entry.index: f"127.0.0.1:{c.entry.index + 1}" for c in conditions}
    found = plan(
        terms, conditions, addresses, Handed(part), proxies, location, demand or [1.0], shed, peaks, draining
    )
    return found[0] if found else None


def test_endpoints_weights_and_health():
    group = made(
        [
            condition(0),
            condition(1, health=0.5),
            condition(2, health=0.1, usable=False),
            condition(3, weight=0.0),
            condition(4, weight=3.0),
            condition(5, cores=4),
        ],
        draining=[("e9", "127.0.0.1:99", 0, 0)],
    )
    (part,) = group.warm
    assert [(e.name, e.health, e.weight) for e in part.endpoints] == [
        ("e0", Health.HEALTHY, 1600),
        ("e1", Health.HEALTHY, 800),
        ("e2", Health.UNHEALTHY, 160),
        ("e3", Health.UNHEALTHY, 1),
        ("e4", Health.HEALTHY, 4800),
        ("e5", Health.HEALTHY, 400),
        ("e9", Health.DRAINING, 1),
    ]
    assert part.weight == 1600 + 800 + 4800 + 400


@pytest.mark.parametrize(
    ("location", "engines", "is_"),
    [
        (1, (0, 1, 2), [(1, 0), (0, 1), (2, 1)]),
        (None, (0, 1), [(0, 0), (1, 0)]),
        (7, (0, 1), [(0, 0), (1, 0)]),
        (0, (0, 0), [(0, 0)]),
    ],
)
def test_the_own_location_first_and_the_rest_together(location, engines, is_):
    group = made([condition(n, zone=place) for n, place in enumerate(engines)], location=location)
    assert [(p.location, p.priority) for p in group.warm] == is_


def test_a_location_with_nothing_of_use_is_no_priority():
    group = made([condition(0, zone=1, usable=False, health=0.0), condition(1)], location=1)
    assert [(p.location, p.priority) for p in group.warm] == [(0, 0), (1, 0)]


def test_placement_holds_at_proxies():
    conditions = [condition(0, zone=0), condition(1, zone=1), condition(2, zone=1, machine_kind=1)]
    group = made(conditions, zones=(1,), machine_kinds=(0,), draining=[("x", "127.0.0.1:9", 0, 0)])
    assert [e.name for p in group.warm for e in p.endpoints] == ["e1"]
    assert made(conditions, ordered=True) is None  # a proxy keeps no order of keys


@pytest.mark.parametrize(
    ("proxies", "peak", "part", "threads", "most"),
    [
        (1, 0.0, 0.5, 1, 44),
        (2, 0.0, 0.5, 1, 22),
        (1, 0.0, 0.25, 1, 22),
        (1, 0.0, 0.5, 4, 11),
        (1, 2000.0, 0.5, 1, 16),
        (1000, 0.0, 0.5, 1, 1),
    ],
)
def test_limits_hold_all_proxies_to_what_is_handed(proxies, peak, part, threads, most):
    two = [condition(0), condition(1)]  # 16 cores of 2.8 threads, 32,000 MB each
    assert made(two, proxies, part=part, peaks=(peak,), threads=threads).most == most
    sick = [two[0], condition(1, usable=False)]
    assert made(sick, proxies, part=part, peaks=(peak,), threads=threads).most == max(1, most // 2)


@pytest.mark.parametrize(
    ("effect", "scope", "retry", "limit"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, Retry.HARMLESS, 10 * SECOND),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, Retry.NEVER_RAN, 10 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ALL, Retry.HARMLESS, 5 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.CELL, Retry.NEVER_RAN, 10 * SECOND),
        (Idempotency.DEDUPLICATED, DeduplicationScope.ZONE, Retry.NEVER_RAN, 10 * SECOND),
    ],
)
def test_retries_keep_rule_2_and_the_window(effect, scope, retry, limit):
    group = made([condition(0)], idempotency=effect, deduplication_scope=scope)
    assert (group.retry, group.time_limit, group.dispatches) == (retry, limit, 3)
    routes = resources.resources((group,), "v", "", ["here"])[Type.ROUTES]["vanerelay"].encoded
    assert (b"gateway-error" in routes) == (retry is Retry.HARMLESS) and b"refused-stream" in routes
    once = made([condition(0)], idempotency=effect, deduplication_scope=scope, allowed={"max_attempts": 1})
    assert (
        b"refused-stream"
        not in resources.resources((once,), "v", "", ["here"])[Type.ROUTES]["vanerelay"].encoded
    )


def test_the_retry_budget_keeps_the_ration():
    group = made([condition(0)], proxies=4, ration=RetryBudgetTerms(10 * SECOND, 20, 0.1))
    # of 20, half handed on, over four
    assert group.retry_percent == pytest.approx(8.0) and group.retries == 2


@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("proxies", [1, 10, 200])
def test_rule_4_over_all_gateways_and_proxies_in_virtual_time(gateways, proxies):
    """Engines cold at once, proxies that send as much as they may to one of them, batches of every length."""
    cores, multiple, window = 16, 3.0, 2 * SECOND
    for age in range(0, 100_000, 5_000):
        share = 0.3 + 0.7 * age / 100_000
        for length in (100, 2_000, 20_000):
            work = 0.0
            for _ in range(gateways):
                cold = [
                    condition(n, warmed_up=False, ramp_share=share, capacity_share=1.0 / gateways)
                    for n in range(2)
                ]
                group = made([*cold, condition(9)], proxies)
                assert group.most_cold * proxies <= multiple * cores * share / gateways
                # Each bound is over all cold engines, and so holds on each: all run at once, one after the
                # other,
                # and the last begun in the window are counted as a whole.
                work += proxies * group.most_cold * (window + min(length, window))
                assert not group.cold or group.most_cold >= 1
                assert (group.cold_share > 0) == (group.most_cold >= 1)
            assert work <= multiple * cores * window * share


def test_a_cold_engine_s_limits_rise_with_its_ramp_and_fall_when_a_proxy_joins():
    at = [
        made([condition(0, warmed_up=False, ramp_share=s), condition(1)]).most_cold for s in (0.3, 0.6, 1.0)
    ]
    assert at == sorted(at) and at[0] < at[2] and at[0] > 0
    with_others = [
        made([condition(0, warmed_up=False, ramp_share=1.0), condition(1)], p).most_cold
        for p in (1, 2, 4, 100)
    ]
    assert with_others == sorted(with_others, reverse=True) and with_others[-1] == 0
    assert not made(
        [condition(0, warmed_up=False, ramped_here=False), condition(1)]
    ).cold  # warmed by other gateways


def test_small_changes_wait_and_what_must_not_never_does():
    steady, handed = Steady(Handed()), Handed()
    one = (made([condition(0), condition(1)]),)
    assert steady.take(NOW, one) and not steady.take(NOW, one)
    slower = (made([condition(0, health=0.7), condition(1)]),)
    assert not steady.take(NOW + 1, slower) and steady.due(slower) == NOW + handed.changes_every
    little = (made([condition(0, health=0.98), condition(1)]),)
    assert not steady.take(NOW + 60 * SECOND, little) and steady.due(little) is None
    assert steady.take(NOW + handed.changes_every, slower)
    for urgent in (
        [condition(0)],
        [condition(0, health=0.1, usable=False), condition(1)],
        [condition(0, weight=0.0), condition(1)],
    ):
        again = Steady(Handed())
        again.take(NOW, one)
        assert again.take(NOW + 1, (made(urgent),))
    joined = Steady(Handed())
    joined.take(NOW, one)
    assert joined.take(NOW + 1, (made([condition(0), condition(1)], proxies=2),))  # limits that fall
    shed = Steady(Handed())
    shed.take(NOW, one)
    assert shed.take(NOW + 1, (made([condition(0), condition(1)], shed=(0.5,)),))


def test_proxies_count_while_away_and_before_they_came_back():
    census = Census(NOW, Expected(200))
    census.joined("a")
    census.joined("a")
    census.joined("b")
    assert census.count(NOW) == 200 and census.count(NOW + RETURN) == 2
    census.left(NOW + RETURN, "a")
    census.left(NOW + RETURN, "b")
    assert census.count(NOW + RETURN + AWAY - 1) == 2 and census.count(NOW + RETURN + AWAY) == 1


def test_loads_of_proxies():
    loads = Loads(["look", "load"])
    weights = {("look", "east"): {"x:1": 300, "y:1": 100}, ("load/cold", "east"): {"y:1": 5}}
    ended = loads.report(
        NOW,
        "p",
        [
            Load("look", "east", "", 8, 40, 4, 50),
            Load("load/cold", "east", "y:1", 3, 1, 1, 2),
            Load("look", "west", "", 9, 9, 9, 9),
            Load("look", "east", "z:1", 9, 9, 9, 9),
            Load("nobody", "east", "x:1", 9, 9, 9, 9),
        ],
        weights,
        [1.0, 100.0],
    )
    assert ended == {"x:1": (30.0, 3.0), "y:1": (11.0, 2.0)}
    loads.report(NOW + 1, "q", [Load("look", "east", "x:1", 2, 0, 0, 0)], weights, [1.0, 100.0])
    assert loads.running(NOW + 1) == {"x:1": 8.0, "y:1": 5.0}
    assert loads.running(NOW + HELD) == {"x:1": 2.0} and loads.running(NOW + 2 * HELD) == {}
    assert loads.demand()[1] > loads.demand()[0] and sum(loads.demand()) == pytest.approx(1.0)


# One stream's protocol.

C, E = Type.CLUSTER, Type.ENDPOINTS


def due(told, there):
    return told.due(there, resources.version(told.wants(there)))


def test_the_state_of_the_world():
    told = Told(C, False)
    assert due(told, {"a": "1"}) is None  # nothing was asked for
    told.world("", [], "", None)
    send = due(told, {"a": "1", "b": "1"})
    assert dict(send.resources) == {"a": "1", "b": "1"}
    told.sent("n1", send)
    assert due(told, {"a": "1", "b": "1"}) is None and told.behind({"a": "1", "b": "1"})
    told.world(send.version, [], "n1", None)
    assert told.acked == send.version and not told.behind({"a": "1", "b": "1"})
    send = due(told, {"b": "2"})
    assert dict(send.resources) == {"b": "2"} and send.removed == ("a",)
    told.sent("n2", send)
    nack = told.world(told.acked, [], "n2", "no")
    assert nack.why == "no" and due(told, {"b": "2"}) is None  # no loop: the same is not sent again
    assert dict(due(told, {"b": "3"}).resources) == {"b": "3"}


def test_named_resources_that_come_later_and_ones_no_longer_wanted():
    told = Told(E, False)
    told.world("", ["a", "b"], "", None)
    assert due(told, {"c": "1"}) is None
    send = due(told, {"a": "1", "c": "1"})
    assert dict(send.resources) == {"a": "1"}
    told.sent("n1", send)
    told.world(send.version, ["a", "b", "c"], "n1", None)
    assert dict(due(told, {"a": "1", "c": "1"}).resources) == {"c": "1"}
    told.world(send.version, ["c"], "n1", None)
    assert told.names == {"c"} and "a" not in told.has


@pytest.mark.parametrize("same", [True, False])
def test_a_proxy_that_comes_back_gets_what_it_misses_and_nothing_else(same):
    there = {"a": "1", "b": "1"}
    now = there if same else {"a": "2", "b": "1"}
    world = Told(E, False)
    world.world(resources.version(there), ["a", "b"], "", None)
    send = due(world, now)
    assert (send is None) == same and (same or dict(send.resources) == now)
    delta = Told(E, True)
    delta.delta(["a", "b"], [], there, "", None)
    send = due(delta, now)
    assert (send is None) == same and (same or dict(send.resources) == {"a": "2"})


def test_incremental_subscriptions():
    told = Told(C, True)
    told.delta(["*"], [], {"gone": "1"}, "", None)
    send = due(told, {"a": "1"})
    assert dict(send.resources) == {"a": "1"} and send.removed == ("gone",)
    told.sent("n1", send)
    nack = told.delta([], [], {}, "n1", "bad")
    assert nack.why == "bad" and due(told, {"a": "1"}) is None
    told.delta(["x"], [], {}, "", None)
    send = due(told, {"a": "1"})
    assert send.removed == ("x",) and not send.resources  # asked for, and not there
    told.sent("n2", send)
    told.delta([], ["*"], {}, "", None)
    assert dict(due(told, {"a": "2", "x": "1"}).resources) == {"x": "1"}


def test_clusters_are_taken_away_last():
    types = {kind: Told(kind, False) for kind in Type}
    there = {kind: {"a": "1"} for kind in Type}
    assert order(types, there) == [C, E, Type.LISTENER, Type.ROUTES]
    types[C].has = {"a": "1", "old": "1"}
    assert order(types, there) == [E, Type.LISTENER, Type.ROUTES, C]


class Model:
    """A proxy and one stream: what is under way each way, what the proxy holds."""

    STATES = ({"a": "up"}, {"a": "drained"}, {"a": "up2", "b": "up"})

    def __init__(self, incremental):
        self.incremental, self.now, self.holds, self.serial = incremental, 0, {}, 0
        self.open()

    def open(self):
        self.told = Told(E, self.incremental)
        self.down, self.up = [], []
        if self.incremental:
            self.up.append(("first", dict(self.holds)))
        else:
            self.up.append(("first", resources.version(self.holds) if self.holds else ""))

    def pump(self):
        send = due(self.told, self.STATES[self.now])
        if send is not None:
            self.serial += 1
            self.told.sent(str(self.serial), send)
            self.down.append((str(self.serial), send))

    def step(self, move):
        if move == "change":
            self.now = min(self.now + 1, 2)
        elif move == "lose":
            self.open()
        elif move in ("ack", "nack"):
            if not self.down:
                return False
            nonce, send = self.down.pop(0)
            if move == "ack":
                self.holds.update(send.resources)
                for name in send.removed:
                    self.holds.pop(name, None)
            self.up.append((nonce, "no" if move == "nack" else None))
        elif move == "hear":
            if not self.up:
                return False
            nonce, what = self.up.pop(0)
            if nonce == "first":
                if self.incremental:
                    self.told.delta(["a", "b"], [], what, "", None)
                else:
                    self.told.world(what, ["a", "b"], "", None)
            elif self.incremental:
                self.told.delta([], [], {}, nonce, what)
            else:
                self.told.world(self.told.acked, ["a", "b"], nonce, what)
        self.pump()
        return True


@pytest.mark.parametrize("incremental", [False, True])
def test_every_order_of_changes_answers_losses_and_reconnects(incremental):
    """Never stuck, never behind for ever, no drained endpoint held for good: from every state that seven
    moves reach, answers that go on arriving bring the proxy to what there is, unless it refused just that."""
    moves, count = ("change", "lose", "ack", "nack", "hear"), 0

    def play(path):
        model = Model(incremental)
        for move in path:
            if not model.step(move):
                return None
        return model

    frontier = [()]
    for _ in range(7):
        following = []
        for path in frontier:
            for move in moves:
                if play((*path, move)) is None or path.count("nack") + (move == "nack") > 1:
                    continue
                following.append((*path, move))
        frontier = following
        for path in frontier:
            model, count = play(path), count + 1
            refused = dict(model.told.refused)
            for _ in range(40):
                if not (model.step("hear") or model.step("ack")):
                    break
            assert not model.up and not model.down, path
            there = model.STATES[model.now]
            refused.update(model.told.refused)
            for name, version in there.items():
                assert model.holds.get(name) == version or refused.get(name) == version, (path, model.holds)
            assert not model.told.behind(there) or refused, path
    assert count > 1000


def test_a_drain_and_a_return_within_one_round_trip():
    """Nothing is acknowledged between them; the proxy ends with the return, whichever answer comes when."""
    up, drained = {"a": "up"}, {"a": "drained"}
    told = Told(E, False)
    told.world("", ["a"], "", None)
    for number, there in enumerate((up, drained, up)):
        send = due(told, there)
        assert dict(send.resources) == there
        told.sent(f"n{number}", send)
    assert due(told, up) is None and told.behind(up)
    for number in range(3):
        assert told.world(told.acked, ["a"], f"n{number}", None) is None and due(told, up) is None
    assert not told.behind(up) and told.acked == resources.version(up)
