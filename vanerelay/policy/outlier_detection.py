"""Finds engines that fail, fall silent or run slower than the rest, and lets them recover.

The signs are attempts' outcomes, silence while attempts are overdue, and durations beside those of a query
alone. Errors and slowness count only beyond what the other engines show.
"""

from __future__ import annotations

import math

from vanerelay.estimation import SlidingSums
from vanerelay.interface import MILLISECOND, SECOND, Outcome

MIN_SILENCE = 600 * MILLISECOND
"""Silences up to this are pauses and say nothing."""

OVERDUE_FACTOR = 3.0
"""An attempt is overdue after this many times its expected duration."""

OVERDUE_LIMIT = 2
"""Overdue attempts, nothing heard meanwhile, from which on an engine counts as silent."""

ERROR_SPAN = 20 * SECOND
"""How long errors count, unless a trial query completes before."""

RECOVERY_RATE = 0.5
"""Most that a health level may rise in a second, so that load comes back to an engine in steps."""

EJECTED_BELOW = 0.15
"""Health level under which an engine is ejected: it gets single trial queries alone."""

CROWDING_STARTS = math.log(1.2)
"""Log of the slowdown up to which queries run about as fast as alone."""

CROWDING_RANGE = math.log(2.0)
"""Log of the further slowdown at which nothing is lent any more."""

PACE_RUNS = 6
"""Runs that an engine's pace averages."""

PACE_TOLERANCE = math.log(1.5)
"""Log of how much slower than the usual engine one may run without a sign of trouble."""

MIN_RUN_SLOWDOWN = 0.1
"""Least slowdown that a run counts with, as its log is taken."""

FAULT_EXPONENT = 3
"""The level falls with this power of the part of attempts that do not fail beyond the usual."""

FAULTS = (Outcome.FAILED, Outcome.REJECTED, Outcome.RESET)
"""Outcomes that count against an engine's health."""

_ERROR_BUCKETS = 8
_ENDED = 0
_ERRORS = 1


class PendingSign:
    """An attempt in flight as a sign of silence: overdue once `patience` has passed since `sent_at`."""

    __slots__ = ("patience", "sent_at", "weight")

    def __init__(self, sent_at: int, patience: float, weight: float) -> None:
        self.sent_at = sent_at
        self.patience = patience
        self.weight = weight


class EngineHealth:
    """The health of one engine.

    Attributes:
        level: From 0 (silent or lost) to 1 (healthy, and about as fast as the usual engine).
        pace: The log of its queries' slowdown against a run alone; `has_pace`: whether a run was seen.
        tried_at: When an attempt was sent last.
    """

    def __init__(self) -> None:
        self._errors = SlidingSums(ERROR_SPAN, 2, _ERROR_BUCKETS)
        self._pending: dict[int, PendingSign] = {}
        self._heard_at = 0
        self._reviewed_at = 0
        self._missed = 0
        self.tried_at = 0
        self.is_lost = False
        self.level = 1.0
        self.pace = 0.0
        self.has_pace = False

    @property
    def is_ejected(self) -> bool:
        """Whether the engine gets nothing but trial queries."""
        return self.level < EJECTED_BELOW

    def attempt_sent(self, now: int, key: int, expected_duration: float, weight: float) -> None:
        """An attempt was sent. `weight`: how much it counts as a sign once it is overdue."""
        patience = max(MIN_SILENCE, OVERDUE_FACTOR * expected_duration)
        self._pending[key] = PendingSign(now, patience, weight)
        self.tried_at = now

    def heard(self, now: int) -> None:
        """The engine gave a sign of life."""
        self._heard_at = now
        self._missed = 0
        self.is_lost = False

    def attempt_ended(self, now: int, key: int, outcome: Outcome, duration: int) -> None:
        """An attempt ended."""
        patience = self._pending.pop(key).patience
        if outcome is Outcome.NO_CONNECTION:
            self.is_lost = True
            self.level = 0.0
        elif outcome is Outcome.TIMED_OUT and duration > patience:
            self._missed += 1
        elif outcome is Outcome.COMPLETED and self.is_ejected:
            self._errors = SlidingSums(ERROR_SPAN, 2, _ERROR_BUCKETS)
        self._errors.add(now, 1, 1 if outcome in FAULTS else 0)

    def proxy_reported(self, now: int, ended: float, errors: float) -> None:
        """A proxy reported how many of its requests ended here, and with an error."""
        self._errors.add(now, ended, errors)

    def run_observed(self, slowdown: float, weight: float) -> None:
        """A run was so much slower than alone. The run of a trial stands for all before it."""
        if self.has_pace and not self.is_ejected:
            weight = weight / PACE_RUNS
        self.pace += (math.log(max(slowdown, MIN_RUN_SLOWDOWN)) - self.pace) * weight
        self.has_pace = True

    def spare_capacity(self) -> float:
        """1 where queries run about as fast as alone, down to 0 where they crowd, or none ran."""
        if not self.has_pace:
            return 0.0
        return min(1.0, max(0.0, 1.0 - (self.pace - CROWDING_STARTS) / CROWDING_RANGE))

    def fault_ratio(self, now: int) -> float:
        """The part of the attempts of late that failed; one sound attempt is taken for granted."""
        errors = self._errors.total(now, _ERRORS)
        return errors / (self._errors.total(now, _ENDED) + 1.0) if errors else 0.0

    def review(self, now: int, usual_faults: float, usual_pace: float) -> None:
        """Sets the level anew, beside the usual of the other engines."""
        excess_faults = max(0.0, self.fault_ratio(now) - usual_faults)
        target = (1.0 - excess_faults / (1.0 - usual_faults)) ** FAULT_EXPONENT
        target *= min(1.0, math.exp(usual_pace + PACE_TOLERANCE - self.pace))
        if self.is_lost or self._is_silent(now):
            target = 0.0
        recovered = self.level + RECOVERY_RATE * (now - self._reviewed_at) / SECOND
        self.level = min(target, recovered)
        self._reviewed_at = now

    def _is_silent(self, now: int) -> bool:
        overdue = sum(
            sign.weight * ((now - sign.sent_at) // sign.patience) for sign in self._pending.values()
        )
        return self._missed + overdue >= OVERDUE_LIMIT and now - self._heard_at > MIN_SILENCE
