"""The protocol of one engine connection, without input and output: RESP arrays in, ends of attempts out."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.interface import ProgressKind
from vanerelay.net.buffers import BufferPool, ReceiveBuffer, parse_number
from vanerelay.received_numbers import NUMBER_LIMIT, number_in_range

MAX_RESULT_BYTES, MAX_PAGE_BYTES = 48_000, 6_000
_MAX_LINE_BYTES = 32
"""Maximum length of the header line of an array or a string."""
_ANSWER_PARTS = 4
"""Number of strings in an answer: identifier, type, fields, body."""
_MAX_BULK_BYTES = 65_536
"""Maximum size of a string; a page and its fields are much smaller."""
_COLUMN = rb"[^\x00-\x0c\x0e-\x1f]*+"
_ROWS = re.compile(rb"(?:%b\t%b\t%b\n)*+" % (_COLUMN, _COLUMN, _COLUMN))
MAX_FIELDS = 128
"""Maximum number of `name=value` pairs of an answer; an answer has a few."""
MAX_PAGES_REQUESTED = 16
"""Maximum number of pages that are requested and have not arrived, of one result.

A result of pages of the maximum size has fewer; an answer may claim thousands of small ones.
"""
_MAX_LOGGED_CHARACTERS = 200
"""Maximum length of the description of a malformed answer."""

PROGRESS_KINDS = {
    "frac": ProgressKind.PROGRESS,
    "missing": ProgressKind.SPILL,
    "parked": ProgressKind.WAITING,
}
"""The kinds of progress by their names on the wire. Engines of some deployments do not report them."""
END_CAUSES = {b"BUSY": EndCause.BUSY, b"ERR": EndCause.ERROR, b"VOID": EndCause.VOID}
"""The causes that end an attempt without rows, by their names on the wire."""
MAX_PROGRESS = 1.0
"""The progress of a complete attempt."""
BAD_PAGE = "invalid result page"


class _InvalidRespError(Exception):
    """The input is not valid RESP; raised and handled in this module only."""


class RespReader:
    """Parses arrays of bulk strings from bytes that arrive in pieces of any size."""

    def __init__(self, pool: BufferPool) -> None:
        self._buffer = ReceiveBuffer(pool)
        self._parts_expected = 0  # of the current array; 0 between two arrays
        self._parts = list[bytes]()
        self._size = -1  # of the current string; -1 before its header was read
        self.broken = False
        self.arrays_read = 0

    @property
    def partial(self) -> bool:
        """Returns True if a part of an array has been received, and the rest is missing."""
        return not self.broken and (self._parts_expected > 0 or len(self._buffer) > 0)

    @property
    def held_bytes(self) -> int:
        """The number of bytes received of an array that is not complete."""
        return len(self._buffer) + sum(map(len, self._parts))

    def feed(self, data: bytes) -> Iterator[list[bytes] | None]:
        """Parses more input, and yields each array that is complete now.

        On invalid input it yields None, and ignores all input from then on.
        """
        if self.broken:
            return
        self._buffer.feed(data)
        try:
            while not self.broken and self._read_next():
                if len(self._parts) == self._parts_expected:
                    parts, self._parts, self._parts_expected = self._parts, [], 0
                    self.arrays_read += 1
                    yield parts
        except _InvalidRespError:
            self.stop()
            yield None
        self._buffer.store_unread()

    def stop(self) -> None:
        """Ignores all further input and releases the buffers."""
        self.broken = True
        self._parts = []
        self._buffer.clear()

    def _read_next(self) -> bool:
        """Reads the next header or string; returns False if it is incomplete."""
        if self._parts_expected == 0:
            count = self._read_header(b"*", _ANSWER_PARTS)
            if count not in (None, _ANSWER_PARTS):
                raise _InvalidRespError
            self._parts_expected = count or 0
            return count is not None
        if self._size < 0:
            size = self._read_header(b"$", _MAX_BULK_BYTES)
            self._size = -1 if size is None else size
            return size is not None
        bulk = self._buffer.read(self._size + 2)
        if bulk is None:
            return False
        if bulk[-2:] != b"\r\n":
            raise _InvalidRespError
        self._parts.append(bulk[:-2])
        self._size = -1
        return True

    def _read_header(self, type_byte: bytes, limit: int) -> int | None:
        line = self._buffer.read_line(_MAX_LINE_BYTES)
        if line is None:
            # Invalid input without an end of line is detected from its first bytes, without waiting for more.
            start = self._buffer.peek(min(len(self._buffer), _MAX_LINE_BYTES)) or type_byte
            digits = start[1:].removesuffix(b"\r")
            if len(start) >= _MAX_LINE_BYTES or start[:1] != type_byte or digits and not digits.isdigit():
                raise _InvalidRespError
            return None
        count = parse_number(line[1:].decode("latin-1"), limit)
        if line[:1] != type_byte or count is None:
            raise _InvalidRespError
        return count


def command(*parts: bytes) -> bytes:
    """Encodes an array of bulk strings."""
    pieces = [b"*%d\r\n" % len(parts)]
    for part in parts:
        pieces += (b"$%d\r\n" % len(part), part, b"\r\n")  # joined once, as a statement may be long
    return b"".join(pieces)


def parse_fields(text: bytes) -> dict[str, str] | None:
    """Parses the `name=value` pairs of an answer; returns None if they are malformed."""
    if text == b"-" or not text:
        return {}
    if text.count(b",") >= MAX_FIELDS:
        return None
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        return None
    return {name: value for name, _, value in pairs} if all(n and equals for n, equals, _ in pairs) else None


def has_valid_rows(page: bytes) -> bool:
    """Returns True if a page consists of complete rows of three text columns.

    Corrupt bytes must not be passed on as an engine's result.
    """
    try:
        page.decode()
    except UnicodeDecodeError:
        return False
    return _ROWS.fullmatch(page) is not None


@dataclass(frozen=True, slots=True)
class QueryCommand:
    """A query as it is sent to an engine.

    Attributes:
        service_class: The name of the service class.
        time_limit_ms: The time limit of the attempt in milliseconds.
        statement: The statement.
        memory_grant_mb: The memory grant in MB; 0 leaves it to the engine.
        priority: The priority; 0 leaves it to the engine.
        idempotency_key: The client's key, passed on unaltered; empty if there is none.
    """

    service_class: bytes
    time_limit_ms: int
    statement: bytes
    memory_grant_mb: int = 0
    priority: int = 0
    idempotency_key: bytes = b""


@dataclass(frozen=True, slots=True)
class ProgressNote:
    """A report of an engine on the progress of a running attempt."""

    kind: ProgressKind
    value: float


def _parse_note(values: dict[str, str]) -> ProgressNote | None:
    """Returns the progress that a note reports; None if its kind is unknown or its value out of range."""
    kind = PROGRESS_KINDS.get(values.get("n", ""))
    highest = MAX_PROGRESS if kind is ProgressKind.PROGRESS else NUMBER_LIMIT
    value = number_in_range(values.get("datum"), highest)
    return None if kind is None or value is None else ProgressNote(kind, value)


@dataclass(slots=True)
class _PagedResult:
    """The result of an attempt while its pages arrive.

    Attributes:
        fields: The fields of the first page's answer.
        total: The number of pages.
        pages: The pages received, by index.
        size: The size of the received pages in bytes.
        next_request: The index of the next page to request.
    """

    fields: dict[str, str]
    total: int
    pages: dict[int, bytes] = field(default_factory=dict)
    size: int = 0
    next_request: int = 1

    @property
    def complete(self) -> bool:
        """Returns True if all pages were received."""
        return len(self.pages) >= self.total

    def joined(self) -> bytes:
        """Returns the rows of all pages in order."""
        return b"".join(self.pages[index] for index in range(self.total))

    def take_requests(self) -> Iterator[int]:
        """Yields the pages to request now, so that at most `MAX_PAGES_REQUESTED` are under way."""
        while self.next_request < min(self.total, len(self.pages) + MAX_PAGES_REQUESTED):
            index = self.next_request
            self.next_request += 1
            if index not in self.pages:
                yield index

    def add(self, index: int, page: bytes) -> bool:
        """Adds a page; returns False if its index, size or rows are invalid.

        A repeated page changes nothing, and is valid if it equals the first one.
        """
        if index in self.pages:
            return page == self.pages[index]
        if not 0 <= index < self.total or len(page) > MAX_PAGE_BYTES or not has_valid_rows(page):
            return False
        self.pages[index] = page
        self.size += len(page)
        return self.size <= MAX_RESULT_BYTES


class Exchange:
    """The protocol state of one connection: its open attempts and the bytes to write.

    Answers carry only the attempt's identifier, so an identifier can be open only once at a time. Later
    attempts of a query are sent on other connections, as a late answer must not be taken for theirs.

    Attributes:
        open: The open attempts by identifier, with the part of their result that was received.
        output: The commands to write, in order.
    """

    def __init__(self, pool: BufferPool, max_open: int, may_cancel: bool) -> None:
        self._reader = RespReader(pool)
        self._max_open = max_open
        self._may_cancel = may_cancel
        self._abandoned: set[bytes] = set()  # given up here, but the engine may still answer them
        self.open: dict[bytes, _PagedResult | None] = {}
        self.output: list[bytes] = []

    @property
    def broken(self) -> bool:
        """Returns True if no more input is read: it was invalid or stalled, or the connection has ended."""
        return self._reader.broken

    @property
    def partial_read_progress(self) -> tuple[int, int] | None:
        """A value that changes with each read progress while an array or a result is incomplete; else None.

        If it stays the same for too long, the connection has stalled.
        """
        is_partial = self._reader.partial or any(pages is not None for pages in self.open.values())
        return (self._reader.arrays_read, len(self.open)) if is_partial else None

    @property
    def held_bytes(self) -> int:
        """The number of bytes received of results and answers that are not complete."""
        return self._reader.held_bytes + sum(pages.size for pages in self.open.values() if pages is not None)

    def fail_all(self, why: str) -> list[tuple[bytes, AttemptEnd]]:
        """Stops reading and ends all open attempts as malformed.

        After a fault in the input, later answers cannot be attributed to attempts reliably. All open attempts
        may have run.

        Returns:
            The identifiers of the open attempts with their ends.
        """
        self._reader.stop()
        opened, self.open = self.open, {}
        return [
            (ident, AttemptEnd(EndCause.MALFORMED, _stage(pages), detail=why))
            for ident, pages in opened.items()
        ]

    @property
    def is_exhausted(self) -> bool:
        """Returns True if abandoned attempts take all places, so that the connection should be replaced."""
        return len(self._abandoned) >= self._max_open

    def can_open(self, ident: bytes, reserved: int = 0) -> bool:
        """Returns True if an attempt with this identifier may be opened, beside `reserved` other ones."""
        has_capacity = len(self.open) + len(self._abandoned) + reserved < self._max_open
        return (
            has_capacity
            and not self._reader.broken
            and ident not in self.open
            and ident not in self._abandoned
        )

    def send_query(self, ident: bytes, query: QueryCommand) -> None:
        """Opens an attempt of a query, and queues its command."""
        values = b"sort=%b,patience=%d" % (query.service_class, query.time_limit_ms)
        if query.memory_grant_mb > 0:
            values += b",pool=%d" % query.memory_grant_mb
        if query.priority > 0:
            values += b",band=%d" % query.priority
        if query.idempotency_key:
            values += b",op=%b" % query.idempotency_key
        self.open[ident] = None
        self.output.append(command(b"serve", ident, values, query.statement))

    def send_command(self, ident: bytes, arguments: Sequence[bytes]) -> None:
        """Opens a command other than a query, answered under `ident` as an attempt is."""
        self.open[ident] = None
        self.output.append(command(*arguments))

    def give_up(self, ident: bytes) -> AttemptStage:
        """Cancels or abandons an attempt; returns the stage that it had reached."""
        pages = self.open.pop(ident)
        if pages is not None:
            self.output.append(command(b"release", ident))
        else:
            self._abandon(ident)
        return _stage(pages)

    def _abandon(self, ident: bytes) -> None:
        if self._may_cancel:
            self.output.append(command(b"cancel", ident))
        else:
            self._abandoned.add(ident)

    def send_health_check(self, tag: bytes) -> None:
        """Queues a health check."""
        self.output.append(command(b"health", tag))

    def feed(self, data: bytes) -> Iterator[tuple[bytes, AttemptEnd | ProgressNote]]:
        """Parses more input, and yields the progress and the ends of attempts by identifier."""
        for parts in self._reader.feed(data):
            if parts is None:
                yield from self.fail_all("answer is not an array of four strings")
                return
            ident, answer_type, body = parts[0], parts[1], parts[3]
            values = parse_fields(parts[2])
            if values is None:
                yield from self.fail_all("malformed fields")
                return
            if ident not in self.open:
                # The answer of an attempt that was given up, a repeated one, or one of an unknown identifier.
                self._abandoned.discard(ident)
                continue
            if answer_type == b"NOTE":
                note = _parse_note(values)
                if note is not None:
                    yield ident, note
                continue
            end = self._handle_answer(ident, answer_type, values, body)
            if isinstance(end, str):
                # The fault behind one malformed answer may have damaged others: nothing more is read.
                yield from self.fail_all(end)
                return
            if end is not None:
                yield ident, end

    def connection_lost(self) -> dict[bytes, AttemptStage]:
        """Ends all open attempts, as the connection has ended; returns the stages that they had reached."""
        stages = {ident: _stage(pages) for ident, pages in self.open.items()}
        self.open.clear()
        self._reader.stop()
        return stages

    def _handle_answer(
        self, ident: bytes, answer_type: bytes, values: dict[str, str], body: bytes
    ) -> AttemptEnd | str | None:
        """Handles an answer of an open attempt.

        Returns:
            The end of the attempt, None if it continues, or a reason why the answer is malformed.
        """
        pages = self.open[ident]
        if answer_type == b"OK":
            return self._add_first_page(ident, values, body)
        if answer_type == b"ROWS" and pages is not None:
            index = parse_number(values.get("index", ""), MAX_RESULT_BYTES)
            if index is None or not pages.add(index, body):
                return BAD_PAGE
            return self._end_if_complete(ident, pages)
        cause = END_CAUSES.get(answer_type)
        if cause is None:
            return repr((answer_type[:16], values))[:_MAX_LOGGED_CHARACTERS]
        del self.open[ident]
        if pages is not None:
            self.output.append(command(b"release", ident))
        return AttemptEnd(cause, _stage(pages), b"", values)

    def _add_first_page(self, ident: bytes, values: dict[str, str], body: bytes) -> AttemptEnd | str | None:
        """Adds the first page, which has the fields, and requests the other pages."""
        total = parse_number(values.get("total", ""), MAX_RESULT_BYTES)
        if not total:
            return "missing or invalid number of pages"
        pages = self.open[ident]
        if pages is None:
            pages = self.open[ident] = _PagedResult(values, total)
        if pages.total != total or not pages.add(0, body):
            return BAD_PAGE
        return self._end_if_complete(ident, pages)

    def _end_if_complete(self, ident: bytes, pages: _PagedResult) -> AttemptEnd | None:
        if not pages.complete:
            self.output.extend(command(b"read", ident, b"%d" % page) for page in pages.take_requests())
            return None
        if pages.total > 1:
            self.output.append(command(b"release", ident))
        del self.open[ident]
        return AttemptEnd(EndCause.OK, AttemptStage.COMPLETE_ANSWER, pages.joined(), pages.fields)


def _stage(pages: _PagedResult | None) -> AttemptStage:
    """Returns the stage of an attempt that was written."""
    return AttemptStage.WRITTEN if pages is None else AttemptStage.PARTIAL_ANSWER
