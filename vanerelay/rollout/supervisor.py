"""`vanerelay keep`: keeps one gateway running, and starts the next release beside it when ordered.

A thin driver; `supervisor_state` decides. The supervisor holds the clients' listening socket and hands it
down: while one process drains and the next takes over nobody is refused, whichever of them accepts.
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
"""Descriptors of a process: the clients' socket, and the pipe on which it says that it is ready."""
STDERR_FD = 2
POLL_S = 0.1
"""Between two looks at what takes too long."""
RELEASE_FILE = "release"
"""The file with the release that is to run."""
LISTEN_BACKLOG = 1024
BIND_ATTEMPTS, BIND_RETRY_S = 50, 0.1
"""A process that an earlier supervisor left behind may hold the socket for a moment."""
MAX_OUTPUT_BYTES, MAX_LINE_CHARACTERS = 2000, 300
"""Of a process's last output that is kept, to say how it ended."""
SUPERVISOR_STATE = "keeps"
"""The state that a supervisor reports; the value is sent."""

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ReleaseConfig:
    """A program to run.

    Attributes:
        name: of the release.
        folder: with the package.
        config, options: files, as `serve` takes them.
        python: its interpreter; empty: this one.
    """

    name: str
    folder: str = config_field("tree")
    config: str = config_field("config")
    python: str = ""
    options: str = ""


@dataclass(frozen=True, slots=True)
class SupervisorConfig:
    """A supervisor.

    Attributes:
        name: of the gateway.
        listen_address: where orders come.
        client_address: where clients connect.
        first_release: the release to begin with.
        folder: for what outlives the supervisor.
    """

    name: str
    listen_address: str = config_field("listen")
    client_address: str = config_field("serve")
    first_release: str = config_field("first")
    folder: str = ""


@dataclass(frozen=True, slots=True)
class SupervisorFile:
    """What the operators' file of a supervisor holds."""

    config: SupervisorConfig
    timeouts: Timeouts
    releases: dict[str, ReleaseConfig]


