"""Assignment of tasks to gateways. Pure: gateways that see the same fleet agree without messages.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; logarithmic weights as in Schindelhauer and
Schomaker 2005): when a gateway joins or leaves, only its own tasks move. The load of each gateway is bounded
(Mirrokni, Thorup, Zadimoghaddam 2018): a task whose preferred gateway is full goes to the next in rank.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from vanerelay.fleet.failure_detector import Member, MemberState
from vanerelay.interface import Duration

MAX_LOAD_FACTOR = 1.25
"""Upper bound of a gateway's tasks, as a multiple of its even share."""

WATCHERS_PER_TASK = 3
"""Gateways that watch a task: the first requests its lease, the others check whether it is held."""

HANDOVER_TERMS = 3
"""Terms for which a higher-ranked gateway must have been present before a held task is handed over to it."""

MAX_HANDOVER_FACTOR = 8
"""Limit of the factor on `HANDOVER_TERMS`. It doubles at each handover, as the preferred gateway may not
take the task."""

COOLDOWN_TERMS = 3
"""Terms for which a gateway that released a task does not request it again."""

RETRY_DIVISOR = 10
"""The preferred gateway retries after about a term divided by this."""

HASH_RANGE = 2.0**64
UNRANKED = -1
"""Rank of a gateway that does not watch a task."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A gateway that may hold tasks.

    Attributes:
        name: the gateway's name.
        weight: its share of the tasks relative to other gateways.
        outdated: it runs an older release, and ranks after all gateways that run the newest one.
    """

    name: str
    weight: float = 1.0
    outdated: bool = False


def score(task: str, candidate: Candidate) -> float:
    """Returns a candidate's rendezvous score; the candidate with the highest score is preferred."""
    hash_fraction = (xxhash.xxh3_64_intdigest(f"{task}\0{candidate.name}".encode()) + 1) / (HASH_RANGE + 2)
    return -candidate.weight / math.log(hash_fraction)


def ranked(task: str, candidates: Iterable[Candidate]) -> list[str]:
    """Returns the names of the candidates, the preferred one first."""
    order = sorted(
        candidates, key=lambda candidate: (candidate.outdated, -score(task, candidate), candidate.name)
    )
    return [candidate.name for candidate in order]


def load_limits(tasks: int, candidates: Sequence[Candidate]) -> dict[str, int]:
    """Returns the maximum number of tasks of each candidate, by name."""
    total = sum(candidate.weight for candidate in candidates) or 1.0
    return {
        candidate.name: math.ceil(MAX_LOAD_FACTOR * tasks * candidate.weight / total)
        for candidate in candidates
    }


def assign(tasks: Iterable[str], candidates: Sequence[Candidate]) -> dict[str, tuple[str, ...]]:
    """Returns for each task the gateways that watch it; the first one should hold it."""
    task_names, load = list(tasks), dict[str, int]()
    limits = load_limits(len(task_names), candidates)
    watchers = dict[str, tuple[str, ...]]()
    # Tasks are placed in the order of their hashes, so that an added task moves few of the others.
    for task in sorted(task_names, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name)):
        order = ranked(task, candidates)
        not_full = [name for name in order if load.get(name, 0) < limits[name]]
        preferred = (not_full or order)[:1]
        for name in preferred:
            load[name] = load.get(name, 0) + 1
        others = [name for name in order if name not in preferred]
        watchers[task] = (*preferred, *others)[:WATCHERS_PER_TASK]
    return watchers


