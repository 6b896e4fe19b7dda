"""Buffers of one size, used again from a pool, for what has come of a message that is not complete yet."""

from __future__ import annotations

BLOCK_BYTES = 16_384
"""The size of a block: the max_size result fits three, nearly every message one."""
MAX_LEADING_ZEROS = 8
"""Leading zeros, in effect, that a number may have."""


def parse_number(text: str, largest: int) -> int | None:
    """A whole number in digits, no larger than `largest`; None for all else.

    `int` itself takes digits of other scripts, and fails at thousands of them.
    """
    is_valid = text.isascii() and text.isdigit() and len(text) <= len(str(largest)) + MAX_LEADING_ZEROS
    return int(text) if is_valid and int(text) <= largest else None


class BufferPool:
    """Blocks that are not in use; past `max_idle` of them they go back to the system."""

    def __init__(self, max_idle: int = 64) -> None:
        self._max_idle = max_idle
        self._idle = list[bytearray]()
        self.in_use = 0

    def acquire(self) -> bytearray:
        """A block, whatever it holds."""
        self.in_use += 1
        return self._idle.pop() if self._idle else bytearray(BLOCK_BYTES)

    def release(self, block: bytearray) -> None:
        """Takes a block back."""
        self.in_use -= 1
        if len(self._idle) < self._max_idle:
            self._idle.append(block)


class ReceiveBuffer:
    """Bytes in the order fed. What stays over from one feed to the next stands in blocks of the pool."""

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._blocks = list[bytearray]()
        self._stored_start = self._stored_end = (
            0  # of what is held, counted from the first block's first byte
        )
        self._unstored, self._unstored_start = b"", 0  # what was fed last, and how much of it was read

    def __len__(self) -> int:
        return self._stored_end - self._stored_start + len(self._unstored) - self._unstored_start

    def feed(self, data: bytes) -> None:
        """Reading takes from `data` itself as long as nothing older is held: most messages come in one."""
        self.store_unread()
        self._unstored, self._unstored_start = data, 0

    def store_unread(self) -> None:
        """Copies what was not read into blocks; called when the bytes fed are gone through."""
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
        """The next bytes, still held; None while fewer are there."""
        if len(self) < size:
            return None
        if self._stored_start == self._stored_end:
            return bytes(self._unstored[self._unstored_start : self._unstored_start + size])
        parts, start, stop = [], self._stored_start, min(self._stored_end, self._stored_start + size)
        while start < stop:
            block, offset = divmod(start, BLOCK_BYTES)
            parts.append(bytes(self._blocks[block][offset : offset + stop - start]))
            start += len(parts[-1])
        missing = size - (stop - self._stored_start)
        parts.append(self._unstored[self._unstored_start : self._unstored_start + missing])
        return b"".join(parts)

    def skip(self, size: int) -> None:
        """Goes on behind the next bytes, of which there are so many."""
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
        """The next bytes; None, and nothing read, while fewer are there."""
        data = self.peek(size)
        if data is not None:
            self.skip(size)
        return data

    def read_line(self, max_size: int) -> bytes | None:
        """The next line without its end, if one ends within `max_size` bytes; None while none does."""
        head = self.peek(min(max_size, len(self))) or b""
        end = head.find(b"\r\n")
        if end < 0:
            return None
        self.skip(end + 2)
        return head[:end]

    def clear(self) -> None:
        """Gives up all that is held."""
        while self._blocks:
            self._pool.release(self._blocks.pop())
        self._stored_start = self._stored_end = 0
        self._unstored, self._unstored_start = b"", 0
