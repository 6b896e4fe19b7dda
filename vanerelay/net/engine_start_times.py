"""When engines started, on the module's clock. Each start is converted once, as the wall clock may step."""

from __future__ import annotations

from vanerelay.clock import Clock
from vanerelay.interface import SECOND

LEARNED_S = 3.0  # from an engine's start until its source knows of it; one second is usual


class EngineStarts:
    """The starts told of engines, by the engines' indices."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._moments: dict[int, tuple[int, int]] = {}  # as told, and on the module's clock

    def moment(self, engine: int, told: int, within_s: float | None) -> int:
        """The start on the module's clock; 0 where it was long ago.

        `told`: tenths of a millisecond on the Unix clock, 0 for long ago. `within_s`: the span before now in
        which its source learned of the start. Where the wall clock puts the start long before that, it can't
        be trusted, and the engine counts as started now.
        """
        if told == 0:
            self._moments.pop(engine, None)
            return 0
        before, moment = self._moments.get(engine, (0, 0))
        if before != told:
            now, moment = self._clock.now(), self._clock.moment(told)
            if within_s is not None and moment < now - (within_s + LEARNED_S) * SECOND:
                moment = now
            self._moments[engine] = told, moment
        return moment

    def forget(self, engine: int) -> None:
        """The engine has left the list for good."""
        self._moments.pop(engine, None)
