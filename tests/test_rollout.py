"""A change in stages: the judge against known differences, the machine of stages in all orders, what a
keeper does."""

from __future__ import annotations

import functools
import json
from collections import deque

import pytest
from twisted.internet import task
from twisted.internet.defer import succeed

from bench.rollout import Figures, Loss
from vanerelay import settings_validation
from vanerelay.interface import SECOND
from vanerelay.rollout import messages, plan_reader, settings_diff
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.canary_analysis import (
    AnalysisTerms,
    Assessment,
    CanaryAnalysis,
    GatewaySample,
    Guard,
    Verdict,
)
from vanerelay.rollout.change_log import ChangeLog, ChangeLogError
from vanerelay.rollout.controller import Controller
from vanerelay.rollout.fence import Fence, Order
from vanerelay.rollout.stage_machine import (
    IS_NEW,
    NEW,
    OLD,
    Action,
    Away,
    Event,
    Heard,
    Plan,
    Stage,
    StageMachine,
)
from vanerelay.rollout.supervisor_state import Patience, SupervisorState

SERVICES = {
    "classes": [{"name": "look", "aimUs": 2000000, "deadlineUs": 20000000, "semantics": "pure"}],
    "kinds": ["k"],
    "failureDomains": ["here"],
    "position": 0,
    "groupSize": 3,
    "familyInfo": {"memoryByKindMb": [1000.0], "cpuOfKind": [4]},
    "limits": {"maxAttempts": 3},
    "safety": {"fallMultiple": 4.0, "minExtra": 10},
}


def told(**parts):
    return {
        name: {**SERVICES[name], **value} if isinstance(value, dict) else value
        for name, value in {**SERVICES, **parts}.items()
    }


def managers_of(seed):
    return Figures(seed, 6, 30, groups={"look": 1.0})


def stage(seed, slices=300, before=60, watched=lambda n: {}, loss=Loss()):  # noqa: B008
    """How a stage over two of six managers ends, and after how many slices."""
    managers, judge = managers_of(seed), CanaryAnalysis({"look": Guard(0.01, 0.05)}, AnalysisTerms(settle=0))
    for number in range(before):
        judge.before(managers.second(**watched(number - before)))
    judge.began(0)
    new, old = managers.names[:2], managers.names[2:]
    for number in range(1, slices):
        judge.during(number * SECOND, managers.second(new, loss, **watched(number)), new, old)
        verdict = judge.verdict(number * SECOND, new)
        if verdict.word is not Assessment.WAIT:
            return verdict, number
    return verdict, slices


@pytest.mark.parametrize(
    "loss, within",
    [(Loss(late=0.2), 40), (Loss(late=0.08), 200), (Loss(errored=0.1), 60), (Loss(slower=3.0), 40)],
)
def test_a_loss_is_found_in_time(loss, within):
    for seed in range(5):
        verdict, after = stage(seed, loss=loss)
        assert verdict.word is Assessment.WORSE and after <= within, (seed, verdict, after)


@pytest.mark.parametrize(
    "watched",
    [
        lambda n: {},
        lambda n: {"burst": 3.0, "common": 0.3} if 10 <= n < 30 else {},
        lambda n: {"common": 0.15} if n > 5 else {},
    ],
    ids=["calm", "a burst", "a bad engine for all"],
)
def test_what_changes_nothing_passes_and_what_hits_both_sides_is_blamed_on_neither(watched):
    words = [stage(seed, watched=watched)[0].word for seed in range(20)]
    assert Assessment.WORSE not in words and words.count(Assessment.FINE) >= 16


def test_too_little_evidence_never_passes():
    judge = CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle=0))
    assert judge.verdict(0, ["m0"]).word is Assessment.WAIT
    managers = managers_of(1)
    for number in range(5):
        judge.during(number, managers.second(), managers.names[:2], managers.names[2:])
    verdict = judge.verdict(5, managers.names[:2])
    assert verdict.word is Assessment.WAIT and "of 8 blocks" in verdict.why[0]


