"""Watched list files of one source: scanned, read and checked off the event loop."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredLock, inlineCallbacks
from twisted.internet.threads import deferToThread

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.membership import file_reader, list_codec
from vanerelay.membership.config import WatchedFilesConfig
from vanerelay.membership.errors import FileReadError, ListFileError
from vanerelay.membership.file_reader import FileContent, FileScan
from vanerelay.membership.file_stability import EVENT_BATCH_DELAY, WATCH_RETRY_INTERVAL, StabilityTracker
from vanerelay.membership.inotify_watch import FileEvent, InotifyWatch
from vanerelay.membership.list_acceptance import Acceptance, AcceptanceResult, ListAcceptance, ListDelta
from vanerelay.membership.list_codec import EngineList
from vanerelay.net.rate_limited_log import RateLimitedLog

SOURCE_AS_A_WHOLE = ""
"""Stands for a path where a result or a problem is not that of one file."""

log = structlog.get_logger()


class WatchedFiles:
    """One source of list files.

    Attributes:
        acceptance: Which files are accepted. Worker threads use it, one at a time.
        counts: How often each result has come about.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        config: WatchedFilesConfig,
        zones: Mapping[str, int],
        machine_kinds: Mapping[str, int],
        on_change: Callable[[ListDelta, str], None],
        on_alive: Callable[[], None],
    ) -> None:
        """`on_change` is called with what changes in force, and why; `on_alive` where a scan finds files."""
        self.name, self._paths, self._config = config.source.name, config.paths, config
        self._reactor, self._clock = reactor, clock
        self._zones, self._machine_kinds = zones, machine_kinds
        self._on_change, self._on_alive = on_change, on_alive
        single_file = len(config.paths) == 1 and not file_reader.is_pattern(config.paths[0])
        self.acceptance = ListAcceptance(config.acceptance, single_file)
        self._lock = DeferredLock()
        self._trackers = {
            path: StabilityTracker(config.stability)
            for path in config.paths
            if not file_reader.is_pattern(path)
        }
        self._paths_by_real_path: dict[str, list[str]] = {}
        self._watch = InotifyWatch(reactor, self._file_event)
        self._watched_at = 0
        self._timer: Any = None
        self._scanning = self._scan_again = self._stopped = False
        self._reported: dict[str, str] = {}  # the problems that were logged, by path
        self._warnings: dict[str, RateLimitedLog] = {}
        self.counts = dict.fromkeys(Acceptance, 0)

    def start(self) -> None:
        """Begins to watch."""
        self._schedule_scan(0)

    def stop(self) -> None:
        """Ends all watches; a scan in progress has no further effect."""
        self._stopped = True
        self._watch.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    # Requests of the operators.

    def confirm(self) -> Deferred[AcceptanceResult]:
        """Accepts the list that waits for confirmation."""

        def apply(result: AcceptanceResult) -> AcceptanceResult:
            self._apply(SOURCE_AS_A_WHOLE, result)
            return result

        return self._lock.run(lambda: deferToThread(self.acceptance.confirm).addCallback(apply))

    def pin(self, revision: int, files: Mapping[str, EngineList]) -> Deferred[None]:
        """Holds an earlier list in force."""
        return self._lock.run(
            lambda: deferToThread(self.acceptance.pin, revision, files).addCallback(
                self._on_change, "pinned by the operator"
            )
        )

    def unpin(self) -> Deferred[None]:
        """Puts the accepted list in force again."""
        return self._lock.run(
            lambda: deferToThread(self.acceptance.unpin).addCallback(self._on_change, "no longer pinned")
        )

    # When files are scanned.

    def _file_event(self, event: FileEvent) -> None:
        for path in self._paths_by_real_path.get(event.path, ()):
            if event.writing:
                self._trackers[path].writer_active(self._clock.now())
            elif event.closed:
                self._trackers[path].writer_closed()
        self._schedule_scan(EVENT_BATCH_DELAY)

    def _schedule_scan(self, delay: int) -> None:
        """Scans after that delay, or sooner if that is planned."""
        if self._stopped:
            return
        if self._scanning:
            self._scan_again = True
            return
        seconds = delay / SECOND
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + seconds:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(seconds, self._begin_scan)

    def _begin_scan(self) -> None:
        self._scanning, self._scan_again = True, False
        scanning = self._lock.run(self._scan)
        scanning.addErrback(lambda failure: log.error("list file scan failed", error=failure.getTraceback()))
        scanning.addBoth(lambda _: self._end_scan())

    def _end_scan(self) -> None:
        self._scanning = False
        now = self._clock.now()
        deadlines = [tracker.stable_at() for tracker in self._trackers.values()]
        deadlines.append(self.acceptance.next_deadline())
        soonest = now + EVENT_BATCH_DELAY
        next_scan_at = min(
            [
                now + self._config.stability.poll_interval,
                *(max(soonest, deadline) for deadline in deadlines if deadline is not None),
            ]
        )
        self._schedule_scan(EVENT_BATCH_DELAY if self._scan_again else next_scan_at - now)

    # One scan.

    @inlineCallbacks
    def _scan(self) -> Generator[Deferred[Any], Any, None]:
        scan: FileScan = yield deferToThread(file_reader.scan, self._paths, self._config.acceptance.max_files)
        if self._stopped:
            return
        now = self._clock.now()
        self._follow_folders(now, scan)
        self._report_problem(SOURCE_AS_A_WHOLE, scan.problem)
        self._track_paths(scan)
        for path, tracker in list(self._trackers.items()):
            tracker.observed(now, scan.signatures.get(path))
            stable_at = tracker.stable_at()
            if not tracker.exists:
                yield from self._handle_missing(now, path)
            elif stable_at is not None and stable_at <= now:
                yield from self._read(path, tracker)
        self._apply(SOURCE_AS_A_WHOLE, (yield deferToThread(self.acceptance.advance, now)))
        if scan.signatures:
            self._on_alive()

    def _follow_folders(self, now: int, scan: FileScan) -> None:
        retry_at = self._watched_at + WATCH_RETRY_INTERVAL
        if not self._watch.is_active and self._watched_at and now < retry_at:
            return
        if self._watch.follow(scan.folders):
            self._scan_again = True  # for what changed between the scan and the new watch
        self._watched_at = now

    def _track_paths(self, scan: FileScan) -> None:
        self._paths_by_real_path = {}
        for path, real_path in scan.real_paths.items():
            self._paths_by_real_path.setdefault(real_path, []).append(path)
        for path in scan.signatures.keys() - self._trackers.keys():
            self._trackers[path] = StabilityTracker(self._config.stability)

    def _handle_missing(self, now: int, path: str) -> Generator[Deferred[Any], Any, None]:
        by_pattern = path not in self._paths
        result = yield deferToThread(self.acceptance.file_missing, now, path, by_pattern)
        self._apply(path, result)
        if by_pattern and path not in self.acceptance.files:
            del self._trackers[path]
            self._warnings.pop(path, None)

    def _read(self, path: str, tracker: StabilityTracker) -> Generator[Deferred[Any], Any, None]:
        max_bytes = self._config.acceptance.max_file_bytes
        try:
            content: FileContent = yield deferToThread(file_reader.read, path, max_bytes)
        except FileReadError as error:
            tracker.read_failed()
            self._apply(path, (yield deferToThread(self.acceptance.reject, path, str(error))))
            return
        now = self._clock.now()
        if tracker.read_completed(now, content.before, content.after):
            self._apply(path, (yield deferToThread(self._offer, now, path, content.data)))

    def _offer(self, now: int, path: str, data: bytes) -> AcceptanceResult:
        try:
            offered = list_codec.read(data, self._zones, self._machine_kinds)
        except ListFileError as error:
            return self.acceptance.reject(path, str(error))
        return self.acceptance.offer(now, path, offered)

    # What comes of it.

    def _apply(self, path: str, result: AcceptanceResult) -> None:
        accepted = result.acceptance is Acceptance.ACCEPTED
        repeated = not accepted and self._reported.get(path) == result.reason
        if result.acceptance is not Acceptance.UNCHANGED and not repeated:
            self.counts[result.acceptance] += 1
        if accepted:
            self._on_change(result.delta, result.reason or "list file")
            log.info(
                "list accepted",
                source=self.name,
                revision=result.revision,
                why=result.reason,
                changed=len(result.delta.changed),
                withdrawn=len(result.delta.removed),
            )
        for reported_path in {path, *self._reported, *self.acceptance.problems}:
            if reported_path:
                self._report_problem(reported_path, self.acceptance.problems.get(reported_path))

    def _report_problem(self, path: str, problem: str | None) -> None:
        """Logs a problem once, and its end."""
        if self._reported.get(path) == problem:
            return
        if problem is None:
            del self._reported[path]
            log.info("list file is usable again", source=self.name, path=path)
        else:
            self._reported[path] = problem
            if path not in self._warnings:
                self._warnings[path] = RateLimitedLog(self._reactor, "list file rejected")
            self._warnings[path].warn(source=self.name, path=path, why=problem)
