"""The protocol of engines on one connection, without the connection: RESP arrays in, ends of attempts out."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.interface import ProgressKind
from vanerelay.net.buffers import BufferPool, ReceiveBuffer, parse_number

MAX_RESULT_BYTES, MAX_PAGE_BYTES = 48_000, 6_000
_MAX_LINE_BYTES = 32
"""No line of a header is longer."""
_ANSWER_PARTS = 4
_MAX_BULK_BYTES = 65_536
"""Well past a page with its fields: what is longer is no answer."""
_ROWS = re.compile(rb"(?:[^\x00-\x0c\x0e-\x1f]*\t[^\x00-\x0c\x0e-\x1f]*\t[^\x00-\x0c\x0e-\x1f]*\n)*")

PROGRESS_KINDS = {
    "frac": ProgressKind.PROGRESS,
    "missing": ProgressKind.SPILL,
    "parked": ProgressKind.WAITING,
}
"""The kinds of progress by their names on the wire. Not every deployment has them."""
END_CAUSES = {b"BUSY": EndCause.BUSY, b"ERR": EndCause.ERROR, b"VOID": EndCause.VOID}
"""What ends an attempt without rows, by its name on the wire."""
BAD_PAGE = "a page that is none"


class _NotRespError(Exception):
    """What came is not RESP; it stays within this module."""


class BulkReader:
    """Fed bytes in any pieces, gives arrays of bulk strings; None once what came is not readable."""

    def __init__(self, pool: BufferPool) -> None:
        self._held = ReceiveBuffer(pool)
        self._parts_expected = 0  # of the array that is being read; 0 between two
        self._parts = list[bytes]()
        self._size = -1  # of the bulk string that is being read; -1 before its header has come
        self.broken = False
        self.arrays_read = 0

    @property
    def partial(self) -> bool:
        """Whether what came last is not complete."""
        return not self.broken and (self._parts_expected > 0 or len(self._held) > 0)

    def feed(self, data: bytes) -> Iterator[list[bytes] | None]:
        """Reads on; gives each array that is complete now."""
        if self.broken:
            return
        self._held.feed(data)
        try:
            while not self.broken and self._step():
                if len(self._parts) == self._parts_expected:
                    parts, self._parts, self._parts_expected = self._parts, [], 0
                    self.arrays_read += 1
                    yield parts
        except _NotRespError:
            self.drop()
            yield None
        self._held.store_unread()

    def drop(self) -> None:
        """Reads nothing more."""
        self.broken = True
        self._held.clear()

    def _step(self) -> bool:
        """Reads the next header or string; whether there was one."""
        if self._parts_expected == 0:
            count = self._header(b"*", _ANSWER_PARTS)
            if count not in (None, _ANSWER_PARTS):
                raise _NotRespError
            self._parts_expected = count or 0
            return count is not None
        if self._size < 0:
            size = self._header(b"$", _MAX_BULK_BYTES)
            self._size = -1 if size is None else size
            return size is not None
        bulk = self._held.read(self._size + 2)
        if bulk is None:
            return False
        if bulk[-2:] != b"\r\n":
            raise _NotRespError
        self._parts.append(bulk[:-2])
        self._size = -1
        return True

    def _header(self, sign: bytes, largest: int) -> int | None:
        line = self._held.read_line(_MAX_LINE_BYTES)
        if line is None:
            # Noise without an end of line is known by its first bytes: nobody has to wait for the rest.
            start = self._held.peek(min(len(self._held), _MAX_LINE_BYTES)) or sign
            digits = start[1:].removesuffix(b"\r")
            if len(start) >= _MAX_LINE_BYTES or start[:1] != sign or digits and not digits.isdigit():
                raise _NotRespError
            return None
        count = parse_number(line[1:].decode("latin-1"), largest)
        if line[:1] != sign or count is None:
            raise _NotRespError
        return count


def command(*parts: bytes) -> bytes:
    """An array of bulk strings."""
    strings = [b"*%d\r\n" % len(parts)]
    strings.extend(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"".join(strings)


def fields(text: bytes) -> dict[str, str] | None:
    """The named values in an answer; None where the text is no list of them."""
    if text == b"-" or not text:
        return {}
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        return None
    return {name: value for name, _, value in pairs} if all(n and sign for n, sign, _ in pairs) else None


def rows(page: bytes) -> bool:
    """Whether it is complete rows of three columns of text: noise must not pass for what an engine gave."""
    try:
        page.decode()
    except UnicodeDecodeError:
        return False
    return _ROWS.fullmatch(page) is not None


@dataclass(frozen=True, slots=True)
class QueryCommand:
    """A query as it goes to an engine.

    A grant or a priority of 0 is left to the engine. The client's idempotency key is passed on unaltered.
    """

    service_class: bytes
    time_limit_ms: int
    statement: bytes
    memory_grant_mb: int = 0
    priority: int = 0
    idempotency_key: bytes = b""


@dataclass(frozen=True, slots=True)
class Note:
    """The progress of an attempt that goes on."""

    kind: ProgressKind
    value: float


def _note(named: dict[str, str]) -> Note | None:
    try:
        return Note(PROGRESS_KINDS[named["n"]], float(named["datum"]))
    except (KeyError, ValueError):
        return None


@dataclass(slots=True)
class _Pages:
    """An answer in the making: the named values of its first page, and the pages that are there."""

    fields: dict[str, str]
    total: int
    pages: dict[int, bytes] = field(default_factory=dict)
    size: int = 0

    @property
    def complete(self) -> bool:
        """Whether all pages are there."""
        return len(self.pages) >= self.total

    def joined(self) -> bytes:
        """The rows of all pages."""
        return b"".join(self.pages[index] for index in range(self.total))

    def put(self, index: int, page: bytes) -> bool:
        """Takes a page in; whether it is one of these, within the limits of size, and has complete rows.

        A repeat of one that is there changes nothing.
        """
        if index in self.pages:
            return page == self.pages[index]
        if not 0 <= index < self.total or len(page) > MAX_PAGE_BYTES or not rows(page):
            return False
        self.pages[index] = page
        self.size += len(page)
        return self.size <= MAX_RESULT_BYTES


class Exchange:
    """The attempts open on one connection.

    Answers name only an identifier, so each is open here once at a time. The driver sends a query's later
    attempts elsewhere, as a late answer must not pass for theirs.

    Attributes:
        open: The open attempts, with what has come of their answers.
        out: What is to be written, in this order.
    """

    def __init__(self, pool: BufferPool, max_open: int, may_cancel: bool) -> None:
        self._reader = BulkReader(pool)
        self._max_open = max_open
        self._may_cancel = may_cancel
        self._abandoned: set[bytes] = set()  # given up here, and open still for all that the engine knows
        self.open: dict[bytes, _Pages | None] = {}
        self.out: list[bytes] = []

    @property
    def broken(self) -> bool:
        """Whether nothing more can be read."""
        return self._reader.broken

    @property
    def awaits(self) -> tuple[int, int] | None:
        """Something that was begun and must go on soon: a message, or pages. Another value where it did."""
        begun = self._reader.partial or any(pages is not None for pages in self.open.values())
        return (self._reader.arrays_read, len(self.open)) if begun else None

    def break_off(self, why: str) -> list[tuple[bytes, AttemptEnd]]:
        """Reads nothing more, as nothing after this can be told apart. All that is open may have run."""
        self._reader.drop()
        opened, self.open = self.open, {}
        return [
            (ident, AttemptEnd(EndCause.MALFORMED, _stage(pages), detail=why))
            for ident, pages in opened.items()
        ]

    @property
    def worn(self) -> bool:
        """Whether it is full of abandoned attempts, so that it had better be replaced."""
        return len(self._abandoned) >= self._max_open

    def takes(self, ident: bytes) -> bool:
        """Whether an attempt of this identifier may be opened."""
        has_capacity = len(self.open) + len(self._abandoned) < self._max_open
        return (
            has_capacity
            and not self._reader.broken
            and ident not in self.open
            and ident not in self._abandoned
        )

    def send_query(self, ident: bytes, query: QueryCommand) -> None:
        """Opens an attempt of a query."""
        named = b"sort=%b,patience=%d" % (query.service_class, query.time_limit_ms)
        if query.memory_grant_mb > 0:
            named += b",pool=%d" % query.memory_grant_mb
        if query.priority > 0:
            named += b",band=%d" % query.priority
        if query.idempotency_key:
            named += b",op=%b" % query.idempotency_key
        self.open[ident] = None
        self.out.append(command(b"serve", ident, named, query.statement))

    def send_command(self, ident: bytes, arguments: Sequence[bytes]) -> None:
        """Opens a command that is no query, answered under `ident` as an attempt is."""
        self.open[ident] = None
        self.out.append(command(*arguments))

    def give_up(self, ident: bytes) -> AttemptStage:
        """Cancels or abandons an attempt; how far it had come."""
        pages = self.open.pop(ident)
        if pages is not None:
            self.out.append(command(b"release", ident))
        else:
            self._abandon(ident)
        return _stage(pages)

    def _abandon(self, ident: bytes) -> None:
        if self._may_cancel:
            self.out.append(command(b"cancel", ident))
        else:
            self._abandoned.add(ident)

    def send_health_check(self, tag: bytes) -> None:
        """Asks whether the engine answers at all."""
        self.out.append(command(b"health", tag))

    def feed(self, data: bytes) -> Iterator[tuple[bytes, AttemptEnd | Note]]:
        """Reads on; gives the progress and the ends of attempts."""
        for parts in self._reader.feed(data):
            if parts is None:
                yield from self.break_off("no array of strings")
                return
            ident, word, body = parts[0], parts[1], parts[3]
            named = fields(parts[2])
            if named is None:
                yield from self.break_off("fields that are none")
                return
            if ident not in self.open:
                # Of one given up, a repeat, or of nobody: it belongs to none that is open.
                self._abandoned.discard(ident)
                continue
            if word == b"NOTE":
                note = _note(named)
                if note is not None:
                    yield ident, note
                continue
            end = self._answered(ident, word, named, body)
            if isinstance(end, str):
                # What made one answer malformed may have taken others with it: nothing more is read.
                yield from self.break_off(end)
                return
            if end is not None:
                yield ident, end

    def lost(self) -> dict[bytes, AttemptStage]:
        """The connection has ended; how far all that is open had come."""
        stages = {ident: _stage(pages) for ident, pages in self.open.items()}
        self.open.clear()
        self._reader.drop()
        return stages

    def _answered(
        self, ident: bytes, word: bytes, named: dict[str, str], body: bytes
    ) -> AttemptEnd | str | None:
        """The end of the attempt, if this is one; a reason where it cannot be an answer to it."""
        pages = self.open[ident]
        if word == b"OK":
            return self._first_page(ident, named, body)
        if word == b"ROWS" and pages is not None:
            index = parse_number(named.get("index", ""), MAX_RESULT_BYTES)
            if index is None or not pages.put(index, body):
                return BAD_PAGE
            return self._end_if_complete(ident, pages)
        cause = END_CAUSES.get(word)
        if cause is None:
            return repr((word[:16], named))
        del self.open[ident]
        if pages is not None:
            self.out.append(command(b"release", ident))
        return AttemptEnd(cause, _stage(pages), b"", named)

    def _first_page(self, ident: bytes, named: dict[str, str], body: bytes) -> AttemptEnd | str | None:
        """Takes the page with the named values in, and asks for the others."""
        total = parse_number(named.get("total", ""), MAX_RESULT_BYTES)
        if not total:
            return "no number of pages"
        pages = self.open[ident]
        if pages is None:
            pages = self.open[ident] = _Pages(named, total)
            self.out.extend(command(b"read", ident, b"%d" % page) for page in range(1, total))
        if pages.total != total or not pages.put(0, body):
            return BAD_PAGE
        return self._end_if_complete(ident, pages)

    def _end_if_complete(self, ident: bytes, pages: _Pages) -> AttemptEnd | None:
        if not pages.complete:
            return None
        if pages.total > 1:
            self.out.append(command(b"release", ident))
        del self.open[ident]
        return AttemptEnd(EndCause.OK, AttemptStage.COMPLETE_ANSWER, pages.joined(), pages.fields)


def _stage(pages: _Pages | None) -> AttemptStage:
    """How far an attempt has come that was written."""
    return AttemptStage.WRITTEN if pages is None else AttemptStage.PARTIAL_ANSWER
