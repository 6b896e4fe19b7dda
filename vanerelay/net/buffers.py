"""Receive buffers in blocks of a fixed size, which are reused from a pool."""

from __future__ import annotations

BLOCK_BYTES = 2_048
"""The size of a block: hundreds of connections may each hold a part of a short message."""
MAX_LEADING_ZEROS = 8
"""The number of digits that a number may have beyond those of its largest permitted value."""


def parse_number(text: str, largest: int) -> int | None:
    """Returns the whole number in `text`, or None if `text` is not one or exceeds `largest`.

    `int` alone would accept digits of other scripts, and fails at thousands of digits.
    """
    is_valid = text.isascii() and text.isdigit() and len(text) <= len(str(largest)) + MAX_LEADING_ZEROS
    return int(text) if is_valid and int(text) <= largest else None


class BufferPool:
    """Unused blocks, of which at most `max_idle` are kept.

    Attributes:
        in_use: The number of blocks that are in use.
    """

    def __init__(self, max_idle: int = 128) -> None:
        self._max_idle = max_idle
        self._idle = list[bytearray]()
        self.in_use = 0

    def acquire(self) -> bytearray:
        """Returns a block with arbitrary content."""
        self.in_use += 1
        return self._idle.pop() if self._idle else bytearray(BLOCK_BYTES)

    def release(self, block: bytearray) -> None:
        """Takes a block back into the pool."""
        self.in_use -= 1
        if len(self._idle) < self._max_idle:
            self._idle.append(block)


class ReceiveBuffer:
    """Received bytes that have not been read, in the order fed.

    The bytes of the last feed are read from the object that was fed. Those that are left before the next feed
    are stored in blocks of the pool.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._blocks = list[bytearray]()
        self._stored_start = self._stored_end = 0  # offsets from the first byte of the first block
        self._unstored, self._unstored_start = b"", 0  # the last feed, and how much of it has been read

    def __len__(self) -> int:
        return self._stored_end - self._stored_start + len(self._unstored) - self._unstored_start

    def feed(self, data: bytes) -> None:
        """Adds received bytes.

        They are read directly from `data` while nothing older is stored, as most messages arrive in one
        piece.
        """
        self.store_unread()
        self._unstored, self._unstored_start = data, 0

    def store_unread(self) -> None:
        """Copies the unread bytes of the last feed into blocks, once all complete messages in it are read."""
        rest = memoryview(self._unstored)[self._unstored_start :]
        while rest:
            offset = self._stored_end % BLOCK_BYTES
            if self._stored_end == len(self._blocks) * BLOCK_BYTES:
                self._blocks.append(self._pool.acquire())
            part = rest[: BLOCK_BYTES - offset]
            self._blocks[-1][offset : offset + len(part)] = part
            self._stored_end, rest = self._stored_end + len(part), rest[len(part) :]
        self._unstored, self._unstored_start = b"", 0

    def peek(self, size: int) -> bytes | None:
        """Returns the next `size` bytes without consuming them, or None if fewer are available."""
        if len(self) < size:
            return None
        if self._stored_start == self._stored_end:
            return bytes(self._unstored[self._unstored_start : self._unstored_start + size])
        parts = list[memoryview]()
        start, stop = self._stored_start, min(self._stored_end, self._stored_start + size)
        while start < stop:
            block, offset = divmod(start, BLOCK_BYTES)
            parts.append(memoryview(self._blocks[block])[offset : offset + stop - start])
            start += len(parts[-1])
        missing = size - (stop - self._stored_start)
        parts.append(memoryview(self._unstored)[self._unstored_start : self._unstored_start + missing])
        return b"".join(parts)

    def skip(self, size: int) -> None:
        """Consumes the next `size` bytes, which must be available."""
        held = min(size, self._stored_end - self._stored_start)
        self._stored_start += held
        self._unstored_start += size - held
        while self._blocks and (self._stored_start >= BLOCK_BYTES or self._stored_start == self._stored_end):
            self._pool.release(self._blocks.pop(0))
            self._stored_start, self._stored_end = (
                max(0, self._stored_start - BLOCK_BYTES),
                max(0, self._stored_end - BLOCK_BYTES),
            )
            if not self._blocks:
                self._stored_start = self._stored_end = 0

    def read(self, size: int) -> bytes | None:
        """Consumes and returns the next `size` bytes. Returns None, and consumes none, if fewer are there."""
        data = self.peek(size)
        if data is not None:
            self.skip(size)
        return data

    def read_line(self, max_size: int) -> bytes | None:
        """Consumes the next line and returns it without its line end.

        Returns None if no line ends within `max_size` bytes.
        """
        if self._stored_start == self._stored_end:  # nothing is copied but the line
            start = self._unstored_start
            end = self._unstored.find(b"\r\n", start, start + max_size)
            size = end - start
        else:
            end = size = (self.peek(min(max_size, len(self))) or b"").find(b"\r\n")
        if end < 0:
            return None
        line = self.peek(size)
        self.skip(size + 2)
        return line

    def clear(self) -> None:
        """Discards all bytes and releases the blocks."""
        while self._blocks:
            self._pool.release(self._blocks.pop())
        self._stored_start = self._stored_end = 0
        self._unstored, self._unstored_start = b"", 0
