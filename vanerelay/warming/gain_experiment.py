"""Whether warming gains anything: what was ordered against what was left undone by draw. Pure.

Both were worth ordering and differ in nothing but the draw. Of each it is seen, once its time is over, how
many core seconds of reading the reads there spent beyond what warm ones take. The difference of the means is
what an order spares; it is held in a confidence sequence that may be looked at at any time. Where it is not
shown to spare what it costs, the budget shrinks by itself, to small trials; where it is, it grows back."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from vanerelay.confidence import RunningVariance, half_width

FEW = 12  # outcomes of each side before anything is said
CHANCE = 0.05
TELLING = 60.0
LEAST, MOST = 0.05, 1.0  # parts of the budget
SURE = 3.0  # times fewer are left undone once warming is shown to gain
GROWS, SHRINKS = 1.5, 0.5
LOOKS = 10  # outcomes between two changes of the budget
KEPT = 400  # outcomes after which those before count no more: demand changes


@dataclass(slots=True)
class Trust:
    """`aside`: the part of plans that is left undone; `price`: of a core second that would stand idle."""

    price: float
    aside: float = 0.15
    part: float = 0.5  # of the budget
    shown: bool = False
    _done: RunningVariance = field(default_factory=RunningVariance)
    _left: RunningVariance = field(default_factory=RunningVariance)
    _cost: RunningVariance = field(default_factory=RunningVariance)
    _since: int = 0

    def outcome(self, done: bool, wasted: float, cost: float) -> None:
        """Core seconds that reads of one spent on reading until its time was over, and what an order of it
        costs."""
        (self._done if done else self._left).add(wasted)
        self._cost.add(cost)
        self._since += 1
        if self._since >= LOOKS and min(self._done.number, self._left.number) >= FEW:
            self._since = 0
            self._look()
        if self._done.number + self._left.number >= KEPT:
            for name in ("_done", "_left", "_cost"):
                one: RunningVariance = getattr(self, name)
                setattr(self, name, RunningVariance.of(one.number // 2, one.mean, one.variance))

    @property
    def undone(self) -> float:
        """The part of plans that is left undone now."""
        return self.aside / SURE if self.shown else self.aside

    @property
    def gain(self) -> tuple[float, float]:
        """Core seconds that an order spares, and how far that may be off."""
        if min(self._done.number, self._left.number) < 2:
            return 0.0, math.inf
        off = math.hypot(
            half_width(self._done.number, self._done.variance, CHANCE / 2, TELLING),
            half_width(self._left.number, self._left.variance, CHANCE / 2, TELLING),
        )
        return self._left.mean - self._done.mean, off

    def _look(self) -> None:
        gain, off = self.gain
        cost = self.price * self._cost.mean
        self.shown = gain - off > cost
        if self.shown:
            self.part = min(MOST, self.part * GROWS)
        elif gain < cost or gain + off < cost:
            self.part = max(LEAST, self.part * SHRINKS)
