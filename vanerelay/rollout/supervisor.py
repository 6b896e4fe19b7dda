"""`vanerelay keep`: keeps one gateway running, and starts the next release beside it when ordered.

This module does the input and output; `supervisor_state` decides. The supervisor holds the listening socket
for clients and passes it to its processes. While one process drains and its successor takes over, either of
them accepts connections, so that no client is refused.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol

from vanerelay.clock import Clock
from vanerelay.config_field import config_field
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.operator_config import OperatorConfigError, read_file
from vanerelay.rollout import messages
from vanerelay.rollout.agent import RELEASE_VARIABLE
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.fence import Fence, OrderId, fence_text
from vanerelay.rollout.messages import OrderKind
from vanerelay.rollout.supervisor_state import GatewayProcess, SupervisorState, Timeouts

__all__ = ["OperatorConfigError", "Supervisor", "SupervisorFile", "load"]

LISTEN_FD, READY_FD = 3, 4
"""File descriptors of a gateway process: the listening socket, and the pipe on which it reports readiness."""
STDERR_FD = 2
POLL_INTERVAL_S = 0.1
"""Interval at which timeouts are checked."""
RELEASE_FILE = "release"
"""The name of the file that stores the release to run."""
LISTEN_BACKLOG = 1024
BIND_ATTEMPTS, BIND_RETRY_S = 50, 0.1
"""Binding is retried because a process left behind by an earlier supervisor may still hold the address."""
MAX_OUTPUT_BYTES, MAX_LINE_CHARACTERS = 2000, 300
"""Limits of the output of a process that is kept to explain its exit: of all of it, and of its last line."""
SUPERVISOR_STATE = "keeps"
"""The state that a supervisor reports. The value is sent on the wire."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ReleaseConfig:
    """A `release` block: one release of the program.

    Attributes:
        name: The name of the release.
        folder: The folder that contains the package.
        config, options: The paths of the files for `--config` and `--options` of `vanerelay serve`.
        python: The path of the interpreter; if empty, the one that runs the supervisor.
    """

    name: str
    folder: str = config_field("tree")
    config: str = config_field("config")
    python: str = ""
    options: str = ""


@dataclass(frozen=True, slots=True)
class SupervisorConfig:
    """The settings of a supervisor.

    Attributes:
        name: The name of the gateway.
        listen_address: The HOST:PORT on which the supervisor accepts orders.
        client_address: The HOST:PORT to which clients connect.
        first_release: The release to run if none is stored.
        folder: The folder for the fence and the release to run; if empty, neither survives a restart.
    """

    name: str
    listen_address: str = config_field("listen")
    client_address: str = config_field("serve")
    first_release: str = config_field("first")
    folder: str = ""


@dataclass(frozen=True, slots=True)
class SupervisorFile:
    """The content of a supervisor's configuration file."""

    config: SupervisorConfig
    timeouts: Timeouts
    releases: dict[str, ReleaseConfig]


def load(path: str) -> SupervisorFile:
    """Reads and validates the configuration file of a supervisor.

    Raises:
        OperatorConfigError: The file is invalid; the message names the line.
    """
    document = read_file(path)
    timeouts_block, release_blocks = document.find_block("patience"), document.blocks("release")
    config = document.fill(SupervisorConfig)
    releases = {block.label: block.fill(ReleaseConfig, name=block.label) for block in release_blocks}
    if config.first_release not in releases:
        known = ", ".join(releases) or "the releases"
        raise document.error(f"first: {config.first_release!r}, expected one of {known}", "first")
    timeouts = timeouts_block.fill(Timeouts) if timeouts_block is not None else Timeouts()
    for block in (document, timeouts_block, *release_blocks):
        if block is not None:
            block.reject_unknown()
    return SupervisorFile(config, timeouts, releases)


def _bind_client_socket(host: str, port: int) -> socket.socket:
    """Returns the listening socket for clients.

    Raises:
        OSError: The address cannot be bound.
    """
    for _ in range(BIND_ATTEMPTS):
        try:
            return socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            time.sleep(BIND_RETRY_S)
    return socket.create_server((host, port), backlog=LISTEN_BACKLOG)


