"""Every decision about a query: what runs, where, with how much memory, and what is given up.

`Gateway.admit` is the ordinary path. The concerns it goes by stand in modules of their own beside this one.
All of it is pure: the transport has the time and carries out what was decided.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from vanerelay.interface import (
    ENGINE_RESPONDED,
    MAY_STILL_RUN,
    NEVER_RAN,
    SECOND,
    AttemptResult,
    EngineEntry,
    EngineStatus,
    GatewaySettings,
    LoadReport,
    MemoryShortage,
    Outcome,
    ProgressKind,
    QueryArrival,
    Transport,
)
from vanerelay.policy.admission_queue import AdmissionQueue, GiveUpSchedule
from vanerelay.policy.attempt import Attempt, AttemptTable
from vanerelay.policy.attempt_supervisor import AttemptSupervisor
from vanerelay.policy.attempt_timeout import AttemptTimeouts
from vanerelay.policy.capacity_slice import CapacitySlice
from vanerelay.policy.engine import Engine
from vanerelay.policy.engine_monitor import EngineMonitor
from vanerelay.policy.engine_registry import EngineRegistry
from vanerelay.policy.feedback import Feedback
from vanerelay.policy.fitting import Fitting
from vanerelay.policy.housekeeping import HOUSEKEEPING_INTERVAL, Housekeeping
from vanerelay.policy.key_ordering import KeyOrdering
from vanerelay.policy.load_shedding import LoadShedder
from vanerelay.policy.memory_estimator import MemoryEstimator
from vanerelay.policy.placement import Placement
from vanerelay.policy.query import Query
from vanerelay.policy.query_factory import QueryFactory
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.retry_policy import RetryPolicy
from vanerelay.policy.runtime_estimator import RuntimeEstimator

NORMAL_PRIORITY = 1
HIGH_PRIORITY = 2

RETRY_AFTER = SECOND
"""The Retry-After of rejected queries, where one may be sent."""

LIST_RETRY_INTERVAL = SECOND
"""Time until the engine list is requested again."""


class Gateway:
    """Decides for one gateway process, or for one set of settings in it."""

    def __init__(self, transport: Transport, seed: int, settings: GatewaySettings) -> None:
        self._transport = transport
        self._classes = settings.service_classes
        self._capabilities = settings.capabilities
        self._margin = 2 * settings.tick + HOUSEKEEPING_INTERVAL + 1  # before a deadline
        self._is_succeeded = False
        self._open_estimators(settings)
        self._open_engines(seed, settings)
        self._open_attempts()
        transport.call_later(HOUSEKEEPING_INTERVAL, self._keep_house)
        if self._capabilities.subscribes_to_list:
            transport.subscribe_to_engine_list()

    def _open_estimators(self, settings: GatewaySettings) -> None:
        """What learns from queries, and what counts and queues them."""
        engines_page = self._capabilities.memory_shortage is MemoryShortage.PAGE
        self._memory = MemoryEstimator(len(self._classes), engines_page)
        self._runtime = RuntimeEstimator(self._classes)
        self._queries = QueryFactory(self._classes, self._runtime)
        self._retry_budget = RetryBudget(settings.retry_budget)
        self._key_ordering = KeyOrdering(settings.order_key_pause)
        self._load_shedder = LoadShedder(min(group.latency_objective for group in self._classes))
        self._queue = AdmissionQueue()
        self._give_ups = GiveUpSchedule()

    def _open_engines(self, seed: int, settings: GatewaySettings) -> None:
        """What knows the engines, and what of them is ours."""
        transport, capabilities, position = self._transport, self._capabilities, settings.position
        self._housekeeping = Housekeeping(transport.now, position.gateway_count)
        self._capacity = CapacitySlice(transport.now, position, capabilities.may_gossip)
        self._monitor = EngineMonitor(transport, capabilities.polls_load)
        self._engines = EngineRegistry(transport, settings, self._monitor)
        self._fitting = Fitting(
            capabilities.max_grant_share, self._memory, self._engines, self._capacity, self._monitor
        )
        self._placement = Placement(
            random.Random(seed), position.zone, self._queries.waits_for_data_loads, self._engines.order.names
        )

    def _open_attempts(self) -> None:
        """What follows attempts, and decides about further ones."""
        capabilities, margin, runtime = self._capabilities, self._margin, self._runtime
        self._attempts = AttemptTable()
        self._timeouts = AttemptTimeouts(capabilities, margin, runtime, self._retry_budget, self._attempts)
        self._retry_policy = RetryPolicy(capabilities, margin, runtime, self._retry_budget, self._engines)
        self._feedback = Feedback(self._memory, runtime, self._engines, self._monitor)
        self._supervisor = AttemptSupervisor(
            self._transport,
            capabilities,
            self._attempts,
            runtime,
            self._engines,
            self._retry_policy,
            self._feedback,
        )

    @property
    def now(self) -> int:
        """The present moment."""
        return self._transport.now

    # A query's way.

    def submit(self, arrival: QueryArrival) -> Query:
        """Takes a query. It is admitted, held or rejected at once; the handle takes what happens to it."""
        now = self._transport.now
        row, cost = arrival.service_class, arrival.estimated_cost
        query = self._queries.open(self, arrival)
        self._retry_budget.query_arrived(now, not arrival.earns_no_retries)
        self._capacity.work_offered(now, self._runtime.budgeted_work(row, cost))
        work = self._runtime.expected_work(row, cost)
        is_admitted = self._load_shedder.admits(query.service_class.value, work)
        if not is_admitted or arrival.deadline <= now + self._margin:
            self._give_up(query)
            return query
        if query.order_key is not None:
            self._key_ordering.enqueue(query.order_key, query)
            for late in self._key_ordering.overbooked(now, query.order_key, self._runtime):
                self._give_up(late)
        if not query.is_ended:
            self._engines.poll_load(now)
            self.hold(query, self._has_turn(now, query))
        return query

    def admit(self, query: Query) -> bool:
        """The ordinary path: size, fit, draw, send. False: nothing fits, and the query goes on waiting."""
        now, arrival = self._transport.now, query.arrival
        work = self._runtime.budgeted_work(arrival.service_class, arrival.estimated_cost)
        candidates = self._engines.candidates(now, query.constraints())
        usable = [engine for engine in candidates if self._may_send(now, query, engine, work)]
        is_retry = bool(query.attempts)
        if not usable or (is_retry and not self._retry_budget.allows(now, query.is_low_value)):
            return False

        # Size
        grant = self._fitting.grant(now, query, usable)

        # Fit
        fit = self._fitting.fit(now, query, usable, grant)
        if fit is None:
            return False

        # Draw
        engine = self._placement.draw(now, fit.engines, query, self._monitor.typical_load)

        # Send
        self._transport.grant_memory(arrival.index, round(fit.grant.size), self._priority(query))
        self._retry_budget.attempt_sent(now, is_retry)
        attempt = Attempt(engine, fit.grant.size, fit.grant.reserved, now, now)
        self._attempts.add(query, attempt)
        query.attempts.append(attempt)
        query.is_held = False
        self._engines.reserve(engine, attempt.reserved, query.threads)
        engine.slow_start.record_sent(now, work)
        duration = self._runtime.duration_of(now, query)
        engine.health.attempt_sent(now, id(attempt), duration, query.silence_weight())
        self._monitor.watch(engine)
        timeout = self._timeouts.timeout(now, query, duration)
        self._transport.send_attempt(arrival.index, engine.entry.index, timeout)
        return True

    def hold(self, query: Query, has_turn: bool = True) -> None:
        """Holds a query until it is admitted or given up. Without its turn, it waits beside the queue."""
        now, deadline = self._transport.now, query.arrival.deadline - self._margin
        duration = int(self._runtime.duration_of(now, query))
        query.is_held = True
        query.held_since = now
        earns_until = max(query.objective_at - duration, now + HOUSEKEEPING_INTERVAL)
        query.give_up_at = int(min(deadline, earns_until, query.repeatable_until()))
        self._give_ups.add(query)
        if has_turn and self._queue.join(query) and not self._engines.awaited_reports:
            self._queue.serve(self.admit)
        if query.is_held and query.give_up_at <= now:  # the next housekeeping may be too late
            self._give_up(query)

    def _has_turn(self, now: int, query: Query) -> bool:
        if query.order_key is None:
            return True
        turn = self._key_ordering.turn(now, query.order_key)
        return turn.query is query and not turn.rest

    def _may_send(self, now: int, query: Query, engine: Engine, work: float) -> bool:
        """Rules 2 and 4, and the engine's health: an ejected one gets queries with little at stake."""
        if now >= query.repeatable_until():
            return False
        if not engine.slow_start.allows(now, work, self._capacity.unproxied_share):
            return False
        if not engine.health.is_ejected:
            return True
        return query.is_low_value and self._engines.may_send_trial(now, engine)

    def _priority(self, query: Query) -> int:
        """A higher priority for light queries: load reports leave seconds where a look-up has none."""
        is_preferred = self._runtime.is_light(query) and self._capabilities.sends_priorities
        return HIGH_PRIORITY if is_preferred else NORMAL_PRIORITY

    def _give_up(self, query: Query) -> None:
        """Gives the final answer: rejected where a retry does no harm, else failed."""
        query.is_ended = True
        if query.is_retry_harmless():
            retry_after = 0
            if self._capabilities.sends_retry_after:
                retry_after = min(RETRY_AFTER, self._capabilities.max_retry_after)
            self._transport.reject(query.arrival.index, retry_after)
        else:
            self._transport.fail(query.arrival.index)
        self._finish(query)

    def _finish(self, query: Query) -> None:
        """A query has ended: the next of its order key has its turn, once the key has rested."""
        query.is_held = False
        if query.order_key is None:
            return
        turn = self._key_ordering.turn(self._transport.now, query.order_key)
        if turn.rest:
            self._transport.call_later(turn.rest, lambda: self._finish(query))
        elif turn.query is not None and turn.query.is_held and not turn.query.attempts:
            turn.query.resume()

    # What is reported of attempts, through the queries' handles.

    def attempt_ended(self, query: Query, number: int, result: AttemptResult, is_final: bool) -> None:
        """An attempt ended: the query is answered, tried again or given up."""
        now, outcome = self._transport.now, result.outcome
        attempt = query.attempts[number]
        engine = attempt.engine
        attempt.in_flight = False
        attempt.may_have_run = outcome not in NEVER_RAN
        query.is_ended = query.is_ended or is_final
        self._supervisor.release(query, attempt)
        self._attempts.remove(attempt)
        if outcome is Outcome.REJECTED:
            engine.refused(now)
        if outcome is Outcome.COMPLETED:
            self._feedback.completed(now, query, engine, result)
        if outcome in ENGINE_RESPONDED:
            self._feedback.engine_responded(engine, result.load_report)
        engine.health.attempt_ended(now, id(attempt), outcome, result.duration)
        if outcome in MAY_STILL_RUN and query.order_key is not None:
            self._key_ordering.attempt_may_still_run(now, query.order_key)
        if query.is_ended:
            self._finish(query)
        elif not query.is_in_flight():
            if self._retry_policy.should_retry(now, query):
                self.hold(query)
            else:
                self._give_up(query)
        self._queue.serve(self.admit)

    def attempt_progressed(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """An engine reported on a running attempt."""
        self._supervisor.progressed(query, number, kind, value)

    def client_left(self, query: Query) -> None:
        """The client wants no answer any more: what runs is cancelled, as it takes the capacity of others."""
        query.is_ended = True
        self._retry_budget.credit_withdrawn(self._transport.now, not query.arrival.earns_no_retries)
        self._supervisor.cancel_all(query)
        self._finish(query)

    # Engines, peers and proxies.

    def update_engines(self, entries: Sequence[EngineEntry], complete: bool) -> None:
        """Takes in entries of the engine list. `complete`: engines without an entry have left it."""
        self._engines.update(entries, complete, accepts_new=not self._is_succeeded)
        self._queue.serve(self.admit)

    def engine_list_failed(self) -> None:
        """The engine list could not be had: it is requested again."""
        self._transport.call_later(LIST_RETRY_INTERVAL, self._transport.subscribe_to_engine_list)

    def probe_completed(self, index: int, outcome: Outcome, report: LoadReport | None) -> None:
        """A probe of an engine ended."""
        engine = self._engines.probe_completed(index, outcome)
        if engine is not None:
            self._feedback.engine_responded(engine, report)
        self._queue.serve(self.admit)

    def receive_from_peer(self, gateway: int, message: bytes) -> None:
        """A datagram came from another gateway."""
        self._capacity.peer_reported(self._transport.now, gateway, message)

    def set_proxy_share(self, share: float) -> None:
        """Leaves a part of our slice, and of our budgets for engines that warm up, to proxies."""
        self._capacity.unproxied_share = 1.0 - share

    def update_proxy_load(self, engine: int, running: float, ended: float, errors: float) -> None:
        """Proxies reported what they have running at an engine, and what ended since the last report."""
        known = self._engines.get(engine)
        if known is not None:
            known.proxy_reported(self._transport.now, running, ended, errors)
            self._monitor.watch(known)

    # Housekeeping.

    def _keep_house(self) -> None:
        now = self._transport.now
        self._housekeeping.interval_ended(now)
        if self._housekeeping.is_review_due:
            self._review(now)
        for query in self._give_ups.due(now):
            self._give_up(query)
        if not self.is_finished():
            self._transport.call_later(HOUSEKEEPING_INTERVAL, self._keep_house)

    def _review(self, now: int) -> None:
        """Looks over the engines, the attempts, the queue and our slice."""
        is_stalled, is_slow_review = self._housekeeping.is_stalled, self._housekeeping.is_slow_review_due
        if is_slow_review:
            self._monitor.update_baselines(now, self._engines.baseline_engines())
        self._monitor.review(now, is_stalled)
        if not is_stalled:
            self._supervisor.end_silent(now)
        self._queue.serve(self.admit)
        self._capacity.update_borrowable(now, self._engines.pool.cores)
        if self._capacity.is_gossip_due(now):
            recent_queries = self._retry_budget.recent_queries(now)
            message = self._capacity.gossip(now, recent_queries, is_stalled)
            self._transport.send_to_peers(None, message)
        if is_slow_review:
            self._load_shedder.adjust(0 if is_stalled else self._queue.head_wait(now))

    # New settings.

    def take_over(self, old: Gateway) -> None:
        """Takes over from a gateway under former settings, which ends what it has taken.

        What means the same under both is kept: keys, counts, engines, and the estimates of classes of the
        same name and threads.
        """
        old._is_succeeded = True
        self._key_ordering = old._key_ordering.under(self._key_ordering)
        self._attempts.inherit(old._attempts)
        self._retry_budget.inherit(old._retry_budget)
        old_rows = {(group.name, group.threads): row for row, group in enumerate(old._classes)}
        for row, group in enumerate(self._classes):
            old_row = old_rows.get((group.name, group.threads))
            if old_row is not None:
                self._memory.inherit_class(row, old._memory, old_row)
                self._runtime.inherit_class(row, old._runtime, old_row)
        self._engines.inherit(old._engines)
        self._queue.serve(self.admit)

    def is_finished(self) -> bool:
        """Whether another gateway has taken over, and all that this one took has ended."""
        return self._is_succeeded and not self._attempts and not self._give_ups

    # What others ask.

    def typical_work(self, service_class: int) -> float:
        """The work of a query that nothing is estimated of."""
        return self._runtime.budgeted_work(service_class, 0)

    def typical_grant(self, service_class: int) -> float:
        """The grant of a query that nothing is estimated of; 0 where nothing is known."""
        return self._memory.typical_size(self._transport.now, service_class)

    def shed_share(self, service_class: int) -> float:
        """The part of a class's queries that is shed now; 0 where the class is admitted."""
        value = self._classes[service_class].value
        return self._load_shedder.shed_share(value, self.typical_work(service_class))

    def queue_wait(self) -> int:
        """How long the first query in the admission queue has waited; 0 where none waits."""
        return self._queue.head_wait(self._transport.now)

    def held_share(self) -> float:
        """The part of all engines that our grants and threads fill."""
        return self._engines.pool.used_share()

    def idle_shares(self) -> dict[int, float]:
        """The part of each listed engine that nobody holds, as far as it was reported."""
        return {engine.entry.index: engine.idle_share() for engine in self._engines.listed()}

    def engine_statuses(self) -> list[EngineStatus]:
        """How each listed engine is seen."""
        now = self._transport.now
        return [engine.status(now, self._capacity.slice) for engine in self._engines.listed()]
