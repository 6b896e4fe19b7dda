"""The managers of a play as processes: started, struck and started again, each with a folder of its own."""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.error import ProcessDone
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from vanerelay.lab.engine_server import World
from vanerelay.lab.fault_network import Joint
from vanerelay.lab.record import What
from vanerelay.net.frames import FrameKind, frame

HERE = Path(__file__).resolve().parent.parent.parent
# In the log of a manager, or of its keeper.
SAID = (b'"settings switched"', b'"release taken over"', b'"gateway process ended"')
ASK_S = 0.25  # between questions of the front whether a manager that it does not use is ready


class Child(ProcessProtocol):
    """A process whose output goes to a file."""

    transport: Any

    def __init__(
        self,
        log: Path,
        ended: Callable[[Failure], None],
        said: Callable[[dict[str, Any]], None] = lambda line: None,
    ) -> None:
        """`said` is told the lines that name a release."""
        self._log = log.open("ab")
        self._ended, self._said, self._line = ended, said, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        self._log.write(data)
        self._log.flush()
        *whole, self._line = (self._line + data).split(b"\n")
        for line in whole:
            if any(word in line for word in SAID):
                with contextlib.suppress(ValueError):
                    self._said(json.loads(line))

    def processEnded(self, reason: Failure) -> None:
        self._log.close()
        self._ended(reason)


class Asking:
    """The front's question to one manager whether it is ready, on a connection of its own."""

    def __init__(self, joint: Joint, ready: Callable[[], None]) -> None:
        self._joint, self._ready, self._held = joint, ready, b""

    def ask(self) -> None:
        self._joint.send(self, frame(FrameKind.READINESS_CHECK, 0, b"\0"))

    def deliver(self, data: bytes) -> None:
        self._held += data
        if len(self._held) >= 11:
            if self._held[4] == FrameKind.READINESS and self._held[9] == 0:
                self._ready()
            self._joint.close(self)

    def over(self, reset: bool) -> None:
        pass

    def flow(self, wanted: bool) -> None:
        pass


def _family(pid: int) -> list[int]:
    """A process and the children that it has: what is lost with a machine."""
    found = [pid]
    with contextlib.suppress(OSError):
        told = Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="ascii")
        for child in told.split():
            found += _family(int(child))
    return found


class Other:
    """Another process of a play. `code` is what it ended with."""

    def __init__(self, world: World, name: str, folder: Path, log: Path) -> None:
        self._world, self.name, self.folder, self._log = world, name, folder, log
        self._child: Child | None = None
        self.code: int | None = None
        shutil.rmtree(folder, ignore_errors=True)  # of a play before
        folder.mkdir(parents=True)

    @property
    def pid(self) -> int | None:
        pid = self._child.transport.pid if self._child is not None else None
        return int(pid) if pid is not None else None

    def start(self, words: list[str]) -> None:
        if self._child is not None:
            return
        self.code = None
        self._child = Child(self._log, self._ended)
        self._world.add(What.STARTED, manager=self.name, told=" ".join(words))
        self._world.net.reactor.spawnProcess(
            self._child,
            sys.executable,
            [sys.executable, "-m", "vanerelay", *words],
            {**os.environ, "PYTHONPATH": str(HERE)},
            str(self.folder),
        )

    def signal(self, number: int) -> None:
        if self.pid is not None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def _ended(self, reason: Failure) -> None:
        self._child = None
        self.code = int(getattr(reason.value, "exitCode", None) or 0)


