"""The events of a rolling change, as the controller's record stores them (JSON).

The stored field names and values are those of the first release. Fields that are named differently in Python
give the stored name with `name=`.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Release(StrEnum):
    """The release that a gateway is to run. The values are stored and printed by the controller.

    The strict variants are for changes of settings that the fleet shares: while some gateways run the old
    release and some the new one, both run with the stricter value of each shared setting.
    """

    OLD = "old"
    OLD_STRICT = "old strict"
    NEW_STRICT = "new strict"
    NEW = "new"


NEW_RELEASES = frozenset({Release.NEW, Release.NEW_STRICT})


class EventKind(StrEnum):
    """The kind of an event. The values are stored."""

    BEGUN = "begun"
    ORDERED = "ordered"
    """A gateway is ordered to run `target`. The event is stored before the order is sent."""
    CONFIRMED = "confirmed"
    """A gateway reports that it runs the release it was ordered to run."""
    FAILED = "failed"
    CONTROL = "control"
    """A gateway on the old release is ordered to restart on it, as a control for the comparison."""
    STAGE = "stage"
    """A stage begins."""
    ASSESSED = "judged"
    """A stage passes its assessment."""
    PAUSED = "paused"
    RESUMED = "resumed"
    ROLLBACK = "back"
    """A rollback begins: all gateways return to the old release."""
    HELD = "held"
    """The change is held until an operator resumes it or rolls it back."""
    ENDED = "ended"
    """The change has ended with the outcome in `target`."""
    NOTE = "note"


class Outcome(StrEnum):
    """The outcome of a change. The values are stored and printed."""

    DONE = "done"
    ROLLED_BACK = "back"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event of a change.

    Attributes:
        kind: A value of `EventKind`. It is a string because other releases may have stored other kinds.
        at: The time of the event, by the clock of the controller's process.
        gateway: The name of the gateway concerned; empty if the event concerns the whole change.
        fence: The fence under which an order is given; 0 for other events.
        order_number: The number of an order under its fence; 0 for other events.
        target: The release of an order, the assessment of a stage, or the outcome of the change.
        stage: The index of the stage concerned.
        reason: The reason, in text for operators.
    """

    kind: str = msgspec.field(name="what")
    at: int
    gateway: str = msgspec.field(default="", name="manager")
    fence: int = 0
    order_number: int = msgspec.field(default=0, name="number")
    target: str = msgspec.field(default="", name="to")
    stage: int = 0
    reason: str = msgspec.field(default="", name="why")
