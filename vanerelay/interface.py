"""Inputs and results of the policy (`vanerelay.policy`), and the protocol through which the policy acts.

Times and durations are whole ticks of 0.1 ms; memory is in MB. Queries and engines are identified by small
indices that the caller assigns; an engine's name is the same at every gateway. This module decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Annotated, Protocol

MILLISECOND = 10
"""A millisecond in ticks."""
SECOND = 10_000
"""A second in ticks."""
Duration = Annotated[int, "a length of time"]
"""A duration in ticks. The annotation marks fields that operators write with a unit in their files."""


class Outcome(Enum):
    """How an attempt ended, in the categories that the policy distinguishes."""

    COMPLETED = "completed"
    FAILED = "failed"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    MALFORMED = "malformed answer"  # undecodable bytes: not counted as a fault of the engine


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT})
"""Outcomes after which it is certain that the query did not run at the engine."""

MAY_STILL_RUN = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.MALFORMED})
"""Outcomes after which the query may still be running at the engine."""

ENGINE_RESPONDED = frozenset({Outcome.COMPLETED, Outcome.FAILED, Outcome.REJECTED, Outcome.MALFORMED})
"""Outcomes that prove that the engine is alive."""


class AnswerStatus(IntEnum):
    """The status in the final answer to a query, with the numbers of the client protocol."""

    COMPLETED = 0
    REJECTED = 1
    FAILED = 2


class Idempotency(Enum):
    """Whether a query may run more than once. The values are those of the laboratory's scenarios."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "referenced"
    """May be sent again: engines drop repeats that carry the same idempotency key."""
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """The engines that recognise a repeat of a deduplicated query that one of them has run."""

    ALL = "all"
    ZONE = "location"
    CELL = "cell"


class EngineState(Enum):
    """The state of an engine in the engine list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class MemoryShortage(Enum):
    """How an engine treats a query whose memory grant exceeds the engine's free memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


class ProgressKind(Enum):
    """The kind of a progress report that an engine sends about an attempt."""

    PROGRESS = "progress"
    """The value is the completed part, from 0 to 1."""
    SPILL = "spill"
    """The value is the memory that was missing, in MB."""
    WAITING = "waiting"
    """The attempt waits at its engine. A value of 1 means that it waits for memory."""


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """The settings of a service class.

    Attributes:
        latency_objective: The time, in ticks, within which an answer has its full value.
        objective_stretch: Ticks added to the latency objective for each tick that the query is estimated to
            run on an engine without load.
        deadline: The time, in ticks, within which the final answer is due.
        value: The value of an answer within the latency objective.
        late_value: The value of a later answer.
        idempotency: Whether its queries may run more than once.
        deduplication_scope: The engines that recognise a repeat of its queries.
        deduplication_window: How long engines recognise a repeat, in ticks.
        ordered: Whether queries that share an order key run one at a time.
        zones: The zones whose engines may serve it; None for all.
        machine_kinds: The kinds of machines that may serve it; None for all.
        threads: The threads that one query uses at its engine.
        is_data_load: Whether its queries write tables.
        waits_for_data_loads: Whether its queries wait at their engine until data loads there have ended.
    """

    name: str
    latency_objective: int
    objective_stretch: float
    deadline: int
    value: float
    late_value: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int
    ordered: bool
    zones: tuple[int, ...] | None
    machine_kinds: tuple[int, ...] | None
    threads: int
    is_data_load: bool
    waits_for_data_loads: bool

    def is_involved_in_data_loads(self) -> bool:
        """Returns True if its queries are data loads, or wait for data loads at their engine."""
        return self.is_data_load or self.waits_for_data_loads


