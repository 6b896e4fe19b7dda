"""The machine of stages: what is to be done next, and what was recorded. Pure: told the time and who is
heard.

Everything that happened is an event; the machine is what its events make of it, so that a controller that was
killed anywhere goes on from its record. An event is recorded before the deed that it names. A manager that
was ordered counts as changed, whether or not the order arrived."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from vanerelay.interface import SECOND, Duration
from vanerelay.rollout.canary_analysis import Assessment, Verdict

AGAIN, AGAIN_RESTART = 2 * SECOND, 8 * SECOND  # between orders of the same to one manager
MAJORITY = 2  # more than one part in so many must be heard, or nothing is moved


@dataclass(frozen=True, slots=True)
class Stage:
    """Up to which managers the change goes: `managers` by number, `part` of all, or all of `domain`."""

    name: str
    managers: int = 0
    part: float = 0.0
    domain: str = ""


@dataclass(frozen=True, slots=True)
class Away:
    """How many managers may be away at once: `most` in all, `domain` in one failure domain; and only as long
    as the rest carry what comes: `carry` is the most that they may be busy."""

    most: int = 1
    domain: int = 1
    carry: float = 0.85


class Worse(Enum):
    """What follows when a stage does worse, or can't be judged in time."""

    BACK = "back"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class Plan:
    """`managers`: name and failure domain, in the order of changing. `strict`: the releases differ in
    something that the fleet shares, so all take the stricter of both first. `restarts`: changing restarts
    the process; then `control` old managers are restarted as freshly in the first stage, to compare with.
    `longest`: of a stage; `away_for`: how long a manager may take over a change, or be unheard, before the
    stage is held."""

    name: str
    managers: tuple[tuple[str, str], ...]
    stages: tuple[Stage, ...]
    away: Away = Away()
    worse: Worse = Worse.BACK
    unclear: Worse = Worse.HOLD
    strict: bool = False
    restarts: bool = False
    control: int = 0
    longest: Duration = 600 * SECOND
    away_for: Duration = 60 * SECOND


