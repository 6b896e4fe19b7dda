"""Watched list files of one source: looks, reads and checks off the loop, and hands on what came of it."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredLock, inlineCallbacks
from twisted.internet.threads import deferToThread

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.membership import file_reader, list_codec
from vanerelay.membership.file_stability import GATHERED, RENEWED, Mark, Settling, Stillness
from vanerelay.membership.inotify_watch import Watch
from vanerelay.membership.list_acceptance import Checks, Delta, Kind, Lists, Verdict
from vanerelay.membership.list_codec import EngineList, Unusable
from vanerelay.net.rate_limited_log import RateLimitedLog

log = structlog.get_logger()


class WatchedFiles:
    """One source. `told(delta, why)` comes on the loop for each list that is in force from then on; `alive()`
    for each look that found its files."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        paths: tuple[str, ...],
        checks: Checks,
        stillness: Stillness,
        locations: Mapping[str, int],
        kinds: Mapping[str, int],
        told: Callable[[Delta, str], None],
        alive: Callable[[], None],
    ) -> None:
        self.name, self._paths, self._checks, self._terms = name, paths, checks, stillness
        self._reactor, self._clock, self._locations, self._kinds = reactor, clock, locations, kinds
        self._told, self._alive = told, alive
        single = len(paths) == 1 and not file_reader.is_pattern(paths[0])
        self.lists, self.lock = Lists(checks, single), DeferredLock()
        self._settling = {path: Settling(stillness) for path in paths if not file_reader.is_pattern(path)}
        # where events tell of a path, against the paths it is listed under
        self._real: dict[str, list[str]] = {}
        self._watch = Watch(reactor, self._hint)
        self._timer: Any = None
        self._going = self._again = self._stopped = False
        self._watched_at = 0
        self._said: dict[str, str] = {}  # the trouble that the log was told of, by path
        self._warnings: dict[str, RateLimitedLog] = {}
        self.counts = {kind: 0 for kind in Kind}

    def start(self) -> None:
        self._wake(0)

    def stop(self) -> None:
        self._stopped = True
        self._watch.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _hint(self, path: str, writing: bool, closed: bool) -> None:
        for one in self._real.get(path, ()):
            if writing:
                self._settling[one].writing(self._clock.now())
            elif closed:
                self._settling[one].closed()
        self._wake(GATHERED)

    def _wake(self, delay: int) -> None:
        """Looks after that delay, or sooner if that was planned."""
        if self._stopped:
            return
        if self._going:
            self._again = True
            return
        seconds = delay / SECOND
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + seconds:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(seconds, self._look)

    def _look(self) -> None:
        self._going, self._again = True, False
        going = self.lock.run(self._round)
        going.addErrback(lambda fault: log.error("a look at list files failed", fault=fault.getTraceback()))
        going.addBoth(lambda _: self._looked())

    def _looked(self) -> None:
        self._going = False
        now = self._clock.now()
        moments = [due for one in self._settling.values() if (due := one.due()) is not None]
        moments += [due] if (due := self.lists.due()) is not None else []
        soon = min([now + self._terms.poll, *(max(now + GATHERED, moment) for moment in moments)])
        self._wake(GATHERED if self._again else soon - now)

    @inlineCallbacks
    def _round(self) -> Generator[Deferred[Any], Any, None]:
        looked: file_reader.Looked = yield deferToThread(
            file_reader.look, self._paths, self._checks.most_files
        )
        if self._stopped:
            return
        now = self._clock.now()
        if self._watch.works or now - self._watched_at >= RENEWED or not self._watched_at:
            if self._watch.follow(looked.folders):
                self._again = True  # what came between the look and the watch is looked for once more
            self._watched_at = now
        self._report("", looked.trouble)
        self._real = {}
        for path, real in looked.real.items():
            self._real.setdefault(real, []).append(path)
        for path in looked.marks.keys() - self._settling.keys():
            self._settling[path] = Settling(self._terms)
        for path, settling in list(self._settling.items()):
            settling.seen(now, looked.marks.get(path))
            due = settling.due()
            if not settling.there:
                by_pattern = path not in self._paths
                self._act(path, (yield deferToThread(self.lists.missing, now, path, by_pattern)))
                if by_pattern and path not in self.lists.files:
                    del self._settling[path]
                    self._warnings.pop(path, None)
            elif due is not None and due <= now:
                yield from self._read(path, settling)
        self._act("", (yield deferToThread(self.lists.look, now)))
        if looked.marks:
            self._alive()

    def _read(self, path: str, settling: Settling) -> Generator[Deferred[Any], Any, None]:
        found: tuple[Mark, bytes, Mark | None] | str
        found = yield deferToThread(file_reader.read, path, self._checks.most_bytes)
        now = self._clock.now()
        if isinstance(found, str):
            settling.again()
            self._act(path, (yield deferToThread(self.lists.offer, now, path, Unusable(found))))
            return
        before, data, after = found
        if not settling.read(now, before, after):
            return  # it changed meanwhile: once it is still again
        self._act(path, (yield deferToThread(self._take, now, path, data)))

    def _take(self, now: int, path: str, data: bytes) -> Verdict:
        return self.lists.offer(now, path, list_codec.read(data, self._locations, self._kinds))

    def _act(self, path: str, verdict: Verdict) -> None:
        if verdict.kind is not Kind.UNCHANGED:
            repeated = verdict.kind is not Kind.ACCEPTED and self._said.get(path) == verdict.why
            self.counts[verdict.kind] += 0 if repeated else 1
        if verdict.kind is Kind.ACCEPTED:
            self._told(verdict.delta, verdict.why or "list file")
            log.info(
                "list taken",
                source=self.name,
                revision=verdict.revision,
                why=verdict.why,
                changed=len(verdict.delta.changed),
                withdrawn=len(verdict.delta.withdrawn),
            )
        for one in {path, *self._said, *self.lists.trouble}:
            if one:
                self._report(one, self.lists.trouble.get(one))

    def _report(self, path: str, why: str | None) -> None:
        """Once per state."""
        if self._said.get(path) == why:
            return
        if why is None:
            del self._said[path]
            log.info("list file is in order again", source=self.name, path=path)
        else:
            self._said[path] = why
            if path not in self._warnings:
                self._warnings[path] = RateLimitedLog(self._reactor, "list file not taken")
            self._warnings[path].warn(source=self.name, path=path, why=why)

    # The operator's word, from the console.

    def confirm(self) -> Deferred[Verdict]:
        def done(verdict: Verdict) -> Verdict:
            self._act("", verdict)
            return verdict

        return self.lock.run(lambda: deferToThread(self.lists.confirm, self._clock.now()).addCallback(done))

    def pin(self, revision: int, files: Mapping[str, EngineList]) -> Deferred[None]:
        return self.lock.run(
            lambda: deferToThread(self.lists.pin, revision, files).addCallback(
                lambda delta: self._told(delta, "pinned by the operator")
            )
        )

    def unpin(self) -> Deferred[None]:
        return self.lock.run(
            lambda: deferToThread(self.lists.unpin).addCallback(
                lambda delta: self._told(delta, "no longer pinned")
            )
        )
