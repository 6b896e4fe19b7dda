"""File system events, as hints that something changed: inotify on the reactor, from Twisted.

Twisted's INotify closes itself when a watched folder is deleted, keeps the watch of one that was moved away,
and is silent when its queue overflows. So it is made anew whenever the folders are other ones, and scans do
not depend on it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet import inotify
from twisted.python.failure import Failure
from twisted.python.filepath import FilePath

from vanerelay.membership.file_reader import DeviceAndInode

WRITING = inotify.IN_MODIFY
CLOSED = inotify.IN_CLOSE_WRITE | inotify.IN_MOVED_TO
MASK = (
    WRITING
    | CLOSED
    | inotify.IN_CREATE
    | inotify.IN_DELETE
    | inotify.IN_MOVED_FROM
    | inotify.IN_ATTRIB
    | inotify.IN_MOVE_SELF
)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class FileEvent:
    """An event of one path: whether a writer changed the file, or has closed or replaced it."""

    path: str
    writing: bool
    closed: bool


class InotifyWatch:
    """Watches folders and calls `on_event` for each event in them."""

    def __init__(self, reactor: Any, on_event: Callable[[FileEvent], None]) -> None:
        self._reactor, self._on_event = reactor, on_event
        self._folders: dict[str, DeviceAndInode] = {}
        self._inotify: inotify.INotify | None = None
        self._available = True  # what the log was last told

    @property
    def is_active(self) -> bool:
        """Whether events are received."""
        return self._inotify is not None

    def follow(self, folders: Mapping[str, DeviceAndInode]) -> bool:
        """Watches these folders; whether the watch is a new one, so that events may have been missed."""
        if dict(folders) == self._folders and self._inotify is not None and self._inotify.connected:
            return False
        self.stop()
        self._folders = dict(folders)
        try:
            self._inotify = watch = inotify.INotify(self._reactor)  # type: ignore[no-untyped-call]
            for folder in folders:
                watch.watch(  # type: ignore[no-untyped-call]
                    FilePath(folder), mask=MASK, callbacks=[self._received]
                )
            watch.startReading()  # type: ignore[no-untyped-call]
        except (inotify.INotifyError, OSError) as error:
            self.stop()
            if self._available:
                log.warning("no file system events, files are polled", why=str(error))
            self._available = False
            return False
        self._available = True
        return True

    def stop(self) -> None:
        """Watches nothing from now on."""
        watch, self._inotify = self._inotify, None
        if watch is not None and watch.connected:
            watch.stopReading()  # type: ignore[no-untyped-call]
            watch.connectionLost(Failure(Exception("stopped")))  # type: ignore[no-untyped-call]

    def _received(self, _: Any, path: FilePath[bytes], mask: int) -> None:
        name = path.path.decode(errors="surrogateescape")
        self._on_event(FileEvent(name, bool(mask & WRITING), bool(mask & CLOSED)))
