"""One task of the fleet as a gateway keeps it: its claim, its holder, and who is called when that changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from vanerelay.leases.assignment import TaskWatch
from vanerelay.leases.claim import Claim
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.voter import Grant

HolderCallback = Callable[[LeaseHolder], None]


class HistoryOp(StrEnum):
    """The operations on a lease that histories record; checkers of histories read these words."""

    REQUEST = "asked"
    ACQUIRE = "acquire"
    RENEW = "renew"
    LOSE = "lost"
    RELEASE = "release"


@dataclass(slots=True)
class LeaseTask:
    """One task.

    Attributes:
        name: the task's name.
        holder: the lease as this gateway may hold it.
        on_acquired: called when operations may begin.
        on_lost: called when they may not begin any more.
        watch: whether and when to request the lease.
        claim: this gateway's side of the protocol.
        renewed_at: when the grant was last sent to the voters.
        requested_at: when the last round began, by the histories' clock.
        is_acting: `on_acquired` was called, and `on_lost` not yet.
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
    """A grant that voters are asked to accept: serial 0 for the first time, then renewals."""

    task: LeaseTask
    serial: int
    grant: Grant
