"""May I act now, until when, under which number; and what a receiver makes of a deed. Pure.

A lease alone does not hold back a frozen process's last packet: each deed names its task, number and serial,
and a receiver that can refuse does. For those that can't, who takes over from one that did not give the lease
back first waits as long as a deed may still be on its way (`linger`)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from vanerelay.leases.voter import Claim, LeaseTerms

MOST_DEEDS = 64  # of one task that are out at once
MOST_GATES = 1000  # tasks whose numbers a receiver remembers


@dataclass(frozen=True, slots=True)
class LeasedOperation:
    """What goes with whatever is done. `until`: by our own clock, when nobody may count on it any more."""

    task: str
    number: int
    serial: int
    holder: str
    until: int


@dataclass(slots=True)
class LeaseHolder:
    """One task that may be ours."""

    task: str
    holder: str
    number: int = 0
    acts_from: int = 0
    until: int = 0
    leaving: bool = False
    out: set[int] = field(default_factory=set)  # deeds that have not ended
    _serial: int = 0

    def settle(self, now: int, claim: Claim, terms: LeaseTerms) -> bool:
        """What became of the claim; whether a new number is ours."""
        if not claim.holds(now):
            self.until = 0
            return False
        new = claim.grant.number != self.number
        if new:
            self.number, self.leaving, self._serial = claim.grant.number, False, 0
            self.out.clear()
            self.acts_from = now if claim.free else now + terms.linger
        self.until = claim.until
        return new

    def may(self, now: int) -> bool:
        return not self.leaving and self.acts_from <= now < self.until

    def begin(self, now: int, bound: int) -> LeasedOperation | None:
        """A deed that takes `bound` at most; None where it may not begin, as it might end after our term."""
        if not self.may(now) or now + bound >= self.until or len(self.out) >= MOST_DEEDS:
            return None
        self._serial += 1
        self.out.add(self._serial)
        return LeasedOperation(self.task, self.number, self._serial, self.holder, self.until)

    def end(self, deed: LeasedOperation) -> None:
        if deed.number == self.number:
            self.out.discard(deed.serial)

    def leave(self) -> None:
        """Nothing further begins; `free` once all has ended."""
        self.leaving = True

    @property
    def free(self) -> bool:
        return self.leaving and not self.out


@dataclass(frozen=True, slots=True)
class Passed:
    """The last deed of one task that a receiver took."""

    number: int
    holder: str
    serial: int


class FencingGate:
    """A receiver's part: deeds of a holder that was followed, and late or doubled ones, are refused."""

    def __init__(self, kept: Mapping[str, Passed] | None = None) -> None:
        self._passed: OrderedDict[str, Passed] = OrderedDict(kept or {})

    def refuses(self, task: str, number: int, serial: int, holder: str) -> str | None:
        """Why a deed is not taken; None if it is. What follows is to be kept before the deed is done."""
        known = self._passed.get(task)
        if known is None:
            full = len(self._passed) >= MOST_GATES
            return "too many tasks are known" if full else None
        if number < known.number:
            return f"number {number} of {task}, expected {known.number} or higher: another has taken over"
        if number == known.number and holder != known.holder:
            return f"number {number} of {task} is {known.holder}'s"
        if number == known.number and serial <= known.serial:
            return f"deed {serial} of {task} comes late, {known.serial} was taken"
        return None

    def takes(self, task: str, number: int, serial: int, holder: str) -> None:
        self._passed[task] = Passed(number, holder, serial)

    def learn(self, task: str, number: int, holder: str) -> None:
        """That a number is held, heard otherwise than by a deed: those before are refused from now on."""
        known = self._passed.get(task)
        room = len(self._passed) < MOST_GATES
        if known is None and room or known is not None and known.number < number:
            self._passed[task] = Passed(number, holder, 0)

    def number(self, task: str) -> int:
        known = self._passed.get(task)
        return known.number if known is not None else 0

    @property
    def passed(self) -> Mapping[str, Passed]:
        return self._passed
