"""Status of a gateway's leases for operators (`vanerelay fleet leases`). Pure."""

from __future__ import annotations

from collections.abc import Iterable

from vanerelay.interface import MILLISECOND
from vanerelay.leases.lease_task import LeaseTask
from vanerelay.leases.messages import MAX_TASKS_PER_MESSAGE, LeasesStatus, TaskStatus
from vanerelay.leases.voter import Voters
from vanerelay.leases.voter_client import VoterClient


def leases_status(
    name: str, voters: Voters, tasks: Iterable[LeaseTask], client: VoterClient, now: int
) -> LeasesStatus:
    """Returns the status of the gateway `name`: the tasks that it watches or holds, and its voter, if any."""
    voter_service = client.local
    statuses = [_task_status(task, now) for task in tasks if task.watch.rank >= 0 or task.claim.is_held(now)]
    return LeasesStatus(
        name,
        list(voters.current),
        list(voters.previous),
        voters.version,
        voter_service.voter.status.value if voter_service is not None else "",
        voter_service.voter.era if voter_service is not None else client.era,
        statuses[:MAX_TASKS_PER_MESSAGE],
        client.requests_sent,
        voter_service.reason if voter_service is not None else "",
    )


def _task_status(task: LeaseTask, now: int) -> TaskStatus:
    is_held = task.claim.is_held(now)
    remaining = max(0, task.claim.expires_at - now) // MILLISECOND if is_held else 0
    return TaskStatus(
        task.name, is_held, task.holder.token, remaining, len(task.holder.in_flight), task.watch.rank
    )
