"""Start times of engines on this gateway's clock; each is converted once, as the wall clock may step."""

from __future__ import annotations

from vanerelay.clock import Clock
from vanerelay.interface import SECOND

MAX_REPORT_DELAY_S = 3.0
"""Maximum time from an engine's start until its source knows of it; one second is typical."""


class EngineStartTimes:
    """The reported start times of engines, by engine index."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_times: dict[int, tuple[int, int]] = {}  # as reported, and on this gateway's clock

    def start_time(self, engine: int, reported: int, within_s: float | None) -> int:
        """Returns the start of an engine in ticks on this gateway's clock; 0 if it was long ago.

        Args:
            engine: The index of the engine.
            reported: The reported start, in ticks of Unix time; 0 for long ago.
            within_s: The source learned of the start within this many seconds before now; None if unknown.
                If the reported start lies long before that, the wall clock is wrong, and the engine counts
                as started now.
        """
        if reported == 0:
            self._start_times.pop(engine, None)
            return 0
        before, started_at = self._start_times.get(engine, (0, 0))
        if before != reported:
            now, started_at = self._clock.now(), self._clock.from_unix_time(reported)
            if within_s is not None and started_at < now - (within_s + MAX_REPORT_DELAY_S) * SECOND:
                started_at = now
            self._start_times[engine] = reported, started_at
        return started_at

    def forget(self, engine: int) -> None:
        """Forgets an engine that has left the list for good."""
        self._start_times.pop(engine, None)
