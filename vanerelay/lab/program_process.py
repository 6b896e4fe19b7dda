"""Programs of a run beside the gateways, such as controllers, as processes."""

from __future__ import annotations

import os
import shutil
import sys
from collections.abc import Sequence
from pathlib import Path

from twisted.python.failure import Failure

from vanerelay.lab.child_process import PACKAGE_TREE, ChildProcess, send_signal
from vanerelay.lab.event_log import EventKind
from vanerelay.lab.run_context import RunContext


class ProgramProcess:
    """One program under its name, over all its starts.

    Attributes:
        exit_code: that it ended with last.
    """

    def __init__(self, context: RunContext, name: str, folder: Path, log: Path) -> None:
        self._context, self.name, self.folder, self._log = context, name, folder, log
        self._child: ChildProcess | None = None
        self.exit_code: int | None = None
        shutil.rmtree(folder, ignore_errors=True)  # of a run before
        folder.mkdir(parents=True)

    @property
    def pid(self) -> int | None:
        """None where it does not run."""
        return self._child.pid if self._child is not None else None

    def start(self, arguments: Sequence[str]) -> None:
        """Starts `vanerelay` with arguments, unless it runs."""
        if self._child is not None:
            return
        self.exit_code = None
        self._child = ChildProcess(self._log, self._ended)
        self._context.log(EventKind.STARTED, gateway=self.name, detail=" ".join(arguments))
        self._context.network.reactor.spawnProcess(
            self._child,
            sys.executable,
            [sys.executable, "-m", "vanerelay", *arguments],
            {**os.environ, "PYTHONPATH": str(PACKAGE_TREE)},
            str(self.folder),
        )

    def signal(self, number: int) -> None:
        """Signals the process, if it runs."""
        if self.pid is not None:
            send_signal(self.pid, number)

    def _ended(self, reason: Failure) -> None:
        self._child = None
        self.exit_code = int(getattr(reason.value, "exitCode", None) or 0)


__all__ = ["ProgramProcess"]
