"""Buffers of one size, used again from a pool, for what has come of a message that is not complete yet."""

from __future__ import annotations

BLOCK = 16_384
"""The size of a block: the longest result fits three, nearly every message one."""
DIGITS_PAST_LIMIT = 8
"""Leading zeros, in effect, that a number may have."""


def number(text: str, largest: int) -> int | None:
    """A whole number in digits, no larger than `largest`; None for all else.

    `int` itself takes digits of other scripts, and fails at thousands of them.
    """
    plain = text.isascii() and text.isdigit() and len(text) <= len(str(largest)) + DIGITS_PAST_LIMIT
    return int(text) if plain and int(text) <= largest else None


class Pool:
    """Blocks that are not in use; past `max_idle` of them they go back to the system."""

    def __init__(self, max_idle: int = 64) -> None:
        self._max_idle = max_idle
        self._idle = list[bytearray]()
        self.taken = 0

    def take(self) -> bytearray:
        """A block, whatever it holds."""
        self.taken += 1
        return self._idle.pop() if self._idle else bytearray(BLOCK)

    def give(self, block: bytearray) -> None:
        """Takes a block back."""
        self.taken -= 1
        if len(self._idle) < self._max_idle:
            self._idle.append(block)


class Gather:
    """Bytes in the order fed. What stays over from one feed to the next stands in blocks of the pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._blocks = list[bytearray]()
        self._start = self._end = 0  # of what is held, counted from the first block's first byte
        self._fresh, self._at = b"", 0  # what was fed last, and how much of it was read

    def __len__(self) -> int:
        return self._end - self._start + len(self._fresh) - self._at

    def feed(self, data: bytes) -> None:
        """Reading takes from `data` itself as long as nothing older is held: most messages come in one."""
        self.keep()
        self._fresh, self._at = data, 0

    def keep(self) -> None:
        """Copies what was not read into blocks; called when the bytes fed are gone through."""
        rest = memoryview(self._fresh)[self._at :]
        while rest:
            place = self._end % BLOCK
            if self._end == len(self._blocks) * BLOCK:
                self._blocks.append(self._pool.take())
            part = rest[: BLOCK - place]
            self._blocks[-1][place : place + len(part)] = part
            self._end, rest = self._end + len(part), rest[len(part) :]
        self._fresh, self._at = b"", 0

    def peek(self, size: int) -> bytes | None:
        """The next bytes, still held; None while fewer are there."""
        if len(self) < size:
            return None
        if self._start == self._end:
            return bytes(self._fresh[self._at : self._at + size])
        parts, start, stop = [], self._start, min(self._end, self._start + size)
        while start < stop:
            block, place = divmod(start, BLOCK)
            parts.append(bytes(self._blocks[block][place : place + stop - start]))
            start += len(parts[-1])
        missing = size - (stop - self._start)
        parts.append(self._fresh[self._at : self._at + missing])
        return b"".join(parts)

    def skip(self, size: int) -> None:
        """Goes on behind the next bytes, of which there are so many."""
        held = min(size, self._end - self._start)
        self._start += held
        self._at += size - held
        while self._blocks and (self._start >= BLOCK or self._start == self._end):
            self._pool.give(self._blocks.pop(0))
            self._start, self._end = max(0, self._start - BLOCK), max(0, self._end - BLOCK)
            if not self._blocks:
                self._start = self._end = 0

    def read(self, size: int) -> bytes | None:
        """The next bytes; None, and nothing read, while fewer are there."""
        data = self.peek(size)
        if data is not None:
            self.skip(size)
        return data

    def line(self, longest: int) -> bytes | None:
        """The next line without its end, if one ends within `longest` bytes; None while none does."""
        head = self.peek(min(longest, len(self))) or b""
        end = head.find(b"\r\n")
        if end < 0:
            return None
        self.skip(end + 2)
        return head[:end]

    def drop(self) -> None:
        """Gives up all that is held."""
        while self._blocks:
            self._pool.give(self._blocks.pop())
        self._start = self._end = 0
        self._fresh, self._at = b"", 0
