"""The gateways of a run as processes: started, struck and started again, each with a folder of its own."""

from __future__ import annotations

import json
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any, Protocol

from twisted.internet.error import ProcessDone
from twisted.python.failure import Failure

from vanerelay.lab.child_process import PACKAGE_TREE, ChildProcess, process_tree, send_signal
from vanerelay.lab.client_load import CLIENTS
from vanerelay.lab.event_log import EventKind
from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.lab.run_context import RunContext
from vanerelay.net.frames import FrameKind, encode_frame

PROBE_INTERVAL_S = 0.25
"""Between probes of a gateway that the clients' front does not use."""
PROBE_TIMEOUT_S = 4 * PROBE_INTERVAL_S
READINESS_BYTES = 11
"""Of a whole reply to a probe; its kind and its verdict stand at the places below."""
KIND_AT, VERDICT_AT = 4, 9
SETTINGS_LABEL_LENGTH = 6
"""Characters of the digest of settings in the label of a release."""


class GatewayHost(Protocol):
    """What a gateway's process is given, and whom it reports to."""

    def configuration(self, name: str, for_start: bool) -> dict[str, Any]:
        """Its configuration, for a start or for a running process to read again."""

    def operator_file(self, name: str) -> str:
        """Its operators' file; empty for none."""

    def supervisor_file(self, name: str) -> str:
        """The file of its supervisor; empty where it has none."""

    def gateway_ready(self, name: str) -> None:
        """The clients' front may use it."""

    def supervised_process_died(self, name: str, release: str, reason: str) -> None:
        """A process under its supervisor has ended by itself."""


class ReadinessProbe:
    """The front's question to one gateway whether it is ready, on a connection of its own."""

    def __init__(self, gateway: GatewayProcess, connection: FaultyConnection) -> None:
        self._gateway, self._connection, self._received = gateway, connection, b""

    def send(self) -> None:
        """Asks."""
        self._connection.send(self, encode_frame(FrameKind.READINESS_CHECK, 0, b"\0"))

    def deliver(self, data: bytes) -> None:
        """The gateway has sent (a part of) its reply."""
        self._received += data
        if len(self._received) >= READINESS_BYTES:
            if self._received[KIND_AT] == FrameKind.READINESS and self._received[VERDICT_AT] == 0:
                self._gateway.probe_succeeded()
            self._connection.close(self)

    def closed(self, was_reset: bool) -> None:
        """The connection is over; the gateway is probed again."""

    def set_flowing(self, is_flowing: bool) -> None:
        """Nothing to pause."""


class GatewayProcess:
    """One gateway under its name, over all its starts.

    Attributes:
        address: for clients.
        release, tree: that it is started from.
        label: of what it says itself that it runs now.
        is_ready: whether the front may use it.
    """

    def __init__(
        self, context: RunContext, name: str, zone: str, address: str, folder: Path, host: GatewayHost
    ) -> None:
        self._context, self.name, self.zone, self.address = context, name, zone, address
        self.folder, self._host = folder, host
        self.release, self.tree, self.label = "", PACKAGE_TREE, ""
        self._child: ChildProcess | None = None
        self._is_asked_to_end, self.is_ready, self._is_probed = False, False, False
        self.clear_folder()  # of a run before

    @property
    def pid(self) -> int | None:
        """Of the gateway or of its supervisor; None where it does not run."""
        return self._child.pid if self._child is not None else None

    @property
    def log(self) -> Path:
        """Its output."""
        return self.folder.with_suffix(".log")

    def start(self) -> None:
        """Starts it, unless it runs."""
        if self._child is not None:
            return
        self.label = ""
        self._is_asked_to_end = False
        self.write_configuration(for_start=True)
        command, environment = self._command(), self._environment()
        self._child = ChildProcess(self.log, self._ended, self._release_logged)
        self._context.log(EventKind.STARTED, gateway=self.name, detail=self.release)
        self._context.network.reactor.spawnProcess(
            self._child, sys.executable, command, environment, str(self.tree)
        )

    def _command(self) -> list[str]:
        """The command to start it, after writing the files that it names."""
        command = [sys.executable, "-m", "vanerelay", "serve"]
        operator_file = self._host.operator_file(self.name)
        if operator_file:
            path = self.folder.with_suffix(".hcl")
            path.write_text(operator_file)
            command += ["--options", str(path)]
        supervisor_file = self._host.supervisor_file(self.name)
        if supervisor_file:
            path = self.folder.with_suffix(".keep.hcl")
            path.write_text(supervisor_file)
            command = [sys.executable, "-m", "vanerelay", "keep", str(path)]
        return command

    def _environment(self) -> dict[str, str]:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        return environment | {
            "LB_CONFIG": str(self.folder.with_suffix(".json")),
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "PYTHONPATH": str(self.tree),
        }

    def _release_logged(self, line: dict[str, Any]) -> None:
        if line.get("event") == "gateway process ended":
            reason = str(line.get("how"))
            if not self._is_asked_to_end and "exit code 0" not in reason:
                self._host.supervised_process_died(self.name, str(line.get("release")), reason)
        elif line.get("release"):
            self.label = str(line["release"])
        elif line.get("settings"):
            self.label = f"settings {line['settings'][:SETTINGS_LABEL_LENGTH]}"

    def write_configuration(self, for_start: bool = False) -> None:
        """Writes the configuration as it is now, by replacing the file."""
        path = self.folder.with_suffix(".json")
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self._host.configuration(self.name, for_start)))
        new.rename(path)

    def signal(self, number: int) -> None:
        """Signals it: with its descendants, but for SIGTERM (itself) and SIGHUP (the last of them)."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_asked_to_end, self.is_ready = True, False
        if self.pid is None:
            return
        pids = [self.pid] if number == signal.SIGTERM else process_tree(self.pid)
        for pid in pids[-1:] if number == signal.SIGHUP else pids:
            send_signal(pid, number)

    def clear_folder(self) -> None:
        """The machine's disk is lost."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True, exist_ok=True)

    def probe(self) -> None:
        """Asks whether it is ready, by the way that clients go."""
        if self._child is None or self._is_probed:
            return
        self._is_probed = True
        reactor = self._context.network.reactor

        def opened(connection: FaultyConnection) -> ReadinessProbe:
            probe = ReadinessProbe(self, connection)
            reactor.callLater(0, probe.send)
            reactor.callLater(PROBE_TIMEOUT_S, connection.reset)
            return probe

        self._context.network.connect(CLIENTS, self.name, self.address, opened, lambda: None)
        reactor.callLater(PROBE_INTERVAL_S, self._may_probe_again)

    def _may_probe_again(self) -> None:
        self._is_probed = False

    def probe_succeeded(self) -> None:
        """It says that it is ready."""
        if not self.is_ready and self._child is not None and not self._is_asked_to_end:
            self.is_ready = True
            self._context.log(EventKind.READY, gateway=self.name, detail=self.release)
        self._host.gateway_ready(self.name)

    def _ended(self, reason: Failure) -> None:
        self._child, self.is_ready = None, False
        is_expected = self._is_asked_to_end and (isinstance(reason.value, ProcessDone) or _was_killed(reason))
        detail = "" if is_expected else reason.getErrorMessage()
        self._context.log(EventKind.DIED, gateway=self.name, detail=detail)


def _was_killed(reason: Failure) -> bool:
    return getattr(reason.value, "signal", None) in (signal.SIGKILL, signal.SIGTERM)


__all__ = ["PROBE_INTERVAL_S", "GatewayHost", "GatewayProcess"]
