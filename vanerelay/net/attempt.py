"""One attempt of a query, or one command, that is sent to an engine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.net.resp_codec import ProgressNote, QueryCommand


class AttemptConnection(Protocol):
    """The connection that an attempt is sent on, as the attempt uses it."""

    def give_up(self, attempt: Attempt, cause: EndCause) -> None:
        """Ends the attempt, and cancels or abandons it at its engine."""

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt if it was not written."""


def _ignore_progress(_: ProgressNote) -> None:
    """Ignores the progress of an attempt."""


def _always_allowed() -> bool:
    return True


def _call_now(callback: Callable[[], None]) -> None:
    callback()


def _nothing_to_withdraw() -> None:
    """Withdraws nothing, as the attempt waits for no input of its client."""


class Attempt:
    """One attempt of a query, or one command, from its creation until its end.

    Attributes:
        ident: The identifier that the engine's answers carry.
        query: The query until it is written; None for a command.
        used_connections: The connections that attempts of the same query were sent on. Each is used for one
            attempt of the query only.
        arguments: The complete command, where it is not a query.
        done: Fires once with the end of the attempt; never fails.
        on_progress: Called with each progress note of the engine.
        may_begin: Called once, right before the attempt is written, which may be long after it was planned;
            returns False if it must not begin any more.
        after_client_input: Calls a function once the input of the client is read that may show that it left.
        withdraw_wait: Withdraws the function that is called once the input of the client is read.
        connection: The connection of the attempt, until its end is known or it was given up.
        timer: The timer of its timeout.
        sent_at: When it was written, in seconds of the reactor; 0 before.
        is_assigned: Whether it was handed to a connection.
        ended: Whether it has ended.
    """

    __slots__ = (
        "arguments",
        "connection",
        "done",
        "after_client_input",
        "ended",
        "ident",
        "is_assigned",
        "may_begin",
        "on_progress",
        "query",
        "sent_at",
        "timer",
        "used_connections",
        "withdraw_wait",
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
        self.on_progress: Callable[[ProgressNote], None] = _ignore_progress
        self.may_begin: Callable[[], bool] = _always_allowed
        self.after_client_input: Callable[[Callable[[], None]], None] = _call_now
        self.withdraw_wait: Callable[[], None] = _nothing_to_withdraw
        self.connection: AttemptConnection | None = None
        self.timer: Any = None
        self.sent_at = 0.0
        self.is_assigned = False
        self.ended = False

    def end(self, end: AttemptEnd) -> None:
        """Ends the attempt, unless it has ended."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.connection = None
        self.withdraw_wait()
        # Each of these refers to the attempt, and collections of reference cycles are rare.
        self.withdraw_wait = _nothing_to_withdraw
        self.after_client_input = _call_now
        self.done.callback(end)

    def give_up(self, cause: EndCause) -> None:
        """Ends the attempt because its answer is no longer wanted or its timeout has passed."""
        if self.connection is not None:
            self.connection.give_up(self, cause)
        elif not self.is_assigned:
            self.end(AttemptEnd(cause, AttemptStage.NOT_CONNECTED))

    def withdraw(self) -> None:
        """Ends the attempt if it was not written, as its answer is no longer wanted."""
        if self.connection is not None:
            self.connection.withdraw(self)
        elif not self.is_assigned:
            self.end(AttemptEnd(EndCause.CANCELLED, AttemptStage.NOT_CONNECTED))
