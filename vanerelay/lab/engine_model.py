"""Engines as models: cores shared by all that runs, memory that makes attempts wait, a slow start.

Pure: told the time in ticks (tenths of a millisecond). Work is core time in ticks. `engine_server` drives it
on sockets. Nothing of it is served.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

SPILL_FACTOR = 2.5
"""Times the work of a job whose memory grant falls short of its need: it spills to disk."""
CAPACITY_STEP = SECOND // 10
"""Within it the capacity of an engine in its slow start counts as the same."""
WORK_TOLERANCE = 1e-6
"""Work left, in ticks, that counts as none."""
LONG_AGO = -(10**12)
"""The start of an engine that is past its slow start."""


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How an engine starts: at a share of its capacity, all of it after `duration`.

    Sent more work than `overload_factor` times its capacity of the moment within `overload_window`, it falls
    over and is gone for `downtime`.
    """

    initial_share: float = config_field("share", default=0.3)
    duration: Duration = config_field("warm", default=10 * SECOND)
    overload_factor: float = config_field("multiple", default=4.0)
    overload_window: Duration = config_field("window", default=2 * SECOND)
    downtime: Duration = config_field("down", default=2 * SECOND)


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine of an engine.

    Attributes:
        max_queued: attempts that may wait for memory; one more is rejected.
        max_connections: one more is refused; 0 for any number.
    """

    cores: int = 4
    memory_mb: float = 8000.0
    max_queued: int = 32
    max_connections: int = 0


class JobEvent(Enum):
    """What becomes of a job."""

    BEGAN = "began"
    ENDED = "ended"
    FAILED = "failed"
    LOST = "lost"
    """The engine went down under it."""
    DROPPED = "dropped"
    """Given up before it began."""


class Submission(Enum):
    """What becomes of a job that is submitted."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    OVERLOADED = "overloaded"
    """The engine fell over."""
    DOWN = "down"


@dataclass(slots=True)
class Job:
    """One attempt at an engine.

    Attributes:
        sender: the gateway.
        remaining_work, work_done: core time in ticks.
        needed_mb, granted_mb: memory that it needs, and that it was granted.
    """

    key: str
    sender: str
    remaining_work: float
    threads: int
    needed_mb: float
    granted_mb: float
    arrived_at: int
    began_at: int = -1
    work_done: float = 0.0


class JobChange(NamedTuple):
    """What has become of a job, and when."""

    at: int
    event: JobEvent
    job: Job


class _SentWork(NamedTuple):
    at: int
    sender: str
    work: float


@dataclass(slots=True)
class Overload:
    """Why an engine fell over: what each gateway sent within the window, and what it could bear."""

    at: int
    limit: float
    work_by_sender: Counter[str] = field(default_factory=Counter)


