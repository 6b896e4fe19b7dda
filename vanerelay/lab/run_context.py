"""What all parts of a run share: the network, the event log, and what engines truly hold."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from vanerelay.history import History
from vanerelay.interface import SECOND, Duration
from vanerelay.lab.cache_model import TableCache
from vanerelay.lab.event_log import Event, EventKind, EventLog
from vanerelay.lab.fault_network import Network
from vanerelay.lab.replication_model import ReplicationModel


@dataclass(slots=True)
class RunContext:
    """What all parts of a run share.

    Attributes:
        load_start: when the load starts, in ticks.
        history_folder: where parties of the laboratory write what they did; empty: nowhere.
        replication: how far replicas truly follow.
        caches: what engines truly have cached.
    """

    network: Network
    event_log: EventLog
    load_start: int = 0
    history_folder: str = ""
    replication: ReplicationModel = field(default_factory=lambda: ReplicationModel(0))
    caches: list[TableCache] = field(default_factory=list)

    def now(self) -> int:
        """Monotonic time in ticks."""
        return self.network.now()

    def since_load_start(self) -> int:
        """Ticks since the start of the load; events are timed by it."""
        return self.now() - self.load_start

    def log(self, kind: EventKind, **fields: Any) -> None:
        """Adds an event of now to the log."""
        self.event_log.add(Event(self.since_load_start(), kind, **fields))

    def call_later(self, delay: Duration, call: Callable[..., object], *values: object) -> Any:
        """Calls after a delay in ticks."""
        return self.network.reactor.callLater(delay / SECOND, call, *values)

    def history(self, party: str) -> History:
        """The history of a party of the laboratory."""
        return History(party, f"{self.history_folder}/{party}.jsonl" if self.history_folder else "")


__all__ = ["RunContext"]
