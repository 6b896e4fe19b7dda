"""When the content of a watched file is stable: pure, with the tuned values.

A file counts once it has not changed for a while, and its bytes once the same signature was found before and
after they were read. A file that a writer is known to have open is waited for a little longer. Times are
whole tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.interface import MILLISECOND, SECOND, Duration

EVENT_BATCH_DELAY = 20 * MILLISECOND
"""For so long the events of one write are gathered before the files are scanned."""

THREAD_SWITCH_INTERVAL_S = 0.0005
"""How often a thread that reads gives way to the event loop, which may wait for several such turns."""

WATCH_RETRY_INTERVAL = 60 * SECOND
"""How often file system events are asked for again where they were not to be had."""


@dataclass(frozen=True, slots=True)
class StabilityConfig:
    """When files are scanned and read.

    A removal is in force within `poll_interval` + the longer of the other two + the time of reading, however
    many events were lost.

    Attributes:
        quiet_period: How long a file must not have changed.
        writer_quiet_period: The same while a writer has it open: the longest wait for an unclosed file.
        poll_interval: How often files are scanned without an event.
    """

    quiet_period: Duration = config_field("still", default=150 * MILLISECOND)
    writer_quiet_period: Duration = config_field("writer", default=SECOND)
    poll_interval: Duration = config_field("poll", default=SECOND // 2)


@dataclass(frozen=True, slots=True)
class FileSignature:
    """What tells one state of a file from another; both times in nanoseconds."""

    device: int
    inode: int
    size: int
    modified_ns: int
    status_changed_ns: int


class StabilityTracker:
    """Follows one path until its content may be read and believed."""

    def __init__(self, config: StabilityConfig) -> None:
        self._config = config
        self._signature: FileSignature | None = None
        self._unchanged_since, self._written_at = 0, 0
        self._writer_open = False
        self._read = False  # the present content was read completely
        self.exists = False

    def observed(self, now: int, signature: FileSignature | None) -> None:
        """The file as a scan found it; None where there is none."""
        self.exists = signature is not None
        if signature != self._signature:
            self._signature, self._unchanged_since, self._read = signature, now, False

    def writer_active(self, now: int) -> None:
        """A writer changed the file; the signature tells whether anything came of that."""
        self._writer_open, self._written_at = True, now

    def writer_closed(self) -> None:
        """A writer has closed the file, or another file took its name."""
        self._writer_open = False

    def stable_at(self) -> int | None:
        """When the file may be read; None while there is nothing to read."""
        if self._signature is None or self._read:
            return None
        if self._writer_open:
            return max(self._unchanged_since, self._written_at) + self._config.writer_quiet_period
        return self._unchanged_since + self._config.quiet_period

    def read_completed(self, now: int, before: FileSignature, after: FileSignature | None) -> bool:
        """Whether bytes read between two signatures are one state of the file, the one that was stable."""
        self.observed(now, after)
        self._read = before == after == self._signature
        return self._read

    def read_failed(self) -> None:
        """The file is read again once it is stable anew."""
        self._signature = None