@pytest.mark.parametrize(
    "loss, other, word, says",
    [
        (Loss(), {"deaths": 1}, Assessment.WORSE, "ended by themselves"),
        (Loss(), {"memory": 0.9}, Assessment.WORSE, "memory"),
        (Loss(late=0.3), {"away": 3}, Assessment.WAIT, "reach"),
    ],
)
def test_processes_and_links(loss, other, word, says):
    managers, judge = managers_of(2), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle=2))
    new, old = managers.names[:2], managers.names[2:]
    judge.before(managers.second())
    judge.began(0)
    judge.during(1, managers.second(), new, old)
    for number in range(3, 40):
        judge.during(number, managers.second(new, loss, **other), new, old)
    verdict = judge.verdict(40, new)
    assert verdict.word is word and any(says in why for why in verdict.why), verdict


def test_one_that_does_well_by_crowding_the_others_is_found():
    managers, judge = managers_of(4), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle=0))
    for _ in range(40):
        judge.before({name: GatewaySample(one.counts, held=0.1) for name, one in managers.second().items()})
    judge.began(0)
    new, old = managers.names[:2], managers.names[2:]
    for number in range(1, 60):
        seen = {
            name: GatewaySample(one.counts, held=0.4 if name in new else 0.1)
            for name, one in managers.second(old, Loss(late=0.15)).items()
        }
        judge.during(number, seen, new, old)
    verdict = judge.verdict(60, new)
    assert verdict.word is Assessment.WORSE and "of the engines" in verdict.why[-1], verdict


def test_a_baseline_outlives_its_controller():
    managers, one, other = (
        managers_of(1),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
    )
    for _ in range(40):
        one.before(managers.second())
    other.restore(one.told())
    assert other.told().times == one.told().times
    assert (
        [row[4:] for row in other.told().beside]
        == [pytest.approx(row[4:]) for row in one.told().beside]
        != []
    )


@pytest.mark.parametrize(
    "old, new, path, value",
    [
        ({"safety": {"fallMultiple": 4.0}}, {"safety": {"fallMultiple": 6.0}}, "safety.fallMultiple", 4.0),
        ({"safety": {"ratioSpanUs": 5}}, {"safety": {"ratioSpanUs": 9}}, "safety.ratioSpanUs", 9),
        ({"safety": {"minExtra": 10}}, {"safety": {"minExtra": 2}}, "safety.minExtra", 2),
        ({"groupSize": 3}, {"groupSize": 5}, "groupSize", 5),
        ({}, {"limits": {"maxAttempts": 2}}, "limits.maxAttempts", 2),
    ],
)
def test_while_releases_differ_the_stricter_value_holds(old, new, path, value):
    old, new = told(**old), told(**new)
    for base, other in ((old, new), (new, old)):
        found = settings_diff.stricter(base, other)
        for part in path.split("."):
            found = found[part]
        assert found == value
    assert [one.path for one in settings_diff.differ(old, new)] in ([path], [])


@pytest.mark.parametrize(
    "change, says",
    [
        ({"position": 3}, "position: 3"),
        ({"familyInfo": {"cpuOfKind": [0]}}, "familyInfo.cpuOfKind[0]: 0"),
        ({"familyInfo": {"memoryByKindMb": []}}, "familyInfo.memoryByKindMb: []"),
    ],
)
def test_checks_find_what_a_stage_must_not(change, says):
    assert (
        settings_validation.find_error(SERVICES) is None and settings_validation.find_doubt(SERVICES) is None
    )
    assert says in (settings_validation.find_doubt(told(**change)) or "")


def test_fences():
    fence = Fence()
    assert fence.refuses(Order(1, "a")) is None and fence.learn("3/a")
    assert fence.refuses(Order(3, "a")) is None and fence.refuses(Order(4, "b")) is None
    assert "expected 3" in fence.refuses(Order(2, "a")) and "held for a" in fence.refuses(Order(3, "b"))
    assert fence.refuses(Order(9, "a"), replaced=True) and fence.refuses(Order(9, "a"), joined=False)
    assert not fence.learn("2/z") and not fence.learn("x") and fence.told == "3/a"


