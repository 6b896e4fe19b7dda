"""What deployments of another shape ask of the module, and a switch of settings."""
from __future__ import annotations

import copy
import dataclasses
import json
import signal
import struct
from typing import Any

import pytest
from helpers import ALLOWED, COLD, GROUP, SERVICES, Engine, Feed, Node, World, entry, member, until

from vanerelay import checks
from vanerelay.decide import Gateway, Health, Peaks, Ration
from vanerelay.interface import (
    MILLISECOND, SECOND, Effect, EngineState, MachineKind, NoteKind, Outcome, RationTerms, Shortage,
)
from vanerelay.measure import scatter

NOTES = {"cancel": True, "notes_every": 500 * MILLISECOND}


@pytest.mark.parametrize(("share", "allowed", "late", "ended"), [
    (0.02, NOTES, 0.0, True),  # a bad plan: 25 times its run
    (0.4, NOTES, 0.0, False),  # an estimate that missed
    (0.02, {"cancel": False, "notes_every": 5000}, 0.0, False),
])
def test_a_dispatch_that_another_would_overtake_by_far_is_ended(share, allowed, late, ended):
    """Seen at vpis-ljubljana big-1: one report in ten ran 9 to 20 times as long, on four threads each."""
    world = World(allowed=allowed, late_utility=late)
    batch = world.take(cost=SECOND, limit=100 * SECOND)
    world.run(SECOND // 2)
    batch.noted(0, NoteKind.PROGRESS, share)
    assert bool(world.did("cancel")) is ended and not batch.over
    if ended:
        world.end(batch, Outcome.CANCELLED, lasted=5000)
        assert len(world.did("dispatch")) == 2 and not world.did("push_back")


def test_what_cannot_end_in_time_is_ended_and_answered_at_once():
    world = World(allowed=NOTES)
    batch = world.take(cost=SECOND, limit=5 * SECOND // 2)
    world.run(2 * SECOND)
    batch.noted(0, NoteKind.PROGRESS, 0.05)
    world.end(batch, Outcome.CANCELLED)
    assert batch.over and world.did("push_back") == [(1, SECOND)]


@pytest.mark.parametrize(("notes", "effect", "sends"), [
    (True, Effect.REPEATABLE, 2), (True, Effect.REFERENCED, 2), (False, Effect.REPEATABLE, 1)])
def test_a_dispatch_whose_notes_stop_is_ended_where_notes_have_come(notes, effect, sends):
    """Seen at vpis-ljubljana rough-2: a lost answer held its slice until the limit. Where no notes are told
    nothing comes of their absence."""
    world = World(allowed=NOTES, effect=effect, goal=8 * SECOND, window=30 * SECOND)
    for _ in range(2):
        batch = world.take(cost=SECOND, limit=20 * SECOND)
    if notes:
        batch.noted(0, NoteKind.PROGRESS, 0.3)
    world.run(13 * SECOND // 10)
    cancelled = {call[0] for call in world.did("cancel")}
    assert cancelled == ({1, 2} if notes else set())
    if notes:
        world.end(batch, Outcome.CANCELLED)
    assert len(batch.sends) == sends


@pytest.mark.parametrize(("pages", "grant", "holds"), [(False, 590.0, 590.0), (True, 750.0, 400.0)])
def test_a_grant_takes_what_is_used_where_engines_page(pages, grant, holds):
    peaks = Peaks(1, pages)
    for _ in range(40):
        peaks.learn(0, 0, 5, 1000.0, 400.0)
    size = peaks.size(1, 0, 5, 1000.0, 9e9)
    held = peaks.holds(1, 0, 5, 1000.0, size)
    assert size == pytest.approx(grant, rel=0.15) and held == pytest.approx(holds, rel=0.15)


@pytest.mark.parametrize(("slowdowns", "usual", "level"), [
    ([1.0] * 20, 0.0, 1.0), ([1.4] * 20, 0.0, 1.0), ([10.0] * 30, 0.0, 0.15), ([10.0] * 30, 2.3, 1.0),
    ([10.0] * 30 + [1.0] * 30, 0.0, 1.0)])
def test_an_engine_slower_than_the_rest_loses_level(slowdowns, usual, level):
    """Seen at vpis-ljubljana big-1: ageing engines held batches until they died."""
    health = Health()
    for slowdown in slowdowns:
        health.ran(slowdown, 1.0)
    for beat in range(40):
        health.look(beat * SECOND // 4, 0.0, usual)
    assert health.level == pytest.approx(level, abs=0.01)


def test_nothing_is_lent_on_an_engine_where_none_of_ours_has_run():
    engine = World(engines=1, gateways=50).gateway._engines[0]
    assert engine.ours(1000 * SECOND, 1.0, 0.02, 0.5) == pytest.approx(0.02)
    for _ in range(20):
        engine.health.ran(1.0, 1.0)
    assert engine.ours(1000 * SECOND, 1.0, 0.02, 0.5) == pytest.approx(0.5)
    for _ in range(20):
        engine.health.ran(4.0, 1.0)
    assert engine.ours(1000 * SECOND, 1.0, 0.02, 0.5) == pytest.approx(0.02)


@pytest.mark.parametrize(("running", "kept"), [(0, 8), (8, 8), (20, 20)])
def test_as_many_engines_are_kept_as_batches_run(running, kept):
    """Seen at vpis-ljubljana big-1: the gateway with 30% of the traffic kept to eight of 32 engines."""
    gateway = World(engines=32, gateways=44).gateway
    gateway.pool.running = running
    assert sum(1 for _ in gateway._kept(World().take().bound_to())) == kept


def test_batches_of_the_least_worth_leave_some_of_the_ration():
    ration = Ration(RationTerms(10 * SECOND, 4, 0.0))
    ration.ring.add(SECOND, 0, 2)
    assert (ration.allows(SECOND, True), ration.allows(SECOND, False)) == (False, True)


def test_loads_use_all_engines_where_nobody_waits_for_them():
    used = set()
    world = World(engines=4, is_load=True)
    for _ in range(40):
        batch = world.take(memory=10.0, cost=10, tables=7)
        used.add(batch.sends[0].engine.entry.name)
        world.end(batch, Outcome.RETURNED)
    assert len(used) == 4


def test_a_table_group_leans_to_the_same_engine_at_all_gateways():
    """Seen at both new deployments: batches took 0.88 of their told work where their tables were warm."""
    tables = next(t for t in range(1, 999) if max(scatter(f"e{i}", t) for i in range(6)) > 0.94 * 2**64
                  and sorted(scatter(f"e{i}", t) / 2**64 for i in range(6))[-2] < 0.7)
    top = max(range(6), key=lambda i: scatter(f"e{i}", tables))
    for number in range(3):
        world = World(engines=6, gateways=3, number=number)
        for count in range(400):
            world.end(world.take(memory=10.0, cost=10, tables=tables if count % 2 else 0), Outcome.RETURNED)
        to = [engine for _, engine, _ in world.did("dispatch")]
        assert to[1::2].count(top) > 90 and to[0::2].count(top) < 60


# The switch of settings, in the module.


def successor(world: World, pause: int = 0, memory: float = 32000.0, cold=COLD, **group: Any) -> Gateway:
    """The gateway that takes over in this world, under other settings."""
    world.group = dataclasses.replace(world.group, **group)
    gateway = Gateway(
        world, 7, [world.group, dataclasses.replace(GROUP, threads=4)], [MachineKind(16, memory)] * 2,
        world.gateway._place, dataclasses.replace(ALLOWED, shortage=Shortage.PAGE), cold,
        RationTerms(10 * SECOND, 2, 0.1), pause, 50)
    gateway.succeed(world.gateway)
    world.gateway = gateway
    return gateway


def test_what_was_taken_before_a_switch_ends_once_and_the_old_gateway_stops():
    world = World()
    old, batch = world.gateway, world.take()
    successor(world, goal=2 * SECOND)
    assert not old.done() and world.take().sends
    world.end(batch, Outcome.RETURNED)
    world.run(30 * SECOND)
    assert batch.over and old.done() and not world.did("push_back")[1:]


@pytest.mark.parametrize(("change", "kept"), [({"goal": 2 * SECOND}, True), ({"threads": 2}, False),
                                              ({"name": "other"}, False)])
def test_what_groups_need_is_kept_where_it_means_the_same(change, kept):
    world = World()
    for _ in range(60):
        world.end(world.take(memory=500.0), Outcome.RETURNED, memory=2000.0)
    successor(world, **change)
    world.take(memory=500.0)
    assert (world.did("grant")[-1][1] > 1500.0) is kept


def test_health_is_kept_over_a_switch_and_grants_there_count():
    world = World(engines=2)
    sick, sound = (world.gateway._engines[index] for index in (0, 1))
    sick.health.lost, sick.health.level = True, 0.0
    sound.ledger.change(500.0, 3, 1)
    gateway = successor(world)
    assert gateway._engines[0].health.level == 0.0 and gateway._engines[1].ledger.granted == 500.0
    other = successor(world, memory=16000.0)
    assert other._engines[0].health.level == 0.0 and other._engines[1].ledger.granted == 0.0
    assert gateway._slice == other._slice == 1.0 and other.pool.memory == pytest.approx(32000.0, rel=0.001)


@pytest.mark.parametrize("multiple", [3.0, 2.0])
def test_a_cold_engine_is_not_oversent_over_a_switch(multiple):
    """The old gateway still sends what it holds: both go by one budget."""
    world = World(engines=0)
    world.gateway.listed([entry(0, started=world.now)], True)
    old, sent = world.gateway, 0
    ramp = old._engines[0].ramp
    while ramp.allows(world.now, 5000):
        ramp.sent.add(world.now, 5000)
        sent += 5000
    new = successor(world, cold=dataclasses.replace(COLD, multiple=multiple))
    assert not new._engines[0].ramp.allows(world.now, 5000) and old._engines[0].ramp is new._engines[0].ramp
    assert new._engines[0].ramp.share(world.now) == pytest.approx(0.3)


def test_order_holds_over_a_switch():
    world = World(in_order=True, pause=SECOND)
    first = world.take(key=9)
    successor(world, pause=SECOND, goal=2 * SECOND)
    second = world.take(key=9)
    assert first.sends and not second.sends
    world.end(first, Outcome.RETURNED)
    assert second.sends and second.gateway is world.gateway


def test_placement_and_drains_hold_from_the_switch_on():
    world = World(engines=0)
    world.gateway.listed([entry(0, kind=0), entry(1, kind=1)], True)
    old = world.gateway
    gateway = successor(world, kinds=(1,))
    assert {world.take(memory=10.0).sends[0].engine.entry.name for _ in range(12)} == {"e1"}
    for each in (old, gateway):
        each.listed([entry(1, kind=1, state=EngineState.DRAINING)], False)
    assert not world.take().sends


# Settings that are wrong, and the switch on sockets.


def settings(path: str, value: Any) -> dict[str, Any]:
    """The settings of the tests with one of them changed, by its path."""
    told: Any = copy.deepcopy(SERVICES)
    at, (*parts, last) = told, path.split(".")
    for part in parts:
        at = at[int(part)] if part.isdigit() else at.setdefault(part, {})
    at[last] = value
    return told


@pytest.mark.parametrize(("path", "value", "words"), [
    ("classes", [], "classes: expected"), ("classes.0.semantics", "once", "classes[0].semantics: 'once'"),
    ("classes.0.aimUs", -1, "classes[0].aimUs: -1"), ("classes.0.aimUs", "2", "classes[0].aimUs: '2'"),
    ("classes.1.kindsOnly", [1], "classes[1].kindsOnly: 1, expected a place in kinds, 0 to 0"),
    ("classes.1.kindsOnly", ["k"], "classes[1].kindsOnly: 'k'"),
    ("classes.1.staysIn", 0, "classes[1].staysIn: 0"),
    ("classes.1.inTurn", "yes", "classes[1].inTurn: 'yes'"),
    ("classes.0.dedupScope", "rack", "classes[0].dedupScope"),
    ("familyInfo.memoryShort", "page", "familyInfo.memoryShort: 'page', expected one of queue, trim, swap"),
    ("familyInfo.progressUs", -5, "familyInfo.progressUs: -5"),
    ("familyInfo.parallelism", [0], "parallelism[0]: 0"),
    ("safety.fallMultiple", 0.5, "safety.fallMultiple: 0.5, expected a figure of 1 or more"),
    ("safety.orderPauseUs", -1, "safety.orderPauseUs: -1"),
    ("safety.extraRatio", True, "safety.extraRatio: True"),
    ("limits.maxAttempts", 0, "limits.maxAttempts: 0"), ("limits.retryAfter", 1, "limits.retryAfter: 1"),
    ("report.how", "pulled", "report.how: 'pulled'"), ("limits", [], None), ("safety", 3, "safety: 3"),
])
def test_wrong_settings_are_named_in_one_line(path, value, words):
    why = checks.wrong(settings(path, value))
    assert why is None if words is None else words in why and "\n" not in why


@pytest.mark.parametrize(("path", "value", "fixed"), [
    ("classes.0.aimUs", 1, False), ("familyInfo.memoryShort", "swap", False), ("kinds", ["k", "l"], True),
    ("limits.multiplex", 1, True), ("groupSize", 4, True), ("safety.fallMultiple", 2.0, False)])
def test_what_takes_a_restart_is_told_apart(path, value, fixed):
    assert (checks.fixed(SERVICES, settings(path, value)) is not None) is fixed


def test_settings_are_switched_on_sockets_and_wrong_ones_change_nothing(tmp_path):
    """The first seconds after the switch: what was taken before is answered once, new batches go by the new
    settings, and what the engines did before still counts."""
    held, feed = [], Feed()
    engine = Engine(lambda e, c, i: held.append((c, i)))
    node = Node(tmp_path, feed, member(engine))
    try:
        client = node.client()
        client.ask(1, "a1", "load")
        until(lambda: held, "the dispatch")
        told = json.loads(node.config.read_text())
        wrong = {**told, "settings": settings("safety.fallMultiple", 0.5)}
        node.config.write_text(json.dumps(wrong))
        node.process.send_signal(signal.SIGHUP)
        until(lambda: "safety.fallMultiple: 0.5" in node.log.read_text(), "the line of the log")
        client.ask(2, "a2", "look")
        until(lambda: len(held) == 2, "a batch under the settings of before")
        right = copy.deepcopy(SERVICES)
        right["classes"].append({**SERVICES["classes"][0], "name": "report", "kindsOnly": []})
        right["familyInfo"] = {**SERVICES["familyInfo"], "memoryShort": "swap", "parallelism": [1, 1, 2]}
        node.config.write_text(json.dumps({**told, "settings": right}))
        node.process.send_signal(signal.SIGHUP)
        until(lambda: "settings switched" in node.log.read_text(), "the switch")
        client.ask(3, "a3", "report")  # open to no kind: it is held, and goes to no engine
        client.ask(4, "a4", "look")
        until(lambda: len(held) == 3, "a batch under the new settings")
        for connection, ident in held:
            engine.returns(connection, ident)
        answers = sorted(client.answer()[:2] for _ in range(3))
        assert answers == [(1, 0), (2, 0), (4, 0)] and engine.served() == ["a1", "a2", "a4"]
        client.send(struct.pack(">IBI", 5, 8, 3))
        node.process.send_signal(signal.SIGTERM)
        assert node.process.wait(30) == 0 and node.log.read_text().count("not read again") == 1
    finally:
        node.process.kill()
        node.process.wait()
        engine.close()
        feed.server.shutdown()
        feed.server.server_close()
