"""Drives one rolling change: asks managers, records, orders. What is to be done stands in `stages.py`, how a
stage does in `judge.py`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList, succeed

from vanerelay.clock import Clock
from vanerelay.fleet.rpc import RpcNode
from vanerelay.interface import SECOND
from vanerelay.rollout import messages
from vanerelay.rollout.canary_analysis import CanaryAnalysis, GatewaySample
from vanerelay.rollout.change_log import ChangeLog, ChangeLogError
from vanerelay.rollout.controller_lease import ControllerLease
from vanerelay.rollout.plan_reader import Loaded, Reached
from vanerelay.rollout.stage_machine import MAJORITY, Action, Event, Heard, StageMachine, Step

ASK_S = 6.0  # an answer may take that long: links may be slow
ORDER_S = 10.0
KEEPER_S = 60.0  # for the next program to become ready, or not
HEARD = 8 * SECOND  # for which a manager's last word counts

log = structlog.get_logger()


@dataclass(slots=True)
class Known:
    """What was heard of one manager."""

    state: messages.State | None = None
    at: int = 0
    before: messages.State | None = None  # the reading before, of the same process
    before_at: int = 0
    asking: bool = False
    deaths: int = 0
    restarts: int = 0  # that were ordered, and whose new process was not heard yet
    seen: GatewaySample | None = None  # since the last slice
    keeper: tuple[int, int] = (0, 0)  # fence and number of the last order that its keeper heeded


@dataclass(slots=True)
class Ending:
    """How it ended: done, back, fenced, unkept."""

    how: str
    why: str = ""
    reached: list[str] = field(default_factory=list)


class Controller:
    """`say` is told a line for people; `done` fires with an Ending."""

    def __init__(self, reactor: Any, loaded: Loaded, record: ChangeLog, say: Callable[[str], None]) -> None:
        self._reactor, self._loaded, self._record, self._say = reactor, loaded, record, say
        self._clock, self._links = Clock(), RpcNode(reactor)
        self.judge = CanaryAnalysis(loaded.guards, loaded.terms)
        self.course = StageMachine(loaded.plan)
        self._known = {name: Known() for name in loaded.managers}
        self._ordering = set[str]()
        self.done: Deferred[Ending] = Deferred()
        self._began = self._watched = 0
        self._said, self._claimed, self._stopped, self._busy = "", False, False, False
        self._acted = False  # whether orders were given under a fence by this process
        self._sole: ControllerLease | None = None
        if loaded.leases is not None:
            addresses = {name: one.address for name, one in loaded.managers.items()}
            self._sole = ControllerLease(
                reactor, self._links, loaded.plan.name, loaded.leases, addresses, self._lost
            )

    def start(self, resumed: bool) -> Deferred[Ending]:
        """From the record, if it holds a change that has not ended."""
        if resumed:
            self.course = StageMachine.replayed(self._loaded.plan, self._record.events())
            self.course.resume(self._clock.now())
            told = messages.decode(self._record.baseline(), self.judge.told().__class__)
            if told is not None:
                self.judge.restore(told)
            self.judge.began(self._clock.now())
        self._began = self._clock.now()
        if self._sole is not None:
            self._sole.start()
        self._turn()
        return self.done

    def _lost(self) -> None:
        """Another may drive a change from now on; ours waits until the lease is ours again."""
        if self._stopped:
            return
        self._claimed = False
        self._tell("the lease is lost: nothing is ordered until it is held again")

    # Taking it on: one controller at a time.

    def _claim(self) -> None:
        """A fence above all that is heard of, kept before it is used, and taken by more than half."""
        heard = [known.state for known in self._known.values() if known.state is not None]
        if len(heard) * MAJORITY <= len(self._known) or self._busy:
            self._tell(f"{len(heard)} of {len(self._known)} managers heard: waiting for more than half")
            return
        highest = max([self._record.fence, *(state.fence for state in heard)])
        fence = highest + 1
        if self._sole is not None:
            held = self._sole.fence()
            past = self._record.fence
            if self._acted and (highest > past or held is not None and held > past + 1):
                # What it has done since is not ours to undo: an operator may resume.
                self._end("fenced", f"another controller has held the lease after fence {past}")
                return
            if held is None or held < highest:
                self._tell("waiting for the lease: another controller may hold it")
                return
            fence = held  # its number is past those of all that held it before
        self._record.claim(fence)
        self._busy = True

        def ended(taken: int) -> None:
            self._busy = False
            self._claimed = taken * MAJORITY > len(self._known)
            self._acted = self._acted or self._claimed
            if self._claimed:
                self._tell(f"fence {fence} taken by {taken} of {len(self._known)} managers")

        self._affirm(ended)

    def _affirm(self, then: Callable[[int], None]) -> None:
        """Asks all whether our fence still counts; `then` gets how many say so."""
        order = messages.encode(messages.Order(self._record.fence, self._loaded.plan.name))

        def asked(results: list[tuple[bool, Any]]) -> None:
            if self._stopped:
                return
            answers = [messages.decode(body, messages.Taken) for good, body in results if good]
            higher = [one for one in answers if one is not None and one.fence > self._record.fence]
            if higher and self._claimed:
                self._end("fenced", higher[0].why)
                return
            then(sum(one is not None and one.taken for one in answers))

        managers = self._loaded.managers.values()
        for one in managers:
            if (
                one.keeper and self._loaded.plan.restarts
            ):  # told as well; it is no manager, and does not count
                self._links.call(one.keeper, "order", order, ASK_S).addErrback(lambda _: None)
        answers_of = [self._links.call(one.address, "order", order, ASK_S) for one in managers]
        DeferredList(answers_of, consumeErrors=True).addCallback(asked)

    # In turn.

    def _turn(self) -> None:
        if self._stopped:
            return
        self._reactor.callLater(self._loaded.terms.slice / SECOND, self._turn)
        for name, one in self._loaded.managers.items():
            if not self._known[name].asking:
                self._ask(name, one)
        try:
            self._words()
            if not self._claimed:
                self._claim()
                return
            self._figures()
            if not self._busy:
                self._confirm()
                self._go()
        except ChangeLogError as fault:
            # What can't be recorded is not done; what is, goes on as it is.
            self._tell(f"nothing is moved: {fault}")

    def _words(self) -> None:
        for word in self._record.said():
            now = self._clock.now()
            if word == "back" and not self.course.going_back:
                self._note(Event("back", now, why="ordered by an operator"))
            elif word in ("pause", "resume"):
                self._note(Event(f"{word}d", now))
                if word == "resume":
                    self.judge.began(now)

    def _ask(self, name: str, one: Reached) -> None:
        known = self._known[name]
        known.asking = True
        asked: Deferred[Any] = self._links.call(
            one.address, "state", messages.encode(messages.Asked()), ASK_S
        )
        asked.addCallbacks(lambda body: self._told(name, body), lambda _: None)
        if one.keeper and self._loaded.plan.restarts:
            kept: Deferred[Any] = self._links.call(one.keeper, "state", b"", ASK_S)
            kept.addCallbacks(lambda body: self._keeper_told(name, body), lambda _: None)

        def over(_: Any) -> None:
            known.asking = False

        asked.addBoth(over)

    def _told(self, name: str, body: bytes) -> None:
        state, known, now = messages.decode(body, messages.State), self._known[name], self._clock.now()
        if state is None or state.name != name:
            return
        was = known.state
        if was is not None and was.started != state.started:
            if known.restarts:
                known.restarts -= 1
            else:
                known.deaths += 1
            was = None
        if was is not None:
            known.before, known.before_at = was, known.at
            known.seen = _joined(known.seen, _seen(state, was, (now - known.at) / SECOND))
        known.state, known.at = state, now

    def _keeper_told(self, name: str, body: bytes) -> None:
        state = messages.decode(body, messages.State)
        if state is not None:
            self._known[name].keeper = state.fence, state.heeded

    def _heard(self) -> dict[str, Heard]:
        now, found = self._clock.now(), dict[str, Heard]()
        for name, known in self._known.items():
            state = known.state
            if state is None or now - known.at > HEARD:
                continue
            busy = 0.0
            if known.before is not None and known.at > known.before_at:
                span = (known.at - known.before_at) / SECOND
                busy = (state.figures.cpu_s - known.before.figures.cpu_s) / span / max(0.01, state.cores)
            heeded = known.keeper if self._loaded.plan.restarts else (state.fence, state.heeded)
            runs = self._loaded.runs(state.settings, state.release)
            found[name] = Heard(runs, state.state == "serving", busy, heeded)
        return found

    def _figures(self) -> None:
        """What came since the last slice, to the judge."""
        now, course = self._clock.now(), self.course
        seen = dict[str, GatewaySample]()
        for name, known in self._known.items():
            if known.seen is not None or known.deaths:
                one = known.seen or GatewaySample({})
                seen[name] = GatewaySample(one.counts, one.memory, one.away, one.held, known.deaths)
                known.seen, known.deaths = None, 0
        if course.stage < 0:
            self._watched = self._watched or now
            self.judge.before(seen)
        else:
            settled = {name for name in seen if course.confirmed[name]}
            old = course.fresh()
            self.judge.during(now, seen, settled & set(course.new), settled & set(old), alone=not old)

    def _confirm(self) -> None:
        heard, now = self._heard(), self._clock.now()
        for name, one in heard.items():
            wanted = self.course.wants[name]
            back = self.course.controls.get(name) is False and not self._known[name].restarts
            sure = one.serving and wanted in one.runs and self.course.sure(name, one)
            if sure and (not self.course.confirmed[name] or back):
                self._note(Event("confirmed", now, name))

    def _go(self) -> None:
        now, course = self._clock.now(), self.course
        if course.stage < 0 and not course.going_back and now - self._began < self._loaded.baseline:
            self._tell(f"watching for {self._loaded.baseline / SECOND:.0f} s before anything is changed")
            return
        step = course.next(now, self._heard())
        if step.do is Action.WAIT:
            self._tell(step.why)
        elif step.do is Action.STAGE:
            if course.stage < 0:
                self._record.keep_baseline(messages.encode(self.judge.told()))
            self._note(Event("stage", now, stage=course.stage + 1))
            self.judge.began(now)
        elif step.do is Action.UNCLEAR:
            self._note(course.unclear(now, step.why))
        elif step.do is Action.JUDGE:
            verdict = self.judge.verdict(now, course.new)
            event = course.judged(now, verdict, step.why)
            if event is not None:
                self._note(event)
            else:
                self._tell(f"stage {self._stage()}: " + (step.why or "; ".join(verdict.why) or "looked at"))
        elif step.do is Action.ENDED:
            self._note(Event("ended", now, to=step.to))
            self._end(step.to, self.course.why)
        else:
            self._order(now, step)

    def _stage(self) -> str:
        stages = self._loaded.plan.stages
        return stages[self.course.stage].name if 0 <= self.course.stage < len(stages) else "before the first"

    def _order(self, now: int, step: Step) -> None:
        """Recorded, then affirmed by more than half, then sent: in this order."""
        name = step.manager
        if name in self._ordering:
            return
        if self._sole is not None and self._sole.fence() != self._record.fence:
            self._tell(f"the lease is not held: {name} is not ordered now")
            return
        control = step.do is Action.CONTROL
        what, number = "control" if control else "ordered", self.course.count + 1
        self._note(Event(what, now, name, self._record.fence, number, step.to, self.course.stage, step.why))
        self._busy = True

        def affirmed(taken: int) -> None:
            self._busy = False
            if taken * MAJORITY <= len(self._known):
                self._tell(f"fence {self._record.fence} affirmed by {taken} only: {name} is not ordered now")
                return
            self._send(name, step.to, control, number)

        self._affirm(affirmed)

    def _send(self, name: str, to: str, control: bool, number: int) -> None:
        loaded, one = self._loaded, self._loaded.managers[name]
        restarts = loaded.plan.restarts
        what = "restart" if control else "program" if restarts else "settings"
        order = messages.Order(self._record.fence, loaded.plan.name, what, loaded.bodies[to], number)
        self._ordering.add(name)
        if restarts:
            self._known[name].restarts = 1
        address = one.keeper if restarts else one.address
        asked: Deferred[Any] = self._links.call(
            address, "order", messages.encode(order), KEEPER_S if restarts else ORDER_S
        )

        def answered(body: bytes) -> None:
            taken = messages.decode(body, messages.Taken)
            if taken is None or taken.taken or self._stopped:
                return
            self._known[name].restarts = 0
            if taken.fence > self._record.fence:
                self._end("fenced", taken.why)
            elif taken.failed and not self.course.going_back:
                self._note(self.course.failed(self._clock.now(), name, taken.why))
            else:
                self._tell(f"{name}: {taken.why}")

        def over(_: Any) -> None:
            self._ordering.discard(name)

        asked.addCallbacks(answered, lambda fault: self._tell(f"{name}: {fault.getErrorMessage()}"))
        asked.addErrback(lambda fault: self._tell(f"nothing is moved: {fault.getErrorMessage()}")).addBoth(
            over
        )

    # What is said and kept.

    def _note(self, event: Event) -> None:
        """Recorded, then so. Raises Unkept."""
        self._record.add(event)
        self.course.apply(event)
        self._tell(line(event, self._loaded))

    def _tell(self, text: str) -> None:
        if text and text != self._said:
            self._said = text
            self._say(text)

    def _end(self, how: str, why: str = "") -> None:
        if not self._stopped:
            ending = Ending(how, why, sorted(self.course.ever))
            self.stop().addCallback(lambda _: self.done.callback(ending))

    def stop(self) -> Deferred[Any]:
        """Fires once what it held for itself is given back."""
        self._stopped = True
        given = self._sole.stop() if self._sole is not None else succeed(None)
        return given.addCallback(lambda _: self._links.stop())


def line(event: Event, loaded: Loaded | None = None) -> str:
    """An event for people."""
    stages = loaded.plan.stages if loaded is not None else ()
    stage = stages[event.stage].name if event.stage < len(stages) else str(event.stage)
    words_ = {
        "ordered": f"{event.manager}: ordered to {event.to}",
        "confirmed": f"{event.manager}: confirmed",
        "control": f"{event.manager}: restarted as it is, to compare with",
        "stage": f"stage {stage} begins",
        "judged": f"stage {stage} passed",
        "back": "going back",
        "held": f"held at stage {stage}",
        "ended": f"ended: {event.to}",
    }
    return words_.get(event.what, event.what) + (f" ({event.why})" if event.why else "")


def _seen(now: messages.State, was: messages.State, seconds: float) -> GatewaySample:
    """What one process did between two readings."""
    old = was.figures.groups
    counts = {
        name: messages.count(group, old.get(name, messages.Group()))
        for name, group in now.figures.groups.items()
    }
    ended = sum(count.ended for count in counts.values())
    held = (now.figures.held - was.figures.held) / ended if ended else 0.0
    return GatewaySample(counts, now.figures.memory, now.figures.away, held)


def _joined(one: GatewaySample | None, other: GatewaySample) -> GatewaySample:
    if one is None:
        return other
    names = one.counts.keys() | other.counts.keys()
    empty = messages.count(messages.Group(), messages.Group())
    counts = {name: one.counts.get(name, empty) + other.counts.get(name, empty) for name in names}
    return GatewaySample(
        counts, other.memory, other.away, max(one.held, other.held), one.deaths + other.deaths
    )
