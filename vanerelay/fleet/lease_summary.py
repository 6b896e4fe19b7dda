"""Summarizes the leases of a fleet for operators, from the status reports of its gateways. Without I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanerelay.leases.messages import LeasesStatus

COUNTER_BITS = 32
"""Number of low bits of a fencing token that count within one era; the bits above hold the era."""

COUNTER_MASK = (1 << COUNTER_BITS) - 1


@dataclass(frozen=True, slots=True)
class TaskSummary:
    """The lease of a task; `holder` is empty where no gateway holds it.

    The field names are keys of the printed JSON.

    Attributes:
        task: Name of the task.
        holder: Name of the gateway that holds the lease.
        number: Fencing token of the lease.
        left_ms: Time until the lease expires, in milliseconds.
    """

    task: str
    holder: str = ""
    number: int = 0
    left_ms: int = 0

    def text(self) -> str:
        """Returns one line of readable text."""
        if not self.holder:
            return f"{self.task:<20} held by nobody"
        token = f"{self.number >> COUNTER_BITS}.{self.number & COUNTER_MASK}"
        return f"{self.task:<20} {self.holder:<12} {token:<10} {self.left_ms / 1000:.1f} s left"


@dataclass(frozen=True, slots=True)
class VoterSummary:
    """The state of a voter. The field names are keys of the printed JSON.

    Attributes:
        voter: Name of the gateway that votes.
        memory: State of its stored votes, or "no answer".
        era: Era that it votes in.
        why: Reason why it does not vote; may be empty.
    """

    voter: str
    memory: str
    era: int
    why: str

    def text(self) -> str:
        """Returns one line of readable text."""
        reason = f"  {self.why}" if self.why else ""
        return f"voter {self.voter:<14} {self.memory:<10} era {self.era}{reason}"


@dataclass(frozen=True, slots=True)
class LeaseSummary:
    """All tasks and voters.

    `healthy` is True if there are tasks, each of them has a holder, and a quorum of the voters votes.
    """

    tasks: tuple[TaskSummary, ...]
    voters: tuple[VoterSummary, ...]
    healthy: bool

    def json_lines(self) -> Iterator[str]:
        """Returns one JSON object per task and voter."""
        return (json.dumps(asdict(row)) for row in self._rows)

    def text_lines(self) -> Iterator[str]:
        """Returns one line of readable text per task and voter."""
        return (row.text() for row in self._rows)

    @property
    def _rows(self) -> tuple[TaskSummary | VoterSummary, ...]:
        return (*self.tasks, *self.voters)


def summarize(statuses: Mapping[str, LeasesStatus]) -> LeaseSummary:
    """Summarizes the status reports of the gateways that replied; `statuses` by gateway name."""
    from vanerelay.leases.voter import Voters, VoterStatus

    tasks = _summarize_tasks(statuses)
    newest = max(statuses.values(), key=lambda status: status.version, default=None)
    voters = (
        Voters(1, tuple(newest.voters), tuple(newest.previous_voters)) if newest is not None else Voters()
    )
    rows = tuple(_summarize_voter(name, statuses.get(name)) for name in voters.names)
    quorum = voters.is_quorum(row.voter for row in rows if row.memory == VoterStatus.READY.value)
    healthy = quorum and bool(tasks) and all(task.holder for task in tasks)
    return LeaseSummary(tasks, rows, healthy)


def _summarize_tasks(statuses: Mapping[str, LeasesStatus]) -> tuple[TaskSummary, ...]:
    """Returns each task with the holder that reports the highest fencing token."""
    tasks = dict[str, TaskSummary]()
    for gateway, status in sorted(statuses.items()):
        for row in status.tasks:
            current = tasks.setdefault(row.task, TaskSummary(row.task))
            if row.holds and row.token > current.number:
                tasks[row.task] = TaskSummary(row.task, gateway, row.token, row.remaining_ms)
    return tuple(tasks[name] for name in sorted(tasks))


def _summarize_voter(name: str, status: LeasesStatus | None) -> VoterSummary:
    if status is None:
        return VoterSummary(name, "no answer", 0, "")
    return VoterSummary(name, status.memory, status.era, status.reason)
