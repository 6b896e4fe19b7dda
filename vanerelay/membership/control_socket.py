"""The console's socket: a Unix socket for the operators of this machine, and the call that speaks to it.
Thin."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import stat
from collections.abc import Callable, Iterator
from typing import Any

import structlog
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from vanerelay.membership import control_protocol

SILENT_S = 10  # a connection on which nothing moves for so long is ended
MOST = 8  # connections
ROWS = 100  # written at a time: a millisecond or so

log = structlog.get_logger()


class Answer:
    """What is told of a request: a head, and rows made as they are written."""

    def __init__(self, rows: Iterator[dict[str, Any]] | None = None, **told: Any) -> None:
        self.told, self.rows = told, rows or iter(())


Answers = Callable[[control_protocol.Request], Any]  # an Answer, a Wrong, or a Deferred of either


@implementer(IPullProducer)
class Desk(Protocol, TimeoutMixin):
    """One connection: a request at a time, its rows as fast as they are taken."""

    transport: Any

    def __init__(self, factory: DeskFactory) -> None:
        self._factory, self._lines = factory, control_protocol.Lines()
        self._waiting: list[control_protocol.Request | control_protocol.Wrong] = []
        self._rows: Iterator[dict[str, Any]] | None = None
        self._busy = False

    def connectionMade(self) -> None:
        self._factory.open.add(self)
        if len(self._factory.open) > MOST:
            self.transport.write(control_protocol.refusal("too many connections"))
            self.transport.loseConnection()
        self.setTimeout(SILENT_S)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        self.resetTimeout()  # type: ignore[no-untyped-call]
        self._waiting += self._lines.feed(data)
        if len(self._waiting) > MOST:
            self._waiting = [control_protocol.Wrong("too many requests at once", True)]
        self._next()

    def _next(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy, request = True, self._waiting.pop(0)
        if isinstance(request, control_protocol.Wrong):
            self._told(request)
            return
        going: Deferred[Any] = maybeDeferred(self._factory.answers, request)
        going.addErrback(self._fault)
        going.addCallback(self._told)

    def _fault(self, fault: Failure) -> control_protocol.Wrong:
        log.error("a console request met a fault", fault=fault.getTraceback())
        return control_protocol.Wrong("a fault, see the log")

    def _told(self, answer: Answer | control_protocol.Wrong) -> None:
        if not self.connected:
            return
        if isinstance(answer, control_protocol.Wrong):
            self.transport.write(control_protocol.refusal(answer.why))
            self._busy = False
            if answer.last:
                self.transport.loseConnection()
                return
            self._next()
            return
        self.transport.write(control_protocol.head(**answer.told))
        self._rows = answer.rows
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        self.resetTimeout()  # type: ignore[no-untyped-call]
        written = []
        for row in self._rows or ():
            written.append(control_protocol.line(row))
            if len(written) >= ROWS:
                self.transport.write(b"".join(written))
                return
        self.transport.write(b"".join(written) + control_protocol.END)
        self.transport.unregisterProducer()
        self._rows, self._busy = None, False
        self._next()

    def stopProducing(self) -> None:
        self._rows = None

    def timeoutConnection(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._factory.open.discard(self)
        self.connected, self._rows = 0, None
        self.setTimeout(None)  # type: ignore[no-untyped-call]


class DeskFactory(Factory):
    """All connections of the console."""

    noisy = False

    def __init__(self, answers: Answers) -> None:
        self.answers, self.open = answers, set[Desk]()

    def buildProtocol(self, addr: Any) -> Desk:
        return Desk(self)


def listen(reactor: Any, path: str, answers: Answers) -> Any:
    """Listens, for the own user alone; a line saying why not, if it can't. A socket left by one that died is
    replaced, one that answers is not."""
    with contextlib.suppress(FileNotFoundError, OSError):
        if stat.S_ISSOCK(os.stat(path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                probe.settimeout(1.0)
                try:
                    probe.connect(path)
                    return f"{path}: another program listens there"
                except ConnectionRefusedError:
                    os.unlink(path)
    before = os.umask(0o177)
    try:
        return reactor.listenUNIX(path, DeskFactory(answers), mode=0o600)
    except (CannotListenError, OSError) as fault:
        return f"{path}: {fault}"
    finally:
        os.umask(before)


class Unanswered(Exception):
    """Why a running instance could not be asked, in one line."""


def ask(path: str, **request: Any) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Asks a running instance: the head of its answer and all rows. Waits; for the command line."""
    try:
        with socket.socket(socket.AF_UNIX) as at:
            at.settimeout(SILENT_S)
            at.connect(path)
            at.sendall(control_protocol.line({"v": control_protocol.VERSION, **request}))
            with at.makefile("rb") as file:
                head = json.loads(file.readline() or b"{}")
                if not head.get("ok"):
                    raise Unanswered(str(head.get("why", "the connection ended")))
                rows = list[dict[str, Any]]()
                for line in file:
                    row = json.loads(line)
                    if row == {"end": True}:
                        return head, rows
                    rows.append(row)
    except (OSError, ValueError) as fault:
        raise Unanswered(f"{path}: {fault}") from None
    raise Unanswered(f"{path}: the answer stopped short")
