"""Events of the file system, as hints that something changed. Thin: inotify on the reactor, from Twisted.

Twisted's closes itself when a watched folder is deleted, keeps the watch of one that was moved away, and is
silent when its queue overflows: so it is made anew whenever the folders are other ones, and looks do not
depend on it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import structlog
from twisted.internet import inotify
from twisted.python.failure import Failure
from twisted.python.filepath import FilePath

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


class Watch:
    """Watches folders, and tells of paths: `hint(path, writing, closed)`."""

    def __init__(self, reactor: Any, hint: Callable[[str, bool, bool], None]) -> None:
        self._reactor, self._hint = reactor, hint
        self._folders: dict[str, tuple[int, int]] = {}
        self._watching: inotify.INotify | None = None
        self._sound = True

    @property
    def works(self) -> bool:
        return self._watching is not None

    def follow(self, folders: Mapping[str, tuple[int, int]]) -> bool:
        """Folders by device and inode; whether they are other ones, so that something may have been
        missed."""
        if dict(folders) == self._folders and self._watching is not None and self._watching.connected:
            return False
        self.stop()
        self._folders = dict(folders)
        try:
            self._watching = watching = inotify.INotify(self._reactor)  # type: ignore[no-untyped-call]
            for folder in folders:
                watching.watch(  # type: ignore[no-untyped-call]
                    FilePath(folder), mask=MASK, callbacks=[self._event]
                )
            watching.startReading()  # type: ignore[no-untyped-call]
        except (inotify.INotifyError, OSError) as fault:
            self.stop()
            if self._sound:
                log.warning("no events of the file system, files are polled", why=str(fault))
            self._sound = False
            return False
        self._sound = True
        return True

    def stop(self) -> None:
        watching, self._watching = self._watching, None
        if watching is not None and watching.connected:
            watching.stopReading()  # type: ignore[no-untyped-call]
            watching.connectionLost(Failure(Exception("stopped")))  # type: ignore[no-untyped-call]

    def _event(self, _: Any, path: FilePath[bytes], mask: int) -> None:
        self._hint(path.path.decode(errors="surrogateescape"), bool(mask & WRITING), bool(mask & CLOSED))
