"""How a subsystem joins the served program: what it sees of it, what it is notified of, what it answers.

Only types stand here, below `net/` and all subsystems. Which subsystems there are is in `extension_registry`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from vanerelay.attempt_outcome import AttemptEnd
    from vanerelay.clock import Clock
    from vanerelay.engine_list import EngineListChange
    from vanerelay.interface import AnswerStatus, Outcome
    from vanerelay.policy.gateway import Gateway

ListListener = Callable[["EngineListChange"], None]
"""Told of each change of the engine list."""

DiscoveryAnswerListener = Callable[[], None]
"""Told that the discovery service has answered, whatever it said."""


class StartupError(Exception):
    """Why the program cannot start, in one line."""


class ExtensionHost(Protocol):
    """The served program, as a subsystem sees it."""

    @property
    def reactor(self) -> Any:
        """The event loop."""

    @property
    def clock(self) -> Clock:
        """The clock of the process."""

    @property
    def name(self) -> str:
        """The name of this gateway."""

    @property
    def seed(self) -> int:
        """The seed of all that is drawn by chance."""

    @property
    def supervised(self) -> bool:
        """Whether a supervisor holds the clients' listening socket."""

    @property
    def settings(self) -> dict[str, Any]:
        """The settings in force, as the JSON object that was read."""

    @property
    def limits(self) -> Mapping[str, Any]:
        """What the platform gives this process, under the platform's names."""

    @property
    def zones(self) -> Mapping[str, int]:
        """The rows of the zones that the settings name."""

    @property
    def machine_kinds(self) -> Mapping[str, int]:
        """The rows of the machine kinds that the settings name."""

    @property
    def gateway(self) -> Gateway:
        """The decisions in force."""

    def engine_addresses(self) -> dict[int, str]:
        """Where each engine is listed, by its index."""

    def apply_settings(self, settings: dict[str, Any]) -> str | None:
        """Goes on under other settings; the reason where it cannot."""

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        """Sends an engine a command that is no query. The Deferred never fails."""

    def large_list_applied(self) -> None:
        """A change of many engines has been applied."""

    def submit_internal(
        self, service_class: str, statement: str, engine: int, memory: float, max_duration: int
    ) -> InternalQuery | None:
        """Submits a query of the gateway itself to one engine; None where it cannot be taken now."""


@dataclass(frozen=True, slots=True)
class QueryInfo:
    """A query as its client brings it. Times in ticks."""

    reference: str
    service_class: str
    statement: str
    latency_objective: int
    time_left: int


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A query that an engine has completed.

    Attributes:
        table_group: The group of tables that it names; 0 for none.
        writes: Whether it wrote them.
        work: The work that the engine reported, in ticks of core time.
        internal: Whether it was a query of the gateway itself.
    """

    table_group: int
    writes: bool
    engine: int
    work: int
    internal: bool


class InternalQuery(Protocol):
    """A query of the gateway itself, for no client."""

    @property
    def done(self) -> Deferred[AnswerStatus]:
        """Fires with the final answer, and never fails."""

    def cancel(self) -> None:
        """Nobody waits for it any more."""


class ConstrainedQuery(Protocol):
    """A query that is held back until its constraint names the engines that may serve it."""

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        """Names the engines that may serve it from now on, in each further attempt as well; None for all."""

    def reject(self, retry_after: int) -> None:
        """Rejects it at once, where no engine may serve it. Does nothing once the decisions have it."""


class QueryConstraint:
    """What a subsystem demands of the engines and answers of one query. Each call does nothing here."""

    def start(self, query: ConstrainedQuery) -> None:
        """The query is held. Its engines are named now or later."""
        query.restrict_to(None)

    def attempt_sent(self, engine: int) -> None:
        """An attempt goes out."""

    def accepts_answer(self, engine: int, fields: Mapping[str, str]) -> bool:
        """Whether an answer may be handed on; else it counts as malformed, and a retry may follow."""
        return True

    def attempt_failed(self, engine: int, outcome: Outcome) -> None:
        """An attempt ended without an answer."""

    def answer_fields(self) -> dict[str, str]:
        """Named values to add to the answer that was accepted."""
        return {}

    def finished(self) -> None:
        """The query has its final answer, or nobody waits for it any more."""


class Extension:
    """One subsystem in the program. Methods are called in the order given here; each does nothing here."""

    busy = False
    """Whether something is under way that a long pass of the event loop would disturb."""

    def initial_settings(self, settings: dict[str, Any]) -> dict[str, Any]:
        """The settings to start with in place of those configured."""
        return settings

    def reloaded_settings(self, settings: dict[str, Any]) -> dict[str, Any]:
        """The settings to go on with in place of those that were read again."""
        return settings

    def wrap_discovery(
        self, on_change: ListListener, on_answer: DiscoveryAnswerListener | None
    ) -> tuple[ListListener, DiscoveryAnswerListener | None]:
        """The listeners of the discovery service in place of these."""
        return on_change, on_answer

    def open(self) -> None:
        """The list known at the start is in force. Raises StartupError."""

    def start(self) -> None:
        """All extensions are open. Raises StartupError."""

    def loop_starting(self) -> None:
        """The event loop is about to run."""

    def engines_changed(self, change: EngineListChange) -> None:
        """A change of the engine list is in force."""

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """The constraint of a query; None for no constraint, a reason where it cannot be served as asked."""
        return None

    def engine_ran(self, run: EngineRun) -> None:
        """An engine has completed a query, and its answer was handed on."""

    def query_answered(
        self, service_class: str, earned: float, status: int, duration: int, attempts: int
    ) -> None:
        """A query has its final answer; `earned` is the part of its value that the answer earned."""

    def settings_conflict(self, settings: dict[str, Any]) -> str | None:
        """Why these settings cannot replace those in force."""
        return None

    def settings_applied(self, settings: dict[str, Any]) -> dict[str, Any]:
        """These settings are in force; named values for the log line."""
        return {}

    def draining(self) -> None:
        """Nothing new is to be begun."""

    def stop(self) -> Deferred[Any] | None:
        """All queries are answered. Fires once the extension has ended; None where it has already."""
        return None


def overrides(extension: Extension, method: str) -> bool:
    """Whether an extension overrides a method, so that nothing is worked out for nobody."""
    return getattr(type(extension), method) is not getattr(Extension, method)
