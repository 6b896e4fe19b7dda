"""A gateway's state of one task: its claim, its holder, and callbacks for changes of the holder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from vanerelay.leases.assignment import TaskWatch
from vanerelay.leases.claim import Claim
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.voter import Grant

HolderCallback = Callable[[LeaseHolder], None]
"""Called with the holder of the lease that was acquired or lost."""


class HistoryOp(StrEnum):
    """Operations on a lease in recorded histories. Checkers of histories match the values."""

    REQUEST = "asked"
    ACQUIRE = "acquire"
    RENEW = "renew"
    LOSE = "lost"
    RELEASE = "release"


@dataclass(slots=True)
class LeaseTask:
    """A gateway's state of one task.

    Attributes:
        name: the task's name.
        holder: this gateway's use of the lease.
        on_acquired: called when the lease is acquired.
        on_lost: called when no further operation may begin.
        watch: decides when to request the lease.
        claim: this gateway's claim on the lease.
        renewed_at: when the grant was last sent to the voters.
        requested_at: when the last round started, by the clock of the history.
        is_acting: `on_acquired` was called, and `on_lost` has not been called since.
    """

    name: str
    holder: LeaseHolder
    on_acquired: HolderCallback
    on_lost: HolderCallback
    watch: TaskWatch = field(default_factory=TaskWatch)
    claim: Claim = field(default_factory=Claim)
    renewed_at: int = 0
    requested_at: int = 0
    is_acting: bool = False


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """A grant that voters are asked to accept. The first request has serial 0, renewals count from 1."""

    task: LeaseTask
    serial: int
    grant: Grant
