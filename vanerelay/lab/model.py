"""Engines as models: cores shared by all that runs, memory that makes dispatches wait, a cold start.

Pure: told the time in the module's unit (tenths of a millisecond). Work is core time in the same unit. Two
shells drive it: sockets (`hosts.py`), and virtual time later. Nothing of it is served."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

from vanerelay.interface import SECOND, Duration


@dataclass(frozen=True, slots=True)
class Cold:
    """How an engine starts: at `share` of its capacity, the whole of it after `warm`. Sent more work than
    `multiple` times its capacity of the moment within `window`, it falls over and is gone for `down`."""

    share: float = 0.3
    warm: Duration = 10 * SECOND
    multiple: float = 4.0
    window: Duration = 2 * SECOND
    down: Duration = 2 * SECOND


@dataclass(frozen=True, slots=True)
class Machine:
    """`memory` in MB; `waiting`: dispatches that may wait for memory, one more is pushed back; `connections`:
    that it holds, one more is refused (0: any number)."""

    cores: int = 4
    memory: float = 8000.0
    waiting: int = 32
    connections: int = 0


class Word(Enum):
    BEGAN = "began"
    ENDED = "ended"
    FAILED = "failed"
    LOST = "lost"  # the engine went down under it
    DROPPED = "dropped"  # given up before it began


@dataclass(slots=True)
class Job:
    """One dispatch at an engine. `work`: core time still to do; `need`: memory in MB, `grant` what it was
    given, `source` who sent it, `began` and `came` when."""

    key: str
    source: str
    work: float
    threads: int
    need: float
    grant: float
    came: int
    began: int = -1
    done: float = 0.0


class Put(Enum):
    TAKEN = "taken"
    FULL = "full"
    FELL = "fell over"
    DOWN = "down"


SHORT = 2.5  # times the work of a job whose grant falls short of its need: it spills
STEP = SECOND // 10  # within which a cold engine's share counts as the same
TINY = 1e-6


@dataclass(slots=True)
class Fall:
    """Why an engine fell over: what each manager sent within the window, and what it could bear."""

    at: int
    limit: float
    sent: Counter[str] = field(default_factory=Counter)


class Engine:
    """`pace`, `stalled` and `errors` are what scripts turn: speed beside the sound one's, whether nothing
    goes on, and the part of dispatches that fail at once."""

    def __init__(self, machine: Machine, cold: Cold, now: int, fresh: bool = False) -> None:
        self.machine, self.cold = machine, cold
        self.pace, self.stalled, self.errors = 1.0, False, 0.0
        self.running, self.line = dict[str, Job](), deque[Job]()
        self.news = list[tuple[int, Word, Job]]()  # to be taken by the shell
        self.falls = list[Fall]()
        self.pressed = 0.0  # the most that it was sent while cold, in parts of what it bears
        self.down_until = -1  # while it is down; nothing brings it back by itself at 0 or more but `rise`
        self._now, self._sent = now, deque[tuple[int, str, float]]()
        self.started = now if fresh else -(10**12)

    @property
    def down(self) -> bool:
        return self.down_until >= 0

    def share(self, now: int) -> float:
        age = max(0.0, (now - self.started) / max(1, self.cold.warm))
        return min(1.0, self.cold.share + (1.0 - self.cold.share) * age)

    @property
    def granted(self) -> float:
        return sum(job.grant for job in self.running.values())

    @property
    def threads(self) -> int:
        return sum(job.threads for job in self.running.values())

    def put(self, now: int, job: Job) -> Put:
        """A dispatch has come whole. Work counts for the fall whether it is taken or not."""
        self.advance(now)
        if self.down:
            return Put.DOWN
        if self._overwhelmed(now, job):
            return Put.FELL
        if len(self.line) >= self.machine.waiting:
            return Put.FULL
        if job.grant < job.need:
            job.work *= SHORT
        self.line.append(job)
        self._fill(now)
        return Put.TAKEN

    def fail(self, now: int, key: str) -> None:
        """Ends a dispatch in error at once."""
        self._end(now, key, Word.FAILED)

    def drop(self, now: int, key: str) -> None:
        """Nobody waits for it any more: what has not begun never will, what runs goes on to its end."""
        for job in self.line:
            if job.key == key:
                self.line.remove(job)
                self.news.append((now, Word.DROPPED, job))
                self._fill(now)
                return

    def stop(self, now: int, key: str) -> None:
        """Cancelled: what runs is stopped as well."""
        self.drop(now, key)
        self._end(now, key, Word.FAILED)

    def crash(self, now: int, down_until: int) -> None:
        self.advance(now)
        for job in (*self.running.values(), *self.line):
            self.news.append((now, Word.LOST, job))
        self.running.clear()
        self.line.clear()
        self._sent.clear()
        self.down_until = max(down_until, 0)

    def rise(self, now: int) -> None:
        """Back up, empty and cold."""
        self.down_until, self.started, self._now = -1, now, now

    def due(self, now: int) -> int | None:
        """When something ends next, if nothing else comes; None where nothing will."""
        rate = self._rate(now)
        if rate <= 0.0 or not self.running:
            return None
        soonest = min(job.work / (job.threads * rate) for job in self.running.values())
        whole = now + max(1, int(soonest) + 1)
        return min(whole, now + STEP) if self.share(now) < 1.0 else whole

    def advance(self, now: int) -> None:
        """Lets time pass. Cores are shared by all threads alike; a thread never has more than one core."""
        while self._now < now:
            rate = self._rate(self._now)
            step = now - self._now
            if self.share(self._now) < 1.0:
                step = min(step, STEP)
            if rate > 0.0 and self.running:
                soonest = min(job.work / (job.threads * rate) for job in self.running.values())
                step = min(step, max(1, int(soonest) + 1))
            self._now += step
            for key, job in list(self.running.items()):
                part = min(job.work, job.threads * rate * step)
                job.work -= part
                job.done += part
                if job.work <= TINY:
                    self._end(self._now, key, Word.ENDED)

    def _rate(self, now: int) -> float:
        """Core time that each thread gets in a unit of time."""
        if self.stalled or self.down or not self.running:
            return 0.0
        return min(1.0, self.machine.cores / self.threads) * self.share(now) * self.pace

    def _end(self, now: int, key: str, word: Word) -> None:
        job = self.running.pop(key, None)
        if job is not None:
            self.news.append((now, word, job))
            self._fill(now)

    def _fill(self, now: int) -> None:
        """Memory in order of coming: one that does not fit holds up those behind it. One alone always
        fits."""
        while self.line:
            job = self.line[0]
            if self.running and self.granted + job.grant > self.machine.memory:
                return
            self.line.popleft()
            job.began = now
            self.running[job.key] = job
            self.news.append((now, Word.BEGAN, job))

    def _overwhelmed(self, now: int, job: Job) -> bool:
        cold = self.cold
        self._sent.append((now, job.source, job.work))
        while self._sent[0][0] <= now - cold.window:
            self._sent.popleft()
        if now - self.started >= cold.warm + cold.window:
            return False
        limit = cold.multiple * self.machine.cores * self.share(now) * cold.window
        sent = sum(work for _, _, work in self._sent)
        self.pressed = max(self.pressed, sent / limit)
        if sent <= limit:
            return False
        fall = Fall(now, limit)
        for _, source, work in self._sent:
            fall.sent[source] += round(work)
        self.falls.append(fall)
        self.crash(now, now + cold.down)
        return True