def eligible_candidates(
    members: Iterable[Member],
    own_name: str,
    own_is_eligible: bool,
    weights: Mapping[str, float] | None = None,
) -> list[Candidate]:
    """Returns the gateways that may hold tasks, as the gateway `own_name` sees its fleet.

    `own_is_eligible` says whether that gateway itself may hold tasks.
    """
    serving = [
        member
        for member in members
        if member.status in (MemberState.ALIVE, MemberState.SUSPECT)
        and member.state == "serving"
        and (own_is_eligible or member.name != own_name)
    ]
    newest = max((release_version(member.program) for member in serving), default=())
    weight_by_name = weights or {}
    return [
        Candidate(member.name, weight_by_name.get(member.name, 1.0), release_version(member.program) < newest)
        for member in serving
        if weight_by_name.get(member.name, 1.0) > 0
    ]


def release_version(program: str) -> tuple[int, ...]:
    """Returns the version in a release's name such as 0.2.0-5e1f; empty where the name has none."""
    parts = program.partition("-")[0].split(".")
    return tuple(int(part) for part in parts) if all(part.isdecimal() for part in parts) else ()


@dataclass(slots=True)
class TaskWatch:
    """One task as this gateway watches it: when to request its lease, and when to hand the task over.

    Attributes:
        rank: this gateway's rank among the gateways that watch the task, 0 for the preferred one; `UNRANKED`
            where it does not watch the task.
        ranked_at: when the rank last changed.
        next_check: earliest time of the next request for the lease.
        cooldown_until: end of the time after a release in which this gateway does not request the lease.
        acquired_at: when this gateway acquired the lease; -1 where it never did, or released it.
        handover_factor: multiple of `HANDOVER_TERMS` after which a held task is handed over.
    """

    rank: int = UNRANKED
    ranked_at: int = 0
    next_check: int = 0
    cooldown_until: int = 0
    acquired_at: int = -1
    handover_factor: int = 1

    def update_rank(self, now: int, own_name: str, watchers: Sequence[str]) -> None:
        """Updates the rank of the gateway `own_name` from the gateways that now watch the task."""
        rank = watchers.index(own_name) if own_name in watchers else UNRANKED
        if rank == self.rank:
            return
        self.rank, self.ranked_at, self.next_check = rank, now, now
        if rank == 0:
            self.cooldown_until = now  # the gateway that the task was handed over to has gone

    def wants_lease(self, now: int, term: Duration) -> bool:
        """Returns True if this gateway should request the lease now.

        The preferred gateway does so at once. The others do so after one term per rank, as the preferred one
        may be alive and yet unable to reach the voters.
        """
        if self.rank < 0 or now < self.cooldown_until or now < self.next_check:
            return False
        return self.rank == 0 or now >= self.ranked_at + term * self.rank

    def request_failed(self, now: int, term: Duration, remaining: int, jitter: float) -> None:
        """Schedules the next request, after the present holder's lease has expired.

        `remaining` is the time until that lease expires, 0 where two requests collided or no reply came;
        `jitter` is a random number between 0 and 1.
        """
        delay = term // RETRY_DIVISOR if self.rank == 0 else term * self.rank // 2
        self.next_check = now + max(remaining + 1, int(delay * (0.5 + jitter)))

    def holder_released(self, now: int) -> None:
        """Makes the next request due, as the holder reports that it released the lease."""
        self.next_check = min(self.next_check, now)

    def acquired(self, now: int) -> None:
        """Records that this gateway acquired the lease."""
        self.acquired_at = now

    def should_hand_over(self, now: int, term: Duration, preferred_is_alive: bool) -> bool:
        """Returns True if a held task should be released for the preferred gateway.

        `preferred_is_alive` is False where that gateway is suspected to have failed.
        """
        since = max(self.ranked_at, self.acquired_at)
        waited = now >= since + HANDOVER_TERMS * self.handover_factor * term
        return self.rank != 0 and preferred_is_alive and waited

    def released(self, now: int, term: Duration) -> None:
        """Records that this gateway released the lease, and starts the cooldown for others to acquire it."""
        self.acquired_at, self.cooldown_until = -1, now + COOLDOWN_TERMS * term
        self.handover_factor = min(MAX_HANDOVER_FACTOR, 2 * self.handover_factor) if self.rank else 1