class Manager:
    """One manager under its name, over all its starts."""

    def __init__(
        self,
        world: World,
        name: str,
        place: str,
        listen: str,
        folder: Path,
        configuration: Callable[[bool], dict[str, Any]],
        options: Callable[[], str],
        keeper: Callable[[], str],
        ready: Callable[[str], None],
        died: Callable[[str, str, str], None],
    ) -> None:
        """`configuration` (told whether it is for a start) and `options` give what it is started with;
        `ready` is told when the front may use it; `keeper` gives the file of its keeper, empty where it has
        none; `died` is told the release and how, where a kept one ended by itself."""
        self._died = died
        self._world, self.name, self.place, self.listen, self.folder = world, name, place, listen, folder
        self._configuration, self._options, self._ready = configuration, options, ready
        self._keeper = keeper
        self.release, self.tree, self.label = "", HERE, ""  # label: of what it says itself that it runs now
        self._child: Child | None = None
        self._asked_to_end, self.used, self.starts, self._asking = False, False, 0, False
        self.clear()  # of a play before

    @property
    def pid(self) -> int | None:
        pid = self._child.transport.pid if self._child is not None else None
        return int(pid) if pid is not None else None

    @property
    def log(self) -> Path:
        return self.folder.with_suffix(".log")

    def start(self) -> None:
        if self._child is not None:
            return
        self.starts += 1
        self.label = ""
        self._asked_to_end = False
        self.write(True)
        words = [sys.executable, "-m", "vanerelay", "serve"]
        options = self._options()
        if options:
            path = self.folder.with_suffix(".hcl")
            path.write_text(options)
            words += ["--options", str(path)]
        keeper = self._keeper()
        if keeper:
            path = self.folder.with_suffix(".keep.hcl")
            path.write_text(keeper)
            words = [sys.executable, "-m", "vanerelay", "keep", str(path)]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(self.folder.with_suffix(".json")),
            "LB_NAME": self.name,
            "LB_LISTEN": self.listen,
            "PYTHONPATH": str(self.tree),
        }
        self._child = Child(self.log, self._ended, self._says)
        self._world.add(What.STARTED, manager=self.name, told=self.release)
        self._world.net.reactor.spawnProcess(self._child, sys.executable, words, environment, str(self.tree))

    def _says(self, line: dict[str, Any]) -> None:
        if line.get("event") == "gateway process ended":
            if not self._asked_to_end and "exit code 0" not in str(line.get("how")):
                self._died(self.name, str(line.get("release")), str(line.get("how")))
        elif line.get("release"):
            self.label = str(line["release"])
        elif line.get("settings"):
            self.label = f"settings {line['settings'][:6]}"

    def write(self, first: bool = False) -> None:
        """The configuration as it is now."""
        path = self.folder.with_suffix(".json")
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self._configuration(first)))
        new.rename(path)

    def signal(self, number: int) -> None:
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._asked_to_end, self.used = True, False
        if self.pid is not None:
            family = _family(self.pid) if number != signal.SIGTERM else [self.pid]
            for pid in family if number != signal.SIGHUP else family[-1:]:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, number)

    def clear(self) -> None:
        """The machine's disk is lost with it."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True, exist_ok=True)

    def ask(self) -> None:
        """Whether it is ready, by the way that clients go."""
        if self._child is None or self._asking:
            return
        self._asking = True

        def opened(joint: Joint) -> Asking:
            asking = Asking(joint, self._say_ready)
            self._world.net.reactor.callLater(0, asking.ask)
            self._world.net.reactor.callLater(4 * ASK_S, joint.reset)
            return asking

        self._world.net.reach("clients", self.name, self.listen, opened, lambda: None)
        self._world.net.reactor.callLater(ASK_S, self._asked)

    def _asked(self) -> None:
        self._asking = False

    def _say_ready(self) -> None:
        if not self.used and self._child is not None and not self._asked_to_end:
            self.used = True
            self._world.add(What.READY, manager=self.name, told=self.release)
        self._ready(self.name)

    def _ended(self, reason: Failure) -> None:
        self._child, self.used = None, False
        asked = self._asked_to_end
        how = (
            ""
            if asked and (isinstance(reason.value, ProcessDone) or self._killed(reason))
            else reason.getErrorMessage()
        )
        self._world.add(What.DIED, manager=self.name, told=how)

    @staticmethod
    def _killed(reason: Failure) -> bool:
        return getattr(reason.value, "signal", None) in (signal.SIGKILL, signal.SIGTERM)
