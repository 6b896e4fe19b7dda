"""The types that go into and come out of the decisions, and the protocol that the decisions call out through.

All times are whole ticks of a tenth of a millisecond; memory is in MB. Queries and engines go by small
indices that the caller hands out; an engine's name is the same at every gateway. Nothing here chooses.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Annotated, Protocol

MILLISECOND = 10
SECOND = 10_000
Duration = Annotated[int, "a length of time"]
"""A duration in ticks. The marker lets operators write it with a unit in their files."""


class Outcome(Enum):
    """How one attempt ended, as far as the decisions distinguish ends."""

    COMPLETED = "completed"
    FAILED = "failed"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    MALFORMED = "malformed answer"  # bytes that are no answer: they say nothing of the engine's health


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT})
"""Outcomes after which the query certainly did not run at the engine."""

MAY_STILL_RUN = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.MALFORMED})
"""Outcomes after which the query may still be running at the engine."""

ENGINE_RESPONDED = frozenset({Outcome.COMPLETED, Outcome.FAILED, Outcome.REJECTED, Outcome.MALFORMED})
"""Outcomes that prove that the engine is alive."""


class AnswerStatus(IntEnum):
    """The final answer of a query; the numbers are those of the clients' protocol."""

    COMPLETED = 0
    REJECTED = 1
    FAILED = 2


class Idempotency(Enum):
    """What a second run of a query would do. The values are words of the laboratory's scenarios."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "referenced"
    """Engines drop repeats that carry the same idempotency key."""
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """The engines that recognise repeats of a deduplicated query."""

    ALL = "all"
    ZONE = "location"
    CELL = "cell"


class EngineState(Enum):
    """What the engine list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class MemoryShortage(Enum):
    """What an engine does with a query whose grant exceeds its free memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


class ProgressKind(Enum):
    """What an engine reports of a running attempt."""

    PROGRESS = "progress"
    """The value is the part that is done, from 0 to 1."""
    SPILL = "spill"
    """The value is the memory in MB that was missing."""
    WAITING = "waiting"
    """The attempt waits at its engine; a value of 1 means that it waits for memory."""


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What the settings state of one service class.

    Attributes:
        latency_objective: The time within which an answer earns the full value.
        objective_stretch: How much the objective grows with the query's estimated cost.
        deadline: The time within which the final answer is due.
        value: What an answer within the objective is worth.
        late_value: What a later answer is worth.
        deduplication_window: How long engines recognise repeats.
        ordered: Whether queries that share an order key run one at a time.
        zones: Zones that may serve it; None for all. `machine_kinds` likewise.
        threads: Threads that one query uses at its engine.
        is_data_load: Whether its queries write tables.
        waits_for_data_loads: Whether its queries wait for data loads at their engine.
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

    def meets_data_loads(self) -> bool:
        """Whether its queries can hold up, or be held up by, queries of another class at an engine."""
        return self.is_data_load or self.waits_for_data_loads


@dataclass(frozen=True, slots=True)
class MachineKind:
    """Cores and memory of one kind of engine machine; 0 where the settings do not state them."""

    cores: int
    memory: float


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """Where this gateway stands among its peers."""

    index: int
    gateway_count: int
    zone: int


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What this gateway may do, and what is reported to it, according to the settings.

    Attributes:
        max_attempts: Attempts of one query, the first included.
        may_cancel: Whether attempts can be cancelled at engines.
        may_hedge: Whether a second attempt may run beside another.
        may_probe: Whether engines may be probed.
        may_gossip: Whether gateways may send each other datagrams.
        sends_retry_after: Whether a rejection may name a time to retry after, `max_retry_after` at most.
        sends_memory_grants: Whether engines take memory grants.
        max_grant_share: The largest grant, as a part of an engine's memory.
        sends_priorities: Whether engines take priorities.
        reports_cost: Whether answers report the work done and the memory needed.
        progress_interval: The time between progress reports of an attempt; 0 where there are none.
        subscribes_to_list: Whether the engine list comes only on request.
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
    """The rule that protects freshly started engines.

    Attributes:
        initial_share: The part of its capacity that an engine has when it starts.
        ramp_duration: How long it takes to reach its whole capacity.
        overload_multiple: How many times its capacity of the moment it may be sent within the window.
        overload_window: The window; 0 means that the rule is not stated.
    """

    initial_share: float
    ramp_duration: int
    overload_multiple: float
    overload_window: int


@dataclass(frozen=True, slots=True)
class RetryBudgetTerms:
    """The rule on attempts beyond the first of each query, within any window; a window of 0: not stated.

    Attributes:
        min_retries: Retries that are allowed whatever the traffic.
        retry_ratio: Further retries for each query that was taken.
    """

    window: int
    min_retries: int
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One engine of the engine list.

    Attributes:
        weight: What operators state of how much of the engine is ours to fill, 1 for the whole of it; nothing
            new is sent to an engine of weight 0. It is not the list's `size`, the size of the machine.
        started_at: When the engine started; 0 when that was long ago.
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
    """The engines that a query may be sent to; None in a field means any."""

    zones: tuple[int, ...] | None
    machine_kinds: tuple[int, ...] | None
    cell: int | None
    engines: frozenset[int] | None = None

    def allow(self, engine: EngineEntry) -> bool:
        """Whether the engine satisfies all constraints."""
        return (
            (self.zones is None or engine.zone in self.zones)
            and (self.machine_kinds is None or engine.machine_kind in self.machine_kinds)
            and (self.cell is None or engine.cell == self.cell)
            and (self.engines is None or engine.index in self.engines)
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine reported of its load; None where it reports nothing of the kind.

    `running` and `queued` are numbers of queries, the others parts of the engine from 0 to 1.
    """

    running: float | None = None
    queued: float | None = None
    cores_busy: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None

    def as_shares(self, query_share: float) -> list[float]:
        """All that was reported as parts of the engine; `query_share` is the part that one query takes."""
        reported = [self.cores_busy, self.memory_granted, self.disks_busy]
        reported.append(None if self.running is None else self.running * query_share)
        return [share for share in reported if share is not None]


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """How the decisions see a listed engine at the moment.

    Attributes:
        health: From 0 (silent or lost) to 1 (healthy).
        usable: Whether its health lets more than single trial queries through.
        warmed_up: Whether the slow start rule no longer applies to it.
        ramped_here: Whether this gateway sends to it at all while it warms up.
        ramp_share: How far it has come in its slow start, from 0 to 1.
        capacity_share: The part of the engine that our grants and those of our proxies may fill.
    """

    entry: EngineEntry
    health: float
    usable: bool
    warmed_up: bool
    ramped_here: bool
    ramp_share: float
    capacity_share: float
    memory: float
    cores: float


