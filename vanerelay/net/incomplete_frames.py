"""The memory of requests of which only a part has arrived, over all client connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from vanerelay.net.memory_budget import MemoryBudget, MemoryUse

SMALL_FRAME_BYTES = 16_384
"""Frames up to this size may use the part of the budget that large ones leave."""
STALL_S = 0.25
"""The time without progress after which a frame is discarded if another one needs its memory."""


class IncompleteFrame(Protocol):
    """A reader that holds a part of a frame."""

    def discard_partial(self) -> None:
        """Discards the part of the frame that has arrived, and later the rest of it."""


@dataclass(slots=True)
class FrameReservation:
    """The memory that is reserved for a frame, in bytes, and when a part of it last arrived."""

    size: int
    progressed_at: float


class IncompleteFrames:
    """Reserves memory for whole frames before it is known whether the rest of them ever arrives.

    Clients may stop in the middle of a request, by the hundred. A frame without progress loses its memory
    if another frame needs it; a frame that finds no memory is discarded as it arrives, and then rejected.
    """

    def __init__(self, budget: MemoryBudget, seconds: Callable[[], float]) -> None:
        """`seconds` returns the time of the event loop."""
        self._budget = budget
        self._seconds = seconds
        # The frame without progress for longest comes first.
        self._frames: OrderedDict[IncompleteFrame, FrameReservation] = OrderedDict()

    def keep(self, reader: IncompleteFrame, size: int) -> bool:
        """Reserves memory for the rest of a frame of `size` bytes, or records its progress.

        Returns:
            False if there is no memory for it.
        """
        reservation = self._frames.get(reader)
        if reservation is not None:
            reservation.progressed_at = self._seconds()
            self._frames.move_to_end(reader)
            return True
        use = MemoryUse.FRAME if size <= SMALL_FRAME_BYTES else MemoryUse.LARGE_FRAME
        while not self._budget.reserve(use, size):
            if not self._discard_stalled():
                return False
        self._frames[reader] = FrameReservation(size, self._seconds())
        return True

    def release(self, reader: IncompleteFrame) -> None:
        """Returns the memory of a frame that is complete or was discarded, if any was reserved."""
        reservation = self._frames.pop(reader, None)
        if reservation is not None:
            self._budget.release(reservation.size)

    def _discard_stalled(self) -> bool:
        """Discards the frame without progress for longest. Returns False if all have made progress."""
        if not self._frames:
            return False
        reader, reservation = next(iter(self._frames.items()))
        if self._seconds() - reservation.progressed_at < STALL_S:
            return False
        reader.discard_partial()
        return True
