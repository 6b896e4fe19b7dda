"""Detects engines that fail, fall silent or run slower than the others, and lets them recover.

The evidence is the outcomes of attempts, silence while attempts are overdue, and the slowdown of queries
compared to an engine without load. Errors and slowdown count only if they exceed those of the other engines.
"""

from __future__ import annotations

import math

from vanerelay.estimation import SlidingSums
from vanerelay.interface import MILLISECOND, SECOND, Outcome

MIN_SILENCE = 600 * MILLISECOND
"""Silence of an engine up to this time, in ticks, is a normal pause and does not count."""

OVERDUE_FACTOR = 3.0
"""The multiple of its expected duration after which an attempt is overdue."""

OVERDUE_LIMIT = 2
"""The number of overdue attempts from which an engine counts as silent, if nothing was received from it."""

ERROR_SPAN = 20 * SECOND
"""The time, in ticks, for which errors count, unless a trial query completes earlier."""

RECOVERY_RATE = 0.5
"""The most that a health level may rise per second, so that load returns to an engine in steps."""

EJECTED_BELOW = 0.15
"""The health level below which an engine is ejected, so that it gets single trial queries only."""

NEGLIGIBLE_SLOWDOWN = math.log(1.2)
"""The log of the slowdown up to which queries run about as fast as on an engine without load."""

BORROWING_RANGE = math.log(2.0)
"""The log of the further slowdown at which no capacity is borrowed any more."""

SLOWDOWN_RUNS = 6
"""The number of runs that an engine's mean log slowdown averages."""

SLOWDOWN_TOLERANCE = math.log(1.5)
"""The log of how much slower than the typical engine an engine may be without any effect on its health."""

MIN_RUN_SLOWDOWN = 0.1
"""The lower bound of a run's slowdown, as a logarithm needs a positive value."""

FAULT_EXPONENT = 3
"""The health level falls with this power of the part of attempts without excess faults."""

FAULTS = (Outcome.FAILED, Outcome.REJECTED, Outcome.RESET)
"""The outcomes that count against an engine's health."""

_ERROR_BUCKETS = 8
_ENDED = 0
_ERRORS = 1


class PendingAttempt:
    """An attempt in flight, which is evidence of its engine's silence once it is overdue.

    Attributes:
        sent_at: When the attempt was sent.
        overdue_after: The time since `sent_at`, in ticks, after which the attempt is overdue.
        weight: How much the attempt counts as evidence, where 1 is one overdue attempt.
    """

    __slots__ = ("overdue_after", "sent_at", "weight")

    def __init__(self, sent_at: int, overdue_after: float, weight: float) -> None:
        self.sent_at = sent_at
        self.overdue_after = overdue_after
        self.weight = weight


