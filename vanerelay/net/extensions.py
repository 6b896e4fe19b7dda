"""The subsystems that joined the served program, told of what they want; a fault in one stays its own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeVar

import structlog

from vanerelay.extension import EngineRun, Extension, QueryConstraint, QueryInfo, overrides

if TYPE_CHECKING:
    from vanerelay.engine_list import EngineListChange

FAULT = "a subsystem met a fault"  # what a client is told whose query none could lead for that
Result = TypeVar("Result")

log = structlog.get_logger()


def guarded(call: Callable[..., Result], *values: Any) -> Result | None:
    """Calls a subsystem; None where it fails, which is logged."""
    try:
        return call(*values)
    except Exception:
        log.exception(FAULT)
        return None


class Extensions:
    """All that joined, by what each wants to be told, so that nothing is worked out for nobody."""

    def __init__(self) -> None:
        self._watchers = list[Extension]()
        self._guides = list[Extension]()
        self._tallies = list[Extension]()
        self._learners = list[Extension]()

    def join(self, parts: Iterable[Extension]) -> None:
        for part in parts:
            for name, wanting in (
                ("engines_changed", self._watchers),
                ("constrain", self._guides),
                ("query_answered", self._tallies),
                ("engine_ran", self._learners),
            ):
                if overrides(part, name):
                    wanting.append(part)

    @property
    def has_constraints(self) -> bool:
        """Whether an extension may constrain queries."""
        return bool(self._guides)

    @property
    def counts(self) -> bool:
        """Whether an extension wants to know what became of queries."""
        return bool(self._tallies)

    @property
    def watches_runs(self) -> bool:
        """Whether an extension wants to know what engines ran."""
        return bool(self._learners)

    def listed(self, change: EngineListChange) -> None:
        for part in self._watchers:
            guarded(part.engines_changed, change)

    def constrain(self, query: QueryInfo) -> QueryConstraint | str | None:
        """The constraint of a query; an explanation for its client where it can't be served as it asks."""
        for part in self._guides:
            try:
                found = part.constrain(query)
            except Exception:
                log.exception(FAULT)
                return FAULT
            if found is not None:
                return found
        return None

    def answered(self, service_class: str, earned: float, code: int, passed: int, attempts: int) -> None:
        for part in self._tallies:
            guarded(part.query_answered, service_class, earned, code, passed, attempts)

    def ran(self, ran: EngineRun) -> None:
        for part in self._learners:
            guarded(part.engine_ran, ran)
