"""`vanerelay keep`: keeps one manager running, and puts the next release beside it when ordered. A thin
driver of `succession.py`.

The keeper holds the clients' listening socket and hands it down: while one manager leaves and the next takes
over nobody is refused, whichever of them accepts."""

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
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.operator_config import Block, OperatorConfigError, read_file
from vanerelay.rollout import messages
from vanerelay.rollout.agent import RELEASE
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.fence import Fence, Order
from vanerelay.rollout.supervisor_state import Child, Patience, SupervisorState

LISTEN_FD, READY_FD = 3, 4  # of a child
LOOK_S = 0.1
CURRENT = "release"
BACKLOG = 1024
BIND_TRIES, BIND_S = 50, 0.1

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Release:
    """A program to run: `tree` is the folder with the package, `python` its interpreter (empty: this one);
    `config` and `options` as `serve` takes them."""

    name: str
    tree: str
    config: str
    python: str = ""
    options: str = ""


@dataclass(frozen=True, slots=True)
class Kept:
    """`listen`: where orders come; `serve`: where clients connect; `folder`: for what outlives the keeper."""

    name: str
    listen: str
    serve: str
    first: str
    folder: str = ""


def load(path: str) -> tuple[Kept, Patience, dict[str, Release]]:
    """Raises OperatorConfigError with the line of what is wrong."""
    document = read_file(path)
    patience, releases = document.only("patience"), document.all("release")
    kept = document.fill(Kept)
    found = {one.label: one.fill(Release, name=one.label) for one in releases}
    if kept.first not in found:
        raise document.wrong(
            f"first: {kept.first!r}, expected one of {', '.join(found) or 'the releases'}", "first"
        )
    told = patience.fill(Patience) if patience is not None else Patience()
    for one in (document, patience, *releases):
        if isinstance(one, Block):
            one.done()
    return kept, told, found


def _listening(host: str, port: int) -> socket.socket:
    """The clients' socket. A manager that a keeper before us left behind may hold it for a moment. Raises
    OSError."""
    for _ in range(BIND_TRIES):
        try:
            return socket.create_server((host, port), backlog=BACKLOG)
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            time.sleep(BIND_S)
    return socket.create_server((host, port), backlog=BACKLOG)


class Process(ProcessProtocol):
    """One manager. It says that it is ready on a pipe of its own."""

    transport: Any

    def __init__(self, ready: Callable[[], None], ended: Callable[[str], None]) -> None:
        self._ready, self._ended, self._last = ready, ended, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:
        if childFD == READY_FD:
            self._ready()
        else:
            os.write(2, data)
            self._last = (self._last + data)[-2000:]

    def processEnded(self, reason: Any) -> None:
        lines = self._last.decode(errors="replace").strip().splitlines()
        self._ended(f"{reason.getErrorMessage()}{': ' + lines[-1][:300] if lines else ''}")


