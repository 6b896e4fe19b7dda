"""The events of a rolling change, as the controller's record stores them (JSON).

The names of the fields and the words in them are those of the first release: a field that has another name in
Python says so.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Release(StrEnum):
    """What a gateway is to run. The values are stored, and named in the controller's output.

    While the releases differ in what the fleet shares, both run with the stricter value of each setting.
    """

    OLD = "old"
    OLD_STRICT = "old strict"
    NEW_STRICT = "new strict"
    NEW = "new"


NEW_RELEASES = frozenset({Release.NEW, Release.NEW_STRICT})


class EventKind(StrEnum):
    """What happened. The values are stored."""

    BEGUN = "begun"
    ORDERED = "ordered"
    """A gateway was ordered to run `target`; stored before the order is sent."""
    CONFIRMED = "confirmed"
    """A gateway runs what it was ordered."""
    FAILED = "failed"
    CONTROL = "control"
    """An old gateway was ordered to restart as it is, to compare with."""
    STAGE = "stage"
    """A stage began."""
    ASSESSED = "judged"
    """A stage passed."""
    PAUSED = "paused"
    RESUMED = "resumed"
    ROLLBACK = "back"
    """From now on all go back to the old release."""
    HELD = "held"
    """The change stands still until an operator resumes it."""
    ENDED = "ended"
    """The change has ended, with `target` as its outcome."""
    NOTE = "note"


class Outcome(StrEnum):
    """How a change ends. The values are stored and printed."""

    DONE = "done"
    ROLLED_BACK = "back"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event.

    Attributes:
        kind: of `EventKind`; a string, as records of other releases may have others.
        at: when, by the clock of the controller's process.
        gateway: that it is about.
        fence: of an order.
        order_number: of an order under its fence.
        target: the release of an order, the assessment of a stage, or the outcome of the change.
        stage: that it belongs to.
        reason: why, for people.
    """

    kind: str = msgspec.field(name="what")
    at: int
    gateway: str = msgspec.field(default="", name="manager")
    fence: int = 0
    order_number: int = msgspec.field(default=0, name="number")
    target: str = msgspec.field(default="", name="to")
    stage: int = 0
    reason: str = msgspec.field(default="", name="why")
