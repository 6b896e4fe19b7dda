"""Table groups and their copies, as they truly are: the source's numbered loads, how far each copy follows.

Pure: told the time in the module's unit. What managers believe of it is judged against this."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field


@dataclass(slots=True)
class Follower:
    """One engine that follows: `lag` behind; `stuck_at`: since when it does so no more, -1: it does; `held`:
    by table group, life and number that it had when it was looked at last."""

    lag: int
    stuck_at: int = -1
    held: dict[int, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Copies:
    """All table groups 0 to `tables`, each with a source and its loads' times under the life in force."""

    tables: int
    source: str = ""
    life: int = 1
    began: int = 0  # of the life
    loads: dict[int, list[int]] = field(default_factory=dict)
    followers: dict[str, Follower] = field(default_factory=dict)

    def join(self, engine: str, role: str, lag: int) -> None:
        if role == "source" and not self.source:
            self.source = engine
        else:
            self.followers[engine] = Follower(lag)

    def knows(self, engine: str) -> bool:
        return engine == self.source or engine in self.followers

    def load(self, now: int, table: int) -> tuple[int, int]:
        """A load ends at the source: the point that it ends at."""
        ended = self.loads.setdefault(table, [])
        ended.append(now)
        return self.life, len(ended)

    def point(self, now: int, engine: str, table: int) -> tuple[int, int]:
        """Up to where the engine holds a table group now."""
        ended = self.loads.get(table, [])
        if engine == self.source:
            return self.life, len(ended)
        one = self.followers[engine]
        upto = (one.stuck_at if one.stuck_at >= 0 else now) - one.lag
        life, number = one.held.get(table, (0, 0))
        if upto >= self.began:
            found = bisect_right(ended, upto)
            if life < self.life or found > number:
                life, number = self.life, found
        one.held[table] = life, number
        return life, number

    # What scripts turn.

    def stick(self, now: int, engine: str, on: bool) -> None:
        """It answers, and follows no more."""
        self.followers[engine].stuck_at = now if on else -1

    def slow(self, now: int, engine: str, lag: int) -> None:
        for table in range(self.tables):
            self.point(now, engine, table)
        self.followers[engine].lag = lag

    def restore(self, now: int, engine: str, back: int) -> None:
        """It is as it was so many loads ago, and follows no more until it is let."""
        one = self.followers[engine]
        for table in range(self.tables):
            life, number = self.point(now, engine, table)
            one.held[table] = life, max(0, number - back)
        one.stuck_at = now if one.stuck_at < 0 else one.stuck_at
        one.lag = max(one.lag, now)  # nothing of before comes again while it stands

    def lead(self, now: int, engine: str, lag: int) -> None:
        """It takes the source's place: numbers begin again, under a new life."""
        self.followers.pop(engine)
        self.followers[self.source] = Follower(lag)
        for table in range(self.tables):
            self.followers[self.source].held[table] = self.life, len(self.loads.get(table, []))
        self.source, self.life, self.began = engine, self.life + 1, now
        self.loads = {}
