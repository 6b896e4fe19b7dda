"""What a scenario describes, as plain values. Operators' keys are in the fields' metadata where they differ.

Settings of gateways are pairs of a path, such as `limits.maxAttempts`, and a value.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from vanerelay.config_field import config_field
from vanerelay.interface import MILLISECOND, SECOND, Duration, Idempotency
from vanerelay.lab.engine_model import Machine, SlowStart

SettingValues = tuple[tuple[str, Any], ...]
ALL_CLASSES = "*"
"""The service class of a burst of all."""


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A service class and its load.

    Attributes:
        queries_per_s: from all clients together.
        work: of one query on one core; its spread is that of a log-normal distribution.
        is_load: it writes a table group.
        hint: in the statements of reads; @SESSION@ and @LAST@ (a load of the same table group that has ended)
            are filled in.
        follows: its queries come shortly after each load of that class has ended, by another gateway.
    """

    name: str
    latency_objective: Duration = config_field("goal")
    deadline: Duration = config_field("limit")
    queries_per_s: float = config_field("rate")
    work: Duration = config_field("work")
    value: float = config_field("utility", default=1.0)
    idempotency: Idempotency = config_field("effect", default=Idempotency.IDEMPOTENT)
    deduplication_window: Duration = config_field("window", default=0)
    work_spread: float = config_field("spread", default=0.4)
    memory_mb: float = config_field("memory", default=100.0)
    threads: int = 1
    zones: tuple[str, ...] = config_field("locations", default=())
    is_load: bool = config_field("load", default=False)
    hint: str = ""
    follows: str = ""


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """What clients do.

    Attributes:
        max_retries: after a rejection; of idempotent queries after any failure.
        backoff: before the first retry, doubled each time.
        load_skew: how much more the first gateway gets than the last.
        failure_notice_delay: after how long the clients' front knows that a gateway is gone.
        table_count: of the table groups that statements name.
        session_count: of the sessions that readers keep.
    """

    max_retries: int = config_field("retries", default=2)
    backoff: Duration = 200 * MILLISECOND
    load_skew: float = config_field("skew", default=1.0)
    failure_notice_delay: Duration = config_field("notice", default=SECOND)
    table_count: int = config_field("tables", default=20)
    session_count: int = config_field("sessions", default=10)


class ReplicaRole(StrEnum):
    """What engines hold of table groups."""

    NONE = ""
    SOURCE = "source"
    """The first of them; loads end there."""
    FOLLOWER = "follows"


@dataclass(frozen=True, slots=True)
class EngineGroup:
    """Engines that are alike, in the zones in turn.

    Attributes:
        checks_fencing: they refuse leased operations of a lease that was taken over.
        replica_role: a `ReplicaRole`.
        cached_table_groups: that one has cached; 0: caches make no difference.
        cold_read_work: core time that a read of another table group takes more.
    """

    kind: str
    count: int
    cores: int = 4
    memory_mb: float = config_field("memory", default=8000.0)
    max_connections: int = config_field("connections", default=0)
    zones: tuple[str, ...] = config_field("locations", default=("here",))
    checks_fencing: bool = config_field("refuses", default=True)
    replica_role: str = config_field("copies", default="")
    replication_lag: Duration = config_field("lag", default=200 * MILLISECOND)
    cached_table_groups: int = config_field("keeps", default=0)
    cold_read_work: Duration = config_field("reading", default=0)

    @property
    def machine(self) -> Machine:
        """Their machine."""
        return Machine(self.cores, self.memory_mb, max_connections=self.max_connections)


@dataclass(frozen=True, slots=True)
class ProcessFile:
    """A file of a process: a text with @WORDS@ that are filled in, or settings of gateways."""

    name: str
    text: str = ""
    settings: SettingValues | None = None


