"""The policy of one gateway: takes queries and events, and decides through a transport.

`Gateway.admit` is the main path of a query; the other modules of this package cover one concern each. The
policy does no I/O itself: the transport supplies the time and carries out the decisions.
"""

from __future__ import annotations

import random
import traceback
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
from vanerelay.policy.key_ordering import KeyOrdering
from vanerelay.policy.load_shedding import LoadShedder
from vanerelay.policy.memory_admission import MemoryAdmission
from vanerelay.policy.memory_estimator import MemoryEstimator
from vanerelay.policy.periodic_work import PERIODIC_WORK_INTERVAL, PeriodicWorkSchedule
from vanerelay.policy.placement import Placement
from vanerelay.policy.query import Query
from vanerelay.policy.query_factory import QueryFactory
from vanerelay.policy.report_dispatcher import ReportDispatcher
from vanerelay.policy.retry_budget import RetryBudget
from vanerelay.policy.retry_policy import RetryPolicy
from vanerelay.policy.runtime_estimator import RuntimeEstimator

NORMAL_PRIORITY = 1
HIGH_PRIORITY = 2

RETRY_AFTER = SECOND
"""The Retry-After of rejected queries, in ticks; the settings may forbid or shorten it."""

LIST_RETRY_INTERVAL = SECOND
"""Ticks until the engine list is requested again after a failure."""


