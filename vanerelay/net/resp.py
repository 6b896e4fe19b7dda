"""The conversation with an engine on one connection, without the connection: RESP arrays in, ends out."""
from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from vanerelay.interface import NoteKind
from vanerelay.net.buffers import Gather, Pool, number
from vanerelay.net.ends import Cause, End, Stage

RESULT_MOST, PAGE_MOST = 48_000, 6_000  # bytes of a result, and of one page of it
_LINE_MOST, _PARTS_MOST = 32, 8  # no line of a header is longer, no answer has more parts
_BULK_MOST = 65_536  # well past a page with its fields: what is longer is no answer


# The page for deployments without notes leaves them out; the words are those of the names on the sockets.
NOTES = {"frac": NoteKind.PROGRESS, "missing": NoteKind.SPILL, "parked": NoteKind.WAITING}


class Unreadable(Exception):
    """What came is not the protocol; it stays within this file."""


class BulkReader:
    """Fed bytes in any pieces, gives arrays of bulk strings; None once what came is not readable."""

    def __init__(self, pool: Pool) -> None:
        self._held, self._wanted, self._parts, self.broken = Gather(pool), 0, list[bytes](), False
        self._size = -1  # of the bulk string that is awaited

    def feed(self, data: bytes) -> Iterator[list[bytes] | None]:
        if self.broken:
            return
        self._held.feed(data)
        try:
            while not self.broken and self._step():
                if len(self._parts) == self._wanted:
                    parts, self._parts, self._wanted = self._parts, [], 0
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
            count = self._header(b"*", _PARTS_MOST)
            self._wanted = count or 0
            if count == 0:
                raise Unreadable
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
            if len(self._held) >= _LINE_MOST:
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


def fields(text: bytes) -> dict[str, str]:
    if text == b"-" or not text:
        return {}
    return dict(pair.partition("=")[::2] for pair in text.decode("utf-8", "replace").split(","))


@dataclass(frozen=True, slots=True)
class Note:
    """News of a dispatch that goes on."""

    kind: NoteKind
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
        """Whether the page is one that was missing, and its size and the result's are within what is told."""
        if not 0 <= index < self.total or index in self.pages or len(page) > PAGE_MOST:
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
    def worn(self) -> bool:
        """Full of dispatches that nobody waits for: it had better be replaced."""
        return len(self._left_open) >= self._most

    def takes(self, ident: bytes) -> bool:
        room = len(self.open) + len(self._left_open) < self._most and not self._reader.broken
        return room and ident not in self.open and ident not in self._left_open

    def serve(self, ident: bytes, group: bytes, patience: int, grant: int, priority: int,
              body: bytes) -> None:
        """Grant and priority of 0 are left to the engine."""
        told = b"sort=%b,patience=%d" % (group, patience)
        if grant > 0:
            told += b",pool=%d" % grant
        if priority > 0:
            told += b",band=%d" % priority
        self.open[ident] = None
        self.out.append(command(b"serve", ident, told, body))

    def give_up(self, ident: bytes) -> Stage:
        """How far the dispatch had come that nobody waits for any more."""
        pages = self.open.pop(ident)
        if pages is not None:
            self.out.append(command(b"release", ident))
        else:
            self._abandon(ident)
        return Stage.WRITTEN if pages is None else Stage.PAGES_MISSING

    def _abandon(self, ident: bytes) -> None:
        if self._may_cancel:
            self.out.append(command(b"cancel", ident))
        else:
            self._left_open.add(ident)

    def health(self, tag: bytes) -> None:
        self.out.append(command(b"health", tag))

    def feed(self, data: bytes) -> Iterator[tuple[bytes, End | Note]]:
        for parts in self._reader.feed(data):
            if parts is None:
                # Nothing after this can be told apart: all that is open here may have run.
                for ident in list(self.open):
                    yield ident, self._end(ident, Cause.UNREADABLE, why="no array of strings")
            elif len(parts) == 4:
                ident = parts[0]
                if ident in self.open:
                    told = fields(parts[2])
                    said = _note(told) if parts[1] == b"NOTE" else self._answered(
                        ident, parts[1], told, parts[3])
                    if said is not None:
                        yield ident, said
                else:
                    self._left_open.discard(ident)

    def lost(self) -> dict[bytes, Stage]:
        """How far all that is open had come when the connection ended."""
        stages = {i: Stage.WRITTEN if p is None else Stage.PAGES_MISSING for i, p in self.open.items()}
        self.open.clear()
        self._reader.drop()
        return stages

    def _answered(self, ident: bytes, word: bytes, told: dict[str, str], body: bytes) -> End | None:
        pages = self.open[ident]
        if word == b"OK" and pages is None:
            total = number(told.get("total", ""), RESULT_MOST)
            if not total:
                return self._end(ident, Cause.UNREADABLE, why="no number of pages")
            pages = self.open[ident] = _Pages(told, total)
            if not pages.put(0, body):
                return self._end(ident, Cause.UNREADABLE, why="a page is too long")
            self.out.extend(command(b"read", ident, b"%d" % page) for page in range(1, pages.total))
        elif word == b"ROWS" and pages is not None:
            index = number(told.get("index", ""), RESULT_MOST)
            if index is None or not pages.put(index, body):
                return self._end(ident, Cause.UNREADABLE, why="a page that was not missing, or too long")
        else:
            cause = {b"BUSY": Cause.BUSY, b"ERR": Cause.ERR, b"VOID": Cause.VOID}.get(word, Cause.UNREADABLE)
            return self._end(ident, cause, told, repr((word[:16], told)))
        if len(pages.pages) < pages.total:
            return None
        if pages.total > 1:
            self.out.append(command(b"release", ident))
        del self.open[ident]
        rows = b"".join(pages.pages[page] for page in range(pages.total))
        return End(Cause.OK, Stage.WHOLE, rows, pages.told)

    def _end(self, ident: bytes, cause: Cause, told: dict[str, str] | None = None, why: str = "") -> End:
        pages = self.open.pop(ident)
        if pages is not None:
            self.out.append(command(b"release", ident))
        elif cause is Cause.UNREADABLE and not self.broken:
            self._abandon(ident)  # for all that is known it runs on
        return End(cause, Stage.WRITTEN if pages is None else Stage.PAGES_MISSING, b"", told or {}, why)
