"""When engines started, on the process's clock. Each start is converted once, as the wall clock may step."""

from __future__ import annotations

from vanerelay.clock import Clock
from vanerelay.interface import SECOND

MAX_REPORT_DELAY_S = 3.0
"""The time from an engine's start until its source knows of it; one second is usual."""


class EngineStarts:
    """The reported starts of engines, by the engines' indices."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._moments: dict[int, tuple[int, int]] = {}  # as reported, and on this process's clock

    def moment(self, engine: int, reported: int, within_s: float | None) -> int:
        """The start of an engine on the process's clock; 0 where it was long ago.

        Args:
            engine: The index of the engine.
            reported: The start as reported, in ticks on the Unix clock; 0 for long ago.
            within_s: The seconds before now in which its source learned of the start. Where the wall clock
                puts the start long before that, it can't be trusted, and the engine counts as started now.
        """
        if reported == 0:
            self._moments.pop(engine, None)
            return 0
        before, moment = self._moments.get(engine, (0, 0))
        if before != reported:
            now, moment = self._clock.now(), self._clock.from_unix_time(reported)
            if within_s is not None and moment < now - (within_s + MAX_REPORT_DELAY_S) * SECOND:
                moment = now
            self._moments[engine] = reported, moment
        return moment

    def forget(self, engine: int) -> None:
        """The engine has left the list for good."""
        self._moments.pop(engine, None)