class Gateway:
    """The policy of one gateway process under one set of settings.

    New settings need a new `Gateway`, which takes over from the old one (`take_over`).
    """

    def __init__(self, transport: Transport, seed: int, settings: GatewaySettings) -> None:
        self._transport = transport
        self._classes = settings.service_classes
        self._capabilities = settings.capabilities
        # The ticks before a deadline in which it is too late to act on a query
        self._deadline_margin = 2 * settings.tick + PERIODIC_WORK_INTERVAL + 1
        self._is_replaced = False
        self._create_estimators(settings)
        self._create_engines(seed, settings)
        self._create_attempt_handling()
        transport.call_later(PERIODIC_WORK_INTERVAL, self._run_periodic_work)
        if self._capabilities.subscribes_to_list:
            transport.subscribe_to_engine_list()

    def _create_estimators(self, settings: GatewaySettings) -> None:
        """Creates the estimators, and the objects that count, shed, order and queue queries."""
        engines_page = self._capabilities.memory_shortage is MemoryShortage.PAGE
        self._memory = MemoryEstimator(len(self._classes), engines_page)
        self._runtime = RuntimeEstimator(self._classes)
        self._queries = QueryFactory(self._classes, self._runtime)
        self._retry_budget = RetryBudget(settings.retry_budget)
        self._key_ordering = KeyOrdering(settings.order_key_pause)
        self._load_shedder = LoadShedder(
            min(service_class.latency_objective for service_class in self._classes)
        )
        self._queue = AdmissionQueue()
        self._give_ups = GiveUpSchedule()

    def _create_engines(self, seed: int, settings: GatewaySettings) -> None:
        """Creates the periodic schedule, and the objects that track engines and decide on placement."""
        transport, capabilities, position = self._transport, self._capabilities, settings.position
        self._periodic_work = PeriodicWorkSchedule(transport.now, position.gateway_count)
        self._capacity = CapacitySlice(transport.now, position, capabilities.may_gossip)
        self._monitor = EngineMonitor(transport, capabilities.polls_load)
        self._engines = EngineRegistry(transport, settings, self._monitor)
        self._memory_admission = MemoryAdmission(
            capabilities.max_grant_share, self._memory, self._engines, self._capacity, self._monitor
        )
        self._placement = Placement(
            random.Random(seed), position.zone, self._queries.waits_for_data_loads, self._engines.order.names
        )

    def _create_attempt_handling(self) -> None:
        """Creates the objects that track attempts and decide on timeouts, cancellations and retries."""
        capabilities, margin, runtime = self._capabilities, self._deadline_margin, self._runtime
        self._attempts = AttemptTable()
        self._timeouts = AttemptTimeouts(capabilities, margin, runtime, self._retry_budget, self._attempts)
        self._retry_policy = RetryPolicy(capabilities, margin, runtime, self._retry_budget, self._engines)
        self._report_dispatcher = ReportDispatcher(self._memory, runtime, self._engines, self._monitor)
        self._supervisor = AttemptSupervisor(
            self._transport,
            capabilities,
            self._attempts,
            runtime,
            self._engines,
            self._retry_policy,
            self._report_dispatcher,
        )

    @property
    def now(self) -> int:
        """The current time in ticks."""
        return self._transport.now

    # The path of a query.

    def submit(self, arrival: QueryArrival) -> Query:
        """Submits a query, which is admitted, held or rejected before this method returns.

        Returns:
            The handle of the query, to which the caller reports further events.
        """
        now = self._transport.now
        class_index, cost = arrival.service_class, arrival.estimated_cost
        query = self._queries.create(self, arrival)
        self._retry_budget.query_arrived(now, not arrival.earns_no_retries)
        self._capacity.work_offered(now, self._runtime.budgeted_work(class_index, cost))
        work = self._runtime.expected_work(class_index, cost)
        is_admitted = self._load_shedder.admits(query.service_class.value, work)
        if not is_admitted or arrival.deadline <= now + self._deadline_margin:
            self._give_up(query)
            return query
        if query.order_key is not None:
            self._key_ordering.enqueue(query.order_key, query)
            for excess in self._key_ordering.unschedulable(now, query.order_key, self._runtime):
                self._give_up(excess)
        if not query.is_ended:
            self._engines.poll_load(now)
            self.hold(query, self._has_turn(now, query))
        return query

    def admit(self, query: Query) -> bool:
        """Sends an attempt of the query: sizes its grant, checks admission, chooses an engine and sends.

        Returns:
            False if no engine can admit the query now, so that it stays in the queue.
        """
        now, arrival = self._transport.now, query.arrival
        work = self._runtime.budgeted_work(arrival.service_class, arrival.estimated_cost)
        candidates = self._engines.candidates(now, query.constraints())
        usable = [engine for engine in candidates if self._may_send(now, query, engine, work)]
        is_retry = bool(query.attempts)
        if not usable or (is_retry and not self._retry_budget.allows(now, query.is_low_value)):
            return False

        # Size the memory grant
        grant = self._memory_admission.size_grant(now, query, usable)

        # Check admission
        admission = self._memory_admission.check(now, query, usable, grant)
        if admission is None:
            return False

        # Choose an engine
        engine = self._placement.choose(now, admission.engines, query, self._monitor.typical_load)

        # Send the attempt
        self._transport.grant_memory(arrival.index, round(admission.grant.size), self._priority(query))
        self._retry_budget.attempt_sent(now, is_retry)
        attempt = Attempt(engine, admission.grant.size, admission.grant.reserved, now, now)
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

    def _serve_queue(self) -> None:
        """Admits queries from the heads of the admission queues, as long as engines can admit them."""
        self._queue.serve(self._admit_or_fail)

    def _admit_or_fail(self, query: Query) -> bool:
        """Admits the query as `admit` does. If that raises, fails the query, which then blocks no other."""
        attempts = len(query.attempts)
        try:
            return self.admit(query)
        except Exception:
            self._transport.log(f"error in the admission of a query, which fails:\n{traceback.format_exc()}")
        for attempt in query.attempts[attempts:]:  # it was not sent
            self._forget_unsent(query, attempt)
        query.is_ended, query.is_held = True, False
        self._transport.fail(query.arrival.index)
        order_key = query.order_key
        if order_key is not None:  # later, as the queue is being served
            self._transport.call_later(0, lambda: self._resume_next(order_key))
        return True

    def _forget_unsent(self, query: Query, attempt: Attempt) -> None:
        """Takes back what `admit` recorded of an attempt that it did not send."""
        attempt.in_flight = False
        self._supervisor.release(query, attempt)
        self._attempts.remove(attempt)
        attempt.engine.health.attempt_withdrawn(id(attempt))

    def hold(self, query: Query, has_turn: bool = True) -> None:
        """Holds a query until it is admitted or given up.

        Args:
            query: The query.
            has_turn: Whether the query may run now as far as its order key is concerned. If not, it is held
                without being in the admission queue, until `Query.resume` is called.
        """
        now, deadline = self._transport.now, query.arrival.deadline - self._deadline_margin
        duration = int(self._runtime.duration_of(now, query))
        query.is_held = True
        query.held_since = now
        useful_until = max(query.objective_at - duration, now + PERIODIC_WORK_INTERVAL)
        query.give_up_at = int(min(deadline, useful_until, query.repeatable_until()))
        self._give_ups.add(query)
        if has_turn and self._queue.enqueue(query) and not self._engines.awaited_reports:
            self._serve_queue()
        if query.is_held and query.give_up_at <= now:  # the next periodic work may come after the deadline
            self._give_up(query)

    def _has_turn(self, now: int, query: Query) -> bool:
        """Returns True if the query has no order key, or is the next to run for its order key."""
        if query.order_key is None:
            return True
        turn = self._key_ordering.turn(now, query.order_key)
        return turn.query is query and not turn.blocked_for

    def _may_send(self, now: int, query: Query, engine: Engine, work: float) -> bool:
        """Returns True if rules 2 and 4 and the engine's health allow an attempt of the query there.

        An ejected engine gets trial queries only, and only such as lose little if they fail.
        """
        if now >= query.repeatable_until():
            return False
        if not engine.slow_start.allows(now, work, self._capacity.unproxied_share):
            return False
        if not engine.health.is_ejected:
            return True
        return query.is_low_value and self._engines.may_send_trial(now, engine)

    def _priority(self, query: Query) -> int:
        """Returns the priority of an attempt: higher for light queries, if engines accept priorities.

        Load reports are seconds old when they arrive, so an engine chosen by them may be busy; a light query
        cannot afford to wait there.
        """
        is_preferred = self._runtime.is_light(query) and self._capabilities.sends_priorities
        return HIGH_PRIORITY if is_preferred else NORMAL_PRIORITY

    def _give_up(self, query: Query) -> None:
        """Ends a query without a result: rejects it if the client may safely retry it, otherwise fails it."""
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
        """Ends the hold on a query, and resumes the next of its order key once the key is not blocked."""
        query.is_held = False
        if query.order_key is not None:
            self._resume_next(query.order_key)

    def _resume_next(self, order_key: int) -> None:
        """Resumes the next query of an order key, if one waits, once the key is not blocked."""
        turn = self._key_ordering.turn(self._transport.now, order_key)
        if turn.blocked_for:
            # The timer holds the key alone: a client may cancel queries of ever new keys.
            self._transport.call_later(turn.blocked_for, lambda: self._resume_next(order_key))
        elif turn.query is not None and turn.query.is_held and not turn.query.attempts:
            turn.query.resume()

    # Events that the caller reports through the handles of queries.

    def attempt_ended(self, query: Query, number: int, result: AttemptResult, is_final: bool) -> None:
        """Handles the end of an attempt: the query has its answer, or it is held for a retry or given up."""
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
            self._report_dispatcher.query_completed(now, query, engine, result)
        if outcome in ENGINE_RESPONDED:
            self._report_dispatcher.engine_responded(engine, result.load_report)
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
        self._serve_queue()

    def attempt_progressed(self, query: Query, number: int, kind: ProgressKind, value: float) -> None:
        """Handles a progress report of an engine about a running attempt."""
        self._supervisor.progress_reported(query, number, kind, value)

    def client_left(self, query: Query) -> None:
        """Ends a query whose client no longer wants an answer.

        Its running attempts are cancelled, as they use capacity that other queries need.
        """
        query.is_ended = True
        self._retry_budget.credit_withdrawn(self._transport.now, not query.arrival.earns_no_retries)
        self._supervisor.cancel_all(query)
        self._finish(query)

    # Engines, peers and proxies.

    def update_engines(self, entries: Sequence[EngineEntry], complete: bool) -> None:
        """Applies entries of the engine list.

        Args:
            entries: The entries that are new or changed.
            complete: Whether `entries` is the whole list, so that engines without an entry have left it.
        """
        self._engines.update(entries, complete, accepts_new=not self._is_replaced)
        self._serve_queue()

    def engine_list_failed(self) -> None:
        """Handles a failed request for the engine list: requests it again after LIST_RETRY_INTERVAL."""
        self._transport.call_later(LIST_RETRY_INTERVAL, self._transport.subscribe_to_engine_list)

    def probe_completed(self, index: int, outcome: Outcome, report: LoadReport | None) -> None:
        """Handles the end of a probe; `report` is the load report that the engine sent, if any."""
        engine = self._engines.probe_completed(index, outcome)
        if engine is not None:
            self._report_dispatcher.engine_responded(engine, report)
        self._serve_queue()

    def receive_from_peer(self, gateway: int, message: bytes) -> None:
        """Handles a datagram from another gateway."""
        self._capacity.peer_reported(self._transport.now, gateway, message)

    def set_proxy_share(self, share: float) -> None:
        """Leaves a part of this gateway's slice, and of its slow start budgets, to proxies."""
        self._capacity.unproxied_share = 1.0 - share

    def update_proxy_load(self, engine: int, running: float, ended: float, errors: float) -> None:
        """Handles a report of proxies about an engine, which is ignored if the engine is not known.

        Args:
            engine: The index of the engine.
            running: The requests that the proxies have in flight at this engine.
            ended: The requests that have ended since the last report.
            errors: Those of the ended requests that failed.
        """
        known_engine = self._engines.get(engine)
        if known_engine is not None:
            known_engine.proxy_reported(self._transport.now, running, ended, errors)
            self._monitor.watch(known_engine)

    # Periodic work.

    def _run_periodic_work(self) -> None:
        """Gives up queries that are due, reviews the engines if that is due, and schedules the next call."""
        now = self._transport.now
        self._periodic_work.begin_interval(now)
        if self._periodic_work.is_review_due:
            self._review(now)
        for query in self._give_ups.take_due(now):
            self._give_up_due(query)
        if not self.is_finished():
            self._transport.call_later(PERIODIC_WORK_INTERVAL, self._run_periodic_work)

    def _give_up_due(self, query: Query) -> None:
        """Gives up a query. If that raises, it is logged, and the other queries that are due follow."""
        try:
            self._give_up(query)
        except Exception:
            self._transport.log(f"error in giving up a query:\n{traceback.format_exc()}")

    def _review(self, now: int) -> None:
        """Reviews the engines, the attempts in flight, the admission queue and this gateway's slice."""
        is_stalled, is_slow_review = self._periodic_work.is_stalled, self._periodic_work.is_slow_review_due
        if is_slow_review:
            self._monitor.update_baselines(now, self._engines.baseline_engines())
        self._monitor.review(now, is_stalled)
        if not is_stalled:
            self._supervisor.cancel_silent(now)
        self._serve_queue()
        self._capacity.update_borrowable(now, self._engines.pool.cores)
        if self._capacity.is_gossip_due(now):
            recent_queries = self._retry_budget.recent_queries(now)
            message = self._capacity.gossip(now, recent_queries, is_stalled)
            self._transport.send_to_peers(None, message)
        if is_slow_review:
            self._load_shedder.adjust(0 if is_stalled else self._queue.head_wait(now))

    # Change of settings.

    def take_over(self, old: Gateway) -> None:
        """Takes over from the gateway of the previous settings, which only finishes the queries it has.

        State that means the same under both settings is kept: order keys, counts, engines, and the estimates
        of service classes with the same name and number of threads.
        """
        old._is_replaced = True
        self._key_ordering = old._key_ordering.with_pause_of(self._key_ordering)
        self._attempts.inherit(old._attempts)
        self._retry_budget.inherit(old._retry_budget)
        old_indices = {
            (service_class.name, service_class.threads): index
            for index, service_class in enumerate(old._classes)
        }
        for index, service_class in enumerate(self._classes):
            old_index = old_indices.get((service_class.name, service_class.threads))
            if old_index is not None:
                self._memory.inherit_class(index, old._memory, old_index)
                self._runtime.inherit_class(index, old._runtime, old_index)
        self._engines.inherit(old._engines)
        self._serve_queue()

    def is_finished(self) -> bool:
        """Returns True if another `Gateway` has taken over and no query or attempt of this one is left."""
        return self._is_replaced and not self._attempts and not self._give_ups

    # State that other parts of the program read.

    def typical_work(self, service_class: int) -> float:
        """Returns the work, in ticks of one thread, to budget for a query without a client's estimate."""
        return self._runtime.budgeted_work(service_class, 0)

    def typical_grant(self, service_class: int) -> float:
        """Returns the memory grant in MB of a query without a client's estimate; 0 if it is not known."""
        return self._memory.typical_size(self._transport.now, service_class)

    def shed_share(self, service_class: int) -> float:
        """Returns the part of the traffic that is shed now; 0 if queries of this class are admitted."""
        value = self._classes[service_class].value
        return self._load_shedder.shed_share(value, self.typical_work(service_class))

    def queue_wait(self) -> int:
        """Returns the longest wait, in ticks, at the head of an admission queue; 0 if no query waits."""
        return self._queue.head_wait(self._transport.now)

    def held_share(self) -> float:
        """Returns the part of all listed engines together that this gateway's grants and threads fill."""
        return self._engines.pool.used_share()

    def idle_shares(self) -> dict[int, float]:
        """Returns the unused part of each listed engine by its index, according to the last load report."""
        return {engine.entry.index: engine.idle_share() for engine in self._engines.listed()}

    def engine_statuses(self) -> list[EngineStatus]:
        """Returns the present view of each listed engine."""
        now = self._transport.now
        return [engine.status(now, self._capacity.slice) for engine in self._engines.listed()]