class EngineHealth:
    """The health of one engine.

    Attributes:
        level: The health level, from 0 (silent or lost) to 1 (healthy, about as fast as the typical engine).
        mean_log_slowdown: The mean log of the slowdown of queries compared to an engine without load.
        has_slowdown: Whether any run was observed, so that `mean_log_slowdown` is known.
        last_attempt_at: When the last attempt was sent to the engine.
        is_lost: Whether an attempt found no connection, and nothing was received since.
    """

    def __init__(self) -> None:
        self._errors = SlidingSums(ERROR_SPAN, 2, _ERROR_BUCKETS)
        self._pending: dict[int, PendingAttempt] = {}
        self._last_activity_at = 0
        self._reviewed_at = 0
        self._timed_out_overdue = 0
        self.last_attempt_at = 0
        self.is_lost = False
        self.level = 1.0
        self.mean_log_slowdown = 0.0
        self.has_slowdown = False

    @property
    def is_ejected(self) -> bool:
        """Whether the engine gets trial queries only."""
        return self.level < EJECTED_BELOW

    def attempt_sent(self, now: int, key: int, expected_duration: float, weight: float) -> None:
        """Records that an attempt was sent.

        Args:
            now: The current time.
            key: The key under which its end is reported.
            expected_duration: Its expected duration, in ticks.
            weight: How much it counts as evidence of silence once it is overdue.
        """
        overdue_after = max(MIN_SILENCE, OVERDUE_FACTOR * expected_duration)
        self._pending[key] = PendingAttempt(now, overdue_after, weight)
        self.last_attempt_at = now

    def attempt_withdrawn(self, key: int) -> None:
        """Forgets an attempt that was recorded, and then not sent."""
        self._pending.pop(key, None)

    def record_activity(self, now: int) -> None:
        """Records that something was received from the engine, so that it is neither silent nor lost."""
        self._last_activity_at = now
        self._timed_out_overdue = 0
        self.is_lost = False

    def attempt_ended(self, now: int, key: int, outcome: Outcome, duration: int) -> None:
        """Records the end of an attempt."""
        overdue_after = self._pending.pop(key).overdue_after
        if outcome is Outcome.NO_CONNECTION:
            self.is_lost = True
            self.level = 0.0
        elif outcome is Outcome.TIMED_OUT and duration > overdue_after:
            self._timed_out_overdue += 1
        elif outcome is Outcome.COMPLETED and self.is_ejected:
            self._errors = SlidingSums(ERROR_SPAN, 2, _ERROR_BUCKETS)
        self._errors.add(now, 1, 1 if outcome in FAULTS else 0)

    def proxy_reported(self, now: int, ended: float, errors: float) -> None:
        """Records how many requests of a proxy ended at this engine, and how many of these failed."""
        self._errors.add(now, ended, errors)

    def run_observed(self, slowdown: float, weight: float) -> None:
        """Records the slowdown of a run compared to an engine without load.

        The first run and the runs of trial queries change the mean by their whole weight, other runs by their
        weight divided by `SLOWDOWN_RUNS`.
        """
        if self.has_slowdown and not self.is_ejected:
            weight = weight / SLOWDOWN_RUNS
        self.mean_log_slowdown += (
            math.log(max(slowdown, MIN_RUN_SLOWDOWN)) - self.mean_log_slowdown
        ) * weight
        self.has_slowdown = True

    def spare_capacity(self) -> float:
        """Returns how far queries run without slowdown, from 1 (as fast as without load) to 0.

        It is also 0 if no run was observed.
        """
        if not self.has_slowdown:
            return 0.0
        return min(1.0, max(0.0, 1.0 - (self.mean_log_slowdown - NEGLIGIBLE_SLOWDOWN) / BORROWING_RANGE))

    def fault_ratio(self, now: int) -> float:
        """Returns the failed part of recent attempts, counting one successful attempt more than observed."""
        errors = self._errors.total(now, _ERRORS)
        return errors / (self._errors.total(now, _ENDED) + 1.0) if errors else 0.0

    def review(self, now: int, typical_fault_ratio: float, typical_log_slowdown: float) -> None:
        """Updates the health level by comparison with the typical engine."""
        excess_faults = max(0.0, self.fault_ratio(now) - typical_fault_ratio)
        target = (1.0 - excess_faults / (1.0 - typical_fault_ratio)) ** FAULT_EXPONENT
        target *= min(1.0, math.exp(typical_log_slowdown + SLOWDOWN_TOLERANCE - self.mean_log_slowdown))
        if self.is_lost or self._is_silent(now):
            target = 0.0
        recovered = self.level + RECOVERY_RATE * (now - self._reviewed_at) / SECOND
        self.level = min(target, recovered)
        self._reviewed_at = now

    def _is_silent(self, now: int) -> bool:
        overdue = sum(
            pending.weight * ((now - pending.sent_at) // pending.overdue_after)
            for pending in self._pending.values()
        )
        return (
            self._timed_out_overdue + overdue >= OVERDUE_LIMIT and now - self._last_activity_at > MIN_SILENCE
        )
