"""The conversation with an engine on one connection, without the connection: RESP arrays in, ends out."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from vanerelay.attempt_outcome import AttemptEnd, AttemptStage, EndCause
from vanerelay.interface import ProgressKind
from vanerelay.net.buffers import Gather, Pool, number

RESULT_MOST, PAGE_MOST = 48_000, 6_000  # bytes of a result, and of one page of it
_LINE_MOST, _PARTS = 32, 4  # no line of a header is longer; every answer has so many parts
_BULK_MOST = 65_536  # well past a page with its fields: what is longer is no answer
_ROWS = re.compile(rb"(?:[^\x00-\x0c\x0e-\x1f]*\t[^\x00-\x0c\x0e-\x1f]*\t[^\x00-\x0c\x0e-\x1f]*\n)*")

# The page for deployments without notes leaves them out; the words are those of the names on the sockets.
NOTES = {"frac": ProgressKind.PROGRESS, "missing": ProgressKind.SPILL, "parked": ProgressKind.WAITING}


class Unreadable(Exception):
    """What came is not the protocol; it stays within this file."""


class BulkReader:
    """Fed bytes in any pieces, gives arrays of bulk strings; None once what came is not readable."""

    def __init__(self, pool: Pool) -> None:
        self._held, self._wanted, self._parts, self.broken = Gather(pool), 0, list[bytes](), False
        self._size = -1  # of the bulk string that is awaited
        self.taken = 0  # arrays read so far

    @property
    def partial(self) -> bool:
        """Whether what came last is not whole."""
        return not self.broken and (self._wanted > 0 or len(self._held) > 0)

    def feed(self, data: bytes) -> Iterator[list[bytes] | None]:
        if self.broken:
            return
        self._held.feed(data)
        try:
            while not self.broken and self._step():
                if len(self._parts) == self._wanted:
                    parts, self._parts, self._wanted = self._parts, [], 0
                    self.taken += 1
                    yield parts
        except Unreadable:
            self.drop()
            yield None
        self._held.keep()

    def drop(self) -> None:
        self.broken = True
        self._held.drop()

    def _step(self) -> bool:
        """Reads the next header or string; whether there was one."""
        if self._wanted == 0:
            count = self._header(b"*", _PARTS)
            if count not in (None, _PARTS):
                raise Unreadable
            self._wanted = count or 0
            return count is not None
        if self._size < 0:
            size = self._header(b"$", _BULK_MOST)
            self._size = -1 if size is None else size
            return size is not None
        bulk = self._held.read(self._size + 2)
        if bulk is None:
            return False
        if bulk[-2:] != b"\r\n":
            raise Unreadable
        self._parts.append(bulk[:-2])
        self._size = -1
        return True

    def _header(self, sign: bytes, most: int) -> int | None:
        line = self._held.line(_LINE_MOST)
        if line is None:
            # Noise without an end of line is known by its first bytes: nobody has to wait for the rest.
            start = self._held.peek(min(len(self._held), _LINE_MOST)) or sign
            digits = start[1:].removesuffix(b"\r")
            if len(start) >= _LINE_MOST or start[:1] != sign or digits and not digits.isdigit():
                raise Unreadable
            return None
        told = number(line[1:].decode("latin-1"), most)
        if line[:1] != sign or told is None:
            raise Unreadable
        return told


def command(*parts: bytes) -> bytes:
    told = [b"*%d\r\n" % len(parts)]
    told.extend(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"".join(told)


def fields(text: bytes) -> dict[str, str] | None:
    """None where it is no list of fields."""
    if text == b"-" or not text:
        return {}
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        return None
    return {name: value for name, _, value in pairs} if all(n and sign for n, sign, _ in pairs) else None


def rows(page: bytes) -> bool:
    """Whether it is whole rows of three columns of text: noise must not pass for what an engine gave."""
    try:
        page.decode()
    except UnicodeDecodeError:
        return False
    return _ROWS.fullmatch(page) is not None


@dataclass(frozen=True, slots=True)
class QueryCommand:
    """A query as its engine is told of it.

    A grant or a priority of 0 is left to the engine. The client's idempotency key is passed on unaltered.
    """

    service_class: bytes
    patience_ms: int
    statement: bytes
    grant_mb: int = 0
    priority: int = 0
    idempotency_key: bytes = b""


@dataclass(frozen=True, slots=True)
class Note:
    """News of a dispatch that goes on."""

    kind: ProgressKind
    value: float


def _note(told: dict[str, str]) -> Note | None:
    try:
        return Note(NOTES[told["n"]], float(told["datum"]))
    except (KeyError, ValueError):
        return None


@dataclass(slots=True)
class _Pages:
    """An answer in the making: what its first page told, and the pages that are there."""

    told: dict[str, str]
    total: int
    pages: dict[int, bytes] = field(default_factory=dict)
    size: int = 0

    def put(self, index: int, page: bytes) -> bool:
        """Whether the page is one of these, its size and the result's within what is told, and it has whole
        rows. A second copy of one that is there is as good as none."""
        if index in self.pages:
            return page == self.pages[index]
        if not 0 <= index < self.total or len(page) > PAGE_MOST or not rows(page):
            return False
        self.pages[index] = page
        self.size += len(page)
        return self.size <= RESULT_MOST


class Exchange:
    """Dispatches open on one connection. Answers name only an id, so an id is open here once at a time; the
    driver sends a batch's later dispatches elsewhere, as a late answer must not pass for theirs."""

    def __init__(self, pool: Pool, most: int, may_cancel: bool) -> None:
        self._reader, self._most, self._may_cancel = BulkReader(pool), most, may_cancel
        self.open: dict[bytes, _Pages | None] = {}
        self._left_open: set[bytes] = set()  # given up here, and open still for all that the engine knows
        self.out: list[bytes] = []  # what is to be written, in this order

    @property
    def broken(self) -> bool:
        return self._reader.broken

    @property
    def awaits(self) -> tuple[int, int] | None:
        """Something that was begun and must go on soon: a message, or pages. Another value where it did."""
        begun = self._reader.partial or any(pages is not None for pages in self.open.values())
        return (self._reader.taken, len(self.open)) if begun else None

    def spoil(self, why: str) -> list[tuple[bytes, AttemptEnd]]:
        """Nothing after this can be told apart, and nothing more is read: all that is open may have run."""
        self._reader.drop()
        opened, self.open = self.open, {}
        stages = {
            i: AttemptStage.WRITTEN if pages is None else AttemptStage.PARTIAL_ANSWER
            for i, pages in opened.items()
        }
        return [(ident, AttemptEnd(EndCause.MALFORMED, stage, detail=why)) for ident, stage in stages.items()]

    @property
    def worn(self) -> bool:
        """Full of dispatches that nobody waits for: it had better be replaced."""
        return len(self._left_open) >= self._most

    def takes(self, ident: bytes) -> bool:
        room = len(self.open) + len(self._left_open) < self._most and not self._reader.broken
        return room and ident not in self.open and ident not in self._left_open

    def serve(self, ident: bytes, query: QueryCommand) -> None:
        told = b"sort=%b,patience=%d" % (query.service_class, query.patience_ms)
        if query.grant_mb > 0:
            told += b",pool=%d" % query.grant_mb
        if query.priority > 0:
            told += b",band=%d" % query.priority
        if query.idempotency_key:
            told += b",op=%b" % query.idempotency_key
        self.open[ident] = None
        self.out.append(command(b"serve", ident, told, query.statement))

    def order(self, ident: bytes, words: Sequence[bytes]) -> None:
        """A command of operators' words, answered under `ident` as a dispatch is."""
        self.open[ident] = None
        self.out.append(command(*words))

    def give_up(self, ident: bytes) -> AttemptStage:
        """How far the dispatch had come that nobody waits for any more."""
        pages = self.open.pop(ident)
        if pages is not None:
            self.out.append(command(b"release", ident))
        else:
            self._abandon(ident)
        return AttemptStage.WRITTEN if pages is None else AttemptStage.PARTIAL_ANSWER

    def _abandon(self, ident: bytes) -> None:
        if self._may_cancel:
            self.out.append(command(b"cancel", ident))
        else:
            self._left_open.add(ident)

    def health(self, tag: bytes) -> None:
        self.out.append(command(b"health", tag))

    def feed(self, data: bytes) -> Iterator[tuple[bytes, AttemptEnd | Note]]:
        for parts in self._reader.feed(data):
            if parts is None:
                yield from self.spoil("no array of strings")
                return
            ident, word, body = parts[0], parts[1], parts[3]
            told = fields(parts[2])
            if told is None:
                yield from self.spoil("fields that are none")
                return
            if ident not in self.open:
                # Of one given up, a second copy, or of nobody: it belongs to none that is open.
                self._left_open.discard(ident)
                continue
            if word == b"NOTE":
                note = _note(told)
                if note is not None:
                    yield ident, note
                continue
            end = self._answered(ident, word, told, body)
            if isinstance(end, str):
                # What one answer was spoilt by may have taken others with it: the stream is given up whole.
                yield from self.spoil(end)
                return
            if end is not None:
                yield ident, end

    def lost(self) -> dict[bytes, AttemptStage]:
        """How far all that is open had come when the connection ended."""
        stages = {
            i: AttemptStage.WRITTEN if p is None else AttemptStage.PARTIAL_ANSWER
            for i, p in self.open.items()
        }
        self.open.clear()
        self._reader.drop()
        return stages

    def _answered(
        self, ident: bytes, word: bytes, told: dict[str, str], body: bytes
    ) -> AttemptEnd | str | None:
        """The end of the dispatch, if it is one; words for what cannot be an answer to it."""
        pages = self.open[ident]
        if word == b"OK":
            total = number(told.get("total", ""), RESULT_MOST)
            if not total:
                return "no number of pages"
            if pages is None:
                pages = self.open[ident] = _Pages(told, total)
                self.out.extend(command(b"read", ident, b"%d" % page) for page in range(1, total))
            if pages.total != total or not pages.put(0, body):
                return "a page that is none"
        elif word == b"ROWS" and pages is not None:
            index = number(told.get("index", ""), RESULT_MOST)
            if index is None or not pages.put(index, body):
                return "a page that is none"
        else:
            cause = {b"BUSY": EndCause.BUSY, b"ERR": EndCause.ERROR, b"VOID": EndCause.VOID}.get(word)
            if cause is None:
                return repr((word[:16], told))
            del self.open[ident]
            if pages is None:
                return AttemptEnd(cause, AttemptStage.WRITTEN, b"", told)
            self.out.append(command(b"release", ident))
            return AttemptEnd(cause, AttemptStage.PARTIAL_ANSWER, b"", told)
        if len(pages.pages) < pages.total:
            return None
        if pages.total > 1:
            self.out.append(command(b"release", ident))
        del self.open[ident]
        whole = b"".join(pages.pages[page] for page in range(pages.total))
        return AttemptEnd(EndCause.OK, AttemptStage.COMPLETE_ANSWER, whole, pages.told)