# What a manager is to run.
OLD, OLD_STRICT, NEW_STRICT, NEW = "old", "old strict", "new strict", "new"
IS_NEW = frozenset({NEW, NEW_STRICT})


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the record. `what`: begun, ordered, confirmed, failed, control, stage, judged, paused,
    resumed, back, held, ended, note."""

    what: str
    at: int
    manager: str = ""
    fence: int = 0  # of an order, with its number under it
    number: int = 0
    to: str = ""
    stage: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Heard:
    """A manager as it was heard last. `runs`: which of the four it runs (some may be the same), none:
    something else; `serving`: it takes batches; `busy`: part of its own core in use; `heeded`: fence and
    number of the last order that it heeded."""

    runs: frozenset[str]
    serving: bool
    busy: float = 0.0
    heeded: tuple[int, int] = (0, 0)


class Action(Enum):
    ORDER = "order"  # this manager to run that
    CONTROL = "control"  # this old manager to restart as it is
    STAGE = "stage"  # the next one begins
    JUDGE = "judge"  # ask the judge for its verdict; `why`: what stands against passing
    UNCLEAR = "unclear"  # it can't be told, and nothing is gained by waiting longer
    WAIT = "wait"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Step:
    do: Action
    manager: str = ""
    to: str = ""
    why: str = ""


class StageMachine:
    """One rolling change. `apply` takes an event, whether it is new or read back; `next` says what to do."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.domains = dict(plan.managers)
        self.wants = dict.fromkeys(self.domains, OLD)  # what each was ordered last
        self.confirmed = dict.fromkeys(self.domains, True)
        self.ordered_at = dict[str, int]()  # last
        self.since = dict[str, int]()  # when what it is to run now was ordered first
        self.orders = dict[str, tuple[int, int]]()  # fence and number of each manager's last
        self.controls = dict[str, bool]()  # restarted to compare with: whether it is back
        self.ever = set[str]()  # managers that the change has reached
        self.stage, self.stage_at = -1, 0  # -1: before the first
        self.passed = -1
        self.paused = self.going_back = self.held = False
        self.ended, self.why = "", ""
        self.count = 0  # of events: what orders are numbered by

    # The record.

    def resume(self, now: int) -> None:
        """Read back by another process: moments of the clock before can't be compared with those of now, so
        what is waited for is waited for anew."""
        self.since = dict.fromkeys(self.since, now)
        self.ordered_at = {name: min(at, now) for name, at in self.ordered_at.items()}
        self.stage_at = now

    def apply(self, event: Event) -> None:
        self.count += 1
        if event.what == "ordered":
            if self.confirmed[event.manager] or self.wants[event.manager] != event.to:
                self.since[event.manager] = event.at
            self.wants[event.manager], self.confirmed[event.manager] = event.to, False
            self.ordered_at[event.manager] = event.at
            self.orders[event.manager] = event.fence, event.number
            if event.to in IS_NEW:
                self.ever.add(event.manager)
        elif event.what == "confirmed":
            if event.manager in self.controls:
                self.controls[event.manager] = True
            self.confirmed[event.manager] = True
        elif event.what == "control":
            self.controls[event.manager] = False
            self.orders[event.manager] = event.fence, event.number
            self.ordered_at[event.manager] = event.at
        elif event.what == "stage":
            self.stage, self.stage_at = event.stage, event.at
        elif event.what == "judged" and event.to == Assessment.FINE.value:
            self.passed = event.stage
        elif event.what in ("paused", "resumed"):
            self.paused = event.what == "paused"
            if event.what == "resumed":
                self.held, self.stage_at, self.why = False, event.at, ""
        elif event.what == "held":
            self.held, self.why = True, event.why
        elif event.what == "back":
            self.going_back, self.held, self.paused, self.why = True, False, False, event.why
        elif event.what == "ended":
            self.ended = event.to
            self.why = event.why or self.why

    @staticmethod
    def replayed(plan: Plan, events: Iterable[Event]) -> StageMachine:
        course = StageMachine(plan)
        for event in events:
            course.apply(event)
        return course

    # What is to be.

    @property
    def new(self) -> list[str]:
        """Managers that run the new release, or may."""
        return [name for name in self.domains if self.wants[name] in IS_NEW]

    def aimed(self, stage: int) -> list[str]:
        """The managers that a stage and those before it may have changed, in order."""
        names, found = list(self.domains), dict[str, None]()
        for one in self.plan.stages[: stage + 1]:
            if one.domain:
                found |= dict.fromkeys(name for name in names if self.domains[name] == one.domain)
            number = max(one.managers, int(one.part * len(names) + 1e-9))
            for name in self._spread(names):
                if len(found) >= number:
                    break
                found[name] = None
        return list(found)

    def _spread(self, names: list[str]) -> list[str]:
        """In turn from each failure domain, so that the first few are not all in one."""
        by = dict[str, list[str]]()
        for name in names:
            by.setdefault(self.domains[name], []).append(name)
        rows = list(by.values())
        return [
            row[place] for place in range(max(map(len, rows), default=0)) for row in rows if place < len(row)
        ]

    def sure(self, name: str, heard: Heard) -> bool:
        """Whether no earlier order can count any more at the manager. That it runs what it was ordered is not
        enough: it may have run that before, and an order that lies in a socket would still be heeded."""
        return heard.heeded >= self.orders.get(name, (0, 0))

    def target(self, name: str) -> str:
        """What a manager is to run as things stand."""
        plan = self.plan
        if self.going_back:
            return (
                OLD_STRICT
                if plan.strict
                and any(
                    self.wants[one] in IS_NEW or not self.confirmed[one]
                    for one in self.domains
                    if one != name and one in self.ever
                )
                else OLD
            )
        last = len(plan.stages) - 1
        if self.passed >= last and self.stage >= last:
            return NEW
        if self.stage >= 0 and name in self.aimed(self.stage):
            return NEW_STRICT if plan.strict else NEW
        return OLD_STRICT if plan.strict else OLD

    def fresh(self) -> list[str]:
        """Old managers to compare with: while controls are there, these alone."""
        old = [name for name in self.domains if self.wants[name] not in IS_NEW]
        return [name for name in old if name in self.controls] or old

    # What to do.

    def next(self, now: int, heard: Mapping[str, Heard]) -> Step:
        """The one thing to do now. `heard`: managers heard within the last seconds; whoever is missing
        counts as neither good nor bad."""
        if self.ended:
            return Step(Action.ENDED, why=self.ended)
        if len(heard) * MAJORITY <= len(self.domains):
            return Step(
                Action.WAIT, why=f"{len(heard)} of {len(self.domains)} managers heard: nothing is moved"
            )
        wrong = self._mend(now, heard)
        if wrong is not None:
            return wrong
        if self.going_back:
            return self._back(heard)
        if self.paused or self.held:
            return Step(Action.WAIT, why="paused" if self.paused else f"held: {self.why}")
        return self._forward(now, heard)

    def _mend(self, now: int, heard: Mapping[str, Heard]) -> Step | None:
        """One that runs something else than it was ordered last is ordered again: the order was lost, or it
        came back with another release. Never wider than the plan, as what it was ordered counts already."""
        again = AGAIN_RESTART if self.plan.restarts else AGAIN
        for name, one in heard.items():
            wanted = self.wants.get(name)
            if wanted is None or self.going_back and wanted in IS_NEW:
                continue
            if wanted in one.runs and (self.confirmed[name] or self.sure(name, one)):
                continue
            if now - self.ordered_at.get(name, -again) >= again:
                return Step(Action.ORDER, name, wanted, f"runs {min(one.runs, default='another release')}")
        return None

    def _forward(self, now: int, heard: Mapping[str, Heard]) -> Step:
        plan = self.plan
        waiting = [name for name in self.domains if not self.confirmed[name]]
        overdue = [name for name in waiting if now - self.since[name] > plan.away_for]
        if overdue:
            return Step(
                Action.UNCLEAR,
                why=f"{overdue[0]} did not take the change within {plan.away_for / SECOND:.0f} s",
            )
        behind = [name for name in self.domains if self.wants[name] != self.target(name)]
        if behind:
            return self._order_one(behind, heard)
        if waiting:
            return Step(Action.WAIT, why=f"waiting for {', '.join(waiting)}")
        unheard = [name for name in self.domains if name not in heard]
        last = len(plan.stages) - 1
        if self.passed >= last and self.stage >= last:
            return Step(Action.ENDED, to="done")
        if self.stage > self.passed:
            if len(self.controls) < plan.control and plan.restarts and self.stage == 0:
                return self._control(heard)
            coming = [name for name, back in self.controls.items() if not back]
            if coming:
                return Step(Action.WAIT, why=f"waiting for {', '.join(coming)}, restarted to compare with")
            if unheard:
                return Step(Action.JUDGE, why=f"{', '.join(unheard)} not heard: neither good nor bad")
            return Step(Action.JUDGE)
        if unheard:
            return Step(Action.WAIT, why=f"{', '.join(unheard)} not heard: no further stage")
        return Step(Action.STAGE)

    def _back(self, heard: Mapping[str, Heard]) -> Step:
        """Without evidence, and without waiting for those that can't be heard: they are owed."""
        behind = [name for name in self.domains if self.wants[name] != self.target(name) and name in heard]
        if behind:
            return self._order_one(behind, heard, back=True)
        waiting = [name for name in self.domains if not self.confirmed[name] and name in heard]
        if waiting:
            return Step(Action.WAIT, why=f"waiting for {', '.join(waiting)}")
        owed = self.owed()
        if owed:
            return Step(Action.WAIT, why=f"back, but for {', '.join(owed)}: not heard")
        return Step(Action.ENDED, to="back")

    def owed(self) -> list[str]:
        """Managers that are still to be brought back."""
        return [
            name for name in self.domains if self.wants[name] != self.target(name) or not self.confirmed[name]
        ]

    def _order_one(self, behind: list[str], heard: Mapping[str, Heard], back: bool = False) -> Step:
        """The first that may be away now. Where nothing restarts nobody is away, but for the order's own
        time."""
        away = {
            name
            for name in self.domains
            if not self.confirmed[name] or name not in heard or not heard[name].serving
        } | {name for name, there in self.controls.items() if not there}
        by = Counter(self.domains[name] for name in away)
        limits = self.plan.away
        for name in behind:
            if name not in heard:
                continue
            if name in away:
                # Away as it is: changing it costs nothing more.
                return Step(Action.ORDER, name, self.target(name))
            if len(away) >= limits.most or by[self.domains[name]] >= limits.domain:
                break
            if self.plan.restarts and not back and not self._carried(heard, len(away) + 1):
                return Step(Action.WAIT, why=f"the others are too busy to do without {name}")
            return Step(Action.ORDER, name, self.target(name))
        return Step(
            Action.WAIT,
            why=f"{len(away)} away ({', '.join(sorted(away))}): no more at once"
            if away
            else f"{behind[0]} not heard",
        )

    def _carried(self, heard: Mapping[str, Heard], away: int) -> bool:
        serving = [one.busy for one in heard.values() if one.serving]
        left = len(self.domains) - away
        return left > 0 and sum(serving) / left <= self.plan.away.carry

    def _control(self, heard: Mapping[str, Heard]) -> Step:
        old = [
            name
            for name in reversed(list(self.domains))
            if self.wants[name] not in IS_NEW and name not in self.controls and name in heard
        ]
        coming = [name for name, back in self.controls.items() if not back]
        if coming or not old:
            return Step(Action.WAIT, why="waiting for controls")
        if not self._carried(heard, 1):
            return Step(Action.WAIT, why="the others are too busy for a control restart")
        return Step(Action.CONTROL, old[0], OLD)

    # What comes of a verdict.

    def judged(self, now: int, verdict: Verdict, unheard: str = "") -> Event | None:
        """The event that follows; None: keep looking. `unheard`: why nothing can be told for now."""
        if verdict.word is Assessment.WORSE:
            why = "; ".join(verdict.why)
            return Event("back" if self.plan.worse is Worse.BACK else "held", now, why=why, stage=self.stage)
        if verdict.word is Assessment.FINE and not unheard:
            return Event("judged", now, to=Assessment.FINE.value, stage=self.stage)
        if now - self.stage_at > self.plan.longest:
            return self.unclear(now, unheard or "too little evidence: " + "; ".join(verdict.why))
        return None

    def unclear(self, now: int, why: str) -> Event:
        """What follows where nothing can be told."""
        return Event("back" if self.plan.unclear is Worse.BACK else "held", now, why=why, stage=self.stage)

    def failed(self, now: int, manager: str, why: str) -> Event:
        """What follows when a manager tried the change and could not take it."""
        what = "back" if self.plan.worse is Worse.BACK else "held"
        return Event(what, now, manager, why=f"{manager}: {why}", stage=self.stage)
