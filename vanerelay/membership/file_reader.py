"""Reads watched files and scans for them.

Called in a worker thread: a disk that hangs must not stop the event loop.
"""

from __future__ import annotations

import glob
import os
import stat
from dataclasses import dataclass, field

from vanerelay.membership.errors import FileReadError
from vanerelay.membership.file_stability import FileSignature

MAX_LINK_DEPTH = 20
"""Symbolic links that are followed for folders to watch, in case they lead in a circle."""

DeviceAndInode = tuple[int, int]


@dataclass(slots=True)
class FileScan:
    """What one scan found.

    Attributes:
        signatures: The files that exist, by path.
        real_paths: The paths that these stand for, without symbolic links.
        folders: Folders in which a change would show.
        problem: Why not all files are in the scan, if so.
    """

    signatures: dict[str, FileSignature] = field(default_factory=dict)
    real_paths: dict[str, str] = field(default_factory=dict)
    folders: dict[str, DeviceAndInode] = field(default_factory=dict)
    problem: str | None = None


@dataclass(frozen=True, slots=True)
class FileContent:
    """A file's bytes, and its signature before and after they were read; None where it has gone."""

    before: FileSignature
    data: bytes
    after: FileSignature | None


def scan(paths: tuple[str, ...], max_files: int) -> FileScan:
    """Looks for all files of a source. A path may be a pattern (`*`, `?`, `[...]`) in its last part."""
    result = FileScan()
    for path in paths:
        matches = sorted(glob.glob(path)) if is_pattern(path) else [path]
        if len(matches) > max_files:
            result.problem = f"{path}: {len(matches)} files, expected {max_files} at most"
            matches = matches[:max_files]
        for match in matches:
            signature = signature_of(match)
            if signature is not None:
                result.signatures[match], result.real_paths[match] = signature, os.path.realpath(match)
        for match in [path, *matches]:
            for folder in _folders_to_watch(match):
                status = os.stat(folder)
                result.folders[folder] = status.st_dev, status.st_ino
    return result


def is_pattern(path: str) -> bool:
    """Whether the last part of a path is a pattern."""
    return glob.has_magic(os.path.basename(path))


def signature_of(path: str) -> FileSignature | None:
    """The signature of a regular file; None where there is none that can be looked at."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return _signature(status) if stat.S_ISREG(status.st_mode) else None


def read(path: str, max_bytes: int) -> FileContent:
    """Reads a file; raises FileReadError."""
    try:
        # Without blocking: the name may have become that of a pipe since the scan.
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC), "rb") as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                raise FileReadError("not a file")
            if status.st_size > max_bytes:
                raise FileReadError(f"{status.st_size} bytes, expected {max_bytes} at most")
            data = file.read(max_bytes + 1)
            after = _signature(os.fstat(file.fileno()))
    except OSError as error:
        raise FileReadError(error.strerror or str(error)) from error
    present = signature_of(path)
    same_file = present == after and len(data) == after.size
    return FileContent(_signature(status), data, after if same_file else present)


def _signature(status: os.stat_result) -> FileSignature:
    return FileSignature(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def _folders_to_watch(path: str, depth: int = 0) -> dict[str, None]:
    """The folders in which a change of a path shows, in order.

    These are the folder of the file and that of each symbolic link on the way; in place of one that does not
    exist, the nearest above it.
    """
    found, head = dict[str, None](), "/"
    for part in os.path.abspath(path).split("/")[1:]:
        full = os.path.join(head, part)
        if os.path.islink(full):
            found[head] = None
            if depth < MAX_LINK_DEPTH:
                found.update(_folders_to_watch(os.path.join(head, os.readlink(full)), depth + 1))
            full = os.path.realpath(full)
        head = full
    head = os.path.dirname(head)
    while not os.path.isdir(head):
        head = os.path.dirname(head)
    found[head] = None
    return found
