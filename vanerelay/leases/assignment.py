"""Which gateway should hold which task. Pure: gateways that see the same fleet agree without a message.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; logarithmic weights as in Schindelhauer and
Schomaker 2005): when gateways come and go only their own tasks move. The load of each is bounded
(Mirrokni, Thorup, Zadimoghaddam 2018): a gateway that is full is passed over for the next in rank.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.interface import Duration

LOAD_SLACK = 1.25
"""A gateway takes at most this many times its even share of the tasks."""

WATCHERS_PER_TASK = 3
"""Gateways that watch a task: the first takes it, the others check whether it is held."""

HANDOVER_TERMS = 3
"""Terms for which a better placed gateway must have been there before a held task is handed over to it."""

MAX_HANDOVER_FACTOR = 8
"""`HANDOVER_TERMS` grows up to this many times, for a gateway that did not take what was handed over."""

COOLDOWN_TERMS = 3
"""Terms for which a gateway that gave a task back does not want it again."""

RETRY_FRACTION = 10
"""The preferred gateway retries after about this fraction of a term."""

HASH_RANGE = 2.0**64
UNRANKED = -1
"""The rank of a gateway that does not watch a task."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A gateway that may hold tasks.

    `weight` is its share beside the others'. One with `outdated` runs an older release, and ranks after all
    that do not.
    """

    name: str
    weight: float = 1.0
    outdated: bool = False


def score(task: str, candidate: Candidate) -> float:
    """The rendezvous score: the candidate with the highest comes first."""
    drawn = (xxhash.xxh3_64_intdigest(f"{task}\0{candidate.name}".encode()) + 1) / (HASH_RANGE + 2)
    return -candidate.weight / math.log(drawn)


def ranked(task: str, candidates: Iterable[Candidate]) -> list[str]:
    """The names of the candidates, the preferred one first."""
    order = sorted(candidates, key=lambda one: (one.outdated, -score(task, one), one.name))
    return [one.name for one in order]


def load_limits(tasks: int, candidates: Sequence[Candidate]) -> dict[str, int]:
    """How many tasks each candidate takes at most."""
    total = sum(one.weight for one in candidates) or 1.0
    return {one.name: math.ceil(LOAD_SLACK * tasks * one.weight / total) for one in candidates}


def assign(tasks: Iterable[str], candidates: Sequence[Candidate]) -> dict[str, tuple[str, ...]]:
    """For each task the gateways that watch it; the first is to take it."""
    names, load = list(tasks), dict[str, int]()
    limits = load_limits(len(names), candidates)
    watchers = dict[str, tuple[str, ...]]()
    # In an order by hash, so that one task more moves few of the others.
    for task in sorted(names, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name)):
        order = ranked(task, candidates)
        not_full = [name for name in order if load.get(name, 0) < limits[name]]
        first = (not_full or order)[:1]
        for name in first:
            load[name] = load.get(name, 0) + 1
        others = [name for name in order if name not in first]
        watchers[task] = (*first, *others)[:WATCHERS_PER_TASK]
    return watchers


def eligible_candidates(
    members: Iterable[Member], own: str, own_is_fit: bool, weights: Mapping[str, float] | None = None
) -> list[Candidate]:
    """The gateways that may hold tasks, as the gateway `own` sees its fleet."""
    serving = [
        member
        for member in members
        if member.status in (MemberState.ALIVE, MemberState.SUSPECT)
        and member.state == "serving"
        and (own_is_fit or member.name != own)
    ]
    newest = max((release_version(member.program) for member in serving), default=())
    given = weights or {}
    return [
        Candidate(member.name, given.get(member.name, 1.0), release_version(member.program) < newest)
        for member in serving
        if given.get(member.name, 1.0) > 0
    ]


def release_version(program: str) -> tuple[int, ...]:
    """The version in a release's name such as 0.2.0-5e1f; empty where there is none."""
    parts = program.partition("-")[0].split(".")
    return tuple(int(part) for part in parts) if all(part.isdecimal() for part in parts) else ()


@dataclass(slots=True)
class TaskWatch:
    """One task as one gateway watches it: when to request its lease, and when to hand the task over.

    Attributes:
        rank: our place among those that watch the task; `UNRANKED` where we don't.
        ranked_at: when our rank became what it is.
        next_check: when to request the lease at the earliest.
        cooldown_until: until when we do not want the task, having given it back.
        acquired_at: since when it is ours; -1 where it never was, or was given back.
        handover_factor: how many times `HANDOVER_TERMS` we wait before handing it over.
    """

    rank: int = UNRANKED
    ranked_at: int = 0
    next_check: int = 0
    cooldown_until: int = 0
    acquired_at: int = -1
    handover_factor: int = 1

    def set_order(self, now: int, own: str, order: Sequence[str]) -> None:
        """Takes note of the gateways that watch the task now."""
        rank = order.index(own) if own in order else UNRANKED
        if rank == self.rank:
            return
        self.rank, self.ranked_at, self.next_check = rank, now, now
        if rank == 0:
            self.cooldown_until = now  # the gateway that it was handed over to has gone

    def wants_lease(self, now: int, term: Duration) -> bool:
        """Whether to request the lease now.

        The preferred gateway does so at once. The others do when their turn to check has come, as the
        preferred one may be alive and yet not reach the voters.
        """
        if self.rank < 0 or now < self.cooldown_until or now < self.next_check:
            return False
        return self.rank == 0 or now >= self.ranked_at + term * self.rank

    def request_failed(self, now: int, term: Duration, remaining: int, jitter: float) -> None:
        """Retries once the present holder's lease has expired.

        `remaining` is for how long it is still held, 0 where a contest was lost or no reply came; `jitter` is
        drawn from 0 to 1.
        """
        delay = term // RETRY_FRACTION if self.rank == 0 else term * self.rank // 2
        self.next_check = now + max(remaining + 1, int(delay * (0.5 + jitter)))

    def holder_released(self, now: int) -> None:
        """The holder reports that the lease was given back."""
        self.next_check = min(self.next_check, now)

    def acquired(self, now: int) -> None:
        """The lease is ours."""
        self.acquired_at = now

    def should_hand_over(self, now: int, term: Duration, preferred_is_alive: bool) -> bool:
        """Whether to give a held task back for the better placed gateway, which nobody may suspect."""
        since = max(self.ranked_at, self.acquired_at)
        waited = now >= since + HANDOVER_TERMS * self.handover_factor * term
        return self.rank != 0 and preferred_is_alive and waited

    def released(self, now: int, term: Duration) -> None:
        """We gave the lease back: others have the time to acquire it."""
        self.acquired_at, self.cooldown_until = -1, now + COOLDOWN_TERMS * term
        self.handover_factor = min(MAX_HANDOVER_FACTOR, 2 * self.handover_factor) if self.rank else 1
