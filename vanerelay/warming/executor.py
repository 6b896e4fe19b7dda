"""Orders of planners, carried out by one manager as batches of its own. Thin: the module decides on each,
`Gate` on whose orders count."""

from __future__ import annotations

from collections import deque
from typing import Any

from vanerelay.extension import ExtensionHost, InternalQuery
from vanerelay.history import History
from vanerelay.interface import AnswerStatus, EngineState
from vanerelay.leases.fencing import FencingGate
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.messages import Do, Done

MOST = 400  # orders that wait
TOLD = 400  # of what they took, until it is asked for


class Hands:
    """`read`: what orders took, until a planner asks."""

    def __init__(self, host: ExtensionHost, parts: WarmingConfig, clock: Any) -> None:
        self._host, self._parts, self._clock = host, parts, clock
        self._gate, self._waiting = FencingGate(), deque[tuple[int, Do, int, str]]()  # until when
        self._out = dict[InternalQuery, tuple[int, int, str]]()  # until when; table group, engine
        self.read = deque[tuple[int, str, int]](maxlen=TOLD)
        self.history = History(host.name, parts.history)
        self._timer: Any = None
        self.stopped = False

    def take(self, do: Do) -> Done:
        """Orders of who was followed are refused, late and doubled ones as well."""
        begun = self.history.now()
        why = self._gate.refusal(do.task, do.number, do.serial, do.holder)
        row: dict[str, Any] = {
            "task": do.task,
            "number": do.number,
            "serial": do.serial,
            "holder": do.holder,
            "result": "refused" if why is not None else "ok",
        }
        self.history.add("order", begun, **row)
        if why is not None:
            return Done(later=self._gate.highest_token(do.task))
        if do.number > self._gate.highest_token(
            do.task
        ):  # of whoever is followed now nothing is begun any more
            self._waiting = deque(one for one in self._waiting if one[1].task != do.task)
        self._gate.accept(do.task, do.number, do.serial, do.holder)
        until, taken = self._clock() + do.lasts, 0
        for group, engine in do.orders:
            if len(self._waiting) < MOST:
                self._waiting.append((until, do, group, engine))
                taken += 1
        return Done(taken)

    def turn(self) -> None:
        """Gives way at once where batches wait in the line; else begins what is due."""
        self._timer = self._host.reactor.callLater(self._parts.look / 10_000, self.turn)
        now = self._clock()
        while self._waiting and self._waiting[0][0] <= now:
            self._waiting.popleft()
        busy = self._host.gateway.queue_wait() > 0
        for own, (until, _, _) in list(self._out.items()):
            if busy or until <= now:
                own.cancel()
        if busy or not self._waiting or len(self._out) >= self._parts.at_once:
            return
        there = {
            one.entry.name: one.entry.index
            for one in self._host.gateway.engine_statuses()
            if one.entry.state is EngineState.UP and one.usable
        }
        while self._waiting and len(self._out) < self._parts.at_once:
            until, do, group, engine = self._waiting.popleft()
            if engine in there:
                self._begin(until, do, group, engine, there[engine])

    def _begin(self, until: int, do: Do, group: int, name: str, engine: int) -> None:
        parts, begun = self._parts, self.history.now()
        statement = parts.statement.replace("@GROUP@", str(group))
        lasts = min(parts.lasts, until - self._clock())
        own = self._host.submit_internal(parts.group, statement, engine, parts.memory, lasts)
        if own is None:
            return

        def ended(code: int) -> None:
            self._out.pop(own, None)
            result = "ok" if code == AnswerStatus.COMPLETED else "not done"
            self.history.add(
                "warm",
                begun,
                task=do.task,
                number=do.number,
                serial=do.serial,
                group=group,
                engine=name,
                result=result,
            )

        self._out[own] = until, group, name
        own.done.addCallback(ended)

    def stop(self) -> None:
        self.stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for own in list(self._out):
            own.cancel()
