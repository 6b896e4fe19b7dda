"""What an engine has cached: the table groups read last. Pure; nothing of it is served."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(slots=True)
class TableCache:
    """The `capacity` table groups read last, each with the time of its last read."""

    capacity: int
    table_groups: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def read(self, now: float, table_group: int) -> None:
        """A read has cached a table group; the one read longest ago may go."""
        self.table_groups[table_group] = now
        self.table_groups.move_to_end(table_group)
        while len(self.table_groups) > self.capacity:
            self.table_groups.popitem(last=False)

    def invalidate(self, table_group: int) -> None:
        """A load has made what was cached of a table group useless."""
        self.table_groups.pop(table_group, None)


__all__ = ["TableCache"]
