"""The interface between the served program and its subsystems, which take part in it as extensions.

This module holds types only, so that `net/` and all subsystems may import it. `extension_registry` creates
the extensions.
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
"""Is called with each change of the engine list."""

DiscoveryAnswerListener = Callable[[], None]
"""Is called whenever the discovery service has answered, with or without changes."""


class StartupError(Exception):
    """The reason why the program cannot start, in one line."""


class ExtensionHost(Protocol):
    """The part of the served program that subsystems use."""

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
        """The seed of all random generators."""

    @property
    def supervised(self) -> bool:
        """True if a supervisor holds the listening socket for clients."""

    @property
    def settings(self) -> dict[str, Any]:
        """The current settings, as the JSON object that was read."""

    @property
    def limits(self) -> Mapping[str, Any]:
        """The resource limits that the platform sets for this process, under the platform's names."""

    @property
    def zones(self) -> Mapping[str, int]:
        """The index of each zone that the settings list, by name."""

    @property
    def machine_kinds(self) -> Mapping[str, int]:
        """The index of each machine kind that the settings list, by name."""

    @property
    def gateway(self) -> Gateway:
        """The policy's gateway under the current settings."""

    def engine_addresses(self) -> dict[int, str]:
        """Returns the address of each listed engine, by the engine's index."""

    def apply_settings(self, settings: dict[str, Any]) -> str | None:
        """Replaces the current settings. Returns None, or the reason why they cannot be replaced."""

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        """Sends an engine a command that is not a query. The Deferred never fails."""

    def large_list_applied(self) -> None:
        """Notifies the program that a change of many engines has been applied."""

    def submit_internal(
        self, service_class: str, statement: str, engine: int, memory: float, max_duration: int
    ) -> InternalQuery | None:
        """Submits a query of this gateway itself to one engine.

        Args:
            service_class: The name of its service class.
            statement: The statement to run.
            engine: The index of the engine.
            memory: The estimate of its memory, in MB.
            max_duration: The time until its deadline, in ticks; limited to the deadline of its service class.

        Returns:
            The query, or None if it cannot be admitted now.
        """


@dataclass(frozen=True, slots=True)
class QueryInfo:
    """A query as its client sent it.

    Attributes:
        reference: The id that its client gave it.
        latency_objective: The latency objective, in ticks.
        time_left: The time until its deadline, in ticks.
    """

    reference: str
    service_class: str
    statement: str
    latency_objective: int
    time_left: int


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A run of a query that an engine has completed.

    Attributes:
        table_group: The table group of the query; 0 for none.
        writes: True if it wrote to the table group.
        engine: The index of the engine.
        work: The core time that the engine reported, in ticks.
        internal: True if this gateway submitted the query itself.
    """

    table_group: int
    writes: bool
    engine: int
    work: int
    internal: bool


class InternalQuery(Protocol):
    """A query that this gateway submits itself, without a client."""

    @property
    def done(self) -> Deferred[AnswerStatus]:
        """Fires with the status of the final answer, and never fails."""

    def cancel(self) -> None:
        """Cancels the query, as its answer is no longer needed."""


class ConstrainedQuery(Protocol):
    """A query that is held until its constraint names the engines that may serve it."""

    def restrict_to(self, engines: frozenset[int] | None) -> None:
        """Restricts this and each later attempt to these engines; None allows all engines."""

    def reject(self, retry_after: int) -> None:
        """Rejects the query at once because no engine may serve it.

        Has no effect once the query has been submitted to the policy.

        Args:
            retry_after: The time after which the client may retry, in ticks.
        """


class QueryConstraint:
    """The demands of a subsystem on the engines and answers of one query. By default there are none."""

    def start(self, query: ConstrainedQuery) -> None:
        """Is called when the query is held. Calls `query.restrict_to` or `query.reject`, at once or later."""
        query.restrict_to(None)

    def attempt_sent(self, engine: int) -> None:
        """Is called when an attempt is sent."""

    def accepts_answer(self, engine: int, fields: Mapping[str, str]) -> bool:
        """Returns True if an answer may be passed on.

        An answer that may not be passed on counts as malformed, and a retry may follow.
        """
        return True

    def attempt_failed(self, engine: int, outcome: Outcome) -> None:
        """Is called when an attempt has ended without an answer."""

    def answer_fields(self) -> dict[str, str]:
        """Returns the fields to add to the accepted answer."""
        return {}

    def finished(self) -> None:
        """Is called when the query has its final answer, or its client no longer waits for one."""


class Extension:
    """A subsystem as part of the served program.

    Methods are called in the order in which they are defined. By default none of them has an effect.
    """

    busy = False
    """True while the extension does work that a long pass of the event loop would disturb."""

    def initial_settings(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Returns the settings to start with, given the configured ones."""
        return settings

    def reloaded_settings(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Returns the settings to apply on a reload, given those that were read."""
        return settings

    def wrap_discovery(
        self, on_change: ListListener, on_answer: DiscoveryAnswerListener | None
    ) -> tuple[ListListener, DiscoveryAnswerListener | None]:
        """Returns the listeners to register with the discovery service in place of these."""
        return on_change, on_answer

    def open(self) -> None:
        """Is called once the engine list known at the start has been applied. Raises StartupError."""

    def start(self) -> None:
        """Is called once all extensions are open. Raises StartupError."""

    def loop_starting(self) -> None:
        """Is called just before the event loop runs."""

    def engines_changed(self, change: EngineListChange) -> None:
        """Is called once a change of the engine list has been applied."""

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """Returns the constraint of a query.

        Returns None for no constraint, or the reason why the query cannot be served as requested.
        """
        return None

    def engine_ran(self, run: EngineRun) -> None:
        """Is called when an engine has completed a query and its answer has been passed on."""

    def query_answered(
        self, service_class: str, earned: float, status: int, duration: int, attempts: int
    ) -> None:
        """Is called when a query has its final answer.

        Args:
            service_class: The name of its service class.
            earned: The part of the query's value that the answer earned.
            status: The status of the answer.
            duration: The time that the query took, in ticks.
            attempts: The number of attempts.
        """

    def settings_conflict(self, settings: dict[str, Any]) -> str | None:
        """Returns the reason why these settings cannot replace the current ones; None if they can."""
        return None

    def settings_applied(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Is called once these settings have been applied. Returns fields for the log line."""
        return {}

    def draining(self) -> None:
        """Is called when the program begins to shut down. The extension starts nothing new from then on."""

    def stop(self) -> Deferred[Any] | None:
        """Is called once all queries are answered.

        Returns a Deferred that fires when the extension has ended, or None if it has ended already.
        """
        return None


def overrides(extension: Extension, method: str) -> bool:
    """Returns True if an extension overrides a method.

    The program prepares arguments only for methods that an extension overrides.
    """
    return getattr(type(extension), method) is not getattr(Extension, method)
