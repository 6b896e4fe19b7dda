"""The extensions that joined the served program: each is called for what it overrides, and may fail alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, ParamSpec, TypeVar

import structlog

from vanerelay.extension import EngineRun, Extension, QueryConstraint, QueryInfo, overrides

if TYPE_CHECKING:
    from vanerelay.engine_list import EngineListChange
    from vanerelay.interface import AnswerStatus

FAULT = "a subsystem met a fault"
"""The log line. It is on the wire as well, as the explanation for a client whose query meets the error."""
Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")

log = structlog.get_logger()


def guarded(
    call: Callable[Arguments, Result], *arguments: Arguments.args, **named: Arguments.kwargs
) -> Result | None:
    """Calls an extension; None where it fails, which is logged."""
    try:
        return call(*arguments, **named)
    except Exception:
        log.exception(FAULT)
        return None


class Extensions:
    """All that joined, by what each wants to know, so that nothing is worked out for nobody."""

    def __init__(self) -> None:
        self._list_listeners = list[Extension]()
        self._constraining = list[Extension]()
        self._answer_listeners = list[Extension]()
        self._run_listeners = list[Extension]()

    def join(self, extensions: Iterable[Extension]) -> None:
        """Calls these extensions from now on."""
        for extension in extensions:
            for method, listeners in (
                ("engines_changed", self._list_listeners),
                ("constrain", self._constraining),
                ("query_answered", self._answer_listeners),
                ("engine_ran", self._run_listeners),
            ):
                if overrides(extension, method):
                    listeners.append(extension)

    @property
    def has_constraints(self) -> bool:
        """Whether an extension may constrain queries."""
        return bool(self._constraining)

    @property
    def counts(self) -> bool:
        """Whether an extension wants to know what became of queries."""
        return bool(self._answer_listeners)

    @property
    def watches_runs(self) -> bool:
        """Whether an extension wants to know what engines ran."""
        return bool(self._run_listeners)

    def listed(self, change: EngineListChange) -> None:
        """A change of the engine list is in force."""
        for extension in self._list_listeners:
            guarded(extension.engines_changed, change)

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """The constraint of a query; an explanation for its client where it can't be served as it asks."""
        for extension in self._constraining:
            try:
                found = extension.constrain(query)
            except Exception:
                log.exception(FAULT)
                return FAULT
            if found is not None:
                return found
        return None

    def answered(
        self, service_class: str, earned: float, status: AnswerStatus, duration: int, attempts: int
    ) -> None:
        """A query has its final answer."""
        for extension in self._answer_listeners:
            guarded(extension.query_answered, service_class, earned, status, duration, attempts)

    def ran(self, run: EngineRun) -> None:
        """An engine has completed a query."""
        for extension in self._run_listeners:
            guarded(extension.engine_ran, run)
