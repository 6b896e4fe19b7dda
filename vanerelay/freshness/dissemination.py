"""From whom a gateway fetches the updates of a shard, so that one watcher is enough for any fleet. Pure.

The first few gateways by rendezvous hashing, the watcher among them, ask the watcher. Each other one asks its
parent in a tree over the same order. A gateway that does not answer is passed over upward.
"""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.leases.assignment import WATCHERS_PER_TASK

FAN_OUT = 8
"""Gateways that ask one parent: a tree of four levels serves over 500 gateways."""


def update_source(own: str, order: Sequence[str], holder: str, failures: int) -> str | None:
    """The gateway to ask now; None where there is none.

    Args:
        own: The name of this gateway.
        order: All live gateways, by rendezvous hashing for the shard's task.
        holder: The shard's watcher, as far as known.
        failures: Requests in a row that brought nothing.
    """
    candidates = [
        name for name in dict.fromkeys((holder, *order[:WATCHERS_PER_TASK])) if name and name != own
    ]
    place = order.index(own) if own in order else WATCHERS_PER_TASK
    if place >= WATCHERS_PER_TASK:
        ancestors = list[str]()
        while place >= WATCHERS_PER_TASK:
            place = (place - WATCHERS_PER_TASK) // FAN_OUT
            ancestors.append(order[place])
        candidates = list(dict.fromkeys((*ancestors, *candidates)))
    return candidates[failures % len(candidates)] if candidates else None
