"""Messages between planners and gateways. Codec.

The names of fields on the wire are those of the first release, set down in `msgspec.field`.
"""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.warming.popularity import PopularitySlice

POPULARITY_KIND = "warm-told"
PREFETCH_KIND = "warm-do"

__all__ = ["MAX_MESSAGE_BYTES", "encode", "decode"]


class PopularityRequest(msgspec.Struct, frozen=True):
    """Asks what was read, from a slice on."""

    from_slice: int = msgspec.field(default=0, name="since")


class SliceMessage(msgspec.Struct, frozen=True):
    """One slice, as `PopularitySlice`."""

    number: int
    age: int
    reads: bytes
    work: bytes
    loads: list[int]


class PopularityReply(msgspec.Struct, frozen=True):
    """What was read.

    Attributes:
        current_slice: The number of the slice that goes on.
        prefetches: Table group, engine and work of prefetches that ended since they were last asked for.
    """

    slices: list[SliceMessage]
    current_slice: int = msgspec.field(name="next")
    prefetches: list[tuple[int, str, int]] = msgspec.field(default_factory=list, name="read")


class PrefetchRequest(msgspec.Struct, frozen=True):
    """Orders prefetches under a lease.

    Attributes:
        token: The fencing token of the planner's lease.
        valid_for: How long the order stands from now.
        prefetches: Table groups, and the engines that are to read them.
    """

    task: str
    token: int = msgspec.field(name="number")
    serial: int
    holder: str
    valid_for: int = msgspec.field(name="lasts")
    prefetches: list[tuple[int, str]] = msgspec.field(name="orders")


class PrefetchReply(msgspec.Struct, frozen=True):
    """How many prefetches were accepted; where none was, the token of a planner that has taken over."""

    accepted: int = msgspec.field(default=0, name="taken")
    newer_token: int = msgspec.field(default=0, name="later")


def slice_messages(slices: list[PopularitySlice]) -> list[SliceMessage]:
    """The messages that carry slices."""
    return [SliceMessage(one.number, one.age, one.reads, one.work, list(one.loads)) for one in slices]


def popularity_slice(message: SliceMessage) -> PopularitySlice:
    """The slice that a message carries."""
    return PopularitySlice(message.number, message.age, message.reads, message.work, tuple(message.loads))
