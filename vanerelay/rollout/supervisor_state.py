"""Decides which release a supervisor runs, when a successor takes over, and when to roll back. Pure.

The caller passes in the time and the events of the processes; actions are taken through `ProcessControl`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

MIN_BACKOFF, MAX_BACKOFF = SECOND // 5, 5 * SECOND
"""Delay before a process that exited unexpectedly is restarted; doubled each time."""
BACKOFF_RESET_AFTER = 30 * SECOND
"""A process that ran for longer than this is restarted after the minimum backoff."""
MAX_FAILURES = 2
"""Unexpected exits within the probation that roll a release back. A single one may be chance."""
NOT_SET = -1
"""The value of a time that is not set."""

OrderCallback = Callable[[str | None], None]
"""Is called with the reason why an order failed, or with None once the successor has taken over."""


@dataclass(frozen=True, slots=True)
class Timeouts:
    """The timeouts of a supervisor; the `patience` block of its configuration file.

    Attributes:
        ready: The time within which a successor must accept queries.
        probation: The time after a takeover within which two unexpected exits roll the release back.
        shutdown: The time within which a process must exit after SIGTERM, before it is killed.
    """

    ready: Duration = 30 * SECOND
    probation: Duration = 60 * SECOND
    shutdown: Duration = config_field("end", default=60 * SECOND)


@dataclass(slots=True, eq=False)
class GatewayProcess:
    """One process of the gateway.

    Attributes:
        release: The name of the release that it runs.
        started_at: The time when it was started.
        is_ready: True if it accepts queries.
        stopping_since: The time when it was told to shut down, or `NOT_SET`.
        took_over_at: The time when it became the serving process, or `NOT_SET`.
    """

    release: str
    started_at: int
    is_ready: bool = False
    stopping_since: int = NOT_SET
    took_over_at: int = NOT_SET


class ProcessControl(Protocol):
    """The actions of a supervisor."""

    def start(self, process: GatewayProcess) -> None:
        """Starts a process."""
        ...

    def terminate(self, process: GatewayProcess) -> None:
        """Tells a process to shut down gracefully."""
        ...

    def kill(self, process: GatewayProcess) -> None:
        """Kills a process."""
        ...

    def save_release(self, release: str) -> None:
        """Stores the release to run after a restart of the supervisor."""
        ...


class SupervisorState:
    """The state of one supervisor.

    Attributes:
        timeouts: The limits for readiness, probation and shutdown.
        current, previous: The release to run, and the one that it replaced; `previous` is empty if there is
            none to roll back to.
        serving: The process that serves queries; None before the start, after a failure and on shutdown.
        successor: The process that takes over once it is ready.
        failed_releases: The releases that were rolled back, with the reason.
        is_stopping: True if the supervisor is shutting down.
    """

    def __init__(
        self, control: ProcessControl, timeouts: Timeouts, releases: frozenset[str], first: str
    ) -> None:
        """Creates the state before the first process is started, which runs the release `first`."""
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
        """Starts a release as the successor of the serving process, which serves until that is ready.

        The release may be the current one, which is then restarted. `callback` is called once.
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
        """Allows failed releases to be ordered again; called when another change has begun."""
        self.failed_releases.clear()

    # Events of processes.

    def process_ready(self, now: int, process: GatewayProcess) -> None:
        """Notes that a process accepts queries. If it is the successor, it takes over."""
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

    def process_ended(self, now: int, process: GatewayProcess, exit_reason: str) -> None:
        """Handles the exit of a process; `exit_reason` names its exit code or signal."""
        if process in self._stopping:
            self._stopping.remove(process)
        elif process is self.successor:
            self.successor = None
            self._finish_order(f"{process.release} ended before it was ready: {exit_reason}")
        elif process is self.serving and not self.is_stopping:
            self.serving = None
            self._process_failed(now, process, exit_reason)

    def _process_failed(self, now: int, process: GatewayProcess, exit_reason: str) -> None:
        """Schedules a restart of the serving process after an unexpected exit, or rolls its release back.

        Exits soon after a takeover may be caused by the release.
        """
        in_probation = now - process.took_over_at < self.timeouts.probation
        self._failures = self._failures + 1 if self.previous and in_probation else 0
        if self._failures >= MAX_FAILURES:
            self._roll_back(now, process.release, exit_reason)
            return
        if now - process.started_at > BACKOFF_RESET_AFTER:
            self._backoff = MIN_BACKOFF
        self._restart_at = now + self._backoff
        self._backoff = min(MAX_BACKOFF, 2 * self._backoff)

    def _roll_back(self, now: int, release: str, exit_reason: str) -> None:
        self.failed_releases[release] = (
            f"{release} ended by itself {self._failures} times soon after it took over: {exit_reason}"
        )
        self.current, self.previous, self._failures = self.previous, "", 0
        self._control.save_release(self.current)
        self._start(now)

    def check_timeouts(self, now: int) -> None:
        """Restarts a failed process when its backoff has passed, and kills processes that exceed a timeout.

        Called at regular intervals.
        """
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
        """Begins to shut down the supervisor with all its processes."""
        self.is_stopping = True
        if self.successor is not None:
            self._kill_successor(self.successor)
            self._finish_order("the keeper ends")
        if self.serving is not None:
            self._terminate(now, self.serving)
            self.serving = None

    @property
    def has_stopped(self) -> bool:
        """True if the supervisor is shutting down and all its processes have ended."""
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