@dataclass(frozen=True, slots=True)
class GatewayGroup:
    """The gateways, in the zones in turn.

    Attributes:
        operator_file: of each, with @WORDS@ that are filled in.
        exchanges_datagrams: they know each other by the settings.
        has_supervisor: each has one, which knows the scenario's releases.
        files: in each one's folder when the run begins.
    """

    count: int
    zones: tuple[str, ...] = config_field("locations", default=("here",))
    memory_mb: int = 192
    max_sockets: int = config_field("sockets", default=1024)
    operator_file: str = config_field("options", default="")
    exchanges_datagrams: bool = config_field("talk", default=False)
    has_supervisor: bool = config_field("keeper", default=False)
    files: tuple[ProcessFile, ...] = ()


@dataclass(frozen=True, slots=True)
class Program:
    """Another process of a run, such as a controller.

    Attributes:
        arguments: after `vanerelay`.
        restart_arguments: where it is started once more after a fault; empty: the same.
        expected_exit_code: that it has to end with; -1: any.
    """

    name: str
    arguments: tuple[str, ...] = config_field("words")
    starts_at: Duration = config_field("at", default=0)
    restart_arguments: tuple[str, ...] = config_field("again", default=())
    expected_exit_code: int = config_field("exits", default=-1)
    files: tuple[ProcessFile, ...] = ()

    @property
    def has_to_end(self) -> bool:
        """Whether the run waits for it to end."""
        return self.expected_exit_code >= 0


@dataclass(frozen=True, slots=True)
class Release:
    """A program to start gateways from.

    Attributes:
        gateways: that start on it, by a pattern.
        tree: the folder with the package; empty: this one.
        operator_file, settings: in place of the scenario's.
        shim: Python that is run in each of its processes at the start, for releases that are bad on purpose.
    """

    name: str
    gateways: str = config_field("managers", default="")
    tree: str = ""
    operator_file: str = config_field("options", default="")
    shim: str = ""
    settings: SettingValues = ()


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that a gateway may make within any window: some for free, and a share of its queries."""

    window: Duration = config_field("span", default=10 * SECOND)
    free_retries: int = config_field("free", default=10)
    share: float = 0.1


class FaultAction(StrEnum):
    """What a fault does; operators write these words."""

    SLOW = "slow"
    HOLD = "hold"
    SWALLOW = "swallow"
    REFUSE = "refuse"
    RESET = "reset"
    CUT = "cut"
    KILL = "kill"
    FREEZE = "freeze"
    END = "end"
    SETTINGS = "settings"
    CRASH = "crash"
    VANISH = "vanish"
    STALL = "stall"
    PACE = "pace"
    ERRORS = "errors"
    DRAIN = "drain"
    REPLACE = "replace"
    LAG = "lag"
    STICK = "stick"
    RESTORE = "restore"
    LEAD = "lead"
    LOAD = "load"


class FolderFate(StrEnum):
    """What becomes of a gateway's folder when it is struck."""

    KEPT = "kept"
    GONE = "gone"
    FOUNDED = "founded"
    """Gone, and the files of the beginning are written anew."""


