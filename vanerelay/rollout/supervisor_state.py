"""Which release a supervisor runs, what follows it, and when it goes back. Pure.

It is told the time and what happens to the processes, and acts through `ProcessControl`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

MIN_BACKOFF, MAX_BACKOFF = SECOND // 5, 5 * SECOND
"""Until a process that ended by itself is started again; doubled each time."""
BACKOFF_RESET_AFTER = 30 * SECOND
"""A process that ran so long is started again after the shortest backoff."""
MAX_FAILURES = 2
"""Ends by itself within the probation after which a release goes back: one is chance."""
NOT_SET = -1
"""A moment that has not come."""

OrderCallback = Callable[[str | None], None]
"""Takes why an order failed; None where the successor has taken over."""


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a supervisor waits.

    Attributes:
        ready: for a successor to accept queries.
        probation: after it took over, within which two ends by itself bring the previous release back.
        shutdown: for a process to end after SIGTERM; then it is killed.
    """

    ready: Duration = 30 * SECOND
    probation: Duration = 60 * SECOND
    shutdown: Duration = config_field("end", default=60 * SECOND)


@dataclass(slots=True, eq=False)
class GatewayProcess:
    """One process of the gateway.

    Attributes:
        release: by its name.
        started_at: when it was started.
        is_ready: it accepts queries.
        stopping_since: when it was told to shut down.
        took_over_at: when it became the one that serves.
    """

    release: str
    started_at: int
    is_ready: bool = False
    stopping_since: int = NOT_SET
    took_over_at: int = NOT_SET


class ProcessControl(Protocol):
    """What a supervisor can do."""

    def start(self, process: GatewayProcess) -> None:
        """Starts a process."""
        ...

    def terminate(self, process: GatewayProcess) -> None:
        """Tells a process to shut down."""
        ...

    def kill(self, process: GatewayProcess) -> None:
        """Kills a process."""
        ...

    def save_release(self, release: str) -> None:
        """Stores the release that is to run after a restart of the supervisor itself."""
        ...


class SupervisorState:
    """The state of one supervisor.

    Attributes:
        current, previous: the release that is to run, and the one before it.
        serving: the process that serves.
        successor: the one that is to take over once it is ready.
        failed_releases: releases that went back, and why.
        is_stopping: the supervisor ends.
    """

    def __init__(
        self, control: ProcessControl, timeouts: Timeouts, releases: frozenset[str], first: str
    ) -> None:
        """`first` is the release to begin with."""
        self._control, self.timeouts, self._releases = control, timeouts, releases
        self.current, self.previous = first, ""
        self.serving: GatewayProcess | None = None
        self.successor: GatewayProcess | None = None
        self._stopping = list[GatewayProcess]()
        self._order_callback: OrderCallback | None = None
        self._restart_at, self._backoff, self._failures = NOT_SET, MIN_BACKOFF, 0
        self.failed_releases = dict[str, str]()
        self.is_stopping = False

    def begin(self, now: int) -> None:
        """Starts the first process."""
        self._start(now)

    def _start(self, now: int) -> None:
        self._restart_at = NOT_SET
        self.serving = GatewayProcess(self.current, now, took_over_at=now)
        self._control.start(self.serving)

    # Orders.

    def order(self, now: int, release: str, callback: OrderCallback) -> None:
        """Starts another release, or the same afresh, beside the process that serves until it is ready.

        `callback` is called once.
        """
        if release not in self._releases:
            callback(f"no release {release}, expected one of {', '.join(sorted(self._releases))}")
        elif self.is_stopping:
            callback("the keeper ends")
        elif self.successor is not None:
            callback("another successor is on its way")
        elif release in self.failed_releases and release != self.current:
            callback(self.failed_releases[release])
        else:
            self._order_callback = callback
            self.successor = GatewayProcess(release, now)
            self._control.start(self.successor)

    def forget_failures(self) -> None:
        """Another change has begun: a release that failed before may be tried again."""
        self.failed_releases.clear()

    # What happens to processes.

    def process_ready(self, now: int, process: GatewayProcess) -> None:
        """A process accepts queries: a successor takes over."""
        process.is_ready = True
        if process is not self.successor:
            return
        self.successor = None
        old, self.serving = self.serving, process
        process.took_over_at = now
        if process.release != self.current:
            self.previous, self.current = self.current, process.release
        self._failures, self._backoff, self._restart_at = 0, MIN_BACKOFF, NOT_SET
        self._control.save_release(self.current)
        if old is not None:
            self._terminate(now, old)
        self._finish_order(None)

    def process_ended(self, now: int, process: GatewayProcess, how: str) -> None:
        """A process has ended; `how` says its exit code or signal."""
        if process in self._stopping:
            self._stopping.remove(process)
        elif process is self.successor:
            self.successor = None
            self._finish_order(f"{process.release} ended before it was ready: {how}")
        elif process is self.serving and not self.is_stopping:
            self.serving = None
            self._process_failed(now, process, how)

    def _process_failed(self, now: int, process: GatewayProcess, how: str) -> None:
        """The serving process ended by itself: soon after it took over, that may be the release's doing."""
        in_probation = now - process.took_over_at < self.timeouts.probation
        self._failures = self._failures + 1 if self.previous and in_probation else 0
        if self._failures >= MAX_FAILURES:
            self._go_back(now, process.release, how)
            return
        if now - process.started_at > BACKOFF_RESET_AFTER:
            self._backoff = MIN_BACKOFF
        self._restart_at = now + self._backoff
        self._backoff = min(MAX_BACKOFF, 2 * self._backoff)

    def _go_back(self, now: int, release: str, how: str) -> None:
        self.failed_releases[release] = (
            f"{release} ended by itself {self._failures} times soon after it took over: {how}"
        )
        self.current, self.previous, self._failures = self.previous, "", 0
        self._control.save_release(self.current)
        self._start(now)

    def check_timeouts(self, now: int) -> None:
        """Starts what is due, and kills what takes too long; called regularly."""
        if self._restart_at >= 0 and now >= self._restart_at and not self.is_stopping:
            self._start(now)
        successor = self.successor
        if successor is not None and now - successor.started_at > self.timeouts.ready:
            self._kill_successor(successor)
            seconds = self.timeouts.ready / SECOND
            self._finish_order(f"{successor.release} was not ready within {seconds:.0f} s")
        for process in self._stopping:
            is_stopping = process.stopping_since >= 0
            if is_stopping and now - process.stopping_since > self.timeouts.shutdown:
                process.stopping_since = now
                self._control.kill(process)

    def stop(self, now: int) -> None:
        """The supervisor ends, and its processes with it."""
        self.is_stopping = True
        if self.successor is not None:
            self._kill_successor(self.successor)
            self._finish_order("the keeper ends")
        if self.serving is not None:
            self._terminate(now, self.serving)
            self.serving = None

    @property
    def has_stopped(self) -> bool:
        """Whether the supervisor ends and all its processes have ended."""
        return self.is_stopping and not self._stopping

    def _kill_successor(self, successor: GatewayProcess) -> None:
        self.successor = None
        self._stopping.append(successor)
        self._control.kill(successor)

    def _terminate(self, now: int, process: GatewayProcess) -> None:
        process.stopping_since = now
        self._stopping.append(process)
        self._control.terminate(process)

    def _finish_order(self, failure: str | None) -> None:
        callback, self._order_callback = self._order_callback, None
        if callback is not None:
            callback(failure)
