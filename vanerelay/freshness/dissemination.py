"""From whom a manager hears the news of a shard: so that one watcher is enough for a fleet of any size. Pure.

The first few by rendezvous, among whom the watcher is, ask it; all others ask their place's parent in a tree
over the same order. Who does not answer is passed over upward."""

from __future__ import annotations

from collections.abc import Sequence

from vanerelay.leases.assignment import WATCHERS_PER_TASK

FAN = 8  # that ask one


def source(own: str, order: Sequence[str], holder: str, failed: int) -> str | None:
    """Whom to ask now. `order`: all that are there, by rendezvous for the shard's task; `holder`: who
    watches, as far as known; `failed`: questions in a row that brought nothing."""
    heads = [name for name in dict.fromkeys((holder, *order[:WATCHERS_PER_TASK])) if name and name != own]
    place = order.index(own) if own in order else WATCHERS_PER_TASK
    if place >= WATCHERS_PER_TASK:
        above = list[str]()
        while place >= WATCHERS_PER_TASK:
            place = (place - WATCHERS_PER_TASK) // FAN
            above.append(order[place])
        heads = list(dict.fromkeys((*above, *heads)))
    return heads[failed % len(heads)] if heads else None
