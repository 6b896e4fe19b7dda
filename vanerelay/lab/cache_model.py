"""What an engine keeps warm: the table groups read last. Pure; nothing of it is served."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Warm:
    keeps: int
    groups: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def read(self, now: float, group: int) -> None:
        self.groups[group] = now
        self.groups.move_to_end(group)
        while len(self.groups) > self.keeps:
            self.groups.popitem(last=False)

    def old(self, group: int) -> None:
        self.groups.pop(group, None)