def test_what_is_kept_of_orders_outlives_a_restart_but_not_a_new_configuration(tmp_path):
    store = AgentStore(str(tmp_path / "m1"))
    store.at_start("digest")
    assert store.keep("7/a") is None and store.ordered({"x": 1}) is None
    again = AgentStore(str(tmp_path / "m1"))
    assert Fence(again.fence()).highest == 7
    assert again.at_start("digest") == {"x": 1} and again.at_start("another") is None
    (tmp_path / "full").write_text("")
    assert "full" in AgentStore(str(tmp_path / "full" / "m1")).keep("7/a")


PLAN = Plan(
    "p",
    tuple((f"m{n}", "ab"[n % 2]) for n in range(4)),
    (Stage("one", managers=1), Stage("all", part=1.0)),
    Away(2, 1),
    longest=100 * SECOND,
    away_for=20 * SECOND,
)


def heard(course, down=(), **runs):
    return {
        name: Heard(frozenset({runs.get(name, course.wants[name])}), True)
        for name in course.domains
        if name not in down
    }


def drive(course, verdicts, down=lambda now: (), until=400):
    """Runs a course against managers that do as they are ordered; how it ended and the events."""
    events = []
    for now in range(0, until * SECOND, SECOND):
        there = heard(course, down(now // SECOND))
        for name in there:
            if not course.confirmed[name]:
                events.append(Event("confirmed", now, name))
                course.apply(events[-1])
        step, event = course.next(now, there), None
        if step.do is Action.ORDER:
            event = Event("ordered", now, step.manager, to=step.to)
        elif step.do is Action.STAGE:
            event = Event("stage", now, stage=course.stage + 1)
        elif step.do is Action.UNCLEAR:
            event = course.unclear(now, step.why)
        elif step.do is Action.JUDGE:
            event = course.judged(now, verdicts(course), step.why)
        elif step.do is Action.ENDED:
            event = Event("ended", now, to=step.to)
        if event is not None:
            events.append(event)
            course.apply(event)
        if course.ended:
            break
    return events


def verdict(word):
    return lambda course: Verdict(word, ("why",))


def test_a_good_change_goes_through_all_stages():
    course = StageMachine(PLAN)
    events = drive(course, verdict(Assessment.FINE))
    assert course.ended == "done" and set(course.wants.values()) == {NEW}
    assert [e.what for e in events].count("judged") == 2
    assert StageMachine.replayed(PLAN, events).wants == course.wants


def test_a_worse_one_goes_back_and_does_not_wait_for_the_unreachable():
    course = StageMachine(PLAN)
    events = drive(course, verdict(Assessment.WORSE), lambda now: ("m3",) if now > 1 else ())
    assert course.ended == "back" and course.ever == {"m0"} and set(course.wants.values()) == {OLD}
    assert next(e for e in events if e.what == "back").why == "why"


def test_without_evidence_it_holds_and_one_that_is_not_heard_stops_the_next_stage():
    course = StageMachine(PLAN)
    drive(course, verdict(Assessment.WAIT), until=150)
    assert course.held and len(course.ever) == 1
    course = StageMachine(PLAN)
    drive(course, verdict(Assessment.FINE), lambda now: ("m3",) if now > 1 else (), until=60)
    assert len(course.ever) == 1 and not course.ended


def test_less_than_half_heard_moves_nothing():
    course = StageMachine(PLAN)
    assert course.next(0, heard(course, ("m0", "m1"))).do is Action.WAIT


def test_one_back_with_another_release_is_brought_to_its_own():
    course = StageMachine(PLAN)
    step = course.next(0, heard(course, m2="last week's"))
    assert (step.do, step.manager, step.to) == (Action.ORDER, "m2", OLD)


@functools.cache
def replayed(plan_, events):
    return StageMachine.replayed(plan_, events)


def explore(plan_, fenced=True, recorded_first=True):
    """All orders of what can happen to two controllers, one after the other, to their orders, and to
    managers: how many states, and what went wrong. An order arrives late or never; a controller dies between
    record and deed; the first one's last order is sent when it wakes up long after."""
    names = [name for name, _ in plan_.managers]
    first = ((), tuple((OLD, 1, 0) for _ in names), (), 1)  # events, managers, flying orders, fence
    queue, seen, wrong = deque([first]), {first}, set()

    def push(*state):
        if state not in seen:
            seen.add(state)
            queue.append(state)

    def heeds(manager, order):
        return not fenced or order[2:] > manager[1:]

    while queue and not wrong:
        events, managers, flying, fence = queue.popleft()
        course = replayed(plan_, events)
        runs = {name: manager[0] for name, manager in zip(names, managers, strict=True)}
        coming = {
            order[0] for order in flying if order[1] == NEW and heeds(managers[names.index(order[0])], order)
        }
        changed = {name for name in names if runs[name] == NEW} | coming
        allowed = len(course.aimed(course.stage)) if course.stage >= 0 else 0
        if len(changed) > allowed and not course.going_back:
            wrong.add("more changed than the plan allows")
        if course.stage > course.passed + 1:
            wrong.add("a stage without a judgement")
        if course.ended and set(runs.values()) != {NEW if course.ended == "done" else OLD}:
            wrong.add("another release somewhere after the end")
        for place, order in enumerate(flying):
            rest = flying[:place] + flying[place + 1 :]
            push(events, managers, rest, fence)
            row = names.index(order[0])
            if heeds(managers[row], order):
                after = (
                    *managers[:row],
                    (order[1], *max(order[2:], managers[row][1:])),
                    *managers[row + 1 :],
                )
                push(events, after, rest, fence)
        if course.ended or len(events) > 9:
            continue
        if course.stage >= 0 and not course.going_back:  # an operator's word
            push((*events, Event("back", len(events) * 3 * SECOND)), managers, flying, fence)
        if fence < 2:  # it dies or sleeps, and another goes on from the record
            last = (names[-1], NEW, 1, 99)
            push(events, tuple((one[0], 2, 0) for one in managers), (*flying, last), 2)
        there = {
            name: Heard(frozenset({one[0]}), True, heeded=one[1:])
            for name, one in zip(names, managers, strict=True)
        }
        now, number = len(events) * 3 * SECOND, len(events) + 1
        for name in names:
            wanted = runs[name] == course.wants[name]
            if not course.confirmed[name] and wanted and course.sure(name, there[name]):
                push((*events, Event("confirmed", now, name)), managers, flying, fence)
        step = course.next(now, there)
        if step.do is Action.ORDER and len(flying) < 2:
            event, order = (
                Event("ordered", now, step.manager, fence, number, step.to),
                (step.manager, step.to, fence, number),
            )
            push((*events, event), managers, (*flying, order), fence)
            if recorded_first:
                push((*events, event), managers, flying, fence)
            else:
                push(events, managers, (*flying, order), fence)
        elif step.do is Action.STAGE:
            push((*events, Event("stage", now, stage=course.stage + 1)), managers, flying, fence)
        elif step.do is Action.JUDGE:
            fine = Event("judged", now, to=Assessment.FINE.value, stage=course.stage)
            push((*events, fine), managers, flying, fence)
        elif step.do is Action.ENDED:
            push((*events, Event("ended", now, to=step.to)), managers, flying, fence)
    return len(seen), wrong


SMALL = Plan("p", (("m0", "a"), ("m1", "b")), (Stage("one", managers=1), Stage("all", part=1.0)), Away(1, 1))


def test_all_orders_of_crashes_losses_and_late_orders():
    states, wrong = explore(SMALL)
    assert states > 500 and wrong == set()


def test_the_model_finds_what_is_broken_on_purpose():
    assert explore(SMALL, recorded_first=False)[1] and explore(SMALL, fenced=False)[1]


class Keeper:
    """The Hands of a Succession; `answers` of orders."""

    def __init__(self, first="old"):
        self.did, self.answers, self.now, self.children = [], [], 0, []
        self.line = SupervisorState(self, Patience(), frozenset({"old", "new"}), first)
        self.line.begin(0)

    def start(self, child):
        self.did.append(("start", child.release))
        self.children.append(child)

    def end(self, child):
        self.did.append(("end", child.release))

    def kill(self, child):
        self.did.append(("kill", child.release))

    def keep(self, release):
        self.did.append(("keep", release))

    def order(self, release="new"):
        self.line.order(self.now, release, self.answers.append)
        return self.children[-1]

    def dies(self, child, after=SECOND):
        self.now += after
        self.line.ended(self.now, child, "code 9")
        self.now += 6 * SECOND
        self.line.look(self.now)
        return self.children[-1]


def test_the_next_release_takes_over_once_it_is_ready():
    keeper = Keeper()
    keeper.line.ready(0, keeper.children[0])
    new = keeper.order()
    assert keeper.did == [("start", "old"), ("start", "new")] and keeper.answers == []
    keeper.line.ready(10, new)
    assert keeper.did[2:] == [("keep", "new"), ("end", "old")] and keeper.answers == [None]


@pytest.mark.parametrize("ends", [True, False], ids=["it ends", "it hangs"])
def test_one_that_does_not_become_ready_leaves_the_old_one_in_place(ends):
    keeper = Keeper()
    new = keeper.order()
    if ends:
        keeper.line.ended(SECOND, new, "code 2")
    else:
        keeper.line.look(60 * SECOND)
        assert keeper.did[-1] == ("kill", "new")
    assert len(keeper.answers) == 1 and keeper.line.serving.release == "old" and keeper.line.current == "old"


def test_a_single_end_is_chance_and_two_soon_after_bring_the_old_one_back():
    keeper = Keeper()
    keeper.line.ready(0, keeper.children[0])
    keeper.line.ready(0, keeper.order())
    again = keeper.dies(keeper.line.serving)
    assert again.release == "new"
    assert keeper.dies(again).release == "old" and keeper.did[-2:] == [("keep", "old"), ("start", "old")]
    keeper.order()
    assert "ended by itself" in keeper.answers[-1] and keeper.did[-1] == ("start", "old")
    keeper.line.forgive()
    assert keeper.order().release == "new"


def test_one_that_ended_long_after_is_started_again_as_it_is():
    keeper = Keeper()
    keeper.line.ready(0, keeper.order())
    for _ in range(4):
        assert keeper.dies(keeper.line.serving, 100 * SECOND).release == "new"


def test_a_record_is_whole_or_not_there(tmp_path):
    record = ChangeLog(str(tmp_path / "r"))
    record.begin("c", "plan", 3)
    for event in (Event("stage", 5), Event("ordered", 6, "m1", to=NEW)):
        record.add(event)
    record.say("pause")
    again = ChangeLog(str(tmp_path / "r"))
    assert (again.name, again.fence, [e.what for e in again.events()]) == ("c", 3, ["stage", "ordered"])
    assert again.said() == ["pause"] and again.said() == []
    (tmp_path / "bad").write_text("no database, but long enough to be taken for one" * 20)
    with pytest.raises(ChangeLogError, match="bad"):
        ChangeLog(str(tmp_path / "bad"))


class Full(ChangeLog):
    """A record whose disk is full for a while."""

    full = False

    def add(self, event):
        if self.full:
            raise ChangeLogError("record: disk is full")
        return super().add(event)


class FakeLinks:
    """Managers that take every order at once."""

    def __init__(self, names):
        self.orders, self.runs, self.heeded, self.fence = [], dict.fromkeys(names, OLD), {}, 0

    def call(self, address, kind, body, patience_s):
        name = address.split(":")[0]
        if kind == "state":
            return succeed(
                messages.encode(
                    messages.State(
                        name, "", self.runs[name], "serving", 7, self.fence, self.heeded.get(name, 0)
                    )
                )
            )
        order = messages.decode(body, messages.Order)
        self.fence = order.fence
        if order.what != "claim":
            self.orders.append(name)
            self.runs[name], self.heeded[name] = order.body.decode(), order.number
        return succeed(messages.encode(messages.Taken(order.fence)))

    def stop(self):
        pass


def test_what_cannot_be_recorded_is_not_done_and_goes_on_when_there_is_room(tmp_path):
    names = [name for name, _ in PLAN.managers]
    reactor, record, said = task.Clock(), Full(str(tmp_path / "r")), []
    runs = {NEW: NEW, OLD: OLD, "old strict": OLD, "new strict": NEW}
    loaded = plan_reader.Loaded(
        PLAN,
        AnalysisTerms(stages=2, settle=0),
        {},
        {name: plan_reader.Reached(name, f"{name}:1") for name in names},
        plan_reader.Change(),
        {name: text.encode() for name, text in runs.items()},
        runs,
        0,
        "",
        "",
    )
    record.begin("p", "", 0)
    controller = Controller(reactor, loaded, record, said.append)
    controller._links = links = FakeLinks(names)
    ended = controller.start(False)
    for second in range(20):
        record.full = second < 10
        reactor.advance(1)
        if second == 9:
            assert links.orders == [] and any("disk is full" in line for line in said)
    reactor.pump([1] * 30)
    assert ended.called and set(links.runs.values()) == {NEW}, said


TEXT = """change {
  before = "old.json"
  settings = "new.json"
}
member "m1" { address = "127.0.0.1:1" }
stage "all" { part = 1.0 }
"""


@pytest.mark.parametrize(
    "new, text, says",
    [
        (told(safety={"minExtra": 5}), TEXT, ""),
        (told(), TEXT, "the same as before"),
        (told(position=7), TEXT, "position"),
        (told(groupSize=9), TEXT, "groupSize: 9, expected 3 until a restart"),
        (told(safety={"minExtra": 5}), TEXT + 'stage "b" { part = 2.0 }\n', "expected 1 at most"),
        (told(safety={"minExtra": 5}), TEXT + 'guard "lok" { loss = 0.1 }\n', "expected one of look"),
        (
            told(safety={"minExtra": 5}),
            TEXT.replace("part = 1.0", ""),
            "expected one of managers, part, domain",
        ),
    ],
)
def test_plans_are_checked_before_anything_moves(tmp_path, new, text, says):
    (tmp_path / "old.json").write_text(json.dumps({"settings": SERVICES}))
    (tmp_path / "new.json").write_text(json.dumps(new))
    (tmp_path / "p.hcl").write_text(text)
    if not says:
        loaded = plan_reader.load(str(tmp_path / "p.hcl"))
        assert set(loaded.guards) == {"look"} and loaded.digests[NEW] != loaded.digests[OLD]
        assert IS_NEW <= loaded.digests.keys()
        return
    with pytest.raises(plan_reader.OperatorConfigError, match="line [0-9]+.*" + says):
        plan_reader.load(str(tmp_path / "p.hcl"))


@pytest.mark.parametrize("span", [-3600 * SECOND, 3600 * SECOND])
def test_a_controller_that_reads_its_record_back_waits_anew(span):
    """The moments on record are of another process's clock, which may have been stepped since."""
    course = StageMachine(PLAN)
    name = next(iter(course.domains))
    course.apply(Event("stage", 1000 * SECOND, stage=0))
    course.apply(Event("ordered", 1000 * SECOND, manager=name, to=NEW, fence=1, number=1))
    now = 1001 * SECOND + span
    course.resume(now)
    there = heard(course, down=(name,))
    assert course.next(now, there).do is not Action.UNCLEAR
    assert course.next(now + PLAN.away_for + 1, there).do is Action.UNCLEAR
