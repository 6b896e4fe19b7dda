"""Fencing: when a lease holder may act, and which operations a receiver refuses. Pure.

A lease alone does not hold back the last packet of a frozen process. Each operation therefore carries its
task, its fencing token and a serial, and a receiver that can refuse does so. For receivers that can't, a
holder that follows one which did not give the lease back first waits as long as an operation may still be on
its way (`LeaseTerms.takeover_delay`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from vanerelay.leases.claim import Claim
from vanerelay.leases.voter import LeaseTerms

MAX_IN_FLIGHT = 64
"""Operations of one task that are in flight at once: a bound on memory, far above what any task needs."""

MAX_FENCED_TASKS = 1000
"""Tasks whose tokens a receiver remembers: a bound on memory, above `voter.MAX_TASKS`."""


@dataclass(frozen=True, slots=True)
class LeasedOperation:
    """What is sent along with an operation that is done under a lease.

    `expires_at`, by the holder's own clock, is when nobody may count on the operation any more.
    """

    task: str
    token: int
    serial: int
    holder: str
    expires_at: int


@dataclass(slots=True)
class LeaseHolder:
    """One task's lease as this gateway may hold it.

    Attributes:
        task: the task's name.
        holder: this process, as receivers know it.
        token: the fencing token of the holding; that of the last one where nothing is held.
        acts_from: when operations may begin.
        expires_at: when the lease ends; 0 where it is not held.
        is_releasing: nothing further begins, as the lease is being given back.
        in_flight: serials of the operations that have not ended.
    """

    task: str
    holder: str
    token: int = 0
    acts_from: int = 0
    expires_at: int = 0
    is_releasing: bool = False
    in_flight: set[int] = field(default_factory=set)
    _serial: int = 0

    def update(self, now: int, claim: Claim, terms: LeaseTerms) -> bool:
        """Follows what became of the claim; whether a new holding, with a new token, has begun."""
        if not claim.is_held(now):
            self.expires_at = 0
            return False
        is_new = claim.grant.token != self.token
        if is_new:
            self.token, self.is_releasing, self._serial = claim.grant.token, False, 0
            self.in_flight.clear()
            self.acts_from = now if claim.was_released else now + terms.takeover_delay
        self.expires_at = claim.expires_at
        return is_new

    def may_act(self, now: int) -> bool:
        """Whether the lease is held and operations may begin."""
        return not self.is_releasing and self.acts_from <= now < self.expires_at

    def begin(self, now: int, max_duration: int) -> LeasedOperation | None:
        """Begins an operation; None where it may not begin, as it might end after the lease."""
        if not self.may_act(now) or now + max_duration >= self.expires_at:
            return None
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return None
        self._serial += 1
        self.in_flight.add(self._serial)
        return LeasedOperation(self.task, self.token, self._serial, self.holder, self.expires_at)

    def end(self, operation: LeasedOperation) -> None:
        """An operation has ended, whatever came of it."""
        if operation.token == self.token:
            self.in_flight.discard(operation.serial)

    def start_release(self) -> None:
        """Nothing further begins; the lease may be given back once all has ended (`may_release`)."""
        self.is_releasing = True

    @property
    def may_release(self) -> bool:
        """Whether the lease is being given back and nothing is in flight any more."""
        return self.is_releasing and not self.in_flight


@dataclass(frozen=True, slots=True)
class AcceptedOperation:
    """The last operation of a task that a receiver accepted."""

    token: int
    holder: str
    serial: int


class FencingGate:
    """A receiver's side: refuses operations of a holder that has a successor, late ones and repeated ones."""

    def __init__(self) -> None:
        self._accepted = dict[str, AcceptedOperation]()  # by task

    def refusal(self, task: str, token: int, serial: int, holder: str) -> str | None:
        """Why an operation is refused.

        None where it is not: then `accept` is to be called before the operation is done.
        """
        known = self._accepted.get(task)
        if known is None:
            full = len(self._accepted) >= MAX_FENCED_TASKS
            return "too many tasks are known" if full else None
        if token < known.token:
            return f"number {token} of {task}, expected {known.token} or higher: another has taken over"
        if token == known.token and holder != known.holder:
            return f"number {token} of {task} is {known.holder}'s"
        if token == known.token and serial <= known.serial:
            return f"deed {serial} of {task} comes late, {known.serial} was taken"
        return None

    def accept(self, task: str, token: int, serial: int, holder: str) -> None:
        """Remembers an operation that was not refused."""
        self._accepted[task] = AcceptedOperation(token, holder, serial)

    def learn(self, task: str, token: int, holder: str) -> None:
        """A token is known to be held, though no operation came under it: lower ones are refused from now."""
        known = self._accepted.get(task)
        has_space = len(self._accepted) < MAX_FENCED_TASKS
        if known is None and has_space or known is not None and known.token < token:
            self._accepted[task] = AcceptedOperation(token, holder, 0)

    def highest_token(self, task: str) -> int:
        """The highest token that was accepted for a task; 0 where none was."""
        known = self._accepted.get(task)
        return known.token if known is not None else 0
