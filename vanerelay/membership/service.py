"""The engine list out of all its sources: the driver between the sources, the merged view and the gateway.

The changes of the view are published one step in a pass of the event loop; everything slow is done in worker
threads.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import structlog

from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import MILLISECOND, SECOND, EngineState
from vanerelay.membership import control_socket
from vanerelay.membership.config import FEED_SOURCE, MembershipConfig, StoreConfig, WatchedFilesConfig
from vanerelay.membership.control_protocol import Operation
from vanerelay.membership.control_requests import ControlRequests
from vanerelay.membership.control_socket import RequestHandler
from vanerelay.membership.errors import StoreError
from vanerelay.membership.file_stability import THREAD_SWITCH_INTERVAL_S
from vanerelay.membership.files import WatchedFiles
from vanerelay.membership.list_acceptance import ListDelta
from vanerelay.membership.list_archive import ListArchive
from vanerelay.membership.merged_view import MergedView
from vanerelay.membership.store import Store, open_store

MIN_STEP_DELAY = MILLISECOND
"""Between two steps of the view that are due by time."""

log = structlog.get_logger()


class MembershipService:
    """Merges the control feed and the watched list files."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        config: MembershipConfig,
        zones: Mapping[str, int],
        machine_kinds: Mapping[str, int],
        on_change: Callable[[EngineListChange], None],
        on_large_change: Callable[[], None],
    ) -> None:
        """`on_change` is called with each change of the merged list.

        `on_large_change` is called once a change that took more than one step is in force.
        """
        self._reactor, self._clock, self._config = reactor, clock, config
        self._zones, self._machine_kinds = zones, machine_kinds
        self._on_change, self._on_large_change = on_change, on_large_change
        self._view = MergedView(clock.now(), config.sources, config.flap_damping)
        self._feed: dict[str, ListedEngine] = {}
        self._published = 0  # changes so far
        self._steps_in_a_row = 0  # of one change
        self._stepping = False
        self._timer: Any = None
        self._control_port: Any = None
        self._files = {files.source.name: self._watch(files) for files in config.files}
        store = self._open_store(config.store)
        self._archive = ListArchive(store, zones, machine_kinds)
        self._control_requests = ControlRequests(
            clock, self._view, self._files, self._archive, list(zones), list(machine_kinds)
        )
        if store is not None:
            self._restore(store)

    def _watch(self, config: WatchedFilesConfig) -> WatchedFiles:
        name = config.source.name
        return WatchedFiles(
            self._reactor,
            self._clock,
            config,
            self._zones,
            self._machine_kinds,
            on_change=partial(self._files_changed, name),
            on_alive=partial(self._source_alive, name),
        )

    # What was in force before a restart.

    def _open_store(self, config: StoreConfig | None) -> Store | None:
        if config is None:
            return None
        try:
            return open_store(config.folder, config.max_lists)
        except StoreError as error:
            log.warning("store not available, lists are not saved", why=str(error))
            return None

    def _restore(self, store: Store) -> None:
        """Puts the last good lists in force before anything is served, until the files are read."""
        try:
            pins = store.pins()
        except StoreError:
            pins = {}
        for name, files in self._files.items():
            self._restore_last(store, name, files)
            if name in pins:
                self._restore_pinned(store, name, files, pins[name])

    def _restore_last(self, store: Store, name: str, files: WatchedFiles) -> None:
        try:
            stored = store.load(name, self._zones, self._machine_kinds)
        except StoreError as error:
            log.warning("stored list not used", why=str(error))
            return
        if stored is None:
            return
        self._report(name, files.acceptance.restore(stored.files, stored.record.revision))
        age_s = max(0, int(time.time()) - stored.record.accepted_at_ms // 1000)
        log.info(
            "stored list in force until the files are read",
            source=name,
            revision=stored.record.revision,
            age_s=age_s,
        )

    def _restore_pinned(self, store: Store, name: str, files: WatchedFiles, revision: int) -> None:
        try:
            stored = store.load(name, self._zones, self._machine_kinds, revision)
        except StoreError:
            stored = None
        if stored is None:
            log.warning("pinned list not used", source=name, revision=revision)
            return
        self._report(name, files.acceptance.pin(revision, stored.files))

    # Start and end.

    def start(self) -> None:
        """Begins to watch files and to answer operators; raises ControlSocketError."""
        if self._config.control_socket:
            self._control_port = control_socket.listen(
                self._reactor, self._config.control_socket, self._control_requests.handle
            )
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        for files in self._files.values():
            files.start()
        self._publish()

    @property
    def busy(self) -> bool:
        """Whether a change is on its way into force."""
        return self._stepping

    def set_control_handler(self, operation: Operation, handler: RequestHandler) -> None:
        """Has another subsystem answer an operation of the control socket."""
        self._control_requests.set_handler(operation, handler)

    def stop(self) -> None:
        """Ends everything."""
        for files in self._files.values():
            files.stop()
        if self._control_port is not None:
            self._control_port.stopListening()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._archive.close()

    # What sources report.

    def feed_changed(self, change: EngineListChange) -> None:
        """A change out of the control feed."""
        feed = {} if change.complete else self._feed.copy()
        removed = set(self._feed) - {engine.name for engine in change.engines} if change.complete else set()
        changed = dict[str, None]()
        for engine in change.engines:
            if engine.state is EngineState.GONE:
                feed.pop(engine.name, None)
                removed.add(engine.name)
                continue
            feed[engine.name] = engine
            removed.discard(engine.name)
            if self._feed.get(engine.name) != engine:
                changed[engine.name] = None
        self._feed = feed
        still_listed = [name for name in changed if name in feed]
        self._view.report(FEED_SOURCE, self._clock.now(), change.number, feed, still_listed, removed)
        self._publish()

    def feed_alive(self) -> None:
        """The control feed has answered, with a change or without."""
        self._source_alive(FEED_SOURCE)

    def _source_alive(self, name: str) -> None:
        self._view.source_alive(name, self._clock.now())
        self._publish()

    def _files_changed(self, name: str, delta: ListDelta, reason: str) -> None:
        self._report(name, delta)
        acceptance = self._files[name].acceptance
        if acceptance.pinned_revision is None:
            self._archive.save(name, acceptance.revision, reason, dict(acceptance.files))
        self._publish()

    def _report(self, name: str, delta: ListDelta) -> None:
        acceptance = self._files[name].acceptance
        pinned = acceptance.pinned_revision
        revision = acceptance.revision if pinned is None else pinned
        self._view.report(
            name, self._clock.now(), revision, acceptance.in_force, delta.changed, delta.removed
        )

    # What is published.

    def _publish(self) -> None:
        if not self._stepping:
            self._step()

    def _step(self) -> None:
        """Publishes one step of the view; the next comes after the loop has looked at its sockets."""
        now = self._clock.now()
        self._view.advance(now)
        entries, ready = self._view.step(now), self._view.is_ready(now)
        self._stepping = ready and self._view.has_pending()
        self._schedule_step(now)  # before anything that may fail
        if entries or ready and not self._published:
            self._published += 1
            engines = [entry.engine for entry in entries]
            self._on_change(EngineListChange(self._published, False, engines))
        self._steps_in_a_row += 1 if entries else 0
        if not self._stepping:
            if self._steps_in_a_row > 1:
                self._on_large_change()
            self._steps_in_a_row = 0

    def _schedule_step(self, now: int) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        deadline = self._view.next_deadline()
        if self._stepping:
            self._timer = self._reactor.callLater(0, self._step)
        elif deadline is not None:
            delay = max(MIN_STEP_DELAY, deadline - now)
            self._timer = self._reactor.callLater(delay / SECOND, self._step)
