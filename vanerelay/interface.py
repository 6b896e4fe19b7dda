"""Types that go in and out of the decision module, and the protocol it calls out through.

All times are whole tenths of a millisecond. Batches and engines go by small indices that the
caller hands out; an engine's name is kept beside its index only because it is the same at every
gateway. Nothing in this file chooses anything.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Protocol

MILLISECOND = 10
SECOND = 10_000
Span = Annotated[int, "a length of time"]  # so marked where operators write it with a unit


class Outcome(Enum):
    """How one dispatch ended."""

    RETURNED = "returned"
    ERRORED = "errored"
    PUSHED_BACK = "pushed back"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    SPOILT = "spoilt"  # something came that was no answer: no word of the engine's health


NEVER_RAN = frozenset({Outcome.PUSHED_BACK, Outcome.NO_CONNECTION, Outcome.NOT_SENT})
UNSTOPPED = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.SPOILT})  # may run on
SPOKEN = frozenset({Outcome.RETURNED, Outcome.ERRORED, Outcome.PUSHED_BACK, Outcome.SPOILT})  # it lives


class Effect(Enum):
    """What a second run of a batch would do."""

    REPEATABLE = "repeatable"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Scope(Enum):
    """The engines that drop repeats of a referenced batch."""

    ALL = "all"
    LOCATION = "location"
    CELL = "cell"


class EngineState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Shortage(Enum):
    """What an engine does with a batch whose grant passes its free memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


class NoteKind(Enum):
    PROGRESS = "progress"
    SPILL = "spill"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """What the operators state of one service group."""

    name: str
    goal: int
    goal_stretch: float
    time_limit: int
    utility: float
    late_utility: float
    effect: Effect
    scope: Scope
    window: int
    in_order: bool
    locations: tuple[int, ...] | None
    kinds: tuple[int, ...] | None
    threads: int
    is_load: bool
    waits_for_loads: bool

    def meets_loads(self) -> bool:
        return self.is_load or self.waits_for_loads


@dataclass(frozen=True, slots=True)
class MachineKind:
    """Cores and memory (MB) of one kind of machine; 0 where not told."""

    cores: int
    memory: float


@dataclass(frozen=True, slots=True)
class Place:
    """Where this gateway stands among its peers."""

    number: int
    gateways: int
    location: int


@dataclass(frozen=True, slots=True)
class Allowances:
    """What this gateway may do, and what it hears, as told. `notes_every`: the time between notes of progress
    of a dispatch, 0: none. `asks`: engines tell their load only when probed, and may be."""

    most_dispatches: int
    cancel: bool
    copies: bool
    probes: bool
    peers: bool
    retry_times: bool
    longest_retry_time: int
    grants: bool
    most_grant: float
    priorities: bool
    tells_cost: bool
    notes_every: int
    shortage: Shortage
    on_request: bool
    asks: bool


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Figures of the rule that guards freshly started engines."""

    share: float
    warm_after: int
    multiple: float
    window: int


@dataclass(frozen=True, slots=True)
class RationTerms:
    """Figures of the rule on further dispatches; a span of 0 means that none is stated."""

    span: int
    free: int
    share: float


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One line of the list of engines; `started` is 0 when that was long ago. `weight` is the operators' word
    on how much of the engine is ours to fill, 1 the whole of it; nothing new goes to one of 0. It is not the
    feed's `size`, which counts the units of a machine and of which the kind tells enough."""

    engine: int
    name: str
    location: int
    kind: int
    cell: int
    state: EngineState
    weight: float
    started: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The engines that a batch may go to, by location, kind and cell, and one by one; None: all of them."""

    locations: tuple[int, ...] | None
    kinds: tuple[int, ...] | None
    cell: int | None
    engines: frozenset[int] | None = None

    def admits(self, engine: EngineEntry) -> bool:
        return (
            (self.locations is None or engine.location in self.locations)
            and (self.kinds is None or engine.kind in self.kinds)
            and (self.cell is None or engine.cell == self.cell)
            and (self.engines is None or engine.engine in self.engines)
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine said of its load; None where it says nothing of the kind."""

    running: float | None = None
    waiting: float | None = None
    cores_busy: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None

    def shares(self, one: float) -> list[float]:
        """All that was told as a share of the engine, where `one` is the share that a batch takes."""
        told = [self.cores_busy, self.memory_granted, self.disks_busy]
        told.append(None if self.running is None else self.running * one)
        return [share for share in told if share is not None]


@dataclass(frozen=True, slots=True)
class Condition:
    """How the module holds a listed engine at the moment. `level`: its health, 0 to 1, `sound` whether that
    lets more than a trial through; `warm`: past the rule on cold engines, else `ours` whether this gateway
    warms it at all, and `share` how far it has come; `part`: what of the engine our grants and those of our
    proxies may fill."""

    entry: EngineEntry
    level: float
    sound: bool
    warm: bool
    ours: bool
    share: float
    part: float
    memory: float
    cores: float


@dataclass(slots=True)
class Arrival:
    """A batch as it comes in; cost is 0 and memory 0 where no estimate was told. The number of its table
    group is the same at every gateway. `among`: the engines that may serve it now, None: all; looked at anew
    for each dispatch. `spare`: it earns no further dispatches: no client brought it, or brought it again."""

    index: int
    group: int
    customer: int
    key: int | None
    time_limit: int
    cost: int
    memory: float
    tables: int
    is_retry: bool
    among: frozenset[int] | None = None
    spare: bool = False


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What the decision module is told at its start.

    `order_pause`: how long a key rests after an attempt that may still run. `tick`: the shortest time between
    two events that the caller hands on.
    """

    groups: Sequence[ServiceGroup]
    kinds: Sequence[MachineKind]
    place: Place
    allowed: Allowances
    cold: ColdStart
    ration: RationTerms
    order_pause: int
    tick: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    `work`, `memory` and `report` are what its engine told of the work done, the memory needed and its own
    load; 0 or None where it told nothing.
    """

    outcome: Outcome
    duration: int
    work: int = 0
    memory: float = 0.0
    report: LoadReport | None = None


class Transport(Protocol):
    """All that the decision module can do to the world. Calls take effect in the order made."""

    @property
    def now(self) -> int: ...

    def dispatch(self, batch: int, engine: int, time_out: int) -> None: ...

    def grant(self, batch: int, memory: float, priority: int) -> None: ...

    def push_back(self, batch: int, retry_after: int) -> None: ...

    def error(self, batch: int) -> None: ...

    def cancel(self, batch: int, dispatch: int) -> None: ...

    def tell(self, peer: int | None, data: bytes) -> None: ...

    def probe(self, engine: int) -> None: ...

    def subscribe(self) -> None: ...

    def call_later(self, delay: int, callback: Callable[[], None]) -> None: ...

    def log(self, text: str) -> None: ...