@dataclass(frozen=True, slots=True)
class MachineKind:
    """Cores, and memory in MB, of a kind of engine machine; 0 if the settings do not state them."""

    cores: int
    memory: float


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """The place of this gateway in the fleet of gateways.

    Attributes:
        index: The position of this gateway among all gateways, counted from 0.
        gateway_count: The number of gateways, this one included.
        zone: The zone of this gateway.
    """

    index: int
    gateway_count: int
    zone: int


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The operations that the settings allow this gateway, and the reports that it receives.

    Attributes:
        max_attempts: The most attempts of one query, the first included.
        may_cancel: Whether attempts can be cancelled at engines.
        may_hedge: Whether an attempt may be sent while another of the same query still runs.
        may_probe: Whether engines may be probed.
        may_gossip: Whether gateways may send each other datagrams.
        sends_retry_after: Whether a rejection may tell the client after which time to retry.
        max_retry_after: The longest such time, in ticks.
        sends_memory_grants: Whether engines accept memory grants.
        max_grant_share: The largest memory grant, as a part of an engine's memory.
        sends_priorities: Whether engines accept priorities.
        reports_cost: Whether answers report the work done and the memory needed.
        progress_interval: The time between progress reports of an attempt, in ticks; 0 if there are none.
        memory_shortage: How engines treat a query whose memory grant exceeds their free memory.
        subscribes_to_list: Whether the engine list is sent only on request.
        polls_load: Whether engines report their load only when probed, and may be probed for it.
    """

    max_attempts: int
    may_cancel: bool
    may_hedge: bool
    may_probe: bool
    may_gossip: bool
    sends_retry_after: bool
    max_retry_after: int
    sends_memory_grants: bool
    max_grant_share: float
    sends_priorities: bool
    reports_cost: bool
    progress_interval: int
    memory_shortage: MemoryShortage
    subscribes_to_list: bool
    polls_load: bool


@dataclass(frozen=True, slots=True)
class SlowStartTerms:
    """The rule that protects engines from overload after their start.

    Attributes:
        initial_share: The part of its capacity that an engine has when it starts.
        ramp_duration: The time until an engine reaches its whole capacity, in ticks.
        overload_multiple: The most work that may be sent to an engine within the window, as a multiple of the
            work that its present capacity does in that time.
        overload_window: The length of the window in ticks; 0 if the settings do not state the rule.
    """

    initial_share: float
    ramp_duration: int
    overload_multiple: float
    overload_window: int


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
    """The limit on retries, which are all attempts beyond the first of each query.

    Attributes:
        window: The length of the sliding window in ticks; 0 if the settings do not state the limit.
        min_retries: The retries that are allowed in a window whatever the traffic.
        retry_ratio: The further retries that are allowed for each query that was accepted in the window.
    """

    window: int
    min_retries: int
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine in the engine list.

    Attributes:
        weight: The part of the engine that the gateways may fill, as stated by operators; 1 for the whole of
            it. No new query is sent to an engine of weight 0. The weight is not the list's `size`, which is
            the size of the machine.
        started_at: When the engine started; 0 if that was long ago.
    """

    index: int
    name: str
    zone: int
    machine_kind: int
    cell: int
    state: EngineState
    weight: float
    started_at: int