def load(path: str) -> SupervisorFile:
    """Reads the file.

    Raises:
        OperatorConfigError: with the line of what is wrong.
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


def _listen(host: str, port: int) -> socket.socket:
    """The clients' socket.

    Raises:
        OSError: it can't be bound.
    """
    for _ in range(BIND_ATTEMPTS):
        try:
            return socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            time.sleep(BIND_RETRY_S)
    return socket.create_server((host, port), backlog=LISTEN_BACKLOG)


class _ProcessDriver(ProcessProtocol):
    """One process of the gateway, which says on a pipe of its own that it is ready."""

    transport: Any

    def __init__(self, on_ready: Callable[[], None], on_ended: Callable[[str], None]) -> None:
        self._on_ready, self._on_ended, self._last_output = on_ready, on_ended, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        """The process has written something."""
        if childFD == READY_FD:
            self._on_ready()
        else:
            os.write(STDERR_FD, data)
            self._last_output = (self._last_output + data)[-MAX_OUTPUT_BYTES:]

    def processEnded(self, reason: Any) -> None:
        """The process has ended, and its output was read."""
        lines = self._last_output.decode(errors="replace").strip().splitlines()
        last_line = f": {lines[-1][:MAX_LINE_CHARACTERS]}" if lines else ""
        self._on_ended(f"{reason.getErrorMessage()}{last_line}")


class Supervisor:
    """The supervisor of one gateway, and the process control of its state.

    Attributes:
        state: which release runs, and what follows it.
    """

    def __init__(self, reactor: Any, file: SupervisorFile) -> None:
        """Binds the clients' socket.

        Raises:
            OSError: it can't be bound.
        """
        self._reactor, self._config, self._releases = reactor, file.config, file.releases
        self._clock, self._node, self._store = Clock(), RpcNode(reactor), AgentStore(file.config.folder)
        self._fence = Fence(self._store.read_fence())
        self._drivers = dict[GatewayProcess, _ProcessDriver]()
        first = self._stored_release() or file.config.first_release
        self.state = SupervisorState(self, file.timeouts, frozenset(file.releases), first)
        host, _, port = file.config.client_address.rpartition(":")
        self._socket = _listen(host, int(port))
        self._socket.setblocking(False)  # of the socket itself, whoever holds it: or accepting would wait
        self._node.handlers |= {
            messages.ORDER_KIND: self._answer_order,
            messages.STATE_KIND: self._answer_state,
        }
        self._stopped: Deferred[None] = Deferred()

    def run(self) -> None:
        """Listens for orders and starts the first process."""
        self._node.listen(self._config.listen_address)
        self.state.begin(self._clock.now())
        self._poll()
        self._reactor.addSystemEventTrigger("before", "shutdown", self._stop)

    def _poll(self) -> None:
        self.state.check_timeouts(self._clock.now())
        if self.state.has_stopped and not self._stopped.called:
            self._node.stop()
            self._stopped.callback(None)
        self._reactor.callLater(POLL_S, self._poll)

    def _stop(self) -> Deferred[None]:
        self.state.stop(self._clock.now())
        return self._stopped

    # Requests of a controller.

    def _answer_order(self, body: bytes) -> bytes | Deferred[bytes]:
        order = messages.decode(body, messages.Order)
        if order is None:
            raise RequestRefusedError("unreadable")
        order_id = OrderId(order.fence, order.change, order.number)
        refusal = self._refusal(order_id)
        if refusal is not None:
            return self._reply(accepted=False, reason=refusal)
        self._fence.accept(order_id)
        if order.kind not in (OrderKind.PROGRAM, OrderKind.RESTART):
            return self._reply(accepted=order.kind == OrderKind.CLAIM, reason=f"no {order.kind} here")
        return self._run_release(order)

    def _refusal(self, order_id: OrderId) -> str | None:
        """Why an order is refused; None where it is not, and its fence is stored."""
        reason = self._fence.refusal(order_id)
        if reason is None and order_id.fence > self._fence.highest:
            reason = self._store.write_fence(fence_text(order_id))
            if reason is None:
                self._fence.learn(fence_text(order_id))
                self.state.forget_failures()
        return reason

    def _reply(self, accepted: bool, failed: bool = False, reason: str = "") -> bytes:
        return messages.encode(messages.OrderReply(self._fence.highest, accepted, failed, reason))

    def _run_release(self, order: messages.Order) -> Deferred[bytes]:
        """Starts the ordered release; replies once it has taken over, or has failed."""
        is_program = order.kind == OrderKind.PROGRAM
        release = order.body.decode(errors="replace") if is_program else self.state.current
        reply: Deferred[bytes] = Deferred()

        def finished(failure: str | None) -> None:
            if failure is None:
                log.info("release taken over", release=release, change=order.change)
            else:
                log.warning("order failed", release=release, change=order.change, reason=failure)
            has_failed = failure is not None
            reply.callback(self._reply(not has_failed, has_failed, failure or ""))

        serving = self.state.serving
        if is_program and serving is not None and serving.is_ready and serving.release == release:
            finished(None)  # an order that came twice
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
        """Starts a process with the clients' socket and a pipe on which it says that it is ready."""
        release = self._releases[process.release]
        python = release.python or sys.executable
        driver = _ProcessDriver(
            lambda: self.state.process_ready(self._clock.now(), process),
            lambda how: self._process_ended(process, how),
        )
        self._drivers[process] = driver
        log.info("gateway process starts", release=process.release)
        environment = {**os.environ, RELEASE_VARIABLE: process.release, "PYTHONPATH": release.folder}
        self._reactor.spawnProcess(
            driver,
            python,
            self._command_line(python, release),
            environment,
            release.folder,
            childFDs={0: "w", 1: "r", 2: "r", LISTEN_FD: self._socket.fileno(), READY_FD: "r"},
        )

    def _command_line(self, python: str, release: ReleaseConfig) -> list[str]:
        line = [python, "-m", "vanerelay", "serve"]
        line += ["--config", release.config]
        line += ["--listen", self._config.client_address]
        line += ["--name", self._config.name]
        line += ["--listen-fd", str(LISTEN_FD)]
        line += ["--ready-fd", str(READY_FD)]
        if release.options:
            line += ["--options", release.options]
        return line

    def _process_ended(self, process: GatewayProcess, how: str) -> None:
        self._drivers.pop(process, None)
        log.info("gateway process ended", release=process.release, how=how)
        self.state.process_ended(self._clock.now(), process, how)

    def terminate(self, process: GatewayProcess) -> None:
        """Sends SIGTERM."""
        self._signal(process, "TERM")

    def kill(self, process: GatewayProcess) -> None:
        """Sends SIGKILL."""
        self._signal(process, "KILL")

    def _signal(self, process: GatewayProcess, name: str) -> None:
        driver = self._drivers.get(process)
        if driver is not None:
            try:
                driver.transport.signalProcess(name)
            except ProcessExitedAlready:
                return

    def save_release(self, release: str) -> None:
        """Stores the release that is to run after a restart of the supervisor itself."""
        if self._config.folder:
            reason = self._store.write_file(RELEASE_FILE, release)
            if reason is not None:
                log.warning("release not stored", reason=reason)

    def _stored_release(self) -> str:
        path = Path(self._config.folder, RELEASE_FILE) if self._config.folder else None
        stored = path.read_text(encoding="utf-8").strip() if path is not None and path.exists() else ""
        return stored if stored in self._releases else ""