class Supervisor:
    """The Hands of a Succession."""

    def __init__(self, reactor: Any, kept: Kept, patience: Patience, releases: dict[str, Release]) -> None:
        self._reactor, self._kept, self._releases = reactor, kept, releases
        self._clock, self._links, self._store = Clock(), RpcNode(reactor), AgentStore(kept.folder)
        self._fence = Fence(self._store.fence())
        self._processes = dict[Child, Process]()
        first = self._read() or kept.first
        self.succession = SupervisorState(self, patience, frozenset(releases), first)
        host, _, port = kept.serve.rpartition(":")
        self._socket = _listening(host, int(port))
        self._socket.setblocking(False)  # of the socket itself, whoever holds it: or accepting would wait
        self._links.handlers |= {"order": self._order, "state": self._state}
        self._done: Deferred[None] = Deferred()

    def run(self) -> None:
        self._links.listen(self._kept.listen)
        self.succession.begin(self._clock.now())
        self._look()
        self._reactor.addSystemEventTrigger("before", "shutdown", self._stop)

    def _look(self) -> None:
        self.succession.look(self._clock.now())
        if self.succession.done and not self._done.called:
            self._links.stop()
            self._done.callback(None)
        self._reactor.callLater(LOOK_S, self._look)

    def _stop(self) -> Deferred[None]:
        self.succession.stop(self._clock.now())
        return self._done

    # Orders.

    def _order(self, body: bytes) -> bytes | Deferred[bytes]:
        told = messages.decode(body, messages.Order)
        if told is None:
            raise RequestRefusedError("unreadable")
        order = Order(told.fence, told.name, told.number)
        why = self._fence.refuses(order)
        if why is None and order.fence > self._fence.highest:
            why = self._store.keep(self._fence.after(order))
            if why is None:
                self._fence.learn(self._fence.after(order))
                self.succession.forgive()
        if why is not None:
            return messages.encode(messages.Taken(self._fence.highest, False, why=why))
        self._fence.heed(order)
        if told.what not in ("program", "restart"):
            return messages.encode(
                messages.Taken(self._fence.highest, told.what == "claim", why=f"no {told.what} here")
            )
        release = told.body.decode(errors="replace") if told.what == "program" else self.succession.current
        result: Deferred[bytes] = Deferred()

        def answer(failed: str | None) -> None:
            if failed is None:
                log.info("release taken over", release=release, change=told.name)
            else:
                log.warning("order failed", release=release, change=told.name, why=failed)
            result.callback(
                messages.encode(
                    messages.Taken(self._fence.highest, failed is None, failed is not None, failed or "")
                )
            )

        running = self.succession.serving
        if told.what == "program" and running is not None and running.ready and running.release == release:
            answer(None)  # an order that came twice
        else:
            self.succession.order(self._clock.now(), release, answer)
        return result

    def _state(self, body: bytes) -> bytes:
        return messages.encode(
            messages.State(
                self._kept.name,
                "",
                "",
                "keeps",
                0,
                self._fence.highest,
                self._fence.heeded,
                release=self.succession.current,
            )
        )

    # The Hands.

    def start(self, child: Child) -> None:
        release = self._releases[child.release]
        python = release.python or sys.executable
        line = [
            python,
            "-m",
            "vanerelay",
            "serve",
            "--config",
            release.config,
            "--listen",
            self._kept.serve,
            "--name",
            self._kept.name,
            "--listen-fd",
            str(LISTEN_FD),
            "--ready-fd",
            str(READY_FD),
        ]
        if release.options:
            line += ["--options", release.options]
        process = Process(
            lambda: self.succession.ready(self._clock.now(), child), lambda how: self._ended(child, how)
        )
        self._processes[child] = process
        log.info("manager starts", release=child.release)
        environment = {**os.environ, RELEASE: child.release, "PYTHONPATH": release.tree}
        self._reactor.spawnProcess(
            process,
            python,
            line,
            environment,
            release.tree,
            childFDs={0: "w", 1: "r", 2: "r", LISTEN_FD: self._socket.fileno(), READY_FD: "r"},
        )

    def _ended(self, child: Child, how: str) -> None:
        self._processes.pop(child, None)
        log.info("manager ended", release=child.release, how=how)
        self.succession.ended(self._clock.now(), child, how)

    def end(self, child: Child) -> None:
        self._signal(child, "TERM")

    def kill(self, child: Child) -> None:
        self._signal(child, "KILL")

    def _signal(self, child: Child, name: str) -> None:
        process = self._processes.get(child)
        if process is not None:
            try:
                process.transport.signalProcess(name)
            except ProcessExitedAlready:
                return

    def keep(self, release: str) -> None:
        if self._kept.folder:
            why = self._store.write(CURRENT, release)
            if why is not None:
                log.warning("release not kept", why=why)

    def _read(self) -> str:
        path = Path(self._kept.folder, CURRENT) if self._kept.folder else None
        told = path.read_text(encoding="utf-8").strip() if path is not None and path.exists() else ""
        return told if told in self._releases else ""


__all__ = ["OperatorConfigError", "Supervisor", "load"]