class _GatewayProcessProtocol(ProcessProtocol):
    """The output, the readiness and the exit of one gateway process."""

    transport: Any

    def __init__(self, on_ready: Callable[[], None], on_ended: Callable[[str], None]) -> None:
        self._on_ready, self._on_ended, self._last_output = on_ready, on_ended, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        """Handles data from the readiness pipe, or passes output on to standard error."""
        if childFD == READY_FD:
            self._on_ready()
        else:
            os.write(STDERR_FD, data)
            self._last_output = (self._last_output + data)[-MAX_OUTPUT_BYTES:]

    def processEnded(self, reason: Any) -> None:
        """Reports the exit of the process with the last line of its output, all of which has been read."""
        lines = self._last_output.decode(errors="replace").strip().splitlines()
        last_line = f": {lines[-1][:MAX_LINE_CHARACTERS]}" if lines else ""
        self._on_ended(f"{reason.getErrorMessage()}{last_line}")


class Supervisor:
    """The supervisor of one gateway. It implements `ProcessControl` for its `SupervisorState`.

    Attributes:
        state: Decides which release runs, and which one next.
    """

    def __init__(self, reactor: Any, file: SupervisorFile) -> None:
        """Binds the listening socket for clients.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reactor, self._config, self._releases = reactor, file.config, file.releases
        self._clock, self._rpc_node, self._store = Clock(), RpcNode(reactor), AgentStore(file.config.folder)
        self._fence = Fence(self._store.read_fence())
        self._protocols = dict[GatewayProcess, _GatewayProcessProtocol]()
        first = self._stored_release() or file.config.first_release
        self.state = SupervisorState(self, file.timeouts, frozenset(file.releases), first)
        host, _, port = file.config.client_address.rpartition(":")
        self._socket = _bind_client_socket(host, int(port))
        # Non-blocking mode is a property of the socket itself, shared by all processes that hold it. Without
        # it, accept() would block.
        self._socket.setblocking(False)
        self._rpc_node.handlers |= {
            messages.ORDER_KIND: self._answer_order,
            messages.STATE_KIND: self._answer_state,
        }
        self._stopped: Deferred[None] = Deferred()

    def run(self) -> None:
        """Listens for orders and starts the first process."""
        self._rpc_node.listen(self._config.listen_address)
        self.state.begin(self._clock.now())
        self._poll()
        self._reactor.addSystemEventTrigger("before", "shutdown", self._stop)

    def _poll(self) -> None:
        self.state.check_timeouts(self._clock.now())
        if self.state.has_stopped and not self._stopped.called:
            self._rpc_node.stop()
            self._stopped.callback(None)
        self._reactor.callLater(POLL_INTERVAL_S, self._poll)

    def _stop(self) -> Deferred[None]:
        self.state.stop(self._clock.now())
        return self._stopped

    # Requests of a controller.

    def _answer_order(self, body: bytes) -> bytes | Deferred[bytes]:
        order = messages.decode(body, messages.Order)
        if order is None:
            raise RequestRefusedError("unreadable")
        order_id = OrderId(order.fence, order.change, order.number)
        refusal = self._check_order(order_id)
        if refusal is not None:
            return self._reply(accepted=False, reason=refusal)
        self._fence.accept(order_id)
        if order.kind not in (OrderKind.PROGRAM, OrderKind.RESTART):
            return self._reply(accepted=order.kind == OrderKind.CLAIM, reason=f"no {order.kind} here")
        return self._run_release(order)

    def _check_order(self, order_id: OrderId) -> str | None:
        """Returns why an order is refused, or None if it is not.

        A higher fence is stored before its order is accepted.
        """
        reason = self._fence.refusal_reason(order_id)
        if reason is None and order_id.fence > self._fence.highest:
            reason = self._store.write_fence(fence_text(order_id))
            if reason is None:
                self._fence.observe(fence_text(order_id))
                self.state.forget_failures()
        return reason

    def _reply(self, accepted: bool, failed: bool = False, reason: str = "") -> bytes:
        return messages.encode(messages.OrderReply(self._fence.highest, accepted, failed, reason))

    def _run_release(self, order: messages.Order) -> Deferred[bytes]:
        """Starts the ordered release. The reply is sent once it has taken over or has failed."""
        is_program = order.kind == OrderKind.PROGRAM
        release = order.body.decode(errors="replace") if is_program else self.state.current
        reply: Deferred[bytes] = Deferred()

        def finished(failure: str | None) -> None:
            if failure is None:
                log.info("release taken over", release=release, change=order.change)
            else:
                log.warning("rollout order failed", release=release, change=order.change, reason=failure)
            has_failed = failure is not None
            reply.callback(self._reply(not has_failed, has_failed, failure or ""))

        serving = self.state.serving
        if is_program and serving is not None and serving.is_ready and serving.release == release:
            finished(None)  # a repeated order
        else:
            self.state.order(self._clock.now(), release, finished)
        return reply

    def _answer_state(self, _: bytes) -> bytes:
        state = messages.GatewayState(
            name=self._config.name,
            program="",
            settings="",
            state=SUPERVISOR_STATE,
            incarnation=0,
            fence=self._fence.highest,
            last_order=self._fence.last_order,
            release=self.state.current,
        )
        return messages.encode(state)

    # Process control.

    def start(self, process: GatewayProcess) -> None:
        """Starts a process and passes it the listening socket and the pipe on which it reports readiness."""
        release = self._releases[process.release]
        python = release.python or sys.executable
        protocol = _GatewayProcessProtocol(
            lambda: self.state.process_ready(self._clock.now(), process),
            lambda exit_reason: self._process_ended(process, exit_reason),
        )
        self._protocols[process] = protocol
        log.info("starting gateway process", release=process.release)
        environment = {**os.environ, RELEASE_VARIABLE: process.release, "PYTHONPATH": release.folder}
        self._reactor.spawnProcess(
            protocol,
            python,
            self._command_line(python, release),
            environment,
            release.folder,
            childFDs={0: "w", 1: "r", 2: "r", LISTEN_FD: self._socket.fileno(), READY_FD: "r"},
        )

    def _command_line(self, python: str, release: ReleaseConfig) -> list[str]:
        command = [python, "-m", "vanerelay", "serve"]
        command += ["--config", release.config]
        command += ["--listen", self._config.client_address]
        command += ["--name", self._config.name]
        command += ["--listen-fd", str(LISTEN_FD)]
        command += ["--ready-fd", str(READY_FD)]
        if release.options:
            command += ["--options", release.options]
        return command

    def _process_ended(self, process: GatewayProcess, exit_reason: str) -> None:
        self._protocols.pop(process, None)
        log.info("gateway process ended", release=process.release, how=exit_reason)
        self.state.process_ended(self._clock.now(), process, exit_reason)

    def terminate(self, process: GatewayProcess) -> None:
        """Sends SIGTERM to a process that still runs."""
        self._signal(process, "TERM")

    def kill(self, process: GatewayProcess) -> None:
        """Sends SIGKILL to a process that still runs."""
        self._signal(process, "KILL")

    def _signal(self, process: GatewayProcess, name: str) -> None:
        protocol = self._protocols.get(process)
        if protocol is not None:
            try:
                protocol.transport.signalProcess(name)
            except ProcessExitedAlready:
                return

    def save_release(self, release: str) -> None:
        """Stores the release to run after a restart of the supervisor."""
        if self._config.folder:
            reason = self._store.write_file(RELEASE_FILE, release)
            if reason is not None:
                log.warning(
                    "cannot store the release to run, a restarted supervisor may run another one",
                    reason=reason,
                )

    def _stored_release(self) -> str:
        path = Path(self._config.folder, RELEASE_FILE) if self._config.folder else None
        stored = path.read_text(encoding="utf-8").strip() if path is not None and path.exists() else ""
        return stored if stored in self._releases else ""
