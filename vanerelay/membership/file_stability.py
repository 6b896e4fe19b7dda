"""When what is seen of a watched file may be believed: pure, with the tuned figures.

A file counts once it has been still, and its bytes once the same marks stood before and after they were read.
A writer known to have it open is waited for a little longer. Times are whole tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.interface import MILLISECOND, SECOND, Duration

GATHERED = 20 * MILLISECOND  # events of one write are gathered for so long before the files are looked at
# a thread that reads gives way to the loop as often: a pass may wait for several turns
TURNS_S = 0.0005
RENEWED = 60 * SECOND  # how often events are asked for again where they were not to be had


@dataclass(frozen=True, slots=True)
class Stillness:
    """`still`: how long a file must not have changed; `writer`: the same while a writer has it open, the
    longest that an unclosed file is waited for; `poll`: how often files are looked at without an event. A
    removal is in force within `poll` + the longer of the two + the time of reading, however many events were
    lost."""

    still: Duration = 150 * MILLISECOND
    writer: Duration = SECOND
    poll: Duration = SECOND // 2


@dataclass(frozen=True, slots=True)
class Mark:
    """What tells one state of a file from another: device, inode, size, times of change in nanoseconds."""

    device: int
    inode: int
    size: int
    changed_ns: int
    status_ns: int


class Settling:
    """One path."""

    def __init__(self, terms: Stillness) -> None:
        self._terms = terms
        self._mark: Mark | None = None
        self._since, self._written = 0, 0  # seen as it is now; last told of a writer
        self._open = self._done = False  # a writer has it open; what is there was read and told
        self.there = False

    def seen(self, now: int, mark: Mark | None) -> None:
        """The file as a look found it; None: not there."""
        self.there = mark is not None
        if mark != self._mark:
            self._mark, self._since, self._done = mark, now, False

    def writing(self, now: int) -> None:
        """A writer changed it; the mark tells whether anything came of that."""
        self._open, self._written = True, now

    def closed(self) -> None:
        """A writer has closed it, or another file took its name."""
        self._open = False

    def due(self) -> int | None:
        """When it has been still for long enough; None while there is nothing to read."""
        if self._mark is None or self._done:
            return None
        if self._open:
            return max(self._since, self._written) + self._terms.writer
        return self._since + self._terms.still

    def read(self, now: int, before: Mark, after: Mark | None) -> bool:
        """Whether bytes read between two marks are one state of the file, the one that was still."""
        self.seen(now, after)
        self._done = before == after == self._mark
        return self._done

    def again(self) -> None:
        """Reading failed: it is read again once it was still anew."""
        self._mark = None
