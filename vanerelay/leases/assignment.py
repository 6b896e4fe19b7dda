"""Which task is whose. Pure: all managers that see the same fleet come to the same answer without a word.

Weighted rendezvous (Thaler and Ravishankar 1998; logarithmic weights as in Schindelhauer and Schomaker
2005): when managers come and go only their own tasks move. What one takes is bounded (Mirrokni, Thorup,
Zadimoghaddam 2018): one that is full is passed over for the next in line."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.interface import Duration

SLACK = 1.25  # times its even share that a manager takes at most
RANKS = 3  # managers that have an eye on a task: the first takes it, the others look whether it is held
STEADY = 3  # terms for which a better one must have been there, while we held, before it is given up for it
PATIENT = 8  # times that, at most: one that did not take what it was given is believed less each time
REST = 3  # terms for which one that gave a task back does not want it again
SPREAD = 2.0**64


@dataclass(frozen=True, slots=True)
class Candidate:
    """A manager that may hold tasks. `weight`: its part beside the others'; `behind`: it runs an older
    release, and comes after all that do not."""

    name: str
    weight: float = 1.0
    behind: bool = False


def score(task: str, candidate: Candidate) -> float:
    """The highest has the first claim."""
    drawn = (xxhash.xxh3_64_intdigest(f"{task}\0{candidate.name}".encode()) + 1) / (SPREAD + 2)
    return -candidate.weight / math.log(drawn)


def ranked(task: str, candidates: Iterable[Candidate]) -> list[str]:
    order = sorted(candidates, key=lambda one: (one.behind, -score(task, one), one.name))
    return [one.name for one in order]


def most(tasks: int, candidates: Sequence[Candidate]) -> dict[str, int]:
    """How many tasks each takes at most."""
    total = sum(one.weight for one in candidates) or 1.0
    return {one.name: math.ceil(SLACK * tasks * one.weight / total) for one in candidates}


def assign(tasks: Iterable[str], candidates: Sequence[Candidate]) -> dict[str, tuple[str, ...]]:
    """For each task the managers that have an eye on it, the one that is to take it first."""
    names, taken = list(tasks), dict[str, int]()
    room = most(len(names), candidates)
    found = dict[str, tuple[str, ...]]()
    # In an order of their own, so that one task more moves few of the others.
    for task in sorted(names, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name)):
        order = ranked(task, candidates)
        free = [name for name in order if taken.get(name, 0) < room[name]]
        first = (free or order)[:1]
        for name in first:
            taken[name] = taken.get(name, 0) + 1
        found[task] = (*first, *[name for name in order if name not in first])[:RANKS]
    return found


def candidates(
    members: Iterable[Member], own: str, fit: bool, weights: Mapping[str, float] | None = None
) -> list[Candidate]:
    """Who may hold tasks, as one manager sees its fleet. `fit`: whether we ourselves may."""
    serving = [
        one
        for one in members
        if one.standing in (MemberState.ALIVE, MemberState.SUSPECT)
        and one.state == "serving"
        and (fit or one.name != own)
    ]
    newest = max((version(one.program) for one in serving), default=())
    told = weights or {}
    return [
        Candidate(one.name, told.get(one.name, 1.0), version(one.program) < newest)
        for one in serving
        if told.get(one.name, 1.0) > 0
    ]


def version(program: str) -> tuple[int, ...]:
    """Of a release as managers tell it, such as 0.2.0-5e1f; empty where it is none."""
    parts = program.partition("-")[0].split(".")
    return tuple(int(part) for part in parts) if all(part.isdecimal() for part in parts) else ()


@dataclass(slots=True)
class Watch:
    """One task, seen from one manager: when it is to be taken, looked at, or given up for a better place."""

    place: int = -1  # of ours among those that have an eye on it; -1: none
    since: int = 0  # when our place became what it is
    look_at: int = 0
    rests_until: int = 0
    held: int = -1  # since when it is ours
    doubts: int = 1

    def placed(self, now: int, own: str, order: Sequence[str]) -> None:
        place = order.index(own) if own in order else -1
        if place != self.place:
            self.place, self.since, self.look_at = place, now, now
            if place == 0:
                self.rests_until = now  # whom it was given up for is there no more

    def wants(self, now: int, term: Duration) -> bool:
        """Whether to ask for it now: the first at once, the others when their turn to look has come, as the
        first may be there and yet not reach the voters."""
        if self.place < 0 or now < self.rests_until or now < self.look_at:
            return False
        return self.place == 0 or now >= self.since + term * self.place

    def asked(self, now: int, term: Duration, left: int, draw: float) -> None:
        """It was asked for in vain: again when whoever holds it has let it run out. `left`: for how long it
        is held yet, 0 where a contest was lost or nothing came; `draw`: 0 to 1."""
        base = term // 10 if self.place == 0 else term * self.place // 2
        self.look_at = now + max(left + 1, int(base * (0.5 + draw)))

    def freed(self, now: int) -> None:
        """Who held it says that it is free, and ours first."""
        self.look_at = min(self.look_at, now)

    def took(self, now: int) -> None:
        self.held = now

    def outlived(self, now: int, term: Duration, sound: bool) -> bool:
        """Whether what we hold is to be given up for one that has a better place. `sound`: whether nobody
        suspects that one to be gone."""
        since = max(self.since, self.held)
        return self.place != 0 and sound and now >= since + STEADY * self.doubts * term

    def gave(self, now: int, term: Duration) -> None:
        """It was given back: others have the time to take it."""
        self.held, self.rests_until = -1, now + REST * term
        self.doubts = min(PATIENT, 2 * self.doubts) if self.place else 1
