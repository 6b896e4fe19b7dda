"""Prefetches that planners order, carried out by one gateway as queries of its own.

A thin driver: the decisions judge each query as any other, `FencingGate` whose orders count.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from twisted.internet.base import DelayedCall

from vanerelay.extension import ExtensionHost, InternalQuery
from vanerelay.history import History
from vanerelay.interface import SECOND, AnswerStatus, EngineState
from vanerelay.leases.fencing import FencingGate
from vanerelay.warming.config import WarmingConfig
from vanerelay.warming.messages import PrefetchReply, PrefetchRequest

MAX_WAITING = 400
"""Prefetches that wait to be carried out: two plans."""

MAX_RESULTS = 400
"""Results that are kept until a planner asks for them."""


@dataclass(frozen=True, slots=True)
class PrefetchResult:
    """What a prefetch took at its engine, in ticks of core time."""

    table_group: int
    engine: str
    work: int


@dataclass(frozen=True, slots=True)
class _WaitingPrefetch:
    expires_at: int
    request: PrefetchRequest
    table_group: int
    engine: str


class PrefetchExecutor:
    """Carries out prefetches, a few at a time, while no query of a client waits.

    Attributes:
        results: What prefetches took, until a planner asks.
        is_stopped: Whether nothing more is carried out.
    """

    def __init__(self, host: ExtensionHost, config: WarmingConfig, clock: Callable[[], int]) -> None:
        self._host = host
        self._config = config
        self._clock = clock
        self._gate = FencingGate()
        self._waiting = deque[_WaitingPrefetch]()
        self._running = dict[InternalQuery, int]()  # until when
        self._history = History(host.name, config.history)
        self._timer: DelayedCall | None = None
        self.results = deque[PrefetchResult](maxlen=MAX_RESULTS)
        self.is_stopped = False

    def accept(self, request: PrefetchRequest) -> PrefetchReply:
        """Takes an order; refuses that of a deposed planner, a late and a repeated one."""
        begun = self._history.now()
        refusal = self._gate.refusal(request.task, request.token, request.serial, request.holder)
        self._record_order(request, begun, refused=refusal is not None)
        if refusal is not None:
            return PrefetchReply(newer_token=self._gate.highest_token(request.task))
        if request.token > self._gate.highest_token(request.task):
            # Nothing more of the deposed planner is begun.
            self._waiting = deque(one for one in self._waiting if one.request.task != request.task)
        self._gate.accept(request.task, request.token, request.serial, request.holder)
        expires_at, accepted = self._clock() + request.valid_for, 0
        for table_group, engine in request.prefetches:
            if len(self._waiting) < MAX_WAITING:
                self._waiting.append(_WaitingPrefetch(expires_at, request, table_group, engine))
                accepted += 1
        return PrefetchReply(accepted)

    def _record_order(self, request: PrefetchRequest, begun: int, refused: bool) -> None:
        row: dict[str, Any] = {
            "task": request.task,
            "number": request.token,
            "serial": request.serial,
            "holder": request.holder,
            "result": "refused" if refused else "ok",
        }
        self._history.add("order", begun, **row)

    def run(self) -> None:
        """Looks now and from now on, at short intervals, what may go out."""
        self._timer = self._host.reactor.callLater(self._config.check_interval / SECOND, self.run)
        now = self._clock()
        while self._waiting and self._waiting[0].expires_at <= now:
            self._waiting.popleft()
        clients_wait = self._host.gateway.queue_wait() > 0
        for query, expires_at in list(self._running.items()):
            if clients_wait or expires_at <= now:
                query.cancel()
        if not clients_wait:
            self._start_waiting()

    def _start_waiting(self) -> None:
        if not self._waiting or len(self._running) >= self._config.max_concurrent:
            return
        engines = {
            one.entry.name: one.entry.index
            for one in self._host.gateway.engine_statuses()
            if one.entry.state is EngineState.UP and one.usable
        }
        while self._waiting and len(self._running) < self._config.max_concurrent:
            prefetch = self._waiting.popleft()
            if prefetch.engine in engines:
                self._start(prefetch, engines[prefetch.engine])

    def _start(self, prefetch: _WaitingPrefetch, engine: int) -> None:
        config, begun = self._config, self._history.now()
        statement = config.statement.replace("@GROUP@", str(prefetch.table_group))
        max_duration = min(config.max_duration, prefetch.expires_at - self._clock())
        query = self._host.submit_internal(
            config.service_class, statement, engine, config.memory, max_duration
        )
        if query is None:
            return
        self._running[query] = prefetch.expires_at
        query.done.addCallback(partial(self._ended, query, prefetch, begun))

    def _ended(
        self, query: InternalQuery, prefetch: _WaitingPrefetch, begun: int, status: AnswerStatus
    ) -> None:
        self._running.pop(query, None)
        self._history.add(
            "warm",
            begun,
            task=prefetch.request.task,
            number=prefetch.request.token,
            serial=prefetch.request.serial,
            group=prefetch.table_group,
            engine=prefetch.engine,
            result="ok" if status == AnswerStatus.COMPLETED else "not done",
        )

    def stop(self) -> None:
        """Carries out nothing more and cancels what runs."""
        self.is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for query in list(self._running):
            query.cancel()
