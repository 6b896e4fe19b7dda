"""Fencing: when a lease holder may act, and which operations a receiver refuses. Pure.

A lease alone does not stop the last packet of a process that was frozen after it checked its lease. Each
operation therefore carries its task, its fencing token and a serial number, by which a receiver can refuse
it. For receivers that can't refuse, a holder whose predecessor did not release the lease waits as long as an
operation may still be on its way (`LeaseTerms.takeover_delay`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from vanerelay.leases.claim import Claim
from vanerelay.leases.voter import LeaseTerms

MAX_IN_FLIGHT = 64
"""Limit of operations of one task in flight at once: it bounds memory, and is far above any task's need."""

MAX_FENCED_TASKS = 1000
"""Limit of tasks whose tokens a receiver stores: it bounds memory, and is above `voter.MAX_TASKS`."""


@dataclass(frozen=True, slots=True)
class LeasedOperation:
    """An operation under a lease, with the fields that are sent along with it.

    Attributes:
        task: the task's name.
        token: the fencing token of the lease.
        serial: the operation's number under this token, rising from 1.
        holder: the process that performs it, as in `LeaseHolder.process_name`.
        expires_at: when the lease expires, by the holder's clock; the operation must have ended by then.
    """

    task: str
    token: int
    serial: int
    holder: str
    expires_at: int


@dataclass(slots=True)
class LeaseHolder:
    """This gateway's use of one task's lease, while it holds the lease.

    Attributes:
        task: the task's name.
        process_name: name of this process in operations, unique among all processes.
        token: fencing token of the lease; the last one that was held where the lease is not held.
        acts_from: when operations may begin.
        expires_at: when the lease expires; 0 where it is not held.
        is_releasing: the lease is being released, so that no further operation may begin.
        in_flight: serials of the operations that have not ended.
    """

    task: str
    process_name: str
    token: int = 0
    acts_from: int = 0
    expires_at: int = 0
    is_releasing: bool = False
    in_flight: set[int] = field(default_factory=set)
    _serial: int = 0

    def update(self, now: int, claim: Claim, terms: LeaseTerms) -> bool:
        """Updates the holder from its claim; returns True if it now holds the lease under a new token."""
        if not claim.is_held(now):
            self.expires_at = 0
            return False
        is_new = claim.grant.token != self.token
        if is_new:
            self.token, self.is_releasing, self._serial = claim.grant.token, False, 0
            self.in_flight.clear()
            self.acts_from = now if claim.predecessor_released else now + terms.takeover_delay
        self.expires_at = claim.expires_at
        return is_new

    def may_act(self, now: int) -> bool:
        """Returns True if the lease is held and operations may begin."""
        return not self.is_releasing and self.acts_from <= now < self.expires_at

    def begin(self, now: int, max_duration: int) -> LeasedOperation | None:
        """Begins an operation of at most `max_duration`.

        Returns None where it may not begin: the lease does not allow operations now, the operation might end
        after the lease, or too many are in flight.
        """
        if not self.may_act(now) or now + max_duration >= self.expires_at:
            return None
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return None
        self._serial += 1
        self.in_flight.add(self._serial)
        return LeasedOperation(self.task, self.token, self._serial, self.process_name, self.expires_at)

    def end(self, operation: LeasedOperation) -> None:
        """Records that an operation has ended, with whichever result."""
        if operation.token == self.token:
            self.in_flight.discard(operation.serial)

    def start_release(self) -> None:
        """Stops new operations; the lease may be released once all in flight have ended (`may_release`)."""
        self.is_releasing = True

    @property
    def may_release(self) -> bool:
        """True if the lease is being released and no operation is in flight any more."""
        return self.is_releasing and not self.in_flight


@dataclass(frozen=True, slots=True)
class AcceptedOperation:
    """The last operation of a task that a receiver accepted."""

    token: int
    holder: str
    serial: int


class FencingGate:
    """Receiver's side of fencing: refuses operations with outdated tokens and serials that do not rise."""

    def __init__(self) -> None:
        self._accepted = dict[str, AcceptedOperation]()  # by task

    def refusal(self, task: str, token: int, serial: int, holder: str) -> str | None:
        """Returns the reason why an operation is refused, None where it is allowed.

        The caller passes an allowed operation to `accept` before performing it.
        """
        known = self._accepted.get(task)
        if known is None:
            is_full = len(self._accepted) >= MAX_FENCED_TASKS
            return "too many tasks are known" if is_full else None
        if token < known.token:
            return f"number {token} of {task}, expected {known.token} or higher: another has taken over"
        if token == known.token and holder != known.holder:
            return f"number {token} of {task} is {known.holder}'s"
        if token == known.token and serial <= known.serial:
            return f"deed {serial} of {task} comes late, {known.serial} was taken"
        return None

    def accept(self, task: str, token: int, serial: int, holder: str) -> None:
        """Stores an operation that was not refused as its task's last one."""
        self._accepted[task] = AcceptedOperation(token, holder, serial)

    def learn(self, task: str, token: int, holder: str) -> None:
        """Refuses tokens below `token` from now on, as `holder` is known to hold it."""
        known = self._accepted.get(task)
        has_space = len(self._accepted) < MAX_FENCED_TASKS
        if known is None and has_space or known is not None and known.token < token:
            self._accepted[task] = AcceptedOperation(token, holder, 0)

    def highest_token(self, task: str) -> int:
        """Returns the highest known token of a task; 0 where none is known."""
        known = self._accepted.get(task)
        return known.token if known is not None else 0
