"""Which wishes are carried out now, within a stated budget of work. Pure.

The best worth for its cost first; engines that have just come with nothing warm before the others; no engine
gets more than its room. A drawn part is left undone, so that what warming gains can be measured
(`trust.py`)."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from vanerelay.warming.prefetch_value import Place, Wish

FRESH = 1.5  # times the worth of a wish for an engine with nothing warm
MOST = 200  # orders at once
STEP, HALF, HIGHEST = 0.1, 0.3, 0.4  # of the bar, by a second, towards that part of the savings
ROOM_S = 2.0  # seconds over which an engine's free cores are counted


@dataclass(frozen=True, slots=True)
class Plan:
    """`done`: what is ordered; `left`: what would have been, and is not, to compare."""

    done: tuple[Wish, ...] = ()
    left: tuple[Wish, ...] = ()


def plan(
    wishes: Iterable[Wish],
    places: Mapping[str, Place],
    budget: float,
    aside: float,
    chance: random.Random,
    compared: Collection[tuple[int, str]] = (),
    bar: float = 0.0,
) -> Plan:
    """`budget`: core seconds that all orders of this time may take; `aside`:
    the part that is left undone; `compared`: what was left undone and is still looked at."""
    room = {name: one.room * one.cores * ROOM_S for name, one in places.items()}
    done, left = list[Wish](), list[Wish]()
    ranked = sorted(
        wishes, key=lambda one: -(one.worth / one.cost) * (FRESH if places[one.engine].fresh else 1.0)
    )
    for wish in ranked:
        if len(done) >= MOST:
            break
        if (wish.group, wish.engine) in compared or wish.worth < bar * wish.cost:
            continue
        if wish.cost > budget or wish.cost > room.get(wish.engine, 0.0):
            continue
        room[wish.engine] -= wish.cost
        budget -= wish.cost
        (left if chance.random() < aside else done).append(wish)
    return Plan(tuple(done), tuple(left))


@dataclass(slots=True)
class Budget:
    """Core seconds that may be spent, at a steady pace, with a little saved up for what comes at once.

    `bar`: worth for its cost that a wish must have now: the emptier the savings the higher, so that poor
    wishes do not use up what better ones, a publication's, will want in a moment."""

    pace: float  # core seconds a second
    saves: float  # seconds' worth that is saved at most
    bar: float = 0.0
    _left: float = 0.0
    _at: float | None = None

    def left(self, now: float, part: float) -> float:
        """`part`: of the pace that is trusted."""
        since = now - self._at if self._at is not None else 0.0
        self._at = now
        most = self.saves * self.pace * part
        self._left = min(self._left + since * self.pace * part, most)
        full = self._left / most if most > 0 else 0.0
        self.bar = min(HIGHEST, max(0.0, self.bar + STEP * (HALF - full) * since))
        return self._left

    def spend(self, cost: float) -> None:
        self._left -= cost
