"""One attempt of a query, or one command, on its way to an engine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.resp_codec import Note, QueryCommand


class AttemptConnection(Protocol):
    """The connection that an attempt goes over, as the attempt sees it."""

    def give_up(self, attempt: Attempt, cause: EndCause) -> None:
        """Ends the attempt, and cancels or abandons what its engine has of it."""

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt if it has not been written."""


def _no_listener(_: Note) -> None:
    """Takes the progress of an attempt that nobody watches."""


def _always() -> bool:
    return True


class Attempt:
    """One attempt on its way.

    Attributes:
        ident: What the engine answers under.
        query: The query; None for a command.
        arguments: The whole command, where it is no query.
        used_connections: The connections that the query's attempts went over; each takes one of them only.
        done: Fires once, with the end of the attempt; it never fails.
        noted: Told of the engine's progress.
        may_begin: Asked once, when the attempt is about to be written, maybe long after it was planned.
        connection: Its connection, from when it has one until its end is known.
        begun: Whether it has a connection, or waits for one.
    """

    __slots__ = (
        "arguments",
        "begun",
        "connection",
        "done",
        "ident",
        "may_begin",
        "noted",
        "over",
        "query",
        "sent_at",
        "timer",
        "used_connections",
    )

    def __init__(
        self,
        ident: bytes,
        query: QueryCommand | None,
        used_connections: list[AttemptConnection],
        arguments: Sequence[bytes] = (),
    ) -> None:
        self.ident = ident
        self.query = query
        self.used_connections = used_connections
        self.arguments = arguments
        self.done: Deferred[AttemptEnd] = Deferred()
        self.noted: Callable[[Note], None] = _no_listener
        self.may_begin: Callable[[], bool] = _always
        self.connection: AttemptConnection | None = None
        self.timer: Any = None
        self.sent_at = 0.0
        self.begun = False
        self.over = False

    def end(self, end: AttemptEnd) -> None:
        """Ends the attempt, if it has not ended before."""
        if self.over:
            return
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.connection = None
        self.done.callback(end)

    def give_up(self, cause: EndCause) -> None:
        """Nobody waits for its answer any more, or its time is over."""
        if self.connection is not None:
            self.connection.give_up(self, cause)
        elif not self.begun:
            self.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))

    def withdraw(self) -> None:
        """Does not begin it, where it has not been begun: nobody waits for it."""
        if self.connection is not None:
            self.connection.withdraw(self)
        elif not self.begun:
            self.end(AttemptEnd(EndCause.CANCELLED, AttemptStage.NOT_CONNECTED))
