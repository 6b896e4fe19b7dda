"""The leases of a fleet as its gateways report them, put together for operators. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanerelay.leases.messages import LeasesStatus

COUNTER_BITS = 32
"""Low bits of a fencing token, which count within one era; the bits above are the era."""

COUNTER_MASK = (1 << COUNTER_BITS) - 1


@dataclass(frozen=True, slots=True)
class TaskSummary:
    """Who holds a task: nobody where `holder` is empty. The fields are keys of the printed JSON."""

    task: str
    holder: str = ""
    number: int = 0
    left_ms: int = 0

    def text(self) -> str:
        """One line for people."""
        if not self.holder:
            return f"{self.task:<20} held by nobody"
        token = f"{self.number >> COUNTER_BITS}.{self.number & COUNTER_MASK}"
        return f"{self.task:<20} {self.holder:<12} {token:<10} {self.left_ms / 1000:.1f} s left"


@dataclass(frozen=True, slots=True)
class VoterSummary:
    """How a voter stands. The fields are keys of the printed JSON."""

    voter: str
    memory: str
    era: int
    why: str

    def text(self) -> str:
        """One line for people."""
        reason = f"  {self.why}" if self.why else ""
        return f"voter {self.voter:<14} {self.memory:<10} era {self.era}{reason}"


@dataclass(frozen=True, slots=True)
class LeaseSummary:
    """All tasks and voters; `healthy` where each task is held and a quorum of the voters votes."""

    tasks: tuple[TaskSummary, ...]
    voters: tuple[VoterSummary, ...]
    healthy: bool

    def json_lines(self) -> Iterator[str]:
        """A JSON object for each task and voter."""
        return (json.dumps(asdict(row)) for row in self._rows)

    def text_lines(self) -> Iterator[str]:
        """A line for people for each task and voter."""
        return (row.text() for row in self._rows)

    @property
    def _rows(self) -> tuple[TaskSummary | VoterSummary, ...]:
        return (*self.tasks, *self.voters)


def summarize(views: Mapping[str, LeasesStatus]) -> LeaseSummary:
    """Summarizes the views of the gateways that replied, by name."""
    from vanerelay.leases.voter import Voters, VoterStatus

    tasks = _tasks(views)
    newest = max(views.values(), key=lambda view: view.version, default=None)
    voters = (
        Voters(1, tuple(newest.voters), tuple(newest.previous_voters)) if newest is not None else Voters()
    )
    rows = tuple(_voter(name, views.get(name)) for name in voters.names)
    quorum = voters.is_quorum(row.voter for row in rows if row.memory == VoterStatus.READY.value)
    healthy = quorum and bool(tasks) and all(task.holder for task in tasks)
    return LeaseSummary(tasks, rows, healthy)


def _tasks(views: Mapping[str, LeasesStatus]) -> tuple[TaskSummary, ...]:
    """Each task with the holder that reports the highest fencing token."""
    tasks = dict[str, TaskSummary]()
    for gateway, view in sorted(views.items()):
        for row in view.tasks:
            known = tasks.setdefault(row.task, TaskSummary(row.task))
            if row.holds and row.token > known.number:
                tasks[row.task] = TaskSummary(row.task, gateway, row.token, row.remaining_ms)
    return tuple(tasks[name] for name in sorted(tasks))


def _voter(name: str, view: LeasesStatus | None) -> VoterSummary:
    if view is None:
        return VoterSummary(name, "no answer", 0, "")
    return VoterSummary(name, view.memory, view.era, view.reason)
