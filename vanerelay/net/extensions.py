"""Calls of the extensions: only methods that they override are called, and an error affects no other part."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, ParamSpec, TypeVar

import structlog

from vanerelay.extension import EngineRun, Extension, QueryConstraint, QueryInfo, overrides

if TYPE_CHECKING:
    from vanerelay.engine_list import EngineListChange
    from vanerelay.interface import AnswerStatus

EXTENSION_ERROR = "a subsystem met a fault"
"""The log event. It is also sent, as the explanation to a client whose query fails because of the error."""
Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")

log = structlog.get_logger()


def call_extension(
    call: Callable[Arguments, Result], *arguments: Arguments.args, **keywords: Arguments.kwargs
) -> Result | None:
    """Calls an extension. Returns None if it raises an exception, which is logged."""
    try:
        return call(*arguments, **keywords)
    except Exception:
        log.exception(EXTENSION_ERROR)
        return None


class Extensions:
    """All extensions, by the methods that they override, so that nothing is computed without a listener."""

    def __init__(self) -> None:
        self._list_listeners = list[Extension]()
        self._constraining_extensions = list[Extension]()
        self._answer_listeners = list[Extension]()
        self._run_listeners = list[Extension]()

    def add(self, extensions: Iterable[Extension]) -> None:
        """Calls these extensions from now on."""
        for extension in extensions:
            for method, listeners in (
                ("engines_changed", self._list_listeners),
                ("constrain", self._constraining_extensions),
                ("query_answered", self._answer_listeners),
                ("engine_ran", self._run_listeners),
            ):
                if overrides(extension, method):
                    listeners.append(extension)

    @property
    def has_constraints(self) -> bool:
        """Returns True if an extension may constrain queries."""
        return bool(self._constraining_extensions)

    @property
    def has_answer_listeners(self) -> bool:
        """Returns True if an extension is notified of the answers of queries."""
        return bool(self._answer_listeners)

    @property
    def has_run_listeners(self) -> bool:
        """Returns True if an extension is notified of the runs of queries on engines."""
        return bool(self._run_listeners)

    def notify_engines_changed(self, change: EngineListChange) -> None:
        """Notifies extensions that a change of the engine list has been applied."""
        for extension in self._list_listeners:
            call_extension(extension.engines_changed, change)

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """Returns the constraint of a query or None; or, if it must fail, the explanation for its client."""
        for extension in self._constraining_extensions:
            try:
                constraint = extension.constrain(query)
            except Exception:
                log.exception(EXTENSION_ERROR)
                return EXTENSION_ERROR
            if constraint is not None:
                return constraint
        return None

    def notify_query_answered(
        self, service_class: str, earned: float, status: AnswerStatus, duration: int, attempts: int
    ) -> None:
        """Notifies extensions that a query has its final answer.

        Args:
            service_class: The name of the service class.
            earned: The fraction of its value that the answer earned.
            status: The status of the answer.
            duration: The time from the request to the answer, in ticks.
            attempts: The number of attempts.
        """
        for extension in self._answer_listeners:
            call_extension(extension.query_answered, service_class, earned, status, duration, attempts)

    def notify_engine_ran(self, run: EngineRun) -> None:
        """Notifies extensions that an engine has completed a query."""
        for extension in self._run_listeners:
            call_extension(extension.engine_ran, run)