class EngineModel:
    """One engine.

    Attributes:
        speed, is_stalled, error_rate: what faults change: speed beside a healthy engine's, whether nothing
            goes on, the part of attempts that fail at once.
        events: of jobs, with their times; whoever drives the model takes them.
        overloads: to be taken as well.
        peak_load: the most that it was sent in its slow start, in parts of what it bears.
        down_until: 0 or more while it is down; only `restart` ends that.
    """

    def __init__(self, machine: Machine, slow_start: SlowStart, now: int, fresh: bool = False) -> None:
        """`fresh`: it has just started, and is slow."""
        self.machine, self.slow_start = machine, slow_start
        self.speed, self.is_stalled, self.error_rate = 1.0, False, 0.0
        self.running, self.queue = dict[str, Job](), deque[Job]()
        self.events = list[JobChange]()
        self.overloads = list[Overload]()
        self.peak_load = 0.0
        self.down_until = -1
        self.now = now
        self.started_at = now if fresh else LONG_AGO
        self._recent_work = deque[_SentWork]()

    @property
    def is_down(self) -> bool:
        """Whether the engine is down."""
        return self.down_until >= 0

    @property
    def granted_mb(self) -> float:
        """Memory granted to all that runs."""
        return sum(job.granted_mb for job in self.running.values())

    @property
    def threads(self) -> int:
        """Threads of all that runs."""
        return sum(job.threads for job in self.running.values())

    def capacity_share(self, now: int) -> float:
        """The part of its capacity that an engine has reached in its slow start."""
        initial_share = self.slow_start.initial_share
        progress = max(0.0, (now - self.started_at) / max(1, self.slow_start.duration))
        return min(1.0, initial_share + (1.0 - initial_share) * progress)

    def submit(self, now: int, job: Job) -> Submission:
        """An attempt has come. Its work counts for an overload whether it is accepted or not."""
        self.advance(now)
        if self.is_down:
            return Submission.DOWN
        if self._is_overloaded_by(now, job):
            return Submission.OVERLOADED
        if len(self.queue) >= self.machine.max_queued:
            return Submission.REJECTED
        if job.granted_mb < job.needed_mb:
            job.remaining_work *= SPILL_FACTOR
        self.queue.append(job)
        self._start_queued(now)
        return Submission.ACCEPTED

    def fail(self, now: int, key: str) -> None:
        """Ends a running job in error at once."""
        self._end(now, key, JobEvent.FAILED)

    def drop(self, now: int, key: str) -> None:
        """Nobody waits for a job any more: a queued one never begins, a running one goes on to its end."""
        for job in self.queue:
            if job.key == key:
                self.queue.remove(job)
                self.events.append(JobChange(now, JobEvent.DROPPED, job))
                self._start_queued(now)
                return

    def cancel(self, now: int, key: str) -> None:
        """Stops a job, also a running one."""
        self.drop(now, key)
        self._end(now, key, JobEvent.FAILED)

    def crash(self, now: int, down_until: int) -> None:
        """The engine goes down; all its jobs are lost."""
        self.advance(now)
        for job in (*self.running.values(), *self.queue):
            self.events.append(JobChange(now, JobEvent.LOST, job))
        self.running.clear()
        self.queue.clear()
        self._recent_work.clear()
        self.down_until = max(down_until, 0)

    def restart(self, now: int) -> None:
        """The engine is up again, empty and at the begin of its slow start."""
        self.down_until, self.started_at, self.now = -1, now, now

    def next_event_at(self, now: int) -> int | None:
        """When to advance next, if nothing else comes; None where nothing will happen."""
        rate = self._work_rate(now)
        if rate <= 0.0 or not self.running:
            return None
        next_end = now + self._time_to_next_end(rate)
        return min(next_end, now + CAPACITY_STEP) if self.capacity_share(now) < 1.0 else next_end

    def advance(self, now: int) -> None:
        """Lets time pass. Cores are shared by all threads alike; a thread never has more than one core."""
        while self.now < now:
            rate = self._work_rate(self.now)
            step = now - self.now
            if self.capacity_share(self.now) < 1.0:
                step = min(step, CAPACITY_STEP)
            if rate > 0.0 and self.running:
                step = min(step, self._time_to_next_end(rate))
            self.now += step
            self._work(rate, step)

    def _work(self, rate: float, duration: int) -> None:
        for key, job in list(self.running.items()):
            done = min(job.remaining_work, job.threads * rate * duration)
            job.remaining_work -= done
            job.work_done += done
            if job.remaining_work <= WORK_TOLERANCE:
                self._end(self.now, key, JobEvent.ENDED)

    def _time_to_next_end(self, rate: float) -> int:
        soonest = min(job.remaining_work / (job.threads * rate) for job in self.running.values())
        return max(1, int(soonest) + 1)

    def _work_rate(self, now: int) -> float:
        """Core time that each thread gets in a tick."""
        if self.is_stalled or self.is_down or not self.running:
            return 0.0
        return min(1.0, self.machine.cores / self.threads) * self.capacity_share(now) * self.speed

    def _end(self, now: int, key: str, event: JobEvent) -> None:
        job = self.running.pop(key, None)
        if job is not None:
            self.events.append(JobChange(now, event, job))
            self._start_queued(now)

    def _start_queued(self, now: int) -> None:
        """Memory is granted in order of arrival: a job that does not fit holds up those behind it.

        One alone always fits.
        """
        while self.queue:
            job = self.queue[0]
            if self.running and self.granted_mb + job.granted_mb > self.machine.memory_mb:
                return
            self.queue.popleft()
            job.began_at = now
            self.running[job.key] = job
            self.events.append(JobChange(now, JobEvent.BEGAN, job))

    def _is_overloaded_by(self, now: int, job: Job) -> bool:
        """Counts a job's work; in its slow start the engine falls over if that is too much."""
        slow_start = self.slow_start
        self._recent_work.append(_SentWork(now, job.sender, job.remaining_work))
        while self._recent_work[0].at <= now - slow_start.overload_window:
            self._recent_work.popleft()
        if now - self.started_at >= slow_start.duration + slow_start.overload_window:
            return False
        capacity = self.machine.cores * self.capacity_share(now)
        limit = slow_start.overload_factor * capacity * slow_start.overload_window
        recent_work = sum(sent.work for sent in self._recent_work)
        self.peak_load = max(self.peak_load, recent_work / limit)
        if recent_work <= limit:
            return False
        self._fall_over(now, limit)
        return True

    def _fall_over(self, now: int, limit: float) -> None:
        overload = Overload(now, limit)
        for sent in self._recent_work:
            overload.work_by_sender[sent.sender] += round(sent.work)
        self.overloads.append(overload)
        self.crash(now, now + self.slow_start.downtime)


__all__ = ["EngineModel", "Job", "JobChange", "JobEvent", "Machine", "Overload", "SlowStart", "Submission"]
