"""Processes of a run: their output goes to a file."""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

PACKAGE_TREE = Path(__file__).resolve().parent.parent.parent
"""The folder with the package."""
RELEASE_EVENTS = (b'"settings switched"', b'"release taken over"', b'"gateway process ended"')
"""In the log of a gateway or of its supervisor: the lines that name a release."""


class ChildProcess(ProcessProtocol):
    """A process whose output goes to a file."""

    transport: Any

    def __init__(
        self,
        log: Path,
        ended: Callable[[Failure], None],
        release_logged: Callable[[dict[str, Any]], None] = lambda _: None,
    ) -> None:
        """`release_logged` is called with the lines that name a release."""
        self._log = log.open("ab")
        self._ended, self._release_logged, self._partial_line = ended, release_logged, b""

    @property
    def pid(self) -> int | None:
        """None once it has ended."""
        return int(self.transport.pid) if self.transport.pid is not None else None

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        """The process has written to its output."""
        self._log.write(data)
        self._log.flush()
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if any(event in line for event in RELEASE_EVENTS):
                with contextlib.suppress(ValueError):
                    self._release_logged(json.loads(line))

    def processEnded(self, reason: Failure) -> None:
        """The process has ended and closed its output."""
        self._log.close()
        self._ended(reason)


def send_signal(pid: int, number: int) -> None:
    """Signals a process, if it is still there."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def process_tree(pid: int) -> list[int]:
    """A process and its descendants: what is lost with a machine."""
    pids = [pid]
    with contextlib.suppress(OSError):
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="ascii")
        for child in children.split():
            pids += process_tree(int(child))
    return pids


__all__ = ["PACKAGE_TREE", "ChildProcess", "process_tree", "send_signal"]
