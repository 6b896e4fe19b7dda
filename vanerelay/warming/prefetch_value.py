"""What it is worth to read a table group at an engine before it is asked for. Pure.

A read that finds its table group warm spares the reading, once until it falls out or a load makes it
useless: so what counts is the chance that it is read there at all in time, less what the reading costs where
cores would stand idle, less what falls out of the cache for it."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

from vanerelay.estimation import stable_hash
from vanerelay.warming.forecast import Floats, Forecasts

HOME = 16.0  # the most that the decisions lean to an engine for a table group (`policy.placement`)
AT_HOME = 3  # engines of a location that a table group is warmed at, at most


@dataclass(frozen=True, slots=True)
class Place:
    """An engine that may be warmed. `room`: part of its cores that is free for it now; `keeps`: table groups
    that it keeps warm; `fresh`: it has just come or come back, with nothing warm."""

    name: str
    cores: float
    room: float
    keeps: int
    fresh: bool = False


@dataclass(slots=True)
class Believed:
    """What an engine has warm, as far as is known: the last read last, as it is the last to fall out."""

    keeps: int
    groups: OrderedDict[int, float] = field(default_factory=OrderedDict)  # by when it was read last

    def read(self, now: float, group: int) -> None:
        self.groups[group] = now
        self.groups.move_to_end(group)
        while len(self.groups) > self.keeps:
            self.groups.popitem(last=False)

    def old(self, group: int) -> None:
        self.groups.pop(group, None)

    @property
    def next_out(self) -> int | None:
        """What falls out for one more; None where there is room."""
        return next(iter(self.groups)) if len(self.groups) >= self.keeps else None

    def stays(self, now: float) -> float:
        """For how many seconds what is read now stays warm if it is not read again: as long as what falls out
        next has stayed (the characteristic time of Che and others)."""
        group = self.next_out
        return now - self.groups[group] if group is not None else math.inf


def shares(group: int, places: Sequence[Place]) -> Floats:
    """What part of a group's reads comes to each engine, as the decisions draw among idle ones."""
    lean = [min(HOME, 1.0 / max(1e-9, 1.0 - stable_hash(one.name, group) / 2**64)) for one in places]
    weights = np.array([weight * one.cores for weight, one in zip(lean, places, strict=True)])
    return np.asarray(weights / weights.sum())


@dataclass(frozen=True, slots=True)
class Wish:
    """A table group at an engine: `worth` and `cost` in core seconds, `chance` that it is read there."""

    group: int
    engine: str
    worth: float
    cost: float
    chance: float


def wishes(
    now: float,
    forecasts: Forecasts,
    places: Sequence[Place],
    believed: Mapping[str, Believed],
    reading: Mapping[int, float],
    usual: float,
    price: float,
    horizon: float,
    groups: Sequence[int],
    holders: Mapping[int, Sequence[str]] | None = None,
) -> list[Wish]:
    """All that is worth more than it costs, the best first. `reading`: core seconds that a table group takes
    to read, `usual` where it is not known; `price`: of a second of cores that would stand idle, in parts of
    one that somebody waits for; `holders`: engines that have a fresh copy, where that is known."""
    found, asked, shared, at = list[Wish](), list[int](), list[float](), list[Place]()
    spans = list[float]()
    stays = {one.name: min(horizon, believed[one.name].stays(now)) for one in places}
    for group in groups:
        part, until = shares(group, places), forecasts.until_load(group)
        for row in sorted(range(len(places)), key=lambda row: -part[row])[:AT_HOME]:
            one = places[row]
            if holders is not None and group in holders and one.name not in holders[group]:
                continue
            if group not in believed[one.name].groups:
                asked.append(group)
                shared.append(float(part[row]))
                spans.append(min(stays[one.name], until))
                at.append(one)
    if not asked:
        return []
    chances = forecasts.used(asked, np.array(shared), np.array(spans))
    lost = dict[str, float]()
    for row, place in enumerate(places):
        falls = believed[place.name].next_out
        if falls is not None and falls in forecasts.rows:
            own = shares(falls, places)[row]
            again = forecasts.used([falls], np.array([own]), np.array([stays[place.name]]))[0]
            lost[place.name] = float(again) * reading.get(falls, usual)
    for group, place, chance in zip(asked, at, chances, strict=True):
        cost = reading.get(group, usual)
        # What is never read takes a place for as long as things stay, and all that fall out in that time
        # do so a little earlier, together by one; what is read would have come in anyway.
        worth = float(chance) * cost - price * cost - (1.0 - float(chance)) * lost.get(place.name, 0.0)
        if worth > 0.0:
            found.append(Wish(group, place.name, worth, cost, float(chance)))
    return sorted(found, key=lambda wish: (-wish.worth / wish.cost, wish.group, wish.engine))