ACTIONS_BY_TARGET = {
    "links": (
        FaultAction.SLOW,
        FaultAction.HOLD,
        FaultAction.SWALLOW,
        FaultAction.REFUSE,
        FaultAction.RESET,
        FaultAction.CUT,
    ),
    "managers": (FaultAction.KILL, FaultAction.FREEZE, FaultAction.END, FaultAction.SETTINGS),
    "programs": (FaultAction.KILL, FaultAction.FREEZE, FaultAction.END),
    "engines": (
        FaultAction.CRASH,
        FaultAction.VANISH,
        FaultAction.STALL,
        FaultAction.PACE,
        FaultAction.ERRORS,
        FaultAction.DRAIN,
        FaultAction.REPLACE,
        FaultAction.LAG,
        FaultAction.STICK,
        FaultAction.RESTORE,
        FaultAction.LEAD,
    ),
    "": (FaultAction.LOAD,),
}
"""By the key that names what a fault strikes."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at a time.

    Attributes:
        duration: 0: for good, or at one moment.
        links, gateways, engines, programs: what it strikes, by patterns; one of them alone.
        action: a `FaultAction`.
        delay, jitter, bytes_per_s, loss: of a slow link; `delay` of a replica that lags.
        factor: of load, of an engine's time, its part of errors, the loads that a replica goes back.
        folder: a `FolderFate`.
        release: that a gateway is started from next.
        interval: it comes again each time; 0: once.
        service_class: of a burst.
    """

    name: str
    at: Duration
    duration: Duration = config_field("lasting", default=0)
    links: tuple[str, ...] = ()
    gateways: str = config_field("managers", default="")
    engines: str = ""
    programs: str = ""
    action: str = config_field("do", default="")
    delay: Duration = 0
    jitter: Duration = 0
    bytes_per_s: float = config_field("rate", default=0.0)
    loss: float = 0.0
    factor: float = 1.0
    folder: str = FolderFate.KEPT.value
    release: str = ""
    interval: Duration = config_field("every", default=0)
    service_class: str = config_field("group", default=ALL_CLASSES)
    settings: SettingValues = ()

    @property
    def targets(self) -> dict[str, object]:
        """What it strikes, by the key that names it."""
        named = {
            "links": self.links,
            "managers": self.gateways,
            "engines": self.engines,
            "programs": self.programs,
        }
        return {key: target for key, target in named.items() if target}


@dataclass(frozen=True, slots=True)
class Publication:
    """Table groups that come out one after the other: a load of each, then reads that fade.

    Attributes:
        load_class, read_class: service classes.
        spacing: between table groups.
        interval: all come out again each time; 0: once.
        reads_per_s: at first; half as many after each `half_life`.
        notice_delay: from the load to the first reads.
        has_readers: whether anybody reads.
    """

    name: str
    load_class: str = config_field("load")
    read_class: str = config_field("group")
    starts_at: Duration = config_field("at")
    first_table: int = config_field("first")
    last_table: int = config_field("last")
    spacing: Duration = config_field("apart", default=SECOND)
    interval: Duration = config_field("every", default=0)
    reads_per_s: float = config_field("rate", default=10.0)
    half_life: Duration = config_field("half", default=4 * SECOND)
    notice_delay: Duration = config_field("noticed", default=SECOND)
    has_readers: bool = config_field("reads", default=True)


@dataclass(frozen=True, slots=True)
class Expectation:
    """What a run has to reach to be called good, beside the rules.

    Attributes:
        served_value: the part of the value offered that has to be earned within the latency objectives.
        since: from then on.
    """

    served_value: float = config_field("served", default=0.0)
    since: Duration = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario.

    Attributes:
        discovery_delay: how long after a change the discovery service has it.
        grace: after the load ends, until everything must have been answered.
    """

    name: str
    length: Duration
    service_classes: tuple[ServiceClass, ...]
    engine_groups: tuple[EngineGroup, ...]
    gateways: GatewayGroup
    releases: tuple[Release, ...]
    programs: tuple[Program, ...]
    clients: ClientBehaviour
    slow_start: SlowStart
    retry_budget: RetryBudget
    faults: tuple[Fault, ...]
    publications: tuple[Publication, ...]
    expectation: Expectation
    settings: SettingValues
    discovery_delay: Duration
    grace: Duration

    def engine_group(self, kind: str) -> EngineGroup:
        """The engines of a kind."""
        return next(group for group in self.engine_groups if group.kind == kind)

    @property
    def zones(self) -> list[str]:
        """All zones, those of gateways first."""
        of_engines = (zone for group in self.engine_groups for zone in group.zones)
        return list(dict.fromkeys([*self.gateways.zones, *of_engines]))

    def all_faults(self) -> list[Fault]:
        """All faults in order of time, those that repeat once for each time that they come."""
        found = list[Fault]()
        for fault in self.faults:
            at = fault.at
            while at < self.length:
                found.append(dataclasses.replace(fault, at=at))
                if not fault.interval:
                    break
                at += fault.interval
        return sorted(found, key=lambda fault: fault.at)