@dataclass(slots=True)
class QueryArrival:
    """A query as it comes in.

    Attributes:
        index: The caller's index of the query.
        service_class: The row of its service class in the settings; `tenant` likewise.
        order_key: Queries of an ordered class that share it run one at a time; None where it has none.
        deadline: When the final answer is due.
        estimated_cost: The client's estimate of its work, 0 where it gave none; `estimated_memory` likewise.
        table_group: The number of the group of tables that it reads, the same at every gateway.
        eligible_engines: The engines that may serve it now, looked at anew for each attempt; None for all.
        earns_no_retries: Whether it adds nothing to the retry budget: no client brought it, or not for the
            first time.
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
    """What the decisions are given at their start.

    Attributes:
        order_key_pause: How long an order key rests after an attempt that may still run.
        tick: The shortest time between two events that the caller hands on.
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
    """How an attempt ended, and what its engine reported with the answer.

    `work`, `peak_memory` and `load_report` are 0 or None where the engine reported nothing.
    """

    outcome: Outcome
    duration: int
    work: int = 0
    peak_memory: float = 0.0
    load_report: LoadReport | None = None


class Transport(Protocol):
    """All that the decisions can do to the world. Calls take effect in the order made."""

    @property
    def now(self) -> int:
        """The present moment, on a clock that never goes back."""

    def send_attempt(self, query: int, engine: int, timeout: int) -> None:
        """Sends a query to an engine. A timeout of 0 means until the query's deadline."""

    def grant_memory(self, query: int, memory: float, priority: int) -> None:
        """Sets the memory grant and the priority of the attempt that is sent next."""

    def reject(self, query: int, retry_after: int) -> None:
        """Gives the final answer that the query was rejected and did not run."""

    def fail(self, query: int) -> None:
        """Gives the final answer that the query failed; it may have run."""

    def cancel_attempt(self, query: int, attempt: int) -> None:
        """Cancels one attempt by its number, counted from 0."""

    def send_to_peers(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to another gateway, or to all of them."""

    def probe_engine(self, engine: int) -> None:
        """Asks an engine for its load."""

    def subscribe_to_engine_list(self) -> None:
        """Asks for the engine list, where it comes only on request."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Calls back once, after a delay."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""