@dataclass(frozen=True, slots=True)
class PlacementConstraints:
    """Restrictions on the engines that a query may be sent to; None in a field means no restriction."""

    zones: tuple[int, ...] | None
    machine_kinds: tuple[int, ...] | None
    cell: int | None
    engines: frozenset[int] | None = None

    def allow(self, engine: EngineEntry) -> bool:
        """Returns True if the engine satisfies all constraints."""
        return (
            (self.zones is None or engine.zone in self.zones)
            and (self.machine_kinds is None or engine.machine_kind in self.machine_kinds)
            and (self.cell is None or engine.cell == self.cell)
            and (self.engines is None or engine.index in self.engines)
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reported. A field is None if the engine does not report that value.

    `running` and `queued` are numbers of queries, the other fields are parts of the engine from 0 to 1.
    """

    running: float | None = None
    queued: float | None = None
    cores_busy: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None

    def as_shares(self, query_share: float) -> list[float]:
        """Returns the reported values as parts of the engine, except for `queued`.

        Args:
            query_share: The part of the engine that one running query uses.
        """
        reported = [self.cores_busy, self.memory_granted, self.disks_busy]
        reported.append(None if self.running is None else self.running * query_share)
        return [share for share in reported if share is not None]


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The policy's present view of a listed engine.

    Attributes:
        health: The health level, from 0 (silent or lost) to 1 (healthy).
        usable: False if the engine is ejected, so that it gets single trial queries only.
        warmed_up: Whether the slow start rule no longer applies to it.
        used_during_slow_start: Whether this gateway sends queries to it during its slow start.
        ramp_share: The part of its capacity that it has at this point of its slow start, from 0 to 1.
        capacity_share: The part of the engine that the grants of this gateway and its proxies may fill.
        memory: The engine's memory in MB.
        cores: The engine's cores.
    """

    entry: EngineEntry
    health: float
    usable: bool
    warmed_up: bool
    used_during_slow_start: bool
    ramp_share: float
    capacity_share: float
    memory: float
    cores: float


@dataclass(slots=True)
class QueryArrival:
    """A query that has arrived at this gateway.

    Attributes:
        index: The caller's index of the query.
        service_class: The index of its service class in the settings.
        tenant: The index of its tenant in the settings.
        order_key: Queries of an ordered service class that share this key run one at a time; None for no key.
        deadline: When the final answer is due.
        estimated_cost: The client's estimate of its work; 0 if it gave none.
        estimated_memory: The client's estimate of its memory in MB; 0 if it gave none.
        table_group: The number of the group of tables that it reads, the same at every gateway.
        is_retry: Whether it is a retry by its client, as far as the caller knows.
        eligible_engines: The engines that may serve it at present, read again for each attempt; None for all.
        earns_no_retries: Whether it does not raise the retry budget, as no client sent it or a client sent it
            again.
    """

    index: int
    service_class: int
    tenant: int
    order_key: int | None
    deadline: int
    estimated_cost: int
    estimated_memory: float
    table_group: int
    is_retry: bool
    eligible_engines: frozenset[int] | None = None
    earns_no_retries: bool = False


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that the policy is created with.

    Attributes:
        order_key_pause: How long, in ticks, an order key is blocked after an attempt that may still run at
            its engine.
        tick: The shortest time between two events that the caller passes to the policy, in ticks.
    """

    service_classes: Sequence[ServiceClass]
    machine_kinds: Sequence[MachineKind]
    position: FleetPosition
    capabilities: Capabilities
    slow_start: SlowStartTerms
    retry_budget: RetryBudgetTerms
    order_key_pause: int
    tick: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, and the values that its engine reported with the answer.

    `duration` is in ticks. `work`, `peak_memory` (in MB) and `load_report` are 0 or None if the engine did
    not report them.
    """

    outcome: Outcome
    duration: int
    work: int = 0
    peak_memory: float = 0.0
    load_report: LoadReport | None = None


class Transport(Protocol):
    """The operations through which the policy acts. Calls take effect in the order in which they are made."""

    @property
    def now(self) -> int:
        """The current time in ticks, on a clock that never goes back."""

    def send_attempt(self, query: int, engine: int, timeout: int) -> None:
        """Sends a query to an engine. A timeout of 0 means that the attempt ends at the query's deadline."""

    def grant_memory(self, query: int, memory: float, priority: int) -> None:
        """Sets the memory grant in MB and the priority of the query's next attempt."""

    def reject(self, query: int, retry_after: int) -> None:
        """Answers the client that the query was rejected and did not run."""

    def fail(self, query: int) -> None:
        """Answers the client that the query failed; it may have run."""

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """Cancels the attempt with this number, counted from 0."""

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to another gateway, or to all others if `peer` is None."""

    def probe_engine(self, engine: int) -> None:
        """Requests a load report from an engine."""

    def subscribe_to_engine_list(self) -> None:
        """Requests the engine list, where it is sent only on request."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Calls `callback` once after a delay in ticks."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""
