"""What the file system says of watched paths. Called in a worker thread: a disk that hangs must not stop the
loop."""

from __future__ import annotations

import glob
import os
import stat
from dataclasses import dataclass

from vanerelay.membership.file_stability import Mark


@dataclass(frozen=True, slots=True)
class Looked:
    """One look: the files there by path, with the paths they stand for and whether a pattern found them;
    folders in which a change would show, by device and inode."""

    marks: dict[str, Mark]
    real: dict[str, str]
    folders: dict[str, tuple[int, int]]
    trouble: str | None


def look(paths: tuple[str, ...], most: int) -> Looked:
    """Looks for all files of a source. A path may be a pattern (`*`, `?`, `[...]`) in its last part."""
    marks, real, folders, trouble = dict[str, Mark](), dict[str, str](), dict[str, tuple[int, int]](), None
    for path in paths:
        found = sorted(glob.glob(path)) if is_pattern(path) else [path]
        if len(found) > most:
            trouble, found = f"{path}: {len(found)} files, expected {most} at most", found[:most]
        for one in found:
            mark = look_at(one)
            if mark is not None:
                marks[one], real[one] = mark, os.path.realpath(one)
        for one in [path, *found]:
            for folder in _folders(one):
                told = os.stat(folder)
                folders[folder] = told.st_dev, told.st_ino
    return Looked(marks, real, folders, trouble)


def is_pattern(path: str) -> bool:
    return glob.has_magic(os.path.basename(path))


def look_at(path: str) -> Mark | None:
    """The mark of a file; None where there is none that could be read."""
    try:
        told = os.stat(path)
    except OSError:
        return None
    return _mark(told) if stat.S_ISREG(told.st_mode) else None


def read(path: str, most: int) -> tuple[Mark, bytes, Mark | None] | str:
    """A file's bytes between two marks; or why it could not be read."""
    try:
        # Without waiting: a name may have become a pipe since it was looked at.
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
            told = os.fstat(file.fileno())
            if not stat.S_ISREG(told.st_mode):
                return "not a file"
            if told.st_size > most:
                return f"{told.st_size} bytes, expected {most} at most"
            data = file.read(most + 1)
            after = _mark(os.fstat(file.fileno()))
    except OSError as fault:
        return fault.strerror or str(fault)
    before, there = _mark(told), look_at(path)
    return before, data, after if there == after and len(data) == after.size else there


def _mark(told: os.stat_result) -> Mark:
    return Mark(told.st_dev, told.st_ino, told.st_size, told.st_mtime_ns, told.st_ctime_ns)


def _folders(path: str, depth: int = 0) -> dict[str, None]:
    """The folders in which a change of a path shows: that of the file, and that of each symbolic link on the
    way; in place of one that is not there, the nearest above it."""
    found, head = dict[str, None](), "/"
    for part in os.path.abspath(path).split("/")[1:]:
        full = os.path.join(head, part)
        if os.path.islink(full):
            found[head] = None
            if depth < 20:
                found.update(_folders(os.path.join(head, os.readlink(full)), depth + 1))
            full = os.path.realpath(full)
        head = full
    head = os.path.dirname(head)
    while not os.path.isdir(head):
        head = os.path.dirname(head)
    found[head] = None
    return found
